"""Tests of ejection after failed runs and of the speed estimate."""

import random
import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.minion_trust import PROBE_AFTER_MS, CircuitBreaker, RunPace


class CircuitBreakerTest(unittest.TestCase):
    """Ejection and restoration of a minion."""

    def setUp(self):
        self.clock = ManualClock()
        self.judge = CircuitBreaker(self.clock)

    def test_three_failed_jobs_in_a_row_eject(self):
        for job, expected in (("a", False), ("b", False), ("c", True)):
            self.assertEqual(expected, self.judge.record(job, ok=False))
        self.assertTrue(self.judge.is_ejected)

    def test_one_job_that_always_fails_does_not_eject(self):
        for _ in range(8):
            self.judge.record("a", ok=False)
            self.judge.record("b", ok=True)
            self.judge.record("b", ok=True)
            self.judge.record("b", ok=True)
        self.assertFalse(self.judge.is_ejected)

    def test_random_failures_of_one_in_sixteen_rarely_eject(self):
        source = random.Random(5)
        ejected = 0
        for _ in range(100):
            judge = CircuitBreaker(self.clock)
            for job in range(60):
                judge.record(str(job), source.random() > 1 / 16)
            ejected += judge.is_ejected
        self.assertLess(ejected, 10)

    def test_minion_failing_two_in_five_runs_is_ejected(self):
        source = random.Random(6)
        ejected = 0
        for _ in range(100):
            judge = CircuitBreaker(self.clock)
            ejected += any(judge.record(str(job), source.random() > 0.4) for job in range(40))
        self.assertGreater(ejected, 95)

    def test_probes_back_off_and_restore_the_minion(self):
        for job in "abc":
            self.judge.record(job, ok=False)
        self.assertFalse(self.judge.is_probe_due)
        self.clock.advance(PROBE_AFTER_MS)
        self.assertTrue(self.judge.is_probe_due)
        self.judge.record("d", ok=False)
        self.clock.advance(PROBE_AFTER_MS)
        self.assertFalse(self.judge.is_probe_due)
        self.clock.advance(PROBE_AFTER_MS)
        self.assertFalse(self.judge.record("e", ok=True))
        self.assertTrue(self.judge.record("f", ok=True))
        self.assertFalse(self.judge.is_ejected)


class RunPaceTest(unittest.TestCase):
    """Moving average of actual to expected run times."""

    def test_value_follows_a_slow_minion_and_decays(self):
        clock = ManualClock()
        pace = RunPace(clock)
        for _ in range(10):
            pace.record(100.0, 650.0)
        self.assertGreater(pace.value, 4.0)
        clock.advance(10_000)
        self.assertLess(pace.value, 1.5)

    def test_value_is_bounded(self):
        pace = RunPace(ManualClock())
        for _ in range(200):
            pace.record(1.0, 1e9)
        self.assertLessEqual(pace.value, 30.0)
