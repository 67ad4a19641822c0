"""Table of jobs not served in time, by interval, queue and reason, from dispatcher logs.

Run as ``python -m benchmarks.losses FILE [SECONDS]``. Counts the jobs that were refused, given
up, unfinished, failed or late in each interval of SECONDS (2 by default). Lines may have a prefix
before their JSON, such as the name of the process.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from tabulate import tabulate

DEFAULT_INTERVAL_S = 2.0
SUCCEEDED = "succeeded"
HEADERS = ["from s", "queue", "what", "jobs", "held ms"]


class Loss(NamedTuple):
    """One job that was not served in time.

    :param at_s: time of the log line, in seconds after the first line about a job
    :param queue: empty if the job was refused on arrival
    :param kind: kind of loss and its reason
    :param waited_ms: how long the caller had waited, in milliseconds
    """

    at_s: float
    queue: str
    kind: str
    waited_ms: float


def read_losses(lines: Iterable[str]) -> list[Loss]:
    """Return the jobs that were not served in time, in the order of the log lines."""
    queues: dict[str, str] = {}
    losses = []
    first_s = None
    for line in lines:
        record = _decode(line)
        if record is None:
            continue
        now_s = datetime.fromisoformat(record["time"]).timestamp()
        first_s = now_s if first_s is None else first_s
        if record["message"] == "job accepted":
            queues[record["job"]] = record["queue"]
            continue
        what = _classify_loss(record)
        if what:
            queue = queues.get(record["job"], "")
            losses.append(Loss(now_s - first_s, queue, what, record.get("took_ms", 0.0)))
    return losses


def count_losses(losses: Iterable[Loss], interval_s: float) -> list[list]:
    """Return rows of interval start, queue, kind of loss, count and mean wait in milliseconds."""
    counts: Counter = Counter()
    waited_ms: Counter = Counter()
    for loss in losses:
        key = (loss.at_s // interval_s * interval_s, loss.queue, loss.kind)
        counts[key] += 1
        waited_ms[key] += loss.waited_ms
    return [[*key, count, waited_ms[key] / count] for key, count in sorted(counts.items())]


def main(arguments: list[str]) -> int:
    """Read a log file, print the table and return the exit code."""
    if not arguments:
        print(__doc__, file=sys.stderr)
        return 2
    interval_s = float(arguments[1]) if len(arguments) > 1 else DEFAULT_INTERVAL_S
    with open(arguments[0], encoding="utf-8", errors="replace") as lines:
        losses = read_losses(lines)
    rows = count_losses(losses, interval_s)
    print(tabulate(rows, HEADERS, tablefmt="github", floatfmt=".0f"))
    return 0


def _decode(line: str) -> dict | None:
    """Return the JSON record of a line if it is about a job, None otherwise."""
    start = line.find('{"time"')
    if start < 0 or '"job' not in line:
        return None
    try:
        record = json.loads(line[start:])
    except ValueError:
        return None
    return record if "job" in record and "message" in record else None


def _classify_loss(record: dict) -> str:
    """Return the kind of loss that a record reports, empty for none."""
    if record["message"] == "job refused":
        return f"refused: {record['reason']}"
    if record["message"] != "job ended":
        return ""
    if record["outcome"] != SUCCEEDED:
        return f"{record['outcome']} after acceptance: {record['reason']}"
    return "late" if record["took_ms"] > record["objective_ms"] else ""


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
