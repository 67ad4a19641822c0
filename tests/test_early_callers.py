"""Tests that no task runs twice if a job is sent again while its runs are being stopped."""

import unittest

from geraniumspool.job_specs import JobOutcome
from tests.dispatch_world import DispatchWorld, Home, make_spec

# Shorter than it takes to stop a run, so that overlapping runs are seen.
STEP_MS = 5
RUN_MS = 300
# The caller sends the job again while its first runs are in progress.
RESEND_MS = 40
WAIT_MS = 3_000


class EarlyCallerTest(unittest.TestCase):
    """Three dispatchers that own a worker each, and a caller that sends its job again at once."""

    def setUp(self):
        self.world = DispatchWorld(3, 3, group_workers=1)
        self.addCleanup(self.world.close)
        self.homes = self.world.homes
        self.dead = set()
        self.ran_twice = set()

    def advance(self, total_ms):
        """Let time pass, and collect the tasks that run twice at the same time."""
        for _ in range(int(total_ms // STEP_MS)):
            self.world.clock.advance(STEP_MS)
            self.ran_twice |= self.world.running_twice()

    def start_job(self, home):
        """Submit a job and let it run for a while."""
        self.spec = make_spec("j", count=3, cpu=4_000, run_ms=RUN_MS)
        request = home.submit(self.spec)
        self.advance(RESEND_MS)
        self.assertEqual(1, self.world.started("j.0.0.0"))
        return request

    def hang_up(self, home):
        request = self.start_job(home)
        home.router.leave_job(request.job)

    def kill_dispatcher(self, home):
        self.start_job(home)
        home.kill()
        self.dead.add(home)

    def restart_dispatcher(self, home):
        self.kill_dispatcher(home)
        index = self.homes.index(home)
        self.homes[index] = Home(self.world, f"h{index}", incarnation=2)

    def restart_all(self, _home):
        self.start_job(self.homes[0])
        for home in self.homes:
            home.kill()
        self.homes[:] = [Home(self.world, f"h{index}", incarnation=2) for index in range(3)]

    def keep_waiting(self, home):
        self.start_job(home)

    def abandon_jobs(self, home):
        """Have the dispatcher report the job as unfinished, so its caller may send it again."""
        self.start_job(home)
        home.router.abandon()

    def partition(self, home):
        """Lose all messages between a dispatcher and the others; its caller hangs up."""
        request = self.start_job(home)
        for other in self.homes:
            if other is not home:
                self.world.network.part(home.address, other.address)
        home.router.leave_job(request.job)

    def test_a_job_sent_again_at_once_has_no_task_run_twice(self):
        faults = (
            self.hang_up,
            self.kill_dispatcher,
            self.restart_dispatcher,
            self.restart_all,
            self.keep_waiting,
            self.abandon_jobs,
            self.partition,
        )
        for fault in faults:
            for index in (0, 1, 2):
                with self.subTest(fault.__name__, index=index):
                    self.doCleanups()
                    self.setUp()
                    fault(self.homes[0])
                    if self.homes[index] not in self.dead:
                        request = self.homes[index].submit(self.spec, wait_ms=WAIT_MS)
                        self.advance(WAIT_MS)
                        self.assertIn(request.outcome, (JobOutcome.SUCCEEDED, JobOutcome.REFUSED))
                    self.assertEqual(set(), self.ran_twice)
