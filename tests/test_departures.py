"""Tests of runs that leave a worker before its minion shuts down.

A minion that is shut down with two seconds of notice ends the longer runs with it. Their tasks
would start again only after that, when most of their callers' time has passed.
"""

import math
import unittest

import eventlet

from geraniumspool import packing
from geraniumspool.clock import ManualClock
from geraniumspool.departures import ActiveRun, find_departure, find_runs_to_move
from geraniumspool.executor import Executor
from geraniumspool.job_specs import JobOutcome, StepSpec
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.messages import Peer
from geraniumspool.minion_lives import DEPARTURE_SHIFT_MS
from geraniumspool.packing import PlacementRequest
from geraniumspool.rooms import Resources
from geraniumspool.run_messages import UNKNOWN_DEPARTURE, RenewRuns
from geraniumspool.wire_versions import CURRENT_VERSION
from tests.dispatch_world import MemoryCounters, make_guard, make_spec
from tests.test_dispatcher import DispatchCase
from tests.test_packing import FakeWorker

TASK = "j1.0.0.0"


class DecisionTest(unittest.TestCase):
    """The choice of the runs that are stopped."""

    def test_only_runs_that_end_after_the_departure_are_moved(self):
        rows = [
            ("ends well before", ActiveRun(1, 100.0, 400.0), 1_000.0, False),
            ("ends after", ActiveRun(1, 100.0, 1_800.0), 1_000.0, True),
            ("ends within the margin", ActiveRun(1, 100.0, 1_090.0), 1_000.0, True),
            ("overdue, time left", ActiveRun(1, 500.0, 400.0), 1_000.0, False),
            ("overdue, little time left", ActiveRun(1, 500.0, 400.0), 150.0, True),
            ("straggler", ActiveRun(1, 500.0, 400.0, 2_300.0), 1_000.0, True),
            ("straggler that ends in time", ActiveRun(1, 500.0, 400.0, 300.0), 1_000.0, False),
            ("departure is due", ActiveRun(1, 399.0, 400.0), 0.0, True),
        ]
        for name, run, time_left_ms, is_moved in rows:
            with self.subTest(name):
                moves = find_runs_to_move([run], time_left_ms)
                self.assertEqual([run] if is_moved else [], [move.run for move in moves])

    def test_an_unknown_departure_never_comes(self):
        for value in (UNKNOWN_DEPARTURE, -math.inf, math.nan):
            with self.subTest(value=value):
                self.assertEqual(math.inf, find_departure(value, 5_000.0))
        self.assertEqual(5_000.0, find_departure(0.0, 5_000.0))

    def test_a_worker_that_departs_gets_only_runs_that_end_before(self):
        """An executor may accept runs while its minion drains; none of today's does."""
        step = StepSpec(1, Resources(4_000, 10))
        for departs_ms, is_chosen in ((5_140.0, True), (5_120.0, False), (math.inf, True)):
            with self.subTest(departs_ms=departs_ms):
                request = PlacementRequest(step, 100.0, 1_000.0, "north", {}, 5_000.0)
                chosen = packing.choose_worker([FakeWorker(departs_ms=departs_ms)], request)
                self.assertEqual(is_chosen, chosen is not None)


class ReportTest(unittest.TestCase):
    """The departure time in an executor's reports."""

    def setUp(self):
        self.clock = ManualClock(5_000.0)
        self.minion = MemoryMinion(self.clock)
        self.sent = []
        counters = MemoryCounters()
        self.executor = Executor(
            self.clock,
            self.minion,
            lambda _peer, report: self.sent.append(report),
            counters,
            "north",
            1,
            make_guard(self.clock, counters),
        )
        poll = eventlet.spawn(self.executor.run_poll_loop)
        self.addCleanup(poll.kill)
        self.executor.handle_minion_report(self.minion.incarnation)
        self.clock.advance(50)
        self.executor.handle_renewal(Peer("tcp://d", 1), RenewRuns(self.clock.now()))
        self.clock.advance(50)
        self.sent.clear()

    def report(self, *departure_ms, draining=True):
        """Deliver the next report of the minion."""
        life = self.minion.incarnation
        self.minion.incarnation = life._replace(sequence=life.sequence + 1, draining=draining)
        self.executor.handle_minion_report(self.minion.incarnation, *departure_ms)

    def read_departure(self):
        return self.executor.state().departure_ms

    def test_the_remaining_time_shrinks_with_the_age_of_the_report(self):
        self.report(2_000.0)
        self.assertEqual([2_000.0], [report.state.departure_ms for report in self.sent])
        self.clock.advance(700)
        self.assertEqual(1_300.0, self.read_departure())
        self.clock.advance(2_000)
        self.assertEqual(0.0, self.read_departure())

    def test_the_latest_report_counts(self):
        self.report(2_000.0)
        self.report(500.0)
        self.assertEqual(500.0, self.read_departure())
        self.report()
        self.assertEqual(UNKNOWN_DEPARTURE, self.read_departure())
        self.report(900.0, draining=False)
        self.assertEqual(UNKNOWN_DEPARTURE, self.read_departure())

    def test_dispatchers_are_told_at_once_of_a_departure_that_moves(self):
        """Otherwise they would move runs by a time that is out of date."""
        self.report(2_000.0)
        self.sent.clear()
        self.report(2_000.0 + DEPARTURE_SHIFT_MS / 2)
        self.assertEqual([], self.sent)
        self.report(700.0)
        self.assertEqual([700.0], [report.state.departure_ms for report in self.sent])

    def test_a_restarted_minion_does_not_depart(self):
        self.report(2_000.0)
        self.clock.advance(10)
        self.minion.restart()
        self.executor.handle_minion_report(self.minion.incarnation)
        self.assertEqual(UNKNOWN_DEPARTURE, self.read_departure())


class MovedRunsTest(DispatchCase):
    """Runs on a worker whose minion drains."""

    def setUp(self):
        super().setUp()
        # The incarnations of the simulated processes announce no version, for which messages are
        # written in their former length.
        for part in (*self.world.workers, *self.world.dispatchers):
            part.messenger._monitor.version_of = lambda _peer: CURRENT_VERSION

    def drain(self, worker, departure_ms):
        life = worker.minion.incarnation
        worker.minion.incarnation = life._replace(sequence=life.sequence + 1, draining=True)
        worker.executor.handle_minion_report(worker.minion.incarnation, departure_ms)

    def start(self, run_ms, **options):
        caller = self.dispatcher.submit(make_spec("j1", run_ms=run_ms, **options), timeout_ms=9_000)
        self.advance(100)
        return caller, self.find_worker(TASK)

    def count_moved(self):
        return self.dispatcher.counters.get("runs_moved", queue="scan")

    def test_a_run_that_would_be_interrupted_runs_elsewhere_at_once(self):
        caller, worker = self.start(1_500)
        with self.assertLogs("geraniumspool.dispatch_job", "INFO") as logs:
            self.drain(worker, 1_000.0)
            self.advance(80)
        moved = [r for r in logs.records if r.getMessage() == "run moved off leaving worker"]
        fields = dict(moved[0].fields)
        self.assertEqual(1, len(moved))
        self.assertEqual(worker.address, fields["worker"])
        self.assertAlmostEqual(100, fields["age_ms"], delta=10)
        self.assertAlmostEqual(1_400, fields["predicted_ms"], delta=10)
        self.assertAlmostEqual(1_000, fields["time_left_ms"], delta=5)
        self.assertIsNot(worker, self.find_worker(TASK))
        self.advance(1_600)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual((2, 1), (self.world.start_count(TASK), self.count_moved()))

    def test_a_run_that_ends_before_the_departure_stays(self):
        caller, worker = self.start(600)
        self.drain(worker, 1_000.0)
        self.advance(700)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual((1, 0), (self.world.start_count(TASK), self.count_moved()))

    def test_a_run_that_becomes_overdue_is_moved_as_the_time_runs_out(self):
        """A straggler is predicted to end in time until it has exceeded its expected time."""
        caller, worker = self.start(4_000, declared_ms=300)
        self.drain(worker, 1_000.0)
        self.advance(50)
        self.assertEqual(0, self.count_moved())
        self.advance(600)
        self.assertEqual(1, self.count_moved())
        self.advance(4_200)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)

    def test_a_run_stays_where_nothing_is_gained(self):
        """The remaining time is a minimum, so that a run that stays may still end."""
        rows = [
            ("departure unknown", UNKNOWN_DEPARTURE, 1_500, 9_000.0, False),
            ("caller is gone before a second run ends", 1_000.0, 1_500, 1_650.0, False),
            ("no other worker", 1_000.0, 1_500, 9_000.0, True),
        ]
        for number, (name, departure_ms, run_ms, timeout_ms, is_alone) in enumerate(rows):
            with self.subTest(name):
                self.setUp()
                job = f"s{number}"
                self.dispatcher.submit(make_spec(job, run_ms=run_ms), timeout_ms=timeout_ms)
                self.advance(100)
                worker = self.find_worker(f"{job}.0.0.0")
                for other in self.world.workers if is_alone else ():
                    if other is not worker:
                        self.drain(other, UNKNOWN_DEPARTURE)
                self.advance(10)
                self.drain(worker, departure_ms)
                self.advance(100)
                self.assertIs(worker, self.find_worker(f"{job}.0.0.0"))
                self.assertEqual(0, self.count_moved())

    def test_a_lost_stop_does_not_lead_to_a_second_run(self):
        """The task is requeued only once the worker has reported the end of its run."""
        caller, worker = self.start(1_500)
        worker.minion.ignored_calls = {"stop"}
        self.drain(worker, 1_000.0)
        self.advance(60)
        self.assertIs(worker, self.find_worker(TASK))
        self.assertEqual(1, self.world.start_count(TASK))
        worker.minion.ignored_calls = set()
        self.advance(3_500)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual(1, self.count_moved())

    def test_all_runs_of_a_worker_move_while_the_dispatcher_dies(self):
        """The runs end with its lease, and the resent job starts them again elsewhere."""
        _caller, worker = self.start(1_500, count=2)
        self.drain(worker, 1_000.0)
        self.dispatcher.kill()
        self.advance(1_500)
        self.assertEqual(set(), worker.minion.running)

    def test_a_seventh_of_the_workers_leaves_with_two_seconds_of_notice(self):
        """Fourteen workers of unequal speed; two are taken while each has runs of 1.8 s."""
        self.workers, self.capacities = 14, (2.0,)
        self.setUp()
        for number, worker in enumerate(self.world.workers):
            worker.minion.slow_factor = (0.7, 0.7, 1.7)[number % 3]
        callers = [
            self.dispatcher.submit(
                make_spec(f"l{number}", count=2, cpu=2_000, run_ms=1_800), timeout_ms=9_000
            )
            for number in range(20)
        ]
        self.advance(300)
        leaving = self.world.workers[1:3]
        for worker in leaving:
            self.drain(worker, 2_000.0)
        self.advance(1_950)
        self.assertEqual([set(), set()], [worker.minion.running for worker in leaving])
        for worker in leaving:
            worker.minion.crash(math.inf)
        self.advance(4_000)
        self.assertEqual({JobOutcome.SUCCEEDED}, {caller.outcome for caller in callers})
