"""Tests of the load generator against scripted entries."""

import itertools
import json
import unittest

import eventlet
from eventlet import wsgi

from geraniumspool.errors import InvalidInput
from geraniumspool.load import CancelWave, Load, LoadOptions, run_load
from geraniumspool.workload import DECLARED_EXACT, MIXES, RandomMix, RunTimes, Widths
from tests.small import serve

MIX = RandomMix(Widths(1, 6), RunTimes(5, 5), DECLARED_EXACT, deadline_ms=400)
JOBS = 40


class ScriptedEntry:
    """WSGI application that answers jobs by calling a function and records requests.

    :ivar script: called with the ticket, the job and the number of jobs so far; returns status
        and document, or None as status to close the connection without an answer
    :ivar hold_ms: delay of every answer in milliseconds
    :ivar puts: submissions received, as ticket and job
    :ivar deleted: tickets of cancelled jobs
    :ivar most_held: most jobs that waited for their answer at the same time
    """

    numbers = itertools.count(1)

    def __init__(self, script, hold_ms=0):
        self.script = script
        self.hold_ms = hold_ms
        self.puts = []
        self.deleted = []
        self.held = 0
        self.most_held = 0

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        ticket = environ["PATH_INFO"].rpartition("/")[2]
        if environ["REQUEST_METHOD"] == "POST":
            count = json.loads(body)["count"]
            tickets = [f"t{next(self.numbers)}" for _ in range(count)]
            return self.answer(start_response, 201, {"tickets": tickets})
        if environ["REQUEST_METHOD"] == "DELETE":
            self.deleted.append(ticket)
            return self.answer(start_response, 200, {})
        job = json.loads(body)
        self.puts.append((ticket, job))
        self.held += 1
        self.most_held = max(self.most_held, self.held)
        eventlet.sleep(self.hold_ms / 1000)
        self.held -= 1
        status, document = self.script(ticket, job, len(self.puts))
        if status is None:
            wsgi.WSGI_LOCAL.already_handled = True
            return []
        return self.answer(start_response, status, document)

    def answer(self, start_response, status, document):
        start_response(f"{status} Scripted", [("Content-Type", "application/json")])
        return [json.dumps(document).encode()]


def complete(ticket, job, _number):
    """Answer with the results of all tasks, as the dispatcher does for a successful job."""
    results = [{"value": task["payload"]["value"]} for task in job["tasks"]]
    return 200, {"job": ticket, "outcome": "complete", "results": results}


def refuse(status, outcome, code):
    """Return a script that answers every job with an error."""
    return lambda *_: (status, {"code": code, "outcome": outcome})


def alter(change):
    """Return a script that answers with results after ``change`` has modified them."""

    def script(ticket, job, number):
        status, document = complete(ticket, job, number)
        change(document)
        return status, document

    return script


class LoadTest(unittest.TestCase):
    """The report of a load, for each kind of answer from the entries."""

    def load(self, *scripts, hold_ms=0, observer=None, **options):
        self.entries = [ScriptedEntry(script, hold_ms) for script in scripts]
        chosen = {"seconds": 0.2, "rate": JOBS / 0.2, "mix": MIX, **options}
        addresses = [serve(self, entry) for entry in self.entries]
        return run_load(addresses, "fitting", "opticians,guests", observer=observer, **chosen)

    def test_complete_jobs(self):
        """All statistics are filled in; jobs alternate between entries and use both teams."""
        report = self.load(complete, complete)
        self.assertGreater(report.jobs, 10)
        self.assertEqual((report.complete, report.wrong_answers), (report.jobs, 0))
        self.assertEqual(report.work_ms_complete, report.tasks * 5)
        self.assertGreater(report.response_over_ideal_p99, 0)
        self.assertIsNone(report.response_over_ideal_wide_p99)
        puts = [len(entry.puts) for entry in self.entries]
        self.assertLessEqual(abs(puts[0] - puts[1]), 1)
        jobs = [job for entry in self.entries for _, job in entry.puts]
        self.assertEqual({job["team"] for job in jobs}, {"opticians", "guests"})
        self.assertEqual(json.loads(json.dumps(report.as_json()))["jobs"], report.jobs)

    def test_failures_are_counted_and_not_retried(self):
        cases = [
            (503, "not_run", "job_refused_overload", "failed_not_run"),
            (429, "not_run", "job_refused_quota", "failed_not_run"),
            (502, "may_have_run", "task_outcome_unknown", "failed_may_have_run"),
            (400, None, "invalid_input", "rejected"),
        ]
        for status, outcome, code, field in cases:
            with self.subTest(code):
                seen = []
                report = self.load(refuse(status, outcome, code), observer=seen.append)
                self.assertEqual(getattr(report, field), report.jobs)
                self.assertEqual(report.refusals, {code: report.jobs})
                self.assertEqual(len(self.entries[0].puts), report.jobs)
                self.assertEqual({(row.code, row.ticket[0]) for row in seen}, {(code, "t")})
                self.assertEqual(report.refused_ms_p50 is not None, outcome == "not_run")

    def test_wrong_answers(self):
        changes = {
            "result of another task": lambda answer: answer["results"][0].update(value="x"),
            "missing result": lambda answer: answer["results"].pop(),
            "another job": lambda answer: answer.update(job="other"),
            "no results": lambda answer: answer.pop("results"),
        }
        for name, change in changes.items():
            with self.subTest(name):
                report = self.load(alter(change))
                self.assertEqual(report.wrong_answers, report.jobs)

    def test_jobs_with_lost_answers_are_resubmitted_through_another_entry(self):
        for resubmit_lost in (True, False):
            with self.subTest(resubmit_lost=resubmit_lost):
                report = self.load(lambda *_: (None, {}), complete, resubmit_lost=resubmit_lost)
                lost = 0 if resubmit_lost else (report.jobs + 1) // 2
                self.assertEqual(report.unanswered, lost)
                self.assertEqual(report.complete, report.jobs - lost)
                by_ticket = {}
                for entry in self.entries:
                    for ticket, job in entry.puts:
                        by_ticket.setdefault(ticket, []).append(job)
                for bodies in by_ticket.values():
                    self.assertTrue(all(body == bodies[0] for body in bodies))

    def test_double_submission(self):
        """Of two answers to a job, the better one counts.

        "complete" and "not run" for the same job contradict each other: that is a wrong answer.
        """
        cases = [
            (refuse(502, "may_have_run", "home_gone"), 0),
            (refuse(503, "not_run", "job_refused_overload"), 1),
        ]
        for script, wrong in cases:
            with self.subTest(wrong=wrong):
                report = self.load(script, complete, resubmit_share=1.0)
                self.assertEqual((report.complete, report.resubmitted), (report.jobs,) * 2)
                self.assertEqual(report.wrong_answers, wrong * report.jobs)

    def test_no_entry(self):
        """Jobs that could not be sent count as not run, and no exception is raised."""
        with eventlet.listen(("127.0.0.1", 0)) as closed:
            address = f"127.0.0.1:{closed.getsockname()[1]}"
        report = run_load([address], "fitting", "opticians", 0.1, 100, MIX)
        self.assertEqual(report.refusals, {"no_entry": report.jobs})
        self.assertEqual(report.failed_not_run, report.jobs)

    def test_cancel_wave(self):
        wave = CancelWave(150, 1.0)
        report = self.load(complete, hold_ms=200, cancel_waves=(wave,))
        self.assertGreater(report.cancelled, 5)
        self.assertEqual(len(self.entries[0].deleted), report.cancelled)

    def test_jobs_are_sent_on_time_however_slow_the_answers(self):
        """The load is an open loop: a slow entry receives the same jobs as a fast one."""
        plans = []
        for hold_ms in (0, 250):
            report = self.load(complete, hold_ms=hold_ms, seed=5)
            jobs = [json.dumps(job, sort_keys=True) for _, job in self.entries[0].puts]
            plans.append(sorted(jobs))
        self.assertEqual(*plans)
        self.assertGreaterEqual(self.entries[0].most_held, report.jobs / 2)

    def test_invalid_options(self):
        cases = [
            {"mix": "unknown", "rate": 1},
            {"entries": [], "rate": 1},
            {"rate": 1, "load_share": 0.5},
            {},
        ]
        for changes in cases:
            options = {"entries": ["h:1"], "service": "s", "team": "t", "seconds": 1, **changes}
            with self.subTest(changes), self.assertRaises(InvalidInput):
                Load(LoadOptions(**options))
        self.assertIn("brief", MIXES)
