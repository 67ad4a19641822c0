"""Message and task counts of a running system, read from the metrics of its processes."""

from typing import NamedTuple

from prometheus_client.parser import text_string_to_metric_families

from tests.processes import ProcessSystem

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
    """Totals over the processes of a system.

    :param work_messages: messages about jobs between entries and agents
    :param cross_messages: work messages that crossed failure domains
    :param control_messages: messages of the types in ``CONTROL_KINDS``
    :param wasted_messages: refused offers, revokes and their confirmations, repeated submits,
        inquiries, and dropped answers
    :param tasks_started: starts as counted by the runners
    """

    work_messages: float
    cross_messages: float
    control_messages: float
    wasted_messages: float
    tasks_started: float

    def __add__(self, other: "Counts") -> "Counts":
        """Return the sum, field by field."""
        return Counts(*(left + right for left, right in zip(self, other, strict=True)))

    def __sub__(self, other: "Counts") -> "Counts":
        """Return the difference, field by field."""
        return Counts(*(left - right for left, right in zip(self, other, strict=True)))


def read_series(system: ProcessSystem, url: str) -> list[Series]:
    """Return the samples that one process exports, without prefix and suffix in their names.

    :param url: base URL of the listener that serves ``/metrics``
    """
    text = system.http.request("GET", f"{url}/metrics", timeout=10).data.decode()
    return [
        Series(sample.name.removeprefix(PREFIX).removesuffix(SUFFIX), sample.labels, sample.value)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]


ZERO_COUNTS = Counts(0.0, 0.0, 0.0, 0.0, 0.0)


def read_process(system: ProcessSystem, url: str) -> Counts:
    """Return the counts of one process.

    :param url: base URL of the listener that serves ``/metrics``
    """
    series = read_series(system, url)
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
    """Counts of a system while processes start and end.

    What a process did between the last :meth:`sample` and its end is not counted.
    """

    def __init__(self, system: ProcessSystem):
        """Start counting from the present values."""
        self._system = system
        self._last: dict[int, Counts] = {}
        self.sample()
        self._initial = dict(self._last)

    def sample(self) -> None:
        """Read the counts of every running process."""
        for pid, url in _running_urls(self._system).items():
            self._last[pid] = read_process(self._system, url)

    def total(self) -> Counts:
        """Return what all processes did since this meter was made."""
        self.sample()
        total = ZERO_COUNTS
        for pid, counts in self._last.items():
            total += counts - self._initial.get(pid, ZERO_COUNTS)
        return total


def _running_urls(system: ProcessSystem) -> dict[int, str]:
    entries = [(entry, f"http://{entry.ready['callers']}") for entry in system.entries]
    agents = [(agent, agent.ready["minion"]) for agent in system.agents]
    return {program.process.pid: url for program, url in entries + agents if is_alive(program)}


def is_alive(program) -> bool:
    """Return whether the process of a program is running."""
    return program.process.poll() is None


def _count_wasted(series: list[Series], work: list[Series]) -> float:
    names = {"offers_refused", "submits_repeated", "inquiries_sent", "answers_dropped"}
    counted = sum(row.value for row in series if row.name in names)
    revokes = sum(row.value for row in work if row.labels["kind"] in ("Revoke", "Revoked"))
    return counted + revokes
