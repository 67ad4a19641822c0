"""Least-squares lines through measured points, and functions that measure time and memory."""

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

    :param size: quantity that the value depends on, such as a number of members
    """

    size: float
    value: float


class Slope(NamedTuple):
    """A line fitted to measured points.

    :param name: measured quantity, and after ``/`` the quantity that it depends on
    :param unit: unit of the values, such as ``us of processor``
    :param slope: increase of the value per unit of size
    :param intercept: value of the line at size 0
    :param spread: largest distance of a point from the line, as a share of the largest absolute
        value; large if the values don't grow linearly
    """

    name: str
    unit: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    spread: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(name: str, unit: str, points: Iterable[Point]) -> Slope:
    """Return the least-squares line through points.

    If all points have the same size, the slope is 0 and the intercept the mean of the values.

    :param name: see :class:`Slope`
    :param unit: see :class:`Slope`
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
    """Return each slope as a JSON object, with values rounded to four significant digits."""
    return [msgspec.json.encode(_encode_slope(slope)).decode() for slope in slopes]


def encode_slopes(slopes: list[Slope]) -> bytes:
    """Return slopes as a JSON array with one object per line."""
    return ("[\n" + ",\n".join(encode_lines(slopes)) + "\n]\n").encode()


def decode_slopes(data: bytes) -> list[Slope]:
    """Decode the result of :func:`encode_slopes`."""
    rows = msgspec.json.decode(data)
    return [Slope(**{**row, "points": tuple(Point(**p) for p in row["points"])}) for row in rows]


def _encode_slope(slope: Slope) -> dict[str, Any]:
    points = [{"size": point.size, "value": _round_value(point.value)} for point in slope.points]
    return {
        "name": slope.name,
        "unit": slope.unit,
        "points": points,
        "slope": _round_value(slope.slope),
        "intercept": _round_value(slope.intercept),
        "spread": _round_value(slope.spread),
    }


def _round_value(value: float) -> float:
    return float(f"{value:.4g}")


def processor_us(action: Callable[[], Any]) -> float:
    """Return the processor time that an action takes in this process, in microseconds.

    Unlike wall-clock time it hardly depends on the load of other processes.
    """
    gc.collect()
    start = time.process_time()
    action()
    return (time.process_time() - start) * US_PER_S


def median_us(action: Callable[[], Any], count: int, repeats: int = REPEATS) -> float:
    """Return the median processor time per step of an action, in microseconds.

    :param action: performs ``count`` steps
    :param repeats: how often the action is measured
    """
    taken = sorted(processor_us(action) / count for _ in range(repeats))
    return taken[len(taken) // 2]


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the memory that the object returned by ``build`` occupies, in bytes."""
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
