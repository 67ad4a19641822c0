"""A small HTTP layer on :mod:`eventlet.wsgi`: routes, problem details, drain.

Handlers run in the green task of their connection and return a
:class:`Reply`. Every phase of a connection (idle, headers, body, reply) has a
time limit of its own that a caller cannot stretch by sending bytes slowly.
"""

import errno
import logging
import math
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import parse_qsl, unquote

import eventlet
import msgspec
from eventlet import wsgi
from eventlet.event import Event
from eventlet.green import socket

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import Clock, Counters
from geraniumspool.errors import (
    DispatchError,
    Finding,
    MethodNotAllowed,
    NotFound,
    PayloadTooLarge,
)

JSON = "application/json"
PROBLEM_JSON = "application/problem+json"
PROBLEM_TYPE = "urn:geraniumspool:"
BODY_INCOMPLETE = "body_incomplete"
ENCODING_UNSUPPORTED = "transfer_encoding_unsupported"
REQUEST_MALFORMED = "request_malformed"
QUERY_INVALID = "query_invalid"

BACKLOG = 1024
MAX_QUERY_FIELDS = 64
MAX_CHUNK_LINE = 1024
SWEEP_MS = 500.0
LINGER_MS = 2_000.0
LINGER_BYTES = 4 << 20
ACCEPT_PAUSE_S = 0.05
SETTLE_TURNS = 5
IDLE_GRACE_MS = 250.0

_CONNECTION = "geraniumspool.connection"
_STATUS_LINES = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}
_NO_QUERY: Mapping[str, str] = MappingProxyType({})
_ENCODER = msgspec.json.Encoder()
_PARAMETER = None


class Request(NamedTuple):
    """One request with its body, which was read whole.

    :param path: path as it was sent, without the query
    :param parameters: values of the route's ``{…}`` segments, in order
    :param query: query fields; the last one wins where a name is repeated
    :param environ: the WSGI environment
    """

    method: str
    path: str
    parameters: tuple[str, ...]
    query: Mapping[str, str]
    environ: Mapping[str, Any]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value, or ``default`` where it was not sent."""
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = "HTTP_" + key
        return self.environ.get(key, default)


class Reply(NamedTuple):
    """What a handler answers."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()


class ProblemFinding(TypedDict):
    """One fault of the input inside a :class:`Problem`."""

    place: str
    line: int
    path: str
    text: str


class Problem(TypedDict):
    """Problem details of RFC 9457 with this project's members."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: NotRequired[str]
    decision: NotRequired[Any]
    retry_after_ms: NotRequired[float]
    next_ticket: NotRequired[str]
    job: NotRequired[str]
    findings: NotRequired[list[ProblemFinding]]


def retry_after_s(retry_after_ms: float) -> int:
    """Return whole seconds for a ``Retry-After`` header, rounded up."""
    return max(0, math.ceil(retry_after_ms / MS_PER_SECOND))


def reply_json(status: int, value: Any, **headers: str) -> Reply:
    """Return a reply with a JSON body.

    :param status: HTTP status
    :param value: anything that :mod:`msgspec` encodes; ``msgspec.Raw`` is embedded
    :param headers: further headers, named like ``retry_after``
    """
    named = tuple((name.replace("_", "-").title(), text) for name, text in headers.items())
    return Reply(status, _ENCODER.encode(value), JSON, named)


def reply_problem(
    status: int,
    code: str,
    detail: str,
    outcome: str | None = None,
    decision: Any = None,
    retry_after_ms: float | None = None,
    next_ticket: str | None = None,
    job: str | None = None,
    findings: Iterable[Finding] = (),
) -> Reply:
    """Return a failure as problem details; members without a value are left out.

    :param status: HTTP status
    :param code: stable code that programs may rely on
    :param detail: what happened, for people
    :param outcome: ``not_run`` or ``may_have_run`` where the request was for a job
    :param decision: the decision behind a refusal
    :param retry_after_ms: when another try may help, in milliseconds
    :param next_ticket: a fresh ticket for the caller's next job
    :param job: the ticket of the job that the answer is about
    :param findings: all faults found in the input
    """
    problem: Problem = {
        "type": PROBLEM_TYPE + code,
        "title": code.replace("_", " ").capitalize(),
        "status": status,
        "detail": detail,
        "code": code,
    }
    if outcome is not None:
        problem["outcome"] = outcome
    if decision is not None:
        problem["decision"] = decision
    if job is not None:
        problem["job"] = job
    if next_ticket is not None:
        problem["next_ticket"] = next_ticket
    listed = [ProblemFinding(**finding._asdict()) for finding in findings]
    if listed:
        problem["findings"] = listed
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after_ms is not None:
        problem["retry_after_ms"] = retry_after_ms
        headers = (("Retry-After", str(retry_after_s(retry_after_ms))),)
    return Reply(status, _ENCODER.encode(problem), PROBLEM_JSON, headers)


def reply_error(error: DispatchError) -> Reply:
    """Return the problem details of a typed error."""
    return reply_problem(
        error.status,
        error.code,
        error.detail,
        retry_after_ms=error.retry_after_ms,
        findings=getattr(error, "findings", ()),
    )


class Route(NamedTuple):
    """One method of one path.

    :param pattern: path such as ``/v1/jobs/{ticket}``; a literal segment goes
        before a ``{…}`` one in the same place
    """

    method: str
    pattern: str
    handler: Callable[[Request], Reply]


class _Refused(Exception):
    """The request ends with this reply before any handler saw it."""

    def __init__(self, reply: Reply, reusable: bool = False):
        super().__init__(reply.status)
        self.reply = reply
        self.reusable = reusable


class _Node:
    """One segment in the tree of routes."""

    def __init__(self):
        self.children: dict[str | None, _Node] = {}
        self.handlers: dict[str, Callable[[Request], Reply]] = {}


class _Router:
    def __init__(self, routes: Iterable[Route]):
        self._root = _Node()
        for route in routes:
            self._add(route)

    def _add(self, route: Route) -> None:
        node = self._root
        for segment in route.pattern.split("/")[1:]:
            key = _PARAMETER if segment.startswith("{") else segment
            node = node.children.setdefault(key, _Node())
        node.handlers[route.method] = route.handler

    def find(self, path: str) -> tuple[_Node, tuple[str, ...]]:
        node = self._root
        parameters = []
        for segment in path.split("/")[1:]:
            child = node.children.get(segment)
            if child is None:
                child = node.children.get(_PARAMETER) if segment else None
                if child is None:
                    raise NotFound(f"there is no {path}")
                parameters.append(unquote(segment) if "%" in segment else segment)
            node = child
        if not node.handlers:
            raise NotFound(f"there is no {path}")
        return node, tuple(parameters)


class Application:
    """A WSGI callable that hands requests to the handlers of its routes."""

    def __init__(
        self,
        routes: Iterable[Route],
        max_body_bytes: int,
        counters: Counters,
        logger: logging.Logger,
    ):
        """Take the routes.

        :param routes: what is served
        :param max_body_bytes: largest request body; a larger one is refused unread
        :param counters: where ``http_requests`` is counted by status
        :param logger: where unexpected exceptions go
        """
        self._router = _Router(routes)
        self._max_body_bytes = max_body_bytes
        self._counters = counters
        self._logger = logger

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> list[bytes]:
        """Answer one request, as PEP 3333 says."""
        connection = environ.get(_CONNECTION, _UNATTACHED)
        reusable = True
        try:
            body = self._read_body(environ, connection)
            reply = self._handle(environ, body)
        except _Refused as refused:
            reply, reusable = refused.reply, refused.reusable
        self._counters.add("http_requests", status=str(reply.status))
        connection.begin_reply(reusable)
        headers = [("Content-Type", reply.content_type), *reply.headers]
        start_response(_STATUS_LINES.get(reply.status, f"{reply.status} Other"), headers)
        if environ["REQUEST_METHOD"] == "HEAD" or not reply.body:
            return []
        return [reply.body]

    def _handle(self, environ: dict[str, Any], body: bytes) -> Reply:
        try:
            path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
            method = environ["REQUEST_METHOD"]
            node, parameters = self._router.find(path)
            handler = node.handlers.get(method)
            if handler is None:
                return _reply_method_not_allowed(method, node)
            query = _parse_query(environ.get("QUERY_STRING"))
            return handler(Request(method, path, parameters, query, environ, body))
        except DispatchError as error:
            if error.status == HTTPStatus.INTERNAL_SERVER_ERROR:
                self._logger.error("request failed: %s", error.detail, exc_info=True)
            return reply_error(error)
        except _Refused:
            raise
        except (Exception, eventlet.Timeout):
            self._logger.exception("request failed")
            return reply_problem(500, "internal", "the request failed unexpectedly")

    def _read_body(self, environ: dict[str, Any], connection: "_Attachable") -> bytes:
        encoding = environ.get("HTTP_TRANSFER_ENCODING")
        length = environ.get("CONTENT_LENGTH")
        if encoding is not None:
            if encoding.lower() != "chunked":
                raise _refuse(501, ENCODING_UNSUPPORTED, "only chunked bodies are understood")
            size = None
        elif not length:
            return b""
        else:
            size = self._check_length(length, environ)
            if size == 0:
                return b""
        connection.begin_body()
        body = _read(environ["wsgi.input"], self._max_body_bytes + 1 if size is None else size)
        connection.begin_work()
        if size is None and len(body) > self._max_body_bytes:
            raise self._too_large()
        if size is not None and len(body) < size:
            raise _refuse(400, BODY_INCOMPLETE, f"the body ended after {len(body)} of {size} bytes")
        return body

    def _check_length(self, length: str, environ: dict[str, Any]) -> int:
        repeated = sum(name.lower() == "content-length" for name, _ in environ["headers_raw"]) > 1
        if repeated or not (length.isascii() and length.isdigit()):
            raise _refuse(400, BODY_INCOMPLETE, "Content-Length is not one plain number")
        # A number of absurd length is not converted: its digits alone say enough.
        if len(length) > len(str(self._max_body_bytes)) + 8 or int(length) > self._max_body_bytes:
            raise self._too_large()
        return int(length)

    def _too_large(self) -> _Refused:
        error = PayloadTooLarge(f"a body may have {self._max_body_bytes} bytes")
        return _Refused(reply_error(error))


def _refuse(status: int, code: str, detail: str, reusable: bool = False) -> _Refused:
    return _Refused(reply_problem(status, code, detail), reusable)


def _reply_method_not_allowed(method: str, node: _Node) -> Reply:
    allowed = ", ".join(sorted(node.handlers))
    reply = reply_error(MethodNotAllowed(f"{method} is not one of {allowed}"))
    return reply._replace(headers=(("Allow", allowed),))


def _parse_query(text: str | None) -> Mapping[str, str]:
    if not text:
        return _NO_QUERY
    try:
        return dict(parse_qsl(text, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS))
    except ValueError as error:
        raise _refuse(400, QUERY_INVALID, str(error), reusable=True) from error


def _read(source: Any, limit: int) -> bytes:
    try:
        return source.read(limit)
    except (OSError, ValueError) as error:
        raise _refuse(400, BODY_INCOMPLETE, f"the body could not be read: {error}") from error


class _Attachable:
    """What an application tells the connection it answers on; here: nothing."""

    def begin_body(self) -> None:
        pass

    def begin_work(self) -> None:
        pass

    def begin_reply(self, reusable: bool) -> None:
        pass


_UNATTACHED = _Attachable()


class _HeaderLines:
    """Remembers the last line read, to tell a whole head from a cut one."""

    def __init__(self, source: Any):
        self._source = source
        self.last = b""

    def readline(self, size: int = -1) -> bytes:
        self.last = self._source.readline(size)
        return self.last


class _BodyLines:
    """Bounds the lines between the chunks of a chunked body."""

    def __init__(self, source: Any):
        self._source = source
        self.read = source.read

    def readline(self, size: int = MAX_CHUNK_LINE) -> bytes:
        line = self._source.readline(size)
        if len(line) >= MAX_CHUNK_LINE:
            raise wsgi.ChunkReadError("a chunk's line is too long")
        return line


class _Connection(wsgi.HttpProtocol, _Attachable):
    """One caller's connection, with a time limit on each phase."""

    def __init__(self, server: "WebServer", conn_state: list, wsgi_server: Any):
        self._server = server
        self._deadline = math.inf
        self._shutdown = socket.SHUT_RDWR
        self._lingers = False
        self._idle = False
        self.environ = None
        server.connections.add(self)
        try:
            super().__init__(conn_state, wsgi_server)
        finally:
            server.connections.discard(self)

    def begin_body(self) -> None:
        self._limit(self._server.limits.body_ms, socket.SHUT_RD)

    def begin_work(self) -> None:
        self._limit(math.inf)

    def begin_reply(self, reusable: bool) -> None:
        self._limit(self._server.limits.body_ms)
        if not reusable:
            self._lingers = True
        if not reusable or self._server.draining:
            self.close_connection = 1

    def expire(self, now: float) -> None:
        """End the current phase if its time is over."""
        if now < self._deadline:
            return
        self._deadline = math.inf
        with suppress(OSError):
            self.connection.shutdown(self._shutdown)

    def close_idle(self) -> None:
        """Close the connection if it waits for a request."""
        if self._idle:
            with suppress(OSError):
                self.connection.shutdown(socket.SHUT_RDWR)

    def _limit(self, limit_ms: float, shutdown: int = socket.SHUT_RDWR) -> None:
        self._deadline = self._server.clock.now() + limit_ms
        self._shutdown = shutdown

    def handle(self) -> None:
        try:
            super().handle()
        except OSError:
            # The caller went away; there is nobody left to tell.
            self.close_connection = True

    def handle_one_request(self) -> None:
        self.environ = None
        super().handle_one_request()
        if self.environ is None and self.raw_requestline:
            self._lingers = True
        if self._server.draining:
            self.close_connection = 1

    def _read_request_line(self) -> bytes:
        self._limit(self._server.limits.idle_ms)
        # An idle state would have the library close this connection at the
        # start of a drain, maybe just as its next request arrives.
        self.conn_state[2] = wsgi.STATE_REQUEST
        self._idle = True
        try:
            if not self.rfile.peek(1):
                return b""
            self._idle = False
            self._limit(self._server.limits.header_ms)
            line = self.rfile.readline(self.server.url_length_limit)
        except OSError:
            return b""
        whole = line.endswith(b"\n") or len(line) >= self.server.url_length_limit
        return line if whole else b""

    def parse_request(self) -> bool:
        lines = self.rfile = _HeaderLines(self.rfile)
        if not super().parse_request():
            return False
        if lines.last in (b"\r\n", b"\n") and self.request_version != "HTTP/0.9":
            return True
        self.close_connection = True
        return False

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[_CONNECTION] = self
        source = environ["wsgi.input"]
        if source.chunked_input:
            source.rfile = _BodyLines(source.rfile)
        self.begin_work()
        return environ

    def finish(self) -> None:
        if self._lingers:
            self._linger()
        super().finish()

    def _linger(self) -> None:
        # Closing with unread bytes resets the connection, and the caller may
        # then never see the answer (RFC 9112, section 9.6).
        self._limit(LINGER_MS)
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            left = LINGER_BYTES
            while left > 0:
                data = self.connection.recv(64 << 10)
                if not data:
                    return
                left -= len(data)
        except OSError:
            return

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Answer a request that could not be parsed, and close."""
        self.close_connection = True
        status_line = _STATUS_LINES[code]
        reply = reply_problem(code, REQUEST_MALFORMED, "the request could not be parsed")
        head = (
            f"HTTP/1.1 {status_line}\r\nContent-Type: {reply.content_type}\r\n"
            f"Content-Length: {len(reply.body)}\r\nConnection: close\r\n\r\n"
        )
        self.wfile.write(head.encode() + reply.body)

    def log_message(self, *_args: Any) -> None:
        """Write no access log; requests are counted instead."""


class _Listener:
    """A listening socket whose ``accept`` outlives faults of single callers."""

    def __init__(self, listening: Any):
        self._listening = listening
        self.family = listening.family

    def accept(self) -> tuple[Any, Any]:
        while True:
            try:
                return self._listening.accept()
            except OSError as error:
                if error.errno == errno.ESHUTDOWN:
                    raise
                # Out of descriptors, or the caller gave up: others still wait.
                eventlet.sleep(ACCEPT_PAUSE_S)

    def getsockname(self) -> Any:
        return self._listening.getsockname()

    def close(self) -> None:
        self._listening.close()


class Limits(NamedTuple):
    """Time limits of a connection's phases, in milliseconds.

    :param header_ms: from a request's first byte to the end of its headers
    :param body_ms: for the body to arrive, and for the reply to be taken
    :param idle_ms: between two requests
    """

    header_ms: float = 10_000.0
    body_ms: float = 30_000.0
    idle_ms: float = 75_000.0


class WebServer:
    """Serves an application on one address."""

    def __init__(
        self,
        application: Callable,
        listen: str,
        clock: Clock,
        max_connections: int = 1024,
        header_timeout_ms: float = Limits().header_ms,
        body_timeout_ms: float = Limits().body_ms,
        idle_timeout_ms: float = Limits().idle_ms,
    ):
        """Prepare to serve.

        :param application: the WSGI callable
        :param listen: ``host:port`` to bind; port 0 takes a free one
        :param clock: source of time for limits and drain
        :param max_connections: connections served at once; more wait unaccepted
        :param header_timeout_ms: see :class:`Limits`
        :param body_timeout_ms: see :class:`Limits`
        :param idle_timeout_ms: see :class:`Limits`
        """
        self.clock = clock
        self.limits = Limits(header_timeout_ms, body_timeout_ms, idle_timeout_ms)
        self.connections: set[_Connection] = set()
        self.draining = False
        self.address = listen
        self._application = application
        self._pool = eventlet.GreenPool(max_connections)
        self._listening: Any = None
        self._task: Any = None
        self._finished = Event()
        self._sweep_timer: Any = None

    def start(self) -> None:
        """Bind and begin to serve; ``address`` says where.

        :raises OSError: if the address cannot be bound
        """
        self._listening = _listen(self.address)
        host, port = self._listening.getsockname()[:2]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self._task = eventlet.spawn(self._serve)
        eventlet.sleep(0)
        self._sweep()

    def drain(self, limit_ms: float) -> bool:
        """Refuse new connections and let the requests in flight finish.

        A request that arrives on a kept connection within a short grace is
        answered too; connections that stay idle are closed after it.

        :param limit_ms: longest wait in milliseconds
        :returns: whether all of them finished
        """
        if self._task is None:
            return True
        if not self.draining:
            # Requests that reached this host already are taken in first.
            for _ in range(SETTLE_TURNS):
                eventlet.sleep(0)
            self._refuse_connections()
            self.clock.after(min(IDLE_GRACE_MS, limit_ms / 2), self._close_idle)
        return self.clock.wait(self._finished, limit_ms)

    def stop(self) -> None:
        """Close everything at once, also requests in flight."""
        if self._task is None:
            return
        if not self.draining:
            self._refuse_connections()
        for task in list(self._pool.coroutines_running):
            task.kill()
        self._sweep_timer.cancel()

    def _refuse_connections(self) -> None:
        self.draining = True
        with suppress(OSError):
            self._listening.shutdown(socket.SHUT_RDWR)
        self._task.kill(OSError(errno.ESHUTDOWN, "draining"))
        self._listening.close()

    def _serve(self) -> None:
        try:
            wsgi.server(
                _Listener(self._listening),
                self._application,
                protocol=partial(_Connection, self),
                custom_pool=self._pool,
                keepalive=True,
                log_output=False,
                debug=False,
            )
        finally:
            self._finished.send()

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            connection.close_idle()

    def _sweep(self) -> None:
        now = self.clock.now()
        for connection in list(self.connections):
            connection.expire(now)
        if not self._finished.ready():
            self._sweep_timer = self.clock.after(SWEEP_MS, self._sweep)


def _listen(address: str) -> Any:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted sockets inherit this; replies of several segments need it.
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
