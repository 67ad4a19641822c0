"""Tests of jobs that one dispatcher, the entry dispatcher, forwards to another, the owner."""

import unittest

from geraniumspool.dispatcher_peers import PEER_SILENT_MS
from geraniumspool.fleet import RUNS_LOST_AFTER_MS
from geraniumspool.forwarded_jobs import MAX_KEPT_RESULTS, NOT_RECEIVED
from geraniumspool.forwarded_jobs import EntryDispatcher as ForwardedEntry
from geraniumspool.job_messages import ForwardJob
from geraniumspool.job_specs import JobOutcome, JobResult
from geraniumspool.messages import Peer
from geraniumspool.run_leases import DISPATCHER_LEASE_MS
from geraniumspool.wire_versions import make_incarnation
from tests.dispatch_world import DispatchWorld, SimulatedDispatcher, make_spec

TASK = "j.0.0.0"


class RouterCase(unittest.TestCase):
    """Three dispatchers, of which the first owns both workers and the others none."""

    def setUp(self):
        self.world = DispatchWorld(2, 3, capacities=(2.0,))
        self.addCleanup(self.world.close)
        self.owner, self.entry, self.other = self.world.dispatchers

    def advance(self, total_ms, step_ms=10):
        """Let time pass, and check that no task runs twice at the same time."""
        for _ in range(int(total_ms // step_ms)):
            self.world.clock.advance(step_ms)
            self.assertEqual(set(), self.world.find_duplicate_runs())

    def partition(self, one, other):
        """Lose all messages between two processes."""
        self.world.network.partition(one.address, other.address)


class ForwardTest(RouterCase):
    """A forwarded job without faults, from the request to the answer."""

    def test_only_the_owner_sends_messages_to_the_workers(self):
        self.advance(4_000)
        senders = {
            sender.address
            for sender, receiver, _ in self.world.network.sent[-200:]
            if receiver.address.startswith("tcp://w")
        }
        self.assertEqual({self.owner.address}, senders)

    def test_a_caller_is_answered_by_its_entry_dispatcher(self):
        request = self.entry.submit(make_spec("j", count=3))
        self.advance(200)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)
        self.assertEqual(1.0, self.entry.counters.get("jobs_forwarded"))
        self.assertTrue(self.entry.router.is_idle and self.owner.router.is_idle)

    def test_callers_at_all_dispatchers_share_one_job(self):
        requests = [
            dispatcher.submit(make_spec("j", run_ms=300))
            for dispatcher in self.world.dispatchers * 2
        ]
        self.advance(500)
        self.assertEqual({JobOutcome.SUCCEEDED}, {request.outcome for request in requests})
        self.assertEqual(1, self.world.start_count(TASK))

    def test_a_refusal_reaches_the_caller_with_its_retry_time(self):
        request = self.entry.submit(make_spec("j", cpu=99_000))
        self.advance(50)
        self.assertEqual(
            (JobOutcome.REFUSED, "no_capacity"), (request.outcome, request.result.code)
        )
        self.assertGreater(request.result.retry_after_ms, 0.0)

    def test_runs_stop_when_the_last_caller_leaves(self):
        requests = [self.entry.submit(make_spec("j", run_ms=2_000)) for _ in range(2)]
        self.advance(100)
        self.entry.router.remove_waiter(requests[0].job)
        self.advance(100)
        self.assertFalse(self.owner.dispatcher.is_idle)
        self.entry.router.remove_waiter(requests[1].job)
        self.advance(100)
        self.assertTrue(self.owner.dispatcher.is_idle)
        self.assertFalse(any(worker.minion.running for worker in self.world.workers))

    def test_a_caller_cancels_a_forwarded_job(self):
        request = self.entry.submit(make_spec("j", run_ms=2_000))
        self.advance(100)
        self.assertTrue(self.entry.router.cancel("j"))
        self.advance(100)
        self.assertEqual((JobOutcome.FAILED, "cancelled"), (request.outcome, request.result.code))
        self.assertTrue(self.owner.dispatcher.is_idle)


class LossTest(RouterCase):
    """Faults of the entry dispatcher, of the owner, and of messages between them."""

    def test_runs_for_a_dead_entry_dispatcher_stop_when_its_lease_expires(self):
        self.entry.submit(make_spec("j", run_ms=5_000), timeout_ms=9_000.0)
        self.advance(200)
        self.entry.kill()
        self.advance(DISPATCHER_LEASE_MS + 150)
        self.assertTrue(self.owner.dispatcher.is_idle)
        second_request = self.other.submit(make_spec("j", run_ms=500))
        self.advance(1_000)
        self.assertEqual(JobOutcome.SUCCEEDED, second_request.outcome)

    def test_a_job_of_a_dead_owner_starts_again_only_after_its_runs_have_ended(self):
        request = self.entry.submit(make_spec("j", run_ms=900), timeout_ms=9_000.0)
        self.advance(100)
        self.owner.kill()
        self.advance(RUNS_LOST_AFTER_MS)
        self.assertEqual(1, self.world.start_count(TASK))
        self.advance(3_000)
        self.assertEqual(2, self.world.start_count(TASK))
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)

    def test_a_lost_cancel_ends_the_job_with_the_next_report(self):
        """The entry dispatcher has no other job there, so that its reports list none."""
        for cancelled_after_ms in (10, 400):
            with self.subTest(cancelled_after_ms=cancelled_after_ms):
                self.doCleanups()
                self.setUp()
                spec = make_spec("j", run_ms=1_000)
                later = spec.steps[0]._replace(after=(0,))
                self.entry.submit(spec._replace(steps=(*spec.steps, later)), timeout_ms=9_000.0)
                self.advance(cancelled_after_ms)
                self.world.network.dropped_kinds = {"DropJobs"}
                self.assertTrue(self.entry.router.cancel("j"))
                self.advance(500)
                self.assertTrue(self.owner.dispatcher.is_idle)
                self.advance(2_000)
                self.assertEqual(0, self.world.start_count("j.0.1.0"))

    def test_nothing_is_forwarded_to_an_owner_whose_process_has_exited(self):
        self.owner.kill()
        self.advance(60)
        request = self.entry.submit(make_spec("j"))
        self.advance(600)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)
        self.assertEqual(0.0, self.entry.counters.get("owners_lost"))

    def test_a_restart_of_the_owner_does_not_start_its_job_again_early(self):
        request = self.entry.submit(make_spec("j", run_ms=900), timeout_ms=9_000.0)
        self.advance(10)
        self.owner.kill()
        self.entry.router.handle_wrong_incarnation(Peer(self.owner.address, make_incarnation(7)))
        self.world.dispatchers[0] = SimulatedDispatcher(self.world, "h0", 7, capacity=2.0)
        self.advance(RUNS_LOST_AFTER_MS - 100)
        self.assertEqual(1, self.world.start_count(TASK))
        self.advance(2_500)
        self.assertEqual(2, self.world.start_count(TASK))
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)

    def test_workers_of_a_dead_owner_are_used_again_within_half_a_second(self):
        self.owner.kill()
        self.advance(450)
        request = self.entry.submit(make_spec("j"))
        self.advance(150)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)

    def test_a_job_that_may_have_run_is_not_reported_as_refused(self):
        request = self.entry.submit(make_spec("j", run_ms=400), timeout_ms=2_400.0)
        self.advance(100)
        self.owner.kill()
        for worker in self.world.workers:
            worker.kill()
        self.advance(3_000)
        self.assertEqual(JobOutcome.UNFINISHED, request.outcome)

    def test_a_job_of_a_dead_owner_is_unfinished_if_the_next_one_refuses_it(self):
        request = self.entry.submit(make_spec("j", run_ms=300), timeout_ms=9_000.0)
        self.advance(100)
        self.owner.kill()
        self.advance(3_000)
        self.assertEqual(
            (JobOutcome.UNFINISHED, "overload"), (request.outcome, request.result.code)
        )
        self.assertEqual(1, self.world.start_count(TASK))

    def test_a_forwarded_job_whose_message_is_lost_is_sent_again(self):
        self.world.network.dropped_kinds.add("ForwardJob")
        request = self.entry.submit(make_spec("j"), timeout_ms=3_000.0)
        self.advance(20)
        self.world.network.dropped_kinds.clear()
        self.advance(1_000)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)
        self.assertEqual(1, self.world.start_count(TASK))

    def test_a_lost_answer_is_sent_again(self):
        request = self.entry.submit(make_spec("j"))
        self.advance(20)
        self.world.network.dropped_kinds.add("ForwardedEnd")
        self.advance(150)
        self.world.network.dropped_kinds.clear()
        self.advance(500)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)
        self.assertEqual(1, self.world.start_count(TASK))

    def test_a_resumed_owner_starts_nothing_of_a_job_that_was_forwarded_again(self):
        blockers = [self.owner.submit(make_spec(f"b{n}", cpu=10_000, run_ms=400)) for n in range(2)]
        request = self.entry.submit(make_spec("j", run_ms=900), timeout_ms=9_000.0)
        self.advance(50)
        self.world.network.pause(self.owner.address)
        self.owner.pause()
        self.advance(2_600)
        self.owner.resume()
        self.world.network.resume(self.owner.address)
        self.advance(3_000)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)
        self.assertEqual(1, self.world.start_count(TASK))
        self.assertEqual(2, len(blockers))

    def test_callers_are_served_while_entry_dispatcher_and_owner_are_partitioned(self):
        self.partition(self.entry, self.owner)
        self.advance(PEER_SILENT_MS + 200)
        request = self.entry.submit(make_spec("j"))
        self.advance(300)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)


class LateForwardTest(RouterCase):
    """A job is started for an entry dispatcher that has dropped it before its message arrives."""

    def forward_into_cut(self):
        """Cut the owner off, forward a job to it, and return the lost message."""
        self.partition(self.entry, self.owner)
        sent = len(self.world.network.sent)
        self.request = self.entry.submit(make_spec("j", run_ms=3_000), timeout_ms=9_000.0)
        self.advance(20)
        forwarded = [m for _, _, m in self.world.network.sent[sent:] if type(m) is ForwardJob]
        self.assertEqual(1, len(forwarded))
        return forwarded[0]

    def deliver_after(self, cut_ms, message):
        """Hang up, end the cut, and deliver the message after newer ones."""
        self.entry.router.remove_waiter(self.request.job)
        self.advance(cut_ms)
        self.world.network.heal()
        self.advance(400)
        self.owner.router.handle_forward_job(self.entry.messenger.local_peer, message)
        self.advance(300)

    def test_a_message_from_before_a_long_cut(self):
        self.deliver_after(2_500, self.forward_into_cut())
        self.assertEqual(0, self.world.start_count(TASK))

    def test_a_message_that_a_newer_list_has_overtaken(self):
        self.deliver_after(100, self.forward_into_cut())
        self.assertEqual(0, self.world.start_count(TASK))

    def test_a_job_that_is_still_wanted_is_served_after_a_cut(self):
        self.forward_into_cut()
        self.advance(300)
        self.world.network.heal()
        self.advance(4_000)
        self.assertEqual(JobOutcome.SUCCEEDED, self.request.outcome)


class TwoOwnersTest(RouterCase):
    """Two dispatchers that own a worker each, and an entry dispatcher without workers."""

    def setUp(self):
        self.world = DispatchWorld(2, 3, capacities=(2.0, 2.0), group_workers=1)
        self.addCleanup(self.world.close)
        self.entry = self.world.dispatchers[2]

    def test_a_job_is_not_started_again_while_runs_from_its_expired_lease_continue(self):
        request = self.entry.submit(make_spec("j", run_ms=3_000), timeout_ms=9_000.0)
        self.advance(100)
        self.world.network.pause(self.entry.address)
        self.entry.pause()
        self.advance(400)
        worker = next(w for w in self.world.workers if TASK in w.minion.running)
        for dispatcher in self.world.dispatchers:
            self.partition(dispatcher, worker)
        self.advance(350)
        self.entry.resume()
        self.world.network.resume(self.entry.address)
        self.advance(1_000)
        self.assertEqual(JobOutcome.UNFINISHED, request.outcome)
        self.assertEqual(1, self.world.start_count(TASK))


class HeldJobTest(unittest.TestCase):
    """Jobs that arrive before any owner is known."""

    def test_a_job_is_held_until_the_restarted_owner_has_heard_its_workers(self):
        world = DispatchWorld(2, 2, capacities=(2.0,))
        self.addCleanup(world.close)
        for dispatcher in world.dispatchers:
            dispatcher.kill()
        world.clock.advance(100)
        world.dispatchers = []
        for number in range(2):
            world.dispatchers.append(
                SimulatedDispatcher(world, f"h{number}", 9, capacity=2.0 - number)
            )
        request = world.dispatchers[1].submit(make_spec("j"))
        self.assertIsNone(request.outcome)
        world.clock.advance(400)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)

    def test_a_held_job_is_refused_soon_if_no_owner_is_heard(self):
        world = DispatchWorld(0, 2)
        self.addCleanup(world.close)
        request = world.dispatchers[1].submit(make_spec("j"))
        world.clock.advance(320)
        self.assertEqual((JobOutcome.REFUSED, "no_worker"), (request.outcome, request.result.code))


class EntryRecordTest(unittest.TestCase):
    """What an owner stores about the jobs of one entry dispatcher."""

    def test_a_job_whose_result_was_forgotten_is_reported_as_unfinished(self):
        entry = ForwardedEntry(Peer("tcp://h", 1))
        for number in range(1, MAX_KEPT_RESULTS + 3):
            entry.store_result(number, JobResult(JobOutcome.SUCCEEDED))
        self.assertEqual(JobOutcome.UNFINISHED, entry.find_result(2).outcome)
        self.assertEqual(JobOutcome.SUCCEEDED, entry.find_result(3).outcome)
        self.assertTrue(entry.knows(1))

    def test_a_job_reported_as_not_received_is_not_accepted_later(self):
        entry = ForwardedEntry(Peer("tcp://h", 1))
        self.assertFalse(entry.knows(7))
        self.assertEqual((JobOutcome.REFUSED, NOT_RECEIVED), entry.find_result(7)[:2])
        self.assertTrue(entry.knows(7))

    def test_dropping_an_ended_job_keeps_its_result(self):
        entry = ForwardedEntry(Peer("tcp://h", 1))
        entry.store_result(7, JobResult(JobOutcome.SUCCEEDED))
        entry.reject_number(7)
        self.assertEqual(JobOutcome.SUCCEEDED, entry.find_result(7).outcome)


class LeavingTest(RouterCase):
    """Dispatchers that leave or restart."""

    def test_queued_jobs_of_a_leaving_owner_are_placed_by_another(self):
        blocker = self.owner.submit(make_spec("b", count=2, cpu=10_000, run_ms=400))
        requests = [
            dispatcher.submit(make_spec(f"j{n}", run_ms=300))
            for n, dispatcher in enumerate((self.owner, self.entry))
        ]
        self.advance(50)
        self.owner.router.give_up_workers()
        self.advance(1_500)
        outcomes = {request.outcome for request in (blocker, *requests)}
        self.assertEqual({JobOutcome.SUCCEEDED}, outcomes)
        self.assertTrue(self.owner.router.is_idle)

    def test_a_leaving_dispatcher_refuses_jobs_instead_of_holding_them(self):
        for dispatcher in (self.owner, self.other):
            dispatcher.kill()
        self.entry.router.give_up_workers()
        self.advance(600)
        request = self.entry.submit(make_spec("j"))
        self.assertEqual((JobOutcome.REFUSED, "no_worker"), (request.outcome, request.result.code))

    def test_a_restarted_owner_gets_its_workers_back(self):
        self.owner.kill()
        self.advance(300)
        self.world.dispatchers[0] = SimulatedDispatcher(self.world, "h0", 7, capacity=2.0)
        self.advance(1_000)
        request = self.entry.submit(make_spec("j"))
        self.advance(300)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)
        self.assertTrue(self.world.dispatchers[0].dispatcher.fleet.usable_workers("fitting"))


if __name__ == "__main__":
    unittest.main()
