"""Registration and discovery of entries through leased keys in the store."""

import logging
from collections.abc import Callable

import msgspec

from geraniumspool.contracts import Clock, Store
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import LeaseExpired, StoreError
from geraniumspool.members import peer_of
from geraniumspool.messages import Load, Member
from geraniumspool.roster import Roster

ENTRY_PREFIX = "entries/"
RENEWALS_PER_TTL = 3

_LOG = logging.getLogger(__name__)
_NO_LOAD = Load()


class Registrar:
    """Keeps an entry's leased key in the store and reads the keys of the other entries.

    While the store is unavailable, the entries that are already known stay in use.
    """

    def __init__(
        self,
        store: Store,
        roster: Roster,
        clock: Clock,
        describe_self: Callable[[], Member],
        ttl_ms: float,
    ):
        """Create the registrar; nothing is written before :meth:`refresh`.

        :param roster: where the other entries are recorded
        :param describe_self: returns the current description of this entry
        :param ttl_ms: time to live of the lease in milliseconds
        """
        self._store = store
        self._roster = roster
        self._clock = clock
        self._describe_self = describe_self
        self._ttl_ms = ttl_ms
        self._lease = 0
        self._revision = 0
        self._written_value = b""

    @property
    def is_registered(self) -> bool:
        """Whether this entry's key existed at the store's last answer."""
        return self._lease != 0 and self._written_value != b""

    def run(self) -> None:
        """Refresh the key and the list of entries until the task is killed."""
        while True:
            self.refresh()
            self._clock.sleep(self._ttl_ms / RENEWALS_PER_TTL)

    def refresh(self) -> None:
        """Renew the lease, write this entry's key if needed, and read the other entries."""
        try:
            self._renew_lease()
            self._write_key()
            self._record_entries(discover_entries(self._store))
        except StoreError as error:
            _LOG.warning("cannot refresh entry key: %s", error)

    def withdraw(self) -> None:
        """Delete this entry's key, if the store can be reached."""
        try:
            if self._revision:
                self._store.delete(self._key(), self._revision)
        except StoreError as error:
            _LOG.warning("cannot delete entry key: %s", error)

    def _key(self) -> str:
        return ENTRY_PREFIX + self._describe_self().address

    def _renew_lease(self) -> None:
        if self._lease:
            try:
                self._store.keep_alive(self._lease)
                return
            except LeaseExpired:
                self._lease = 0
        self._written_value = b""
        self._lease = self._store.grant_lease(self._ttl_ms)

    def _write_key(self) -> None:
        value = msgspec.json.encode(self._describe_self()._replace(load=_NO_LOAD))
        if value == self._written_value:
            return
        self._written_value = b""
        outcome = self._store.swap(self._key(), self._revision, value, self._lease)
        # A key of an earlier incarnation is overwritten, at the revision that the store reports.
        if not outcome.swapped:
            current = outcome.current.revision if outcome.current else 0
            outcome = self._store.swap(self._key(), current, value, self._lease)
        if outcome.swapped:
            self._revision = outcome.revision
            self._written_value = value

    def _record_entries(self, entries: tuple[Member, ...]) -> None:
        own = self._describe_self()
        if all(peer_of(entry) != peer_of(own) for entry in entries):
            self._written_value = b""
        for entry in entries:
            if entry.address != own.address:
                self._roster.apply_indirect(entry)


def discover_entries(store: Store) -> tuple[Member, ...]:
    """Return the entries registered in the store, with one read; invalid keys are ignored.

    :raises StoreError: if the store cannot be read
    """
    members = []
    for pair in store.list(ENTRY_PREFIX).pairs:
        try:
            members.append(msgspec.json.decode(pair.value, type=Member))
        except DECODE_ERRORS as error:
            _LOG.warning("invalid entry key %s ignored: %s", pair.key, error)
    return tuple(members)
