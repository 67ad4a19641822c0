"""Track which incarnation of a minion is served, and settle the runs of the previous one."""

import logging
import math
from collections.abc import Callable

import eventlet

from geraniumspool.contracts import Clock, Counters, MinionIncarnation, MinionStatus
from geraniumspool.errors import (
    DispatchError,
    Fenced,
    MinionDown,
    MinionReplaced,
    MinionSilent,
)
from geraniumspool.minion_life import IncarnationState
from geraniumspool.minion_session import MinionSession
from geraniumspool.run_ends import RunEnds
from geraniumspool.run_starts import RunStarts
from geraniumspool.run_stops import RunStops
from geraniumspool.run_table import RunState, RunTable
from geraniumspool.worker_reporter import WorkerReporter

_LOG = logging.getLogger(__name__)

# Interval at which an incarnation that is being replaced is checked for its end.
END_CHECK_INTERVAL_MS = 10.0
# Tries to handle one report, each after the fencing token was raised or another incarnation was
# adopted meanwhile. A program that refuses every token is given up then; each try raises the token
# by a minute, so a real minion accepts it sooner unless its clock was set back by hours.
MAX_REPORT_TRIES = 100
# Dispatchers are told at once of a departure that has moved by this: by less, the predicted ends of
# runs differ anyway.
DEPARTURE_SHIFT_MS = 100.0


class MinionIncarnations:
    """Handle reports of a minion and the change from one incarnation to the next.

    :ivar is_earlier_minion_over: whether the minion that an earlier executor process served is
        known to have ended. Otherwise it may have restarted under its name while that process
        called it, and may hold its runs for longer than the lease that was requested.
    :ivar on_incarnation: called in a new green task with each incarnation that is adopted and
        described, and again when it starts draining
    :ivar on_adopted: called with an adopted incarnation, its answer to a poll, and the time at
        which that poll was sent
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        session: MinionSession,
        table: RunTable,
        reporter: WorkerReporter,
        ends: RunEnds,
    ):
        """Initialize without a minion; one is adopted once it has reported itself."""
        self._clock = clock
        self._counters = counters
        self._session = session
        self._table = table
        self._reporter = reporter
        self._ends = ends
        self.stops = RunStops(clock, session, table, ends, self.end_incarnation)
        self.starts = RunStarts(
            clock, counters, session, table, reporter, ends, self.stops, self.end_incarnation
        )
        self.is_earlier_minion_over = False
        self.on_incarnation: Callable[[MinionIncarnation], None] = _ignore_life
        self.on_adopted: Callable[[IncarnationState, MinionStatus, float], None] = _ignore_view

    def handle_report(
        self, report: MinionIncarnation, is_stored: bool = True, departs_ms: float = math.inf
    ) -> None:
        """Handle a report in which a minion describes itself.

        A report of an unknown incarnation counts only once that incarnation has answered a call,
        because it may be a delayed report of one that has ended.

        :param is_stored: whether an earlier executor process has served that minion
        :param departs_ms: earliest clock time in ms at which a draining minion shuts down, infinite
            if it does not say
        """
        for _ in range(MAX_REPORT_TRIES):
            if self._try_report(report, is_stored, departs_ms):
                return
        fields = (*_life_fields(report), ("reason", "too_many_tries"))
        _LOG.warning("minion not adopted", extra={"fields": fields})

    def _try_report(self, report: MinionIncarnation, is_stored: bool, departs_ms: float) -> bool:
        """Handle a report as far as nothing changes meanwhile; return whether it is handled."""
        session = self._session
        incarnation = session.incarnation
        if incarnation is not None and report.is_same_incarnation(incarnation.report):
            # The name alone does not identify an incarnation. After a restart under the same name
            # the sequence begins at 1 again, and compared with that of the previous incarnation the
            # announcement of its departure would look outdated.
            if _is_contradictory(incarnation, report):
                self._ignore_contradictory(incarnation, report)
            elif report.sequence >= incarnation.report.sequence and not incarnation.has_left:
                self._update(incarnation, report, departs_ms)
            else:
                self._ignore_stale(incarnation, report)
            return True
        fence = session.fencing_token
        try:
            session.control.poll(report, fence, 0, None, 0.0)
            sent_ms = self._clock.now()
            min_fence = session.invalidate_earlier_calls()
            status = session.control.poll(report, min_fence, 0, None, 0.0)
        except (MinionReplaced, MinionSilent) as error:
            if is_stored:
                self._note_earlier_minion(error)
            _log_not_adopted(report, error)
            return True
        except Fenced:
            session.raise_fencing_token(fence)
            return False
        if session.incarnation is not incarnation:
            # Another report or a poll has changed the served incarnation in the meantime.
            return False
        if incarnation is not None and incarnation.report.address != report.address:
            # If both have the same address, the answer of the new incarnation proves that the old
            # one has ended. At another address it does not.
            self._await_end(incarnation)
            return False
        self._adopt(report, status, sent_ms, min_fence, departs_ms=departs_ms)
        return True

    def _note_earlier_minion(self, error: DispatchError) -> None:
        """Derive from a failed poll whether the minion of an earlier process here has ended."""
        has_other_name = isinstance(error, MinionReplaced) and not error.started_unix_ms
        if has_other_name or isinstance(error, MinionDown):
            self.is_earlier_minion_over = True

    def handle_departure(self, instance: str, started_unix_ms: int = 0) -> None:
        """Handle the departure of a minion, or its announcement that it is about to exit.

        Its runs are over once it reports them as ended, once another incarnation answers at its
        address, or once its lease must have expired. Refused connections do not prove it: the
        minion may close its listener before its runs end.

        The message may be delayed and refer to an earlier incarnation. If it does not say which one
        has left, it counts for the current one only if that one is draining. Polls detect the end
        of any other.

        :param instance: name of the minion
        :param started_unix_ms: Unix time at which the departed incarnation began, 0 if not known
        """
        incarnation = self._session.incarnation
        if incarnation is None or incarnation.report.instance != instance:
            return
        if started_unix_ms == incarnation.report.started_unix_ms or (
            not started_unix_ms and incarnation.report.draining
        ):
            self._retire(incarnation)
        else:
            _LOG.info(
                "departure of another minion incarnation ignored",
                extra={"fields": _life_fields(incarnation.report)},
            )

    def _retire(self, incarnation: IncarnationState) -> None:
        """Start nothing more on an incarnation that has left, and let its lease expire."""
        incarnation.has_left = True
        incarnation.report = incarnation.report._replace(draining=True)
        self._ends.refuse_waiting("minion_left")
        self.end_departed(incarnation)
        self._reporter.report_to_all()

    def _await_end(self, incarnation: IncarnationState) -> None:
        """Retire an incarnation, and wait until it has been given up.

        Needed before a successor at another address is adopted.
        """
        self._retire(incarnation)
        while self._session.incarnation is incarnation:
            self._clock.sleep(END_CHECK_INTERVAL_MS)

    def end_departed(self, incarnation: IncarnationState) -> None:
        """Give up an incarnation that has left once no known run is active there."""
        if incarnation.has_left and not len(self._table):
            self.end_incarnation(incarnation, "minion_left")

    def end_incarnation(self, incarnation: IncarnationState, reason: str) -> None:
        """Give up an incarnation and all its runs.

        Several calls may find it gone at the same time; only the first one has an effect.

        :param incarnation: the incarnation to give up
        :param reason: reason for logs, metrics and the outcomes of its runs
        """
        if self._session.incarnation is not incarnation:
            return
        self._log_lost(incarnation, reason)
        self._session.incarnation = None
        for run in self._table:
            self._ends.lapse(run, reason)
        self._reporter.report_to_all()

    def handle_replaced(self, incarnation: IncarnationState, started_unix_ms: int) -> None:
        """Handle an answer that shows that another incarnation has replaced this one.

        :param incarnation: the incarnation that was called
        :param started_unix_ms: when the new incarnation began, 0 if it has another name
        """
        if self._session.incarnation is not incarnation:
            return
        if not started_unix_ms:
            self.end_incarnation(incarnation, "minion_replaced")
            return
        session = self._session
        report = incarnation.report._replace(
            started_unix_ms=started_unix_ms, draining=False, sequence=0
        )
        sent_ms = self._clock.now()
        min_fence = session.invalidate_earlier_calls()
        try:
            status = session.control.poll(report, min_fence, 0, None, 0.0)
        except (MinionSilent, MinionReplaced, Fenced) as error:
            _log_not_adopted(report, error)
            return
        if session.incarnation is incarnation:
            self._adopt(report, status, sent_ms, min_fence, has_reported=False)

    def _ignore_stale(self, incarnation: IncarnationState, report: MinionIncarnation) -> None:
        """Count and log a report that is older than one already handled."""
        self._counters.add("minion_reports", outcome="overtaken")
        _LOG.info(
            "stale minion report ignored",
            extra={
                "fields": (
                    *_life_fields(report),
                    ("draining", report.draining),
                    ("sequence", report.sequence),
                    ("known_sequence", incarnation.report.sequence),
                )
            },
        )

    def _ignore_contradictory(
        self, incarnation: IncarnationState, report: MinionIncarnation
    ) -> None:
        self._counters.add("minion_reports", outcome="contradictory")
        fields = (
            *_life_fields(report),
            ("service", report.service),
            ("address", report.address),
            ("known_service", incarnation.report.service),
            ("known_address", incarnation.report.address),
        )
        _LOG.warning("contradictory minion report ignored", extra={"fields": fields})

    def _update(
        self, incarnation: IncarnationState, report: MinionIncarnation, departs_ms: float
    ) -> None:
        previous, incarnation.report = incarnation.report, report
        has_moved = _set_departure(incarnation, departs_ms)
        if not incarnation.has_reported:
            incarnation.has_reported = True
            self._reporter.report_to_all()
            eventlet.spawn_n(self.on_incarnation, report)
        if report.draining != previous.draining or report.resources != previous.resources:
            _LOG.info(
                "minion changed",
                extra={
                    "fields": (
                        *_life_fields(report),
                        ("draining", report.draining),
                        ("cpu", report.resources.cpu),
                        ("memory_mb", report.resources.memory_mb),
                        ("used_cpu", self._table.used_capacity.cpu),
                    )
                },
            )
            self._refit_queued(report)
            self._reporter.report_to_all()
        elif has_moved:
            self._reporter.report_to_all()

    def _refit_queued(self, report: MinionIncarnation) -> None:
        """Refuse queued runs that can no longer start here, and start those that fit now."""
        if report.draining:
            self._ends.refuse_waiting("minion_draining")
            # Otherwise, a process that replaces this one would start runs there until the next
            # report.
            eventlet.spawn_n(self.on_incarnation, report)
        for run in self._table.queued_runs():
            if not report.resources.fits(run.order.need):
                self._ends.refuse(run, "too_large")
        self.starts.start_queued()

    def _adopt(
        self,
        report: MinionIncarnation,
        status: MinionStatus,
        sent_ms: float,
        min_fence: int,
        has_reported: bool = True,
        departs_ms: float = math.inf,
    ) -> None:
        """Serve another incarnation from now on.

        :param report: its report, or one derived from the previous incarnation's
        :param status: its answer to a poll that invalidated all earlier calls
        :param sent_ms: when that poll was sent
        :param min_fence: fencing token of that poll; calls sent with it since then may also have
            started runs
        :param has_reported: whether ``report`` was sent by this incarnation
        :param departs_ms: as in :meth:`handle_report`
        """
        session = self._session
        now = self._clock.now()
        previous = session.incarnation
        incarnation = session.incarnation = IncarnationState(report, now, has_reported)
        _set_departure(incarnation, departs_ms)
        _LOG.info(
            "minion adopted",
            extra={
                "fields": (
                    *_life_fields(report),
                    ("sequence", report.sequence),
                    ("running", len(status.running)),
                    ("fence", session.fencing_token),
                )
            },
        )
        self._ends.reset_minion_health()
        if previous is not None:
            self._transfer_runs(previous, incarnation, status, min_fence)
        self.on_adopted(incarnation, status, sent_ms)
        self._reporter.report_to_all()
        if has_reported:
            eventlet.spawn_n(self.on_incarnation, report)

    def _transfer_runs(
        self,
        previous: IncarnationState,
        incarnation: IncarnationState,
        status: MinionStatus,
        min_fence: int,
    ) -> None:
        """Give up the runs of an incarnation that has ended, except those that its successor holds.

        A run reported as lost while it is still active would be started twice at the same time.
        """
        self._log_lost(previous, "minion_replaced")
        if previous.report.instance == incarnation.report.instance:
            incarnation.assume_longest_lease(self._clock.now())
        listed_keys = status.running.keys() | {end.key for end in status.finished}
        for run in self._table:
            # The outcome of a start sent since then follows from its answer or from the next poll.
            may_run = run.key in listed_keys or run.fencing_token >= min_fence
            if run.state is RunState.QUEUED or not may_run:
                self._ends.lapse(run, "minion_replaced")
                continue
            run.early_end = None
            if run.is_stopping:
                self.stops.resend(run)

    def _log_lost(self, incarnation: IncarnationState, reason: str) -> None:
        fields = (*_life_fields(incarnation.report), ("reason", reason))
        _LOG.warning("minion lost", extra={"fields": fields})
        self._counters.add("minion_lives_ended", reason=reason)


def _is_contradictory(incarnation: IncarnationState, report: MinionIncarnation) -> bool:
    """Return whether a report gives an incarnation another service or address than it has.

    Neither changes while a minion runs, so that the report is from another writer. Until the
    incarnation has reported, both are those of the incarnation before it.
    """
    known = incarnation.report
    is_same = (report.service, report.address) == (known.service, known.address)
    return incarnation.has_reported and not is_same


def _set_departure(incarnation: IncarnationState, departs_ms: float) -> bool:
    """Set when an incarnation shuts down; return whether dispatchers need to know at once.

    The latest report counts, also if it names no time: operators may cancel a shutdown.
    """
    previous_ms = incarnation.departs_ms
    incarnation.departs_ms = departs_ms if incarnation.report.draining else math.inf
    if incarnation.departs_ms == previous_ms:
        return False
    return abs(incarnation.departs_ms - previous_ms) >= DEPARTURE_SHIFT_MS


def _log_not_adopted(report: MinionIncarnation, error: DispatchError) -> None:
    fields = (*_life_fields(report), ("reason", error.code))
    _LOG.info("minion not adopted", extra={"fields": fields})


def _life_fields(report: MinionIncarnation) -> tuple[tuple[str, str | int], ...]:
    """Return the log fields that identify an incarnation of a minion."""
    return (("instance", report.instance), ("started_unix_ms", report.started_unix_ms))


def _ignore_life(_life: MinionIncarnation) -> None:
    pass


def _ignore_view(_life: IncarnationState, _view: MinionStatus, _sent_ms: float) -> None:
    pass
