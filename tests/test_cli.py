"""Tests of the command line and of the life cycle of programs."""

import io
import json
import os
import signal
import socket
import tempfile
import unittest
from unittest import mock

import eventlet

from geraniumspool import cli, exit_codes, program
from geraniumspool.arguments import ENTRY_VARIABLE
from geraniumspool.operator_answers import DomainStatus, MemberStatus
from tests.small import direct_commands_to, make_change, serve
from tests.small import run_command as run

TOKEN = "a-token-for-tests"
TICKET = "-" + "tIcket_" * 10
DECISION = {
    "id": "d-ab-1",
    "at_ms": 1000,
    "code": "job_accepted",
    "subject": "1f",
    "figures": {"wait_ms": 1.5},
}


class ScriptedEntry:
    """WSGI application that records requests and answers each with the status and document set.

    A request without the operators' token is answered with status 401.
    """

    def __init__(self):
        self.requests = []
        self.answer = (200, {})

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
        self.requests.append((environ["REQUEST_METHOD"], path, json.loads(body or b"null")))
        status, document = self.answer
        if environ.get("HTTP_AUTHORIZATION") != f"Bearer {TOKEN}":
            status, document = 401, {"code": "unauthorized", "detail": "wrong token"}
        data = document if isinstance(document, bytes) else json.dumps(document).encode()
        start_response(f"{status} Scripted", [("Content-Length", str(len(data)))])
        return [data]


class CliTest(unittest.TestCase):
    """Requests, output and exit codes of the commands, against a scripted entry."""

    def setUp(self):
        self.entry = ScriptedEntry()
        direct_commands_to(self, serve(self, self.entry), TOKEN)
        with tempfile.NamedTemporaryFile("w", suffix=".yaml", delete=False) as file:
            file.write("service: fitting\n")
        self.addCleanup(os.unlink, file.name)
        self.file = file.name

    def apply_arguments(self, *more):
        flags = ("--expected-revision", "7", "--who", "1e5", "--why", "[more] slots")
        return ("config", "apply", "service/fitting", self.file, *flags, *more)

    def test_requests(self):
        change = make_change(7, "service: fitting\n", "c1", who="1e5", why="[more] slots")
        drain = {"address": "tcp://h:1", "who": "Bat", "why": "new kernel"}
        document = {"key": "service/fitting", "revision": 7, "body": "service: fitting"}
        domains = [{"domain": "a", "revision": 8}]
        cancelled = {"outcome": "not_run", "code": "job_cancelled"}
        decisions = {"decisions": [DECISION]}

        def get(path):
            return "GET", path, None

        for argv, answer, request in (
            (("config", "list"), {"documents": [document]}, get("/v1/config")),
            (("config", "get", "service/fitting"), document, get("/v1/config/service/fitting")),
            (
                self.apply_arguments("--change-id", "c1"),
                {"status": "accepted", "revision": 8},
                ("PUT", "/v1/config/service/fitting", change),
            ),
            (("config", "history", "team/x"), {"changes": []}, get("/v1/config/team/x/history")),
            (("config", "status"), {"newest": 8, "domains": domains}, get("/v1/config-status")),
            (
                ("drain", "tcp://h:1", "--who", "Bat", "--why", "new kernel"),
                {},
                ("POST", "/v1/drain", drain),
            ),
            (("job", TICKET), {"state": "running"}, get(f"/v1/jobs/{TICKET}")),
            (("cancel", "--json", TICKET), cancelled, ("DELETE", f"/v1/jobs/{TICKET}", None)),
            (("why", TICKET), decisions, get(f"/v1/jobs/{TICKET}/decisions")),
            (("why", "d-ab-1"), DECISION, get("/v1/decisions/d-ab-1")),
        ):
            with self.subTest(argv=argv):
                self.entry.answer = (200, answer)
                self.assertEqual(run(*argv)[0], exit_codes.EXIT_OK)
                self.assertEqual(self.entry.requests.pop(), request)

    def test_status_as_table_and_json(self):
        domain = dict.fromkeys(DomainStatus.__annotations__, 3) | {
            "domain": "Olinda",
            "state": "reachable",
        }
        answer = {
            "entry": {"address": "h:1", "domain": "Recife", "incarnation": "ab", "state": "ready"},
            "domains": [domain],
            "store": {"state": "up", "last_contact_ms": 5.0},
            "config_revision": 9,
            "counters": {"jobs": 4},
        }
        self.entry.answer = (200, answer)
        code, output, _ = run("status", "--json")
        self.assertEqual((code, json.loads(output)), (exit_codes.EXIT_OK, answer))
        _, output, _ = run("status")
        self.assertRegex(output, r"Olinda +reachable +3 +3")
        self.assertRegex(output, r"failure domain +Recife")

    def test_roster_and_why_for_people(self):
        member = dict.fromkeys(MemberStatus.__annotations__, "x")
        self.entry.answer = (200, {"members": [member]})
        self.assertRegex(run("roster")[1], r"address +incarnation +domain")
        self.entry.answer = (200, {"decisions": [DECISION]})
        output = run("why", TICKET)[1]
        self.assertIn("1970-01-01 00:00:01.000Z  d-ab-1  job_accepted  wait_ms=1.5", output)
        self.assertIn("The home took the job", output)

    def test_failures(self):
        finding = {"place": "service/x", "line": 3, "path": "slots", "text": "is no number"}
        for status, problem, expected, shown in (
            (400, {"code": "invalid_input", "findings": [finding]}, 8, "service/x:3: slots: is no"),
            (400, {"code": "invalid_input", "detail": "odd"}, 8, "odd"),
            (401, {"code": "unauthorized"}, 7, "unauthorized"),
            (403, {"code": "ticket_forged"}, 8, "ticket_forged"),
            (404, {"code": "not_found", "detail": "no such"}, 3, "no such"),
            (409, {"code": "config_stale_revision"}, 4, "config_stale_revision"),
            (409, {"code": "brand_new"}, 4, "brand_new"),
            (413, {"code": "payload_too_large"}, 8, "payload_too_large"),
            (503, {"code": "config_change_unknown"}, 5, "config_change_unknown"),
            (503, {"code": "store_unknown"}, 5, "store_unknown"),
            (503, {"code": "store_unavailable"}, 1, "store_unavailable"),
            (503, {"code": "link_down"}, 1, "link_down"),
            (302, {}, 1, "internal"),
            (500, b"<html>", 1, "HTTP status 500: <html>"),
            (200, b"<html>", 1, "answer_malformed"),
        ):
            with self.subTest(status=status, problem=problem):
                self.entry.answer = (status, problem)
                code, output, errors = run("config", "status")
                self.assertEqual((code, output), (expected, ""))
                self.assertIn(shown, errors)
                self.assertNotIn("Traceback", errors)

    def test_job_outcomes(self):
        for status, document, expected in (
            (200, {"outcome": "complete"}, 0),
            (200, {"state": "running"}, 0),
            (200, {"state": "unknown"}, 3),
            (503, {"code": "job_refused_overload", "outcome": "not_run"}, 1),
            (502, {"code": "task_outcome_unknown", "outcome": "may_have_run"}, 5),
            (404, {"code": "not_found", "outcome": "not_run"}, 3),
        ):
            with self.subTest(document=document):
                self.entry.answer = (status, document)
                self.assertEqual(run("job", TICKET, "--json")[0], expected)

    def test_token_and_address(self):
        self.assertEqual(run("roster", "--token", "wrong")[0], exit_codes.EXIT_UNAUTHORIZED)
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            code, _, errors = run(*self.apply_arguments("--entry", address))
        self.assertEqual(code, exit_codes.EXIT_UNREACHABLE)
        self.assertIn("entry_unreachable", errors)

    def test_lost_answer(self):
        def hang_up(listener):
            while True:
                connection, _ = listener.accept()
                connection.recv(65536)
                connection.close()

        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        server = eventlet.spawn(hang_up, listener)
        self.addCleanup(server.kill)
        flags = ("--entry", f"127.0.0.1:{listener.getsockname()[1]}")
        code, _, errors = run(*self.apply_arguments("--change-id", "c9", *flags))
        self.assertEqual(code, exit_codes.EXIT_UNKNOWN)
        self.assertIn("--change-id c9", errors)
        self.assertEqual(
            run("drain", "a", "--who", "b", "--why", "c", *flags)[0], exit_codes.EXIT_UNKNOWN
        )
        self.assertEqual(run("status", *flags)[0], exit_codes.EXIT_UNREACHABLE)

    def test_usage_errors_do_nothing(self):
        for argv in (
            ("nosuch",),
            ("config",),
            ("_plan",),
            ("__class__",),
            ("status", "--nosuch"),
            ("status", "extra"),
            ("status", "--json=maybe"),
            ("status", "--entry"),
            ("status", "--", "--interactive"),
            ("drain", "tcp://h:1", "--who", "x"),
            ("drain", "tcp://h:1", "--who", "x", "--why", "y", "--force"),
            ("drain", "tcp://h:1", "--why", "x", "--who"),
            ("config", "get", "service"),
            ("config", "get", "a/b/c"),
            ("config", "apply", "service/x", "/nosuch", "--expected-revision", "1"),
            self.apply_arguments("--expected-revision", "-1"),
            self.apply_arguments("--expected-revision", "x"),
            ("entry", "/nosuch"),
            ("check", "/nosuch"),
            ("demo", "--seconds", "nan"),
            ("standin", "store", "--listen", "here"),
            ("standin", "minion", "--agent", "http://h:1"),
        ):
            with self.subTest(argv=argv):
                code, _, errors = run(*argv)
                self.assertEqual(code, exit_codes.EXIT_USAGE)
                self.assertTrue(errors.strip())
                self.assertNotIn("Traceback", errors)
        with mock.patch.dict(os.environ, {ENTRY_VARIABLE: ""}):
            self.assertEqual(run("status")[0], exit_codes.EXIT_USAGE)
        self.assertEqual(self.entry.requests, [])

    def test_help_and_version(self):
        for argv, text in (
            ((), "roster"),
            (("--help",), "roster"),
            (("config", "apply", "--help"), "--expected_revision"),
            (("version",), cli.__version__),
        ):
            with self.subTest(argv=argv):
                code, output, errors = run(*argv)
                self.assertEqual((code, errors), (exit_codes.EXIT_OK, ""))
                self.assertIn(text, output)
                self.assertNotIn("METADATA", output)

    def test_check_reports_findings(self):
        code, _, errors = run("check", self.file)
        self.assertEqual(code, exit_codes.EXIT_INVALID)
        self.assertIn(self.file, errors)


class FakeApplication:
    """Application that sends SIGTERM to its own process once it is ready.

    :ivar signals: numbers of the signals that it sends while it drains
    """

    def __init__(self, drained=True, signals=()):
        self.calls = []
        self._drained = drained
        self.signals = signals

    def start(self):
        self.calls.append("start")

    def ready_line(self):
        os.kill(os.getpid(), signal.SIGTERM)
        return {"ready": "entry"}

    def drain(self):
        self.calls.append("drain")
        for number in self.signals:
            os.kill(os.getpid(), number)
            eventlet.sleep(2 * program.SIGNAL_POLL_MS / 1_000)
        self.calls.append("drained")
        return self._drained

    def reload(self):
        pass

    def stop(self):
        self.calls.append("stop")


class RunApplicationTest(unittest.TestCase):
    """Start, drain and stop of a program, its exit code and the restored signal handlers."""

    def test_life_cycle(self):
        for app, expected in (
            (FakeApplication(), program.OK),
            (FakeApplication(drained=None), program.OK),
            (FakeApplication(drained=False), program.FAILED),
            # A second signal cut off the requests in work.
            (FakeApplication(signals=(signal.SIGTERM,)), program.OK),
            (FakeApplication(False, (signal.SIGINT, signal.SIGTERM)), program.FAILED),
            (FakeApplication(signals=(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)), program.OK),
        ):
            with self.subTest(app=vars(app)):
                output = io.StringIO()
                before = signal.getsignal(signal.SIGTERM)
                self.assertEqual(program.run_application(app, output), expected)
                self.assertEqual(app.calls, ["start", "drain", "drained", "stop"])
                self.assertEqual(output.getvalue(), '{"ready": "entry"}\n')
                self.assertIs(signal.getsignal(signal.SIGTERM), before)
