"""Tests of the blame for minions that crash: table of crashes, and whom they name."""

import unittest

from geraniumspool.crash_blame import MOST_SUSPECTS, TOGETHER_MS, CrashBlame


class CrashBlameTest(unittest.TestCase):
    """Crashes one after the other."""

    def setUp(self):
        self.blame = CrashBlame()
        self.now = 1_000.0

    def crash(self, *tasks, after_ms=1_000.0):
        self.now += after_ms
        return self.blame.note_crash(tasks, self.now)

    def test_the_one_suspect_under_a_second_crash_is_named(self):
        self.assertEqual(set(), self.crash("bad", "a", "b"))
        self.assertEqual({"bad"}, self.crash("bad", "c", "d"))

    def test_two_suspects_under_one_crash_need_a_third(self):
        self.crash("bad", "a", "b")
        self.assertEqual(set(), self.crash("bad", "a"))
        self.assertEqual({"bad"}, self.crash("bad", "c"))

    def test_who_ran_well_since_is_no_suspect(self):
        self.crash("bad", "a")
        self.blame.acquit("a")
        self.assertFalse(self.blame.is_suspect("a"))
        self.assertEqual({"bad"}, self.crash("bad", "a"))

    def test_minions_that_crash_together_accuse_nobody(self):
        self.crash("a", "b")
        self.assertEqual(set(), self.crash("c", "d", after_ms=TOGETHER_MS / 2))
        self.assertEqual(set(), self.crash("e", after_ms=TOGETHER_MS / 2))
        self.assertEqual([False] * 5, [self.blame.is_suspect(name) for name in "abcde"])

    def test_a_second_crash_under_a_suspect_is_never_taken_for_a_common_one(self):
        self.crash("bad", "a")
        self.assertEqual({"bad"}, self.crash("bad", "b", after_ms=TOGETHER_MS / 2))

    def test_suspects_are_bounded(self):
        self.crash(*(f"t{number}" for number in range(MOST_SUSPECTS + 5)))
        self.assertFalse(self.blame.is_suspect("t0"))
        self.assertTrue(self.blame.is_suspect(f"t{MOST_SUSPECTS + 4}"))


if __name__ == "__main__":
    unittest.main()
