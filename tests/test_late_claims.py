"""Tests of claim messages that arrive after newer ones."""

import unittest

from geraniumspool.claim_messages import Claim, ClaimJobs, OpenClaims
from geraniumspool.claim_table import ClaimTable
from geraniumspool.clock import ManualClock
from geraniumspool.messages import Peer

DOMAIN = "north"
# Time since all processes started; runs of former incarnations have ended by then.
UPTIME_MS = 5_000.0
# Time within which all runs of the claimed job end.
LEFT_MS = 5_000.0
NO_OPEN_CLAIMS = OpenClaims((), 0, UPTIME_MS, True, ())


class LateClaimsTest(unittest.TestCase):
    """An arbiter and two other dispatchers that claim the same job."""

    def setUp(self):
        clock = ManualClock()
        self.holder, self.other = Peer("tcp://h1", 1), Peer("tcp://h2", 2)
        self.table = ClaimTable(clock, "tcp://h0", clock.now() - UPTIME_MS)
        addresses = ("tcp://h0", self.holder.address, self.other.address)
        self.table.set_members(dict.fromkeys(addresses, DOMAIN))
        for peer in (self.holder, self.other):
            self.table.apply_open_claims(peer, NO_OPEN_CLAIMS)

    def send_claim(self, peer, number=1):
        message = ClaimJobs((Claim(number, "j", LEFT_MS),), (), number)
        return self.table.apply_claim_jobs(peer, message)[0]

    def test_a_list_of_open_claims_from_before_a_claim_does_not_release_it(self):
        self.assertEqual("", self.send_claim(self.holder).holder)
        self.table.apply_open_claims(self.holder, NO_OPEN_CLAIMS)
        self.assertEqual(self.holder.address, self.send_claim(self.other).holder)
