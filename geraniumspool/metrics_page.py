"""Serves a process's metrics."""

import logging

from geraniumspool.metrics import CONTENT_TYPE, Metrics
from geraniumspool.reply import Reply
from geraniumspool.routes import Request, Route
from geraniumspool.web import Application

_LOG = logging.getLogger(__name__)


class MetricsPage(Application):
    """WSGI application with the one page ``/metrics``."""

    def __init__(self, metrics: Metrics):
        """Take the metrics to render."""
        super().__init__((Route("GET", "/metrics", self._render),), 0, metrics, _LOG)
        self._metrics = metrics

    def _render(self, _request: Request) -> Reply:
        return Reply(200, self._metrics.render(), CONTENT_TYPE)
