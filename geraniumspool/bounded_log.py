"""Logs on standard output that never block a process and never flood it."""

import logging
import os
from typing import NamedTuple

from eventlet.patcher import original

from geraniumspool.contracts import Clock
from geraniumspool.logs import JsonFormatter
from geraniumspool.units import MS_PER_SECOND

# A line costs about 40 us: these take at most 2% of a core.
LINES_PER_SECOND = 500
# Lines of a burst of one second beyond that.
BURST_LINES = 500
# Kept of the burst for warnings and errors.
RESERVED_LINES = 100
LEFT_OUT = "lines left out"

_WRITE = original("os").write


class Stream(NamedTuple):
    """Where lines go.

    :param descriptor: file descriptor, set to never block
    """

    descriptor: int


class BoundedHandler(logging.Handler):
    """Writes JSON lines at a bounded rate; what is left out is counted and told."""

    def __init__(self, stream: Stream, clock: Clock):
        """Make the stream non-blocking."""
        super().__init__()
        os.set_blocking(stream.descriptor, False)
        self.setFormatter(JsonFormatter())
        self._descriptor = stream.descriptor
        self._clock = clock
        self._allowed = float(BURST_LINES)
        self._counted_ms = clock.now()
        self.left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as left out."""
        self._refill()
        floor = 1 if record.levelno >= logging.WARNING else RESERVED_LINES
        if self._allowed < floor:
            self.left_out += 1
            return
        if self.left_out and self._write(self._make_note(record)):
            self.left_out = 0
        if not self._write(record):
            self.left_out += 1

    def _refill(self) -> None:
        now = self._clock.now()
        gained = (now - self._counted_ms) * LINES_PER_SECOND / MS_PER_SECOND
        self._counted_ms = now
        self._allowed = min(BURST_LINES, self._allowed + gained)

    def _make_note(self, record: logging.LogRecord) -> logging.LogRecord:
        note = logging.LogRecord(__name__, logging.WARNING, "", 0, LEFT_OUT, (), None)
        note.created = record.created
        note.fields = (("count", self.left_out),)
        return note

    def _write(self, record: logging.LogRecord) -> bool:
        data = self.format(record).encode() + b"\n"
        try:
            written = _WRITE(self._descriptor, data)
        except OSError:
            # Nobody reads the logs; the count of what is left out says so later.
            return False
        self._allowed -= 1
        return written == len(data)


def set_up_bounded(level: str, descriptor: int, clock: Clock) -> BoundedHandler:
    """Send all logs of this process to a descriptor.

    :param level: lowest level that is written
    """
    handler = BoundedHandler(Stream(descriptor), clock)
    root = logging.getLogger()
    root.setLevel(level.upper())
    root.handlers[:] = [handler]
    return handler
