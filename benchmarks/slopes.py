"""Measure how costs grow with size; docs/CAPACITY.md is calculated from the results.

Run as ``python -m benchmarks.slopes [PART ...]``. Prints one JSON line per slope and writes all
of them to docs/slopes.json. A run of selected parts replaces only their slopes there.
"""

import os
import sys
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.slope_configuration import measure_configuration
from benchmarks.slope_fit import Slope, decode_slopes, encode_lines, encode_slopes
from benchmarks.slope_jobs import measure_jobs
from benchmarks.slope_links import measure_links
from benchmarks.slope_membership import measure_membership
from benchmarks.slope_processes import measure_fleet, measure_load

OUTPUT = Path(__file__).parent.parent / "docs" / "slopes.json"
PARTS: dict[str, Callable[[], list[Slope]]] = {
    "membership": measure_membership,
    "configuration": measure_configuration,
    "jobs": measure_jobs,
    "links": measure_links,
    "load": measure_load,
    "fleet": measure_fleet,
}


def main(names: list[str]) -> None:
    """Measure the named parts, or all.

    :param names: keys of ``PARTS``; empty for all
    """
    slopes: list[Slope] = []
    for name in names or PARTS:
        start = time.monotonic()
        measured = PARTS[name]()
        print(*encode_lines(measured), sep="\n", flush=True)
        load = os.getloadavg()[0]
        elapsed_s = time.monotonic() - start
        print(f"{name}: {elapsed_s:.0f} s, load average {load:.1f}", file=sys.stderr)
        slopes += measured
    _write(slopes, keep_others=bool(names))


def _write(slopes: list[Slope], keep_others: bool) -> None:
    old = decode_slopes(OUTPUT.read_bytes()) if keep_others and OUTPUT.exists() else []
    merged = {(slope.name, slope.unit): slope for slope in [*old, *slopes]}
    OUTPUT.write_bytes(encode_slopes(list(merged.values())))


if __name__ == "__main__":
    main(sys.argv[1:])
