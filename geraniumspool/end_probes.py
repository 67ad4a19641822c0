"""Finds out whether a process has ended, by connecting to the address of its inbox.

The host of a process that has ended refuses the connection. A process that is out of reach, whose
host has lost power, or whose connections were reset by a device in between does not.
"""

import math
from collections.abc import Callable

import eventlet
from eventlet.green import socket

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import Clock

# Interval between two probes of an address, and the time limit of one.
PROBE_PERIOD_MS = 100.0
PROBE_TIMEOUT_MS = 200.0
# A process may have started and ended between two probes that are further apart.
MAX_PROBE_GAP_MS = 400.0


class _Probe:
    """Probes of one address.

    :ivar began_ms: when the last one began
    :ivar refused_since_ms: when the first one of a series was refused
    :ivar refused_ms: when the last one of the series was refused, minus infinity if it was not
    """

    def __init__(self):
        self.is_running = False
        self.began_ms = -math.inf
        self.refused_since_ms = -math.inf
        self.refused_ms = -math.inf


class EndProbes:
    """Probes of the addresses that somebody asks about."""

    def __init__(self, clock: Clock, connect: Callable[[str], None] | None = None):
        """Start without any probe.

        :param connect: connects to an address such as ``tcp://10.0.0.1:7720`` and closes the
            connection; raises OSError if that fails
        """
        self._clock = clock
        self._connect = connect or _connect
        self._probes: dict[str, _Probe] = {}

    def find_refused_since(self, address: str) -> float | None:
        """Return since when an address has refused all probes, None if it has not.

        Each call may begin the next probe.
        """
        now = self._clock.now()
        probe = self._probes.setdefault(address, _Probe())
        if not probe.is_running and now - probe.began_ms >= PROBE_PERIOD_MS:
            probe.is_running = True
            probe.began_ms = now
            eventlet.spawn_n(self._run, address, probe)
        return probe.refused_since_ms if now - probe.refused_ms <= MAX_PROBE_GAP_MS else None

    def forget(self, address: str) -> None:
        """Forget the probes of an address that is connected."""
        self._probes.pop(address, None)

    def _run(self, address: str, probe: _Probe) -> None:
        try:
            self._connect(address)
        except ConnectionRefusedError:
            now = self._clock.now()
            if now - probe.refused_ms > MAX_PROBE_GAP_MS:
                probe.refused_since_ms = now
            probe.refused_ms = now
        except OSError:
            # Not reachable, which tells nothing of the process.
            probe.refused_ms = -math.inf
        else:
            probe.refused_ms = -math.inf
        finally:
            probe.is_running = False


def _connect(address: str) -> None:
    host, _, port = address.partition("://")[2].rpartition(":")
    timeout_s = PROBE_TIMEOUT_MS / MS_PER_SECOND
    socket.create_connection((host.strip("[]"), int(port)), timeout_s).close()
