"""Logging as JSON lines.

Fields are passed as ``extra={"fields": (("key", value), ...)}`` and become
keys of the line's JSON object.
"""

import json
import logging
import math
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, TextIO

# Longer texts are truncated.
MAX_TEXT_CHARS = 8000
RESERVED_KEYS = frozenset({"time", "level", "logger", "message", "exception"})
# Prepended to the keys of fields that clash with a reserved key.
FIELD_PREFIX = "field_"


class JsonFormatter(logging.Formatter):
    """Formats a log record as one JSON object on one line.

    It never raises an exception: values without a JSON form are converted to text.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as a line of JSON.

        :param record: the record, with or without ``fields``
        """
        line = {
            "time": _format_time(record.created),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": _truncate(_format_message(record)),
        }
        for key, value in _read_fields(record):
            line[FIELD_PREFIX + key if key in RESERVED_KEYS else key] = value
        if record.exc_info:
            line["exception"] = _format_exception(self, record)
        return json.dumps(line)


def configure_logging(level: str, stream: TextIO) -> logging.Handler:
    """Write all logs of this process to ``stream`` as JSON lines.

    Replaces the existing handlers of the root logger.

    :param level: lowest level to write, such as ``info``
    :param stream: stream to write to
    :returns: the new handler
    :raises ValueError: if the level is unknown
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
        return _truncate(formatter.formatException(record.exc_info))
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
        return _truncate(value if type(value) is str else str(value))
    except Exception:
        return f"<{type(value).__name__}>"


def _truncate(text: str) -> str:
    return text if len(text) <= MAX_TEXT_CHARS else text[:MAX_TEXT_CHARS] + "..."
