"""The HTTP server: accepts connections, and drains them in order."""

import errno
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

import eventlet
from eventlet import wsgi
from eventlet.event import Event
from eventlet.green import socket

from geraniumspool.connection import Connection, Limits
from geraniumspool.contracts import Clock

BACKLOG = 1024
MAX_HEADER_BYTES = 16 << 10
SWEEP_MS = 500.0
ACCEPT_PAUSE_S = 0.05
SETTLE_TURNS = 5
IDLE_GRACE_MS = 250.0


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
    ):
        """Prepare to serve.

        :param application: the WSGI callable
        :param listen: ``host:port`` to bind; port 0 takes a free one
        :param clock: source of time for limits and drain
        :param max_connections: connections served at once; more wait unaccepted
        :param max_header_bytes: longest request head; a longer one is refused
        :param header_timeout_ms: see :class:`Limits`
        :param body_timeout_ms: see :class:`Limits`
        :param idle_timeout_ms: see :class:`Limits`
        """
        self.clock = clock
        self.limits = Limits(header_timeout_ms, body_timeout_ms, idle_timeout_ms)
        self.connections: set[Connection] = set()
        self.max_header_bytes = max_header_bytes
        self.draining = False
        self.retiring = False
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

    def retire(self) -> None:
        """Go on serving, but close each connection after its next reply."""
        self.retiring = True

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
                protocol=partial(Connection, self),
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
