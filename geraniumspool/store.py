"""Shared parts of the store's clients: kinds of calls, and the queue of a watch."""

from collections import deque
from typing import NamedTuple

from eventlet.event import Event

from geraniumspool.contracts import Clock
from geraniumspool.errors import StoreError, StoreUnavailable, StoreUnknown
from geraniumspool.etcd import GRANT_PATH, KEEPALIVE_PATH, RANGE_PATH, TXN_PATH, WATCH_PATH

# Interval at which an idle watch yields None.
WATCH_POLL_MS = 1_000.0


class StoreCall(NamedTuple):
    """One kind of call to the store.

    :param kind: label value in the counters
    :param path: path at etcd's JSON gateway
    :param unanswered_error: error type to raise if there is no reply: ``StoreUnknown`` for a call
        that may have taken effect
    """

    kind: str
    path: str
    unanswered_error: type[StoreError]


RANGE = StoreCall("range", RANGE_PATH, StoreUnavailable)
TXN = StoreCall("txn", TXN_PATH, StoreUnknown)
GRANT = StoreCall("grant", GRANT_PATH, StoreUnknown)
KEEPALIVE = StoreCall("keepalive", KEEPALIVE_PATH, StoreUnknown)
WATCH = StoreCall("watch", WATCH_PATH, StoreUnavailable)


class WatchQueue:
    """Queue of a watch: any number of writers, one reader.

    :ivar prefix: prefix of the watched keys
    """

    def __init__(self, prefix: str = ""):
        """Create an empty queue.

        :param prefix: prefix of the watched keys
        """
        self.prefix = prefix
        self._items: deque = deque()
        self._woken = Event()

    def put(self, item) -> None:
        """Append a change, or the error that ends the watch."""
        self._items.append(item)
        if not self._woken.ready():
            self._woken.send()

    def get(self, clock: Clock, timeout_ms: float):
        """Return the next item, or None on timeout.

        :param clock: source of time for the timeout
        :param timeout_ms: longest wait for an item, in milliseconds
        :raises StoreError: if the next item is an error
        """
        if not clock.wait(self._woken, timeout_ms):
            return None
        item = self._items.popleft()
        if not self._items:
            self._woken = Event()
        if isinstance(item, StoreError):
            raise item
        return item
