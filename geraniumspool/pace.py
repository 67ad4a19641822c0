"""Pace of a minion: whether its tasks take far longer than is usual there."""

import math
from collections.abc import Callable

USUAL_WEIGHT = 0.02
FIRST_SPREAD = 1.0
MIN_SPREAD = 0.2
MAX_RATIO = 10.0
MARGIN_MS = 50.0
MAX_HAZARD = 3.0
CREDIT = 2.5
STANDS_OUT = 3.0
SLOW = 15.0
MAX_LATENESS = 2 * SLOW
LATE_HAZARD = 2.5
PROBE_HAZARD = 2.0


def _nobody() -> float:
    return 0.0


class Pace:
    """Judges one minion by the tasks that run there, before any result.

    It learns how actual times lie around estimates here, as a log-normal
    distribution. Each moment that a task goes on adds to its cumulative
    hazard, which comes to 1 in the mean by the end of a task that is as
    usual. The lateness is a cumulative sum (CUSUM) of the hazards of all
    tasks, less a credit for each one that ends in time; it stays near 0 unless
    tasks take several times as long as usual.

    :ivar lateness: evidence that the minion is slow, 0 for none
    """

    def __init__(self, peers_lateness: Callable[[], float] = _nobody):
        """Start with a wide distribution around the estimates.

        :param peers_lateness: median lateness of the other workers
        """
        self._peers_lateness = peers_lateness
        self._usual = 0.0
        self._variance = FIRST_SPREAD**2
        self.lateness = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether the minion is slow, and not most others as well."""
        return self.lateness > SLOW and self.lateness - self._peers_lateness() > SLOW

    def hazard(self, estimate_ms: float, age_ms: float) -> float:
        """Return the cumulative hazard of a task, at most ``MAX_HAZARD``.

        The most is bounded, so that one task that hangs proves nothing.

        :param estimate_ms: its estimated run time
        :param age_ms: how long it has run
        """
        if age_ms <= MARGIN_MS:
            return 0.0
        ratio = (age_ms - MARGIN_MS) / max(1.0, estimate_ms)
        spread = max(MIN_SPREAD, math.sqrt(self._variance))
        distance = (math.log(ratio) - self._usual) / spread
        survival = math.erfc(distance / math.sqrt(2)) / 2
        return min(MAX_HAZARD, -math.log(max(survival, math.exp(-MAX_HAZARD))))

    def add(self, hazard: float) -> None:
        """Take that running tasks have gained hazard."""
        self.lateness = min(MAX_LATENESS, self.lateness + hazard)

    def withdraw(self, hazard: float) -> None:
        """Take that a task ended without a result: it tells nothing, unless it was late.

        :param hazard: what it had gained
        """
        if hazard < LATE_HAZARD:
            self.lateness = max(0.0, self.lateness - hazard)

    def end(self, estimate_ms: float, actual_ms: float) -> None:
        """Take that a task has ended with a result, and learn its time.

        Late ones are learnt too, or the distribution would grow ever narrower.
        """
        if self.hazard(estimate_ms, actual_ms) < LATE_HAZARD:
            self.lateness = max(0.0, self.lateness - CREDIT)
        ratio = max(1.0, actual_ms) / max(1.0, estimate_ms)
        distance = math.log(min(MAX_RATIO, max(1 / MAX_RATIO, ratio))) - self._usual
        self._usual += USUAL_WEIGHT * distance
        self._variance += USUAL_WEIGHT * (distance * distance - self._variance)

    def forget(self) -> None:
        """Drop the evidence, as when the minion works as usual again."""
        self.lateness = 0.0
