"""WSGI application of the HTTP layer: reads request bodies and calls the route handlers.

Handlers run in the green thread of their connection and return a
:class:`~geraniumspool.reply.Reply`.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import parse_qsl

import eventlet

from geraniumspool.connection import CONNECTION_KEY, NO_CONNECTION, ConnectionCallbacks
from geraniumspool.contracts import Counters
from geraniumspool.errors import DispatchError, MethodNotAllowed, PayloadTooLarge
from geraniumspool.reply import STATUS_LINES, Reply, reply_error, reply_problem
from geraniumspool.routes import Request, Route, RouteNode, Router

BODY_INCOMPLETE = "body_incomplete"
ENCODING_UNSUPPORTED = "transfer_encoding_unsupported"
QUERY_INVALID = "query_invalid"
BODY_MEMORY = "body_memory_exhausted"

# Bytes of a body that are read at once.
BODY_PART_BYTES = 16 << 10
# After this time a request is repeated that was refused since other bodies took all memory.
BODY_RETRY_MS = 1_000.0

MAX_QUERY_FIELDS = 64

_EMPTY_QUERY: Mapping[str, str] = MappingProxyType({})


class _RejectedRequest(Exception):
    """Ends a request with an error reply before any handler is called.

    :ivar reply: the reply to send
    :ivar reusable: whether the connection can serve further requests after the reply
    """

    def __init__(self, reply: Reply, reusable: bool = False):
        super().__init__(reply.status)
        self.reply = reply
        self.reusable = reusable


class WebApplication:
    """WSGI callable that dispatches requests to the handlers of its routes."""

    def __init__(
        self,
        routes: Iterable[Route],
        max_body_bytes: int,
        counters: Counters,
        logger: logging.Logger,
    ):
        """Register the routes.

        :param routes: the routes to serve
        :param max_body_bytes: limit of a request body; if ``Content-Length`` exceeds it, the
            request is rejected without reading the body
        :param counters: where ``http_requests`` is counted by status
        :param logger: where unexpected exceptions are logged
        """
        self._router = Router(routes)
        self._max_body_bytes = max_body_bytes
        self._counters = counters
        self._logger = logger

    def __call__(self, environ: dict[str, Any], start_response: Callable) -> list[bytes]:
        """Answer one request according to WSGI (PEP 3333)."""
        connection = environ.get(CONNECTION_KEY, NO_CONNECTION)
        reusable = True
        try:
            body = self._read_body(environ, connection)
            reply = self.handle(environ, body)
        except _RejectedRequest as rejected:
            reply, reusable = rejected.reply, rejected.reusable
        self._counters.add("http_requests", status=str(reply.status))
        connection.begin_reply(reusable)
        headers = [("Content-Type", reply.content_type), *reply.headers]
        start_response(STATUS_LINES.get(reply.status, f"{reply.status} Other"), headers)
        if environ["REQUEST_METHOD"] == "HEAD" or not reply.body:
            return []
        return [reply.body]

    def handle(self, environ: dict[str, Any], body: bytes) -> Reply:
        """Answer a request whose body was read completely; turn exceptions into error replies.

        :param environ: the WSGI environment
        :param body: the whole request body
        """
        try:
            return self.dispatch(environ, body)
        except DispatchError as error:
            if error.status == HTTPStatus.INTERNAL_SERVER_ERROR:
                self._logger.error("request failed: %s", error.detail, exc_info=True)
            return reply_error(error)
        except _RejectedRequest:
            raise
        except (Exception, eventlet.Timeout):
            self._logger.exception("request failed")
            return reply_problem(500, "internal", "the request failed unexpectedly")

    def dispatch(self, environ: dict[str, Any], body: bytes) -> Reply:
        """Find the handler of a request and call it.

        :raises NotFound: if no route matches the path
        """
        path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        node, parameters = self._router.find(path)
        handler = node.handlers.get(method)
        if handler is None:
            return _reply_method_not_allowed(method, node)
        query = _parse_query(environ.get("QUERY_STRING"))
        return handler(Request(method, path, parameters, query, environ, body))

    def _read_body(self, environ: dict[str, Any], connection: ConnectionCallbacks) -> bytes:
        encoding = environ.get("HTTP_TRANSFER_ENCODING")
        length = environ.get("CONTENT_LENGTH")
        if encoding is not None:
            if encoding.lower() != "chunked":
                raise _reject(501, ENCODING_UNSUPPORTED, "only chunked bodies are understood")
            size = None
        elif not length:
            return b""
        else:
            size = self._parse_content_length(length, environ)
            if size == 0:
                return b""
        connection.begin_body()
        limit = self._max_body_bytes + 1 if size is None else size
        body = _read_stream(environ["wsgi.input"], limit, connection)
        connection.finish_body(len(body))
        connection.begin_handling()
        if size is None and len(body) > self._max_body_bytes:
            raise self._body_too_large()
        if size is not None and len(body) < size:
            raise _reject(400, BODY_INCOMPLETE, f"the body ended after {len(body)} of {size} bytes")
        return body

    def _parse_content_length(self, length: str, environ: dict[str, Any]) -> int:
        repeated = sum(name.lower() == "content-length" for name, _ in environ["headers_raw"]) > 1
        if repeated or not (length.isascii() and length.isdigit()):
            raise _reject(400, BODY_INCOMPLETE, "Content-Length is not one plain number")
        # The number of digits is checked first: a very long number is too large in any case, and
        # int() raises ValueError for thousands of digits.
        if len(length) > len(str(self._max_body_bytes)) + 8 or int(length) > self._max_body_bytes:
            raise self._body_too_large()
        return int(length)

    def _body_too_large(self) -> _RejectedRequest:
        error = PayloadTooLarge(f"a body may have {self._max_body_bytes} bytes")
        return _RejectedRequest(reply_error(error))


def _reject(
    status: int, code: str, detail: str, retry_after_ms: float | None = None, reusable: bool = False
) -> _RejectedRequest:
    reply = reply_problem(status, code, detail, retry_after_ms=retry_after_ms)
    return _RejectedRequest(reply, reusable)


def _reply_method_not_allowed(method: str, node: RouteNode) -> Reply:
    allowed = ", ".join(sorted(node.handlers))
    reply = reply_error(MethodNotAllowed(f"{method} is not one of {allowed}"))
    return reply._replace(headers=(("Allow", allowed),))


def _parse_query(text: str | None) -> Mapping[str, str]:
    if not text:
        return _EMPTY_QUERY
    try:
        return dict(parse_qsl(text, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS))
    except ValueError as error:
        raise _reject(400, QUERY_INVALID, str(error), reusable=True) from error


def _read_stream(source: Any, limit: int, connection: ConnectionCallbacks) -> bytes:
    """Return a request's body, shorter than ``limit`` if it ends before.

    It is read in parts for which memory is reserved, so that announced bytes take none.
    """
    parts = []
    remaining = limit
    while remaining > 0:
        size = min(remaining, BODY_PART_BYTES)
        if not connection.reserve_body(size):
            raise _reject_for_memory()
        part = _read_part(source, size, connection)
        if connection.is_body_aborted:
            raise _reject_for_memory()
        if not part:
            break
        parts.append(part)
        remaining -= len(part)
        if remaining > 0:
            # A client that sends faster than this process reads must not keep it from others.
            eventlet.sleep(0)
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _read_part(source: Any, size: int, connection: ConnectionCallbacks) -> bytes:
    try:
        return source.read(size)
    except (OSError, ValueError) as error:
        if connection.is_body_aborted:
            return b""
        raise _reject(400, BODY_INCOMPLETE, f"the body could not be read: {error}") from error


def _reject_for_memory() -> _RejectedRequest:
    return _reject(503, BODY_MEMORY, "other bodies take all memory", BODY_RETRY_MS)
