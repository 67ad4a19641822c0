"""The command line.

Fire reads the arguments of a command and only records what is to be done; it
is done once all arguments were understood, so a misspelt flag never leaves a
command half done.

Exit codes, for scripts:

==== =========================================================
0    done
1    failed, or the job failed without having run
2    the command line was wrong; nothing was done
3    the thing asked for does not exist
4    conflict: it was changed meanwhile
5    outcome unknown: it may or may not have been done
6    the entry could not be reached; nothing was done
7    the operators' token is missing or wrong
8    invalid input; findings are on standard error, one a line
==== =========================================================
"""

import contextlib
import io
import json
import os
import sys
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from functools import partial
from typing import Any, NamedTuple, NoReturn

import fire
from fire.core import FireExit
from fire.decorators import SetParseFn
from tabulate import tabulate

from geraniumspool import __version__, operations, operator_answers, program
from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.decisions import EXPLANATIONS
from geraniumspool.entry_client import (
    ENTRY_UNREACHABLE,
    OUTCOME_UNKNOWN,
    EntryAddress,
    EntryClient,
)
from geraniumspool.errors import DispatchError, InvalidInput
from geraniumspool.messages import STATE_CONFLICT, STATE_MAY_HAVE_RUN, STATE_NOT_RUN, STATE_UNKNOWN

EXIT_OK = program.OK
EXIT_FAILED = program.FAILED
EXIT_USAGE = 2
EXIT_NOT_FOUND = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5
EXIT_UNREACHABLE = 6
EXIT_UNAUTHORIZED = 7
EXIT_INVALID = 8

EXIT_BY_CODE = {
    "not_found": EXIT_NOT_FOUND,
    "config_stale_revision": EXIT_CONFLICT,
    "job_conflict": EXIT_CONFLICT,
    "ticket_foreign_service": EXIT_CONFLICT,
    "config_change_unknown": EXIT_UNKNOWN,
    "store_unknown": EXIT_UNKNOWN,
    OUTCOME_UNKNOWN: EXIT_UNKNOWN,
    ENTRY_UNREACHABLE: EXIT_UNREACHABLE,
    "unauthorized": EXIT_UNAUTHORIZED,
    "invalid_input": EXIT_INVALID,
    "ticket_malformed": EXIT_INVALID,
    "ticket_forged": EXIT_INVALID,
    "payload_too_large": EXIT_INVALID,
}
EXIT_BY_STATUS = {
    400: EXIT_INVALID,
    401: EXIT_UNAUTHORIZED,
    404: EXIT_NOT_FOUND,
    409: EXIT_CONFLICT,
    413: EXIT_INVALID,
}
EXIT_BY_JOB_STATE = {
    STATE_NOT_RUN: EXIT_FAILED,
    STATE_MAY_HAVE_RUN: EXIT_UNKNOWN,
    STATE_UNKNOWN: EXIT_NOT_FOUND,
    STATE_CONFLICT: EXIT_CONFLICT,
}

PROGRAM = "geraniumspool"
ENTRY_VARIABLE = "GERANIUMSPOOL_ENTRY"
TOKEN_VARIABLE = "GERANIUMSPOOL_TOKEN"
MIN_TICKET_CHARS = 40
TICKET_FLAGS = {"job": "--ticket", "cancel": "--ticket", "why": "--subject"}
FLAG_WITHOUT_VALUE = "True"
HELP_NOTICE = "INFO: Showing help"
STANDARD_INPUT = "/dev/stdin"
DEFAULT_RATE = "10"
MAX_CELL_CHARS = 60

# Fire keeps what a decorator says in an attribute; a leading underscore hides it in help texts.
fire.decorators.FIRE_METADATA = "_fire_metadata"
_as_text = SetParseFn(str)


class Target(NamedTuple):
    """Flags that all operators' commands share.

    :param entry: host and port, or empty for the environment's
    :param token: token, or empty for the environment's
    :param as_json: whether to print JSON rather than a table
    """

    entry: str
    token: str
    as_json: bool


class Plan:
    """What a command line asks for, done once it was understood whole."""

    def __init__(self):
        """Start with nothing to do."""
        self.run: Callable[[], int] | None = None

    def ask(
        self,
        target: Target,
        call: Callable[..., Any],
        show: Callable[[Any], str],
        *arguments: Any,
        judge: Callable[[Any], int] = lambda _answer: EXIT_OK,
    ) -> None:
        """Plan one call to an entry.

        :param call: function of :mod:`geraniumspool.operations`
        :param show: makes the text for people out of the answer
        :param judge: makes the exit code out of the answer
        """
        entry = _find_entry(target)

        def run() -> int:
            answer = call(EntryClient(entry), *arguments)
            text = json.dumps(answer, indent=2) if target.as_json else show(answer)
            print(text, flush=True)
            return judge(answer)

        self.run = run


class ConfigCommands:
    """Configuration documents: one for each service and each team."""

    def __init__(self, plan: Plan):
        """Record where to plan."""
        self._plan = plan

    @_as_text
    def list(self, *, entry="", token="", json="False"):
        """List all documents in force."""
        target = _target(entry, token, json)
        self._plan.ask(target, operations.config_list, _show_documents)

    @_as_text
    def get(self, key, *, entry="", token="", json="False"):
        """Print the document KEY, such as service/fitting."""
        target = _target(entry, token, json)
        self._plan.ask(target, operations.config_get, _show_document, _key(key))

    @_as_text
    def apply(
        self,
        key,
        file,
        *,
        expected_revision,
        who,
        why,
        change_id="",
        entry="",
        token="",
        json="False",
    ):
        """Change the document KEY to the text in FILE ("-" is standard input).

        :param expected_revision: revision the change is based on, 0 for a new document
        :param who: who makes the change
        :param why: reason of the change
        :param change_id: id of an earlier try, to repeat it safely
        """
        target = _target(entry, token, json)
        revision = _whole(expected_revision, "--expected-revision")
        arguments = (_key(key), _read(file), revision, _given(who, "--who"), _given(why, "--why"))
        self._plan.ask(target, operations.config_apply, _show_pairs, *arguments, change_id)

    @_as_text
    def history(self, key, *, entry="", token="", json="False"):
        """Print the audit trail of the document KEY."""
        target = _target(entry, token, json)
        self._plan.ask(target, operations.config_history, _show_history, _key(key))

    @_as_text
    def status(self, *, entry="", token="", json="False"):
        """Print the revision in force per failure domain."""
        target = _target(entry, token, json)
        self._plan.ask(target, operations.config_status, _show_config_status)


class StandinCommands:
    """Small stand-ins of what the platform gives, for tests and trials."""

    def __init__(self, plan: Plan):
        """Record where to plan."""
        self._plan = plan

    @_as_text
    def store(self, *, listen="127.0.0.1:0"):
        """Run a stand-in of the platform's store."""
        self._plan.run = partial(operations.run_standin_store, *_listen(listen))

    @_as_text
    def minion(self, *, agent, service, slots="8", connections="64", listen="127.0.0.1:0"):
        """Run a stand-in of a minion and announce it to an agent.

        :param agent: address of the agent's minion listener, such as http://127.0.0.1:7000
        """
        slots, connections = _whole(slots, "--slots"), _whole(connections, "--connections")
        arguments = (agent, service, slots, connections, *_listen(listen))
        self._plan.run = partial(operations.run_standin_minion, *arguments)


class Commands:
    """A dispatcher for services made of many sub-second tasks.

    Operators' commands ask any entry: name it with --entry HOST:PORT and --token TOKEN,
    or in GERANIUMSPOOL_ENTRY and GERANIUMSPOOL_TOKEN. --json prints JSON.
    """

    def __init__(self, plan: Plan):
        """Record where to plan."""
        self._plan = plan
        self.config = ConfigCommands(plan)
        self.standin = StandinCommands(plan)

    @_as_text
    def entry(self, settings):
        """Run an entry with the settings in the file SETTINGS."""
        self._plan.run = partial(operations.run_entry, _file(settings))

    @_as_text
    def agent(self, settings):
        """Run an agent with the settings in the file SETTINGS."""
        self._plan.run = partial(operations.run_agent, _file(settings))

    @_as_text
    def demo(self, *, seconds="24", progress="False"):
        """Run the whole system in one process and print a summary."""
        if progress not in ("True", "False"):
            raise _UsageFault("--progress takes no value")
        shown = True if progress == "True" else None
        self._plan.run = partial(operations.run_demo, _number(seconds, "--seconds"), shown)

    @_as_text
    def load(
        self,
        entries,
        *,
        service,
        team,
        seconds="10",
        rate="",
        load_share="",
        slots="88",
        mix="brief",
        seed="1",
        resubmit_share="",
    ):
        """Put load on a running system and print a report.

        :param entries: callers' addresses, host:port, with commas in between
        :param rate: jobs a second, 10 by default; or give --load-share
        :param load_share: share of the time of all slots that is offered
        :param mix: light, brief, narrow or wide
        :param resubmit_share: share of jobs submitted through two entries at once
        """
        if rate and load_share:
            raise _UsageFault("give --rate or --load-share, not both")
        self._plan.run = partial(
            operations.run_load,
            entries.split(","),
            service,
            team,
            _number(seconds, "--seconds"),
            0.0 if load_share else _number(rate or DEFAULT_RATE, "--rate"),
            mix,
            _whole(seed, "--seed"),
            _number(load_share, "--load-share") if load_share else 0.0,
            _whole(slots, "--slots"),
            _number(resubmit_share, "--resubmit-share") if resubmit_share else 0.0,
        )

    @_as_text
    def status(self, *, entry="", token="", json="False"):
        """Print the state of an entry and of the failure domains."""
        self._plan.ask(_target(entry, token, json), operations.status, _show_status)

    @_as_text
    def roster(self, *, entry="", token="", json="False"):
        """Print all processes that an entry knows."""
        self._plan.ask(_target(entry, token, json), operations.roster, _show_roster)

    @_as_text
    def drain(self, address, *, who, why, entry="", token="", json="False"):
        """Ask the process with the inbox ADDRESS to leave gracefully."""
        arguments = (address, _given(who, "--who"), _given(why, "--why"))
        self._plan.ask(_target(entry, token, json), operations.drain, _show_pairs, *arguments)

    @_as_text
    def job(self, ticket, *, entry="", token="", json="False"):
        """Print the state of the job of TICKET."""
        target = _target(entry, token, json)
        self._plan.ask(target, operations.job, _show_pairs, ticket, judge=_judge_job)

    @_as_text
    def cancel(self, ticket, *, entry="", token="", json="False"):
        """Cancel the job of TICKET."""
        target = _target(entry, token, json)
        self._plan.ask(target, operations.cancel, _show_pairs, ticket, judge=_judge_cancel)

    @_as_text
    def why(self, subject, *, entry="", token="", json="False"):
        """Print the decisions on a job, by ticket, or one decision, by id."""
        target = _target(entry, token, json)
        self._plan.ask(target, operations.why, _show_decisions, subject)

    @_as_text
    def check(self, settings):
        """Check the settings file of an entry or an agent."""

        def run() -> int:
            operations.check(path)
            return EXIT_OK

        path = _file(settings)
        self._plan.run = run

    @_as_text
    def version(self):
        """Print the version."""

        def run() -> int:
            print(__version__)
            return EXIT_OK

        self._plan.run = run


def main(argv: list[str] | None = None) -> NoReturn:
    """Run a command line and exit with its exit code.

    :param argv: arguments without the program's name, the process's own by default
    """
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: list[str]) -> int:
    """Run a command line and return its exit code.

    :param argv: arguments without the program's name
    """
    try:
        plan = _understand(argv)
        return EXIT_OK if plan.run is None else plan.run()
    except _UsageFault as fault:
        print(f"{PROGRAM}: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except InvalidInput as error:
        print("\n".join(str(finding) for finding in error.findings), file=sys.stderr)
        return EXIT_INVALID
    except DispatchError as error:
        print(f"{PROGRAM}: {error.code}: {error.detail}", file=sys.stderr)
        return choose_exit_code(error)
    except OSError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_FAILED


def choose_exit_code(error: DispatchError) -> int:
    """Return the exit code that tells scripts of an error."""
    if error.code in EXIT_BY_CODE:
        return EXIT_BY_CODE[error.code]
    return EXIT_BY_STATUS.get(error.status, EXIT_FAILED)


class _UsageFault(Exception):
    """The command line was wrong."""


def _understand(argv: list[str]) -> Plan:
    plan = Plan()
    output, complaints = io.StringIO(), io.StringIO()
    # Fire would start a pager on a terminal, and act on arguments after "--".
    if "--" in argv:
        raise _UsageFault("-- is not understood")
    ticket_flag = TICKET_FLAGS.get(argv[0], "") if argv else ""
    arguments = [_normalise(argument, ticket_flag) for argument in argv]
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(complaints):
            result = fire.Fire(Commands(plan), arguments, PROGRAM)
    except FireExit as stop:
        if stop.code:
            raise _UsageFault(complaints.getvalue().strip()) from None
        lines = complaints.getvalue().strip().splitlines()
        print("\n".join(line for line in lines if not line.startswith(HELP_NOTICE)).strip())
        return Plan()
    if plan.run is None and argv:
        raise _UsageFault("no command was given\n" + output.getvalue().strip())
    if result is not None:
        print(output.getvalue().strip())
    return plan


def _normalise(argument: str, ticket_flag: str) -> str:
    if argument == "--json":
        return "--json=True"
    if argument == "-":
        return STANDARD_INPUT
    looks_like_ticket = len(argument) >= MIN_TICKET_CHARS and "=" not in argument
    if ticket_flag and argument.startswith("-") and looks_like_ticket:
        return f"{ticket_flag}={argument}"
    return argument


def _target(entry: str, token: str, as_json: str) -> Target:
    if as_json not in ("True", "False"):
        raise _UsageFault("--json takes no value")
    if FLAG_WITHOUT_VALUE in (entry, token):
        raise _UsageFault("--entry and --token need a value")
    return Target(entry, token, as_json == "True")


def _find_entry(target: Target) -> EntryAddress:
    address = target.entry or os.environ.get(ENTRY_VARIABLE, "")
    if not address:
        raise _UsageFault(f"no entry given: add --entry HOST:PORT or set {ENTRY_VARIABLE}")
    return EntryAddress(address, target.token or os.environ.get(TOKEN_VARIABLE, ""))


def _key(text: str) -> str:
    parts = text.split("/")
    if len(parts) != 2 or not all(parts):
        raise _UsageFault(f"{text!r} is no document key such as service/fitting")
    return text


def _given(text: str, flag: str) -> str:
    if not text.strip() or text == FLAG_WITHOUT_VALUE:
        raise _UsageFault(f"{flag} needs a text")
    return text


def _whole(text: str, flag: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise _UsageFault(f"{flag} needs a whole number, not {text!r}")
    return int(text)


def _number(text: str, flag: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 < value < float("inf"):
        raise _UsageFault(f"{flag} needs a number above 0, not {text!r}")
    return value


def _listen(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise _UsageFault(f"{text!r} is no address such as 127.0.0.1:0")
    return host, _whole(port, "--listen")


def _file(path: str) -> str:
    if not os.path.isfile(path):
        raise _UsageFault(f"there is no file {path!r}")
    return path


def _read(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise _UsageFault(f"cannot read {path!r}: {error}") from None


def _judge_job(answer: Any) -> int:
    state = answer.get("outcome") or answer.get("state") or ""
    return EXIT_BY_JOB_STATE.get(state, EXIT_OK)


def _judge_cancel(answer: Any) -> int:
    code = _judge_job(answer)
    cancelled = answer.get("code") in ("job_cancelled", "cancelled")
    return EXIT_OK if cancelled and code == EXIT_FAILED else code


def _table(rows: Iterable[Any], columns: list[str]) -> str:
    cells = [[_cell(row.get(column, "")) for column in columns] for row in rows]
    return tabulate(cells, headers=columns, tablefmt="simple", disable_numparse=True)


def _cell(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    text = " ".join(text.split())
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 3] + "..."


def _time(at_ms: float) -> str:
    moment = datetime.fromtimestamp(at_ms / MS_PER_SECOND, UTC)
    return moment.isoformat(sep=" ", timespec="milliseconds").replace("+00:00", "Z")


def _show_pairs(answer: Any) -> str:
    rows = [(name, _cell(value)) for name, value in answer.items()]
    return tabulate(rows, tablefmt="plain", disable_numparse=True) or "done"


def _show_status(answer: operator_answers.Status) -> str:
    entry, store = answer["entry"], answer["store"]
    head = {
        "entry": f"{entry['address']} {entry['state']}",
        "failure domain": entry["domain"],
        "incarnation": entry["incarnation"],
        "store": f"{store['state']}, last contact {store['last_contact_ms']} ms",
        "config revision": answer["config_revision"],
    }
    columns = list(operator_answers.DomainStatus.__annotations__)
    parts = [_show_pairs(head), _table(answer["domains"], columns)]
    if answer.get("counters"):
        parts.append(_show_pairs(answer["counters"]))
    return "\n\n".join(parts)


def _show_roster(answer: operator_answers.Roster) -> str:
    return _table(answer["members"], list(operator_answers.MemberStatus.__annotations__))


def _show_documents(answer: operator_answers.ConfigDocuments) -> str:
    return _table(answer["documents"], list(operator_answers.ConfigDocument.__annotations__))


def _show_document(answer: operator_answers.ConfigDocument) -> str:
    body = answer["body"]
    text = body if isinstance(body, str) else json.dumps(body, indent=2)
    return f"# {answer['key']} revision {answer['revision']}\n{text}"


def _show_history(answer: operator_answers.ConfigHistory) -> str:
    rows = [{**change, "at": _time(change["at_ms"])} for change in answer["changes"]]
    return _table(rows, ["revision", "at", "who", "why", "change_id", "before", "after"])


def _show_config_status(answer: operator_answers.ConfigStatus) -> str:
    columns = list(operator_answers.DomainRevision.__annotations__)
    return f"newest {answer['newest']}\n\n{_table(answer['domains'], columns)}"


def _show_decisions(answer: operator_answers.Decisions) -> str:
    lines = []
    for decision in answer["decisions"]:
        figures = " ".join(f"{name}={value}" for name, value in decision["figures"].items())
        lines.append(f"{_time(decision['at_ms'])}  {decision['id']}  {decision['code']}  {figures}")
        lines.append(f"    {EXPLANATIONS.get(decision['code'], '')}")
    return "\n".join(line.rstrip() for line in lines) or "no decisions are kept on it"
