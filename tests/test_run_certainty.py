"""Tests that no run is reported as over while it is active on the minion or may still start there.

A dispatcher starts a task elsewhere as soon as the executor reports the run as over. If the report
came too early, the task would run twice at the same time.
"""

import eventlet

from geraniumspool.contracts import RunKey
from geraniumspool.executor import Executor
from geraniumspool.fleet import RUNS_LOST_AFTER_MS
from geraniumspool.memory_minion import MAX_LISTED_ENDS, CallFault, MemoryMinion, ScriptedFault
from geraniumspool.minion_life import LEASE_EXPIRY_MARGIN_MS
from geraniumspool.minion_watch import IDLE_POLL_WAIT_MS
from geraniumspool.run_leases import MINION_LEASE_MS
from geraniumspool.run_messages import RUN_DONE, RUN_LAPSED, RUN_REFUSED, StopRuns
from tests.dispatch_world import make_guard
from tests.test_executor import DISPATCHER, ExecutorCase, make_order

STEP_MS = 5
FAR_MS = 1e9


class CertaintyCase(ExecutorCase):
    """Base class that compares what the executor reports with what the minion runs."""

    def advance_checking(self, total_ms, *numbers):
        """Advance the clock, and check that no run reported as over is active."""
        for _ in range(int(total_ms // STEP_MS)):
            self.renew(*numbers)
            self.clock.advance(STEP_MS)
            for number in numbers:
                if self.outcome(number) is not None:
                    self.assertNotIn(f"j.0.0.{number}", self.minion.running, self.outcome(number))

    def start_directly(self, key, payload):
        """Start a run on the minion as an earlier executor would, unknown to this one."""
        fence = self.executor._session.fencing_token
        self.minion.start(self.minion.incarnation, key, payload, FAR_MS, fence)

    def start_runs(self, *numbers, run_ms=900, **changes):
        """Start one run per number, and advance the clock until they are active."""
        self.start(*(make_order(n, f"j.0.0.{n}", run_ms=run_ms, **changes) for n in numbers))
        self.advance_checking(100, *numbers)

    def replace_process(self):
        """Replace the executor by a new process that has not heard of the minion."""
        for task in self.tasks:
            task.kill()
        self.executor = Executor(
            self.clock,
            self.minion,
            self.take_report,
            self.counters,
            "north",
            9,
            make_guard(self.clock, self.counters),
        )


class LeavingTest(CertaintyCase):
    """A minion that announces its departure and exits later."""

    def leave(self, run_on_ms):
        """Let the minion drain and announce its departure at once."""
        self.minion.leave(run_on_ms)
        incarnation = self.minion.incarnation
        self.executor.handle_minion_report(incarnation)
        self.executor.handle_minion_departure(incarnation.instance, incarnation.started_unix_ms)
        self.clock.run_ready_threads()

    def test_active_runs_of_departed_minion_are_not_reported_as_over(self):
        self.start_runs(1)
        self.leave(300.0)
        self.assertEqual({"j.0.0.1"}, self.minion.running)
        self.advance_checking(1_200, 1)
        self.assertEqual(RUN_LAPSED, self.outcome(1))
        self.assertEqual("", self.executor.state().instance)

    def test_active_runs_of_departed_minion_with_closed_listener_are_not_reported_as_over(self):
        self.start_runs(1)
        self.minion.refuses_connections = True
        self.leave(300.0)
        self.advance_checking(1_200, 1)
        self.assertEqual(RUN_LAPSED, self.outcome(1))

    def test_runs_of_departed_minion_that_never_exits_lapse_with_its_lease(self):
        self.start_runs(1, run_ms=9_000)
        self.leave(9_000.0)
        self.advance_checking(700, 1)
        self.assertEqual(RUN_LAPSED, self.outcome(1))
        self.assertEqual("", self.executor.state().instance)

    def test_run_that_succeeds_on_departed_minion_is_reported_as_done(self):
        self.start_runs(1, run_ms=300)
        self.leave(900.0)
        self.advance_checking(400, 1)
        self.assertEqual(RUN_DONE, self.outcome(1))

    def test_departed_minion_gets_no_new_runs(self):
        self.start_runs(1)
        self.leave(300.0)
        self.assertFalse(self.executor.state().accepts)
        self.start(make_order(2, "j.0.0.2"))
        self.clock.advance(10)
        self.assertEqual(RUN_REFUSED, self.outcome(2))

    def test_departed_minion_without_runs_is_given_up_at_once(self):
        self.leave(300.0)
        self.assertEqual("", self.executor.state().instance)

    def test_late_report_of_departed_minion_is_ignored(self):
        self.start_runs(1)
        before = self.minion.incarnation
        self.leave(300.0)
        self.executor.handle_minion_report(before._replace(sequence=before.sequence + 9))
        self.clock.run_ready_threads()
        self.assertFalse(self.executor.state().accepts)

    def test_next_minion_is_adopted_once_the_departed_one_has_exited(self):
        self.start_runs(1)
        self.leave(200.0)
        self.advance_checking(250, 1)
        self.minion.restart_renamed("i-2")
        self.executor.handle_minion_report(self.minion.incarnation)
        self.advance_checking(50, 1)
        self.assertEqual(RUN_LAPSED, self.outcome(1))
        self.start(make_order(2, "j.0.0.2"))
        self.advance_checking(200, 2)
        self.assertEqual(RUN_DONE, self.outcome(2))


class PartialListTest(CertaintyCase):
    """A minion with more ended runs than one poll lists."""

    def end_more_runs_than_listed(self):
        """End more other runs than one poll lists, before the run of this executor ends."""
        self.minion.ignored_calls = {"look", "stop"}
        self.clock.advance(150)
        for number in range(MAX_LISTED_ENDS + 20):
            key = RunKey(f"other.0.0.{number}", 1)
            self.start_directly(key, "1:1")
        self.clock.advance(5)

    def test_run_whose_end_is_not_listed_yet_does_not_lapse(self):
        self.start_runs(1, run_ms=300)
        self.end_more_runs_than_listed()
        self.advance_checking(60, 1)
        self.assertEqual(set(), self.minion.running)
        self.minion.ignored_calls = set()
        self.advance_checking(300, 1)
        self.assertEqual(RUN_DONE, self.outcome(1))

    def test_stopped_run_whose_end_is_not_listed_yet_is_not_refused(self):
        self.minion.inject_fault(ScriptedFault("start", CallFault.LOST_AFTER))
        self.minion.ignored_calls = {"look"}
        self.start(make_order(1, "j.0.0.1", run_ms=200))
        self.end_more_runs_than_listed()
        self.advance_checking(100, 1)
        self.assertEqual(set(), self.minion.running)
        self.minion.ignored_calls = set()
        self.advance_checking(300, 1)
        self.assertEqual(RUN_DONE, self.outcome(1))


class SuspendedExecutorTest(CertaintyCase):
    """An executor process that was suspended, for example by SIGSTOP, in the middle of its work."""

    def suspend(self, total_ms):
        """Advance the clock for all but the executor.

        When it resumes, it handles received messages before its overdue timers.
        """
        for task in self.tasks:
            task.kill()
        self.clock.advance(total_ms)

    def test_queued_run_is_not_started_after_its_dispatcher_lease_expired(self):
        self.start(make_order(1, cpu=10_000, run_ms=300))
        self.start(make_order(2, "j.0.0.2", cpu=10_000, patience_ms=9_000.0))
        self.suspend(RUNS_LOST_AFTER_MS)
        # On resumption, the answer of the minion is handled before the timers that are due.
        self.tasks = [eventlet.spawn(self.executor.run_poll_loop)]
        self.clock.advance(STEP_MS)
        self.assertEqual(["j.0.0.0"], [key.task for key in self.minion.started])
        self.assertEqual(RUN_REFUSED, self.outcome(2))

    def test_queued_run_is_started_while_its_dispatcher_lease_is_valid(self):
        self.start(make_order(1, cpu=10_000, run_ms=300))
        self.start(make_order(2, "j.0.0.2", cpu=10_000, patience_ms=900.0))
        self.advance_renewing(500, 1, 2)
        self.assertEqual(RUN_DONE, self.outcome(2))


class IncarnationChangeTest(CertaintyCase):
    """A minion incarnation that replaces another one while runs are being started."""

    def test_run_started_while_new_incarnation_is_polled_is_not_reported_as_over(self):
        # The poll that invalidates earlier calls is in progress, and the previous incarnation still
        # counts as the one served.
        self.start_runs(1)
        self.minion.restart()
        views = []
        look = self.minion.poll

        def poll_slowly(*args):
            view = look(*args)
            views.append(view)
            if len(views) == 2:
                self.clock.sleep(20.0)
            return view

        self.minion.poll = poll_slowly
        eventlet.spawn(self.executor.handle_minion_report, self.minion.incarnation)
        self.clock.advance(10)
        self.start(make_order(2, "j.0.0.2", run_ms=300))
        self.assertEqual({"j.0.0.2"}, self.minion.running)
        self.minion.poll = look
        self.advance_checking(600, 1, 2)
        self.assertEqual((RUN_LAPSED, RUN_DONE), (self.outcome(1), self.outcome(2)))


class EarlierExecutorTest(CertaintyCase):
    """A run started by an earlier executor, on a minion that does not answer the new one."""

    def test_new_executor_waits_for_lease_set_by_clock_of_earlier_incarnation(self):
        # The clock of the previous incarnation is far ahead, so the minion grants the longest lease
        # there is.
        self.minion.restart()
        self.start(make_order(1, "j.0.0.1", run_ms=9_000))
        self.replace_process()
        self.advance_checking(1_300, 1)
        self.assertEqual(RUN_LAPSED, self.outcome(1))


class EarlierMinionTest(CertaintyCase):
    """Time until a new executor knows that all runs of the earlier one are over."""

    def is_reported_as_over_after(self, lease_ms):
        self.clock.advance(lease_ms + LEASE_EXPIRY_MARGIN_MS + 40)
        self.renew(1)
        return self.outcome(1) == RUN_LAPSED

    def test_runs_of_minion_with_another_name_now_are_over(self):
        kept = self.minion.incarnation
        self.replace_process()
        self.minion.restart_renamed("i-2")
        eventlet.spawn_n(self.executor.handle_minion_report, kept)
        self.assertTrue(self.is_reported_as_over_after(MINION_LEASE_MS))

    def test_runs_of_minion_refusing_connections_are_over(self):
        self.replace_process()
        self.minion.refuses_connections = True
        eventlet.spawn_n(self.executor.handle_minion_report, self.minion.incarnation)
        self.assertTrue(self.is_reported_as_over_after(MINION_LEASE_MS))

    def test_silent_minion_may_hold_its_runs_for_the_longest_lease(self):
        self.replace_process()
        self.minion.is_silent = True
        eventlet.spawn_n(self.executor.handle_minion_report, self.minion.incarnation)
        self.assertFalse(self.is_reported_as_over_after(MINION_LEASE_MS))


class SameAttemptTest(CertaintyCase):
    """A run whose attempt number an earlier run of its task has used and whose end is pending."""

    def start_during_end_of_earlier_run(self, answer_ms):
        """Order a run whose start is answered late while an earlier run of its task ends.

        :param answer_ms: delay of the answer
        """
        key = RunKey("j.0.0.1", 1)
        self.minion.ignored_calls = {"look"}
        self.clock.advance(IDLE_POLL_WAIT_MS)
        self.start_directly(key, "1:10:fail")
        self.clock.advance(20)
        start = self.minion.start

        def start_slowly(*args):
            answer = start(*args)
            self.minion.start = start
            self.clock.sleep(answer_ms)
            return answer

        self.minion.start = start_slowly
        self.start(make_order(1, "j.0.0.1", run_ms=300))
        self.minion.ignored_calls = set()

    def test_end_of_earlier_run_does_not_end_the_next_one(self):
        self.start_during_end_of_earlier_run(150.0)
        self.advance_checking(700, 1)
        self.assertEqual(RUN_DONE, self.outcome(1))
        self.assertEqual(2, len(self.minion.started))

    def test_end_listed_before_the_answer_to_the_start_is_reported(self):
        start = self.minion.start

        def start_slowly(*args):
            answer = start(*args)
            self.clock.sleep(60.0)
            return answer

        self.minion.start = start_slowly
        self.start(make_order(1, "j.0.0.1", run_ms=10))
        self.advance_checking(150, 1)
        self.assertEqual(RUN_DONE, self.outcome(1))
        self.assertEqual(1, len(self.minion.started))
        self.assertTrue(self.executor.is_idle)

    def test_end_listed_before_the_answers_to_start_and_stop_is_reported(self):
        start = self.minion.start

        def start_slowly(*args):
            answer = start(*args)
            self.clock.sleep(400.0)
            return answer

        self.minion.start = start_slowly
        self.start(make_order(1, "j.0.0.1", run_ms=10))
        self.advance_checking(250, 1)
        self.executor.handle_stop(DISPATCHER, StopRuns((1,)))
        self.advance_checking(400, 1)
        self.assertEqual(RUN_DONE, self.outcome(1))
        self.assertTrue(self.executor.is_idle)

    def test_run_that_ended_during_its_start_call_is_not_started_again(self):
        # The incarnation of the minion ends, and the delayed answer then says that the attempt
        # number is used.
        self.start_during_end_of_earlier_run(150.0)
        self.clock.advance(5)
        self.executor.incarnations.end_incarnation(
            self.executor._session.incarnation, "minion_down"
        )
        self.clock.advance(150)
        self.assertTrue(self.executor.is_idle)
        self.assertEqual(0, self.executor._table.used_capacity.cpu)
        self.assertEqual(1, len(self.minion.started))


class MinionRouter:
    """Minion control that routes calls to one of several minions by address."""

    def __init__(self, *minions):
        self.minions = {minion.incarnation.address: minion for minion in minions}

    def __getattr__(self, name):
        def call(incarnation, *args):
            return getattr(self.minions[incarnation.address], name)(incarnation, *args)

        return call


class OtherAddressTest(CertaintyCase):
    """A successor at another address: its answers do not prove that its predecessor has ended."""

    def setUp(self):
        super().setUp()
        self.next = MemoryMinion(self.clock, "i-2")
        self.next.incarnation = self.next.incarnation._replace(address="127.0.0.1:2")
        self.executor._session.control = MinionRouter(self.minion, self.next)

    def test_active_runs_of_previous_minion_are_not_reported_as_over(self):
        self.start_runs(1, run_ms=9_000)
        eventlet.spawn(self.executor.handle_minion_report, self.next.incarnation)
        self.advance_checking(800, 1)
        self.assertEqual((RUN_LAPSED, "i-2"), (self.outcome(1), self.executor.state().instance))

    def test_previous_minion_without_runs_is_replaced_at_once(self):
        eventlet.spawn(self.executor.handle_minion_report, self.next.incarnation)
        self.clock.advance(STEP_MS)
        self.assertEqual("i-2", self.executor.state().instance)
