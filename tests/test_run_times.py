"""Tests of run times that are learnt by queue.

A mean that depends on which workers were free, or on a few runs that take many times as long, makes
predicted waits jump: jobs are then accepted and refused later, or refused while there is capacity.
"""

import random
import unittest

from geraniumspool.run_times import MOST_RATIO, RunTimes
from tests import test_departures
from tests.dispatch_world import make_spec
from tests.test_data_locality import use_settings
from tests.test_dispatcher import DispatchCase


class RunTimesTest(unittest.TestCase):
    """Mean and tail of the runs of one queue."""

    def draw(self, runs=3_000, seed=1):
        """Record runs of which 3% take seven times as long, and yield the times after each."""
        draw, times = random.Random(seed), RunTimes()
        for _ in range(runs):
            ran_ms = 100 * draw.uniform(0.8, 1.2) * (7 if draw.random() < 0.03 else 1)
            times.record(ran_ms, 100, 1.0)
            yield times

    def test_stragglers_shift_the_mean_a_little_and_the_tail_hardly(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                seen = [(times.mean, times.tail) for times in self.draw(seed=seed)][500:]
                means, tails = zip(*seen, strict=True)
                self.assertAlmostEqual(1.18, sum(means) / len(means), delta=0.06)
                self.assertLess(max(means), 1.6)
                self.assertAlmostEqual(1.2, sum(tails) / len(tails), delta=0.15)

    def test_the_speed_of_the_worker_does_not_count(self):
        times = RunTimes()
        for pace in (1.43, 0.59) * 300:
            times.record(130 * pace, 100, pace)
        self.assertAlmostEqual(1.3, times.mean, delta=0.02)

    def test_impossible_run_times_are_ignored_and_single_ones_bounded(self):
        times = RunTimes()
        for ran_ms, declared_ms, pace in ((0, 100, 1), (-1, 100, 1), (100, 0, 1), (100, 100, 0)):
            times.record(ran_ms, declared_ms, pace)
        self.assertEqual(1.0, times.mean)
        times.record(1e12, 100, 1.0)
        self.assertLess(times.mean, 1 + MOST_RATIO / 50)

    def test_an_overdue_run_is_predicted_from_the_tail(self):
        *_, times = self.draw()
        run_ms = 100 * times.mean
        tail_ms = 100 * times.tail
        self.assertAlmostEqual(tail_ms - run_ms, times.predict_overdue_ms(run_ms, run_ms), 5)
        self.assertEqual(400, times.predict_overdue_ms(400, run_ms))


class DispatcherTest(DispatchCase):
    """A dispatcher that learns run times by queue."""

    def setUp(self):
        super().setUp()
        use_settings(self.dispatcher.dispatcher, run_times_by_queue=True)

    def ratio(self):
        return self.dispatcher.dispatcher.learner.run_time_ratio("scan")

    def test_workers_of_unequal_speed_do_not_change_the_run_times(self):
        for worker, factor in zip(self.world.workers, (1.43, 1.43, 0.59), strict=True):
            worker.minion.slow_factor = factor
        for number in range(150):
            self.dispatcher.submit(make_spec(f"j{number}", 2))
            self.advance(130, 130)
        self.assertAlmostEqual(1.0, self.ratio(), delta=0.2)

    def test_a_run_that_takes_far_too_long_counts_once_and_before_it_ends(self):
        self.dispatcher.submit(make_spec("j1", run_ms=2_000, declared_ms=200), timeout_ms=9_000)
        self.advance(1_000)
        early = self.ratio()
        self.assertGreater(early, 1.05)
        self.advance(1_200)
        self.assertEqual(early, self.ratio())
        self.assertEqual(set(), self.dispatcher.dispatcher.learner._counted_runs)

    def test_without_the_setting_it_counts_when_it_ends(self):
        use_settings(self.dispatcher.dispatcher, run_times_by_queue=False)
        self.dispatcher.submit(make_spec("j1", run_ms=2_000, declared_ms=200), timeout_ms=9_000)
        self.advance(1_000)
        self.assertEqual(1.0, self.ratio())
        self.advance(1_200)
        self.assertGreater(self.ratio(), 1.05)


class MovedByTailTest(test_departures.MovedRunsTest):
    """Departures of workers, with run times learnt by queue."""

    def setUp(self):
        super().setUp()
        use_settings(self.dispatcher.dispatcher, run_times_by_queue=True)


if __name__ == "__main__":
    unittest.main()
