"""Requests of a dispatcher for a claim that it holds already, and that are lost."""

import unittest

from geraniumspool.claim_messages import ClaimJobs
from tests.dispatch_world import SimulatedWorker, make_spec
from tests.test_claim_gaps import START_MS, STEP_MS, ClaimGapCase

RUN_MS = 3_000
REQUESTED_WITHIN_MS = 1_500
# Shorter than the interval at which a request is repeated.
LOST_FOR_MS = 90


class ForgottenGrantTest(ClaimGapCase):
    """A running job whose repeated request is lost, while a later message of its holder arrives."""

    def setUp(self):
        super().setUp()
        self.lost_job_id = ""
        self.lost = 0
        self.transmit = self.world.network.transmit
        self.world.network.transmit = self._transmit_unless_lost

    def _transmit_unless_lost(self, sender, receiver, message, *rest):
        is_claim = sender.address == self.all_dispatchers[0].address and isinstance(
            message, ClaimJobs
        )
        if is_claim and any(claim.job_id == self.lost_job_id for claim in message.claims):
            self.lost += 1
            return
        self.transmit(sender, receiver, message, *rest)

    def restart_executor(self, name):
        """Restart an executor that does not run a job; its holder has to request the job again."""
        index, worker = next(
            (index, worker)
            for index, worker in enumerate(self.world.workers)
            if f"{name}.0.0.0" not in worker.minion.running
        )
        worker.kill()
        self.world.workers[index] = SimulatedWorker(
            self.world, worker.name, 2, worker.minion, fence=100
        )

    def test_arbiters_keep_the_grant_of_a_job_that_is_requested_again(self):
        def scenario(name):
            holder = self.all_dispatchers[0]
            self.place(0, make_spec(name, run_ms=RUN_MS))
            self.advance(START_MS)
            self.assertEqual(1, self.world.start_count(f"{name}.0.0.0"))
            self.lost_job_id = name
            self.restart_executor(name)
            self.lost = 0
            for _ in range(REQUESTED_WITHIN_MS // STEP_MS):
                if not self.lost:
                    self.advance(STEP_MS)
            self.assertGreater(self.lost, 0)
            self.place(0, make_spec(f"other-{name}", run_ms=100))
            holder.claims._flush()
            self.advance(10)
            self.place(2, make_spec(name, run_ms=RUN_MS))
            self.advance(LOST_FOR_MS - 20)
            self.lost_job_id = ""
            self.advance(RUN_MS)
            self.assertEqual(set(), self.ran_twice)

        self.run_for_each_job(scenario, 8)


if __name__ == "__main__":
    unittest.main()
