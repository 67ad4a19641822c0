"""Counters and gauges of one process, exported through OpenTelemetry.

Counting is a plain dictionary update, so it may be done for every task. The
OpenTelemetry instruments read the dictionaries only when metrics are rendered.
"""

from collections.abc import Callable, Iterator
from typing import TypeAlias

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

PREFIX = "geraniumspool"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_SERIES = 1000
OVERFLOW: "Labels" = (("overflow", "true"),)

Labels: TypeAlias = tuple[tuple[str, str], ...]


class MemoryCounters:
    """Counters that are kept in memory and exported nowhere.

    A counter keeps at most ``MAX_SERIES`` label sets; later ones are counted
    together under the label ``overflow``.
    """

    def __init__(self):
        """Start with all counters at zero."""
        self._counts: dict[str, dict[Labels, float]] = {}

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

    def snapshot(self) -> dict[str, float]:
        """Return each series as text, such as ``jobs{code=quota}``, with its value."""
        return {
            _name_series(name, key): value
            for name in sorted(self._counts)
            for key, value in sorted(self._merged(name).items())
        }

    def _merged(self, name: str) -> dict[Labels, float]:
        # Call sites may pass the same labels in another order.
        merged: dict[Labels, float] = {}
        for key, value in self._counts[name].items():
            ordered = tuple(sorted((label, str(text)) for label, text in key))
            merged[ordered] = merged.get(ordered, 0) + value
        return merged


class Metrics(MemoryCounters):
    """Counters and gauges with a Prometheus rendering of their own.

    Every instance has its own registry, so several can live in one process.
    """

    def __init__(self, role: str, domain: str):
        """Create the meter.

        :param role: role of the process, ``entry`` or ``agent``
        :param domain: failure domain of the process
        """
        super().__init__()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._exported: set[str] = set()
        self._registry = CollectorRegistry()
        resource = Resource({"role": role, "domain": domain})
        reader = PrometheusMetricReader(
            disable_target_info=True,
            prefix=PREFIX,
            scope_info_enabled=False,
            resource_attribute_filter=resource.attributes.__contains__,
            registry=self._registry,
        )
        self._provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        self._meter = self._provider.get_meter(PREFIX)

    def set_gauge(self, name: str, callback: Callable[[], float]) -> None:
        """Export a value that is read whenever metrics are rendered.

        :param name: gauge name without prefix; an earlier callback is replaced
        :param callback: returns the current value; must not block
        """
        self._gauges[name] = callback

    def snapshot(self) -> dict[str, float]:
        """Return the value of each series and gauge."""
        values = super().snapshot()
        values.update((name, float(read())) for name, read in sorted(self._gauges.items()))
        return values

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        self._export_new_names()
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut the meter down; counting still works afterwards."""
        self._provider.shutdown()

    def _export_new_names(self) -> None:
        for name in self._counts.keys() - self._exported:
            self._meter.create_observable_counter(name, [self._counter_reader(name)])
            self._exported.add(name)
        for name in self._gauges.keys() - self._exported:
            self._meter.create_observable_gauge(name, [self._gauge_reader(name)])
            self._exported.add(name)

    def _counter_reader(self, name: str) -> Callable[[CallbackOptions], Iterator[Observation]]:
        def read(_options: CallbackOptions) -> Iterator[Observation]:
            for key, value in self._merged(name).items():
                yield Observation(value, dict(key))

        return read

    def _gauge_reader(self, name: str) -> Callable[[CallbackOptions], Iterator[Observation]]:
        def read(_options: CallbackOptions) -> Iterator[Observation]:
            yield Observation(float(self._gauges[name]()))

        return read


def _name_series(name: str, key: Labels) -> str:
    if not key:
        return name
    return name + "{" + ",".join(f"{label}={value}" for label, value in key) + "}"
