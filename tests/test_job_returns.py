"""Tests of the choice of waiting jobs that an owner returns, and of the jobs on their way."""

import unittest
from unittest import mock

from eventlet import hubs

from geraniumspool.dispatcher_peers import PEER_SILENT_MS
from geraniumspool.fleet import RUNS_LOST_AFTER_MS
from geraniumspool.job_messages import ForwardedEnd, ServiceLoad
from geraniumspool.job_returns import (
    MAX_MISSES,
    MAX_REPORT_AGE_MS,
    RETURNED,
    OwnerReport,
    QueuedJob,
    ReturnChooser,
)
from geraniumspool.job_specs import JobOutcome
from geraniumspool.owner_choice import AssignmentRequest, OwnerOption
from geraniumspool.queued_work import QueuedWork
from geraniumspool.run_leases import DISPATCHER_LEASE_MS
from tests.dispatch_world import QUEUE, DispatchWorld, SimulatedDispatcher, make_spec
from tests.test_dispatch_storm import Storm

NOW = 10_000.0
TOTAL_CPU = 100_000.0
TASK = "j.0.0.0"
# Long enough for a report of the freed capacity, a tick of the owner, and the way of the job.
RETURN_MS = 500
# With even seeds two of the three dispatchers own workers.
STORM_SEEDS = (2, 4, 6, 8)


def make_load(free_cpu=0.0, waiting=0.0, racks=()):
    """Return the load of a group of workers.

    :param waiting: queued work in thousandths of a core times ms
    """
    queued = QueuedWork((waiting, 0.0, 0.0, 0.0))
    return ServiceLoad("fitting", TOTAL_CPU, free_cpu, 400.0, queued, racks)


def make_report(address, free_cpu=0.0, waiting=0.0, domain="north", at_ms=NOW, racks=()):
    option = OwnerOption(address, domain, make_load(free_cpu, waiting, racks))
    return OwnerReport(address, option, at_ms)


def make_job(key, cpu=10_000.0, slack_ms=100.0, is_returnable=True, racks=(), run_ms=400.0):
    """Return a waiting job; without others ahead it waits for 40 ms per 10 cores."""
    request = AssignmentRequest(0, cpu, frozenset(racks))
    useful_ms = slack_ms + 1_000.0
    return QueuedJob(
        key, lambda: request, cpu, cpu * run_ms, TOTAL_CPU, slack_ms, useful_ms, is_returnable
    )


class ChoiceTest(unittest.TestCase):
    """The jobs that one owner returns after the reports of the others."""

    def choose(self, queue, reports, waiting=4e7, chooser=None, now=NOW, own_free=0.0):
        chooser = chooser or ReturnChooser(lambda: 1.0)
        own = make_load(own_free, waiting)
        found = chooser.choose(own, reports, iter(queue), "north", now)
        return [(job.key, job.address) for job in found]

    def test_only_jobs_that_would_start_too_late_are_returned(self):
        """Returning others would cost messages and a claim each, and gain nothing."""
        queue = [make_job(number, slack_ms=100.0) for number in range(5)]
        chosen = self.choose(queue, [make_report("b", TOTAL_CPU)])
        # The waits are 40, 80 and 120 ms; each returned job shortens the queue.
        self.assertEqual([(2, "b"), (3, "b"), (4, "b")], chosen)

    def test_nothing_is_returned_without_free_capacity_elsewhere(self):
        reports = {
            "full": make_report("b", 0.0),
            "less than the job needs": make_report("b", 9_000.0),
            "taken by jobs that wait there": make_report("b", 50_000.0, waiting=1.0),
            "reported long ago": make_report("b", 90_000.0, at_ms=NOW - MAX_REPORT_AGE_MS - 1),
        }
        for name, report in reports.items():
            with self.subTest(name):
                queue = [make_job(1, slack_ms=-1.0)]
                self.assertEqual([], self.choose(queue, [report]))

    def test_jobs_that_began_or_were_returned_before_stay(self):
        queue = [make_job(1, slack_ms=-1.0, is_returnable=False), make_job(2, slack_ms=-1.0)]
        self.assertEqual([(2, "b")], self.choose(queue, [make_report("b", TOTAL_CPU)]))

    def test_jobs_whose_result_would_be_useless_there_as_well_stay(self):
        queue = [make_job(1, slack_ms=-1_000.0)]
        self.assertEqual([], self.choose(queue, [make_report("b", TOTAL_CPU)]))

    def test_another_domain_or_rack_must_gain_more_than_it_costs(self):
        far = make_report("b", TOTAL_CPU, domain="south")
        rows = (
            (make_job(1, 3_000.0, 5.0), []),  # 12 ms here, 17 ms there.
            (make_job(1, 5_000.0, 5.0), [(1, "b")]),  # 20 ms here.
            (make_job(1, 20_000.0, 5.0, racks=("r",)), []),  # 80 ms here, 117 ms there.
            (make_job(1, 40_000.0, 5.0, racks=("r",)), [(1, "b")]),
        )
        for job, expected in rows:
            with self.subTest(job=job):
                self.assertEqual(expected, self.choose([job], [far]))

    def test_owners_together_return_no_more_than_fits(self):
        """An emptied group would be flooded if all owners returned as much as it has free."""
        owners, job_cpu, free_cpu = 8, 10_000.0, 80_000.0
        taken = 0
        for _ in range(owners):
            reports = [make_report("b", free_cpu)]
            reports += [make_report(f"o{n}", waiting=4e7) for n in range(owners - 1)]
            queue = [make_job(n, job_cpu, -1.0) for n in range(30)]
            taken += len(self.choose(queue, reports)) * job_cpu
        self.assertEqual(free_cpu, taken)

    def test_parts_smaller_than_a_job_are_used_on_average(self):
        """With a part below one job each, no owner would ever return a wide job."""
        draws = [(number + 0.5) / 100 for number in range(100)]
        chooser = ReturnChooser(lambda: draws.pop())
        returned = 0
        for number in range(100):
            at_ms = NOW + number
            reports = [make_report("b", 20_000.0, at_ms=at_ms), make_report("o", waiting=1.2e8)]
            queue = [make_job(0, 10_000.0, -1.0)]
            returned += len(self.choose(queue, reports, chooser=chooser, now=at_ms))
        # A quarter of the waiting work is here, so the part of each report is half a job.
        self.assertEqual(50, returned)

    def test_one_report_is_used_once(self):
        chooser = ReturnChooser(lambda: 1.0)
        reports = [make_report("b", 30_000.0)]
        queue = [make_job(number, slack_ms=-1.0) for number in range(30)]
        self.assertEqual(3, len(self.choose(queue, reports, chooser=chooser)))
        self.assertEqual([], self.choose(queue, reports, chooser=chooser))
        reports = [make_report("b", 20_000.0, at_ms=NOW + 100)]
        self.assertEqual(2, len(self.choose(queue, reports, chooser=chooser, now=NOW + 100)))

    def test_a_pass_ends_soon_if_no_job_fits(self):
        """Thousands of jobs may wait; the pass must not compare all of them."""
        queue = iter([make_job(number, 50_000.0, -1.0) for number in range(1_000)])
        chooser = ReturnChooser(lambda: 1.0)
        reports = [make_report("b", 20_000.0)]
        chooser.choose(make_load(waiting=4e7), reports, queue, "north", NOW)
        self.assertEqual(1_000 - MAX_MISSES, len(list(queue)))

    def test_the_queue_is_not_read_without_free_capacity(self):
        queue = iter([make_job(1, slack_ms=-1.0)])
        self.choose(queue, [make_report("b")])
        self.assertEqual(1, len(list(queue)))


class ReturnCase(unittest.TestCase):
    """Three dispatchers with a worker each; the first one's worker is full for a long time."""

    returns_jobs = True

    def setUp(self):
        self.world = DispatchWorld(3, 3, group_workers=1, returns_jobs=self.returns_jobs)
        self.addCleanup(self.world.close)
        self.owner, self.entry, self.third = self.world.dispatchers
        self.duplicates = set()

    def advance(self, total_ms, step_ms=5):
        """Let time pass, and check that no task runs twice at the same time."""
        for _ in range(int(total_ms // step_ms)):
            self.world.clock.advance(step_ms)
            self.duplicates |= self.world.find_duplicate_runs()
        self.assertEqual(set(), self.duplicates)

    def block(self, dispatcher, run_ms, name="b"):
        """Fill the worker of a dispatcher."""
        spec = make_spec(f"{name}-{dispatcher.address}", cpu=10_000, run_ms=run_ms)
        caller = dispatcher.submit_locally(spec, timeout_ms=20_000.0)
        self.advance(20)
        return caller

    def forward(self, job="j", run_ms=400, wait_ms=9_000.0, entry=None, cpu=6_000):
        """Have a job of another dispatcher's caller wait at the full owner."""
        entry = entry or self.entry
        # The owner is the only one whose report shows free capacity when the job is forwarded.
        for view in entry.peers.views.values():
            is_owner = view.peer.address == self.owner.address
            view.loads = {
                service: load._replace(free_cpu=TOTAL_CPU)
                if is_owner
                else load._replace(room_cpu=0.0)
                for service, load in view.loads.items()
            }
        return entry.submit(make_spec(job, cpu=cpu, run_ms=run_ms), QUEUE, wait_ms)

    def make_waiting_job(self, run_ms=400):
        """Have all workers filled, a job wait at the owner, and the third worker become free."""
        self.block(self.entry, 5_000)
        self.block(self.third, 200)
        self.block(self.owner, 3_000)
        caller = self.forward(run_ms=run_ms)
        self.advance(20)
        self.assertTrue(self.owner.dispatcher.has_job("j"))
        return caller

    def run_until_returned(self):
        """Let time pass in small steps until the owner has returned the job."""
        for _ in range(1_000):
            self.advance(1, 1)
            if self.owner.counters.get("jobs_returned"):
                return
        self.fail("the job was not returned")


class ReturnTest(ReturnCase):
    """Jobs that wait at a full owner while another dispatcher has free capacity."""

    def test_a_waiting_job_is_served_where_capacity_has_become_free(self):
        caller = self.make_waiting_job()
        self.advance(400 + RETURN_MS)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual(1.0, self.owner.counters.get("jobs_returned"))
        self.assertEqual(1.0, self.entry.counters.get("returned_jobs_routed", to="owner"))
        self.assertEqual(1, self.world.start_count(TASK))

    def test_the_release_of_the_claim_is_sent_before_the_job_is_returned(self):
        """Otherwise the next owner would be referred to the one that has given the job back."""
        self.make_waiting_job()
        self.run_until_returned()
        self.advance(20)
        sent = self.world.network.sent
        end = next(
            number
            for number, (_, _, message) in enumerate(sent)
            if isinstance(message, ForwardedEnd) and message.result.code == RETURNED
        )
        releases = [
            number
            for number, (sender, _, message) in enumerate(sent)
            if sender.address == self.owner.address and getattr(message, "released", ())
        ]
        self.assertTrue(any(number < end for number in releases[-2:]))
        self.assertEqual(0.0, self.third.counters.get("job_claims", outcome="held"))

    def test_a_job_of_the_owners_own_caller_is_forwarded(self):
        self.block(self.entry, 5_000)
        self.block(self.third, 200)
        self.block(self.owner, 3_000)
        caller = self.forward(entry=self.owner)
        self.assertTrue(self.owner.dispatcher.has_job("j"))
        self.advance(1_200 + RETURN_MS)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual(1.0, self.owner.counters.get("jobs_returned"))
        self.assertEqual(1, self.world.start_count(TASK))

    def test_an_entry_dispatcher_without_workers_forwards_a_returned_job(self):
        """It has no capacity itself, and must not fail when it compares itself with the owners."""
        self.world.dispatchers.append(SimulatedDispatcher(self.world, "h3", capacity=0.1))
        for dispatcher in self.world.dispatchers:
            dispatcher.router.update_members()
        self.advance(400)
        first = self.entry
        self.entry = self.world.dispatchers[3]
        self.assertFalse(self.entry.dispatcher.fleet.has_owned)
        self.block(first, 5_000)
        self.block(self.third, 200)
        self.block(self.owner, 3_000)
        caller = self.forward()
        self.advance(400 + RETURN_MS)
        self.assertEqual(1.0, self.owner.counters.get("jobs_returned"))
        self.assertEqual(1.0, self.entry.counters.get("returned_jobs_routed", to="owner"))
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)

    def test_a_job_is_returned_once(self):
        """Two full owners would otherwise pass a job to and fro."""
        caller = self.make_waiting_job(run_ms=300)
        self.run_until_returned()
        self.block(self.third, 2_000, "c")
        self.advance(2_500)
        returned = [
            message.number
            for _, _, message in self.world.network.sent
            if isinstance(message, ForwardedEnd) and message.result.code == RETURNED
        ]
        self.assertEqual(1, len(returned))
        self.assertIsNotNone(caller.outcome)

    def test_a_returned_job_that_finds_no_capacity_is_refused_with_a_retry_time(self):
        caller = self.make_waiting_job()
        self.run_until_returned()
        for view in self.entry.peers.views.values():
            view.loads = {name: load._replace(free_cpu=0) for name, load in view.loads.items()}
        self.advance(20)
        self.assertEqual((JobOutcome.REFUSED, RETURNED), (caller.outcome, caller.result.code))
        self.assertGreater(caller.result.retry_after_ms, 0.0)
        self.assertEqual(0, self.world.start_count(TASK))

    def test_a_job_for_which_two_dispatchers_wait_is_not_returned(self):
        """Each of them would forward it to another owner."""
        caller = self.make_waiting_job()
        joined = self.owner.submit(make_spec("j", cpu=6_000, run_ms=100))
        self.advance(2_000)
        self.assertEqual(0.0, self.owner.counters.get("jobs_returned"))
        self.advance(2_500)
        self.assertIsNotNone(caller.outcome)
        self.assertIsNotNone(joined.outcome)


class SettingTest(ReturnCase):
    """Dispatchers without the setting."""

    returns_jobs = False

    def test_nothing_is_returned_by_default(self):
        self.make_waiting_job()
        self.advance(2_000)
        self.assertEqual(0.0, self.owner.counters.get("jobs_returned"))

    def test_an_entry_dispatcher_without_the_setting_gets_no_job_back(self):
        """One of an earlier build would tell its caller that the job was refused."""
        self.owner.router.returns_jobs = True
        self.make_waiting_job()
        self.advance(2_000)
        self.assertEqual(0.0, self.owner.counters.get("jobs_returned"))


class ReturnFailureTest(ReturnCase):
    """Faults while a job is being returned."""

    def test_the_entry_dispatcher_dies(self):
        self.make_waiting_job()
        self.run_until_returned()
        self.entry.kill()
        self.advance(20)
        self.assertFalse(self.owner.dispatcher.has_job("j"))
        again = self.third.submit(make_spec("j", cpu=6_000, run_ms=100))
        self.advance(RUNS_LOST_AFTER_MS)
        self.assertEqual(JobOutcome.SUCCEEDED, again.outcome)
        self.assertEqual(1, self.world.start_count(TASK))

    def test_the_owner_dies_before_the_job_is_back(self):
        caller = self.make_waiting_job()
        self.world.network.dropped_kinds.add("ForwardedEnd")
        self.run_until_returned()
        self.advance(20)
        self.owner.kill()
        self.world.network.dropped_kinds.clear()
        self.advance(DISPATCHER_LEASE_MS + RUNS_LOST_AFTER_MS + 1_500)
        self.assertIn(caller.outcome, (JobOutcome.SUCCEEDED, JobOutcome.UNFINISHED))
        self.assertLessEqual(self.world.start_count(TASK), 1)

    def test_the_owner_dies_after_the_job_is_back(self):
        caller = self.make_waiting_job()
        self.run_until_returned()
        self.advance(4, 1)
        self.owner.kill()
        self.advance(PEER_SILENT_MS)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual(1, self.world.start_count(TASK))

    def test_a_lost_return_is_sent_again(self):
        caller = self.make_waiting_job()
        self.world.network.dropped_kinds.add("ForwardedEnd")
        self.run_until_returned()
        self.advance(20)
        self.world.network.dropped_kinds.clear()
        self.advance(RETURN_MS)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual(1, self.world.start_count(TASK))

    def test_the_caller_has_sent_the_job_again_elsewhere(self):
        """The job is back at its entry dispatcher, and another one has it as well: one runs it."""
        for delay_ms in range(6):
            with self.subTest(delay_ms=delay_ms):
                self.doCleanups()
                self.setUp()
                caller = self.make_waiting_job(run_ms=300)
                self.run_until_returned()
                self.advance(delay_ms, 1)
                again = self.third.submit(make_spec("j", cpu=6_000, run_ms=300))
                self.advance(1_500)
                self.assertEqual(1, self.world.start_count(TASK))
                self.assertEqual(
                    {JobOutcome.SUCCEEDED}, {request.outcome for request in (caller, again)}
                )

    def test_the_caller_leaves_while_the_job_is_on_its_way(self):
        caller = self.make_waiting_job(run_ms=2_000)
        self.run_until_returned()
        self.entry.router.remove_waiter(caller.job)
        self.advance(200)
        self.assertFalse(self.entry.router.cancel("j"))
        self.assertFalse(self.third.dispatcher.has_job("j"))

    def test_the_next_owner_leaves_while_the_job_is_on_its_way(self):
        caller = self.make_waiting_job()
        self.run_until_returned()
        self.advance(1, 1)
        self.third.router.give_up_workers()
        self.advance(6_500)
        self.assertIsNotNone(caller.outcome)
        self.assertLessEqual(self.world.start_count(TASK), 1)
        self.assertNotEqual(JobOutcome.GONE, caller.outcome)

    def test_a_dispatcher_joins_while_the_job_is_on_its_way(self):
        caller = self.make_waiting_job()
        self.run_until_returned()
        self.world.dispatchers.append(SimulatedDispatcher(self.world, "h3", 7))
        for dispatcher in self.world.dispatchers:
            dispatcher.router.update_members()
        self.advance(5_000)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual(1, self.world.start_count(TASK))

    def test_the_store_is_down(self):
        """Returning a job needs no store: members are those known before."""
        for part in (*self.world.workers, *self.world.dispatchers):
            part.is_cut_off = True
        caller = self.make_waiting_job()
        self.advance(400 + RETURN_MS)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual(1.0, self.owner.counters.get("jobs_returned"))

    def test_an_owner_freezes_with_most_of_the_waiting_work(self):
        """It can return nothing; its jobs are forwarded again once its lease has ended."""
        self.block(self.entry, 1_000)
        self.block(self.third, 200)
        self.block(self.owner, 1_500)
        callers = [self.forward(f"j{number}", 1_000, 20_000.0, cpu=3_000) for number in range(2)]
        self.advance(20)
        self.world.network.pause(self.owner.address)
        self.owner.pause()
        self.advance(DISPATCHER_LEASE_MS + RUNS_LOST_AFTER_MS + 1_500)
        self.owner.resume()
        self.world.network.resume(self.owner.address)
        self.advance(4_000)
        self.assertEqual([JobOutcome.SUCCEEDED] * 2, [caller.outcome for caller in callers])
        for number in range(2):
            self.assertEqual(1, self.world.start_count(f"j{number}.0.0.0"))


class ReturnStormTest(unittest.TestCase):
    """Random faults while jobs are returned: no task runs twice, and every job ends."""

    def test_storms_with_returned_jobs(self):
        returned = 0.0
        for seed in STORM_SEEDS:
            for returns_early in (False, True):
                with self.subTest(seed=seed, returns_early=returns_early):
                    storm = Storm(
                        seed, keeps_names=True, returns_early=returns_early, returns_jobs=True
                    )
                    with mock.patch.object(hubs.get_hub(), "squelch_timer_exception", storm.fail):
                        storm.run()
                    self.assertEqual([], storm.violations, storm.actions)
                    returned += sum(
                        dispatcher.counters.get("jobs_returned")
                        for dispatcher in storm.world.dispatchers
                    )
        self.assertGreater(returned, 0)


if __name__ == "__main__":
    unittest.main()
