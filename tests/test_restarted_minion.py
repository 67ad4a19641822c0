"""Tests with a minion that crashes and restarts under the same name.

After a restart, the sequence of its reports, the numbers of its ended runs and its clock begin
again. An executor that compared them with those of the previous incarnation failed in two ways. It
ignored the report that the minion was leaving as outdated, and started runs there up to 3.5 s
later. It also acknowledged all ended runs without handling them: of 168 runs none was reported as
done and 158 lapsed as vanished, so that their tasks ran again elsewhere.
"""

from geraniumspool.memory_minion import CallFault, ScriptedFault
from geraniumspool.run_messages import RUN_DONE, RUN_LAPSED, RUN_REFUSED
from tests.test_executor import ExecutorCase, make_order

REPORTS_BEFORE_RESTART = 14


class RestartedMinionTest(ExecutorCase):
    """An executor whose minion has crashed and restarted."""

    def report(self, **changes):
        """Let the minion send its next report."""
        life = self.minion.incarnation
        self.minion.incarnation = life._replace(sequence=life.sequence + 1, **changes)
        self.executor.handle_minion_report(self.minion.incarnation)
        self.clock.advance(50)

    def run_and_restart(self):
        """Let the minion execute runs, report several times, crash and restart."""
        self.start(make_order(1), make_order(2, "k.0.0.0"))
        self.advance_renewing(2_000, 1, 2)
        for _ in range(REPORTS_BEFORE_RESTART):
            self.report()
        self.minion.is_silent = True
        self.advance_renewing(1_500)
        self.minion.is_silent = False
        self.minion.restart()
        self.report()

    def test_draining_minion_gets_no_new_runs_after_restart(self):
        self.run_and_restart()
        self.report(draining=True)
        self.assertFalse(self.executor.state().accepts)
        self.start(make_order(3, "l.0.0.0"))
        self.advance_renewing(500, 3)
        self.assertEqual(RUN_REFUSED, self.outcome(3))
        self.assertEqual({"j.0.0.0", "k.0.0.0"}, {key.task for key in self.minion.started})

    def test_ends_of_new_incarnation_are_reported(self):
        self.run_and_restart()
        self.start(make_order(3, "l.0.0.0", run_ms=300))
        self.advance_renewing(500, 3)
        self.assertEqual(RUN_DONE, self.outcome(3))

    def test_runs_started_before_the_restart_is_known_are_over_when_reported(self):
        # The minion restarts at once. Until a poll is answered, the executor starts runs on what it
        # takes for the previous incarnation. If it reported them as lapsed while active, they would
        # run twice.
        self.start(make_order(1, run_ms=900))
        self.advance_renewing(300, 1)
        self.minion.restart()
        self.start(make_order(2, "k.0.0.0", run_ms=900))
        self.assertEqual({"k.0.0.0"}, self.minion.running)
        for _ in range(120):
            self.renew(1, 2)
            self.clock.advance(10)
            if self.outcome(2) is not None:
                self.assertEqual(set(), self.minion.running)
        self.assertEqual((RUN_LAPSED, RUN_DONE), (self.outcome(1), self.outcome(2)))

    def test_delayed_start_for_previous_incarnation_is_not_executed(self):
        self.minion.inject_fault(ScriptedFault("start", CallFault.LATE, late_ms=1_000.0))
        self.start(make_order(1, run_ms=900))
        self.minion.restart()
        self.advance_renewing(700, 1)
        self.assertIsNotNone(self.outcome(1))
        self.advance_renewing(1_000)
        self.assertEqual([], self.minion.started)

    def test_late_departure_of_previous_incarnation_does_not_end_the_new_one(self):
        # The announcement of a departure may be delayed, as a report may be.
        self.run_and_restart()
        self.start(make_order(3, "l.0.0.0", run_ms=300))
        self.executor.handle_minion_departure(self.minion.incarnation.instance)
        self.advance_renewing(500, 3)
        self.assertEqual(RUN_DONE, self.outcome(3))
        self.report(draining=True)
        self.executor.handle_minion_departure(self.minion.incarnation.instance)
        self.assertEqual("", self.executor.state().instance)

    def test_lease_set_by_poll_with_old_clock_is_waited_for(self):
        # The end of the lease is far ahead of the new clock. The minion cuts it to the longest
        # lease that it grants, twice as long as the executor requests. Here the first poll renews
        # it.
        self.advance_renewing(300)
        self.minion.is_silent = True
        self.clock.advance(65)
        self.minion.restart()
        self.minion.is_silent = False
        self.clock.advance(30)
        self.report()
        self.start(make_order(1, run_ms=9_000))
        self.check_lapses_only_when_over(1)

    def test_lease_set_by_start_before_the_restart_is_known_is_waited_for(self):
        self.advance_renewing(300)
        self.minion.restart()
        self.start(make_order(1, run_ms=9_000))
        self.check_lapses_only_when_over(1)

    def check_lapses_only_when_over(self, number):
        """Silence the minion, and check that its run has ended when it is reported as lapsed."""
        self.assertTrue(self.minion.running)
        self.minion.is_silent = True
        while self.outcome(number) is None:
            self.renew(number)
            self.clock.advance(10)
        self.assertEqual(RUN_LAPSED, self.outcome(number))
        self.assertEqual(set(), self.minion.running)

    def test_delayed_start_is_rejected_even_if_the_restarted_minion_never_answers(self):
        # The minion restarts and is mute: it executes calls without answering, so the executor does
        # not learn of the new incarnation. A start given up earlier must not be executed there
        # seconds later.
        self.minion.inject_fault(ScriptedFault("start", CallFault.LATE, late_ms=2_500.0))
        self.start(make_order(1, run_ms=900))
        self.minion.loses_answers = True
        self.minion.restart()
        self.advance_renewing(1_500, 1)
        self.assertIsNotNone(self.outcome(1))
        self.advance_renewing(1_500)
        self.assertEqual([], self.minion.started)
