"""Outlier ejection: stops using a minion that fails or is slow, and probes it."""

from collections.abc import Callable

from geraniumspool.contracts import Clock
from geraniumspool.decisions import (
    WORKER_EJECTED,
    WORKER_PROBED,
    WORKER_RESTORED,
    DecisionLog,
)
from geraniumspool.errors import NotStarted, TaskUnknown
from geraniumspool.pace import PROBE_HAZARD, SlownessDetector

# Weight of the latest outcome in the moving average of failures.
OUTCOME_WEIGHT = 0.2
# Outcomes before a minion may be ejected for failures, unless the latest one is a
# refused connection or an unknown outcome.
MIN_OUTCOMES = 5
# Default share of recent failures above which a minion is ejected.
FAILURE_SHARE = 0.5
# Time from the ejection to the first probe; doubles after each failed probe.
PROBE_AFTER_MS = 1_000.0
MAX_PROBE_AFTER_MS = 30_000.0
# Successful probes in a row that end an ejection.
PROBES_TO_RESTORE = 3


def _always() -> bool:
    return True


class Health:
    """Ejects one minion, and restores it, by the outcomes of its tasks.

    A minion is ejected if its share of recent failures is too high or if it is
    slow. An ejected minion gets single tasks as probes, with exponential
    backoff after failed ones. It is restored after a few successful probes in
    a row; a late success counts as a failure.

    :ivar slowness: measures whether the minion is slow
    :ivar is_ejected: whether the minion is ejected
    :ivar on_change: called when the minion is ejected or restored
    """

    def __init__(
        self,
        clock: Clock,
        decisions: DecisionLog,
        subject: str,
        may_eject: Callable[[], bool] = _always,
        failure_share: Callable[[], float] = lambda: FAILURE_SHARE,
        slowness: SlownessDetector | None = None,
    ):
        """Start with a healthy minion.

        :param subject: subject under which decisions are recorded, the agent's address
        :param may_eject: returns whether the limit on ejected workers permits one more
        :param failure_share: returns the share of recent failures, from 0 to 1,
            above which the minion is ejected; 1 disables ejection
        :param slowness: measures whether the minion is slow
        """
        self._clock = clock
        self._decisions = decisions
        self._subject = subject
        self._may_eject = may_eject
        self._failure_share = failure_share
        self.slowness = slowness or SlownessDetector()
        self._recent_failures = 0.0
        self._outcomes = 0
        self._successes = 0
        self._is_probing = False
        self._probe_at_ms = 0.0
        self._probe_after_ms = PROBE_AFTER_MS
        self.is_ejected = False
        self.on_change: Callable[[], None] = lambda: None

    @property
    def is_probe_due(self) -> bool:
        """Return whether the minion is ejected and may be probed with a task now."""
        return self.is_ejected and self._clock.now() >= self._probe_at_ms

    def admits(self, busy: int) -> bool:
        """Return whether another task may be accepted; note it as a probe if it is one.

        :param busy: number of tasks that run or wait here now
        """
        if not self.is_ejected:
            return True
        if busy > 0 or not self.is_probe_due:
            return False
        self._is_probing = True
        self._decisions.record(WORKER_PROBED, self._subject, successes=self._successes)
        return True

    def record_outcome(self, ok: bool, run_ms: float, code: str) -> None:
        """Handle the outcome of a task, which may eject or restore the minion.

        :param ok: whether the task succeeded
        :param run_ms: run time at the minion
        :param code: reason code of a failure, else empty
        """
        self._outcomes += 1
        failed = 0.0 if ok else 1.0
        self._recent_failures += OUTCOME_WEIGHT * (failed - self._recent_failures)
        if self.is_ejected:
            # Tasks accepted before the ejection do not count as probes.
            if self._is_probing:
                self._is_probing = False
                self._handle_probe(ok)
        elif self._has_too_many_failures(code):
            self._eject(run_ms)

    def eject_if_slow(self) -> None:
        """Eject the minion if its running tasks show that it is slow."""
        if self.is_ejected or not self.slowness.is_slow:
            return
        if self._failure_share() < 1 and self._may_eject():
            self._eject(0.0)

    def record_result(self, estimate_ms: float, run_ms: float) -> None:
        """Handle a task that ended with a result.

        :param estimate_ms: estimated run time
        :param run_ms: run time at the minion
        """
        is_late = self.slowness.hazard(estimate_ms, run_ms) > PROBE_HAZARD
        self.record_outcome(not (self.is_ejected and is_late), run_ms, "")
        if not self.is_ejected:
            self.slowness.record_run_time(estimate_ms, run_ms)

    def reset(self) -> None:
        """Discard all outcomes, because another minion replaces this one."""
        self._recent_failures = 0.0
        self._outcomes = 0
        self._restore()

    def _has_too_many_failures(self, code: str) -> bool:
        has_enough = self._outcomes >= MIN_OUTCOMES or code in (NotStarted.code, TaskUnknown.code)
        return has_enough and self._recent_failures > self._failure_share() and self._may_eject()

    def _eject(self, run_ms: float) -> None:
        self.is_ejected = True
        self._successes = 0
        self._is_probing = False
        self._probe_after_ms = PROBE_AFTER_MS
        self._probe_at_ms = self._clock.now() + self._probe_after_ms
        share = round(self._recent_failures, 3)
        self._decisions.record(
            WORKER_EJECTED,
            self._subject,
            failure_share=share,
            lateness=round(self.slowness.lateness, 1),
            last_run_ms=round(run_ms, 1),
        )
        self.on_change()

    def _handle_probe(self, ok: bool) -> None:
        if not ok:
            self._successes = 0
            self._probe_after_ms = min(MAX_PROBE_AFTER_MS, self._probe_after_ms * 2)
            self._probe_at_ms = self._clock.now() + self._probe_after_ms
            return
        self._successes += 1
        self._probe_at_ms = self._clock.now()
        if self._successes >= PROBES_TO_RESTORE:
            self._restore()
            self._decisions.record(WORKER_RESTORED, self._subject, probes=self._successes)

    def _restore(self) -> None:
        was_ejected = self.is_ejected
        self.is_ejected = False
        self._recent_failures = 0.0
        self.slowness.reset()
        if was_ejected:
            self.on_change()
