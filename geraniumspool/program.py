"""Runs a program until a signal requests its shutdown."""

import gc
import json
import logging
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol, TextIO

import eventlet

from geraniumspool.clock import MS_PER_SECOND

# Exit codes.
OK = 0
FAILED = 1
# Thresholds of the three generations of the garbage collector; see gc.set_threshold().
COLLECTOR_THRESHOLDS = (20_000, 20, 50)
SIGNAL_POLL_MS = 100.0

logger = logging.getLogger(__name__)


class RunnableProgram(Protocol):
    """Program that :func:`run_application` can run."""

    def start(self) -> None:
        """Start to listen; return when the program is ready."""

    def ready_line(self) -> Any:
        """Return the JSON value to print when ready, such as the addresses in use."""

    def drain(self) -> bool | None:
        """Shut down gracefully; return False if some work was abandoned."""

    def stop(self) -> None:
        """Close everything immediately."""

    def reload(self) -> None:
        """Apply changed settings."""


def run_application(app: RunnableProgram, output: TextIO | None = None) -> int:
    """Run a program until SIGTERM, SIGINT or its own exit request, then drain and stop it.

    Prints one line of JSON when the program is ready. SIGHUP reloads the
    settings. Further signals during the drain change nothing: it ends by its own time limit.

    :param app: the program
    :param output: where the ready line is written, standard output by default
    :returns: exit code, ``FAILED`` if work was abandoned
    """
    received: list[int] = []
    previous = _watch_signals(lambda number, _frame: received.append(number))
    signal.signal(signal.SIGHUP, lambda _number, _frame: _reload(app))
    try:
        app.start()
        _tune_garbage_collector()
        print(json.dumps(app.ready_line()), file=output or sys.stdout, flush=True)
        _poll_until(lambda: received or getattr(app, "exit_requested", False))
        drained = _drain(app, received)
    finally:
        app.stop()
        _restore_signals(previous)
    return OK if drained else FAILED


def _reload(app: RunnableProgram) -> None:
    # A signal handler may interrupt any code, so the reload runs in a green thread.
    eventlet.spawn_n(getattr(app, "reload", lambda: None))


def _tune_garbage_collector() -> None:
    """Exclude objects created at startup from garbage collection and make collections rarer.

    Startup leaves almost no garbage, and collecting it would delay the first jobs.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def _watch_signals(handler: Callable[[int, Any], Any]) -> dict[int, Any]:
    return {number: signal.signal(number, handler) for number in (signal.SIGTERM, signal.SIGINT)}


def _restore_signals(previous: dict[int, Any]) -> None:
    for number, handler in previous.items():
        signal.signal(number, handler)


def _poll_until(condition: Callable[[], Any]) -> None:
    while not condition():
        eventlet.sleep(SIGNAL_POLL_MS / MS_PER_SECOND)


def _drain(app: RunnableProgram, received: list[int]) -> bool:
    """Drain a program; return whether all work was finished.

    Callers whose requests are in work get their answers, however often the program is told to end.
    """
    before = len(received)
    drained = app.drain()
    if len(received) > before:
        fields = (("signals", len(received) - before),)
        logger.info("signals during drain ignored", extra={"fields": fields})
    return drained is not False
