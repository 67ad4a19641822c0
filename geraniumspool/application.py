"""What every program owns: parts, green tasks, and their life cycle."""

import logging
import secrets
from collections.abc import Callable
from typing import TypedDict

import eventlet

from geraniumspool.contracts import Clock
from geraniumspool.counters import MemoryCounters
from geraniumspool.messages import Delivery, Drain, Message, Peer

_LOG = logging.getLogger(__name__)

INCARNATION_BITS = 63
POLL_MS = 20.0

Handler = Callable[[Peer, Message], None]


class ReadyLine(TypedDict, total=False):
    """What a program prints once it is ready: its addresses."""

    ready: str
    inbox: str
    callers: str
    operators: str
    minion: str


def draw_incarnation() -> int:
    """Return a random number for one life of a process."""
    return 1 + secrets.randbits(INCARNATION_BITS)


class Application:
    """Base of the programs: owns green tasks and the order of shutdown.

    :ivar metrics: counts of what the program did
    :ivar exit_requested: whether an operator asked the process to leave
    """

    def __init__(self, clock: Clock, metrics: MemoryCounters):
        """Own nothing yet."""
        self._clock = clock
        self.metrics = metrics
        self._handlers: dict[type, Handler] = {}
        self._tasks: list = []
        self.exit_requested = False

    def start(self) -> None:
        """Bind listeners and start the green tasks."""
        raise NotImplementedError

    def ready_line(self) -> ReadyLine:
        """Return the addresses to print once ready."""
        raise NotImplementedError

    def drain(self) -> bool:
        """Leave gracefully; return whether everything in flight was finished."""
        raise NotImplementedError

    def stop(self) -> None:
        """End the green tasks."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def reload(self) -> None:
        """Take changed settings; by default there are none to take."""
        _LOG.info("reload asked for")

    def request_exit(self) -> None:
        """Ask whoever runs this application to drain and stop it."""
        self.exit_requested = True

    def _receive(self, delivery: Delivery) -> None:
        """Hand a message to the handler of its type."""
        handler = self._handlers.get(type(delivery.message))
        if handler is None:
            self.metrics.add("messages_rejected", reason="unexpected")
            return
        handler(delivery.sender, delivery.message)

    def _take_drain(self, _sender: Peer, drain: Drain) -> None:
        _LOG.info("drain asked for", extra={"fields": (("who", drain.who), ("why", drain.why))})
        self.request_exit()

    def _run(self, body: Callable[[], None]) -> None:
        """Run a green task for as long as the application lives."""
        self._tasks.append(eventlet.spawn(body))

    def _wait_until(self, condition: Callable[[], bool], limit_ms: float) -> bool:
        """Wait for a condition; return whether it came true in time."""
        end = self._clock.now() + limit_ms
        while not condition():
            if self._clock.now() >= end:
                return False
            self._clock.sleep(POLL_MS)
        return True
