"""Rate a minion by its ended runs: eject it while runs fail too often, and estimate its speed."""

from geraniumspool.contracts import Clock

# Number of different jobs failing in a row that ejects a minion. By chance this happens once in
# thousands of runs where 6% of jobs always fail.
MAX_CONSECUTIVE_FAILED_JOBS = 3
# Outcomes needed before the failure share counts: ten runs distinguish a minion that fails two in
# five runs from one that fails one in fifteen.
MIN_OUTCOMES = 10
FAILURE_SHARE = 0.3
FAILURE_SHARE_WEIGHT = 0.15
# Delay of the first probe after an ejection; it doubles with each failed probe, so that a fault of
# a few seconds is over after three probes.
PROBE_AFTER_MS = 500.0
MAX_PROBE_AFTER_MS = 4_000.0
PROBES_TO_RESTORE = 2

# Weight of one ended run in the moving average, which then covers about as many runs as a busy
# worker ends in 0.4 s.
PACE_WEIGHT = 0.15
# Half-life of the deviation from 1, so that a worker which no longer gets runs is tried again.
PACE_HALF_LIFE_MS = 2_500.0
# Added to expected times to allow for start-up and rounding of short runs.
PACE_MARGIN_MS = 15.0
MIN_PACE = 0.3
MAX_PACE = 30.0


class CircuitBreaker:
    """Circuit breaker that ejects a minion whose runs fail, and probes it until it works again.

    :ivar is_ejected: whether the minion must not get runs other than probes
    """

    def __init__(self, clock: Clock):
        """Start with a minion that is not ejected.

        :param clock: source of time
        """
        self._clock = clock
        self._share = 0.0
        self._outcomes = 0
        self._failed_jobs: list[str] = []
        self._successes = 0
        self._probe_at = 0.0
        self._probe_after = PROBE_AFTER_MS
        self.is_ejected = False

    @property
    def is_probe_due(self) -> bool:
        """Whether an ejected minion may get one run as a probe."""
        return self._clock.now() >= self._probe_at

    def record(self, job: str, ok: bool) -> bool:
        """Record the outcome of a run; return whether it ejected or restored the minion.

        :param job: id of its job; consecutive failures count once per job, because repeated
            failures of one job may be the job's fault
        :param ok: whether the run succeeded
        """
        self._outcomes += 1
        self._share += FAILURE_SHARE_WEIGHT * ((0.0 if ok else 1.0) - self._share)
        if self.is_ejected:
            return self._judge_probe(ok)
        if ok:
            self._failed_jobs.clear()
            return False
        if job not in self._failed_jobs:
            self._failed_jobs.append(job)
        fails_often = self._outcomes >= MIN_OUTCOMES and self._share > FAILURE_SHARE
        if len(self._failed_jobs) < MAX_CONSECUTIVE_FAILED_JOBS and not fails_often:
            return False
        self._eject()
        return True

    def _eject(self) -> None:
        self.is_ejected = True
        self._successes = 0
        self._probe_after = PROBE_AFTER_MS
        self._probe_at = self._clock.now() + self._probe_after

    def _judge_probe(self, ok: bool) -> bool:
        if not ok:
            self._successes = 0
            self._probe_after = min(MAX_PROBE_AFTER_MS, self._probe_after * 2)
            self._probe_at = self._clock.now() + self._probe_after
            return False
        self._successes += 1
        self._probe_at = self._clock.now()
        if self._successes < PROBES_TO_RESTORE:
            return False
        self.is_ejected = False
        self._share = 0.0
        self._outcomes = 0
        self._failed_jobs.clear()
        return True


class RunPace:
    """Moving average of the ratio of actual to expected run times on a minion."""

    def __init__(self, clock: Clock):
        """Start at the usual speed, a ratio of 1.

        :param clock: source of time
        """
        self._clock = clock
        self._value = 1.0
        self._noted_ms = clock.now()

    @property
    def value(self) -> float:
        """Ratio of actual to expected run times, decaying towards 1 without new observations."""
        age = self._clock.now() - self._noted_ms
        return 1.0 + (self._value - 1.0) * 0.5 ** (age / PACE_HALF_LIFE_MS)

    def record(self, expected_ms: float, actual_ms: float, weight: float = PACE_WEIGHT) -> None:
        """Add one observation.

        :param expected_ms: estimated duration of the run
        :param actual_ms: its actual or predicted duration
        :param weight: weight of the observation in the moving average, 0..1
        """
        ratio = actual_ms / (expected_ms + PACE_MARGIN_MS)
        ratio = min(MAX_PACE, max(MIN_PACE, ratio))
        self._value = self.value + weight * (ratio - self.value)
        self._noted_ms = self._clock.now()
