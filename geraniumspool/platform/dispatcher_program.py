"""Builds the dispatcher with the platform's store and HTTP interface for callers."""

import sys

from geraniumspool.body_budget import BodyBudget
from geraniumspool.bounded_log import configure_rate_limited_logging
from geraniumspool.clock import SystemClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.daemon_settings import DispatcherSettings, load_settings
from geraniumspool.dispatch_entry import DispatcherProcess
from geraniumspool.link import NngMessenger
from geraniumspool.metrics_page import serve_metrics
from geraniumspool.platform.configuration import OPERATOR_KEYS, decode_configuration
from geraniumspool.platform.ingress import Ingress, ReadyCheck
from geraniumspool.platform.store import KeyValueStore
from geraniumspool.process_start import PROCESS_STARTED_MS
from geraniumspool.webserver import FEW_CONNECTIONS, WebServer
from geraniumspool.wire_versions import new_incarnation


def build(path: str) -> DispatcherProcess:
    """Return the dispatcher application, not yet started.

    :param path: path of its settings file
    :raises InvalidInput: with every fault found in the settings
    """
    settings = load_settings(path, DispatcherSettings)
    clock = SystemClock()
    configure_rate_limited_logging(settings.log_level, sys.stdout.fileno(), clock)
    metrics = MemoryCounters()
    messenger = NngMessenger(
        settings.inbox, new_incarnation(), clock, metrics, advertised=settings.advertised_inbox
    )
    store = KeyValueStore(settings.store, clock, metrics)
    entry = DispatcherProcess(
        settings,
        clock,
        metrics,
        messenger,
        store,
        OPERATOR_KEYS,
        decode_configuration,
        PROCESS_STARTED_MS,
    )
    callers = WebServer(
        Ingress(entry.router, entry.configuration, metrics, entry.router.cancels.cancel),
        settings.callers_listen,
        clock,
        bodies=BodyBudget(counters=metrics),
    )
    ready = WebServer(
        ReadyCheck(lambda: entry.is_ready, metrics), settings.ready_listen, clock, FEW_CONNECTIONS
    )
    pages = serve_metrics(metrics, "dispatcher", settings.domain, settings.metrics_listen, clock)
    entry.set_servers(callers, [ready, *pages])
    return entry
