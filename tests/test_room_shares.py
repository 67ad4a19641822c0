"""Tests of decisions while capacity is scarce: value, displacement, least shares."""

import logging
import math
import unittest

from geraniumspool import job_admission, room_shares
from geraniumspool.counters import MemoryCounters
from geraniumspool.dispatch_policy import (
    ScarcityPolicy,
    SharingSettings,
    UsefulnessPolicy,
    make_policy,
)
from geraniumspool.job_admission import Backlog
from geraniumspool.queued_work import LEVELS
from geraniumspool.room_shares import QueuedJob, QueueShare, ServedWork
from geraniumspool.urgency import MIN_RETRY_MS, Outlook
from tests.dispatch_world import QUEUE
from tests.test_job_admission import NOW, make_job, make_worker

URGENT = QUEUE._replace(name="urgent", priority=0)
IDLE = QUEUE._replace(name="idle", priority=2)
CAPACITY = 10_000
SERVICE = QUEUE.service


def no_reports(_service):
    return ()


def make_scarcity_policy(least_share=0.0, value_order=False, find_served=no_reports, waiting=()):
    """Return a policy that has seen scarce capacity, and the queued work that made it scarce."""
    policy = ScarcityPolicy(SharingSettings(least_share, value_order), MemoryCounters())
    queued = job_admission.sum_work(waiting, policy, NOW)
    policy.observe_load(SERVICE, CAPACITY, queued, find_served, NOW)
    for job in waiting:
        policy.observe_arrival(job, NOW)
    policy.observe_load(SERVICE, CAPACITY, queued, find_served, NOW)
    return policy


def check(policy, job, waiting, arriving=(0.0,) * LEVELS):
    """Return the refusal of an arriving job, None if it is accepted."""
    queued = job_admission.sum_work(waiting, policy, NOW)._replace(arriving=arriving)
    workers = [make_worker("w", CAPACITY, CAPACITY)]
    policy.observe_load(SERVICE, CAPACITY, queued, no_reports, NOW)
    policy.observe_arrival(job, NOW)
    backlog = Backlog(list(waiting), list(waiting), workers, False, queued)
    return job_admission.check_admission(job, backlog, policy, NOW)


class ScarcityTest(unittest.TestCase):
    """Whether capacity is scarce."""

    def test_single_arrivals_do_not_switch_it(self):
        rows = [(False, 100, False), (False, 101, True), (True, 26, True), (True, 25, False)]
        for was_scarce, queue_ms, expected in rows:
            with self.subTest(was_scarce=was_scarce, queue_ms=queue_ms):
                work = queue_ms * CAPACITY
                self.assertEqual(expected, room_shares.is_scarce(was_scarce, work, CAPACITY))

    def test_capacity_is_not_scarce_before_workers_report(self):
        """After a power loss, jobs would be refused for workers that are back a moment later."""
        self.assertFalse(room_shares.is_scarce(False, 1.0, 0.0))
        self.assertFalse(room_shares.is_scarce(True, 1.0, 0.0))
        one, all_back = (
            [make_worker("w", CAPACITY)],
            [make_worker(f"w{n}", 8_000) for n in range(3)],
        )
        self.assertEqual(2.5 * CAPACITY, job_admission.expected_capacity(one, 1.5))
        self.assertEqual(24_000, job_admission.expected_capacity(all_back, 0))
        self.assertEqual(0, job_admission.expected_capacity([], 5))


class DisplacementTest(unittest.TestCase):
    """What an arriving job makes late."""

    def measure(self, work, after, ahead=0.0, spare=(1_000.0,) * LEVELS):
        return room_shares.measure_displacement(work, work, ahead, after, spare)

    def test_only_jobs_that_become_late_by_it_count(self):
        after = [
            QueuedJob(0, 0.0, 400.0, 10.0),  # still on time
            QueuedJob(0, 0.0, 250.0, 20.0),  # late by it
            QueuedJob(0, 0.0, 50.0, 40.0),  # late without it
        ]
        displacement = self.measure(200_000.0, after, ahead=100_000.0)
        self.assertEqual((200_000.0, 16.0, 1), displacement)

    def test_work_between_counts_and_so_do_more_urgent_arrivals(self):
        after = [QueuedJob(0, 300_000.0, 900.0, 1.0), QueuedJob(1, 1.0, 450.0, 10.0)]
        self.assertEqual(1, self.measure(200_000.0, after).displaced_jobs)
        self.assertEqual(0, self.measure(100_000.0, after).displaced_jobs)
        halved = (1_000.0, 500.0, 1.0, 1.0)
        self.assertEqual(0, self.measure(200_000.0, after, spare=halved).displaced_jobs)

    def test_without_any_capacity_nothing_is_displaced(self):
        after = [QueuedJob(3, 1.0, 1e9, 10.0)]
        self.assertEqual(0, self.measure(1.0, after, spare=(0.0,) * LEVELS).displaced_jobs)


class ValueTest(unittest.TestCase):
    """Refusal by value while capacity is scarce."""

    def setUp(self):
        # 2 s of all capacity; it has to start within 660 ms to be on time.
        self.long = make_job("l", IDLE, count=4, cpu=5_000, run_ms=1_000)

    def test_a_job_that_displaces_more_than_it_brings_is_refused(self):
        """Priority alone would serve it, and make a job of more value late."""
        waiting = [self.long]
        urgent = make_job("u", URGENT, cpu=5_000, run_ms=3_000)
        self.assertIsNone(check(UsefulnessPolicy(), urgent, waiting))
        policy = make_scarcity_policy(value_order=True, waiting=waiting)
        refusal = check(policy, urgent, waiting)
        self.assertEqual("overload", refusal.code)
        inputs = dict(refusal.inputs)
        self.assertGreater(inputs["displaced_value"], inputs["value"])
        # It comes back when the work that it would have displaced is done.
        self.assertGreaterEqual(refusal.retry_after_ms, 2_000.0)
        small = make_job("v", URGENT, cpu=500, run_ms=1_000)
        self.assertIsNone(check(policy, small, waiting))

    def test_a_job_that_can_only_end_late_is_refused_while_others_are_on_time(self):
        waiting = [make_job(f"w{n}", cpu=5_000, run_ms=400) for n in range(4)]
        late = make_job("j", cpu=5_000, run_ms=400)
        self.assertIsNone(check(UsefulnessPolicy(), late, waiting))
        policy = make_scarcity_policy(value_order=True, waiting=waiting)
        self.assertEqual("overload", check(policy, late, waiting).code)

    def test_an_accepted_job_is_refused_within_a_quarter_of_its_objective_only(self):
        job = make_job("j", cpu=5_000, run_ms=400)
        job.accepted_capacity = CAPACITY
        policy = make_scarcity_policy(value_order=True, waiting=[self.long])
        quarter_ms = job.timing.objective_ms / 4
        self.assertTrue(policy.is_shed_checked(job, 0, NOW + quarter_ms))
        self.assertFalse(policy.is_shed_checked(job, 1, NOW + quarter_ms + 1))
        queued = job_admission.sum_work([self.long], policy, NOW)
        policy.observe_load(SERVICE, 0.8 * CAPACITY, queued, no_reports, NOW)
        self.assertTrue(policy.is_shed_checked(job, 1, NOW + quarter_ms + 1))

    def test_a_job_that_ends_after_its_callers_timeout_is_not_on_time(self):
        waiting = [make_job(f"w{n}", cpu=5_000, run_ms=400) for n in range(2)]
        policy = make_scarcity_policy(value_order=True, waiting=waiting)
        roomy = QUEUE._replace(objective_ms=3_000.0)
        patient = make_job("j", roomy, wait_ms=4_000.0, cpu=5_000, run_ms=400)
        hasty = make_job("k", roomy, wait_ms=1_000.0, cpu=5_000, run_ms=400)
        self.assertIsNone(check(policy, patient, waiting))
        self.assertEqual("overload", check(policy, hasty, waiting).code)

    def test_callers_of_shed_jobs_come_back_when_capacity_suffices(self):
        """Shed jobs are refused early, so that after the shortest time it is still short."""
        outlook = Outlook(False, 8_000_000.0, 0.0, 10_000.0, 1.0, 100.0)
        policy = make_scarcity_policy(value_order=True)
        self.assertEqual(900.0, policy.predict_retry_ms(outlook))
        for unchanged in (UsefulnessPolicy(), make_scarcity_policy(least_share=0.3)):
            self.assertEqual(MIN_RETRY_MS, unchanged.predict_retry_ms(outlook))

    def test_by_default_the_policy_is_the_one_of_before(self):
        self.assertIs(UsefulnessPolicy, type(make_policy(SharingSettings(), MemoryCounters())))
        for settings in (SharingSettings(0.1), SharingSettings(value_order=True)):
            self.assertIs(ScarcityPolicy, type(make_policy(settings, MemoryCounters())))


class LeastShareTest(unittest.TestCase):
    """Queues that got less than their part of the capacity."""

    def test_parts_follow_weights(self):
        parts = room_shares.divide_share(0.4, {"a": 1.0, "b": 3.0})
        self.assertEqual({"a": 0.1, "b": 0.3}, {q: round(p, 9) for q, p in parts.items()})
        self.assertEqual({}, room_shares.divide_share(0.4, {}))

    def test_what_a_queue_got_is_forgotten(self):
        served = ServedWork(0.0)
        served.record("a", 100_000.0, 0.0)
        served.record("b", 900_000.0, 0.0)
        weights = {"a": 1.0, "b": 1.0}
        self.assertEqual({}, served.find_below(0.2, weights, 0.0))
        self.assertEqual({"a": 0.1}, served.find_below(0.4, weights, 0.0))
        later = 3 * room_shares.SHARE_WINDOW_MS
        served.record("b", 900_000.0, later)
        self.assertEqual(["a"], list(served.find_below(0.2, weights, later)))

    def test_an_owner_starts_from_what_others_report(self):
        """From zero, each owner of taken over workers would favour the same queue again."""
        reported = [QueueShare("urgent", 1_000.0), QueueShare("idle", 9_000.0)]
        reported += [QueueShare("idle", bad) for bad in (math.nan, math.inf, -1.0)]
        waiting = [make_job("l", IDLE, count=4, cpu=5_000, run_ms=1_000)]
        policy = make_scarcity_policy(0.4, find_served=lambda _service: reported, waiting=waiting)
        self.assertEqual(tuple(reported[:2]), policy.list_served(SERVICE, NOW))
        self.assertEqual(2, policy.rank(waiting[0], NOW).level)
        unreported = make_scarcity_policy(0.4, waiting=waiting)
        self.assertLess(unreported.rank(waiting[0], NOW).level, 0)

    def test_a_queue_below_its_part_goes_first_until_it_has_it(self):
        idle = make_job("l", IDLE, count=4, cpu=5_000, run_ms=1_000)
        urgent = make_job("u", URGENT, count=4, cpu=5_000, run_ms=1_000)
        policy = make_scarcity_policy(0.4, waiting=[idle, urgent])
        policy.observe_start(urgent, 9_000_000.0, NOW)
        queued = job_admission.sum_work([idle, urgent], policy, NOW)
        policy.observe_load(SERVICE, CAPACITY, queued, no_reports, NOW)
        self.assertLess(policy.rank(idle, NOW), policy.rank(urgent, NOW))
        late_ms = NOW + idle.timing.objective_ms
        self.assertGreater(policy.rank(idle, late_ms), policy.rank(urgent, late_ms))
        policy.observe_start(idle, 3_000_000.0, NOW)
        policy.observe_load(SERVICE, CAPACITY, queued, no_reports, NOW)
        self.assertGreater(policy.rank(idle, NOW), policy.rank(urgent, NOW))

    def test_reserved_capacity_counts_against_more_urgent_arrivals(self):
        """Otherwise the starved queue is refused on arrival, and its part goes to others."""
        idle = make_job("l", IDLE, count=4, cpu=5_000, run_ms=400)
        waiting = [make_job(f"m{n}", IDLE, count=2, cpu=5_000, run_ms=400) for n in range(2)]
        arriving = (CAPACITY, 0.0, 0.0, 0.0)
        refusals = []
        for least_share in (0.0, 0.9):
            policy = make_scarcity_policy(least_share, waiting=waiting)
            policy.observe_start(make_job("u", URGENT), 9_000_000.0, NOW)
            check(policy, idle, waiting, arriving)
            refusals.append(idle.predicted_wait_ms)
        self.assertLess(refusals[1], refusals[0] / 3)

    def test_impossible_weights_of_other_processes_count_as_one(self):
        policy = make_scarcity_policy(0.4)
        with self.assertLogs("geraniumspool.dispatch_policy", logging.WARNING) as logs:
            for weight in (math.nan, -1.0, 0.0, math.inf):
                job = make_job("j", IDLE._replace(weight=weight))
                policy.observe_arrival(job, NOW)
                self.assertEqual({"idle": 1.0}, policy._services[SERVICE].weights)
        self.assertEqual(1, len(logs.output))


if __name__ == "__main__":
    unittest.main()
