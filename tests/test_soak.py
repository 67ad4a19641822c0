"""A short soak: real programs as processes, with faults from one seed."""

import tempfile
import unittest

from benchmarks.soak import Soak

# Long enough for a few faults that overlap.
LOAD_S = 5.0
SEED = 1_000


class ShortSoakTest(unittest.TestCase):
    """Promises hold for one short seed."""

    def test_no_promise_is_broken(self):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(SEED, folder, LOAD_S)
            soak.run()
        self.assertEqual([], soak.witness.broken)
        self.assertTrue(any(outcome.succeeded for outcome in soak.outcomes))


if __name__ == "__main__":
    unittest.main()
