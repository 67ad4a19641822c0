"""Choose the worker on which a task is predicted to end first.

Pure functions. They handle minions of unequal speed and capacity, minions that become slow,
racks near a job's data, and limits on the number of a step's tasks per worker.
"""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from geraniumspool.data_locality import DEFAULT_REMOTE_DATA_FACTOR
from geraniumspool.departures import DEPARTURE_MARGIN_MS
from geraniumspool.job_specs import StepSpec
from geraniumspool.rooms import Resources

# Round trip between failure domains; one way takes about 1 ms.
CROSS_DOMAIN_ROUND_TRIP_MS = 2.0
# A full worker is scored as slower than an idle one by UTILIZATION_PENALTY, and a random share of
# up to JITTER_SHARE is added, so that dispatchers with the same information don't all fill the
# fastest workers.
UTILIZATION_PENALTY = 0.5
JITTER_SHARE = 0.1
# A worker that would be left with less than CONFLICT_SHARE of its CPU may be full already, because
# its last report is some tens of ms old. It would then refuse the run, which costs about
# CONFLICT_MS.
CONFLICT_SHARE = 0.15
CONFLICT_MS = 15.0
# A task counts as on time on a worker if it is predicted to take at most this share of the time
# that is left: predictions are off by some tens of per cent.
ON_TIME_SHARE = 0.95
# A fast worker is scored as slower by this, times what its pace is under 1, for a task that is on
# time elsewhere. It is left for tasks that are on time only there.
FAST_WORKER_PENALTY = 1.5
# A worker on which a task is late is scored as slower by this factor, which puts it behind all on
# which the task is on time.
LATE_WORKER_FACTOR = 5.0


class Candidate(Protocol):
    """Properties of a worker that placement depends on.

    :ivar free: free capacity
    :ivar capacity: total capacity
    :ivar pace: ratio of actual to expected run times there
    :ivar domain: failure domain
    :ivar is_usable: whether it accepts new runs
    :ivar departs_ms: earliest clock time in ms at which it shuts down, infinite if not known
    """

    free: Resources
    capacity: Resources
    pace: float
    domain: str
    rack: str
    labels: tuple[str, ...]
    is_usable: bool
    departs_ms: float


class PlacementRequest(NamedTuple):
    """Requirements of a task that is to be placed.

    :param expected_ms: expected run time
    :param max_run_ms: longest run time that is still useful; slower workers are skipped
    :param domain: failure domain of the dispatcher
    :param runs_by_worker: number of open runs of the step by worker, keyed by the worker's ``id``
    :param now: clock time in ms
    :param remote_factor: factor by which a task takes longer outside the rack of its data
    :param on_time_ms: time left until its job is late; on workers where it ends by then, speed does
        not count and fast ones are avoided. 0 if speed always counts
    """

    step: StepSpec
    expected_ms: float
    max_run_ms: float
    domain: str
    runs_by_worker: dict[int, int]
    now: float = 0.0
    remote_factor: float = DEFAULT_REMOTE_DATA_FACTOR
    on_time_ms: float = 0.0


class WorkerChoice(NamedTuple):
    """A chosen worker and the predicted run time of the task there in ms."""

    worker: Candidate
    run_ms: float


def is_remote(worker: Candidate, step: StepSpec) -> bool:
    """Return whether a worker is outside the rack of a step's data."""
    return bool(step.rack) and step.rack != worker.rack


def predict_run_ms(
    worker: Candidate,
    step: StepSpec,
    expected_ms: float,
    remote_factor: float = DEFAULT_REMOTE_DATA_FACTOR,
) -> float:
    """Return the predicted run time in ms of a task on a worker.

    :param remote_factor: as in :class:`PlacementRequest`
    """
    # As in is_remote, without the call: this runs for every worker of each choice.
    locality_factor = remote_factor if step.rack and step.rack != worker.rack else 1.0
    return expected_ms * worker.pace * locality_factor


def can_run(worker: Candidate, step: StepSpec) -> bool:
    """Return whether an idle worker could run a task of a step."""
    if not worker.capacity.fits(step.need):
        return False
    return not step.label or step.label in worker.labels


def find_needed_pace(run_ms: float, on_time_ms: float, workers: Iterable[Candidate]) -> float:
    """Return the pace of the workers that a job needs to be on time, at most 1.

    :param run_ms: its expected run time on workers of usual speed
    :param on_time_ms: time left until it is late
    """
    if run_ms <= ON_TIME_SHARE * on_time_ms:
        return 1.0
    paces = (worker.pace for worker in workers if worker.pace > 0)
    return min(1.0, min(paces, default=1.0))


def choose_worker(workers: Iterable[Candidate], request: PlacementRequest) -> WorkerChoice | None:
    """Return the best worker with free capacity for one task, or None.

    Tasks aren't sent to workers in advance, before capacity is free: a more urgent task
    couldn't overtake one that waits at a worker.
    """
    step = request.step
    now = request.now + DEPARTURE_MARGIN_MS
    on_time_ms = ON_TIME_SHARE * request.on_time_ms
    best = None
    best_score = -math.inf
    for worker in workers:
        if not worker.free.fits(step.need) or not _accepts(worker, step, request.runs_by_worker):
            continue
        run_ms = predict_run_ms(worker, step, request.expected_ms, request.remote_factor)
        if run_ms > request.max_run_ms or now + run_ms > worker.departs_ms:
            continue
        cost_ms = run_ms
        if on_time_ms > 0:
            if run_ms <= on_time_ms:
                cost_ms = _cost_on_time(worker, run_ms)
            else:
                cost_ms *= LATE_WORKER_FACTOR
        score = -_placement_cost(worker, step, cost_ms, request.domain)
        if score > best_score:
            best, best_score = WorkerChoice(worker, run_ms), score
    return best


def _accepts(worker: Candidate, step: StepSpec, taken: dict[int, int]) -> bool:
    if not worker.is_usable or not can_run(worker, step):
        return False
    return not step.per_worker or taken.get(id(worker), 0) < step.per_worker


def _cost_on_time(worker: Candidate, run_ms: float) -> float:
    """Return a run time in ms by which workers compare on which a task is on time."""
    pace = worker.pace
    return run_ms / pace * (1 + FAST_WORKER_PENALTY * max(0.0, 1 - pace)) if pace > 0 else run_ms


def _placement_cost(worker: Candidate, step: StepSpec, run_ms: float, domain: str) -> float:
    """Return the cost of a placement in ms; the least is the best."""
    used_share = 1 - worker.free.cpu / max(1, worker.capacity.cpu)
    cost = run_ms * (1 + UTILIZATION_PENALTY * used_share + JITTER_SHARE * random.random())
    if worker.free.cpu - step.need.cpu < CONFLICT_SHARE * worker.capacity.cpu:
        cost += CONFLICT_MS
    if worker.domain != domain:
        cost += CROSS_DOMAIN_ROUND_TRIP_MS
    return cost
