"""Bindings of callers' idempotency keys to tickets, kept in the store."""

import base64
import hashlib

from geraniumspool.contracts import Clock, Store
from geraniumspool.errors import DispatchError, LeaseExpired, StoreError, StoreUnknown

PREFIX = "idempotency/"
LEASE_MS = 900_000.0
LEASE_REUSE_MS = 300_000.0
RETRY_MS = 1_000.0
MAX_KEY_CHARS = 255


class BindingUnavailable(DispatchError):
    """The store could not bind the key; the job was not run by this call."""

    code = "binding_unavailable"
    status = 503


class Bindings:
    """Binds each key of a team to one ticket by compare-and-swap.

    One write a job, plus one lease for all bindings of some minutes. A
    write whose answer was lost is settled by reading the binding back.
    """

    def __init__(self, store: Store, clock: Clock):
        """Connect the parts."""
        self._store = store
        self._clock = clock
        self._lease = 0
        self._lease_until = 0.0

    def bind(self, team: str, key: str, ticket: str) -> str:
        """Return the ticket that the key is bound to, which may be an older one.

        :param key: the caller's idempotency key
        :param ticket: what to bind it to, where it is not bound yet
        :raises BindingUnavailable: if the store does not tell
        """
        name = name_binding(team, key)
        try:
            return self._swap(name, ticket)
        except StoreUnknown:
            return self._read_back(name)
        except StoreError as error:
            raise BindingUnavailable(error.detail, RETRY_MS) from error

    def _swap(self, name: str, ticket: str) -> str:
        try:
            outcome = self._store.swap(name, 0, ticket.encode(), self._find_lease())
        except LeaseExpired:
            # Nothing was written; the store let the lease lapse early.
            self._lease_until = 0.0
            outcome = self._store.swap(name, 0, ticket.encode(), self._find_lease())
        if outcome.swapped:
            return ticket
        return outcome.current.value.decode()

    def _read_back(self, name: str) -> str:
        try:
            pair = self._store.get(name)
        except StoreError as error:
            raise BindingUnavailable(error.detail, RETRY_MS) from error
        if pair is None:
            raise BindingUnavailable("the store lost the binding", RETRY_MS)
        return pair.value.decode()

    def _find_lease(self) -> int:
        now = self._clock.now()
        if now >= self._lease_until:
            self._lease = self._store.grant_lease(LEASE_MS)
            self._lease_until = now + LEASE_REUSE_MS
        return self._lease


def name_binding(team: str, key: str) -> str:
    """Return the store's key for a team's idempotency key."""
    digest = hashlib.blake2b(f"{team}\0{key}".encode(), digest_size=18).digest()
    return PREFIX + base64.urlsafe_b64encode(digest).decode()
