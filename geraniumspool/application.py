"""Base class of the programs: background green threads, message handlers and shutdown."""

import logging
from collections.abc import Callable
from typing import TypedDict

import eventlet

from geraniumspool.contracts import Clock
from geraniumspool.counters import MemoryCounters
from geraniumspool.messages import Delivery, Drain, Message, Peer

_LOG = logging.getLogger(__name__)

POLL_MS = 20.0
# Pause before a background task is run again that has ended with an error.
RESTART_PAUSE_MS = 100.0

Handler = Callable[[Peer, Message], None]


class ReadyLine(TypedDict, total=False):
    """Line of JSON that a program prints once it is ready: its listen addresses.

    :ivar ready: role or configured name of the program
    :ivar inbox: address for messages of other processes
    :ivar callers: address of the callers' HTTP interface
    :ivar operators: address of the operators' HTTP interface
    :ivar minion: address at which minions announce themselves
    """

    ready: str
    inbox: str
    callers: str
    operators: str
    minion: str


class Application:
    """Base of the programs: runs green threads, dispatches messages and controls shutdown.

    :ivar metrics: counters of the program
    :ivar exit_requested: whether the process was asked to drain and exit
    """

    def __init__(self, clock: Clock, metrics: MemoryCounters):
        """Create the program without green threads and message handlers.

        :param clock: source of time for waits
        :param metrics: counters of the program
        """
        self._clock = clock
        self.metrics = metrics
        self._handlers: dict[type, Handler] = {}
        self._tasks: list = []
        self.exit_requested = False

    def start(self) -> None:
        """Bind the listeners and start the green threads."""
        raise NotImplementedError

    def ready_line(self) -> ReadyLine:
        """Return the addresses to print once the program is ready."""
        raise NotImplementedError

    def drain(self) -> bool:
        """Shut down gracefully; return whether all work in flight was finished."""
        raise NotImplementedError

    def stop(self) -> None:
        """Kill the green threads."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def reload(self) -> None:
        """Apply changed settings; does nothing unless overridden."""
        _LOG.info("reload requested")

    def request_exit(self) -> None:
        """Request that the runner of this application drains and stops it."""
        self.exit_requested = True

    def _receive(self, delivery: Delivery) -> None:
        """Pass a message to the handler registered for its type."""
        handler = self._handlers.get(type(delivery.message))
        if handler is None:
            self.metrics.add("messages_rejected", reason="unexpected")
            return
        handler(delivery.sender, delivery.message)

    def _handle_drain(self, _sender: Peer, drain: Drain) -> None:
        _LOG.info("drain requested", extra={"fields": (("who", drain.who), ("why", drain.why))})
        self.request_exit()

    def _spawn(self, body: Callable[[], None]) -> None:
        """Run a function in a green thread that is killed when the application stops.

        It is called again after an error, as the program depends on each of these threads.
        """
        self._tasks.append(eventlet.spawn(self._run_again_after_errors, body))

    def _run_again_after_errors(self, body: Callable[[], None]) -> None:
        while True:
            try:
                body()
            except Exception:
                self.metrics.add("tasks_restarted")
                _LOG.exception("background task failed")
            else:
                return
            self._clock.sleep(RESTART_PAUSE_MS)

    def _wait_until(self, condition: Callable[[], bool], limit_ms: float) -> bool:
        """Wait for a condition; return whether it became true in time.

        :param condition: checked every ``POLL_MS`` milliseconds
        :param limit_ms: timeout in milliseconds
        """
        end = self._clock.now() + limit_ms
        while not condition():
            if self._clock.now() >= end:
                return False
            self._clock.sleep(POLL_MS)
        return True
