"""Tests of callers of the same job at several dispatchers, some of whom hang up."""

import unittest

from geraniumspool.job_specs import JobOutcome
from geraniumspool.routed_jobs import ForwardedJob
from tests.dispatch_world import DispatchWorld, make_spec

STEP_MS = 5
RUN_MS = 2_000
JOIN_MS = 40
WAIT_MS = 4_000
# By then the entry dispatcher lists a forwarded job in its reports.
LISTED_MS = 300


class JoinedCallerTest(unittest.TestCase):
    """Two dispatchers; one owns the only worker, and the other forwards its jobs to it."""

    def setUp(self):
        self.world = DispatchWorld(1, 2, group_workers=1)
        self.addCleanup(self.world.close)
        self.entry, self.owner = self.world.dispatchers
        if not isinstance(self.entry.submit(make_spec("probe")).job, ForwardedJob):
            self.entry, self.owner = self.owner, self.entry
        self.advance(WAIT_MS)
        self.spec = make_spec("j", run_ms=RUN_MS)
        self.first = self.entry.submit(self.spec)
        self.assertIsInstance(self.first.job, ForwardedJob)
        self.advance(JOIN_MS)

    def advance(self, total_ms):
        for _ in range(int(total_ms // STEP_MS)):
            self.world.clock.advance(STEP_MS)

    def test_a_job_continues_for_a_caller_at_the_owner_if_one_at_the_entry_hangs_up(self):
        # Reports that list this later job are complete for the first job as well.
        self.entry.submit(make_spec("k", run_ms=RUN_MS))
        second = self.owner.submit(self.spec)
        self.advance(LISTED_MS)
        self.entry.router.remove_waiter(self.first.job)
        self.advance(WAIT_MS)
        self.assertIs(JobOutcome.SUCCEEDED, second.outcome)


if __name__ == "__main__":
    unittest.main()
