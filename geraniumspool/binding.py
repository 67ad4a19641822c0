"""Bindings of callers' idempotency keys to tickets, stored under a lease."""

import base64
import hashlib

from geraniumspool.contracts import Clock, Store
from geraniumspool.errors import DispatchError, LeaseExpired, StoreError, StoreUnknown
from geraniumspool.idempotency import IdempotencyKey, make_invalid_key_error

PREFIX = "idempotency/"
LEASE_MS = 900_000.0
LEASE_REUSE_MS = 300_000.0
# The sum of these three must stay below LEASE_MS - LEASE_REUSE_MS, the shortest lifetime of a
# binding: then every binding of a key that is still accepted is still in the store.
MAX_KEY_AGE_MS = 480_000.0
MAX_KEY_AHEAD_MS = 30_000.0
CLOCK_SKEW_MS = 60_000.0
STORE_RETRY_AFTER_MS = 1_000.0


class BindingUnavailable(DispatchError):
    """The store could not bind the key; this request did not run the job."""

    code = "binding_unavailable"
    status = 503


class KeyExpired(DispatchError):
    """An earlier binding of the key may have expired, so its job may have run already."""

    code = "idempotency_key_expired"
    status = 409


class Bindings:
    """Binds each idempotency key of a team to one ticket with a compare-and-swap.

    Each binding costs one write; all bindings made within ``LEASE_REUSE_MS``
    share a lease. If the answer to a write is lost, the binding is read back.
    A key older than the guaranteed lifetime of a binding is refused.
    """

    def __init__(self, store: Store, clock: Clock):
        """Start without a lease.

        :param store: the platform's store
        :param clock: source of time
        """
        self._store = store
        self._clock = clock
        self._lease = 0
        self._lease_reuse_until_ms = 0.0
        self._refused_until_ms = 0.0

    def bind(self, team: str, key: IdempotencyKey, ticket: str) -> str:
        """Bind a key to a ticket unless it is bound already; return the bound ticket.

        :param team: the caller's team; keys of different teams are independent
        :param key: the caller's idempotency key
        :param ticket: ticket to bind if the key has no binding
        :returns: ``ticket``, or the ticket of an earlier request with the same key
        :raises BindingUnavailable: if the store failed, so that the binding is unknown
        :raises KeyExpired: if an earlier binding of the key may have expired
        :raises InvalidInput: if the key's timestamp lies too far in the future
        """
        self._check_age(key)
        bound = self._read_or_write(make_binding_key(team, key.text), ticket)
        # An earlier binding may have expired while this process waited for the store.
        self._check_age(key)
        return bound

    def _check_age(self, key: IdempotencyKey) -> None:
        age_ms = self._clock.wall_ms() - key.created_ms
        if age_ms < -MAX_KEY_AHEAD_MS:
            raise make_invalid_key_error(
                "was made in the future; set the clock of the caller's host"
            )
        if age_ms > MAX_KEY_AGE_MS:
            raise KeyExpired(f"the key is older than {MAX_KEY_AGE_MS:.0f} ms")
        if key.created_ms <= self._refused_until_ms:
            raise KeyExpired("the store dropped bindings since the key was made")

    def _read_or_write(self, name: str, ticket: str) -> str:
        try:
            return self._swap(name, ticket)
        except StoreUnknown:
            return self._read_back(name)
        except LeaseExpired as error:
            self._record_lost_lease()
            raise KeyExpired("the store dropped the lease of bindings") from error
        except StoreError as error:
            raise _make_unavailable(error.detail) from error

    def _record_lost_lease(self) -> None:
        """Refuse keys made up to now, allowing for clock skew: the lost lease deleted bindings."""
        self._lease_reuse_until_ms = 0.0
        self._refused_until_ms = self._clock.wall_ms() + MAX_KEY_AHEAD_MS + CLOCK_SKEW_MS

    def _swap(self, name: str, ticket: str) -> str:
        outcome = self._store.swap(name, 0, ticket.encode(), self._get_lease())
        if outcome.swapped:
            return ticket
        return outcome.current.value.decode()

    def _read_back(self, name: str) -> str:
        try:
            pair = self._store.get(name)
        except StoreError as error:
            raise _make_unavailable(error.detail) from error
        if pair is None:
            raise _make_unavailable("the store lost the binding")
        return pair.value.decode()

    def _get_lease(self) -> int:
        now = self._clock.now()
        if now >= self._lease_reuse_until_ms:
            self._lease = self._store.grant_lease(LEASE_MS)
            self._lease_reuse_until_ms = now + LEASE_REUSE_MS
        return self._lease


def _make_unavailable(detail: str) -> BindingUnavailable:
    return BindingUnavailable(
        f"{detail}; repeat the request with the same key", STORE_RETRY_AFTER_MS
    )


def make_binding_key(team: str, key: str) -> str:
    """Return the key in the store under which a team's idempotency key is bound."""
    digest = hashlib.blake2b(f"{team}\0{key}".encode(), digest_size=18).digest()
    return PREFIX + base64.urlsafe_b64encode(digest).decode()
