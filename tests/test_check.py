"""Tests of the test runner and its list of known failures."""

import tempfile
import unittest
from pathlib import Path

from tests import check


class SampleTests(unittest.TestCase):
    """Methods without the prefix ``test``, which the loader skips and this module runs."""

    def passes(self):
        pass

    def fails(self):
        self.fail("on purpose")

    def fails_in_a_subtest(self):
        with self.subTest("one"):
            self.fail("on purpose")


def run(*names):
    """Run sample tests by method name and return the result."""
    result = unittest.TestResult()
    unittest.TestSuite(map(SampleTests, names)).run(result)
    return result


def sample_id(name):
    """Return the id of a sample test."""
    return f"{SampleTests.__module__}.SampleTests.{name}"


class CheckTest(unittest.TestCase):
    """Conditions under which the run fails."""

    def test_exactly_the_known_tests_must_fail(self):
        fails, passes = sample_id("fails"), sample_id("passes")
        rows = [
            (("passes",), {}, set(), set()),
            (("passes", "fails"), {}, {fails}, set()),
            (("passes", "fails"), {fails: "r"}, set(), set()),
            (("passes",), {passes: "r"}, set(), {passes}),
            (("fails_in_a_subtest",), {sample_id("fails_in_a_subtest"): "r"}, set(), set()),
        ]
        for names, known, unknown, mended in rows:
            with self.subTest(names=names, known=known):
                self.assertEqual((unknown, mended), check.compare_with_known(run(*names), known))

    def test_malformed_lists_are_rejected(self):
        line = "tests.a.B.c: reason\n"
        others = "".join(f"tests.a.B.{name}: reason\n" for name in "defg")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            self.assertEqual({}, check.read_known(path))
            path.write_text(line)
            self.assertEqual({"tests.a.B.c": "reason"}, check.read_known(path))
            for text in (line + others, "tests.a.B.c\n", "something: else\n"):
                path.write_text(text)
                with self.assertRaises(ValueError):
                    check.read_known(path)

    def test_tests_of_crowds_do_not_count_against_the_limit(self):
        crowds = "".join(f"{check.CROWD_TESTS}C.{name}: reason\n" for name in "abcd")
        others = "".join(f"tests.a.B.{name}: reason\n" for name in "abc")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            path.write_text(crowds + others)
            self.assertEqual(7, len(check.read_known(path)))
            path.write_text(crowds + others + "tests.a.B.d: reason\n")
            with self.assertRaises(ValueError):
                check.read_known(path)

    def test_this_projects_list_is_valid(self):
        check.read_known()
