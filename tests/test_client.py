"""Tests of the client library for callers, against scripted entries."""

import logging
import socket
import subprocess
import sys
import unittest
from typing import Any, NamedTuple

import eventlet
import msgspec

from geraniumspool.client import (
    Client,
    JobMayHaveRun,
    JobNotRun,
    JobRejected,
    TaskRequest,
)
from geraniumspool.clock import ManualClock, SystemClock
from geraniumspool.errors import LinkDown
from geraniumspool.reply import Reply, reply_json, reply_problem
from geraniumspool.routes import Route
from geraniumspool.web import WebApplication
from geraniumspool.webserver import WebServer

DEADLINE_MS = 5000.0
TASKS = [TaskRequest({"face": 1}, size=2.0), TaskRequest("b", run_ms=50.0)]


class RecordingClock(ManualClock):
    """Clock whose sleeps return at once: each advances the time and is recorded."""

    def __init__(self):
        super().__init__()
        self.sleeps = []

    def sleep(self, delay_ms):
        self.sleeps.append(delay_ms)
        self._now += delay_ms


class FakeCounters:
    """Counters that ignore all increments."""

    def add(self, name, amount=1, **labels):
        pass


class Call(NamedTuple):
    """A submission that an entry received.

    :param entry: index of the entry
    """

    entry: int
    ticket: str
    body: dict


def complete(ticket, **members):
    value = {"job": ticket, "outcome": "complete", "results": [1, {"x": 2}]}
    return reply_json(200, value | members)


def lose(_ticket):
    return None


def stay_silent(_ticket):
    eventlet.sleep(3600)


def answer_foreign(_ticket):
    return complete("another")


def answer_half(ticket):
    return complete(ticket, results=[1])


def answer_garbled(_ticket):
    return Reply(200, b"{")


def answer_next(ticket):
    return complete(ticket, next_ticket="n" + ticket)


def fail(status, code="busy", **members):
    return lambda _ticket: reply_problem(status, code, "no luck", **members)


def fail_plainly(status, **headers):
    return lambda _ticket: Reply(status, b"<html>", "text/html", tuple(headers.items()))


NOT_RUN = fail(503, outcome="not_run", retry_after_ms=250.5)
NOT_RUN_LATE = fail(503, outcome="not_run", retry_after_ms=DEADLINE_MS)
NEVER_RUN = fail(422, "fits_no_minion", outcome="not_run")
MAY_HAVE_RUN = fail(504, "home_lost", outcome="may_have_run", retry_after_ms=10)
CONFLICT = fail(409, "job_conflict")


class Entries:
    """Two entries that share a script: each request to either takes the next action.

    An action gets the ticket and returns the reply, or None to close the connection without
    one. Once the script is used up, every job is answered as complete.

    :ivar calls: submissions received
    :ivar fetches: requests for tickets received
    :ivar others: other requests received, as method and path
    """

    def __init__(self, test, script=()):
        self.script = list(script)
        self.calls = []
        self.fetches = []
        self.others = []
        self.issued = 0
        self.addresses = [self._start(test, index) for index in range(2)]

    def _start(self, test, index):
        routes = [
            Route("POST", "/v1/tickets", self._issue),
            Route("PUT", "/v1/jobs/{ticket}", lambda request: self._submit(index, request)),
            Route("GET", "/v1/jobs/{ticket}", self._other),
            Route("DELETE", "/v1/jobs/{ticket}", self._other),
            Route("GET", "/v1/jobs/{ticket}/decisions", self._other),
        ]
        application = WebApplication(routes, 100_000, FakeCounters(), logging.getLogger("tests"))
        server = WebServer(application, "127.0.0.1:0", SystemClock())
        server.start()
        test.addCleanup(server.stop)
        return server.address

    def _issue(self, request):
        wanted = msgspec.json.decode(request.body)
        self.fetches.append(wanted)
        first = self.issued
        self.issued += wanted["count"]
        return reply_json(201, {"tickets": [f"t{n}" for n in range(first, self.issued)]})

    def _submit(self, index, request):
        ticket = request.parameters[0]
        self.calls.append(Call(index, ticket, msgspec.json.decode(request.body)))
        return self._play(request, self.script.pop(0) if self.script else complete, ticket)

    def _other(self, request):
        self.others.append((request.method, request.path))
        action = self.script.pop(0) if self.script else lambda _ticket: reply_json(200, [1])
        return self._play(request, action, request.parameters[0])

    def _play(self, request, action, ticket):
        reply = action(ticket)
        if reply is None:
            request.environ["wsgi.input"].get_socket().shutdown(socket.SHUT_RDWR)
            return reply_json(200, {})
        return reply


class Case(NamedTuple):
    """A script of the entries and how the client is expected to act on it.

    :param script: actions of the entries, one per submission
    :param tickets: tickets under which the job is submitted, in order
    :param error: class of the expected error, or None for a complete answer
    :param reason: expected reason of the error
    :param pauses: delays in milliseconds that the entries ask for; backoff of the client's own
        is not listed
    """

    name: str
    script: list
    tickets: list
    error: Any = None
    reason: str = ""
    pauses: tuple = ()


CASES = (
    Case("complete", [complete], ["t0"]),
    Case("lost answer, then the kept one", [lose, complete], ["t0", "t0"]),
    Case("bad gateway", [fail_plainly(502), fail_plainly(504), complete], ["t0"] * 3),
    Case("unexplained fault", [fail(500, "internal"), complete], ["t0"] * 2),
    Case(
        "overloaded balancer",
        [fail_plainly(503, **{"Retry-After": "2"}), complete],
        ["t0"] * 2,
        pauses=(2000,),
    ),
    Case("too many requests", [fail(429, retry_after_ms=300), complete], ["t0"] * 2, pauses=(300,)),
    Case("another job's answer", [answer_foreign, complete], ["t0"] * 2),
    Case("half an answer", [answer_half, complete], ["t0"] * 2),
    Case("garbled answer", [answer_garbled, complete], ["t0"] * 2),
    Case("not run, then a new ticket", [NOT_RUN, complete], ["t0", "t1"], pauses=(250.5,)),
    Case("not run twice", [NOT_RUN, NOT_RUN, complete], ["t0", "t1", "t2"], pauses=(250.5, 250.5)),
    Case("not run, too late to retry", [NOT_RUN_LATE], ["t0"], JobNotRun, "busy"),
    Case("not run for good", [NEVER_RUN], ["t0"], JobNotRun, "fits_no_minion"),
    Case("not run after a lost answer", [lose, NOT_RUN], ["t0", "t0"], JobNotRun, "busy"),
    Case("may have run", [MAY_HAVE_RUN], ["t0"], JobMayHaveRun, "home_lost"),
    Case(
        "may have run after a loss", [lose, MAY_HAVE_RUN], ["t0", "t0"], JobMayHaveRun, "home_lost"
    ),
    Case("not run, then lost", [NOT_RUN, lose, complete], ["t0", "t1", "t1"], pauses=(250.5,)),
    Case("rejected", [CONFLICT], ["t0"], JobRejected, "job_conflict"),
    Case("rejected plainly", [fail_plainly(403)], ["t0"], JobRejected, "http_403"),
)


class ImportTest(unittest.TestCase):
    """Effects of importing the client on the caller's program."""

    def test_brings_neither_eventlet_nor_warnings(self):
        code = "import sys, geraniumspool.client; sys.exit('eventlet' in sys.modules)"
        command = [sys.executable, "-W", "error", "-c", code]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual((done.returncode, done.stderr), (0, ""))


def make_client(addresses, clock, **options):
    return Client(addresses, "fitting", "optika", clock=clock, seed=1, **options)


def reserve_closed_address(test):
    closed = socket.socket()
    closed.bind(("127.0.0.1", 0))
    test.addCleanup(closed.close)
    return f"127.0.0.1:{closed.getsockname()[1]}"


class RunTest(unittest.TestCase):
    """Outcome of a job, and the submissions it takes, for each script."""

    def test_table(self):
        for case in CASES:
            with self.subTest(case.name):
                entries = Entries(self, case.script)
                clock = RecordingClock()
                client = make_client(entries.addresses, clock)
                self.addCleanup(client.close)
                self.check_end(case, client)
                self.assertEqual([call.ticket for call in entries.calls], case.tickets)
                self.check_calls(entries.calls)
                pauses = [pause for pause in clock.sleeps if pause > 100]
                self.assertEqual(len(pauses), len(case.pauses))
                for pause, asked in zip(pauses, case.pauses, strict=True):
                    self.assertTrue(asked <= pause <= asked * 1.1, (pause, asked))

    def check_end(self, case, client):
        if case.error is None:
            result = client.run(TASKS, DEADLINE_MS)
            self.assertEqual(result, ([1, {"x": 2}], case.tickets[-1], len(case.tickets)))
            return
        with self.assertRaises(case.error) as caught:
            client.run(TASKS, DEADLINE_MS)
        error = caught.exception
        found = (error.reason, error.ticket, error.attempts)
        self.assertEqual(found, (case.reason, case.tickets[-1], len(case.tickets)))

    def check_calls(self, calls):
        """Check that a resubmission has the same body and goes to the other entry.

        A submission under a new ticket must have a shorter deadline than the one before.
        """
        for before, after in zip(calls, calls[1:], strict=False):
            if before.ticket == after.ticket:
                self.assertEqual(before.body, after.body)
                self.assertNotEqual(before.entry, after.entry)
            else:
                self.assertLess(after.body["deadline_ms"], before.body["deadline_ms"])

    def test_body(self):
        entries = Entries(self)
        make_client(entries.addresses, RecordingClock()).run(TASKS, DEADLINE_MS)
        expected = {
            "service": "fitting",
            "team": "optika",
            "deadline_ms": DEADLINE_MS,
            "tasks": [
                {"payload": {"face": 1}, "size": 2.0, "run_ms": 0.0},
                {"payload": "b", "size": 0.0, "run_ms": 50.0},
            ],
        }
        self.assertEqual(entries.calls[0].body, expected)

    def test_silent_entry(self):
        entries = Entries(self, [stay_silent])
        client = make_client(entries.addresses, RecordingClock(), timeout_ms=500)
        self.assertEqual(client.run(TASKS, DEADLINE_MS).results, [1, {"x": 2}])
        self.assertEqual({call.ticket for call in entries.calls}, {"t0"})
        self.assertEqual({call.entry for call in entries.calls}, {0, 1})

    def test_answer_lost_until_deadline(self):
        entries = Entries(self, [lose] * 500)
        with self.assertRaises(JobMayHaveRun) as caught:
            make_client(entries.addresses, RecordingClock()).run(TASKS, DEADLINE_MS)
        self.assertEqual(caught.exception.reason, "answer_lost")
        self.assertEqual({call.ticket for call in entries.calls}, {"t0"})
        self.assertLess(len(entries.calls), 30)

    def test_no_entry(self):
        clock = RecordingClock()
        closed = [reserve_closed_address(self), reserve_closed_address(self)]
        start_ms = clock.now()
        with self.assertRaises(JobNotRun) as caught:
            make_client(closed, clock).run(TASKS, DEADLINE_MS)
        self.assertEqual((caught.exception.reason, caught.exception.ticket), ("no_entry", ""))
        self.assertLessEqual(clock.now() - start_ms, DEADLINE_MS)

    def test_entries_gone_before_submission(self):
        """If no connection was established, the job under a prefetched ticket has not run."""
        entries = Entries(self)
        client = make_client(entries.addresses, RecordingClock())
        client.run(TASKS, DEADLINE_MS)
        client._entries = ["http://" + reserve_closed_address(self)]
        client._current = 0
        with self.assertRaises(JobNotRun) as caught:
            client.run(TASKS, DEADLINE_MS)
        self.assertEqual((caught.exception.reason, caught.exception.ticket), ("no_entry", "t1"))

    def test_one_entry_closed(self):
        entries = Entries(self)
        for seed in range(3):
            addresses = [reserve_closed_address(self), entries.addresses[0]]
            client = Client(addresses, "s", "t", clock=RecordingClock(), seed=seed)
            self.assertEqual(client.run(TASKS, DEADLINE_MS).results, [1, {"x": 2}])


class TicketTest(unittest.TestCase):
    """Tickets are prefetched, discarded when too old and used once."""

    def test_fetched_ahead(self):
        entries = Entries(self)
        client = make_client(entries.addresses, RecordingClock(), tickets_ahead=3)
        used = [client.run(TASKS, DEADLINE_MS).ticket for _ in range(7)]
        self.assertEqual(used, [f"t{n}" for n in range(7)])
        request = {"service": "fitting", "team": "optika", "count": 3}
        self.assertEqual(entries.fetches, [request] * 3)

    def test_stale_ones_are_thrown_away(self):
        entries = Entries(self)
        clock = RecordingClock()
        client = make_client(entries.addresses, clock, tickets_ahead=2, ticket_max_age_ms=1000)
        used = [client.run(TASKS, DEADLINE_MS).ticket]
        clock.sleep(1001)
        used.append(client.run(TASKS, DEADLINE_MS).ticket)
        self.assertEqual(used, ["t0", "t2"])

    def test_next_ticket_is_used(self):
        entries = Entries(self, [answer_next] * 3)
        client = make_client(entries.addresses, RecordingClock(), tickets_ahead=1)
        used = [client.run(TASKS, DEADLINE_MS).ticket for _ in range(3)]
        self.assertEqual(used, ["t0", "nt0", "nnt0"])
        self.assertEqual(len(entries.fetches), 1)

    def test_used_once_by_concurrent_jobs(self):
        entries = Entries(self)
        client = make_client(entries.addresses, RecordingClock(), tickets_ahead=2)
        tasks = [eventlet.spawn(client.run, TASKS, DEADLINE_MS) for _ in range(10)]
        used = {task.wait().ticket for task in tasks}
        self.assertEqual(len(used), 10)


class AskTest(unittest.TestCase):
    """Requests for state, cancellation and decisions fail over to another entry."""

    def test_calls(self):
        entries = Entries(self, [lose])
        client = make_client(entries.addresses, RecordingClock())
        self.assertEqual([client.state("a"), client.cancel("b")], [[1], [1]])
        self.assertEqual(client.decisions("c"), [1])
        self.assertEqual(
            entries.others,
            [
                ("GET", "/v1/jobs/a"),
                ("GET", "/v1/jobs/a"),
                ("DELETE", "/v1/jobs/b"),
                ("GET", "/v1/jobs/c/decisions"),
            ],
        )

    def test_failures(self):
        for action, error in (
            (fail(404, "not_found"), JobRejected),
            (MAY_HAVE_RUN, JobMayHaveRun),
            (NEVER_RUN, JobNotRun),
        ):
            entries = Entries(self, [action])
            with self.subTest(error.code), self.assertRaises(error):
                make_client(entries.addresses, RecordingClock()).state("a")
        with self.assertRaises(LinkDown):
            make_client([reserve_closed_address(self)], RecordingClock()).state("a")


if __name__ == "__main__":
    unittest.main()
