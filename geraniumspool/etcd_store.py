"""Client of the platform's key-value store through etcd's JSON gateway."""

import math
import socket
from collections import deque
from collections.abc import Iterator
from typing import TypeVar

import eventlet
import msgspec
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import Change, Clock, Counters, KeyValue, Snapshot, SwapOutcome
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import (
    CompactedRevision,
    LeaseExpired,
    StoreError,
    StoreUnavailable,
    StoreUnknown,
)
from geraniumspool.etcd import (
    DELETE_EVENT,
    NOT_FOUND,
    REJECTED,
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

DEFAULT_TIMEOUT_MS = 2_000.0
# A watch over which nothing has arrived for this long is opened again over a new connection: the
# old one may be dead without notice, and a change must be in force within seconds.
WATCH_IDLE_LIMIT_MS = 3_000.0

_HTTP_OK = 200
_HTTP_SERVER_ERROR = 500
_CONNECTIONS = 16
# TCP keepalive detects that the host behind a silent watch is gone.
_SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
]

Reply = TypeVar("Reply")

# Item in a watch's queue that reports that the watch was opened.
_OPENED = object()


class EtcdStore:
    """Client for the subset of etcd's v3 JSON gateway that the dispatcher uses.

    A call is tried at another address only if the connection was refused. After
    any other failure of a store member, the call fails and the next call begins
    with another member.
    """

    def __init__(
        self,
        urls: list[str],
        clock: Clock,
        counters: Counters,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
        poll_ms: float = WATCH_POLL_MS,
        watch_idle_ms: float = WATCH_IDLE_LIMIT_MS,
    ):
        """Create the client without connecting.

        :param urls: base URLs of the store's members, in order of preference
        :param clock: source of time for watches
        :param counters: where calls and failures are counted
        :param timeout_ms: limit for a call, from connecting to the reply, in milliseconds
        :param poll_ms: interval at which an idle watch yields None, in milliseconds
        :param watch_idle_ms: time without data after which a watch is opened again, in milliseconds
        """
        self._urls = deque(url.rstrip("/") for url in urls)
        self._clock = clock
        self._counters = counters
        self._timeout_ms = timeout_ms
        self._poll_ms = poll_ms
        self._watch_idle_ms = watch_idle_ms
        self._pool = urllib3.PoolManager(
            maxsize=_CONNECTIONS, retries=False, socket_options=_SOCKET_OPTIONS
        )

    def get(self, key: str) -> KeyValue | None:
        """Return one key, or None if it does not exist."""
        reply = self._call(RANGE, RangeRequest(key.encode()), RangeReply)
        return _first_pair(reply)

    def list(self, prefix: str) -> Snapshot:
        """Return all keys that begin with a prefix, at one revision."""
        reply = self._call(RANGE, prefix_range(prefix), RangeReply)
        pairs = tuple(_key_value(pair) for pair in reply.kvs)
        return Snapshot(int(reply.header.revision), pairs)

    def swap(self, key: str, expected_revision: int, value: bytes, lease: int = 0) -> SwapOutcome:
        """Write ``value`` if the key's revision is ``expected_revision``.

        :param expected_revision: modification revision, or 0 if the key must not exist
        :param lease: lease to bind the key to, or 0
        :raises LeaseExpired: if the lease has expired; nothing was written
        :raises StoreUnavailable: if nothing was written
        :raises StoreUnknown: if the value may have been written
        """
        put = PutRequest(key.encode(), value, str(lease) if lease else 0)
        reply = self._transact(key, expected_revision, Operation(request_put=put))
        if reply.succeeded:
            return SwapOutcome(True, int(reply.header.revision), None)
        return _failed_swap(reply)

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete the key if its revision is ``expected_revision``.

        :returns: the outcome, with revision 0 if the key was deleted
        :raises StoreUnavailable: if nothing was deleted
        :raises StoreUnknown: if the key may have been deleted
        """
        removal = DeleteRequest(key.encode())
        reply = self._transact(key, expected_revision, Operation(request_delete_range=removal))
        if reply.succeeded:
            return SwapOutcome(True, 0, None)
        return _failed_swap(reply)

    def grant_lease(self, ttl_ms: float) -> int:
        """Return the id of a new lease that expires unless it is renewed.

        :param ttl_ms: time to live in milliseconds, rounded up to whole seconds
        """
        seconds = max(1, math.ceil(ttl_ms / MS_PER_SECOND))
        reply = self._call(GRANT, Lease(ttl=str(seconds)), Lease)
        return int(reply.id)

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in milliseconds.

        :raises LeaseExpired: if the lease has expired
        """
        reply = self._call(KEEPALIVE, Lease(id=str(lease)), KeepAliveLine)
        seconds = int(reply.result.ttl)
        if seconds <= 0:
            raise LeaseExpired(f"lease {lease} has expired")
        return seconds * MS_PER_SECOND

    def watch(self, prefix: str, revision: int) -> Iterator[Change | None]:
        """Yield the changes after ``revision`` of keys with a prefix, until a failure.

        While nothing changes, None is yielded at the poll interval. A watch counts as a single
        call while data arrives, and as another one each time that it is opened again after
        ``watch_idle_ms``.

        :raises CompactedRevision: if the store has discarded changes after ``revision``
        :raises StoreUnavailable: if the watch cannot be opened or the stream breaks
        """
        queue = WatchQueue()
        reader = eventlet.spawn(self._read_watch, prefix, revision, queue)
        try:
            if queue.get(self._clock, self._timeout_ms) is None:
                raise StoreUnavailable(f"watch was not opened within {self._timeout_ms:.0f} ms")
            while True:
                item = queue.get(self._clock, self._poll_ms)
                yield None if item is _OPENED else item
        except StoreUnavailable:
            self._counters.add("store_failures", kind=WATCH.kind)
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
        return self._call(TXN, request, TxnReply)

    def _call(self, call: StoreCall, request: msgspec.Struct, reply_type: type[Reply]) -> Reply:
        self._counters.add("store_calls", kind=call.kind)
        try:
            return self._post_and_decode(call, request, reply_type)
        except (StoreUnavailable, StoreUnknown):
            self._counters.add("store_failures", kind=call.kind)
            raise

    def _post_and_decode(
        self, call: StoreCall, request: msgspec.Struct, reply_type: type[Reply]
    ) -> Reply:
        timeout = urllib3.Timeout(total=self._timeout_ms / MS_PER_SECOND)
        response = self._post(call, request, timeout)
        if response.status != _HTTP_OK:
            raise _error_for_reply(call, response.status, response.data)
        try:
            return msgspec.json.decode(response.data, type=reply_type)
        except DECODE_ERRORS as error:
            raise call.unanswered_error(f"reply could not be decoded: {error}") from error

    def _post(self, call: StoreCall, request: msgspec.Struct, timeout: urllib3.Timeout, **options):
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
                self._move_to_end(url)
            except ConnectTimeoutError as error:
                self._move_to_end(url)
                raise StoreUnavailable(f"connection timed out: {error}") from error
            except (HTTPError, OSError) as error:
                self._move_to_end(url)
                raise call.unanswered_error(f"no reply: {error}") from error
            else:
                if response.status >= _HTTP_SERVER_ERROR:
                    self._move_to_end(url)
                return response
        raise StoreUnavailable("connection refused at every address")

    def _move_to_end(self, url: str) -> None:
        """Move an address to the end of the list if it is the first."""
        if self._urls[0] == url:
            self._urls.rotate(-1)

    def _read_watch(self, prefix: str, revision: int, queue: WatchQueue) -> None:
        """Read the stream of a watch into its queue, the final error included."""
        try:
            while True:
                revision = self._read_stream(prefix, revision, queue)
        except StoreError as error:
            queue.put(error)
        except (HTTPError, OSError, ValueError, *DECODE_ERRORS) as error:
            queue.put(StoreUnavailable(f"watch failed: {error}"))

    def _read_stream(self, prefix: str, revision: int, queue: WatchQueue) -> int:
        """Read a stream until nothing has arrived for too long; return the revision reached."""
        self._counters.add("store_calls", kind=WATCH.kind)
        key_range = prefix_range(prefix)
        create = WatchCreate(
            key_range.key, key_range.range_end, str(revision + 1), progress_notify=True
        )
        timeout = urllib3.Timeout(
            connect=self._timeout_ms / MS_PER_SECOND, read=self._watch_idle_ms / MS_PER_SECOND
        )
        response = self._post(WATCH, WatchRequest(create), timeout, preload_content=False)
        try:
            if response.status != _HTTP_OK:
                raise _error_for_reply(WATCH, response.status, response.read())
            for line in response:
                reply = msgspec.json.decode(line, type=WatchLine).result
                _queue_changes(reply, queue)
                revision = max([revision, *(int(e.kv.mod_revision) for e in reply.events)])
        except ReadTimeoutError:
            return revision
        finally:
            response.close()
        raise StoreUnavailable("watch stream was closed by the store")


def _queue_changes(reply: WatchReply, queue: WatchQueue) -> None:
    if int(reply.compact_revision):
        raise CompactedRevision(f"changes are compacted up to revision {reply.compact_revision}")
    if reply.canceled:
        raise StoreUnavailable("watch was cancelled by the store")
    if reply.created:
        queue.put(_OPENED)
    for event in reply.events:
        value = None if event.type == DELETE_EVENT else event.kv.value
        queue.put(Change(event.kv.key.decode(), value, int(event.kv.mod_revision)))


def _error_for_reply(call: StoreCall, status: int, body: bytes) -> StoreError:
    try:
        reply = msgspec.json.decode(body, type=ErrorReply)
    except DECODE_ERRORS:
        reply = ErrorReply()
    if reply.code == NOT_FOUND and "lease" in reply.message:
        return LeaseExpired(reply.message)
    error_type = StoreUnavailable if reply.code in REJECTED else call.unanswered_error
    return error_type(f"HTTP {status}: {reply.message}")


def _key_value(pair: WirePair) -> KeyValue:
    return KeyValue(pair.key.decode(), pair.value, int(pair.mod_revision))


def _first_pair(reply: RangeReply) -> KeyValue | None:
    return _key_value(reply.kvs[0]) if reply.kvs else None


def _failed_swap(reply: TxnReply) -> SwapOutcome:
    range_reply = reply.responses[0].response_range if reply.responses else None
    current = _first_pair(range_reply) if range_reply else None
    return SwapOutcome(False, current.revision if current else 0, current)
