"""HTTP connection of one caller on :mod:`eventlet.wsgi`, with size and time limits.

Every phase of a connection (idle, headers, body, reply) has its own time
limit. A caller cannot extend it by sending bytes slowly.
"""

import math
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple, Protocol

import eventlet
from eventlet import wsgi
from eventlet.green import socket
from eventlet.hubs import trampoline

from geraniumspool.body_budget import BodyBudget
from geraniumspool.contracts import Clock
from geraniumspool.reply import STATUS_LINES, reply_problem

REQUEST_MALFORMED = "request_malformed"
CONNECTION_KEY = "geraniumspool.connection"

# Limit of the line that precedes each chunk of a chunked body, in bytes.
MAX_CHUNK_LINE = 1024
# Limit of these lines in one body. Each takes about as much processor time as a kilobyte.
MAX_CHUNK_LINES = 1_024
# After so many of them other green threads run, as a client may send them without a pause.
LINES_PER_TURN = 64
# Limits for reading and discarding the rest of a rejected request before the connection is closed.
LINGER_MS = 2_000.0
LINGER_BYTES = 4 << 20


class Limits(NamedTuple):
    """Time limits of a connection's phases, in milliseconds.

    :param header_ms: limit from a request's first byte to the end of its headers
    :param body_ms: limit for receiving the body, and again for sending the reply
    :param idle_ms: limit of the wait for the next request
    """

    header_ms: float = 10_000.0
    body_ms: float = 30_000.0
    idle_ms: float = 75_000.0


class Server(Protocol):
    """Attributes of the server that a connection uses.

    :ivar max_header_bytes: limit of a request's head (request line and headers)
    :ivar draining: whether the server has stopped accepting connections
    :ivar keep_alive_disabled: whether each connection is closed after its next reply
    :ivar connections: all open connections
    :ivar bodies: memory for the request bodies of all connections
    """

    limits: Limits
    max_header_bytes: int
    clock: Clock
    draining: bool
    keep_alive_disabled: bool
    connections: set["Connection"]
    bodies: BodyBudget


class ConnectionCallbacks:
    """Callbacks from an application to the connection of its request; here all do nothing."""

    def begin_body(self) -> None:
        """Signal that the application starts to read the request's body."""

    def reserve_body(self, size: int) -> bool:
        """Reserve memory for a part of the body; return whether there is enough.

        :param size: bytes that are received next
        """
        return True

    def finish_body(self, size: int) -> None:
        """Signal that the whole body was received.

        :param size: bytes of the body
        """

    @property
    def is_body_aborted(self) -> bool:
        """Whether the receipt of the body was ended for want of memory."""
        return False

    def begin_handling(self) -> None:
        """Signal that the request is read completely and the handler starts."""

    def begin_reply(self, reusable: bool) -> None:
        """Signal that the reply is about to be sent.

        :param reusable: whether the connection can serve another request after the reply
        """

    def watch_disconnect(self, on_disconnect: Callable[[], None]) -> Callable[[], None]:
        """Call ``on_disconnect`` if the caller closes the connection before the reply.

        :param on_disconnect: called at most once, from another green thread
        :returns: function that ends the watch; must be called before the reply
        """
        return _do_nothing


def _do_nothing() -> None:
    pass


NO_CONNECTION = ConnectionCallbacks()


class _HeadTooLarge(Exception):
    """A request's head exceeds ``max_header_bytes``."""


class _BoundedHeadReader:
    """Reader that limits the size of a request's head.

    :ivar last: last line read; an empty line if the head is complete
    """

    def __init__(self, source: Any, remaining: int):
        self._source = source
        self._remaining = remaining
        self.last = b""

    def readline(self, size: int) -> bytes:
        self.last = self._source.readline(min(size, self._remaining + 1))
        self._remaining -= len(self.last)
        if self._remaining < 0:
            raise _HeadTooLarge
        return self.last


class _BoundedChunkReader:
    """Reader that limits the lines between the chunks of a chunked body."""

    def __init__(self, source: Any):
        self._source = source
        self._lines = 0
        self.read = source.read

    def readline(self, size: int = MAX_CHUNK_LINE) -> bytes:
        self._lines += 1
        if self._lines > MAX_CHUNK_LINES:
            raise wsgi.ChunkReadError("the body has too many chunks")
        if self._lines % LINES_PER_TURN == 0:
            eventlet.sleep(0)
        line = self._source.readline(size)
        if len(line) >= MAX_CHUNK_LINE:
            raise wsgi.ChunkReadError("a chunk's line is too long")
        return line


class Connection(wsgi.HttpProtocol, ConnectionCallbacks):
    """HTTP connection of one caller, with a time limit on each phase.

    :ivar waits_since_ms: since when a request or the rest of one is awaited, None while a request
        is handled
    """

    def __init__(self, server: Server, conn_state: list, wsgi_server: Any):
        """Serve the connection until it ends.

        :param server: the server with its limits
        :param conn_state: connection state of :mod:`eventlet.wsgi`
        :param wsgi_server: server object of :mod:`eventlet.wsgi`
        """
        self._server = server
        self._deadline_ms = math.inf
        self._shutdown_how = socket.SHUT_RDWR
        self._must_linger = False
        self._is_idle = False
        self._is_body_aborted = False
        self.environ = None
        self.waits_since_ms = server.clock.now()
        server.connections.add(self)
        try:
            super().__init__(conn_state, wsgi_server)
        finally:
            server.connections.discard(self)
            server.bodies.release(self)

    def begin_body(self) -> None:
        """Start the time limit of the body; see :meth:`ConnectionCallbacks.begin_body`."""
        self._start_limit(self._server.limits.body_ms, socket.SHUT_RD)
        self.waits_since_ms = self._server.clock.now()

    def reserve_body(self, size: int) -> bool:
        """Reserve memory for a part of the body; see :class:`BodyBudget`."""
        return not self._is_body_aborted and self._server.bodies.reserve(self, size)

    def finish_body(self, size: int) -> None:
        """Keep the memory of a whole body until the request is answered."""
        self._server.bodies.finish(self, size)

    @property
    def is_body_aborted(self) -> bool:
        """Whether the receipt of the body was ended for want of memory."""
        return self._is_body_aborted

    def abort_body(self) -> None:
        """End the receipt of the body; the caller still gets a reply."""
        self._is_body_aborted = True
        with suppress(OSError):
            self.connection.shutdown(socket.SHUT_RD)

    def begin_handling(self) -> None:
        """Suspend the time limit while the request is handled."""
        self._start_limit(math.inf)
        self.waits_since_ms = None

    def begin_reply(self, reusable: bool) -> None:
        """Start the time limit of the reply; see :meth:`ConnectionCallbacks.begin_reply`."""
        self._start_limit(self._server.limits.body_ms)
        if self._is_body_aborted:
            self._server.bodies.release(self)
        if not reusable:
            self._must_linger = True
        if not reusable or self._server.draining or self._server.keep_alive_disabled:
            self.close_connection = 1

    def watch_disconnect(self, on_disconnect: Callable[[], None]) -> Callable[[], None]:
        """Detect that the caller disconnects; see :meth:`ConnectionCallbacks.watch_disconnect`."""
        return eventlet.spawn(self._watch_socket, on_disconnect).kill

    def _watch_socket(self, gone: Callable[[], None]) -> None:
        try:
            trampoline(self.connection, read=True)
            if self.connection.fd.recv(1, socket.MSG_PEEK):
                # A pipelined request arrived; it is read after the current one.
                return
        except BlockingIOError:
            return
        except OSError:
            # A connection reset also means that the caller has disconnected.
            pass
        gone()

    def expire(self, now: float) -> None:
        """Shut the socket down if the current phase has exceeded its time limit.

        :param now: current time of the clock in milliseconds
        """
        if now < self._deadline_ms:
            return
        self._deadline_ms = math.inf
        with suppress(OSError):
            self.connection.shutdown(self._shutdown_how)

    def abort(self) -> None:
        """Close the connection, whatever it waits for."""
        with suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

    def close_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self._is_idle:
            self.abort()

    def _start_limit(self, limit_ms: float, shutdown: int = socket.SHUT_RDWR) -> None:
        self._deadline_ms = self._server.clock.now() + limit_ms
        self._shutdown_how = shutdown

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        try:
            super().handle()
        except OSError:
            # The caller has disconnected, so no error reply can be sent.
            self.close_connection = True

    def handle_one_request(self) -> None:
        """Serve one request; called by the base class."""
        self.environ = None
        super().handle_one_request()
        self._server.bodies.release(self)
        if self.environ is None and self.raw_requestline:
            self._must_linger = True
        if self._server.draining:
            self.close_connection = 1

    def _read_request_line(self) -> bytes:
        self._start_limit(self._server.limits.idle_ms)
        self.waits_since_ms = self._server.clock.now()
        # With the state "idle", eventlet would close this connection at the start of a drain,
        # possibly while its next request arrives.
        self.conn_state[2] = wsgi.STATE_REQUEST
        self._is_idle = True
        try:
            if not self.rfile.peek(1):
                return b""
            self._is_idle = False
            self._start_limit(self._server.limits.header_ms)
            line = self.rfile.readline(self.server.url_length_limit)
        except OSError:
            return b""
        whole = line.endswith(b"\n") or len(line) >= self.server.url_length_limit
        return line if whole else b""

    def parse_request(self) -> bool:
        """Read a request's head; return whether it is complete and valid."""
        # Read below eventlet's own limits, so that only the configured limit applies.
        remaining = self._server.max_header_bytes - len(self.raw_requestline)
        lines = self.rfile = _BoundedHeadReader(self.rfile.fp, remaining)
        try:
            if not super().parse_request():
                return False
        except _HeadTooLarge:
            self._send_problem(431, f"a head may have {self._server.max_header_bytes} bytes")
            return False
        if lines.last in (b"\r\n", b"\n") and self.request_version != "HTTP/0.9":
            return True
        self.close_connection = True
        return False

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of the request."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self
        source = environ["wsgi.input"]
        if source.chunked_input:
            source.rfile = _BoundedChunkReader(source.rfile)
        self.begin_handling()
        return environ

    def finish(self) -> None:
        """Close the connection in a way that lets the caller receive the last reply."""
        if self._must_linger:
            self._discard_input()
        super().finish()

    def _discard_input(self) -> None:
        # Closing a socket with unread input resets the connection, and the caller may then never
        # receive the reply (RFC 9112, section 9.6).
        self._start_limit(LINGER_MS)
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            remaining = LINGER_BYTES
            while remaining > 0:
                data = self.connection.recv(64 << 10)
                if not data:
                    return
                remaining -= len(data)
        except OSError:
            return

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Reply to a request that could not be parsed, then close the connection."""
        self._send_problem(code, "the request could not be parsed")

    def _send_problem(self, code: int, detail: str) -> None:
        self.close_connection = True
        status_line = STATUS_LINES[code]
        reply = reply_problem(code, REQUEST_MALFORMED, detail)
        head = (
            f"HTTP/1.1 {status_line}\r\nContent-Type: {reply.content_type}\r\n"
            f"Content-Length: {len(reply.body)}\r\nConnection: close\r\n\r\n"
        )
        self.wfile.write(head.encode() + reply.body)

    def log_message(self, *_args: Any) -> None:
        """Write no access log; requests are counted in the metrics instead."""
