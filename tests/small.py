"""A complete small system in one process over loopback, for tests of its HTTP interfaces."""

import contextlib
import io
import json
import logging
import os
import time
import unittest
from collections import namedtuple
from unittest import mock

import eventlet
import urllib3
from eventlet import wsgi

from geraniumspool import cli
from geraniumspool.agent import build_agent
from geraniumspool.arguments import ENTRY_VARIABLE, TOKEN_VARIABLE
from geraniumspool.clock import SystemClock
from geraniumspool.entry import build_entry
from geraniumspool.messages import MEMBER_LEFT, Peer
from geraniumspool.settings import AgentSettings, EntrySettings
from geraniumspool.standin_minion import StandinMinion
from geraniumspool.standin_store import StandinStore
from tests.processes import SERVICE, TEAM, TICKET_KEY, TOKEN

DOMAINS = ("north", "south")
# Slots of each minion, and of all minions together.
SLOTS, ALL_SLOTS = 2, 2 * len(DOMAINS)
WAIT_S, POLL_S = 20.0, 0.02
HEARTBEAT = {"heartbeat_period_ms": 200}
HttpReply = namedtuple("HttpReply", "status headers body")


def make_task(value, run_ms: float = 0) -> dict:
    """Return a task that yields ``value`` after ``run_ms`` milliseconds."""
    return {"payload": {"value": value, "run_ms": run_ms}, "run_ms": run_ms}


def make_job(tasks: list[dict], **fields) -> dict:
    """Return the request body of a job.

    :param fields: further fields, or other values of the default ones
    """
    return {"service": SERVICE, "team": TEAM, "deadline_ms": 15_000, "tasks": tasks} | fields


def make_change(expected, body, change_id, **fields) -> dict:
    """Return the request body of a configuration change.

    :param expected: revision that the change is based on
    """
    change = {"change_id": change_id, "expected_revision": expected, "body": body}
    return change | {"who": "tester", "why": "a test"} | fields


def direct_commands_to(test: unittest.TestCase, address: str, token: str) -> None:
    """Set the environment variables that direct operators' commands to an entry, for one test."""
    variables = {ENTRY_VARIABLE: address, TOKEN_VARIABLE: token}
    patch = mock.patch.dict(os.environ, variables)
    patch.start()
    test.addCleanup(patch.stop)


def run_command(*argv: str) -> tuple[int, str, str]:
    """Run a command line; return its exit code, standard output and standard error."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            cli.main(list(argv))
        except SystemExit as stop:
            return stop.code, output.getvalue(), errors.getvalue()
    raise AssertionError("main() returned instead of exiting")


def serve(test: unittest.TestCase, application) -> str:
    """Serve a WSGI application on loopback until the test ends; return its address."""
    listener = eventlet.listen(("127.0.0.1", 0))
    test.addCleanup(listener.close)
    server = eventlet.spawn(wsgi.server, listener, application, log_output=False, debug=False)
    test.addCleanup(server.kill)
    return f"127.0.0.1:{listener.getsockname()[1]}"


def wait_until(condition, limit_s: float = WAIT_S) -> None:
    """Wait until a condition is true; fail if it is still false after ``limit_s`` seconds."""
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "condition is still false at the time limit"
        eventlet.sleep(POLL_S)


class SmallSystem:
    """A store, and in each failure domain an entry and an agent with its minion.

    :ivar store: stand-in for the key-value store
    :ivar entries: entries in the order of ``DOMAINS``
    :ivar agents: agents in the order of ``DOMAINS``
    :ivar minions: stand-in minions in the order of their agents
    """

    def __init__(self, **settings):
        """Start all parts and wait until they know each other.

        :param settings: further settings of the entries
        """
        logging.disable(logging.CRITICAL)
        self.store = StandinStore(SystemClock())
        urls = ("http://{}:{}".format(*self.store.start("127.0.0.1")),)
        entry_settings = HEARTBEAT | {"heartbeat_timeout_ms": 10_000} | settings
        entries = (
            EntrySettings(name, TOKEN, (TICKET_KEY,), urls, **entry_settings) for name in DOMAINS
        )
        self.entries = [build_entry(values) for values in entries]
        agents = (
            AgentSettings(name, urls, peer_timeout_ms=10_000, **HEARTBEAT) for name in DOMAINS
        )
        self.agents = [build_agent(values) for values in agents]
        self.minions = [StandinMinion(SERVICE, SLOTS, 64, SystemClock()) for _ in DOMAINS]
        for part in [*self.entries, *self.agents, *self.minions]:
            part.start()
        for agent, minion in zip(self.agents, self.minions, strict=True):
            minion.announce(agent.minion_url)
        wait_until(self._is_connected)

    def _is_connected(self) -> bool:
        # The roster of an agent lacks the agent itself.
        peers = [1 + len(agent.roster.agents(SERVICE)) for agent in self.agents]
        agents = [len(entry.roster.agents(SERVICE)) for entry in self.entries]
        entries = [len(entry.roster.entries()) for entry in self.entries]
        return min(peers + agents + entries) == len(DOMAINS)

    def stop(self) -> None:
        """Stop all parts concurrently."""
        parts = [*self.minions, *self.agents, *self.entries, self.store]
        list(eventlet.GreenPool().imap(lambda part: part.stop(), parts))
        logging.disable(logging.NOTSET)

    def call(
        self, method: str, path: str, body=None, entry=0, interface="callers", **headers
    ) -> HttpReply:
        """Send a request to an HTTP interface of an entry and return the reply.

        :param body: value to send as JSON, or bytes to send unchanged
        :param entry: index of the entry
        :param interface: interface, ``callers`` or ``operators``
        :param headers: request headers, with underscores for hyphens
        """
        url = f"http://{self.entries[entry].ready_line()[interface]}{path}"
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        headers = {name.replace("_", "-"): text for name, text in headers.items()}
        limits = {"retries": False, "timeout": WAIT_S}
        reply = urllib3.request(method, url, body=data, headers=headers, **limits)
        is_json = "json" in reply.headers.get("Content-Type", "")
        return HttpReply(reply.status, reply.headers, reply.json() if is_json else reply.data)

    def call_operators(self, method: str, path: str, body=None, entry=0, token=TOKEN) -> HttpReply:
        """Send a request to the operators' interface of an entry and return the reply."""
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        return self.call(method, path, body, entry, "operators", **headers)

    def ticket(self, agent: int = 0) -> str:
        """Return a new ticket whose home is an agent.

        The ticket comes from the entry in the agent's failure domain, which chooses homes there.
        """
        order = {"service": SERVICE, "team": TEAM}
        return self.call("POST", "/v1/tickets", order, agent).body["tickets"][0]

    def submit(self, ticket: str, tasks: list[dict], entry: int = 0, **fields) -> HttpReply:
        """Submit a job under a ticket and return the reply."""
        return self.call("PUT", f"/v1/jobs/{ticket}", make_job(tasks, **fields), entry)

    def occupy_slots(self, tasks: int = ALL_SLOTS) -> str:
        """Occupy all slots with a job that runs until :meth:`free_slots`; return its ticket."""
        ticket = self.ticket()
        eventlet.spawn(self.submit, ticket, [make_task(0, 60_000)] * tasks, deadline_ms=600_000)
        wait_until(lambda: self.running() == ALL_SLOTS)
        return ticket

    def free_slots(self, ticket: str) -> None:
        """Cancel a job of :meth:`occupy_slots` and wait until its tasks have stopped."""
        self.call("DELETE", f"/v1/jobs/{ticket}")
        wait_until(lambda: self.running() == 0)

    def running(self) -> int:
        """Return the number of tasks that run at the minions."""
        return sum(minion.running for minion in self.minions)

    def starts(self) -> int:
        """Return the number of tasks that the minions have started."""
        return sum(minion.report()["starts"] for minion in self.minions)

    def drain_agent(self, number: int) -> None:
        """Drain and stop an agent that was asked to leave, and wait until the entries know."""
        agent = self.agents[number]
        wait_until(lambda: agent.exit_requested)
        assert agent.drain(), "drain abandoned work"
        agent.stop()
        peer = Peer(agent.ready_line()["inbox"], agent.describe().incarnation)
        for entry in self.entries:
            wait_until(lambda entry=entry: entry.roster.get(peer).state == MEMBER_LEFT)


class SystemTest(unittest.TestCase):
    """Base class of tests that share one system per class.

    :cvar SETTINGS: further settings of the entries
    """

    SETTINGS: dict = {}

    @classmethod
    def setUpClass(cls):
        """Start the system."""
        cls.system = SmallSystem(**cls.SETTINGS)
        cls.addClassCleanup(cls.system.stop)

    def assert_problem(self, answered, status, code, outcome=None):
        """Check status, code, type and outcome of an error reply."""
        self.assertEqual((answered.status, answered.body.get("code")), (status, code), answered)
        self.assertEqual(answered.headers["Content-Type"], "application/problem+json")
        self.assertEqual(answered.body["type"], f"urn:geraniumspool:{code}")
        self.assertEqual(answered.body["status"], status)
        self.assertTrue(answered.body["detail"])
        self.assertEqual(answered.body.get("outcome"), outcome)
        if outcome is not None:
            self.assertRegex(answered.body.get("decision") or "none", r"\Ad-[0-9a-f]+-[0-9]+\Z")
