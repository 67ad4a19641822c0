"""Settings of entries and agents, read from YAML files."""

from collections.abc import Iterable, Mapping
from pathlib import Path as FilePath
from typing import Any, NamedTuple

from jsonschema import Draft202012Validator

from geraniumspool.contracts import Announcement
from geraniumspool.documents import BYTES_SCHEMA, COUNT_SCHEMA, DURATION_SCHEMA, NAME_PATTERN
from geraniumspool.errors import Finding, InvalidInput
from geraniumspool.yamldoc import ParseResult, format_path, make_validator, normalize, read_yaml

ENTRY = "entry"
AGENT = "agent"
MAX_TICKET_KEYS = 8
MIN_SECRET_LENGTH = 16


class EntrySettings(NamedTuple):
    """Settings of an entry; port 0 in an address selects any free port.

    :param domain: failure domain in which the entry runs
    :param operators_token: bearer token that operators must send
    :param ticket_keys: secrets for tickets; the first signs, all verify
    :param store_urls: base URLs of the platform's store
    :param inbox: address that receives messages from other processes
    :param callers_listen: address of the callers' HTTP listener
    :param operators_listen: address of the operators' HTTP listener
    :param store_timeout_ms: timeout of a request to the store
    :param registration_ttl_ms: time to live of the entry's registration in the store
    :param heartbeat_period_ms: shortest heartbeat period of agents
    :param heartbeat_timeout_ms: silence after which an agent counts as dead
    :param max_body_bytes: maximum size of a request body
    :param max_running_jobs: maximum number of calls to homes in flight
    :param max_header_bytes: maximum size of a request's head
    :param drain_limit_ms: longest duration of a graceful shutdown
    :param log_level: lowest level that is logged
    :param default_deadline_ms: deadline of a job when neither the request nor a document of
        its service names one
    """

    domain: str
    operators_token: str
    ticket_keys: tuple[str, ...]
    store_urls: tuple[str, ...]
    inbox: str = "tcp://127.0.0.1:0"
    callers_listen: str = "127.0.0.1:0"
    operators_listen: str = "127.0.0.1:0"
    store_timeout_ms: float = 1_000
    registration_ttl_ms: float = 10_000
    heartbeat_period_ms: float = 1_000
    heartbeat_timeout_ms: float = 4_000
    max_body_bytes: int = 4 << 20
    max_running_jobs: int = 10_000
    max_header_bytes: int = 16 << 10
    drain_limit_ms: float = 30_000
    log_level: str = "info"
    default_deadline_ms: float = 30_000


class AgentSettings(NamedTuple):
    """Settings of an agent; port 0 in an address selects any free port.

    :param domain: failure domain in which the agent runs
    :param store_urls: base URLs of the platform's store
    :param inbox: address that receives messages from other processes
    :param minion_listen: address of the listener to which the minion sends its announcements
    :param entries: inbox addresses of entries, tried when the store lists none
    :param store_timeout_ms: timeout of a request to the store
    :param heartbeat_period_ms: period of the heartbeats to entries
    :param announcement_timeout_ms: silence after which the minion counts as gone
    :param peer_timeout_ms: silence after which another agent counts as dead
    :param max_record_bytes: maximum memory for records of finished jobs
    :param max_record_age_ms: longest time for which the record of a finished job is kept
    :param drain_limit_ms: longest duration of a graceful shutdown
    :param queue_per_slot: maximum number of queued tasks per slot
    :param placement: placement policy of the home: late, random, least or two
    :param ahead_per_slot: tasks per slot that the home offers before the slot is free, with
        the policy late
    :param result_hold_ms: longest delay of a result so that it is sent with others
    :param log_level: lowest level that is logged
    :param minion: the minion, or None if it announces itself
    """

    domain: str
    store_urls: tuple[str, ...]
    inbox: str = "tcp://127.0.0.1:0"
    minion_listen: str = "127.0.0.1:0"
    entries: tuple[str, ...] = ()
    store_timeout_ms: float = 1_000
    heartbeat_period_ms: float = 1_000
    announcement_timeout_ms: float = 10_000
    peer_timeout_ms: float = 4_000
    max_record_bytes: int = 32 << 20
    max_record_age_ms: float = 600_000
    drain_limit_ms: float = 30_000
    queue_per_slot: int = 16
    placement: str = "late"
    ahead_per_slot: float = 1.0
    result_hold_ms: float = 1_000
    log_level: str = "info"
    minion: Announcement | None = None


_NAME = {"type": "string", "pattern": NAME_PATTERN}
_SECRET = {"type": "string", "minLength": MIN_SECRET_LENGTH, "maxLength": 256}
_LISTEN = {"type": "string", "format": "listen"}
_URL = {"type": "string", "format": "url", "maxLength": 1_000}
_COMMON = {
    "domain": _NAME,
    "inbox": {"type": "string", "format": "inbox"},
    "store_urls": {
        "type": "array",
        "items": _URL,
        "minItems": 1,
        "maxItems": 16,
        "uniqueItems": True,
    },
    "store_timeout_ms": DURATION_SCHEMA,
    "heartbeat_period_ms": DURATION_SCHEMA,
    "drain_limit_ms": DURATION_SCHEMA,
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
}
_ENTRY_PROPERTIES = _COMMON | {
    "callers_listen": _LISTEN,
    "operators_listen": _LISTEN,
    "operators_token": _SECRET,
    "ticket_keys": {
        "type": "array",
        "items": _SECRET,
        "minItems": 1,
        "maxItems": MAX_TICKET_KEYS,
        "uniqueItems": True,
    },
    "registration_ttl_ms": DURATION_SCHEMA,
    "heartbeat_timeout_ms": DURATION_SCHEMA,
    "max_body_bytes": BYTES_SCHEMA,
    "max_running_jobs": COUNT_SCHEMA,
    "max_header_bytes": {"type": "integer", "minimum": 1_024, "maximum": 1 << 20},
    "default_deadline_ms": DURATION_SCHEMA,
}
_MINION_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "service": _NAME,
        "url": _URL,
        "slots": {"type": "integer", "minimum": 1, "maximum": 10_000},
        "connections": {"type": "integer", "minimum": 1, "maximum": 100_000},
        "max_size": {"type": "number", "minimum": 0},
    },
    "required": ["service", "url", "slots", "connections"],
}
_AGENT_PROPERTIES = _COMMON | {
    "minion_listen": _LISTEN,
    "entries": {
        "type": "array",
        "items": {"type": "string", "format": "peer"},
        "maxItems": 64,
        "uniqueItems": True,
    },
    "announcement_timeout_ms": DURATION_SCHEMA,
    "peer_timeout_ms": DURATION_SCHEMA,
    "max_record_bytes": {"type": "integer", "minimum": 1 << 10, "maximum": 1 << 40},
    "max_record_age_ms": DURATION_SCHEMA,
    "queue_per_slot": {"type": "integer", "minimum": 0, "maximum": 1_000},
    "placement": {"enum": ["late", "random", "least", "two"]},
    "ahead_per_slot": {"type": "number", "minimum": 0, "maximum": 1_000},
    "result_hold_ms": {"type": "number", "minimum": 0, "maximum": 10_000},
    "minion": _MINION_SCHEMA,
}


class _OrderRule(NamedTuple):
    """Requirement that one setting is not below another.

    :param lower: path of the setting that bounds the other from below
    :param higher: path of the other setting
    :param strict: whether the two must not be equal either
    """

    lower: tuple[str, ...]
    higher: tuple[str, ...]
    strict: bool = True


class _RoleSchema(NamedTuple):
    settings: type
    validator: Draft202012Validator
    orders: tuple[_OrderRule, ...]


def _make_role(
    name: str, settings: type, properties: dict, orders: Iterable[_OrderRule]
) -> _RoleSchema:
    optional = settings._field_defaults
    schema = {
        "type": "object",
        "additionalProperties": False,
        "properties": {"role": {"const": name}, **properties},
        "required": ["role", *(field for field in settings._fields if field not in optional)],
    }
    return _RoleSchema(settings, make_validator(schema), tuple(orders))


_ROLES = {
    ENTRY: _make_role(
        ENTRY,
        EntrySettings,
        _ENTRY_PROPERTIES,
        (
            _OrderRule(("heartbeat_period_ms",), ("heartbeat_timeout_ms",)),
            _OrderRule(("store_timeout_ms",), ("registration_ttl_ms",)),
        ),
    ),
    AGENT: _make_role(
        AGENT,
        AgentSettings,
        _AGENT_PROPERTIES,
        (
            _OrderRule(("heartbeat_period_ms",), ("peer_timeout_ms",)),
            _OrderRule(("minion", "slots"), ("minion", "connections"), strict=False),
        ),
    ),
}


def load_entry_settings(path: str) -> EntrySettings:
    """Load the settings of an entry.

    :param path: path of a YAML file with ``role: entry``
    :raises InvalidInput: with all findings, if the file is unreadable or invalid
    """
    return _load(path, ENTRY)


def load_agent_settings(path: str) -> AgentSettings:
    """Load the settings of an agent.

    :param path: path of a YAML file with ``role: agent``
    :raises InvalidInput: with all findings, if the file is unreadable or invalid
    """
    return _load(path, AGENT)


def check_file(path: str) -> list[Finding]:
    """Validate a settings file of either role.

    :param path: path of a YAML file
    :returns: all findings, empty if the file is valid
    """
    try:
        data = _read(path)
    except InvalidInput as error:
        return error.findings
    validator = make_validator(
        {"type": "object", "properties": {"role": {"enum": [ENTRY, AGENT]}}, "required": ["role"]}
    )
    parsed = read_yaml(str(path), data, validator)
    if not isinstance(parsed.value, dict) or parsed.value.get("role") not in (ENTRY, AGENT):
        return parsed.findings
    return _validate(str(path), data, _ROLES[parsed.value["role"]]).findings


def _load(path: str, role_name: str) -> Any:
    role = _ROLES[role_name]
    parsed = _validate(str(path), _read(path), role)
    if parsed.findings:
        raise InvalidInput(parsed.findings)
    values = {name: normalize(value) for name, value in parsed.value.items() if name != "role"}
    if "minion" in values:
        values["minion"] = Announcement(**_normalize_all(values["minion"]))
    return role.settings(**values)


def _normalize_all(values: Mapping[str, Any]) -> dict[str, Any]:
    return {name: normalize(value) for name, value in values.items()}


def _read(path: str) -> bytes:
    try:
        return FilePath(path).read_bytes()
    except OSError as error:
        text = f"could not be read: {error.strerror}"
        raise InvalidInput([Finding(str(path), 0, "", text)]) from error


def _validate(place: str, data: bytes, role: _RoleSchema) -> ParseResult:
    parsed = read_yaml(place, data, role.validator)
    if not isinstance(parsed.value, dict):
        return parsed
    defaults = role.settings._field_defaults
    findings = list(parsed.findings)
    for order in role.orders:
        findings += _check_order_rule(place, parsed, order, defaults)
    findings.sort(key=lambda finding: (finding.line, finding.path))
    return parsed._replace(findings=findings)


def _check_order_rule(
    place: str, parsed: ParseResult, order: _OrderRule, defaults: Mapping[str, Any]
) -> list[Finding]:
    lower = _look_up(parsed.value, order.lower, defaults)
    higher = _look_up(parsed.value, order.higher, defaults)
    if lower is None or higher is None:
        return []
    if higher > lower or (higher == lower and not order.strict):
        return []
    reported_path = order.higher if order.higher in parsed.lines else order.lower
    relation = "more than" if order.strict else "at least"
    text = f"{format_path(order.higher)} must be {relation} {format_path(order.lower)}"
    return [Finding(place, parsed.lines[reported_path], format_path(reported_path), text)]


def _look_up(value: Any, path: Iterable[str], defaults: Mapping[str, Any]) -> float | None:
    for step in path:
        if not isinstance(value, dict):
            return None
        value = value.get(step, defaults.get(step))
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else None
