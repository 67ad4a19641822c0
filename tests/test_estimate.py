"""Tests of run-time estimates."""

import random
import unittest

from geraniumspool.estimate import INITIAL_MS, RunTimeEstimator


def learn_many(times, off_by, source):
    """Learn from tasks whose declared times differ from the actual ones by a factor.

    :param off_by: returns the factor, given ``source``
    """
    for _ in range(400):
        actual = 50 * 20 ** source.random()
        times.learn(actual * off_by(source), actual)


class RunTimesTest(unittest.TestCase):
    """Declared times count only as far as they predict actual ones."""

    def test_slope_by_accuracy(self):
        cases = [
            ("exact", lambda _source: 1.0, 0.99, 1.0),
            ("always twice as long", lambda _source: 2.0, 0.99, 1.0),
            ("off by up to 2", lambda source: 2 ** source.uniform(-1, 1), 0.7, 0.95),
            ("off by up to 10", lambda source: 10 ** source.uniform(-1, 1), 0.0, 0.0),
            ("unrelated", lambda source: 10 ** source.uniform(-4, 4), 0.0, 0.0),
        ]
        for name, off_by, least, most in cases:
            with self.subTest(name):
                times = RunTimeEstimator()
                learn_many(times, off_by, random.Random(1))
                self.assertGreaterEqual(times.slope, least)
                self.assertLessEqual(times.slope, most)

    def test_constant_factor_is_corrected(self):
        times = RunTimeEstimator()
        learn_many(times, lambda _source: 2.0, random.Random(2))
        self.assertAlmostEqual(times.estimate(1000), 500, delta=25)

    def test_mean_without_declared_times(self):
        times = RunTimeEstimator()
        self.assertEqual(times.estimate(), INITIAL_MS)
        for _ in range(50):
            times.learn(0, 80.0)
        self.assertAlmostEqual(times.estimate(), 80.0)
        self.assertGreater(times.estimate(10_000), 0)
