"""Tests of orders that newer messages have overtaken, and of runs unknown to their dispatcher."""

import unittest

from geraniumspool.run_leases import DISPATCHER_LEASE_MS
from geraniumspool.run_messages import (
    RUN_REFUSED,
    RenewRuns,
    StartRuns,
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

    def test_an_order_that_arrives_after_renewals_is_not_started(self):
        """The path to one worker comes back; that to the other one is reopened again and again."""
        for late_ms in self.LATE_MS:
            with self.subTest(late_ms=late_ms):
                sender, receiver, message = self.order_into_cut()
                worker = next(w for w in self.world.workers if w.address == receiver.address)
                self.advance(300)
                self.dispatcher.router.remove_waiter(self.job)
                self.advance(self.CUT_MS - 400)
                self.send_again()
                self.reconnect(receiver.address)
                self.advance(late_ms)
                worker.executor.handle_start(sender, message)
                self.advance(300)
                self.assertEqual(set(), self.twice)
                self.assertEqual(1, self.world.start_count("j.0.0.0"))


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
