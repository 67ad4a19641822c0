"""Stop runs on the minion, repeating each stop until the minion has answered."""

import logging
from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

from geraniumspool.contracts import Clock, RunKey
from geraniumspool.errors import Fenced, MinionReplaced, MinionSilent
from geraniumspool.messages import Peer
from geraniumspool.minion_life import LEASE_EXPIRY_MARGIN_MS, IncarnationState
from geraniumspool.minion_session import MinionSession
from geraniumspool.run_ends import RunEnds
from geraniumspool.run_leases import (
    CLOCK_DRIFT,
    DISPATCHER_LEASE_MS,
    MINION_LEASE_MS,
    RUNS_OVER_MS,
)
from geraniumspool.run_table import Run, RunState, RunTable

_LOG = logging.getLogger(__name__)

# Delay before a stop call without an answer is repeated.
STOP_RETRY_MS = 20.0
# If a stop call has no answer after this time, a second one is sent beside it. A call takes 20 ms
# on a slow host and counts as lost after 120 ms, and a stop must reach its run within 50 ms.
STOP_HEDGE_MS = 25.0
# Largest number of stop calls in progress. Further stops wait here, where a run that ends meanwhile
# needs none, and not at the client, where the wait would count against the time limit of the call.
# A lost call blocks its place for 120 ms, so that fewer places would delay the others.
MAX_STOP_CALLS = 8
# Number of stop calls for an orphaned run without an answer, after which the run is stopped again
# only if a poll still lists it. The minion's lease is over by then.
MAX_ORPHAN_STOPS = 8
# The minion's lease is not renewed beyond this time after a stop on which dispatchers rely. A run
# that no stop reaches then ends before it is presumed over, by the faster one of two clocks.
# Longer than a lease, so that stops which take as long as they may do not shorten it much.
STOP_LEASE_MS = (
    RUNS_OVER_MS / (1 + CLOCK_DRIFT) - DISPATCHER_LEASE_MS - LEASE_EXPIRY_MARGIN_MS
) * (1 - CLOCK_DRIFT)

# Value of ``Run.stop_reason``: another dispatcher has ordered the task.
SUPERSEDED = "superseded"
# Stop reasons after which the dispatcher may be dead, or may presume after a fixed time that the
# runs are over.
_PRESUMED_OVER_REASONS = frozenset(
    {"asked", "not_wanted", "dispatcher_silent", "process_stops", SUPERSEDED}
)


class RunStops:
    """Stop runs, and determine whether runs with an unconfirmed start were ever started."""

    def __init__(
        self,
        clock: Clock,
        session: MinionSession,
        table: RunTable,
        ends: RunEnds,
        end_life: Callable[[IncarnationState, str], None],
    ):
        """Store the collaborators.

        :param end_life: called with a reason when another incarnation of the minion has answered a
            call
        """
        self._clock = clock
        self._session = session
        self._table = table
        self._ends = ends
        self._end_life = end_life
        self._slots = Semaphore(MAX_STOP_CALLS)

    def stop(self, run: Run, reason: str, successor: Peer | None = None) -> None:
        """Stop a run, or refuse it if its start was not sent.

        Repeated calls only note whether dispatchers rely on the stop.

        :param successor: the dispatcher that runs the task instead, for the log
        """
        is_unsent = run.state is RunState.STARTING and not run.sent_ms
        if run.state is RunState.QUEUED or is_unsent:
            self._ends.refuse(run, reason)
            return
        if reason in _PRESUMED_OVER_REASONS and not run.counted_stop_ms:
            run.counted_stop_ms = self._clock.now()
        if run.is_stopping:
            return
        run.is_stopping = True
        run.stop_reason = reason
        run.stop_requested_ms = self._clock.now()
        _LOG.info(
            "stop requested",
            extra={
                "fields": (
                    ("task", run.key.task),
                    ("attempt", run.key.attempt),
                    ("reason", reason),
                    ("dispatcher", run.dispatcher.address),
                    ("number", run.order.number),
                    ("successor", successor.address if successor else ""),
                    ("state", run.state.value),
                    ("age_ms", round(run.stop_requested_ms - run.arrived_ms, 1)),
                )
            },
        )
        if run.state is RunState.RUNNING:
            run.state = RunState.STOPPING
            run.progressed_ms = self._clock.now()
        self.resend(run)

    def resend(self, run: Run) -> None:
        """Send a stop to the current minion incarnation, which may not know an earlier one."""
        run.is_stop_answered = False
        incarnation = self._session.incarnation
        eventlet.spawn_n(self._stop_until_answered, incarnation, run)
        self._clock.after(STOP_HEDGE_MS, lambda: self._hedge(incarnation, run))

    def stop_all(self, reason: str) -> None:
        """Stop all runs."""
        for run in self._table:
            self.stop(run, reason)

    def stop_orphan(self, key: RunKey) -> None:
        """Stop a run that this process has not ordered, such as one of an earlier process."""
        incarnation = self._session.incarnation
        if incarnation is None or key in incarnation.orphans:
            return
        incarnation.orphans.add(key)
        _LOG.warning(
            "stopping orphaned run",
            extra={"fields": (("task", key.task), ("attempt", key.attempt))},
        )
        eventlet.spawn_n(self._stop_orphan, incarnation, key)

    def find_lease_end(self, now: float) -> float:
        """Return up to when the minion's lease may be renewed, by the clock of this process.

        The lease covers all runs, so all of them end if a stop does not reach its run until then.
        """
        until_ms = now + MINION_LEASE_MS
        for run in self._table:
            if run.counted_stop_ms:
                until_ms = min(until_ms, run.counted_stop_ms + STOP_LEASE_MS)
        return until_ms

    def _hedge(self, incarnation: IncarnationState | None, run: Run) -> None:
        """Send a second stop if the first has no answer yet, as its call may have been lost.

        While all calls are in use, most stops are not lost but wait, and second ones would only
        lengthen the queue.
        """
        if not self._needs_stop(incarnation, run):
            return
        if self._slots.locked():
            self._clock.after(STOP_HEDGE_MS, lambda: self._hedge(incarnation, run))
            return
        eventlet.spawn_n(self._stop_until_answered, incarnation, run)

    def _needs_stop(self, incarnation: IncarnationState | None, run: Run) -> bool:
        """Return whether a run is active on an incarnation that has not answered a stop for it."""
        return (
            incarnation is not None
            and self._session.incarnation is incarnation
            and self._table.find(run.key) is run
            and not run.is_stop_answered
        )

    def _stop_until_answered(self, incarnation: IncarnationState | None, run: Run) -> None:
        session = self._session
        while self._needs_stop(incarnation, run):
            try:
                with self._slots:
                    if not self._needs_stop(incarnation, run):
                        return
                    fence = session.fencing_token
                    session.control.stop(incarnation.report, run.key, fence)
            except MinionSilent:
                self._clock.sleep(STOP_RETRY_MS)
                continue
            except MinionReplaced:
                self._end_life(incarnation, "minion_replaced")
                return
            except Fenced:
                session.raise_fencing_token(fence)
                continue
            if not self._needs_stop(incarnation, run):
                return
            run.is_stop_answered = True
            if run.state in (RunState.STARTING, RunState.DOUBTFUL):
                self._settle_unconfirmed(incarnation, run)
            return

    def _settle_unconfirmed(self, incarnation: IncarnationState, run: Run) -> None:
        """Finish or keep a run that was stopped before its start was confirmed."""
        sent_ms = self._clock.now()
        try:
            status = self._session.poll_now(incarnation)
        except (MinionSilent, MinionReplaced, Fenced) as error:
            # The stop has still taken effect. The next poll shows whether the run is active, and
            # otherwise the lease ends it.
            _LOG.info("poll after stop failed: %s", error.code)
            run.confirmed_ms = sent_ms
            return
        run.confirmed_ms = sent_ms
        is_listed = run.key in status.running or any(end.key == run.key for end in status.finished)
        if is_listed or status.is_partial:
            run.state = RunState.STOPPING
            return
        # The minion no longer starts a run under this attempt number, so the listed end is final
        # even if it belongs to an earlier run with the number.
        if not self._ends.finish_with_early_end(run):
            self._ends.refuse(run, run.stop_reason)

    def _stop_orphan(self, incarnation: IncarnationState, key: RunKey) -> None:
        session = self._session
        for _ in range(MAX_ORPHAN_STOPS):
            if session.incarnation is not incarnation:
                break
            fence = session.fencing_token
            try:
                with self._slots:
                    session.control.stop(incarnation.report, key, fence)
                break
            except MinionReplaced:
                # The next poll finds the other incarnation.
                break
            except Fenced:
                session.raise_fencing_token(fence)
            except MinionSilent as error:
                _LOG.info("stop of orphaned run failed: %s", error.code)
                self._clock.sleep(STOP_RETRY_MS)
        self._clock.sleep(STOP_RETRY_MS)
        incarnation.orphans.discard(key)
