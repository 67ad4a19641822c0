"""Requests of the HTTP layer, and the routes to their handlers."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import unquote

from geraniumspool.errors import NotFound
from geraniumspool.reply import Reply

_PARAMETER = None


class Request(NamedTuple):
    """One request with its body, which was read whole.

    :param path: path as it was sent, without the query
    :param parameters: values of the route's ``{…}`` segments, in order
    :param query: query fields; the last one wins where a name is repeated
    :param environ: the WSGI environment
    """

    method: str
    path: str
    parameters: tuple[str, ...]
    query: Mapping[str, str]
    environ: Mapping[str, Any]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value, or ``default`` where it was not sent."""
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = "HTTP_" + key
        return self.environ.get(key, default)


class Route(NamedTuple):
    """One method of one path.

    :param pattern: path such as ``/v1/jobs/{ticket}``; a literal segment goes
        before a ``{…}`` one in the same place
    """

    method: str
    pattern: str
    handler: Callable[[Request], Reply]


class Node:
    """One segment in the tree of routes.

    :ivar handlers: what serves the path that ends here, by method
    """

    def __init__(self):
        """Start without children."""
        self.children: dict[str | None, Node] = {}
        self.handlers: dict[str, Callable[[Request], Reply]] = {}


class Router:
    """Finds the handlers of a path."""

    def __init__(self, routes: Iterable[Route]):
        """Take the routes."""
        self._root = Node()
        for route in routes:
            self._add(route)

    def _add(self, route: Route) -> None:
        node = self._root
        for segment in route.pattern.split("/")[1:]:
            key = _PARAMETER if segment.startswith("{") else segment
            node = node.children.setdefault(key, Node())
        node.handlers[route.method] = route.handler

    def find(self, path: str) -> tuple[Node, tuple[str, ...]]:
        """Return the end of a path, and the values of its ``{…}`` segments.

        :raises NotFound: if no route has that path
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
