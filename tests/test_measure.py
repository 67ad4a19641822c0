"""Tests of the statistics and the report of the benchmarks."""

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from benchmarks.experiment_base import DOMAINS, Job, Row, Tally, check_starts, domain_of
from benchmarks.report import (
    BEGIN,
    END,
    draw_plot,
    fill_experiment_tables,
    make_aims,
    make_table,
    merge_rows,
    replace_table,
)
from geraniumspool.client import OUTCOME_COMPLETE, OUTCOME_MAY_HAVE_RUN, OUTCOME_NOT_RUN
from geraniumspool.loadreport import JobOutcome
from geraniumspool.messages import Peer
from geraniumspool.ticket import Keyring
from geraniumspool.workload import JobPlan, TaskPlan
from tests.processes import TICKET_KEY


def make_row(experiment, policy, **fields):
    numbers = dict.fromkeys(Row._fields, 0) | {"chosen": False, "notes": {}}
    return Row(**numbers | {"experiment": experiment, "policy": policy} | fields).as_json()


class FakeMinion:
    """Minion that reports the given number of starts by task id."""

    def __init__(self, counts):
        self.counts = counts
        self.ready = {"minion": "http://minion"}
        self.process = SimpleNamespace(poll=lambda: None)

    def request(self, method, url, timeout):
        count = self.counts.get(url.rpartition("/")[2], 0)
        return SimpleNamespace(json=lambda: {"starts": count})


class TallyTest(unittest.TestCase):
    """Ratios of response time to the ideal one, refusals and missed deadlines."""

    def test_ratios(self):
        """The ideal is the longest task, or the work divided by all slots, plus a round trip."""
        tally = Tally(one_way_delay_ms=1.0)
        narrow = JobPlan((TaskPlan(98.0), TaskPlan(10.0)), "t", deadline_ms=250.0)
        wide = JobPlan((TaskPlan(88.0),) * 198, "t", deadline_ms=5_000.0)
        for plan, response_ms in ((narrow, 100.0), (narrow, 300.0), (wide, 800.0)):
            tally.record(JobOutcome(plan, "x", OUTCOME_COMPLETE, "", response_ms))
        self.assertAlmostEqual(tally.narrow_ratio(50), 1.0, 2)
        self.assertAlmostEqual(tally.narrow_ratio(99), 3.0, 2)
        self.assertAlmostEqual(tally.wide_ratio(50), 4.0, 2)
        self.assertEqual(tally.deadline_missed, 1)

    def test_refusals(self):
        """Cancelled and expired jobs do not count as refusals.

        Jobs that expired or may have run count as late.
        """
        tally = Tally(0.0)
        plan = JobPlan((TaskPlan(50.0),), "t")
        tally.record(JobOutcome(plan, "x", OUTCOME_NOT_RUN, "job_refused_deadline", 4.0))
        tally.record(JobOutcome(plan, "x", OUTCOME_NOT_RUN, "job_cancelled", 900.0))
        tally.record(JobOutcome(plan, "x", OUTCOME_NOT_RUN, "job_expired", 900.0))
        tally.record(JobOutcome(plan, "x", OUTCOME_MAY_HAVE_RUN, "home_gone", 900.0))
        self.assertAlmostEqual(tally.refused_ms(99), 4.0, 1)
        self.assertIsNone(tally.ratio(50))
        self.assertEqual(tally.deadline_missed, 2)


class StartsTest(unittest.TestCase):
    """Starts counted by the minions against the outcomes that callers were told."""

    def setUp(self):
        keyring = Keyring([TICKET_KEY])
        self.tickets = [keyring.issue(Peer("tcp://10.0.0.1:1", 1), "s", 1) for _ in range(3)]
        self.names = [f"{keyring.verify(ticket).job:x}" for ticket in self.tickets]

    def check(self, outcomes, per_minion, starts):
        jobs = [Job(t, o, 2) for t, o in zip(self.tickets, outcomes, strict=False)]
        minions = [FakeMinion(counts) for counts in per_minion]
        asked = iter(minions * 100)
        http = SimpleNamespace(request=lambda *a, **k: next(asked).request(*a, **k))
        return check_starts(SimpleNamespace(minions=minions, http=http), jobs, starts)

    def test_checks(self):
        """A case: name, outcomes, starts by minion, sum of all starts, expected violations.

        The violations are tasks started more than once, and jobs answered "not run" that started.
        """
        lost = {f"{self.names[1]}.0": 1}
        complete, not_run = OUTCOME_COMPLETE, OUTCOME_NOT_RUN
        cases = (
            ("all once", (complete, complete), [{}], 4, (0, 0)),
            ("a complete job's task twice", (complete, complete), [{}], 5, (1, 0)),
            ("a lost job's task once", (complete, OUTCOME_MAY_HAVE_RUN), [lost], 3, (0, 0)),
            ("one at two minions", (complete, OUTCOME_MAY_HAVE_RUN), [lost, lost], 4, (1, 0)),
            ("not run, yet started", (complete, not_run), [lost], 3, (0, 1)),
        )
        for name, outcomes, per_minion, starts, violations in cases:
            with self.subTest(name):
                self.assertEqual(tuple(self.check(outcomes, per_minion, starts)), violations)


class ReportTest(unittest.TestCase):
    """Result rows of the experiments, their table and their plot."""

    def test_merge(self):
        """New rows replace all rows of the same experiments and no others."""
        old = [make_row("a", "x"), make_row("a", "y"), make_row("b", "x")]
        new = [make_row("a", "x", jobs=7)]
        merged = merge_rows(old, new)
        self.assertEqual([(r["experiment"], r["jobs"]) for r in merged], [("a", 7), ("b", 0)])

    def test_table(self):
        rows = [make_row("a", "x", chosen=True, response_over_ideal_p50=None, jobs=3)]
        line = make_table(rows).splitlines()[-1]
        self.assertEqual(
            [cell.strip() for cell in line.split("|")[1:6]], ["a", "x", "yes", "3", "–"]
        )
        page = replace_table(f"one\n{BEGIN}\nold\n{END}\ntwo\n", "new")
        self.assertEqual(page, f"one\n{BEGIN}\nnew\n{END}\ntwo\n")
        with self.assertRaises(ValueError):
            replace_table("no place", "new")

    def test_aims(self):
        """An aim is compared with the worst row of the chosen policies.

        An aim without a measurement is not shown as met.
        """
        rows = [
            make_row("light", "x", chosen=True, messages_per_task=2.0),
            make_row("overload", "x", chosen=True, goodput_share=0.9, refused_ms_p99=None),
            make_row("overload", "y", goodput_share=0.99),
            make_row("store", "a", chosen=True, notes={"failed_share": 0.0}),
            make_row("store", "b", chosen=True, notes={"failed_share": 0.01}),
        ]
        lines = [line.split("|")[1:5] for line in make_aims(rows).splitlines()[2:]]
        met = {cells[0].strip(): (cells[2].strip(), cells[3].strip()) for cells in lines}
        self.assertEqual(met["light load: messages a task"], ("2", "yes"))
        self.assertEqual(met["150 % load: goodput"], ("0.9", "**no**"))
        self.assertEqual(met["150 % load: refusals' p99, ms"], ("–", "nothing measured"))
        self.assertEqual(met["store faults: share of failed jobs"], ("0.01", "**no**"))

    def test_parts(self):
        """A table in a page has the rows of the experiments that its marker names.

        Columns without values are left out.
        """
        page = "x\n<!-- table of a, b begins -->\nold\n<!-- table ends -->\ny\n"
        rows = [make_row("a", "p", jobs=3), make_row("c", "q", jobs=4)]
        lines = fill_experiment_tables(page, rows).splitlines()
        self.assertNotIn("old", lines)
        self.assertEqual(
            [c.strip() for c in lines[3].split("|")[1:-1]][:3], ["experiment", "policy", "jobs"]
        )
        self.assertFalse(any("| c " in line for line in lines))
        self.assertEqual((lines[0], lines[-1]), ("x", "y"))

    def test_plot(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "plot.png"
            draw_plot([make_row("a", "x"), make_row("a", "y", chosen=True)], path)
            self.assertEqual(path.read_bytes()[:4], b"\x89PNG")

    def test_agents_by_domain(self):
        found = [DOMAINS.index(domain_of(index)) for index in (0, 3, 4, 7, 8, 10)]
        self.assertEqual(found, [0, 0, 1, 1, 2, 2])
