"""How a runner reaches its minion: over HTTP, or a fake in memory.

Nothing is ever sent twice: retries and redirects are off, and every outcome
but an answer or a refused connection is reported as unknown.
"""

import enum
from collections import Counter
from typing import Any, NamedTuple, TypedDict
from urllib.parse import quote

import msgspec
import urllib3
from eventlet.event import Event
from urllib3.exceptions import HTTPError, NewConnectionError

from geraniumspool.clock import SystemClock
from geraniumspool.contracts import Announcement, Clock, Counters
from geraniumspool.endpoint import Endpoint
from geraniumspool.errors import NotStarted, TaskFailed, TaskUnknown

DEFAULT_CONNECTIONS = 64
STOP_LIMIT_MS = 2000.0
ENDPOINTS_KEPT = 64
DETAIL_BYTES = 300
DEFAULT_RUN_MS = 100.0

REQUESTS_METRIC = "minion_requests"
STOPS_METRIC = "minion_stops"


class TaskPayload(TypedDict, total=False):
    """What the fake and the stand-in read from a task's payload.

    Keys: ``run_ms`` is the run time in milliseconds, ``value`` is returned.
    """

    run_ms: float
    value: Any


class TaskResult(TypedDict):
    """What the fake and the stand-in answer."""

    value: Any
    minion: str
    task: str


def parse_payload(payload: bytes) -> TaskPayload:
    """Return the payload's known keys, or none where it has another shape.

    :param payload: the task's payload as JSON text
    :raises TaskFailed: if it is not JSON
    """
    try:
        return msgspec.json.decode(payload, type=TaskPayload)
    except msgspec.ValidationError:
        return {}
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise TaskFailed("payload is not JSON") from error


class HttpMinionClient:
    """Reaches minions over HTTP with connections kept alive."""

    def __init__(
        self,
        counters: Counters,
        connections: int = DEFAULT_CONNECTIONS,
        clock: Clock | None = None,
    ):
        """Start without connections.

        :param counters: where outcomes are counted
        :param connections: most connections to one minion, whatever it announces
        :param clock: source of time, or None for the machine's
        """
        self._counters = counters
        self._connections = connections
        self._clock = clock or SystemClock()
        self._endpoints: dict[str, Endpoint] = {}

    def run(self, minion: Announcement, task_id: str, payload: bytes, limit_ms: float) -> bytes:
        """Run one task and return its result as JSON text.

        :param minion: where to run it
        :param task_id: identity of the task, sent along
        :param payload: JSON text to post
        :param limit_ms: longest wait for the answer in milliseconds
        :raises NotStarted: if the connection was refused; nothing started
        :raises TaskFailed: if the minion answered with an error
        :raises TaskUnknown: if the answer was lost or late
        """
        try:
            result = self._post(minion, task_id, payload, limit_ms)
        except (NotStarted, TaskFailed, TaskUnknown) as error:
            self._counters.add(REQUESTS_METRIC, outcome=error.code)
            raise
        self._counters.add(REQUESTS_METRIC, outcome="ok")
        return result

    def stop(self, minion: Announcement, task_id: str) -> bool:
        """Ask the minion to stop a task; never raises.

        :param minion: where the task runs
        :param task_id: identity of the task
        :returns: whether the minion says it stopped it
        """
        try:
            path = f"/tasks/{quote(task_id, safe='')}"
            response = self._endpoint(minion).request("DELETE", path, STOP_LIMIT_MS)
            stopped = response.status in (200, 204)
        except (HTTPError, OSError, ValueError):
            stopped = False
        self._counters.add(STOPS_METRIC, stopped=str(stopped).lower())
        return stopped

    def close(self) -> None:
        """Close idle connections; tasks in flight are not cut off."""
        for endpoint in self._endpoints.values():
            endpoint.close()
        self._endpoints.clear()

    def _post(self, minion: Announcement, task_id: str, payload: bytes, limit_ms: float) -> bytes:
        headers = {"Content-Type": "application/json", "Task-Id": task_id}
        try:
            endpoint = self._endpoint(minion)
            response = endpoint.request("POST", "/tasks", limit_ms, body=payload, headers=headers)
        except NewConnectionError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise NotStarted(str(error)) from error
            raise TaskUnknown(str(error)) from error
        except (HTTPError, OSError) as error:
            raise TaskUnknown(f"{type(error).__name__}: {error}") from error
        return _result_of(response)

    def _endpoint(self, minion: Announcement) -> Endpoint:
        limit = max(1, min(self._connections, minion.connections))
        known = self._endpoints.get(minion.url)
        # A changed limit waits until nothing is in flight, so that old and new never add up.
        if known and (known.limit == limit or known.in_flight):
            return known
        if known:
            known.close()
        elif len(self._endpoints) >= ENDPOINTS_KEPT:
            self._forget_idle()
        endpoint = Endpoint(minion.url, limit, self._clock)
        self._endpoints[minion.url] = endpoint
        return endpoint

    def _forget_idle(self) -> None:
        idle = [url for url, endpoint in self._endpoints.items() if not endpoint.in_flight]
        for url in idle:
            self._endpoints.pop(url).close()


def _result_of(response: urllib3.BaseHTTPResponse) -> bytes:
    body = response.data
    if response.status != 200:
        text = body[:DETAIL_BYTES].decode(errors="replace")
        raise TaskFailed(f"status {response.status}: {text}")
    try:
        msgspec.json.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise TaskFailed("answer is not JSON") from error
    return body


class FaultKind(enum.Enum):
    """What goes wrong with a task of the fake."""

    NONE = "none"
    REFUSE = "refuse"
    FAIL = "fail"
    SILENT = "silent"


class Fault(NamedTuple):
    """Scripted behaviour of the fake.

    :param kind: what goes wrong
    :param slow_factor: factor on the run time
    """

    kind: FaultKind = FaultKind.NONE
    slow_factor: float = 1.0


class _Run:
    """One started task of the fake."""

    def __init__(self, task_id: str):
        self.task_id = task_id
        self.done = Event()


class MemoryMinionClient:
    """A fake minion that runs tasks by waiting on the clock."""

    def __init__(self, clock: Clock, default_run_ms: float = DEFAULT_RUN_MS):
        """Start without faults.

        :param clock: source of time
        :param default_run_ms: run time of payloads that name none, in milliseconds
        """
        self.starts: Counter[str] = Counter()
        self.peak_running = 0
        self._clock = clock
        self._default_run_ms = default_run_ms
        self._default_fault = Fault()
        self._faults: dict[str, Fault] = {}
        self._runs: set[_Run] = set()

    @property
    def running(self) -> int:
        """Tasks running now."""
        return len(self._runs)

    def script(self, fault: Fault, task_id: str | None = None) -> None:
        """Set the behaviour of one task, or of all that have none of their own.

        :param fault: the behaviour from the next start on
        :param task_id: the task, or None for all others
        """
        if task_id is None:
            self._default_fault = fault
        else:
            self._faults[task_id] = fault

    def run(self, minion: Announcement, task_id: str, payload: bytes, limit_ms: float) -> bytes:
        """Run one task; see :meth:`HttpMinionClient.run`."""
        fault = self._faults.get(task_id, self._default_fault)
        if fault.kind is FaultKind.REFUSE:
            raise NotStarted("connection refused")
        document = parse_payload(payload)
        run = self._start(task_id)
        if fault.kind is not FaultKind.SILENT:
            run_ms = document.get("run_ms", self._default_run_ms) * fault.slow_factor
            self._clock.after(run_ms, lambda: self._end(run, fault.kind is FaultKind.FAIL))
        if not self._clock.wait(run.done, limit_ms):
            raise TaskUnknown(f"no answer within {limit_ms:.0f} ms")
        error = run.done.wait()
        if error:
            raise TaskFailed(error)
        result = TaskResult(value=document.get("value"), minion=minion.url, task=task_id)
        return msgspec.json.encode(result)

    def stop(self, minion: Announcement, task_id: str) -> bool:
        """Stop a running task; see :meth:`HttpMinionClient.stop`."""
        stopped = [run for run in self._runs if run.task_id == task_id]
        for run in stopped:
            self._runs.remove(run)
            run.done.send("stopped")
        return bool(stopped)

    def _start(self, task_id: str) -> _Run:
        run = _Run(task_id)
        self.starts[task_id] += 1
        self._runs.add(run)
        self.peak_running = max(self.peak_running, self.running)
        return run

    def _end(self, run: _Run, failed: bool) -> None:
        if run in self._runs:
            self._runs.remove(run)
            run.done.send("scripted failure" if failed else None)
