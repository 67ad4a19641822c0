"""HTTP endpoint for the metrics of a process."""

import logging

from geraniumspool.contracts import Clock
from geraniumspool.counters import MemoryCounters
from geraniumspool.reply import Reply
from geraniumspool.routes import Request, Route
from geraniumspool.web import WebApplication
from geraniumspool.webserver import FEW_CONNECTIONS, WebServer

_LOG = logging.getLogger(__name__)


class MetricsPage(WebApplication):
    """WSGI application that serves ``/metrics``.

    The modules that render metrics are imported at the first request, which saves memory in a
    process whose metrics are never requested.
    """

    def __init__(self, counters: MemoryCounters, role: str, domain: str):
        """Create the application.

        :param counters: the counters to serve
        :param role: role of the process, such as ``dispatcher``
        :param domain: failure domain of the process
        """
        super().__init__((Route("GET", "/metrics", self._render),), 0, counters, _LOG)
        self._exported_counters = counters
        self._role_and_domain = (role, domain)
        self._metrics = None

    def _render(self, _request: Request) -> Reply:
        from geraniumspool.metrics import CONTENT_TYPE, Metrics

        if self._metrics is None:
            self._metrics = Metrics(*self._role_and_domain, self._exported_counters)
        return Reply(200, self._metrics.render(), CONTENT_TYPE)


def serve_metrics(
    counters: MemoryCounters, role: str, domain: str, address: str, clock: Clock
) -> list[WebServer]:
    """Return the server for a process's metrics, or an empty list without an address.

    :param counters: the counters to serve
    :param role: role of the process
    :param domain: failure domain of the process
    :param address: ``host:port`` to listen on, or empty to serve no metrics
    :param clock: source of time of the server
    """
    if not address:
        return []
    return [WebServer(MetricsPage(counters, role, domain), address, clock, FEW_CONNECTIONS)]
