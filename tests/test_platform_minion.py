"""Contract tests of the minion's HTTP client: answers, faults, and a recorded session."""

import json
import socket
import unittest
from pathlib import Path

from geraniumspool.clock import ManualClock, SystemClock
from geraniumspool.contracts import FinishedRun, RunKey, StartOutcome
from geraniumspool.counters import MemoryCounters
from geraniumspool.errors import Fenced, MinionDown, MinionReplaced, MinionSilent
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.platform.minion import MAX_LISTED_ENDS, HttpMinionControl
from geraniumspool.run_messages import RUN_DONE, RUN_STOPPED
from tests.platform_standin import MinionStandin
from tests.small import serve

GOLDEN = Path(__file__).parent / "golden" / "minion_session.json"
FAR_FUTURE_MS = 1e9


class MinionControlTest(unittest.TestCase):
    """The client against a fake minion over loopback."""

    def setUp(self):
        self.clock = ManualClock(5_000.0)
        self.minion = MemoryMinion(self.clock)
        self.standin = MinionStandin(self.minion)
        self.life = self.minion.incarnation._replace(address=serve(self, self.standin))
        self.control = HttpMinionControl(SystemClock(), MemoryCounters())

    def start(self, task="j.0.0.0", attempt=1, payload="1000:100", lease=FAR_FUTURE_MS, fence=3):
        return self.control.start(self.life, RunKey(task, attempt), payload, lease, fence).outcome

    def test_answers_to_a_start(self):
        self.assertEqual(StartOutcome.STARTED, self.start())
        self.assertEqual(StartOutcome.STARTED, self.start())
        self.assertEqual(StartOutcome.FENCED, self.start("k", fence=2))
        self.assertEqual(StartOutcome.LATE, self.start("l", lease=4_999))
        self.control.stop(self.life, RunKey("m", 2), 3)
        self.assertEqual(StartOutcome.OLD, self.start("m", attempt=2))
        for outcome in (StartOutcome.FULL, StartOutcome.UNHEALTHY, StartOutcome.REJECTED):
            with self.subTest(outcome=outcome):
                self.minion.refuse_with = outcome
                self.assertEqual(outcome, self.start("n"))

    def test_statuses_that_mean_that_the_run_did_not_start(self):
        for status, outcome in (
            (400, StartOutcome.REJECTED),
            (429, StartOutcome.UNHEALTHY),
            (503, StartOutcome.UNHEALTHY),
        ):
            with self.subTest(status=status):
                self.standin.forced = status
                self.assertEqual(outcome, self.start())

    def test_a_start_with_an_unknown_status_may_have_been_carried_out(self):
        for status in (404, 412):
            with self.subTest(status=status):
                self.standin.forced = status
                with self.assertRaises(MinionSilent):
                    self.start()

    def test_an_incarnation_with_another_name_is_detected(self):
        self.minion.restart_renamed("i-2")
        for call in (
            self.start,
            lambda: self.control.stop(self.life, RunKey("j", 1), 3),
            lambda: self.control.poll(self.life, 3, 0, None, 0.0),
        ):
            with self.assertRaises(MinionReplaced):
                call()

    def test_a_later_incarnation_with_the_same_name_is_detected(self):
        self.clock.advance(10)
        self.minion.restart()
        with self.assertRaises(MinionReplaced):
            self.control.poll(self.life, 3, 0, None, 0.0)
        self.life = self.minion.incarnation._replace(address=self.life.address)
        self.assertEqual(
            self.life.started_unix_ms, self.control.poll(self.life, 3, 0, None, 0.0).started_unix_ms
        )

    def test_calls_without_an_answer(self):
        for fault in ({"lose": 1}, {"hang": True}):
            for name, call in (
                ("start", self.start),
                ("stop", lambda: self.control.stop(self.life, RunKey("j", 1), 3)),
                ("look", lambda: self.control.poll(self.life, 3, 0, None, 0.0)),
            ):
                with self.subTest(call=name, **fault):
                    self.standin.lose, self.standin.hang = 0, False
                    for key, value in fault.items():
                        setattr(self.standin, key, value)
                    with self.assertRaises(MinionSilent):
                        call()

    def test_a_refused_connection_means_that_the_minion_is_down(self):
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            closed = f"127.0.0.1:{bound.getsockname()[1]}"
        self.life = self.life._replace(address=closed)
        with self.assertRaises(MinionDown):
            self.start()
        with self.assertRaises(MinionDown):
            self.control.poll(self.life, 3, 0, None, 0.0)

    def test_a_full_list_of_finished_runs_is_marked_as_partial(self):
        for number in range(MAX_LISTED_ENDS):
            self.minion.start(
                self.minion.incarnation, RunKey(f"j.0.0.{number}", 1), "1:1", FAR_FUTURE_MS, 3
            )
        self.clock.advance(5)
        view = self.control.poll(self.life, 3, 0, None, 0.0)
        self.assertEqual((MAX_LISTED_ENDS, True), (len(view.finished), view.is_partial))
        view = self.control.poll(self.life, 3, 1, None, 0.0)
        self.assertEqual((MAX_LISTED_ENDS - 1, False), (len(view.finished), view.is_partial))

    def test_a_lower_fencing_token_is_refused(self):
        self.control.poll(self.life, 9, 0, None, 0.0)
        with self.assertRaises(Fenced):
            self.control.poll(self.life, 8, 0, None, 0.0)
        with self.assertRaises(Fenced):
            self.control.stop(self.life, RunKey("j", 1), 8)

    def test_a_session_matches_the_golden_file(self):
        self.start(payload="1000:100")
        self.start("k.0.0.1", payload="1000:900")
        view = self.control.poll(self.life, 3, 0, FAR_FUTURE_MS, 0.0)
        self.assertEqual({RunKey("j.0.0.0", 1): 0.4, RunKey("k.0.0.1", 1): 0.4}, view.running)
        self.control.stop(self.life, RunKey("k.0.0.1", 1), 3)
        self.clock.advance(150)
        view = self.control.poll(self.life, 3, 0, FAR_FUTURE_MS, 0.0)
        ends = {end.key.task: end for end in view.finished}
        self.assertEqual(RUN_STOPPED, ends["k.0.0.1"].how)
        self.assertEqual(FinishedRun(2, RunKey("j.0.0.0", 1), RUN_DONE), ends["j.0.0.0"])
        view = self.control.poll(self.life, 3, 2, FAR_FUTURE_MS, 0.0)
        self.assertEqual(((), {}), (view.finished, view.running))
        self.assertEqual(json.loads(GOLDEN.read_text()), self.standin.session)
