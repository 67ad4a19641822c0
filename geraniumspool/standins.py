"""Applications that run the stand-ins for the store and for a minion as programs."""

from geraniumspool.clock import SystemClock
from geraniumspool.contracts import Clock
from geraniumspool.standin_minion import StandinMinion
from geraniumspool.standin_store import StandinStore

DRAIN_TIMEOUT_MS = 30_000.0
DRAIN_POLL_MS = 100.0


class StandinStoreApplication:
    """Runs the stand-in for the platform's store."""

    def __init__(self, host: str, port: int):
        """Create the store; nothing is started yet.

        :param host: address to listen on
        :param port: port to listen on, 0 for any free one
        """
        self._listen = (host, port)
        self._store = StandinStore(SystemClock())
        self._address = ""

    def start(self) -> None:
        """Start to listen."""
        host, port = self._store.start(*self._listen)
        self._address = f"http://{host}:{port}"

    def ready_line(self) -> dict[str, str]:
        """Return the line printed once the program is ready: its kind and base URL."""
        return {"ready": "standin store", "store": self._address}

    def drain(self) -> bool:
        """Return at once: a store has no work to finish."""
        return True

    def stop(self) -> None:
        """Stop at once and close all connections."""
        self._store.stop()


class StandinMinionApplication:
    """Runs the stand-in for a minion."""

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
        """Create the minion; nothing is started yet.

        :param agent: base URL of the agent's listener for minions
        :param service: service whose tasks it runs
        :param slots: number of concurrent tasks to announce
        :param connections: number of concurrent connections to announce
        :param host: address to listen on
        :param port: port to listen on, 0 for any free one
        :param clock: source of time, or None for the system clock
        """
        self._agent = agent
        self._listen = (host, port)
        self._clock = clock or SystemClock()
        self._minion = StandinMinion(service, slots, connections, self._clock)
        self._url = ""

    def start(self) -> None:
        """Start to listen, then register with the agent."""
        self._url = self._minion.start(*self._listen)
        self._minion.announce(self._agent)

    def ready_line(self) -> dict[str, str]:
        """Return the line printed once the program is ready: its kind and base URL."""
        return {"ready": "standin minion", "minion": self._url}

    def drain(self) -> bool:
        """Deregister from the agent and wait for running tasks, up to a time limit.

        :returns: whether no task is running any more
        """
        self._minion.leave()
        deadline_ms = self._clock.now() + DRAIN_TIMEOUT_MS
        while self._minion.running and self._clock.now() < deadline_ms:
            self._clock.sleep(DRAIN_POLL_MS)
        return not self._minion.running

    def stop(self) -> None:
        """Stop at once and close all connections."""
        self._minion.stop()
