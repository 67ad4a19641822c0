"""Short soak tests with real processes and seeded random faults."""

import tempfile
import unittest

from benchmarks.soak import Soak

# Long enough for a few faults that overlap.
LOAD_DURATION_S = 5.0
SEED = 1_000
EARLY_CALLERS_SEED = 4_000
SHARING_SEED = 6_000
CUTS_SEED = 7_000
LATE_DELIVERIES_SEED = 8_000


class ShortSoakTest(unittest.TestCase):
    """Guarantees hold in a short run for each kind of caller."""

    def play(self, seed):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, folder, LOAD_DURATION_S)
            soak.run()
        self.assertEqual([], soak.checker.violations)
        self.assertTrue(any(outcome.succeeded for outcome in soak.outcomes))

    def test_no_guarantee_is_violated(self):
        self.play(SEED)

    def test_no_guarantee_is_violated_with_callers_that_retry_at_once(self):
        self.play(EARLY_CALLERS_SEED)

    def test_no_guarantee_is_violated_while_capacity_and_demand_are_shared(self):
        self.play(SHARING_SEED)

    def test_no_task_runs_twice_while_dispatchers_are_cut_from_each_other(self):
        self.play(CUTS_SEED)

    def test_no_task_runs_twice_while_connections_deliver_late(self):
        self.play(LATE_DELIVERIES_SEED)


if __name__ == "__main__":
    unittest.main()
