"""Calls from an entry to the homes of jobs, each until its answer."""

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

MIN_PROBE_MS = 500.0
MAX_PROBE_MS = 3_000.0
PROBE_FACTOR = 4.0
LEARNING_RATE = 0.1
SILENCE_MS = 4_000.0
SUSPECT_SILENCE_MS = 500.0
GRACE_MS = 2_000.0


class NoAnswer(NamedTuple):
    """Why a home gave no answer."""

    code: str
    detail: str


class _Call:
    """One question that waits for its answer."""

    def __init__(self, peer: Peer):
        self.peer = peer
        self.answer: Answer | None = None
        self.gone = False
        self.event = Event()

    def wake(self) -> None:
        if not self.event.ready():
            self.event.send()

    def take(self) -> Answer | None:
        """Return the answer that came, and wait for another from now on."""
        answer, self.answer = self.answer, None
        self.event = Event()
        return answer


class Calls:
    """Questions of this entry that wait for answers.

    A lost message is found by asking for the job's state, at growing
    intervals: a home that does not know the job is sent it again, which is
    safe, since the home joins what it knows.
    """

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        counters: Counters,
        is_suspect: Callable[[Peer], bool],
    ):
        """Connect the parts.

        :param is_suspect: tells whether the membership thinks a peer is dead
        """
        self._messenger = messenger
        self._clock = clock
        self._counters = counters
        self._is_suspect = is_suspect
        self._numbers = itertools.count(1)
        self._calls: dict[int, _Call] = {}
        self._usual_ms = MIN_PROBE_MS

    def __len__(self) -> int:
        """Return the number of questions that wait."""
        return len(self._calls)

    def next_number(self) -> int:
        """Return a number for the next question."""
        return next(self._numbers)

    def submit(self, peer: Peer, message: Message, limit_ms: float) -> Answer | NoAnswer:
        """Send a message on a job and return the job's final answer.

        :param message: has ``request`` from :meth:`next_number`, and ``ticket``
        :param limit_ms: longest wait in milliseconds
        """
        call = self._open(peer, message)
        try:
            return self._await_final(call, message, limit_ms)
        finally:
            del self._calls[message.request]

    def ask(self, peer: Peer, message: Message, limit_ms: float) -> Answer | NoAnswer:
        """Send a question and return the first answer, final or not."""
        call = self._open(peer, message)
        try:
            for _ in range(2):
                if self._clock.wait(call.event, limit_ms / 2):
                    break
                self._messenger.send(peer, message)
            return call.take() or self._describe(call)
        finally:
            del self._calls[message.request]

    def handle_answer(self, sender: Peer, answer: Answer) -> None:
        """Take an answer; one that nobody waits for is dropped."""
        call = self._calls.get(answer.request)
        if call is None or call.peer != sender:
            self._counters.add("answers_dropped")
            return
        call.answer = answer
        call.wake()

    def handle_wrong_incarnation(self, sender: Peer, meant: int) -> None:
        """Learn that a home's address belongs to another process now."""
        gone = Peer(sender.address, meant)
        for call in self._calls.values():
            if call.peer == gone:
                call.gone = True
                call.wake()

    def wake(self, peer: Peer) -> None:
        """Have the questions to a peer looked at, since it may be dead."""
        for call in self._calls.values():
            if call.peer == peer:
                call.wake()

    def _open(self, peer: Peer, message: Message) -> _Call:
        call = self._calls[message.request] = _Call(peer)
        self._messenger.send(peer, message)
        return call

    def _await_final(self, call: _Call, message: Message, limit_ms: float) -> Answer | NoAnswer:
        begin = heard = self._clock.now()
        end = begin + limit_ms + GRACE_MS
        pause = self._first_pause()
        while True:
            now = self._clock.now()
            self._clock.wait(call.event, min(pause, max(0.0, end - now)))
            answer = call.take()
            now = self._clock.now()
            if answer is not None:
                heard = now
                if answer.state in FINAL_STATES or answer.state == STATE_CONFLICT:
                    self._learn(now - begin)
                    return answer
            if call.gone or now >= end or self._is_silent(call, now - heard):
                return self._describe(call)
            pause = self._probe(call, message, answer, pause)

    def _first_pause(self) -> float:
        """Return how long to wait before asking, scaled to what jobs usually take."""
        return min(MAX_PROBE_MS, max(MIN_PROBE_MS, PROBE_FACTOR * self._usual_ms))

    def _learn(self, response_ms: float) -> None:
        self._usual_ms += LEARNING_RATE * (response_ms - self._usual_ms)

    def _is_silent(self, call: _Call, silent_ms: float) -> bool:
        limit = SUSPECT_SILENCE_MS if self._is_suspect(call.peer) else SILENCE_MS
        return silent_ms > limit

    def _probe(self, call: _Call, message: Message, answer: Answer | None, pause: float) -> float:
        if answer is not None and answer.state == STATE_UNKNOWN:
            self._counters.add("submits_repeated")
            self._messenger.send(call.peer, message)
            return self._first_pause()
        if answer is not None:
            return min(MAX_PROBE_MS, pause * 2)
        self._counters.add("inquiries_sent")
        self._messenger.send(call.peer, Inquire(message.request, message.ticket))
        return pause if self._is_suspect(call.peer) else min(MAX_PROBE_MS, pause * 2)

    def _describe(self, call: _Call) -> NoAnswer:
        if call.gone:
            return NoAnswer("home_gone", "the job's home is gone")
        return NoAnswer("home_silent", "the job's home did not answer in time")
