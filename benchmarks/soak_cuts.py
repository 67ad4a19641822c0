"""Cuts between the processes of the soak test, applied by the proxies of their inboxes."""

import time
from collections.abc import Callable, Iterable

import psutil

from benchmarks.soak_processes import Process

# Connections are looked up at most this often, so that the soak itself keeps running.
LOOKUP_INTERVAL_S = 1.0


class LinkCuts:
    """Connections between pairs of processes that hold back all data.

    A cut holds back the data of all connections, a stall only that of the connections that are open
    when it begins. What was held back is delivered when it ends.

    A proxy sees the port that a connection comes from, and the operating system tells which process
    it belongs to.
    """

    def __init__(self, list_processes: Callable[[], list[Process]]):
        """Start without any cut.

        :param list_processes: returns all processes
        """
        self._list_processes = list_processes
        self._cuts: list[set[tuple[str, str]]] = []
        self._stalls: list[set[tuple[int, str]]] = []
        self._owners: dict[int, str] = {}
        self._looked_up_s = 0.0

    @property
    def is_active(self) -> bool:
        """Whether any pair is cut."""
        return bool(self._cuts)

    def cut(self, pairs: Iterable[tuple[str, str]], one_way: bool = False) -> set[tuple[str, str]]:
        """Cut pairs of processes, given by their names, in both directions.

        :param one_way: whether to cut only what the first one of a pair sends to the second one
        :returns: the cut, for :meth:`heal`
        """
        self._owners.clear()
        self._look_up_owners()
        cut = set(pairs)
        if not one_way:
            cut |= {(receiver, sender) for sender, receiver in cut}
        self._cuts.append(cut)
        return cut

    def heal(self, cut: set[tuple[str, str]]) -> None:
        """End a cut; data that was held back is delivered."""
        self._cuts.remove(cut)

    def stall(self, pairs: Iterable[tuple[str, str]]) -> set[tuple[int, str]]:
        """Hold back what the open connections of pairs of processes carry, one way.

        :param pairs: names of sender and receiver
        :returns: the stall, for :meth:`release`
        """
        self._look_up_owners()
        ports: dict[str, list[int]] = {}
        for port, name in self._owners.items():
            ports.setdefault(name, []).append(port)
        stall = {(port, receiver) for sender, receiver in pairs for port in ports.get(sender, ())}
        self._stalls.append(stall)
        return stall

    def release(self, stall: set[tuple[int, str]]) -> None:
        """End a stall; data that was held back is delivered, after that of newer connections."""
        self._stalls.remove(stall)

    def is_cut(self, port: int, target: str) -> bool:
        """Return whether a connection is cut or stalled.

        :param port: port that it comes from
        :param target: name of the process that it leads to
        """
        if any((port, target) in stall for stall in self._stalls):
            return True
        if not self._cuts:
            return False
        if port not in self._owners:
            if time.monotonic() - self._looked_up_s < LOOKUP_INTERVAL_S:
                # Held until it is known where it comes from.
                return True
            self._look_up_owners()
        # The port of a process that has just ended belongs to none.
        link = (self._owners.setdefault(port, ""), target)
        return any(link in cut for cut in self._cuts)

    def _look_up_owners(self) -> None:
        names = {
            process.pid: process.name for process in self._list_processes() if not process.has_ended
        }
        for connection in psutil.net_connections("tcp"):
            if connection.pid in names:
                self._owners[connection.laddr.port] = names[connection.pid]
        self._looked_up_s = time.monotonic()
