"""Measure decisions under load and faults, with real processes on loopback.

Run as ``python -m benchmarks.measure [EXPERIMENT ...]``. Prints one JSON line
per experiment and policy. The lines, a table and a plot go into docs/; a run of
some experiments replaces only their own lines there.
"""

import json
import os
import sys
import time

from benchmarks.experiments import EXPERIMENTS
from benchmarks.report import load_rows, merge_rows, write_report


def main(names: list[str]) -> int:
    """Measure some experiments, or all.

    :param names: names in ``EXPERIMENTS``; none for all
    :returns: exit code, 1 if an experiment broke off
    """
    unknown = sorted(set(names) - set(EXPERIMENTS))
    if unknown:
        print(f"unknown: {', '.join(unknown)}; known: {', '.join(EXPERIMENTS)}", file=sys.stderr)
        return 2
    kept = []
    broken = []
    for name in names or EXPERIMENTS:
        begin = time.monotonic()
        try:
            rows = [row.as_json() for row in EXPERIMENTS[name]()]
        except (RuntimeError, OSError) as error:
            print(f"{name}: broke off: {error}", file=sys.stderr, flush=True)
            broken.append(name)
            continue
        for row in rows:
            print(json.dumps(row), flush=True)
        taken = time.monotonic() - begin
        load = os.getloadavg()[0]
        print(f"{name}: {taken:.0f} s, load average {load:.1f}", file=sys.stderr, flush=True)
        kept = merge_rows(load_rows() if names else kept, rows)
        write_report(kept)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
