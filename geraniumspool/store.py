"""The platform's key-value service: an etcd client and a store in memory."""

import itertools
import math
import socket
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypeVar

import eventlet
import msgspec
import urllib3
from eventlet.event import Event
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import (
    Change,
    Clock,
    Counters,
    KeyValue,
    Snapshot,
    SwapOutcome,
)
from geraniumspool.errors import (
    CompactedRevision,
    LeaseExpired,
    StoreError,
    StoreUnavailable,
    StoreUnknown,
)
from geraniumspool.etcd import (
    DELETE_EVENT,
    GRANT_PATH,
    KEEPALIVE_PATH,
    NOT_FOUND,
    RANGE_PATH,
    REJECTED,
    TXN_PATH,
    WATCH_PATH,
    Compare,
    DeleteRequest,
    ErrorReply,
    KeepAliveLine,
    Lease,
    Operation,
    PutRequest,
    RangeReply,
    RangeRequest,
    TxnReply,
    TxnRequest,
    WatchCreate,
    WatchLine,
    WatchReply,
    WatchRequest,
    WirePair,
    prefix_range,
)

DEFAULT_TIMEOUT_MS = 2_000.0
WATCH_POLL_MS = 1_000.0
HISTORY_LIMIT = 1_000

_HTTP_OK = 200
_HTTP_SERVER_ERROR = 500
_CONNECTIONS = 16
# TCP keepalive ends a silent watch whose host vanished.
_SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
]

Reply = TypeVar("Reply")

_OPENED = object()


class _Call(NamedTuple):
    kind: str
    path: str
    doubt: type[StoreError]


_RANGE = _Call("range", RANGE_PATH, StoreUnavailable)
_TXN = _Call("txn", TXN_PATH, StoreUnknown)
_GRANT = _Call("grant", GRANT_PATH, StoreUnknown)
_KEEPALIVE = _Call("keepalive", KEEPALIVE_PATH, StoreUnknown)
_WATCH = _Call("watch", WATCH_PATH, StoreUnavailable)


class _Mailbox:
    """Queue from a watch's writers to its one reader."""

    def __init__(self, prefix: str = ""):
        self.prefix = prefix
        self._items: deque = deque()
        self._woken = Event()

    def put(self, item) -> None:
        self._items.append(item)
        if not self._woken.ready():
            self._woken.send()

    def take(self, clock: Clock, timeout_ms: float):
        """Return the next item, raise it if it is an error, or None on timeout."""
        if not clock.wait(self._woken, timeout_ms):
            return None
        item = self._items.popleft()
        if not self._items:
            self._woken = Event()
        if isinstance(item, StoreError):
            raise item
        return item


class EtcdStore:
    """Client for the subset of etcd's v3 JSON gateway that the dispatcher uses.

    No call is retried, except at another address after a refused connection.
    After any other fault of a member, the next call begins with another one.
    """

    def __init__(
        self,
        urls: list[str],
        clock: Clock,
        counters: Counters,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
        poll_ms: float = WATCH_POLL_MS,
    ):
        """Prepare the client without connecting.

        :param urls: base addresses of the store's members, in order of preference
        :param clock: source of time for watches
        :param counters: where calls and failures are counted
        :param timeout_ms: longest wait for a connection and for an answer
        :param poll_ms: how often an idle watch yields None
        """
        self._urls = deque(url.rstrip("/") for url in urls)
        self._clock = clock
        self._counters = counters
        self._timeout_ms = timeout_ms
        self._poll_ms = poll_ms
        self._pool = urllib3.PoolManager(
            maxsize=_CONNECTIONS, retries=False, socket_options=_SOCKET_OPTIONS
        )

    def get(self, key: str) -> KeyValue | None:
        """Return one key, or None where there is none."""
        reply = self._call(_RANGE, RangeRequest(key.encode()), RangeReply)
        return _first_pair(reply)

    def list(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix at one revision."""
        reply = self._call(_RANGE, prefix_range(prefix), RangeReply)
        pairs = tuple(_key_value(pair) for pair in reply.kvs)
        return Snapshot(int(reply.header.revision), pairs)

    def swap(self, key: str, expected_revision: int, value: bytes, lease: int = 0) -> SwapOutcome:
        """Write ``value`` if the key's revision is ``expected_revision``.

        :param expected_revision: modification revision, 0 where the key must not exist
        :param lease: lease to bind the key to, or 0
        :raises LeaseExpired: if the lease lapsed; nothing was written
        :raises StoreUnavailable: if nothing was written
        :raises StoreUnknown: if the value may have been written
        """
        put = PutRequest(key.encode(), value, str(lease) if lease else 0)
        reply = self._transact(key, expected_revision, Operation(request_put=put))
        if reply.succeeded:
            return SwapOutcome(True, int(reply.header.revision), None)
        return _lost_swap(reply)

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete the key if its revision is ``expected_revision``.

        :returns: the outcome, with revision 0 where the key was deleted
        :raises StoreUnavailable: if nothing was deleted
        :raises StoreUnknown: if the key may have been deleted
        """
        removal = DeleteRequest(key.encode())
        reply = self._transact(key, expected_revision, Operation(request_delete_range=removal))
        if reply.succeeded:
            return SwapOutcome(True, 0, None)
        return _lost_swap(reply)

    def grant_lease(self, ttl_ms: float) -> int:
        """Return a new lease that lapses unless it is kept alive.

        :param ttl_ms: time to live in milliseconds, rounded up to whole seconds
        """
        seconds = max(1, math.ceil(ttl_ms / MS_PER_SECOND))
        reply = self._call(_GRANT, Lease(ttl=str(seconds)), Lease)
        return int(reply.id)

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in milliseconds.

        :raises LeaseExpired: if it lapsed
        """
        reply = self._call(_KEEPALIVE, Lease(id=str(lease)), KeepAliveLine)
        seconds = int(reply.result.ttl)
        if seconds <= 0:
            raise LeaseExpired(f"lease {lease} lapsed")
        return seconds * MS_PER_SECOND

    def watch(self, prefix: str, revision: int) -> Iterator[Change | None]:
        """Yield changes under a prefix after ``revision``, until a fault.

        None is yielded while nothing changes. One call is made however long
        the watch lives.

        :raises CompactedRevision: if the store no longer has that revision
        :raises StoreUnavailable: if the stream breaks
        """
        self._counters.add("store_calls", kind=_WATCH.kind)
        mailbox = _Mailbox()
        reader = eventlet.spawn(self._read_watch, prefix, revision, mailbox)
        try:
            if mailbox.take(self._clock, self._timeout_ms) is None:
                raise StoreUnavailable("the watch was not opened in time")
            while True:
                yield mailbox.take(self._clock, self._poll_ms)
        except StoreUnavailable:
            self._counters.add("store_failures", kind=_WATCH.kind)
            raise
        finally:
            reader.kill()

    def _transact(self, key: str, expected_revision: int, operation: Operation) -> TxnReply:
        encoded = key.encode()
        request = TxnRequest(
            compare=[Compare(encoded, str(expected_revision))],
            success=[operation],
            failure=[Operation(request_range=RangeRequest(encoded))],
        )
        return self._call(_TXN, request, TxnReply)

    def _call(self, call: _Call, request: msgspec.Struct, reply_type: type[Reply]) -> Reply:
        self._counters.add("store_calls", kind=call.kind)
        try:
            return self._exchange(call, request, reply_type)
        except (StoreUnavailable, StoreUnknown):
            self._counters.add("store_failures", kind=call.kind)
            raise

    def _exchange(self, call: _Call, request: msgspec.Struct, reply_type: type[Reply]) -> Reply:
        timeout = urllib3.Timeout(total=self._timeout_ms / MS_PER_SECOND)
        response = self._post(call, request, timeout)
        if response.status != _HTTP_OK:
            raise _refusal(call, response.status, response.data)
        try:
            return msgspec.json.decode(response.data, type=reply_type)
        except msgspec.DecodeError as error:
            raise call.doubt(f"unreadable answer: {error}") from error

    def _post(self, call: _Call, request: msgspec.Struct, timeout: urllib3.Timeout, **options):
        body = msgspec.json.encode(request)
        headers = {"Content-Type": "application/json"}
        for url in tuple(self._urls):
            try:
                response = self._pool.request(
                    "POST",
                    url + call.path,
                    body=body,
                    headers=headers,
                    timeout=timeout,
                    redirect=False,
                    **options,
                )
            except NewConnectionError:
                self._demote(url)
            except ConnectTimeoutError as error:
                self._demote(url)
                raise StoreUnavailable(f"no connection in time: {error}") from error
            except (HTTPError, OSError) as error:
                self._demote(url)
                raise call.doubt(f"no answer: {error}") from error
            else:
                if response.status >= _HTTP_SERVER_ERROR:
                    self._demote(url)
                return response
        raise StoreUnavailable("connections refused")

    def _demote(self, url: str) -> None:
        """Let the next call begin with another address."""
        if self._urls[0] == url:
            self._urls.rotate(-1)

    def _read_watch(self, prefix: str, revision: int, mailbox: _Mailbox) -> None:
        """Read one watch's stream into its mailbox, error included."""
        try:
            self._follow(prefix, revision, mailbox)
        except StoreError as error:
            mailbox.put(error)
        except (HTTPError, OSError, ValueError, msgspec.DecodeError) as error:
            mailbox.put(StoreUnavailable(f"watch broken: {error}"))

    def _follow(self, prefix: str, revision: int, mailbox: _Mailbox) -> None:
        span = prefix_range(prefix)
        create = WatchCreate(span.key, span.range_end, str(revision + 1), progress_notify=True)
        timeout = urllib3.Timeout(connect=self._timeout_ms / MS_PER_SECOND, read=None)
        response = self._post(_WATCH, WatchRequest(create), timeout, preload_content=False)
        try:
            if response.status != _HTTP_OK:
                raise _refusal(_WATCH, response.status, response.read())
            for line in response:
                _deliver(msgspec.json.decode(line, type=WatchLine).result, mailbox)
        finally:
            response.close()
        raise StoreUnavailable("watch ended")


def _deliver(reply: WatchReply, mailbox: _Mailbox) -> None:
    if int(reply.compact_revision):
        raise CompactedRevision(f"compacted up to revision {reply.compact_revision}")
    if reply.canceled:
        raise StoreUnavailable("watch cancelled by the store")
    if reply.created:
        mailbox.put(_OPENED)
    for event in reply.events:
        value = None if event.type == DELETE_EVENT else event.kv.value
        mailbox.put(Change(event.kv.key.decode(), value, int(event.kv.mod_revision)))


def _refusal(call: _Call, status: int, body: bytes) -> StoreError:
    try:
        reply = msgspec.json.decode(body, type=ErrorReply)
    except msgspec.DecodeError:
        reply = ErrorReply()
    if reply.code == NOT_FOUND and "lease" in reply.message:
        return LeaseExpired(reply.message)
    kind = StoreUnavailable if reply.code in REJECTED else call.doubt
    return kind(f"HTTP {status}: {reply.message}")


def _key_value(pair: WirePair) -> KeyValue:
    return KeyValue(pair.key.decode(), pair.value, int(pair.mod_revision))


def _first_pair(reply: RangeReply) -> KeyValue | None:
    return _key_value(reply.kvs[0]) if reply.kvs else None


def _lost_swap(reply: TxnReply) -> SwapOutcome:
    found = reply.responses[0].response_range if reply.responses else None
    current = _first_pair(found) if found else None
    return SwapOutcome(False, current.revision if current else 0, current)


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
        self._watchers: list[_Mailbox] = []

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
        self._read(_RANGE)
        return self._pairs.get(key)

    def list(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix at one revision, in order."""
        self._read(_RANGE)
        keys = sorted(key for key in self._pairs if key.startswith(prefix))
        return Snapshot(self._revision, tuple(self._pairs[key] for key in keys))

    def swap(self, key: str, expected_revision: int, value: bytes, lease: int = 0) -> SwapOutcome:
        """Write ``value`` if the key's revision is ``expected_revision``.

        :param expected_revision: modification revision, 0 where the key must not exist
        :param lease: lease to bind the key to, or 0
        :raises LeaseExpired: if the lease lapsed; nothing was written
        """
        in_time = self._admit(_TXN)
        outcome = self._lost(key, expected_revision) or self._put(key, value, lease)
        self._answer_write(in_time)
        return outcome

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete the key if its revision is ``expected_revision``."""
        in_time = self._admit(_TXN)
        outcome = self._lost(key, expected_revision)
        if outcome is None:
            self._remove([key])
            outcome = SwapOutcome(True, 0, None)
        self._answer_write(in_time)
        return outcome

    def grant_lease(self, ttl_ms: float) -> int:
        """Return a new lease that lapses unless it is kept alive."""
        in_time = self._admit_lease(_GRANT)
        lease = next(self._lease_ids)
        self._grants[lease] = _Grant(ttl_ms, self._clock.now() + ttl_ms)
        self._schedule(lease)
        self._check_time(_GRANT, in_time)
        return lease

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in milliseconds.

        :raises LeaseExpired: if it lapsed
        """
        in_time = self._admit_lease(_KEEPALIVE)
        grant = self._grant(lease)
        grant.due_ms = self._clock.now() + grant.ttl_ms
        self._check_time(_KEEPALIVE, in_time)
        return grant.ttl_ms

    def watch(self, prefix: str, revision: int) -> Iterator[Change | None]:
        """Return an iterator over changes under a prefix after ``revision``.

        :raises CompactedRevision: if that revision was forgotten
        :raises StoreUnavailable: from the iterator too, if the store goes down
        """
        self._read(_WATCH)
        if revision < self._compacted:
            raise CompactedRevision(f"compacted up to revision {self._compacted}")
        mailbox = _Mailbox(prefix)
        for change in self._history:
            if change.revision > revision and change.key.startswith(prefix):
                mailbox.put(change)
        self._watchers.append(mailbox)
        changes = self._follow(mailbox)
        next(changes)
        return changes

    def _follow(self, mailbox: _Mailbox) -> Iterator[Change | None]:
        try:
            # A generator that was never started would not run its clean-up.
            yield None
            while True:
                yield mailbox.take(self._clock, WATCH_POLL_MS)
        except StoreUnavailable:
            self._count("store_failures", _WATCH)
            raise
        finally:
            self._watchers.remove(mailbox)

    def _count(self, name: str, call: _Call) -> None:
        if self._counters:
            self._counters.add(name, kind=call.kind)

    def _fail(self, call: _Call, error: StoreError) -> StoreError:
        self._count("store_failures", call)
        return error

    def _admit(self, call: _Call) -> bool:
        """Count and delay a call; return whether its answer comes in time."""
        self.calls[call.kind] += 1
        self._count("store_calls", call)
        in_time = self.slow_ms <= self._timeout_ms
        if self.slow_ms and not self._down:
            self._clock.sleep(min(self.slow_ms, self._timeout_ms))
        if self._down:
            raise self._fail(call, StoreUnavailable("the store is down"))
        return in_time

    def _admit_lease(self, call: _Call) -> bool:
        in_time = self._admit(call)
        if self.refuse_leases:
            raise self._fail(call, StoreUnavailable("leases are refused"))
        return in_time

    def _check_time(self, call: _Call, in_time: bool) -> None:
        if not in_time:
            raise self._fail(call, call.doubt("no answer in time"))

    def _read(self, call: _Call) -> None:
        self._check_time(call, self._admit(call))

    def _answer_write(self, in_time: bool) -> None:
        self._check_time(_TXN, in_time)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise self._fail(_TXN, StoreUnknown("the answer was lost"))

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
