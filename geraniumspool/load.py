"""Load tool: sends jobs in an open loop and reports how they fared.

Jobs are sent at their times of arrival, whatever the answers do, and response
times count from there. A refusal is counted and not tried again; only an answer
that was lost is asked for again, under the same ticket, through another entry.
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
# Timers fire up to this much late; the rest is waited for by yielding.
TIMER_LATENESS_MS = 1.5
CONNECTIONS_PER_ENTRY = 2_000
JOBS_IN_FLIGHT = 20_000


class CancelWave(NamedTuple):
    """A moment at which many jobs are cancelled.

    :param at_ms: when, counted from the load's begin
    :param share: share of the jobs in flight
    """

    at_ms: float
    share: float


class LoadOptions(NamedTuple):
    """What load to send; either ``rate`` or ``load_share`` is given.

    :param entries: callers' addresses of the entries, used in turn
    :param service: service that the jobs are for
    :param team: team that they are counted for, or several with commas between
    :param seconds: how long jobs are sent
    :param rate: jobs a second
    :param mix: name of a mix, or a mix itself
    :param seed: seed of all draws
    :param load_share: share of all slots' time that is offered
    :param slots: slots of the whole system
    :param trip_ms: one way between client and entries, for the ideal response time
    :param resubmit_share: share of jobs that are submitted a second time,
        under the same ticket and through another entry, while in flight
    :param resubmit_lost: whether a lost answer is asked for again
    :param bursts: when jobs arrive faster
    :param cancel_waves: when jobs are cancelled
    :param tickets_ahead: tickets kept in stock per entry and team
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
    trip_ms: float = 0.0
    resubmit_share: float = 0.0
    resubmit_lost: bool = True
    bursts: tuple[Burst, ...] = ()
    cancel_waves: tuple[CancelWave, ...] = ()
    tickets_ahead: int = DEFAULT_TICKETS_AHEAD


class _Answer(NamedTuple):
    status: int
    document: dict[str, Any]


class _Verdict(NamedTuple):
    outcome: str
    code: str
    at_ms: float
    is_wrong: bool = False


class _Http:
    """Requests over kept-alive connections; a fault gives None."""

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


class _Stock:
    """Tickets of one entry for one team, fetched ahead of need."""

    def __init__(self, http: _Http, entry: str, options: LoadOptions, team: str, clock: Clock):
        self._http = http
        self._url = f"{entry}/v1/tickets"
        self._size = max(1, options.tickets_ahead)
        order = {"service": options.service, "team": team, "count": self._size}
        self._body = msgspec.json.encode(order)
        self._clock = clock
        self._tickets: deque[tuple[str, float]] = deque()
        self._is_filling = False

    def take(self, limit_ms: float) -> tuple[str, _Answer | None]:
        """Return a ticket, or an empty one and the answer that gave none."""
        if len(self._tickets) <= self._size // 2 and not self._is_filling:
            self._is_filling = True
            eventlet.spawn_n(self._fill)
        oldest = self._clock.now() - TICKET_MAX_AGE_MS
        while self._tickets:
            ticket, fetched_ms = self._tickets.popleft()
            if fetched_ms >= oldest:
                return ticket, None
        answer = self._fetch(limit_ms)
        return (self._tickets.pop()[0], None) if self._tickets else ("", answer)

    def add(self, ticket: str) -> None:
        if len(self._tickets) < 2 * self._size:
            self._tickets.append((ticket, self._clock.now()))

    def fill(self) -> None:
        self._is_filling = True
        self._fill()

    def _fill(self) -> None:
        try:
            self._fetch(CONNECT_TIMEOUT_MS)
        finally:
            self._is_filling = False

    def _fetch(self, limit_ms: float) -> _Answer | None:
        answer = self._http.send("POST", self._url, self._body, limit_ms)
        if answer is not None:
            for ticket in answer.document.get("tickets", []):
                self._tickets.append((ticket, self._clock.now()))
        return answer


class _Job:
    """One job in flight."""

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
        return [_value_of(result) for result in results] == self.values


class Load:
    """One load, sent by :meth:`run`."""

    def __init__(
        self,
        options: LoadOptions,
        clock: Clock | None = None,
        observer: Callable[[JobOutcome], None] | None = None,
    ):
        """Prepare; nothing is sent yet.

        :param options: what to send
        :param clock: source of time, the machine's clock where None
        :param observer: is told of each job's outcome
        :raises InvalidInput: if the options make no load
        """
        self._mix = _check(options)
        self._options = options
        self._clock = clock or SystemClock()
        self._observer = observer
        self._entries = [_base_address(entry) for entry in options.entries]
        self._teams = options.team.split(",")
        # Independent sources, so that an answer's time changes no later job.
        self._plans = random.Random(f"plans {options.seed}")
        self._arrivals = random.Random(f"arrivals {options.seed}")
        self._faults = random.Random(f"faults {options.seed}")
        self._http = _Http()
        self._stocks = {
            (entry, team): _Stock(self._http, address, options, team, self._clock)
            for entry, address in enumerate(self._entries)
            for team in self._teams
        }
        self._in_flight: dict[str, _Job] = {}
        self._tally = Tally(options.slots, options.trip_ms)
        self._is_stopped = False

    @property
    def done(self) -> int:
        """Number of jobs whose outcome is known."""
        return self._tally.outcomes.total()

    @property
    def sent(self) -> int:
        """Number of jobs that have arrived so far."""
        return self._tally.jobs

    def stop(self) -> None:
        """Send no more jobs; those in flight are still waited for."""
        self._is_stopped = True

    def run(self) -> LoadReport:
        """Send all jobs, wait for their answers and return the report."""
        for stock in self._stocks.values():
            stock.fill()
        pool = eventlet.GreenPool(JOBS_IN_FLIGHT)
        begin = self._clock.now()
        waves = [eventlet.spawn(self._cancel, wave) for wave in self._options.cancel_waves]
        try:
            self._send_all(pool, begin)
            pool.waitall()
            return self._tally.report(self._clock.now() - begin)
        finally:
            for wave in waves:
                wave.kill()
            self._http.close()

    def _send_all(self, pool: eventlet.GreenPool, begin: float) -> None:
        options = self._options
        rate = options.rate or rate_for_share(self._mix, options.load_share, options.slots)
        length_ms = options.seconds * MS_PER_SECOND
        arrivals = draw_arrivals(rate, length_ms, self._arrivals, options.bursts)
        for number, at_ms in enumerate(arrivals):
            plan = self._mix.draw(self._plans, self._plans.choice(self._teams))
            self._sleep_until(begin + at_ms)
            if self._is_stopped:
                return
            self._tally.jobs += 1
            self._tally.tasks += len(plan.tasks)
            pool.spawn_n(self._run_job, number, _Job(plan, number, begin + at_ms, options.service))

    def _sleep_until(self, due_ms: float) -> None:
        left = due_ms - self._clock.now() - TIMER_LATENESS_MS
        if left > 0:
            self._clock.sleep(left)
        while self._clock.now() < due_ms:
            self._clock.sleep(0)

    def _run_job(self, number: int, job: _Job) -> None:
        entry = number % len(self._entries)
        is_double = self._faults.random() < self._options.resubmit_share
        delay_share = self._faults.random()
        verdict = self._take_ticket(job, entry)
        if verdict is None:
            self._in_flight[job.ticket] = job
            verdict = self._run_ticket(job, entry, delay_share if is_double else None)
            del self._in_flight[job.ticket]
        response_ms = verdict.at_ms - job.due_ms
        outcome = JobOutcome(job.plan, job.ticket, verdict.outcome, verdict.code, response_ms)
        self._tally.note(outcome, job.is_cancelled)
        if self._observer:
            self._observer(outcome)

    def _take_ticket(self, job: _Job, entry: int) -> _Verdict | None:
        """Give the job a ticket; return a verdict where there is none."""
        answer = None
        for step in range(len(self._entries)):
            index = (entry + step) % len(self._entries)
            stock = self._stocks[index, job.plan.team]
            job.ticket, answer = stock.take(job.end_ms - self._clock.now())
            if job.ticket:
                return None
        code = NO_ENTRY if answer is None else _code_of(answer)
        return _Verdict(OUTCOME_NOT_RUN, code, self._clock.now())

    def _run_ticket(self, job: _Job, entry: int, delay_share: float | None) -> _Verdict:
        body = job.encode()
        other = None
        if delay_share is not None:
            self._tally.resubmitted += 1
            ideal = ideal_ms(job.plan, self._options.slots)
            other = eventlet.spawn(self._submit_again, job, entry + 1, body, delay_share * ideal)
        verdicts = [self._submit(job, entry, body)]
        if other is not None:
            verdicts.append(other.wait())
        self._tally.wrong_answers += _count_wrong(verdicts)
        best = min(verdicts, key=lambda verdict: RANKED_OUTCOMES.index(verdict.outcome))
        if best.outcome == OUTCOME_UNANSWERED and not job.may_have_arrived:
            return best._replace(outcome=OUTCOME_NOT_RUN, code=NO_ENTRY)
        return best

    def _submit_again(self, job: _Job, entry: int, body: bytes, delay_ms: float) -> _Verdict:
        self._clock.sleep(delay_ms)
        return self._submit(job, entry, body)

    def _submit(self, job: _Job, entry: int, body: bytes) -> _Verdict:
        while True:
            address = self._entries[entry % len(self._entries)]
            limit_ms = job.end_ms - self._clock.now() + ANSWER_GRACE_MS
            url = f"{address}/v1/jobs/{job.ticket}"
            answer = self._http.send("PUT", url, body, limit_ms, job)
            verdict = None if answer is None else self._judge(job, answer)
            if verdict is not None:
                self._keep_ticket(job, entry, answer)
                return verdict
            entry += 1
            is_late = self._clock.now() + RESUBMIT_PAUSE_MS >= job.end_ms
            if is_late or not self._options.resubmit_lost:
                return _Verdict(OUTCOME_UNANSWERED, "", self._clock.now())
            self._clock.sleep(RESUBMIT_PAUSE_MS)

    def _judge(self, job: _Job, answer: _Answer) -> _Verdict | None:
        """Return what an answer says, or None where it says nothing of the job."""
        now = self._clock.now()
        outcome = answer.document.get("outcome")
        if outcome == OUTCOME_COMPLETE and answer.status < 300:
            return _Verdict(outcome, "", now, not job.has_own_results(answer.document))
        if outcome in (OUTCOME_NOT_RUN, OUTCOME_MAY_HAVE_RUN):
            return _Verdict(outcome, _code_of(answer), now)
        if 400 <= answer.status < 500:
            return _Verdict(OUTCOME_REJECTED, _code_of(answer), now)
        job.may_have_arrived = True
        return None

    def _keep_ticket(self, job: _Job, entry: int, answer: _Answer) -> None:
        ticket = answer.document.get("next_ticket")
        if ticket:
            self._stocks[entry % len(self._entries), job.plan.team].add(ticket)

    def _cancel(self, wave: CancelWave) -> None:
        self._clock.sleep(wave.at_ms)
        jobs = list(self._in_flight.values())
        for job in self._faults.sample(jobs, round(wave.share * len(jobs))):
            job.is_cancelled = True
            address = self._faults.choice(self._entries)
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
    """Send a load and return its report; see :class:`LoadOptions`.

    :param observer: is told of each job's outcome
    :param options: further fields of :class:`LoadOptions`
    :raises InvalidInput: if the options make no load
    """
    chosen = LoadOptions(entries, service, team, seconds, rate, mix, seed, **options)
    return Load(chosen, observer=observer).run()


def _check(options: LoadOptions) -> Mix:
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
    with contextlib.suppress(msgspec.MsgspecError, UnicodeDecodeError):
        document = msgspec.json.decode(data)
        if isinstance(document, dict):
            return document
    return {}


def _code_of(answer: _Answer) -> str:
    return str(answer.document.get("code") or f"http_{answer.status}")


def _value_of(result: Any) -> Any:
    return result.get("value") if isinstance(result, dict) else None


def _count_wrong(verdicts: list[_Verdict]) -> int:
    wrong = sum(verdict.is_wrong for verdict in verdicts)
    outcomes = {verdict.outcome for verdict in verdicts}
    return wrong + ({OUTCOME_COMPLETE, OUTCOME_NOT_RUN} <= outcomes)
