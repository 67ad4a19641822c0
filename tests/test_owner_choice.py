"""Tests of the choice of the dispatcher that a job is assigned to."""

import random
import unittest
from collections import Counter

from geraniumspool.job_messages import ServiceLoad
from geraniumspool.owner_choice import (
    BUSY_LIMIT,
    BUSY_WAIT_MS,
    CROSS_DOMAIN_PENALTY_MS,
    MAX_PREDICTED_WAIT_MS,
    AssignmentRequest,
    OwnerOption,
    choose_owner,
    describe_job,
    estimate_cost,
    predict_wait_ms,
)
from geraniumspool.queued_work import QueuedWork
from tests.dispatch_world import QUEUE, make_spec

TOTAL_CPU = 100_000.0
JOB = AssignmentRequest(1, 20_000.0, frozenset())


def make_option(owner, free, domain="north", in_time=(0.0,) * 4, **fields):
    """Return a dispatcher that a job may be assigned to.

    :param free: free CPU of its workers in thousandths of a core
    :param in_time: queued work of jobs in time, by priority level
    """
    load = ServiceLoad("fitting", TOTAL_CPU, free, 400.0, QueuedWork(in_time), ("r1",))
    return OwnerOption(owner, domain, load, **fields)


class PredictTest(unittest.TestCase):
    """Waits predicted from load reports."""

    def test_free_capacity_means_no_wait(self):
        self.assertEqual(0.0, predict_wait_ms(make_option("a", 20_000.0), JOB))

    def test_more_work_or_less_free_capacity_means_a_longer_wait(self):
        rows = [
            make_option("a", 10_000.0),
            make_option("a", 0.0),
            make_option("a", 0.0, in_time=(4e6, 0.0, 0.0, 0.0)),
            make_option("a", 0.0, in_time=(4e6, 4e6, 0.0, 0.0)),
        ]
        waits = [predict_wait_ms(option, JOB) for option in rows]
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(4, len(set(waits)))

    def test_a_dispatcher_without_workers_has_the_longest_wait(self):
        """An entry dispatcher often owns none, and compares itself with the others."""
        none = OwnerOption(None, "north", ServiceLoad("fitting", 0.0, 0.0, 400.0))
        self.assertEqual(MAX_PREDICTED_WAIT_MS, predict_wait_ms(none, JOB))

    def test_less_urgent_work_does_not_lengthen_the_wait(self):
        waits = [
            predict_wait_ms(make_option("a", 0.0, in_time=(0.0, 0.0, work, work)), JOB)
            for work in (0.0, 9e6)
        ]
        self.assertEqual(*waits)

    def test_work_forwarded_since_the_report_counts(self):
        sent = make_option("a", 20_000.0, sent_work=8e6)
        self.assertGreater(predict_wait_ms(sent, JOB), 0.0)


class ChooseTest(unittest.TestCase):
    """Choice among several dispatchers."""

    def setUp(self):
        random.seed(1)

    def test_without_workers_no_dispatcher_is_chosen(self):
        empty = OwnerOption("a", "north", ServiceLoad("fitting", 0.0, 0.0, 400.0))
        self.assertIsNone(choose_owner([empty], JOB, "north"))
        self.assertIsNone(choose_owner([], JOB, "north"))

    def test_own_workers_go_before_those_of_other_dispatchers(self):
        options = [make_option("a", TOTAL_CPU), make_option(None, 30_000.0)]
        self.assertIsNone(choose_owner(options, JOB, "north").owner)

    def test_another_domain_is_chosen_only_for_a_much_shorter_wait(self):
        far = make_option("far", TOTAL_CPU, "south")
        long_work = TOTAL_CPU * (CROSS_DOMAIN_PENALTY_MS + 10.0)
        rows = [(0.0, "near"), (long_work, "far")]
        for work, expected in rows:
            with self.subTest(work=work):
                near = make_option("near", 20_000.0, in_time=(work, 0.0, 0.0, 0.0))
                self.assertEqual(expected, choose_owner([near, far], JOB, "north").owner)

    def test_a_free_group_elsewhere_goes_before_the_full_one_of_the_own_domain(self):
        """A crest in one domain would otherwise wait there while the others are free."""
        far = make_option("far", TOTAL_CPU, "south")
        for owner in ("near", None):
            with self.subTest(owner=owner):
                near = make_option(owner, 0.0)
                self.assertEqual("far", choose_owner([near, far], JOB, "north").owner)

    def test_the_wait_at_a_busy_dispatcher_grows_with_the_excess(self):
        """Below the limit, and where the share is unknown, the choice is as without shares."""
        costs = [
            estimate_cost(make_option("a", TOTAL_CPU, busy_share=share), JOB, "north")
            for share in (-1.0, 0.0, BUSY_LIMIT, 0.8, 0.9, 1.0, 1.3)
        ]
        self.assertEqual(costs[0], costs[1])
        self.assertEqual(costs[0], costs[2])
        self.assertEqual(sorted(set(costs[2:])), costs[2:])
        self.assertAlmostEqual(BUSY_WAIT_MS, costs[5] - costs[0])

    def test_dispatchers_with_the_same_reports_do_not_all_choose_the_same_owner(self):
        options = [make_option(f"o{n}", 50_000.0 + n) for n in range(8)]
        chosen = Counter(choose_owner(options, JOB, "north").owner for _ in range(400))
        self.assertLess(max(chosen.values()), 150)

    def test_the_owner_of_the_rack_near_the_data_is_always_compared(self):
        options = [make_option(f"o{n}", TOTAL_CPU) for n in range(30)]
        options = [
            option._replace(load=option.load._replace(racks=("r2",) if n == 17 else ()))
            for n, option in enumerate(options)
        ]
        near_data = JOB._replace(racks=frozenset({"r2"}))
        self.assertEqual("o17", choose_owner(options, near_data, "north").owner)

    def test_a_job_is_described_by_the_tasks_that_start_first(self):
        spec = make_spec("j", count=3, cpu=5_000, rack="r2")
        self.assertEqual(AssignmentRequest(0, 15_000, frozenset({"r2"})), describe_job(spec, QUEUE))


if __name__ == "__main__":
    unittest.main()
