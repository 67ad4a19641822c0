"""Leased keys in the store by which the entries are found."""

import logging
from collections.abc import Callable

import msgspec

from geraniumspool.contracts import Clock, Store
from geraniumspool.errors import LeaseExpired, StoreError
from geraniumspool.members import peer_of
from geraniumspool.messages import Load, Member
from geraniumspool.roster import Roster

ENTRY_PREFIX = "entries/"
RENEWALS_PER_TTL = 3

_LOG = logging.getLogger(__name__)
_NO_LOAD = Load()


class Registrar:
    """Keeps an entry's leased key in the store and reads those of others.

    While the store is out, what is known stays in use.
    """

    def __init__(
        self,
        store: Store,
        roster: Roster,
        clock: Clock,
        me: Callable[[], Member],
        ttl_ms: float,
    ):
        """Connect the parts.

        :param roster: where the other entries are recorded
        :param me: returns this entry as it is now
        :param ttl_ms: time to live of the lease
        """
        self._store = store
        self._roster = roster
        self._clock = clock
        self._me = me
        self._ttl_ms = ttl_ms
        self._lease = 0
        self._revision = 0
        self._written = b""

    @property
    def registered(self) -> bool:
        """Whether the own key was there at the last answer of the store."""
        return self._lease != 0 and self._written != b""

    def run(self) -> None:
        """Refresh the key and the list of entries, for ever."""
        while True:
            self.refresh()
            self._clock.sleep(self._ttl_ms / RENEWALS_PER_TTL)

    def refresh(self) -> None:
        """Renew the lease, write the own key if need be, and read the others."""
        try:
            self._renew()
            self._write()
            self._observe(discover_entries(self._store))
        except StoreError as error:
            _LOG.warning("entry key not refreshed: %s", error)

    def withdraw(self) -> None:
        """Delete the own key, as far as the store can be reached."""
        try:
            if self._revision:
                self._store.delete(self._key(), self._revision)
        except StoreError as error:
            _LOG.warning("entry key not deleted: %s", error)

    def _key(self) -> str:
        return ENTRY_PREFIX + self._me().address

    def _renew(self) -> None:
        if self._lease:
            try:
                self._store.keep_alive(self._lease)
                return
            except LeaseExpired:
                self._lease = 0
        self._written = b""
        self._lease = self._store.grant_lease(self._ttl_ms)

    def _write(self) -> None:
        value = msgspec.json.encode(self._me()._replace(load=_NO_LOAD))
        if value == self._written:
            return
        self._written = b""
        outcome = self._store.swap(self._key(), self._revision, value, self._lease)
        if not outcome.swapped:
            current = outcome.current.revision if outcome.current else 0
            outcome = self._store.swap(self._key(), current, value, self._lease)
        if outcome.swapped:
            self._revision = outcome.revision
            self._written = value

    def _observe(self, entries: tuple[Member, ...]) -> None:
        own = self._me()
        if all(peer_of(entry) != peer_of(own) for entry in entries):
            self._written = b""
        for entry in entries:
            if entry.address != own.address:
                self._roster.observe(entry)


def discover_entries(store: Store) -> tuple[Member, ...]:
    """Return the entries registered in the store, with one read.

    :raises StoreError: if the store does not answer
    """
    members = []
    for pair in store.list(ENTRY_PREFIX).pairs:
        try:
            members.append(msgspec.json.decode(pair.value, type=Member))
        except msgspec.MsgspecError as error:
            _LOG.warning("key %s ignored: %s", pair.key, error)
    return tuple(members)
