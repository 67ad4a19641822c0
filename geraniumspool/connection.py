"""One caller's HTTP connection on :mod:`eventlet.wsgi`, with limits.

Every phase of a connection (idle, headers, body, reply) has a time limit of
its own that a caller cannot stretch by sending bytes slowly.
"""

import math
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple, Protocol

import eventlet
from eventlet import wsgi
from eventlet.green import socket
from eventlet.hubs import trampoline

from geraniumspool.contracts import Clock
from geraniumspool.reply import STATUS_LINES, reply_problem

REQUEST_MALFORMED = "request_malformed"
CONNECTION = "geraniumspool.connection"

MAX_CHUNK_LINE = 1024
LINGER_MS = 2_000.0
LINGER_BYTES = 4 << 20


class Limits(NamedTuple):
    """Time limits of a connection's phases, in milliseconds.

    :param header_ms: from a request's first byte to the end of its headers
    :param body_ms: for the body to arrive, and for the reply to be taken
    :param idle_ms: between two requests
    """

    header_ms: float = 10_000.0
    body_ms: float = 30_000.0
    idle_ms: float = 75_000.0


class Server(Protocol):
    """What a connection needs of its server."""

    limits: Limits
    max_header_bytes: int
    clock: Clock
    draining: bool
    retiring: bool
    connections: set["Connection"]


class Attachable:
    """What an application tells the connection it answers on; here: nothing."""

    def begin_body(self) -> None:
        """Begin to read a request's body."""

    def begin_work(self) -> None:
        """Begin to work on a request that was read whole."""

    def begin_reply(self, reusable: bool) -> None:
        """Begin to reply.

        :param reusable: whether the next request can be read after it
        """

    def watch_caller(self, gone: Callable[[], None]) -> Callable[[], None]:
        """Call ``gone`` if the caller closes the connection while it waits.

        :returns: ends the watch; must be called before the reply
        """
        return _do_nothing


def _do_nothing() -> None:
    pass


UNATTACHED = Attachable()


class _HeadTooLarge(Exception):
    """A request's head is longer than allowed."""


class _HeaderLines:
    """Bounds a head, and remembers its last line to tell a whole one from a cut one."""

    def __init__(self, source: Any, left: int):
        self._source = source
        self._left = left
        self.last = b""

    def readline(self, size: int) -> bytes:
        self.last = self._source.readline(min(size, self._left + 1))
        self._left -= len(self.last)
        if self._left < 0:
            raise _HeadTooLarge
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


class Connection(wsgi.HttpProtocol, Attachable):
    """One caller's connection, with a time limit on each phase."""

    def __init__(self, server: Server, conn_state: list, wsgi_server: Any):
        """Serve the connection to its end."""
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
        """Limit the time for the body."""
        self._limit(self._server.limits.body_ms, socket.SHUT_RD)

    def begin_work(self) -> None:
        """Lift the limits while the request is worked on."""
        self._limit(math.inf)

    def begin_reply(self, reusable: bool) -> None:
        """Limit the time for the reply; see :meth:`Attachable.begin_reply`."""
        self._limit(self._server.limits.body_ms)
        if not reusable:
            self._lingers = True
        if not reusable or self._server.draining or self._server.retiring:
            self.close_connection = 1

    def watch_caller(self, gone: Callable[[], None]) -> Callable[[], None]:
        """Watch for the caller's leaving; see :meth:`Attachable.watch_caller`."""
        return eventlet.spawn(self._watch, gone).kill

    def _watch(self, gone: Callable[[], None]) -> None:
        try:
            trampoline(self.connection, read=True)
            if self.connection.fd.recv(1, socket.MSG_PEEK):
                # The next request came early; it is read after this one.
                return
        except BlockingIOError:
            return
        except OSError:
            # A reset is a way to leave as well.
            pass
        gone()

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
        """Serve requests until the connection ends."""
        try:
            super().handle()
        except OSError:
            # The caller went away; there is nobody left to tell.
            self.close_connection = True

    def handle_one_request(self) -> None:
        """Serve one request; the library calls this."""
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
        """Read a request's head; return whether it is whole."""
        # The library's own bounds are taken off: the setting is the one in force.
        left = self._server.max_header_bytes - len(self.raw_requestline)
        lines = self.rfile = _HeaderLines(self.rfile.fp, left)
        try:
            if not super().parse_request():
                return False
        except _HeadTooLarge:
            self._refuse(431, f"a head may have {self._server.max_header_bytes} bytes")
            return False
        if lines.last in (b"\r\n", b"\n") and self.request_version != "HTTP/0.9":
            return True
        self.close_connection = True
        return False

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of the request."""
        environ = super().get_environ()
        environ[CONNECTION] = self
        source = environ["wsgi.input"]
        if source.chunked_input:
            source.rfile = _BodyLines(source.rfile)
        self.begin_work()
        return environ

    def finish(self) -> None:
        """Close the connection so that the caller sees its last answer."""
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
        self._refuse(code, "the request could not be parsed")

    def _refuse(self, code: int, detail: str) -> None:
        self.close_connection = True
        status_line = STATUS_LINES[code]
        reply = reply_problem(code, REQUEST_MALFORMED, detail)
        head = (
            f"HTTP/1.1 {status_line}\r\nContent-Type: {reply.content_type}\r\n"
            f"Content-Length: {len(reply.body)}\r\nConnection: close\r\n\r\n"
        )
        self.wfile.write(head.encode() + reply.body)

    def log_message(self, *_args: Any) -> None:
        """Write no access log; requests are counted instead."""
