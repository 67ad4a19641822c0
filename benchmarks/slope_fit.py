"""Lines through measured points, and the means to take the points."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec

US_PER_S = 1_000_000.0
REPEATS = 3


class Point(NamedTuple):
    """One measured value.

    :param size: what the value should grow with
    """

    size: float
    value: float


class Slope(NamedTuple):
    """A line through points.

    :param name: what was measured, and what it was measured against
    :param unit: unit of the values, such as ``us per heartbeat``
    :param slope: growth of the value with each unit of size
    :param intercept: value of the line at size 0
    :param spread: largest distance of a point from the line, as a share of
        the largest value; a line that does not fit shows here
    """

    name: str
    unit: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    spread: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit(name: str, unit: str, points: Iterable[Point]) -> Slope:
    """Return the line of least squares through points.

    With a single size it is level, at the mean of the values.

    :raises ValueError: if there is no point
    """
    kept = tuple(points)
    if not kept:
        raise ValueError(f"{name}: no point to fit")
    sizes, values = zip(*kept, strict=True)
    slope, intercept = 0.0, statistics.fmean(values)
    if len(set(sizes)) > 1:
        slope, intercept = statistics.linear_regression(sizes, values)
    distance = max(abs(value - (intercept + slope * size)) for size, value in kept)
    largest = max(map(abs, values))
    spread = distance / largest if largest > 0 else 0.0
    return Slope(name, unit, kept, slope, intercept, spread)


def encode_lines(slopes: list[Slope]) -> list[str]:
    """Return slopes as JSON objects, one text each."""
    return [msgspec.json.encode(_round(slope)).decode() for slope in slopes]


def encode_slopes(slopes: list[Slope]) -> bytes:
    """Return slopes as a JSON array with one object a line."""
    return ("[\n" + ",\n".join(encode_lines(slopes)) + "\n]\n").encode()


def decode_slopes(data: bytes) -> list[Slope]:
    """Return the slopes in what :func:`encode_slopes` returned."""
    rows = msgspec.json.decode(data)
    return [Slope(**{**row, "points": tuple(Point(**p) for p in row["points"])}) for row in rows]


def _round(slope: Slope) -> dict[str, Any]:
    points = [{"size": point.size, "value": _cut(point.value)} for point in slope.points]
    return {
        "name": slope.name,
        "unit": slope.unit,
        "points": points,
        "slope": _cut(slope.slope),
        "intercept": _cut(slope.intercept),
        "spread": _cut(slope.spread),
    }


def _cut(value: float) -> float:
    return float(f"{value:.4g}")


def processor_us(action: Callable[[], Any]) -> float:
    """Return the processor time that an action takes, in microseconds.

    It is this process's time, so other processes hardly change it.
    """
    gc.collect()
    start = time.process_time()
    action()
    return (time.process_time() - start) * US_PER_S


def median_us(action: Callable[[], Any], count: int, repeats: int = REPEATS) -> float:
    """Return the median processor time of one of ``count`` steps, in microseconds.

    :param action: does ``count`` steps
    """
    taken = sorted(processor_us(action) / count for _ in range(repeats))
    return taken[len(taken) // 2]


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the memory that what ``build`` returns keeps allocated, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        taken, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return float(taken)
