"""Serves a process's metrics."""

import logging

from geraniumspool.contracts import Clock
from geraniumspool.counters import MemoryCounters
from geraniumspool.reply import Reply
from geraniumspool.routes import Request, Route
from geraniumspool.web import Application
from geraniumspool.webserver import WebServer

_LOG = logging.getLogger(__name__)


class MetricsPage(Application):
    """WSGI application with the one page ``/metrics``.

    What renders metrics is imported when somebody first asks for them, which saves the memory
    of a process that nobody asks.
    """

    def __init__(self, counters: MemoryCounters, role: str, domain: str):
        """Take the counts to show.

        :param role: role of the process
        :param domain: its failure domain
        """
        super().__init__((Route("GET", "/metrics", self._render),), 0, counters, _LOG)
        self._counted = counters
        self._process = (role, domain)
        self._metrics = None

    def _render(self, _request: Request) -> Reply:
        from geraniumspool.metrics import CONTENT_TYPE, Metrics

        if self._metrics is None:
            self._metrics = Metrics(*self._process, self._counted)
        return Reply(200, self._metrics.render(), CONTENT_TYPE)


def serve_metrics(
    counters: MemoryCounters, role: str, domain: str, address: str, clock: Clock
) -> list[WebServer]:
    """Return the listener of a process's metrics, none where it has no address."""
    if not address:
        return []
    return [WebServer(MetricsPage(counters, role, domain), address, clock)]
