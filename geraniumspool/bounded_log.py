"""Rate-limited, non-blocking logging to a file descriptor such as standard output."""

import logging
import os
from typing import NamedTuple

from eventlet.patcher import original

from geraniumspool.contracts import Clock
from geraniumspool.logs import JsonFormatter
from geraniumspool.units import MS_PER_SECOND

# A line costs about 40 us of processor time, so this rate takes at most 2% of a core.
LINES_PER_SECOND = 500
# Capacity of the token bucket: one second of lines, which a burst may write beyond the rate.
BURST_LINES = 500
# Part of the burst that is reserved for warnings and errors.
RESERVED_LINES = 100
DROPPED_MESSAGE = "log lines dropped"

_WRITE = original("os").write


class LogDestination(NamedTuple):
    """Destination of log lines.

    :param descriptor: file descriptor; the handler makes it non-blocking
    """

    descriptor: int


class RateLimitedHandler(logging.Handler):
    """Writes JSON lines at a limited rate (token bucket).

    Records above the rate and records that cannot be written without blocking
    are dropped. The next record that is written is preceded by one with the
    number of dropped lines.

    :ivar dropped: lines dropped since the last such report
    """

    def __init__(self, destination: LogDestination, clock: Clock):
        """Make the descriptor non-blocking and start with a full token bucket.

        :param destination: destination of the lines
        :param clock: source of time for the rate
        """
        super().__init__()
        os.set_blocking(destination.descriptor, False)
        self.setFormatter(JsonFormatter())
        self._descriptor = destination.descriptor
        self._clock = clock
        self._tokens = float(BURST_LINES)
        self._refilled_ms = clock.now()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop and count it."""
        self._refill()
        min_tokens = 1 if record.levelno >= logging.WARNING else RESERVED_LINES
        if self._tokens < min_tokens:
            self.dropped += 1
            return
        if self.dropped and self._write(self._make_drop_record(record)):
            self.dropped = 0
        if not self._write(record):
            self.dropped += 1

    def _refill(self) -> None:
        now = self._clock.now()
        gained = (now - self._refilled_ms) * LINES_PER_SECOND / MS_PER_SECOND
        self._refilled_ms = now
        self._tokens = min(BURST_LINES, self._tokens + gained)

    def _make_drop_record(self, record: logging.LogRecord) -> logging.LogRecord:
        drop_record = logging.LogRecord(__name__, logging.WARNING, "", 0, DROPPED_MESSAGE, (), None)
        drop_record.created = record.created
        drop_record.fields = (("count", self.dropped),)
        return drop_record

    def _write(self, record: logging.LogRecord) -> bool:
        data = self.format(record).encode() + b"\n"
        try:
            written = _WRITE(self._descriptor, data)
        except OSError:
            # The reader is gone or too slow. The dropped line is counted and reported later.
            return False
        self._tokens -= 1
        return written == len(data)


def configure_rate_limited_logging(level: str, descriptor: int, clock: Clock) -> RateLimitedHandler:
    """Write all logs of this process to a descriptor, at a limited rate.

    Replaces the existing handlers of the root logger.

    :param level: lowest level to write, such as ``info``
    :param descriptor: file descriptor to write to
    :param clock: source of time for the rate
    :returns: the new handler
    :raises ValueError: if the level is unknown
    """
    handler = RateLimitedHandler(LogDestination(descriptor), clock)
    root = logging.getLogger()
    root.setLevel(level.upper())
    root.handlers[:] = [handler]
    return handler
