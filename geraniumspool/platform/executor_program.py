"""Builds the executor with the platform's store and HTTP interface to its minion."""

import sys

from geraniumspool.bounded_log import configure_rate_limited_logging
from geraniumspool.clock import SystemClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.daemon_settings import ExecutorSettings, load_settings
from geraniumspool.dispatch_agent import ExecutorProcess
from geraniumspool.link import NngMessenger
from geraniumspool.metrics_page import serve_metrics
from geraniumspool.platform.configuration import OPERATOR_KEYS
from geraniumspool.platform.minion import HttpMinionControl
from geraniumspool.platform.reports import MinionReportsApplication
from geraniumspool.platform.store import KeyValueStore
from geraniumspool.process_start import PROCESS_STARTED_MS
from geraniumspool.webserver import FEW_CONNECTIONS, WebServer
from geraniumspool.wire_versions import new_incarnation


def build(path: str) -> ExecutorProcess:
    """Return the executor application, not yet started.

    :param path: path of its settings file
    :raises InvalidInput: with every fault found in the settings
    """
    settings = load_settings(path, ExecutorSettings)
    clock = SystemClock()
    configure_rate_limited_logging(settings.log_level, sys.stdout.fileno(), clock)
    metrics = MemoryCounters()
    messenger = NngMessenger(
        settings.inbox, new_incarnation(), clock, metrics, advertised=settings.advertised_inbox
    )
    store = KeyValueStore(settings.store, clock, metrics)
    control = HttpMinionControl(clock, metrics)
    agent = ExecutorProcess(
        settings,
        clock,
        metrics,
        messenger,
        store,
        control,
        OPERATOR_KEYS.evacuations,
        PROCESS_STARTED_MS,
    )
    reports = WebServer(
        MinionReportsApplication(agent.executor, metrics),
        settings.minion_listen,
        clock,
        FEW_CONNECTIONS,
    )
    pages = serve_metrics(metrics, "executor", settings.domain, settings.metrics_listen, clock)
    agent.serve([reports, *pages])
    return agent
