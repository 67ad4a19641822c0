"""Watching the minion: its lives, its lease, what runs there and what has ended."""

import logging
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from geraniumspool.contracts import Clock, Counters, MinionLife, MinionView, RunKey
from geraniumspool.errors import Fenced, MinionDown, MinionReplaced, MinionSilent
from geraniumspool.minion_life import LifeView
from geraniumspool.minion_session import MinionSession
from geraniumspool.run_ends import RunEnds
from geraniumspool.run_messages import RUN_LAPSED, RunEnd
from geraniumspool.run_starts import RunStarts
from geraniumspool.run_stops import RunStops
from geraniumspool.run_table import RunState, RunTable
from geraniumspool.worker_reporter import WorkerReporter

_LOG = logging.getLogger(__name__)

# Three looks fit into the minion's lease, each with the 80 ms that an answer may take.
LOOK_WAIT_MS = 120.0
# Without runs a look need not renew a lease; it tells that the minion is there.
IDLE_LOOK_WAIT_MS = 200.0
# A look that fails is tried again this soon.
LOOK_AGAIN_MS = 5.0
# The process of a minion has ended once this many looks in a row were refused: it closes its
# listener with all its runs. One that leaves may close the listener before.
DOWN_LOOKS = 3
# The minion counts as silent after two looks without an answer.
SILENT_MS = 450.0
# Looks renew the lease while the minion has answered within this time: long enough for
# one lost look. What is given up later has to outlast all leases that may have arrived.
RENEW_WITHIN_MS = 250.0
# Runs that were ordered before are asked for this often while they are being stopped.
CLEAR_PAUSE_MS = 30.0


class MinionWatch:
    """Keeps the executor's view of its minion.

    :ivar on_life: called in a task of its own with each life of the minion that is taken, and
        once it leaves
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
        """Wait for the minion to describe itself."""
        self._clock = clock
        self._counters = counters
        self._session = session
        self._table = table
        self._reporter = reporter
        self._ends = ends
        self._arrived = Event()
        self.stops = RunStops(clock, session, table, ends, self.end_life)
        self.starts = RunStarts(
            clock, counters, session, table, reporter, ends, self.stops, self.end_life
        )
        self.on_life: Callable[[MinionLife], None] = _forget_life

    @property
    def is_heard(self) -> bool:
        """Whether a life of the minion has answered lately."""
        life = self._session.life
        return life is not None and self._clock.now() - life.answered_ms < SILENT_MS

    def take_life(self, told: MinionLife) -> None:
        """Take what a minion says of itself.

        A report of another life counts only once that life has answered a call:
        it may be a late one of a life that is over.
        """
        session = self._session
        life = session.life
        if life is not None and told.is_life_of(life.told):
            # The name alone is not enough: a minion that starts again under its name counts
            # from 1, and by the counts of before its leaving went unheard for up to 3.5 s.
            if told.sequence >= life.told.sequence:
                self._update(life, told)
            else:
                self._pass_over(life, told)
            return None
        fence = session.fence
        try:
            session.control.look(told, fence, 0, None, 0.0)
            session.close_orders()
            view = session.control.look(told, session.fence, 0, None, 0.0)
        except (MinionReplaced, MinionSilent) as error:
            _LOG.info(
                "minion not taken",
                extra={"fields": (*_name_life(told), ("reason", error.code))},
            )
            return None
        except Fenced:
            session.raise_fence(fence)
            return self.take_life(told)
        if session.life is not life:
            # Another report of it, or a look, was quicker.
            return self.take_life(told)
        self._adopt(told, view)
        return None

    def lose_life(self, instance: str, born: int = 0) -> None:
        """Take that a minion has left.

        Word of a life before may arrive late. Where it does not say which life has left,
        it is taken for one that has said that it leaves; any other is missed by the looks.

        :param born: when that life began, 0 where this is not told
        """
        life = self._session.life
        if life is None or life.told.instance != instance:
            return
        if born == life.told.born or (not born and life.told.draining):
            self.end_life(life, "minion_left")
        else:
            _LOG.info("end of a minion passed over", extra={"fields": _name_life(life.told)})

    def end_life(self, life: LifeView, reason: str) -> None:
        """Give up a life of the minion, once: several calls to it may find it gone."""
        if self._session.life is not life:
            return
        _LOG.warning(
            "minion lost",
            extra={"fields": (*_name_life(life.told), ("reason", reason))},
        )
        self._counters.add("minion_lives_ended", reason=reason)
        self._session.life = None
        for run in self._table:
            self._ends.lapse(run, reason)
        self._reporter.tell_all()

    def run_looks(self) -> None:
        """Watch the minion for ever: renew its lease and take ends."""
        while True:
            life = self._session.life
            if life is None:
                self._arrived.wait()
                self._arrived = Event()
                continue
            if not self._look(life):
                self._clock.sleep(LOOK_AGAIN_MS)

    def _look(self, life: LifeView) -> bool:
        """Ask the minion once; return whether it answered."""
        session = self._session
        now = self._clock.now()
        is_answering = now - life.answered_ms <= RENEW_WITHIN_MS
        lease = None
        if life.is_clear and is_answering and not self.stops.is_stuck(now):
            lease = life.grant(now)
        wait_ms = 0.0
        if life.is_clear and is_answering:
            wait_ms = LOOK_WAIT_MS if len(self._table) else IDLE_LOOK_WAIT_MS
        fence = session.fence
        try:
            view = session.control.look(life.told, fence, life.acknowledged, lease, wait_ms)
        except MinionSilent as error:
            self._take_silence(life, error)
            return False
        except MinionReplaced as error:
            self._take_replaced(life, error.born)
            return False
        except Fenced:
            session.raise_fence(fence)
            return False
        life.refused_looks = 0
        if session.life is life:
            self._take_view(life, view, now)
            if not life.is_clear:
                self._clock.sleep(CLEAR_PAUSE_MS)
        return True

    def _take_silence(self, life: LifeView, error: MinionSilent) -> None:
        """Take that a look was not answered."""
        is_refused = isinstance(error, MinionDown)
        life.refused_looks = life.refused_looks + 1 if is_refused else 0
        if life.refused_looks >= DOWN_LOOKS and not life.told.draining:
            self.end_life(life, "minion_down")
        elif self._clock.now() - life.answered_ms > SILENT_MS:
            self._lapse(life)

    def _take_view(self, life: LifeView, view: MinionView, sent_ms: float) -> None:
        life.hear(view.clock_ms, sent_ms, self._clock.now())
        for end in sorted(view.ended):
            if end.number > life.acknowledged:
                life.acknowledged = end.number
                self._ends.take_listed(end)
        self._take_running(view.running, sent_ms)
        if not life.is_clear:
            self._clear(life, view)
        self.starts.fill()

    def _take_running(self, running: dict[RunKey, float], sent_ms: float) -> None:
        now = self._clock.now()
        for key, share in running.items():
            run = self._table.find(key)
            if run is None:
                self.stops.stop_stray(key)
                continue
            if run.state in (RunState.STARTING, RunState.DOUBTFUL):
                self.starts.confirm(run)
            if share > run.share:
                run.share = share
                run.moved_ms = now
            self._ends.note_progress(run, now)
        for run in self._table:
            known = run.confirmed_ms and run.confirmed_ms < sent_ms
            if known and run.key not in running and run.state is not RunState.QUEUED:
                self._ends.finish(run, RunEnd(run.order.number, RUN_LAPSED, reason="vanished"))

    def _pass_over(self, life: LifeView, told: MinionLife) -> None:
        """Leave a report aside that a later one has overtaken."""
        self._counters.add("minion_reports", outcome="overtaken")
        _LOG.info(
            "minion report passed over",
            extra={
                "fields": (
                    *_name_life(told),
                    ("draining", told.draining),
                    ("sequence", told.sequence),
                    ("known_sequence", life.told.sequence),
                )
            },
        )

    def _update(self, life: LifeView, told: MinionLife) -> None:
        before, life.told = life.told, told
        if not life.is_described:
            life.is_described = True
            self._reporter.tell_all()
            eventlet.spawn_n(self.on_life, told)
        if told.draining != before.draining or told.room != before.room:
            _LOG.info(
                "minion changed",
                extra={
                    "fields": (
                        *_name_life(told),
                        ("draining", told.draining),
                        ("cpu", told.room.cpu),
                        ("memory_mb", told.room.memory_mb),
                        ("used_cpu", self._table.used.cpu),
                    )
                },
            )
            self._fit_waiting(told)
            self._reporter.tell_all()

    def _fit_waiting(self, told: MinionLife) -> None:
        """Start what waits and fits by now, and send back what cannot start here any more."""
        if told.draining:
            self._ends.refuse_waiting("minion_draining")
            # A process that took this one's place started runs there for up to 1.5 s.
            eventlet.spawn_n(self.on_life, told)
        for run in self._table.waiting():
            if not told.room.fits(run.order.need):
                self._ends.refuse(run, "too_large")
        self.starts.fill()

    def _take_replaced(self, life: LifeView, born: int) -> None:
        """Take that another life answers instead of this one.

        :param born: when it began, 0 if it has another name
        """
        if self._session.life is not life:
            return
        if not born:
            self.end_life(life, "minion_replaced")
            return
        session = self._session
        told = life.told._replace(born=born, draining=False, sequence=0)
        session.close_orders()
        try:
            view = session.control.look(told, session.fence, 0, None, 0.0)
        except (MinionSilent, MinionReplaced, Fenced) as error:
            _LOG.info(
                "minion not taken",
                extra={"fields": (*_name_life(told), ("reason", error.code))},
            )
            return
        if session.life is life:
            self._adopt(told, view, is_described=False)

    def _adopt(self, told: MinionLife, view: MinionView, is_described: bool = True) -> None:
        """Watch another life from now on.

        :param view: its answer to a look after which it carries out no order of before
        :param is_described: whether ``told`` is of this life
        """
        session = self._session
        now = self._clock.now()
        before = session.life
        life = session.life = LifeView(told, now, is_described)
        _LOG.info(
            "minion taken",
            extra={
                "fields": (
                    *_name_life(told),
                    ("sequence", told.sequence),
                    ("running", len(view.running)),
                    ("fence", session.fence),
                )
            },
        )
        self._ends.trust_anew()
        if before is not None:
            self._succeed(before, life, view)
        if not self._arrived.ready():
            self._arrived.send()
        self._take_view(life, view, now)
        self._reporter.tell_all()
        if is_described:
            eventlet.spawn_n(self.on_life, told)

    def _succeed(self, before: LifeView, life: LifeView, view: MinionView) -> None:
        """Give up the runs of a life that is over, but for those that went to the next one.

        Told as lost while at work, they ran twice at a time: in 13 of 179 storms in memory in
        which every other minion that crashed came back under its name.
        """
        _LOG.warning(
            "minion lost",
            extra={"fields": (*_name_life(before.told), ("reason", "minion_replaced"))},
        )
        self._counters.add("minion_lives_ended", reason="minion_replaced")
        life.inherit_lease(self._clock.now())
        listed = view.running.keys() | {end.key for end in view.ended}
        for run in self._table:
            if run.state is RunState.QUEUED or run.key not in listed:
                self._ends.lapse(run, "minion_replaced")
            elif run.is_stopping:
                self.stops.repeat(run)

    def _clear(self, life: LifeView, view: MinionView) -> None:
        """Begin to take runs once nothing runs here that was ordered before."""
        if any(self._table.find(key) is None for key in view.running):
            return
        life.is_clear = True
        self._reporter.tell_all()

    def _lapse(self, life: LifeView) -> None:
        """Give up what ran at a silent minion, once its lease must have run out."""
        if self._session.life is not life or self._clock.now() < life.lease_over_ms():
            return
        for run in self._table:
            if run.state is not RunState.QUEUED:
                self._ends.lapse(run, "minion_silent")
        self._ends.refuse_waiting("minion_silent")


def _name_life(told: MinionLife) -> tuple[tuple[str, str | int], ...]:
    """Return what tells a life of a minion apart, as fields of a log line."""
    return (("instance", told.instance), ("born", told.born))


def _forget_life(_life: MinionLife) -> None:
    pass
