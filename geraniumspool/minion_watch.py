"""Poll the minion: renew its lease, track its active runs and collect ended ones."""

from eventlet.event import Event

from geraniumspool.contracts import Clock, MinionView
from geraniumspool.errors import Fenced, MinionDown, MinionReplaced, MinionSilent
from geraniumspool.minion_life import LifeView
from geraniumspool.minion_lives import MinionLives
from geraniumspool.minion_session import MinionSession
from geraniumspool.run_ends import RunEnds
from geraniumspool.run_messages import RUN_LAPSED, RunEnd
from geraniumspool.run_table import RunState, RunTable
from geraniumspool.worker_reporter import WorkerReporter

# Longest wait of a poll for an ended run. Three polls fit into the minion's lease, each with up to
# 80 ms for its answer.
LOOK_WAIT_MS = 120.0
# Longest wait of a poll while there are no runs. Such polls need not renew the lease in time; they
# only show that the minion is alive.
IDLE_LOOK_WAIT_MS = 200.0
# Longest wait of a poll of a minion that has left: short, so that the end of its lease is noticed
# early.
LEFT_LOOK_WAIT_MS = 20.0
# Delay after a failed poll.
LOOK_AGAIN_MS = 5.0
# Number of consecutive polls with refused connections after which the minion's process counts as
# ended: when the process ends, its listener and all its runs end with it. A minion that leaves may
# close its listener earlier, so draining minions are excluded.
DOWN_LOOKS = 3
# Time without an answer after which the minion counts as silent: two unanswered polls.
SILENT_MS = 450.0
# Polls renew the lease only if the minion has answered within this time, which allows for one lost
# poll. Runs are given up only after every lease that may have reached the minion has expired, so
# renewing it while the minion does not answer would delay that.
RENEW_WITHIN_MS = 250.0
# Poll interval while runs of an earlier executor are being stopped.
CLEAR_PAUSE_MS = 30.0


class MinionWatch:
    """Poll the minion in a loop."""

    def __init__(
        self,
        clock: Clock,
        session: MinionSession,
        table: RunTable,
        reporter: WorkerReporter,
        ends: RunEnds,
        lives: MinionLives,
    ):
        """Initialize; polling begins once an incarnation of the minion has been adopted."""
        self._clock = clock
        self._session = session
        self._table = table
        self._reporter = reporter
        self._ends = ends
        self._arrived = Event()
        self._lives = lives
        self._stops = lives.stops
        self._starts = lives.starts
        lives.on_view = self._handle_first_view

    @property
    def is_heard(self) -> bool:
        """Whether the minion has answered a call recently."""
        life = self._session.life
        return life is not None and self._clock.now() - life.answered_ms < SILENT_MS

    def run_looks(self) -> None:
        """Poll the minion forever: renew its lease and collect ended runs."""
        while True:
            life = self._session.life
            if life is None:
                self._arrived.wait()
                self._arrived = Event()
                continue
            if not self._poll(life):
                self._clock.sleep(LOOK_AGAIN_MS)

    def _poll(self, life: LifeView) -> bool:
        """Poll the minion once; return whether it answered."""
        session = self._session
        now = self._clock.now()
        is_responsive = now - life.answered_ms <= RENEW_WITHIN_MS
        lease = None
        is_renewing = life.is_clear and is_responsive and not life.has_left
        if is_renewing and not self._stops.is_stuck(now):
            lease = life.grant(now)
        wait_ms = self._choose_wait(life) if life.is_clear and is_responsive else 0.0
        fence = session.fence
        try:
            view = session.control.look(life.told, fence, life.acknowledged, lease, wait_ms)
        except MinionSilent as error:
            self._handle_failed_poll(life, error)
            return False
        except MinionReplaced as error:
            self._lives.take_replaced(life, error.started_unix_ms)
            return False
        except Fenced:
            session.raise_fence(fence)
            return False
        life.refused_looks = 0
        if session.life is life:
            self._handle_view(life, view, now)
            if not life.is_clear:
                self._clock.sleep(CLEAR_PAUSE_MS)
            self._lives.settle_left(life)
        return True

    def _choose_wait(self, life: LifeView) -> float:
        if life.has_left:
            return LEFT_LOOK_WAIT_MS
        return LOOK_WAIT_MS if len(self._table) else IDLE_LOOK_WAIT_MS

    def _handle_failed_poll(self, life: LifeView, error: MinionSilent) -> None:
        """Handle a poll that was refused or not answered."""
        is_refused = isinstance(error, MinionDown)
        life.refused_looks = life.refused_looks + 1 if is_refused else 0
        if life.has_left:
            if self._clock.now() >= life.lease_over_ms():
                self._lives.end_life(life, "minion_left")
        elif life.refused_looks >= DOWN_LOOKS and not life.told.draining:
            self._lives.end_life(life, "minion_down")
        elif self._clock.now() - life.answered_ms > SILENT_MS:
            self._lapse_unleased(life)

    def _handle_first_view(self, life: LifeView, view: MinionView, sent_ms: float) -> None:
        """Handle the first view of an incarnation that has just been adopted, and start polling."""
        if not self._arrived.ready():
            self._arrived.send()
        self._handle_view(life, view, sent_ms)

    def _handle_view(self, life: LifeView, view: MinionView, sent_ms: float) -> None:
        life.hear(view.clock_ms, sent_ms, self._clock.now())
        for end in sorted(view.ended):
            if end.number > life.acknowledged:
                life.acknowledged = end.number
                self._ends.take_listed(end)
        self._update_running(view, sent_ms)
        if not life.is_clear:
            self._clear_if_known(life, view)
        self._starts.fill()

    def _update_running(self, view: MinionView, sent_ms: float) -> None:
        now = self._clock.now()
        for key, progress in view.running.items():
            run = self._table.find(key)
            if run is None:
                self._stops.stop_stray(key)
                continue
            if run.state in (RunState.STARTING, RunState.DOUBTFUL):
                self._starts.confirm(run)
            if progress > run.share:
                run.share = progress
                run.moved_ms = now
            self._ends.note_progress(run, now)
        if not view.is_partial:
            self._lapse_missing(view, sent_ms)

    def _lapse_missing(self, view: MinionView, sent_ms: float) -> None:
        """Finish confirmed runs that the minion lists neither as active nor as ended.

        Called only for views that list all ends.
        """
        for run in self._table:
            is_confirmed = run.confirmed_ms and run.confirmed_ms < sent_ms
            if is_confirmed and run.key not in view.running and run.state is not RunState.QUEUED:
                self._ends.finish(run, RunEnd(run.order.number, RUN_LAPSED, reason="vanished"))

    def _clear_if_known(self, life: LifeView, view: MinionView) -> None:
        """Begin to accept runs once no run of an earlier executor is active on the minion."""
        if any(self._table.find(key) is None for key in view.running):
            return
        life.is_clear = True
        self._reporter.tell_all()

    def _lapse_unleased(self, life: LifeView) -> None:
        """Finish the runs of a minion that does not answer, once its lease must have expired."""
        if self._session.life is not life or self._clock.now() < life.lease_over_ms():
            return
        for run in self._table:
            if run.state is not RunState.QUEUED:
                self._ends.lapse(run, "minion_silent")
        self._ends.refuse_waiting("minion_silent")
