"""Running a program until a signal tells it to leave."""

import gc
import json
import logging
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol, TextIO

import eventlet

from geraniumspool.clock import MS_PER_SECOND

OK = 0
FAILED = 1
COLLECTOR_THRESHOLDS = (20_000, 20, 50)
SIGNAL_POLL_MS = 100.0

logger = logging.getLogger(__name__)


class Application(Protocol):
    """A program that :func:`run_application` runs."""

    def start(self) -> None:
        """Begin to listen and return once the program is ready."""

    def ready_line(self) -> Any:
        """Return what to print when ready, such as the addresses in use."""

    def drain(self) -> bool | None:
        """Leave gracefully; return False if some work had to be given up."""

    def stop(self) -> None:
        """Close everything at once."""

    def reload(self) -> None:
        """Take changed settings."""


def run_application(app: Application, output: TextIO | None = None) -> int:
    """Run a program until SIGTERM or SIGINT, then let it leave gracefully.

    One line of JSON is printed when it is ready. A second signal ends it at once.

    :param app: the program
    :param output: where the ready line goes, standard output by default
    :returns: the exit code, ``FAILED`` if work had to be given up
    """
    received: list[int] = []
    previous = _watch_signals(lambda number, _frame: received.append(number))
    signal.signal(signal.SIGHUP, lambda _number, _frame: _reload(app))
    try:
        app.start()
        _calm_collector()
        print(json.dumps(app.ready_line()), file=output or sys.stdout, flush=True)
        _poll(lambda: received or getattr(app, "exit_requested", False))
        drained = _drain(app, received)
    finally:
        app.stop()
        _restore_signals(previous)
    return OK if drained else FAILED


def _reload(app: Application) -> None:
    # A handler of a signal may have interrupted anything, so a green task does the work.
    eventlet.spawn_n(getattr(app, "reload", lambda: None))


def _calm_collector() -> None:
    """Keep what was loaded at the start out of the garbage collector's rounds.

    Loading leaves next to no garbage, and to look for it would hold up the first jobs.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def _watch_signals(handler: Callable[[int, Any], Any]) -> dict[int, Any]:
    return {number: signal.signal(number, handler) for number in (signal.SIGTERM, signal.SIGINT)}


def _restore_signals(previous: dict[int, Any]) -> None:
    for number, handler in previous.items():
        signal.signal(number, handler)


def _poll(condition: Callable[[], Any]) -> None:
    while not condition():
        eventlet.sleep(SIGNAL_POLL_MS / MS_PER_SECOND)


def _drain(app: Application, received: list[int]) -> bool:
    before = len(received)
    task = eventlet.spawn(app.drain)
    _poll(lambda: task.dead or len(received) > before)
    if task.dead:
        return task.wait() is not False
    logger.warning("second signal: ending at once")
    task.kill()
    return False
