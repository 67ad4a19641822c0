"""A minion for tests and trials, with faults that are switched on over HTTP."""

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
from geraniumspool.errors import TaskFailed
from geraniumspool.minion import DEFAULT_RUN_MS, TaskResult, parse_payload

ANNOUNCE_PERIOD_MS = 2000.0
AGENT_LIMIT_MS = 2000.0
AGENT_PATH = "/v1/minion"
LISTEN_BACKLOG = 1024
POOL_SIZE = 10_000

JSON_HEADERS = [("Content-Type", "application/json")]

log = logging.getLogger(__name__)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

# epoll waits in whole milliseconds, rounded up, so timers fire up to this much
# late; the rest is waited for by yielding, so that no task ends early either.
TIMER_LATENESS_MS = 1.2


class Faults(NamedTuple):
    """Faults in force; see :class:`FaultsDocument` for the keys."""

    fail_share: float = 0.0
    fail_all: bool = False
    fail_fast: bool = False
    slow_factor: float = 1.0
    freeze: bool = False
    early_close: int = 0


class FaultsDocument(TypedDict, total=False):
    """Body of ``PUT /faults``; a key that is left out is off.

    Keys: ``fail_share`` is the share of tasks that fail, ``fail_all`` fails
    every one, ``fail_fast`` lets failing tasks fail at once (and, with neither
    of the others, fails every one), ``slow_factor`` is a factor on run times,
    ``freeze`` accepts and answers nothing until it is off again, and
    ``early_close`` is the number of next tasks that run but get no answer.
    """

    fail_share: Annotated[float, msgspec.Meta(ge=0, le=1)]
    fail_all: bool
    fail_fast: bool
    slow_factor: Annotated[float, msgspec.Meta(ge=0)]
    freeze: bool
    early_close: Annotated[int, msgspec.Meta(ge=0)]


class StartsReport(TypedDict):
    """Body of the answer to ``GET /starts``."""

    starts: int
    tasks: int
    started_more_than_once: int
    running: int
    peak_running: int


class StandinMinion:
    """A minion that sleeps instead of working, and counts every start."""

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
        """Record what to announce; nothing is started yet.

        :param service: service whose tasks it runs
        :param slots: tasks it announces to run at once
        :param connections: connections it announces to accept
        :param clock: source of time
        :param max_size: largest task size it announces, 0 for any
        :param seed: seed of the faults' randomness
        :param announce_period_ms: time between two announcements in milliseconds
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
        self._thawed: Event | None = None
        self._pool = eventlet.GreenPool(POOL_SIZE)
        self._listener = None
        self._server: GreenThread | None = None
        self._announcer: _Announcer | None = None

    @property
    def announcement(self) -> Announcement:
        """What it says of itself."""
        return Announcement(self._service, self.url, self._slots, self._connections, self._max_size)

    def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and serve.

        :param host: address to listen on
        :param port: port to listen on, 0 for any that is free
        :returns: base address that tasks are posted to
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
        """End at once: tasks in flight are cut off, nothing is said to the agent."""
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
        """Announce itself to an agent, again and again until it leaves.

        :param agent_url: base address of the agent
        """
        if self._announcer:
            self._announcer.stop()
        self._announcer = _Announcer(
            agent_url, self.announcement, self._announce_period_ms, self._clock
        )
        self._announcer.start()

    def leave(self) -> bool:
        """Take leave of the agent; tasks in flight and new ones are still served.

        :returns: whether the agent confirmed it
        """
        if self._announcer is None:
            return False
        return self._announcer.leave()

    def apply(self, faults: Faults) -> None:
        """Put faults in force in place of all earlier ones.

        :param faults: the faults from now on
        """
        self.faults = faults
        if faults.freeze and self._thawed is None:
            self._thawed = Event()
        elif not faults.freeze and self._thawed is not None:
            self._thawed.send()
            self._thawed = None

    def report(self) -> StartsReport:
        """Return the counts of starts so far."""
        repeated = sum(1 for count in self.starts.values() if count > 1)
        return StartsReport(
            starts=self.starts.total(),
            tasks=len(self.starts),
            started_more_than_once=repeated,
            running=self.running,
            peak_running=self.peak_running,
        )

    def __call__(self, environ: dict, start_response: StartResponse) -> list[bytes]:
        """Answer one request, as a WSGI application."""
        self.peak_connections = max(self.peak_connections, self._pool.running())
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path == "/tasks" and method == "POST":
            return self._run_task(environ, start_response)
        if path.startswith("/tasks/") and method == "DELETE":
            return self._stop_task(_last_part(environ), start_response)
        if path == "/faults" and method == "PUT":
            return self._put_faults(environ, start_response)
        if path == "/starts" and method == "GET":
            return _answer(start_response, "200 OK", self.report())
        if path.startswith("/starts/") and method == "GET":
            count = self.starts.get(_last_part(environ), 0)
            return _answer(start_response, "200 OK", {"starts": count})
        return _refuse(start_response, "404 Not Found", "not_found")

    def _run_task(self, environ: dict, start_response: StartResponse) -> list[bytes]:
        task_id = environ.get("HTTP_TASK_ID", "")
        try:
            payload = parse_payload(environ["wsgi.input"].read())
        except TaskFailed:
            return _refuse(start_response, "400 Bad Request", "payload_malformed")
        self._wait_while_frozen()
        early_close = self._draw_early_close()
        failing = self._draw_failure()
        run_ms = payload.get("run_ms", DEFAULT_RUN_MS) * self.faults.slow_factor
        if failing and self.faults.fail_fast:
            run_ms = 0.0
        stopped = self._sleep_as_task(task_id, run_ms)
        self._wait_while_frozen()
        if early_close:
            wsgi.WSGI_LOCAL.already_handled = True
            return []
        if stopped:
            return _refuse(start_response, "409 Conflict", "stopped")
        if failing:
            return _refuse(start_response, "500 Internal Server Error", "fault")
        result = TaskResult(value=payload.get("value"), minion=self.url, task=task_id)
        return _answer(start_response, "200 OK", result)

    def _sleep_as_task(self, task_id: str, run_ms: float) -> bool:
        done = Event()
        self.starts[task_id] += 1
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        runs = self._runs.setdefault(task_id, [])
        runs.append(done)
        try:
            return self._wait_until(self._clock.now() + run_ms, done)
        finally:
            self.running -= 1
            runs.remove(done)
            if not runs:
                self._runs.pop(task_id, None)

    def _wait_until(self, due_ms: float, done: Event) -> bool:
        """Wait until a task's time is over; return whether it was stopped before."""
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
            return _refuse(start_response, "404 Not Found", "not_running")
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
                return _refuse(start_response, "400 Bad Request", f"unknown: {', '.join(unknown)}")
            faults = Faults(**msgspec.convert(document, FaultsDocument))
        except msgspec.MsgspecError as error:
            return _refuse(start_response, "400 Bad Request", str(error))
        self.apply(faults)
        return _answer(start_response, "200 OK", faults._asdict())

    def _wait_while_frozen(self) -> None:
        while self._thawed is not None:
            self._thawed.wait()

    def _draw_early_close(self) -> bool:
        left = self.faults.early_close
        if left:
            self.faults = self.faults._replace(early_close=left - 1)
        return left > 0

    def _draw_failure(self) -> bool:
        faults = self.faults
        if faults.fail_all or (faults.fail_fast and not faults.fail_share):
            return True
        return faults.fail_share > 0 and self._random.random() < faults.fail_share


class _Announcer:
    """Tells one agent of a minion until it leaves."""

    def __init__(self, agent_url: str, announcement: Announcement, period_ms: float, clock: Clock):
        self._url = agent_url.rstrip("/") + AGENT_PATH
        self._body = msgspec.json.encode(announcement._asdict())
        self._period_ms = period_ms
        self._clock = clock
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=AGENT_LIMIT_MS / MS_PER_SECOND)
        )
        # Held while a request is in flight, so that no announcement overtakes the leave.
        self._sending = Semaphore(1)
        self._left = False
        self._task: GreenThread | None = None

    def start(self) -> None:
        self._task = eventlet.spawn(self._repeat)

    def stop(self) -> None:
        self._left = True
        if self._task:
            self._task.kill()
        self._http.clear()

    def leave(self) -> bool:
        self._left = True
        with self._sending:
            left = self._send("DELETE", None)
        self.stop()
        return left

    def _repeat(self) -> None:
        while not self._left:
            with self._sending:
                if not self._left:
                    self._send("PUT", self._body)
            self._clock.sleep(self._period_ms)

    def _send(self, method: str, body: bytes | None) -> bool:
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            response = self._http.request(method, self._url, body=body, headers=headers)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            log.info("agent not reached", extra={"url": self._url, "error": str(error)})
            return False
        return 200 <= response.status < 300


def _last_part(environ: dict) -> str:
    return unquote(environ["RAW_PATH_INFO"].rpartition("/")[2])


def _answer(start_response: StartResponse, status: str, document: Any) -> list[bytes]:
    start_response(status, list(JSON_HEADERS))
    return [msgspec.json.encode(document)]


def _refuse(start_response: StartResponse, status: str, code: str) -> list[bytes]:
    return _answer(start_response, status, {"code": code})
