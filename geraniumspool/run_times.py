"""Run times of tasks by queue: mean and tail, apart from the speed of workers.

Without I/O. Handles kinds of tasks of which a few take many times as long as the others, workers of
unequal speed, and kinds that become slower: a run that has already taken too long counts before it
ends.
"""

# Weight of a run in the averages: they cover about the last hundred runs of a queue. With 3% of
# runs that take seven times as long, the mean then varies by about 7%.
MEAN_WEIGHT = 0.01
# Step of the 90th percentile for each run, as a share of the percentile.
TAIL_WEIGHT = 0.02
TAIL_SHARE = 0.9
# A single run counts for at most this deviation, in either direction: callers may declare anything.
LEAST_RATIO = 0.2
MOST_RATIO = 10.0
# Percentile of a queue of which nothing has run, as a multiple of the declared run time.
INITIAL_TAIL = 1.3


class RunTimes:
    """Ratios of actual to declared run times of one queue, on workers of mean pace.

    :ivar mean: mean ratio
    :ivar tail: 90th percentile of the ratio, at least ``mean``
    """

    def __init__(self):
        """Start with what callers declare."""
        self.mean = 1.0
        self._tail = INITIAL_TAIL

    @property
    def tail(self) -> float:
        """Return the 90th percentile of the ratio, at least the mean."""
        return max(self.mean, self._tail)

    def record(self, ran_ms: float, declared_ms: float, relative_pace: float) -> None:
        """Record a run that has ended, or that is predicted to end after ``ran_ms``.

        :param relative_pace: pace of its worker divided by the mean pace of the workers. Without
            it, the mean would depend on which workers were free, and their speed would count twice
            in predictions.
        """
        if ran_ms <= 0 or declared_ms <= 0 or relative_pace <= 0:
            return
        ratio = min(MOST_RATIO, max(LEAST_RATIO, ran_ms / declared_ms / relative_pace))
        self.mean += MEAN_WEIGHT * (ratio - self.mean)
        # A step up is taken for one run in ten and is nine times as large as a step down.
        step = TAIL_SHARE if ratio > self._tail else TAIL_SHARE - 1
        self._tail = max(LEAST_RATIO, self._tail * (1 + TAIL_WEIGHT * step))

    def predict_overdue_ms(self, age_ms: float, run_ms: float) -> float:
        """Return the predicted remaining time in ms of a run that is past its expected time.

        Past the tail, it is one of the few that take many times as long, and is predicted to take
        as long again.

        :param age_ms: time that it has run, at least ``run_ms``
        :param run_ms: its expected time, from the mean
        """
        tail_ms = run_ms * self.tail / self.mean
        return tail_ms - age_ms if age_ms < tail_ms else age_ms
