"""Track which incarnation of a minion is served, and settle the runs of the previous one."""

import logging
from collections.abc import Callable

import eventlet

from geraniumspool.contracts import Clock, Counters, MinionLife, MinionView
from geraniumspool.errors import (
    DispatchError,
    Fenced,
    MinionDown,
    MinionReplaced,
    MinionSilent,
)
from geraniumspool.minion_life import LifeView
from geraniumspool.minion_session import MinionSession
from geraniumspool.run_ends import RunEnds
from geraniumspool.run_starts import RunStarts
from geraniumspool.run_stops import RunStops
from geraniumspool.run_table import RunState, RunTable
from geraniumspool.worker_reporter import WorkerReporter

_LOG = logging.getLogger(__name__)

# Interval at which an incarnation that is being replaced is checked for its end.
OUTLAST_PAUSE_MS = 10.0


class MinionLives:
    """Handle reports of a minion and the change from one incarnation to the next.

    :ivar is_former_over: whether the minion that an earlier executor process served is known to
        have ended. Otherwise it may have restarted under its name while that process called it, and
        may hold its runs for longer than the lease that was requested.
    :ivar on_life: called in a new green task with each incarnation that is adopted and described,
        and again when it starts draining
    :ivar on_view: called with an adopted incarnation, its answer to a poll, and the time at which
        that poll was sent
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
        self.stops = RunStops(clock, session, table, ends, self.end_life)
        self.starts = RunStarts(
            clock, counters, session, table, reporter, ends, self.stops, self.end_life
        )
        self.is_former_over = False
        self.on_life: Callable[[MinionLife], None] = _ignore_life
        self.on_view: Callable[[LifeView, MinionView, float], None] = _ignore_view

    def take_life(self, report: MinionLife) -> None:
        """Handle a report in which a minion describes itself.

        A report of an unknown incarnation counts only once that incarnation has answered a call,
        because it may be a delayed report of one that has ended.
        """
        session = self._session
        life = session.life
        if life is not None and report.is_life_of(life.told):
            # The name alone does not identify an incarnation. After a restart under the same name
            # the sequence begins at 1 again, and compared with that of the previous incarnation the
            # announcement of its departure would look outdated.
            if report.sequence >= life.told.sequence and not life.has_left:
                self._update(life, report)
            else:
                self._ignore_stale(life, report)
            return None
        fence = session.fence
        try:
            session.control.look(report, fence, 0, None, 0.0)
            sent_ms = self._clock.now()
            min_fence = session.close_orders()
            view = session.control.look(report, min_fence, 0, None, 0.0)
        except (MinionReplaced, MinionSilent) as error:
            self._note_earlier_minion(error)
            _log_not_adopted(report, error)
            return None
        except Fenced:
            session.raise_fence(fence)
            return self.take_life(report)
        if session.life is not life:
            # Another report or a poll has changed the served incarnation in the meantime.
            return self.take_life(report)
        if life is not None and life.told.address != report.address:
            # If both have the same address, the answer of the new incarnation proves that the old
            # one has ended. At another address it does not.
            self._await_end(life)
            return self.take_life(report)
        self._adopt(report, view, sent_ms, min_fence)
        return None

    def _note_earlier_minion(self, error: DispatchError) -> None:
        """Derive from a failed poll whether the minion of an earlier process here has ended."""
        has_other_name = isinstance(error, MinionReplaced) and not error.started_unix_ms
        if has_other_name or isinstance(error, MinionDown):
            self.is_former_over = True

    def lose_life(self, instance: str, started_unix_ms: int = 0) -> None:
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
        life = self._session.life
        if life is None or life.told.instance != instance:
            return
        if started_unix_ms == life.told.started_unix_ms or (
            not started_unix_ms and life.told.draining
        ):
            self._retire(life)
        else:
            _LOG.info(
                "departure of another minion incarnation ignored",
                extra={"fields": _life_fields(life.told)},
            )

    def _retire(self, life: LifeView) -> None:
        """Start nothing more on an incarnation that has left, and let its lease expire."""
        life.has_left = True
        life.told = life.told._replace(draining=True)
        self._ends.refuse_waiting("minion_left")
        self.settle_left(life)
        self._reporter.tell_all()

    def _await_end(self, life: LifeView) -> None:
        """Retire an incarnation, and wait until it has been given up.

        Needed before a successor at another address is adopted.
        """
        self._retire(life)
        while self._session.life is life:
            self._clock.sleep(OUTLAST_PAUSE_MS)

    def settle_left(self, life: LifeView) -> None:
        """Give up an incarnation that has left once no known run is active there."""
        if life.has_left and not len(self._table):
            self.end_life(life, "minion_left")

    def end_life(self, life: LifeView, reason: str) -> None:
        """Give up an incarnation and all its runs.

        Several calls may find it gone at the same time; only the first one has an effect.

        :param life: the incarnation to give up
        :param reason: reason for logs, metrics and the outcomes of its runs
        """
        if self._session.life is not life:
            return
        self._log_lost(life, reason)
        self._session.life = None
        for run in self._table:
            self._ends.lapse(run, reason)
        self._reporter.tell_all()

    def take_replaced(self, life: LifeView, started_unix_ms: int) -> None:
        """Handle an answer that shows that another incarnation has replaced this one.

        :param life: the incarnation that was called
        :param started_unix_ms: when the new incarnation began, 0 if it has another name
        """
        if self._session.life is not life:
            return
        if not started_unix_ms:
            self.end_life(life, "minion_replaced")
            return
        session = self._session
        report = life.told._replace(started_unix_ms=started_unix_ms, draining=False, sequence=0)
        sent_ms = self._clock.now()
        min_fence = session.close_orders()
        try:
            view = session.control.look(report, min_fence, 0, None, 0.0)
        except (MinionSilent, MinionReplaced, Fenced) as error:
            _log_not_adopted(report, error)
            return
        if session.life is life:
            self._adopt(report, view, sent_ms, min_fence, is_described=False)

    def _ignore_stale(self, life: LifeView, report: MinionLife) -> None:
        """Count and log a report that is older than one already handled."""
        self._counters.add("minion_reports", outcome="overtaken")
        _LOG.info(
            "stale minion report ignored",
            extra={
                "fields": (
                    *_life_fields(report),
                    ("draining", report.draining),
                    ("sequence", report.sequence),
                    ("known_sequence", life.told.sequence),
                )
            },
        )

    def _update(self, life: LifeView, report: MinionLife) -> None:
        previous, life.told = life.told, report
        if not life.is_described:
            life.is_described = True
            self._reporter.tell_all()
            eventlet.spawn_n(self.on_life, report)
        if report.draining != previous.draining or report.resources != previous.resources:
            _LOG.info(
                "minion changed",
                extra={
                    "fields": (
                        *_life_fields(report),
                        ("draining", report.draining),
                        ("cpu", report.resources.cpu),
                        ("memory_mb", report.resources.memory_mb),
                        ("used_cpu", self._table.used.cpu),
                    )
                },
            )
            self._refit_queued(report)
            self._reporter.tell_all()

    def _refit_queued(self, report: MinionLife) -> None:
        """Refuse queued runs that can no longer start here, and start those that fit now."""
        if report.draining:
            self._ends.refuse_waiting("minion_draining")
            # Otherwise, a process that replaces this one would start runs there until the next
            # report.
            eventlet.spawn_n(self.on_life, report)
        for run in self._table.waiting():
            if not report.resources.fits(run.order.need):
                self._ends.refuse(run, "too_large")
        self.starts.fill()

    def _adopt(
        self,
        report: MinionLife,
        view: MinionView,
        sent_ms: float,
        min_fence: int,
        is_described: bool = True,
    ) -> None:
        """Serve another incarnation from now on.

        :param report: its report, or one derived from the previous incarnation's
        :param view: its answer to a poll that invalidated all earlier calls
        :param sent_ms: when that poll was sent
        :param min_fence: fencing token of that poll; calls sent with it since then may also have
            started runs
        :param is_described: whether ``report`` was sent by this incarnation
        """
        session = self._session
        now = self._clock.now()
        previous = session.life
        life = session.life = LifeView(report, now, is_described)
        _LOG.info(
            "minion adopted",
            extra={
                "fields": (
                    *_life_fields(report),
                    ("sequence", report.sequence),
                    ("running", len(view.running)),
                    ("fence", session.fence),
                )
            },
        )
        self._ends.trust_anew()
        if previous is not None:
            self._transfer_runs(previous, life, view, min_fence)
        self.on_view(life, view, sent_ms)
        self._reporter.tell_all()
        if is_described:
            eventlet.spawn_n(self.on_life, report)

    def _transfer_runs(
        self, previous: LifeView, life: LifeView, view: MinionView, min_fence: int
    ) -> None:
        """Give up the runs of an incarnation that has ended, except those that its successor holds.

        A run reported as lost while it is still active would be started twice at the same time.
        """
        self._log_lost(previous, "minion_replaced")
        if previous.told.instance == life.told.instance:
            life.inherit_lease(self._clock.now())
        listed_keys = view.running.keys() | {end.key for end in view.ended}
        for run in self._table:
            # The outcome of a start sent since then follows from its answer or from the next poll.
            may_run = run.key in listed_keys or run.fence >= min_fence
            if run.state is RunState.QUEUED or not may_run:
                self._ends.lapse(run, "minion_replaced")
                continue
            run.early_end = None
            if run.is_stopping:
                self.stops.repeat(run)

    def _log_lost(self, life: LifeView, reason: str) -> None:
        fields = (*_life_fields(life.told), ("reason", reason))
        _LOG.warning("minion lost", extra={"fields": fields})
        self._counters.add("minion_lives_ended", reason=reason)


def _log_not_adopted(report: MinionLife, error: DispatchError) -> None:
    fields = (*_life_fields(report), ("reason", error.code))
    _LOG.info("minion not adopted", extra={"fields": fields})


def _life_fields(report: MinionLife) -> tuple[tuple[str, str | int], ...]:
    """Return the log fields that identify an incarnation of a minion."""
    return (("instance", report.instance), ("started_unix_ms", report.started_unix_ms))


def _ignore_life(_life: MinionLife) -> None:
    pass


def _ignore_view(_life: LifeView, _view: MinionView, _sent_ms: float) -> None:
    pass
