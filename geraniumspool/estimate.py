"""Run-time estimates, learned from the run times of finished tasks."""

import math

# Least weight of a new sample in a running mean.
LEARNING_RATE = 0.05
# Estimate before any task has finished.
INITIAL_MS = 300.0
# Least estimate, and least time in a logarithm or ratio.
MIN_MS = 1.0
# Declared times to learn from before any is followed.
MIN_SAMPLES = 50
# Least slope of the regression with which declared times are followed.
MIN_SLOPE = 0.5
# Least variance of the logarithms of declared times with which a slope is computed.
MIN_VARIANCE = 0.01


class _Mean:
    """An exponentially weighted moving average.

    The first samples are averaged with equal weights, so that the initial
    value has no lasting influence.
    """

    def __init__(self, initial: float = 0.0):
        self.value = initial
        self._count = 0

    def add(self, sample: float) -> None:
        self._count += 1
        rate = max(LEARNING_RATE, 1.0 / self._count)
        self.value += rate * (sample - self.value)


class RunTimeEstimator:
    """Run-time estimates of one service.

    A linear regression of the logarithm of the actual time on that of the
    declared time shows how well declared times predict actual ones: the slope
    is 1 if they are exact or off by a constant factor, and near 0 if they are
    unrelated. With a slope below ``MIN_SLOPE``, or fewer than ``MIN_SAMPLES``
    samples, declared times are ignored and the mean run time is the estimate.
    """

    def __init__(self, initial_ms: float = INITIAL_MS):
        """Start without samples.

        :param initial_ms: estimate before the first sample, in milliseconds
        """
        self._mean_ms = _Mean(initial_ms)
        self._samples = 0
        self._log_actual = _Mean()
        self._log_declared = _Mean()
        self._declared_square = _Mean()
        self._product = _Mean()
        self._bias = _Mean(1.0)

    @property
    def slope(self) -> float:
        """Return the weight of declared times: 0, or from ``MIN_SLOPE`` to 1."""
        if self._samples < MIN_SAMPLES:
            return 0.0
        variance = self._declared_square.value - self._log_declared.value**2
        covariance = self._product.value - self._log_declared.value * self._log_actual.value
        if variance < MIN_VARIANCE:
            return 0.0
        slope = covariance / variance
        return min(1.0, slope) if slope >= MIN_SLOPE else 0.0

    def estimate(self, declared_ms: float = 0.0) -> float:
        """Return the expected run time of a task in milliseconds.

        :param declared_ms: run time that the caller declared, or 0
        """
        if declared_ms <= 0 or self.slope == 0:
            return max(MIN_MS, self._mean_ms.value)
        return max(MIN_MS, self._predict(declared_ms) * self._bias.value)

    def learn(self, declared_ms: float, actual_ms: float) -> None:
        """Learn from the run time of a finished task.

        :param declared_ms: run time that the caller declared, or 0
        :param actual_ms: actual run time, in milliseconds
        """
        self._mean_ms.add(actual_ms)
        if declared_ms <= 0:
            return
        if self._samples >= MIN_SAMPLES:
            self._bias.add(max(MIN_MS, actual_ms) / self._predict(declared_ms))
        self._samples += 1
        declared, actual = _log(declared_ms), _log(actual_ms)
        self._log_declared.add(declared)
        self._log_actual.add(actual)
        self._declared_square.add(declared * declared)
        self._product.add(declared * actual)

    def _predict(self, declared_ms: float) -> float:
        deviation = _log(declared_ms) - self._log_declared.value
        return math.exp(self._log_actual.value + self.slope * deviation)


def _log(time_ms: float) -> float:
    return math.log(max(MIN_MS, time_ms))
