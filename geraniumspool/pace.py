"""Slowness detection for a minion whose tasks take far longer than is usual there."""

import math
from collections.abc import Callable

LEARNING_WEIGHT = 0.02
FIRST_SPREAD = 1.0
MIN_SPREAD = 0.2
MAX_RATIO = 10.0
MARGIN_MS = 50.0
MAX_HAZARD = 3.0
ON_TIME_CREDIT = 2.5
OUTLIER_LATENESS = 3.0
SLOW_LATENESS = 15.0
MAX_LATENESS = 2 * SLOW_LATENESS
LATE_HAZARD = 2.5
PROBE_HAZARD = 2.0


def _no_lateness() -> float:
    return 0.0


class SlownessDetector:
    """Sequential change detector that finds a slow minion before its tasks have results.

    It models the ratio of actual to estimated run times on this minion as a log-normal distribution
    and learns mean and variance of its logarithm. The cumulative hazard of a task grows while the
    task runs and averages 1 at the end of tasks that take their usual time. The lateness is a
    cumulative sum (CUSUM) of the hazards of all tasks, less a credit for each task that ends in
    time. It stays near 0 unless tasks take several times as long as usual.

    :ivar lateness: evidence that the minion is slow, 0 if there is none
    """

    def __init__(self, peers_lateness: Callable[[], float] = _no_lateness):
        """Start with a wide distribution around the estimates.

        :param peers_lateness: returns the median lateness of the other workers
        """
        self._peers_lateness = peers_lateness
        self._usual = 0.0
        self._variance = FIRST_SPREAD**2
        self.lateness = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether the minion is slow, both in absolute terms and compared with its peers."""
        return (
            self.lateness > SLOW_LATENESS and self.lateness - self._peers_lateness() > SLOW_LATENESS
        )

    def hazard(self, estimate_ms: float, age_ms: float) -> float:
        """Return the cumulative hazard of a task, at most ``MAX_HAZARD``.

        The bound prevents a single hanging task from proving that the minion is slow.

        :param estimate_ms: estimated run time of the task
        :param age_ms: how long the task has run
        """
        if age_ms <= MARGIN_MS:
            return 0.0
        ratio = (age_ms - MARGIN_MS) / max(1.0, estimate_ms)
        spread = max(MIN_SPREAD, math.sqrt(self._variance))
        distance = (math.log(ratio) - self._usual) / spread
        survival = math.erfc(distance / math.sqrt(2)) / 2
        return min(MAX_HAZARD, -math.log(max(survival, math.exp(-MAX_HAZARD))))

    def add_hazard(self, hazard: float) -> None:
        """Add the hazard that running tasks have gained.

        :param hazard: increase of the cumulative hazard since the last call
        """
        self.lateness = min(MAX_LATENESS, self.lateness + hazard)

    def discard_hazard(self, hazard: float) -> None:
        """Remove the hazard of a task that ended without a result, unless it was already late.

        The end of such a task says nothing about the speed of the minion.

        :param hazard: cumulative hazard added for the task
        """
        if hazard < LATE_HAZARD:
            self.lateness = max(0.0, self.lateness - hazard)

    def record_run_time(self, estimate_ms: float, actual_ms: float) -> None:
        """Record a task that has ended with a result, and learn from its run time.

        The run times of late tasks are learned as well; otherwise the distribution would become
        narrower and narrower.

        :param estimate_ms: estimated run time of the task
        :param actual_ms: its actual run time
        """
        if self.hazard(estimate_ms, actual_ms) < LATE_HAZARD:
            self.lateness = max(0.0, self.lateness - ON_TIME_CREDIT)
        ratio = max(1.0, actual_ms) / max(1.0, estimate_ms)
        distance = math.log(min(MAX_RATIO, max(1 / MAX_RATIO, ratio))) - self._usual
        self._usual += LEARNING_WEIGHT * distance
        self._variance += LEARNING_WEIGHT * (distance * distance - self._variance)

    def reset(self) -> None:
        """Reset the evidence, for example when the minion works at its usual speed again."""
        self.lateness = 0.0
