"""A dispatcher's view of the workers: their state, their leases, and its open runs there.

A dispatcher holds a lease at each worker. The worker ends the dispatcher's runs once the lease
has expired without a renewal.
"""

import logging
import math
from collections.abc import Callable, Iterable, Mapping, Set
from typing import NamedTuple

from geraniumspool.contracts import Clock, Links
from geraniumspool.departures import find_departure
from geraniumspool.evacuations import Evacuations
from geraniumspool.messages import ANY_INCARNATION, Message, Peer
from geraniumspool.reliable_links import ReliableLinks
from geraniumspool.rooms import NO_RESOURCES, Resources
from geraniumspool.run_leases import RUNS_OVER_MS
from geraniumspool.run_messages import (
    RenewRuns,
    RunOrder,
    StartRuns,
    StopRuns,
    WorkerReport,
    WorkerState,
)

_LOG = logging.getLogger(__name__)

# Renewal interval for workers with open runs: three renewals fit into a lease.
RENEWAL_INTERVAL_MS = 180.0
# Longest time between two lists of the open runs: orders renew the lease as well, but do not show
# which earlier messages were lost.
LIST_INTERVAL_MS = 360.0
# Renewal interval for workers without open runs, whose answers report their state.
IDLE_RENEWAL_INTERVAL_MS = 600.0
# A worker that has left two renewals unanswered counts as silent and gets no new runs. Counted
# from the first unanswered message.
SILENT_AFTER_MS = 450.0
# Runs of a silent worker have certainly ended after this: both leases, the dispatcher's at the
# worker and the worker's at the minion, have expired, and the time to stop a run has passed.
RUNS_LOST_AFTER_MS = RUNS_OVER_MS
# Time within which workers are expected to report that started together with this process or
# have just become silent.
STARTUP_REPORT_MS = 1_500.0
# A worker that isn't listed in the store and has been silent for this long is removed.
REMOVE_AFTER_MS = 3_000.0
# A renewal lists a run only this long after the run was sent, when it must have arrived at the
# worker.
LISTED_AFTER_MS = 120.0
# A worker that has confirmed nothing for this long gets a renewal, which it answers at once.
CONFIRMATION_DUE_MS = 120.0
# The connection to a worker that has confirmed nothing for this long is reopened: early enough that
# the lease is renewed before it ends.
CONFIRMATION_LIMIT_MS = 240.0
# Time for which a worker reassigned to another dispatcher may still be used to finish started
# jobs: a job's last tasks wait for about as long as the tasks of the longest job run.
DISOWNED_USE_MS = 3_000.0
# Renewal interval for silent workers.
SILENT_RENEWAL_INTERVAL_MS = 300.0


class OpenRun(NamedTuple):
    """A run that was sent to a worker and has not ended.

    :param number: run number, ascending per dispatcher
    :param owner: object that the dispatcher associates with the run
    :param need: resources that the run takes
    :param sent_ms: clock time in ms at which it was queued for sending
    """

    number: int
    owner: object
    need: Resources
    sent_ms: float


class WorkerView:
    """What a dispatcher knows about one worker.

    Times are the dispatcher's clock in ms unless said otherwise.

    :ivar peer: address and incarnation of the worker's executor process
    :ivar state: state in the last report
    :ivar worker_clock_ms: the worker's clock in its last report
    :ivar sent_worker_clock_ms: value of ``worker_clock_ms`` that was last sent to the worker, from
        which its lease counts
    :ivar last_message_ms: when the last report arrived, 0 before the first
    :ivar asked_ms: when a renewal was last sent, which is answered at once
    :ivar reopened_ms: when the connection was last reopened
    :ivar renewed_ms: when the last message was sent that renews the lease
    :ivar unanswered_since_ms: when the first message since the last report was sent, 0 for none
    :ivar known_since_ms: when the worker became known
    :ivar highest_number: highest run number that the reported state includes
    :ivar last_number: highest run number sent
    :ivar runs: open runs by number
    :ivar stopping: numbers of open runs that the worker was asked to stop
    :ivar free: estimated free capacity: as reported, less the runs sent since
    :ivar is_usable: whether new runs may be sent there
    :ivar was_usable: whether it has ever been usable
    :ivar is_silent: whether messages to it are unanswered, or it has never reported
    :ivar is_evacuated: whether its failure domain is evacuated, so that no task starts there
    :ivar is_listed: whether the store listed its key at the last update
    :ivar is_owned: whether this dispatcher places new jobs there
    :ivar departs_ms: earliest time at which its minion shuts down, infinite if not known
    :ivar disowned_ms: when the worker was reassigned to another dispatcher
    """

    def __init__(self, address: str, now: float):
        """Create a silent worker of which only the address is known."""
        self.peer = Peer(address, ANY_INCARNATION)
        self.state = WorkerState()
        self.worker_clock_ms = 0.0
        self.sent_worker_clock_ms = 0.0
        self.last_message_ms = 0.0
        self.asked_ms = 0.0
        self.reopened_ms = 0.0
        self.renewed_ms = 0.0
        self.unanswered_since_ms = 0.0
        self.known_since_ms = now
        self.highest_number = 0
        self.last_number = 0
        self.runs: dict[int, OpenRun] = {}
        self.stopping: set[int] = set()
        self.is_listed = False
        self.is_owned = True
        self.disowned_ms = 0.0
        self.is_usable = False
        self.was_usable = False
        self.is_evacuated = False
        self.is_silent = True
        self.free = NO_RESOURCES
        self.departs_ms = math.inf

    @property
    def capacity(self) -> Resources:
        """Return the worker's total capacity."""
        return self.state.room

    @property
    def pace(self) -> float:
        """Return the ratio of actual to expected run times on the worker."""
        return self.state.pace

    @property
    def domain(self) -> str:
        """Return the worker's failure domain."""
        return self.state.domain

    @property
    def rack(self) -> str:
        """Return the worker's rack."""
        return self.state.rack

    @property
    def labels(self) -> tuple[str, ...]:
        """Return the worker's labels."""
        return self.state.labels

    def note_sent(self, now: float) -> None:
        """Record that a message was sent that renews the lease and requires an answer."""
        self.renewed_ms = now
        self.sent_worker_clock_ms = self.worker_clock_ms
        self.unanswered_since_ms = self.unanswered_since_ms or now

    def add(self, run: OpenRun) -> None:
        """Add a run that is about to be sent, and deduct its need from the free capacity."""
        self.runs[run.number] = run
        self.last_number = run.number
        self.free = self.free.subtract(run.need)

    def update(self, report: WorkerReport, now: float) -> None:
        """Update the view from a worker's report."""
        self.worker_clock_ms = max(self.worker_clock_ms, report.now_ms)
        self.last_message_ms = now
        self.unanswered_since_ms = 0.0
        self.highest_number = max(self.highest_number, report.upto)
        self.state = report.state
        self.departs_ms = find_departure(report.state.departure_ms, now)
        self.is_usable = report.state.accepts and not self.is_evacuated
        self.was_usable = self.was_usable or self.is_usable
        self.is_silent = False
        self.free = report.state.free
        for run in self.runs.values():
            if run.number > self.highest_number:
                self.free = self.free.subtract(run.need)


class Fleet:
    """Track the workers of one dispatcher and exchange messages with them.

    :ivar links: connections to the workers
    :ivar on_new_incarnation: called with the executor's process when a worker reports with an
        incarnation unknown so far
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        on_lost: Callable[[list[OpenRun], str], None],
        evacuations: Evacuations,
    ):
        """Create a fleet without workers.

        :param send: queues a message to a worker's executor process
        :param on_lost: called with the open runs of a worker that is given up, and the reason
        :param evacuations: failure domains in which no worker is usable
        """
        self._clock = clock
        self._evacuations = evacuations
        self._send = send
        self._on_lost = on_lost
        self._views: dict[str, WorkerView] = {}
        self.links: Links = ReliableLinks()
        self.on_new_incarnation: Callable[[Peer], None] = _do_nothing
        self._known: Set[str] = frozenset()
        self._outbox: dict[Peer, list[RunOrder]] = {}
        # Highest number of all orders, also to workers that were removed meanwhile.
        self._last_number = 0

    @property
    def views(self) -> Iterable[WorkerView]:
        """Return all known workers."""
        return self._views.values()

    def owned_workers(self, service: str) -> list[WorkerView]:
        """Return the owned workers of a service that are not evacuated, silent ones included.

        The service is the one in a worker's last report.
        """
        return [
            view
            for view in self._views.values()
            if view.is_owned and not view.is_evacuated and view.state.service == service
        ]

    def disowned_workers(self, service: str) -> list[WorkerView]:
        """Return the workers of a service that other dispatchers own and that are still known.

        These were reassigned recently or are used to finish started jobs.
        """
        return [
            view
            for view in self._views.values()
            if not view.is_owned and view.state.service == service
        ]

    @property
    def has_owned(self) -> bool:
        """Whether this dispatcher owns any worker that is not evacuated."""
        return any(view.is_owned and not view.is_evacuated for view in self._views.values())

    @property
    def has_evacuated(self) -> bool:
        """Whether a known worker would be usable if its failure domain were not evacuated."""
        return any(view.is_evacuated and view.state.accepts for view in self._views.values())

    def apply_evacuations(self) -> None:
        """Apply a change of the evacuated failure domains.

        Workers of restored domains are asked for their state before they are used again.
        """
        for view in self._views.values():
            self._apply_domain(view, view.domain)

    def usable_workers(self, service: str) -> list[WorkerView]:
        """Return the owned workers of a service that accept new runs."""
        return [view for view in self.owned_workers(service) if view.is_usable]

    @property
    def expects_reports(self) -> bool:
        """Whether reports are expected shortly from owned workers that are silent now."""
        now = self._clock.now()
        return any(
            view.is_owned
            and view.is_silent
            and now - max(view.last_message_ms, view.known_since_ms) < STARTUP_REPORT_MS
            for view in self._views.values()
        )

    @property
    def new_worker_count(self) -> int:
        """Return the number of newly listed workers that may become usable soon."""
        now = self._clock.now()
        return sum(
            view.is_owned
            and not view.was_usable
            and not view.is_evacuated
            and now - view.known_since_ms < STARTUP_REPORT_MS
            for view in self._views.values()
        )

    def set_owned(self, owned: Set[str], listed: Set[str], known: Mapping[str, str]) -> None:
        """Set the workers on which this dispatcher places new jobs.

        A worker in ``known`` is owned only if ``owned`` has it. A worker that is not in
        ``known`` stays with the dispatcher that owned it so far: it may only be cut off from the
        store.

        :param owned: addresses of the workers assigned to this dispatcher
        :param listed: addresses of the workers that the store lists
        :param known: failure domains, by address, of all workers that are divided among the
            dispatchers
        """
        now = self._clock.now()
        self._known = known.keys()
        owned = owned | {
            view.peer.address
            for view in self._views.values()
            if view.is_owned and view.peer.address not in known
        }
        for address in owned - self._views.keys():
            self._views[address] = WorkerView(address, now)
            _LOG.info("worker added", extra={"fields": (("worker", address),)})
        for address, view in self._views.items():
            view.is_listed = address in listed
            if view.is_owned and address not in owned:
                view.disowned_ms = now
            view.is_owned = address in owned
            if address in known:
                self._apply_domain(view, known[address])
        self.renew()

    def use_temporarily(self, addresses: Iterable[str]) -> None:
        """Use workers of other dispatchers for a limited time to finish started jobs."""
        now = self._clock.now()
        for address in addresses:
            view = self._views.get(address)
            if view is None:
                view = self._views[address] = WorkerView(address, now)
                view.is_owned = False
            view.disowned_ms = now
        self.renew()

    def list_unregistered(self) -> tuple[str, ...]:
        """Return the addresses of owned workers that the store no longer lists.

        They are those missing from ``known`` at the last :meth:`set_owned`.
        """
        return tuple(
            address
            for address, view in self._views.items()
            if view.is_owned and address not in self._known
        )

    def find_ended_since(self, address: str) -> float | None:
        """Return the clock time in ms by which an executor's process has ended, None if unknown."""
        return self.links.find_ended_since(Peer(address, ANY_INCARNATION))

    def find_silent_since(self, address: str) -> float | None:
        """Return the clock time in ms of a silent worker's last report.

        Return None if the worker is unknown, has never reported, or isn't silent.
        """
        view = self._views.get(address)
        if view is None or not view.is_silent or not view.last_message_ms:
            return None
        return view.last_message_ms

    def handle_key_written(self, address: str) -> None:
        """Reconnect to a silent worker that has just written its key, as it is up again."""
        view = self._views.get(address)
        if view is not None and view.is_silent:
            self.links.reset(view.peer)
            self._renew(view, self._clock.now())

    def queue_run(self, view: WorkerView, order: RunOrder, owner: object) -> None:
        """Reserve capacity at a worker and queue a run for the next message to it.

        :param owner: object that the caller associates with the run
        """
        view.add(OpenRun(order.number, owner, order.need, self._clock.now()))
        self._last_number = order.number
        self._outbox.setdefault(view.peer, []).append(order)

    def flush(self) -> None:
        """Send the queued runs, in one message to each worker."""
        outbox, self._outbox = self._outbox, {}
        now = self._clock.now()
        evacuations = self._evacuations.to_message()
        for peer, orders in outbox.items():
            view = self._views[peer.address]
            view.note_sent(now)
            self._send(peer, StartRuns(view.worker_clock_ms, tuple(orders), evacuations))

    def stop(self, runs: Iterable[tuple[WorkerView, int]]) -> None:
        """Ask workers to stop runs, in one message to each worker.

        :param runs: workers and run numbers
        """
        numbers_by_peer: dict[Peer, list[int]] = {}
        for view, number in runs:
            numbers_by_peer.setdefault(view.peer, []).append(number)
            view.stopping.add(number)
        for peer, numbers in numbers_by_peer.items():
            self._send(peer, StopRuns(tuple(numbers)))

    def handle_report(self, sender: Peer, report: WorkerReport) -> WorkerView:
        """Update a worker's view from its report and return the view.

        The caller handles the ended runs that the report lists.
        """
        view = self._views.get(sender.address)
        now = self._clock.now()
        if view is None:
            view = self._views[sender.address] = WorkerView(sender.address, now)
            view.is_owned = sender.address not in self._known
            view.disowned_ms = now
        if view.peer.incarnation != sender.incarnation:
            self._replace(view, sender)
        if view.is_silent:
            _LOG.info(
                "worker heard",
                extra={
                    "fields": (
                        ("worker", sender.address),
                        ("incarnation", f"{sender.incarnation:x}"),
                        ("silent_ms", round(now - view.last_message_ms)),
                        ("instance", report.state.instance),
                    )
                },
            )
        self._mark_evacuated(view, report.state.domain)
        view.update(report, now)
        if view.runs and view.worker_clock_ms - view.sent_worker_clock_ms >= RENEWAL_INTERVAL_MS:
            # Idle workers get renewals less often: the lease may be about to expire.
            self._renew(view, now)
        return view

    def handle_wrong_incarnation(self, sender: Peer) -> None:
        """Handle a rejection that shows another incarnation at a worker's address."""
        view = self._views.get(sender.address)
        if view is not None and view.peer.incarnation != sender.incarnation:
            self._replace(view, sender)
            self._renew(view, self._clock.now())

    def renew(self) -> None:
        """Renew the leases that are due, detect silent workers and give up lost runs."""
        now = self._clock.now()
        for view in list(self._views.values()):
            silent_ms = now - max(view.last_message_ms, view.known_since_ms)
            unanswered_ms = now - view.unanswered_since_ms if view.unanswered_since_ms else 0.0
            is_unreachable = unanswered_ms > SILENT_AFTER_MS or self.links.is_connection_closed(
                view.peer
            )
            if is_unreachable and not view.is_silent:
                self._mark_silent(view, unanswered_ms)
            if view.runs and now - view.last_message_ms > RUNS_LOST_AFTER_MS:
                self._give_up_runs(view, "worker_silent")
            if not view.runs and self._is_removable(view, silent_ms, now):
                del self._views[view.peer.address]
                _LOG.info("worker removed", extra={"fields": (("worker", view.peer.address),)})
                continue
            interval_ms = RENEWAL_INTERVAL_MS if view.runs else IDLE_RENEWAL_INTERVAL_MS
            if view.is_silent:
                interval_ms = SILENT_RENEWAL_INTERVAL_MS
            if now - view.renewed_ms >= interval_ms or self._is_renewal_urgent(view, now):
                self._renew(view, now)

    @staticmethod
    def _is_removable(view: WorkerView, silent_ms: float, now: float) -> bool:
        if not view.is_owned:
            return now - view.disowned_ms > DISOWNED_USE_MS
        return silent_ms > REMOVE_AFTER_MS and not view.is_listed

    def _mark_evacuated(self, view: WorkerView, domain: str) -> None:
        """Set whether a worker is evacuated; all are until the evacuated domains are known."""
        view.is_evacuated = not self._evacuations.is_known or self._evacuations.is_evacuated(domain)

    def _apply_domain(self, view: WorkerView, domain: str) -> None:
        """Stop using an evacuated worker; ask one of a restored domain for its state."""
        was_evacuated = view.is_evacuated
        self._mark_evacuated(view, domain)
        if view.is_evacuated:
            view.is_usable = False
        elif was_evacuated:
            self._renew(view, self._clock.now())

    def _renew(self, view: WorkerView, now: float) -> None:
        view.note_sent(now)
        view.asked_ms = now
        view.stopping &= view.runs.keys()
        if view.stopping:
            # The first stop message may have been lost, and the runs listed in the renewal
            # below keep running.
            self._send(view.peer, StopRuns(tuple(view.stopping)))
        listed_before = now - LISTED_AFTER_MS
        numbers = [run.number for run in view.runs.values() if run.sent_ms < listed_before]
        # Covers the runs that were given up, also if no run is listed.
        unlisted = view.runs.keys() - numbers
        upto = min(unlisted) - 1 if unlisted else self._last_number
        evacuations = self._evacuations.to_message()
        message = RenewRuns(view.worker_clock_ms, tuple(numbers), upto, view.is_listed, evacuations)
        self._send(view.peer, message)

    def _is_renewal_urgent(self, view: WorkerView, now: float) -> bool:
        """Return whether a renewal is due before the interval for the lease has passed.

        Reports of a worker do not show that it receives messages, unless they confirm one.
        """
        if self.links.reopen_unconfirmed(view.peer, now - CONFIRMATION_LIMIT_MS):
            view.reopened_ms = now
            return True
        asked_since_ms = now - view.asked_ms
        if asked_since_ms < CONFIRMATION_DUE_MS:
            return False
        if view.asked_ms <= view.reopened_ms:
            # Lists the orders that were sent shortly before the connection was reopened.
            return bool(view.runs)
        if view.runs and asked_since_ms >= LIST_INTERVAL_MS:
            return True
        if view.asked_ms < self.links.reopened_ms:
            # Another connection was dead, and this one may be as well.
            return True
        return self.links.is_unconfirmed(view.peer, now - CONFIRMATION_DUE_MS)

    def _mark_silent(self, view: WorkerView, silent_ms: float) -> None:
        view.is_silent = True
        view.is_usable = False
        _LOG.warning(
            "worker silent",
            extra={
                "fields": (
                    ("worker", view.peer.address),
                    ("silent_ms", round(silent_ms)),
                    ("runs", len(view.runs)),
                )
            },
        )

    def _replace(self, view: WorkerView, sender: Peer) -> None:
        """Start over with a new incarnation of a worker's executor process.

        The new process clears its minion of runs before it reports.
        """
        if view.peer.incarnation != ANY_INCARNATION:
            fields = (
                ("worker", sender.address),
                ("former", f"{view.peer.incarnation:x}"),
                ("incarnation", f"{sender.incarnation:x}"),
                ("runs", len(view.runs)),
            )
            _LOG.warning("worker replaced", extra={"fields": fields})
        self.on_new_incarnation(sender)
        view.peer = sender
        view.worker_clock_ms = 0.0
        view.sent_worker_clock_ms = 0.0
        view.highest_number = 0
        view.is_usable = False

    def _give_up_runs(self, view: WorkerView, reason: str) -> None:
        runs = list(view.runs.values())
        view.runs.clear()
        self._on_lost(runs, reason)


def _do_nothing(_executor: Peer) -> None:
    pass
