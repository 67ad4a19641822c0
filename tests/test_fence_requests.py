"""Tests of the rounds in which a dispatcher requests fences from executors."""

import unittest
from typing import NamedTuple

from geraniumspool.clock import ManualClock
from geraniumspool.fence_requests import MAX_ROUND_INTERVAL_MS, FenceRequests
from geraniumspool.open_claim import OpenClaim

EXECUTORS = tuple(f"tcp://w{number}" for number in range(65))
# Requests that the smallest host, with 0.4 of a core, sends and has answered in a second beside its
# other work.
MAX_REQUESTS_PER_S = 500
ARRIVAL_MS = 10


class Job(NamedTuple):
    """A job to claim."""

    claim_id: str

    def remaining_claim_ms(self, _now):
        return 1_000.0


class FenceRoundsTest(unittest.TestCase):
    """Jobs that arrive after a power loss, each of which needs a fence of every executor."""

    def setUp(self):
        self.clock = ManualClock()
        self.sent = []
        self.requested_ms = {}
        self.fences = FenceRequests(self.clock, self.send, lambda: EXECUTORS)
        self.claims = []

    def send(self, peer, message):
        self.sent.append(peer.address)
        for job_id in message.job_ids:
            self.requested_ms.setdefault(job_id, self.clock.now())

    def add_claim(self):
        claim = OpenClaim(Job(f"j{len(self.claims)}"), [[]], self.clock.now())
        self.claims.append(claim)
        self.fences.request(self.claims)

    def test_the_first_job_is_requested_at_once(self):
        self.add_claim()
        self.assertEqual(list(EXECUTORS), self.sent)

    def test_arrivals_do_not_multiply_requests(self):
        """A round of requests for each job kept small hosts busy until arbiters were settled."""
        for _ in range(1_000 // ARRIVAL_MS):
            self.add_claim()
            self.clock.advance(ARRIVAL_MS)
        self.assertLessEqual(len(self.sent), MAX_REQUESTS_PER_S + len(EXECUTORS))

    def test_no_job_waits_longer_than_the_interval_between_rounds(self):
        for _ in range(50):
            self.add_claim()
            self.clock.advance(ARRIVAL_MS)
        for claim in self.claims[:-20]:
            wait_ms = self.requested_ms[claim.job_id] - claim.began_ms
            self.assertLessEqual(wait_ms, MAX_ROUND_INTERVAL_MS)


if __name__ == "__main__":
    unittest.main()
