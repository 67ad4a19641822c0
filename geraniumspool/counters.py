"""Counters and histograms of one process, kept in memory.

Counting is a plain dictionary update, cheap enough to be done for every task.
"""

from bisect import bisect_left
from typing import TypeAlias

# Limit of the label sets of one counter or histogram; further ones share the series OVERFLOW.
MAX_SERIES = 1000
OVERFLOW: "Labels" = (("overflow", "true"),)
# Upper bounds in ms: tasks run for 50 ms to some seconds, and latency objectives are between
# 250 ms and 3 s.
BUCKETS = (5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0)

Labels: TypeAlias = tuple[tuple[str, str], ...]


class Histogram:
    """Histogram with fixed upper bounds.

    :ivar counts: number of values in each bucket of ``BUCKETS`` (not cumulative), then of those
        above the last bound
    :ivar total: sum of all values
    """

    def __init__(self):
        """Create an empty histogram."""
        self.counts = [0] * (len(BUCKETS) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count a value in its bucket."""
        self.counts[bisect_left(BUCKETS, value)] += 1
        self.total += value


class MemoryCounters:
    """Counters and histograms in memory, without an exporter.

    A counter keeps at most ``MAX_SERIES`` label sets; any further ones are
    counted together in a series with the label ``overflow``.
    """

    def __init__(self, shared: "MemoryCounters | None" = None):
        """Create empty counters, or a view of another instance's counters.

        :param shared: instance whose counters to share
        """
        self._counts: dict[str, dict[Labels, float]] = shared._counts if shared else {}
        self._histograms: dict[str, dict[Labels, Histogram]] = shared._histograms if shared else {}

    def add(self, name: str, /, amount: float = 1, **labels: str) -> None:
        """Increment a counter.

        :param name: counter name without prefix or unit suffix, such as ``jobs``
        :param amount: increment
        :param labels: label set of the series to increment
        """
        series = self._counts.get(name)
        if series is None:
            series = self._counts[name] = {}
        key = tuple(labels.items())
        if key in series:
            series[key] += amount
            return
        if len(series) >= MAX_SERIES:
            key = OVERFLOW
        series[key] = series.get(key, 0) + amount

    def get(self, name: str, /, **labels: str) -> float:
        """Return the sum of a counter's series that have all of ``labels``.

        :param name: counter name
        :param labels: labels and values that a series must have; without any, sum all series
        """
        wanted = labels.items()
        series = self._counts.get(name, {})
        return sum(value for key, value in series.items() if wanted <= dict(key).items())

    def observe(self, name: str, value: float, /, **labels: str) -> None:
        """Count a value in a histogram.

        :param name: histogram name with its unit, such as ``job_ms``
        :param value: the value to count
        :param labels: label set of the series
        """
        series = self._histograms.setdefault(name, {})
        key = tuple(labels.items())
        if key not in series and len(series) >= MAX_SERIES:
            key = OVERFLOW
        histogram = series.setdefault(key, Histogram())
        histogram.add(value)

    def snapshot(self) -> dict[str, float]:
        """Return the values of all counters by series name, such as ``jobs{code=quota}``."""
        return {
            _format_series(name, key): value
            for name in sorted(self._counts)
            for key, value in sorted(self.series(name).items())
        }

    def names(self) -> set[str]:
        """Return the names of all counters."""
        return set(self._counts)

    def histograms(self) -> dict[str, dict[Labels, "Histogram"]]:
        """Return the histograms by name and labels."""
        return self._histograms

    def series(self, name: str) -> dict[Labels, float]:
        """Return the values of a counter by label set, with the labels sorted by name."""
        # Callers may pass the same labels in different orders.
        merged: dict[Labels, float] = {}
        for key, value in self._counts[name].items():
            ordered = tuple(sorted((label, str(text)) for label, text in key))
            merged[ordered] = merged.get(ordered, 0) + value
        return merged


def _format_series(name: str, key: Labels) -> str:
    if not key:
        return name
    return name + "{" + ",".join(f"{label}={value}" for label, value in key) + "}"
