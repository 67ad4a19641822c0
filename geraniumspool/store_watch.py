"""Following the keys under a prefix of the store, whatever becomes of it."""

import logging
from collections.abc import Callable

from geraniumspool.contracts import Change, Clock, Snapshot, Store
from geraniumspool.errors import CompactedRevision, StoreError

_LOG = logging.getLogger(__name__)

# Short against the two seconds within which a change must be in force.
FIRST_DELAY_MS = 100.0
# Processes that wait for the store come back within this of its return.
LAST_DELAY_MS = 600.0
# An answer to a watch that was on its way for longer, as in a freeze of this machine, tells
# of the time at which it was asked for.
PROMPT_MS = 1_500.0


class StoreWatch:
    """Reads a prefix, then follows its changes, and begins again after each fault."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        on_snapshot: Callable[[Snapshot], None],
        on_change: Callable[[Change], None],
        on_heard: Callable[[float], None] | None = None,
    ):
        """Record the parts; nothing is read before :meth:`run`.

        :param on_snapshot: called with all keys, at first and after each gap
        :param on_change: called with each change since
        :param on_heard: called with times up to which all changes have been told
        """
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._on_heard = on_heard or _pass_over
        self._delay_ms = FIRST_DELAY_MS
        self.is_connected = False

    def run(self) -> None:
        """Follow the prefix for ever."""
        while True:
            try:
                self._follow()
            except CompactedRevision:
                _LOG.info("watch fell behind", extra={"fields": (("prefix", self._prefix),)})
                continue
            except StoreError as error:
                self._note_lost(error)
            self._clock.sleep(self._delay_ms)
            self._delay_ms = min(self._delay_ms * 2, LAST_DELAY_MS)

    def _follow(self) -> None:
        asked_ms = self._clock.now()
        snapshot = self._store.list(self._prefix)
        self._on_snapshot(snapshot)
        self._on_heard(asked_ms)
        self._note_heard(snapshot.revision)
        asked_ms = self._clock.now()
        for change in self._store.watch(self._prefix, snapshot.revision):
            if change is not None:
                self._on_change(change)
                continue
            now = self._clock.now()
            self._on_heard(now if now - asked_ms < PROMPT_MS else asked_ms)
            asked_ms = now

    def _note_heard(self, revision: int) -> None:
        self._delay_ms = FIRST_DELAY_MS
        if not self.is_connected:
            self.is_connected = True
            fields = (("prefix", self._prefix), ("revision", revision))
            _LOG.info("store followed", extra={"fields": fields})

    def _note_lost(self, error: StoreError) -> None:
        if self.is_connected:
            self.is_connected = False
            fields = (("prefix", self._prefix), ("reason", error.detail))
            _LOG.warning("store lost", extra={"fields": fields})


def _pass_over(_heard_ms: float) -> None:
    pass
