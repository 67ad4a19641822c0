"""Watch that keeps the configuration up to date with the platform's store."""

import logging
from collections.abc import Callable

from geraniumspool.audit import CONFIG_PREFIX
from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Clock, Store
from geraniumspool.errors import CompactedRevision, StoreError
from geraniumspool.messages import Document

# States of the watch; while waiting, it pauses between two attempts.
WATCH_LISTING = "listing"
WATCH_WATCHING = "watching"
WATCH_WAITING = "waiting"
# Pauses between attempts double from the first value to the last.
FIRST_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 5_000.0

_LOG = logging.getLogger(__name__)


class ConfigurationWatcher:
    """Keeps a configuration up to date with the store.

    :ivar state: one of the WATCH_ states
    :ivar last_contact_ms: time of the store's last answer in milliseconds, None before the
        first
    """

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        clock: Clock,
        on_change: Callable[[list[Document]], None],
    ):
        """Create the watcher; nothing is read before :meth:`run`.

        :param store: the platform's store
        :param configuration: the configuration to keep up to date
        :param clock: source of time
        :param on_change: called with the documents put in force; must not block
        """
        self._store = store
        self._configuration = configuration
        self._clock = clock
        self._on_change = on_change
        self._delay_ms = FIRST_RETRY_DELAY_MS
        self.state = WATCH_LISTING
        self.last_contact_ms: float | None = None

    def run(self) -> None:
        """List and watch the store until the task is killed, with exponential backoff."""
        while True:
            try:
                self._list_and_watch()
            except CompactedRevision:
                _LOG.info("configuration watch fell behind, listing again")
            except StoreError as error:
                level = logging.DEBUG if self._is_retrying() else logging.WARNING
                _LOG.log(level, "cannot follow configuration store: %s", error)
            self.state = WATCH_WAITING
            self._clock.sleep(self._delay_ms)
            self._delay_ms = min(self._delay_ms * 2, MAX_RETRY_DELAY_MS)

    def _is_retrying(self) -> bool:
        return self._delay_ms > FIRST_RETRY_DELAY_MS

    def _list_and_watch(self) -> None:
        self.state = WATCH_LISTING
        known_revision = self._configuration.store_revision
        snapshot = self._store.list(CONFIG_PREFIX)
        self._report(self._configuration.apply_snapshot(snapshot, known_revision))
        self.state = WATCH_WATCHING
        for change in self._store.watch(CONFIG_PREFIX, snapshot.revision):
            self._delay_ms = FIRST_RETRY_DELAY_MS
            changes = [] if change is None else [change]
            self._report(self._configuration.apply_stored(changes))

    def _report(self, accepted: list[Document]) -> None:
        self.last_contact_ms = self._clock.now()
        if accepted:
            self._on_change(accepted)
