"""Measure scheduling decisions under load and faults, with real processes on loopback.

Run as ``python -m benchmarks.measure [EXPERIMENT ...]``. Prints one JSON line per experiment and
policy, and writes the lines, a table and a plot into docs/. A run of selected experiments
replaces only their lines there.
"""

import json
import os
import sys
import time

from benchmarks.experiments import EXPERIMENTS
from benchmarks.report import load_rows, merge_rows, write_report


def main(names: list[str]) -> int:
    """Run the named experiments, or all.

    :param names: keys of ``EXPERIMENTS``; empty for all
    :returns: exit code: 1 if an experiment was aborted, 2 for an unknown name
    """
    unknown = sorted(set(names) - set(EXPERIMENTS))
    if unknown:
        print(f"unknown: {', '.join(unknown)}; known: {', '.join(EXPERIMENTS)}", file=sys.stderr)
        return 2
    all_rows = []
    failed = []
    for name in names or EXPERIMENTS:
        begin = time.monotonic()
        try:
            rows = [row.as_json() for row in EXPERIMENTS[name]()]
        except (RuntimeError, OSError) as error:
            print(f"{name}: aborted: {error}", file=sys.stderr, flush=True)
            failed.append(name)
            continue
        for row in rows:
            print(json.dumps(row), flush=True)
        taken = time.monotonic() - begin
        load = os.getloadavg()[0]
        print(f"{name}: {taken:.0f} s, load average {load:.1f}", file=sys.stderr, flush=True)
        all_rows = merge_rows(load_rows() if names else all_rows, rows)
        write_report(all_rows)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
