"""Start, stop and supervise the runs that dispatchers order on one minion.

An executor runs beside its minion and is the only process that calls it. Runs never use more
capacity than the minion has, and a run that is being stopped holds its share until it has ended. An
executor stops the runs of a dispatcher whose lease has expired, because another dispatcher may
start the same job elsewhere.
"""

import logging
from collections.abc import Callable

from geraniumspool import run_progress
from geraniumspool.contracts import Clock, Counters, MinionControl, MinionLife
from geraniumspool.evacuation_guard import EvacuationGuard
from geraniumspool.job_fences import JobFences
from geraniumspool.messages import Message, Peer
from geraniumspool.minion_life import LAPSE_MARGIN_MS
from geraniumspool.minion_lives import MinionLives
from geraniumspool.minion_session import MinionSession
from geraniumspool.minion_watch import MinionWatch
from geraniumspool.run_ends import RunEnds
from geraniumspool.run_leases import (
    CLOCK_DRIFT,
    DISPATCHER_LEASE_MS,
    LONGEST_LEASE_MS,
    MINION_LEASE_MS,
)
from geraniumspool.run_messages import (
    FENCED,
    RUN_LAPSED,
    RUN_REFUSED,
    RenewRuns,
    RunEnd,
    RunOrder,
    StartRuns,
    StopRuns,
    WorkerState,
)
from geraniumspool.run_table import Customer, Run, RunTable
from geraniumspool.worker_reporter import WorkerReporter

_LOG = logging.getLogger(__name__)

TICK_MS = 40.0
# Interval while no run is here: only silent links need to be detected then.
IDLE_TICK_MS = 200.0
# A start message whose echoed clock is older than this is answered with a report at once.
STALE_ECHO_MS = 150.0
# A link over which the peer does not receive messages is reset after this time.
LINK_RESET_MS = 900.0
FORGET_DISPATCHER_MS = 30_000.0


class Executor:
    """Execute runs on one minion on behalf of dispatchers.

    :ivar reset_link: makes the next message to a peer use a new connection
    :ivar fences: jobs that only one dispatcher may run here
    :ivar lives: tracks which incarnation of the minion is served; its ``on_life`` callback is
        called for each one
    :ivar leaving: whether new runs are rejected because the process is shutting down
    """

    def __init__(
        self,
        clock: Clock,
        control: MinionControl,
        send: Callable[[Peer, Message], bool],
        counters: Counters,
        domain: str,
        first_fence: int,
        guard: EvacuationGuard,
        started_ms: float | None = None,
    ):
        """Initialize without a minion; one is served once it has reported itself.

        :param send: queues a message to a dispatcher
        :param domain: failure domain of this worker
        :param first_fence: initial fencing token; it is raised when the minion turns out to have
            seen a higher one
        :param guard: decides whether operators allow tasks to start here
        :param started_ms: when this process started, on the clock's time scale; defaults to now
        """
        self._clock = clock
        self._counters = counters
        self._domain = domain
        self._guard = guard
        guard.on_change = self._handle_guard_change
        self._session = MinionSession(control, first_fence)
        self._table = RunTable()
        self._reporter = WorkerReporter(clock, send, self._table, self.state)
        self._ends = RunEnds(clock, counters, self._table, self._reporter)
        parts = (self._session, self._table, self._reporter, self._ends)
        self.lives = MinionLives(clock, counters, *parts)
        self._watch = MinionWatch(clock, *parts, self.lives)
        self._stops = self.lives.stops
        self._starts = self.lives.starts
        self.fences = JobFences(clock, send, self._table, self._stops, self._are_earlier_runs_over)
        self._started_ms = clock.now() if started_ms is None else started_ms
        self.reset_link: Callable[[Peer], None] = _ignore_reset
        self.leaving = False

    @property
    def is_idle(self) -> bool:
        """Whether no run is queued or active."""
        return len(self._table) == 0

    @property
    def has_minion(self) -> bool:
        """Whether an incarnation of the minion is served."""
        return self._session.life is not None

    @property
    def customers(self) -> list[Peer]:
        """Return the dispatchers that sent a message recently."""
        return list(self._table.customers)

    def state(self) -> WorkerState:
        """Return the state and capacity of this worker as reported to dispatchers."""
        life = self._session.life
        if life is None:
            return WorkerState(domain=self._domain)
        report = life.told
        return WorkerState(
            report.instance,
            report.service,
            self._domain,
            report.rack,
            report.labels,
            self._accepts(),
            report.resources,
            self._table.used,
            self._table.queued,
            round(self._ends.pace.value, 3),
        )

    def take_life(self, report: MinionLife) -> None:
        """Handle a report in which a minion describes itself."""
        self.lives.take_life(report)

    def lose_life(self, instance: str, started_unix_ms: int = 0) -> None:
        """Handle the departure of a minion.

        :param instance: name of the minion
        :param started_unix_ms: Unix time at which the departed incarnation began, 0 if not known
        """
        self.lives.lose_life(instance, started_unix_ms)

    def take_start(self, peer: Peer, message: StartRuns) -> None:
        """Accept or refuse the runs that a dispatcher orders, and renew its lease."""
        self._guard.evacuations.hear(message.evacuations, message.echo_ms)
        dispatcher = self._renew_lease(peer, message.echo_ms)
        now = self._clock.now()
        for order in message.orders:
            self._handle_order(dispatcher, order, now)
        self._starts.fill()
        self._refuse_overdue(now)
        if now - message.echo_ms > STALE_ECHO_MS:
            # The report carries a fresh clock value. Without it, the lease would expire soon after
            # the runs have started.
            self._reporter.tell(dispatcher)

    def take_stop(self, peer: Peer, message: StopRuns) -> None:
        """Stop the runs that a dispatcher no longer wants.

        A run whose order has not arrived yet is not started when the order arrives later.
        """
        dispatcher = self._table.customer(peer)
        for number in message.numbers:
            run = dispatcher.runs.get(number)
            if run is not None:
                self._stops.stop(run, "asked")
            elif number > dispatcher.upto:
                dispatcher.upto = number

    def take_renewal(self, peer: Peer, message: RenewRuns) -> None:
        """Renew a dispatcher's lease and reconcile its list of runs with the runs here."""
        self._guard.evacuations.hear(message.evacuations, message.echo_ms)
        dispatcher = self._renew_lease(peer, message.echo_ms)
        wanted = set(message.numbers)
        for number, run in list(dispatcher.runs.items()):
            if number not in wanted and number <= message.upto:
                self._stops.stop(run, "not_wanted")
        for number in wanted:
            if number not in dispatcher.runs:
                self._report_missing_run(dispatcher, number)
        self._reporter.tell(dispatcher)

    def run_looks(self) -> None:
        """Poll the minion forever: renew its lease and collect ended runs."""
        self._watch.run_looks()

    def run_periodic_checks(self) -> None:
        """Enforce time limits periodically, forever."""
        while True:
            self._clock.sleep(IDLE_TICK_MS if self.is_idle else TICK_MS)
            self._guard.check()
            self._enforce_limits(self._clock.now())

    def leave(self) -> None:
        """Reject new runs from now on, refuse queued ones and report this to all dispatchers."""
        self.leaving = True
        self._ends.refuse_waiting("leaving")
        self._reporter.tell_all()

    def lose_dispatcher(self, peer: Peer) -> None:
        """Expire the lease of a dispatcher whose address another process has taken over."""
        dispatcher = self._table.customers.get(peer)
        if dispatcher is not None:
            dispatcher.lease_until_ms = 0.0
            self._stop_unleased_runs(dispatcher)

    def stop_all(self, reason: str) -> None:
        """Stop all runs because the process is about to exit."""
        self._stops.stop_all(reason)

    def _report_missing_run(self, dispatcher: Customer, number: int) -> None:
        """Report the outcome of a run that a dispatcher still lists but that is not active here."""
        end = dispatcher.ends.get(number)
        if end is None:
            if not self._are_earlier_runs_over():
                return
            end = RunEnd(number, RUN_LAPSED, reason="unknown")
            dispatcher.upto = max(dispatcher.upto, number)
            dispatcher.ends[number] = end
        if end not in dispatcher.untold:
            dispatcher.untold.append(end)

    def _refuse_overdue(self, now: float) -> None:
        for run in self._table.waiting():
            if now - run.arrived_ms >= run.order.patience_ms:
                self._ends.refuse(run, "no_room")

    def _handle_guard_change(self) -> None:
        """Handle a change in whether tasks may start here."""
        refusal = self._guard.refusal
        fields = (("reason", refusal), ("runs", len(self._table)))
        _LOG.info(
            "task starts blocked" if refusal else "task starts allowed", extra={"fields": fields}
        )
        if refusal:
            self._ends.refuse_waiting(refusal)
        self._reporter.tell_all()

    def _are_earlier_runs_over(self) -> bool:
        """Return whether all runs started by earlier executor processes here must have ended."""
        life = self._session.life
        if life is not None and life.is_clear:
            return True
        lease_ms = MINION_LEASE_MS if self.lives.is_former_over else LONGEST_LEASE_MS
        over = self._started_ms + lease_ms * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_MS
        return self._clock.now() > over

    def _handle_order(self, dispatcher: Customer, order: RunOrder, now: float) -> None:
        if order.number <= dispatcher.upto:
            return
        dispatcher.upto = order.number
        refusal = self._refuse_reason(dispatcher, order, now)
        if refusal:
            self._counters.add("runs_refused", reason=refusal)
            end = RunEnd(order.number, RUN_REFUSED, reason=refusal)
            dispatcher.keep_end(end)
            _LOG.info(
                "run refused",
                extra={
                    "fields": (
                        ("task", order.task),
                        ("reason", refusal),
                        ("dispatcher", dispatcher.peer.address),
                    )
                },
            )
            self._reporter.tell_soon(dispatcher)
            return
        self._table.add(Run(dispatcher.peer, order, now))

    def _refuse_reason(self, dispatcher: Customer, order: RunOrder, now: float) -> str:
        if dispatcher.lease_until_ms <= now:
            return "lease_over"
        if self._guard.refusal:
            return self._guard.refusal
        if not self._accepts():
            return "not_accepting"
        if order.limit_ms <= 0:
            return "limit_passed"
        if not self._session.life.told.resources.fits(order.need):
            return "too_large"
        if self.fences.excludes(dispatcher.peer, order.task, order.fence_rank):
            return FENCED
        other = self._table.find_task(order.task)
        if other is not None:
            # The same job has arrived through another dispatcher, while a run of this task is
            # active.
            self._stops.stop(other, "superseded")
            return "task_active"
        return ""

    def _accepts(self) -> bool:
        life = self._session.life
        if self.leaving or life is None or life.told.draining or self._guard.refusal:
            return False
        if not (life.is_clear and life.is_described):
            return False
        if not self._watch.is_heard:
            return False
        judge = self._ends.judge
        if judge.is_ejected:
            return judge.is_probe_due and len(self._table) == 0
        return True

    def _renew_lease(self, peer: Peer, echo_ms: float) -> Customer:
        now = self._clock.now()
        dispatcher = self._table.customer(peer)
        if dispatcher.heard_ms == 0:
            _LOG.info("dispatcher connected", extra={"fields": (("dispatcher", peer.address),)})
        dispatcher.heard_ms = now
        if echo_ms <= now:
            # An echoed clock ahead of the local one comes from an earlier process at this address.
            dispatcher.lease_until_ms = max(
                dispatcher.lease_until_ms, echo_ms + DISPATCHER_LEASE_MS
            )
        return dispatcher

    def _enforce_limits(self, now: float) -> None:
        for dispatcher in list(self._table.customers.values()):
            if dispatcher.lease_until_ms <= now and dispatcher.runs:
                self._stop_unleased_runs(dispatcher)
            self._reset_one_way_link(dispatcher, now)
            if now - dispatcher.heard_ms > FORGET_DISPATCHER_MS and not dispatcher.runs:
                del self._table.customers[dispatcher.peer]
        self._refuse_overdue(now)
        is_minion_responding = self._watch.is_heard
        for run in self._table:
            if run.limit_ms <= now:
                self._stops.stop(run, "limit_passed")
            elif is_minion_responding and run_progress.is_stalled(run, self._ends.pace.value, now):
                self._ends.note_outcome(run, False)
                self._stops.stop(run, "stalled")

    def _reset_one_way_link(self, dispatcher: Customer, now: float) -> None:
        """Reconnect to a dispatcher whose messages arrive but that does not receive ours."""
        is_one_way = (
            dispatcher.lease_until_ms + LINK_RESET_MS < now < dispatcher.heard_ms + LINK_RESET_MS
        )
        if is_one_way and now - dispatcher.reset_ms > LINK_RESET_MS:
            dispatcher.reset_ms = now
            self.reset_link(dispatcher.peer)

    def _stop_unleased_runs(self, dispatcher: Customer) -> None:
        active = [run for run in dispatcher.runs.values() if not run.is_stopping]
        if active:
            self._counters.add("dispatcher_leases_ended")
            _LOG.warning(
                "dispatcher lease expired",
                extra={
                    "fields": (
                        ("dispatcher", dispatcher.peer.address),
                        ("runs", len(active)),
                        ("silent_ms", round(self._clock.now() - dispatcher.heard_ms)),
                    )
                },
            )
        for run in active:
            self._stops.stop(run, "dispatcher_silent")


def _ignore_reset(_peer: Peer) -> None:
    pass
