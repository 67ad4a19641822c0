"""What becomes of jobs, by second, queue and reason, from the logs of dispatchers.

Run as ``python -m benchmarks.losses FILE [SECONDS]``: a table of the jobs that were refused,
given up, unfinished, failed or late, for each stretch of so many seconds (2 without it). Lines
may have a prefix before their JSON, such as the name of their process.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from tabulate import tabulate

STRETCH_S = 2.0
SUCCEEDED = "succeeded"
HEADERS = ["from s", "queue", "what", "jobs", "held ms"]


class Loss(NamedTuple):
    """One job that was not served in time.

    :param at_s: when that was decided, in seconds after the first line
    :param queue: empty where the job was refused on arrival
    :param held_ms: how long its caller had waited
    """

    at_s: float
    queue: str
    what: str
    held_ms: float


def read_losses(lines: Iterable[str]) -> list[Loss]:
    """Return the jobs that were not served in time, in the order of the lines."""
    queues: dict[str, str] = {}
    losses = []
    begun_s = None
    for line in lines:
        record = _decode(line)
        if record is None:
            continue
        now_s = datetime.fromisoformat(record["time"]).timestamp()
        begun_s = now_s if begun_s is None else begun_s
        if record["message"] == "job accepted":
            queues[record["job"]] = record["queue"]
            continue
        what = _name_loss(record)
        if what:
            queue = queues.get(record["job"], "")
            losses.append(Loss(now_s - begun_s, queue, what, record.get("took_ms", 0.0)))
    return losses


def count_losses(losses: Iterable[Loss], stretch_s: float) -> list[list]:
    """Return rows of stretch, queue, what happened, how often, and the mean time held."""
    counts: Counter = Counter()
    held: Counter = Counter()
    for loss in losses:
        key = (loss.at_s // stretch_s * stretch_s, loss.queue, loss.what)
        counts[key] += 1
        held[key] += loss.held_ms
    return [[*key, count, held[key] / count] for key, count in sorted(counts.items())]


def main(arguments: list[str]) -> int:
    """Read and print; return the exit code."""
    if not arguments:
        print(__doc__, file=sys.stderr)
        return 2
    stretch_s = float(arguments[1]) if len(arguments) > 1 else STRETCH_S
    with open(arguments[0], encoding="utf-8", errors="replace") as lines:
        losses = read_losses(lines)
    rows = count_losses(losses, stretch_s)
    print(tabulate(rows, HEADERS, tablefmt="github", floatfmt=".0f"))
    return 0


def _decode(line: str) -> dict | None:
    """Return a line's record if it is about a job, None otherwise."""
    start = line.find('{"time"')
    if start < 0 or '"job' not in line:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    return record if "job" in record and "message" in record else None


def _name_loss(record: dict) -> str:
    """Return what was lost by what a record says, empty for nothing."""
    if record["message"] == "job refused":
        return f"refused: {record['reason']}"
    if record["message"] != "job ended":
        return ""
    if record["outcome"] != SUCCEEDED:
        return f"{record['outcome']} after acceptance: {record['reason']}"
    return "late" if record["took_ms"] > record["objective_ms"] else ""


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
