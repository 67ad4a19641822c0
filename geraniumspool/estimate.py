"""Estimates of run times, learnt from what tasks took."""

LEARNING_RATE = 0.1
INITIAL_MS = 300.0
MIN_MS = 1.0
MAX_RATIO = 100.0


class RunTimes:
    """Run-time estimates of one service.

    Two predictors compete: the mean of what tasks took, and the declared
    time scaled by the mean ratio of actual to declared. The one whose
    recent error is smaller is used, so wrong declarations do little harm.
    """

    def __init__(self, initial_ms: float = INITIAL_MS):
        """Start from ``initial_ms`` until something is learnt."""
        self._mean = initial_ms
        self._ratio = 1.0
        self._mean_error = 0.0
        self._declared_error = 0.0
        self._learnt = False

    def estimate(self, declared_ms: float = 0.0) -> float:
        """Return the expected run time of a task in milliseconds.

        :param declared_ms: what its caller declared, or 0
        """
        if declared_ms > 0 and self._declared_error <= self._mean_error:
            return max(MIN_MS, declared_ms * self._ratio)
        return max(MIN_MS, self._mean)

    def learn(self, declared_ms: float, actual_ms: float) -> None:
        """Take what one task took.

        :param declared_ms: what its caller declared, or 0
        :param actual_ms: what it took, in milliseconds
        """
        if not self._learnt:
            self._learnt = True
            self._mean = actual_ms
        self._mean_error += LEARNING_RATE * (abs(actual_ms - self._mean) - self._mean_error)
        if declared_ms > 0:
            self._learn_declared(declared_ms, actual_ms)
        self._mean += LEARNING_RATE * (actual_ms - self._mean)

    def _learn_declared(self, declared_ms: float, actual_ms: float) -> None:
        error = abs(actual_ms - declared_ms * self._ratio)
        self._declared_error += LEARNING_RATE * (error - self._declared_error)
        ratio = min(MAX_RATIO, actual_ms / declared_ms)
        self._ratio += LEARNING_RATE * (ratio - self._ratio)
