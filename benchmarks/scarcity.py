"""Compare dispatch policies while capacity is scarce, on the same seeds.

Run as ``python -m benchmarks.scarcity [PATTERN[,...] [POLICY[,...] [SEEDS]]]``. The defaults are
all patterns, the policy in use and those that share scarce capacity, and two seeds. Prints a
table for each pattern and one line of JSON with all figures, which are means over the seeds.
"""

import json
import logging
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from tabulate import tabulate

from benchmarks.pattern_loads import (
    BURST,
    LONG_QUEUE,
    SHORT_QUEUE,
    SMALL_QUEUE,
    Fault,
    FaultKind,
    Pattern,
)
from benchmarks.pattern_play import LATE_REFUSAL_SHARE, QUEUES, PatternSimulation
from benchmarks.pattern_policies import (
    POLICIES,
    POLICY_BY_VALUE,
    POLICY_IN_USE,
    POLICY_WITH_SHARES,
)
from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.job_specs import JobOutcome

MAX_PROCESSES = 2
WORKERS = 6
DISPATCHERS = 2
LENGTH_MS = 10_000.0
# Arrivals before this time meet workers that are still filling up.
WARM_UP_MS = 1_000.0
LOSS = Fault(FaultKind.CRASH, 0.2, 3_000.0, 4_000.0)
QUARTER_LOSS = LOSS._replace(share=0.25)

SCARCITY_PATTERNS = (
    Pattern("half load", 0.5, length_ms=LENGTH_MS),
    Pattern("1.3 times", 1.3, length_ms=LENGTH_MS),
    Pattern("1.8 times", 1.8, length_ms=LENGTH_MS),
    Pattern("2.5 times", 2.5, length_ms=LENGTH_MS),
    *(
        Pattern(
            f"1.3 times with a burst of {queue}",
            1.3,
            (BURST._replace(start_ms=3_000.0, length_ms=4_000.0),),
            burst_queue=queue,
            length_ms=LENGTH_MS,
        )
        for queue in (SHORT_QUEUE, LONG_QUEUE, SMALL_QUEUE)
    ),
    Pattern("0.95 times, a fifth lost", 0.95, faults=(LOSS,), length_ms=LENGTH_MS),
    Pattern("0.95 times, a quarter lost", 0.95, faults=(QUARTER_LOSS,), length_ms=LENGTH_MS),
    Pattern("1.8 times, a fifth lost", 1.8, faults=(LOSS,), length_ms=LENGTH_MS),
)


class ScarcityRow(NamedTuple):
    """Results of one simulation.

    :param short: work in time of the short jobs, divided by their offered work; likewise
        ``long`` and ``small``
    :param value: work in time and a fifth of the work served late, divided by all offered work
    :param in_time: share of the jobs that were in time
    :param served: share that was served in time or late
    :param late_refusals: share refused later than a quarter of their objective
    :param lost: share neither served nor refused
    :param worst: smallest share of jobs in time of any kind
    :param least_served: smallest part of the served work that any kind got
    :param gap_s: longest time in seconds without a job in time of some kind
    """

    short: float
    long: float
    small: float
    value: float
    in_time: float
    served: float
    late_refusals: float
    lost: float
    worst: float
    least_served: float
    gap_s: float


def find_pattern(name: str) -> Pattern:
    """Return a pattern by its name."""
    return next(pattern for pattern in SCARCITY_PATTERNS if pattern.name == name)


def simulate(run: tuple[str, str, int]) -> ScarcityRow:
    """Simulate one pattern under one policy.

    :param run: names of the pattern and the policy, and the seed
    """
    name, policy, seed = run
    logging.disable(logging.CRITICAL)
    pattern = find_pattern(name)
    played = PatternSimulation(pattern, POLICIES[policy], seed, WORKERS, DISPATCHERS)
    played.run()
    return measure(played)


def measure(played: PatternSimulation) -> ScarcityRow:
    """Return the results of a simulation that has run."""
    jobs = [sent for sent in played.sent_jobs if sent.arrival.at_ms >= WARM_UP_MS]
    by_queue = {queue: [j for j in jobs if j.arrival.job.queue == queue] for queue in QUEUES}
    in_time = {queue: [j for j in kind if j.is_in_time] for queue, kind in by_queue.items()}
    late_work = _sum_work([j for j in jobs if j.is_served and not j.is_in_time])
    served = {
        queue: _sum_work([j for j in kind if j.is_served]) for queue, kind in by_queue.items()
    }
    refused = [j for j in jobs if j.outcome is JobOutcome.REFUSED]
    late_refused = [j for j in refused if j.refused_ms > LATE_REFUSAL_SHARE * j.objective_ms]
    served_jobs = [j for j in jobs if j.is_served]
    return ScarcityRow(
        *(
            _sum_work(in_time[queue]) / max(1.0, _sum_work(by_queue[queue]))
            for queue in (SHORT_QUEUE, LONG_QUEUE, SMALL_QUEUE)
        ),
        (sum(map(_sum_work, in_time.values())) + 0.2 * late_work) / _sum_work(jobs),
        sum(map(len, in_time.values())) / len(jobs),
        len(served_jobs) / len(jobs),
        len(late_refused) / len(jobs),
        sum(j.outcome not in (JobOutcome.SUCCEEDED, JobOutcome.REFUSED) for j in jobs) / len(jobs),
        min(len(in_time[queue]) / max(1, len(by_queue[queue])) for queue in QUEUES),
        min(served.values()) / max(1.0, sum(served.values())),
        max(_find_longest_gap(kind, played.pattern.length_ms) for kind in in_time.values())
        / MS_PER_SECOND,
    )


def _sum_work(jobs: list) -> float:
    return sum(sent.arrival.job.work for sent in jobs)


def _find_longest_gap(jobs: list, length_ms: float) -> float:
    """Return the longest time in ms between the arrivals of two jobs that were in time."""
    times = [WARM_UP_MS, *sorted(sent.arrival.at_ms for sent in jobs), length_ms]
    return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))


def main(arguments: list[str]) -> int:
    """Run the simulations, print the results and return the exit code."""
    names = [pattern.name for pattern in SCARCITY_PATTERNS]
    chosen = arguments[0].split(",") if arguments and arguments[0] else names
    policies = [POLICY_IN_USE, POLICY_BY_VALUE, POLICY_WITH_SHARES]
    if len(arguments) > 1 and arguments[1]:
        policies = arguments[1].split(",")
    seeds = int(arguments[2]) if len(arguments) > 2 else 2
    patterns = [name for name in names if name in chosen]
    runs = [(n, p, s) for n in patterns for p in policies for s in range(1, seeds + 1)]
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        rows = dict(zip(runs, pool.map(simulate, runs), strict=True))
    tables = {}
    for name in patterns:
        tables[name] = {
            policy: ScarcityRow(
                *(
                    round(statistics.fmean(column), 3)
                    for column in zip(
                        *(rows[name, policy, s] for s in range(1, seeds + 1)), strict=True
                    )
                )
            )
            for policy in policies
        }
        print(f"\n{name}\n")
        table = [[policy, *row] for policy, row in tables[name].items()]
        print(tabulate(table, ["policy", *ScarcityRow._fields], "github", floatfmt=".3f"))
    print(json.dumps({n: {p: r._asdict() for p, r in t.items()} for n, t in tables.items()}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
