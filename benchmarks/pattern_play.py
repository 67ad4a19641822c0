"""Plays a load pattern against dispatchers, executors and minions in memory."""

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
from geraniumspool.job_specs import JobOutcome
from geraniumspool.queues import Queue
from geraniumspool.rooms import Resources
from geraniumspool.run_messages import WorkerReport
from geraniumspool.urgency import LATE_FACTOR
from tests.dispatch_world import Caller, DispatchWorld, make_spec

WORKERS = 12
DISPATCHERS = 3
DOMAINS = ("north", "south", "east")
ROOMS_CPU = (64_000, 64_000, 96_000)
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
STEP_MS = 5.0
# All jobs have ended this long after the last arrival.
REST_MS = 9_000.0
# A caller that gives up does so after this share of the objective.
LEAVE_AT = 0.6
LATE_REFUSAL = 0.25
MOST_RETURNS = 3
# Minions that are back are heard of within this.
BEAT_MS = 300.0


class Row(NamedTuple):
    """What became of the jobs of one play.

    :param in_time: share of the jobs that ended within their objective
    :param late: share that succeeded later
    :param served: share that succeeded while it was of use, within three objectives
    :param refused: share that was refused at last
    :param lost: share of all others: failed, unfinished, their callers gone
    :param worst: share in time of the queue that is served worst
    :param wide: share in time of the largest tenth, by the share of all
    :param goodput: core-seconds of the jobs in time, by those of all room
    :param used: core-seconds that minions were at work, by those of all room
    :param wasted: core-seconds that jobs without success had, by those of all room
    :param late_refusals: share refused later than a quarter of the objective
    :param turned_back: orders refused for want of room, for each started task
    :param messages: messages to workers and between dispatchers, for each started task
    :param reports: messages of workers, for each started task
    :param crashes: minions crashed by each job with a task that crashes them; such jobs
        count in no other figure
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


class _Sent:
    """One job of a caller, over all its tries."""

    def __init__(self, name: str, arrival: Arrival, now: float):
        self.name = name
        self.arrival = arrival
        self.sent_ms = now
        self.tries = 0
        self.caller: Caller | None = None
        self.refused_ms = 0.0
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


class Play:
    """One pattern against one policy."""

    def __init__(
        self,
        pattern: Pattern,
        policy: type[DispatchPolicy],
        seed: int = 1,
        workers: int = WORKERS,
        dispatchers: int = DISPATCHERS,
    ):
        """Start workers and dispatchers, all idle.

        :param seed: decides what arrives and when
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
            domains=DOMAINS if evacuates else DOMAINS[:1],
        )
        for number, worker in enumerate(self.world.workers):
            worker.minion.slow_factor = SPEEDS[number % len(SPEEDS)]
        self._room_cpu = sum(room.cpu for room in worker_resources)
        self._load = draw_load(pattern, self._room_cpu, seed)
        self._sent: list[_Sent] = []
        self._frozen: set[str] = set()
        self._held: dict[str, list[_Sent]] = {}
        self._draw = random.Random(seed)

    def run(self) -> Row:
        """Play it and return what became of the jobs."""
        clock = self.world.clock
        begin = clock.now()
        beats = eventlet.spawn(self._beat if self._pattern.crashing_share else _rest)
        for fault in self._pattern.faults:
            clock.after(fault.start_ms, lambda fault=fault: self._strike(fault))
        for number, arrival in enumerate(self._load):
            clock.advance(max(0.0, begin + arrival.at_ms - clock.now()))
            sent = _Sent(f"j{number}", arrival, clock.now())
            self._sent.append(sent)
            self._send(sent)
        clock.advance(begin + self._pattern.length_ms + REST_MS - clock.now())
        beats.kill()
        self.world.close()
        return self._count()

    def _send(self, sent: _Sent) -> None:
        dispatcher = self._draw.choice(self.world.dispatchers)
        if dispatcher.address in self._frozen:
            self._held[dispatcher.address].append(sent)
            return
        self._hand_in(sent, dispatcher)

    def _hand_in(self, sent: _Sent, dispatcher) -> None:
        job = sent.arrival.job
        left_ms = self._pattern.patience * sent.objective_ms
        how = "crash" if sent.arrival.crashes else ""
        spec = make_spec(
            sent.name, job.count, job.cpu, job.run_ms, how, declared_ms=job.declared_ms
        )
        sent.tries += 1
        sent.caller = dispatcher.submit(spec, QUEUES[job.queue], left_ms)
        clock = self.world.clock
        if sent.arrival.leaves and sent.caller.job is not None:
            after = LEAVE_AT * sent.objective_ms
            clock.after(after, lambda: dispatcher.router.remove_waiter(sent.caller.job))
        eventlet.spawn_n(self._watch, sent)

    def _watch(self, sent: _Sent) -> None:
        """Note when a job is refused, and let its caller come back."""
        caller = sent.caller
        while caller.result is None:
            self.world.clock.sleep(STEP_MS)
        if caller.outcome is not JobOutcome.REFUSED:
            return
        sent.refused_ms = caller.at_ms - sent.sent_ms
        if self._pattern.returns and sent.tries <= MOST_RETURNS:
            self.world.clock.sleep(caller.result.retry_after_ms)
            # The caller asks anew: its wait for this answer begins now.
            sent.sent_ms = self.world.clock.now()
            self._send(sent)

    def _strike(self, fault: Fault) -> None:
        struck = self._choose(fault)
        for part in struck:
            self._change(part, fault.kind, True)
        after = fault.length_ms
        self.world.clock.after(
            after, lambda: [self._change(part, fault.kind, False) for part in struck]
        )

    def _choose(self, fault: Fault) -> list:
        if fault.kind is FaultKind.EVACUATE:
            return [worker for worker in self.world.workers if worker.domain == DOMAINS[-1]][:1]
        parts = self.world.dispatchers if fault.kind is FaultKind.FREEZE else self.world.workers
        return parts[: max(1, round(fault.share * len(parts)))]

    def _change(self, part, kind: FaultKind, begins: bool) -> None:
        if kind is FaultKind.FREEZE:
            self._freeze(part, begins)
            return
        if kind is FaultKind.EVACUATE:
            self.world.evacuate(*([DOMAINS[-1]] if begins else []))
            return
        minion = part.minion
        if kind is FaultKind.SLOW:
            minion.slow_factor *= 4.0 if begins else 0.25
        elif kind is FaultKind.HANG:
            minion.hangs_all = begins
        elif kind is FaultKind.FAIL:
            minion.fails_all = begins
        elif kind is FaultKind.LEAVE:
            told = minion.incarnation
            minion.incarnation = told._replace(draining=begins, sequence=told.sequence + 1)
            eventlet.spawn_n(part.executor.handle_minion_report, minion.incarnation)
        elif kind is FaultKind.CRASH:
            self._crash(part, begins)
        elif kind is FaultKind.SHRINK:
            room = minion.incarnation.resources
            minion.resize(room._replace(cpu=room.cpu // 2 if begins else room.cpu * 2))
            eventlet.spawn_n(part.executor.handle_minion_report, minion.incarnation)

    def _crash(self, part, begins: bool) -> None:
        minion = part.minion
        if begins:
            minion.crash(math.inf)
            return
        minion.restart_renamed(f"{minion.incarnation.instance}+")
        eventlet.spawn_n(part.executor.handle_minion_report, minion.incarnation)

    def _freeze(self, dispatcher, begins: bool) -> None:
        address = dispatcher.address
        if begins:
            self._frozen.add(address)
            self._held[address] = []
            self.world.network.freeze(address)
            dispatcher.pause()
            return
        self._frozen.discard(address)
        dispatcher.resume()
        self.world.network.thaw(address)
        for sent in self._held.pop(address):
            self._hand_in(sent, dispatcher)

    def _count(self) -> Row:
        jobs = [sent for sent in self._sent if not sent.arrival.crashes]
        total = max(1, len(jobs))
        in_time = [sent for sent in jobs if sent.is_in_time]
        done = sum(sent.outcome is JobOutcome.SUCCEEDED for sent in jobs)
        refused = [sent for sent in jobs if sent.outcome is JobOutcome.REFUSED]
        late_refusals = sum(sent.refused_ms > LATE_REFUSAL * sent.objective_ms for sent in refused)
        room = self._room_cpu * self._pattern.length_ms / MS_PER_SECOND**2
        share = len(in_time) / total
        return Row(
            share,
            (done - len(in_time)) / total,
            sum(sent.is_served for sent in jobs) / total,
            len(refused) / total,
            (total - done - len(refused)) / total,
            min(_share_in_time(self._of_queue(queue)) for queue in QUEUES),
            _share_of_widest(jobs) / share if share else 0.0,
            sum(sent.arrival.job.work for sent in in_time) / room,
            self._measure_spent(lambda _job: True) / room,
            self._measure_waste() / room,
            late_refusals / total,
            *self._count_messages(),
            self._count_crashes() / max(1, len(self._sent) - len(jobs)),
        )

    def _count_crashes(self) -> int:
        return sum(len(worker.minion.crashed_by) for worker in self.world.workers)

    def _beat(self) -> None:
        """Have minions that are back after a crash tell of themselves."""
        lives = {}
        while True:
            self.world.clock.sleep(BEAT_MS)
            for worker in self.world.workers:
                minion = worker.minion
                if (
                    not minion.is_down
                    and lives.get(worker.name) != minion.incarnation.started_unix_ms
                ):
                    lives[worker.name] = minion.incarnation.started_unix_ms
                    eventlet.spawn_n(worker.executor.handle_minion_report, minion.incarnation)

    def _count_messages(self) -> tuple[float, float, float]:
        """Return the last three figures of a row."""
        parts = [*self.world.workers, *self.world.dispatchers]
        started = max(1.0, sum(part.counters.get("runs_started") for part in parts))
        refused = sum(part.counters.get("orders_refused", reason="no_room") for part in parts)
        kinds = Counter(type(message) for _, _, message in self.world.network.sent)
        reports = kinds[WorkerReport]
        return refused / started, (kinds.total() - reports) / started, reports / started

    def _of_queue(self, queue: str) -> list[_Sent]:
        return [sent for sent in self._sent if sent.arrival.job.queue == queue]

    def _measure_waste(self) -> float:
        succeeded = {sent.name for sent in self._sent if sent.outcome is JobOutcome.SUCCEEDED}
        return self._measure_spent(lambda job: job not in succeeded)

    def _measure_spent(self, counts: Callable[[str], bool]) -> float:
        """Return the core-seconds that the tasks of some jobs have had."""
        spent = 0.0
        for worker in self.world.workers:
            for task, core_ms in worker.minion.cpu_time_used.items():
                if counts(task.partition(".")[0]):
                    spent += core_ms
        return spent / MS_PER_SECOND**2


def _rest() -> None:
    pass


def _share_in_time(jobs: list[_Sent]) -> float:
    return statistics.fmean(sent.is_in_time for sent in jobs) if jobs else 1.0


def _share_of_widest(jobs: list[_Sent]) -> float:
    """Return the share in time of the tenth of each queue's jobs with the most work."""
    widest = []
    for queue in QUEUES:
        own = [sent for sent in jobs if sent.arrival.job.queue == queue]
        own.sort(key=lambda sent: -sent.arrival.job.work)
        widest += own[: max(1, len(own) // 10)]
    return _share_in_time(widest)


def _list_rooms(workers: int) -> list[Resources]:
    return [Resources(ROOMS_CPU[number % len(ROOMS_CPU)], 10**6) for number in range(workers)]
