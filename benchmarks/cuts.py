"""Storms of network cuts between dispatchers, one seed after another.

Run as ``python -m benchmarks.cuts KIND [FIRST [COUNT]]``, where KIND is one of the kinds of
:mod:`tests.cut_storm`, or ``late`` or ``late-small`` for the storms of :mod:`tests.late_storm`,
with the names of the faults if they are not to be drawn, such as ``late-small:cuts,callers``.
Prints a JSON line for each seed in which a task ran on two minions at the same time, with what was
done, and a summary as the last line. A seed repeats its run only with a fixed ``PYTHONHASHSEED``.
"""

import json
import logging
import os
import sys
import time
from typing import NamedTuple

from geraniumspool.claim_messages import FenceJobs, RelayClaims
from tests.cut_storm import KINDS, CutStorm
from tests.late_storm import SIZES, LateStorm

DEFAULT_COUNT = 100


class StormResult(NamedTuple):
    """What was seen in one storm.

    :param doubled: tasks that ran on two minions at the same time
    :param errors: errors that ended a green thread
    :param actions: what was done, with times in milliseconds
    :param jobs: number of jobs
    :param served: number of jobs that some caller was told to have succeeded
    :param messages: number of messages sent between processes
    :param fences: number of those that request fences
    :param relays: number of those that ask executors to relay claims
    """

    seed: int
    doubled: list[str]
    errors: list[str]
    actions: list[tuple[int, str]]
    jobs: int
    served: int
    messages: int
    fences: int
    relays: int


def make_storm(kind: str, seed: int) -> CutStorm | LateStorm:
    """Return a storm that was not run yet."""
    if kind in KINDS:
        return CutStorm(seed, KINDS[kind])
    size, _, names = kind.partition(":")
    return LateStorm(seed, names.split(",") if names else None, SIZES[size])


def play(kind: str, seed: int) -> StormResult:
    """Run one storm."""
    storm = make_storm(kind, seed)
    doubled = sorted(storm.run())
    jobs, served = storm.count_outcomes()
    sent = [message for _, _, message in storm.world.network.sent]
    return StormResult(
        seed,
        doubled,
        storm.errors,
        storm.actions if doubled or storm.errors else [],
        jobs,
        served,
        len(sent),
        sum(isinstance(message, FenceJobs) for message in sent),
        sum(isinstance(message, RelayClaims) for message in sent),
    )


def main(arguments: list[str]) -> int:
    """Run consecutive seeds.

    :param arguments: the kind, the first seed, 1 by default, and the number of seeds
    :returns: exit code, 1 if a seed failed
    """
    kind = arguments[0]
    first = int(arguments[1]) if len(arguments) > 1 else 1
    count = int(arguments[2]) if len(arguments) > 2 else DEFAULT_COUNT
    if os.environ.get("PYTHONHASHSEED", "random") == "random":
        print("PYTHONHASHSEED is not set: runs are not reproducible", file=sys.stderr)
    logging.disable(logging.CRITICAL)
    begin = time.monotonic()
    failed = []
    totals = dict.fromkeys(("jobs", "served", "messages", "fences", "relays"), 0)
    for seed in range(first, first + count):
        result = play(kind, seed)
        for name in totals:
            totals[name] += getattr(result, name)
        if result.doubled or result.errors:
            failed.append(seed)
            print(json.dumps(result._asdict()), flush=True)
    summary = {"kind": kind, "first": first, "storms": count, "failed": failed, **totals}
    print(json.dumps({**summary, "elapsed_s": round(time.monotonic() - begin, 1)}))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
