"""A dispatcher that holds a job, and an arbiter that names a challenger as its holder."""

import unittest

from tests.dispatch_world import make_spec
from tests.test_claim_gaps import START_MS, ClaimGapCase

RUN_MS = 3_000
# From the challenge until the holder requests its claim again, as an executor's restart causes.
CHALLENGED_MS = 20
# By then the challenger has been refused; its caller is back.
AWAY_MS = 200


class NamedChallengerTest(ClaimGapCase):
    """A challenger, which is an arbiter, names itself when the holder requests its claim again.

    A holder that believes it releases the job while its runs go on, and the next claim is granted.
    """

    def run_case(self, name):
        _challenger, arbiter, holder = self.all_dispatchers
        self.place(2, make_spec(name, run_ms=RUN_MS))
        self.advance(START_MS)
        self.assertEqual(1, self.world.start_count(f"{name}.0.0.0"))
        self.place(0, make_spec(name, run_ms=RUN_MS))
        self.advance(CHALLENGED_MS)
        # One cut: the arbiter and the executor of the run are on one side, the holder on another.
        worker = next(w for w in self.world.workers if f"{name}.0.0.0" in w.minion.running)
        self.partition(holder.address, [arbiter.address, worker.address])
        holder.claims.renew_grants("executor_new")
        self.advance(AWAY_MS)
        self.place(0, make_spec(name, run_ms=RUN_MS))
        self.advance(RUN_MS)
        self.assertEqual(set(), self.ran_twice)

    def test_a_job_is_not_released_while_its_runs_go_on(self):
        self.run_for_each_job(self.run_case, 6)


if __name__ == "__main__":
    unittest.main()
