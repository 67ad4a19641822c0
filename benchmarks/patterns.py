"""Play load patterns against policies of the dispatcher, side by side.

Run as ``python -m benchmarks.patterns [PATTERN[,...] [POLICY[,...] [SEEDS]]]``; all
patterns, all policies and one seed without arguments. Prints a table for each
pattern and, last, one JSON object with all rows.
"""

import json
import logging
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from tabulate import tabulate

from benchmarks.pattern_loads import PATTERNS
from benchmarks.pattern_play import Play, Row
from benchmarks.pattern_policies import POLICIES

PROCESSES = 2
HEADERS = ["policy", *Row._fields]


def main(arguments: list[str]) -> int:
    """Play and print; return the exit code."""
    patterns = _pick(arguments, 0, [pattern.name for pattern in PATTERNS])
    policies = _pick(arguments, 1, list(POLICIES))
    seeds = int(arguments[2]) if len(arguments) > 2 else 1
    unknown = (set(patterns) - {pattern.name for pattern in PATTERNS}) | (
        set(policies) - set(POLICIES)
    )
    if unknown:
        print(f"unknown: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    plays = [
        (pattern, policy, seed)
        for pattern in patterns
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        rows = dict(zip(plays, pool.map(play, plays), strict=True))
    means = {
        pattern: {
            policy: _average([rows[pattern, policy, seed] for seed in range(1, seeds + 1)])
            for policy in policies
        }
        for pattern in patterns
    }
    for pattern, table in means.items():
        print(f"\n{pattern}\n")
        lines = [[policy, *row] for policy, row in table.items()]
        print(tabulate(lines, HEADERS, tablefmt="github", floatfmt=".3f"))
    print(
        json.dumps({name: {p: row._asdict() for p, row in t.items()} for name, t in means.items()})
    )
    return 0


def play(chosen: tuple[str, str, int]) -> Row:
    """Play one pattern against one policy.

    :param chosen: names of the pattern and the policy, and the seed
    """
    name, policy, seed = chosen
    logging.disable(logging.CRITICAL)
    pattern = next(pattern for pattern in PATTERNS if pattern.name == name)
    return Play(pattern, POLICIES[policy], seed).run()


def _pick(arguments: list[str], place: int, known: list[str]) -> list[str]:
    if len(arguments) <= place or not arguments[place]:
        return known
    return arguments[place].split(",")


def _average(rows: list[Row]) -> Row:
    return Row(*(round(statistics.fmean(column), 4) for column in zip(*rows, strict=True)))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
