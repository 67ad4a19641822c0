"""Judging a minion by the runs it ended: whether it fails them, and how fast it is."""

from geraniumspool.contracts import Clock

# Three jobs in a row fail by chance once in thousands where 6% of jobs are hopeless.
FAILURES_IN_A_ROW = 3
# A minion that fails two in five is told from one that fails one in fifteen in ten runs.
MIN_OUTCOMES = 10
FAILURE_SHARE = 0.3
RECENT_WEIGHT = 0.15
# First probe after an ejection; a fault of a few seconds is over after three of them.
PROBE_AFTER_MS = 500.0
MAX_PROBE_AFTER_MS = 4_000.0
PROBES_TO_RESTORE = 2

# A tenth of the runs of a second: about as many as a worker ends in 0.4 s when busy.
PACE_WEIGHT = 0.15
# Evidence on speed halves in this time, so that a worker nobody uses is tried again.
PACE_HALF_LIFE_MS = 2_500.0
# Start-up and rounding of short runs count as this much.
PACE_MARGIN_MS = 15.0
MIN_PACE = 0.3
MAX_PACE = 30.0


class FailureJudge:
    """Ejects a minion that fails what it runs, and probes it until it works again."""

    def __init__(self, clock: Clock):
        """Start with trust.

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
        """Whether an ejected minion may be given one run to be judged by."""
        return self._clock.now() >= self._probe_at

    def note(self, job: str, ok: bool) -> bool:
        """Take how a run ended; return whether that ejected or restored the minion.

        :param job: id of its job: many failures of one job prove little
        """
        self._outcomes += 1
        self._share += RECENT_WEIGHT * ((0.0 if ok else 1.0) - self._share)
        if self.is_ejected:
            return self._judge_probe(ok)
        if ok:
            self._failed_jobs.clear()
            return False
        if job not in self._failed_jobs:
            self._failed_jobs.append(job)
        often = self._outcomes >= MIN_OUTCOMES and self._share > FAILURE_SHARE
        if len(self._failed_jobs) < FAILURES_IN_A_ROW and not often:
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
    """Learns how long runs take at a minion against what was expected."""

    def __init__(self, clock: Clock):
        """Start at the usual speed.

        :param clock: source of time
        """
        self._clock = clock
        self._value = 1.0
        self._noted_ms = clock.now()

    @property
    def value(self) -> float:
        """Actual by expected run times, drifting back to 1 while nothing is learnt."""
        age = self._clock.now() - self._noted_ms
        return 1.0 + (self._value - 1.0) * 0.5 ** (age / PACE_HALF_LIFE_MS)

    def note(self, expected_ms: float, actual_ms: float, weight: float = PACE_WEIGHT) -> None:
        """Take how long a run took, or is predicted to take."""
        ratio = actual_ms / (expected_ms + PACE_MARGIN_MS)
        ratio = min(MAX_PACE, max(MIN_PACE, ratio))
        self._value = self.value + weight * (ratio - self.value)
        self._noted_ms = self._clock.now()
