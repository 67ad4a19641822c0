"""Counters and gauges of one process, exported through OpenTelemetry.

Counting is a plain dictionary update, cheap enough to be done for every task.
The OpenTelemetry instruments read the dictionaries only when metrics are
rendered.
"""

from collections.abc import Callable, Iterator
from itertools import accumulate

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import HistogramMetricFamily

from geraniumspool.counters import BUCKETS, Histogram, MemoryCounters

PREFIX = "geraniumspool"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics(MemoryCounters):
    """Counters and gauges that are rendered in the Prometheus text format.

    Every instance has its own registry, so a process can have several instances.
    """

    def __init__(self, role: str, domain: str, counters: MemoryCounters | None = None):
        """Create the OpenTelemetry meter and its registry.

        :param role: role of the process, such as ``entry`` or ``agent``
        :param domain: failure domain of the process
        :param counters: existing counters to export instead of new ones
        """
        super().__init__(counters)
        self._gauges: dict[str, Callable[[], float]] = {}
        self._registered: set[str] = set()
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
        self._registry.register(_HistogramCollector(self, role, domain))

    def set_gauge(self, name: str, callback: Callable[[], float]) -> None:
        """Register a gauge, replacing an earlier one of the same name.

        :param name: gauge name without prefix
        :param callback: returns the current value whenever metrics are rendered; must not block
        """
        self._gauges[name] = callback

    def snapshot(self) -> dict[str, float]:
        """Return the values of all counter series and gauges by name."""
        values = super().snapshot()
        values.update((name, float(read())) for name, read in sorted(self._gauges.items()))
        return values

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._register_new_names()
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter; counting keeps working."""
        self._provider.shutdown()

    def _register_new_names(self) -> None:
        for name in self.names() - self._registered:
            self._meter.create_observable_counter(name, [self._counter_reader(name)])
            self._registered.add(name)
        for name in self._gauges.keys() - self._registered:
            self._meter.create_observable_gauge(name, [self._gauge_reader(name)])
            self._registered.add(name)

    def _counter_reader(self, name: str) -> Callable[[CallbackOptions], Iterator[Observation]]:
        def read(_options: CallbackOptions) -> Iterator[Observation]:
            for key, value in self.series(name).items():
                yield Observation(value, dict(key))

        return read

    def _gauge_reader(self, name: str) -> Callable[[CallbackOptions], Iterator[Observation]]:
        def read(_options: CallbackOptions) -> Iterator[Observation]:
            yield Observation(float(self._gauges[name]()))

        return read


class _HistogramCollector:
    """Prometheus collector for the histograms.

    OpenTelemetry has no observable histogram, that is, none read by a callback on rendering.
    """

    def __init__(self, counted: MemoryCounters, role: str, domain: str):
        self._counters = counted
        self._process_labels = {"role": role, "domain": domain}

    def collect(self) -> Iterator[HistogramMetricFamily]:
        for name, series in self._counters.histograms().items():
            labels = sorted(
                {label for key in series for label, _ in key} | self._process_labels.keys()
            )
            family = HistogramMetricFamily(f"{PREFIX}_{name}", name, labels=labels)
            for key, histogram in series.items():
                values = self._process_labels | dict(key)
                texts = [values.get(label, "") for label in labels]
                family.add_metric(texts, _accumulate_buckets(histogram), histogram.total)
            yield family


def _accumulate_buckets(histogram: Histogram) -> list[tuple[str, int]]:
    bounds = (*map(str, BUCKETS), "+Inf")
    return list(zip(bounds, accumulate(histogram.counts), strict=True))
