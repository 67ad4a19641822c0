"""Placement: which workers the waiting tasks are offered to."""

import random
from typing import NamedTuple, Protocol

from geraniumspool.messages import Peer
from geraniumspool.worker import Worker

AHEAD_PER_SLOT = 0.5
MIN_REFILL = 2
BASELINE_QUEUE_PER_SLOT = 50.0


class Allotment(NamedTuple):
    """A worker and how many tasks to offer it."""

    worker: Worker
    count: int


class Placement(Protocol):
    """Chooses workers for waiting tasks."""

    def allot(self, count: int, workers: list[Worker], own: Peer, domain: str) -> list[Allotment]:
        """Return where to offer up to ``count`` tasks, best place first.

        :param workers: workers that take offers
        :param own: the home's own process, whose offers cost no message
        :param domain: the home's failure domain
        """


class LateBinding:
    """Offers a task only where a slot is free or about to be.

    Free slots come first: the home's own, then those of its failure domain,
    then the others. When none is free, a few tasks are offered ahead so
    that slots need not idle for a round trip; the rest wait at the home.
    """

    def __init__(self, seed: int | None = None, ahead_per_slot: float = AHEAD_PER_SLOT):
        """Take the lookahead.

        :param ahead_per_slot: tasks offered ahead for each slot of a worker
        """
        self._random = random.Random(seed)
        self._ahead_per_slot = ahead_per_slot

    def allot(self, count: int, workers: list[Worker], own: Peer, domain: str) -> list[Allotment]:
        """Return free slots by distance, then places ahead."""
        ordered = self._order(workers, own, domain)
        allotments = _fill(count, ((worker, worker.free) for worker in ordered))
        left = count - sum(allotment.count for allotment in allotments)
        if left <= 0:
            return allotments
        taken = {allotment.worker.peer: allotment.count for allotment in allotments}
        return allotments + self._ahead(left, ordered, own, taken)

    def _order(self, workers: list[Worker], own: Peer, domain: str) -> list[Worker]:
        def distance(worker: Worker) -> tuple[int, float]:
            if worker.peer == own:
                return 0, 0.0
            far = 2 if worker.member.domain != domain else 1
            return far, -worker.free - self._random.random()

        return sorted(workers, key=distance)

    def _ahead(
        self, left: int, workers: list[Worker], own: Peer, taken: dict[Peer, int]
    ) -> list[Allotment]:
        rooms = []
        for worker in workers:
            used = max(0, taken.get(worker.peer, 0) - worker.free)
            room = worker.room(self._ahead_per_slot) - used
            if worker.peer == own or room >= MIN_REFILL:
                rooms.append((worker, room))
        return _fill(left, rooms)


class RandomChoice:
    """Baseline: binds each task at once to a worker drawn at random."""

    def __init__(self, seed: int | None = None):
        """Take a seed for the draws."""
        self._random = random.Random(seed)

    def allot(self, count: int, workers: list[Worker], own: Peer, domain: str) -> list[Allotment]:
        """Return one random worker per task, grouped."""
        return _group([self._random.choice(workers) for _ in range(count)])


class LeastLoad:
    """Baseline: binds each task at once to the worker that seems least loaded."""

    def __init__(self, seed: int | None = None):
        """Take a seed to break ties with."""
        self._random = random.Random(seed)

    def allot(self, count: int, workers: list[Worker], own: Peer, domain: str) -> list[Allotment]:
        """Return the least loaded worker per task, grouped."""
        return _pick_least(count, lambda: workers, self._random)


class TwoChoices:
    """Baseline: binds each task at once to the less loaded of two drawn."""

    def __init__(self, seed: int | None = None):
        """Take a seed for the draws."""
        self._random = random.Random(seed)

    def allot(self, count: int, workers: list[Worker], own: Peer, domain: str) -> list[Allotment]:
        """Return the better of two random workers per task, grouped."""
        drawn = min(2, len(workers))
        return _pick_least(count, lambda: self._random.sample(workers, drawn), self._random)


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


def _fill(count: int, rooms) -> list[Allotment]:
    allotments = []
    for worker, room in rooms:
        if count <= 0:
            break
        take = min(count, room)
        if take > 0:
            allotments.append(Allotment(worker, take))
            count -= take
    return allotments


def choose_placement(name: str, seed: int | None = None) -> Placement:
    """Return the placement of that name.

    :param name: ``late``, ``random``, ``least`` or ``two``
    :raises KeyError: if there is none of that name
    """
    return PLACEMENTS[name](seed)


PLACEMENTS = {
    "late": LateBinding,
    "random": RandomChoice,
    "least": LeastLoad,
    "two": TwoChoices,
}
