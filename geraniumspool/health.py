"""Health of a minion: ejection of one that fails everything or is slow, and probing."""

from collections.abc import Callable

from geraniumspool.contracts import Clock
from geraniumspool.decisions import (
    WORKER_EJECTED,
    WORKER_PROBED,
    WORKER_RESTORED,
    DecisionLog,
)
from geraniumspool.errors import NotStarted, TaskUnknown
from geraniumspool.pace import PROBE_HAZARD, Pace

RECENT_WEIGHT = 0.2
MIN_OUTCOMES = 5
FAILURE_SHARE = 0.5
PROBE_AFTER_MS = 1_000.0
MAX_PROBE_AFTER_MS = 30_000.0
PROBES_TO_RESTORE = 3


def _always() -> bool:
    return True


class Health:
    """Judges one minion by the outcomes of the tasks it ran.

    A minion whose recent failures exceed a share is ejected, and so is one
    that is slow. An ejected one is probed with one task at a time, at growing
    intervals, and restored after a few successes in a row, none of them late.
    """

    def __init__(
        self,
        clock: Clock,
        decisions: DecisionLog,
        subject: str,
        may_eject: Callable[[], bool] = _always,
        failure_share: Callable[[], float] = lambda: FAILURE_SHARE,
        pace: Pace | None = None,
    ):
        """Start healthy.

        :param subject: what decisions are recorded on, the agent's address
        :param may_eject: whether the cap on ejected workers leaves room
        :param failure_share: share of failures above which to eject, 0..1; 1 for never
        :param pace: judges whether the minion is slow
        """
        self._clock = clock
        self._decisions = decisions
        self._subject = subject
        self._may_eject = may_eject
        self._failure_share = failure_share
        self.pace = pace or Pace()
        self._failures = 0.0
        self._outcomes = 0
        self._successes = 0
        self._is_probing = False
        self._probe_at = 0.0
        self._probe_after = PROBE_AFTER_MS
        self.is_ejected = False
        self.on_change: Callable[[], None] = lambda: None

    @property
    def is_probe_due(self) -> bool:
        """Whether an ejected minion may be given a task to be judged by."""
        return self.is_ejected and self._clock.now() >= self._probe_at

    def admits(self, busy: int) -> bool:
        """Return whether another task may be taken.

        :param busy: tasks that run or wait here now
        """
        if not self.is_ejected:
            return True
        if busy > 0 or not self.is_probe_due:
            return False
        self._is_probing = True
        self._decisions.record(WORKER_PROBED, self._subject, successes=self._successes)
        return True

    def note(self, ok: bool, run_ms: float, code: str) -> None:
        """Take the outcome of one task.

        :param run_ms: time the minion took
        :param code: reason code of a failure
        """
        self._outcomes += 1
        failed = 0.0 if ok else 1.0
        self._failures += RECENT_WEIGHT * (failed - self._failures)
        if self.is_ejected:
            # Tasks from before the ejection are no probes.
            if self._is_probing:
                self._is_probing = False
                self._judge_probe(ok)
        elif self._is_bad(code):
            self._eject(run_ms)

    def note_late(self) -> None:
        """Take that running tasks go on and on: eject the minion if it is slow."""
        if self.is_ejected or not self.pace.is_slow:
            return
        if self._failure_share() < 1 and self._may_eject():
            self._eject(0.0)

    def note_end(self, estimate_ms: float, run_ms: float) -> None:
        """Take that a task ended with a result.

        :param estimate_ms: its estimated run time
        """
        is_late = self.pace.hazard(estimate_ms, run_ms) > PROBE_HAZARD
        self.note(not (self.is_ejected and is_late), run_ms, "")
        if not self.is_ejected:
            self.pace.end(estimate_ms, run_ms)

    def reset(self) -> None:
        """Forget everything, as when another minion takes the place."""
        self._failures = 0.0
        self._outcomes = 0
        self._restore()

    def _is_bad(self, code: str) -> bool:
        enough = self._outcomes >= MIN_OUTCOMES or code in (NotStarted.code, TaskUnknown.code)
        return enough and self._failures > self._failure_share() and self._may_eject()

    def _eject(self, run_ms: float) -> None:
        self.is_ejected = True
        self._successes = 0
        self._is_probing = False
        self._probe_after = PROBE_AFTER_MS
        self._probe_at = self._clock.now() + self._probe_after
        share = round(self._failures, 3)
        self._decisions.record(
            WORKER_EJECTED,
            self._subject,
            failure_share=share,
            lateness=round(self.pace.lateness, 1),
            last_run_ms=round(run_ms, 1),
        )
        self.on_change()

    def _judge_probe(self, ok: bool) -> None:
        if not ok:
            self._successes = 0
            self._probe_after = min(MAX_PROBE_AFTER_MS, self._probe_after * 2)
            self._probe_at = self._clock.now() + self._probe_after
            return
        self._successes += 1
        self._probe_at = self._clock.now()
        if self._successes >= PROBES_TO_RESTORE:
            self._restore()
            self._decisions.record(WORKER_RESTORED, self._subject, probes=self._successes)

    def _restore(self) -> None:
        was_ejected = self.is_ejected
        self.is_ejected = False
        self._failures = 0.0
        self.pace.forget()
        if was_ejected:
            self.on_change()
