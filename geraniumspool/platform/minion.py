"""HTTP client for the minion beside an executor."""

import errno
from typing import Any, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, LocationValueError

from geraniumspool.contracts import (
    Clock,
    Counters,
    FinishedRun,
    MinionIncarnation,
    MinionStatus,
    RunKey,
    StartAnswer,
    StartOutcome,
)
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.endpoint import Endpoint
from geraniumspool.errors import Fenced, MinionDown, MinionReplaced, MinionSilent
from geraniumspool.run_stops import MAX_STOP_CALLS

# Timeout of a start or stop. A call on the same host takes 1 to 2 ms, ten times as long on a
# slow host. A task whose start is lost is sent to another worker after this; the shortest
# jobs have 250 ms in all.
COMMAND_TIMEOUT_MS = 120.0
# Timeout of a poll: two polls in a row may be lost before the lease of 500 ms expires.
POLL_TIMEOUT_MS = 80.0
# Connection limits per minion. Calls are short compared with the pauses between them, so that
# a few connections suffice and stay in use; more would be closed as idle and opened again.
START_CONNECTIONS = 3
# Stops do not wait for starts, each of which may take 120 ms if it is not answered. There are as
# many connections as stop calls in progress, so that no call waits within its time limit.
STOP_CONNECTIONS = MAX_STOP_CALLS
# One for the poll that waits for ended runs, one for polls about the outcome of a start or stop.
POLL_CONNECTIONS = 2
# Most finished runs in one answer to a poll; more follow once these are acknowledged.
MAX_LISTED_ENDS = 500

# Start outcomes by the reason in an answer with status 409.
_OUTCOMES = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD,
    "late": StartOutcome.LATE,
    "room": StartOutcome.FULL,
}

AnswerT = TypeVar("AnswerT")
# Leading columns of the rows of a poll's answer; further columns are not used.
RunningRow = tuple[str, int, Any, float]
EndedRow = tuple[int, str, int, str]
ROW_COLUMNS = 4


class StartBody(msgspec.Struct):
    """Request to start a run.

    :ivar task: name of the task
    :ivar run: attempt number
    :ivar spec: payload of the task
    :ivar deadline_ms: expiry of the lease of all runs at the minion, on the minion's clock;
        it is not the task's deadline
    :ivar fence: fencing token
    """

    task: str
    run: int
    spec: str
    deadline_ms: int
    fence: int


class StopBody(msgspec.Struct):
    """Request to stop a run.

    :ivar task: name of the task
    :ivar run: attempt number
    :ivar fence: fencing token
    """

    task: str
    run: int
    fence: int


class CommandAnswer(msgspec.Struct):
    """Answer to a start, a stop or a refused poll.

    :ivar clock_ms: the minion's clock in milliseconds
    :ivar reason: why the request was refused, a key of ``_OUTCOMES``
    """

    clock_ms: float = 0.0
    reason: str = ""


class PollAnswer(msgspec.Struct):
    """Answer to a poll.

    :ivar clock_ms: the minion's clock in milliseconds
    :ivar born: Unix time in milliseconds at which the incarnation that answers started
    :ivar running: rows of task, attempt, checkpoint, progress in percent and estimated load
    :ivar ended: rows of sequence number, task, attempt, outcome and checkpoint
    """

    clock_ms: float
    born: int = 0
    running: list[list[Any]] = []
    ended: list[list[Any]] = []


class HttpMinionControl:
    """HTTP client of the executor; see :class:`geraniumspool.contracts.MinionControl`.

    Calls are never retried.
    """

    def __init__(self, clock: Clock, counters: Counters):
        """Create the client; connections are opened by the first calls.

        :param counters: where ``minion_calls`` is counted by path and outcome
        """
        self._clock = clock
        self._counters = counters
        self._start_endpoints: dict[str, Endpoint] = {}
        self._stop_endpoints: dict[str, Endpoint] = {}
        self._poll_endpoints: dict[str, Endpoint] = {}

    def start(
        self,
        incarnation: MinionIncarnation,
        key: RunKey,
        payload: str,
        lease_until_ms: float,
        fencing_token: int,
    ) -> StartAnswer:
        """Start a run; see :meth:`geraniumspool.contracts.MinionControl.start`."""
        body = StartBody(key.task, key.attempt, payload, int(lease_until_ms), fencing_token)
        endpoint = self._endpoint_for(self._start_endpoints, incarnation, START_CONNECTIONS)
        response = self._call(endpoint, incarnation, "/run-start", body, COMMAND_TIMEOUT_MS)
        if response.status in (429, 503):
            return StartAnswer(StartOutcome.UNHEALTHY, 0.0)
        if response.status == 400:
            return StartAnswer(StartOutcome.REJECTED, 0.0)
        if response.status not in (200, 409):
            # Any other status leaves open whether the run started.
            raise MinionSilent(f"minion answered a start with status {response.status}")
        answer = _decode(response, CommandAnswer)
        if response.status == 200:
            return StartAnswer(StartOutcome.STARTED, answer.clock_ms)
        outcome = _OUTCOMES.get(answer.reason, StartOutcome.REJECTED)
        return StartAnswer(outcome, answer.clock_ms)

    def stop(self, incarnation: MinionIncarnation, key: RunKey, fencing_token: int) -> None:
        """Stop a run; see :meth:`geraniumspool.contracts.MinionControl.stop`."""
        body = StopBody(key.task, key.attempt, fencing_token)
        endpoint = self._endpoint_for(self._stop_endpoints, incarnation, STOP_CONNECTIONS)
        response = self._call(endpoint, incarnation, "/run-stop", body, COMMAND_TIMEOUT_MS)
        _raise_unless_ok(response)

    def poll(
        self,
        incarnation: MinionIncarnation,
        fencing_token: int,
        acknowledged_number: int,
        lease_until_ms: float | None,
        wait_ms: float,
    ) -> MinionStatus:
        """Poll the minion; see :meth:`geraniumspool.contracts.MinionControl.poll`."""
        body = {"fence": fencing_token, "acked_upto": acknowledged_number}
        if lease_until_ms is not None:
            body["deadline_ms"] = int(lease_until_ms)
        if wait_ms:
            body["wait_ms"] = round(wait_ms)
        endpoint = self._endpoint_for(self._poll_endpoints, incarnation, POLL_CONNECTIONS)
        response = self._call(endpoint, incarnation, "/hold", body, POLL_TIMEOUT_MS + wait_ms)
        _raise_unless_ok(response)
        held = _decode(response, PollAnswer)
        if held.born != incarnation.started_unix_ms:
            detail = (
                f"minion {incarnation.instance} started at {held.born}, "
                f"not {incarnation.started_unix_ms}"
            )
            raise MinionReplaced(detail, held.born)
        running = {
            RunKey(task, attempt): percent / 100
            for task, attempt, _, percent in _convert_rows(held.running, RunningRow)
        }
        ended = tuple(
            FinishedRun(number, RunKey(task, attempt), how)
            for number, task, attempt, how in _convert_rows(held.ended, EndedRow)
        )
        is_partial = len(ended) >= MAX_LISTED_ENDS
        return MinionStatus(held.clock_ms, running, ended, held.born, is_partial)

    def _call(
        self,
        endpoint: Endpoint,
        incarnation: MinionIncarnation,
        path: str,
        body: Any,
        limit_ms: float,
    ) -> urllib3.BaseHTTPResponse:
        headers = {"Content-Type": "application/json", "Expect-Instance": incarnation.instance}
        data = msgspec.json.encode(body)
        try:
            response = endpoint.request("POST", path, limit_ms, body=data, headers=headers)
        except (HTTPError, OSError, ValueError) as error:
            # ValueError: the instance name cannot be sent in a header.
            exception = MinionDown if _is_refused(error) else MinionSilent
            outcome = "refused" if exception is MinionDown else "unanswered"
            self._counters.add("minion_calls", path=path, outcome=outcome)
            raise exception(f"{path}: {type(error).__name__}") from error
        self._counters.add("minion_calls", path=path, outcome=str(response.status))
        if response.status == 421:
            raise MinionReplaced(
                f"{incarnation.address} no longer serves minion {incarnation.instance}"
            )
        return response

    def _endpoint_for(
        self, endpoints: dict[str, Endpoint], incarnation: MinionIncarnation, connections: int
    ) -> Endpoint:
        endpoint = endpoints.get(incarnation.address)
        if endpoint is None:
            try:
                endpoint = Endpoint(f"http://{incarnation.address}", connections, self._clock)
            except LocationValueError as error:
                raise MinionSilent(f"unusable address {incarnation.address!r}") from error
            endpoints[incarnation.address] = endpoint
        return endpoint


def _is_refused(error: Exception) -> bool:
    """Return whether the connection was refused: the host is up and nothing listens there."""
    return getattr(error.__cause__, "errno", None) == errno.ECONNREFUSED


def _raise_unless_ok(response: urllib3.BaseHTTPResponse) -> None:
    if response.status == 200:
        return
    if response.status == 409 and _decode(response, CommandAnswer).reason == "fence":
        raise Fenced("the minion has seen a higher fencing token")
    raise MinionSilent(f"minion answered with status {response.status}")


def _decode(response: urllib3.BaseHTTPResponse, answer_type: type[AnswerT]) -> AnswerT:
    try:
        return msgspec.json.decode(response.data, type=answer_type)
    except DECODE_ERRORS as error:
        raise MinionSilent(f"invalid {answer_type.__name__} from the minion: {error}") from error


def _convert_rows(rows: list[list[Any]], row_type: Any) -> list[Any]:
    try:
        return msgspec.convert([row[:ROW_COLUMNS] for row in rows], list[row_type])
    except msgspec.ValidationError as error:
        raise MinionSilent(f"invalid row from the minion: {error}") from error
