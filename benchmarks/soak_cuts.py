"""Cuts between the processes of the soak test, applied by the proxies of their inboxes."""

import time
from collections.abc import Callable, Iterable

import psutil

from benchmarks.soak_processes import Process

# Connections are looked up at most this often, so that the soak itself keeps running.
LOOKUP_INTERVAL_S = 1.0


class LinkCuts:
    """Pairs of processes whose connections to each other hold back all data.

    A proxy sees the port that a connection comes from, and the operating system tells which process
    it belongs to.
    """

    def __init__(self, list_processes: Callable[[], list[Process]]):
        """Start without any cut.

        :param list_processes: returns all processes
        """
        self._list_processes = list_processes
        self._pairs: set[frozenset[str]] = set()
        self._owners: dict[int, str] = {}
        self._looked_up_s = 0.0

    @property
    def is_active(self) -> bool:
        """Whether any pair is cut."""
        return bool(self._pairs)

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Cut pairs of processes, given by their names, in both directions."""
        self._owners.clear()
        self._look_up_owners()
        self._pairs = {frozenset(pair) for pair in pairs}

    def heal(self) -> None:
        """End all cuts; data that was held back is delivered."""
        self._pairs.clear()

    def is_cut(self, port: int, target: str) -> bool:
        """Return whether a connection is cut.

        :param port: port that it comes from
        :param target: name of the process that it leads to
        """
        if not self._pairs:
            return False
        if port not in self._owners:
            if time.monotonic() - self._looked_up_s < LOOKUP_INTERVAL_S:
                # Held until it is known where it comes from.
                return True
            self._look_up_owners()
        # The port of a process that has just ended belongs to none.
        return frozenset((self._owners.setdefault(port, ""), target)) in self._pairs

    def _look_up_owners(self) -> None:
        names = {
            process.pid: process.name for process in self._list_processes() if not process.has_ended
        }
        for connection in psutil.net_connections("tcp"):
            if connection.pid in names:
                self._owners[connection.laddr.port] = names[connection.pid]
        self._looked_up_s = time.monotonic()
