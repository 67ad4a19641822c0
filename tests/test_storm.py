"""Tests of random storms, and that their checks notice what is wrong."""

import logging
import unittest
from unittest import mock

from benchmarks.storm import Storm
from tests.world import ProcessMinion

FEW_STEPS = 8


class StormTest(unittest.TestCase):
    """A few storms; ``python -m benchmarks.explore`` runs more."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def make(self, *arguments) -> Storm:
        storm = Storm(*arguments)
        self.addCleanup(storm.stop)
        return storm

    def test_promises_hold(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                storm = self.make(seed)
                self.assertEqual(storm.run(), [], storm.acts)

    def test_same_seed_same_acts(self):
        first, second = self.make(3, FEW_STEPS), self.make(3, FEW_STEPS)
        first.run()
        second.run()
        self.assertEqual(first.acts, second.acts)

    def test_checks_notice(self):
        """Each case: what is wrong, and a word of what is said of it."""

        def double_starts(storm):
            count = ProcessMinion._count
            twice = mock.patch.object(
                ProcessMinion, "_count", lambda self, value, amount: count(self, value, 2 * amount)
            )
            twice.start()
            self.addCleanup(twice.stop)

        def accept_more(storm):
            storm._accepted[1 << 40] = 1.0

        def forget_agent(storm):
            storm.world.agents.pop()

        def never_serve(storm):
            storm.world.network.lose_kinds.add("Submit")
            storm.world.network.clear = lambda: None

        cases = (
            (double_starts, "started 2 times"),
            (accept_more, "was accepted"),
            (forget_agent, "believes in"),
            (never_serve, "after the faults"),
        )
        for break_it, word in cases:
            with self.subTest(break_it.__name__):
                storm = self.make(3, FEW_STEPS)
                break_it(storm)
                self.assertIn(word, " ".join(storm.run()))
