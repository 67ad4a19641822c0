"""Stand-in for the platform's store: a subset of etcd's JSON gateway, with fault injection."""

import math
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import eventlet
import eventlet.wsgi
import msgspec

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import Change, Clock, KeyValue, SwapOutcome
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import (
    CompactedRevision,
    DispatchError,
    Finding,
    InvalidInput,
    LeaseExpired,
    NotFound,
    StoreUnavailable,
    StoreUnknown,
)
from geraniumspool.etcd import (
    COMPARE_REVISION,
    DELETE_EVENT,
    GRANT_PATH,
    INVALID_ARGUMENT,
    KEEPALIVE_PATH,
    NOT_FOUND,
    RANGE_PATH,
    TXN_PATH,
    UNAVAILABLE,
    WATCH_PATH,
    ErrorReply,
    Header,
    KeepAliveLine,
    Lease,
    OperationReply,
    RangeReply,
    RangeRequest,
    TxnReply,
    TxnRequest,
    WatchEvent,
    WatchLine,
    WatchReply,
    WatchRequest,
    WirePair,
    prefix_range,
)
from geraniumspool.memory_store import HISTORY_LIMIT, MemoryStore

FAULTS_PATH = "/faults"
CALLS_PATH = "/calls"

_GATEWAY_CODES = {
    StoreUnavailable: UNAVAILABLE,
    LeaseExpired: NOT_FOUND,
    NotFound: NOT_FOUND,
    InvalidInput: INVALID_ARGUMENT,
}
_STATUS_LINES = {
    NOT_FOUND: "404 Not Found",
    INVALID_ARGUMENT: "400 Bad Request",
    UNAVAILABLE: "503 Service Unavailable",
}
_OK = "200 OK"
_JSON_HEADERS = [("Content-Type", "application/json")]


class Faults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Request body of ``PUT /faults``; a fault that is left out stays as it is.

    :ivar down: whether calls fail with status 503; switching it on also ends open watches
    :ivar slow_ms: delay of every call in milliseconds
    :ivar lose_answers: number of following writes that are applied but not answered
    :ivar refuse_leases: whether granting and renewing leases fails
    :ivar lapse_leases: expire all leases now
    """

    down: bool | None = None
    slow_ms: float | None = None
    lose_answers: int | None = None
    refuse_leases: bool | None = None
    lapse_leases: bool = False


class _Route(NamedTuple):
    request_type: type
    handle: Callable[[Any], Any]


class StandinStore:
    """WSGI application with a subset of etcd's JSON gateway, on top of a store in memory.

    It supports lookups of a key or a prefix, writes of one key on condition of its
    revision, leases, and watches of a prefix.

    :ivar store: the underlying store; tests may set its faults directly
    """

    def __init__(self, clock: Clock, history_limit: int = HISTORY_LIMIT):
        """Create an empty store; :meth:`start` begins to serve it.

        :param clock: source of time for the expiry of leases and for delays
        :param history_limit: number of changes kept for watches that start at an older
            revision
        """
        self.store = MemoryStore(clock, history_limit=history_limit)
        self._listener: socket.socket | None = None
        self._server: eventlet.greenthread.GreenThread | None = None
        self._connections = eventlet.GreenPool()
        self._routes = {
            ("POST", RANGE_PATH): _Route(RangeRequest, self._range),
            ("POST", TXN_PATH): _Route(TxnRequest, self._transact),
            ("POST", GRANT_PATH): _Route(Lease, self._grant),
            ("POST", KEEPALIVE_PATH): _Route(Lease, self._keep_alive),
            ("POST", WATCH_PATH): _Route(WatchRequest, self._watch),
            ("PUT", FAULTS_PATH): _Route(Faults, self._set_faults),
            ("GET", CALLS_PATH): _Route(dict, self._count_calls),
        }

    def start(self, host: str, port: int = 0) -> tuple[str, int]:
        """Start to listen and serve requests.

        :param host: address to listen on
        :param port: port to listen on, or 0 for any free one
        :returns: the host and port in use
        """
        self._listener = eventlet.listen((host, port))
        bound = self._listener.getsockname()[:2]
        self._server = eventlet.spawn(
            eventlet.wsgi.server,
            self._listener,
            self,
            custom_pool=self._connections,
            minimum_chunk_size=1,
            log_output=False,
            debug=False,
        )
        return bound

    def stop(self) -> None:
        """Stop serving and close all connections; the store keeps its data."""
        if self._server is None:
            return
        self._server.kill()
        for connection in list(self._connections.coroutines_running):
            connection.kill()
        self._connections.waitall()
        self._listener.close()
        self._server = None

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request, as a WSGI application.

        :param environ: WSGI environment
        :param start_response: WSGI callback for status and headers
        """
        try:
            reply = self._answer(environ)
        except StoreUnknown:
            return _drop_connection(environ)
        except DispatchError as error:
            code = _GATEWAY_CODES[type(error)]
            start_response(_STATUS_LINES[code], list(_JSON_HEADERS))
            return [msgspec.json.encode(ErrorReply(code, error.detail))]
        start_response(_OK, list(_JSON_HEADERS))
        if isinstance(reply, Iterator):
            return _encode_lines(reply, environ)
        return [msgspec.json.encode(reply)]

    def _answer(self, environ: dict) -> Any:
        path = environ["PATH_INFO"]
        route = self._routes.get((environ["REQUEST_METHOD"], path))
        if route is None:
            raise NotFound(f"no such path: {path}")
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        try:
            return route.handle(msgspec.json.decode(body or b"{}", type=route.request_type))
        except (*DECODE_ERRORS, ValueError) as error:
            raise _invalid_request(path, str(error)) from error

    def _range(self, request: RangeRequest) -> RangeReply:
        if request.range_end:
            snapshot = self.store.list(_parse_prefix(request, RANGE_PATH))
            pairs = [_wire_pair(pair) for pair in snapshot.pairs]
            return RangeReply(_header(snapshot.revision), pairs)
        pair = self.store.get(request.key.decode())
        return RangeReply(self._header(), [_wire_pair(pair)] if pair else [])

    def _transact(self, request: TxnRequest) -> TxnReply:
        outcome = self._swap(request)
        if outcome.swapped:
            return TxnReply(_header(outcome.revision or self.store.revision), True)
        pairs = [_wire_pair(outcome.current)] if outcome.current else []
        current = OperationReply(RangeReply(self._header(), pairs))
        return TxnReply(self._header(), False, [current])

    def _swap(self, request: TxnRequest) -> SwapOutcome:
        if len(request.compare) != 1 or len(request.success) != 1:
            raise _invalid_request(TXN_PATH, "expected one comparison and one operation")
        compare, operation = request.compare[0], request.success[0]
        if (compare.target, compare.result) != (COMPARE_REVISION, "EQUAL"):
            raise _invalid_request(TXN_PATH, "expected a comparison of revisions for equality")
        write = operation.request_put or operation.request_delete_range
        if write is None or write.key != compare.key:
            raise _invalid_request(TXN_PATH, "expected a write of the key that is compared")
        key, expected = compare.key.decode(), int(compare.mod_revision)
        if operation.request_put:
            return self.store.swap(key, expected, write.value, int(write.lease))
        return self.store.delete(key, expected)

    def _grant(self, request: Lease) -> Lease:
        lease = self.store.grant_lease(int(request.ttl) * MS_PER_SECOND)
        return Lease(str(lease), str(request.ttl))

    def _keep_alive(self, request: Lease) -> KeepAliveLine:
        # etcd reports an expired lease by a reply without a TTL.
        try:
            ttl_ms = self.store.keep_alive(int(request.id))
        except LeaseExpired:
            return KeepAliveLine(Lease(str(request.id)))
        return KeepAliveLine(Lease(str(request.id), str(math.ceil(ttl_ms / MS_PER_SECOND))))

    def _watch(self, request: WatchRequest) -> Iterator[WatchReply]:
        create = request.create_request
        prefix = _parse_prefix(RangeRequest(create.key, create.range_end), WATCH_PATH)
        try:
            changes = self.store.watch(prefix, int(create.start_revision) - 1)
        except CompactedRevision:
            # etcd returns the oldest revision at which a watch may start.
            oldest = str(self.store.compacted_revision + 1)
            refusal = WatchReply(self._header(), canceled=True, compact_revision=oldest)
            return iter([self._watch_created(), refusal])
        return self._stream_changes(changes)

    def _stream_changes(self, changes: Iterator[Change | None]) -> Iterator[WatchReply]:
        yield self._watch_created()
        for change in changes:
            events = [_to_watch_event(change)] if change else []
            yield WatchReply(self._header(), events=events)

    def _watch_created(self) -> WatchReply:
        return WatchReply(self._header(), created=True)

    def _set_faults(self, faults: Faults) -> Faults:
        for name in ("down", "slow_ms", "lose_answers", "refuse_leases"):
            value = getattr(faults, name)
            if value is not None:
                setattr(self.store, name, value)
        if faults.lapse_leases:
            self.store.lapse_leases()
        return faults

    def _count_calls(self, _request: dict) -> dict[str, int]:
        return dict(self.store.calls)

    def _header(self) -> Header:
        return _header(self.store.revision)


def _header(revision: int) -> Header:
    return Header(str(revision))


def _wire_pair(pair: KeyValue) -> WirePair:
    return WirePair(pair.key.encode(), pair.value, str(pair.revision))


def _to_watch_event(change: Change) -> WatchEvent:
    pair = WirePair(change.key.encode(), change.value or b"", str(change.revision))
    if change.value is None:
        return WatchEvent(pair, DELETE_EVENT)
    return WatchEvent(pair)


def _parse_prefix(key_range: RangeRequest, path: str) -> str:
    prefix = "" if key_range.key == b"\0" else key_range.key.decode()
    if key_range != prefix_range(prefix):
        raise _invalid_request(path, "expected the range of a prefix")
    return prefix


def _invalid_request(path: str, text: str) -> InvalidInput:
    return InvalidInput([Finding("request", 0, path, text)])


def _encode_lines(replies: Iterator[WatchReply], environ: dict) -> Iterator[bytes]:
    try:
        for reply in replies:
            yield msgspec.json.encode(WatchLine(reply)) + b"\n"
    except StoreUnavailable:
        _drop_connection(environ)


def _drop_connection(environ: dict) -> list[bytes]:
    """Close the connection without a response."""
    eventlet.wsgi.WSGI_LOCAL.already_handled = True
    eventlet.greenio.shutdown_safe(environ["wsgi.input"].get_socket())
    return []
