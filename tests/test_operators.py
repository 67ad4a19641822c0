"""Tests of the operators' API, over HTTP and with the command line tool."""

import itertools
import json
import tempfile
import unittest
from unittest import mock

import eventlet

from geraniumspool import exit_codes
from geraniumspool.members import ROLE_AGENT, ROLE_ENTRY
from geraniumspool.messages import MEMBER_READY
from geraniumspool.revisions import Revisions
from tests.small import (
    SERVICE,
    TEAM,
    TOKEN,
    SmallSystem,
    SystemTest,
    direct_commands_to,
    make_change,
    make_task,
    run_command,
    wait_until,
)

TASK = make_task("good")
PATHS = (
    ("GET", "/v1/status"),
    ("GET", "/v1/roster"),
    ("GET", "/v1/config"),
    ("GET", "/v1/config/team/t"),
    ("PUT", "/v1/config/team/t"),
    ("GET", "/v1/config/team/t/history"),
    ("GET", "/v1/config-status"),
    ("POST", "/v1/drain"),
    ("GET", "/v1/decisions/d-1-1"),
    ("GET", "/v1/jobs/x"),
    ("DELETE", "/v1/jobs/x"),
    ("GET", "/v1/jobs/x/decisions"),
)


class OperatorsCase(SystemTest):
    """Base class: a system whose store can be made unavailable."""

    def store_down(self):
        """Make the store unavailable until the test ends."""
        self.system.store.store.down = True
        self.addCleanup(self.store_up)

    def store_up(self):
        """Make the store available again and wait until the entries watch it again."""
        self.system.store.store.down = False
        wait_until(lambda: all(entry.watcher.state == "watching" for entry in self.system.entries))


class HttpTest(OperatorsCase):
    """The operators' API over HTTP."""

    def test_token(self):
        """Without the correct token every path answers 401."""
        for token in (None, "", "wrong", TOKEN[:-1], TOKEN + "x", "é"):
            for method, path in PATHS:
                with self.subTest(token=token, method=method, path=path):
                    answered = self.system.call_operators(method, path, {}, token=token)
                    self.assert_problem(answered, 401, "unauthorized")

    def test_status(self):
        """The status covers the entry, the failure domains, the store and counters."""
        status = self.system.call_operators("GET", "/v1/status", entry=1).body
        self.assertEqual(status["entry"]["domain"], "south")
        self.assertEqual(status["entry"]["state"], MEMBER_READY)
        rows = {r["domain"]: (r["state"], r["agents"], r["ready"]) for r in status["domains"]}
        self.assertEqual(rows, dict.fromkeys(("north", "south"), ("reachable", 1, 1)))
        self.assertEqual(status["store"]["state"], "watching")
        self.assertGreater(status["counters"]["http_requests{status=200}"], -1)

    def test_status_of_a_silent_domain(self):
        """A silent domain is shown as unreachable, with its last reported values."""
        with mock.patch.object(Revisions, "_is_silent", lambda _, domain: domain == "north"):

            def find_rows():
                status = self.system.call_operators("GET", "/v1/status", entry=1).body
                return {(r["domain"], r["state"], r["ready"]) for r in status["domains"]}

            expected = {("north", "unreachable", 1), ("south", "reachable", 1)}
            wait_until(lambda: find_rows() == expected)
        wait_until(lambda: not self.system.entries[1].roster.unreachable)

    def test_roster(self):
        """Both entries list the same four processes in the same order."""
        one, two = (self.system.call_operators("GET", "/v1/roster", entry=n).body for n in (0, 1))
        rows = [(row["domain"], row["role"], row["state"]) for row in one["members"]]
        parts = itertools.product(("north", "south"), (ROLE_AGENT, ROLE_ENTRY), (MEMBER_READY,))
        self.assertEqual(rows, list(parts))
        addresses = [[row["address"] for row in answer["members"]] for answer in (one, two)]
        self.assertEqual(*addresses)

    def test_change_and_stale_revision(self):
        """Of two changes based on the same revision one wins; the other learns which."""
        url = "/v1/config/service/planing"
        first = self.system.call_operators("PUT", url, make_change(0, "max_tasks: 5\n", "a1"))
        self.assertEqual((first.status, first.body["status"]), (200, "accepted"))
        revision = first.body["revision"]
        again = self.system.call_operators(
            "PUT", url, make_change(0, "max_tasks: 5\n", "a1"), entry=1
        )
        self.assertEqual((again.status, again.body), (200, first.body))
        change = make_change(0, "max_tasks: 6\n", "a2", who="other")
        stale = self.system.call_operators("PUT", url, change, entry=1)
        self.assert_problem(stale, 409, "config_stale_revision")
        self.assertIn("tester", stale.body["detail"])
        self.assertIn(str(revision), stale.body["detail"])
        got = self.system.call_operators("GET", url, entry=1).body
        self.assertEqual(
            (got["revision"], got["body"], got["fresh"]), (revision, "max_tasks: 5\n", True)
        )
        second = self.system.call_operators(
            "PUT", url, make_change(revision, "max_tasks: 6\n", "a3")
        )
        newest = second.body["revision"]
        deleted = self.system.call_operators("PUT", url, make_change(newest, None, "a4"))
        self.assertEqual(deleted.status, 200)
        history = self.system.call_operators("GET", url + "/history", entry=1).body["changes"]
        self.assertEqual({row["change_id"] for row in history}, {"a1", "a3", "a4"})
        self.assertEqual({row["who"] for row in history}, {"tester"})
        bodies = {row["change_id"]: (row["before"], row["after"]) for row in history}
        self.assertEqual(bodies["a3"], ("max_tasks: 5\n", "max_tasks: 6\n"))
        self.assertEqual(bodies["a4"], ("max_tasks: 6\n", None))
        listed = self.system.call_operators("GET", "/v1/config").body["documents"]
        self.assertNotIn("service/planing", [row["key"] for row in listed])

    def test_change_takes_effect_everywhere(self):
        """A change comes into force at every agent, and the configuration status shows it."""
        change = make_change(0, "max_tasks: 3\n", "b1")
        revision = self.system.call_operators("PUT", "/v1/config/service/carving", change).body[
            "revision"
        ]
        for entry in (0, 1):

            def is_in_force(entry=entry):
                answer = self.system.call_operators("GET", "/v1/config-status", entry=entry).body
                rows = {row["domain"]: row["revision"] for row in answer["domains"]}
                return answer["newest"] >= revision and min(rows.values(), default=0) >= revision

            wait_until(is_in_force)
        for agent in self.system.agents:
            self.assertEqual(agent.configuration.service("carving").max_tasks, 3)

    def test_invalid_documents(self):
        """An invalid document yields all findings with line numbers and is not written."""
        body = "max_tasks: 0\nodd: 1\nrun_limit_ms: soon\n"
        url = "/v1/config/service/turning"
        answered = self.system.call_operators("PUT", url, make_change(0, body, "c1"))
        self.assert_problem(answered, 400, "invalid_input")
        found = [(row["place"], row["line"], row["path"]) for row in answered.body["findings"]]
        key = "service/turning"
        self.assertEqual(found, [(key, 1, "max_tasks"), (key, 2, "odd"), (key, 3, "run_limit_ms")])
        self.assert_problem(self.system.call_operators("GET", url), 404, "not_found")

    def test_invalid_requests(self):
        """Invalid requests get a problem with a stable code."""
        url = "/v1/config/team/t"
        for method, path, body, status, code in (
            ("PUT", url, b"{", 400, "invalid_input"),
            ("PUT", url, {"body": ""}, 400, "invalid_input"),
            ("PUT", url, make_change("0", "", "d1"), 400, "invalid_input"),
            ("PUT", url, make_change(0, "weight: 1\n", "d1", more=1), 400, "invalid_input"),
            ("PUT", url, make_change(0, "weight: 1\n", ""), 400, "invalid_input"),
            ("PUT", url, make_change(0, "weight: 1\n", "d1", who=""), 400, "invalid_input"),
            ("PUT", url, make_change(0, "weight: 1\n", "d1", why=""), 400, "invalid_input"),
            ("PUT", url, make_change(-1, "weight: 1\n", "d1"), 409, "config_stale_revision"),
            ("PUT", "/v1/config/nokind/t", make_change(0, "a: 1", "d1"), 400, "invalid_input"),
            ("GET", "/v1/config/nokind/t", None, 400, "invalid_input"),
            ("GET", "/v1/config/nokind/t/history", None, 400, "invalid_input"),
            ("GET", "/v1/config/team/unknown", None, 404, "not_found"),
            ("POST", "/v1/drain", {"address": "tcp://h:1"}, 400, "invalid_input"),
            ("POST", "/v1/drain", b"", 400, "invalid_input"),
            ("GET", "/v1/decisions/none", None, 404, "not_found"),
            ("GET", "/v1/decisions/d-1-1", None, 404, "not_found"),
            ("GET", "/v1/nothing", None, 404, "not_found"),
            ("POST", "/v1/status", None, 405, "method_not_allowed"),
            ("GET", "/v1/jobs/none", None, 400, "ticket_malformed"),
        ):
            with self.subTest(method=method, path=path, body=body):
                self.assert_problem(self.system.call_operators(method, path, body), status, code)
        drain = {"address": "tcp://127.0.0.1:1", "who": "tester", "why": "a test"}
        answered = self.system.call_operators("POST", "/v1/drain", drain)
        self.assert_problem(answered, 404, "not_found")

    def test_store_down(self):
        """Without the store the outcome is unknown, the old document stays; retrying is safe."""
        url = "/v1/config/team/joiners"
        change = make_change(0, "weight: 2\n", "e1")
        revision = self.system.call_operators("PUT", url, change).body["revision"]
        self.store_down()
        change = make_change(revision, "weight: 3\n", "e2")
        answered = self.system.call_operators("PUT", url, change)
        self.assert_problem(answered, 503, "config_change_unknown")
        self.assertIn("Retry-After", answered.headers)
        self.assertIn("e2", answered.body["detail"])
        got = self.system.call_operators("GET", url).body
        self.assertEqual((got["body"], got["fresh"]), ("weight: 2\n", False))
        self.store_up()
        again = self.system.call_operators("PUT", url, change)
        self.assertEqual(again.status, 200)
        self.assertGreater(again.body["revision"], revision)

    def test_lost_answer(self):
        """A change for which the store's answer is lost is accepted exactly once."""
        self.system.store.store.lose_answers = 1
        url = "/v1/config/team/turners"
        answered = self.system.call_operators("PUT", url, make_change(0, "weight: 2\n", "f1"))
        self.assertEqual((answered.status, answered.body.get("status")), (200, "accepted"))
        history = self.system.call_operators("GET", url + "/history").body["changes"]
        self.assertEqual([row["change_id"] for row in history], ["f1"])

    def test_decisions_by_id(self):
        """Any entry returns the decisions of any process by id."""
        ticket = self.system.ticket()
        self.system.submit(ticket, [TASK])
        rows = self.system.call_operators("GET", f"/v1/jobs/{ticket}/decisions").body["decisions"]
        self.assertEqual(len({row["id"].split("-")[1] for row in rows}), 2)
        for row in rows:
            for entry in (0, 1):
                with self.subTest(code=row["code"], entry=entry):
                    answered = self.system.call_operators(
                        "GET", f"/v1/decisions/{row['id']}", entry=entry
                    )
                    self.assertEqual(answered.body, {"decisions": [row]})
            gone = row["id"].rpartition("-")[0] + "-999999999"
            self.assert_problem(
                self.system.call_operators("GET", f"/v1/decisions/{gone}"), 404, "not_found"
            )

    def test_decision_id_in_a_refusal(self):
        """The decision id in a problem can be looked up."""
        ticket = self.system.ticket()
        self.system.call("DELETE", f"/v1/jobs/{ticket}")
        named = self.system.submit(ticket, [TASK]).body["decision"]
        answered = self.system.call_operators("GET", f"/v1/decisions/{named}")
        codes = [row["code"] for row in answered.body.get("decisions", [])]
        self.assertIn("job_cancelled", codes, answered)

    def test_jobs_for_operators(self):
        """Operators can query and cancel jobs with their token."""
        ticket = self.system.ticket()
        caller = eventlet.spawn(self.system.submit, ticket, [make_task(1, 60_000)])
        wait_until(lambda: self.system.running() == 1)
        url = f"/v1/jobs/{ticket}"
        self.assertEqual(self.system.call_operators("GET", url, entry=1).body["state"], "running")
        answered = self.system.call_operators("DELETE", url, entry=1)
        self.assertEqual(answered.body["outcome"], "may_have_run")
        self.assertEqual(caller.wait().body["code"], "job_cancelled")


class DrainTest(unittest.TestCase):
    """Agents and entries drain on an operator's request."""

    def setUp(self):
        """Start a separate system, since the test stops its processes."""
        self.system = SmallSystem()
        self.addCleanup(self.system.stop)

    def test_drain_of_an_agent(self):
        """After an agent left, its archive answers for its jobs and nothing runs again."""
        done, unused = self.system.ticket(0), self.system.ticket(0)
        results = self.system.submit(done, [TASK]).body["results"]
        address = self.system.agents[0].ready_line()["inbox"]
        order = {"address": address, "who": "tester", "why": "new kernel"}
        answered = self.system.call_operators("POST", "/v1/drain", order, entry=1)
        self.assertEqual((answered.status, answered.body["state"]), (202, "asked"))
        self.system.drain_agent(0)
        starts = self.system.starts()
        for entry in (0, 1):
            kept = self.system.call("GET", f"/v1/jobs/{done}", entry=entry)
            self.assertEqual(kept.body.get("results"), results, kept)
            again = self.system.submit(done, [TASK], entry)
            self.assertEqual(again.body.get("results"), results, again)
            other = self.system.submit(done, [make_task("other")], entry)
            self.assertEqual((other.status, other.body["code"]), (409, "job_conflict"))
            never = self.system.submit(unused, [TASK], entry)
            self.assertEqual(never.body["outcome"], "not_run", never)
            self.assertEqual(never.body["code"], "job_never_submitted")
            reason = self.system.call_operators(
                "GET", f"/v1/decisions/{never.body.get('decision')}"
            )
            self.assertEqual(reason.status, 200, never)
        self.assertEqual(self.system.starts(), starts)
        fresh = self.system.call("POST", "/v1/tickets", {"service": SERVICE, "team": TEAM})
        after = self.system.submit(fresh.body["tickets"][0], [TASK])
        self.assertEqual(after.status, 200)
        rows = self.system.call_operators("GET", "/v1/status").body["domains"]
        self.assertEqual(sum(row["agents"] for row in rows), 1)

    def test_drain_of_entries(self):
        """An entry exits on a drain request sent to itself or to another entry."""
        for through, target in ((0, 1), (0, 0)):
            address = self.system.entries[target].ready_line()["inbox"]
            order = {"address": address, "who": "tester", "why": "a test"}
            self.system.call_operators("POST", "/v1/drain", order, entry=through)
            wait_until(lambda target=target: self.system.entries[target].exit_requested)


class CommandsTest(OperatorsCase):
    """The command line tool for operators, against a running entry."""

    def setUp(self):
        """Configure the commands to use the first entry."""
        address = self.system.entries[0].ready_line()["operators"]
        direct_commands_to(self, address, TOKEN)

    def run_command(self, *argv, expected=exit_codes.EXIT_OK):
        """Run a command with ``--json``; return its output, or its errors if it has none."""
        code, output, errors = run_command(*argv, "--json")
        self.assertEqual(code, expected, (argv, errors))
        if output:
            return json.loads(output)
        self.assertNotEqual(expected, exit_codes.EXIT_OK)
        return errors

    def apply(self, key, text, revision, change_id, expected=exit_codes.EXIT_OK):
        """Run ``config apply`` with a document's text and return the output."""
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write(text)
            file.flush()
            flags = ("--who", "tester", "--why", "a test", "--change-id", change_id)
            revised = ("--expected-revision", str(revision))
            return self.run_command(
                "config", "apply", key, file.name, *revised, *flags, expected=expected
            )

    def test_status_and_roster(self):
        """The commands ``status`` and ``roster`` print the API's answers."""
        status = self.run_command("status")
        self.assertEqual(status["entry"]["domain"], "north")
        roster = self.run_command("roster")
        self.assertEqual(roster, self.system.call_operators("GET", "/v1/roster").body)
        self.run_command("status", "--token", "wrong", expected=exit_codes.EXIT_UNAUTHORIZED)

    def test_config(self):
        """The ``config`` commands work, and report stale and invalid changes."""
        key = "service/weaving"
        revision = self.apply(key, "max_tasks: 4\n", 0, "g1")["revision"]
        self.assertEqual(self.run_command("config", "get", key)["revision"], revision)
        listed = self.run_command("config", "list")["documents"]
        self.assertIn(key, [row["key"] for row in listed])
        history = self.run_command("config", "history", key)["changes"]
        self.assertEqual([row["change_id"] for row in history], ["g1"])
        self.assertGreaterEqual(self.run_command("config", "status")["newest"], revision)
        stale = self.apply(key, "max_tasks: 5\n", 0, "g2", exit_codes.EXIT_CONFLICT)
        self.assertIn("config_stale_revision", stale)
        invalid = self.apply(key, "max_tasks: x\nodd: 1\n", revision, "g3", exit_codes.EXIT_INVALID)
        self.assertIn(f"{key}:1: max_tasks", invalid)
        self.assertIn(f"{key}:2: odd", invalid)
        self.run_command("config", "get", "service/none", expected=exit_codes.EXIT_NOT_FOUND)

    def test_config_without_store(self):
        """Without the store the exit code of a change says that its outcome is unknown."""
        self.store_down()
        unknown = self.apply("team/weavers", "weight: 2\n", 0, "h1", exit_codes.EXIT_UNKNOWN)
        self.assertIn("config_change_unknown", unknown)

    def test_jobs(self):
        """The commands ``job``, ``why`` and ``cancel`` show and cancel jobs."""
        ticket = self.system.ticket()
        self.run_command("job", ticket, expected=exit_codes.EXIT_NOT_FOUND)
        self.system.submit(ticket, [TASK])
        self.assertEqual(self.run_command("job", ticket)["outcome"], "complete")
        rows = self.run_command("why", ticket)["decisions"]
        self.assertEqual(rows[-1]["code"], "job_complete")
        one = self.run_command("why", rows[0]["id"])["decisions"]
        self.assertEqual(one, rows[:1])
        self.run_command("why", "d-1-1", expected=exit_codes.EXIT_NOT_FOUND)
        unused = self.system.ticket()
        self.assertEqual(self.run_command("cancel", unused)["outcome"], "not_run")
        self.run_command("job", "A" * 60, expected=exit_codes.EXIT_INVALID)

    def test_drain(self):
        """A drain of an unknown address is refused; a known process is asked to drain."""
        flags = ("--who", "tester", "--why", "a test")
        self.run_command("drain", "tcp://127.0.0.1:1", *flags, expected=exit_codes.EXIT_NOT_FOUND)
        entry = self.system.entries[1]
        answer = self.run_command("drain", entry.ready_line()["inbox"], *flags)
        self.assertEqual(answer["state"], "asked")
        wait_until(lambda: entry.exit_requested)
