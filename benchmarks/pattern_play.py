"""Simulation of a load pattern with dispatchers, executors and minions in memory."""

import math
import random
import statistics
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from benchmarks.pattern_loads import (
    MIXES,
    Arrival,
    Fault,
    FaultKind,
    Pattern,
    draw_load,
)
from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.dispatch_policy import DispatchPolicy
from geraniumspool.groups import GROUP_WORKERS
from geraniumspool.job_specs import JobOutcome
from geraniumspool.queues import Queue
from geraniumspool.rooms import Resources
from geraniumspool.run_messages import WorkerReport
from geraniumspool.urgency import LATE_FACTOR
from tests.dispatch_world import Caller, DispatchWorld, make_spec

WORKERS = 12
DISPATCHERS = 3
DOMAINS = ("north", "south", "east")
WORKER_CPUS = (64_000, 64_000, 96_000)
SPEEDS = (0.8, 1.0, 1.25)
OBJECTIVE_FACTOR, OBJECTIVE_MS = 1.6, 60.0
ATTEMPTS = 3
QUEUES = {
    mix.queue: Queue(
        mix.queue,
        "h.example",
        f"/{mix.queue}/",
        "fitting",
        mix.priority,
        ATTEMPTS,
        OBJECTIVE_FACTOR,
        OBJECTIVE_MS,
    )
    for mix in MIXES
}
POLL_MS = 5.0
# Simulated time after the last arrival, long enough for all jobs to end.
RUN_OUT_MS = 9_000.0
# Share of the objective after which a leaving caller disconnects.
LEAVE_AFTER_SHARE = 0.6
# Share of the objective after which a refusal counts as late.
LATE_REFUSAL_SHARE = 0.25
MAX_RETRIES = 3
# Restarted minions report to their executors within this time.
REPORT_PERIOD_MS = 300.0


class Row(NamedTuple):
    """Results of one simulation. Shares are of all jobs unless stated otherwise.

    :param in_time: share of the jobs that succeeded within their objective
    :param late: share that succeeded after their objective
    :param served: share that succeeded while the result was still useful, within three
        objectives
    :param refused: share whose last try was refused
    :param lost: share of all other jobs: failed, unfinished, or left by their callers
    :param worst: share in time of the queue with the smallest such share
    :param wide: share in time of the tenth of each queue with the most work, divided by
        ``in_time``
    :param goodput: core-seconds of the jobs in time, divided by those of all room
    :param used: core-seconds that minions spent on tasks, divided by those of all room
    :param wasted: core-seconds spent on jobs that did not succeed, divided by those of all room
    :param late_refusals: share refused later than a quarter of their objective
    :param turned_back: orders that workers refused for lack of room, per started task
    :param messages: messages to workers and between dispatchers, per started task
    :param reports: messages from workers, per started task
    :param crashes: minion crashes per job with a crashing task; such jobs count in no other
        field
    :param worst_entry: share in time of the callers of the dispatcher with the smallest such share
    :param job_messages: messages to workers and between dispatchers, per job
    """

    in_time: float
    late: float
    served: float
    refused: float
    lost: float
    worst: float
    wide: float
    goodput: float
    used: float
    wasted: float
    late_refusals: float
    turned_back: float
    messages: float
    reports: float
    crashes: float
    worst_entry: float
    job_messages: float


class _SentJob:
    """One job of a caller with all its tries.

    :ivar sent_ms: time of the last try
    :ivar entry: address of the dispatcher of the last try
    :ivar refused_ms: response time of the last refusal in milliseconds
    """

    def __init__(self, name: str, arrival: Arrival, now: float):
        self.name = name
        self.arrival = arrival
        self.sent_ms = now
        self.tries = 0
        self.caller: Caller | None = None
        self.refused_ms = 0.0
        self.entry = ""
        objective = OBJECTIVE_FACTOR * arrival.job.run_ms + OBJECTIVE_MS
        self.objective_ms = objective

    @property
    def outcome(self) -> JobOutcome | None:
        return self.caller.outcome if self.caller else None

    @property
    def is_in_time(self) -> bool:
        if self.outcome is not JobOutcome.SUCCEEDED:
            return False
        return self.caller.at_ms - self.sent_ms <= self.objective_ms

    @property
    def is_served(self) -> bool:
        if self.outcome is not JobOutcome.SUCCEEDED:
            return False
        return self.caller.at_ms - self.sent_ms <= LATE_FACTOR * self.objective_ms


class PatternSimulation:
    """Simulation of one load pattern under one policy."""

    def __init__(
        self,
        pattern: Pattern,
        policy: Callable[[], DispatchPolicy],
        seed: int = 1,
        workers: int = WORKERS,
        dispatchers: int = DISPATCHERS,
        group_workers: int = GROUP_WORKERS,
        **settings: bool,
    ):
        """Start idle workers and dispatchers.

        :param seed: determines arrivals and random choices
        :param workers: number of workers
        :param dispatchers: number of dispatchers
        :param group_workers: least number of workers of one dispatcher
        :param settings: settings of the dispatchers, see :class:`DispatchWorld`
        """
        worker_resources = _list_rooms(workers)
        random.seed(seed)
        self._pattern = pattern
        evacuates = any(fault.kind is FaultKind.EVACUATE for fault in pattern.faults)
        self.world = DispatchWorld(
            workers,
            dispatchers,
            policy=policy,
            worker_resources=worker_resources,
            domains=DOMAINS if evacuates or pattern.has_groups else DOMAINS[:1],
            group_workers=workers / dispatchers if pattern.has_groups else group_workers,
            **settings,
        )
        for number, worker in enumerate(self.world.workers):
            worker.minion.slow_factor = SPEEDS[number % len(SPEEDS)]
        self._room_cpu = sum(room.cpu for room in worker_resources)
        self._load = draw_load(pattern, self._room_cpu, seed)
        self._sent: list[_SentJob] = []
        self._frozen: set[str] = set()
        self._held_jobs: dict[str, list[_SentJob]] = {}
        self._random = random.Random(seed)

    @property
    def pattern(self) -> Pattern:
        """Return the load pattern that is simulated."""
        return self._pattern

    @property
    def sent_jobs(self) -> list[_SentJob]:
        """Return all jobs that were sent so far, in the order of their arrival."""
        return self._sent

    def run(self) -> Row:
        """Run the simulation and return the results."""
        clock = self.world.clock
        begin = clock.now()
        reports_thread = eventlet.spawn(
            self._report_restarts if self._pattern.crashing_share else _do_nothing
        )
        for fault in self._pattern.faults:
            clock.after(fault.start_ms, lambda fault=fault: self._inject(fault))
        for number, arrival in enumerate(self._load):
            clock.advance(max(0.0, begin + arrival.at_ms - clock.now()))
            sent = _SentJob(f"j{number}", arrival, clock.now())
            self._sent.append(sent)
            self._send(sent)
        clock.advance(begin + self._pattern.length_ms + RUN_OUT_MS - clock.now())
        reports_thread.kill()
        self.world.close()
        return self._make_row()

    def _send(self, sent: _SentJob) -> None:
        dispatcher = self._choose_entry(sent.arrival.at_ms)
        sent.entry = dispatcher.address
        if dispatcher.address in self._frozen:
            self._held_jobs[dispatcher.address].append(sent)
            return
        self._submit(sent, dispatcher)

    def _choose_entry(self, at_ms: float):
        """Return the dispatcher that a caller reaches.

        :param at_ms: time from the start of the pattern
        """
        pattern, dispatchers = self._pattern, self.world.dispatchers
        if not pattern.focus_share or self._random.random() >= pattern.focus_share:
            return self._random.choice(dispatchers)
        turn = int(at_ms // pattern.focus_ms) if pattern.focus_ms else 0
        return dispatchers[turn % len(dispatchers)]

    def _submit(self, sent: _SentJob, dispatcher) -> None:
        job = sent.arrival.job
        left_ms = self._pattern.wait_in_objectives * sent.objective_ms
        behavior = "crash" if sent.arrival.crashes_minions else ""
        spec = make_spec(
            sent.name, job.count, job.cpu, job.run_ms, behavior, declared_ms=job.declared_ms
        )
        sent.tries += 1
        sent.caller = dispatcher.submit(spec, QUEUES[job.queue], left_ms)
        clock = self.world.clock
        if sent.arrival.disconnects and sent.caller.job is not None:
            after = LEAVE_AFTER_SHARE * sent.objective_ms
            clock.after(after, lambda: dispatcher.router.remove_waiter(sent.caller.job))
        eventlet.spawn_n(self._await_answer, sent)

    def _await_answer(self, sent: _SentJob) -> None:
        """Wait for the answer; after a refusal record its time and retry if callers do so."""
        caller = sent.caller
        while caller.result is None:
            self.world.clock.sleep(POLL_MS)
        if caller.outcome is not JobOutcome.REFUSED:
            return
        sent.refused_ms = caller.at_ms - sent.sent_ms
        if self._pattern.refused_callers_retry and sent.tries <= MAX_RETRIES:
            self.world.clock.sleep(caller.result.retry_after_ms)
            # The retry counts as a new request, so response times are measured from here.
            sent.sent_ms = self.world.clock.now()
            self._send(sent)

    def _inject(self, fault: Fault) -> None:
        victims = self._choose_victims(fault)
        for victim in victims:
            self._set_fault(victim, fault.kind, True)
        after = fault.length_ms
        self.world.clock.after(
            after, lambda: [self._set_fault(victim, fault.kind, False) for victim in victims]
        )

    def _choose_victims(self, fault: Fault) -> list:
        if fault.kind is FaultKind.EVACUATE:
            return [worker for worker in self.world.workers if worker.domain == DOMAINS[-1]][:1]
        parts = self.world.dispatchers if fault.kind is FaultKind.FREEZE else self.world.workers
        if self._pattern.has_groups and fault.kind is not FaultKind.FREEZE:
            # The workers of one group before those of the next one.
            parts = sorted(parts, key=lambda worker: DOMAINS.index(worker.domain))
        return parts[: max(1, round(fault.share * len(parts)))]

    def _set_fault(self, victim, kind: FaultKind, begins: bool) -> None:
        if kind is FaultKind.FREEZE:
            self._freeze(victim, begins)
            return
        if kind is FaultKind.EVACUATE:
            self.world.evacuate(*([DOMAINS[-1]] if begins else []))
            return
        minion = victim.minion
        if kind is FaultKind.SLOW:
            minion.slow_factor *= 4.0 if begins else 0.25
        elif kind is FaultKind.HANG:
            minion.hangs_all = begins
        elif kind is FaultKind.FAIL:
            minion.fails_all = begins
        elif kind is FaultKind.LEAVE:
            incarnation = minion.incarnation
            minion.incarnation = incarnation._replace(
                draining=begins, sequence=incarnation.sequence + 1
            )
            eventlet.spawn_n(victim.executor.handle_minion_report, minion.incarnation)
        elif kind is FaultKind.CRASH:
            self._crash(victim, begins)
        elif kind is FaultKind.SHRINK:
            room = minion.incarnation.resources
            minion.resize(room._replace(cpu=room.cpu // 2 if begins else room.cpu * 2))
            eventlet.spawn_n(victim.executor.handle_minion_report, minion.incarnation)

    def _crash(self, victim, begins: bool) -> None:
        minion = victim.minion
        if begins:
            minion.crash(math.inf)
            return
        minion.restart_renamed(f"{minion.incarnation.instance}+")
        eventlet.spawn_n(victim.executor.handle_minion_report, minion.incarnation)

    def _freeze(self, dispatcher, begins: bool) -> None:
        address = dispatcher.address
        if begins:
            self._frozen.add(address)
            self._held_jobs[address] = []
            self.world.network.pause(address)
            dispatcher.pause()
            return
        self._frozen.discard(address)
        dispatcher.resume()
        self.world.network.resume(address)
        for sent in self._held_jobs.pop(address):
            self._submit(sent, dispatcher)

    def _make_row(self) -> Row:
        jobs = [sent for sent in self._sent if not sent.arrival.crashes_minions]
        total = max(1, len(jobs))
        in_time = [sent for sent in jobs if sent.is_in_time]
        done = sum(sent.outcome is JobOutcome.SUCCEEDED for sent in jobs)
        refused = [sent for sent in jobs if sent.outcome is JobOutcome.REFUSED]
        late_refusals = sum(
            sent.refused_ms > LATE_REFUSAL_SHARE * sent.objective_ms for sent in refused
        )
        room = self._room_cpu * self._pattern.length_ms / MS_PER_SECOND**2
        share = len(in_time) / total
        return Row(
            share,
            (done - len(in_time)) / total,
            sum(sent.is_served for sent in jobs) / total,
            len(refused) / total,
            (total - done - len(refused)) / total,
            min(_share_in_time(self._jobs_of_queue(queue)) for queue in QUEUES),
            _share_of_widest(jobs) / share if share else 0.0,
            sum(sent.arrival.job.work for sent in in_time) / room,
            self._measure_core_seconds(lambda _job: True) / room,
            self._measure_wasted_core_seconds() / room,
            late_refusals / total,
            *self._count_messages(),
            self._count_crashes() / max(1, len(self._sent) - len(jobs)),
            min(
                _share_in_time([sent for sent in jobs if sent.entry == dispatcher.address])
                for dispatcher in self.world.dispatchers
            ),
            self._count_messages_sent() / total,
        )

    def _count_crashes(self) -> int:
        return sum(len(worker.minion.crashed_by) for worker in self.world.workers)

    def _report_restarts(self) -> None:
        """Let minions that restarted after a crash report to their executors."""
        lives = {}
        while True:
            self.world.clock.sleep(REPORT_PERIOD_MS)
            for worker in self.world.workers:
                minion = worker.minion
                if (
                    not minion.is_down
                    and lives.get(worker.name) != minion.incarnation.started_unix_ms
                ):
                    lives[worker.name] = minion.incarnation.started_unix_ms
                    eventlet.spawn_n(worker.executor.handle_minion_report, minion.incarnation)

    def _count_messages(self) -> tuple[float, float, float]:
        """Return the row's refused orders, messages and reports per started task."""
        parts = [*self.world.workers, *self.world.dispatchers]
        started = max(1.0, sum(victim.counters.get("runs_started") for victim in parts))
        refused = sum(victim.counters.get("orders_refused", reason="no_room") for victim in parts)
        kinds = Counter(type(message) for _, _, message in self.world.network.sent)
        reports = kinds[WorkerReport]
        return refused / started, (kinds.total() - reports) / started, reports / started

    def _count_messages_sent(self) -> int:
        sent = self.world.network.sent
        return sum(not isinstance(message, WorkerReport) for _, _, message in sent)

    def _jobs_of_queue(self, queue: str) -> list[_SentJob]:
        return [sent for sent in self._sent if sent.arrival.job.queue == queue]

    def _measure_wasted_core_seconds(self) -> float:
        succeeded = {sent.name for sent in self._sent if sent.outcome is JobOutcome.SUCCEEDED}
        return self._measure_core_seconds(lambda job: job not in succeeded)

    def _measure_core_seconds(self, is_counted: Callable[[str], bool]) -> float:
        """Return the core-seconds that minions spent on tasks.

        :param is_counted: whether a job, given its name, is counted
        """
        spent = 0.0
        for worker in self.world.workers:
            for task, core_ms in worker.minion.cpu_time_used.items():
                if is_counted(task.partition(".")[0]):
                    spent += core_ms
        return spent / MS_PER_SECOND**2


def _do_nothing() -> None:
    pass


def _share_in_time(jobs: list[_SentJob]) -> float:
    return statistics.fmean(sent.is_in_time for sent in jobs) if jobs else 1.0


def _share_of_widest(jobs: list[_SentJob]) -> float:
    """Return the share in time among the tenth of each queue's jobs with the most work."""
    widest = []
    for queue in QUEUES:
        jobs_of_queue = [sent for sent in jobs if sent.arrival.job.queue == queue]
        jobs_of_queue.sort(key=lambda sent: -sent.arrival.job.work)
        widest += jobs_of_queue[: max(1, len(jobs_of_queue) // 10)]
    return _share_in_time(widest)


def _list_rooms(workers: int) -> list[Resources]:
    return [Resources(WORKER_CPUS[number % len(WORKER_CPUS)], 10**6) for number in range(workers)]
