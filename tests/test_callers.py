"""Tests of the callers' HTTP API, against a running system of two entries and two agents."""

import eventlet

from geraniumspool.binding import MAX_KEY_AGE_MS, MAX_KEY_AHEAD_MS
from geraniumspool.idempotency import make_key, parse_key
from geraniumspool.messages import Peer
from geraniumspool.ticket import Keyring, Ticket, decode_unverified
from tests.small import (
    ALL_SLOTS,
    SERVICE,
    TEAM,
    TICKET_KEY,
    SmallSystem,
    SystemTest,
    make_change,
    make_job,
    make_task,
    wait_until,
)

MAX_BODY_BYTES = 64 << 10
TASK = make_task("good")
ORDER = {"service": SERVICE, "team": TEAM}


def values(answered):
    """Return the values of all results in an answer."""
    return [row["value"] for row in answered.body["results"]]


class CallersCase(SystemTest):
    """Base class: a system with a low limit on the size of request bodies."""

    SETTINGS = {"max_body_bytes": MAX_BODY_BYTES}


class BadInputTest(CallersCase):
    """Invalid requests get a problem with a stable code and affect no other job."""

    def bad_requests(self):
        """Return a name, a request, the expected status and code, and the path of a finding."""
        ticket = self.system.ticket()
        contents = decode_unverified(ticket)
        forged = Keyring(["another-key-than-theirs-01"]).sign(contents)
        swapped = ticket[:30] + ("A" if ticket[30] != "A" else "B") + ticket[31:]
        other = Keyring([TICKET_KEY]).issue(contents.home, "sawing", contents.issued_ms)
        url, job = f"/v1/jobs/{ticket}", make_job([TASK])
        invalid, oversize = (400, "invalid_input"), b" " * (MAX_BODY_BYTES + 1)

        def put(name, body, path):
            return name, ("PUT", url, body), *invalid, path

        return [
            ("malformed", ("PUT", "/v1/jobs/no-ticket", job), 400, "ticket_malformed", None),
            ("not text", ("GET", "/v1/jobs/%ff%00", None), 400, "ticket_malformed", None),
            ("long", ("GET", "/v1/jobs/" + "A" * 600, None), 400, "ticket_malformed", None),
            ("forged", ("PUT", f"/v1/jobs/{forged}", job), 403, "ticket_forged", None),
            ("swapped", ("DELETE", f"/v1/jobs/{swapped}", None), 403, "ticket_forged", None),
            ("foreign", ("PUT", f"/v1/jobs/{other}", job), 409, "ticket_foreign_service", None),
            put("no task", make_job([]), "tasks"),
            put("341 tasks", make_job([TASK] * 341), "tasks"),
            put("wrong JSON", b'{"service": ', ""),
            put("no object", b"[]", ""),
            put("no body", b"", ""),
            put("unknown field", make_job([TASK], colour="red"), "colour"),
            put("unknown in task", make_job([TASK | {"x": 1}]), "tasks[0].x"),
            put("negative deadline", make_job([TASK], deadline_ms=-1), "deadline_ms"),
            put("huge deadline", make_job([TASK], deadline_ms=600_001), "deadline_ms"),
            put("deadline text", make_job([TASK], deadline_ms="1"), "deadline_ms"),
            put("service number", make_job([TASK], service=1), "service"),
            put("empty team", make_job([TASK], team=""), "team"),
            put("team not UTF-8", b'{"service":"s","team":"\xff","tasks":[{"payload":1}]}', ""),
            ("oversize", ("PUT", url, oversize), 413, "payload_too_large", None),
            ("count", ("POST", "/v1/tickets", ORDER | {"count": 0}), *invalid, "count"),
            ("unknown path", ("GET", "/v1/nothing", None), 404, "not_found", None),
            ("operators' path", ("GET", "/v1/status", None), 404, "not_found", None),
            ("wrong method", ("PATCH", url, job), 405, "method_not_allowed", None),
            ("GET on tickets", ("GET", "/v1/tickets", None), 405, "method_not_allowed", None),
        ]

    def test_bad_input(self):
        """Each request is refused with its code; a job running running_job gets all its results."""
        ticket = self.system.ticket()
        tasks = [make_task(number, 1500) for number in range(3)]
        running_job = eventlet.spawn(self.system.submit, ticket, tasks)
        wait_until(lambda: self.system.running() == 3)
        for name, request, status, code, path in self.bad_requests():
            with self.subTest(name=name):
                answered = self.system.call(*request)
                self.assert_problem(answered, status, code)
                if path is not None:
                    paths = [finding["path"] for finding in answered.body["findings"]]
                    self.assertIn(path, paths)
        self.assertEqual(values(running_job.wait()), [0, 1, 2])
        before = self.system.starts()
        good = self.system.submit(self.system.ticket(), [TASK])
        self.assertEqual((good.status, values(good)), (200, ["good"]))
        self.assertEqual(self.system.starts(), before + 1)

    def test_payload_is_checked_text(self):
        """A payload with invalid UTF-8 is refused, since it is not JSON."""
        body = b'{"service":"fitting","team":"t","tasks":[{"payload":{"value":"\xff"}}]}'
        self.assert_problem(self.system.call("POST", "/v1/jobs", body), 400, "invalid_input")

    def test_all_findings_at_once(self):
        """One answer lists the findings of all invalid fields."""
        job = {"team": 1, "deadline_ms": -1, "odd": 0, "tasks": [{}, {"payload": 1, "size": -1}]}
        answered = self.system.call("POST", "/v1/jobs", job)
        self.assert_problem(answered, 400, "invalid_input")
        paths = {finding["path"] for finding in answered.body["findings"]}
        expected = {"service", "team", "deadline_ms", "odd", "tasks[0].payload", "tasks[1].size"}
        self.assertEqual(paths, expected)

    def test_wrong_method_names_the_right_ones(self):
        """The Allow header lists the methods that the path supports."""
        answered = self.system.call("PATCH", f"/v1/jobs/{self.system.ticket()}")
        self.assertEqual(answered.headers["Allow"], "DELETE, GET, PUT")

    def test_other_body_under_a_ticket(self):
        """A different job under a used ticket gets 409, during and after the first job."""
        ticket = self.system.ticket()
        first = eventlet.spawn(self.system.submit, ticket, [make_task("first", 800)])
        wait_until(lambda: self.system.running() == 1)
        other = [make_task("other")]
        for entry in (0, 1):
            self.assert_problem(self.system.submit(ticket, other, entry), 409, "job_conflict")
        self.assertEqual(values(first.wait()), ["first"])
        self.assert_problem(self.system.submit(ticket, other), 409, "job_conflict")
        kept = self.system.call("GET", f"/v1/jobs/{ticket}")
        self.assertEqual(values(kept), ["first"])


class JobsTest(CallersCase):
    """Submission, resubmission and cancellation of jobs as callers see them."""

    def test_resubmission_joins(self):
        """A resubmission joins the running job; later ones get the recorded answer."""
        ticket = self.system.ticket()
        tasks = [make_task(number, 500) for number in range(4)]
        before = self.system.starts()
        one = eventlet.spawn(self.system.submit, ticket, tasks)
        wait_until(lambda: self.system.running() > 0)
        state = self.system.call("GET", f"/v1/jobs/{ticket}", entry=1)
        self.assertEqual((state.status, state.body["state"]), (200, "running"))
        two = self.system.submit(ticket, tasks, entry=1, deadline_ms=9_000)
        results = one.wait().body["results"]
        self.assertEqual([row["value"] for row in results], [0, 1, 2, 3])
        for answered in (two, self.system.submit(ticket, tasks)):
            self.assertEqual(answered.body["results"], results)
        for entry in (0, 1):
            kept = self.system.call("GET", f"/v1/jobs/{ticket}", entry=entry)
            self.assertEqual((kept.body["outcome"], kept.body["results"]), ("complete", results))
        self.assertEqual(self.system.starts(), before + 4)

    def test_unknown_state_and_next_ticket(self):
        """A job with an unused ticket is unknown; each answer contains the next ticket."""
        ticket = self.system.ticket()
        state = self.system.call("GET", f"/v1/jobs/{ticket}")
        self.assertEqual(state.body, {"job": ticket, "state": "unknown"})
        answered = self.system.submit(ticket, [TASK])
        after = answered.body["next_ticket"]
        self.assertNotEqual(after, ticket)
        self.assertEqual(self.system.submit(after, [TASK]).body["job"], after)

    def test_tickets(self):
        """As many distinct tickets are issued as requested; none if no agent serves the service."""
        answered = self.system.call("POST", "/v1/tickets", ORDER | {"count": 100})
        self.assertEqual((answered.status, len(set(answered.body["tickets"]))), (201, 100))
        answered = self.system.call("POST", "/v1/tickets", ORDER | {"service": "sawing"})
        self.assert_problem(answered, 503, "no_home")
        self.assertEqual(answered.headers["Retry-After"], "1")

    def test_cancel_before_submission(self):
        """A ticket cancelled before its submission never runs."""
        ticket = self.system.ticket()
        before = self.system.starts()
        for answered in (
            self.system.call("DELETE", f"/v1/jobs/{ticket}"),
            self.system.submit(ticket, [TASK], entry=1),
            self.system.call("GET", f"/v1/jobs/{ticket}"),
        ):
            self.assert_problem(answered, 409, "job_cancelled", "not_run")
        self.assertEqual(self.system.starts(), before)

    def test_cancel_queued(self):
        """No task of a cancelled job that was queued ever starts."""
        blocker = self.system.occupy_slots()
        before = self.system.starts()
        ticket = self.system.ticket()
        caller = eventlet.spawn(self.system.submit, ticket, [TASK], deadline_ms=500_000)
        url = f"/v1/jobs/{ticket}"
        wait_until(lambda: self.system.call("GET", url).body.get("state") == "running")
        self.assert_problem(
            self.system.call("DELETE", url, entry=1), 409, "job_cancelled", "not_run"
        )
        self.assert_problem(caller.wait(), 409, "job_cancelled", "not_run")
        self.system.free_slots(blocker)
        self.assertEqual(values(self.system.submit(self.system.ticket(), [TASK])), ["good"])
        self.assertEqual(self.system.starts(), before + 1)

    def test_cancel_running(self):
        """A job cancelled while running may have run; all callers get that outcome."""
        ticket = self.system.ticket()
        caller = eventlet.spawn(self.system.submit, ticket, [make_task(1, 60_000)], 0)
        wait_until(lambda: self.system.running() == 1)
        url = f"/v1/jobs/{ticket}"
        for answered in (
            self.system.call("DELETE", url, entry=1),
            caller.wait(),
            self.system.call("DELETE", url),
            self.system.call("GET", url),
        ):
            self.assert_problem(answered, 409, "job_cancelled", "may_have_run")
        wait_until(lambda: self.system.running() == 0)

    def test_cancel_complete(self):
        """Cancelling a complete job has no effect and returns its results."""
        ticket = self.system.ticket()
        self.system.submit(ticket, [TASK])
        answered = self.system.call("DELETE", f"/v1/jobs/{ticket}")
        self.assertEqual((answered.status, values(answered)), (200, ["good"]))

    def test_failed_task(self):
        """An error of a minion fails the job with the outcome "may have run"."""
        self.system.minions[0].set_faults(self.system.minions[0].faults._replace(fail_all=True))
        self.system.minions[1].set_faults(self.system.minions[1].faults._replace(fail_all=True))
        ticket = self.system.ticket()
        answered = self.system.submit(ticket, [TASK])
        for minion in self.system.minions:
            minion.set_faults(minion.faults._replace(fail_all=False))
        self.assert_problem(answered, 502, "task_failed", "may_have_run")
        self.assert_problem(self.system.submit(ticket, [TASK]), 502, "task_failed", "may_have_run")

    def test_post_without_ticket(self):
        """Each POST without a key is a separate job, whose ticket is in the answer."""
        one, two = (self.system.call("POST", "/v1/jobs", make_job([TASK])) for _ in range(2))
        self.assertEqual((values(one), values(two)), (["good"], ["good"]))
        self.assertNotEqual(one.body["job"], two.body["job"])
        again = self.system.submit(one.body["job"], [TASK], entry=1)
        self.assertEqual(again.body["results"], one.body["results"])
        answered = self.system.call("POST", "/v1/jobs", make_job([TASK], service="sawing"))
        self.assert_problem(answered, 503, "no_home", "not_run")

    def key(self, age_ms: float = 0.0) -> str:
        """Return an idempotency key whose timestamp is ``age_ms`` in the past."""
        return make_key(int(self.system.entries[0]._clock.wall_ms() - age_ms))

    def test_post_with_key(self):
        """Requests of one team with the same key are the same job, at any entry."""
        before = self.system.starts()
        job, key = make_job([TASK]), self.key()
        one = self.system.call("POST", "/v1/jobs", job, Idempotency_Key=key)
        two = self.system.call("POST", "/v1/jobs", job, entry=1, Idempotency_Key=key)
        self.assertEqual(one.body["job"], two.body["job"])
        self.assertEqual(one.body["results"], two.body["results"])
        self.assertEqual(self.system.starts(), before + 1)
        changed = make_job([make_task("other")])
        answered = self.system.call("POST", "/v1/jobs", changed, Idempotency_Key=key)
        self.assert_problem(answered, 409, "job_conflict")
        foreign = job | {"team": "archers"}
        answered = self.system.call("POST", "/v1/jobs", foreign, Idempotency_Key=key)
        self.assertNotEqual(answered.body["job"], one.body["job"])

    def test_key_bound_to_another_service(self):
        """A key bound to a ticket of one service runs no job of another service."""
        entry = self.system.entries[0]
        home = Peer(*self.system.agents[0].describe()[:2])
        text = Keyring([TICKET_KEY]).sign(Ticket(home, "sawing", entry._clock.wall_ms(), 7))
        key = self.key()
        entry.callers._bindings.bind(TEAM, parse_key(key), text)
        before = self.system.starts()
        answered = self.system.call("POST", "/v1/jobs", make_job([TASK]), Idempotency_Key=key)
        self.assert_problem(answered, 409, "ticket_foreign_service")
        self.assertEqual(self.system.starts(), before)

    def test_key_refused(self):
        """A key without a valid timestamp is refused before anything runs."""
        before = self.system.starts()
        for key, *expected in (
            ("k" * 256, 400, "invalid_input"),
            ("order-17", 400, "invalid_input"),
            (self.key(-MAX_KEY_AHEAD_MS - 60_000), 400, "invalid_input"),
            (self.key(MAX_KEY_AGE_MS), 409, "idempotency_key_expired", "may_have_run"),
        ):
            with self.subTest(key=key):
                answered = self.system.call(
                    "POST", "/v1/jobs", make_job([TASK]), Idempotency_Key=key
                )
                self.assert_problem(answered, *expected)
        self.assertEqual(self.system.starts(), before)

    def test_post_with_key_and_no_store(self):
        """Without the store, jobs with a key are refused and jobs with a ticket run."""
        self.system.store.store.down = True
        self.addCleanup(setattr, self.system.store.store, "down", False)
        before = self.system.starts()
        job, key = make_job([TASK]), self.key()
        answered = self.system.call("POST", "/v1/jobs", job, Idempotency_Key=key)
        self.assert_problem(answered, 503, "binding_unavailable", "may_have_run")
        self.assertIn("Retry-After", answered.headers)
        self.assertEqual(self.system.starts(), before)
        self.assertEqual(values(self.system.submit(self.system.ticket(), [TASK])), ["good"])
        self.system.store.store.down = False
        answered = self.system.call("POST", "/v1/jobs", job, Idempotency_Key=key)
        self.assertEqual(values(answered), ["good"])

    def test_decisions(self):
        """The decisions on a job are listed in order; the entry's own only at that entry."""
        ticket = self.system.ticket()
        self.system.submit(ticket, [TASK])
        answered = self.system.call("GET", f"/v1/jobs/{ticket}/decisions")
        codes = [row["code"] for row in answered.body["decisions"]]
        self.assertEqual(codes, ["home_chosen", "job_accepted", "task_placed", "job_complete"])
        elsewhere = self.system.call("GET", f"/v1/jobs/{ticket}/decisions", entry=1)
        self.assertEqual(elsewhere.body["decisions"], answered.body["decisions"][1:])


class RefusalsTest(CallersCase):
    """Refusals state that the job did not run and when a retry makes sense."""

    def assert_refused(self, answered, status, code):
        """Check status, code, retry delay and next ticket of a refusal."""
        self.assert_problem(answered, status, code, "not_run")
        self.assertGreater(answered.body["retry_after_ms"], 0)
        self.assertGreaterEqual(int(answered.headers["Retry-After"]), 1)
        self.assertIn("next_ticket", answered.body)

    def check_refused_for_deadline(self, tasks):
        """Check that a job that cannot meet its deadline is refused at once and permanently."""
        blocker = self.system.occupy_slots(10 * ALL_SLOTS)
        before = self.system.starts()
        ticket = self.system.ticket()
        answered = self.system.submit(ticket, tasks, deadline_ms=5)
        self.system.free_slots(blocker)
        self.assert_refused(answered, 503, "job_refused_deadline")
        again = self.system.submit(ticket, tasks)
        self.assert_refused(again, 503, "job_refused_deadline")
        self.assertEqual(self.system.starts(), before)
        after = self.system.submit(answered.body["next_ticket"], [TASK])
        self.assertEqual(values(after), ["good"])

    def test_deadline(self):
        """A narrow job is refused while other jobs occupy every slot."""
        self.check_refused_for_deadline([TASK])

    def test_deadline_of_a_wide_job(self):
        """A wide job is refused, since it would wait for all tasks queued before it."""
        self.check_refused_for_deadline([TASK] * (ALL_SLOTS + 1))

    def test_quota(self):
        """New jobs of a team over its quota are refused, but not known jobs or other teams'."""
        change = make_change(0, "running_tasks: 2\n", "q1")
        ticket = self.system.ticket()
        tasks = [make_task(number) for number in range(3)]
        self.assertEqual(len(values(self.system.submit(ticket, tasks, team="tight"))), 3)
        self.assertEqual(
            self.system.call_operators("PUT", "/v1/config/team/tight", change).status, 200
        )
        refused = self.system.ticket()
        answers = [self.system.submit(refused, tasks, team="tight") for _ in range(2)]
        answers.append(self.system.call("POST", "/v1/jobs", make_job(tasks, team="tight")))
        for answered in answers:
            self.assert_problem(answered, 429, "job_refused_quota", "not_run")
            self.assertNotIn("retry_after_ms", answered.body, "no later try can help")
        self.assertEqual(len(values(self.system.submit(ticket, tasks, team="tight"))), 3)
        self.assertEqual(len(values(self.system.submit(self.system.ticket(), tasks))), 3)
        for _ in range(3):
            fits = self.system.submit(self.system.ticket(), tasks[:2], team="tight")
            self.assertEqual(len(values(fits)), 2)

    def test_other_body_over_quota(self):
        """A different job under a used ticket gets 409, also if it exceeds the quota."""
        ticket = self.system.ticket()
        first = self.system.submit(ticket, [make_task("first")], team="narrow")
        self.assertEqual(values(first), ["first"])
        change = make_change(0, "running_tasks: 1\n", "n1")
        self.assertEqual(
            self.system.call_operators("PUT", "/v1/config/team/narrow", change).status, 200
        )
        other = [make_task("other"), make_task("other")]
        self.assert_problem(self.system.submit(ticket, other, team="narrow"), 409, "job_conflict")

    def test_no_capacity(self):
        """A task larger than the maximum size of every minion is refused."""
        for agent, minion in zip(self.system.agents, self.system.minions, strict=True):
            minion._max_size = 10
            minion.announce(agent.minion_url)
        rosters = [process.roster for process in [*self.system.entries, *self.system.agents]]
        wait_until(
            lambda: all(row.max_size == 10 for roster in rosters for row in roster.agents(SERVICE))
        )
        answered = self.system.submit(self.system.ticket(), [TASK | {"size": 11}])
        self.assert_problem(answered, 422, "job_refused_no_capacity", "not_run")
        fits = self.system.submit(self.system.ticket(), [TASK | {"size": 10}])
        self.assertEqual(values(fits), ["good"])


class LimitsTest(SystemTest):
    """Entries with a limit of one running job and a short default deadline."""

    SETTINGS = {"max_running_jobs": 1, "default_deadline_ms": 300}

    def test_overload(self):
        """Above the limit new jobs are refused permanently; the running job can still be joined."""
        wait_until(lambda: self.system.running() == 0)
        ticket = self.system.ticket()
        tasks = [make_task("first", 1000)]
        first = eventlet.spawn(self.system.submit, ticket, tasks)
        wait_until(lambda: self.system.running() == 1)
        refused = self.system.ticket()
        for answered in (
            self.system.submit(refused, [TASK]),
            self.system.submit(refused, [TASK], entry=1),
            self.system.call("POST", "/v1/jobs", make_job([TASK])),
        ):
            self.assert_problem(answered, 503, "job_refused_overload", "not_run")
            self.assertGreaterEqual(int(answered.headers["Retry-After"]), 1)
        self.assert_problem(self.system.submit(ticket, [TASK]), 409, "job_conflict")
        joined = self.system.submit(ticket, tasks)
        self.assertEqual((values(joined), values(first.wait())), (["first"], ["first"]))

    def test_default_deadline(self):
        """A job without a deadline gets the one in the entry's settings."""
        job = make_job([make_task("late", 3000)])
        del job["deadline_ms"]
        answered = self.system.call("POST", "/v1/jobs", job)
        wait_until(lambda: self.system.running() == 0)
        self.assert_problem(answered, 502, "job_expired", "may_have_run")


class ReadinessTest(CallersCase):
    """Health, readiness and metrics."""

    def test_health_ready_metrics(self):
        """All three need no token; the metrics count requests."""
        self.assertEqual(self.system.call("GET", "/healthz").body, {"state": "alive"})
        self.assertEqual(self.system.call("GET", "/readyz").body, {"state": "ready"})
        metrics = self.system.call("GET", "/metrics")
        self.assertEqual(metrics.status, 200)
        self.assertTrue(metrics.headers["Content-Type"].startswith("text/plain"))
        self.assertIn(
            b'http_requests_total{domain="north",role="entry",status="200"}', metrics.body
        )

    def test_leaving_entry(self):
        """A draining entry finishes its running job."""
        system = SmallSystem()
        self.addCleanup(system.stop)
        ticket = system.ticket()
        running = eventlet.spawn(system.submit, ticket, [make_task("kept", 800)])
        wait_until(lambda: system.running() == 1)
        self.assertTrue(system.entries[0].drain())
        self.assertEqual(values(running.wait()), ["kept"])
        self.assertEqual(values(system.call("GET", f"/v1/jobs/{ticket}", entry=1)), ["kept"])
