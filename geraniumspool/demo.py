"""The whole system in one process on loopback, under load and faults.

Three failure domains with an entry each, eleven agents with a minion beside
each, and a store: all talk by real sockets. While jobs run, a minion leaves and
the store is down for a while. One line of JSON at the end says what was seen;
starts of tasks are counted by the minions, not by the dispatcher.
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
from geraniumspool.ticket import read_ticket
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
SENDING_SHARE = 0.85
DEADLINE_MS = 5_000.0
READY_LIMIT_MS = 5_000.0
POLL_MS = 50.0
PROGRESS_MS = 1_000.0
LOAD_SHARE = 0.35
RESUBMIT_SHARE = 0.1
WIDE_SHARE = 0.1

MINION_LEAVES_AT = 0.4
STORE_FAILS_AT = 0.5
STORE_RETURNS_AT = 0.75

OK = 0
BROKEN = 1


class DemoReport(NamedTuple):
    """What the demo saw.

    :param tasks: tasks of all jobs
    :param starts: starts that the minions counted
    :param tasks_started_more_than_once: tasks with more than one start
    :param false_not_run: jobs answered "not run" of which a minion counted a start
    :param response_over_ideal_p50: median of response time over the ideal one
    :param messages_per_task: messages between processes, heartbeats included, per task
    :param cross_domain_messages_per_task: those of them between failure domains
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
    def is_sound(self) -> bool:
        """Whether every promise to callers was kept."""
        broken = self.tasks_started_more_than_once + self.false_not_run
        return broken + self.unanswered + self.wrong_answers == 0


class DemoMix(NamedTuple):
    """Single tasks, with wide jobs among them.

    :param single: the jobs of one task
    :param wide: the wide jobs
    :param wide_share: share of jobs that are wide
    """

    single: RandomMix
    wide: RandomMix
    wide_share: float

    @property
    def mean_work_ms(self) -> float:
        """Mean slot time of a job."""
        wide = self.wide_share * self.wide.mean_work_ms
        return wide + (1 - self.wide_share) * self.single.mean_work_ms

    def draw(self, source: random.Random, team: str) -> JobPlan:
        """Return the next job."""
        mix = self.wide if source.random() < self.wide_share else self.single
        return mix.draw(source, team)


RUN_TIMES = RunTimes(50, 1_000)
DEMO_MIX = DemoMix(
    RandomMix(Widths(1, 1), RUN_TIMES, DECLARED_EXACT, DEADLINE_MS),
    RandomMix(Widths(2, MAX_TASKS, 1.0), RUN_TIMES, DECLARED_EXACT, DEADLINE_MS),
    WIDE_SHARE,
)

MinionFactory = Callable[[str, int, int, Clock], StandinMinion]


class System:
    """Store, entries, agents and minions, all in this process.

    :ivar entries: one per failure domain
    :ivar agents: in order of the failure domains
    :ivar minions: one per agent, in the same order
    """

    def __init__(self, clock: Clock, make_minion: MinionFactory = StandinMinion):
        """Build nothing yet.

        :param clock: source of time for the stand-ins
        :param make_minion: builds a stand-in of a minion
        """
        self.store = StandinStore(clock)
        self.entries: list[Entry] = []
        self.agents: list[Agent] = []
        self.minions: list[StandinMinion] = []
        self._clock = clock
        self._make_minion = make_minion

    def start(self) -> None:
        """Start everything; the processes find each other afterwards."""
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
        """Return whether every entry knew every agent in time."""
        end = self._clock.now() + limit_ms
        while not all(self._knows_all(entry) for entry in self.entries):
            if self._clock.now() >= end or is_stopped():
                return False
            self._clock.sleep(POLL_MS)
        return True

    def callers(self) -> list[str]:
        """Return the callers' addresses of all entries."""
        return [entry.ready_line()["callers"] for entry in self.entries]

    def starts(self) -> Counter[str]:
        """Return how often each task was started, by the minions' own count."""
        total: Counter[str] = Counter()
        for minion in self.minions:
            total.update(minion.starts)
        return total

    def running(self) -> int:
        """Return how many tasks run now."""
        return sum(minion.running for minion in self.minions)

    def count_messages(self, **labels: str) -> float:
        """Return how many messages the processes have sent to each other."""
        processes = [*self.entries, *self.agents]
        return sum(process.metrics.get("messages_sent", **labels) for process in processes)

    def stop(self) -> None:
        """Stop everything that was started."""
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

    def _knows_all(self, entry: Entry) -> bool:
        return len(entry.roster.agents(SERVICE)) == len(self.agents)


class Demo:
    """One run of the system under load and faults."""

    def __init__(self, seconds: float, progress: TextIO | None, make_minion: MinionFactory):
        """Prepare; nothing is started yet.

        :param seconds: how long, the time for the last answers included
        :param progress: where lines of progress go, or None for nowhere
        """
        self._seconds = min(seconds, MAX_SECONDS)
        self._progress = progress
        self._clock = SystemClock()
        self._system = System(self._clock, make_minion)
        self._load: Load | None = None
        self._is_stopped = False
        self._not_run: list[str] = []

    def stop(self) -> None:
        """Send no more jobs, and end once those in flight are answered."""
        self._is_stopped = True
        if self._load is not None:
            self._load.stop()

    def run(self) -> DemoReport | None:
        """Run it and return the report, or None if the system did not come up."""
        try:
            self._system.start()
            self._say("store, 3 entries, 11 agents and 11 minions started")
            if not self._system.wait_until_ready(READY_LIMIT_MS, lambda: self._is_stopped):
                return None
            return self._run_load()
        finally:
            self._system.stop()

    def _run_load(self) -> DemoReport:
        sending_s = self._seconds * SENDING_SHARE
        options = LoadOptions(
            self._system.callers(),
            SERVICE,
            TEAM,
            sending_s,
            mix=DEMO_MIX,
            load_share=LOAD_SHARE,
            slots=len(self._system.agents) * SLOTS,
            resubmit_share=RESUBMIT_SHARE,
        )
        self._load = Load(options, self._clock, self._observe)
        before = self._system.count_messages()
        cross_before = self._system.count_messages(scope=SCOPE_CROSS)
        helpers = [eventlet.spawn(self._show_progress)]
        helpers.append(eventlet.spawn(self._play_faults, sending_s * MS_PER_SECOND))
        try:
            load = self._load.run()
        finally:
            for helper in helpers:
                helper.kill()
        messages = self._system.count_messages() - before
        cross = self._system.count_messages(scope=SCOPE_CROSS) - cross_before
        return self._report(load, messages, cross)

    def _report(self, load: LoadReport, messages: float, cross: float) -> DemoReport:
        starts = self._system.starts()
        seen = {name: value for name, value in load.as_json().items() if name in _SHARED_FIELDS}
        return DemoReport(
            **seen,
            starts=starts.total(),
            tasks_started_more_than_once=sum(count > 1 for count in starts.values()),
            false_not_run=count_false_not_run(self._not_run, starts),
            messages_per_task=round(messages / max(1, load.tasks), 3),
            cross_domain_messages_per_task=round(cross / max(1, load.tasks), 3),
        )

    def _observe(self, outcome: JobOutcome) -> None:
        if outcome.outcome == STATE_NOT_RUN and outcome.ticket:
            self._not_run.append(outcome.ticket)

    def _play_faults(self, length_ms: float) -> None:
        self._clock.sleep(MINION_LEAVES_AT * length_ms)
        self._say("a minion leaves")
        self._system.minions[0].leave()
        self._clock.sleep((STORE_FAILS_AT - MINION_LEAVES_AT) * length_ms)
        self._say("the store goes down")
        self._system.store.store.down = True
        self._clock.sleep((STORE_RETURNS_AT - STORE_FAILS_AT) * length_ms)
        self._say("the store is back")
        self._system.store.store.down = False

    def _show_progress(self) -> None:
        while True:
            self._clock.sleep(PROGRESS_MS)
            running = self._system.running()
            load = self._load
            self._say(f"{load.sent} jobs sent, {load.done} answered, {running} tasks running")

    def _say(self, text: str) -> None:
        if self._progress is not None:
            print(text, file=self._progress, flush=True)


def run_demo(
    seconds: float = DEFAULT_SECONDS,
    progress: bool | None = None,
    make_minion: MinionFactory = StandinMinion,
) -> int:
    """Run the whole system in this process and print one line of JSON.

    :param seconds: how long, at most ``MAX_SECONDS``
    :param progress: whether to show progress, None for only on a terminal
    :param make_minion: builds a stand-in of a minion
    :returns: exit status, 1 if a promise to callers was broken
    """
    if progress is None:
        progress = sys.stderr.isatty()
    demo = Demo(seconds, sys.stderr if progress else None, make_minion)
    with _stop_on_signal(demo.stop), _quiet_logs():
        report = demo.run()
    if report is None:
        print(json.dumps({"error": "the system did not come up"}), flush=True)
        return BROKEN
    print(json.dumps(report._asdict()), flush=True)
    return OK if report.is_sound else BROKEN


def count_false_not_run(tickets: list[str], starts: Counter[str]) -> int:
    """Return how many jobs were answered "not run" although a task started.

    :param tickets: tickets of the jobs answered "not run"
    :param starts: starts by task id, as the minions counted them
    """
    started = {task_id.partition(".")[0] for task_id in starts}
    return sum(f"{read_ticket(ticket).job:x}" in started for ticket in tickets)


_SHARED_FIELDS = frozenset(DemoReport._fields) & frozenset(LoadReport._fields)


def _stop(process: Application) -> None:
    process.stop()


@contextlib.contextmanager
def _stop_on_signal(stop: Callable[[], None]) -> Iterator[None]:
    """Stop on the first SIGINT or SIGTERM; a second one acts as usual."""
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
    """Keep warnings of the expected faults from the terminal."""
    handler = logging.NullHandler()
    loggers = [logging.getLogger(name) for name in ("geraniumspool", "urllib3")]
    for logger in loggers:
        logger.addHandler(handler)
    try:
        yield
    finally:
        for logger in loggers:
            logger.removeHandler(handler)
