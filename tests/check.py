"""Runs all tests; those that KNOWN-RED.txt names may fail, and are printed.

Run as ``python -m tests.check``. A known red test that passes fails the run too: its
line has to go.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MOST_KNOWN = 3


def read_known(path: Path = KNOWN_RED) -> dict[str, str]:
    """Return the reasons of the known red tests by their ids.

    :raises ValueError: if there are too many, or a line names no test
    """
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    known = {}
    for line in lines:
        name, _, reason = line.partition(": ")
        if not name.startswith("tests.") or not reason:
            raise ValueError(f"no test and reason in {path.name}: {line}")
        known[name] = reason
    if len(known) > MOST_KNOWN:
        raise ValueError(f"{path.name} has {len(known)} lines, {MOST_KNOWN} at most")
    return known


def judge(result: unittest.TestResult, known: dict[str, str]) -> tuple[set[str], set[str]]:
    """Return the tests that failed without being known, and the known ones that did not fail."""
    red = {_name(test) for test, _ in (*result.failures, *result.errors)}
    return red - known.keys(), known.keys() - red


def main() -> int:
    """Run the tests; return the exit code."""
    known = read_known()
    tests = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=0).run(tests)
    unknown, mended = judge(result, known)
    for name, reason in known.items():
        print(f"known red: {name}: {reason}")
    for name in sorted(unknown):
        print(f"red: {name}")
    for name in sorted(mended):
        print(f"listed as known red, but not red: {name}")
    failed = len(unknown) + len(mended)
    print(f"{result.testsRun - failed - len(known)} passed, {failed} failed")
    return 1 if failed or result.unexpectedSuccesses else 0


def _name(test: unittest.TestCase) -> str:
    """Return the id of a test, of the whole test where a subtest failed."""
    return getattr(test, "test_case", test).id()


if __name__ == "__main__":
    sys.exit(main())
