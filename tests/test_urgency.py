"""Tests of the order of jobs, predicted waits and probabilities, and retry delays."""

import itertools
import math
import unittest

from geraniumspool import urgency
from geraniumspool.urgency import IN_TIME, LATE, TOO_LATE, Outlook, Timing, WaitLearner, rank

TIMING = Timing(1_000.0, 400.0, 3_000.0)


class RankTest(unittest.TestCase):
    """The order in which jobs are served."""

    def test_lateness_depends_on_time_and_on_whether_the_job_has_started(self):
        rows = [
            (1_000, False, IN_TIME),
            (1_260, False, IN_TIME),
            (1_261, False, LATE),
            (1_261, True, IN_TIME),
            (2_100, True, IN_TIME),
            (2_100, False, LATE),
            (2_101, False, TOO_LATE),
            (2_101, True, TOO_LATE),
        ]
        for now, has_started, expected in rows:
            with self.subTest(now=now, has_started=has_started):
                place = rank(TIMING, 100.0, now, has_started)
                self.assertEqual(expected, place.lateness)
                self.assertEqual(expected == TOO_LATE, place.is_useless)

    def test_less_slack_goes_first_and_late_jobs_go_after_all_in_time(self):
        short = rank(Timing(1_000.0, 250.0, 3_000.0), 120.0, 1_000.0, False)
        long = rank(Timing(900.0, 2_900.0, 9_000.0), 1_800.0, 1_000.0, False)
        late = rank(Timing(500.0, 250.0, 3_000.0), 120.0, 1_000.0, False)
        self.assertEqual([short, long, late], sorted([late, long, short]))

    def test_late_jobs_of_urgent_queues_go_before_less_urgent_ones(self):
        places = [
            rank(TIMING, 100.0, 1_000.0, True, 2),
            rank(TIMING, 100.0, 1_000.0, False, 0),
            rank(TIMING, 100.0, 2_000.0, False, 0),
            rank(TIMING, 100.0, 1_000.0, False, 1),
            rank(TIMING, 100.0, 2_000.0, False, 1),
            rank(TIMING, 100.0, 2_101.0, True, 0),
        ]
        for earlier, later in itertools.pairwise(places):
            self.assertLess(earlier, later)

    def test_a_long_job_that_waits_becomes_the_most_urgent(self):
        long = Timing(0.0, 2_900.0, 9_000.0)
        for now in (0.0, 1_000.0):
            short = rank(Timing(now, 250.0, 3_000.0), 120.0, now, False)
            self.assertEqual(now >= 1_000.0, rank(long, 1_800.0, now, False) < short)

    def test_the_allowed_end_of_runs_depends_on_lateness(self):
        ends = [urgency.allowed_end_ms(TIMING, lateness) for lateness in (IN_TIME, LATE, TOO_LATE)]
        self.assertEqual([400.0, 1_200.0, 3_000.0], ends)
        self.assertEqual(300.0, urgency.allowed_end_ms(Timing(0.0, 400.0, 300.0), LATE))

    def test_the_predicted_end_of_a_started_job_is_always_allowed(self):
        for now in range(1_000, 2_200, 10):
            place = rank(TIMING, 100.0, now, True)
            end = TIMING.arrived_ms + urgency.allowed_end_ms(TIMING, place.lateness, True)
            self.assertLessEqual(now + 100.0, end, now)


def make_outlook(is_free=False, ahead=0.0, late_ahead=0.0, opening_ms=0.0, factor=1.0):
    """Return an outlook with a capacity of 10 left for jobs in time and 5 for late ones."""
    return Outlook(is_free, ahead, late_ahead, 10.0, 5.0, opening_ms, factor)


class WaitTest(unittest.TestCase):
    """Predicted waits, probabilities and retry delays."""

    def test_waits(self):
        rows = [
            ("capacity is free", make_outlook(True, 0.0, 9_000.0, 50.0), 0.0, 0.0),
            ("only its own capacity is missing", make_outlook(opening_ms=20.0), 20.0, 20.0),
            ("behind other jobs", make_outlook(False, 1_000.0, 2_000.0), 100.0, 400.0),
            ("both", make_outlook(False, 1_000.0, 2_000.0, 20.0), 120.0, 420.0),
            ("with learnt factor", make_outlook(False, 1_000.0, 2_000.0, 20.0, 2.0), 240.0, 840.0),
            ("no capacity", Outlook(False, 1.0, 1.0, 0.0, 0.0, 0.0), math.inf, math.inf),
        ]
        for name, outlook, wait_ms, late_wait_ms in rows:
            with self.subTest(name):
                self.assertEqual((wait_ms, late_wait_ms), (outlook.wait_ms, outlook.late_wait_ms))

    def test_probabilities_fall_with_the_wait_and_late_results_stay_useful_longer(self):
        rows = [
            (make_outlook(True), 0.9, 1.0, 0.99),
            (make_outlook(False, 2_400.0, 1_000.0), 0.3, 0.7, 0.95),
            (make_outlook(False, 4_000.0, 2_000.0), 0.0, 0.1, 0.95),
            (make_outlook(False, 4_000.0, 9_000.0), 0.0, 0.1, 0.0),
        ]
        for outlook, least, most, useful in rows:
            with self.subTest(outlook=outlook):
                probabilities = urgency.predict_probabilities(TIMING, 100.0, outlook, 1_000.0)
                self.assertGreaterEqual(probabilities.in_time, least)
                self.assertLessEqual(probabilities.in_time, most)
                self.assertGreaterEqual(probabilities.useful, max(useful, probabilities.in_time))
                self.assertLessEqual(probabilities.useful, 1.0)

    def test_the_wait_factor_is_learnt_and_one_outlier_changes_it_little(self):
        learner = WaitLearner()
        self.assertEqual(1.0, learner.factor)
        learner.note(10.0, 10_000.0)
        self.assertLess(learner.factor, 15.0 * 4 * urgency.WAIT_WEIGHT + 70.0)
        for _ in range(300):
            learner.note(50.0, 100.0)
        self.assertAlmostEqual(2.0, learner.factor, 1)
        for _ in range(300):
            learner.note(100.0, 0.0)
        self.assertAlmostEqual(1 / urgency.MAX_WAIT_FACTOR, learner.factor, 1)

    def test_waits_as_short_as_network_latency_are_ignored(self):
        learner = WaitLearner()
        for _ in range(100):
            learner.note(0.0, 5.0)
        self.assertEqual(1.0, learner.factor)

    def test_retry_delays_are_spread(self):
        delays = [urgency.choose_retry_delay(400.0) for _ in range(500)]
        self.assertGreaterEqual(min(delays), 400.0)
        self.assertLessEqual(max(delays), 800.0)
        quarters = [sum(400 + 100 * k <= d < 500 + 100 * k for d in delays) for k in range(4)]
        self.assertGreater(min(quarters), 60)
        self.assertGreaterEqual(urgency.choose_retry_delay(0.0), urgency.MIN_RETRY_MS)
