"""A small whole system in one process over loopback, for interface tests."""

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
SLOTS, ALL_SLOTS = 2, 2 * len(DOMAINS)
WAIT_S, POLL_S = 20.0, 0.02
BEAT = {"heartbeat_period_ms": 200}
Answered = namedtuple("Answered", "status headers body")


def make_task(value, run_ms: float = 0) -> dict:
    """Return a task that answers ``value`` after ``run_ms``."""
    return {"payload": {"value": value, "run_ms": run_ms}, "run_ms": run_ms}


def make_job(tasks: list[dict], **fields) -> dict:
    """Return the body of a job."""
    return {"service": SERVICE, "team": TEAM, "deadline_ms": 15_000, "tasks": tasks} | fields


def make_change(expected, body, change_id, **fields) -> dict:
    """Return the body of a configuration change."""
    change = {"change_id": change_id, "expected_revision": expected, "body": body}
    return change | {"who": "tester", "why": "a test"} | fields


def point_commands(test: unittest.TestCase, address: str, token: str) -> None:
    """Let operators' commands of one test ask an entry."""
    variables = {ENTRY_VARIABLE: address, TOKEN_VARIABLE: token}
    patch = mock.patch.dict(os.environ, variables)
    patch.start()
    test.addCleanup(patch.stop)


def run_command(*argv: str) -> tuple[int, str, str]:
    """Return exit code, standard output and standard error of a command line."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            cli.main(list(argv))
        except SystemExit as stop:
            return stop.code, output.getvalue(), errors.getvalue()
    raise AssertionError("main returned")


def serve(test: unittest.TestCase, application) -> str:
    """Serve a WSGI application on loopback until the test ends; return its address."""
    listener = eventlet.listen(("127.0.0.1", 0))
    test.addCleanup(listener.close)
    server = eventlet.spawn(wsgi.server, listener, application, log_output=False, debug=False)
    test.addCleanup(server.kill)
    return f"127.0.0.1:{listener.getsockname()[1]}"


def wait_until(condition, limit_s: float = WAIT_S) -> None:
    """Wait for a condition; fail where it stays false."""
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, "the condition did not come true"
        eventlet.sleep(POLL_S)


class Small:
    """In each failure domain an entry and an agent with its minion, and one store."""

    def __init__(self, **settings):
        """Start everything, entries with further settings, and wait until all know each other."""
        logging.disable(logging.CRITICAL)
        self.store = StandinStore(SystemClock())
        urls = ("http://{}:{}".format(*self.store.start("127.0.0.1")),)
        patient = BEAT | {"heartbeat_timeout_ms": 10_000} | settings
        entries = (EntrySettings(name, TOKEN, (TICKET_KEY,), urls, **patient) for name in DOMAINS)
        self.entries = [build_entry(values) for values in entries]
        agents = (AgentSettings(name, urls, peer_timeout_ms=10_000, **BEAT) for name in DOMAINS)
        self.agents = [build_agent(values) for values in agents]
        self.minions = [StandinMinion(SERVICE, SLOTS, 64, SystemClock()) for _ in DOMAINS]
        for part in [*self.entries, *self.agents, *self.minions]:
            part.start()
        for agent, minion in zip(self.agents, self.minions, strict=True):
            minion.announce(agent.minion_url)
        wait_until(self._is_whole)

    def _is_whole(self) -> bool:
        # An agent's roster has the other agents alone.
        peers = [1 + len(agent.roster.agents(SERVICE)) for agent in self.agents]
        agents = [len(entry.roster.agents(SERVICE)) for entry in self.entries]
        entries = [len(entry.roster.entries()) for entry in self.entries]
        return min(peers + agents + entries) == len(DOMAINS)

    def stop(self) -> None:
        """End every process, all at once."""
        parts = [*self.minions, *self.agents, *self.entries, self.store]
        list(eventlet.GreenPool().imap(lambda part: part.stop(), parts))
        logging.disable(logging.NOTSET)

    def call(self, method: str, path: str, body=None, entry=0, to="callers", **headers) -> Answered:
        """Ask an interface of an entry; a body of bytes is sent as it is."""
        url = f"http://{self.entries[entry].ready_line()[to]}{path}"
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        headers = {name.replace("_", "-"): text for name, text in headers.items()}
        limits = {"retries": False, "timeout": WAIT_S}
        reply = urllib3.request(method, url, body=data, headers=headers, **limits)
        is_json = "json" in reply.headers.get("Content-Type", "")
        return Answered(reply.status, reply.headers, reply.json() if is_json else reply.data)

    def operate(self, method: str, path: str, body=None, entry=0, token=TOKEN) -> Answered:
        """Ask the operators' interface of an entry."""
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        return self.call(method, path, body, entry, "operators", **headers)

    def ticket(self, agent: int = 0) -> str:
        """Return a ticket of an agent: an entry chooses homes in its own failure domain."""
        order = {"service": SERVICE, "team": TEAM}
        return self.call("POST", "/v1/tickets", order, agent).body["tickets"][0]

    def put(self, ticket: str, tasks: list[dict], entry: int = 0, **fields) -> Answered:
        """Submit a job under a ticket."""
        return self.call("PUT", f"/v1/jobs/{ticket}", make_job(tasks, **fields), entry)

    def block(self, tasks: int = ALL_SLOTS) -> str:
        """Start a job whose tasks run until :meth:`unblock`, in all slots; return its ticket."""
        ticket = self.ticket()
        eventlet.spawn(self.put, ticket, [make_task(0, 60_000)] * tasks, deadline_ms=600_000)
        wait_until(lambda: self.running() == ALL_SLOTS)
        return ticket

    def unblock(self, ticket: str) -> None:
        """Cancel a blocking job and wait until its tasks have stopped."""
        self.call("DELETE", f"/v1/jobs/{ticket}")
        wait_until(lambda: self.running() == 0)

    def running(self) -> int:
        """Return how many tasks the minions run."""
        return sum(minion.running for minion in self.minions)

    def starts(self) -> int:
        """Return how many tasks the minions started."""
        return sum(minion.report()["starts"] for minion in self.minions)

    def leave(self, number: int) -> None:
        """Let an agent that was asked to leave do so, and wait until both entries know."""
        agent = self.agents[number]
        wait_until(lambda: agent.exit_requested)
        assert agent.drain(), "work was given up"
        agent.stop()
        peer = Peer(agent.ready_line()["inbox"], agent.describe().incarnation)
        for entry in self.entries:
            wait_until(lambda entry=entry: entry.roster.get(peer).state == MEMBER_LEFT)


class SystemTest(unittest.TestCase):
    """Base: one system for all tests of a class."""

    SETTINGS: dict = {}

    @classmethod
    def setUpClass(cls):
        """Start the system."""
        cls.small = Small(**cls.SETTINGS)
        cls.addClassCleanup(cls.small.stop)

    def assert_problem(self, answered, status, code, outcome=None):
        """Check a failure's status, code, type and outcome."""
        self.assertEqual((answered.status, answered.body.get("code")), (status, code), answered)
        self.assertEqual(answered.headers["Content-Type"], "application/problem+json")
        self.assertEqual(answered.body["type"], f"urn:geraniumspool:{code}")
        self.assertEqual(answered.body["status"], status)
        self.assertTrue(answered.body["detail"])
        self.assertEqual(answered.body.get("outcome"), outcome)
        if outcome is not None:
            self.assertRegex(answered.body.get("decision") or "none", r"\Ad-[0-9a-f]+-[0-9]+\Z")
