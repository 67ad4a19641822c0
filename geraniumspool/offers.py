"""Offers of one home that are open at workers, until each is settled."""

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
from geraniumspool.worker import OpenOffer, Worker, expect

WATCH_MS = 100.0
PROBE_MS = 250.0
SUSPECT_MS = 2_000.0
HINT_AFTER_MS = 500.0
MAX_SEEK_MS = 10_000.0
MIN_PROBES = 2
MAX_COMPARED = 64


class PlacedTask(NamedTuple):
    """A task on its way to a worker.

    :param any_slot: whether it may use the slots kept for narrow jobs
    :param patience_ms: wait beyond which the worker is to refuse it, 0 for none
    """

    job: Job
    index: int
    due: float
    any_slot: bool
    patience_ms: float = 0.0


class OfferOwner(Protocol):
    """Who is told what became of offers without a result."""

    def take_back(self, offer: OpenOffer, code: str) -> None:
        """Take a task back that has not started and never will there."""

    def note_started(self, offer: OpenOffer) -> None:
        """Learn that a task has started."""

    def lose(self, offer: OpenOffer, code: str) -> None:
        """Learn that a task may have run and that its result is lost."""


CODE_REVOKED = "offer_revoked"
CODE_RESULT_LOST = "result_lost"
CODE_WORKER_LOST = "worker_lost"


class Offers:
    """Open offers by worker: sent, watched, asked back, settled."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        counters: Counters,
        decisions: DecisionLog,
        runner: Runner,
        owner: OfferOwner,
        peer_timeout_ms: float,
    ):
        """Connect the parts.

        :param runner: this process's own runner, reached without messages
        :param peer_timeout_ms: silence after which a worker with open offers
            counts as lost
        """
        self._messenger = messenger
        self._clock = clock
        self._counters = counters
        self._decisions = decisions
        self._runner = runner
        self._owner = owner
        self._peer_timeout_ms = peer_timeout_ms
        self._workers: dict[Peer, Worker] = {}
        self._next = 1
        self._revokes: dict[Peer, set[int]] = {}

    def find(self, peer: Peer) -> Worker | None:
        """Return what is known of a worker, or None."""
        return self._workers.get(peer)

    def worker(self, member: Member) -> Worker:
        """Return the worker that is this member."""
        peer = Peer(member.address, member.incarnation)
        worker = self._workers.get(peer)
        if worker is None:
            worker = self._workers[peer] = Worker(member, self._clock.now())
        return worker

    def send(
        self, worker: Worker, tasks: list[PlacedTask], service: str, limit_ms: float, more: bool
    ) -> None:
        """Offer tasks to a worker, all in one message.

        :param limit_ms: longest run before an outcome counts as unknown
        :param more: whether further tasks wait at the home
        """
        offered = tuple(self._open(worker, task, service, limit_ms) for task in tasks)
        message = Offer(worker.floor(self._next), offered, more, self._runner.load())
        self._watch(worker)
        if worker.peer == self._messenger.me:
            self._runner.take_offer(worker.peer, message)
        else:
            self._messenger.send(worker.peer, message)

    def settle(self, worker: Worker, number: int) -> OpenOffer | None:
        """Close an offer and return it; None where it matches nothing."""
        offer = worker.open.pop(number, None)
        worker.revoking.discard(number)
        if offer is None:
            self._counters.add("answers_dropped")
            return None
        offer.job.open_offers.pop(number, None)
        return offer

    def revoke(self, job: Job) -> None:
        """Ask for all open offers of a job back, batched with other jobs'."""
        for number, peer in job.open_offers.items():
            if not self._revokes:
                eventlet.spawn_n(self._send_revokes)
            self._revokes.setdefault(peer, set()).add(number)

    def take_revoked(self, worker: Worker, revoked: Revoked) -> None:
        """Take a worker's word on revoked offers."""
        worker.hear(revoked.load, self._clock.now())
        for number in revoked.not_started:
            offer = self.settle(worker, number)
            if offer is not None:
                self._owner.take_back(offer, CODE_REVOKED)
        for number in revoked.started:
            self._note_started(worker, number)
        for number in revoked.lost:
            offer = self.settle(worker, number)
            if offer is not None:
                self._owner.lose(offer, CODE_RESULT_LOST)

    def suspect(self, peer: Peer) -> None:
        """Offer a worker nothing for a while, and ask what became of its offers."""
        worker = self._workers.get(peer)
        if worker is None:
            return
        worker.suspect_until = max(worker.suspect_until, self._clock.now() + SUSPECT_MS)
        if worker.open and peer != self._messenger.me:
            self._ask_back(worker, worker.open, False)

    def peers_lateness(self) -> float:
        """Return the median lateness of other workers, 0 where none is known."""
        peers = [worker for worker in self._workers.values() if worker.peer != self._messenger.me]
        if len(peers) > MAX_COMPARED:
            peers = random.sample(peers, MAX_COMPARED)
        return statistics.median_low([0.0, *(worker.load.lateness for worker in peers)])

    def forget_idle(self, peer: Peer) -> None:
        """Forget a worker without open offers."""
        worker = self._workers.get(peer)
        if worker is not None and not worker.open:
            del self._workers[peer]

    def forget_strangers(self, is_known: Callable[[Peer], bool]) -> None:
        """Forget workers without open offers that are not known any more."""
        idle = [peer for peer, worker in self._workers.items() if not worker.open]
        for peer in idle:
            if not is_known(peer):
                del self._workers[peer]

    def drop(self, peer: Peer) -> None:
        """Give up a worker that is gone: what is open there is lost."""
        worker = self._workers.pop(peer, None)
        if worker is None:
            return
        offers = list(worker.open.values())
        worker.open.clear()
        for offer in offers:
            offer.job.open_offers.pop(offer.offer, None)
            self._owner.lose(offer, CODE_WORKER_LOST)

    def hint(self, peer: Peer, load: Load) -> None:
        """Take a worker's load that the membership passed on."""
        worker = self._workers.get(peer)
        if worker is None:
            return
        if not worker.open or self._clock.now() - worker.heard_ms > HINT_AFTER_MS:
            worker.hint(load)

    def _open(self, worker: Worker, task: PlacedTask, service: str, limit_ms: float) -> OfferedTask:
        now = self._clock.now()
        number = self._next
        self._next += 1
        job, index = task.job, task.index
        run_ms = job.estimates[index]
        overdue = expect(now, worker.load.wait_ms, run_ms)
        worker.add(OpenOffer(number, job, index, now, run_ms, overdue))
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
        # Each time it is asked, it is given as long again as it has taken so far.
        now = self._clock.now()
        overdue = now + max(offer.run_ms, now - offer.sent_ms)
        worker.open[number] = offer._replace(expected_ms=overdue)
        self._owner.note_started(offer)

    def _send_revokes(self) -> None:
        revokes, self._revokes = self._revokes, {}
        for peer, offers in revokes.items():
            worker = self._workers.get(peer)
            if worker is not None:
                self._ask_back(worker, offers, True)

    def _ask_back(self, worker: Worker, offers: Iterable[int], stop: bool) -> None:
        numbers = tuple(sorted(offers))
        worker.revoking.update(numbers)
        message = Revoke(worker.floor(self._next), numbers, stop)
        self._counters.add("offers_revoked", len(numbers))
        if worker.peer == self._messenger.me:
            self._runner.take_revoke(worker.peer, message)
            return
        self._messenger.send(worker.peer, message)
        self._watch(worker)

    def _watch(self, worker: Worker) -> None:
        if not worker.is_watched:
            worker.is_watched = True
            eventlet.spawn_n(self._watch_worker, worker)

    def _watch_worker(self, worker: Worker) -> None:
        """Ask a worker for offers whose results are overdue, until nothing is open.

        Tasks that wait there longer than expected come back and may go elsewhere.
        """
        while worker.open:
            self._clock.sleep(WATCH_MS)
            now = self._clock.now()
            unanswered = worker.revoking & worker.open.keys()
            asked = unanswered.union(worker.overdue(now))
            if asked:
                self._probe(worker, asked, now)
        worker.is_watched = False

    def _shun(self, member: Member) -> None:
        """Offer nothing to a worker that was given up until it is heard again."""
        worker = self.worker(member)
        worker.suspect_until = math.inf
        eventlet.spawn_n(self._seek, worker)

    def _seek(self, worker: Worker) -> None:
        pause = SUSPECT_MS
        while self._workers.get(worker.peer) is worker and worker.suspect_until == math.inf:
            self._messenger.send(worker.peer, Revoke(worker.floor(self._next), ()))
            self._clock.sleep(pause)
            pause = min(pause * 2, MAX_SEEK_MS)

    def _probe(self, worker: Worker, asked: set[int], now: float) -> None:
        oldest_sent = min(worker.open[number].sent_ms for number in asked)
        silent_ms = now - max(worker.heard_ms, oldest_sent)
        if silent_ms > self._peer_timeout_ms and worker.probes >= MIN_PROBES:
            self._decisions.record(WORKER_SILENT, worker.peer.address, silent_ms=round(silent_ms))
            self.drop(worker.peer)
            self._shun(worker.member)
            return
        if now - worker.probed_ms < PROBE_MS * 2**worker.probes:
            return
        worker.probed_ms = now
        worker.probes += 1
        if worker.probes >= MIN_PROBES:
            worker.suspect_until = now + SUSPECT_MS
        self._counters.add("probes_sent")
        self._ask_back(worker, asked, False)
