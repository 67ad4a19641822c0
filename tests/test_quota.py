"""Tests of team quotas."""

import unittest
from types import SimpleNamespace

from geraniumspool.clock import ManualClock
from geraniumspool.documents import TeamDocument
from geraniumspool.quota import MAX_REPORT_AGE_MS, MAX_TEAMS, Quotas

TEAM = "opticians"
STEPS_PER_DIGEST = 50


class QuotaTest(unittest.TestCase):
    """Entries divide a team's quota by demand, without coordination."""

    def setUp(self):
        """Start without entries and limits."""
        self.clock = ManualClock()
        self.limits = TeamDocument()
        self.entries = []
        self.reports = {}

    def add_entry(self):
        """Add an entry, to which :meth:`exchange` reports the others' demand; return its quotas."""

        def get_peer_demand():
            return [report for sender, report in self.reports.items() if sender is not quotas]

        configuration = SimpleNamespace(team=lambda _name: self.limits)
        quotas = Quotas(self.clock, configuration, get_peer_demand, lambda: len(self.entries))
        self.entries.append(quotas)
        return quotas

    def exchange(self):
        """Exchange the demand of all entries."""
        demands = [(quotas, quotas.demand()) for quotas in self.entries]
        self.reports = {quotas: SimpleNamespace(demand=demand) for quotas, demand in demands}

    def submit(self, quotas, jobs, tasks=1):
        """Submit jobs that end at once; return how many of them are accepted.

        :param tasks: number of tasks of each job
        """
        count = 0
        for _ in range(jobs):
            if quotas.charge(TEAM, tasks) is None:
                quotas.release(TEAM, tasks)
                count += 1
        return count

    def run_load(self, seconds, loads, step_ms=20.0):
        """Return the number of tasks started at each entry under a constant load.

        :param loads: tasks per second submitted at each entry
        """
        started = [0] * len(loads)
        for step in range(int(seconds * 1000 / step_ms)):
            if step % STEPS_PER_DIGEST == 0:
                self.exchange()
            for index, rate in enumerate(loads):
                due = int((step + 1) * rate * step_ms / 1000) - int(step * rate * step_ms / 1000)
                started[index] += self.submit(self.entries[index], due)
            self.clock.advance(step_ms)
        return started

    def test_no_limit(self):
        """A team without a limit is never refused."""
        self.assertEqual(self.submit(self.add_entry(), 1000, 340), 1000)

    def test_burst_and_rate(self):
        """One second's tasks run at once, then the rate applies; the retry delay suffices."""
        self.limits = TeamDocument(rate_tasks_per_s=10)
        quotas = self.add_entry()
        self.assertEqual(self.submit(quotas, 30), 10)
        refusal = quotas.charge(TEAM, 1)
        self.assertIn("10.0 tasks a second", refusal.detail)
        self.clock.advance(refusal.retry_after_ms)
        self.assertEqual(self.submit(quotas, 5), 1)
        self.clock.advance(60_000)
        self.assertEqual(self.submit(quotas, 30), 10)

    def test_wide_job(self):
        """A job larger than the burst runs; later jobs wait until its tokens are refilled."""
        self.limits = TeamDocument(rate_tasks_per_s=10)
        quotas = self.add_entry()
        self.assertEqual(self.submit(quotas, 1, 40), 1)
        refusal = quotas.charge(TEAM, 1)
        self.assertAlmostEqual(refusal.retry_after_ms, 3100, delta=1)
        self.clock.advance(3000)
        self.assertEqual(self.submit(quotas, 1), 0)
        self.clock.advance(100.001)
        self.assertEqual(self.submit(quotas, 1), 1)

    def test_slow_rate(self):
        """A rate below one task a second still lets tasks through."""
        self.limits = TeamDocument(rate_tasks_per_s=0.5)
        self.add_entry()
        started = self.run_load(20, [5])[0]
        self.assertIn(started, range(10, 13))

    def test_running(self):
        """Running tasks count until they are released; those of a refused job do not count."""
        self.limits = TeamDocument(running_tasks=10)
        quotas = self.add_entry()
        self.assertIsNone(quotas.charge(TEAM, 6))
        self.assertIsNotNone(quotas.charge(TEAM, 5))
        self.assertIsNone(quotas.charge(TEAM, 4))
        refusal = quotas.charge(TEAM, 1)
        self.assertIn("10 tasks", refusal.detail)
        self.assertGreater(refusal.retry_after_ms, 0)
        quotas.release(TEAM, 4)
        self.assertIsNotNone(quotas.charge(TEAM, 5))
        self.assertIsNone(quotas.charge(TEAM, 4))

    def test_give_back(self):
        """Releasing too many tasks never makes the count negative; unknown teams are ignored."""
        self.limits = TeamDocument(running_tasks=3)
        quotas = self.add_entry()
        quotas.release(TEAM, 100)
        self.assertEqual(quotas.demand(), ())
        quotas.charge(TEAM, 2)
        quotas.release(TEAM, 100)
        self.assertEqual(quotas.demand()[0][2], 0.0)
        self.assertIsNone(quotas.charge(TEAM, 3))
        self.assertIsNotNone(quotas.charge(TEAM, 1))

    def test_refusal_by_rate_does_not_count_as_running(self):
        """Tasks of a job refused by the rate limit do not count as running."""
        self.limits = TeamDocument(rate_tasks_per_s=1, running_tasks=5)
        quotas = self.add_entry()
        self.assertIsNone(quotas.charge(TEAM, 1))
        self.assertIsNotNone(quotas.charge(TEAM, 1))
        self.assertEqual(quotas.demand()[0][2], 1.0)

    def test_limit_set_and_lifted(self):
        """A changed limit applies from the next job on."""
        quotas = self.add_entry()
        self.assertEqual(self.submit(quotas, 100), 100)
        self.limits = TeamDocument(rate_tasks_per_s=10)
        self.assertEqual(self.submit(quotas, 100), 10)
        self.limits = TeamDocument()
        self.assertEqual(self.submit(quotas, 100), 100)

    def test_shares_follow_demand(self):
        """An idle entry's part of the quota moves to the entry with the demand."""
        self.limits = TeamDocument(rate_tasks_per_s=100)
        self.add_entry()
        self.add_entry()
        busy, idle = self.run_load(20, [300, 0])
        self.assertEqual(idle, 0)
        self.assertGreaterEqual(busy, 0.95 * 2000)
        one, two = self.run_load(20, [300, 100])
        self.assertGreater(one, 2 * two)
        self.assertGreater(two, 0)

    def test_overshoot_is_bounded(self):
        """Overloaded entries together stay near the quota."""
        self.limits = TeamDocument(rate_tasks_per_s=100)
        for _ in range(4):
            self.add_entry()
        self.run_load(10, [400] * 4)
        total = sum(self.run_load(10, [400] * 4))
        self.assertGreaterEqual(total, 0.9 * 1000)
        self.assertLessEqual(total, 1.15 * 1000)

    def test_first_second_is_bounded(self):
        """Entries that do not know each other's demand yet each accept at most one burst."""
        self.limits = TeamDocument(rate_tasks_per_s=100)
        for _ in range(3):
            self.add_entry()
        self.assertLessEqual(sum(self.submit(quotas, 300) for quotas in self.entries), 300)

    def test_running_shares(self):
        """Overloaded entries together keep the running tasks near the quota."""
        self.limits = TeamDocument(running_tasks=40)
        for _ in range(4):
            self.add_entry()
        for quotas in self.entries:
            quotas.charge(TEAM, 1)
        self.exchange()
        running = 4
        for _ in range(100):
            for quotas in self.entries:
                running += quotas.charge(TEAM, 1) is None
            self.clock.advance(10)
            self.exchange()
        self.assertGreaterEqual(running, 36)
        self.assertLessEqual(running, 44)

    def test_demand_is_forgotten(self):
        """Idle teams are dropped, and the number of tracked teams is limited."""
        self.limits = TeamDocument(rate_tasks_per_s=1_000)
        quotas = self.add_entry()
        quotas.charge("quiet", 1)
        quotas.release("quiet", 1)
        self.assertEqual(quotas.demand(), (("quiet", 0.2, 0.0),))
        self.clock.advance(60_000)
        self.assertEqual(quotas.demand(), ())
        for number in range(MAX_TEAMS + 10):
            quotas.charge(f"team-{number}", 1)
        self.assertEqual(len(quotas.demand()), MAX_TEAMS)

    def test_reported_demand(self):
        """Demand is reported for teams with a quota, and again after changes or some time.

        Each case: limits, tasks after the first, the time passed, and the rate
        reported then.
        """
        rate_limit = {"rate_tasks_per_s": 100}
        cases = (
            ("no quota", {}, 100, 0, None),
            ("change below a tenth of the quota's part", rate_limit, 10, 0, 0.2),
            ("change above a tenth of it", rate_limit, 60, 0, 12),
            ("small change, old report", rate_limit, 10, MAX_REPORT_AGE_MS, 0.298),
            ("only a limit on running tasks", {"running_tasks": 100}, 1, 0, 0.4),
        )
        for name, limits, tasks, passed_ms, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.limits = TeamDocument(**limits)
                quotas = self.add_entry()
                self.submit(quotas, 1)
                quotas.demand()
                self.submit(quotas, tasks)
                self.clock.advance(passed_ms)
                reported = {team: rate for team, rate, _ in quotas.demand()}
                self.assertEqual(reported.get(TEAM), expected)

    def test_many_teams_do_not_lift_a_limit(self):
        """Many unknown team names do not evict the count of a team's running tasks."""
        self.limits = TeamDocument(running_tasks=1)
        quotas = self.add_entry()
        self.assertIsNone(quotas.charge(TEAM, 1))
        for number in range(MAX_TEAMS + 10):
            quotas.charge(f"team-{number}", 1)
            quotas.release(f"team-{number}", 1)
        self.assertIsNotNone(quotas.charge(TEAM, 1))
