"""Tests of the random model of jobs and arrivals."""

import random
import unittest

from geraniumspool.workload import (
    DECLARED_EXACT,
    DECLARED_NONE,
    DECLARED_WRONG,
    MAX_TASKS,
    MIXES,
    Burst,
    JobPlan,
    TaskPlan,
    draw_arrivals,
    ideal_ms,
    rate_for_share,
)

DRAWS = 4_000


class MixTest(unittest.TestCase):
    """Widths, run times and declared run times of the predefined distributions of jobs."""

    def draw(self, name, count=DRAWS, **changes):
        source = random.Random(7)
        mix = MIXES[name]._replace(**changes)
        return [mix.draw(source, "opticians") for _ in range(count)]

    def test_same_seed_gives_same_jobs(self):
        self.assertEqual(self.draw("brief", 50), self.draw("brief", 50))

    def test_widths_and_run_times_stay_in_range(self):
        cases = {
            "light": (1, 1, 50, 50),
            "brief": (1, MAX_TASKS, 50, 5_000),
            "narrow": (1, 4, 50, 5_000),
            "wide": (100, MAX_TASKS, 50, 5_000),
        }
        for name, (least, most, shortest, longest) in cases.items():
            with self.subTest(name):
                jobs = self.draw(name, 500)
                widths = [len(job.tasks) for job in jobs]
                times = [task.run_ms for job in jobs for task in job.tasks]
                self.assertTrue(least <= min(widths) and max(widths) <= most)
                self.assertTrue(shortest <= min(times) and max(times) <= longest)

    def test_mean_work_matches_the_generated_jobs(self):
        for name, mix in MIXES.items():
            with self.subTest(name):
                count = 500 if name == "wide" else DRAWS
                mean = sum(job.work_ms for job in self.draw(name, count)) / count
                self.assertAlmostEqual(mean / mix.mean_work_ms, 1.0, delta=0.1)

    def test_brief_work_is_spread_over_widths(self):
        """Wide jobs make up about half of the work, narrow jobs over half of all jobs."""
        jobs = self.draw("brief")
        work = sum(job.work_ms for job in jobs)
        wide = sum(job.work_ms for job in jobs if job.is_wide) / work
        narrow = sum(job.is_narrow for job in jobs) / DRAWS
        self.assertTrue(0.35 < wide < 0.6, wide)
        self.assertTrue(0.5 < narrow < 0.75, narrow)

    def test_declared_run_times(self):
        cases = {DECLARED_EXACT: (1, 1), DECLARED_NONE: (0, 0), DECLARED_WRONG: (0.09, 10.1)}
        for declared, (least, most) in cases.items():
            with self.subTest(declared):
                jobs = self.draw("narrow", 500, declared=declared)
                tasks = [task for job in jobs for task in job.tasks]
                factors = [task.declared_ms / task.run_ms for task in tasks]
                self.assertTrue(least <= min(factors) and max(factors) <= most)
        self.assertTrue(min(factors) < 0.2 and max(factors) > 5)


class TimeTest(unittest.TestCase):
    """Ideal response times, arrival rates and arrival times."""

    def test_ideal(self):
        cases = [
            ([50], 88, 0, 50),
            ([50, 400], 88, 3, 406),
            ([100] * 340, 88, 1, 34_000 / 88 + 2),
        ]
        for times, slots, one_way_delay_ms, expected in cases:
            with self.subTest(times=len(times)):
                plan = JobPlan(tuple(TaskPlan(run_ms) for run_ms in times), "opticians")
                self.assertAlmostEqual(ideal_ms(plan, slots, one_way_delay_ms), expected)

    def test_rate_for_a_load_share(self):
        """88 slots run 1760 single tasks of 50 ms per second; half of that is 880."""
        self.assertAlmostEqual(rate_for_share(MIXES["light"], 0.5, 88), 880)

    def test_arrivals_are_ordered_and_bursts_are_faster(self):
        bursts = (Burst(20_000, 10_000), Burst(95_000, 60_000, 2))
        times = list(draw_arrivals(10, 100_000, random.Random(3), bursts))
        inside = sum(20_000 <= at_ms < 30_000 for at_ms in times)
        last = sum(at_ms >= 95_000 for at_ms in times)
        outside = len(times) - inside - last
        self.assertEqual(times, sorted(times))
        self.assertLess(times[-1], 100_000)
        for count, expected in ((inside, 1_000), (outside, 850), (last, 100)):
            self.assertTrue(0.75 * expected < count < 1.25 * expected, (count, expected))
