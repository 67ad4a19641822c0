"""Settings of the dispatcher's and the executor's programs, read from YAML."""

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from geraniumspool.errors import Finding, InvalidInput
from geraniumspool.registrations import MOST_CAPACITY

Settings = TypeVar("Settings")


class DispatcherSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a dispatcher.

    :param name: name of the process in logs
    :param domain: failure domain it runs in
    :param inbox: address for messages of executors and other dispatchers
    :param processor_share: share of each of its processors that it may use
    :param processors: how many there are; faster dispatchers place more tasks
    :param store: ``host:port`` of the platform's store
    :param callers_listen: address of the callers' listener
    :param ready_listen: address that tells whether new callers should come
    :param metrics_listen: address that serves metrics, empty for none
    :param grace_s: time from SIGTERM until the process is killed
    :param log_level: lowest level that is logged
    """

    name: str
    domain: str
    inbox: str
    store: str
    callers_listen: str
    ready_listen: str
    processor_share: Annotated[float, msgspec.Meta(gt=0, le=MOST_CAPACITY)] = 1.0
    processors: Annotated[float, msgspec.Meta(gt=0, le=MOST_CAPACITY)] = 1.0
    metrics_listen: str = ""
    grace_s: float = 6.0
    log_level: str = "info"

    @property
    def capacity(self) -> float:
        """Return the speed that it has, of cores."""
        return self.processor_share * self.processors


class ExecutorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an executor.

    :param minion_listen: address that its minion reports to
    :param evacuation_ms: time within which no task starts any more in an evacuated domain,
        None for the usual one
    """

    name: str
    domain: str
    inbox: str
    store: str
    minion_listen: str
    evacuation_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None
    metrics_listen: str = ""
    grace_s: float = 6.0
    log_level: str = "info"


def load_settings(path: str, kind: type[Settings]) -> Settings:
    """Return the settings in a file.

    :param kind: which program's settings to read
    :raises InvalidInput: with every fault found
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
    """Return what a settings file says.

    All JSON is YAML: what is written so is read without loading the YAML library, which
    would keep callers waiting for the program's start.
    """
    try:
        return msgspec.json.decode(data)
    except msgspec.DecodeError:
        return _parse_yaml(path, data)


def _parse_yaml(path: str, data: bytes) -> object:
    import yaml

    try:
        return yaml.load(data, getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        raise InvalidInput([Finding(path, line, "", "is not YAML")]) from error


def _find_faults(path: str, value: object, kind: type) -> list[Finding]:
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
            findings.append(Finding(path, 0, field.name, str(error)))
    known = {field.name for field in msgspec.structs.fields(kind)}
    unknown = sorted(set(map(str, value)) - known)
    return findings + [Finding(path, 0, name, "is not a setting") for name in unknown]
