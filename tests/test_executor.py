"""Tests of the executor with an in-memory minion."""

import unittest

import eventlet

from geraniumspool.claim_messages import FenceJobs, JobsFenced
from geraniumspool.clock import ManualClock
from geraniumspool.contracts import RunKey, StartOutcome
from geraniumspool.counters import MemoryCounters
from geraniumspool.executor import MAX_LOGGED_ORDERS, Executor
from geraniumspool.fleet import RUNS_LOST_AFTER_MS
from geraniumspool.memory_minion import CallFault, MemoryMinion, ScriptedFault
from geraniumspool.messages import Peer
from geraniumspool.minion_watch import POLL_RETRY_MS, POLL_WAIT_MS
from geraniumspool.platform.minion import POLL_TIMEOUT_MS
from geraniumspool.rooms import Resources
from geraniumspool.run_leases import (
    CLOCK_DRIFT,
    DISPATCHER_LEASE_MS,
    LONGEST_LEASE_MS,
    MINION_LEASE_MS,
)
from geraniumspool.run_messages import (
    FENCED,
    RUN_DONE,
    RUN_FAILED,
    RUN_LAPSED,
    RUN_REFUSED,
    RUN_STOPPED,
    RenewRuns,
    RunOrder,
    StartRuns,
    StopRuns,
)
from tests.dispatch_world import make_guard

DISPATCHER = Peer("tcp://10.0.0.1:1", 7)
OTHER_DISPATCHER = Peer("tcp://10.0.0.2:1", 8)
ORDER_FIELDS = ("number", "echo_age_ms", "order_rank")
OLD_CLOCK_FIELDS = ("echo_age_ms", "lease_left_ms", "orders")


def make_order(number, task="j.0.0.0", cpu=4_000, run_ms=100, behavior="", **changes):
    """Return an order whose payload the in-memory minion can parse."""
    payload = f"{cpu}:{run_ms}" + (f":{behavior}" if behavior else "")
    values = {
        "number": number,
        "task": task,
        "attempt": 1,
        "payload": payload,
        "need": Resources(cpu),
        "expected_ms": run_ms,
        "slack_ms": 500.0,
        "patience_ms": 60.0,
        "limit_ms": 5_000.0,
    }
    return RunOrder(**(values | changes))


class ExecutorCase(unittest.TestCase):
    """Base class: an executor with an in-memory minion; the test plays the dispatchers."""

    def setUp(self):
        self.clock = ManualClock()
        self.minion = MemoryMinion(self.clock)
        self.counters = MemoryCounters()
        self.sent = []
        self.ends = {}
        self.tasks = []
        self.addCleanup(lambda: [task.kill() for task in self.tasks])
        self.executor = self.make_executor()

    def make_executor(self, fence=1):
        executor = Executor(
            self.clock,
            self.minion,
            self.take_report,
            self.counters,
            "north",
            fence,
            make_guard(self.clock, self.counters),
        )
        for green_thread in self.tasks:
            green_thread.kill()
        self.tasks = [
            eventlet.spawn(executor.run_poll_loop),
            eventlet.spawn(executor.run_periodic_checks),
        ]
        executor.handle_minion_report(self.minion.incarnation)
        self.clock.advance(50)
        return executor

    def take_report(self, peer, report):
        self.sent.append((peer, report))
        for end in report.ends:
            self.ends.setdefault((peer, end.number), []).append(end)
        return True

    def start(self, *orders, dispatcher=DISPATCHER):
        self.executor.handle_start(dispatcher, StartRuns(self.clock.now(), orders))
        self.clock.run_ready_threads()

    def renew(self, *numbers, dispatcher=DISPATCHER, echo_ms=None):
        echo = self.clock.now() if echo_ms is None else echo_ms
        self.executor.handle_renewal(dispatcher, RenewRuns(echo, numbers, max(numbers, default=0)))

    def advance_renewing(self, total_ms, *numbers, dispatcher=DISPATCHER):
        """Advance the clock while a dispatcher renews its lease and lists the runs given."""
        for _ in range(int(total_ms // 100)):
            self.renew(*numbers, dispatcher=dispatcher)
            self.clock.advance(100)

    def outcome(self, number, dispatcher=DISPATCHER):
        ends = self.ends.get((dispatcher, number), [])
        return ends[-1].how if ends else None


class OrderLogTest(ExecutorCase):
    """A task that ran twice, of which the logs do not say which orders its runs came from."""

    def setUp(self):
        super().setUp()
        self.clock.advance(10_000)

    def take_report(self, peer, report):
        return isinstance(report, JobsFenced) or super().take_report(peer, report)

    def read_lines(self, logs, message):
        return [dict(line.fields) for line in logs.records if line.getMessage() == message]

    def order(self, echo_age_ms, *orders):
        """Send orders that echo an old clock value, and return what is logged until they end."""
        with self.assertLogs("geraniumspool", "INFO") as logs:
            message = StartRuns(self.clock.now() - echo_age_ms, orders)
            self.executor.handle_start(DISPATCHER, message)
            self.advance_renewing(400, *(order.number for order in orders))
        return logs

    def test_the_end_of_a_run_names_its_order(self):
        order = make_order(3, fence_rank=0, claim_age_ms=20.4)
        (line,) = self.read_lines(self.order(200, order), "run ended")
        self.assertEqual((3, 200, 0), tuple(line[name] for name in ORDER_FIELDS))
        self.assertEqual((RUN_DONE, 20), (line["how"], line["claim_age_ms"]))

    def test_late_orders_of_a_renewed_dispatcher_are_logged_once(self):
        """They arrive over a replaced connection, after newer messages have renewed the lease."""
        self.renew()
        age_ms = DISPATCHER_LEASE_MS + 1
        orders = [make_order(n, f"j.0.0.{n}", cpu=100) for n in range(1, MAX_LOGGED_ORDERS + 3)]
        logs = self.order(age_ms, *orders)
        (line,) = self.read_lines(logs, "order with an old clock")
        self.assertEqual((601, 600, 12), tuple(line[n] for n in OLD_CLOCK_FIELDS))
        self.assertEqual("1,2,3,4,5,6,7,8,9,10", line["numbers"])
        self.assertEqual(MAX_LOGGED_ORDERS, len(line["tasks"].split(",")))
        self.assertEqual({RUN_REFUSED}, {self.outcome(order.number) for order in orders})
        logs = self.order(age_ms, *orders, make_order(99))
        (line,) = self.read_lines(logs, "order with an old clock")
        self.assertEqual("99", line["numbers"])

    def test_orders_with_a_valid_clock_are_not_logged(self):
        logs = self.order(DISPATCHER_LEASE_MS, make_order(1))
        self.assertEqual([], self.read_lines(logs, "order with an old clock"))

    def test_a_superseded_run_names_the_dispatcher_of_the_order(self):
        self.start(make_order(1, run_ms=900))
        with self.assertLogs("geraniumspool", "INFO") as logs:
            self.start(make_order(4), dispatcher=OTHER_DISPATCHER)
        (line,) = self.read_lines(logs, "stop requested")
        self.assertEqual(("superseded", 1), (line["reason"], line["number"]))
        self.assertEqual(OTHER_DISPATCHER.address, line["successor"])
        (line,) = self.read_lines(logs, "run refused")
        self.assertEqual(("task_active", 4), (line["reason"], line["number"]))

    def test_a_fenced_run_names_the_dispatcher_of_the_fence(self):
        self.start(make_order(1, run_ms=900))
        with self.assertLogs("geraniumspool", "INFO") as logs:
            self.executor.job_fences.handle_fence_jobs(OTHER_DISPATCHER, FenceJobs(("j",), 5))
        (line,) = self.read_lines(logs, "stop requested")
        self.assertEqual((FENCED, OTHER_DISPATCHER.address), (line["reason"], line["successor"]))

    def test_a_stop_by_the_dispatcher_itself_names_no_successor(self):
        self.start(make_order(1, run_ms=900))
        with self.assertLogs("geraniumspool", "INFO") as logs:
            self.executor.handle_stop(DISPATCHER, StopRuns((1,)))
        (line,) = self.read_lines(logs, "stop requested")
        self.assertEqual(("asked", ""), (line["reason"], line["successor"]))


class ClaimAgeTest(ExecutorCase):
    """Orders of jobs whose claims are older than the executor process.

    Its former process may have set a fence for another dispatcher after such a grant.
    """

    def setUp(self):
        super().setUp()
        self.clock.advance(10_000)
        self.started_ms = self.clock.now()
        self.executor = self.make_executor(2)
        self.clock.advance(400)

    def start_with_echo(self, echo_age_ms, order):
        echo_ms = self.started_ms + echo_age_ms
        self.executor.handle_start(DISPATCHER, StartRuns(echo_ms, (order,)))
        self.clock.advance(20)

    def take_report(self, peer, report):
        if not isinstance(report, JobsFenced):
            return super().take_report(peer, report)
        return True

    def fence(self, rank, dispatcher=DISPATCHER):
        self.executor.job_fences.handle_fence_jobs(dispatcher, FenceJobs(("j",), rank))

    def test_an_order_whose_claim_is_older_than_the_process_is_refused(self):
        with self.assertLogs("geraniumspool.executor", "INFO") as logs:
            self.start_with_echo(300, make_order(1, claim_age_ms=310.0))
        self.assertEqual(FENCED, self.ends[DISPATCHER, 1][0].reason)
        self.assertEqual(RUN_REFUSED, self.outcome(1))
        fields = dict(logs.records[-1].fields)
        self.assertEqual((310, 450), (fields["claim_age_ms"], fields["executor_age_ms"]))
        self.assertEqual((1, 150, 0), tuple(fields[k] for k in ORDER_FIELDS))

    def test_an_order_whose_claim_is_younger_than_the_process_is_accepted(self):
        self.start_with_echo(300, make_order(1, claim_age_ms=290.0))
        self.assertEqual({"j.0.0.0"}, self.minion.running)

    def test_a_delayed_order_does_not_make_its_claim_younger(self):
        """The age is counted back from the echoed clock value, not from the arrival."""
        self.start_with_echo(100, make_order(1, claim_age_ms=110.0))
        self.assertEqual(RUN_REFUSED, self.outcome(1))

    def test_the_difference_in_rate_between_two_clocks_counts_against_the_claim(self):
        self.start_with_echo(300, make_order(1, claim_age_ms=300.0 / (1 + CLOCK_DRIFT) + 1.0))
        self.assertEqual(RUN_REFUSED, self.outcome(1))

    def test_an_order_of_an_earlier_build_which_states_no_age_is_accepted(self):
        self.start_with_echo(300, make_order(1))
        self.assertEqual({"j.0.0.0"}, self.minion.running)

    def test_an_older_claim_with_a_fence_that_this_process_holds_is_accepted(self):
        self.fence(5)
        for number, rank, is_running in ((1, 0, False), (2, 6, False), (3, 5, True)):
            with self.subTest(rank=rank):
                order = make_order(number, claim_age_ms=5_000.0, fence_rank=rank)
                self.start_with_echo(300, order)
                self.assertEqual(is_running, bool(self.minion.running))

    def test_an_older_claim_with_a_fence_of_another_dispatcher_is_refused(self):
        self.fence(5, OTHER_DISPATCHER)
        self.start_with_echo(300, make_order(1, claim_age_ms=5_000.0, fence_rank=5))
        self.assertEqual(RUN_REFUSED, self.outcome(1))


class RunsTest(ExecutorCase):
    """Start and end of runs, capacity, limits and ejection."""

    def test_run_is_started_and_its_end_reported(self):
        self.start(make_order(1))
        self.assertEqual({"j.0.0.0"}, self.minion.running)
        self.clock.advance(200)
        self.assertEqual(RUN_DONE, self.outcome(1))
        self.assertTrue(self.executor.is_idle)

    def test_capacity_is_never_exceeded(self):
        orders = [make_order(n, f"j.0.0.{n}", patience_ms=1_000.0) for n in range(1, 7)]
        self.start(*orders)
        self.advance_renewing(600, *range(1, 7))
        self.assertLessEqual(self.minion.peak_used.cpu, 10_000)
        self.assertEqual([RUN_DONE] * 6, [self.outcome(n) for n in range(1, 7)])

    def test_stopping_run_holds_its_capacity(self):
        self.start(make_order(1, cpu=10_000, run_ms=900))
        self.executor.handle_stop(DISPATCHER, StopRuns((1,)))
        self.start(make_order(2, "k.0.0.0", cpu=10_000))
        self.clock.advance(300)
        self.assertEqual((RUN_STOPPED, RUN_DONE), (self.outcome(1), self.outcome(2)))
        self.assertLessEqual(self.minion.peak_used.cpu, 10_000)

    def test_order_that_must_not_wait_is_refused_without_capacity(self):
        self.start(make_order(1, cpu=10_000))
        self.start(make_order(2, "k.0.0.0", patience_ms=0.0))
        self.clock.advance(10)
        self.assertEqual(RUN_REFUSED, self.outcome(2))
        self.assertEqual(["j.0.0.0"], [key.task for key in self.minion.started])

    def test_most_urgent_queued_run_starts_first(self):
        self.start(make_order(1, cpu=10_000))
        self.start(make_order(2, "k.0.0.0", cpu=10_000, slack_ms=900.0, patience_ms=500.0))
        self.start(make_order(3, "l.0.0.0", cpu=10_000, slack_ms=100.0, patience_ms=500.0))
        self.advance_renewing(400, 1, 2, 3)
        self.assertEqual(
            ["j.0.0.0", "l.0.0.0", "k.0.0.0"], [key.task for key in self.minion.started]
        )

    def test_refused_start_is_reported_as_refused(self):
        outcomes = (StartOutcome.FULL, StartOutcome.UNHEALTHY, StartOutcome.REJECTED)
        for number, outcome in enumerate(outcomes, 1):
            with self.subTest(outcome=outcome):
                self.minion.refuse_with = outcome
                self.start(make_order(number))
                self.clock.advance(20)
                self.assertEqual(RUN_REFUSED, self.outcome(number))
                self.assertTrue(self.executor.is_idle)

    def test_attempt_number_used_by_another_dispatcher_is_skipped(self):
        self.start(make_order(1))
        self.clock.advance(200)
        self.start(make_order(1), dispatcher=OTHER_DISPATCHER)
        self.clock.advance(200)
        self.assertEqual(RUN_DONE, self.outcome(1, OTHER_DISPATCHER))
        self.assertEqual([1, 2], [key.attempt for key in self.minion.started])

    def test_task_of_two_dispatchers_never_runs_twice_at_once(self):
        self.start(make_order(1, run_ms=400))
        self.start(make_order(1, run_ms=400), dispatcher=OTHER_DISPATCHER)
        self.clock.advance(100)
        self.assertEqual(RUN_REFUSED, self.outcome(1, OTHER_DISPATCHER))
        self.assertEqual(RUN_STOPPED, self.outcome(1, DISPATCHER))
        self.assertEqual(1, len(self.minion.started))

    def test_run_is_stopped_when_its_caller_stops_waiting(self):
        self.start(make_order(1, run_ms=3_000, limit_ms=200.0))
        self.advance_renewing(400, 1)
        self.assertEqual(RUN_STOPPED, self.outcome(1))
        self.assertEqual(set(), self.minion.running)

    def test_stalled_run_is_stopped(self):
        self.start(make_order(1, behavior="hang"))
        self.advance_renewing(1_200, 1)
        self.assertEqual(RUN_STOPPED, self.outcome(1))

    def test_minion_failing_three_jobs_in_a_row_is_ejected_and_probed(self):
        for number in (1, 2, 3):
            self.start(make_order(number, f"j{number}.0.0.0", behavior="fail", run_ms=10))
            self.clock.advance(50)
            self.assertEqual(RUN_FAILED, self.outcome(number))
        self.assertFalse(self.executor.state().accepts)
        self.clock.advance(600)
        self.assertTrue(self.executor.state().accepts)
        for number in (4, 5):
            self.start(make_order(number, f"j{number}.0.0.0", run_ms=10))
            self.clock.advance(50)
        self.start(make_order(6, "j6.0.0.0"), make_order(7, "j7.0.0.0"))
        self.clock.advance(200)
        self.assertEqual((RUN_DONE, RUN_DONE), (self.outcome(6), self.outcome(7)))


class LostCallsTest(ExecutorCase):
    """Calls to the minion that get no answer."""

    def test_unanswered_start_never_runs_beside_a_later_one(self):
        for number, fault in enumerate(CallFault, 1):
            with self.subTest(fault=fault):
                task = f"j{number}.0.0.0"
                self.minion.inject_fault(ScriptedFault("start", fault))
                self.start(make_order(number, task, run_ms=400))
                self.advance_renewing(500, number)
                expected = RUN_DONE if fault is CallFault.LOST_AFTER else RUN_REFUSED
                self.assertEqual(expected, self.outcome(number))
                self.assertEqual(set(), self.minion.running)
                # A start executed seconds later is refused, because its run was stopped before.
                self.clock.advance(5_000)
                self.assertEqual(set(), self.minion.running)
                self.assertTrue(self.executor.is_idle)

    def test_late_executed_start_is_over_before_its_end_is_reported(self):
        self.minion.inject_fault(ScriptedFault("start", CallFault.LATE, late_ms=150.0))
        self.minion.inject_fault(ScriptedFault("look", CallFault.LOST_BEFORE))
        self.start(make_order(1, run_ms=400))
        for _ in range(60):
            self.renew(1)
            self.clock.advance(10)
            if self.outcome(1) is not None:
                self.assertEqual(set(), self.minion.running)

    def test_stop_is_repeated_until_it_is_answered(self):
        self.start(make_order(1, run_ms=2_000))
        self.minion.inject_fault(ScriptedFault("stop", CallFault.LOST_BEFORE))
        self.minion.inject_fault(ScriptedFault("stop", CallFault.LOST_BEFORE))
        self.executor.handle_stop(DISPATCHER, StopRuns((1,)))
        self.advance_renewing(500, 1)
        self.assertEqual(RUN_STOPPED, self.outcome(1))

    def test_runs_of_silent_minion_lapse_when_its_lease_has_expired(self):
        self.start(make_order(1, run_ms=5_000))
        self.advance_renewing(200, 1)
        self.minion.is_silent = True
        self.advance_renewing(300, 1)
        self.assertIsNone(self.outcome(1))
        self.advance_renewing(900, 1)
        self.assertEqual(RUN_LAPSED, self.outcome(1))
        self.assertFalse(self.executor.state().accepts)
        self.minion.is_silent = False
        self.assertEqual(set(), self.minion.running)

    def test_runs_of_mute_minion_lapse_only_after_they_have_ended(self):
        # A mute minion executes calls without answering, so unanswered polls extend its lease.
        for number in range(1, 9):
            with self.subTest(number=number):
                self.ends.clear()
                self.minion = MemoryMinion(self.clock)
                self.executor = self.make_executor()
                self.start(make_order(number, run_ms=9_000))
                self.advance_renewing(300, number)
                self.clock.advance(15 * number)
                self.minion.loses_answers = True
                while self.outcome(number) is None:
                    self.renew(number)
                    self.clock.advance(10)
                self.assertEqual(RUN_LAPSED, self.outcome(number))
                self.assertEqual(set(), self.minion.running)

    def test_minion_lease_outlasts_two_lost_polls(self):
        self.assertLess(2 * (POLL_WAIT_MS + POLL_TIMEOUT_MS + POLL_RETRY_MS), MINION_LEASE_MS)

    def test_lost_polls_end_no_run(self):
        self.start(make_order(1, run_ms=600))
        self.minion.inject_fault(ScriptedFault("look", CallFault.LOST_BEFORE))
        self.minion.inject_fault(ScriptedFault("look", CallFault.LOST_AFTER))
        self.advance_renewing(900, 1)
        self.assertEqual(RUN_DONE, self.outcome(1))


class LeaseTest(ExecutorCase):
    """Dispatchers whose lease expires or is renewed too late."""

    def test_runs_of_silent_dispatcher_end_within_both_leases(self):
        self.start(make_order(1, run_ms=5_000))
        self.clock.advance(DISPATCHER_LEASE_MS + MINION_LEASE_MS)
        self.assertEqual(set(), self.minion.running)

    def test_runs_of_silent_dispatcher_end_even_if_stops_are_lost(self):
        # Stops are lost while polls are answered, so the minion's lease must end the runs.
        self.start(make_order(1, run_ms=5_000))
        self.minion.ignored_calls = {"stop"}
        self.clock.advance(RUNS_LOST_AFTER_MS)
        self.assertEqual(set(), self.minion.running)

    def test_lost_stop_ends_no_other_run(self):
        self.start(make_order(1, "j.0.0.0", run_ms=5_000))
        self.start(make_order(1, "k.0.0.0", run_ms=5_000), dispatcher=OTHER_DISPATCHER)
        self.minion.inject_fault(ScriptedFault("stop", CallFault.LOST_BEFORE))
        self.minion.inject_fault(ScriptedFault("stop", CallFault.LOST_BEFORE))
        self.advance_renewing(2_000, 1, dispatcher=OTHER_DISPATCHER)
        self.assertEqual({"k.0.0.0"}, self.minion.running)

    def test_runs_end_even_if_the_executor_dies_too(self):
        self.start(make_order(1, run_ms=5_000))
        self.clock.advance(DISPATCHER_LEASE_MS - 10)
        self.assertEqual({"j.0.0.0"}, self.minion.running)
        self.minion.is_silent = True
        self.clock.advance(MINION_LEASE_MS + 20)
        self.assertEqual(set(), self.minion.running)

    def test_delayed_renewal_does_not_extend_the_lease(self):
        self.start(make_order(1, run_ms=5_000))
        echo = self.clock.now()
        for _ in range(8):
            self.clock.advance(100)
            self.renew(1, echo_ms=echo)
        self.assertEqual(set(), self.minion.running)

    def test_delayed_order_is_refused(self):
        echo = self.clock.now()
        self.clock.advance(DISPATCHER_LEASE_MS + 1)
        self.executor.handle_start(DISPATCHER, StartRuns(echo, (make_order(1),)))
        self.clock.advance(50)
        self.assertEqual(RUN_REFUSED, self.outcome(1))
        self.assertEqual([], self.minion.started)

    def test_runs_of_live_dispatcher_continue_when_another_falls_silent(self):
        self.start(make_order(1, "j.0.0.0", run_ms=5_000))
        self.start(make_order(1, "k.0.0.0", run_ms=5_000), dispatcher=OTHER_DISPATCHER)
        self.advance_renewing(1_500, 1, dispatcher=OTHER_DISPATCHER)
        self.assertEqual({"k.0.0.0"}, self.minion.running)

    def test_order_with_stale_clock_is_answered_at_once(self):
        echo = self.clock.now()
        self.clock.advance(400)
        self.sent.clear()
        self.executor.handle_start(DISPATCHER, StartRuns(echo, (make_order(1),)))
        self.clock.run_ready_threads()
        self.assertEqual([DISPATCHER], [peer for peer, _ in self.sent])
        self.assertEqual(1, self.sent[0][1].upto)

    def test_runs_of_replaced_dispatcher_are_stopped_at_once(self):
        self.start(make_order(1, run_ms=5_000))
        self.executor.expire_dispatcher(DISPATCHER)
        self.clock.advance(100)
        self.assertEqual(set(), self.minion.running)


class ReconcileTest(ExecutorCase):
    """Reconciliation of the runs that a dispatcher lists with those of the executor."""

    def test_runs_missing_from_a_renewal_are_stopped(self):
        self.start(make_order(1, run_ms=5_000), make_order(2, "k.0.0.0", run_ms=5_000))
        self.executor.handle_renewal(DISPATCHER, RenewRuns(self.clock.now(), (2,), 2))
        self.clock.advance(100)
        self.assertEqual({"k.0.0.0"}, self.minion.running)

    def test_run_newer_than_the_renewal_continues(self):
        self.start(make_order(1, run_ms=5_000), make_order(2, "k.0.0.0", run_ms=5_000))
        self.executor.handle_renewal(DISPATCHER, RenewRuns(self.clock.now(), (1,), 1))
        self.clock.advance(100)
        self.assertEqual({"j.0.0.0", "k.0.0.0"}, self.minion.running)

    def test_missed_end_is_reported_again(self):
        self.start(make_order(1))
        self.clock.advance(200)
        self.renew(1)
        self.assertEqual([RUN_DONE] * 2, [end.how for end in self.ends[DISPATCHER, 1]])

    def test_unknown_run_is_reported_as_lapsed_and_never_started(self):
        self.renew(5)
        self.assertEqual(RUN_LAPSED, self.outcome(5))
        self.start(make_order(5))
        self.clock.advance(100)
        self.assertEqual([], self.minion.started)


class IncarnationsTest(ExecutorCase):
    """Restarts of the minion and of the executor."""

    def test_new_incarnation_ends_the_runs_of_the_old_one(self):
        self.start(make_order(1, run_ms=5_000))
        self.minion.restart_renamed("i-2")
        self.executor.handle_minion_report(self.minion.incarnation)
        self.clock.advance(50)
        self.assertEqual(RUN_LAPSED, self.outcome(1))
        self.assertEqual("i-2", self.executor.state().instance)

    def test_restart_is_detected_without_a_report(self):
        self.start(make_order(1, run_ms=5_000))
        self.minion.restart_renamed("i-2")
        self.advance_renewing(300, 1)
        self.assertEqual(RUN_LAPSED, self.outcome(1))

    def test_delayed_report_of_old_incarnation_is_ignored(self):
        old = self.minion.incarnation
        self.minion.restart_renamed("i-2")
        self.executor.handle_minion_report(self.minion.incarnation)
        self.clock.advance(50)
        self.start(make_order(1, run_ms=300))
        self.executor.handle_minion_report(old)

        self.advance_renewing(500, 1)
        self.assertEqual("i-2", self.executor.state().instance)
        self.assertEqual(RUN_DONE, self.outcome(1))

    def test_draining_minion_finishes_its_runs_and_gets_no_new_ones(self):
        self.start(make_order(1, run_ms=300))
        self.executor.handle_minion_report(
            self.minion.incarnation._replace(draining=True, sequence=2)
        )
        self.start(make_order(2, "k.0.0.0"))
        self.advance_renewing(500, 1, 2)
        self.assertEqual((RUN_DONE, RUN_REFUSED), (self.outcome(1), self.outcome(2)))

    def test_new_executor_stops_orphaned_runs_before_it_starts_runs(self):
        self.minion.start(self.minion.incarnation, RunKey("old.0.0.0", 1), "8000:900", 1e9, 5)
        self.executor = self.make_executor(fence=9)
        self.clock.advance(100)
        self.assertEqual(set(), self.minion.running)
        self.start(make_order(1, cpu=10_000))
        self.clock.advance(200)
        self.assertEqual(RUN_DONE, self.outcome(1))
        self.assertLessEqual(self.minion.peak_used.cpu, 10_000)

    def test_new_executor_accepts_nothing_while_orphaned_runs_continue(self):
        self.minion.start(self.minion.incarnation, RunKey("old.0.0.0", 1), "8000:900", 1e9, 5)
        for _ in range(3):
            self.minion.inject_fault(ScriptedFault("stop", CallFault.LOST_BEFORE))
        self.executor = self.make_executor(fence=9)
        for _ in range(20):
            self.assertFalse(self.minion.running and self.executor.state().accepts)
            self.clock.advance(20)
        self.assertEqual(set(), self.minion.running)
        self.assertTrue(self.executor.state().accepts)

    def test_unknown_run_is_reported_as_lapsed_only_once_it_must_have_ended(self):
        self.minion.is_silent = True
        self.executor = Executor(
            self.clock,
            self.minion,
            self.take_report,
            self.counters,
            "north",
            9,
            make_guard(self.clock, self.counters),
        )
        self.renew(3)
        self.assertIsNone(self.outcome(3))
        self.clock.advance(LONGEST_LEASE_MS)
        self.renew(3)
        self.assertIsNone(self.outcome(3))
        self.clock.advance(LONGEST_LEASE_MS * 0.2)
        self.renew(3)
        self.assertEqual(RUN_LAPSED, self.outcome(3))

    def test_fencing_token_is_raised_after_clock_stepped_back(self):
        self.minion.stop(self.minion.incarnation, RunKey("x", 1), 100_000)
        self.executor = self.make_executor(fence=50_000)
        self.start(make_order(1))
        self.clock.advance(200)
        self.assertEqual(RUN_DONE, self.outcome(1))

    def test_leaving_executor_refuses_new_runs_and_finishes_others(self):
        self.start(make_order(1, run_ms=300))
        self.executor.leave()
        self.start(make_order(2, "k.0.0.0"))
        self.advance_renewing(500, 1, 2)
        self.assertEqual((RUN_DONE, RUN_REFUSED), (self.outcome(1), self.outcome(2)))


class CapacityTest(ExecutorCase):
    """A minion whose capacity changes while runs are active."""

    def resize(self, cpu):
        incarnation = self.minion.incarnation
        self.minion.incarnation = incarnation._replace(
            resources=Resources(cpu, 10_000), sequence=incarnation.sequence + 1
        )
        self.executor.handle_minion_report(self.minion.incarnation)
        self.clock.run_ready_threads()

    def test_run_exceeding_the_reduced_capacity_is_not_started(self):
        self.start(make_order(1, cpu=6_000, run_ms=400))
        self.resize(7_000)
        self.start(make_order(2, "k.0.0.0", cpu=4_000, patience_ms=0.0))
        self.clock.advance(20)
        self.assertEqual(RUN_REFUSED, self.outcome(2))
        self.start(make_order(3, "l.0.0.0", cpu=1_000))
        self.assertEqual({"j.0.0.0", "l.0.0.0"}, self.minion.running)

    def test_active_runs_continue_when_capacity_falls_below_their_need(self):
        self.start(make_order(1, cpu=6_000, run_ms=400), make_order(2, "k.0.0.0", run_ms=900))
        self.resize(5_000)
        self.assertEqual(-5_000, self.executor.state().free.cpu)
        self.start(make_order(3, "l.0.0.0", cpu=1_000, patience_ms=0.0))
        self.advance_renewing(500, 1, 2, 3)
        self.assertEqual((RUN_DONE, RUN_REFUSED), (self.outcome(1), self.outcome(3)))
        self.start(make_order(4, "m.0.0.0", cpu=1_000))
        self.advance_renewing(600, 2, 4)
        self.assertEqual((RUN_DONE, RUN_DONE), (self.outcome(2), self.outcome(4)))

    def test_queued_run_that_can_no_longer_fit_is_refused_at_once(self):
        self.start(make_order(1, cpu=8_000, run_ms=900))
        self.start(make_order(2, "k.0.0.0", cpu=8_000, patience_ms=2_000.0, slack_ms=2_000.0))
        self.resize(7_000)
        self.clock.advance(10)
        self.assertEqual(RUN_REFUSED, self.outcome(2))

    def test_added_capacity_is_used_when_it_is_reported(self):
        self.resize(5_000)
        self.start(make_order(1, cpu=4_000, run_ms=900))
        self.start(make_order(2, "k.0.0.0", cpu=4_000, patience_ms=900.0))
        self.assertEqual({"j.0.0.0"}, self.minion.running)
        self.resize(10_000)
        self.assertEqual({"j.0.0.0", "k.0.0.0"}, self.minion.running)

    def test_start_in_progress_counts_against_reduced_capacity(self):
        self.minion.ignored_calls.add("start")
        self.start(make_order(1, cpu=6_000, run_ms=900))
        self.minion.ignored_calls.clear()
        self.resize(7_000)
        self.start(make_order(2, "k.0.0.0", cpu=4_000, patience_ms=0.0))
        self.clock.advance(50)
        self.assertEqual(set(), self.minion.running)
        self.assertEqual(RUN_REFUSED, self.outcome(2))


class MinionDownTest(ExecutorCase):
    """A minion whose process has ended, so that connections are refused."""

    def test_runs_of_ended_minion_lapse_at_once(self):
        self.start(make_order(1, run_ms=900))
        self.advance_renewing(200, 1)
        self.minion.crash(2_000)
        self.clock.advance(150)
        self.assertEqual(RUN_LAPSED, self.outcome(1))
        self.assertFalse(self.executor.state().accepts)

    def test_restarted_minion_is_adopted_once_it_reports(self):
        self.minion.crash(300)
        self.clock.advance(400)
        self.executor.handle_minion_report(self.minion.incarnation)
        self.start(make_order(1, run_ms=100))
        self.clock.advance(200)
        self.assertEqual(RUN_DONE, self.outcome(1))

    def test_runs_of_leaving_minion_with_closed_listener_lapse_only_after_they_end(self):
        self.start(make_order(1, run_ms=900))
        incarnation = self.minion.incarnation = self.minion.incarnation._replace(
            draining=True, sequence=2
        )
        self.executor.handle_minion_report(incarnation)
        self.minion.refuses_connections = True
        while self.outcome(1) is None:
            self.renew(1)
            self.clock.advance(10)
        self.assertEqual(set(), self.minion.running)

    def test_start_with_refused_connection_is_reported_as_refused(self):
        self.minion.refuses_connections = True
        self.start(make_order(1))
        self.clock.advance(5)
        self.assertEqual(RUN_REFUSED, self.outcome(1))
        self.assertEqual([], self.minion.started)

    def test_one_refused_connection_ends_no_run(self):
        self.start(make_order(1, run_ms=400))
        self.advance_renewing(100, 1)
        self.minion.inject_fault(ScriptedFault("look", CallFault.REFUSED))
        self.advance_renewing(400, 1)
        self.assertEqual(RUN_DONE, self.outcome(1))
