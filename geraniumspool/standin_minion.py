"""Stand-in for a minion, for tests and trials, with fault injection over HTTP."""

import contextlib
import logging
import random
from collections import Counter
from collections.abc import Callable
from typing import Annotated, Any, NamedTuple, TypedDict
from urllib.parse import unquote

import eventlet
import msgspec
import urllib3
from eventlet import wsgi
from eventlet.event import Event
from eventlet.greenthread import GreenThread
from eventlet.semaphore import Semaphore
from greenlet import GreenletExit

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import Announcement, Clock
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import TaskFailed
from geraniumspool.minion import DEFAULT_RUN_MS, TaskResult, parse_payload

ANNOUNCE_PERIOD_MS = 2000.0
AGENT_TIMEOUT_MS = 2000.0
AGENT_PATH = "/v1/minion"
LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 10_000

JSON_HEADERS = [("Content-Type", "application/json")]

log = logging.getLogger(__name__)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

# epoll rounds timeouts up to whole milliseconds, so a timer may fire this much late. Timers
# are set this much earlier, and the remaining time is spent yielding in a loop, so that a task
# ends neither late nor early.
TIMER_LATENESS_MS = 1.2


class Faults(NamedTuple):
    """Faults currently injected; :class:`FaultsDocument` describes the fields."""

    fail_share: float = 0.0
    fail_all: bool = False
    fail_fast: bool = False
    slow_factor: float = 1.0
    freeze: bool = False
    early_close: int = 0


class FaultsDocument(TypedDict, total=False):
    """Request body of ``PUT /faults``; a missing key switches that fault off.

    Keys: ``fail_share`` is the share of tasks that fail, from 0 to 1; ``fail_all``
    makes all tasks fail; ``fail_fast`` makes failing tasks fail without waiting for
    their run time, and all tasks fail if it is given without ``fail_share``;
    ``slow_factor`` multiplies run times; ``freeze`` holds all requests back, without
    starting or answering any, until it is switched off; ``early_close`` is the number
    of following tasks that run but whose connection is closed without a response.
    """

    fail_share: Annotated[float, msgspec.Meta(ge=0, le=1)]
    fail_all: bool
    fail_fast: bool
    slow_factor: Annotated[float, msgspec.Meta(ge=0)]
    freeze: bool
    early_close: Annotated[int, msgspec.Meta(ge=0)]


class StartsReport(TypedDict):
    """Response body of ``GET /starts``.

    Keys: ``starts`` is the number of all starts, ``tasks`` that of different task ids,
    ``started_more_than_once`` that of task ids with more than one start, ``running`` and
    ``peak_running`` the tasks at the same time, now and at most.
    """

    starts: int
    tasks: int
    started_more_than_once: int
    running: int
    peak_running: int


class StandinMinion:
    """Minion whose tasks sleep for their run time; it counts the starts of each task.

    :ivar starts: number of starts by task id
    :ivar running: number of tasks that are running
    :ivar peak_running: most tasks that ran at the same time
    :ivar peak_connections: most connections that were served at the same time
    :ivar url: base URL, empty until :meth:`start`
    :ivar faults: faults currently injected
    """

    def __init__(
        self,
        service: str,
        slots: int,
        connections: int,
        clock: Clock,
        max_size: float = 0,
        seed: int = 0,
        announce_period_ms: float = ANNOUNCE_PERIOD_MS,
    ):
        """Create a minion that is not started yet.

        :param service: service whose tasks it runs
        :param slots: number of concurrent tasks to announce
        :param connections: number of concurrent connections to announce
        :param clock: source of time
        :param max_size: largest task size to announce, 0 for no limit
        :param seed: seed of the random choice of failing tasks
        :param announce_period_ms: interval between announcements in milliseconds
        """
        self.starts: Counter[str] = Counter()
        self.running = 0
        self.peak_running = 0
        self.peak_connections = 0
        self.url = ""
        self.faults = Faults()
        self._service = service
        self._slots = slots
        self._connections = connections
        self._clock = clock
        self._max_size = max_size
        self._random = random.Random(seed)
        self._announce_period_ms = announce_period_ms
        self._runs: dict[str, list[Event]] = {}
        self._thaw_event: Event | None = None
        self._pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self._listener = None
        self._server: GreenThread | None = None
        self._announcer: _Announcer | None = None

    @property
    def announcement(self) -> Announcement:
        """The announcement that registers this minion with an agent."""
        return Announcement(self._service, self.url, self._slots, self._connections, self._max_size)

    def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to listen and serve requests.

        :param host: address to listen on
        :param port: port to listen on, 0 for any free one
        :returns: base URL of the server
        """
        self._listener = eventlet.listen((host, port), backlog=LISTEN_BACKLOG)
        self.url = f"http://{host}:{self._listener.getsockname()[1]}"
        self._server = eventlet.spawn(
            wsgi.server,
            self._listener,
            self,
            custom_pool=self._pool,
            log_output=False,
            debug=False,
        )
        return self.url

    def stop(self) -> None:
        """Stop at once, as in a crash: running tasks are killed and the agent is not told."""
        if self._announcer:
            self._announcer.stop()
        if self._server is None:
            return
        self._server.kill()
        self._listener.close()
        for connection in list(self._pool.coroutines_running):
            connection.kill()
        with contextlib.suppress(GreenletExit):
            self._server.wait()
        self._server = None

    def announce(self, agent_url: str) -> None:
        """Register with an agent and repeat the announcement periodically until :meth:`leave`.

        :param agent_url: base URL of the agent's listener for minions
        """
        if self._announcer:
            self._announcer.stop()
        self._announcer = _Announcer(
            agent_url, self.announcement, self._announce_period_ms, self._clock
        )
        self._announcer.start()

    def leave(self) -> bool:
        """Deregister from the agent; the server goes on running tasks.

        :returns: whether the agent confirmed it
        """
        if self._announcer is None:
            return False
        return self._announcer.leave()

    def set_faults(self, faults: Faults) -> None:
        """Replace the injected faults.

        :param faults: faults to inject from now on
        """
        self.faults = faults
        if faults.freeze and self._thaw_event is None:
            self._thaw_event = Event()
        elif not faults.freeze and self._thaw_event is not None:
            self._thaw_event.send()
            self._thaw_event = None

    def report(self) -> StartsReport:
        """Return the counts of starts and running tasks."""
        repeated = sum(1 for count in self.starts.values() if count > 1)
        return StartsReport(
            starts=self.starts.total(),
            tasks=len(self.starts),
            started_more_than_once=repeated,
            running=self.running,
            peak_running=self.peak_running,
        )

    def __call__(self, environ: dict, start_response: StartResponse) -> list[bytes]:
        """Serve one request, as a WSGI application.

        :param environ: WSGI environment
        :param start_response: WSGI callback for status and headers
        """
        self.peak_connections = max(self.peak_connections, self._pool.running())
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path == "/tasks" and method == "POST":
            return self._run_task(environ, start_response)
        if path.startswith("/tasks/") and method == "DELETE":
            return self._stop_task(_last_path_segment(environ), start_response)
        if path == "/faults" and method == "PUT":
            return self._put_faults(environ, start_response)
        if path == "/starts" and method == "GET":
            return _respond(start_response, "200 OK", self.report())
        if path.startswith("/starts/") and method == "GET":
            count = self.starts.get(_last_path_segment(environ), 0)
            return _respond(start_response, "200 OK", {"starts": count})
        return _respond_error(start_response, "404 Not Found", "not_found")

    def _run_task(self, environ: dict, start_response: StartResponse) -> list[bytes]:
        task_id = environ.get("HTTP_TASK_ID", "")
        try:
            payload = parse_payload(environ["wsgi.input"].read())
        except TaskFailed:
            return _respond_error(start_response, "400 Bad Request", "payload_malformed")
        self._wait_while_frozen()
        early_close = self._consume_early_close()
        failing = self._should_fail()
        run_ms = payload.get("run_ms", DEFAULT_RUN_MS) * self.faults.slow_factor
        if failing and self.faults.fail_fast:
            run_ms = 0.0
        stopped = self._sleep_as_task(task_id, run_ms)
        self._wait_while_frozen()
        if early_close:
            wsgi.WSGI_LOCAL.already_handled = True
            return []
        if stopped:
            return _respond_error(start_response, "409 Conflict", "stopped")
        if failing:
            return _respond_error(start_response, "500 Internal Server Error", "fault")
        result = TaskResult(value=payload.get("value"), minion=self.url, task=task_id)
        return _respond(start_response, "200 OK", result)

    def _sleep_as_task(self, task_id: str, run_ms: float) -> bool:
        done = Event()
        self.starts[task_id] += 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        runs = self._runs.setdefault(task_id, [])
        runs.append(done)
        try:
            return self._wait_for_run_time(self._clock.now() + run_ms, done)
        finally:
            self.running -= 1
            runs.remove(done)
            if not runs:
                self._runs.pop(task_id, None)

    def _wait_for_run_time(self, due_ms: float, done: Event) -> bool:
        """Wait until a task's run time has passed; return whether it was stopped before.

        :param due_ms: end of the run time on the clock, in milliseconds
        :param done: event that is sent when the task is stopped
        """
        left_ms = due_ms - self._clock.now() - TIMER_LATENESS_MS
        if left_ms > 0:
            self._clock.wait(done, left_ms)
        while not done.ready() and self._clock.now() < due_ms:
            eventlet.sleep(0)
        return done.ready()

    def _stop_task(self, task_id: str, start_response: StartResponse) -> list[bytes]:
        self._wait_while_frozen()
        runs = self._runs.get(task_id, [])
        if not runs:
            return _respond_error(start_response, "404 Not Found", "not_running")
        for done in runs:
            if not done.ready():
                done.send()
        start_response("204 No Content", [])
        return []

    def _put_faults(self, environ: dict, start_response: StartResponse) -> list[bytes]:
        try:
            document = msgspec.json.decode(environ["wsgi.input"].read(), type=dict[str, Any])
            unknown = sorted(set(document) - set(Faults._fields))
            if unknown:
                return _respond_error(
                    start_response, "400 Bad Request", f"unknown: {', '.join(unknown)}"
                )
            faults = Faults(**msgspec.convert(document, FaultsDocument))
        except DECODE_ERRORS as error:
            return _respond_error(start_response, "400 Bad Request", str(error))
        self.set_faults(faults)
        return _respond(start_response, "200 OK", faults._asdict())

    def _wait_while_frozen(self) -> None:
        while self._thaw_event is not None:
            self._thaw_event.wait()

    def _consume_early_close(self) -> bool:
        left = self.faults.early_close
        if left:
            self.faults = self.faults._replace(early_close=left - 1)
        return left > 0

    def _should_fail(self) -> bool:
        faults = self.faults
        if faults.fail_all or (faults.fail_fast and not faults.fail_share):
            return True
        return faults.fail_share > 0 and self._random.random() < faults.fail_share


class _Announcer:
    """Registers a minion with an agent periodically, and unregisters it."""

    def __init__(self, agent_url: str, announcement: Announcement, period_ms: float, clock: Clock):
        self._url = agent_url.rstrip("/") + AGENT_PATH
        self._body = msgspec.json.encode(announcement._asdict())
        self._period_ms = period_ms
        self._clock = clock
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=AGENT_TIMEOUT_MS / MS_PER_SECOND)
        )
        # Held while a request is in flight, so that a delayed announcement cannot reach the agent
        # after the deregistration and register the minion again.
        self._send_lock = Semaphore(1)
        self._has_left = False
        self._task: GreenThread | None = None

    def start(self) -> None:
        self._task = eventlet.spawn(self._announce_periodically)

    def stop(self) -> None:
        self._has_left = True
        if self._task:
            self._task.kill()
        self._http.clear()

    def leave(self) -> bool:
        self._has_left = True
        with self._send_lock:
            left = self._send("DELETE", None)
        self.stop()
        return left

    def _announce_periodically(self) -> None:
        while not self._has_left:
            with self._send_lock:
                if not self._has_left:
                    self._send("PUT", self._body)
            self._clock.sleep(self._period_ms)

    def _send(self, method: str, body: bytes | None) -> bool:
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            response = self._http.request(method, self._url, body=body, headers=headers)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            log.info("agent unreachable", extra={"url": self._url, "error": str(error)})
            return False
        return 200 <= response.status < 300


def _last_path_segment(environ: dict) -> str:
    return unquote(environ["RAW_PATH_INFO"].rpartition("/")[2])


def _respond(start_response: StartResponse, status: str, document: Any) -> list[bytes]:
    start_response(status, list(JSON_HEADERS))
    return [msgspec.json.encode(document)]


def _respond_error(start_response: StartResponse, status: str, code: str) -> list[bytes]:
    return _respond(start_response, status, {"code": code})
