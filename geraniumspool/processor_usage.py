"""How much of its processor share a dispatcher uses, as it reports it to the others."""

import math
import time
from collections import deque
from collections.abc import Callable

from geraniumspool.contracts import Clock
from geraniumspool.units import MS_PER_SECOND

# Value of a busy share that is not known.
UNKNOWN_SHARE = -1.0
# The share is measured over this time: shorter ones would follow single jobs.
WINDOW_MS = 2_000.0
# Shortest time between two readings of the process's time, so that few are kept.
SAMPLE_MS = 100.0


def read_process_ms() -> float:
    """Return the processor time in ms that this process has used."""
    return time.process_time() * MS_PER_SECOND


def is_valid_share(value: float) -> bool:
    """Return whether a reported share is one that a process can have, or unknown."""
    return value == UNKNOWN_SHARE or (math.isfinite(value) and value >= 0)


class ProcessorMeter:
    """Measures the part of its processor share that this process has used lately."""

    def __init__(
        self, clock: Clock, capacity: float, read_cpu_ms: Callable[[], float] = read_process_ms
    ):
        """Start without any reading.

        :param capacity: processor share of the process in cores
        :param read_cpu_ms: returns the processor time in ms that the process has used
        """
        self._clock = clock
        self._capacity = capacity
        self._read_cpu_ms = read_cpu_ms
        self._samples: deque[tuple[float, float]] = deque()

    def measure(self) -> float:
        """Return the used part over the last ``WINDOW_MS``, unknown before these have passed.

        Called periodically.
        """
        now = self._clock.now()
        samples = self._samples
        if not samples or now - samples[-1][0] >= SAMPLE_MS:
            samples.append((now, self._read_cpu_ms()))
        while len(samples) > 2 and now - samples[1][0] >= WINDOW_MS:
            samples.popleft()
        span_ms = samples[-1][0] - samples[0][0]
        if now - samples[0][0] < WINDOW_MS or span_ms <= 0:
            return UNKNOWN_SHARE
        return (samples[-1][1] - samples[0][1]) / (span_ms * self._capacity)
