"""Random network cuts between dispatchers, with callers that return, reproducible by seed."""

import unittest

from tests.cut_storm import KEYS_LOST, PLAIN, REPLACED, CutStorm

# Arbiters granted a job after they had forgotten its former holder, and executors had replaced the
# fence of the dispatcher that ran it.
REPLACED_FENCE_SEEDS = (541,)
# A grant under the former members counted under the members of one side.
MEMBERS_SEEDS = (15, 84, 225)
PLAIN_SEEDS = (1, 2, *REPLACED_FENCE_SEEDS, *MEMBERS_SEEDS)
REPLACED_SEEDS = (1, 2, 411, 459, 545, 623, 644, 726)
KEYS_SEEDS = (1, 2, 121, 23, 29, 53, 54, 76, 113, 160, 186, 188)


class CutStormTest(unittest.TestCase):
    """No task runs on two minions at the same time, whenever dispatchers are cut from others."""

    def check(self, seeds, kind):
        for seed in seeds:
            with self.subTest(seed=seed):
                storm = CutStorm(seed, kind)
                doubled = storm.run()
                self.assertEqual([], storm.errors)
                self.assertEqual(set(), doubled, storm.describe())

    def test_cuts(self):
        self.check(PLAIN_SEEDS, PLAIN)

    def test_cuts_with_executors_that_are_replaced(self):
        self.check(REPLACED_SEEDS, REPLACED)

    def test_cuts_with_sides_that_lose_the_keys_of_each_other(self):
        self.check(KEYS_SEEDS, KEYS_LOST)

    def test_storms_are_reproducible_by_seed(self):
        storms = [CutStorm(3, REPLACED) for _ in range(2)]
        for storm in storms:
            storm.run()
        self.assertEqual(*[(storm.actions, len(storm.world.network.sent)) for storm in storms])


if __name__ == "__main__":
    unittest.main()
