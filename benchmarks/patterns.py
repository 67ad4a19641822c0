"""Simulate load patterns under several dispatch policies and compare the results.

Run as ``python -m benchmarks.patterns [PATTERN[,...] [POLICY[,...] [SEEDS]]]``. The defaults are
all patterns, all policies and one seed. Prints a table for each pattern and, as the last line,
one JSON object with all rows. Rows are means over the seeds.
"""

import json
import logging
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from tabulate import tabulate

from benchmarks.pattern_loads import PATTERNS
from benchmarks.pattern_play import PatternSimulation, Row
from benchmarks.pattern_policies import POLICIES, POLICY_IN_USE

MAX_PROCESSES = 2
# Settings of the dispatchers with which the policy in use is simulated as well.
SETTINGS = {"returned jobs": {"returns_jobs": True}}
HEADERS = ["policy", *Row._fields]


def main(arguments: list[str]) -> int:
    """Run the simulations, print the results and return the exit code."""
    patterns = _read_names(arguments, 0, [pattern.name for pattern in PATTERNS])
    known = [*POLICIES, *SETTINGS]
    policies = _read_names(arguments, 1, known)
    seeds = int(arguments[2]) if len(arguments) > 2 else 1
    unknown = (set(patterns) - {pattern.name for pattern in PATTERNS}) | (
        set(policies) - set(known)
    )
    if unknown:
        print(f"unknown: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    runs = [
        (pattern, policy, seed)
        for pattern in patterns
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        rows = dict(zip(runs, pool.map(simulate, runs), strict=True))
    means = {
        pattern: {
            policy: _average([rows[pattern, policy, seed] for seed in range(1, seeds + 1)])
            for policy in policies
        }
        for pattern in patterns
    }
    for pattern, table in means.items():
        print(f"\n{pattern}\n")
        table_rows = [[policy, *row] for policy, row in table.items()]
        print(tabulate(table_rows, HEADERS, tablefmt="github", floatfmt=".3f"))
    print(
        json.dumps({name: {p: row._asdict() for p, row in t.items()} for name, t in means.items()})
    )
    return 0


def simulate(run: tuple[str, str, int]) -> Row:
    """Simulate one pattern under one policy.

    :param run: names of the pattern and of the policy or the settings, and the seed
    """
    name, policy, seed = run
    logging.disable(logging.CRITICAL)
    pattern = next(pattern for pattern in PATTERNS if pattern.name == name)
    settings = SETTINGS.get(policy, {})
    policy_type = POLICIES[POLICY_IN_USE if policy in SETTINGS else policy]
    return PatternSimulation(pattern, policy_type, seed, **settings).run()


def _read_names(arguments: list[str], index: int, known: list[str]) -> list[str]:
    if len(arguments) <= index or not arguments[index]:
        return known
    return arguments[index].split(",")


def _average(rows: list[Row]) -> Row:
    return Row(*(round(statistics.fmean(column), 4) for column in zip(*rows, strict=True)))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
