"""Tests of fences, by which an executor runs a job for one dispatcher only."""

import unittest

from geraniumspool.claim_messages import FenceJobs, JobsFenced
from geraniumspool.counters import MemoryCounters
from geraniumspool.job_fences import FENCE_LIFETIME_MS
from geraniumspool.memory_link import MemoryMessenger
from geraniumspool.messages import Peer
from geraniumspool.run_messages import FENCED, RUN_STOPPED
from geraniumspool.wire_versions import make_incarnation
from tests.dispatch_world import DispatchWorld, SimulatedWorker, make_spec

JOB, TASK = "j", "j.0.0.0"
RANK = 100
RUN_MS = 400


class JobFenceTest(unittest.TestCase):
    """A worker that may run a job for one dispatcher; another one requests a fence on it."""

    def setUp(self):
        self.world = DispatchWorld(1, 1)
        self.addCleanup(self.world.close)
        self.worker = self.world.workers[0]
        self.results = []
        self.answers = 0
        self.requester = self.connect("asker")

    def connect(self, name):
        messenger = MemoryMessenger(
            self.world.network, Peer(f"tcp://{name}", make_incarnation(1)), MemoryCounters()
        )
        messenger.start(lambda delivery: self.record_answer(name, delivery.message))
        self.addCleanup(messenger.stop)
        return messenger

    def record_answer(self, name, message):
        """Count an answer; store it if it names a fenced job or a kept fence.

        Any other answer only shows that the executor is reachable.
        """
        self.answers += 1
        if message.job_ids or message.highest:
            self.results.append((name, message))

    def request_fence(self, messenger=None, rank=RANK, job_id=JOB):
        self.results.clear()
        peer = Peer(self.worker.address, self.worker.messenger.local_peer.incarnation)
        (messenger or self.requester).send(peer, FenceJobs((job_id,), rank))

    def start_run(self):
        request = self.world.dispatcher.submit_locally(make_spec(JOB, run_ms=RUN_MS))
        self.world.clock.advance(30)
        self.assertIn(TASK, self.worker.minion.running)
        return request

    def test_a_job_without_runs_is_fenced_at_once(self):
        self.request_fence()
        self.world.clock.advance(5)
        self.assertEqual([("asker", JobsFenced((JOB,), RANK))], self.results)

    def test_a_fence_is_confirmed_only_after_runs_of_another_dispatcher_have_ended(self):
        self.start_run()
        self.request_fence()
        while not self.results:
            self.world.clock.advance(1)
        self.assertEqual(set(), self.worker.minion.running)
        self.assertEqual(1, self.world.start_count(TASK))

    def test_a_request_is_answered_at_once_while_runs_are_being_stopped(self):
        self.start_run()
        self.request_fence()
        self.world.clock.advance(5)
        self.assertEqual((1, []), (self.answers, self.results))

    def test_a_repeated_request_stops_a_run_once(self):
        self.start_run()
        self.request_fence()
        self.request_fence()
        while not self.results:
            self.world.clock.advance(1)
        self.assertEqual(1, self.worker.counters.get("runs_ended", how=RUN_STOPPED))

    def test_a_fence_refuses_runs_of_another_dispatcher(self):
        self.request_fence()
        self.world.clock.advance(5)
        self.world.dispatcher.submit_locally(make_spec(JOB, run_ms=RUN_MS))
        self.world.clock.advance(10)
        refused = self.worker.counters.get("runs_refused", reason=FENCED)
        self.assertEqual(1, refused)

    def test_a_refused_dispatcher_that_holds_the_claim_runs_the_job_in_the_end(self):
        self.request_fence()
        self.world.clock.advance(5)
        request = self.world.dispatcher.submit_locally(make_spec(JOB, run_ms=RUN_MS))
        self.world.clock.advance(RUN_MS + 200)
        self.assertEqual("succeeded", request.outcome.value)
        self.assertEqual(1, self.world.start_count(TASK))

    def test_a_fence_is_replaced_by_one_of_higher_rank_only(self):
        second = self.connect("late")
        self.request_fence()
        self.world.clock.advance(5)
        self.request_fence(second, RANK - 1)
        self.world.clock.advance(5)
        self.assertEqual([("late", JobsFenced((), RANK - 1, RANK))], self.results)
        self.request_fence(second, RANK + 1)
        self.world.clock.advance(5)
        self.assertEqual([("late", JobsFenced((JOB,), RANK + 1, 0, (JOB,)))], self.results)

    def test_a_replaced_fence_of_another_dispatcher_is_reported_for_as_long_as_it_lasted(self):
        """Its answer may be lost, or the fence be requested again with a higher rank."""
        second = self.connect("late")
        self.request_fence()
        for rank in (RANK + 1, RANK + 1, RANK + 2):
            self.world.clock.advance(5)
            self.request_fence(second, rank)
            self.world.clock.advance(5)
            self.assertEqual([("late", JobsFenced((JOB,), rank, 0, (JOB,)))], self.results)
        self.world.clock.advance(FENCE_LIFETIME_MS)
        self.request_fence(second, RANK + 2)
        self.world.clock.advance(5)
        self.assertEqual([("late", JobsFenced((JOB,), RANK + 2))], self.results)

    def test_an_own_fence_that_was_replaced_is_not_reported(self):
        for rank in (RANK, RANK + 1):
            self.request_fence(rank=rank)
            self.world.clock.advance(5)
            self.assertEqual([("asker", JobsFenced((JOB,), rank))], self.results)

    def test_a_late_request_of_lower_rank_does_not_lower_an_own_fence(self):
        """Orders under the newer fence were refused, and another dispatcher's fence replaced it."""
        second = self.connect("late")
        for rank in (RANK + 2, RANK):
            self.request_fence(rank=rank)
            self.world.clock.advance(5)
        self.assertEqual([], self.results)
        self.assertFalse(
            self.worker.executor.job_fences.excludes(self.requester.local_peer, TASK, RANK + 2)
        )
        self.request_fence(second, RANK + 1)
        self.world.clock.advance(5)
        self.assertEqual([("late", JobsFenced((), RANK + 1, RANK + 2))], self.results)

    def test_a_fence_is_not_confirmed_while_runs_of_an_earlier_process_may_go_on(self):
        self.start_run()
        minion = self.worker.minion
        self.worker.kill()
        self.worker = self.world.workers[0] = SimulatedWorker(
            self.world, self.worker.name, 2, minion, fence=100_000
        )
        self.request_fence()
        while not self.results:
            self.world.clock.advance(1)
        self.assertEqual(set(), minion.running)

    def test_a_run_that_relies_on_an_unknown_or_lower_fence_is_refused(self):
        self.assertTrue(
            self.worker.executor.job_fences.excludes(self.requester.local_peer, TASK, RANK)
        )
        self.assertFalse(
            self.worker.executor.job_fences.excludes(self.requester.local_peer, TASK, 0)
        )
        self.request_fence()
        self.world.clock.advance(5)
        self.assertFalse(
            self.worker.executor.job_fences.excludes(self.requester.local_peer, TASK, RANK)
        )
        self.assertTrue(
            self.worker.executor.job_fences.excludes(self.requester.local_peer, TASK, RANK + 1)
        )

    def test_orders_under_a_replaced_fence_of_another_dispatcher_need_a_complete_fence(self):
        """The other dispatcher may go on with the job at executors that have not answered."""
        second = self.connect("late")
        fences = self.worker.executor.job_fences
        self.request_fence(rank=RANK + 2)
        self.world.clock.advance(5)
        self.request_fence(second, RANK + 3)
        self.world.clock.advance(5)
        for rank in (0, RANK + 2):
            self.assertTrue(fences.excludes(second.local_peer, TASK, rank))
        self.assertFalse(fences.excludes(second.local_peer, TASK, RANK + 3))
        self.request_fence(second, RANK + 4)
        self.world.clock.advance(5)
        self.assertTrue(fences.excludes(second.local_peer, TASK, 0))
        self.assertFalse(fences.excludes(second.local_peer, TASK, RANK + 3))
        self.world.clock.advance(FENCE_LIFETIME_MS)
        self.request_fence(second, RANK + 4)
        self.world.clock.advance(5)
        self.assertFalse(fences.excludes(second.local_peer, TASK, 0))

    def test_a_fence_lasts_for_as_long_as_any_claim(self):
        """It expired after a minute, while the job of a caller that waits for longer went on."""
        peer = Peer(self.worker.address, self.worker.messenger.local_peer.incarnation)
        self.requester.send(peer, FenceJobs((JOB,), RANK, 2 * FENCE_LIFETIME_MS))
        self.world.clock.advance(5)
        other = Peer("tcp://other", 1)
        self.world.clock.advance(2 * FENCE_LIFETIME_MS - 10)
        self.assertTrue(self.worker.executor.job_fences.excludes(other, TASK, 0))
        self.world.clock.advance(10)
        self.assertFalse(self.worker.executor.job_fences.excludes(other, TASK, 0))

    def test_a_fence_expires(self):
        self.request_fence()
        self.world.clock.advance(5)
        other = Peer("tcp://other", 1)
        self.assertTrue(self.worker.executor.job_fences.excludes(other, TASK, 0))
        self.world.clock.advance(FENCE_LIFETIME_MS)
        self.assertFalse(self.worker.executor.job_fences.excludes(other, TASK, 0))


if __name__ == "__main__":
    unittest.main()
