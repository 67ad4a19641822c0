"""Client library for callers: prefetched tickets, idempotent resubmission, backoff.

A job is submitted under a ticket, which the entries issue and which identifies the
job. Submitting the same body under the same ticket again is idempotent, so when a
response is lost, the client resubmits the job through another entry. A new ticket
makes a new job: the client uses one for a retry only after an entry answered that
no task of the job ran or will run.

Calls block the calling thread, or only the calling green thread where
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

from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import DispatchError, LinkDown
from geraniumspool.units import MS_PER_SECOND

OUTCOME_COMPLETE = "complete"
OUTCOME_NOT_RUN = "not_run"
OUTCOME_MAY_HAVE_RUN = "may_have_run"
NO_ENTRY = "no_entry"
ANSWER_LOST = "answer_lost"
TRANSIENT_STATUSES = frozenset({408, 429})

DEFAULT_TIMEOUT_MS = 10_000.0
CONNECT_TIMEOUT_MS = 1_000.0
MIN_TIMEOUT_MS = 50.0
ANSWER_GRACE_MS = 500.0
TICKET_MAX_AGE_MS = 10_000.0
BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 1_000.0
CONNECTIONS_PER_ENTRY = 64


class JobError(DispatchError):
    """Base class of a job's failures, as raised to its caller."""

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
        """Describe a failed job.

        :param detail: message for people
        :param reason: error code from the entry, or ``NO_ENTRY`` or ``ANSWER_LOST``
        :param ticket: ticket of the job, or empty if no ticket was issued
        :param attempts: number of submissions so far, resubmissions included
        :param retry_after_ms: delay in milliseconds after which a retry may succeed, or None
        :param problem: the entry's error response, if there was one
        """
        super().__init__(detail, retry_after_ms)
        self.reason = reason
        self.ticket = ticket
        self.attempts = attempts
        self.problem = problem or {}


class JobNotRun(JobError):
    """No task of the job was started, and none will be."""

    code = "job_not_run"
    status = 503


class JobMayHaveRun(JobError):
    """Tasks of the job may have run; submitting them under a new ticket may run them again."""

    code = "job_may_have_run"
    status = 504


class JobRejected(JobError):
    """The request is invalid; retrying it unchanged cannot succeed."""

    code = "job_rejected"
    status = 400


class TaskRequest(NamedTuple):
    """One task of a job.

    :param payload: input for the minion; any value that can be encoded as JSON
    :param size: declared size of the task, in a unit that the service defines
    :param run_ms: expected run time in milliseconds, or 0 if unknown
    """

    payload: Any
    size: float = 0.0
    run_ms: float = 0.0


class JobResult(NamedTuple):
    """Results of a job all of whose tasks succeeded.

    :param results: one result per task, in the order of the tasks
    :param ticket: ticket under which the job ran
    :param attempts: number of submissions, resubmissions included
    """

    results: list[Any]
    ticket: str
    attempts: int


class CallerClock(Protocol):
    """Clock that a client uses; all times are in milliseconds."""

    def now(self) -> float:
        """Return the monotonic time in milliseconds."""

    def sleep(self, delay_ms: float) -> None:
        """Suspend the calling thread or green thread for ``delay_ms``."""


class BlockingClock:
    """The system clock, with the standard library's blocking sleep.

    It does not import :mod:`eventlet`, which the caller's program may not use.
    """

    def now(self) -> float:
        """Return the monotonic time in milliseconds."""
        return time.monotonic() * MS_PER_SECOND

    def sleep(self, delay_ms: float) -> None:
        """Suspend the calling thread or green thread for ``delay_ms``; a negative delay is 0."""
        time.sleep(max(0.0, delay_ms) / MS_PER_SECOND)


class _RequestNotSent(Exception):
    """No connection was established, so the request was not sent."""


class _ResponseLost(Exception):
    """The request may have reached the entry, but no complete response came back."""


class _Answer(NamedTuple):
    """A decoded HTTP response.

    :param value: body decoded from JSON, or None if it is not JSON
    :param document: the same if it is a JSON object, else an empty dictionary
    :param retry_after_ms: delay that the entry asks for before a retry, or None
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
        """Whether the failure is transient and leaves the outcome of the job open."""
        if self.outcome in (OUTCOME_NOT_RUN, OUTCOME_MAY_HAVE_RUN):
            return False
        return self.status >= 500 or self.status in TRANSIENT_STATUSES

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
    """Exponential backoff with jitter, bounded by a deadline.

    A delay that would reach the deadline is not waited for at all.
    """

    def __init__(self, clock: CallerClock, deadline: float, generator: random.Random):
        self._clock = clock
        self._deadline = deadline
        self._random = generator
        self._next_ms = BACKOFF_MS

    def left(self) -> float:
        return self._deadline - self._clock.now()

    def wait(self, at_least_ms: float | None = None) -> bool:
        """Sleep before the next attempt, or return False if the deadline comes first.

        :param at_least_ms: shortest delay that the entry asked for, used instead of the
            exponential one, or None
        """
        delay = self._next_ms * self._random.uniform(0.5, 1.0)
        if at_least_ms is not None:
            delay = at_least_ms * self._random.uniform(1.0, 1.1)
        if delay >= self.left():
            return False
        self._next_ms = min(MAX_BACKOFF_MS, self._next_ms * 2)
        self._clock.sleep(delay)
        return True


class _TicketCache:
    """Prefetched tickets; each is handed out once, and only while it is fresh."""

    def __init__(self, clock: CallerClock, size: int, max_age_ms: float):
        self._clock = clock
        self._size = size
        self._max_age_ms = max_age_ms
        self._tickets: deque[tuple[str, float]] = deque()
        self._lock = threading.Lock()

    def take(self) -> str | None:
        min_fetched_ms = self._clock.now() - self._max_age_ms
        with self._lock:
            while self._tickets:
                ticket, fetched_ms = self._tickets.popleft()
                if fetched_ms >= min_fetched_ms:
                    return ticket
        return None

    def add(self, tickets: list[str], fetched_ms: float) -> None:
        with self._lock:
            for ticket in tickets:
                if len(self._tickets) < self._size:
                    self._tickets.append((ticket, fetched_ms))


class Client:
    """Submits jobs of one team to one service, with failover between several entries."""

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
        """Create a client; nothing is sent yet.

        :param entries: base URLs such as ``http://10.0.0.1:8080``, or ``host:port``
        :param service: service that runs the jobs
        :param team: team whose quota the jobs count against
        :param clock: source of time, or None for a :class:`BlockingClock`
        :param timeout_ms: longest wait for one response, in milliseconds, before the client
            switches to another entry
        :param tickets_ahead: tickets to fetch per request, and most tickets to keep in advance
        :param ticket_max_age_ms: age in milliseconds above which a prefetched ticket is
            discarded
        :param seed: seed of the jitter and of the choice of the first entry
        :raises ValueError: if ``entries`` is empty
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
        self._ticket_cache = _TicketCache(self._clock, self._tickets_ahead, ticket_max_age_ms)
        self._pool = urllib3.PoolManager(maxsize=CONNECTIONS_PER_ENTRY, retries=False)

    def run(self, tasks: list[TaskRequest], deadline_ms: float) -> JobResult:
        """Run a job and wait for its results.

        A job that did not run is retried under a new ticket where the entry names a delay
        for it and the deadline allows it.

        :param tasks: tasks of the job
        :param deadline_ms: deadline in milliseconds from now
        :returns: the results of all tasks
        :raises JobNotRun: if no task was started, and none will be
        :raises JobMayHaveRun: if tasks may have run
        :raises JobRejected: if the request is invalid
        """
        deadline = self._clock.now() + deadline_ms
        backoff = _Backoff(self._clock, deadline, self._random)
        attempts = 0
        while True:
            ticket = self._ticket_cache.take() or self._fetch_tickets(backoff, attempts)
            submission = _Submission(self, ticket, tasks, backoff, attempts)
            try:
                return submission.run()
            except JobNotRun as error:
                attempts = error.attempts
                if submission.may_have_arrived or error.retry_after_ms is None:
                    raise
                if not backoff.wait(error.retry_after_ms):
                    raise

    def state(self, ticket: str) -> dict[str, Any]:
        """Return the state of a job, or its stored result if it has ended.

        :raises JobNotRun: if the job ended without running
        :raises JobMayHaveRun: if the job failed and tasks of it may have run
        :raises JobRejected: if the ticket is invalid
        :raises LinkDown: if no entry answered within the client's timeout
        """
        return self._ask("GET", f"/v1/jobs/{ticket}", ticket)

    def cancel(self, ticket: str) -> dict[str, Any]:
        """Cancel a job and return its state; raises the errors of :meth:`state`."""
        return self._ask("DELETE", f"/v1/jobs/{ticket}", ticket)

    def decisions(self, ticket: str) -> Any:
        """Return the dispatcher's decisions on a job; raises the errors of :meth:`state`."""
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
            except (_RequestNotSent, _ResponseLost):
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
                    self._ticket_cache.add(tickets[1:], fetched_ms)
                    return tickets[0]
                if not answer.ok and not answer.passing:
                    raise _refused_tickets(answer, attempts)
                retry_after_ms = answer.retry_after_ms
            except (_RequestNotSent, _ResponseLost):
                pass
            self.change_entry()
            if not backoff.wait(retry_after_ms):
                detail = "no entry gave a ticket in time"
                raise JobNotRun(detail, NO_ENTRY, "", attempts, retry_after_ms)

    def encode_job(self, tasks: list[TaskRequest], deadline_ms: float) -> bytes:
        """Return the request body of a job; every resubmission sends the same bytes."""
        return msgspec.json.encode(
            {
                "service": self._service,
                "team": self._team,
                "deadline_ms": deadline_ms,
                "tasks": [task._asdict() for task in tasks],
            }
        )

    def keep_ticket(self, answer: _Answer) -> None:
        """Cache the ``next_ticket`` of a response, if it has one, for a later job."""
        ticket = answer.document.get("next_ticket")
        if ticket:
            self._ticket_cache.add([ticket], self._clock.now())

    def change_entry(self) -> None:
        """Switch to the next entry for the requests that follow."""
        self._current = (self._current + 1) % len(self._entries)

    def send(self, method: str, path: str, body: bytes | None, left_ms: float) -> _Answer:
        """Send one request to the current entry, without retries.

        :param left_ms: time until the caller's deadline, in milliseconds
        :raises _RequestNotSent: if no connection was established
        :raises _ResponseLost: if no complete response arrived in time
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
            raise _RequestNotSent(str(error)) from error
        except (HTTPError, OSError) as error:
            raise _ResponseLost(str(error)) from error
        return _read_answer(response)


class _Submission:
    """A job under one ticket, resubmitted until its outcome is known or its deadline passes.

    :ivar may_have_arrived: whether an entry may have received an attempt without answering it
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
        self.may_have_arrived = False

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
                self.may_have_arrived = True
            except _RequestNotSent:
                pass
            except _ResponseLost:
                self.may_have_arrived = True
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
        if self.may_have_arrived:
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
    except DECODE_ERRORS as error:
        if response.status < 400:
            raise _ResponseLost("the response body is not JSON") from error
        value = None
    document = value if isinstance(value, dict) else {}
    return _Answer(response.status, value, document, _read_retry_after(response, document))


def _read_retry_after(response: urllib3.BaseHTTPResponse, document: dict) -> float | None:
    precise = document.get("retry_after_ms")
    if isinstance(precise, int | float):
        return float(precise)
    seconds = response.headers.get("Retry-After", "")
    return int(seconds) * MS_PER_SECOND if seconds.isascii() and seconds.isdigit() else None
