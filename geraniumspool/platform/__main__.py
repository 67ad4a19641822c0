"""Starts a program on the platform: ``python3 -m geraniumspool.platform ROLE``."""

import os
import sys
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet

eventlet.monkey_patch()

import logging

from geraniumspool.application import Application, draw_incarnation
from geraniumspool.bounded_log import set_up_bounded
from geraniumspool.clock import SystemClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.daemon_settings import DispatcherSettings, ExecutorSettings, load_settings
from geraniumspool.dispatch_agent import DispatchAgent
from geraniumspool.dispatch_entry import DispatchEntry
from geraniumspool.errors import InvalidInput
from geraniumspool.link import NngMessenger
from geraniumspool.metrics_page import MetricsPage
from geraniumspool.platform.configuration import OPERATOR_KEYS, decode_configuration
from geraniumspool.platform.ingress import Ingress, ReadyCheck
from geraniumspool.platform.minion import HttpMinionControl
from geraniumspool.platform.reports import Reports
from geraniumspool.platform.store import KeyValueStore
from geraniumspool.program import run_application
from geraniumspool.webserver import WebServer

SETTINGS_VARIABLE = "GERANIUMSPOOL_SETTINGS"
BAD_SETTINGS = 2


def build_dispatcher(path: str) -> DispatchEntry:
    """Return the dispatcher's program.

    :param path: its settings file
    """
    settings = load_settings(path, DispatcherSettings)
    clock = SystemClock()
    set_up_bounded(settings.log_level, sys.stdout.fileno(), clock)
    metrics = MemoryCounters()
    messenger = NngMessenger(settings.inbox, draw_incarnation(), clock, metrics)
    store = KeyValueStore(settings.store, clock, metrics)
    entry = DispatchEntry(
        settings, clock, metrics, messenger, store, OPERATOR_KEYS, decode_configuration
    )
    callers = WebServer(
        Ingress(entry.router, entry.configuration, metrics), settings.callers_listen, clock
    )
    ready = WebServer(ReadyCheck(lambda: entry.is_ready, metrics), settings.ready_listen, clock)
    entry.serve(callers, [ready, *_serve_metrics(metrics, settings, clock)])
    return entry


def build_executor(path: str) -> DispatchAgent:
    """Return the executor's program.

    :param path: its settings file
    """
    settings = load_settings(path, ExecutorSettings)
    clock = SystemClock()
    set_up_bounded(settings.log_level, sys.stdout.fileno(), clock)
    metrics = MemoryCounters()
    messenger = NngMessenger(settings.inbox, draw_incarnation(), clock, metrics)
    store = KeyValueStore(settings.store, clock, metrics)
    control = HttpMinionControl(clock, metrics)
    agent = DispatchAgent(
        settings, clock, metrics, messenger, store, control, OPERATOR_KEYS.evacuations
    )
    reports = WebServer(Reports(agent.executor, metrics), settings.minion_listen, clock)
    agent.serve([reports, *_serve_metrics(metrics, settings, clock)])
    return agent


BUILDERS = {"dispatcher": build_dispatcher, "executor": build_executor}


def main(words: list[str]) -> int:
    """Run the program of a role until a signal ends it; return its exit code."""
    if len(words) != 1 or words[0] not in BUILDERS:
        print(f"usage: python3 -m geraniumspool.platform {'|'.join(BUILDERS)}", file=sys.stderr)
        return BAD_SETTINGS
    try:
        app: Application = BUILDERS[words[0]](os.environ.get(SETTINGS_VARIABLE, ""))
    except InvalidInput as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return BAD_SETTINGS
    code = run_application(app)
    logging.shutdown()
    return code


def _serve_metrics(
    counters: MemoryCounters, settings: DispatcherSettings | ExecutorSettings, clock: SystemClock
) -> list[WebServer]:
    if not settings.metrics_listen:
        return []
    role = "dispatcher" if isinstance(settings, DispatcherSettings) else "executor"
    page = MetricsPage(counters, role, settings.domain)
    return [WebServer(page, settings.metrics_listen, clock)]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
