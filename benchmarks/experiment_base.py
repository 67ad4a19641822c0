"""Shared parts of the experiments: parallel systems, slices of load, result rows."""

import contextlib
import os
import signal
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import eventlet
import yaml
from eventlet import tpool
from hdrh.histogram import HdrHistogram

from benchmarks.counts import ZERO_COUNTS, Counts, Meter, is_alive
from geraniumspool.client import OUTCOME_COMPLETE, OUTCOME_MAY_HAVE_RUN, OUTCOME_NOT_RUN
from geraniumspool.load import Load, LoadOptions
from geraniumspool.loadreport import OUTCOME_UNANSWERED, JobOutcome, LoadReport
from geraniumspool.ticket import Keyring
from geraniumspool.workload import JobPlan, ideal_ms
from tests.processes import SERVICE, TEAM, TICKET_KEY, TOKEN, ProcessSystem, Program

DOMAINS = ["sukhbaatar", "bayanzurkh", "khan-uul"]
AGENTS_PER_DOMAIN = [4, 4, 3]
AGENTS = sum(AGENTS_PER_DOMAIN)
SLOTS = 88
READY_LIMIT_S = 30.0
SETTLE_S = 0.3
SAMPLE_S = 0.25
TRIP_SAMPLES = 200
SCALE = 1_000
MAX_RATIO = 1_000_000
MAX_MS = 600_000
CANCELLED_CODE = "job_cancelled"
EXPIRED_CODE = "job_expired"
LOST_OUTCOMES = (OUTCOME_MAY_HAVE_RUN, OUTCOME_UNANSWERED)
CONCURRENT_QUERIES = 32
JOIN_LIMIT_S = 60.0


class Row(NamedTuple):
    """Results of one experiment under one policy.

    :param chosen: whether the policy is the one in use
    :param response_over_ideal_p50: response time divided by the ideal one; None if no job
        completed
    :param tasks_started_more_than_once: starts beyond one per task, as counted by the minions
    :param goodput_share: share of the time of all slots that went to jobs answered as complete;
        if slots were sampled, while load was sent, otherwise until the last answer
    :param refused_ms_p99: response time of jobs that were not admitted, in milliseconds
    :param deadline_missed: admitted jobs that were not complete by their deadline
    :param notes: results that only this experiment has
    """

    experiment: str
    policy: str
    chosen: bool
    jobs: int
    response_over_ideal_p50: float | None
    response_over_ideal_p99: float | None
    response_over_ideal_narrow_p99: float | None
    response_over_ideal_middle_p99: float | None
    response_over_ideal_wide_p99: float | None
    messages_per_task: float
    cross_domain_messages_per_task: float
    wasted_messages_per_task: float
    refused_not_run: int
    may_have_run: int
    tasks_started_more_than_once: int
    false_not_run: int
    wrong_answers: int
    goodput_share: float
    refused_ms_p99: float | None
    deadline_missed: int
    load_average: float
    notes: dict[str, float | None]

    def as_json(self) -> dict:
        """Return the row as a flat JSON object with the notes among its fields."""
        fields = self._asdict()
        return fields | fields.pop("notes")


class Job(NamedTuple):
    """An answered job, with what is needed to check it against the starts.

    :param tasks: number of its tasks
    """

    ticket: str
    outcome: str
    tasks: int


class Tally:
    """Outcomes and response times of jobs over several slices of load.

    :ivar deadline_missed: admitted jobs that were not complete by their deadline
    :ivar work_ms: total run time of the tasks of all jobs in milliseconds
    """

    def __init__(self, one_way_delay_ms: float):
        """Start empty.

        :param one_way_delay_ms: one-way latency between client and entries in milliseconds
        """
        self._one_way_delay_ms = one_way_delay_ms
        self._ratios = HdrHistogram(1, MAX_RATIO, 3)
        self._narrow = HdrHistogram(1, MAX_RATIO, 3)
        self._middle = HdrHistogram(1, MAX_RATIO, 3)
        self._wide = HdrHistogram(1, MAX_RATIO, 3)
        self._refused = HdrHistogram(1, MAX_MS * SCALE, 3)
        self.outcomes: Counter[str] = Counter()
        self.codes: Counter[str] = Counter()
        self.deadline_missed = 0
        self.work_ms = 0.0
        self.jobs: list[Job] = []

    def record(self, outcome: JobOutcome) -> None:
        """Record the outcome of one job."""
        plan = outcome.plan
        self.work_ms += plan.work_ms
        self.outcomes[outcome.outcome] += 1
        self.codes[outcome.code] += bool(outcome.code)
        self.jobs.append(Job(outcome.ticket, outcome.outcome, len(plan.tasks)))
        if outcome.outcome == OUTCOME_COMPLETE:
            self.deadline_missed += outcome.response_ms > plan.deadline_ms
            ideal = ideal_ms(plan, SLOTS, self._one_way_delay_ms)
            ratio = min(MAX_RATIO, max(1, round(outcome.response_ms / ideal * SCALE)))
            self._ratios.record_value(ratio)
            self._by_width(plan).record_value(ratio)
        elif outcome.code == CANCELLED_CODE:
            return
        elif outcome.outcome in LOST_OUTCOMES or outcome.code == EXPIRED_CODE:
            self.deadline_missed += 1
        elif outcome.outcome == OUTCOME_NOT_RUN:
            self._refused.record_value(round(max(1, min(MAX_MS, outcome.response_ms) * SCALE)))

    def _by_width(self, plan: JobPlan) -> HdrHistogram:
        if plan.is_narrow:
            return self._narrow
        return self._wide if plan.is_wide else self._middle

    def ratio(self, percentile: float) -> float | None:
        """Return a percentile of response time over ideal, None without complete jobs."""
        return _percentile(self._ratios, percentile)

    def narrow_ratio(self, percentile: float) -> float | None:
        """Return a percentile of response time over ideal of narrow jobs."""
        return _percentile(self._narrow, percentile)

    def middle_ratio(self, percentile: float) -> float | None:
        """Return a percentile of response time over ideal of jobs neither narrow nor wide."""
        return _percentile(self._middle, percentile)

    def wide_ratio(self, percentile: float) -> float | None:
        """Return a percentile of response time over ideal of wide jobs."""
        return _percentile(self._wide, percentile)

    def refused_ms(self, percentile: float) -> float | None:
        """Return a percentile of the response time of refused jobs in milliseconds."""
        return _percentile(self._refused, percentile)


def _percentile(histogram: HdrHistogram, percentile: float) -> float | None:
    if not histogram.get_total_count():
        return None
    return round(histogram.get_value_at_percentile(percentile) / SCALE, 3)


class PolicyMeasurement:
    """Measurement of one policy in an experiment, in slices of load on one system."""

    def __init__(
        self,
        system: ProcessSystem,
        experiment: str,
        policy: str,
        chosen: bool,
        one_way_delay_ms: float,
    ):
        """Start without results.

        :param chosen: whether the policy is the one in use
        :param one_way_delay_ms: one-way latency between client and entries in milliseconds
        """
        self.system = system
        self._experiment = experiment
        self._policy = policy
        self._chosen = chosen
        self._one_way_delay_ms = one_way_delay_ms
        self.tally = Tally(one_way_delay_ms)
        self.counts = ZERO_COUNTS
        self.meter: Meter | None = None
        self.wrong_answers = 0
        self.starts = 0
        self.reports: list[LoadReport] = []
        self._busy: list[float] = []
        self._goodput: list[float] = []
        self._loads: list[float] = []
        self._seconds = 0.0

    def run(
        self,
        seconds: float,
        watch: bool = False,
        on_start: Callable[[Callable[[], None]], None] = lambda stop: None,
        on_end: Callable[[], None] = lambda: None,
        **options,
    ) -> LoadReport:
        """Send one slice of load and add its results.

        :param seconds: how long jobs are sent
        :param watch: whether to sample the number of busy slots meanwhile
        :param on_start: called before the load starts with a function that ends it early
        :param on_end: called after the last answer, before starts are counted
        :param options: fields of :class:`geraniumspool.load.LoadOptions`
        """
        options = {
            "slots": SLOTS,
            "one_way_delay_ms": self._one_way_delay_ms,
            "team": TEAM,
        } | options
        self.meter = Meter(self.system)
        before = self.system.sum_starts()["starts"]
        first = len(self.tally.jobs)
        samples: list[int] = []
        sampler = eventlet.spawn(self._sample, samples, seconds) if watch else None
        entries = options.pop("entries", None) or self.system.caller_addresses()
        chosen = LoadOptions(entries=entries, service=SERVICE, seconds=seconds, **options)
        load = Load(chosen, observer=self.tally.record)
        on_start(load.stop)
        report = load.run()
        on_end()
        if sampler:
            sampler.kill()
        eventlet.sleep(SETTLE_S)
        started = self.system.sum_starts()["starts"] - before
        self.counts += self.meter.total()
        self.starts += started
        self.wrong_answers += report.wrong_answers
        self._seconds += min(seconds, report.elapsed_ms / 1_000)
        self.reports.append(report)
        self._loads.append(os.getloadavg()[0])
        complete = sum(
            job.tasks for job in self.tally.jobs[first:] if job.outcome == OUTCOME_COMPLETE
        )
        if samples:
            self._busy.append(statistics.mean(samples) / SLOTS)
            self._goodput.append(self._busy[-1] * complete / max(1, started))
        return report

    def _sample(self, samples: list[int], seconds: float) -> None:
        """Sample the number of busy slots while jobs are sent, except in the first fifth."""
        end = time.monotonic() + seconds
        eventlet.sleep(seconds / 5)
        while time.monotonic() < end:
            samples.append(self.system.sum_starts()["running"])
            eventlet.sleep(SAMPLE_S)

    def row(self, **notes: float) -> Row:
        """Return the results so far.

        :param notes: results that only this experiment has
        """
        tally = self.tally
        tasks = max(1, self.starts)
        check = check_starts(self.system, tally.jobs, self.starts)
        goodput = statistics.mean(self._goodput or [r.goodput_share for r in self.reports])
        if self._seconds:
            offered = tally.work_ms / 1_000 / (SLOTS * self._seconds)
            notes["offered_share"] = round(offered, 3)
        if self._busy:
            notes["busy_share"] = round(statistics.mean(self._busy), 3)
        notes |= {f"code_{code}": count for code, count in sorted(tally.codes.items()) if count}
        return Row(
            experiment=self._experiment,
            policy=self._policy,
            chosen=self._chosen,
            jobs=len(tally.jobs),
            response_over_ideal_p50=tally.ratio(50),
            response_over_ideal_p99=tally.ratio(99),
            response_over_ideal_narrow_p99=tally.narrow_ratio(99),
            response_over_ideal_middle_p99=tally.middle_ratio(99),
            response_over_ideal_wide_p99=tally.wide_ratio(99),
            messages_per_task=round(self.counts.work_messages / tasks, 3),
            cross_domain_messages_per_task=round(self.counts.cross_messages / tasks, 3),
            wasted_messages_per_task=round(self.counts.wasted_messages / tasks, 3),
            refused_not_run=tally.outcomes[OUTCOME_NOT_RUN],
            may_have_run=tally.outcomes[OUTCOME_MAY_HAVE_RUN],
            tasks_started_more_than_once=check.repeated,
            false_not_run=check.false_not_run,
            wrong_answers=self.wrong_answers,
            goodput_share=round(goodput, 3),
            refused_ms_p99=tally.refused_ms(99),
            deadline_missed=tally.deadline_missed,
            load_average=round(max(self._loads or [0.0]), 1),
            notes=notes,
        )


class StartsCheck(NamedTuple):
    """Result of comparing the minions' counts of starts with the answers.

    :param repeated: starts beyond one per task
    :param false_not_run: jobs answered as "not run" of which a task was started
    """

    repeated: int
    false_not_run: int


def check_starts(system: ProcessSystem, jobs: list[Job], starts: int) -> StartsCheck:
    """Compare the starts at the minions with the answers.

    Each task of a complete job was started at least once. Only if there were more starts than
    that are the minions queried about the tasks of the other jobs.

    :param starts: number of starts that these jobs caused at all minions
    """
    complete = sum(job.tasks for job in jobs if job.outcome == OUTCOME_COMPLETE)
    surplus = starts - complete
    if surplus <= 0:
        return StartsCheck(0, 0)
    incomplete = [job for job in jobs if job.outcome != OUTCOME_COMPLETE and job.ticket]
    keyring = Keyring([TICKET_KEY])
    pool = eventlet.GreenPool(CONCURRENT_QUERIES)
    names = [
        (job, f"{keyring.verify(job.ticket).job:x}.{index}")
        for job in incomplete
        for index in range(job.tasks)
    ]
    counts = list(pool.imap(lambda pair: _count_starts(system, pair[1]), names))
    false_jobs = {
        job.ticket
        for (job, _), count in zip(names, counts, strict=True)
        if count and job.outcome == OUTCOME_NOT_RUN
    }
    started_tasks = sum(1 for count in counts if count)
    return StartsCheck(surplus - started_tasks, len(false_jobs))


def _count_starts(system: ProcessSystem, task: str) -> int:
    total = 0
    for minion in system.minions:
        if is_alive(minion):
            url = f"{minion.ready['minion']}/starts/{task}"
            total += system.http.request("GET", url, timeout=10).json()["starts"]
    return total


@contextlib.contextmanager
def open_systems(*settings: dict) -> Iterator[list[ProcessSystem]]:
    """Start systems in parallel, yield them once they are ready, and stop them at the end.

    :param settings: agent settings, one dictionary per system
    :raises RuntimeError: if a system is not ready in time
    """
    pool = eventlet.GreenPool()
    systems = list(pool.imap(_start_system, settings))
    try:
        for system in systems:
            wait_ready(system)
        yield systems
    finally:
        for system in systems:
            system.stop()


def _start_system(settings: dict) -> ProcessSystem:
    # Starting a process blocks the event loop, so a native thread starts each system.
    return tpool.execute(ProcessSystem, DOMAINS, AGENTS_PER_DOMAIN, agent_settings=settings)


def wait_ready(system: ProcessSystem, agents: int = AGENTS) -> None:
    """Wait until every running entry sees enough ready agents.

    :raises RuntimeError: after ``READY_LIMIT_S``
    """
    end = time.monotonic() + READY_LIMIT_S
    for entry in system.entries:
        while is_alive(entry) and system.ready_agents(entry) < agents:
            if time.monotonic() > end:
                raise RuntimeError(f"{agents} agents were not ready within {READY_LIMIT_S:g} s")
            eventlet.sleep(0.1)


class ScheduledSlice(NamedTuple):
    """A slice of load, or other work, on one system.

    :param seconds: time until the next slice starts; this one may still be waiting for answers
    """

    system: ProcessSystem
    seconds: float
    run: Callable[[], object]


def run_slices(slices: Iterable[ScheduledSlice]) -> None:
    """Start slices one after the other; slices on the same system never overlap."""
    running: dict[int, eventlet.greenthread.GreenThread] = {}
    for scheduled in slices:
        if id(scheduled.system) in running:
            running[id(scheduled.system)].wait()
        running[id(scheduled.system)] = eventlet.spawn(scheduled.run)
        eventlet.sleep(scheduled.seconds)
    for thread in running.values():
        thread.wait()


def measure_trip(system: ProcessSystem) -> float:
    """Return half the median round-trip time to an entry, in milliseconds."""
    url = f"http://{system.caller_addresses()[0]}/healthz"
    times = []
    for _ in range(TRIP_SAMPLES):
        begin = time.perf_counter()
        system.http.request("GET", url, timeout=10)
        times.append(time.perf_counter() - begin)
    return statistics.median(times) * 1_000 / 2


def set_faults(system: ProcessSystem, url: str, **faults) -> None:
    """Set the faults of a store or minion stand-in; a minion ends those left out.

    :param url: base URL of the stand-in
    :raises RuntimeError: if it does not answer with status 200
    """
    reply = system.http.request("PUT", f"{url}/faults", json=faults, timeout=10)
    if reply.status != 200:
        raise RuntimeError(f"PUT {url}/faults: status {reply.status}: {reply.data!r}")


def wait_until(
    condition: Callable[[], bool], limit_s: float, pause_s: float = 0.02
) -> float | None:
    """Poll a condition until it holds.

    :returns: how long it took in milliseconds, None if it did not hold within the limit
    """
    begin = time.monotonic()
    while not condition():
        if time.monotonic() - begin > limit_s:
            return None
        eventlet.sleep(pause_s)
    return (time.monotonic() - begin) * 1_000


def restart_entry(system: ProcessSystem, index: int) -> None:
    """Start a new entry at the addresses of one that has ended."""
    old = system.entries[index].ready
    settings = {
        "role": "entry",
        "domain": DOMAINS[index],
        "inbox": old["inbox"],
        "callers_listen": old["callers"],
        "operators_listen": old["operators"],
        "operators_token": TOKEN,
        "ticket_keys": [TICKET_KEY],
        "heartbeat_timeout_ms": 2000,
        "registration_ttl_ms": 3000,
    }
    system.entries[index] = _start_program(system, "entry", settings)


def restart_agent(system: ProcessSystem, index: int) -> None:
    """Start a new agent at the addresses of one that has ended, where its minion finds it."""
    old = system.agents[index].ready
    settings = {
        "role": "agent",
        "domain": domain_of(index),
        "inbox": old["inbox"],
        "minion_listen": old["minion"].removeprefix("http://"),
    }
    system.agents[index] = _start_program(system, "agent", settings)


def domain_of(index: int) -> str:
    """Return the failure domain of an agent by its index in the order of starts.

    :raises IndexError: if there is no such agent
    """
    for domain, count in zip(DOMAINS, AGENTS_PER_DOMAIN, strict=True):
        if index < count:
            return domain
        index -= count
    raise IndexError(index)


def _start_program(system: ProcessSystem, role: str, settings: dict) -> Program:
    common = {"store_urls": [system.store_url], "heartbeat_period_ms": 500}
    with tempfile.NamedTemporaryFile("w", suffix=".yaml", encoding="utf-8") as file:
        yaml.safe_dump(settings | common, file)
        file.flush()
        return tpool.execute(Program, role, file.name)


def shut_down(program: Program) -> int:
    """Shut a process down gracefully without blocking the load, and kill it after a limit.

    :returns: its exit code
    """
    program.send(signal.SIGTERM)
    wait_until(lambda: not is_alive(program), JOIN_LIMIT_S, 0.05)
    program.kill()
    return program.process.returncode


def describe_messages_spent(after: Counts, before: Counts) -> dict[str, float]:
    """Return the messages sent between two counts, as notes of a row."""
    spent = after - before
    return {"messages_spent": spent.work_messages, "wasted_spent": spent.wasted_messages}
