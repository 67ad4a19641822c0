"""Tests of orders that newer messages have overtaken, and of runs unknown to their dispatcher."""

import random
import unittest

from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.messages import Peer
from geraniumspool.minion_life import LEASE_EXPIRY_MARGIN_MS
from geraniumspool.run_leases import CLOCK_DRIFT, DISPATCHER_LEASE_MS, RUNS_OVER_MS
from geraniumspool.run_messages import (
    RUN_DONE,
    RUN_REFUSED,
    RenewRuns,
    StartRuns,
    StopRuns,
)
from tests.dispatch_world import DispatchWorld, make_spec
from tests.test_executor import DISPATCHER, OTHER_DISPATCHER, ExecutorCase, make_order

STEP_MS = 5
# Run time of a task that runs on unless somebody stops it.
LONG_MS = 6_000


class OvertakenOrderTest(ExecutorCase):
    """An order that arrives after newer messages is started, though given up by its dispatcher."""

    def setUp(self):
        super().setUp()
        self.echo_ms = self.clock.now()
        self.clock.advance(DISPATCHER_LEASE_MS + 10)

    def order(self, echo_ms, *orders):
        self.executor.handle_start(DISPATCHER, StartRuns(echo_ms, orders))
        self.clock.advance(20)

    def test_a_renewed_lease_does_not_make_an_old_order_valid(self):
        self.renew()
        self.order(self.echo_ms, make_order(1, run_ms=LONG_MS))
        self.assertEqual([], self.minion.started)
        self.assertEqual((RUN_REFUSED, "lease_over"), self.ends[DISPATCHER, 1][0][1::2])

    def test_an_old_order_is_refused_while_newer_runs_continue(self):
        self.start(make_order(1, "k.0.0.0", run_ms=LONG_MS))
        self.order(self.echo_ms, make_order(2, run_ms=LONG_MS))
        self.assertEqual({"k.0.0.0"}, self.minion.running)

    def test_an_old_order_does_not_stop_the_run_that_has_replaced_it(self):
        self.start(make_order(1, run_ms=LONG_MS), dispatcher=OTHER_DISPATCHER)
        self.renew()
        self.order(self.echo_ms, make_order(2, run_ms=LONG_MS))
        self.clock.advance(50)
        self.assertEqual({"j.0.0.0"}, self.minion.running)

    def test_an_order_within_its_own_lease_is_accepted(self):
        echo_ms = self.clock.now()
        self.renew()
        self.clock.advance(DISPATCHER_LEASE_MS - 20)
        self.order(echo_ms, make_order(1))
        self.assertEqual(["j.0.0.0"], [key.task for key in self.minion.started])


class WorldCase(unittest.TestCase):
    """Base class: watches a simulated deployment for tasks with two runs at a time."""

    def make_world(self, *args, **fields):
        self.world = DispatchWorld(*args, **fields)
        self.addCleanup(self.world.close)
        self.twice = set()

    def advance(self, total_ms):
        for _ in range(int(total_ms // STEP_MS)):
            self.world.clock.advance(STEP_MS)
            self.twice |= self.world.find_duplicate_runs()


class OrderAfterCutTest(WorldCase):
    """A run that was given up during a cut starts from the order that arrives after the cut."""

    CUT_MS = 1_700
    # How long after the cut the order arrives.
    LATE_MS = (100, 300, 500, 700, 900, 1_100, 1_300, 1_500)

    def order_into_cut(self):
        """Cut a dispatcher off its workers, and have it order a run; return what was sent."""
        random.seed(1)
        self.make_world(4, 2, group_workers=2)
        self.dispatcher, self.other = self.world.dispatchers
        views = self.dispatcher.dispatcher.fleet.views
        self.advance(300)
        sent = len(self.world.network.sent)
        for address in [view.peer.address for view in views if view.is_owned]:
            self.world.network.partition(self.dispatcher.address, address)
        self.job = self.dispatcher.submit_locally(
            make_spec("j", run_ms=LONG_MS, declared_ms=300), timeout_ms=9_000
        ).job
        self.advance(40)
        orders = [item for item in self.world.network.sent[sent:] if type(item[2]) is StartRuns]
        self.assertEqual(1, len(orders))
        return orders[0]

    def reconnect(self, address):
        ends = (self.dispatcher.address, address)
        self.world.network.partitioned -= {ends, ends[::-1]}

    def send_again(self):
        """Have the caller, who has hung up, send the job to the other dispatcher until it runs."""
        for _ in range(20):
            self.other.submit(self.job.spec, timeout_ms=9_000)
            self.advance(50)
            if self.world.start_count("j.0.0.0"):
                return
        self.fail("the job is not started again")

    def give_up(self):
        """Order a run into a cut, and wait until it is given up; its caller hangs up meanwhile.

        The path to its worker comes back then; that to another one is reopened again and again, so
        that the dispatcher renews its lease at all workers.

        :return: sender, worker and message of the order
        """
        sender, receiver, message = self.order_into_cut()
        worker = next(w for w in self.world.workers if w.address == receiver.address)
        self.advance(300)
        self.dispatcher.router.remove_waiter(self.job)
        self.advance(self.CUT_MS - 400)
        return sender, worker, message

    def check_single_run(self):
        self.advance(300)
        self.assertEqual(set(), self.twice)
        self.assertEqual(1, self.world.start_count("j.0.0.0"))

    def test_an_order_that_arrives_after_the_next_run_has_started(self):
        for late_ms in self.LATE_MS:
            with self.subTest(late_ms=late_ms):
                sender, worker, message = self.give_up()
                self.send_again()
                self.reconnect(worker.address)
                self.advance(late_ms)
                worker.executor.handle_start(sender, message)
                self.check_single_run()

    def test_an_order_that_arrives_before_the_next_run_starts(self):
        for late_ms in self.LATE_MS:
            with self.subTest(late_ms=late_ms):
                sender, worker, message = self.give_up()
                self.reconnect(worker.address)
                self.advance(late_ms)
                worker.executor.handle_start(sender, message)
                self.advance(20)
                self.assertEqual(set(), worker.minion.running)
                self.send_again()
                self.check_single_run()


class UnknownRunTest(ExecutorCase):
    """A run that its dispatcher has given up goes on, as no list of its runs covers it."""

    def test_a_run_is_stopped_by_a_list_that_is_empty(self):
        self.start(make_order(1, run_ms=LONG_MS))
        self.executor.handle_renewal(DISPATCHER, RenewRuns(self.clock.now(), (), 1))
        self.clock.advance(50)
        self.assertEqual(set(), self.minion.running)

    def test_an_order_that_a_list_has_left_out_is_not_started_later(self):
        self.executor.handle_renewal(DISPATCHER, RenewRuns(self.clock.now(), (), 1))
        self.start(make_order(1, run_ms=LONG_MS))
        self.assertEqual([], self.minion.started)
        self.start(make_order(2))
        self.assertEqual(["j.0.0.0"], [key.task for key in self.minion.started])


class UnknownRunInWorldTest(WorldCase):
    """A dispatcher's renewals leave a run alone that it has given up."""

    def test_a_run_that_was_given_up_is_stopped_once_its_worker_is_heard(self):
        self.make_world(1, 1)
        dispatcher, worker = self.world.dispatcher, self.world.workers[0]
        dispatcher.submit(make_spec("j", run_ms=LONG_MS), timeout_ms=9_000)
        self.advance(200)
        view = next(iter(dispatcher.dispatcher.fleet.views))
        self.assertEqual({"j.0.0.0"}, worker.minion.running)
        view.runs.clear()
        self.advance(700)
        self.assertEqual(set(), worker.minion.running)

    def test_runs_sent_a_moment_ago_are_left_alone(self):
        self.make_world(1, 1)
        worker = self.world.workers[0]
        for number in range(20):
            self.world.dispatcher.submit(
                make_spec(f"j{number}", cpu=400, run_ms=LONG_MS), timeout_ms=20_000
            )
            self.advance(35)
        self.assertEqual(20, len(worker.minion.running))
        self.assertEqual(20, len(worker.minion.started))


class SupersededRunTest(WorldCase):
    """An order for a task that still runs here is refused before that run has ended.

    Its dispatcher then starts the task on another worker.
    """

    UNKNOWN = Peer("tcp://unknown:1", 99)

    def setUp(self):
        """Have the only worker with free capacity run the task for an unknown dispatcher."""
        self.make_world(2, 1)
        self.busy, self.first = self.world.workers
        now = self.world.clock.now()
        order = make_order(1, run_ms=LONG_MS)
        self.first.executor.handle_start(self.UNKNOWN, StartRuns(now, (order,)))
        self.advance(20)
        self.assertEqual({"j.0.0.0"}, self.first.minion.running)

    def submit(self, fill_ms, ahead_ms):
        self.world.dispatcher.submit(make_spec("fill", cpu=10_000, run_ms=fill_ms))
        self.advance(fill_ms - ahead_ms)
        self.assertEqual({"fill.0.0.0"}, self.busy.minion.running)
        self.caller = self.world.dispatcher.submit(make_spec("j", run_ms=100))
        self.advance(ahead_ms)

    def check_served_once_at_a_time(self):
        self.advance(1_500)
        self.assertEqual(set(), self.twice)
        self.assertEqual("succeeded", self.caller.outcome.value)

    def test_a_run_that_takes_long_to_stop(self):
        self.first.minion.stop_ms = 50.0
        self.submit(fill_ms=100, ahead_ms=20)
        self.check_served_once_at_a_time()

    def test_a_run_whose_stops_are_lost_for_a_while(self):
        self.first.minion.ignored_calls.add("stop")
        self.submit(fill_ms=100, ahead_ms=20)
        self.advance(300)
        self.first.minion.ignored_calls.clear()
        self.check_served_once_at_a_time()

    def test_a_run_whose_stops_are_all_lost(self):
        self.first.minion.ignored_calls.add("stop")
        self.submit(fill_ms=100, ahead_ms=20)
        self.check_served_once_at_a_time()


class SupersededOrderTest(ExecutorCase):
    """The answer to an order for a task that still runs is complete, and not given too early."""

    def setUp(self):
        super().setUp()
        self.start(make_order(1, run_ms=LONG_MS), dispatcher=OTHER_DISPATCHER)
        self.minion.ignored_calls.add("stop")
        self.start(make_order(5))

    def test_it_is_refused_once_the_other_run_has_ended(self):
        self.clock.advance(60)
        self.assertIsNone(self.outcome(5))
        self.minion.ignored_calls.clear()
        self.advance_renewing(300, 5)
        self.assertEqual((RUN_REFUSED, "task_active"), self.ends[DISPATCHER, 5][0][1::2])
        self.assertEqual(set(), self.minion.running)

    def test_it_counts_as_open_while_it_is_listed(self):
        self.renew(5)
        self.clock.advance(60)
        self.assertIsNone(self.outcome(5))
        self.assertEqual({"j.0.0.0"}, self.minion.running)

    def test_its_dispatchers_stop_does_not_end_it_earlier(self):
        self.stop(5)
        self.clock.advance(60)
        self.assertIsNone(self.outcome(5))
        self.minion.ignored_calls.clear()
        self.advance_renewing(300)
        self.assertEqual(RUN_REFUSED, self.outcome(5))

    def test_it_is_refused_once_the_lease_of_the_minion_is_over(self):
        self.advance_renewing(900, 5)
        self.assertEqual(set(), self.minion.running)
        self.assertEqual(RUN_REFUSED, self.outcome(5))

    def test_further_orders_for_the_task_are_refused_with_it(self):
        self.start(make_order(6))
        self.clock.advance(60)
        self.assertIsNone(self.outcome(6))
        self.minion.ignored_calls.clear()
        self.advance_renewing(300, 5, 6)
        self.assertEqual([RUN_REFUSED] * 2, [self.outcome(5), self.outcome(6)])
        self.start(make_order(7))
        self.advance_renewing(200, 7)
        self.assertEqual(RUN_DONE, self.outcome(7))

    def test_a_leaving_executor_refuses_it_no_earlier(self):
        self.executor.leave()
        self.start(make_order(6))
        self.clock.advance(60)
        self.assertIsNone(self.outcome(6))

    def stop(self, *numbers):
        self.executor.handle_stop(DISPATCHER, StopRuns(numbers))


class SlowClock:
    """Clock that runs slower than another one, by the difference that leases allow for."""

    RATE = 1 - CLOCK_DRIFT

    def __init__(self, clock):
        self._clock = clock
        self._started_ms = clock.now()

    def now(self):
        return self._started_ms + (self._clock.now() - self._started_ms) * self.RATE

    def sleep(self, delay_ms):
        self._clock.sleep(delay_ms / self.RATE)

    def after(self, delay_ms, callback):
        return self._clock.after(delay_ms / self.RATE, callback)


class OutlivingRunTest(ExecutorCase):
    """A run outlives the time after which its silent dispatcher presumes it over.

    The minion hears no stop, and its clock is slow; the dispatcher's is fast.
    """

    PRESUMED_OVER_MS = RUNS_OVER_MS / (1 + CLOCK_DRIFT)
    # Times between the last message and the next check of limits, or the next poll.
    PHASES_MS = range(0, 130, 10)

    def check(self, wait, ahead=lambda: None):
        """Check when the run of a dispatcher ends that is silent.

        :param wait: called for each millisecond without the dispatcher, with the time since then
        :param ahead: called after the dispatcher's last message
        """
        for phase_ms in self.PHASES_MS:
            with self.subTest(phase_ms=phase_ms):
                self.minion = MemoryMinion(SlowClock(self.clock))
                self.executor = self.make_executor()
                self.start(make_order(1, run_ms=LONG_MS, limit_ms=LONG_MS))
                self.advance_renewing(300, 1)
                self.clock.advance(phase_ms)
                self.renew(1)
                reported_ms = self.clock.now()
                self.minion.ignored_calls.add("stop")
                ahead()
                while "j.0.0.0" in self.minion.running and self.clock.now() < reported_ms + 3_000:
                    self.clock.advance(1)
                    wait(round(self.clock.now() - reported_ms))
                ran_ms = self.clock.now() - reported_ms + LEASE_EXPIRY_MARGIN_MS
                self.assertLessEqual(ran_ms, self.PRESUMED_OVER_MS)

    def test_a_run_that_is_stopped_as_its_dispatcher_is_silent(self):
        self.check(lambda _silent_ms: None)

    def test_starts_for_another_dispatcher_do_not_keep_it_alive(self):
        def start_other(silent_ms):
            if silent_ms % 50 == 0:
                order = make_order(silent_ms, f"k{silent_ms}.0.0.0", cpu=100, run_ms=20)
                self.start(order, dispatcher=OTHER_DISPATCHER)

        self.check(start_other)

    def test_a_run_that_is_being_stopped_for_another_reason(self):
        def pass_limit():
            run = next(iter(self.executor._table))
            self.executor._stops.stop(run, "stalled")

        self.check(lambda _silent_ms: None, pass_limit)

    def test_stops_that_take_as_long_as_they_may_end_no_other_run(self):
        """Each of them counts on the lease of the minion, which other runs need."""
        self.minion.stop_ms = 50.0
        self.start(make_order(1, run_ms=LONG_MS))
        for number in range(2, 60):
            self.start(make_order(number, f"k{number}.0.0.0", cpu=400, run_ms=LONG_MS))
            self.clock.advance(25)
            self.executor.handle_stop(DISPATCHER, StopRuns((number,)))
            self.clock.advance(15)
            self.renew(1)
        self.assertIn("j.0.0.0", self.minion.running)
