"""Counts of a running fleet, read from its processes' metrics."""

from typing import NamedTuple

from prometheus_client.parser import text_string_to_metric_families

from tests.processes import Fleet

CONTROL_KINDS = frozenset(
    {
        "Heartbeat",
        "ShortHeartbeat",
        "HeartbeatReply",
        "Digest",
        "Handover",
        "HandoverReceipt",
        "Drain",
    }
)
PREFIX = "geraniumspool_"
SUFFIX = "_total"


class Series(NamedTuple):
    """One labelled counter of one process."""

    name: str
    labels: dict[str, str]
    value: float


class Counts(NamedTuple):
    """What the dispatcher's processes did, added up.

    :param work_messages: messages on jobs between our processes
    :param cross_messages: those of them between failure domains
    :param control_messages: heartbeats, digests and the like
    :param wasted_messages: refused offers, revokes, repeated submits, dropped answers
    :param tasks_started: starts as the runners count them
    """

    work_messages: float
    cross_messages: float
    control_messages: float
    wasted_messages: float
    tasks_started: float

    def __add__(self, other: "Counts") -> "Counts":
        """Return both added up."""
        return Counts(*(mine + more for mine, more in zip(self, other, strict=True)))

    def __sub__(self, other: "Counts") -> "Counts":
        """Return what was added since ``other``."""
        return Counts(*(mine - theirs for mine, theirs in zip(self, other, strict=True)))


def read_series(fleet: Fleet, url: str) -> list[Series]:
    """Return the counters that one process shows."""
    text = fleet.http.request("GET", f"{url}/metrics", timeout=10).data.decode()
    return [
        Series(sample.name.removeprefix(PREFIX).removesuffix(SUFFIX), sample.labels, sample.value)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]


NO_COUNTS = Counts(0.0, 0.0, 0.0, 0.0, 0.0)


def read_process(fleet: Fleet, url: str) -> Counts:
    """Return the counts of one process."""
    series = read_series(fleet, url)
    sent = [row for row in series if row.name == "messages_sent"]
    work = [row for row in sent if row.labels["kind"] not in CONTROL_KINDS]
    control = [row for row in sent if row.labels["kind"] in CONTROL_KINDS]
    return Counts(
        sum(row.value for row in work),
        sum(row.value for row in work if row.labels["scope"] == "cross"),
        sum(row.value for row in control),
        _count_wasted(series, work),
        sum(row.value for row in series if row.name == "tasks_started"),
    )


class Meter:
    """Counts of a fleet whose processes come and go.

    What a killed process did after the last :meth:`look` is lost.
    """

    def __init__(self, fleet: Fleet):
        """Begin to count now."""
        self._fleet = fleet
        self._last: dict[int, Counts] = {}
        self.look()
        self._first = dict(self._last)

    def look(self) -> None:
        """Read every process that lives."""
        for pid, url in _living(self._fleet).items():
            self._last[pid] = read_process(self._fleet, url)

    def read(self) -> Counts:
        """Return what all processes did since the begin."""
        self.look()
        total = NO_COUNTS
        for pid, counts in self._last.items():
            total += counts - self._first.get(pid, NO_COUNTS)
        return total


def _living(fleet: Fleet) -> dict[int, str]:
    entries = [(entry, f"http://{entry.ready['callers']}") for entry in fleet.entries]
    agents = [(agent, agent.ready["minion"]) for agent in fleet.agents]
    return {program.process.pid: url for program, url in entries + agents if is_alive(program)}


def is_alive(program) -> bool:
    """Return whether a program still runs."""
    return program.process.poll() is None


def _count_wasted(series: list[Series], work: list[Series]) -> float:
    names = {"offers_refused", "submits_repeated", "inquiries_sent", "answers_dropped"}
    counted = sum(row.value for row in series if row.name in names)
    revokes = sum(row.value for row in work if row.labels["kind"] in ("Revoke", "Revoked"))
    return counted + revokes
