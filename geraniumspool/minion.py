"""Clients through which a runner reaches its minion: over HTTP, or a fake in memory.

A task is never sent twice: retries and redirects are disabled. If there is neither
a response nor a refused connection, the client reports that it does not know
whether the task ran.
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
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.endpoint import Endpoint
from geraniumspool.errors import NotStarted, TaskFailed, TaskUnknown

DEFAULT_CONNECTIONS = 64
STOP_TIMEOUT_MS = 2000.0
MAX_ENDPOINTS = 64
MAX_DETAIL_BYTES = 300
DEFAULT_RUN_MS = 100.0

REQUESTS_METRIC = "minion_requests"
STOPS_METRIC = "minion_stops"


class TaskPayload(TypedDict, total=False):
    """Payload of a task for the fake and the stand-in minion.

    Keys: ``run_ms`` is the run time in milliseconds, ``value`` is echoed in the result.
    """

    run_ms: float
    value: Any


class TaskResult(TypedDict):
    """Result of a task from the fake and the stand-in minion.

    Keys: ``value`` is that of the payload, ``minion`` the minion's base URL, ``task`` the
    task's id.
    """

    value: Any
    minion: str
    task: str


def parse_payload(payload: bytes) -> TaskPayload:
    """Decode a task's payload; JSON that does not fit :class:`TaskPayload` counts as empty.

    :param payload: payload as JSON text
    :raises TaskFailed: if it is not valid JSON
    """
    try:
        return msgspec.json.decode(payload, type=TaskPayload)
    except msgspec.ValidationError:
        return {}
    except (*DECODE_ERRORS, ValueError) as error:
        raise TaskFailed("payload is not JSON") from error


class HttpMinionClient:
    """Sends tasks to minions over HTTP, on persistent connections."""

    def __init__(
        self,
        counters: Counters,
        connections: int = DEFAULT_CONNECTIONS,
        clock: Clock | None = None,
    ):
        """Create a client without open connections.

        :param counters: counters for the outcomes of requests
        :param connections: most connections to one minion, even if it announces more
        :param clock: source of time, or None for the system clock
        """
        self._counters = counters
        self._connections = connections
        self._clock = clock or SystemClock()
        self._endpoints: dict[str, Endpoint] = {}

    def run(self, minion: Announcement, task_id: str, payload: bytes, timeout_ms: float) -> bytes:
        """Run one task and return its result as JSON text.

        :param minion: minion that is to run the task
        :param task_id: id of the task, sent in the header ``Task-Id``
        :param payload: JSON text to send as the request body
        :param timeout_ms: timeout of the response in milliseconds
        :raises NotStarted: if the connection was refused, so the task did not start
        :raises TaskFailed: if the minion answered with an error or without JSON
        :raises TaskUnknown: if no complete response came in time; the task may have run
        """
        try:
            result = self._post(minion, task_id, payload, timeout_ms)
        except (NotStarted, TaskFailed, TaskUnknown) as error:
            self._counters.add(REQUESTS_METRIC, outcome=error.code)
            raise
        self._counters.add(REQUESTS_METRIC, outcome="ok")
        return result

    def stop(self, minion: Announcement, task_id: str) -> bool:
        """Ask the minion to stop a task; network errors are not raised.

        :param minion: minion that runs the task
        :param task_id: id of the task
        :returns: whether the minion confirmed that it stopped the task
        """
        try:
            path = f"/tasks/{quote(task_id, safe='')}"
            response = self._get_endpoint(minion).request("DELETE", path, STOP_TIMEOUT_MS)
            stopped = response.status in (200, 204)
        except (HTTPError, OSError, ValueError):
            stopped = False
        self._counters.add(STOPS_METRIC, stopped=str(stopped).lower())
        return stopped

    def close(self) -> None:
        """Close idle connections; requests in flight are not aborted."""
        for endpoint in self._endpoints.values():
            endpoint.close()
        self._endpoints.clear()

    def _post(self, minion: Announcement, task_id: str, payload: bytes, timeout_ms: float) -> bytes:
        headers = {"Content-Type": "application/json", "Task-Id": task_id}
        try:
            endpoint = self._get_endpoint(minion)
            response = endpoint.request("POST", "/tasks", timeout_ms, body=payload, headers=headers)
        except NewConnectionError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise NotStarted(str(error)) from error
            raise TaskUnknown(str(error)) from error
        except (HTTPError, OSError) as error:
            raise TaskUnknown(f"{type(error).__name__}: {error}") from error
        return _decode_result(response)

    def _get_endpoint(self, minion: Announcement) -> Endpoint:
        limit = max(1, min(self._connections, minion.connections))
        existing = self._endpoints.get(minion.url)
        # While requests are in flight, the endpoint with the old connection limit stays in use:
        # connections of both endpoints together could exceed the new limit.
        if existing and (existing.limit == limit or existing.in_flight):
            return existing
        if existing:
            existing.close()
        elif len(self._endpoints) >= MAX_ENDPOINTS:
            self._close_idle_endpoints()
        endpoint = Endpoint(minion.url, limit, self._clock)
        self._endpoints[minion.url] = endpoint
        return endpoint

    def _close_idle_endpoints(self) -> None:
        idle = [url for url, endpoint in self._endpoints.items() if not endpoint.in_flight]
        for url in idle:
            self._endpoints.pop(url).close()


def _decode_result(response: urllib3.BaseHTTPResponse) -> bytes:
    body = response.data
    if response.status != 200:
        text = body[:MAX_DETAIL_BYTES].decode(errors="replace")
        raise TaskFailed(f"status {response.status}: {text}")
    try:
        msgspec.json.decode(body)
    except (*DECODE_ERRORS, ValueError) as error:
        raise TaskFailed("answer is not JSON") from error
    return body


class FaultKind(enum.Enum):
    """Ways in which the fake minion makes a task fail."""

    NONE = "none"
    REFUSE = "refuse"
    FAIL = "fail"
    SILENT = "silent"


class Fault(NamedTuple):
    """Fault that the fake minion injects.

    :param kind: how the task fails, if at all
    :param slow_factor: factor by which run times are multiplied
    """

    kind: FaultKind = FaultKind.NONE
    slow_factor: float = 1.0


class _Run:
    """A running task of the fake minion."""

    def __init__(self, task_id: str):
        self.task_id = task_id
        self.done = Event()


class MemoryMinionClient:
    """Fake client and minion in one: a task only waits for its run time on the clock.

    :ivar starts: number of starts by task id
    :ivar peak_running: most tasks that ran at the same time
    """

    def __init__(self, clock: Clock, default_run_ms: float = DEFAULT_RUN_MS):
        """Create a fake that injects no faults yet.

        :param clock: source of time
        :param default_run_ms: run time of tasks whose payload has none, in milliseconds
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
        """Number of tasks that are running."""
        return len(self._runs)

    def inject_fault(self, fault: Fault, task_id: str | None = None) -> None:
        """Set the fault of one task, or the default for tasks without a fault of their own.

        :param fault: fault to inject from the next start on
        :param task_id: id of the task, or None to set the default
        """
        if task_id is None:
            self._default_fault = fault
        else:
            self._faults[task_id] = fault

    def run(self, minion: Announcement, task_id: str, payload: bytes, timeout_ms: float) -> bytes:
        """Run one task; parameters and errors as for :meth:`HttpMinionClient.run`."""
        fault = self._faults.get(task_id, self._default_fault)
        if fault.kind is FaultKind.REFUSE:
            raise NotStarted("connection refused")
        document = parse_payload(payload)
        run = self._start(task_id)
        if fault.kind is not FaultKind.SILENT:
            run_ms = document.get("run_ms", self._default_run_ms) * fault.slow_factor
            self._clock.after(run_ms, lambda: self._end(run, fault.kind is FaultKind.FAIL))
        if not self._clock.wait(run.done, timeout_ms):
            raise TaskUnknown(f"no answer within {timeout_ms:.0f} ms")
        error = run.done.wait()
        if error:
            raise TaskFailed(error)
        result = TaskResult(value=document.get("value"), minion=minion.url, task=task_id)
        return msgspec.json.encode(result)

    def stop(self, minion: Announcement, task_id: str) -> bool:
        """Stop a running task and return whether there was one."""
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
