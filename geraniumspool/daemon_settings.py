"""Settings of the dispatcher and executor programs, read from a YAML or JSON file."""

from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec

from geraniumspool.errors import Finding, InvalidInput
from geraniumspool.registrations import MAX_CAPACITY

Settings = TypeVar("Settings")

# A larger factor is a mistake: no task could run away from its data within its objective.
MAX_REMOTE_DATA_FACTOR = 100.0


class DispatcherSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a dispatcher.

    :param name: name of the process in logs
    :param domain: failure domain that the process runs in
    :param inbox: address for messages from executors and other dispatchers
    :param store: ``host:port`` of the platform's store
    :param callers_listen: ``host:port`` at which callers submit jobs
    :param ready_listen: ``host:port`` of the readiness check
    :param processor_share: share of each processor that the process may use
    :param processors: number of processors; dispatchers with more capacity place more tasks
    :param metrics_listen: ``host:port`` that serves metrics, empty for none
    :param grace_s: seconds from SIGTERM until the process is killed
    :param advertised_inbox: address of the inbox for other processes, where it differs from the one
        that the process listens on, as behind address translation; empty if it does not
    :param log_level: lowest level that is logged
    :param run_times_by_queue: whether run times are learnt apart from the speed of workers,
        with their tail and from runs in progress
    :param keep_fast_workers: whether tasks that are on time on slow workers avoid fast ones
    :param remote_data_factor: how many times as long a task takes away from the rack of its data,
        None for ``DEFAULT_REMOTE_DATA_FACTOR`` of :mod:`geraniumspool.data_locality`
    :param least_share: part of the capacity that is reserved for the queues of a service by
        their weights while capacity is scarce, 0 for none
    :param value_order: whether, while capacity is scarce, jobs are refused by the value that they
        bring and displace
    :param returns_jobs: whether waiting jobs are returned to the dispatchers of their callers while
        another dispatcher has free capacity
    :param uses_busy_share: whether the used part of the processor share is measured and reported,
        and busy dispatchers are chosen for fewer jobs
    """

    name: str
    domain: str
    inbox: str
    store: str
    callers_listen: str
    ready_listen: str
    processor_share: Annotated[float, msgspec.Meta(gt=0, le=MAX_CAPACITY)] = 1.0
    processors: Annotated[float, msgspec.Meta(gt=0, le=MAX_CAPACITY)] = 1.0
    metrics_listen: str = ""
    grace_s: float = 6.0
    advertised_inbox: str = ""
    log_level: str = "info"
    run_times_by_queue: bool = False
    keep_fast_workers: bool = False
    remote_data_factor: Annotated[float, msgspec.Meta(ge=1, le=MAX_REMOTE_DATA_FACTOR)] | None = (
        None
    )
    least_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    value_order: bool = False
    returns_jobs: bool = False
    uses_busy_share: bool = False

    @property
    def capacity(self) -> float:
        """Return the processor capacity in cores."""
        return self.processor_share * self.processors


class ExecutorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an executor; see :class:`DispatcherSettings` for those they share.

    :param minion_listen: ``host:port`` that the minion sends its reports to
    :param evacuation_ms: time in milliseconds within which an evacuation must be in force,
        None for ``DEFAULT_EVACUATION_MS`` of :mod:`geraniumspool.evacuation_guard`
    :param orders: how the minion gets its instructions: ``invoke``, also meant by None, for calls
        to it. The platform's other way, answers to the minion's reports, is not implemented. A
        minion that waits for those would start nothing, so that any other value is refused.
    """

    name: str
    domain: str
    inbox: str
    store: str
    minion_listen: str
    evacuation_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None
    orders: Literal["invoke"] | None = "invoke"
    metrics_listen: str = ""
    grace_s: float = 6.0
    advertised_inbox: str = ""
    log_level: str = "info"


def load_settings(path: str, kind: type[Settings]) -> Settings:
    """Return the settings in a file.

    :param path: path of a YAML or JSON file
    :param kind: class of the settings to read
    :raises InvalidInput: if the file cannot be read or is invalid, with every fault found
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        text = f"could not be read: {error.strerror}"
        raise InvalidInput([Finding(path, 0, "", text)]) from error
    value = _parse(path, data)
    findings = _find_faults(path, value, kind)
    if findings:
        raise InvalidInput(findings)
    return msgspec.convert(value, kind)


def _parse(path: str, data: bytes) -> object:
    """Return the content of a settings file as Python objects.

    JSON is a subset of YAML. A file in JSON is decoded without importing the YAML library,
    which would delay the program's start, for which callers wait.
    """
    try:
        return msgspec.json.decode(data)
    except msgspec.DecodeError:
        return _parse_yaml(path, data)


def _parse_yaml(path: str, data: bytes) -> object:
    # Imported only here, as it would delay the start of a program whose settings are JSON.
    import yaml

    try:
        return yaml.load(data, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        raise InvalidInput([Finding(path, line, "", "is not YAML")]) from error


def _find_faults(path: str, value: object, kind: type) -> list[Finding]:
    """Return every fault of the settings: values of a wrong type, missing and unknown names."""
    if not isinstance(value, dict):
        return [Finding(path, 0, "", "must be a mapping")]
    findings = []
    for field in msgspec.structs.fields(kind):
        if field.name not in value:
            if field.required:
                findings.append(Finding(path, 0, field.name, "is missing"))
            continue
        try:
            msgspec.convert(value[field.name], field.type)
        except msgspec.ValidationError as error:
            text = f"is {value[field.name]!r}: {error}"
            findings.append(Finding(path, 0, field.name, text))
    known = {field.name for field in msgspec.structs.fields(kind)}
    unknown = sorted(set(map(str, value)) - known)
    return findings + [Finding(path, 0, name, "is not a known setting") for name in unknown]
