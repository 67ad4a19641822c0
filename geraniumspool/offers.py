"""Tracks the open offers of one home at its workers until each is settled."""

import math
import random
import statistics
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

import eventlet

from geraniumspool.contracts import Clock, Counters, Messenger
from geraniumspool.decisions import TASK_PLACED, WORKER_SILENT, DecisionLog
from geraniumspool.job import Job
from geraniumspool.messages import (
    Load,
    Member,
    Offer,
    OfferedTask,
    Peer,
    Revoke,
    Revoked,
)
from geraniumspool.runner import Runner
from geraniumspool.worker import OpenOffer, Worker, overdue_time

# Interval at which the open offers of a worker are checked.
WATCH_INTERVAL_MS = 100.0
# Least time before the first probe of a worker; doubles with each unanswered one.
PROBE_MS = 250.0
# How long a suspected worker is offered nothing.
SUSPECT_MS = 2_000.0
# Silence of a worker with open offers after which relayed loads are accepted.
ACCEPT_RELAYED_LOAD_AFTER_MS = 500.0
# Longest interval between messages to a worker that was given up.
MAX_CONTACT_INTERVAL_MS = 10_000.0
# Unanswered probes after which a worker is suspected. It is given up only after
# as many, however long it has been silent.
MIN_UNANSWERED_PROBES = 2
# Most workers whose lateness is compared; a sample of them if there are more.
MAX_COMPARED_WORKERS = 64


class PlacedTask(NamedTuple):
    """A task that is about to be offered to a worker.

    :param index: position of the task in its job
    :param due: latest start time for its job to finish when due
    :param any_slot: whether it may use the slots kept for narrow jobs
    :param patience_ms: predicted wait beyond which the worker should refuse it, 0 for no limit
    """

    job: Job
    index: int
    due: float
    any_slot: bool
    patience_ms: float = 0.0


class OfferListener(Protocol):
    """Receives the outcomes of offers that end without a result."""

    def requeue(self, offer: OpenOffer, code: str) -> None:
        """Handle a task that has not started under an offer and never will.

        :param code: reason code
        """

    def note_started(self, offer: OpenOffer) -> None:
        """Handle the report that a task has started."""

    def fail_lost_task(self, offer: OpenOffer, code: str) -> None:
        """Handle a task that may have run but whose result is lost.

        :param code: reason code
        """


CODE_REVOKED = "offer_revoked"
CODE_RESULT_LOST = "result_lost"
CODE_WORKER_LOST = "worker_lost"


class Offers:
    """Sends offers to workers, revokes them, and probes workers for overdue results."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        counters: Counters,
        decisions: DecisionLog,
        runner: Runner,
        owner: OfferListener,
        peer_timeout_ms: float,
    ):
        """Start without any worker.

        :param runner: this process's own runner, which is called without messages
        :param owner: receives the outcomes of offers that end without a result
        :param peer_timeout_ms: silence after which a worker with open offers
            counts as lost, in milliseconds
        """
        self._messenger = messenger
        self._clock = clock
        self._counters = counters
        self._decisions = decisions
        self._runner = runner
        self._owner = owner
        self._peer_timeout_ms = peer_timeout_ms
        self._workers: dict[Peer, Worker] = {}
        self._next_number = 1
        self._pending_revokes: dict[Peer, set[int]] = {}

    def find(self, peer: Peer) -> Worker | None:
        """Return the state of a worker, or None if it is unknown."""
        return self._workers.get(peer)

    def get_or_create_worker(self, member: Member) -> Worker:
        """Return the state of a member as a worker; create it if there is none."""
        peer = Peer(member.address, member.incarnation)
        worker = self._workers.get(peer)
        if worker is None:
            worker = self._workers[peer] = Worker(member, self._clock.now())
        return worker

    def send(
        self, worker: Worker, tasks: list[PlacedTask], service: str, limit_ms: float, more: bool
    ) -> None:
        """Offer tasks to a worker, all in one message.

        :param service: service of the tasks
        :param limit_ms: run time beyond which the outcome of a task counts as unknown
        :param more: whether further tasks wait at the home
        """
        offered = tuple(self._open(worker, task, service, limit_ms) for task in tasks)
        message = Offer(worker.floor(self._next_number), offered, more, self._runner.load())
        self._watch(worker)
        if worker.peer == self._messenger.local_peer:
            self._runner.handle_offer(worker.peer, message)
        else:
            self._messenger.send(worker.peer, message)

    def settle(self, worker: Worker, number: int) -> OpenOffer | None:
        """Close an offer that has an outcome.

        :param number: number of the offer
        :returns: the offer, or None if it is not open at this worker
        """
        offer = worker.open.pop(number, None)
        worker.revoking.discard(number)
        if offer is None:
            self._counters.add("answers_dropped")
            return None
        offer.job.open_offers.pop(number, None)
        return offer

    def revoke(self, job: Job) -> None:
        """Revoke all open offers of a job, in one message per worker for several jobs."""
        for number, peer in job.open_offers.items():
            if not self._pending_revokes:
                eventlet.spawn_n(self._flush_revokes)
            self._pending_revokes.setdefault(peer, set()).add(number)

    def handle_revoked(self, worker: Worker, revoked: Revoked) -> None:
        """Handle a worker's report on revoked offers."""
        worker.update_from_message(revoked.load, self._clock.now())
        for number in revoked.not_started:
            offer = self.settle(worker, number)
            if offer is not None:
                self._owner.requeue(offer, CODE_REVOKED)
        for number in revoked.started:
            self._note_started(worker, number)
        for number in revoked.lost:
            offer = self.settle(worker, number)
            if offer is not None:
                self._owner.fail_lost_task(offer, CODE_RESULT_LOST)

    def suspect(self, peer: Peer) -> None:
        """Suspend offers to a worker for a while, and ask for the state of its open offers."""
        worker = self._workers.get(peer)
        if worker is None:
            return
        worker.suspect_until = max(worker.suspect_until, self._clock.now() + SUSPECT_MS)
        if worker.open and peer != self._messenger.local_peer:
            self._send_revoke(worker, worker.open, False)

    def peers_lateness(self) -> float:
        """Return the median lateness of the other workers, or 0 if none is known."""
        peers = [
            worker for worker in self._workers.values() if worker.peer != self._messenger.local_peer
        ]
        if len(peers) > MAX_COMPARED_WORKERS:
            peers = random.sample(peers, MAX_COMPARED_WORKERS)
        return statistics.median_low([0.0, *(worker.load.lateness for worker in peers)])

    def forget_idle(self, peer: Peer) -> None:
        """Forget a worker if it has no open offers."""
        worker = self._workers.get(peer)
        if worker is not None and not worker.open:
            del self._workers[peer]

    def forget_non_members(self, is_known: Callable[[Peer], bool]) -> None:
        """Forget workers without open offers that are no longer members.

        :param is_known: returns whether a worker is still a member
        """
        idle = [peer for peer, worker in self._workers.items() if not worker.open]
        for peer in idle:
            if not is_known(peer):
                del self._workers[peer]

    def give_up_worker(self, peer: Peer) -> None:
        """Give up a worker that is gone: its open offers count as lost."""
        worker = self._workers.pop(peer, None)
        if worker is None:
            return
        offers = list(worker.open.values())
        worker.open.clear()
        for offer in offers:
            offer.job.open_offers.pop(offer.number, None)
            self._owner.fail_lost_task(offer, CODE_WORKER_LOST)

    def update_load(self, peer: Peer, load: Load) -> None:
        """Update a worker's load from an indirect report.

        The report is ignored if the worker has open offers and sent a message
        within ``ACCEPT_RELAYED_LOAD_AFTER_MS``, since it may be older than that message.
        """
        worker = self._workers.get(peer)
        if worker is None:
            return
        if (
            not worker.open
            or self._clock.now() - worker.last_message_ms > ACCEPT_RELAYED_LOAD_AFTER_MS
        ):
            worker.update_from_report(load)

    def _open(self, worker: Worker, task: PlacedTask, service: str, limit_ms: float) -> OfferedTask:
        now = self._clock.now()
        number = self._next_number
        self._next_number += 1
        job, index = task.job, task.index
        run_ms = job.estimates[index]
        overdue_ms = overdue_time(now, worker.load.wait_ms, run_ms)
        worker.add(OpenOffer(number, job, index, now, run_ms, overdue_ms))
        job.open_offers[number] = worker.peer
        self._decisions.record(
            TASK_PLACED,
            job.subject,
            task=index,
            worker=worker.peer.address,
            free=worker.load.free,
            wait_ms=round(worker.load.wait_ms, 1),
        )
        return OfferedTask(
            number,
            job.ticket.job,
            index,
            service,
            job.tasks[index].payload,
            run_ms,
            task.due - now,
            limit_ms,
            task.any_slot,
            task.patience_ms,
        )

    def _note_started(self, worker: Worker, number: int) -> None:
        offer = worker.open.get(number)
        if offer is None:
            return
        worker.revoking.discard(number)
        # Each report of a running task extends its overdue time by the time since
        # the offer, so that queries about it become rarer.
        now = self._clock.now()
        overdue_ms = now + max(offer.run_ms, now - offer.sent_ms)
        worker.open[number] = offer._replace(overdue_after_ms=overdue_ms)
        self._owner.note_started(offer)

    def _flush_revokes(self) -> None:
        pending, self._pending_revokes = self._pending_revokes, {}
        for peer, offers in pending.items():
            worker = self._workers.get(peer)
            if worker is not None:
                self._send_revoke(worker, offers, True)

    def _send_revoke(self, worker: Worker, offers: Iterable[int], stop: bool) -> None:
        numbers = tuple(sorted(offers))
        worker.revoking.update(numbers)
        message = Revoke(worker.floor(self._next_number), numbers, stop)
        self._counters.add("offers_revoked", len(numbers))
        if worker.peer == self._messenger.local_peer:
            self._runner.handle_revoke(worker.peer, message)
            return
        self._messenger.send(worker.peer, message)
        self._watch(worker)

    def _watch(self, worker: Worker) -> None:
        if not worker.has_watcher:
            worker.has_watcher = True
            eventlet.spawn_n(self._watch_worker, worker)

    def _watch_worker(self, worker: Worker) -> None:
        """Revoke overdue offers at a worker, until no offer is open there.

        Tasks that still wait at the worker are thereby returned and can be
        offered to others; running ones continue.
        """
        while worker.open:
            self._clock.sleep(WATCH_INTERVAL_MS)
            now = self._clock.now()
            unanswered = worker.revoking & worker.open.keys()
            numbers = unanswered.union(worker.overdue(now))
            if numbers:
                self._probe(worker, numbers, now)
        worker.has_watcher = False

    def _suspend(self, member: Member) -> None:
        """Suspend offers to a worker that was given up, until it sends a message again."""
        worker = self.get_or_create_worker(member)
        worker.suspect_until = math.inf
        eventlet.spawn_n(self._contact_until_heard, worker)

    def _contact_until_heard(self, worker: Worker) -> None:
        pause_ms = SUSPECT_MS
        while self._workers.get(worker.peer) is worker and worker.suspect_until == math.inf:
            self._messenger.reopen_unconfirmed(worker.peer, self._clock.now() - pause_ms)
            self._messenger.send(worker.peer, Revoke(worker.floor(self._next_number), ()))
            self._clock.sleep(pause_ms)
            pause_ms = min(pause_ms * 2, MAX_CONTACT_INTERVAL_MS)

    def _probe(self, worker: Worker, numbers: set[int], now: float) -> None:
        oldest_sent_ms = min(worker.open[number].sent_ms for number in numbers)
        silent_ms = now - max(worker.last_message_ms, oldest_sent_ms)
        if silent_ms > self._peer_timeout_ms and worker.probes >= MIN_UNANSWERED_PROBES:
            self._decisions.record(WORKER_SILENT, worker.peer.address, silent_ms=round(silent_ms))
            self.give_up_worker(worker.peer)
            self._suspend(worker.member)
            return
        if now - worker.probed_ms < PROBE_MS * 2**worker.probes:
            return
        worker.probed_ms = now
        worker.probes += 1
        if worker.probes >= MIN_UNANSWERED_PROBES:
            worker.suspect_until = now + SUSPECT_MS
        self._counters.add("probes_sent")
        self._messenger.reopen_unconfirmed(worker.peer, oldest_sent_ms)
        self._send_revoke(worker, numbers, False)
