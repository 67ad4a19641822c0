"""Demo that runs the whole system in one process on loopback, under load and faults.

It starts three failure domains with one entry each, eleven agents with one minion
each, and a store, which communicate over real sockets. While jobs run, one minion
unregisters and the store is unavailable for part of the time. The report is printed
as one line of JSON; it takes the starts of tasks from the minions' own counts rather
than from the dispatcher's.
"""

import contextlib
import json
import logging
import random
import secrets
import signal
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, TextIO

import eventlet

from geraniumspool.agent import Agent, build_agent
from geraniumspool.application import Application
from geraniumspool.clock import MS_PER_SECOND, SystemClock
from geraniumspool.contracts import Clock
from geraniumspool.entry import Entry, build_entry
from geraniumspool.link import SCOPE_CROSS
from geraniumspool.load import Load, LoadOptions
from geraniumspool.loadreport import JobOutcome, LoadReport
from geraniumspool.messages import STATE_NOT_RUN
from geraniumspool.settings import AgentSettings, EntrySettings
from geraniumspool.standin_minion import StandinMinion
from geraniumspool.standin_store import StandinStore
from geraniumspool.ticket import decode_unverified
from geraniumspool.workload import (
    DECLARED_EXACT,
    MAX_TASKS,
    JobPlan,
    RandomMix,
    RunTimes,
    Widths,
)

HOST = "127.0.0.1"
DOMAINS = ("sukhbaatar", "bayanzurkh", "khan-uul")
AGENTS = (4, 4, 3)
SLOTS = 8
CONNECTIONS = 64
SERVICE = "fitting"
TEAM = "opticians"

DEFAULT_SECONDS = 24.0
MAX_SECONDS = 24.0
SUBMISSION_SHARE = 0.85
DEADLINE_MS = 5_000.0
READY_TIMEOUT_MS = 5_000.0
POLL_MS = 50.0
PROGRESS_MS = 1_000.0
LOAD_SHARE = 0.35
RESUBMIT_SHARE = 0.1
WIDE_SHARE = 0.1

MINION_LEAVES_AT = 0.4
STORE_FAILS_AT = 0.5
STORE_RETURNS_AT = 0.75

OK = 0
FAILED = 1


class DemoReport(NamedTuple):
    """Report of a demo run; fields that are not listed are as in :class:`LoadReport`.

    :param tasks: number of tasks in all jobs
    :param starts: number of task starts that the minions counted
    :param tasks_started_more_than_once: number of tasks with more than one start
    :param false_not_run: number of jobs reported as "not run" although a minion counted a
        start of one of their tasks
    :param response_over_ideal_p50: median ratio of the response time to the ideal one
    :param messages_per_task: messages between processes, heartbeats included, per task
    :param cross_domain_messages_per_task: those between different failure domains, per task
    """

    jobs: int
    complete: int
    failed: int
    failed_not_run: int
    failed_may_have_run: int
    unanswered: int
    rejected: int
    wrong_answers: int
    resubmitted: int
    tasks: int
    starts: int
    tasks_started_more_than_once: int
    false_not_run: int
    response_over_ideal_p50: float | None
    response_over_ideal_p99: float | None
    response_over_ideal_narrow_p99: float | None
    response_over_ideal_wide_p99: float | None
    messages_per_task: float
    cross_domain_messages_per_task: float
    refusals: dict[str, int]
    elapsed_ms: float

    @property
    def has_no_violations(self) -> bool:
        """Whether every guarantee to callers held.

        Each task starts at most once, no job reported as "not run" ran, and every job gets an
        answer, which is correct.
        """
        broken = self.tasks_started_more_than_once + self.false_not_run
        return broken + self.unanswered + self.wrong_answers == 0


class DemoMix(NamedTuple):
    """Distribution of jobs of one task, mixed with jobs of many.

    :param single: distribution of jobs with one task
    :param wide: distribution of jobs with several tasks
    :param wide_share: share of jobs drawn from ``wide``
    """

    single: RandomMix
    wide: RandomMix
    wide_share: float

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a job, the sum of its tasks' run times, in milliseconds."""
        wide = self.wide_share * self.wide.mean_work_ms
        return wide + (1 - self.wide_share) * self.single.mean_work_ms

    def draw(self, rng: random.Random, team: str) -> JobPlan:
        """Return a random job.

        :param rng: random number generator
        :param team: team of the job
        """
        mix = self.wide if rng.random() < self.wide_share else self.single
        return mix.draw(rng, team)


RUN_TIMES = RunTimes(50, 1_000)
DEMO_MIX = DemoMix(
    RandomMix(Widths(1, 1), RUN_TIMES, DECLARED_EXACT, DEADLINE_MS),
    RandomMix(Widths(2, MAX_TASKS, 1.0), RUN_TIMES, DECLARED_EXACT, DEADLINE_MS),
    WIDE_SHARE,
)

MinionFactory = Callable[[str, int, int, Clock], StandinMinion]


class System:
    """Store, entries, agents and minions, all in this process.

    :ivar store: stand-in for the platform's store
    :ivar entries: one per failure domain, in the order of ``DOMAINS``
    :ivar agents: all agents, ordered by failure domain
    :ivar minions: one per agent, in the order of ``agents``
    """

    def __init__(self, clock: Clock, make_minion: MinionFactory = StandinMinion):
        """Create a system that is not started yet.

        :param clock: source of time for the store and the minions
        :param make_minion: creates a stand-in for a minion from service, slots, connections
            and clock
        """
        self.store = StandinStore(clock)
        self.entries: list[Entry] = []
        self.agents: list[Agent] = []
        self.minions: list[StandinMinion] = []
        self._clock = clock
        self._make_minion = make_minion

    def start(self) -> None:
        """Start everything; the agents and entries discover each other afterwards."""
        host, port = self.store.start(HOST)
        store_urls = (f"http://{host}:{port}",)
        token, key = secrets.token_hex(), secrets.token_hex()
        for domain in DOMAINS:
            entry = build_entry(EntrySettings(domain, token, (key,), store_urls))
            self.entries.append(entry)
            entry.start()
        for domain, count in zip(DOMAINS, AGENTS, strict=True):
            for _ in range(count):
                self._add_agent(AgentSettings(domain, store_urls))

    def wait_until_ready(self, limit_ms: float, is_stopped: Callable[[], bool]) -> bool:
        """Wait until every entry knows every agent, and return whether it does in time.

        :param limit_ms: longest wait in milliseconds
        :param is_stopped: polled while waiting; the wait ends when it returns True
        """
        end = self._clock.now() + limit_ms
        while not all(self._knows_all_agents(entry) for entry in self.entries):
            if self._clock.now() >= end or is_stopped():
                return False
            self._clock.sleep(POLL_MS)
        return True

    def caller_addresses(self) -> list[str]:
        """Return the address for callers of each entry."""
        return [entry.ready_line()["callers"] for entry in self.entries]

    def starts(self) -> Counter[str]:
        """Return the number of starts by task id, as counted by the minions."""
        total: Counter[str] = Counter()
        for minion in self.minions:
            total.update(minion.starts)
        return total

    def running(self) -> int:
        """Return the number of tasks that are running."""
        return sum(minion.running for minion in self.minions)

    def count_messages(self, **labels: str) -> float:
        """Return the number of messages that entries and agents have sent.

        :param labels: labels of the counter, to count only some of the messages
        """
        processes = [*self.entries, *self.agents]
        return sum(process.metrics.get("messages_sent", **labels) for process in processes)

    def stop(self) -> None:
        """Stop all minions, agents and entries, then the store."""
        for minion in self.minions:
            minion.stop()
        pool = eventlet.GreenPool()
        for process in [*self.agents, *self.entries]:
            pool.spawn_n(_stop, process)
        pool.waitall()
        self.store.stop()

    def _add_agent(self, settings: AgentSettings) -> None:
        agent = build_agent(settings)
        self.agents.append(agent)
        agent.start()
        minion = self._make_minion(SERVICE, SLOTS, CONNECTIONS, self._clock)
        self.minions.append(minion)
        minion.start(HOST)
        minion.announce(agent.minion_url)

    def _knows_all_agents(self, entry: Entry) -> bool:
        return len(entry.roster.agents(SERVICE)) == len(self.agents)


class Demo:
    """A run of the system under load and faults."""

    def __init__(self, seconds: float, progress: TextIO | None, make_minion: MinionFactory):
        """Create a run that is not started yet.

        :param seconds: duration in seconds, which leaves time for the last answers; at most
            ``MAX_SECONDS``
        :param progress: stream for progress messages, or None for none
        :param make_minion: creates a stand-in for a minion from service, slots, connections
            and clock
        """
        self._seconds = min(seconds, MAX_SECONDS)
        self._progress = progress
        self._clock = SystemClock()
        self._system = System(self._clock, make_minion)
        self._load: Load | None = None
        self._is_stopped = False
        self._not_run: list[str] = []

    def stop(self) -> None:
        """Submit no more jobs and end the run once those in flight are answered."""
        self._is_stopped = True
        if self._load is not None:
            self._load.stop()

    def run(self) -> DemoReport | None:
        """Run the demo and return its report, or None if the system did not become ready."""
        try:
            self._system.start()
            self._print_progress("store, 3 entries, 11 agents and 11 minions started")
            if not self._system.wait_until_ready(READY_TIMEOUT_MS, lambda: self._is_stopped):
                return None
            return self._run_load()
        finally:
            self._system.stop()

    def _run_load(self) -> DemoReport:
        sending_s = self._seconds * SUBMISSION_SHARE
        options = LoadOptions(
            self._system.caller_addresses(),
            SERVICE,
            TEAM,
            sending_s,
            mix=DEMO_MIX,
            load_share=LOAD_SHARE,
            slots=len(self._system.agents) * SLOTS,
            resubmit_share=RESUBMIT_SHARE,
        )
        self._load = Load(options, self._clock, self._record_not_run)
        messages_before = self._system.count_messages()
        cross_domain_before = self._system.count_messages(scope=SCOPE_CROSS)
        green_threads = [eventlet.spawn(self._report_progress)]
        green_threads.append(eventlet.spawn(self._inject_faults, sending_s * MS_PER_SECOND))
        try:
            load = self._load.run()
        finally:
            for green_thread in green_threads:
                green_thread.kill()
        messages = self._system.count_messages() - messages_before
        cross_domain = self._system.count_messages(scope=SCOPE_CROSS) - cross_domain_before
        return self._build_report(load, messages, cross_domain)

    def _build_report(self, load: LoadReport, messages: float, cross_domain: float) -> DemoReport:
        starts = self._system.starts()
        shared = {name: value for name, value in load.as_json().items() if name in _SHARED_FIELDS}
        return DemoReport(
            **shared,
            starts=starts.total(),
            tasks_started_more_than_once=sum(count > 1 for count in starts.values()),
            false_not_run=count_false_not_run(self._not_run, starts),
            messages_per_task=round(messages / max(1, load.tasks), 3),
            cross_domain_messages_per_task=round(cross_domain / max(1, load.tasks), 3),
        )

    def _record_not_run(self, outcome: JobOutcome) -> None:
        if outcome.outcome == STATE_NOT_RUN and outcome.ticket:
            self._not_run.append(outcome.ticket)

    def _inject_faults(self, length_ms: float) -> None:
        self._clock.sleep(MINION_LEAVES_AT * length_ms)
        self._print_progress("a minion leaves")
        self._system.minions[0].leave()
        self._clock.sleep((STORE_FAILS_AT - MINION_LEAVES_AT) * length_ms)
        self._print_progress("the store goes down")
        self._system.store.store.down = True
        self._clock.sleep((STORE_RETURNS_AT - STORE_FAILS_AT) * length_ms)
        self._print_progress("the store is back")
        self._system.store.store.down = False

    def _report_progress(self) -> None:
        while True:
            self._clock.sleep(PROGRESS_MS)
            running = self._system.running()
            load = self._load
            self._print_progress(
                f"{load.submitted} jobs sent, {load.done} answered, {running} tasks running"
            )

    def _print_progress(self, text: str) -> None:
        if self._progress is not None:
            print(text, file=self._progress, flush=True)


def run_demo(
    seconds: float = DEFAULT_SECONDS,
    progress: bool | None = None,
    make_minion: MinionFactory = StandinMinion,
) -> int:
    """Run the whole system in this process and print the report as one line of JSON.

    :param seconds: duration in seconds, at most ``MAX_SECONDS``
    :param progress: whether to print progress to standard error, None for only on a terminal
    :param make_minion: creates a stand-in for a minion from service, slots, connections and
        clock
    :returns: exit code, 1 if a guarantee to callers was violated or the system did not become
        ready
    """
    if progress is None:
        progress = sys.stderr.isatty()
    demo = Demo(seconds, sys.stderr if progress else None, make_minion)
    with _stop_on_signal(demo.stop), _quiet_logs():
        report = demo.run()
    if report is None:
        print(json.dumps({"error": "the system did not come up"}), flush=True)
        return FAILED
    print(json.dumps(report._asdict()), flush=True)
    return OK if report.has_no_violations else FAILED


def count_false_not_run(tickets: list[str], starts: Counter[str]) -> int:
    """Return the number of jobs reported as "not run" although one of their tasks started.

    :param tickets: tickets of the jobs reported as "not run"
    :param starts: number of starts by task id, as counted by the minions
    """
    started = {task_id.partition(".")[0] for task_id in starts}
    return sum(f"{decode_unverified(ticket).job:x}" in started for ticket in tickets)


_SHARED_FIELDS = frozenset(DemoReport._fields) & frozenset(LoadReport._fields)


def _stop(process: Application) -> None:
    process.stop()


@contextlib.contextmanager
def _stop_on_signal(stop: Callable[[], None]) -> Iterator[None]:
    """Call ``stop`` on the first SIGINT or SIGTERM; a second one has its previous effect."""
    previous: dict[int, Any] = {}

    def restore() -> None:
        for number, handler in previous.items():
            signal.signal(number, handler)

    def handle(_number: int, _frame: Any) -> None:
        restore()
        stop()

    for number in (signal.SIGINT, signal.SIGTERM):
        previous[number] = signal.signal(number, handle)
    try:
        yield
    finally:
        restore()


@contextlib.contextmanager
def _quiet_logs() -> Iterator[None]:
    """Keep warnings about the injected faults off the terminal."""
    handler = logging.NullHandler()
    loggers = [logging.getLogger(name) for name in ("geraniumspool", "urllib3")]
    for logger in loggers:
        logger.addHandler(handler)
    try:
        yield
    finally:
        for logger in loggers:
            logger.removeHandler(handler)
