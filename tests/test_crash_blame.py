"""Tests of how tasks are blamed for minion crashes."""

import unittest

from geraniumspool.crash_blame import MAX_SUSPECTS, SIMULTANEOUS_MS, CrashBlame


class CrashBlameTest(unittest.TestCase):
    """Sequences of minion crashes."""

    def setUp(self):
        self.blame = CrashBlame()
        self.now = 1_000.0

    def crash(self, *tasks, after_ms=1_000.0):
        """Record a minion crash under some tasks; return the blamed ones."""
        self.now += after_ms
        return self.blame.record_crash(tasks, self.now)

    def test_the_only_suspect_in_a_second_crash_is_blamed(self):
        self.assertEqual(set(), self.crash("bad", "a", "b"))
        self.assertEqual({"bad"}, self.crash("bad", "c", "d"))

    def test_of_two_suspects_in_one_crash_one_is_blamed_at_its_third(self):
        self.crash("bad", "a", "b")
        self.assertEqual(set(), self.crash("bad", "a"))
        self.assertEqual({"bad"}, self.crash("bad", "c"))

    def test_a_task_that_completed_since_is_no_suspect(self):
        self.crash("bad", "a")
        self.blame.acquit("a")
        self.assertFalse(self.blame.is_suspect("a"))
        self.assertEqual({"bad"}, self.crash("bad", "a"))

    def test_simultaneous_crashes_make_no_suspects(self):
        self.crash("a", "b")
        self.assertEqual(set(), self.crash("c", "d", after_ms=SIMULTANEOUS_MS / 2))
        self.assertEqual(set(), self.crash("e", after_ms=SIMULTANEOUS_MS / 2))
        self.assertEqual([False] * 5, [self.blame.is_suspect(name) for name in "abcde"])

    def test_a_crash_under_a_suspect_counts_even_if_simultaneous(self):
        self.crash("bad", "a")
        self.assertEqual({"bad"}, self.crash("bad", "b", after_ms=SIMULTANEOUS_MS / 2))

    def test_the_number_of_suspects_is_bounded(self):
        self.crash(*(f"t{number}" for number in range(MAX_SUSPECTS + 5)))
        self.assertFalse(self.blame.is_suspect("t0"))
        self.assertTrue(self.blame.is_suspect(f"t{MAX_SUSPECTS + 4}"))


if __name__ == "__main__":
    unittest.main()
