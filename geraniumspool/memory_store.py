"""The platform's key-value service in memory, with faults for tests."""

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
    Mailbox,
    StoreCall,
)

HISTORY_LIMIT = 1_000


class _Grant:
    """A lease that has not lapsed, and the keys bound to it."""

    def __init__(self, ttl_ms: float, due_ms: float):
        self.ttl_ms = ttl_ms
        self.due_ms = due_ms
        self.keys: set[str] = set()


class MemoryStore:
    """The store in memory, with faults that can be switched at any time.

    :ivar lose_answers: how many of the next swaps and deletions take effect
        but raise ``StoreUnknown``
    :ivar slow_ms: delay of every call in milliseconds
    :ivar refuse_leases: whether leases are neither granted nor renewed
    :ivar calls: calls so far, by kind
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters | None = None,
        timeout_ms: float = math.inf,
        history_limit: int = HISTORY_LIMIT,
    ):
        """Start empty, at revision 1.

        :param clock: what leases lapse by
        :param counters: where calls and failures are counted as well
        :param timeout_ms: longest delay before a call fails
        :param history_limit: changes kept for watches from older revisions
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
        self._grants: dict[int, _Grant] = {}
        self._lease_ids = itertools.count(1)
        self._watchers: list[Mailbox] = []

    @property
    def down(self) -> bool:
        """Whether every call is refused and every watch is broken."""
        return self._down

    @down.setter
    def down(self, down: bool) -> None:
        self._down = down
        if down:
            for mailbox in self._watchers:
                mailbox.put(StoreUnavailable("watch broken"))

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    @property
    def compacted_revision(self) -> int:
        """Oldest revision that a watch may still follow on from."""
        return self._compacted

    def compact(self) -> None:
        """Forget all changes up to now."""
        self._history.clear()
        self._compacted = self._revision

    def lapse_leases(self) -> None:
        """Let all leases lapse now."""
        for lease in list(self._grants):
            self._lapse(lease)

    def get(self, key: str) -> KeyValue | None:
        """Return one key, or None where there is none."""
        self._read(RANGE)
        return self._pairs.get(key)

    def list(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix at one revision, in order."""
        self._read(RANGE)
        keys = sorted(key for key in self._pairs if key.startswith(prefix))
        return Snapshot(self._revision, tuple(self._pairs[key] for key in keys))

    def swap(self, key: str, expected_revision: int, value: bytes, lease: int = 0) -> SwapOutcome:
        """Write ``value`` if the key's revision is ``expected_revision``.

        :param expected_revision: modification revision, 0 where the key must not exist
        :param lease: lease to bind the key to, or 0
        :raises LeaseExpired: if the lease lapsed; nothing was written
        """
        in_time = self._admit(TXN)
        outcome = self._lost(key, expected_revision) or self._put(key, value, lease)
        self._answer_write(in_time)
        return outcome

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete the key if its revision is ``expected_revision``."""
        in_time = self._admit(TXN)
        outcome = self._lost(key, expected_revision)
        if outcome is None:
            self._remove([key])
            outcome = SwapOutcome(True, 0, None)
        self._answer_write(in_time)
        return outcome

    def grant_lease(self, ttl_ms: float) -> int:
        """Return a new lease that lapses unless it is kept alive."""
        in_time = self._admit_lease(GRANT)
        lease = next(self._lease_ids)
        self._grants[lease] = _Grant(ttl_ms, self._clock.now() + ttl_ms)
        self._schedule(lease)
        self._check_time(GRANT, in_time)
        return lease

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in milliseconds.

        :raises LeaseExpired: if it lapsed
        """
        in_time = self._admit_lease(KEEPALIVE)
        grant = self._grant(lease)
        grant.due_ms = self._clock.now() + grant.ttl_ms
        self._check_time(KEEPALIVE, in_time)
        return grant.ttl_ms

    def watch(self, prefix: str, revision: int) -> Iterator[Change | None]:
        """Return an iterator over changes under a prefix after ``revision``.

        :raises CompactedRevision: if that revision was forgotten
        :raises StoreUnavailable: from the iterator too, if the store goes down
        """
        self._read(WATCH)
        if revision < self._compacted:
            raise CompactedRevision(f"compacted up to revision {self._compacted}")
        mailbox = Mailbox(prefix)
        for change in self._history:
            if change.revision > revision and change.key.startswith(prefix):
                mailbox.put(change)
        self._watchers.append(mailbox)
        changes = self._follow(mailbox)
        next(changes)
        return changes

    def _follow(self, mailbox: Mailbox) -> Iterator[Change | None]:
        try:
            # A generator that was never started would not run its clean-up.
            yield None
            while True:
                yield mailbox.take(self._clock, WATCH_POLL_MS)
        except StoreUnavailable:
            self._count("store_failures", WATCH)
            raise
        finally:
            self._watchers.remove(mailbox)

    def _count(self, name: str, call: StoreCall) -> None:
        if self._counters:
            self._counters.add(name, kind=call.kind)

    def _fail(self, call: StoreCall, error: StoreError) -> StoreError:
        self._count("store_failures", call)
        return error

    def _admit(self, call: StoreCall) -> bool:
        """Count and delay a call; return whether its answer comes in time."""
        self.calls[call.kind] += 1
        self._count("store_calls", call)
        in_time = self.slow_ms <= self._timeout_ms
        if self.slow_ms and not self._down:
            self._clock.sleep(min(self.slow_ms, self._timeout_ms))
        if self._down:
            raise self._fail(call, StoreUnavailable("the store is down"))
        return in_time

    def _admit_lease(self, call: StoreCall) -> bool:
        in_time = self._admit(call)
        if self.refuse_leases:
            raise self._fail(call, StoreUnavailable("leases are refused"))
        return in_time

    def _check_time(self, call: StoreCall, in_time: bool) -> None:
        if not in_time:
            raise self._fail(call, call.doubt("no answer in time"))

    def _read(self, call: StoreCall) -> None:
        self._check_time(call, self._admit(call))

    def _answer_write(self, in_time: bool) -> None:
        self._check_time(TXN, in_time)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise self._fail(TXN, StoreUnknown("the answer was lost"))

    def _lost(self, key: str, expected_revision: int) -> SwapOutcome | None:
        current = self._pairs.get(key)
        revision = current.revision if current else 0
        if revision == expected_revision:
            return None
        return SwapOutcome(False, revision, current)

    def _put(self, key: str, value: bytes, lease: int) -> SwapOutcome:
        grant = self._grant(lease) if lease else None
        self._unbind(key)
        if grant:
            grant.keys.add(key)
        self._revision += 1
        self._pairs[key] = KeyValue(key, value, self._revision)
        self._record(Change(key, value, self._revision))
        return SwapOutcome(True, self._revision, None)

    def _remove(self, keys: Iterable[str]) -> None:
        """Delete those keys that exist, all at one new revision."""
        present = [key for key in keys if key in self._pairs]
        if present:
            self._revision += 1
        for key in present:
            self._unbind(key)
            del self._pairs[key]
            self._record(Change(key, None, self._revision))

    def _unbind(self, key: str) -> None:
        for grant in self._grants.values():
            grant.keys.discard(key)

    def _record(self, change: Change) -> None:
        self._history.append(change)
        if len(self._history) > self._history_limit:
            self._compacted = self._history.popleft().revision
        for mailbox in self._watchers:
            if change.key.startswith(mailbox.prefix):
                mailbox.put(change)

    def _grant(self, lease: int) -> _Grant:
        grant = self._grants.get(lease)
        if grant is None:
            raise LeaseExpired("requested lease not found")
        return grant

    def _schedule(self, lease: int) -> None:
        delay_ms = self._grants[lease].due_ms - self._clock.now()
        self._clock.after(delay_ms, lambda: self._check_lease(lease))

    def _check_lease(self, lease: int) -> None:
        grant = self._grants.get(lease)
        if grant is None:
            return
        if self._clock.now() < grant.due_ms:
            self._schedule(lease)
        else:
            self._lapse(lease)

    def _lapse(self, lease: int) -> None:
        grant = self._grants.pop(lease)
        self._remove(sorted(grant.keys))
