"""What both clients of the platform's store share: its calls and a watch's queue."""

from collections import deque
from typing import NamedTuple

from eventlet.event import Event

from geraniumspool.contracts import Clock
from geraniumspool.errors import StoreError, StoreUnavailable, StoreUnknown
from geraniumspool.etcd import GRANT_PATH, KEEPALIVE_PATH, RANGE_PATH, TXN_PATH, WATCH_PATH

WATCH_POLL_MS = 1_000.0


class StoreCall(NamedTuple):
    """One kind of call to the store.

    :param kind: name in the counters
    :param path: path of the gateway
    :param doubt: error where no answer tells what came of it
    """

    kind: str
    path: str
    doubt: type[StoreError]


RANGE = StoreCall("range", RANGE_PATH, StoreUnavailable)
TXN = StoreCall("txn", TXN_PATH, StoreUnknown)
GRANT = StoreCall("grant", GRANT_PATH, StoreUnknown)
KEEPALIVE = StoreCall("keepalive", KEEPALIVE_PATH, StoreUnknown)
WATCH = StoreCall("watch", WATCH_PATH, StoreUnavailable)


class Mailbox:
    """Queue from a watch's writers to its one reader."""

    def __init__(self, prefix: str = ""):
        """Start empty.

        :param prefix: what the watch's keys begin with
        """
        self.prefix = prefix
        self._items: deque = deque()
        self._woken = Event()

    def put(self, item) -> None:
        """Add an item, or the error that ends the watch."""
        self._items.append(item)
        if not self._woken.ready():
            self._woken.send()

    def take(self, clock: Clock, timeout_ms: float):
        """Return the next item, raise it if it is an error, or None on timeout."""
        if not clock.wait(self._woken, timeout_ms):
            return None
        item = self._items.popleft()
        if not self._items:
            self._woken = Event()
        if isinstance(item, StoreError):
            raise item
        return item
