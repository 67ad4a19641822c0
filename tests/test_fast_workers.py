"""Tests of jobs that are on time only on fast workers, among others that fill them.

Short urgent jobs go to the workers on which they end first. A long job then waits for a fast worker
until it is late, or is refused because it would be late on a worker of usual speed.
"""

import unittest

from geraniumspool.job_specs import JobOutcome
from tests.dispatch_world import make_spec
from tests.test_dispatcher import DispatchCase

PACES = (1.4, 1.4, 0.6)


class FastWorkersTest(DispatchCase):
    """One fast worker and two slow ones."""

    def setUp(self):
        super().setUp()
        for worker, pace in zip(self.world.workers, PACES, strict=True):
            worker.minion.slow_factor = pace
        self.placer = self.dispatcher.dispatcher._placer
        for number in range(60):
            self.dispatcher.submit(make_spec(f"w{number}", 3))
            self.advance(170, 170)
        self.placer.keeps_fast_workers = True

    def submit_long(self):
        """Submit a job that takes 1.4 s on slow workers, 0.6 s on the fast one; 0.8 s are left."""
        return self.dispatcher.submit(make_spec("long", 2, run_ms=1_000), timeout_ms=800.0)

    def test_jobs_with_slack_leave_the_fast_worker_free(self):
        small = self.dispatcher.submit(make_spec("small", 3, run_ms=300))
        self.advance(30)
        self.assertEqual(set(), self.world.workers[2].minion.running)
        long = self.submit_long()
        self.advance(900)
        self.assertEqual(1, self.dispatcher.counters.get("jobs_need_fast_workers", queue="scan"))
        self.assertEqual(JobOutcome.SUCCEEDED, small.outcome)
        self.assertEqual(JobOutcome.SUCCEEDED, long.outcome)

    def test_without_the_setting_the_long_job_is_refused(self):
        self.placer.keeps_fast_workers = False
        long = self.submit_long()
        self.advance(50)
        self.assertEqual((JobOutcome.REFUSED, "deadline"), (long.outcome, long.result.code))

    def test_a_job_that_is_late_everywhere_is_still_refused(self):
        long = self.dispatcher.submit(make_spec("long", 1, run_ms=2_000), timeout_ms=800.0)
        self.advance(50)
        self.assertEqual((JobOutcome.REFUSED, "deadline"), (long.outcome, long.result.code))


if __name__ == "__main__":
    unittest.main()
