"""In-memory implementation of the key-value store, with fault injection for tests."""

import itertools
import math
from collections import Counter, deque
from collections.abc import Iterable, Iterator

from geraniumspool.contracts import Change, Clock, Counters, KeyValue, Snapshot, SwapOutcome
from geraniumspool.errors import (
    CompactedRevision,
    LeaseExpired,
    StoreError,
    StoreUnavailable,
    StoreUnknown,
)
from geraniumspool.store import (
    GRANT,
    KEEPALIVE,
    RANGE,
    TXN,
    WATCH,
    WATCH_POLL_MS,
    StoreCall,
    WatchQueue,
)

# Changes kept for watches that start at an older revision.
HISTORY_LIMIT = 1_000


class _GrantedLease:
    """A lease that has not expired, with the keys bound to it."""

    def __init__(self, ttl_ms: float, expires_ms: float):
        self.ttl_ms = ttl_ms
        self.expires_ms = expires_ms
        self.keys: set[str] = set()


class MemoryStore:
    """Key-value store in memory, with faults that can be injected at any time.

    :ivar lose_answers: number of upcoming swaps and deletions that take effect
        but raise ``StoreUnknown``, as if their replies were lost
    :ivar slow_ms: delay of every call in milliseconds
    :ivar refuse_leases: whether granting and renewing leases fails
    :ivar calls: number of calls by kind
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters | None = None,
        timeout_ms: float = math.inf,
        history_limit: int = HISTORY_LIMIT,
    ):
        """Create an empty store at revision 1.

        :param clock: source of time for delays and the expiry of leases
        :param counters: where calls and failures are counted too, if given
        :param timeout_ms: call timeout; a call with a longer delay fails
        :param history_limit: changes kept for watches that start at an older revision
        """
        self.lose_answers = 0
        self.slow_ms = 0.0
        self.refuse_leases = False
        self.calls: Counter[str] = Counter()
        self._clock = clock
        self._counters = counters
        self._timeout_ms = timeout_ms
        self._down = False
        self._revision = 1
        self._pairs: dict[str, KeyValue] = {}
        self._history: deque[Change] = deque()
        self._history_limit = history_limit
        self._compacted = 0
        self._grants: dict[int, _GrantedLease] = {}
        self._lease_ids = itertools.count(1)
        self._watchers: list[WatchQueue] = []

    @property
    def down(self) -> bool:
        """Whether the store is down: all calls fail, and open watches end with an error."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        self._down = down
        if down:
            for queue in self._watchers:
                queue.put(StoreUnavailable("watch failed: the store is down"))

    @property
    def revision(self) -> int:
        """Revision of the latest change."""
        return self._revision

    @property
    def compacted_revision(self) -> int:
        """Oldest revision from which a watch may start."""
        return self._compacted

    def compact(self) -> None:
        """Discard the history of changes."""
        self._history.clear()
        self._compacted = self._revision

    def lapse_leases(self) -> None:
        """Expire all leases immediately."""
        for lease in list(self._grants):
            self._expire(lease)

    def get(self, key: str) -> KeyValue | None:
        """Return one key, or None if it does not exist."""
        self._read(RANGE)
        return self._pairs.get(key)

    def list(self, prefix: str) -> Snapshot:
        """Return all keys that begin with a prefix, sorted, at one revision."""
        self._read(RANGE)
        keys = sorted(key for key in self._pairs if key.startswith(prefix))
        return Snapshot(self._revision, tuple(self._pairs[key] for key in keys))

    def swap(self, key: str, expected_revision: int, value: bytes, lease: int = 0) -> SwapOutcome:
        """Write ``value`` if the key's revision is ``expected_revision``.

        :param expected_revision: modification revision, or 0 if the key must not exist
        :param lease: lease to bind the key to, or 0
        :raises LeaseExpired: if the lease has expired; nothing was written
        """
        in_time = self._begin_call(TXN)
        outcome = self._check_revision(key, expected_revision) or self._put(key, value, lease)
        self._finish_write(in_time)
        return outcome

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete the key if its revision is ``expected_revision``."""
        in_time = self._begin_call(TXN)
        outcome = self._check_revision(key, expected_revision)
        if outcome is None:
            self._remove([key])
            outcome = SwapOutcome(True, 0, None)
        self._finish_write(in_time)
        return outcome

    def grant_lease(self, ttl_ms: float) -> int:
        """Return the id of a new lease that expires unless it is renewed.

        :param ttl_ms: time to live in milliseconds
        """
        in_time = self._begin_lease_call(GRANT)
        lease = next(self._lease_ids)
        self._grants[lease] = _GrantedLease(ttl_ms, self._clock.now() + ttl_ms)
        self._schedule_expiry(lease)
        self._raise_if_late(GRANT, in_time)
        return lease

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in milliseconds.

        :raises LeaseExpired: if the lease has expired
        """
        in_time = self._begin_lease_call(KEEPALIVE)
        grant = self._find_lease(lease)
        grant.expires_ms = self._clock.now() + grant.ttl_ms
        self._raise_if_late(KEEPALIVE, in_time)
        return grant.ttl_ms

    def watch(self, prefix: str, revision: int) -> Iterator[Change | None]:
        """Return an iterator over the changes after ``revision`` of keys with a prefix.

        While nothing changes, the iterator yields None at regular intervals.

        :raises CompactedRevision: if the store has discarded changes after ``revision``
        :raises StoreUnavailable: if the store is down, or from the iterator if it goes down
        """
        self._read(WATCH)
        if revision < self._compacted:
            raise CompactedRevision(f"changes are compacted up to revision {self._compacted}")
        queue = WatchQueue(prefix)
        for change in self._history:
            if change.revision > revision and change.key.startswith(prefix):
                queue.put(change)
        self._watchers.append(queue)
        changes = self._read_changes(queue)
        next(changes)
        return changes

    def _read_changes(self, queue: WatchQueue) -> Iterator[Change | None]:
        try:
            # watch() consumes this item: closing a generator that was never started would not run
            # the finally clause.
            yield None
            while True:
                yield queue.get(self._clock, WATCH_POLL_MS)
        except StoreUnavailable:
            self._count("store_failures", WATCH)
            raise
        finally:
            self._watchers.remove(queue)

    def _count(self, name: str, call: StoreCall) -> None:
        if self._counters:
            self._counters.add(name, kind=call.kind)

    def _count_failure(self, call: StoreCall, error: StoreError) -> StoreError:
        self._count("store_failures", call)
        return error

    def _begin_call(self, call: StoreCall) -> bool:
        """Count and delay a call; return whether its reply arrives within the timeout."""
        self.calls[call.kind] += 1
        self._count("store_calls", call)
        in_time = self.slow_ms <= self._timeout_ms
        if self.slow_ms and not self._down:
            self._clock.sleep(min(self.slow_ms, self._timeout_ms))
        if self._down:
            raise self._count_failure(call, StoreUnavailable("the store is down"))
        return in_time

    def _begin_lease_call(self, call: StoreCall) -> bool:
        in_time = self._begin_call(call)
        if self.refuse_leases:
            raise self._count_failure(call, StoreUnavailable("the store refuses lease calls"))
        return in_time

    def _raise_if_late(self, call: StoreCall, in_time: bool) -> None:
        if not in_time:
            raise self._count_failure(
                call, call.unanswered_error(f"no reply within {self._timeout_ms:.0f} ms")
            )

    def _read(self, call: StoreCall) -> None:
        self._raise_if_late(call, self._begin_call(call))

    def _finish_write(self, in_time: bool) -> None:
        self._raise_if_late(TXN, in_time)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise self._count_failure(TXN, StoreUnknown("the reply was lost"))

    def _check_revision(self, key: str, expected_revision: int) -> SwapOutcome | None:
        current = self._pairs.get(key)
        revision = current.revision if current else 0
        if revision == expected_revision:
            return None
        return SwapOutcome(False, revision, current)

    def _put(self, key: str, value: bytes, lease: int) -> SwapOutcome:
        grant = self._find_lease(lease) if lease else None
        self._unbind(key)
        if grant:
            grant.keys.add(key)
        self._revision += 1
        self._pairs[key] = KeyValue(key, value, self._revision)
        self._append_change(Change(key, value, self._revision))
        return SwapOutcome(True, self._revision, None)

    def _remove(self, keys: Iterable[str]) -> None:
        """Delete the existing ones of some keys, all at one new revision."""
        present = [key for key in keys if key in self._pairs]
        if present:
            self._revision += 1
        for key in present:
            self._unbind(key)
            del self._pairs[key]
            self._append_change(Change(key, None, self._revision))

    def _unbind(self, key: str) -> None:
        for grant in self._grants.values():
            grant.keys.discard(key)

    def _append_change(self, change: Change) -> None:
        self._history.append(change)
        if len(self._history) > self._history_limit:
            self._compacted = self._history.popleft().revision
        for queue in self._watchers:
            if change.key.startswith(queue.prefix):
                queue.put(change)

    def _find_lease(self, lease: int) -> _GrantedLease:
        grant = self._grants.get(lease)
        if grant is None:
            raise LeaseExpired("requested lease not found")
        return grant

    def _schedule_expiry(self, lease: int) -> None:
        delay_ms = self._grants[lease].expires_ms - self._clock.now()
        self._clock.after(delay_ms, lambda: self._expire_if_due(lease))

    def _expire_if_due(self, lease: int) -> None:
        grant = self._grants.get(lease)
        if grant is None:
            return
        if self._clock.now() < grant.expires_ms:
            self._schedule_expiry(lease)
        else:
            self._expire(lease)

    def _expire(self, lease: int) -> None:
        grant = self._grants.pop(lease)
        self._remove(sorted(grant.keys))
