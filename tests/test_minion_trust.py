"""Tests of ejection by failures and of learnt speed."""

import random
import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.minion_trust import PROBE_AFTER_MS, FailureJudge, RunPace


class FailureJudgeTest(unittest.TestCase):
    """Which minions are ejected."""

    def setUp(self):
        self.clock = ManualClock()
        self.judge = FailureJudge(self.clock)

    def test_three_jobs_in_a_row(self):
        for job, expected in (("a", False), ("b", False), ("c", True)):
            self.assertEqual(expected, self.judge.note(job, ok=False))
        self.assertTrue(self.judge.is_ejected)

    def test_one_hopeless_job_proves_nothing(self):
        for _ in range(8):
            self.judge.note("a", ok=False)
            self.judge.note("b", ok=True)
            self.judge.note("b", ok=True)
            self.judge.note("b", ok=True)
        self.assertFalse(self.judge.is_ejected)

    def test_a_sixteenth_of_hopeless_jobs_ejects_hardly_anybody(self):
        draw = random.Random(5)
        ejected = 0
        for _ in range(100):
            judge = FailureJudge(self.clock)
            for job in range(60):
                judge.note(str(job), draw.random() > 1 / 16)
            ejected += judge.is_ejected
        self.assertLess(ejected, 10)

    def test_two_in_five_that_fail_are_found(self):
        draw = random.Random(6)
        found = 0
        for _ in range(100):
            judge = FailureJudge(self.clock)
            found += any(judge.note(str(job), draw.random() > 0.4) for job in range(40))
        self.assertGreater(found, 95)

    def test_probes_restore_it_and_come_at_growing_intervals(self):
        for job in "abc":
            self.judge.note(job, ok=False)
        self.assertFalse(self.judge.is_probe_due)
        self.clock.advance(PROBE_AFTER_MS)
        self.assertTrue(self.judge.is_probe_due)
        self.judge.note("d", ok=False)
        self.clock.advance(PROBE_AFTER_MS)
        self.assertFalse(self.judge.is_probe_due)
        self.clock.advance(PROBE_AFTER_MS)
        self.assertFalse(self.judge.note("e", ok=True))
        self.assertTrue(self.judge.note("f", ok=True))
        self.assertFalse(self.judge.is_ejected)


class RunPaceTest(unittest.TestCase):
    """Learnt speed."""

    def test_it_follows_a_minion_that_turns_slow_and_forgets(self):
        clock = ManualClock()
        pace = RunPace(clock)
        for _ in range(10):
            pace.note(100.0, 650.0)
        self.assertGreater(pace.value, 4.0)
        clock.advance(10_000)
        self.assertLess(pace.value, 1.5)

    def test_it_is_bounded(self):
        pace = RunPace(ManualClock())
        for _ in range(200):
            pace.note(1.0, 1e9)
        self.assertLessEqual(pace.value, 30.0)
