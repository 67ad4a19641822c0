"""Requests from an entry to the homes of jobs, matched with their answers."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from eventlet.event import Event

from geraniumspool.contracts import Clock, Counters, Messenger
from geraniumspool.messages import (
    FINAL_STATES,
    STATE_CONFLICT,
    STATE_UNKNOWN,
    Answer,
    Inquire,
    Message,
    Peer,
)

# Limits of the delay between queries for a job's state.
MIN_PROBE_MS = 500.0
MAX_PROBE_MS = 3_000.0
# First delay as a multiple of the average response time, within the limits above.
PROBE_FACTOR = 4.0
# Weight of a new response time in the moving average.
RESPONSE_TIME_WEIGHT = 0.1
# A request fails after this time without an answer; sooner if the peer is considered dead.
NO_ANSWER_TIMEOUT_MS = 4_000.0
DEAD_PEER_TIMEOUT_MS = 500.0
# Time past a job's deadline for the home's answer to arrive.
ANSWER_GRACE_MS = 2_000.0


class NoAnswer(NamedTuple):
    """The reason why no answer of a home is available.

    :param code: ``home_gone`` or ``home_silent``
    :param detail: the reason as a sentence
    """

    code: str
    detail: str


class _Call:
    """One outstanding request and the latest answer to it."""

    def __init__(self, peer: Peer, now: float):
        self.peer = peer
        self.sent_ms = now
        self.answer: Answer | None = None
        self.gone = False
        self.event = Event()

    def wake(self) -> None:
        if not self.event.ready():
            self.event.send()

    def take(self) -> Answer | None:
        """Return the answer received so far, if any, and rearm the event for the next one."""
        answer, self.answer = self.answer, None
        self.event = Event()
        return answer


class HomeRequests:
    """Outstanding requests of this entry.

    To recover from lost messages, an entry queries the job's state at growing
    intervals. If the home does not know the job, it is submitted again; that
    is idempotent, since a home joins a submission to a job that it already has.
    """

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        counters: Counters,
        is_dead: Callable[[Peer], bool],
    ):
        """Store the collaborators.

        :param messenger: sends the requests
        :param clock: source of time
        :param counters: counters for dropped answers and repeated requests
        :param is_dead: returns whether the membership considers a peer dead
        """
        self._messenger = messenger
        self._clock = clock
        self._counters = counters
        self._is_dead = is_dead
        self._numbers = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._average_response_ms = MIN_PROBE_MS

    def __len__(self) -> int:
        """Return the number of outstanding requests."""
        return len(self._calls)

    def next_number(self) -> int:
        """Return a new request number, unique within this process."""
        return next(self._numbers)

    def submit(self, peer: Peer, message: Message, limit_ms: float) -> Answer | NoAnswer:
        """Send a message about a job and wait for the job's final answer.

        :param peer: the home
        :param message: has a ``request`` number from :meth:`next_number` and a ``ticket``
        :param limit_ms: longest wait in milliseconds, to which ``ANSWER_GRACE_MS`` is added
        :returns: the final answer, or the reason why there is none
        """
        call = self._open(peer, message)
        try:
            return self._await_final(call, message, limit_ms)
        finally:
            del self._calls[message.request]

    def query(self, peer: Peer, message: Message, limit_ms: float) -> Answer | NoAnswer:
        """Send a request and return the first answer, whether final or not.

        The request is sent a second time if no answer arrives within half of ``limit_ms``.

        :param peer: the process to ask
        :param message: has a ``request`` number from :meth:`next_number`
        :param limit_ms: longest wait in milliseconds
        """
        call = self._open(peer, message)
        try:
            for _ in range(2):
                if self._clock.wait(call.event, limit_ms / 2):
                    break
                self._messenger.reopen_unconfirmed(peer, call.sent_ms)
                self._messenger.send(peer, message)
            return call.take() or self._make_no_answer(call)
        finally:
            del self._calls[message.request]

    def handle_answer(self, sender: Peer, answer: Answer) -> None:
        """Pass an answer to its request; drop it if no request to this sender waits for it."""
        call = self._calls.get(answer.request)
        if call is None or call.peer != sender:
            self._counters.add("answers_dropped")
            return
        call.answer = answer
        call.wake()

    def handle_wrong_incarnation(self, sender: Peer, meant: int) -> None:
        """Fail the requests to a home whose address now belongs to another process.

        :param sender: the process that now has the address
        :param meant: incarnation to which the rejected message was addressed
        """
        gone = Peer(sender.address, meant)
        for call in self._calls.values():
            if call.peer == gone:
                call.gone = True
                call.wake()

    def recheck_peer(self, peer: Peer) -> None:
        """Wake the requests to a peer that may be dead, so that they apply the shorter timeout."""
        for call in self._calls.values():
            if call.peer == peer:
                call.wake()

    def _open(self, peer: Peer, message: Message) -> _Call:
        call = self._calls[message.request] = _Call(peer, self._clock.now())
        self._messenger.send(peer, message)
        return call

    def _await_final(self, call: _Call, message: Message, limit_ms: float) -> Answer | NoAnswer:
        start_ms = last_answer_ms = self._clock.now()
        end_ms = start_ms + limit_ms + ANSWER_GRACE_MS
        delay_ms = self._first_probe_delay()
        while True:
            now = self._clock.now()
            self._clock.wait(call.event, min(delay_ms, max(0.0, end_ms - now)))
            answer = call.take()
            now = self._clock.now()
            if answer is not None:
                last_answer_ms = now
                if answer.state in FINAL_STATES or answer.state == STATE_CONFLICT:
                    self._record_response_time(now - start_ms)
                    return answer
            if call.gone or now >= end_ms or self._is_silent(call, now - last_answer_ms):
                return self._make_no_answer(call)
            delay_ms = self._send_probe(call, message, answer, delay_ms)

    def _first_probe_delay(self) -> float:
        """Return the delay before the first state query, in proportion to usual response times."""
        return min(MAX_PROBE_MS, max(MIN_PROBE_MS, PROBE_FACTOR * self._average_response_ms))

    def _record_response_time(self, response_ms: float) -> None:
        self._average_response_ms += RESPONSE_TIME_WEIGHT * (
            response_ms - self._average_response_ms
        )

    def _is_silent(self, call: _Call, silent_ms: float) -> bool:
        timeout_ms = DEAD_PEER_TIMEOUT_MS if self._is_dead(call.peer) else NO_ANSWER_TIMEOUT_MS
        return silent_ms > timeout_ms

    def _send_probe(
        self, call: _Call, message: Message, answer: Answer | None, delay_ms: float
    ) -> float:
        if answer is not None and answer.state == STATE_UNKNOWN:
            self._counters.add("submits_repeated")
            self._messenger.send(call.peer, message)
            return self._first_probe_delay()
        if answer is not None:
            return min(MAX_PROBE_MS, delay_ms * 2)
        self._counters.add("inquiries_sent")
        self._messenger.reopen_unconfirmed(call.peer, call.sent_ms)
        self._messenger.send(call.peer, Inquire(message.request, message.ticket))
        return delay_ms if self._is_dead(call.peer) else min(MAX_PROBE_MS, delay_ms * 2)

    def _make_no_answer(self, call: _Call) -> NoAnswer:
        if call.gone:
            return NoAnswer("home_gone", "the job's home is gone")
        return NoAnswer("home_silent", "the job's home did not answer in time")
