"""HTTP requests and the routing of their paths to handlers."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import unquote

from geraniumspool.errors import NotFound
from geraniumspool.reply import Reply

# Key of the child that matches any segment.
_PARAMETER = None


class Request(NamedTuple):
    """HTTP request with its complete body.

    :param path: path as sent (not percent-decoded), without the query
    :param parameters: values of the route's ``{…}`` segments, percent-decoded, in order
    :param query: query fields; if a name is repeated, its last value
    :param environ: the WSGI environment
    """

    method: str
    path: str
    parameters: tuple[str, ...]
    query: Mapping[str, str]
    environ: Mapping[str, Any]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header, or ``default`` if it was not sent.

        :param name: header name in any case, such as ``Idempotency-Key``
        """
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = "HTTP_" + key
        return self.environ.get(key, default)


class Route(NamedTuple):
    """Handler of one method of one path.

    :param pattern: path such as ``/v1/jobs/{ticket}``; at the same position, a literal
        segment takes precedence over a ``{…}`` segment
    """

    method: str
    pattern: str
    handler: Callable[[Request], Reply]


class RouteNode:
    """Node of the routing tree, reached by one path segment.

    :ivar children: next nodes by literal segment; None is the key of a ``{…}`` segment
    :ivar handlers: handlers by method of the path that ends here
    """

    def __init__(self):
        """Create a node without children and handlers."""
        self.children: dict[str | None, RouteNode] = {}
        self.handlers: dict[str, Callable[[Request], Reply]] = {}


class Router:
    """Looks up the handlers of a path in a tree of its segments."""

    def __init__(self, routes: Iterable[Route]):
        """Build the routing tree."""
        self._root = RouteNode()
        for route in routes:
            self._add(route)

    def _add(self, route: Route) -> None:
        node = self._root
        for segment in route.pattern.split("/")[1:]:
            key = _PARAMETER if segment.startswith("{") else segment
            node = node.children.setdefault(key, RouteNode())
        node.handlers[route.method] = route.handler

    def find(self, path: str) -> tuple[RouteNode, tuple[str, ...]]:
        """Return the node that a path ends at and the values of its ``{…}`` segments.

        :param path: path as sent (not percent-decoded), without the query
        :raises NotFound: if no route matches the path
        """
        node = self._root
        parameters = []
        for segment in path.split("/")[1:]:
            child = node.children.get(segment)
            if child is None:
                child = node.children.get(_PARAMETER) if segment else None
                if child is None:
                    raise NotFound(f"there is no {path}")
                parameters.append(unquote(segment) if "%" in segment else segment)
            node = child
        if not node.handlers:
            raise NotFound(f"there is no {path}")
        return node, tuple(parameters)
