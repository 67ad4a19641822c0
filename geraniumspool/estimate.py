"""Estimates of run times, learnt from what tasks took."""

import math

LEARNING_RATE = 0.05
INITIAL_MS = 300.0
MIN_MS = 1.0
MIN_LEARNT = 50
MIN_SLOPE = 0.5
MIN_VARIANCE = 0.01


class _Mean:
    """A running mean that forgets slowly."""

    def __init__(self, initial: float = 0.0):
        self.value = initial
        self._count = 0

    def add(self, sample: float) -> None:
        self._count += 1
        rate = max(LEARNING_RATE, 1.0 / self._count)
        self.value += rate * (sample - self.value)


class RunTimes:
    """Run-time estimates of one service.

    A regression of the logarithm of the actual time on that of the declared
    one tells how far declared times are worth following: a slope of 1 where
    they are right, near 0 where they say nothing. Below ``MIN_SLOPE``, and
    until enough is learnt, the mean is taken.
    """

    def __init__(self, initial_ms: float = INITIAL_MS):
        """Start from ``initial_ms`` until something is learnt."""
        self._mean_ms = _Mean(initial_ms)
        self._learnt = 0
        self._actual = _Mean()
        self._declared = _Mean()
        self._square = _Mean()
        self._product = _Mean()
        self._bias = _Mean(1.0)

    @property
    def slope(self) -> float:
        """Return how far declared times are followed, 0 or from ``MIN_SLOPE`` to 1."""
        if self._learnt < MIN_LEARNT:
            return 0.0
        variance = self._square.value - self._declared.value**2
        covariance = self._product.value - self._declared.value * self._actual.value
        if variance < MIN_VARIANCE:
            return 0.0
        slope = covariance / variance
        return min(1.0, slope) if slope >= MIN_SLOPE else 0.0

    def estimate(self, declared_ms: float = 0.0) -> float:
        """Return the expected run time of a task in milliseconds.

        :param declared_ms: what its caller declared, or 0
        """
        if declared_ms <= 0 or self.slope == 0:
            return max(MIN_MS, self._mean_ms.value)
        return max(MIN_MS, self._predict(declared_ms) * self._bias.value)

    def learn(self, declared_ms: float, actual_ms: float) -> None:
        """Take what one task took.

        :param declared_ms: what its caller declared, or 0
        :param actual_ms: what it took, in milliseconds
        """
        self._mean_ms.add(actual_ms)
        if declared_ms <= 0:
            return
        if self._learnt >= MIN_LEARNT:
            self._bias.add(max(MIN_MS, actual_ms) / self._predict(declared_ms))
        self._learnt += 1
        declared, actual = _log(declared_ms), _log(actual_ms)
        self._declared.add(declared)
        self._actual.add(actual)
        self._square.add(declared * declared)
        self._product.add(declared * actual)

    def _predict(self, declared_ms: float) -> float:
        distance = _log(declared_ms) - self._declared.value
        return math.exp(self._actual.value + self.slope * distance)


def _log(time_ms: float) -> float:
    return math.log(max(MIN_MS, time_ms))
