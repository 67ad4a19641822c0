"""Tests of cancels that reach another dispatcher than their job."""

import unittest

import eventlet

from geraniumspool.job_cancels import ANSWER_LIMIT_MS, PASS_ON_LIMIT_MS, REMEMBERED_MS
from geraniumspool.job_specs import JobOutcome
from tests.dispatch_world import DispatchWorld, make_spec

CANCELLED = (JobOutcome.FAILED, "cancelled")


class CancelledElsewhereTest(unittest.TestCase):
    """A cancel that reached another dispatcher was acknowledged, and the job ran on."""

    def setUp(self):
        self.world = DispatchWorld(2, 3, capacities=(2.0,))
        self.addCleanup(self.world.close)
        self.owner, self.entry, self.other = self.world.dispatchers
        self.answers = []

    def submit(self, dispatcher, run_ms=2_000):
        """Submit a job of three steps of one task each, and let its first step start."""
        spec = make_spec("j", count=1, run_ms=run_ms)
        spec = spec._replace(
            steps=tuple(spec.steps[0]._replace(after=after) for after in ((), (0,), (1,)))
        )
        request = dispatcher.submit(spec, timeout_ms=15_000.0)
        self.world.clock.advance(100)
        return request

    def cancel(self, dispatcher, wait_ms=100):
        """Cancel the job at a dispatcher; return what its caller is told, None if not yet."""
        answers = []
        eventlet.spawn_n(lambda: answers.append(dispatcher.router.cancels.cancel("j")))
        self.world.clock.advance(wait_ms)
        return answers[0] if answers else None

    def count_starts(self):
        return sum(len(worker.minion.started) for worker in self.world.workers)

    def check_nothing_starts(self, total_ms=8_000):
        starts = self.count_starts()
        self.world.clock.advance(total_ms)
        self.assertEqual(starts, self.count_starts())
        self.assertFalse(any(worker.minion.running for worker in self.world.workers))

    def test_a_cancel_ends_the_job_wherever_it_is(self):
        for name in ("owner", "entry", "other"):
            with self.subTest(cancelled_at=name):
                self.setUp()
                request = self.submit(self.entry)
                self.assertEqual(1, self.count_starts())
                self.assertIs(True, self.cancel(getattr(self, name)))
                self.assertEqual(CANCELLED, (request.outcome, request.result.code))
                self.check_nothing_starts()

    def test_a_cancel_is_repeated_until_it_arrives(self):
        request = self.submit(self.entry)
        self.world.network.dropped_kinds = {"CancelJob"}
        self.assertIsNone(self.cancel(self.other, 300))
        self.world.network.dropped_kinds = set()
        self.world.clock.advance(200)
        self.assertEqual(CANCELLED, (request.outcome, request.result.code))
        self.check_nothing_starts()

    def test_a_dispatcher_out_of_reach_is_told_later(self):
        request = self.submit(self.owner)
        for peer in (self.entry, self.other):
            self.world.network.partition(self.owner.address, peer.address)
        self.assertIs(False, self.cancel(self.other, ANSWER_LIMIT_MS + 200))
        self.world.network.heal()
        self.world.clock.advance(1_500)
        self.assertIsNotNone(request.outcome)
        self.check_nothing_starts()

    def test_a_request_that_arrives_after_the_cancel_does_not_run(self):
        self.assertIs(False, self.cancel(self.other))
        for dispatcher in self.world.dispatchers:
            request = self.submit(dispatcher)
            self.assertEqual(CANCELLED, (request.outcome, request.result.code))
        self.check_nothing_starts()

    def test_a_cancel_is_forgotten_in_the_end(self):
        self.cancel(self.other)
        self.world.clock.advance(REMEMBERED_MS + 100)
        request = self.submit(self.entry, run_ms=100)
        self.world.clock.advance(1_000)
        self.assertEqual(JobOutcome.SUCCEEDED, request.outcome)

    def test_a_repeated_cancel_tells_the_same(self):
        self.submit(self.entry)
        self.assertIs(True, self.cancel(self.other))
        self.assertIs(True, self.cancel(self.other))

    def test_a_dispatcher_that_has_left_is_not_asked_for_ever(self):
        self.owner.kill()
        self.cancel(self.other, ANSWER_LIMIT_MS + 100)
        self.world.clock.advance(PASS_ON_LIMIT_MS + 1_000)
        sent = len([m for *_, m in self.world.network.sent if type(m).__name__ == "CancelJob"])
        self.world.clock.advance(5_000)
        later = len([m for *_, m in self.world.network.sent if type(m).__name__ == "CancelJob"])
        self.assertEqual(sent, later)


if __name__ == "__main__":
    unittest.main()
