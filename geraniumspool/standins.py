"""The stand-ins of the platform's store and of a minion as programs."""

from geraniumspool.clock import SystemClock
from geraniumspool.contracts import Clock
from geraniumspool.standin_minion import StandinMinion
from geraniumspool.standin_store import StandinStore

DRAIN_LIMIT_MS = 30_000.0
DRAIN_POLL_MS = 100.0


class StandinStoreApplication:
    """The stand-in of the platform's store as a program."""

    def __init__(self, host: str, port: int):
        """Record where to listen; port 0 takes any."""
        self._listen = (host, port)
        self._store = StandinStore(SystemClock())
        self._address = ""

    def start(self) -> None:
        """Begin to listen."""
        host, port = self._store.start(*self._listen)
        self._address = f"http://{host}:{port}"

    def ready_line(self) -> dict[str, str]:
        """Return the address in use."""
        return {"ready": "standin store", "store": self._address}

    def drain(self) -> bool:
        """Do nothing: a store has no work to finish."""
        return True

    def stop(self) -> None:
        """Stop listening."""
        self._store.stop()


class StandinMinionApplication:
    """The stand-in of a minion as a program."""

    def __init__(
        self,
        agent: str,
        service: str,
        slots: int,
        connections: int,
        host: str,
        port: int,
        clock: Clock | None = None,
    ):
        """Record where to listen and which agent to announce to."""
        self._agent = agent
        self._listen = (host, port)
        self._clock = clock or SystemClock()
        self._minion = StandinMinion(service, slots, connections, self._clock)
        self._url = ""

    def start(self) -> None:
        """Begin to listen, then announce to the agent."""
        self._url = self._minion.start(*self._listen)
        self._minion.announce(self._agent)

    def ready_line(self) -> dict[str, str]:
        """Return the address in use."""
        return {"ready": "standin minion", "minion": self._url}

    def drain(self) -> bool:
        """Leave: take no new tasks and finish those that run."""
        self._minion.leave()
        deadline_ms = self._clock.now() + DRAIN_LIMIT_MS
        while self._minion.running and self._clock.now() < deadline_ms:
            self._clock.sleep(DRAIN_POLL_MS)
        return not self._minion.running

    def stop(self) -> None:
        """Stop listening."""
        self._minion.stop()
