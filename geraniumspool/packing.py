"""Chooses a worker for a task: the one where it is predicted to end first.

Plain functions. Answered load patterns: minions of unequal speed and room,
minions that turn slow, racks near a job's data, limits of tasks on one worker.
"""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from geraniumspool.job_specs import StepSpec
from geraniumspool.rooms import Room

# One hop between failure domains and back, as times between them are about a millisecond.
REMOTE_MS = 2.0
# Away from its data a task takes this many times as long.
FAR_FACTOR = 1.5
# A full worker counts as this share slower than an empty one, and chance adds as much as
# the next: so dispatchers that know the same leave room at the fast workers.
FULL_SHARE = 0.5
SPREAD_SHARE = 0.1
# A worker that this would fill to more than this share may be full already, as what is
# known of it is some tens of ms old; then the order comes back and has lost about as much.
CONFLICT_SHARE = 0.15
CONFLICT_MS = 15.0


class Candidate(Protocol):
    """What is known of a worker."""

    free: Room
    room: Room
    pace: float
    domain: str
    rack: str
    labels: tuple[str, ...]
    is_usable: bool


class PlaceRequest(NamedTuple):
    """One task that waits for a worker.

    :param within_ms: longest run that is of use; slower workers are passed over
    :param domain: the dispatcher's failure domain
    :param taken: tasks of the step on each worker, by the worker's identity
    """

    step: StepSpec
    expected_ms: float
    within_ms: float
    domain: str
    taken: dict[int, int]


class Place(NamedTuple):
    """A worker with the time that a task is predicted to take there."""

    worker: Candidate
    run_ms: float


def predict_run(worker: Candidate, step: StepSpec, expected_ms: float) -> float:
    """Return the run time of a task at a worker in ms."""
    far = FAR_FACTOR if step.rack and step.rack != worker.rack else 1.0
    return expected_ms * worker.pace * far


def may_run(worker: Candidate, step: StepSpec) -> bool:
    """Return whether a worker can ever run tasks of a step."""
    if not worker.room.fits(step.need):
        return False
    return not step.label or step.label in worker.labels


def choose(workers: Iterable[Candidate], request: PlaceRequest) -> Place | None:
    """Return the best worker with room for one task, or None.

    None is sent ahead of room: where it waited, a more urgent one could not overtake it.
    """
    step = request.step
    best = None
    best_score = -math.inf
    for worker in workers:
        if not worker.free.fits(step.need) or not _may_take(worker, step, request.taken):
            continue
        run_ms = predict_run(worker, step, request.expected_ms)
        if run_ms > request.within_ms:
            continue
        score = -_measure_cost(worker, step, run_ms, request.domain)
        if score > best_score:
            best, best_score = Place(worker, run_ms), score
    return best


def _may_take(worker: Candidate, step: StepSpec, taken: dict[int, int]) -> bool:
    if not worker.is_usable or not may_run(worker, step):
        return False
    return not step.per_worker or taken.get(id(worker), 0) < step.per_worker


def _measure_cost(worker: Candidate, step: StepSpec, run_ms: float, domain: str) -> float:
    used = 1 - worker.free.cpu / max(1, worker.room.cpu)
    cost = run_ms * (1 + FULL_SHARE * used + SPREAD_SHARE * random.random())
    if worker.free.cpu - step.need.cpu < CONFLICT_SHARE * worker.room.cpu:
        cost += CONFLICT_MS
    if worker.domain != domain:
        cost += REMOTE_MS
    return cost
