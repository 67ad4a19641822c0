"""Tests of the judgement whether a minion is slow."""

import random
import unittest

from geraniumspool.pace import MAX_HAZARD, SLOW, Pace

LEARNT = 300


def draw_exact(source):
    """Return an estimate and the time a task takes, where estimates are right."""
    run_ms = 50 * 20 ** source.random()
    return run_ms, run_ms * source.uniform(1.0, 1.1)


def draw_mean(source):
    """Return the mean as the estimate, and a time with a long tail."""
    is_long = source.random() < 0.03
    run_ms = source.uniform(2_000, 5_000) if is_long else 50 * 20 ** source.random()
    return 400.0, run_ms


def run(pace, draw, source, count, factor=1.0):
    """Let a minion run tasks, a factor slower; return whether it was slow at any time."""
    was_slow = False
    for _ in range(count):
        estimate_ms, run_ms = draw(source)
        pace.add(pace.hazard(estimate_ms, run_ms * factor))
        was_slow = was_slow or pace.is_slow
        pace.end(estimate_ms, run_ms * factor)
    return was_slow


class PaceTest(unittest.TestCase):
    """Slow is what takes several times as long as is usual there."""

    def test_who_is_slow(self):
        cases = [
            ("as usual, exact estimates", draw_exact, 1.0, 0.0, False),
            ("as usual, estimates say little", draw_mean, 1.0, 0.0, False),
            ("ten times slower, exact estimates", draw_exact, 10.0, 0.0, True),
            ("ten times slower, estimates say little", draw_mean, 10.0, 0.0, True),
            ("ten times slower, as all others", draw_mean, 10.0, 2 * SLOW, False),
        ]
        for name, draw, factor, peers, expected in cases:
            with self.subTest(name):
                source = random.Random(1)
                pace = Pace(lambda peers=peers: peers)
                self.assertFalse(run(pace, draw, source, LEARNT))
                self.assertEqual(run(pace, draw, source, 2_000, factor), expected)

    def test_running_tasks_tell(self):
        """Tasks that go on for long tell before any result; one alone proves nothing."""
        for tasks, expected in ((1, False), (8, True)):
            with self.subTest(tasks=tasks):
                pace = Pace()
                for _ in range(tasks):
                    pace.add(pace.hazard(100.0, 1e9))
                self.assertEqual(pace.is_slow, expected)

    def test_hazard(self):
        """It grows with the time up to its bound, whatever the estimate."""
        pace = Pace()
        for estimate_ms in (0.0, 1.0, 300.0, 1e9):
            hazards = [pace.hazard(estimate_ms, age) for age in (0.0, 60.0, 600.0, 1e12)]
            self.assertEqual(hazards, sorted(hazards))
            self.assertEqual((hazards[0], hazards[-1]), (0.0, MAX_HAZARD))

    def test_estimates_get_worse(self):
        """A wider spread is learnt also while it makes many tasks late."""
        source, pace = random.Random(1), Pace()
        run(pace, draw_exact, source, LEARNT)
        self.assertEqual(pace.hazard(400.0, 1_000.0), MAX_HAZARD)
        for _ in range(LEARNT):
            pace.add(SLOW)
            pace.end(*draw_mean(source))
        self.assertLess(pace.hazard(400.0, 1_000.0), MAX_HAZARD)
