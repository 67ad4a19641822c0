"""Decisions on scarce capacity: what a job is worth, what it displaces, and minimum shares.

Pure functions and records without input or output. They handle a lasting load above the
capacity, in which the least urgent queue would get nothing and capacity would be spent on jobs
that end late, and the loss of workers, after which accepted work no longer fits.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

# Part of its value that a job keeps once it can only end late.
LATE_VALUE = 0.2
# Time over which the capacity that a queue got is compared with its part: longer than the longest
# usual task, which takes 1.8 s, so that a single one does not decide.
SHARE_WINDOW_MS = 2_000.0
# Capacity is scarce once the queued work would take all workers longer than this, and no longer
# scarce below the lower limit. The gap keeps single arrivals from switching it.
SCARCE_QUEUE_MS = 100.0
AMPLE_QUEUE_MS = 25.0
# A job counts as on time if the probability is at least this; lower once it was accepted, as
# estimates fluctuate.
MIN_ON_TIME_PROBABILITY = 0.5
MIN_KEPT_ON_TIME_PROBABILITY = 0.3
# Part of its objective after which an accepted job is not refused any more: its caller could
# have been served elsewhere until then.
FINAL_DECISION_SHARE = 0.25
# Capacity below this part of that at the job's acceptance counts as lost workers.
LOST_CAPACITY_SHARE = 0.95


class QueueShare(NamedTuple):
    """Capacity that a queue got recently at one dispatcher.

    :param queue: name of the queue
    :param work: work of its runs started over about the last ``SHARE_WINDOW_MS``, in
        thousandths of a core times ms
    """

    queue: str
    work: float


class QueuedJob(NamedTuple):
    """A queued job that is served after an arriving one.

    :param level: its priority level
    :param work: work of its pending tasks, in thousandths of a core times ms
    :param slack_ms: time until it has to start to be on time
    :param value: its value if it is on time
    """

    level: int
    work: float
    slack_ms: float
    value: float


class Displacement(NamedTuple):
    """What an arriving job would displace if it was accepted.

    :param value: the job's own value
    :param displaced_value: value that queued jobs would lose
    :param displaced_jobs: number of queued jobs that would become late
    """

    value: float
    displaced_value: float
    displaced_jobs: int

    @property
    def exceeds_value(self) -> bool:
        """Whether the jobs that would become late are worth more than the arriving one."""
        return self.displaced_value > self.value


def is_scarce(was_scarce: bool, queued_work: float, capacity: float) -> bool:
    """Return whether the queued work exceeds the capacity for longer than a moment.

    Without known workers it is not: they may report any moment, as after a power loss.

    :param was_scarce: the previous result
    :param queued_work: work of all queued jobs, in thousandths of a core times ms
    :param capacity: CPU of the workers in thousandths of a core
    """
    limit_ms = AMPLE_QUEUE_MS if was_scarce else SCARCE_QUEUE_MS
    return capacity > 0 and queued_work > limit_ms * capacity


def measure_displacement(
    work: float, value: float, ahead: float, after: Sequence[QueuedJob], spare: Sequence[float]
) -> Displacement:
    """Return what a job displaces that is served before some queued jobs.

    :param work: the job's work in thousandths of a core times ms
    :param value: the job's value
    :param ahead: work that is served before the job
    :param after: queued jobs that are served after it, in the order of service
    :param spare: capacity that more urgent arrivals leave, by priority level
    """
    displaced = 0.0
    count = 0
    for other in after:
        capacity = spare[other.level]
        wait_ms = ahead / capacity if capacity > 0 else math.inf
        if wait_ms <= other.slack_ms < (ahead + work) / capacity:
            displaced += (1 - LATE_VALUE) * other.value
            count += 1
        ahead += other.work
    return Displacement(value, displaced, count)


class ServedWork:
    """Capacity that the queues of one service got recently, as a decaying sum by queue."""

    def __init__(self, now: float, reported: Iterable[QueueShare] = ()):
        """Start from what other dispatchers report, or from zero.

        :param now: clock time in ms
        """
        self._work: dict[str, float] = {}
        for share in reported:
            if math.isfinite(share.work) and share.work > 0:
                self._work[share.queue] = self._work.get(share.queue, 0.0) + share.work
        self._updated_ms = now

    def record(self, queue: str, work: float, now: float) -> None:
        """Record that a queue got capacity.

        :param work: work of the started run in thousandths of a core times ms
        :param now: clock time in ms
        """
        self._decay(now)
        self._work[queue] = self._work.get(queue, 0.0) + work

    def list_shares(self, now: float) -> tuple[QueueShare, ...]:
        """Return what each queue got, as it is reported to other dispatchers."""
        self._decay(now)
        return tuple(QueueShare(queue, round(work)) for queue, work in self._work.items())

    def find_below(
        self, least_share: float, weights: Mapping[str, float], now: float
    ) -> dict[str, float]:
        """Return the queues that got less than their part, with the share that each got.

        The capacity is what all queues got together: while it is scarce, nothing is left over.

        :param least_share: part of the capacity that is reserved for all queues together
        :param weights: weights of the queues that have demand, by name
        """
        self._decay(now)
        parts = divide_share(least_share, weights)
        total = sum(self._work.values())
        got = {queue: self._work.get(queue, 0.0) / total if total else 0.0 for queue in parts}
        return {queue: share for queue, share in got.items() if share < parts[queue]}

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._updated_ms) / SHARE_WINDOW_MS)
        self._work = {queue: work * factor for queue, work in self._work.items() if work > 1.0}
        self._updated_ms = now


def divide_share(least_share: float, weights: Mapping[str, float]) -> dict[str, float]:
    """Return the part of the capacity that is reserved for each queue, by name."""
    total = sum(weights.values())
    if not total:
        return {}
    return {queue: least_share * weight / total for queue, weight in weights.items()}
