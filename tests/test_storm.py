"""Tests that guarantees hold under random faults and that the checks detect violations."""

import logging
import unittest
from unittest import mock

from benchmarks.storm import RandomFaultRun
from tests.world import CountingMinionClient

SHORT_RUN_STEPS = 8


class StormTest(unittest.TestCase):
    """A few seeds of random faults; ``python -m benchmarks.explore`` runs more."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def make(self, *arguments) -> RandomFaultRun:
        fault_run = RandomFaultRun(*arguments)
        self.addCleanup(fault_run.stop)
        return fault_run

    def test_guarantees_hold(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                fault_run = self.make(seed)
                self.assertEqual(fault_run.run(), [], fault_run.acts)

    def test_same_seed_repeats_the_acts(self):
        first, second = self.make(3, SHORT_RUN_STEPS), self.make(3, SHORT_RUN_STEPS)
        first.run()
        second.run()
        self.assertEqual(first.acts, second.acts)

    def test_checks_detect_violations(self):
        """Each case: a function that causes a violation, and part of the reported text."""

        def count_starts_twice(fault_run):
            count = CountingMinionClient._count
            twice = mock.patch.object(
                CountingMinionClient,
                "_count",
                lambda self, value, amount: count(self, value, 2 * amount),
            )
            twice.start()
            self.addCleanup(twice.stop)

        def add_accepted_revision(fault_run):
            fault_run._accepted[1 << 40] = 1.0

        def remove_agent_from_world(fault_run):
            fault_run.world.agents.pop()

        def lose_all_submits(fault_run):
            fault_run.world.network.dropped_kinds.add("Submit")
            fault_run.world.network.clear = lambda: None

        cases = (
            (count_starts_twice, "started 2 times"),
            (add_accepted_revision, "was accepted"),
            (remove_agent_from_world, "believes in"),
            (lose_all_submits, "after the faults"),
        )
        for inject_violation, word in cases:
            with self.subTest(inject_violation.__name__):
                fault_run = self.make(3, SHORT_RUN_STEPS)
                inject_violation(fault_run)
                self.assertIn(word, " ".join(fault_run.run()))
