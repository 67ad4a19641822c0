"""Tests of the base class of the programs."""

import unittest

from geraniumspool.application import RESTART_PAUSE_MS, Application
from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters


class BackgroundTaskTest(unittest.TestCase):
    """Green threads that a program depends on."""

    def setUp(self):
        self.clock = ManualClock()
        self.program = Application(self.clock, MemoryCounters())
        self.addCleanup(self.program.stop)
        self.calls = 0

    def fail_twice(self):
        self.calls += 1
        if self.calls < 3:
            raise ValueError("odd entry")
        self.clock.sleep(1_000_000.0)

    def test_a_task_that_ends_with_an_error_is_run_again(self):
        """It ended for good, and the process lived on without it."""
        self.program._spawn(self.fail_twice)
        for _ in range(4):
            self.clock.advance(RESTART_PAUSE_MS)
        self.assertEqual(3, self.calls)
        self.assertEqual(2, self.program.metrics.get("tasks_restarted"))

    def test_a_task_that_returns_is_not_run_again(self):
        self.calls = 5
        self.program._spawn(lambda: None)
        self.clock.advance(10 * RESTART_PAUSE_MS)
        self.assertEqual(0, self.program.metrics.get("tasks_restarted"))


if __name__ == "__main__":
    unittest.main()
