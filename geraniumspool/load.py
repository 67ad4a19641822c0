"""Open-loop load generator: submits jobs and reports outcomes and response times.

Each job is submitted at its arrival time, whether or not earlier jobs have been
answered, and its response time is measured from its arrival time. Jobs that are
refused are counted and not retried; only when a response is lost is the job
resubmitted, under the same ticket and through another entry.
"""

import contextlib
import random
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import eventlet
import msgspec
import urllib3

from geraniumspool.client import (
    NO_ENTRY,
    OUTCOME_COMPLETE,
    OUTCOME_MAY_HAVE_RUN,
    OUTCOME_NOT_RUN,
)
from geraniumspool.clock import MS_PER_SECOND, SystemClock
from geraniumspool.contracts import Clock
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import Finding, InvalidInput
from geraniumspool.loadreport import (
    OUTCOME_REJECTED,
    OUTCOME_UNANSWERED,
    RANKED_OUTCOMES,
    JobOutcome,
    LoadReport,
    Tally,
)
from geraniumspool.workload import (
    MIXES,
    Burst,
    JobPlan,
    Mix,
    draw_arrivals,
    ideal_ms,
    rate_for_share,
)

DEFAULT_SLOTS = 88
DEFAULT_TICKETS_AHEAD = 16
TICKET_MAX_AGE_MS = 5_000.0
CONNECT_TIMEOUT_MS = 1_000.0
ANSWER_GRACE_MS = 2_000.0
RESUBMIT_PAUSE_MS = 50.0
# A timer may fire this much late. Timers are set this much earlier, and the remaining time is
# spent yielding in a loop.
TIMER_LATENESS_MS = 1.5
CONNECTIONS_PER_ENTRY = 2_000
MAX_JOBS_IN_FLIGHT = 20_000


class CancelWave(NamedTuple):
    """Cancellation of many jobs at once.

    :param at_ms: time since the start of the load, in milliseconds
    :param share: share of the jobs in flight that are cancelled
    """

    at_ms: float
    share: float


class LoadOptions(NamedTuple):
    """Options of a load; exactly one of ``rate`` and ``load_share`` is given.

    :param entries: entries' addresses for callers, as ``host:port`` or URL; jobs go to them
        in round-robin order
    :param service: service that runs the jobs
    :param team: team of the jobs, or several separated by commas to choose from at random
    :param seconds: how long jobs are submitted, in seconds
    :param rate: mean number of jobs per second
    :param mix: distribution of jobs, or its name, a key of ``MIXES``
    :param seed: seed of all random numbers
    :param load_share: offered load as a share of the capacity of all slots
    :param slots: number of slots in the whole system
    :param one_way_delay_ms: one-way network delay between client and entries in milliseconds, part
        of the ideal response time
    :param resubmit_share: share of jobs that are submitted a second time while in flight,
        under the same ticket and through another entry
    :param resubmit_lost: whether a job is resubmitted when its response is lost
    :param bursts: periods in which jobs arrive faster
    :param cancel_waves: times at which jobs are cancelled
    :param tickets_ahead: number of tickets to prefetch per entry and team
    """

    entries: list[str]
    service: str
    team: str
    seconds: float
    rate: float = 0.0
    mix: str | Mix = "brief"
    seed: int = 1
    load_share: float = 0.0
    slots: int = DEFAULT_SLOTS
    one_way_delay_ms: float = 0.0
    resubmit_share: float = 0.0
    resubmit_lost: bool = True
    bursts: tuple[Burst, ...] = ()
    cancel_waves: tuple[CancelWave, ...] = ()
    tickets_ahead: int = DEFAULT_TICKETS_AHEAD


class _Answer(NamedTuple):
    """HTTP status of a response and its JSON object, which is empty if the body has none."""

    status: int
    document: dict[str, Any]


class _ReportedOutcome(NamedTuple):
    """Outcome of a submission.

    :param outcome: one of ``RANKED_OUTCOMES``
    :param code: error code of the response, or empty
    :param at_ms: time of the response on the clock
    :param is_wrong: whether a complete answer lacks results or has results of other tasks
    """

    outcome: str
    code: str
    at_ms: float
    is_wrong: bool = False


class _HttpClient:
    """Sends requests on persistent connections; a network error gives None, not an exception."""

    def __init__(self):
        self._pool = urllib3.PoolManager(maxsize=CONNECTIONS_PER_ENTRY, retries=False)

    def send(
        self, method: str, url: str, body: bytes | None, limit_ms: float, job: "_Job | None" = None
    ) -> _Answer | None:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_MS / MS_PER_SECOND, read=max(1.0, limit_ms) / MS_PER_SECOND
        )
        headers = {"Content-Type": "application/json"}
        try:
            response = self._pool.request(
                method, url, body=body, headers=headers, timeout=timeout, redirect=False
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return None
        except (urllib3.exceptions.HTTPError, OSError):
            if job is not None:
                job.may_have_arrived = True
            return None
        return _Answer(response.status, _decode(response.data))

    def close(self) -> None:
        self._pool.clear()


class _TicketCache:
    """Prefetched tickets of one entry for one team.

    It is refilled in the background when at most half of the tickets are left.
    """

    def __init__(
        self, http: _HttpClient, entry: str, options: LoadOptions, team: str, clock: Clock
    ):
        self._http = http
        self._url = f"{entry}/v1/tickets"
        self._size = max(1, options.tickets_ahead)
        request = {"service": options.service, "team": team, "count": self._size}
        self._body = msgspec.json.encode(request)
        self._clock = clock
        self._tickets: deque[tuple[str, float]] = deque()
        self._is_refilling = False

    def take(self, limit_ms: float) -> tuple[str, _Answer | None]:
        """Return a ticket and None, or an empty string and the response that has no ticket.

        The response is None if the entry did not answer.

        :param limit_ms: timeout of a request for tickets, in milliseconds
        """
        if len(self._tickets) <= self._size // 2 and not self._is_refilling:
            self._is_refilling = True
            eventlet.spawn_n(self._refill)
        min_fetched_ms = self._clock.now() - TICKET_MAX_AGE_MS
        while self._tickets:
            ticket, fetched_ms = self._tickets.popleft()
            if fetched_ms >= min_fetched_ms:
                return ticket, None
        answer = self._fetch(limit_ms)
        return (self._tickets.pop()[0], None) if self._tickets else ("", answer)

    def add(self, ticket: str) -> None:
        if len(self._tickets) < 2 * self._size:
            self._tickets.append((ticket, self._clock.now()))

    def fill(self) -> None:
        self._is_refilling = True
        self._refill()

    def _refill(self) -> None:
        try:
            self._fetch(CONNECT_TIMEOUT_MS)
        finally:
            self._is_refilling = False

    def _fetch(self, limit_ms: float) -> _Answer | None:
        answer = self._http.send("POST", self._url, self._body, limit_ms)
        if answer is not None:
            for ticket in answer.document.get("tickets", []):
                self._tickets.append((ticket, self._clock.now()))
        return answer


class _Job:
    """A job in flight.

    :ivar due_ms: arrival time on the clock
    :ivar end_ms: deadline on the clock
    :ivar may_have_arrived: whether an entry may have received a submission without answering
    :ivar values: the value that each task is expected to return, unique in the load
    """

    def __init__(self, plan: JobPlan, number: int, due_ms: float, service: str):
        self.plan = plan
        self.due_ms = due_ms
        self.end_ms = due_ms + plan.deadline_ms
        self.ticket = ""
        self.may_have_arrived = False
        self.is_cancelled = False
        self.values = [f"{number}.{index}" for index in range(len(plan.tasks))]
        self._service = service

    def encode(self) -> bytes:
        tasks = [
            {
                "payload": {"run_ms": task.run_ms, "value": value},
                "size": task.size,
                "run_ms": task.declared_ms,
            }
            for task, value in zip(self.plan.tasks, self.values, strict=True)
        ]
        return msgspec.json.encode(
            {
                "service": self._service,
                "team": self.plan.team,
                "deadline_ms": self.plan.deadline_ms,
                "tasks": tasks,
            }
        )

    def has_own_results(self, document: dict[str, Any]) -> bool:
        results = document.get("results")
        if document.get("job") != self.ticket or not isinstance(results, list):
            return False
        return [_get_value(result) for result in results] == self.values


class Load:
    """A load, which :meth:`run` submits."""

    def __init__(
        self,
        options: LoadOptions,
        clock: Clock | None = None,
        observer: Callable[[JobOutcome], None] | None = None,
    ):
        """Create a load; nothing is sent yet.

        :param options: options of the load
        :param clock: source of time, or None for the system clock
        :param observer: called with the outcome of each job
        :raises InvalidInput: if the options are incomplete or contradict each other
        """
        self._mix = _validate(options)
        self._options = options
        self._clock = clock or SystemClock()
        self._observer = observer
        self._entries = [_base_address(entry) for entry in options.entries]
        self._teams = options.team.split(",")
        # Independent generators, so that the timing of responses does not change which jobs follow.
        self._plan_random = random.Random(f"plans {options.seed}")
        self._arrival_random = random.Random(f"arrivals {options.seed}")
        self._disruption_random = random.Random(f"faults {options.seed}")
        self._http = _HttpClient()
        self._ticket_caches = {
            (entry, team): _TicketCache(self._http, address, options, team, self._clock)
            for entry, address in enumerate(self._entries)
            for team in self._teams
        }
        self._in_flight: dict[str, _Job] = {}
        self._tally = Tally(options.slots, options.one_way_delay_ms)
        self._is_stopped = False

    @property
    def done(self) -> int:
        """Number of jobs whose outcome is known."""
        return self._tally.outcomes.total()

    @property
    def submitted(self) -> int:
        """Number of jobs submitted so far."""
        return self._tally.jobs

    def stop(self) -> None:
        """Submit no more jobs; :meth:`run` still waits for those in flight."""
        self._is_stopped = True

    def run(self) -> LoadReport:
        """Submit all jobs, wait for their outcomes and return the report."""
        for cache in self._ticket_caches.values():
            cache.fill()
        pool = eventlet.GreenPool(MAX_JOBS_IN_FLIGHT)
        start_ms = self._clock.now()
        waves = [eventlet.spawn(self._run_cancel_wave, wave) for wave in self._options.cancel_waves]
        try:
            self._send_all(pool, start_ms)
            pool.waitall()
            return self._tally.report(self._clock.now() - start_ms)
        finally:
            for wave in waves:
                wave.kill()
            self._http.close()

    def _send_all(self, pool: eventlet.GreenPool, start_ms: float) -> None:
        options = self._options
        rate = options.rate or rate_for_share(self._mix, options.load_share, options.slots)
        length_ms = options.seconds * MS_PER_SECOND
        arrivals = draw_arrivals(rate, length_ms, self._arrival_random, options.bursts)
        for number, at_ms in enumerate(arrivals):
            plan = self._mix.draw(self._plan_random, self._plan_random.choice(self._teams))
            self._sleep_until(start_ms + at_ms)
            if self._is_stopped:
                return
            self._tally.jobs += 1
            self._tally.tasks += len(plan.tasks)
            pool.spawn_n(
                self._run_job, number, _Job(plan, number, start_ms + at_ms, options.service)
            )

    def _sleep_until(self, due_ms: float) -> None:
        left_ms = due_ms - self._clock.now() - TIMER_LATENESS_MS
        if left_ms > 0:
            self._clock.sleep(left_ms)
        while self._clock.now() < due_ms:
            self._clock.sleep(0)

    def _run_job(self, number: int, job: _Job) -> None:
        entry = number % len(self._entries)
        is_resubmitted = self._disruption_random.random() < self._options.resubmit_share
        delay_share = self._disruption_random.random()
        reported = self._take_ticket(job, entry)
        if reported is None:
            self._in_flight[job.ticket] = job
            reported = self._submit_under_ticket(
                job, entry, delay_share if is_resubmitted else None
            )
            del self._in_flight[job.ticket]
        response_ms = reported.at_ms - job.due_ms
        outcome = JobOutcome(job.plan, job.ticket, reported.outcome, reported.code, response_ms)
        self._tally.record(outcome, job.is_cancelled)
        if self._observer:
            self._observer(outcome)

    def _take_ticket(self, job: _Job, entry: int) -> _ReportedOutcome | None:
        """Set the job's ticket and return None, or return the job's outcome if there is no ticket.

        :param entry: index of the entry to ask first
        """
        answer = None
        for step in range(len(self._entries)):
            index = (entry + step) % len(self._entries)
            cache = self._ticket_caches[index, job.plan.team]
            job.ticket, answer = cache.take(job.end_ms - self._clock.now())
            if job.ticket:
                return None
        code = NO_ENTRY if answer is None else _get_code(answer)
        return _ReportedOutcome(OUTCOME_NOT_RUN, code, self._clock.now())

    def _submit_under_ticket(
        self, job: _Job, entry: int, delay_share: float | None
    ) -> _ReportedOutcome:
        body = job.encode()
        second = None
        if delay_share is not None:
            self._tally.resubmitted += 1
            ideal = ideal_ms(job.plan, self._options.slots)
            second = eventlet.spawn(self._submit_again, job, entry + 1, body, delay_share * ideal)
        all_reported = [self._submit(job, entry, body)]
        if second is not None:
            all_reported.append(second.wait())
        self._tally.wrong_answers += _count_wrong_answers(all_reported)
        best = min(all_reported, key=lambda reported: RANKED_OUTCOMES.index(reported.outcome))
        if best.outcome == OUTCOME_UNANSWERED and not job.may_have_arrived:
            return best._replace(outcome=OUTCOME_NOT_RUN, code=NO_ENTRY)
        return best

    def _submit_again(
        self, job: _Job, entry: int, body: bytes, delay_ms: float
    ) -> _ReportedOutcome:
        self._clock.sleep(delay_ms)
        return self._submit(job, entry, body)

    def _submit(self, job: _Job, entry: int, body: bytes) -> _ReportedOutcome:
        while True:
            address = self._entries[entry % len(self._entries)]
            limit_ms = job.end_ms - self._clock.now() + ANSWER_GRACE_MS
            url = f"{address}/v1/jobs/{job.ticket}"
            answer = self._http.send("PUT", url, body, limit_ms, job)
            reported = None if answer is None else self._read_outcome(job, answer)
            if reported is not None:
                self._keep_ticket(job, entry, answer)
                return reported
            entry += 1
            is_late = self._clock.now() + RESUBMIT_PAUSE_MS >= job.end_ms
            if is_late or not self._options.resubmit_lost:
                return _ReportedOutcome(OUTCOME_UNANSWERED, "", self._clock.now())
            self._clock.sleep(RESUBMIT_PAUSE_MS)

    def _read_outcome(self, job: _Job, answer: _Answer) -> _ReportedOutcome | None:
        """Return the outcome that a response reports, or None if it leaves the outcome open."""
        now = self._clock.now()
        outcome = answer.document.get("outcome")
        if outcome == OUTCOME_COMPLETE and answer.status < 300:
            return _ReportedOutcome(outcome, "", now, not job.has_own_results(answer.document))
        if outcome in (OUTCOME_NOT_RUN, OUTCOME_MAY_HAVE_RUN):
            return _ReportedOutcome(outcome, _get_code(answer), now)
        if 400 <= answer.status < 500:
            return _ReportedOutcome(OUTCOME_REJECTED, _get_code(answer), now)
        job.may_have_arrived = True
        return None

    def _keep_ticket(self, job: _Job, entry: int, answer: _Answer) -> None:
        ticket = answer.document.get("next_ticket")
        if ticket:
            self._ticket_caches[entry % len(self._entries), job.plan.team].add(ticket)

    def _run_cancel_wave(self, wave: CancelWave) -> None:
        self._clock.sleep(wave.at_ms)
        jobs = list(self._in_flight.values())
        for job in self._disruption_random.sample(jobs, round(wave.share * len(jobs))):
            job.is_cancelled = True
            address = self._disruption_random.choice(self._entries)
            url = f"{address}/v1/jobs/{job.ticket}"
            eventlet.spawn_n(self._http.send, "DELETE", url, None, ANSWER_GRACE_MS)


def run_load(
    entries: list[str],
    service: str,
    team: str,
    seconds: float,
    rate: float = 0.0,
    mix: str | Mix = "brief",
    seed: int = 1,
    observer: Callable[[JobOutcome], None] | None = None,
    **options: Any,
) -> LoadReport:
    """Submit a load and return its report; see :class:`LoadOptions` for the parameters.

    :param observer: called with the outcome of each job
    :param options: further fields of :class:`LoadOptions`
    :raises InvalidInput: if the options are incomplete or contradict each other
    """
    chosen = LoadOptions(entries, service, team, seconds, rate, mix, seed, **options)
    return Load(chosen, observer=observer).run()


def _validate(options: LoadOptions) -> Mix:
    findings = []
    mix = MIXES.get(options.mix) if isinstance(options.mix, str) else options.mix
    if mix is None:
        findings.append(Finding("load", 0, "mix", f"must be one of {', '.join(MIXES)}"))
    if not options.entries:
        findings.append(Finding("load", 0, "entries", "must name at least one"))
    if (options.rate > 0) == (options.load_share > 0):
        findings.append(Finding("load", 0, "rate", "give either a rate or a share of the slots"))
    if findings:
        raise InvalidInput(findings)
    return mix


def _base_address(entry: str) -> str:
    address = entry if "://" in entry else f"http://{entry}"
    return address.rstrip("/")


def _decode(data: bytes) -> dict[str, Any]:
    with contextlib.suppress(*DECODE_ERRORS):
        document = msgspec.json.decode(data)
        if isinstance(document, dict):
            return document
    return {}


def _get_code(answer: _Answer) -> str:
    return str(answer.document.get("code") or f"http_{answer.status}")


def _get_value(result: Any) -> Any:
    return result.get("value") if isinstance(result, dict) else None


def _count_wrong_answers(all_reported: list[_ReportedOutcome]) -> int:
    wrong = sum(reported.is_wrong for reported in all_reported)
    outcomes = {reported.outcome for reported in all_reported}
    return wrong + ({OUTCOME_COMPLETE, OUTCOME_NOT_RUN} <= outcomes)
