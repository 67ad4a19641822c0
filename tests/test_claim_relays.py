"""Tests of claims that executors relay to arbiters that their holder does not reach."""

import unittest
from typing import NamedTuple

from geraniumspool.claim_messages import Claim, RelayClaims, RelayedClaims
from geraniumspool.claim_relays import (
    ANSWER_LIMIT_MS,
    RELAY_INTERVAL_MS,
    REPEAT_PERIOD_MS,
    ClaimRelays,
)
from geraniumspool.claim_table import ClaimTable
from geraniumspool.clock import ManualClock
from geraniumspool.messages import Peer
from geraniumspool.open_claim import OpenClaim

ARBITERS = ("tcp://a", "tcp://b", "tcp://c")
EXECUTORS = ("tcp://w0", "tcp://w1")
LEFT_MS = 1_000.0
RANK = 7


class Job(NamedTuple):
    """A job to claim."""

    claim_id: str

    def remaining_claim_ms(self, _now):
        return LEFT_MS


class ClaimRelaysTest(unittest.TestCase):
    """A claim that was granted by a fence, while one arbiter of three answers."""

    def setUp(self):
        self.clock = ManualClock()
        self.sent = []
        self.asked = []
        self.relays = ClaimRelays(
            self.clock,
            lambda peer, message: self.sent.append((peer.address, message)),
            lambda: EXECUTORS,
            lambda claim, _now: self.asked.append(claim),
        )
        self.claim = OpenClaim(Job("j"), [list(ARBITERS)], self.clock.now())
        self.claim.number, self.claim.is_fenced, self.claim.fence_rank = 3, True, RANK
        self.claim.granted_by.add(ARBITERS[0])

    def advance(self, total_ms):
        self.clock.advance(total_ms)
        self.relays.run_checks()

    def take_sent(self):
        sent, self.sent = self.sent, []
        return sent

    def expect(self, *arbiters):
        message = RelayClaims((Claim(3, "j", LEFT_MS, RANK),), (), arbiters)
        return [(address, message) for address in EXECUTORS]

    def test_unreachable_arbiters_are_told_through_all_executors_at_the_next_check(self):
        self.relays.add(self.claim, ARBITERS[1:])
        self.advance(0)
        self.assertEqual(self.expect(*ARBITERS[1:]), self.take_sent())

    def test_reachable_arbiters_have_time_to_answer(self):
        self.relays.add(self.claim, ())
        self.advance(ANSWER_LIMIT_MS - 1)
        self.assertEqual([], self.take_sent())
        self.advance(1)
        self.assertEqual(self.expect(*ARBITERS[1:]), self.take_sent())

    def test_a_claim_that_all_arbiters_have_confirmed_is_not_relayed(self):
        self.relays.add(self.claim, ())
        self.claim.granted_by.add(ARBITERS[1])
        self.claim.unsure_grants_by.add(ARBITERS[2])
        self.advance(ANSWER_LIMIT_MS)
        self.relays.remove(self.claim)
        self.assertEqual(([], []), (self.take_sent(), self.asked))

    def test_claims_are_repeated_directly_and_through_executors_until_confirmed(self):
        """A message may be lost, and the partition end."""
        self.relays.add(self.claim, ARBITERS[1:])
        self.advance(0)
        self.take_sent()
        self.claim.granted_by.add(ARBITERS[1])
        for count in (1, 2):
            self.advance(REPEAT_PERIOD_MS * count - 1)
            self.assertEqual([], self.take_sent())
            self.advance(1)
            self.assertEqual(self.expect(ARBITERS[2]), self.take_sent())
            self.assertEqual(1 + count, len(self.asked))
        self.claim.granted_by.add(ARBITERS[2])
        self.advance(4 * REPEAT_PERIOD_MS)
        self.assertEqual([], self.take_sent())

    def test_claims_that_are_granted_one_after_the_other_are_relayed_together(self):
        """A message for each of them would be as many as the executors times the jobs."""
        for _ in range(10):
            self.relays.add(self.claim, ARBITERS[1:])
            self.advance(RELAY_INTERVAL_MS / 10)
        self.assertEqual(len(EXECUTORS), len(self.take_sent()))

    def test_a_claim_that_is_no_longer_in_force_is_not_repeated(self):
        self.relays.add(self.claim, ARBITERS[1:])
        self.advance(0)
        self.take_sent()
        self.claim.number += 1
        self.advance(REPEAT_PERIOD_MS)
        self.assertEqual([], self.take_sent())

    def test_the_release_of_a_relayed_claim_is_relayed(self):
        self.relays.add(self.claim, ARBITERS[1:])
        self.advance(0)
        self.take_sent()
        self.relays.remove(self.claim)
        self.advance(RELAY_INTERVAL_MS)
        release = RelayClaims((), (3,), ARBITERS[1:])
        self.assertEqual([(address, release) for address in EXECUTORS], self.take_sent())

    def test_the_release_of_a_claim_that_was_relayed_under_two_numbers_names_both(self):
        self.relays.add(self.claim, ARBITERS[1:])
        self.advance(0)
        self.claim.former_numbers, self.claim.number = [3], 4
        self.relays.add(self.claim, ARBITERS[1:2])
        self.take_sent()
        self.relays.remove(self.claim)
        self.advance(RELAY_INTERVAL_MS)
        release = RelayClaims((), (3, 4), ARBITERS[1:])
        self.assertEqual([(address, release) for address in EXECUTORS], self.take_sent())


class ArbiterTest(unittest.TestCase):
    """An arbiter that learns of a claim through an executor."""

    def test_a_relayed_claim_is_held_until_it_is_released(self):
        table = ClaimTable(ManualClock(), ARBITERS[0], 0.0)
        holder, other = Peer("tcp://holder", 5), Peer("tcp://other", 6)
        claims = (Claim(3, "j", LEFT_MS, RANK),)
        table.apply_relayed_claims(RelayedClaims(*holder, claims, ()))
        self.assertEqual(holder.address, table.decide(other, Claim(1, "j", LEFT_MS)).holder)
        table.apply_relayed_claims(RelayedClaims(*holder, (), (3,)))
        self.assertEqual("", table.decide(other, Claim(1, "j", LEFT_MS)).holder)


if __name__ == "__main__":
    unittest.main()
