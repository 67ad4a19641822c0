"""A key in the store that exists only while its process renews its lease."""

import logging

from geraniumspool.contracts import Clock, Store
from geraniumspool.errors import LeaseExpired, StoreError

_LOG = logging.getLogger(__name__)

RENEWALS_PER_TTL = 3
# Pause after a failure. Keys that expired during a store outage must be written again within
# two seconds of its end.
RETRY_MS = 500.0


class LeasedKey:
    """Keeps a key in the store under a lease.

    :ivar was_absent: whether :meth:`read` succeeded and found no such key
    """

    def __init__(self, store: Store, clock: Clock, key: str, value: bytes, ttl_ms: float):
        """Create the object; the key is not written before :meth:`run`.

        :param value: value to keep under the key
        :param ttl_ms: time to live of the lease in milliseconds
        """
        self._store = store
        self._clock = clock
        self._key = key
        self._value = value
        self._ttl_ms = ttl_ms
        self._lease = 0
        self._revision = 0
        self._checked_ms = 0.0
        self.was_absent = False
        self._is_written = False

    def run(self) -> None:
        """Keep the key until the task is killed; a failed refresh is retried sooner."""
        while True:
            kept = self.refresh()
            self._clock.sleep(self._ttl_ms / RENEWALS_PER_TTL if kept else RETRY_MS)

    def read(self) -> bytes | None:
        """Return the value that an earlier process left under the key.

        :returns: the value, None if there is none or the store cannot be read
        """
        try:
            found = self._store.get(self._key)
        except StoreError as error:
            _LOG.info(
                "cannot read leased key",
                extra={"fields": (("key", self._key), ("reason", error.code))},
            )
            return None
        self._revision = found.revision if found else 0
        self.was_absent = found is None
        return found.value if found else None

    def set_initial_value(self, value: bytes) -> None:
        """Set the value of the first write; only valid before :meth:`run`."""
        self._value = value

    def update(self, value: bytes) -> None:
        """Replace the value under the key; may block until the store answers.

        If the write fails, :meth:`run` repeats it.
        """
        if value != self._value:
            self._value = value
            self._is_written = False
            self.refresh()

    def refresh(self) -> bool:
        """Renew the lease and write the key if needed; return whether both succeeded."""
        was_written = self._is_written
        try:
            self._renew_lease()
            if not self._is_written:
                self._write_key()
        except StoreError as error:
            if was_written:
                fields = (("key", self._key), ("reason", error.detail))
                _LOG.warning("cannot renew leased key", extra={"fields": fields})
            self._is_written = self._is_written and not isinstance(error, LeaseExpired)
            return False
        if not was_written:
            fields = (("key", self._key), ("revision", self._revision))
            _LOG.info("leased key written", extra={"fields": fields})
        return True

    def check_exists(self) -> None:
        """Read the key after another process reported it missing, and restore it if needed.

        At most one read is made per time to live.
        """
        now = self._clock.now()
        if not self._is_written or now - self._checked_ms < self._ttl_ms:
            return
        self._checked_ms = now
        try:
            found = self._store.get(self._key)
        except StoreError as error:
            _LOG.info("cannot check leased key: %s", error)
            return
        if found is None:
            self._is_written = False
            self._lease = 0
            self._revision = 0
            self.refresh()

    def withdraw(self) -> None:
        """Delete the key, if the store can be reached."""
        try:
            if self._is_written:
                self._store.delete(self._key, self._revision)
        except StoreError as error:
            _LOG.warning("cannot delete leased key: %s", error)

    def _renew_lease(self) -> None:
        if self._lease:
            try:
                self._store.keep_alive(self._lease)
            except LeaseExpired:
                _LOG.info("lease expired", extra={"fields": (("key", self._key),)})
            else:
                return
        self._lease = 0
        self._is_written = False
        self._lease = self._store.grant_lease(self._ttl_ms)

    def _write_key(self) -> None:
        outcome = self._store.swap(self._key, self._revision, self._value, self._lease)
        # A key of an earlier process is overwritten, at the revision that the store reports.
        if not outcome.swapped:
            current = outcome.current.revision if outcome.current else 0
            outcome = self._store.swap(self._key, current, self._value, self._lease)
        if outcome.swapped:
            self._revision = outcome.revision
            self._is_written = True
