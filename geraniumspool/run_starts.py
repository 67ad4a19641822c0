"""Start queued runs on the minion while capacity is available."""

import logging
from collections.abc import Callable

import eventlet

from geraniumspool.contracts import Clock, Counters, RunKey, StartOutcome
from geraniumspool.errors import Fenced, MinionDown, MinionReplaced, MinionSilent
from geraniumspool.minion_life import IncarnationState
from geraniumspool.minion_session import MinionSession
from geraniumspool.run_ends import RunEnds
from geraniumspool.run_stops import RunStops
from geraniumspool.run_table import Run, RunState, RunTable
from geraniumspool.worker_reporter import WorkerReporter

_LOG = logging.getLogger(__name__)

MAX_START_CALLS = 8

_REFUSAL_REASONS = {
    StartOutcome.FULL: "minion_full",
    StartOutcome.UNHEALTHY: "minion_unhealthy",
    StartOutcome.REJECTED: "minion_rejected",
    StartOutcome.LATE: "start_late",
    StartOutcome.OLD: "attempt_old",
    StartOutcome.FENCED: "fenced",
}


class RunStarts:
    """Start queued runs, and determine the outcome of start calls that got no answer."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        session: MinionSession,
        table: RunTable,
        reporter: WorkerReporter,
        ends: RunEnds,
        stops: RunStops,
        end_incarnation: Callable[[IncarnationState, str], None],
    ):
        """Store the collaborators.

        :param end_incarnation: called with a reason when another incarnation of the minion has
            answered a call
        """
        self._clock = clock
        self._counters = counters
        self._session = session
        self._table = table
        self._reporter = reporter
        self._ends = ends
        self._stops = stops
        self._end_incarnation = end_incarnation

    def start_queued(self) -> None:
        """Start queued runs, the most urgent first, as far as the free capacity allows.

        If the most urgent run does not fit, less urgent ones wait as well.
        """
        incarnation = self._session.incarnation
        if incarnation is None:
            return
        for run in self._table.queued_runs():
            if self._refuse_unleased(run):
                continue
            free = incarnation.report.resources.subtract(self._table.used_capacity)
            if not free.fits(run.order.need):
                break
            self._table.reserve(run)
            eventlet.spawn_n(self._start, incarnation, run)
        self._reporter.schedule_change_reports()

    def _refuse_unleased(self, run: Run) -> bool:
        """Refuse a run whose dispatcher has no valid lease; return whether it was refused.

        The dispatcher may already have started the run elsewhere. If this process was suspended for
        a while, this code can run before the expired lease has been enforced.
        """
        if self._table.get_dispatcher(run.dispatcher).lease_until_ms > self._clock.now():
            return False
        self._ends.refuse(run, "dispatcher_silent")
        return True

    def record_started(self, run: Run) -> None:
        """Record that the minion has started a run."""
        now = self._clock.now()
        run.confirmed_ms = now
        run.progressed_ms = now
        if run.state in (RunState.STARTING, RunState.DOUBTFUL):
            run.state = RunState.STOPPING if run.is_stopping else RunState.RUNNING
            self._counters.add("runs_started")

    def _start(self, incarnation: IncarnationState, run: Run) -> None:
        session = self._session
        for _ in range(MAX_START_CALLS):
            if self._table.find(run.key) is not run:
                return
            if session.incarnation is not incarnation:
                self._ends.refuse(run, "minion_replaced")
                return
            if self._refuse_unleased(run):
                return
            now = self._clock.now()
            run.sent_ms = now
            fence = run.fencing_token = session.fencing_token
            try:
                answer = session.control.start(
                    incarnation.report,
                    run.key,
                    run.order.payload,
                    incarnation.grant_lease(now, self._stops.find_lease_end(now)),
                    fence,
                )
            except MinionDown:
                self._ends.refuse(run, "minion_down")
                return
            except MinionSilent:
                self._resolve_unanswered(incarnation, run)
                return
            except MinionReplaced:
                self._end_incarnation(incarnation, "minion_replaced")
                self._ends.refuse(run, "minion_replaced")
                return
            incarnation.record_answer(answer.clock_ms, now, self._clock.now())
            if self._table.find(run.key) is not run:
                return
            if answer.outcome is not StartOutcome.OLD:
                break
            if run.is_stopping:
                return
            # A run ordered by an earlier dispatcher of the same job has used this attempt number.
            run.early_end = None
            self._table.rekey(run, RunKey(run.key.task, run.key.attempt + 1))
        if answer.outcome is StartOutcome.FENCED:
            session.raise_fencing_token(fence)
        self._handle_outcome(run, answer.outcome)

    def _handle_outcome(self, run: Run, outcome: StartOutcome) -> None:
        if outcome is StartOutcome.STARTED:
            if not self._ends.finish_with_early_end(run):
                self.record_started(run)
            return
        if outcome is StartOutcome.UNHEALTHY:
            self._ends.record_outcome(run, False)
        self._ends.refuse(run, _REFUSAL_REASONS[outcome])

    def _resolve_unanswered(self, incarnation: IncarnationState, run: Run) -> None:
        """Determine whether a run has started although its start call got no answer."""
        if self._table.find(run.key) is not run:
            return
        self._counters.add("starts_unanswered")
        if run.state is RunState.STARTING:
            run.state = RunState.DOUBTFUL
        _LOG.warning(
            "start call got no answer",
            extra={"fields": (("task", run.key.task), ("attempt", run.key.attempt))},
        )
        if not run.is_stopping and self._is_running(incarnation, run):
            self.record_started(run)
            return
        # An end that was listed during the call settles the run. Even if it belongs to an earlier
        # run with the same attempt number, the minion no longer starts a run under that number.
        if self._ends.finish_with_early_end(run):
            return
        self._stops.stop(run, "unanswered")

    def _is_running(self, incarnation: IncarnationState, run: Run) -> bool:
        """Return whether the minion currently lists a run as running.

        If only the answer to the start call was lost, the run continues, so that the work already
        done is not repeated.
        """
        try:
            status = self._session.poll_now(incarnation)
        except (MinionSilent, MinionReplaced, Fenced) as error:
            _LOG.info("poll after unanswered start failed: %s", error.code)
            return False
        return run.key in status.running
