"""Poll the minion: renew its lease, track its active runs and collect ended ones."""

from eventlet.event import Event

from geraniumspool.contracts import Clock, MinionStatus
from geraniumspool.errors import Fenced, MinionDown, MinionReplaced, MinionSilent
from geraniumspool.minion_life import IncarnationState
from geraniumspool.minion_lives import MinionIncarnations
from geraniumspool.minion_session import MinionSession
from geraniumspool.run_ends import RunEnds
from geraniumspool.run_messages import RUN_LAPSED, RunEnd
from geraniumspool.run_table import RunState, RunTable
from geraniumspool.worker_reporter import WorkerReporter

# Longest wait of a poll for an ended run. Three polls fit into the minion's lease, each with up to
# 80 ms for its answer.
POLL_WAIT_MS = 120.0
# Longest wait of a poll while there are no runs. Such polls need not renew the lease in time; they
# only show that the minion is alive.
IDLE_POLL_WAIT_MS = 200.0
# Longest wait of a poll of a minion that has left: short, so that the end of its lease is noticed
# early.
DEPARTED_POLL_WAIT_MS = 20.0
# Delay after a failed poll.
POLL_RETRY_MS = 5.0
# Number of consecutive polls with refused connections after which the minion's process counts as
# ended: when the process ends, its listener and all its runs end with it. A minion that leaves may
# close its listener earlier, so draining minions are excluded.
DOWN_POLLS = 3
# Time without an answer after which the minion counts as silent: two unanswered polls.
SILENT_MS = 450.0
# Polls renew the lease only if the minion has answered within this time, which allows for one lost
# poll. Runs are given up only after every lease that may have reached the minion has expired, so
# renewing it while the minion does not answer would delay that.
RENEW_WITHIN_MS = 250.0
# Poll interval while runs of an earlier executor are being stopped.
ORPHAN_POLL_INTERVAL_MS = 30.0


class MinionPoller:
    """Poll the minion in a loop."""

    def __init__(
        self,
        clock: Clock,
        session: MinionSession,
        table: RunTable,
        reporter: WorkerReporter,
        ends: RunEnds,
        incarnations: MinionIncarnations,
    ):
        """Initialize; polling begins once an incarnation of the minion has been adopted."""
        self._clock = clock
        self._session = session
        self._table = table
        self._reporter = reporter
        self._ends = ends
        self._arrived = Event()
        self._lives = incarnations
        self._stops = incarnations.stops
        self._starts = incarnations.starts
        incarnations.on_adopted = self._handle_first_status

    @property
    def is_responding(self) -> bool:
        """Whether the minion has answered a call recently."""
        incarnation = self._session.incarnation
        return incarnation is not None and self._clock.now() - incarnation.answered_ms < SILENT_MS

    def run_poll_loop(self) -> None:
        """Poll the minion forever: renew its lease and collect ended runs."""
        while True:
            incarnation = self._session.incarnation
            if incarnation is None:
                self._arrived.wait()
                self._arrived = Event()
                continue
            if not self._poll(incarnation):
                self._clock.sleep(POLL_RETRY_MS)

    def _poll(self, incarnation: IncarnationState) -> bool:
        """Poll the minion once; return whether it answered."""
        session = self._session
        now = self._clock.now()
        is_responsive = now - incarnation.answered_ms <= RENEW_WITHIN_MS
        lease = None
        is_renewing = incarnation.is_free_of_orphans and is_responsive and not incarnation.has_left
        until_ms = self._stops.find_lease_end(now)
        if is_renewing and until_ms > now:
            lease = incarnation.grant_lease(now, until_ms)
        wait_ms = (
            self._choose_wait(incarnation)
            if incarnation.is_free_of_orphans and is_responsive
            else 0.0
        )
        fence = session.fencing_token
        try:
            status = session.control.poll(
                incarnation.report, fence, incarnation.acknowledged_end, lease, wait_ms
            )
        except MinionSilent as error:
            self._handle_failed_poll(incarnation, error)
            return False
        except MinionReplaced as error:
            self._lives.handle_replaced(incarnation, error.started_unix_ms)
            return False
        except Fenced:
            session.raise_fencing_token(fence)
            return False
        incarnation.refused_polls = 0
        if session.incarnation is incarnation:
            self._handle_status(incarnation, status, now)
            if not incarnation.is_free_of_orphans:
                self._clock.sleep(ORPHAN_POLL_INTERVAL_MS)
            self._lives.end_departed(incarnation)
        return True

    def _choose_wait(self, incarnation: IncarnationState) -> float:
        if incarnation.has_left:
            return DEPARTED_POLL_WAIT_MS
        return POLL_WAIT_MS if len(self._table) else IDLE_POLL_WAIT_MS

    def _handle_failed_poll(self, incarnation: IncarnationState, error: MinionSilent) -> None:
        """Handle a poll that was refused or not answered."""
        is_refused = isinstance(error, MinionDown)
        incarnation.refused_polls = incarnation.refused_polls + 1 if is_refused else 0
        if incarnation.has_left:
            if self._clock.now() >= incarnation.lease_expires_ms():
                self._lives.end_incarnation(incarnation, "minion_left")
        elif incarnation.refused_polls >= DOWN_POLLS and not incarnation.report.draining:
            self._lives.end_incarnation(incarnation, "minion_down")
        elif self._clock.now() - incarnation.answered_ms > SILENT_MS:
            self._lapse_unleased(incarnation)

    def _handle_first_status(
        self, incarnation: IncarnationState, status: MinionStatus, sent_ms: float
    ) -> None:
        """Handle the first poll answer of an incarnation just adopted, and start polling."""
        if not self._arrived.ready():
            self._arrived.send()
        self._handle_status(incarnation, status, sent_ms)

    def _handle_status(
        self, incarnation: IncarnationState, status: MinionStatus, sent_ms: float
    ) -> None:
        incarnation.record_answer(status.clock_ms, sent_ms, self._clock.now())
        for end in sorted(status.finished):
            if end.sequence > incarnation.acknowledged_end:
                incarnation.acknowledged_end = end.sequence
                self._ends.handle_listed_end(end)
        self._update_running(status, sent_ms)
        if not incarnation.is_free_of_orphans:
            self._clear_if_known(incarnation, status)
        self._starts.start_queued()

    def _update_running(self, status: MinionStatus, sent_ms: float) -> None:
        now = self._clock.now()
        for key, progress in status.running.items():
            run = self._table.find(key)
            if run is None:
                self._stops.stop_orphan(key)
                continue
            if run.state in (RunState.STARTING, RunState.DOUBTFUL):
                self._starts.record_started(run)
            if progress > run.progress:
                run.progress = progress
                run.progressed_ms = now
            self._ends.record_progress(run, now)
        if not status.is_partial:
            self._lapse_missing(status, sent_ms)

    def _lapse_missing(self, status: MinionStatus, sent_ms: float) -> None:
        """Finish confirmed runs that the minion lists neither as active nor as ended.

        Called only for views that list all ends.
        """
        for run in self._table:
            is_confirmed = run.confirmed_ms and run.confirmed_ms < sent_ms
            if is_confirmed and run.key not in status.running and run.state is not RunState.QUEUED:
                self._ends.finish(run, RunEnd(run.order.number, RUN_LAPSED, reason="vanished"))

    def _clear_if_known(self, incarnation: IncarnationState, status: MinionStatus) -> None:
        """Begin to accept runs once no run of an earlier executor is active on the minion."""
        if any(self._table.find(key) is None for key in status.running):
            return
        incarnation.is_free_of_orphans = True
        self._reporter.report_to_all()

    def _lapse_unleased(self, incarnation: IncarnationState) -> None:
        """Finish the runs of a minion that does not answer, once its lease must have expired."""
        if (
            self._session.incarnation is not incarnation
            or self._clock.now() < incarnation.lease_expires_ms()
        ):
            return
        for run in self._table:
            if run.state is not RunState.QUEUED:
                self._ends.lapse(run, "minion_silent")
        self._ends.refuse_waiting("minion_silent")
