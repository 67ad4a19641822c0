"""Run all tests, and tolerate failures of exactly those that KNOWN-RED.txt lists.

Run as ``python -m tests.check``. Known failures are printed. The run also fails when a listed
test passes, so that its line is removed from the file.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
# Tests of crowds of clients without limits; their entries do not count against that number.
CROWD_TESTS = "tests.test_crowds."


def read_known(path: Path = KNOWN_RED) -> dict[str, str]:
    """Return the tests that are known to fail: the reason of each by test id.

    :param path: file with one ``id: reason`` per line; empty lines are skipped, and a
        missing file lists no test
    :raises ValueError: if a line has no test id or no reason, or if the file lists more than
        ``MAX_KNOWN_FAILURES`` tests besides those of ``CROWD_TESTS``
    """
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    known = {}
    for line in lines:
        name, _, reason = line.partition(": ")
        if not name.startswith("tests.") or not reason:
            raise ValueError(f"{path.name}: not of the form 'tests.ID: REASON': {line}")
        known[name] = reason
    counted = [name for name in known if not name.startswith(CROWD_TESTS)]
    if len(counted) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{path.name} lists {len(counted)} tests, at most {MAX_KNOWN_FAILURES}")
    return known


def compare_with_known(
    result: unittest.TestResult, known: dict[str, str]
) -> tuple[set[str], set[str]]:
    """Compare the failures and errors of a run with the known failures.

    :returns: ids of the tests that failed but aren't known to, and of the known failures that
        did not fail
    """
    failed = {_test_id(test) for test, _ in (*result.failures, *result.errors)}
    return failed - known.keys(), known.keys() - failed


def main() -> int:
    """Run all tests and return the exit code."""
    known = read_known()
    tests = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=0).run(tests)
    unknown, mended = compare_with_known(result, known)
    for name, reason in known.items():
        print(f"known red: {name}: {reason}")
    for name in sorted(unknown):
        print(f"red: {name}")
    for name in sorted(mended):
        print(f"listed as known red, but not red: {name}")
    failed = len(unknown) + len(mended)
    print(f"{result.testsRun - failed - len(known)} passed, {failed} failed")
    return 1 if failed or result.unexpectedSuccesses else 0


def _test_id(test: unittest.TestCase) -> str:
    """Return the id of a test; for a failed subtest, the id of the test that contains it."""
    return getattr(test, "test_case", test).id()


if __name__ == "__main__":
    sys.exit(main())
