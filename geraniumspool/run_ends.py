"""Process the ends of runs: report them, and learn from them how healthy and fast the minion is."""

import logging

from geraniumspool import run_progress
from geraniumspool.contracts import Clock, Counters, FinishedRun
from geraniumspool.minion_trust import CircuitBreaker, RunPace
from geraniumspool.run_messages import (
    RUN_DONE,
    RUN_FAILED,
    RUN_LAPSED,
    RUN_REFUSED,
    RUN_STOPPED,
    TASK_ACTIVE,
    RunEnd,
)
from geraniumspool.run_table import (
    KnownDispatcher,
    Run,
    RunState,
    RunTable,
    describe_order,
    job_id_of,
)
from geraniumspool.worker_reporter import WorkerReporter

_LOG = logging.getLogger(__name__)

# Weight of one progress observation of an overdue run. It is small because each poll yields one.
PROGRESS_WEIGHT = 0.05


class RunEnds:
    """Remove ended runs from the table, report them and update the minion's health and speed.

    :ivar breaker: ejects the minion from service while its runs fail too often
    :ivar pace: ratio of actual to expected run times on the minion
    """

    def __init__(self, clock: Clock, counters: Counters, table: RunTable, reporter: WorkerReporter):
        """Start with a minion that counts as healthy and of usual speed."""
        self._clock = clock
        self._counters = counters
        self._table = table
        self._reporter = reporter
        self.breaker = CircuitBreaker(clock)
        self.pace = RunPace(clock)

    def reset_minion_health(self) -> None:
        """Reset health and speed because a new incarnation of the minion is served."""
        self.breaker = CircuitBreaker(self._clock)
        self.pace = RunPace(self._clock)

    def finish(self, run: Run, end: RunEnd) -> None:
        """Remove a run and report its outcome to its dispatcher.

        A run that has already been removed is ignored.
        """
        if self._table.find(run.key) is not run:
            return
        self._table.remove(run)
        self._counters.add("runs_ended", how=end.how)
        stop_ms = self._clock.now() - run.stop_requested_ms if run.is_stopping else 0.0
        if run.is_stopping:
            self._counters.observe("stop_ms", stop_ms, how=end.how)
        dispatcher = self._table.get_dispatcher(run.dispatcher)
        dispatcher.record_end(end)
        _LOG.info(
            "run ended",
            extra={
                "fields": (
                    ("task", run.key.task),
                    ("attempt", run.key.attempt),
                    ("how", end.how),
                    ("reason", end.reason),
                    ("dispatcher", run.dispatcher.address),
                    *describe_order(run.order, run.echo_age_ms),
                    ("ran_ms", end.ran_ms),
                    ("stop_ms", round(stop_ms, 1)),
                    ("waited_ms", round((run.sent_ms or self._clock.now()) - run.arrived_ms, 1)),
                )
            },
        )
        self._reporter.schedule_end_report(dispatcher)
        for blocked in self._table.pop_blocked(run.order.task):
            self.refuse_order(blocked.dispatcher, blocked.number, TASK_ACTIVE)
        self._reporter.schedule_change_reports()

    def refuse_order(self, dispatcher: KnownDispatcher, number: int, reason: str) -> None:
        """Report that an order without a run is refused."""
        self._counters.add("runs_refused", reason=reason)
        dispatcher.record_end(RunEnd(number, RUN_REFUSED, reason=reason))
        self._reporter.schedule_end_report(dispatcher)

    def refuse(self, run: Run, reason: str) -> None:
        """Finish a run that was never started and never will be."""
        self.finish(run, RunEnd(run.order.number, RUN_REFUSED, reason=reason))

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all queued runs."""
        for run in self._table.queued_runs():
            self.refuse(run, reason)

    def lapse(self, run: Run, reason: str) -> None:
        """Finish a run that the minion no longer holds."""
        may_have_started = run.state is not RunState.QUEUED
        how = RUN_LAPSED if may_have_started else RUN_REFUSED
        self.finish(run, RunEnd(run.order.number, how, reason=reason))

    def handle_listed_end(self, end: FinishedRun) -> None:
        """Handle an ended run that the minion lists."""
        run = self._table.find(end.key)
        if run is None or run.state is RunState.QUEUED:
            return
        if run.state is RunState.STARTING:
            run.early_end = end
            return
        self._finish_listed(run, end)

    def finish_with_early_end(self, run: Run) -> bool:
        """Finish a run if its end was listed before its start call was answered.

        :returns: whether such an end was listed
        """
        if run.early_end is None:
            return False
        self._finish_listed(run, run.early_end)
        return True

    def _finish_listed(self, run: Run, end: FinishedRun) -> None:
        now = self._clock.now()
        ran_ms = now - (run.confirmed_ms or run.sent_ms)
        self._counters.observe("run_ms", ran_ms, how=end.how)
        if end.how == RUN_DONE:
            self.pace.record(run.order.expected_ms, ran_ms)
        if end.how in (RUN_DONE, RUN_FAILED):
            self.record_outcome(run, end.how == RUN_DONE)
        reason = run.stop_reason if end.how in (RUN_STOPPED, RUN_LAPSED) else ""
        self.finish(run, RunEnd(run.order.number, end.how, round(ran_ms, 1), reason))

    def record_outcome(self, run: Run, ok: bool) -> None:
        """Record whether a run succeeded, and eject or restore the minion accordingly."""
        job = job_id_of(run.key.task)
        if self.breaker.record(job, ok):
            self._reporter.schedule_change_reports()
            message = "minion ejected" if self.breaker.is_ejected else "minion restored"
            _LOG.warning(message, extra={"fields": (("task", run.key.task),)})
            self._counters.add("minion_judged", ejected=str(self.breaker.is_ejected).lower())

    def record_progress(self, run: Run, now: float) -> None:
        """Update the minion's pace from a run that has exceeded its expected time."""
        if run.state is RunState.RUNNING and run.age_ms(now) >= run.order.expected_ms:
            predicted = run_progress.predict_total(run, now)
            self.pace.record(run.order.expected_ms, predicted, PROGRESS_WEIGHT)
