"""Processes of the soak test, and proxies for their connections."""

import contextlib
import math
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import eventlet
import yaml

ROOT = Path(__file__).parent.parent
# Setting ``grace_s`` of the processes: how long a process may take to exit after SIGTERM.
GRACE_S = 6.0
# Interval at which a proxy checks whether it still has to hold data back.
HELD_CHECK_S = 0.02


class _ProxiedConnection:
    """One connection through a proxy.

    :ivar near: socket of the client
    :ivar far: socket to the target
    :ivar port: port that the client connected from
    :ivar silent_sources: sockets whose data is discarded
    :ivar tasks: green threads that forward the data
    """

    def __init__(self, near, far, port: int):
        self.near = near
        self.far = far
        self.port = port
        self.silent_sources: set = set()
        self.tasks: list = []

    def reset(self) -> None:
        """Reset both sides."""
        # A thread that waits for a closed socket would stay registered at the hub, under a number
        # that another descriptor may get.
        for task in self.tasks:
            task.kill()
        for connection in (self.near, self.far):
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            # The other direction may have closed it already.
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()


class Proxy:
    """TCP proxy on loopback whose connections can be stalled, silenced or reset.

    :ivar address: host and port that it listens on
    :ivar is_stalled: whether data is held back, in both directions
    :ivar stalled_ports: ports of clients whose connections hold back data, in both directions, and
        deliver it afterwards, also if the client has closed its connection meanwhile
    :ivar is_cut: returns whether the connection from a port is cut: its data is held back, and
        neither side learns that the other one has closed it
    """

    def __init__(self, target: str):
        self._target = (target.rpartition(":")[0], int(target.rpartition(":")[2]))
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.is_stalled = False
        self.stalled_ports: set[int] = set()
        self.is_cut: Callable[[int], bool] = _never_cut
        self._connections: set[_ProxiedConnection] = set()
        self._task = eventlet.spawn(self._accept)

    def silence(self, to_target: bool = True, to_client: bool = True) -> None:
        """Discard all further data of the connections that are open now, and keep them open.

        Connections opened later work.

        :param to_target: whether to discard what clients send
        :param to_client: whether to discard what the target sends
        """
        for connection in self._connections:
            if to_target:
                connection.silent_sources.add(connection.near)
            if to_client:
                connection.silent_sources.add(connection.far)

    def stall_open(self) -> None:
        """Hold back the data of the connections that are open now.

        Connections opened later work.
        """
        self.stalled_ports = {connection.port for connection in self._connections}

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()
        self._connections.clear()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._task.kill()
        self._listener.close()
        self.reset()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            eventlet.spawn_n(self._connect, near)

    def _connect(self, near) -> None:
        self._wait_while_held(near.getpeername()[1])
        try:
            far = eventlet.connect(self._target)
        except OSError:
            # The target is down.
            near.close()
            return
        connection = _ProxiedConnection(near, far, near.getpeername()[1])
        self._connections.add(connection)
        connection.tasks = [
            eventlet.spawn(self._forward, connection, near, far),
            eventlet.spawn(self._forward, connection, far, near),
        ]

    def _forward(self, connection: _ProxiedConnection, source, sink) -> None:
        try:
            while data := source.recv(65_536):
                self._wait_while_held(connection.port)
                if source not in connection.silent_sources:
                    sink.sendall(data)
        except (OSError, EOFError):
            # One side was closed or reset, or the proxy was closed.
            pass
        while self.is_cut(connection.port):
            eventlet.sleep(HELD_CHECK_S)
        if source in connection.silent_sources:
            # The other side does not learn that this one has closed the connection.
            source.close()
            return
        self._connections.discard(connection)
        for task in connection.tasks:
            if task is not eventlet.getcurrent():
                task.kill()
        source.close()
        sink.close()

    def _wait_while_held(self, port: int) -> None:
        while self.is_stalled or port in self.stalled_ports or self.is_cut(port):
            eventlet.sleep(HELD_CHECK_S)


def _never_cut(_port: int) -> bool:
    return False


class Addresses:
    """Free addresses for processes that are restarted.

    They use a loopback address derived from this process's id. Outgoing connections start from
    127.0.0.1, so none of them can occupy the port of a process while it is down.
    """

    def __init__(self):
        """Start with no address taken."""
        pid = os.getpid()
        self._host = f"127.{1 + pid // 65_536 % 254}.{pid // 256 % 256}.{1 + pid % 254}"
        self._taken: set[int] = {0}

    def reserve(self) -> str:
        """Return a host and port that was not returned before."""
        port = 0
        while port in self._taken:
            with socket.socket() as bound:
                bound.bind((self._host, 0))
                port = bound.getsockname()[1]
        self._taken.add(port)
        return f"{self._host}:{port}"


class Build(NamedTuple):
    """A build of the programs.

    :param module: module that runs a role, named by its first argument
    :param arguments: further arguments
    :param root: folder of the checkout
    """

    module: str = "geraniumspool.platform"
    arguments: tuple[str, ...] = ()
    root: Path = ROOT


CURRENT_BUILD = Build()


class Process:
    """One dispatcher or executor, which can be started again after it has ended.

    :ivar build: build to start next
    :ivar started_s: monotonic time of the last start
    :ivar unaffected_since_s: monotonic time since which no fault has affected it, that is of its
        last start or resumption; infinite while it is suspended, and once it was told to end
    """

    def __init__(self, role: str, settings: dict, folder: str, build: Build = CURRENT_BUILD):
        self.name = settings["name"]
        self.build = build
        self._role = role
        self._path = os.path.join(folder, self.name + ".yaml")
        self._log = open(os.path.join(folder, self.name + ".log"), "ab")  # noqa: SIM115
        Path(self._path).write_text(yaml.safe_dump(settings))
        self.start()

    def start(self) -> None:
        """Start the process."""
        variables = os.environ | {
            "GERANIUMSPOOL_SETTINGS": self._path,
            "EVENTLET_NO_GREENDNS": "yes",
            "PYTHONPATH": str(self.build.root),
        }
        build = self.build
        command = [sys.executable, "-P", "-m", build.module, self._role, *build.arguments]
        log = self._log.fileno()
        actions = [(os.POSIX_SPAWN_DUP2, log, 1), (os.POSIX_SPAWN_DUP2, log, 2)]
        # Unlike the monkey-patched subprocess module, posix_spawn never yields to other green
        # threads, so that no second fault can start the process meanwhile.
        self._pid = os.posix_spawn(sys.executable, command, variables, file_actions=actions)
        self._has_ended = self._is_to_end = False
        self.started_s = self.unaffected_since_s = time.monotonic()

    @property
    def pid(self) -> int:
        """Return the id of the process that was started last."""
        return self._pid

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        if not self._has_ended:
            self._has_ended = os.waitpid(self._pid, os.WNOHANG)[0] != 0
        return self._has_ended

    @property
    def has_ended_unexpectedly(self) -> bool:
        """Whether the process has ended without a signal to do so."""
        return self.has_ended and not self._is_to_end

    def signal(self, number: int) -> None:
        """Send a signal unless the process has ended."""
        if self.has_ended:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_to_end = True
        is_resumed = number == signal.SIGCONT and not self._is_to_end
        self.unaffected_since_s = time.monotonic() if is_resumed else math.inf
        os.kill(self._pid, number)

    def await_end(self, limit_s: float) -> bool:
        """Wait for the process to end and return whether it did within the limit."""
        end = time.monotonic() + limit_s
        while not self.has_ended and time.monotonic() < end:
            eventlet.sleep(0.02)
        return self.has_ended

    def replace(self) -> None:
        """Tell the process to exit, and start it again once it has."""
        self.signal(signal.SIGTERM)
        self.await_end(GRACE_S + 3.0)
        self.start()

    def close(self) -> None:
        """Kill the process if it is running, and close its log."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.await_end(GRACE_S)
        self._log.close()
