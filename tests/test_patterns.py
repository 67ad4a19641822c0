"""Tests of simulated load patterns under the policy in use."""

import unittest

from benchmarks.pattern_loads import PATTERNS, SHORT_QUEUE, draw_load
from benchmarks.pattern_play import PatternSimulation
from benchmarks.pattern_policies import POLICIES, POLICY_IN_USE

CAPACITY_CPU_MS = 800_000
# Half the size that ``benchmarks.patterns`` simulates.
WORKERS = 6
DISPATCHERS = 2


class LoadTest(unittest.TestCase):
    """Arrivals that are drawn from a pattern."""

    def test_a_load_repeats_by_seed_and_offers_its_share(self):
        for pattern in PATTERNS:
            with self.subTest(pattern=pattern.name):
                load = draw_load(pattern, CAPACITY_CPU_MS, 3)
                self.assertEqual(load, draw_load(pattern, CAPACITY_CPU_MS, 3))
                self.assertEqual(load, sorted(load))
                offered = sum(arrival.job.work for arrival in load) / (CAPACITY_CPU_MS * 6 / 1_000)
                self.assertGreater(offered, 0.7 * pattern.load)

    def test_a_burst_of_one_queue_brings_only_its_jobs(self):
        burst_pattern = next(pattern for pattern in PATTERNS if pattern.burst_queue)
        steady_pattern = burst_pattern._replace(bursts=())
        counts = [
            sum(
                arrival.job.queue == SHORT_QUEUE
                for arrival in draw_load(pattern, CAPACITY_CPU_MS, 3)
            )
            for pattern in (burst_pattern, steady_pattern)
        ]
        self.assertEqual(*counts)


class WorstLoadTest(unittest.TestCase):
    """Decisions under overload and faults: jobs in time, wasted work, and late refusals."""

    def play(self, name):
        """Simulate a pattern, check that no minion exceeded its capacity, and return the result."""
        pattern = next(pattern for pattern in PATTERNS if pattern.name == name)
        played = PatternSimulation(
            pattern, POLICIES[POLICY_IN_USE], workers=WORKERS, dispatchers=DISPATCHERS
        )
        row = played.run()
        for worker in played.world.workers:
            minion = worker.minion
            self.assertLessEqual(minion.peak_used.cpu, minion.incarnation.resources.cpu)
        return row

    def test_a_service_that_is_just_full_serves_nearly_all_in_time(self):
        row = self.play("just full")
        self.assertGreater(row.in_time, 0.85)
        self.assertGreater(row.worst, 0.7)
        # One job of 730 is lost: its run time was declared at half of the real one, so it was
        # late when its turn came, and was served last.
        self.assertLess(row.lost, 0.002)
        self.assertEqual(0.0, round(row.wasted, 3))

    def test_nearly_twice_the_load_leaves_most_of_the_room_to_jobs_in_time(self):
        # 0.30 of the capacity goes to jobs in time if only jobs already late are refused.
        row = self.play("1.8 times full")
        self.assertGreater(row.goodput, 0.6)
        self.assertGreater(row.wide, 0.5)
        self.assertLess(row.wasted, 0.03)
        self.assertLess(row.late_refusals, 0.1)

    def test_a_crash_of_a_rack_in_a_burst(self):
        row = self.play("crash of a rack in a burst")
        self.assertGreater(row.goodput, 0.55)
        self.assertGreater(row.worst, 0.28)
        self.assertLess(row.lost, 0.05)

    def test_an_evacuated_domain_leaves_the_rest_as_full_as_a_full_service(self):
        # Two thirds of the workers carry 0.9 of their capacity, so as many jobs are in time as
        # in a service that is just full.
        for name in ("a domain evacuated", "a domain evacuated in a burst"):
            with self.subTest(name=name):
                row = self.play(name)
                self.assertGreater(row.in_time, 0.85)
                self.assertLess(row.late_refusals, 0.1)
                self.assertLess(row.lost, 0.02)

    def test_bad_minions_take_little_from_the_rest(self):
        least = {"slow minions": 0.85, "hanging minions": 0.74, "minions that fail all": 0.8}
        for name, in_time in least.items():
            with self.subTest(name=name):
                row = self.play(name)
                self.assertGreater(row.in_time, in_time)
                self.assertLess(row.lost, 0.02)
                self.assertLess(row.wasted, 0.04)


if __name__ == "__main__":
    unittest.main()
