"""Start, stop and supervise the runs that dispatchers order on one minion.

An executor runs beside its minion and is the only process that calls it. Runs never use more
capacity than the minion has, and a run that is being stopped holds its share until it has ended. An
executor stops the runs of a dispatcher whose lease has expired, because another dispatcher may
start the same job elsewhere.
"""

import logging
import math
from collections.abc import Callable

from eventlet.event import Event

from geraniumspool import run_progress
from geraniumspool.contracts import Clock, Counters, MinionControl, MinionIncarnation
from geraniumspool.departures import find_departure
from geraniumspool.evacuation_guard import EvacuationGuard
from geraniumspool.job_fences import JobFences
from geraniumspool.messages import Message, Peer
from geraniumspool.minion_life import LEASE_EXPIRY_MARGIN_MS
from geraniumspool.minion_lives import MinionIncarnations
from geraniumspool.minion_session import MinionSession
from geraniumspool.minion_watch import MinionPoller
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
    TASK_ACTIVE,
    UNKNOWN_DEPARTURE,
    RenewRuns,
    RunEnd,
    RunOrder,
    StartRuns,
    StopRuns,
    WorkerState,
)
from geraniumspool.run_stops import SUPERSEDED
from geraniumspool.run_table import (
    BlockedOrder,
    KnownDispatcher,
    Run,
    RunTable,
    describe_order,
)
from geraniumspool.worker_reporter import WorkerReporter

_LOG = logging.getLogger(__name__)

TICK_MS = 40.0
# Interval while no run is here: only silent links need to be detected then. The first run ends it,
# because its time limit may be nearly over.
IDLE_TICK_MS = 200.0
# A start message whose echoed clock is older than this is answered with a report at once.
STALE_ECHO_MS = 150.0
FORGET_DISPATCHER_MS = 30_000.0
# Most orders of one message that a log line names.
MAX_LOGGED_ORDERS = 10


class Executor:
    """Execute runs on one minion on behalf of dispatchers.

    :ivar job_fences: jobs that only one dispatcher may run here
    :ivar incarnations: tracks which incarnation of the minion is served; its ``on_incarnation``
        callback is called for each one
    :ivar is_leaving: whether new runs are rejected because the process is shutting down
    """

    def __init__(
        self,
        clock: Clock,
        control: MinionControl,
        send: Callable[[Peer, Message], bool],
        counters: Counters,
        domain: str,
        initial_fencing_token: int,
        guard: EvacuationGuard,
        started_ms: float | None = None,
    ):
        """Initialize without a minion; one is served once it has reported itself.

        :param send: queues a message to a dispatcher
        :param domain: failure domain of this worker
        :param initial_fencing_token: initial fencing token; it is raised when the minion turns out
            to have seen a higher one
        :param guard: decides whether operators allow tasks to start here
        :param started_ms: when this process started, on the clock's time scale; defaults to now
        """
        self._clock = clock
        self._counters = counters
        self._domain = domain
        self._guard = guard
        guard.on_change = self._handle_guard_change
        self._session = MinionSession(control, initial_fencing_token)
        self._table = RunTable()
        self._reporter = WorkerReporter(clock, send, self._table, self.state)
        self._ends = RunEnds(clock, counters, self._table, self._reporter)
        parts = (self._session, self._table, self._reporter, self._ends)
        self.incarnations = MinionIncarnations(clock, counters, *parts)
        self._watch = MinionPoller(clock, *parts, self.incarnations)
        self._stops = self.incarnations.stops
        self._starts = self.incarnations.starts
        self.job_fences = JobFences(
            clock, send, self._table, self._stops, self._are_earlier_runs_over
        )
        self._started_ms = clock.now() if started_ms is None else started_ms
        self._check_due = Event()
        self._next_check_ms = self._started_ms
        self.is_leaving = False

    @property
    def is_idle(self) -> bool:
        """Whether no run is queued or active."""
        return len(self._table) == 0

    @property
    def has_minion(self) -> bool:
        """Whether an incarnation of the minion is served."""
        return self._session.incarnation is not None

    @property
    def dispatchers(self) -> list[Peer]:
        """Return the dispatchers that sent a message recently."""
        return list(self._table.dispatchers)

    def state(self) -> WorkerState:
        """Return the state and capacity of this worker as reported to dispatchers."""
        incarnation = self._session.incarnation
        if incarnation is None:
            return WorkerState(domain=self._domain)
        report = incarnation.report
        return WorkerState(
            report.instance,
            report.service,
            self._domain,
            report.rack,
            report.labels,
            self._accepts(),
            report.resources,
            self._table.used_capacity,
            self._table.queued_capacity,
            round(self._ends.pace.value, 3),
            self._remaining_until(incarnation.departs_ms),
        )

    def handle_minion_report(
        self,
        report: MinionIncarnation,
        departure_ms: float = UNKNOWN_DEPARTURE,
        is_stored: bool = True,
    ) -> None:
        """Handle a report in which a minion describes itself.

        :param departure_ms: least time until a draining minion shuts down, counted from now. It is
            not part of ``report``, whose stored form has a fixed length.
        :param is_stored: whether an earlier executor process has served that minion, as the key
            that it left says; a report from the network may come from another writer
        """
        departs_ms = find_departure(departure_ms, self._clock.now())
        self.incarnations.handle_report(report, is_stored, departs_ms)

    def handle_minion_departure(self, instance: str, started_unix_ms: int = 0) -> None:
        """Handle the departure of a minion.

        :param instance: name of the minion
        :param started_unix_ms: Unix time at which the departed incarnation began, 0 if not known
        """
        self.incarnations.handle_departure(instance, started_unix_ms)

    def handle_start(self, peer: Peer, message: StartRuns) -> None:
        """Accept or refuse the runs that a dispatcher orders, and renew its lease."""
        self._guard.evacuations.merge(message.evacuations, message.echo_ms)
        dispatcher = self._renew_lease(peer, message.echo_ms)
        now = self._clock.now()
        if now - message.echo_ms > DISPATCHER_LEASE_MS:
            self._log_old_clock(dispatcher, message, now)
        for order in message.orders:
            self._handle_order(dispatcher, order, message.echo_ms, now)
        self._starts.start_queued()
        self._refuse_overdue(now)
        if now - message.echo_ms > STALE_ECHO_MS:
            # The report carries a fresh clock value. Without it, the lease would expire soon after
            # the runs have started.
            self._reporter.report_to(dispatcher)

    def handle_stop(self, peer: Peer, message: StopRuns) -> None:
        """Stop the runs that a dispatcher no longer wants.

        A run whose order has not arrived yet is not started when the order arrives later.
        """
        dispatcher = self._record_message(peer)
        for number in message.numbers:
            run = dispatcher.runs.get(number)
            if run is not None:
                self._stops.stop(run, "asked")
            elif number > dispatcher.highest_number:
                dispatcher.highest_number = number

    def handle_renewal(self, peer: Peer, message: RenewRuns) -> None:
        """Renew a dispatcher's lease and reconcile its list of runs with the runs here."""
        self._guard.evacuations.merge(message.evacuations, message.echo_ms)
        dispatcher = self._renew_lease(peer, message.echo_ms)
        wanted = set(message.numbers)
        for number, run in list(dispatcher.runs.items()):
            if number not in wanted and number <= message.upto:
                self._stops.stop(run, "not_wanted")
        for number in wanted:
            if number not in dispatcher.runs:
                self._report_missing_run(dispatcher, number)
        # Orders up to it that arrive later are reported as lapsed, or were given up.
        dispatcher.highest_number = max(dispatcher.highest_number, message.upto)
        self._reporter.report_to(dispatcher)

    def run_poll_loop(self) -> None:
        """Poll the minion forever: renew its lease and collect ended runs."""
        self._watch.run_poll_loop()

    def run_periodic_checks(self) -> None:
        """Enforce time limits periodically, forever."""
        while True:
            now = self._clock.now()
            self._next_check_ms = self._find_next_check(now)
            self._check_due = Event()
            self._clock.wait(self._check_due, self._next_check_ms - now)
            self._guard.refresh()
            self._enforce_limits(self._clock.now())

    def leave(self) -> None:
        """Reject new runs from now on, refuse queued ones and report this to all dispatchers."""
        self.is_leaving = True
        self._ends.refuse_waiting("leaving")
        self._reporter.report_to_all()

    def expire_dispatcher(self, peer: Peer) -> None:
        """Expire the lease of a dispatcher whose address another process has taken over."""
        dispatcher = self._table.dispatchers.get(peer)
        if dispatcher is not None:
            dispatcher.lease_until_ms = 0.0
            self._stop_unleased_runs(dispatcher)

    def stop_all(self, reason: str) -> None:
        """Stop all runs because the process is about to exit."""
        self._stops.stop_all(reason)

    def _remaining_until(self, departs_ms: float) -> float:
        """Return the time in ms until a departure, in the form in which it is reported."""
        if math.isinf(departs_ms):
            return UNKNOWN_DEPARTURE
        return round(max(0.0, departs_ms - self._clock.now()), 1)

    def _report_missing_run(self, dispatcher: KnownDispatcher, number: int) -> None:
        """Report the outcome of a run that a dispatcher still lists but that is not active here."""
        end = dispatcher.ends.get(number)
        if end is None:
            if self._table.is_blocked(dispatcher, number):
                return
            if not self._are_earlier_runs_over():
                return
            end = RunEnd(number, RUN_LAPSED, reason="unknown")
            dispatcher.highest_number = max(dispatcher.highest_number, number)
            dispatcher.ends[number] = end
        if end not in dispatcher.unreported_ends:
            dispatcher.unreported_ends.append(end)

    def _refuse_overdue(self, now: float) -> None:
        for run in self._table.queued_runs():
            if now - run.arrived_ms >= run.order.patience_ms:
                self._ends.refuse(run, "no_room")

    def _handle_guard_change(self) -> None:
        """Handle a change in whether tasks may start here."""
        refusal = self._guard.refusal_reason
        fields = (("reason", refusal), ("runs", len(self._table)))
        _LOG.info(
            "task starts blocked" if refusal else "task starts allowed", extra={"fields": fields}
        )
        if refusal:
            self._ends.refuse_waiting(refusal)
        self._reporter.report_to_all()

    def _are_earlier_runs_over(self) -> bool:
        """Return whether all runs started by earlier executor processes here must have ended."""
        incarnation = self._session.incarnation
        if incarnation is not None and incarnation.is_free_of_orphans:
            return True
        lease_ms = MINION_LEASE_MS if self.incarnations.is_earlier_minion_over else LONGEST_LEASE_MS
        over = self._started_ms + lease_ms * (1 + CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS
        return self._clock.now() > over

    def _log_old_clock(self, dispatcher: KnownDispatcher, message: StartRuns, now: float) -> None:
        """Log new orders of a message that is too old to renew its dispatcher's lease.

        Their dispatcher may have given them up since.
        """
        orders = [order for order in message.orders if order.number > dispatcher.highest_number]
        if not orders:
            return
        logged = orders[:MAX_LOGGED_ORDERS]
        fields = (
            ("dispatcher", dispatcher.peer.address),
            ("echo_age_ms", round(now - message.echo_ms)),
            ("lease_left_ms", round(dispatcher.lease_until_ms - now)),
            ("orders", len(orders)),
            ("numbers", ",".join(str(order.number) for order in logged)),
            ("tasks", ",".join(order.task for order in logged)),
        )
        _LOG.warning("order with an old clock", extra={"fields": fields})

    def _handle_order(
        self, dispatcher: KnownDispatcher, order: RunOrder, echo_ms: float, now: float
    ) -> None:
        if order.number <= dispatcher.highest_number:
            return
        dispatcher.highest_number = order.number
        refusal = self._refuse_reason(dispatcher, order, echo_ms, now)
        if refusal:
            fields = (
                ("task", order.task),
                ("reason", refusal),
                ("dispatcher", dispatcher.peer.address),
                *describe_order(order, now - echo_ms),
            )
            if refusal == FENCED:
                fields += self.job_fences.describe(order.task)
            _LOG.info("run refused", extra={"fields": fields})
            if refusal == TASK_ACTIVE and self._table.find_task(order.task) is not None:
                # Told once that run has ended: the dispatcher starts the task elsewhere then.
                self._table.block(order.task, BlockedOrder(dispatcher, order.number))
            else:
                self._ends.refuse_order(dispatcher, order.number, refusal)
            return
        self._table.add(Run(dispatcher.peer, order, now, echo_ms))
        if dispatcher.lease_until_ms < self._next_check_ms or len(self._table) == 1:
            self._request_check()

    def _find_next_check(self, now: float) -> float:
        """Return when limits are checked next: with each lease that ends, others with a delay.

        Dispatchers count from the end of their leases until the runs must be over.
        """
        if self.is_idle:
            return now + IDLE_TICK_MS
        ends = [
            dispatcher.lease_until_ms
            for dispatcher in self._table.dispatchers.values()
            if dispatcher.runs and dispatcher.lease_until_ms > now
        ]
        return min([now + TICK_MS, *ends])

    def _request_check(self) -> None:
        if not self._check_due.ready():
            self._check_due.send()

    def _refuse_reason(
        self, dispatcher: KnownDispatcher, order: RunOrder, echo_ms: float, now: float
    ) -> str:
        # Counts by the order's own echo too: its dispatcher may have given the run up before it
        # sent the newer messages that have renewed the lease and overtaken the order.
        is_current = echo_ms <= now < echo_ms + DISPATCHER_LEASE_MS
        if not is_current or dispatcher.lease_until_ms <= now:
            return "lease_over"
        granted_ms = _earliest_grant_ms(order, echo_ms)
        is_fenced = self.job_fences.excludes(
            dispatcher.peer, order.task, order.fence_rank, granted_ms
        )
        other = self._table.find_task(order.task)
        if other is not None and not is_fenced:
            # The same job has arrived through another dispatcher, or its dispatcher does not know
            # of the run. Checked first: the dispatcher starts the task elsewhere after any refusal.
            self._stops.stop(other, SUPERSEDED, dispatcher.peer)
            return TASK_ACTIVE
        if self._guard.refusal_reason:
            return self._guard.refusal_reason
        if not self._accepts():
            return "not_accepting"
        if order.limit_ms <= 0:
            return "limit_passed"
        if not self._session.incarnation.report.resources.fits(order.need):
            return "too_large"
        if is_fenced:
            return FENCED
        return ""

    def _accepts(self) -> bool:
        incarnation = self._session.incarnation
        if (
            self.is_leaving
            or incarnation is None
            or incarnation.report.draining
            or self._guard.refusal_reason
        ):
            return False
        if not (incarnation.is_free_of_orphans and incarnation.has_reported):
            return False
        if not self._watch.is_responding:
            return False
        judge = self._ends.breaker
        if judge.is_ejected:
            return judge.is_probe_due and len(self._table) == 0
        return True

    def _renew_lease(self, peer: Peer, echo_ms: float) -> KnownDispatcher:
        now = self._clock.now()
        dispatcher = self._record_message(peer)
        if echo_ms <= now:
            # An echoed clock ahead of the local one comes from an earlier process at this address.
            dispatcher.lease_until_ms = max(
                dispatcher.lease_until_ms, echo_ms + DISPATCHER_LEASE_MS
            )
        return dispatcher

    def _record_message(self, peer: Peer) -> KnownDispatcher:
        """Record that a dispatcher has sent a message, so that it is remembered for a while."""
        dispatcher = self._table.get_dispatcher(peer)
        if dispatcher.last_message_ms == 0:
            _LOG.info("dispatcher connected", extra={"fields": (("dispatcher", peer.address),)})
        dispatcher.last_message_ms = self._clock.now()
        return dispatcher

    def _enforce_limits(self, now: float) -> None:
        for dispatcher in list(self._table.dispatchers.values()):
            if dispatcher.lease_until_ms <= now and dispatcher.runs:
                self._stop_unleased_runs(dispatcher)
            if now - dispatcher.last_message_ms > FORGET_DISPATCHER_MS and not dispatcher.runs:
                del self._table.dispatchers[dispatcher.peer]
        self._refuse_overdue(now)
        is_minion_responding = self._watch.is_responding
        for run in self._table:
            if run.expires_ms <= now:
                self._stops.stop(run, "limit_passed")
            elif is_minion_responding and run_progress.is_stalled(run, self._ends.pace.value, now):
                self._ends.record_outcome(run, False)
                self._stops.stop(run, "stalled")

    def _stop_unleased_runs(self, dispatcher: KnownDispatcher) -> None:
        active = [run for run in dispatcher.runs.values() if not run.is_stopping]
        if active:
            self._counters.add("dispatcher_leases_ended")
            _LOG.warning(
                "dispatcher lease expired",
                extra={
                    "fields": (
                        ("dispatcher", dispatcher.peer.address),
                        ("runs", len(active)),
                        ("silent_ms", round(self._clock.now() - dispatcher.last_message_ms)),
                    )
                },
            )
        for run in list(dispatcher.runs.values()):
            self._stops.stop(run, "dispatcher_silent")


def _earliest_grant_ms(order: RunOrder, echo_ms: float) -> float:
    """Return the earliest time at which the claim of an order may have been granted.

    The dispatcher counts the claim's age back from when it received the echoed clock value, which
    is later than this process sent it. Infinite if the dispatcher does not know the age.
    """
    if order.claim_age_ms > 0:
        return echo_ms - order.claim_age_ms * (1 + CLOCK_DRIFT)
    return math.inf
