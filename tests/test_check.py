"""Tests of the run of all tests and its list of known red ones."""

import tempfile
import unittest
from pathlib import Path

from tests import check


class Sample(unittest.TestCase):
    """Tests that are run here only."""

    def passes(self):
        pass

    def fails(self):
        self.fail("on purpose")

    def fails_in_a_subtest(self):
        with self.subTest("one"):
            self.fail("on purpose")


def run(*names):
    """Return the result of some sample tests."""
    result = unittest.TestResult()
    unittest.TestSuite(map(Sample, names)).run(result)
    return result


def name_of(name):
    """Return the id of a sample test."""
    return f"{Sample.__module__}.Sample.{name}"


class CheckTest(unittest.TestCase):
    """What makes the run fail."""

    def test_only_known_tests_may_fail_and_they_have_to(self):
        fails, passes = name_of("fails"), name_of("passes")
        rows = [
            (("passes",), {}, set(), set()),
            (("passes", "fails"), {}, {fails}, set()),
            (("passes", "fails"), {fails: "r"}, set(), set()),
            (("passes",), {passes: "r"}, set(), {passes}),
            (("fails_in_a_subtest",), {name_of("fails_in_a_subtest"): "r"}, set(), set()),
        ]
        for names, known, unknown, mended in rows:
            with self.subTest(names=names, known=known):
                self.assertEqual((unknown, mended), check.judge(run(*names), known))

    def test_the_list_is_checked(self):
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

    def test_the_list_of_this_project_can_be_read(self):
        check.read_known()
