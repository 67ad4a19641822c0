"""Tests that no task runs twice if a job is sent again while its runs are being stopped."""

import unittest

from geraniumspool.job_specs import JobOutcome
from tests.dispatch_world import DispatchWorld, SimulatedDispatcher, make_spec

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
        self.dispatchers = self.world.dispatchers
        self.dead = set()
        self.ran_twice = set()

    def advance(self, total_ms):
        """Let time pass, and collect the tasks that run twice at the same time."""
        for _ in range(int(total_ms // STEP_MS)):
            self.world.clock.advance(STEP_MS)
            self.ran_twice |= self.world.find_duplicate_runs()

    def start_job(self, dispatcher):
        """Submit a job and let it run for a while."""
        self.spec = make_spec("j", count=3, cpu=4_000, run_ms=RUN_MS)
        request = dispatcher.submit(self.spec)
        self.advance(RESEND_MS)
        self.assertEqual(1, self.world.start_count("j.0.0.0"))
        return request

    def hang_up(self, dispatcher):
        request = self.start_job(dispatcher)
        dispatcher.router.remove_waiter(request.job)

    def kill_dispatcher(self, dispatcher):
        self.start_job(dispatcher)
        dispatcher.kill()
        self.dead.add(dispatcher)

    def restart_dispatcher(self, dispatcher):
        self.kill_dispatcher(dispatcher)
        index = self.dispatchers.index(dispatcher)
        self.dispatchers[index] = SimulatedDispatcher(self.world, f"h{index}", incarnation=2)

    def restart_all(self, _home):
        self.start_job(self.dispatchers[0])
        for dispatcher in self.dispatchers:
            dispatcher.kill()
        self.dispatchers[:] = [
            SimulatedDispatcher(self.world, f"h{index}", incarnation=2) for index in range(3)
        ]

    def keep_waiting(self, dispatcher):
        self.start_job(dispatcher)

    def abandon_jobs(self, dispatcher):
        """Have the dispatcher report the job as unfinished, so its caller may send it again."""
        self.start_job(dispatcher)
        dispatcher.router.abort_jobs()

    def partition(self, dispatcher):
        """Lose all messages between a dispatcher and the others; its caller hangs up."""
        request = self.start_job(dispatcher)
        for other in self.dispatchers:
            if other is not dispatcher:
                self.world.network.partition(dispatcher.address, other.address)
        dispatcher.router.remove_waiter(request.job)

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
                    fault(self.dispatchers[0])
                    if self.dispatchers[index] not in self.dead:
                        request = self.dispatchers[index].submit(self.spec, timeout_ms=WAIT_MS)
                        self.advance(WAIT_MS)
                        self.assertIn(request.outcome, (JobOutcome.SUCCEEDED, JobOutcome.REFUSED))
                    self.assertEqual(set(), self.ran_twice)
