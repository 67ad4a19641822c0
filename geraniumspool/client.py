"""Client for callers: tickets ahead of need, safe resubmission, back-off.

A job is submitted under a ticket. Submitting the same body under the same
ticket again is idempotent, so a lost answer is asked for again through another
entry. A new ticket is a new job: it is taken only after a refusal proved that
the old one never ran. The client blocks its thread, or its green task where
:mod:`eventlet` has patched the standard library.
"""

import random
import threading
import time
from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from geraniumspool.errors import DispatchError, LinkDown
from geraniumspool.units import MS_PER_SECOND

OUTCOME_COMPLETE = "complete"
OUTCOME_NOT_RUN = "not_run"
OUTCOME_MAY_HAVE_RUN = "may_have_run"
NO_ENTRY = "no_entry"
ANSWER_LOST = "answer_lost"
PASSING_STATUSES = frozenset({408, 429})

DEFAULT_TIMEOUT_MS = 10_000.0
CONNECT_TIMEOUT_MS = 1_000.0
MIN_TIMEOUT_MS = 50.0
ANSWER_GRACE_MS = 500.0
TICKET_MAX_AGE_MS = 10_000.0
BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 1_000.0
CONNECTIONS_PER_ENTRY = 64


class JobError(DispatchError):
    """Base of the failures of a job as its caller sees them."""

    code = "job_failed"

    def __init__(
        self,
        detail: str,
        reason: str,
        ticket: str = "",
        attempts: int = 0,
        retry_after_ms: float | None = None,
        problem: Mapping[str, Any] | None = None,
    ):
        """Record what happened.

        :param detail: what happened, for people
        :param reason: code given by the entry, or one of this module's
        :param ticket: the job's ticket, or empty where it got none
        :param attempts: submissions that were tried
        :param retry_after_ms: when another try may help, or None
        :param problem: the entry's whole answer, where there was one
        """
        super().__init__(detail, retry_after_ms)
        self.reason = reason
        self.ticket = ticket
        self.attempts = attempts
        self.problem = problem or {}


class JobNotRun(JobError):
    """No task of the job started, and none will."""

    code = "job_not_run"
    status = 503


class JobMayHaveRun(JobError):
    """Some tasks of the job may have run; a new ticket may run them again."""

    code = "job_may_have_run"
    status = 504


class JobRejected(JobError):
    """The request itself is wrong; sending it again does not help."""

    code = "job_rejected"
    status = 400


class TaskRequest(NamedTuple):
    """One task of a job.

    :param payload: what the minion gets; anything JSON can say
    :param size: declared size, in the service's own unit
    :param run_ms: declared run time in milliseconds, or 0 where unknown
    """

    payload: Any
    size: float = 0.0
    run_ms: float = 0.0


class JobResult(NamedTuple):
    """A complete answer.

    :param results: one result a task, in the tasks' order
    :param ticket: the ticket the job ran under
    :param attempts: submissions it took, resubmissions included
    """

    results: list[Any]
    ticket: str
    attempts: int


class CallerClock(Protocol):
    """What a client needs of a clock, in milliseconds."""

    def now(self) -> float:
        """Return monotonic time."""

    def sleep(self, delay_ms: float) -> None:
        """Suspend the calling thread, or green task."""


class BlockingClock:
    """The machine's clock; it sleeps as the caller's own program does.

    It comes without :mod:`eventlet`, which a caller's program may not use.
    """

    def now(self) -> float:
        """Return monotonic time in milliseconds."""
        return time.monotonic() * MS_PER_SECOND

    def sleep(self, delay_ms: float) -> None:
        """Suspend the calling thread, or green task, for ``delay_ms``."""
        time.sleep(max(0.0, delay_ms) / MS_PER_SECOND)


class _Unsent(Exception):
    """No connection was made: the request never left this process."""


class _Lost(Exception):
    """The request may have arrived; its answer did not."""


class _Answer(NamedTuple):
    """One HTTP answer.

    :param value: the decoded body, None where it was no JSON
    :param document: the same, empty where it was no JSON object
    """

    status: int
    value: Any
    document: dict[str, Any]
    retry_after_ms: float | None

    @property
    def ok(self) -> bool:
        return 200 <= self.status < 300

    @property
    def outcome(self) -> str | None:
        return self.document.get("outcome")

    @property
    def passing(self) -> bool:
        """Whether the failure says nothing of the job and may pass."""
        if self.outcome in (OUTCOME_NOT_RUN, OUTCOME_MAY_HAVE_RUN):
            return False
        return self.status >= 500 or self.status in PASSING_STATUSES

    def error(self, kind: type[JobError], ticket: str = "", attempts: int = 0) -> JobError:
        reason = str(self.document.get("code", f"http_{self.status}"))
        detail = str(self.document.get("detail", f"HTTP status {self.status}"))
        return kind(detail, reason, ticket, attempts, self.retry_after_ms, self.document)

    def failure(self, ticket: str = "", attempts: int = 0) -> JobError:
        kind = JobRejected
        if self.outcome == OUTCOME_NOT_RUN:
            kind = JobNotRun
        elif self.outcome == OUTCOME_MAY_HAVE_RUN:
            kind = JobMayHaveRun
        return self.error(kind, ticket, attempts)


class _Backoff:
    """Waits between attempts: doubling, with jitter, never past the deadline."""

    def __init__(self, clock: CallerClock, deadline: float, generator: random.Random):
        self._clock = clock
        self._deadline = deadline
        self._random = generator
        self._next_ms = BACKOFF_MS

    def left(self) -> float:
        return self._deadline - self._clock.now()

    def wait(self, at_least_ms: float | None = None) -> bool:
        """Wait, and return whether there is time for another attempt."""
        delay = self._next_ms * self._random.uniform(0.5, 1.0)
        if at_least_ms is not None:
            delay = at_least_ms * self._random.uniform(1.0, 1.1)
        if delay >= self.left():
            return False
        self._next_ms = min(MAX_BACKOFF_MS, self._next_ms * 2)
        self._clock.sleep(delay)
        return True


class _Stock:
    """Tickets ahead of need; each leaves the stock once."""

    def __init__(self, clock: CallerClock, size: int, max_age_ms: float):
        self._clock = clock
        self._size = size
        self._max_age_ms = max_age_ms
        self._tickets: deque[tuple[str, float]] = deque()
        self._lock = threading.Lock()

    def take(self) -> str | None:
        oldest = self._clock.now() - self._max_age_ms
        with self._lock:
            while self._tickets:
                ticket, fetched_ms = self._tickets.popleft()
                if fetched_ms >= oldest:
                    return ticket
        return None

    def add(self, tickets: list[str], fetched_ms: float) -> None:
        with self._lock:
            for ticket in tickets:
                if len(self._tickets) < self._size:
                    self._tickets.append((ticket, fetched_ms))


class Client:
    """Submits jobs of one team to one service, through any of several entries."""

    def __init__(
        self,
        entries: list[str],
        service: str,
        team: str,
        clock: CallerClock | None = None,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
        tickets_ahead: int = 4,
        ticket_max_age_ms: float = TICKET_MAX_AGE_MS,
        seed: int | None = None,
    ):
        """Prepare to submit; nothing is sent yet.

        :param entries: base addresses such as ``http://10.0.0.1:8080``, or ``host:port``
        :param service: the service that the jobs are for
        :param team: the team that they are counted for
        :param clock: source of time, a :class:`BlockingClock` where None
        :param timeout_ms: longest wait for one answer before another entry is asked
        :param tickets_ahead: tickets fetched in one call and kept in stock
        :param ticket_max_age_ms: age at which a ticket in stock is thrown away
        :param seed: seed of jitter and of the choice of the first entry
        :raises ValueError: if there is no entry
        """
        if not entries:
            raise ValueError("a client needs at least one entry")
        self._entries = [_base_address(entry) for entry in entries]
        self._service = service
        self._team = team
        self._clock = clock or BlockingClock()
        self._timeout_ms = timeout_ms
        self._tickets_ahead = max(1, tickets_ahead)
        self._random = random.Random(seed)
        self._current = self._random.randrange(len(self._entries))
        self._stock = _Stock(self._clock, self._tickets_ahead, ticket_max_age_ms)
        self._pool = urllib3.PoolManager(maxsize=CONNECTIONS_PER_ENTRY, retries=False)

    def run(self, tasks: list[TaskRequest], deadline_ms: float) -> JobResult:
        """Run a job and wait for its whole answer.

        :param tasks: the job's tasks
        :param deadline_ms: time from now in which the answer is of use
        :returns: the complete answer
        :raises JobNotRun: if no task started, and none will
        :raises JobMayHaveRun: if some tasks may have run
        :raises JobRejected: if the request itself is wrong
        """
        deadline = self._clock.now() + deadline_ms
        backoff = _Backoff(self._clock, deadline, self._random)
        attempts = 0
        while True:
            ticket = self._stock.take() or self._fetch_tickets(backoff, attempts)
            submission = _Submission(self, ticket, tasks, backoff, attempts)
            try:
                return submission.run()
            except JobNotRun as error:
                attempts = error.attempts
                if submission.unknown or error.retry_after_ms is None:
                    raise
                if not backoff.wait(error.retry_after_ms):
                    raise

    def state(self, ticket: str) -> dict[str, Any]:
        """Return a job's state, or its kept answer.

        :raises JobNotRun: if its kept answer says so
        :raises JobMayHaveRun: if its kept answer says so
        :raises JobRejected: if the ticket is wrong
        :raises LinkDown: if no entry answered in time
        """
        return self._ask("GET", f"/v1/jobs/{ticket}", ticket)

    def cancel(self, ticket: str) -> dict[str, Any]:
        """Cancel a job and return its state; raises like :meth:`state`."""
        return self._ask("DELETE", f"/v1/jobs/{ticket}", ticket)

    def decisions(self, ticket: str) -> Any:
        """Return every decision taken on a job; raises like :meth:`state`."""
        return self._ask("GET", f"/v1/jobs/{ticket}/decisions", ticket)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def _ask(self, method: str, path: str, ticket: str) -> Any:
        deadline = self._clock.now() + self._timeout_ms
        backoff = _Backoff(self._clock, deadline, self._random)
        while True:
            retry_after_ms = None
            try:
                answer = self.send(method, path, None, backoff.left())
                if answer.ok:
                    return answer.value
                if not answer.passing:
                    raise answer.failure(ticket)
                retry_after_ms = answer.retry_after_ms
            except (_Unsent, _Lost):
                pass
            self.change_entry()
            if not backoff.wait(retry_after_ms):
                raise LinkDown("no entry answered in time", retry_after_ms)

    def _fetch_tickets(self, backoff: _Backoff, attempts: int) -> str:
        request = {"service": self._service, "team": self._team, "count": self._tickets_ahead}
        body = msgspec.json.encode(request)
        while True:
            retry_after_ms = None
            fetched_ms = self._clock.now()
            try:
                answer = self.send("POST", "/v1/tickets", body, backoff.left())
                tickets = answer.document.get("tickets")
                if answer.ok and tickets:
                    self._stock.add(tickets[1:], fetched_ms)
                    return tickets[0]
                if not answer.ok and not answer.passing:
                    raise _refused_tickets(answer, attempts)
                retry_after_ms = answer.retry_after_ms
            except (_Unsent, _Lost):
                pass
            self.change_entry()
            if not backoff.wait(retry_after_ms):
                detail = "no entry gave a ticket in time"
                raise JobNotRun(detail, NO_ENTRY, "", attempts, retry_after_ms)

    def encode_job(self, tasks: list[TaskRequest], deadline_ms: float) -> bytes:
        """Return the body of a job; every resubmission repeats it to the byte."""
        return msgspec.json.encode(
            {
                "service": self._service,
                "team": self._team,
                "deadline_ms": deadline_ms,
                "tasks": [task._asdict() for task in tasks],
            }
        )

    def keep_ticket(self, answer: _Answer) -> None:
        """Put an answer's ``next_ticket``, if any, into the stock."""
        ticket = answer.document.get("next_ticket")
        if ticket:
            self._stock.add([ticket], self._clock.now())

    def change_entry(self) -> None:
        """Send the next requests through another entry."""
        self._current = (self._current + 1) % len(self._entries)

    def send(self, method: str, path: str, body: bytes | None, left_ms: float) -> _Answer:
        """Send one request through the current entry, once.

        :param left_ms: time that is left for the caller, in milliseconds
        :raises _Unsent: if no connection was made
        :raises _Lost: if the answer did not arrive whole
        """
        timeout = max(MIN_TIMEOUT_MS, min(self._timeout_ms, left_ms))
        try:
            response = self._pool.request(
                method,
                self._entries[self._current] + path,
                body=body,
                headers={"Content-Type": "application/json"} if body is not None else None,
                timeout=urllib3.Timeout(
                    connect=min(CONNECT_TIMEOUT_MS, timeout) / MS_PER_SECOND,
                    read=timeout / MS_PER_SECOND,
                ),
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise _Unsent(str(error)) from error
        except (HTTPError, OSError) as error:
            raise _Lost(str(error)) from error
        return _read_answer(response)


class _Submission:
    """One job under one ticket, resubmitted until its outcome is known.

    ``unknown`` says whether an attempt may have arrived without an answer.
    """

    def __init__(
        self,
        client: Client,
        ticket: str,
        tasks: list[TaskRequest],
        backoff: _Backoff,
        attempts: int,
    ):
        self._client = client
        self._ticket = ticket
        self._count = len(tasks)
        self._backoff = backoff
        self._attempts = attempts
        self._body = client.encode_job(tasks, max(1.0, backoff.left()))
        self.unknown = False

    def run(self) -> JobResult:
        while True:
            retry_after_ms = None
            try:
                answer = self._send()
                if self._is_whole(answer):
                    return JobResult(answer.document["results"], self._ticket, self._attempts)
                if not answer.ok and not answer.passing:
                    raise answer.failure(self._ticket, self._attempts)
                retry_after_ms = answer.retry_after_ms
                self.unknown = True
            except _Unsent:
                pass
            except _Lost:
                self.unknown = True
            self._client.change_entry()
            if not self._backoff.wait(retry_after_ms):
                raise self._give_up(retry_after_ms)

    def _send(self) -> _Answer:
        self._attempts += 1
        left_ms = self._backoff.left() + ANSWER_GRACE_MS
        answer = self._client.send("PUT", f"/v1/jobs/{self._ticket}", self._body, left_ms)
        self._client.keep_ticket(answer)
        return answer

    def _is_whole(self, answer: _Answer) -> bool:
        document = answer.document
        results = document.get("results")
        return (
            answer.ok
            and answer.outcome == OUTCOME_COMPLETE
            and document.get("job") == self._ticket
            and isinstance(results, list)
            and len(results) == self._count
        )

    def _give_up(self, retry_after_ms: float | None) -> JobError:
        if self.unknown:
            detail = "no entry gave the job's answer in time"
            return JobMayHaveRun(detail, ANSWER_LOST, self._ticket, self._attempts, retry_after_ms)
        detail = "no entry could be reached"
        return JobNotRun(detail, NO_ENTRY, self._ticket, self._attempts, retry_after_ms)


def _base_address(entry: str) -> str:
    address = entry if "://" in entry else f"http://{entry}"
    return address.rstrip("/")


def _refused_tickets(answer: _Answer, attempts: int) -> JobError:
    kind = JobNotRun if answer.outcome == OUTCOME_NOT_RUN else JobRejected
    return answer.error(kind, "", attempts)


def _read_answer(response: urllib3.BaseHTTPResponse) -> _Answer:
    try:
        value = msgspec.json.decode(response.data)
    except msgspec.MsgspecError as error:
        if response.status < 400:
            raise _Lost("the answer is no JSON") from error
        value = None
    document = value if isinstance(value, dict) else {}
    return _Answer(response.status, value, document, _read_retry_after(response, document))


def _read_retry_after(response: urllib3.BaseHTTPResponse, document: dict) -> float | None:
    precise = document.get("retry_after_ms")
    if isinstance(precise, int | float):
        return float(precise)
    seconds = response.headers.get("Retry-After", "")
    return int(seconds) * MS_PER_SECOND if seconds.isascii() and seconds.isdigit() else None
