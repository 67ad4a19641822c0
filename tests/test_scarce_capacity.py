"""Tests of scarce capacity under load: today's policy beside the one that shares it.

Each load is played with the same seed under both, without a network.
"""

import math
import unittest

import eventlet

from benchmarks.pattern_loads import PATTERNS, Pattern
from benchmarks.pattern_play import PatternSimulation
from benchmarks.pattern_policies import (
    POLICIES,
    POLICY_BY_VALUE,
    POLICY_IN_USE,
    POLICY_WITH_SHARES,
)
from benchmarks.scarcity import find_pattern, measure
from geraniumspool.counters import MemoryCounters
from geraniumspool.dispatch_policy import ScarcityPolicy, SharingSettings
from geraniumspool.wire_versions import CURRENT_VERSION, VERSION_BASE
from tests.dispatch_world import QUEUE, DispatchWorld, make_spec

WORKERS = 6
DISPATCHERS = 2
SEED = 1
LENGTH_MS = 6_000.0
MAX_LATE_REFUSALS = 0.1


def play(pattern, policy):
    """Simulate a pattern and return the simulation."""
    played = PatternSimulation(pattern, POLICIES[policy], SEED, WORKERS, DISPATCHERS)
    played.row = played.run()
    return played


class AmpleCapacityTest(unittest.TestCase):
    """Loads far below the capacity."""

    def test_decisions_are_those_of_the_policy_without_sharing(self):
        pattern = Pattern("half", 0.5, length_ms=3_000.0)
        answers = []
        for policy in (POLICY_IN_USE, POLICY_BY_VALUE, POLICY_WITH_SHARES):
            played = play(pattern, policy)
            answers.append(
                [
                    (sent.name, sent.caller.outcome, sent.caller.result.code, sent.caller.at_ms)
                    for sent in played.sent_jobs
                ]
            )
            self.assertGreater(len(answers[0]), 100)
            with self.subTest(policy=policy):
                self.assertEqual(answers[0], answers[-1])


class ScarceCapacityTest(unittest.TestCase):
    """Loads above the capacity."""

    def test_the_worst_load_of_the_policy_in_use(self):
        """The checks of ``test_patterns.WorstLoadTest``, which fails with the policy in use."""
        pattern = next(pattern for pattern in PATTERNS if pattern.name == "1.8 times full")
        row = play(pattern, POLICY_BY_VALUE).row
        self.assertGreater(row.goodput, 0.6)
        self.assertGreater(row.wide, 0.5)
        self.assertLess(row.wasted, 0.03)
        self.assertLess(row.late_refusals, MAX_LATE_REFUSALS)

    def test_a_lasting_overload_starves_no_kind(self):
        """Today's order serves the last priority with what is left, which is nothing."""
        # Not shorter: the work that waits at the end is served after it, which favours the policy
        # that keeps more waiting.
        pattern = find_pattern("1.8 times")
        rows = {
            policy: measure(play(pattern, policy))
            for policy in (POLICY_IN_USE, POLICY_BY_VALUE, POLICY_WITH_SHARES)
        }
        before, by_value, shared = rows.values()
        for row in (by_value, shared):
            self.assertLess(row.late_refusals, MAX_LATE_REFUSALS)
            self.assertLess(row.late_refusals, before.late_refusals / 2)
            self.assertGreater(row.value, before.value)
        self.assertGreater(shared.worst, 0.1)
        self.assertGreater(shared.worst, 2 * before.worst)
        # Each of three queues has 0.1 of the capacity reserved.
        self.assertGreater(shared.least_served, 0.08)
        self.assertLess(shared.gap_s, 2.0)

    def test_the_loss_and_the_return_of_a_fifth_of_the_workers(self):
        pattern = find_pattern("0.95 times, a fifth lost")
        before, shared = (
            measure(play(pattern, policy)) for policy in (POLICY_IN_USE, POLICY_WITH_SHARES)
        )
        self.assertGreater(shared.value, before.value)
        self.assertGreaterEqual(shared.worst, before.worst)
        self.assertLess(shared.late_refusals, MAX_LATE_REFUSALS)


class ReportedSharesTest(unittest.TestCase):
    """What owners report to each other of the capacity that queues got."""

    def play(self, version):
        """Return what one owner reports of a queue, and what the other one starts from."""

        def make_policy():
            return ScarcityPolicy(SharingSettings(least_share=0.3), MemoryCounters())

        world = DispatchWorld(4, 2, make_policy, group_workers=2)
        self.addCleanup(world.close)
        first, second = world.dispatchers
        for dispatcher in world.dispatchers:
            dispatcher.messenger._monitor.version_of = lambda _peer: version
        first.submit_locally(make_spec("a", count=2, cpu=1_000, run_ms=100))
        world.clock.advance(500)
        reported = second.dispatcher.find_served(QUEUE.service)
        second.submit_locally(make_spec("b", cpu=1_000, run_ms=100))
        world.clock.advance(5)
        return reported, second.dispatcher.describe_load(QUEUE.service).served

    def test_an_owner_starts_from_what_the_other_one_reports(self):
        reported, got = self.play(CURRENT_VERSION)
        self.assertEqual([QUEUE.name], [share.queue for share in reported])
        # Two runs of 100,000, less what is forgotten after half a second.
        self.assertAlmostEqual(200_000 * math.exp(-0.25), reported[0].work, delta=10_000)
        self.assertAlmostEqual(reported[0].work + 100_000, got[0].work, delta=2_000)

    def test_an_owner_starts_from_zero_beside_an_earlier_build(self):
        reported, got = self.play(VERSION_BASE)
        self.assertEqual([], reported)
        self.assertAlmostEqual(100_000, got[0].work, delta=2_000)


class TraceTest(unittest.TestCase):
    """Log lines and counters that tell why a job was refused."""

    def test_refusals_on_arrival_and_after_a_loss_of_capacity_name_their_inputs(self):
        world = DispatchWorld(
            1,
            1,
            lambda: ScarcityPolicy(SharingSettings(value_order=True), MemoryCounters()),
        )
        self.addCleanup(world.close)
        # The objective of a job that needs all workers at once is 1,660 ms.
        queue = QUEUE._replace(objective_factor=0.4)
        running = make_spec("running", count=2, cpu=5_000, run_ms=300)
        world.dispatcher.submit_locally(running, queue)
        world.clock.advance(5)
        spec = make_spec("waiting", count=2, cpu=5_000, run_ms=1_000)
        waiting = world.dispatcher.submit_locally(spec, queue)
        with self.assertLogs("geraniumspool", "INFO") as logs:
            world.dispatcher.submit(spec._replace(job_id="refused"), queue)
            # Half of the capacity is lost.
            minion = world.workers[0].minion
            minion.resize(minion.incarnation.resources._replace(cpu=5_000))
            eventlet.spawn_n(world.workers[0].executor.handle_minion_report, minion.incarnation)
            world.clock.advance(200)
        lines = {record.getMessage(): dict(record.fields) for record in logs.records}
        refused, shed = lines["job refused"], lines["job shed"]
        self.assertEqual(("refused", "overload"), (refused["job"], refused["reason"]))
        self.assertLess(refused["in_time"], 0.5)
        self.assertEqual(10_000_000, lines["capacity scarce"]["queued"])
        self.assertEqual("waiting", shed["job"])
        self.assertEqual((5_000, 10_000), (shed["capacity"], shed["accepted_capacity"]))
        self.assertEqual(1, world.dispatcher.counters.get("jobs_shed", queue=QUEUE.name))
        self.assertEqual("overload", waiting.result.code)
        self.assertGreater(waiting.result.retry_after_ms, 1_000)


class SeveralOwnersTest(unittest.TestCase):
    """Owners decide for their own workers alone."""

    def test_each_of_two_owners_keeps_the_least_shares(self):
        pattern = find_pattern("1.8 times")._replace(length_ms=LENGTH_MS)
        played = PatternSimulation(
            pattern, POLICIES[POLICY_WITH_SHARES], SEED, WORKERS, DISPATCHERS, group_workers=3
        )
        played.run()
        for dispatcher in played.world.dispatchers:
            self.assertGreater(sum(view.is_owned for view in dispatcher.dispatcher.fleet.views), 0)
        row = measure(played)
        self.assertLess(row.late_refusals, MAX_LATE_REFUSALS)
        self.assertGreater(row.worst, 0.1)


if __name__ == "__main__":
    unittest.main()
