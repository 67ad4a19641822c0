"""Choose the dispatcher that schedules a job's tasks on the workers that it owns.

Pure functions. They handle bursts that fill the dispatchers' workers unevenly, and
dispatchers that choose at the same time by the same load reports, which must not all choose
the same owner.
"""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from geraniumspool.job_messages import ServiceLoad
from geraniumspool.job_specs import JobSpec
from geraniumspool.queued_work import level_of
from geraniumspool.queues import Queue

# Number of owners that are drawn at random, weighted by free capacity, and compared. If the best
# of all were chosen, every dispatcher would choose the same one until its next load report.
SAMPLE_SIZE = 2
# Time of a message to the owner and back, including decoding at both ends.
FORWARD_ROUND_TRIP_MS = 2.0
# An owner in another failure domain is chosen only if its wait is shorter by this: traffic between
# failure domains is the most expensive.
CROSS_DOMAIN_PENALTY_MS = 15.0
# Run time saved near the data: away from it, jobs take at least twice as long, which makes this
# difference for a typical job.
REMOTE_DATA_PENALTY_MS = 100.0
# A dispatcher that uses more than this part of its processor share answers late: what it receives
# waits for what it is working on.
BUSY_LIMIT = 0.7
# Predicted wait at a dispatcher that uses its whole processor share. Chosen above
# CROSS_DOMAIN_PENALTY_MS, so that jobs go to another domain before that; not measured.
BUSY_WAIT_MS = 50.0
# Upper bound of predicted waits.
MAX_PREDICTED_WAIT_MS = 60_000.0


class OwnerOption(NamedTuple):
    """A dispatcher that a job may be assigned to.

    :param owner: object by which the caller identifies the dispatcher, None for this process
    :param domain: failure domain of the dispatcher
    :param load: load of its workers in its last report
    :param sent_work: work forwarded to it since that report, in thousandths of a core times ms
    :param busy_share: part of its processor share that it uses, negative if unknown
    """

    owner: object
    domain: str
    load: ServiceLoad
    sent_work: float = 0.0
    busy_share: float = -1.0


class AssignmentRequest(NamedTuple):
    """Properties of a job that decide which dispatcher it is assigned to.

    :param level: priority level of its queue; 0 is the most urgent
    :param cpu: CPU that the tasks of its first steps need, in thousandths of a core
    :param racks: racks near its data
    """

    level: int
    cpu: float
    racks: frozenset[str]


def describe_job(spec: JobSpec, queue: Queue) -> AssignmentRequest:
    """Return the properties of a job that decide which dispatcher it is assigned to."""
    first_steps = [step for step in spec.steps if not step.after]
    cpu = sum(step.count * step.need.cpu for step in first_steps)
    racks = frozenset(step.rack for step in spec.steps if step.rack)
    return AssignmentRequest(level_of(queue.priority), cpu, racks)


def choose_owner(
    options: Sequence[OwnerOption], request: AssignmentRequest, domain: str
) -> OwnerOption | None:
    """Return the best of the compared dispatchers by predicted wait and other costs.

    Return None if no dispatcher has workers.

    :param domain: failure domain of this process
    """
    usable = [option for option in options if option.load.room_cpu > 0]
    compared = [option for option in usable if option.owner is None]
    local = [option for option in usable if option.domain == domain and option.owner is not None]
    remote = [option for option in usable if option.domain != domain]
    compared += _sample(local) + _sample(remote)
    if request.racks:
        compared += [option for option in usable if request.racks & set(option.load.racks)]
    return min(compared, key=lambda option: estimate_cost(option, request, domain), default=None)


def predict_wait_ms(option: OwnerOption, request: AssignmentRequest) -> float:
    """Return the predicted wait in ms until all first tasks of a job have started there."""
    load = option.load
    if load.room_cpu <= 0:
        return MAX_PREDICTED_WAIT_MS
    queued = load.queued
    levels = range(request.level + 1)
    ahead = sum(queued.in_time[level] + queued.late[level] for level in levels)
    taken_cpu = option.sent_work / load.run_ms if load.run_ms else 0.0
    missing_cpu = max(0.0, request.cpu - max(0.0, load.free_cpu - taken_cpu))
    if not missing_cpu and not ahead:
        return 0.0
    work = ahead + option.sent_work + missing_cpu * load.run_ms
    return min(MAX_PREDICTED_WAIT_MS, work / load.room_cpu)


def predict_busy_wait_ms(busy_share: float) -> float:
    """Return the predicted wait in ms for the processor of a dispatcher."""
    return BUSY_WAIT_MS * max(0.0, busy_share - BUSY_LIMIT) / (1 - BUSY_LIMIT)


def estimate_cost(option: OwnerOption, request: AssignmentRequest, domain: str) -> float:
    """Return the predicted wait in ms plus penalties for distance."""
    cost = predict_wait_ms(option, request) + predict_busy_wait_ms(option.busy_share)
    if option.owner is not None:
        cost += FORWARD_ROUND_TRIP_MS
    if option.domain != domain:
        cost += CROSS_DOMAIN_PENALTY_MS
    if request.racks and not request.racks & set(option.load.racks):
        cost += REMOTE_DATA_PENALTY_MS
    return cost


def _sample(options: Iterable[OwnerOption]) -> list[OwnerOption]:
    """Return a random sample of at most :data:`SAMPLE_SIZE` options.

    Options are weighted by free CPU, or by total CPU if fewer than :data:`SAMPLE_SIZE` options have
    any free CPU.
    """
    left = list(options)
    if len(left) <= SAMPLE_SIZE:
        return left
    weights = [max(0.0, option.load.free_cpu) for option in left]
    if sum(1 for weight in weights if weight) < SAMPLE_SIZE:
        weights = [option.load.room_cpu for option in left]
    first = random.choices(left, weights)[0]
    index = left.index(first)
    del left[index], weights[index]
    if not sum(weights):
        weights = [1.0] * len(left)
    return [first, random.choices(left, weights)[0]]
