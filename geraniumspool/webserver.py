"""HTTP server that accepts connections and drains them at shutdown."""

import errno
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

import eventlet
from eventlet import wsgi
from eventlet.event import Event
from eventlet.green import socket

from geraniumspool.body_budget import BodyBudget
from geraniumspool.connection import Connection, Limits
from geraniumspool.contracts import Clock

# Connections that the kernel queues until they are accepted.
BACKLOG = 1024
MAX_HEADER_BYTES = 16 << 10
# Interval of the check for connections past their time limit.
EXPIRY_CHECK_MS = 500.0
# Connections to an address that only a few clients call, such as a balancer or a minion.
FEW_CONNECTIONS = 64
# Bytes that the kernel receives for a connection and nobody has read yet, about half of what it
# really takes. They count towards the memory of the process.
RECEIVE_BUFFER_BYTES = 16 << 10
# Pause after a failed accept.
ACCEPT_PAUSE_S = 0.05
# Rounds of the hub that a drain waits, so that connections queued by the kernel are accepted.
ACCEPT_ROUNDS = 5
# Time that idle connections stay open during a drain, for requests already on their way.
IDLE_GRACE_MS = 250.0


class _ResilientListener:
    """Socket wrapper whose ``accept`` retries after errors that must not end the server."""

    def __init__(self, listen_socket: Any, on_accepted: Callable[[], None]):
        self._listen_socket = listen_socket
        self._on_accepted = on_accepted
        self.family = listen_socket.family

    def accept(self) -> tuple[Any, Any]:
        while True:
            try:
                accepted = self._listen_socket.accept()
            except OSError as error:
                if error.errno == errno.ESHUTDOWN:
                    raise
                # Out of file descriptors, or the caller aborted the connection: retry after a
                # pause for the callers still waiting.
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            self._on_accepted()
            return accepted

    def getsockname(self) -> Any:
        return self._listen_socket.getsockname()

    def close(self) -> None:
        self._listen_socket.close()


class WebServer:
    """Serves an application on one address."""

    def __init__(
        self,
        application: Callable,
        listen: str,
        clock: Clock,
        max_connections: int = 1024,
        max_header_bytes: int = MAX_HEADER_BYTES,
        header_timeout_ms: float = Limits().header_ms,
        body_timeout_ms: float = Limits().body_ms,
        idle_timeout_ms: float = Limits().idle_ms,
        bodies: BodyBudget | None = None,
    ):
        """Configure the server without binding its address.

        :param application: the WSGI callable
        :param listen: ``host:port`` to bind; port 0 picks a free port
        :param clock: source of time for limits and drain
        :param max_connections: limit of concurrent connections; for another one, the connection is
            closed that has been waiting for a request for the longest time
        :param max_header_bytes: limit of a request's head (request line and headers)
        :param header_timeout_ms: see :class:`Limits`
        :param body_timeout_ms: see :class:`Limits`
        :param idle_timeout_ms: see :class:`Limits`
        :param bodies: memory for request bodies, which servers may share; its own if not given
        """
        self.clock = clock
        self.limits = Limits(header_timeout_ms, body_timeout_ms, idle_timeout_ms)
        self.connections: set[Connection] = set()
        self.bodies = bodies or BodyBudget()
        self.max_header_bytes = max_header_bytes
        self.draining = False
        self.keep_alive_disabled = False
        self.address = listen
        self._application = application
        self._pool = eventlet.GreenPool(max_connections)
        self._listen_socket: Any = None
        self._server_task: Any = None
        self._finished = Event()
        self._expiry_timer: Any = None

    def start(self) -> None:
        """Bind and start to serve; set ``address`` to the bound address.

        :raises OSError: if the address cannot be bound
        """
        self._listen_socket = _listen(self.address)
        host, port = self._listen_socket.getsockname()[:2]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self._server_task = eventlet.spawn(self._serve)
        eventlet.sleep(0)
        self._expire_connections()

    def disable_keep_alive(self) -> None:
        """Keep serving, but close each connection after its next reply."""
        self.keep_alive_disabled = True

    def drain(self, limit_ms: float) -> bool:
        """Stop accepting connections and wait for the requests in flight.

        Requests that arrive on a keep-alive connection within a short grace
        period are answered as well; after it, idle connections are closed.

        :param limit_ms: longest wait in milliseconds
        :returns: whether all requests finished in time
        """
        if self._server_task is None:
            return True
        if not self.draining:
            # First accept the connections that the kernel has queued already.
            for _ in range(ACCEPT_ROUNDS):
                eventlet.sleep(0)
            self._stop_accepting()
            self.clock.after(min(IDLE_GRACE_MS, limit_ms / 2), self._close_idle)
        return self.clock.wait(self._finished, limit_ms)

    def stop(self) -> None:
        """Close everything immediately, aborting requests in flight."""
        if self._server_task is None:
            return
        if not self.draining:
            self._stop_accepting()
        for task in list(self._pool.coroutines_running):
            task.kill()
        self._expiry_timer.cancel()

    def _stop_accepting(self) -> None:
        self.draining = True
        with suppress(OSError):
            self._listen_socket.shutdown(socket.SHUT_RDWR)
        self._server_task.kill(OSError(errno.ESHUTDOWN, "draining"))
        self._listen_socket.close()

    def _serve(self) -> None:
        try:
            wsgi.server(
                _ResilientListener(self._listen_socket, self._make_room),
                self._application,
                protocol=partial(Connection, self),
                custom_pool=self._pool,
                keepalive=True,
                log_output=False,
                debug=False,
            )
        finally:
            self._finished.send()

    def _make_room(self) -> None:
        """Close a connection that sends no request if there is none left for another caller."""
        if self._pool.free() > 0:
            return
        waiting = [
            connection for connection in self.connections if connection.waits_since_ms is not None
        ]
        if waiting:
            min(waiting, key=lambda connection: connection.waits_since_ms).abort()

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            connection.close_idle()

    def _expire_connections(self) -> None:
        now = self.clock.now()
        for connection in list(self.connections):
            connection.expire(now)
        if not self._finished.ready():
            self._expiry_timer = self.clock.after(EXPIRY_CHECK_MS, self._expire_connections)


def _listen(address: str) -> Any:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listen_socket = socket.socket(family, socket.SOCK_STREAM)
    try:
        listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Inherited by accepted sockets. With Nagle's algorithm, a reply of several segments would
        # wait for the peer's acknowledgement.
        listen_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listen_socket.bind((host, int(port)))
        listen_socket.listen(BACKLOG)
    except OSError:
        listen_socket.close()
        raise
    return listen_socket
