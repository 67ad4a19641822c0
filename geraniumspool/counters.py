"""Counts and histograms of one process, kept in memory.

Counting is a plain dictionary update, so it may be done for every task.
"""

from bisect import bisect_left
from typing import TypeAlias

MAX_SERIES = 1000
OVERFLOW: "Labels" = (("overflow", "true"),)
# Upper bounds in ms: tasks take 50 ms to some seconds, objectives a quarter to three.
BUCKETS = (5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0)

Labels: TypeAlias = tuple[tuple[str, str], ...]


class Histogram:
    """Values counted by upper bound.

    :ivar counts: values in each of ``BUCKETS``, and above them all
    """

    def __init__(self):
        """Start empty."""
        self.counts = [0] * (len(BUCKETS) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect_left(BUCKETS, value)] += 1
        self.total += value


class MemoryCounters:
    """Counters that are kept in memory and exported nowhere.

    A counter keeps at most ``MAX_SERIES`` label sets; later ones are counted
    together under the label ``overflow``.
    """

    def __init__(self, shared: "MemoryCounters | None" = None):
        """Start with all counters at zero, or with those of another instance.

        :param shared: whose counts to read and raise
        """
        self._counts: dict[str, dict[Labels, float]] = shared._counts if shared else {}
        self._histograms: dict[str, dict[Labels, Histogram]] = shared._histograms if shared else {}

    def add(self, name: str, /, amount: float = 1, **labels: str) -> None:
        """Raise a counter.

        :param name: counter name without prefix or unit suffix, such as ``jobs``
        :param amount: how much to add
        :param labels: label set of the series to raise
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
        """Return the sum of a counter's series that carry all of ``labels``.

        :param name: counter name
        :param labels: labels that a series must have; none sums all series
        """
        wanted = labels.items()
        series = self._counts.get(name, {})
        return sum(value for key, value in series.items() if wanted <= dict(key).items())

    def observe(self, name: str, value: float, /, **labels: str) -> None:
        """Count a value in a histogram.

        :param name: histogram name with its unit, such as ``job_ms``
        """
        series = self._histograms.setdefault(name, {})
        key = tuple(labels.items())
        if key not in series and len(series) >= MAX_SERIES:
            key = OVERFLOW
        found = series.setdefault(key, Histogram())
        found.add(value)

    def snapshot(self) -> dict[str, float]:
        """Return each series as text, such as ``jobs{code=quota}``, with its value."""
        return {
            _name_series(name, key): value
            for name in sorted(self._counts)
            for key, value in sorted(self.merged(name).items())
        }

    def names(self) -> set[str]:
        """Return the names of all counters."""
        return set(self._counts)

    def histograms(self) -> dict[str, dict[Labels, "Histogram"]]:
        """Return the histograms by name and labels."""
        return self._histograms

    def merged(self, name: str) -> dict[Labels, float]:
        """Return a counter's series, each by its labels in one order."""
        # Call sites may pass the same labels in another order.
        merged: dict[Labels, float] = {}
        for key, value in self._counts[name].items():
            ordered = tuple(sorted((label, str(text)) for label, text in key))
            merged[ordered] = merged.get(ordered, 0) + value
        return merged


def _name_series(name: str, key: Labels) -> str:
    if not key:
        return name
    return name + "{" + ",".join(f"{label}={value}" for label, value in key) + "}"
