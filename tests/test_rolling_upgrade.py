"""Processes of earlier builds beside current ones, as during an upgrade in turn."""

import tempfile
import unittest
from pathlib import Path

from benchmarks.soak_processes import CURRENT_BUILD, Build
from benchmarks.upgrades import UpgradeRun
from geraniumspool.wire_versions import VERSION_BASE, VERSION_STAMPED

# Long enough for reports, forwarded jobs and claims between processes of both builds.
MIXED_S = 2.0
# One executor and its successor of the other build.
REPLACEMENTS = 1


class RollingUpgradeTest(unittest.TestCase):
    """A deployment of two builds becomes ready, serves its callers and stays consistent."""

    def play(self, version):
        earlier = Build("tests.earlier_build", (str(version),))
        with tempfile.TemporaryDirectory() as folder:
            run = UpgradeRun((CURRENT_BUILD, earlier), 1, folder)
            run.run(MIXED_S, REPLACEMENTS)
            logs = "".join(path.read_text() for path in Path(folder).glob("*.log"))
        self.assertIsNotNone(run.ready_s)
        self.assertEqual([], run.checker.violations)
        self.assertEqual([], [job for job in run.mixed if not job.succeeded])
        self.assertTrue(any(job.succeeded for job in run.replaced))
        self.assertIn("peer of another version", logs)

    def test_beside_a_build_that_rejects_stamps(self):
        """A build that rejects a longer envelope hears nothing of one that always sends it."""
        self.play(VERSION_BASE)

    def test_beside_a_build_that_rejects_unknown_elements(self):
        self.play(VERSION_STAMPED)


if __name__ == "__main__":
    unittest.main()
