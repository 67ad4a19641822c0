"""Load patterns replayed against the policy in use and against others."""

import unittest

from benchmarks.pattern_loads import PATTERNS, SHORT, draw_load
from benchmarks.pattern_play import Play
from benchmarks.pattern_policies import IN_USE, POLICIES

ROOM_CPU = 800_000
# Half of what the tool plays.
WORKERS = 6
DISPATCHERS = 2


class LoadTest(unittest.TestCase):
    """What arrives."""

    def test_a_load_repeats_by_seed_and_offers_its_share(self):
        for pattern in PATTERNS:
            with self.subTest(pattern=pattern.name):
                load = draw_load(pattern, ROOM_CPU, 3)
                self.assertEqual(load, draw_load(pattern, ROOM_CPU, 3))
                self.assertEqual(load, sorted(load))
                offered = sum(arrival.job.work for arrival in load) / (ROOM_CPU * 6 / 1_000)
                self.assertGreater(offered, 0.7 * pattern.load)

    def test_a_burst_of_one_queue_brings_only_its_jobs(self):
        crowd = next(pattern for pattern in PATTERNS if pattern.only)
        plain = crowd._replace(bursts=())
        counts = [
            sum(arrival.job.queue == SHORT for arrival in draw_load(pattern, ROOM_CPU, 3))
            for pattern in (crowd, plain)
        ]
        self.assertEqual(*counts)


class WorstLoadTest(unittest.TestCase):
    """Decisions at the worst load: shares in time, waste, and who is turned away when."""

    def play(self, name):
        """Return what became of a pattern's jobs, with no minion over its room."""
        pattern = next(pattern for pattern in PATTERNS if pattern.name == name)
        played = Play(pattern, POLICIES[IN_USE], workers=WORKERS, dispatchers=DISPATCHERS)
        row = played.run()
        for worker in played.world.workers:
            minion = worker.minion
            self.assertLessEqual(minion.peak_used.cpu, minion.incarnation.resources.cpu)
        return row

    def test_a_service_that_is_just_full_serves_nearly_all_in_time(self):
        row = self.play("just full")
        self.assertGreater(row.in_time, 0.85)
        self.assertGreater(row.worst, 0.7)
        # One of 730: begun, late since it was declared at half of its time, and then last.
        self.assertLess(row.lost, 0.002)
        self.assertEqual(0.0, round(row.wasted, 3))

    def test_nearly_twice_the_load_leaves_most_of_the_room_to_jobs_in_time(self):
        # Where a job is refused only for being late itself, 0.30 of the room goes to them.
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
        # Two thirds of the room carry what is 0.9 of it: as many in time as where all are full.
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
