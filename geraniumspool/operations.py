"""What the commands do: operators' calls to an entry, and running the programs.

The functions mirror the commands. They return data or an exit code and raise
the errors of :mod:`geraniumspool.errors`; printing for people is left to
:mod:`geraniumspool.cli`. Modules of the programs are loaded only when needed.
"""

import gc
import json
import logging
import signal
import sys
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, TextIO, TypedDict
from urllib.parse import quote

import eventlet
import msgspec
import urllib3

from geraniumspool import errors
from geraniumspool.clock import MS_PER_SECOND, SystemClock
from geraniumspool.contracts import Clock
from geraniumspool.decisions import DecisionDocument, parse_decision_id
from geraniumspool.errors import DispatchError, Finding, InvalidInput, LinkDown
from geraniumspool.messages import STATE_MAY_HAVE_RUN, STATE_NOT_RUN
from geraniumspool.status import DomainStatus

OK = 0
FAILED = 1
COLLECTOR_THRESHOLDS = (20_000, 20, 50)

CONNECT_TIMEOUT_MS = 3000.0
READ_TIMEOUT_MS = 20000.0
SIGNAL_POLL_MS = 100.0
MINION_DRAIN_LIMIT_MS = 30_000.0
REJECTED_STATUSES = frozenset({400, 401, 403, 404, 405, 413})
READ_METHODS = frozenset({"GET"})
MAX_DETAIL_CHARS = 300
FIRST_FAILURE_STATUS = 300

ENTRY_UNREACHABLE = "entry_unreachable"
OUTCOME_UNKNOWN = "outcome_unknown"
ANSWER_MALFORMED = "answer_malformed"

logger = logging.getLogger(__name__)


class ProcessStatus(TypedDict):
    """The entry that answered."""

    address: str
    domain: str
    incarnation: str
    state: str


class StoreStatus(TypedDict):
    """How the entry gets on with the platform's store."""

    state: str
    last_contact_ms: float


class Status(TypedDict):
    """Answer of ``status``."""

    entry: ProcessStatus
    domains: list[DomainStatus]
    store: StoreStatus
    config_revision: int
    counters: dict[str, float]


class MemberStatus(TypedDict):
    """One process in the roster."""

    address: str
    incarnation: str
    domain: str
    role: str
    state: str
    service: str
    slots: int
    free: int
    queued: int


class Roster(TypedDict):
    """Answer of ``roster``."""

    members: list[MemberStatus]


class ConfigDocument(TypedDict):
    """One configuration document."""

    key: str
    revision: int
    body: Any


class ConfigDocuments(TypedDict):
    """Answer of ``config list``."""

    documents: list[ConfigDocument]


class ConfigOutcome(TypedDict):
    """Answer of ``config apply``."""

    status: str
    revision: int


class ConfigChange(TypedDict):
    """One entry of the audit trail."""

    revision: int
    who: str
    why: str
    at_ms: int
    change_id: str
    before: Any
    after: Any


class ConfigHistory(TypedDict):
    """Answer of ``config history``."""

    changes: list[ConfigChange]


class DomainRevision(TypedDict):
    """Revision of the configuration that is in force in a failure domain."""

    domain: str
    revision: int


class ConfigStatus(TypedDict):
    """Answer of ``config status``."""

    newest: int
    domains: list[DomainRevision]


class Decisions(TypedDict):
    """Answer of ``why``."""

    decisions: list[DecisionDocument]


class Application(Protocol):
    """A program that :func:`run_application` runs."""

    def start(self) -> None:
        """Begin to listen and return once the program is ready."""

    def ready_line(self) -> Any:
        """Return what to print when ready, such as the addresses in use."""

    def drain(self) -> bool | None:
        """Leave gracefully; return False if some work had to be given up."""

    def stop(self) -> None:
        """Close everything at once."""


class EntryAddress(NamedTuple):
    """Where operators' calls go.

    :param address: host and port of any entry's operators' listener
    :param token: operators' token
    """

    address: str
    token: str


class EntryClient:
    """Operators' calls to one entry, each sent exactly once."""

    def __init__(self, entry: EntryAddress):
        """Open nothing yet.

        :param entry: the entry and the token
        """
        address = entry.address
        self._base = (address if "://" in address else f"http://{address}").rstrip("/")
        self._headers = {"Authorization": f"Bearer {entry.token}"} if entry.token else {}
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_MS / MS_PER_SECOND, read=READ_TIMEOUT_MS / MS_PER_SECOND
        )
        self._pool = urllib3.PoolManager(retries=False, timeout=timeout)

    def get(self, *path: str) -> Any:
        """Return the answer to a GET of the path's parts."""
        return self.call("GET", path)

    def call(self, method: str, path: tuple[str, ...], body: Any = None) -> Any:
        """Send one request and return its answer.

        :param method: HTTP method
        :param path: parts of the path after ``/v1``; each is quoted
        :param body: what to send as JSON, or None
        :raises DispatchError: what the entry answered, or that it could not be asked
        """
        url = "/".join([self._base, "v1", *(quote(part, safe="") for part in path)])
        response = self._send(method, url, body)
        answer = _decode_answer(method, response)
        if response.status >= FIRST_FAILURE_STATUS:
            raise _to_error(response.status, answer)
        return answer

    def _send(self, method: str, url: str, body: Any) -> urllib3.BaseHTTPResponse:
        headers = dict(self._headers)
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers["Content-Type"] = "application/json"
        try:
            return self._pool.request(method, url, body=data, headers=headers, redirect=False)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise _unreachable(self._base, "it could not be connected to") from None
        except urllib3.exceptions.LocationValueError as error:
            raise _unreachable(self._base, str(error)) from None
        except urllib3.exceptions.HTTPError as error:
            if method in READ_METHODS:
                raise _unreachable(self._base, f"it did not answer ({error})") from None
            raise _outcome_unknown(f"{self._base} did not answer; it may have acted") from None


def status(client: EntryClient) -> Status:
    """Return the state of the entry and of the failure domains it knows."""
    return client.get("status")


def roster(client: EntryClient) -> Roster:
    """Return all processes that the entry knows."""
    return client.get("roster")


def config_list(client: EntryClient) -> ConfigDocuments:
    """Return all configuration documents in force."""
    return client.get("config")


def config_get(client: EntryClient, key: str) -> ConfigDocument:
    """Return one configuration document.

    :param key: such as ``service/fitting``
    """
    return client.get("config", *key.split("/"))


def config_apply(
    client: EntryClient,
    key: str,
    body: str,
    expected_revision: int,
    who: str,
    why: str,
    change_id: str = "",
) -> ConfigOutcome:
    """Change one configuration document.

    :param body: text of the new document
    :param expected_revision: revision the change is based on, 0 for a new document
    :param who: who makes the change, for the audit trail
    :param why: reason of the change, for the audit trail
    :param change_id: id of the change; repeat it to repeat a change safely
    :raises StaleRevision: if the document was changed meanwhile
    """
    change_id = change_id or uuid.uuid4().hex
    request = {
        "change_id": change_id,
        "expected_revision": expected_revision,
        "body": body,
        "who": who,
        "why": why,
    }
    try:
        return client.call("PUT", ("config", *key.split("/")), request)
    except DispatchError as error:
        if error.code in (OUTCOME_UNKNOWN, errors.ChangeUnknown.code):
            error.detail += f"; to repeat it safely, add --change-id {change_id}"
        raise


def config_history(client: EntryClient, key: str) -> ConfigHistory:
    """Return the audit trail of one configuration document."""
    return client.get("config", *key.split("/"), "history")


def config_status(client: EntryClient) -> ConfigStatus:
    """Return the configuration revision in force per failure domain."""
    return client.get("config-status")


def drain(client: EntryClient, address: str, who: str, why: str) -> Any:
    """Ask a process to leave gracefully.

    :param address: inbox address of the process, as in the roster
    :param who: who asks, for the audit trail
    :param why: reason, for the audit trail
    """
    return client.call("POST", ("drain",), {"address": address, "who": who, "why": why})


def job(client: EntryClient, ticket: str) -> Any:
    """Return the state or the kept answer of a job, a failure included."""
    return _report_job(lambda: client.get("jobs", ticket))


def cancel(client: EntryClient, ticket: str) -> Any:
    """Cancel a job and return its state, a failure included."""
    return _report_job(lambda: client.call("DELETE", ("jobs", ticket)))


def why(client: EntryClient, subject: str) -> Decisions:
    """Return the decisions on a job, or one decision.

    :param subject: a ticket or a decision's id
    """
    if parse_decision_id(subject) is None:
        return client.get("jobs", subject, "decisions")
    answer = client.get("decisions", subject)
    return answer if "decisions" in answer else Decisions(decisions=[answer])


def check(path: str) -> None:
    """Check a settings file of an entry or an agent.

    :raises InvalidInput: with all findings
    """
    from geraniumspool.settings import check_file

    findings = check_file(path)
    if findings:
        raise InvalidInput(findings)


def run_application(app: Application, output: TextIO | None = None) -> int:
    """Run a program until SIGTERM or SIGINT, then let it leave gracefully.

    One line of JSON is printed when it is ready. A second signal ends it at once.

    :param app: the program
    :param output: where the ready line goes, standard output by default
    :returns: the exit code, ``FAILED`` if work had to be given up
    """
    received: list[int] = []
    previous = _watch_signals(lambda number, _frame: received.append(number))
    try:
        app.start()
        _calm_collector()
        print(json.dumps(app.ready_line()), file=output or sys.stdout, flush=True)
        _poll(lambda: received or getattr(app, "exit_requested", False))
        drained = _drain(app, received)
    finally:
        app.stop()
        _restore_signals(previous)
    return OK if drained else FAILED


def _calm_collector() -> None:
    """Keep what was loaded at the start out of the garbage collector's rounds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def run_entry(path: str) -> int:
    """Run an entry with the settings in a file, and return the exit code."""
    from geraniumspool.entry import build_entry
    from geraniumspool.settings import load_entry_settings

    settings = load_entry_settings(path)
    _set_up_logs(settings)
    return run_application(build_entry(settings))


def run_agent(path: str) -> int:
    """Run an agent with the settings in a file, and return the exit code."""
    from geraniumspool.agent import build_agent
    from geraniumspool.settings import load_agent_settings

    settings = load_agent_settings(path)
    _set_up_logs(settings)
    return run_application(build_agent(settings))


def run_demo(seconds: float, progress: bool | None = None) -> int:
    """Run the whole system in this process for a while, and return the exit code."""
    from geraniumspool.demo import run_demo as run

    return run(seconds, progress)


def run_load(
    entries: list[str],
    service: str,
    team: str,
    seconds: float,
    rate: float,
    mix: str,
    seed: int,
    load_share: float = 0.0,
    slots: int = 0,
    resubmit_share: float = 0.0,
) -> int:
    """Put load on a running system, print the report and return the exit code.

    :param entries: callers' addresses of the entries
    :param team: team of the jobs, or several with commas between
    :param seconds: how long
    :param rate: jobs a second, or 0 where ``load_share`` says it
    :param mix: name of the mix of jobs
    :param seed: seed of the random numbers
    :param load_share: share of all slots' time that is offered
    :param slots: slots of the whole system, 0 for the load tool's default
    :param resubmit_share: share of jobs that are submitted through two entries at once
    :returns: ``FAILED`` if a job got no answer or a wrong one
    """
    from geraniumspool.load import DEFAULT_SLOTS
    from geraniumspool.load import run_load as run

    report = run(
        entries=entries,
        service=service,
        team=team,
        seconds=seconds,
        rate=rate,
        mix=mix,
        seed=seed,
        load_share=load_share,
        slots=slots or DEFAULT_SLOTS,
        resubmit_share=resubmit_share,
    )
    print(json.dumps(report.as_json()), flush=True)
    return FAILED if report.unanswered or report.wrong_answers else OK


class StandinStoreApplication:
    """The stand-in of the platform's store as a program."""

    def __init__(self, host: str, port: int):
        """Record where to listen; port 0 takes any."""
        from geraniumspool.standin_store import StandinStore

        self._listen = (host, port)
        self._store = StandinStore(SystemClock())
        self._address = ""

    def start(self) -> None:
        """Begin to listen."""
        host, port = self._store.start(*self._listen)
        self._address = f"http://{host}:{port}"

    def ready_line(self) -> dict[str, str]:
        """Return the address in use."""
        return {"ready": "standin store", "store": self._address}

    def drain(self) -> bool:
        """Do nothing: a store has no work to finish."""
        return True

    def stop(self) -> None:
        """Stop listening."""
        self._store.stop()


class StandinMinionApplication:
    """The stand-in of a minion as a program."""

    def __init__(
        self,
        agent: str,
        service: str,
        slots: int,
        connections: int,
        host: str,
        port: int,
        clock: Clock | None = None,
    ):
        """Record where to listen and which agent to announce to."""
        from geraniumspool.standin_minion import StandinMinion

        self._agent = agent
        self._listen = (host, port)
        self._clock = clock or SystemClock()
        self._minion = StandinMinion(service, slots, connections, self._clock)
        self._url = ""

    def start(self) -> None:
        """Begin to listen, then announce to the agent."""
        self._url = self._minion.start(*self._listen)
        self._minion.announce(self._agent)

    def ready_line(self) -> dict[str, str]:
        """Return the address in use."""
        return {"ready": "standin minion", "minion": self._url}

    def drain(self) -> bool:
        """Leave: take no new tasks and finish those that run."""
        self._minion.leave()
        deadline_ms = self._clock.now() + MINION_DRAIN_LIMIT_MS
        while self._minion.running and self._clock.now() < deadline_ms:
            self._clock.sleep(SIGNAL_POLL_MS)
        return not self._minion.running

    def stop(self) -> None:
        """Stop listening."""
        self._minion.stop()


def run_standin_store(host: str, port: int) -> int:
    """Run the stand-in of the platform's store, and return the exit code."""
    return run_application(StandinStoreApplication(host, port))


def run_standin_minion(
    agent: str, service: str, slots: int, connections: int, host: str, port: int
) -> int:
    """Run the stand-in of a minion, and return the exit code."""
    app = StandinMinionApplication(agent, service, slots, connections, host, port)
    return run_application(app)


def _set_up_logs(settings: Any) -> None:
    from geraniumspool import logs

    logs.set_up(settings.log_level, sys.stderr)


def _watch_signals(handler: Callable[[int, Any], Any]) -> dict[int, Any]:
    return {number: signal.signal(number, handler) for number in (signal.SIGTERM, signal.SIGINT)}


def _restore_signals(previous: dict[int, Any]) -> None:
    for number, handler in previous.items():
        signal.signal(number, handler)


def _poll(condition: Callable[[], Any]) -> None:
    while not condition():
        eventlet.sleep(SIGNAL_POLL_MS / MS_PER_SECOND)


def _drain(app: Application, received: list[int]) -> bool:
    before = len(received)
    task = eventlet.spawn(app.drain)
    _poll(lambda: task.dead or len(received) > before)
    if task.dead:
        return task.wait() is not False
    logger.warning("second signal: ending at once")
    task.kill()
    return False


def _report_job(call: Callable[[], Any]) -> Any:
    try:
        return call()
    except DispatchError as error:
        problem = getattr(error, "problem", {})
        if _is_job_failure(error, problem):
            return problem
        raise


def _is_job_failure(error: DispatchError, problem: dict[str, Any]) -> bool:
    outcome = problem.get("outcome")
    if outcome == STATE_MAY_HAVE_RUN:
        return True
    return outcome == STATE_NOT_RUN and error.status not in REJECTED_STATUSES


def _decode_answer(method: str, response: urllib3.BaseHTTPResponse) -> Any:
    if not response.data and response.status < FIRST_FAILURE_STATUS:
        return {}
    try:
        answer = msgspec.json.decode(response.data)
    except msgspec.MsgspecError:
        answer = None
    if isinstance(answer, dict):
        return answer
    text = response.data[:MAX_DETAIL_CHARS].decode(errors="replace")
    if response.status < FIRST_FAILURE_STATUS:
        if method not in READ_METHODS:
            raise _outcome_unknown(f"the answer could not be read: {text}")
        raise _make_error(ANSWER_MALFORMED, f"the answer could not be read: {text}")
    return {"detail": f"HTTP status {response.status}: {text}"}


def _to_error(http_status: int, problem: dict[str, Any]) -> DispatchError:
    code = str(problem.get("code", ""))
    detail = str(problem.get("detail", ""))
    if code == InvalidInput.code and problem.get("findings"):
        error = InvalidInput([_to_finding(finding) for finding in problem["findings"]])
    else:
        error = _make_error(code or DispatchError.code, detail)
    error.status = http_status
    error.retry_after_ms = problem.get("retry_after_ms")
    error.problem = problem
    return error


def _to_finding(finding: Any) -> Finding:
    if isinstance(finding, dict):
        return Finding(
            str(finding.get("place", "")),
            int(finding.get("line") or 0),
            str(finding.get("path", "")),
            str(finding.get("text", "")),
        )
    if isinstance(finding, list) and len(finding) == len(Finding._fields):
        return Finding(*finding)
    return Finding("", 0, "", str(finding))


def _make_error(code: str, detail: str) -> DispatchError:
    for kind in vars(errors).values():
        if _is_plain_error(kind) and kind.code == code:
            return kind(detail)
    error = DispatchError(detail or code)
    error.code = code
    return error


def _is_plain_error(kind: Any) -> bool:
    is_error = isinstance(kind, type) and issubclass(kind, DispatchError)
    return is_error and kind is not InvalidInput


def _unreachable(base: str, detail: str) -> LinkDown:
    error = LinkDown(f"entry {base}: {detail}")
    error.code = ENTRY_UNREACHABLE
    return error


def _outcome_unknown(detail: str) -> DispatchError:
    return _make_error(OUTCOME_UNKNOWN, detail)
