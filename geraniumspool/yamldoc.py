"""YAML parsing with line numbers and validation against a JSON schema.

Input is YAML, or JSON, which is parsed as YAML. All errors are reported together,
each with its line and path. The invalid value is left out, as it may be a secret.
"""

import math
import re
from collections.abc import Iterable, Mapping
from ipaddress import ip_address
from typing import Any, NamedTuple, TypeAlias
from urllib.parse import urlsplit

import yaml
from jsonschema import Draft202012Validator, FormatChecker
from jsonschema.exceptions import ValidationError

from geraniumspool.errors import Finding

Path: TypeAlias = tuple[str | int, ...]

_TAG_PREFIX = "tag:yaml.org,2002:"
_JSON_TAGS = frozenset(
    _TAG_PREFIX + kind for kind in ("map", "seq", "str", "int", "float", "bool", "null")
)
_MAX_PORT = 65535
_CONSTRUCTION_ERRORS = (ValueError, KeyError, IndexError, TypeError)


class _Loader(yaml.SafeLoader):
    """Safe loader restricted to the types of JSON."""


_Loader.yaml_implicit_resolvers = {
    first: [(tag, pattern) for tag, pattern in resolvers if tag in _JSON_TAGS]
    for first, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
}
# YAML 1.1 parses JSON's 1e3 as a string.
_Loader.add_implicit_resolver(
    _TAG_PREFIX + "float",
    re.compile(r"^-?[0-9]+(?:\.[0-9]+)?[eE][-+]?[0-9]+$"),
    list("-0123456789"),
)


_FORMAT_CHECKER = FormatChecker(formats=())
_FORMAT_TEXTS = {
    "listen": "must be IP:PORT, such as 127.0.0.1:0",
    "inbox": "must be tcp://IP:PORT with an IP that other processes can dial",
    "peer": "must be tcp://IP:PORT with an IP and a port that can be dialled",
    "url": "must be http://HOST[:PORT] or https://HOST[:PORT]",
}


def _is_address(text: str, lowest_port: int, dialled: bool) -> bool:
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    if not re.fullmatch(r"[0-9]{1,5}", port) or not lowest_port <= int(port) <= _MAX_PORT:
        return False
    try:
        address = ip_address(host)
    except ValueError:
        return False
    return not (dialled and address.is_unspecified)


@_FORMAT_CHECKER.checks("listen")
def _is_listen(value: object) -> bool:
    return not isinstance(value, str) or _is_address(value, 0, dialled=False)


@_FORMAT_CHECKER.checks("inbox")
def _is_inbox(value: object) -> bool:
    return not isinstance(value, str) or _is_tcp(value, 0)


@_FORMAT_CHECKER.checks("peer")
def _is_peer(value: object) -> bool:
    return not isinstance(value, str) or _is_tcp(value, 1)


def _is_tcp(value: str, lowest_port: int) -> bool:
    scheme, separator, address = value.partition("://")
    return scheme == "tcp" and bool(separator) and _is_address(address, lowest_port, dialled=True)


@_FORMAT_CHECKER.checks("url", raises=ValueError)
def _is_url(value: object) -> bool:
    if not isinstance(value, str):
        return True
    if re.search(r"[\s\x00-\x1f]", value):
        return False
    parts = urlsplit(value)
    if parts.port == 0 or parts.query or parts.fragment or "@" in parts.netloc:
        return False
    return parts.scheme in ("http", "https") and bool(parts.hostname)


def make_validator(schema: Mapping[str, Any]) -> Draft202012Validator:
    """Return a validator for a JSON schema that also checks the address formats above.

    :param schema: schema whose objects all set ``additionalProperties`` to false
    """
    Draft202012Validator.check_schema(schema)
    return Draft202012Validator(schema, format_checker=_FORMAT_CHECKER)


class ParseResult(NamedTuple):
    """Result of parsing and validating a YAML text.

    :param value: the parsed value, or None if the text could not be parsed
    :param lines: line number of each path, counted from 1
    :param findings: all errors, ordered by line and path
    """

    value: Any
    lines: dict[Path, int]
    findings: list[Finding]


class _NodeVisitor:
    """Walks a YAML node tree; collects line numbers and constructs that JSON does not have."""

    def __init__(self, place: str):
        self.lines: dict[Path, int] = {}
        self.constructible = True
        self.findings: list[Finding] = []
        self._place = place
        self._seen: set[int] = set()

    def visit(self, node: yaml.Node, path: Path, line: int) -> None:
        self.lines[path] = line
        if id(node) in self._seen:
            self._add(line, path, "aliases are not supported")
            self.constructible = False
            return
        self._seen.add(id(node))
        if node.tag not in _JSON_TAGS:
            self._add(line, path, "has an unsupported type tag")
            self.constructible = False
        if isinstance(node, yaml.MappingNode):
            self._visit_mapping(node, path)
        elif isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self.visit(item, (*path, index), _get_line(item))

    def _visit_mapping(self, node: yaml.MappingNode, path: Path) -> None:
        first_lines: dict[str, int] = {}
        for key, value in node.value:
            line = _get_line(key)
            if key.tag != _TAG_PREFIX + "str":
                self._add(line, path, "keys must be strings")
                self.constructible = False
                continue
            inner = (*path, key.value)
            if key.value in first_lines:
                text = f"is given twice, first on line {first_lines[key.value]}"
                self._add(line, inner, text)
            first_lines.setdefault(key.value, line)
            self.visit(value, inner, line)

    def _add(self, line: int, path: Path, text: str) -> None:
        self.findings.append(Finding(self._place, line, format_path(path), text))


def _get_line(node: yaml.Node) -> int:
    return node.start_mark.line + 1


def format_path(path: Iterable[str | int]) -> str:
    """Format a path as text, such as ``minion.slots`` or ``ticket_keys[1]``."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}"
    return text.removeprefix(".")


def read_yaml(place: str, data: bytes, validator: Draft202012Validator) -> ParseResult:
    """Parse and validate one YAML or JSON text.

    :param place: file name or document key, used as the place of each finding
    :param data: the text as UTF-8, with or without a byte order mark
    :param validator: result of :func:`make_validator`
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return ParseResult(None, {}, [Finding(place, line, "", "is not UTF-8 text")])
    if text.lstrip().startswith("{"):
        # JSON allows tabs in places where YAML rejects them.
        text = text.replace("\t", " ")
    try:
        return _read_text(place, text, validator)
    except yaml.YAMLError as error:
        return ParseResult(None, {}, [_describe_yaml_error(place, text, error)])
    except RecursionError:
        return ParseResult(None, {}, [Finding(place, 1, "", "is nested too deeply")])


def _read_text(place: str, text: str, validator: Draft202012Validator) -> ParseResult:
    loader = _Loader(text)
    try:
        node = loader.get_single_node()
        if node is None:
            return ParseResult(None, {}, [Finding(place, 1, "", "is empty")])
        visitor = _NodeVisitor(place)
        visitor.visit(node, (), _get_line(node))
        if not visitor.constructible:
            return ParseResult(None, visitor.lines, _sort(visitor.findings))
        try:
            value = loader.construct_document(node)
        except _CONSTRUCTION_ERRORS:
            finding = Finding(place, 1, "", "has a value that does not fit its type tag")
            return ParseResult(None, visitor.lines, _sort([*visitor.findings, finding]))
    finally:
        loader.dispose()
    findings = visitor.findings
    findings += _find_infinite(place, value, (), visitor.lines)
    for error in validator.iter_errors(value):
        findings += _convert_schema_error(place, error, visitor.lines)
    return ParseResult(value, visitor.lines, _sort(findings))


def _sort(findings: list[Finding]) -> list[Finding]:
    return sorted(findings, key=lambda finding: (finding.line, finding.path))


def _describe_yaml_error(place: str, text: str, error: yaml.YAMLError) -> Finding:
    if isinstance(error, yaml.MarkedYAMLError) and error.problem_mark:
        return Finding(place, error.problem_mark.line + 1, "", f"is not YAML: {error.problem}")
    position = getattr(error, "position", 0)
    line = text.count("\n", 0, position) + 1
    return Finding(place, line, "", "is not YAML: has a character that is not allowed")


def _find_infinite(
    place: str, value: object, path: Path, lines: Mapping[Path, int]
) -> list[Finding]:
    if isinstance(value, float) and not math.isfinite(value):
        return [Finding(place, lines.get(path, 0), format_path(path), "must be a finite number")]
    if isinstance(value, dict):
        steps = value.items()
    elif isinstance(value, list):
        steps = enumerate(value)
    else:
        return []
    findings = []
    for step, inner in steps:
        findings += _find_infinite(place, inner, (*path, step), lines)
    return findings


def _convert_schema_error(
    place: str, error: ValidationError, lines: Mapping[Path, int]
) -> list[Finding]:
    path = tuple(error.absolute_path)
    line = lines.get(path, 0)
    if error.validator == "additionalProperties":
        unknown = [key for key in error.instance if key not in error.schema["properties"]]
        return [
            Finding(place, lines.get((*path, key), line), format_path((*path, key)), "is unknown")
            for key in unknown
        ]
    if error.validator == "required":
        # jsonschema gives the name of the missing key only in the message.
        missing = re.match(r"'(.*)' is a required property", error.message)
        inner = (*path, missing.group(1)) if missing else path
        return [Finding(place, line, format_path(inner), "is missing")]
    return [Finding(place, line, format_path(path), _describe_rule(error))]


def _describe_rule(error: ValidationError) -> str:
    limit = error.validator_value
    if error.validator == "type":
        kinds = [limit] if isinstance(limit, str) else limit
        return "must be of type " + " or ".join(kinds)
    if error.validator == "format":
        return _FORMAT_TEXTS[limit]
    texts = {
        "minLength": f"must have at least {limit} characters",
        "maxLength": f"must have at most {limit} characters",
        "minItems": f"must have at least {limit} items",
        "maxItems": f"must have at most {limit} items",
        "uniqueItems": "must not repeat an item",
        "minimum": f"must be at least {limit}",
        "exclusiveMinimum": f"must be more than {limit}",
        "maximum": f"must be at most {limit}",
        "const": f"must be {limit}",
        "enum": f"must be one of {limit}",
        "pattern": f"must match {limit}",
    }
    return texts.get(error.validator, f"breaks the rule {error.validator}")


def normalize(value: Any) -> Any:
    """Return a validated value with lists as tuples and integral floats as ints."""
    if isinstance(value, list):
        return tuple(normalize(item) for item in value)
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value
