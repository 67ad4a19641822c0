"""Watch of a store prefix that recovers from store errors by listing the prefix again."""

import logging
from collections.abc import Callable

from geraniumspool.contracts import Change, Clock, Snapshot, Store
from geraniumspool.errors import CompactedRevision, StoreError

_LOG = logging.getLogger(__name__)

# First pause between retries, short compared with the two seconds within which a change must
# be in force.
FIRST_RETRY_DELAY_MS = 100.0
# Longest pause between retries: processes resume within this time of the store's recovery.
MAX_RETRY_DELAY_MS = 600.0
# An answer to a watch that took longer, as after a freeze of this host, may be out of date: it
# only proves that all changes up to the time of the request are known.
MAX_ANSWER_AGE_MS = 1_500.0


class StoreWatch:
    """Lists a prefix, then watches its changes, and starts over after each error.

    :ivar is_connected: whether the prefix has been listed since the last store error
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        on_snapshot: Callable[[Snapshot], None],
        on_change: Callable[[Change], None],
        on_confirmed: Callable[[float], None] | None = None,
    ):
        """Create the watch; nothing is read before :meth:`run`.

        :param on_snapshot: called with all keys under the prefix, after each listing
        :param on_change: called with each change after that listing
        :param on_confirmed: called with a time in milliseconds up to which all changes have been
            reported
        """
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._on_confirmed = on_confirmed or _ignore
        self._delay_ms = FIRST_RETRY_DELAY_MS
        self.is_connected = False

    def run(self) -> None:
        """Follow the prefix until the task is killed, with exponential backoff after errors."""
        while True:
            try:
                self._list_and_watch()
            except CompactedRevision:
                _LOG.info(
                    "store watch fell behind compaction",
                    extra={"fields": (("prefix", self._prefix),)},
                )
                continue
            except StoreError as error:
                self._note_disconnected(error)
            except Exception:
                # Starts over with a listing: without this watch all later changes are missed.
                _LOG.exception("store watch failed: %s", self._prefix)
            self._clock.sleep(self._delay_ms)
            self._delay_ms = min(self._delay_ms * 2, MAX_RETRY_DELAY_MS)

    def _list_and_watch(self) -> None:
        asked_ms = self._clock.now()
        snapshot = self._store.list(self._prefix)
        self._call(self._on_snapshot, snapshot)
        self._on_confirmed(asked_ms)
        self._note_connected(snapshot.revision)
        asked_ms = self._clock.now()
        for change in self._store.watch(self._prefix, snapshot.revision):
            if change is not None:
                self._call(self._on_change, change)
                continue
            now = self._clock.now()
            self._on_confirmed(now if now - asked_ms < MAX_ANSWER_AGE_MS else asked_ms)
            asked_ms = now

    def _call(self, handler: Callable, content: Snapshot | Change) -> None:
        """Pass what was read on; content that nobody foresaw does not keep later changes away."""
        try:
            handler(content)
        except Exception:
            _LOG.exception("content of the store not applied: %s", self._prefix)

    def _note_connected(self, revision: int) -> None:
        self._delay_ms = FIRST_RETRY_DELAY_MS
        if not self.is_connected:
            self.is_connected = True
            fields = (("prefix", self._prefix), ("revision", revision))
            _LOG.info("store watch established", extra={"fields": fields})

    def _note_disconnected(self, error: StoreError) -> None:
        if self.is_connected:
            self.is_connected = False
            fields = (("prefix", self._prefix), ("reason", error.detail))
            _LOG.warning("store watch lost", extra={"fields": fields})


def _ignore(_heard_ms: float) -> None:
    pass
