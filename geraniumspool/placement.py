"""Placement: which workers the waiting tasks are offered to."""

import heapq
import random
from typing import NamedTuple, Protocol

from geraniumspool.job import Width
from geraniumspool.messages import Peer
from geraniumspool.worker import Worker

AHEAD_PER_SLOT = 1.0
MIN_REFILL = 4
LOCAL_MS = 20.0
CROSS_MS = 60.0
SLOW_MS = 200.0
FREE_BONUS_MS = 0.5
RESERVED_SLOTS = 1
MIN_SLOTS_TO_RESERVE = 4

# How far ahead tasks go: the narrower their job, the further, since they
# overtake there; furthest those that should have started already.
REACH_BY_WIDTH = {Width.NARROW: 3.0, Width.MEDIUM: 2.0, Width.WIDE: 1.0}
LATE_REACH = 12.0


class Demand(NamedTuple):
    """Tasks that wait for a place.

    :param count: how many
    :param run_ms: estimated mean run time
    :param reach: how far ahead they may go, by the usual lookahead
    :param any_slot: whether they may use the slots reserved for narrow jobs
    """

    count: int
    run_ms: float
    reach: float
    any_slot: bool


class Allotment(NamedTuple):
    """A worker and how many tasks to offer it."""

    worker: Worker
    count: int


class Placement(Protocol):
    """Chooses workers for waiting tasks."""

    def allot(
        self, demand: Demand, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Return where to offer how many tasks, best place first.

        :param demand: the tasks; what gets no place waits at the home
        :param workers: workers that take offers
        :param own: the home's own process, whose offers cost no message
        :param domain: the home's failure domain
        """

    def stays_home(self, demand: Demand, own: Worker) -> bool:
        """Return whether all tasks go to the home's own worker, whatever else is usable.

        :param own: the home's own worker, which takes offers
        """


def count_reserved(slots: int) -> int:
    """Return how many slots of a worker are kept for narrow jobs."""
    return RESERVED_SLOTS if slots >= MIN_SLOTS_TO_RESERVE else 0


class LateBinding:
    """Offers a task only where a slot is free or about to be.

    Each place at a worker has a cost in milliseconds: its predicted wait,
    and for the first place what a message is worth, more if it crosses
    between failure domains. The cheapest places are taken first, so tasks
    go out in few batches. What has no place waits at the home.
    """

    def __init__(self, seed: int | None = None, ahead_per_slot: float = AHEAD_PER_SLOT):
        """Take a seed to break ties with, and the lookahead.

        :param ahead_per_slot: tasks offered ahead for each slot of a worker
        """
        self._ahead_per_slot = ahead_per_slot
        self._random = random.Random(seed)

    def allot(
        self, demand: Demand, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Return the cheapest places, grouped by worker."""
        surveys = [self._survey(worker, demand, own, domain) for worker in workers]
        places = [survey for survey in surveys if survey.has_next]
        heapq.heapify(places)
        for _ in range(demand.count):
            if not places:
                break
            place = places[0]
            place.take()
            if place.has_next:
                heapq.heapreplace(places, place)
            else:
                heapq.heappop(places)
        return [Allotment(survey.worker, survey.taken) for survey in surveys if survey.taken]

    def stays_home(self, demand: Demand, own: Worker) -> bool:
        """Return whether the own free slots are cheaper than any message."""
        free = _count_free(own, demand)
        return demand.count <= free and demand.count * FREE_BONUS_MS < LOCAL_MS

    def _survey(self, worker: Worker, demand: Demand, own: Peer, domain: str) -> "_Places":
        free = _count_free(worker, demand)
        per_slot = self._ahead_per_slot * demand.reach
        ahead = 0 if worker.is_slow else worker.room(per_slot)
        is_own = worker.peer == own
        if free == 0 and not is_own and ahead < min(MIN_REFILL, worker.load.slots):
            ahead = 0
        opening_ms = 0.0 if is_own else _price_message(worker, domain)
        opening_ms -= FREE_BONUS_MS * min(free, demand.count) * self._random.uniform(0.9, 1.0)
        waiting = worker.urgent if demand.any_slot else worker.waiting
        return _Places(worker, free, ahead, opening_ms, waiting, demand.run_ms)


def _count_free(worker: Worker, demand: Demand) -> int:
    if demand.any_slot or worker.is_slow:
        return worker.free
    return max(0, worker.free - count_reserved(worker.load.slots))


def _price_message(worker: Worker, domain: str) -> float:
    price = LOCAL_MS if worker.member.domain == domain else CROSS_MS
    return price + SLOW_MS if worker.is_slow else price


class _Places:
    """The places at one worker, cheapest first."""

    __slots__ = (
        "worker",
        "taken",
        "cost_ms",
        "_free",
        "_ahead",
        "_waiting",
        "_step_ms",
        "_next_ms",
    )

    def __init__(
        self,
        worker: Worker,
        free: int,
        ahead: int,
        opening_ms: float,
        waiting: int,
        run_ms: float,
    ):
        self.worker = worker
        self.taken = 0
        self._free = free
        self._ahead = ahead
        self._waiting = waiting
        self._step_ms = run_ms / max(1, worker.load.slots)
        self._next_ms = 0.0 if worker.load.free else worker.load.next_ms
        self.cost_ms = opening_ms + self._next_wait()

    def __lt__(self, other: "_Places") -> bool:
        return self.cost_ms < other.cost_ms

    @property
    def has_next(self) -> bool:
        return self.taken < self._free + self._ahead

    def take(self) -> None:
        self.taken += 1
        self.cost_ms = self._next_wait()

    def _next_wait(self) -> float:
        beyond = self.taken - self._free
        if beyond < 0:
            return 0.0
        return self._next_ms + (self._waiting + beyond + 1) * self._step_ms


class Spreading:
    """Base of the baselines, which treat the own worker like any other."""

    def stays_home(self, demand: Demand, own: Worker) -> bool:
        """Return False."""
        return False


class RandomChoice(Spreading):
    """Baseline: binds each task at once to a worker drawn at random."""

    def __init__(self, seed: int | None = None):
        """Take a seed for the draws."""
        self._random = random.Random(seed)

    def allot(
        self, demand: Demand, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Return one random worker per task, grouped."""
        return _group([self._random.choice(workers) for _ in range(demand.count)])


class LeastLoad(Spreading):
    """Baseline: binds each task at once to the worker that seems least loaded."""

    def __init__(self, seed: int | None = None):
        """Take a seed to break ties with."""
        self._random = random.Random(seed)

    def allot(
        self, demand: Demand, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Return the least loaded worker per task, grouped."""
        return _pick_least(demand.count, lambda: workers, self._random)


class TwoChoices(Spreading):
    """Baseline: binds each task at once to the less loaded of two drawn."""

    def __init__(self, seed: int | None = None):
        """Take a seed for the draws."""
        self._random = random.Random(seed)

    def allot(
        self, demand: Demand, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Return the better of two random workers per task, grouped."""
        drawn = min(2, len(workers))
        return _pick_least(demand.count, lambda: self._random.sample(workers, drawn), self._random)


def _pick_least(count: int, draw, source: random.Random) -> list[Allotment]:
    extra: dict[Peer, int] = {}
    chosen = []
    for _ in range(count):
        candidates = draw()
        best = min(
            candidates,
            key=lambda w: (
                (w.busy + extra.get(w.peer, 0)) / max(1, w.load.slots),
                source.random(),
            ),
        )
        extra[best.peer] = extra.get(best.peer, 0) + 1
        chosen.append(best)
    return _group(chosen)


def _group(workers: list[Worker]) -> list[Allotment]:
    counts: dict[Peer, int] = {}
    by_peer = {worker.peer: worker for worker in workers}
    for worker in workers:
        counts[worker.peer] = counts.get(worker.peer, 0) + 1
    return [Allotment(by_peer[peer], count) for peer, count in counts.items()]


def choose_placement(name: str, ahead_per_slot: float = AHEAD_PER_SLOT) -> Placement:
    """Return the placement of that name.

    :param name: ``late``, ``random``, ``least`` or ``two``
    :param ahead_per_slot: tasks offered ahead for each slot, with ``late``
    :raises KeyError: if there is none of that name
    """
    if name == LATE:
        return LateBinding(ahead_per_slot=ahead_per_slot)
    return BASELINES[name]()


LATE = "late"
BASELINES = {
    "random": RandomChoice,
    "least": LeastLoad,
    "two": TwoChoices,
}
