"""Logs as JSON lines.

Fields are passed as ``extra={"fields": (("key", value), ...)}`` and become
keys of the line's object.
"""

import json
import logging
import math
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, TextIO

MAX_TEXT_CHARS = 8000
RESERVED_KEYS = frozenset({"time", "level", "logger", "message", "exception"})
FIELD_PREFIX = "field_"


class JsonFormatter(logging.Formatter):
    """Formats a log record as one JSON object on one line.

    It never raises: what cannot be shown as JSON is shown as text.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record.

        :param record: the record; its ``fields`` may be missing
        """
        line = {
            "time": _format_time(record.created),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": _cut(_format_message(record)),
        }
        for key, value in _read_fields(record):
            line[FIELD_PREFIX + key if key in RESERVED_KEYS else key] = value
        if record.exc_info:
            line["exception"] = _format_exception(self, record)
        return json.dumps(line)


def set_up(level: str, stream: TextIO) -> logging.Handler:
    """Send all logs of this process to ``stream`` as JSON lines.

    Handlers that were set up before are replaced.

    :param level: lowest level that is written, such as ``info``
    :param stream: where the lines go
    :returns: the handler in use
    :raises ValueError: if there is no such level
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.setLevel(level.upper())
    root.handlers[:] = [handler]
    return handler


def _format_time(created: float) -> str:
    moment = datetime.fromtimestamp(created, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _format_message(record: logging.LogRecord) -> str:
    try:
        return record.getMessage()
    except Exception:
        return f"{_to_text(record.msg)} {_to_text(record.args)}"


def _format_exception(formatter: logging.Formatter, record: logging.LogRecord) -> str:
    try:
        return _cut(formatter.formatException(record.exc_info))
    except Exception:
        return _to_text(record.exc_info)


def _read_fields(record: logging.LogRecord) -> Iterator[tuple[str, Any]]:
    fields = getattr(record, "fields", ())
    try:
        pairs = [(_to_text(key), _to_json(value)) for key, value in fields]
    except Exception:
        pairs = [("fields", _to_text(fields))]
    yield from pairs


def _to_json(value: Any) -> Any:
    kind = type(value)
    if value is None or kind is bool or kind is int:
        return value
    if kind is float and math.isfinite(value):
        return value
    return _to_text(value)


def _to_text(value: Any) -> str:
    try:
        return _cut(value if type(value) is str else str(value))
    except Exception:
        return f"<{type(value).__name__}>"


def _cut(text: str) -> str:
    return text if len(text) <= MAX_TEXT_CHARS else text[:MAX_TEXT_CHARS] + "..."
