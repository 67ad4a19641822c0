"""Tests of the demo, in runs of a few seconds."""

import contextlib
import io
import json
import os
import signal
import unittest
from collections import Counter

from geraniumspool.demo import FAILED, OK, DemoReport, count_false_not_run, run_demo
from geraniumspool.messages import Peer
from geraniumspool.standin_minion import StandinMinion
from geraniumspool.ticket import Keyring, decode_unverified

FIELDS = {
    "jobs",
    "complete",
    "failed",
    "failed_not_run",
    "failed_may_have_run",
    "unanswered",
    "tasks",
    "tasks_started_more_than_once",
    "false_not_run",
    "response_over_ideal_p50",
    "response_over_ideal_p99",
    "messages_per_task",
    "cross_domain_messages_per_task",
}


class FaultyMinion(StandinMinion):
    """Minion that counts two starts per task and answers with the result of another task."""

    def _sleep_as_task(self, task_id, run_ms):
        self.starts[task_id] += 1
        return super()._sleep_as_task(task_id, run_ms)

    def _run_task(self, environ, start_response):
        body = super()._run_task(environ, start_response)
        return [json.dumps({**json.loads(body[0]), "value": "another"}).encode()]


class InterruptingMinion(StandinMinion):
    """Minion that sends SIGINT to the process when the first task starts."""

    interrupted = False

    def _sleep_as_task(self, task_id, run_ms):
        if not InterruptingMinion.interrupted:
            InterruptingMinion.interrupted = True
            os.kill(os.getpid(), signal.SIGINT)
        return super()._sleep_as_task(task_id, run_ms)


class DemoTest(unittest.TestCase):
    """Runs of the whole system in this process, and their reports."""

    def run_demo(self, seconds, **options):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = run_demo(seconds, **options)
        return code, json.loads(output.getvalue().splitlines()[-1])

    def test_guarantees_hold(self):
        code, report = self.run_demo(3)
        self.assertEqual(code, OK, report)
        self.assertLessEqual(FIELDS, set(report))
        self.assertEqual(report["complete"] + report["failed"], report["jobs"])
        self.assertGreater(report["complete"], 0)
        self.assertGreater(report["messages_per_task"], 0)
        self.assertLess(report["cross_domain_messages_per_task"], report["messages_per_task"])

    def test_violations_are_reported(self):
        code, report = self.run_demo(1, make_minion=FaultyMinion)
        self.assertEqual(code, FAILED)
        self.assertEqual(report["tasks_started_more_than_once"] * 2, report["starts"])
        self.assertGreater(report["complete"], 0)
        self.assertGreaterEqual(report["wrong_answers"], report["complete"])

    def test_each_violation_counts(self):
        sound = DemoReport(*[0] * len(DemoReport._fields))
        violations = {
            "unanswered",
            "wrong_answers",
            "tasks_started_more_than_once",
            "false_not_run",
        }
        for field in DemoReport._fields:
            with self.subTest(field):
                report = sound._replace(**{field: 1})
                self.assertEqual(report.has_no_violations, field not in violations)

    def test_interrupt_ends_the_run_cleanly(self):
        before = signal.getsignal(signal.SIGINT)
        code, report = self.run_demo(24, make_minion=InterruptingMinion)
        self.assertEqual((code, report["unanswered"]), (OK, 0))
        self.assertLess(report["elapsed_ms"], 15_000)
        self.assertIs(signal.getsignal(signal.SIGINT), before)

    def test_false_not_run(self):
        """A job counts as started if a minion started any of its tasks."""
        keyring = Keyring(["a-key-for-the-tests"])
        tickets = [keyring.issue(Peer("tcp://127.0.0.1:1", 1), "fitting", 0) for _ in range(3)]
        started = decode_unverified(tickets[1])
        starts = Counter({f"{started.job:x}.7": 1, "5.0": 1})
        self.assertEqual(count_false_not_run(tickets, starts), 1)
        self.assertEqual(count_false_not_run(tickets[:1], starts), 0)
