"""Parsing and validation of callers' request bodies; all errors are reported together."""

import hashlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

import msgspec

from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.documents import ServiceDocument
from geraniumspool.errors import Finding, InvalidInput
from geraniumspool.messages import Task

MAX_TASKS = 340
MAX_TICKETS = 100
MAX_NAME_CHARS = 100
MAX_DEADLINE_MS = 600_000.0
DIGEST_BYTES = 16
MAX_FINDINGS = 50

_TASK_FIELDS = frozenset({"payload", "size", "run_ms"})
_JOB_FIELDS = frozenset({"service", "team", "deadline_ms", "tasks"})
_TICKET_FIELDS = frozenset({"service", "team", "count"})
_OBJECT = msgspec.json.Decoder(dict[str, msgspec.Raw])


class Submission(NamedTuple):
    """A job as submitted by a caller.

    :param service: name of the service that runs the tasks
    :param team: team whose quota the job uses
    :param deadline_ms: longest time the caller waits, or 0 for the service's default
    :param tasks: the tasks, in the order in which their results are returned
    :param digest: hash of all fields except the deadline
    """

    service: str
    team: str
    deadline_ms: float
    tasks: tuple[Task, ...]
    digest: bytes


class TicketRequest(NamedTuple):
    """A request to issue tickets.

    :param count: number of tickets to issue
    """

    service: str
    team: str
    count: int


class FindingCollector:
    """Collects the validation errors of one document, at most ``MAX_FINDINGS``."""

    def __init__(self, place: str):
        """Start with an empty list.

        :param place: name of the document, used as the place of each finding
        """
        self._place = place
        self.findings: list[Finding] = []

    def add(self, path: str, text: str) -> None:
        """Add a finding, unless the limit is reached.

        :param path: path of the invalid field, such as ``tasks[0].size``
        :param text: what is wrong with it
        """
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(Finding(self._place, 0, path, text))


@contextmanager
def collect_findings(place: str) -> Iterator[FindingCollector]:
    """Return a context that collects findings and raises them together when it exits.

    :param place: name of the document
    :raises InvalidInput: if there is at least one finding
    """
    findings = FindingCollector(place)
    yield findings
    if findings.findings:
        raise InvalidInput(findings.findings)


def parse_submission(body: bytes) -> Submission:
    """Parse the body of a job submission.

    :param body: JSON object as UTF-8
    :raises InvalidInput: with all findings, if the body is invalid
    """
    with collect_findings("job") as findings:
        fields = _read_object(body, "", findings, _JOB_FIELDS)
        service = _read_name(fields, "service", findings)
        team = _read_name(fields, "team", findings)
        deadline_ms = _read_number(fields, "deadline_ms", "deadline_ms", findings)
        if deadline_ms > MAX_DEADLINE_MS:
            findings.add("deadline_ms", f"must be at most {MAX_DEADLINE_MS:.0f}")
        tasks = _read_tasks(fields, findings)
    return Submission(service, team, deadline_ms, tasks, hash_job(service, team, tasks))


def parse_ticket_request(body: bytes) -> TicketRequest:
    """Parse the body of a request for tickets.

    :param body: JSON object as UTF-8
    :raises InvalidInput: with all findings, if the body is invalid
    """
    with collect_findings("tickets") as findings:
        fields = _read_object(body, "", findings, _TICKET_FIELDS)
        service = _read_name(fields, "service", findings)
        team = _read_name(fields, "team", findings)
        count = _read_number(fields, "count", "count", findings, default=1)
        if count != int(count) or not 1 <= count <= MAX_TICKETS:
            findings.add("count", f"must be a whole number from 1 to {MAX_TICKETS}")
    return TicketRequest(service, team, int(count))


def check_limits(submission: Submission, service: ServiceDocument) -> None:
    """Check a job against the limits of its service.

    :param submission: the job
    :param service: document of the job's service
    :raises InvalidInput: with all findings, if a limit is exceeded
    """
    with collect_findings("job") as findings:
        if len(submission.tasks) > service.max_tasks:
            findings.add("tasks", f"the service takes at most {service.max_tasks} tasks a job")
        for index, task in enumerate(submission.tasks):
            if len(task.payload) > service.max_task_bytes:
                limit = f"longer than {service.max_task_bytes} bytes"
                findings.add(f"tasks[{index}].payload", limit)


def hash_job(service: str, team: str, tasks: tuple[Task, ...]) -> bytes:
    """Return a hash that reveals a different job submitted under the same ticket."""
    data = msgspec.msgpack.encode((service, team, tasks))
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def _read_object(
    body: bytes, path: str, findings: FindingCollector, known: frozenset[str]
) -> dict[str, msgspec.Raw]:
    try:
        str(body, "utf-8")
        fields = _OBJECT.decode(body)
    except DECODE_ERRORS as error:
        findings.add(path, f"is not a JSON object: {error}")
        raise InvalidInput(findings.findings) from error
    for name in fields:
        if name not in known:
            findings.add(f"{path}{name}", "is not a known field")
    return fields


def _read_name(fields: dict[str, msgspec.Raw], name: str, findings: FindingCollector) -> str:
    if name not in fields:
        findings.add(name, "is missing")
        return ""
    try:
        value = msgspec.json.decode(fields[name], type=str)
    except DECODE_ERRORS:
        findings.add(name, "must be text")
        return ""
    if not 1 <= len(value) <= MAX_NAME_CHARS:
        findings.add(name, f"must have 1 to {MAX_NAME_CHARS} characters")
    return value


def _read_number(
    fields: dict[str, msgspec.Raw],
    name: str,
    path: str,
    findings: FindingCollector,
    default: float = 0.0,
) -> float:
    if name not in fields:
        return default
    try:
        value = msgspec.json.decode(fields[name], type=float)
    except DECODE_ERRORS:
        findings.add(path, "must be a number")
        return default
    if value < 0:
        findings.add(path, "must not be negative")
        return default
    return value


def _read_tasks(fields: dict[str, msgspec.Raw], findings: FindingCollector) -> tuple[Task, ...]:
    if "tasks" not in fields:
        findings.add("tasks", "is missing")
        return ()
    try:
        items = msgspec.json.decode(fields["tasks"], type=list[msgspec.Raw])
    except DECODE_ERRORS:
        findings.add("tasks", "must be a list")
        return ()
    if not 1 <= len(items) <= MAX_TASKS:
        findings.add("tasks", f"must have 1 to {MAX_TASKS} tasks, not {len(items)}")
        return ()
    return tuple(_read_task(item, index, findings) for index, item in enumerate(items))


def _read_task(item: msgspec.Raw, index: int, findings: FindingCollector) -> Task:
    path = f"tasks[{index}]."
    try:
        fields = _OBJECT.decode(item)
    except DECODE_ERRORS:
        findings.add(path[:-1], "must be an object")
        return Task(b"")
    for name in fields:
        if name not in _TASK_FIELDS:
            findings.add(path + name, "is not a known field")
    if "payload" not in fields:
        findings.add(path + "payload", "is missing")
        return Task(b"")
    size = _read_number(fields, "size", path + "size", findings)
    run_ms = _read_number(fields, "run_ms", path + "run_ms", findings)
    return Task(bytes(fields["payload"]), size, run_ms)
