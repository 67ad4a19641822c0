"""Placement policies: which workers the waiting tasks are offered to."""

import heapq
import random
from typing import NamedTuple, Protocol

from geraniumspool.job import Width
from geraniumspool.messages import Peer
from geraniumspool.worker import Worker

# Usual lookahead: tasks queued at a worker for each of its slots.
DEFAULT_AHEAD_PER_SLOT = 1.0
# Another process's worker without a free slot is offered tasks only if its queue
# has room for this many, or for as many as it has slots if these are fewer. So
# a message to it can carry several tasks.
MIN_REMOTE_BATCH = 4
# Cost of a message within the failure domain and of one to another domain, as
# the additional wait in milliseconds that is worth avoiding it.
LOCAL_MESSAGE_COST_MS = 20.0
CROSS_DOMAIN_MESSAGE_COST_MS = 60.0
# Additional cost of a message to a slow worker.
SLOW_WORKER_COST_MS = 200.0
# Reduction of a worker's cost for each free slot that the tasks could use.
FREE_SLOT_BONUS_MS = 0.5
# Slots of a worker kept for narrow jobs, on workers with enough slots.
RESERVED_SLOTS = 1
MIN_SLOTS_TO_RESERVE = 4

# Lookahead by width, as a factor of the usual one. Tasks of narrower jobs may
# queue further ahead, since they overtake wider ones at the worker; overdue
# tasks may queue furthest.
LOOKAHEAD_BY_WIDTH = {Width.NARROW: 3.0, Width.MEDIUM: 2.0, Width.WIDE: 1.0}
OVERDUE_LOOKAHEAD = 12.0


class TasksToPlace(NamedTuple):
    """Tasks to place.

    :param count: number of tasks
    :param run_ms: mean of their estimated run times
    :param lookahead_factor: factor of the usual lookahead, which limits the tasks that
        may queue at a worker for each of its slots
    :param any_slot: whether they may use the slots reserved for narrow jobs
    """

    count: int
    run_ms: float
    lookahead_factor: float
    any_slot: bool


class Allotment(NamedTuple):
    """A worker and the number of tasks to offer it."""

    worker: Worker
    count: int


class Placement(Protocol):
    """Chooses workers for waiting tasks."""

    def allot(
        self, demand: TasksToPlace, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Return the number of tasks to offer to each chosen worker.

        :param demand: the tasks; those that are not allotted wait at the home
        :param workers: workers that accept offers
        :param own: the home's own process, which is offered tasks without a message
        :param domain: the home's failure domain
        """

    def prefers_own_worker(self, demand: TasksToPlace, own: Worker) -> bool:
        """Return whether all tasks go to the home's own worker, whatever others are usable.

        :param own: the home's own worker, which accepts offers
        """


def count_reserved_slots(slots: int) -> int:
    """Return how many slots of a worker are kept for narrow jobs.

    :param slots: number of the worker's slots
    """
    return RESERVED_SLOTS if slots >= MIN_SLOTS_TO_RESERVE else 0


class LateBinding:
    """Late binding: offers a task only to a worker with a free slot or one free soon.

    Each place at a worker, a free slot or a position in its queue, has a cost
    in milliseconds: its predicted wait and, for the first place, the cost of a
    message, which is higher between failure domains. The cheapest places are
    taken first, so tasks are sent in few batches. Tasks without a place wait
    at the home.
    """

    def __init__(self, seed: int | None = None, ahead_per_slot: float = DEFAULT_AHEAD_PER_SLOT):
        """Create the policy.

        :param seed: seed of the random numbers that break ties
        :param ahead_per_slot: tasks that may queue at a worker for each of its slots
        """
        self._ahead_per_slot = ahead_per_slot
        self._random = random.Random(seed)

    def allot(
        self, demand: TasksToPlace, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Return the number of cheapest places taken at each worker."""
        per_worker = [self._rate_places(worker, demand, own, domain) for worker in workers]
        places = [candidate for candidate in per_worker if candidate.has_next]
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
        return [
            Allotment(candidate.worker, candidate.taken)
            for candidate in per_worker
            if candidate.taken
        ]

    def prefers_own_worker(self, demand: TasksToPlace, own: Worker) -> bool:
        """Return whether the own free slots suffice and are cheaper than any message."""
        free = _count_free(own, demand)
        return demand.count <= free and demand.count * FREE_SLOT_BONUS_MS < LOCAL_MESSAGE_COST_MS

    def _rate_places(
        self, worker: Worker, demand: TasksToPlace, own: Peer, domain: str
    ) -> "_WorkerPlaces":
        free = _count_free(worker, demand)
        per_slot = self._ahead_per_slot * demand.lookahead_factor
        ahead = 0 if worker.is_slow else worker.queue_capacity(per_slot)
        is_own = worker.peer == own
        if free == 0 and not is_own and ahead < min(MIN_REMOTE_BATCH, worker.load.slots):
            ahead = 0
        first_extra_ms = 0.0 if is_own else _message_cost_ms(worker, domain)
        first_extra_ms -= (
            FREE_SLOT_BONUS_MS * min(free, demand.count) * self._random.uniform(0.9, 1.0)
        )
        waiting = worker.urgent if demand.any_slot else worker.waiting
        return _WorkerPlaces(worker, free, ahead, first_extra_ms, waiting, demand.run_ms)


def _count_free(worker: Worker, demand: TasksToPlace) -> int:
    if demand.any_slot or worker.is_slow:
        return worker.free
    return max(0, worker.free - count_reserved_slots(worker.load.slots))


def _message_cost_ms(worker: Worker, domain: str) -> float:
    cost_ms = (
        LOCAL_MESSAGE_COST_MS if worker.member.domain == domain else CROSS_DOMAIN_MESSAGE_COST_MS
    )
    return cost_ms + SLOW_WORKER_COST_MS if worker.is_slow else cost_ms


class _WorkerPlaces:
    """The places at one worker in order of cost, and how many of them are taken.

    :ivar taken: number of places taken
    :ivar cost_ms: cost of the next place; includes that of a message for the first
    """

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
        first_extra_ms: float,
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
        self.cost_ms = first_extra_ms + self._next_wait_ms()

    def __lt__(self, other: "_WorkerPlaces") -> bool:
        return self.cost_ms < other.cost_ms

    @property
    def has_next(self) -> bool:
        return self.taken < self._free + self._ahead

    def take(self) -> None:
        self.taken += 1
        self.cost_ms = self._next_wait_ms()

    def _next_wait_ms(self) -> float:
        queued_ahead = self.taken - self._free
        if queued_ahead < 0:
            return 0.0
        return self._next_ms + (self._waiting + queued_ahead + 1) * self._step_ms


class BaselinePlacement:
    """Base class of the baseline policies, which treat the own worker like any other."""

    def prefers_own_worker(self, demand: TasksToPlace, own: Worker) -> bool:
        """Return False."""
        return False


class RandomChoice(BaselinePlacement):
    """Baseline: assigns each task at once to a random worker."""

    def __init__(self, seed: int | None = None):
        """Create the policy with a seed for its random choices."""
        self._random = random.Random(seed)

    def allot(
        self, demand: TasksToPlace, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Choose a random worker for each task."""
        return _group([self._random.choice(workers) for _ in range(demand.count)])


class LeastLoad(BaselinePlacement):
    """Baseline: assigns each task at once to the worker that seems least loaded."""

    def __init__(self, seed: int | None = None):
        """Create the policy with a seed for breaking ties."""
        self._random = random.Random(seed)

    def allot(
        self, demand: TasksToPlace, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Choose the least loaded worker for each task."""
        return _allot_least_loaded(demand.count, lambda: workers, self._random)


class TwoChoices(BaselinePlacement):
    """Baseline: assigns each task at once to the less loaded of two random workers."""

    def __init__(self, seed: int | None = None):
        """Create the policy with a seed for its random choices."""
        self._random = random.Random(seed)

    def allot(
        self, demand: TasksToPlace, workers: list[Worker], own: Peer, domain: str
    ) -> list[Allotment]:
        """Choose the less loaded of two random workers for each task."""
        drawn = min(2, len(workers))
        return _allot_least_loaded(
            demand.count, lambda: self._random.sample(workers, drawn), self._random
        )


def _allot_least_loaded(count: int, draw, source: random.Random) -> list[Allotment]:
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


def choose_placement(name: str, ahead_per_slot: float = DEFAULT_AHEAD_PER_SLOT) -> Placement:
    """Return a new placement policy by its name in the settings.

    :param name: ``late``, ``random``, ``least`` or ``two``
    :param ahead_per_slot: tasks that may queue at a worker for each of its
        slots, used by ``late`` only
    :raises KeyError: if no policy has that name
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
