"""Schemas and parsing of the operators' configuration documents, written in YAML or JSON."""

import re
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeAlias

from geraniumspool.errors import Finding, InvalidInput
from geraniumspool.yamldoc import make_validator, normalize, read_yaml

MAX_DURATION_MS = 86_400_000
MAX_JOB_TASKS = 340
MAX_DOCUMENT_BYTES = 16 * 1024
DOMAIN_KIND = "domain"
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
DURATION_SCHEMA: Mapping[str, Any] = {"type": "integer", "minimum": 1, "maximum": MAX_DURATION_MS}
BYTES_SCHEMA: Mapping[str, Any] = {"type": "integer", "minimum": 1, "maximum": 1 << 30}
COUNT_SCHEMA: Mapping[str, Any] = {"type": "integer", "minimum": 1, "maximum": 1_000_000}


class ServiceDocument(NamedTuple):
    """Dispatch parameters of one service.

    :param run_limit_ms: time after which the outcome of a running task counts as unknown
    :param deadline_ms: default deadline of jobs
    :param max_tasks: maximum number of tasks per job
    :param max_task_bytes: maximum payload size of a task
    :param ejection_failure_share: share of failed tasks, 0 to 1, at which a minion is ejected
    :param ejection_domain_share: maximum share of a failure domain, 0 to 1, ejected at a time
    :param narrow_tasks: maximum number of tasks of a job that is classified as narrow
    """

    run_limit_ms: float = 30_000
    deadline_ms: float = 30_000
    max_tasks: int = MAX_JOB_TASKS
    max_task_bytes: int = 1 << 20
    ejection_failure_share: float = 0.5
    ejection_domain_share: float = 0.34
    narrow_tasks: int = 4


class TeamDocument(NamedTuple):
    """Quota of one team.

    :param weight: weight of the team when slots are shared among teams
    :param rate_tasks_per_s: maximum task rate per second, or None for no limit
    :param running_tasks: maximum number of tasks running at a time, or None for no limit
    """

    weight: float = 1.0
    rate_tasks_per_s: float | None = None
    running_tasks: int | None = None


class DomainDocument(NamedTuple):
    """Operators' settings for one failure domain.

    :param evacuated: whether no task may start there
    """

    evacuated: bool = False


OperatorDocument: TypeAlias = ServiceDocument | TeamDocument | DomainDocument

DEFAULT_SERVICE = ServiceDocument()
DEFAULT_TEAM = TeamDocument()

_SHARE = {"type": "number", "minimum": 0, "maximum": 1}
_SERVICE_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "run_limit_ms": DURATION_SCHEMA,
        "deadline_ms": DURATION_SCHEMA,
        "max_tasks": {"type": "integer", "minimum": 1, "maximum": MAX_JOB_TASKS},
        "max_task_bytes": BYTES_SCHEMA,
        "ejection_failure_share": _SHARE,
        "ejection_domain_share": _SHARE,
        "narrow_tasks": {"type": "integer", "minimum": 0, "maximum": MAX_JOB_TASKS},
    },
}
_TEAM_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1_000_000},
        "rate_tasks_per_s": {"type": ["number", "null"], "exclusiveMinimum": 0, "maximum": 1e9},
        "running_tasks": {"type": ["integer", "null"], "minimum": 1, "maximum": 1_000_000},
    },
}

_DOMAIN_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "properties": {"evacuated": {"type": "boolean"}},
}

_KINDS = {
    "service": (ServiceDocument, make_validator(_SERVICE_SCHEMA)),
    "team": (TeamDocument, make_validator(_TEAM_SCHEMA)),
    DOMAIN_KIND: (DomainDocument, make_validator(_DOMAIN_SCHEMA)),
}
_KEY_RULE = "must be " + " or ".join(f"{kind}/NAME" for kind in _KINDS)


def check_key(key: str) -> list[Finding]:
    """Validate a document's key.

    :param key: a kind and a name, such as ``service/fitting``
    :returns: the findings, empty if the key is valid
    """
    kind, _, name = key.partition("/")
    if kind not in _KINDS or not re.match(NAME_PATTERN, name):
        return [Finding(key, 0, "", _KEY_RULE)]
    return []


def parse_document(key: str, body: bytes) -> OperatorDocument:
    """Parse and validate a configuration document.

    :param key: a kind and a name, such as ``service/fitting``
    :param body: JSON or YAML text as the operator wrote it
    :raises InvalidInput: with all findings, if the key or the document is invalid
    """
    findings = check_key(key)
    if findings:
        raise InvalidInput(findings)
    if len(body) > MAX_DOCUMENT_BYTES:
        text = f"must have at most {MAX_DOCUMENT_BYTES} bytes"
        raise InvalidInput([Finding(key, 1, "", text)])
    kind, validator = _KINDS[key.partition("/")[0]]
    reading = read_yaml(key, body, validator)
    if reading.findings:
        raise InvalidInput(reading.findings)
    return kind(**{name: normalize(value) for name, value in reading.value.items()})
