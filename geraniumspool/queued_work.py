"""Queued work and arrival rates by priority level, as dispatchers report them to each other.

Work is CPU need times run time, in thousandths of a core times ms.
"""

import math
from typing import NamedTuple

# Number of priority levels. Higher priority numbers count as the last level, as operators use
# three or four.
LEVELS = 4
# Time constant of the average of recent arrivals: long compared with the interval between two
# jobs of one dispatcher, 20 ms to 200 ms, and short compared with a burst, which lasts some
# seconds.
RECENT_AVERAGE_MS = 2_000.0
# Time constant of the average of usual arrivals: it spans several bursts and the calm between
# them.
USUAL_AVERAGE_MS = 20_000.0

_NO_LEVEL_WORK = (0.0,) * LEVELS


class QueuedWork(NamedTuple):
    """Work by priority level, the most urgent first.

    :param in_time: queued work of jobs that can still be in time
    :param late: queued work of jobs that are late
    :param arriving: recent arrival rate: work of accepted jobs per ms
    :param usual: arrival rate averaged over a longer time
    """

    in_time: tuple[float, ...] = _NO_LEVEL_WORK
    late: tuple[float, ...] = _NO_LEVEL_WORK
    arriving: tuple[float, ...] = _NO_LEVEL_WORK
    usual: tuple[float, ...] = _NO_LEVEL_WORK


NO_WORK = QueuedWork()


class ArrivalMeter:
    """Exponentially weighted average of the arrival rate of work, by priority level."""

    def __init__(self, now: float, memory_ms: float):
        """Create a meter without arrivals.

        :param now: clock time in ms
        :param memory_ms: time constant of the average
        """
        self._memory_ms = memory_ms
        self._sums = list(_NO_LEVEL_WORK)
        self._started_ms = now
        self._updated_ms = now

    def record_arrival(self, level: int, work: float, now: float) -> None:
        """Record the arrival of a job.

        :param work: its work in thousandths of a core times ms
        :param now: clock time in ms
        """
        self._decay(now)
        self._sums[level] += work

    def rates(self, now: float) -> tuple[float, ...]:
        """Return the arrival rate in work per ms, by priority level."""
        self._decay(now)
        age_ms = max(RECENT_AVERAGE_MS, now - self._started_ms)
        span_ms = self._memory_ms * (1 - math.exp(-age_ms / self._memory_ms))
        return tuple(total / span_ms for total in self._sums)

    def _decay(self, now: float) -> None:
        factor = math.exp(-(now - self._updated_ms) / self._memory_ms)
        self._sums = [total * factor for total in self._sums]
        self._updated_ms = now


class Arrivals:
    """Recent and usual arrival rates of the work of one service at one dispatcher."""

    def __init__(self, now: float):
        """Start without arrivals.

        :param now: clock time in ms
        """
        self._recent = ArrivalMeter(now, RECENT_AVERAGE_MS)
        self._usual = ArrivalMeter(now, USUAL_AVERAGE_MS)

    def note(self, level: int, work: float, now: float) -> None:
        """Record the arrival of a job.

        :param work: its work in thousandths of a core times ms
        :param now: clock time in ms
        """
        self._recent.record_arrival(level, work, now)
        self._usual.record_arrival(level, work, now)

    def add_to(self, waiting: QueuedWork, now: float) -> QueuedWork:
        """Return queued work with its arrival rates set."""
        return waiting._replace(arriving=self._recent.rates(now), usual=self._usual.rates(now))


def level_of(priority: int) -> int:
    """Return the priority level of a queue's priority; 0 is the most urgent."""
    return max(0, min(LEVELS - 1, priority))
