"""Cancels jobs wherever they are, and keeps cancelled jobs from being run later.

A caller may send its cancel to another dispatcher than its job. Only the job's entry dispatcher
and the dispatcher that places it know of it, so a cancel is passed on to all dispatchers. Each one
remembers it: a request that submits the job may arrive after the cancel.
"""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

import eventlet
from eventlet.event import Event

from geraniumspool.contracts import Clock, Counters
from geraniumspool.dispatcher_peers import PeerView
from geraniumspool.job_messages import CancelJob, JobCancelled
from geraniumspool.messages import Message, Peer

_LOG = logging.getLogger(__name__)

# Dispatchers answer at once. One that has not answered is asked again after this time.
REPEAT_MS = 100.0
# A caller waits this long for the answers of reachable dispatchers.
ANSWER_LIMIT_MS = 1_000.0
# Dispatchers that are out of reach, or do not answer, are asked for this long.
PASS_ON_LIMIT_MS = 15_000.0
# Interval of these requests once the caller has its answer.
LATE_REPEAT_MS = 500.0
# Cancels are remembered for this long, and at most this many of them.
REMEMBERED_MS = 60_000.0
MAX_REMEMBERED = 20_000


class _Cancel(NamedTuple):
    """A cancel that this process has carried out.

    :param at_ms: when it did so
    :param was_known: whether the job was running or queued here then
    """

    at_ms: float
    was_known: bool


class _Request:
    """A cancel that is being passed on.

    :ivar unanswered: dispatchers that have not answered
    :ivar was_known: whether any dispatcher knew the job
    :ivar answered: sent on each answer
    """

    def __init__(self, unanswered: set[str], was_known: bool):
        self.unanswered = unanswered
        self.was_known = was_known
        self.answered = Event()


class JobCancels:
    """The cancels that one dispatcher has received, from callers and from other dispatchers."""

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        counters: Counters,
        cancel_here: Callable[[str], bool],
        find_peers: Callable[[], Iterable[PeerView]],
    ):
        """Start without any cancel.

        :param send: queues a message to a dispatcher; returns whether it was queued
        :param cancel_here: ends a job in this process, and returns whether it was known
        :param find_peers: returns the other dispatchers
        """
        self._clock = clock
        self._send = send
        self._counters = counters
        self._cancel_here = cancel_here
        self._find_peers = find_peers
        self._remembered: dict[str, _Cancel] = {}
        self._requests: dict[str, _Request] = {}

    def cancel(self, job_id: str) -> bool:
        """End a job at its caller's request, wherever it is; return whether it was known.

        Blocks until all reachable dispatchers have answered, or for ``ANSWER_LIMIT_MS``. The others
        are asked until they answer, for ``PASS_ON_LIMIT_MS``.
        """
        began_ms = self._clock.now()
        was_known = self._apply(job_id)
        request = self._requests.get(job_id)
        if request is None:
            addresses = {view.peer.address for view in self._find_peers()}
            request = self._requests[job_id] = _Request(addresses, was_known)
            eventlet.spawn_n(self._pass_on, job_id, request)
        request.was_known |= was_known
        while self._is_answer_due(request) and self._clock.now() - began_ms < ANSWER_LIMIT_MS:
            answered = request.answered
            self._clock.wait(answered, REPEAT_MS)
        fields = (
            ("job", job_id),
            ("was_known", request.was_known),
            ("was_known_here", was_known),
            ("unanswered", ",".join(sorted(request.unanswered))),
            ("took_ms", round(self._clock.now() - began_ms, 1)),
        )
        _LOG.info("job cancelled", extra={"fields": fields})
        self._counters.add("jobs_cancelled", was_known=str(request.was_known).lower())
        return request.was_known

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a job was cancelled recently, so that it must not run."""
        cancel = self._remembered.get(job_id)
        return cancel is not None and self._clock.now() - cancel.at_ms < REMEMBERED_MS

    def handle_cancel_job(self, sender: Peer, message: CancelJob) -> None:
        """End a job that another dispatcher's caller has cancelled, and answer."""
        self._send(sender, JobCancelled(message.job_id, self._apply(message.job_id)))

    def handle_job_cancelled(self, sender: Peer, message: JobCancelled) -> None:
        """Handle another dispatcher's answer to a cancel."""
        request = self._requests.get(message.job_id)
        if request is None:
            return
        request.unanswered.discard(sender.address)
        request.was_known |= message.was_known
        answered, request.answered = request.answered, Event()
        answered.send()

    def _apply(self, job_id: str) -> bool:
        """End a job here and remember it; return whether it was known, now or at a repetition."""
        former = self._remembered.pop(job_id, None)
        was_known = self._cancel_here(job_id) or (former is not None and former.was_known)
        self._remembered[job_id] = _Cancel(self._clock.now(), was_known)
        self._forget_oldest()
        return was_known

    def _forget_oldest(self) -> None:
        limit_ms = self._clock.now() - REMEMBERED_MS
        while self._remembered:
            oldest = next(iter(self._remembered))
            is_expired = self._remembered[oldest].at_ms <= limit_ms
            if not is_expired and len(self._remembered) <= MAX_REMEMBERED:
                return
            del self._remembered[oldest]

    def _is_answer_due(self, request: _Request) -> bool:
        now = self._clock.now()
        return any(
            view.peer.address in request.unanswered and view.is_reachable(now)
            for view in self._find_peers()
        )

    def _pass_on(self, job_id: str, request: _Request) -> None:
        """Ask the other dispatchers until each has answered or has left."""
        began_ms = self._clock.now()
        while self._clock.now() - began_ms < PASS_ON_LIMIT_MS:
            peers = [view.peer for view in self._find_peers()]
            request.unanswered &= {peer.address for peer in peers}
            if not request.unanswered:
                break
            for peer in peers:
                if peer.address in request.unanswered:
                    self._send(peer, CancelJob(job_id))
            is_waited_for = self._clock.now() - began_ms < ANSWER_LIMIT_MS
            self._clock.sleep(REPEAT_MS if is_waited_for else LATE_REPEAT_MS)
        del self._requests[job_id]
