"""Tests of the measured processor usage of dispatchers, and of what it changes."""

import math
import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.owner_choice import BUSY_LIMIT
from geraniumspool.processor_usage import UNKNOWN_SHARE, WINDOW_MS, ProcessorMeter, is_valid_share
from tests.dispatch_world import DispatchWorld, make_spec

TICK_MS = 50


class MeterTest(unittest.TestCase):
    """The used part of the processor share."""

    def setUp(self):
        self.clock = ManualClock()
        self.cpu_ms = 0.0
        self.meter = ProcessorMeter(self.clock, 0.5, lambda: self.cpu_ms)

    def run_for(self, total_ms, used):
        """Let time pass while the process uses a number of cores; return the last share."""
        share = self.meter.measure()
        for _ in range(int(total_ms // TICK_MS)):
            self.clock.advance(TICK_MS)
            self.cpu_ms += used * TICK_MS
            share = self.meter.measure()
        return share

    def test_the_share_is_unknown_until_the_window_has_passed(self):
        """A share of the first moments would be that of the start, which is a full core."""
        self.assertEqual(UNKNOWN_SHARE, self.run_for(WINDOW_MS - TICK_MS, 1.0))
        self.assertEqual(2.0, self.run_for(2 * TICK_MS, 1.0))

    def test_the_share_is_relative_to_what_the_process_may_use(self):
        self.assertAlmostEqual(0.8, self.run_for(WINDOW_MS, 0.4))

    def test_old_usage_is_forgotten(self):
        self.run_for(WINDOW_MS, 0.5)
        self.assertAlmostEqual(0.1, self.run_for(WINDOW_MS + 200, 0.05))

    def test_impossible_shares_are_recognized(self):
        for value in (math.nan, math.inf, -math.inf, -0.5):
            with self.subTest(value=value):
                self.assertFalse(is_valid_share(value))
        for value in (UNKNOWN_SHARE, 0.0, 1.4):
            with self.subTest(value=value):
                self.assertTrue(is_valid_share(value))


class BusyDispatcherTest(unittest.TestCase):
    """Three dispatchers, of which two own a worker each and the third has the callers."""

    def make_world(self, shares, uses_busy_share=True):
        """Return a world whose dispatchers measure the given shares."""
        world = DispatchWorld(4, 3, group_workers=2, capacities=(2.0, 2.0, 0.1))
        self.addCleanup(world.close)
        for dispatcher, share in zip(world.dispatchers, shares, strict=True):
            if uses_busy_share:
                dispatcher.router.measure_busy_share = lambda share=share: share
        world.clock.advance(400)
        return world

    def count_accepted(self, world, jobs=20):
        """Return how many of the third dispatcher's jobs the first one gets."""
        entry = world.dispatchers[2]
        for number in range(jobs):
            entry.submit(make_spec(f"j{number}", cpu=1_000, run_ms=20))
            world.clock.advance(110)
        busy = world.dispatchers[0].address
        return sum(
            type(message).__name__ == "ForwardJob" and receiver.address == busy
            for _, receiver, message in world.network.sent
        )

    def test_a_busy_dispatcher_gets_no_job_while_another_has_capacity(self):
        self.assertEqual(0, self.count_accepted(self.make_world((0.9, 0.3, 0.1))))

    def test_a_dispatcher_below_the_limit_is_not_avoided(self):
        self.assertGreater(self.count_accepted(self.make_world((BUSY_LIMIT, 0.3, 0.1))), 0)

    def test_without_the_setting_nothing_is_reported_or_avoided(self):
        world = self.make_world((0.9, 0.3, 0.1), uses_busy_share=False)
        self.assertGreater(self.count_accepted(world), 0)
        shares = {
            message.busy_share
            for _, _, message in world.network.sent
            if type(message).__name__ == "DispatcherReport"
        }
        self.assertEqual({UNKNOWN_SHARE}, shares)

    def test_shares_of_others_are_ignored_without_the_setting(self):
        world = self.make_world((0.9, 0.3, 0.1))
        world.dispatchers[2].router.measure_busy_share = None
        self.assertGreater(self.count_accepted(world), 0)

    def test_an_impossible_share_is_unknown_and_logged_once(self):
        with self.assertLogs("geraniumspool.dispatcher_peers", "WARNING") as logs:
            world = self.make_world((math.nan, 0.3, 0.1))
        lines = [record for record in logs.records if record.msg == "invalid busy share ignored"]
        self.assertEqual(2, len(lines))
        self.assertGreater(self.count_accepted(world), 0)

    def test_a_change_is_logged_and_counted_once(self):
        with self.assertLogs("geraniumspool.dispatcher_peers", "INFO") as logs:
            world = self.make_world((0.9, 0.3, 0.1))
            world.dispatchers[0].router.measure_busy_share = lambda: BUSY_LIMIT - 0.01
            world.clock.advance(400)
            world.dispatchers[0].router.measure_busy_share = lambda: 0.2
            world.clock.advance(400)
        entry = world.dispatchers[2]
        self.assertEqual(1.0, entry.counters.get("busy_peers", busy="true"))
        self.assertEqual(1.0, entry.counters.get("busy_peers", busy="false"))
        messages = [record.msg for record in logs.records if "busy" in record.msg]
        self.assertEqual(["peer busy"] * 2 + ["peer no longer busy"] * 2, messages)


if __name__ == "__main__":
    unittest.main()
