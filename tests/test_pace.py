"""Tests of the detection of slow minions."""

import random
import unittest

from geraniumspool.pace import MAX_HAZARD, SLOW_LATENESS, SlownessDetector

LEARNING_TASKS = 300


def draw_exact(source):
    """Return an exact estimate and the run time of a task."""
    run_ms = 50 * 20 ** source.random()
    return run_ms, run_ms * source.uniform(1.0, 1.1)


def draw_mean(source):
    """Return the mean run time as the estimate, and a run time with a long tail."""
    is_long = source.random() < 0.03
    run_ms = source.uniform(2_000, 5_000) if is_long else 50 * 20 ** source.random()
    return 400.0, run_ms


def run_tasks(pace, draw, source, count, factor=1.0):
    """Record the run times of some tasks; return whether the minion counted as slow at any time.

    :param factor: factor by which run times are longer than drawn
    """
    was_slow = False
    for _ in range(count):
        estimate_ms, run_ms = draw(source)
        pace.add_hazard(pace.hazard(estimate_ms, run_ms * factor))
        was_slow = was_slow or pace.is_slow
        pace.record_run_time(estimate_ms, run_ms * factor)
    return was_slow


class PaceTest(unittest.TestCase):
    """A minion is slow if its tasks take several times as long as is usual there."""

    def test_slow_minion_is_detected(self):
        cases = [
            ("usual speed, exact estimates", draw_exact, 1.0, 0.0, False),
            ("usual speed, inexact estimates", draw_mean, 1.0, 0.0, False),
            ("ten times slower, exact estimates", draw_exact, 10.0, 0.0, True),
            ("ten times slower, inexact estimates", draw_mean, 10.0, 0.0, True),
            ("ten times slower, like all peers", draw_mean, 10.0, 2 * SLOW_LATENESS, False),
        ]
        for name, draw, factor, peers, expected in cases:
            with self.subTest(name):
                source = random.Random(1)
                pace = SlownessDetector(lambda peers=peers: peers)
                self.assertFalse(run_tasks(pace, draw, source, LEARNING_TASKS))
                self.assertEqual(run_tasks(pace, draw, source, 2_000, factor), expected)

    def test_many_overdue_tasks_are_evidence(self):
        """Overdue tasks count before they have results, but one alone does not."""
        for tasks, expected in ((1, False), (8, True)):
            with self.subTest(tasks=tasks):
                pace = SlownessDetector()
                for _ in range(tasks):
                    pace.add_hazard(pace.hazard(100.0, 1e9))
                self.assertEqual(pace.is_slow, expected)

    def test_hazard_grows_up_to_its_bound(self):
        """The hazard never decreases with the run time, whatever the estimate."""
        pace = SlownessDetector()
        for estimate_ms in (0.0, 1.0, 300.0, 1e9):
            hazards = [pace.hazard(estimate_ms, age) for age in (0.0, 60.0, 600.0, 1e12)]
            self.assertEqual(hazards, sorted(hazards))
            self.assertEqual((hazards[0], hazards[-1]), (0.0, MAX_HAZARD))

    def test_wider_spread_is_learned(self):
        """A wider spread of run times is learned even while it makes many tasks late."""
        source, pace = random.Random(1), SlownessDetector()
        run_tasks(pace, draw_exact, source, LEARNING_TASKS)
        self.assertEqual(pace.hazard(400.0, 1_000.0), MAX_HAZARD)
        for _ in range(LEARNING_TASKS):
            pace.add_hazard(SLOW_LATENESS)
            pace.record_run_time(*draw_mean(source))
        self.assertLess(pace.hazard(400.0, 1_000.0), MAX_HAZARD)
