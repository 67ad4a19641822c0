"""Limit on the bytes that the request bodies of all connections of a server take together."""

from typing import Protocol

import eventlet

from geraniumspool.contracts import Counters

# Bytes of bodies that a server keeps at once: 90 of the longest body that the platform's operators
# allow, or thousands of usual ones.
MAX_BUFFERED_BYTES = 24 << 20


class BodyHolder(Protocol):
    """A connection that receives a request body."""

    def abort_body(self) -> None:
        """End the receipt of the body, and release its memory soon."""


class BodyBudget:
    """Memory that request bodies share, from their first byte until the request is answered.

    If it does not suffice, the connection with the largest unfinished body is ended: clients that
    announce much and never finish do not keep others out.

    :ivar used_bytes: bytes reserved, those of ended bodies included until they are released
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES, counters: Counters | None = None):
        """Start with no body.

        :param max_bytes: limit of all bodies together
        :param counters: where ``bodies_aborted`` is counted, None for nowhere
        """
        self._max_bytes = max_bytes
        self._counters = counters
        self._unfinished: dict[BodyHolder, int] = {}
        self._finished: dict[BodyHolder, int] = {}
        self._aborted: dict[BodyHolder, int] = {}
        self.used_bytes = 0

    def reserve(self, holder: BodyHolder, size: int) -> bool:
        """Reserve bytes for a part of an unfinished body; return whether they may be received.

        Ends the receipt of larger unfinished bodies where necessary, and blocks until their memory
        is released.
        """
        own = self._unfinished.get(holder, 0) + size
        while self.used_bytes + size > self._max_bytes:
            if holder in self._aborted or not self._make_room(holder, own, size):
                return False
            eventlet.sleep(0)
        if holder in self._aborted:
            return False
        self._unfinished[holder] = own
        self.used_bytes += size
        return True

    def _make_room(self, holder: BodyHolder, own: int, size: int) -> bool:
        """End unfinished bodies of at least ``own`` bytes; return whether that makes enough room.

        :param size: bytes that are needed
        """
        pending = sum(self._aborted.values())
        while self.used_bytes - pending + size > self._max_bytes:
            largest = max(self._unfinished, key=self._unfinished.__getitem__, default=None)
            if largest is None or largest is holder or self._unfinished[largest] < own:
                return False
            pending += self._unfinished[largest]
            self._aborted[largest] = self._unfinished.pop(largest)
            largest.abort_body()
            if self._counters is not None:
                self._counters.add("bodies_aborted")
        return True

    def finish(self, holder: BodyHolder, size: int) -> None:
        """Note that a body is complete, whose receipt can't be ended any more.

        :param size: bytes of the body
        """
        self.release(holder)
        self._finished[holder] = size
        self.used_bytes += size

    def release(self, holder: BodyHolder) -> None:
        """Release what is reserved for a holder; does nothing without a reservation."""
        for sizes in (self._unfinished, self._finished, self._aborted):
            self.used_bytes -= sizes.pop(holder, 0)
