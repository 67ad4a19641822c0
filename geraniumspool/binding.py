"""Bindings of callers' idempotency keys to tickets, kept in the store."""

import base64
import hashlib

from geraniumspool.contracts import Clock, Store
from geraniumspool.errors import DispatchError, LeaseExpired, StoreError, StoreUnknown
from geraniumspool.idempotency import IdempotencyKey, invalid_key

PREFIX = "idempotency/"
LEASE_MS = 900_000.0
LEASE_REUSE_MS = 300_000.0
# These three together are shorter than the shortest life of a binding, which is
# LEASE_MS - LEASE_REUSE_MS: a key that is taken still has its binding, if it ever had one.
MAX_KEY_AGE_MS = 480_000.0
MAX_KEY_AHEAD_MS = 30_000.0
CLOCK_SKEW_MS = 60_000.0
RETRY_MS = 1_000.0


class BindingUnavailable(DispatchError):
    """The store could not bind the key; the job was not run by this call."""

    code = "binding_unavailable"
    status = 503


class KeyExpired(DispatchError):
    """A binding of the key may be gone, so its job may have run before."""

    code = "idempotency_key_expired"
    status = 409


class Bindings:
    """Binds each key of a team to one ticket by compare-and-swap.

    One write a job, plus one lease for all bindings of some minutes. A
    write whose answer was lost is settled by reading the binding back. A key
    that is older than bindings surely live is refused.
    """

    def __init__(self, store: Store, clock: Clock):
        """Connect the parts."""
        self._store = store
        self._clock = clock
        self._lease = 0
        self._lease_until = 0.0
        self._dropped_ms = 0.0

    def bind(self, team: str, key: IdempotencyKey, ticket: str) -> str:
        """Return the ticket that the key is bound to, which may be an older one.

        :param key: the caller's idempotency key
        :param ticket: what to bind it to, where it is not bound yet
        :raises BindingUnavailable: if the store does not tell
        :raises KeyExpired: if an older binding of the key may be gone
        :raises InvalidInput: if the key is not made yet by this process's clock
        """
        self._check_age(key)
        bound = self._find_or_write(name_binding(team, key.text), ticket)
        # A pause while the store was asked may have outlasted an older binding.
        self._check_age(key)
        return bound

    def _check_age(self, key: IdempotencyKey) -> None:
        age_ms = self._clock.wall() - key.made_ms
        if age_ms < -MAX_KEY_AHEAD_MS:
            raise invalid_key("was made in the future; set the clock of the caller's host")
        if age_ms > MAX_KEY_AGE_MS:
            raise KeyExpired(f"the key is older than {MAX_KEY_AGE_MS:.0f} ms")
        if key.made_ms <= self._dropped_ms:
            raise KeyExpired("the store dropped bindings since the key was made")

    def _find_or_write(self, name: str, ticket: str) -> str:
        try:
            return self._swap(name, ticket)
        except StoreUnknown:
            return self._read_back(name)
        except LeaseExpired as error:
            self._note_dropped()
            raise KeyExpired("the store dropped the lease of bindings") from error
        except StoreError as error:
            raise _unavailable(error.detail) from error

    def _note_dropped(self) -> None:
        """Take no key from before now, as its binding may be gone with the lease."""
        self._lease_until = 0.0
        self._dropped_ms = self._clock.wall() + MAX_KEY_AHEAD_MS + CLOCK_SKEW_MS

    def _swap(self, name: str, ticket: str) -> str:
        outcome = self._store.swap(name, 0, ticket.encode(), self._find_lease())
        if outcome.swapped:
            return ticket
        return outcome.current.value.decode()

    def _read_back(self, name: str) -> str:
        try:
            pair = self._store.get(name)
        except StoreError as error:
            raise _unavailable(error.detail) from error
        if pair is None:
            raise _unavailable("the store lost the binding")
        return pair.value.decode()

    def _find_lease(self) -> int:
        now = self._clock.now()
        if now >= self._lease_until:
            self._lease = self._store.grant_lease(LEASE_MS)
            self._lease_until = now + LEASE_REUSE_MS
        return self._lease


def _unavailable(detail: str) -> BindingUnavailable:
    return BindingUnavailable(f"{detail}; repeat the request with the same key", RETRY_MS)


def name_binding(team: str, key: str) -> str:
    """Return the store's key for a team's idempotency key."""
    digest = hashlib.blake2b(f"{team}\0{key}".encode(), digest_size=18).digest()
    return PREFIX + base64.urlsafe_b64encode(digest).decode()
