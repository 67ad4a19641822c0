"""Tests of claim messages that arrive after newer ones."""

import unittest

from geraniumspool.claim_messages import Claim, ClaimJobs, OpenClaims, RelayedClaims
from geraniumspool.claim_table import ClaimTable, choose_arbiters
from geraniumspool.clock import ManualClock
from geraniumspool.messages import Peer
from geraniumspool.released_claims import MAX_INCARNATIONS, MAX_NUMBERS
from geraniumspool.run_leases import CLAIMS_LAPSED_MS, RUNS_OVER_MS
from geraniumspool.wire_versions import make_incarnation
from tests.dispatch_world import SimulatedWorker, make_spec
from tests.test_claim_gaps import PEERS_SILENT_MS, ClaimGapCase

DOMAIN = "north"
# Time since all processes started; runs of former incarnations have ended by then.
UPTIME_MS = 5_000.0
# Time within which all runs of the claimed job end.
LEFT_MS = 5_000.0
NO_OPEN_CLAIMS = OpenClaims((), 0, UPTIME_MS, True, ())
RANK = 7


class LateClaimsCase(unittest.TestCase):
    """An arbiter and three other dispatchers that claim the same job."""

    def setUp(self):
        self.clock = ManualClock()
        self.holder, self.other, self.third = (Peer(f"tcp://h{n}", n) for n in (1, 2, 3))
        peers = (self.holder, self.other, self.third)
        self.table = ClaimTable(self.clock, "tcp://h0", self.clock.now() - UPTIME_MS)
        addresses = ("tcp://h0", *(peer.address for peer in peers))
        self.table.set_members(dict.fromkeys(addresses, DOMAIN))
        for peer in peers:
            self.table.apply_open_claims(peer, NO_OPEN_CLAIMS)

    def send_claim(self, peer, number=1, rank=0):
        message = ClaimJobs((Claim(number, "j", LEFT_MS, rank),), (), number)
        return self.table.apply_claim_jobs(peer, message)[0]

    def send_release(self, peer, number=1):
        self.table.apply_claim_jobs(peer, ClaimJobs((), (number,), number + 1))

    def relay(self, peer, claims=(), released=()):
        self.table.apply_relayed_claims(RelayedClaims(*peer, claims, released))


class LateClaimsTest(LateClaimsCase):
    """Claims that an arbiter learns of late keep those that it has granted."""

    def test_a_list_of_open_claims_from_before_a_claim_does_not_release_it(self):
        self.assertEqual("", self.send_claim(self.holder).holder)
        self.table.apply_open_claims(self.holder, NO_OPEN_CLAIMS)
        self.assertEqual(self.holder.address, self.send_claim(self.other).holder)


class LateFenceTest(LateClaimsCase):
    """A dispatcher's claim by a fence, and its release, arrive after another one's grant.

    An arbiter that forgets the grant for the late claim gives the job to a third dispatcher.
    """

    def test_a_grant_is_in_force_again_once_a_late_claim_by_a_fence_is_released(self):
        self.assertEqual("", self.send_claim(self.holder, 9).holder)
        self.assertEqual("", self.send_claim(self.other, 5, RANK).holder)
        self.assertEqual(self.other.address, self.send_claim(self.third).holder)
        self.send_release(self.other, 5)
        self.assertEqual(self.holder.address, self.send_claim(self.third).holder)
        self.send_release(self.holder, 9)
        self.assertEqual("", self.send_claim(self.third).holder)

    def test_a_grant_that_was_released_meanwhile_is_not_in_force_again(self):
        self.send_claim(self.holder, 9)
        self.send_claim(self.other, 5, RANK)
        self.send_release(self.holder, 9)
        self.send_release(self.other, 5)
        self.assertEqual("", self.send_claim(self.third).holder)
        self.assertEqual(1, len(self.table))

    def test_a_holder_that_asks_again_is_told_of_the_fence(self):
        self.send_claim(self.holder, 9)
        self.send_claim(self.other, 5, RANK)
        self.assertEqual(self.other.address, self.send_claim(self.holder, 10).holder)
        self.assertEqual("", self.send_claim(self.holder, 11, RANK + 1).holder)
        self.send_release(self.other, 5)
        self.assertEqual(self.holder.address, self.send_claim(self.third).holder)


class ReleasedClaimTest(LateClaimsCase):
    """A claim that arrives after its release, over another connection or through an executor.

    Nobody releases it again: it would make its former holder the job's holder, or free the job of
    the dispatcher that holds it now.
    """

    def release(self):
        self.table.apply_claim_jobs(self.other, ClaimJobs((), (5,), 3))

    def raise_oldest(self):
        self.table.apply_claim_jobs(self.other, ClaimJobs((), (), 6))

    def relay_release(self):
        self.relay(self.other, released=(5,))

    def exit_cleanly(self):
        self.table.note_clean_exit(self.other)

    def send_late(self, rank):
        message = ClaimJobs((Claim(5, "j", LEFT_MS, rank),), (), 3)
        self.table.apply_claim_jobs(self.other, message)

    def relay_late(self, rank):
        self.relay(self.other, (Claim(5, "j", LEFT_MS, rank),))

    def list_late(self, rank):
        message = OpenClaims((Claim(5, "j", LEFT_MS, rank),), 5, UPTIME_MS, True, ())
        self.table.apply_open_claims(self.other, message)

    def test_a_released_claim_is_not_recorded_again(self):
        releases = (self.release, self.raise_oldest, self.relay_release, self.exit_cleanly)
        for release in releases:
            for send in (self.send_late, self.relay_late, self.list_late):
                for rank in (0, RANK):
                    with self.subTest(release.__name__, send=send.__name__, rank=rank):
                        self.setUp()
                        release()
                        send(rank)
                        self.assertEqual("", self.send_claim(self.third).holder)

    def test_the_holder_keeps_a_job_that_a_released_claim_arrives_for(self):
        self.send_claim(self.other, 5, RANK)
        self.release()
        self.assertEqual("", self.send_claim(self.holder, 9).holder)
        for send in (self.send_late, self.relay_late, self.list_late):
            send(RANK)
            self.assertEqual(self.holder.address, self.send_claim(self.third).holder)

    def test_a_late_claim_is_not_answered(self):
        """Nor is the message of a former incarnation whose claims were released."""
        self.release()
        self.table.note_incarnation(self.other._replace(incarnation=99))
        message = ClaimJobs((Claim(5, "j", LEFT_MS),), (), 3)
        self.assertEqual([], self.table.apply_claim_jobs(self.other, message))

    def test_later_claims_are_granted(self):
        self.release()
        self.assertEqual("", self.send_claim(self.other, 6).holder)
        self.assertEqual(self.other.address, self.send_claim(self.third).holder)

    def test_the_memory_of_releases_is_bounded(self):
        for number in range(5, 3 * MAX_NUMBERS):
            self.table.apply_claim_jobs(self.other, ClaimJobs((), (number,), 3))
        for incarnation in range(100, 100 + 3 * MAX_INCARNATIONS):
            self.relay(Peer(self.other.address, incarnation), released=(5,))
        lives = self.table._released._by_address[self.other.address]
        self.assertEqual(MAX_INCARNATIONS, len(lives))
        self.assertLessEqual(max(len(life._numbers) for life in lives.values()), MAX_NUMBERS)


class LateRequestTest(LateClaimsCase):
    """A request from before the fence arrives after the claim by the fence.

    Its holder, which may be out of contact with all arbiters, doesn't give up the job.
    """

    def setUp(self):
        super().setUp()
        self.fenced = Peer(self.holder.address, make_incarnation(1))
        self.table.apply_open_claims(self.fenced, NO_OPEN_CLAIMS)

    def test_a_claim_by_a_fence_does_not_lapse_after_a_late_request(self):
        self.send_claim(self.fenced, 5, RANK)
        self.assertEqual("", self.send_claim(self.fenced, 5).holder)
        self.clock.advance(CLAIMS_LAPSED_MS + 10)
        self.assertEqual(self.fenced.address, self.send_claim(self.third).holder)

    def test_a_fence_of_lower_rank_does_not_replace_it(self):
        self.send_claim(self.fenced, 5, RANK)
        self.send_claim(self.fenced, 5)
        self.assertEqual(self.fenced.address, self.send_claim(self.third, 1, RANK - 1).holder)

    def test_it_stays_granted_where_it_outranks_another_claim(self):
        self.send_claim(self.other, 2)
        self.send_claim(self.fenced, 5, RANK)
        self.assertEqual("", self.send_claim(self.fenced, 5).holder)
        self.assertEqual(self.fenced.address, self.send_claim(self.third).holder)

    def test_a_claim_with_a_new_number_may_have_no_fence_any_more(self):
        self.send_claim(self.fenced, 5, RANK)
        self.send_claim(self.fenced, 6)
        self.clock.advance(CLAIMS_LAPSED_MS + 10)
        self.assertEqual("", self.send_claim(self.third).holder)


class LateListTest(LateClaimsCase):
    """A complete list of a dispatcher's open claims arrives after a newer one."""

    def send_list(self, age_ms, upto=9, has_lost_members=False, claims=()):
        message = OpenClaims(claims, upto, age_ms, True, (), has_lost_members)
        return self.table.apply_open_claims(self.other, message)

    def test_claims_that_a_newer_list_has_released_are_not_recorded_again(self):
        claim = Claim(5, "j", LEFT_MS, RANK)
        self.send_claim(self.other, 5, RANK)
        self.send_list(UPTIME_MS + 20)
        self.assertEqual("", self.send_claim(self.holder).holder)
        self.assertEqual([], self.send_list(UPTIME_MS + 10, claims=(claim,)))
        self.assertEqual(self.holder.address, self.send_claim(self.third).holder)

    def test_members_that_its_sender_has_lost_since_still_count(self):
        """They may run jobs that this arbiter has forgotten by its restart."""
        self.table = ClaimTable(self.clock, "tcp://h0", self.clock.now())
        self.table.set_members({"tcp://h0": DOMAIN, self.other.address: DOMAIN})
        self.send_list(UPTIME_MS + 20, has_lost_members=True)
        self.send_list(UPTIME_MS + 10)
        self.clock.advance(RUNS_OVER_MS + 10)
        self.assertFalse(self.table.is_settled)

    def test_a_later_list_counts(self):
        self.send_claim(self.other, 5)
        self.send_list(UPTIME_MS + 10, claims=(Claim(5, "j", LEFT_MS),))
        self.assertEqual(self.other.address, self.send_claim(self.third).holder)
        self.send_list(UPTIME_MS + 10)
        self.assertEqual("", self.send_claim(self.third).holder)


class LateFenceWorldTest(ClaimGapCase):
    """Connections of a dispatcher stall, and deliver after the job has gone to another one."""

    workers = dispatchers = 5

    def test_a_job_is_not_granted_twice_by_late_claims_and_releases(self):
        for number in range(12):
            name = f"j{number}"
            members = {dispatcher.address: "north" for dispatcher in self.all_dispatchers}
            arbiters = choose_arbiters(name, members)
            if not {f"tcp://h{index}" for index in (0, 1)}.intersection(arbiters):
                with self.subTest(name):
                    self.doCleanups()
                    self.setUp()
                    self.check(name, arbiters)

    def replace_executors(self):
        """Replace the executors, whose fences would go on refusing all other dispatchers."""
        for index, worker in enumerate(self.world.workers):
            worker.kill()
            self.world.workers[index] = SimulatedWorker(
                self.world, worker.name, 2, worker.minion, fence=100
            )
            for dispatcher in self.all_dispatchers:
                dispatcher.handle_key_written(worker.address)
        self.advance(700)

    def check(self, name, arbiters):
        """Have a dispatcher run a job by a fence while its arbiters don't hear it."""
        late, holder = self.all_dispatchers[:2]
        self.assertNotIn(holder.address, arbiters)
        # Nor do they hear it through executors.
        self.world.network.dropped_kinds = {"RelayedClaims"}
        self.partition(late.address, arbiters)
        self.advance(PEERS_SILENT_MS)
        self.place(0, make_spec(name, count=1, cpu=4_000, run_ms=100))
        self.advance(3_000)
        self.assertEqual(1, self.world.start_count(f"{name}.0.0.0"))
        stalled = [
            (sender, receiver, message)
            for sender, receiver, message in self.world.network.sent
            if sender.address == late.address
            and receiver.address in arbiters
            and isinstance(message, ClaimJobs)
        ]
        self.replace_executors()
        spec = make_spec(name, count=1, cpu=4_000, run_ms=4_000, declared_ms=500)
        self.place(1, spec)
        self.advance(600)
        self.assertEqual(2, self.world.start_count(f"{name}.0.0.0"))
        self.assertTrue(self.all_dispatchers[1].claims._open[name].is_granted)
        claims = {other.address: other.claims for other in self.all_dispatchers}
        for sender, receiver, message in stalled:
            claims[receiver.address].handle_claim_jobs(sender, message)
        index = next(n for n in (2, 3, 4) if self.all_dispatchers[n].address in arbiters)
        self.place(index, spec)
        self.advance(1_000)
        self.assertEqual(set(), self.ran_twice)
        self.assertEqual(2, self.world.start_count(f"{name}.0.0.0"))
