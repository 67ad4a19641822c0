"""Tests of the in-memory minion: behavior that it shares with real minions."""

import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.contracts import RunKey
from geraniumspool.memory_minion import MAX_LISTED_ENDS, MemoryMinion

FAR_MS = 1e9
LONGEST_STOP_MS = 50.0
FENCE = 1


class MemoryMinionTest(unittest.TestCase):
    """Departure, duration of stops and long lists of ended runs."""

    def setUp(self):
        self.clock = ManualClock()

    def start(self, minion, number, run_ms):
        minion.start(minion.incarnation, RunKey(f"j.0.0.{number}", 1), f"1:{run_ms}", FAR_MS, FENCE)

    def poll(self, minion, acknowledged=0):
        return minion.poll(minion.incarnation, FENCE, acknowledged, FAR_MS, 0.0)

    def test_leaving_minion_continues_its_runs_until_it_exits(self):
        minion = MemoryMinion(self.clock)
        self.start(minion, 1, 900)
        minion.leave(200.0)
        self.clock.advance(190)
        self.assertTrue(minion.incarnation.draining)
        self.assertEqual({"j.0.0.1"}, minion.running)
        self.clock.advance(20)
        self.assertEqual(set(), minion.running)
        self.assertTrue(minion.is_down)

    def test_stop_times_vary_by_seed_up_to_the_longest(self):
        def measure(seed):
            minion = MemoryMinion(self.clock, seed=seed, longest_stop_ms=LONGEST_STOP_MS)
            times = []
            for number in range(20):
                self.start(minion, number, 9_000)
                minion.stop(minion.incarnation, RunKey(f"j.0.0.{number}", 1), FENCE)
                begin = self.clock.now()
                while minion.running:
                    self.clock.advance(1)
                times.append(self.clock.now() - begin)
            return times

        times = measure(3)
        self.assertEqual(times, measure(3))
        self.assertLessEqual(max(times), LONGEST_STOP_MS)
        self.assertGreater(max(times) - min(times), LONGEST_STOP_MS / 2)

    def test_further_ends_are_listed_after_acknowledgement(self):
        minion = MemoryMinion(self.clock)
        for number in range(MAX_LISTED_ENDS + 1):
            self.start(minion, number, 1)
        self.clock.advance(5)
        view = self.poll(minion)
        self.assertEqual((MAX_LISTED_ENDS, True), (len(view.finished), view.is_partial))
        view = self.poll(minion, MAX_LISTED_ENDS)
        self.assertEqual((1, False), (len(view.finished), view.is_partial))
