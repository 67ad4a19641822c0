"""A minion that starts again under the name that it had.

A minion said that it was leaving, its executor answered with success, and runs were still
started there up to 3.5 s later. The minion had crashed and come back under its name three
seconds before. Its reports, its ends and its clock began anew; the executor compared them
with those of the life before, and took the report for one that a later one had overtaken:

    minion report passed over: draining true, sequence 3, known_sequence 15
    minion list is behind: clock_ms 25, known_clock_ms 1002750, last_end 2, acknowledged 2

For the same reason all ends of the new life were acknowledged unseen. Of 168 runs ended
there none was told as done: 158 were told as vanished, and their tasks ran again elsewhere.
"""

from geraniumspool.memory_minion import CallFault, Scripted
from geraniumspool.run_messages import RUN_DONE, RUN_LAPSED, RUN_REFUSED
from tests.test_executor import ExecutorCase, make_order

REPORTS_BEFORE = 14


class RestartedMinionTest(ExecutorCase):
    """The executor beside a minion that has crashed and come back."""

    def report(self, **changes):
        """Have the minion tell of itself once more."""
        life = self.minion.life
        self.minion.life = life._replace(sequence=life.sequence + 1, **changes)
        self.executor.take_life(self.minion.life)
        self.clock.advance(50)

    def live_and_restart(self):
        """Have the minion run something, report for a while, and come back after a crash."""
        self.start(make_order(1), make_order(2, "k.0.0.0"))
        self.keep(2_000, 1, 2)
        for _ in range(REPORTS_BEFORE):
            self.report()
        self.minion.silent = True
        self.keep(1_500)
        self.minion.silent = False
        self.minion.restart()
        self.report()

    def test_one_that_leaves_gets_nothing_new(self):
        self.live_and_restart()
        self.report(draining=True)
        self.assertFalse(self.executor.state().accepts)
        self.start(make_order(3, "l.0.0.0"))
        self.keep(500, 3)
        self.assertEqual(RUN_REFUSED, self.how(3))
        self.assertEqual({"j.0.0.0", "k.0.0.0"}, {key.task for key in self.minion.started})

    def test_ends_of_the_new_life_are_told(self):
        self.live_and_restart()
        self.start(make_order(3, "l.0.0.0", run_ms=300))
        self.keep(500, 3)
        self.assertEqual(RUN_DONE, self.how(3))

    def test_runs_given_to_a_life_that_nobody_knew_of_are_over_before_they_are_told(self):
        # The minion is back at once: until a look is answered, runs are started at what is
        # taken for the life before. Told as lost while at work, they would run twice.
        self.start(make_order(1, run_ms=900))
        self.keep(300, 1)
        self.minion.restart()
        self.start(make_order(2, "k.0.0.0", run_ms=900))
        self.assertEqual({"k.0.0.0"}, self.minion.running)
        for _ in range(120):
            self.renew(1, 2)
            self.clock.advance(10)
            if self.how(2) is not None:
                self.assertEqual(set(), self.minion.running)
        self.assertEqual((RUN_LAPSED, RUN_DONE), (self.how(1), self.how(2)))

    def test_orders_for_the_life_before_are_not_carried_out_later(self):
        self.minion.script(Scripted("start", CallFault.LATE, late_ms=1_000.0))
        self.start(make_order(1, run_ms=900))
        self.minion.restart()
        self.keep(700, 1)
        self.assertIsNotNone(self.how(1))
        self.keep(1_000)
        self.assertEqual([], self.minion.started)

    def test_that_the_life_before_has_left_does_not_end_the_new_one(self):
        # What a minion says at its end may arrive late, as its reports may.
        self.live_and_restart()
        self.start(make_order(3, "l.0.0.0", run_ms=300))
        self.executor.lose_life(self.minion.life.instance)
        self.keep(500, 3)
        self.assertEqual(RUN_DONE, self.how(3))
        self.report(draining=True)
        self.executor.lose_life(self.minion.life.instance)
        self.assertEqual("", self.executor.state().instance)

    def test_a_lease_asked_for_by_the_clock_of_before_is_outlasted(self):
        # It lies far ahead by the new clock: the minion cuts it to the longest that it
        # grants, twice as long as the executor asks for. Here the first look renews it.
        self.keep(300)
        self.minion.silent = True
        self.clock.advance(65)
        self.minion.restart()
        self.minion.silent = False
        self.clock.advance(30)
        self.report()
        self.start(make_order(1, run_ms=9_000))
        self.check_given_up_when_over(1)

    def test_a_lease_given_by_a_start_before_the_restart_is_known_is_outlasted(self):
        self.keep(300)
        self.minion.restart()
        self.start(make_order(1, run_ms=9_000))
        self.check_given_up_when_over(1)

    def check_given_up_when_over(self, number):
        """Silence the minion; its run must be over once it is told."""
        self.assertTrue(self.minion.running)
        self.minion.silent = True
        while self.how(number) is None:
            self.renew(number)
            self.clock.advance(10)
        self.assertEqual(RUN_LAPSED, self.how(number))
        self.assertEqual(set(), self.minion.running)

    def test_a_late_order_finds_the_orders_closed_though_no_call_is_answered(self):
        # The minion comes back mute: it carries out what it is asked, and the executor does not
        # learn of its new life. What was given up must not begin there, seconds late.
        self.minion.script(Scripted("start", CallFault.LATE, late_ms=2_500.0))
        self.start(make_order(1, run_ms=900))
        self.minion.mute = True
        self.minion.restart()
        self.keep(1_500, 1)
        self.assertIsNotNone(self.how(1))
        self.keep(1_500)
        self.assertEqual([], self.minion.started)
