"""Tests of a dispatcher's claims on its jobs."""

import math
import unittest
from typing import NamedTuple

import eventlet

from geraniumspool.claim_messages import (
    Claim,
    ClaimJobs,
    ClaimVerdict,
    ClaimVerdicts,
    FenceJobs,
    JobsFenced,
    OpenClaims,
)
from geraniumspool.claim_table import ClaimTable
from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.fence_requests import CHECK_PERIOD_MS, FenceRequests
from geraniumspool.job_claims import HEDGE_MS, MAX_PAUSE_MS, JobClaims
from geraniumspool.messages import Peer
from geraniumspool.open_claim import GRANTED_BY_FENCE, MAX_LOGGED_GRANTERS, OpenClaim
from geraniumspool.run_leases import CLAIM_CONTACT_MS, ORPHANS_OVER_MS, RUNS_OVER_MS
from geraniumspool.run_messages import StartRuns
from tests.dispatch_world import DispatchWorld, SimulatedDispatcher, make_spec

ME, ONE, OTHER = (Peer(f"tcp://{name}", 1) for name in "abc")
WORKERS = ("tcp://w0", "tcp://w1")
# Age of a process whose former incarnation has no runs left.
LONG_AGO_MS = 60_000.0
STEP_MS = 30

PEERS = {"one": ONE, "other": OTHER}


class ReachablePeer(NamedTuple):
    """Another dispatcher, which is always reachable."""

    peer: Peer
    domain: str = "north"
    is_in_same_domain: bool = True
    confirmed_ms: float = math.inf
    gives_up_claims: bool = False

    def is_reachable(self, _now):
        return True


class Job(NamedTuple):
    """A job to claim."""

    claim_id: str
    incarnation: int = 1

    def remaining_claim_ms(self, _now):
        return 1_000.0


class LongJob(NamedTuple):
    """A job whose caller waits for a long time."""

    claim_id: str

    def remaining_claim_ms(self, _now):
        return 100_000.0


class ClaimsCase(unittest.TestCase):
    """A dispatcher that claims jobs; the test answers for the two other dispatchers."""

    def setUp(self):
        self.clock = ManualClock()
        self.sent = []
        self.granted = []
        self.doubted = []
        self.peers = [ReachablePeer(ONE), ReachablePeer(OTHER)]
        self.claims = JobClaims(
            self.clock,
            lambda peer, message: self.sent.append((peer, message)),
            MemoryCounters(),
            ME,
            "north",
            lambda: self.peers,
            lambda: WORKERS,
            self.clock.now() - LONG_AGO_MS,
        )
        self.claims.on_granted = lambda owner, rank: self.granted.append((owner, rank))
        self.claims.on_suspended = self.doubted.append
        self.claims.update_members()
        self.sent.clear()

    def advance(self, total_ms=STEP_MS):
        for _ in range(int(total_ms // STEP_MS)):
            self.clock.advance(STEP_MS)
            self.claims.run_checks()
            eventlet.sleep(0)

    def find_sent(self, kind):
        return [(peer, message) for peer, message in self.sent if isinstance(message, kind)]

    def last_claim_number(self):
        """Return the number of the last claim sent to an arbiter."""
        return max(
            claim.number for _, message in self.find_sent(ClaimJobs) for claim in message.claims
        )

    def answer_grant(self, *peers, number=None, is_sure=True):
        verdict = ClaimVerdict(number or self.last_claim_number(), is_sure=is_sure)
        for peer in peers:
            self.claims.handle_claim_verdicts(peer, ClaimVerdicts((verdict,), is_sure))


class ClaimsTest(ClaimsCase):
    """Which claims are granted, kept and given up."""

    def test_a_job_is_granted_once_a_majority_of_its_arbiters_have_granted_it(self):
        job = Job("j")
        self.claims.claim(job)
        self.advance()
        self.answer_grant(ONE)
        self.assertEqual([], self.granted)
        self.answer_grant(OTHER)
        self.assertEqual([(job, 0)], self.granted)

    def test_a_grant_of_an_arbiter_that_is_not_sure_does_not_count(self):
        self.claims.claim(Job("j"))
        self.advance()
        self.answer_grant(ONE)
        self.answer_grant(OTHER, is_sure=False)
        self.assertEqual([], self.granted)

    def test_a_replaced_fence_that_an_executor_reports_is_kept_with_the_claim(self):
        """The executor may be restarted before the fence is requested again."""
        job = Job("j")
        self.claims.claim(job)
        self.advance()
        self.answer_grant(ONE, OTHER)
        self.claims.handle_foreign_fence(job)
        claim = self.claims._open["j"]
        self.assertFalse(claim.is_granted)
        for replaced in (("j",), ()):
            claim.fence_rank = 5
            self.claims.handle_jobs_fenced(
                Peer(WORKERS[0], 1), JobsFenced(("j",), 5, replaced=replaced)
            )
            self.assertTrue(claim.has_replaced_fence)
            claim.discard_answers(self.clock.now())

    def test_grants_under_former_members_do_not_make_a_majority_of_the_members_that_are_left(self):
        """The others may have granted the job on their side of a partition."""
        for peer in (ONE, OTHER):
            self.claims.handle_open_claims(peer, OpenClaims((), 0, LONG_AGO_MS, True, ()))
        self.claims.claim(Job("j"))
        self.advance()
        self.peers = []
        self.claims.update_members()
        self.advance(300)
        self.assertEqual([], self.granted)

    def test_fences_are_requested_for_as_long_as_the_longest_claim(self):
        self.claims.claim(LongJob("long"))
        self.claims.claim(Job("j"))
        self.advance(600)
        lifetimes = [message.claims_over_ms for _, message in self.find_sent(FenceJobs)]
        self.assertGreater(min(lifetimes), LongJob("long").remaining_claim_ms(0) + RUNS_OVER_MS)

    def test_arbiters_do_not_grant_a_job_of_which_another_fence_was_replaced(self):
        """Arbiters that are partitioned from the other dispatcher do not know that it runs it."""
        self.claims.claim(Job("j"))
        self.advance(600)
        rank = self.find_sent(FenceJobs)[-1][1].rank
        answer = JobsFenced(("j",), rank, replaced=("j",))
        self.claims.handle_jobs_fenced(Peer(WORKERS[0], 1), answer)
        self.answer_grant(ONE, OTHER)
        self.advance()
        self.assertEqual([], self.granted)
        self.claims.handle_jobs_fenced(Peer(WORKERS[1], 1), JobsFenced(("j",), rank))
        self.assertEqual([(Job("j"), rank)], self.granted)

    def test_a_claim_that_is_granted_again_keeps_the_time_of_its_first_grant(self):
        """An executor that started between the two grants may have lost a fence of another."""
        job = Job("j")
        self.assertEqual(math.inf, self.claims.find_first_grant_ms(job))
        self.claims.claim(job)
        self.advance()
        self.answer_grant(ONE, OTHER)
        first_ms = self.claims.find_first_grant_ms(job)
        self.assertEqual(self.clock.now(), first_ms)
        self.clock.advance(100)
        resent = Job("j", 2)
        self.claims.claim(resent)
        self.claims.release(job)
        self.claims.renew_grants("executor_new")
        eventlet.sleep(0)
        self.answer_grant(ONE, OTHER)
        self.assertEqual((resent, 0), self.granted[-1])
        self.assertEqual(first_ms, self.claims.find_first_grant_ms(resent))

    def test_a_claim_that_was_lost_has_no_time_of_its_first_grant(self):
        job = Job("j")
        self.claims.claim(job)
        self.advance()
        self.answer_grant(ONE, OTHER)
        self.claims.handle_claim_jobs(ONE, ClaimJobs((Claim(1, "j", 1_000.0, 9),), (), 1))
        self.assertEqual(math.inf, self.claims.find_first_grant_ms(job))

    def test_granted_claims_are_requested_again_after_a_pause_of_the_process(self):
        job = Job("j")
        self.claims.claim(job)
        self.advance()
        old_number = self.last_claim_number()
        self.answer_grant(ONE, OTHER)
        self.clock.advance(MAX_PAUSE_MS + 1)
        self.claims.check_pause()
        self.assertEqual([job], self.doubted)
        self.granted.clear()
        eventlet.sleep(0)
        self.answer_grant(ONE, OTHER, number=old_number)
        self.assertEqual([], self.granted)
        self.answer_grant(ONE, OTHER)
        self.assertEqual([(job, 0)], self.granted)

    def test_a_contested_claim_is_given_up_unless_arbiters_grant_it_again(self):
        for grants_again in (True, False):
            with self.subTest(grants_again=grants_again):
                self.setUp()
                held = []
                self.claims.on_held_elsewhere = lambda job, holder, held=held: held.append(job)
                job = Job("j")
                self.claims.claim(job)
                self.advance()
                self.answer_grant(ONE, OTHER)
                self.claims.handle_foreign_fence(job)
                eventlet.sleep(0)
                self.sent.clear()
                self.claims.run_checks()
                self.clock.advance(HEDGE_MS * 3)
                self.claims.run_checks()
                eventlet.sleep(0)
                if grants_again:
                    self.answer_grant(ONE, OTHER)
                    self.advance(90)
                    self.assertTrue(self.find_sent(FenceJobs))
                else:
                    verdict = ClaimVerdict(self.last_claim_number(), ONE.address, ONE.incarnation)
                    self.claims.handle_claim_verdicts(ONE, ClaimVerdicts((verdict,), True))
                    self.advance()
                    self.assertEqual([job], held)
                    self.assertFalse(self.find_sent(FenceJobs))


class ClaimLogTest(ClaimsCase):
    """A task that ran twice, of which the logs do not say who had granted the job to whom."""

    def setUp(self):
        super().setUp()
        self.job = Job("j")
        self.claims.claim(self.job)

    def read_line(self, logs, message):
        (line,) = [line for line in logs.records if line.getMessage() == message]
        return dict(line.fields)

    def grant(self):
        self.advance()
        self.answer_grant(ONE, OTHER)
        self.clock.advance(70)

    def fence(self, after_ms, incarnation=1):
        """Have all executors set the fence; return its rank."""
        self.advance(after_ms)
        rank = self.find_sent(FenceJobs)[-1][1].rank
        for worker in WORKERS:
            peer = Peer(worker, incarnation)
            self.claims.handle_jobs_fenced(peer, JobsFenced(("j",), rank))
        self.assertEqual([(self.job, rank)], self.granted)
        return rank

    def test_a_claim_names_the_arbiters_that_have_granted_it(self):
        self.assertEqual(-1, dict(self.claims.describe(self.job))["grant_age_ms"])
        self.grant()
        expected = {
            "claim": self.last_claim_number(),
            "granted_how": "arbiters",
            "granted_by": f"{ONE.address},{OTHER.address}",
            "claim_rank": 0,
            "grant_age_ms": 70,
        }
        self.assertEqual(expected, dict(self.claims.describe(self.job)))
        self.assertEqual((), self.claims.describe(Job("j", 2)))
        self.claims.release(self.job)
        self.assertEqual((), self.claims.describe(self.job))

    def test_a_fence_names_the_executors_with_their_incarnations(self):
        with self.assertLogs("geraniumspool.job_claims", "INFO") as logs:
            rank = self.fence(600, 0xAB)
        line = self.read_line(logs, "claim granted late")
        self.assertEqual(("fence", rank), (line["granted_how"], line["claim_rank"]))
        self.assertEqual("tcp://w0/ab,tcp://w1/ab", line["granted_by"])

    def test_a_fence_at_once_has_a_line_as_well(self):
        self.claims.release(self.job)
        self.peers = []
        self.claims.update_members()
        self.claims.claim(self.job)
        with self.assertLogs("geraniumspool.job_claims", "INFO") as logs:
            rank = self.fence(STEP_MS)
        self.assertEqual(rank, self.read_line(logs, "claim granted by fence")["claim_rank"])

    def test_a_line_names_a_few_executors_only(self):
        claim = self.claims._open["j"]
        claim.fenced_by = {f"w{number}" for number in range(100)}
        claim.record_grant(GRANTED_BY_FENCE, self.clock.now())
        names = dict(self.claims.describe(self.job))["granted_by"].split(",")
        self.assertEqual(MAX_LOGGED_GRANTERS, len(names))

    def test_a_lost_claim_says_why_and_how_it_had_been_granted(self):
        claimed = Claim(1, "j", 1_000.0, 9)
        number = self.claims._open["j"].number
        verdict = ClaimVerdicts((ClaimVerdict(number, ONE.address, 1),), True)
        losses = {
            "fenced": lambda: self.claims.handle_claim_jobs(ONE, ClaimJobs((claimed,), (), 1)),
            "held_elsewhere": lambda: self.claims.handle_claim_verdicts(OTHER, verdict),
        }
        for reason, lose in losses.items():
            with self.subTest(reason):
                self.setUp()
                self.grant()
                with self.assertLogs("geraniumspool.job_claims", "INFO") as logs:
                    lose()
                line = self.read_line(logs, "claim lost")
                self.assertEqual((reason, ONE.address), (line["reason"], line["holder"]))
                arbiter = OTHER.address if reason == "held_elsewhere" else ""
                self.assertEqual((arbiter, 70), (line["arbiter"], line["grant_age_ms"]))
                self.assertEqual(f"{ONE.address},{OTHER.address}", line["granted_by"])

    def test_a_claim_without_contact_says_how_it_had_been_granted(self):
        self.grant()
        self.peers = [peer._replace(confirmed_ms=0.0) for peer in self.peers]
        self.claims.update_members()
        with self.assertLogs("geraniumspool.job_claims", "INFO") as logs:
            self.advance(CLAIM_CONTACT_MS)
        line = self.read_line(logs, "contact with arbiters lost")
        self.assertEqual("arbiters", line["granted_how"])
        self.assertEqual("no_contact", self.read_line(logs, "claim lost")["reason"])

    def test_claims_requested_again_name_a_few_jobs(self):
        for number in range(20):
            self.claims.claim(Job(f"j{number}"))
        self.advance()
        for number in range(1, 22):
            self.answer_grant(ONE, OTHER, number=number)
        with self.assertLogs("geraniumspool.job_claims", "INFO") as logs:
            self.claims.renew_grants("executor_new")
        line = self.read_line(logs, "claims requested again")
        self.assertEqual(21, line["jobs"])
        self.assertEqual(["j", *(f"j{n}" for n in range(9))], line["first_jobs"].split(","))


class LateFenceAnswerTest(ClaimsCase):
    """Answers of executors to requests for a fence that the claim no longer relies on.

    An executor may have lost that fence since, or run the job for another dispatcher.
    """

    def setUp(self):
        super().setUp()
        self.held = []
        self.claims.on_held_elsewhere = lambda job, _holder: self.held.append(job)
        self.job = Job("j")
        self.claims.claim(self.job)
        self.advance(600)
        self.rank = self.find_sent(FenceJobs)[-1][1].rank
        self.answer_fence(self.rank)
        self.assertEqual([(self.job, self.rank)], self.granted)
        self.granted.clear()
        self.sent.clear()

    def answer_fence(self, rank):
        for number, worker in enumerate(WORKERS):
            self.claims.handle_jobs_fenced(Peer(worker, number + 1), JobsFenced(("j",), rank))

    def test_late_answers_do_not_grant_a_claim_that_is_requested_again(self):
        self.claims.renew_grants("executor_new")
        self.advance(600)
        self.answer_fence(self.rank)
        self.assertEqual([], self.granted)
        rank = self.find_sent(FenceJobs)[-1][1].rank
        self.assertGreater(rank, self.rank)
        self.answer_fence(rank)
        self.assertEqual([(self.job, rank)], self.granted)

    def test_late_answers_do_not_grant_a_claim_that_was_given_up(self):
        foreign = Claim(1, "j", 1_000.0, self.rank + 1)
        self.claims.handle_claim_jobs(ONE, ClaimJobs((foreign,), (), 1))
        self.assertEqual([self.job], self.held)
        self.answer_fence(self.rank)
        self.advance(600)
        self.answer_fence(self.rank)
        self.assertEqual([], self.granted)


class ReplacedExecutorTest(ClaimsCase):
    """An executor that is replaced by another process before the fence is complete.

    Its answer counts for the fences of the process that has sent it alone.
    """

    def setUp(self):
        super().setUp()
        self.job = Job("j")
        self.claims.claim(self.job)
        self.advance(600)
        self.first, self.last = (Peer(worker, 1) for worker in WORKERS)
        self.rank = self.find_rank()
        self.answer(self.first, self.rank)

    def find_rank(self):
        return self.find_sent(FenceJobs)[-1][1].rank

    def answer(self, executor, rank, job_ids=("j",)):
        self.claims.handle_jobs_fenced(executor, JobsFenced(job_ids, rank))

    def check_needs_new_answers(self):
        self.answer(self.last, self.rank)
        self.assertEqual([], self.granted)
        self.advance(2 * STEP_MS)
        rank = self.find_rank()
        self.assertGreater(rank, self.rank)
        self.answer(self.last, rank)
        self.assertEqual([], self.granted)
        self.answer(self.first._replace(incarnation=2), rank)
        self.assertEqual([(self.job, rank)], self.granted)

    def test_its_answer_does_not_count_once_the_next_process_reports(self):
        self.claims.handle_new_executor(self.first)
        self.claims.handle_new_executor(self.first._replace(incarnation=2))
        self.check_needs_new_answers()

    def test_its_answer_does_not_count_once_the_next_process_answers(self):
        self.answer(self.first._replace(incarnation=2), self.rank, ())
        self.check_needs_new_answers()

    def test_its_late_answer_does_not_count(self):
        self.advance()
        self.claims.handle_new_executor(self.first._replace(incarnation=2))
        self.answer(self.first, self.rank)
        self.check_needs_new_answers()

    def test_executors_that_have_answered_are_asked_again_until_the_fence_is_complete(self):
        """A process that is not heard otherwise may have replaced one of them."""
        self.sent.clear()
        self.advance(CHECK_PERIOD_MS + 2 * STEP_MS)
        asked = [peer.address for peer, _ in self.find_sent(FenceJobs)]
        self.assertEqual(1, asked.count(self.first.address))
        self.assertGreater(asked.count(self.last.address), 1)

    def test_other_answers_complete_the_fence(self):
        self.answer(self.last, self.rank)
        self.assertEqual([(self.job, self.rank)], self.granted)


class FormerArbiterTest(ClaimsCase):
    """An arbiter is restarted, and answers of its former incarnation arrive late.

    The current one has forgotten the grants, and may grant the job to another dispatcher.
    """

    current = ONE._replace(incarnation=2)

    def setUp(self):
        super().setUp()
        self.claims.claim(Job("j"))
        self.advance()

    def restart(self):
        self.peers[0] = ReachablePeer(self.current)
        self.claims.note_report(self.current)
        self.claims.update_members()

    def unlist(self):
        """Have it leave the list of members, which keeps it an arbiter for some time."""
        self.peers.pop(0)
        self.claims.note_report(self.current)
        self.claims.update_members()

    def test_a_late_grant_of_its_former_incarnation_does_not_count(self):
        for fault in (self.restart, self.unlist):
            with self.subTest(fault.__name__):
                self.setUp()
                fault()
                self.answer_grant(OTHER, ONE)
                self.assertEqual([], self.granted)

    def test_a_late_refusal_of_its_former_incarnation_does_not_take_a_grant_away(self):
        self.restart()
        self.answer_grant(self.current, OTHER)
        verdict = ClaimVerdict(self.last_claim_number(), "tcp://d", 1)
        self.claims.handle_claim_verdicts(ONE, ClaimVerdicts((verdict,), True))
        self.assertTrue(self.claims._open["j"].is_granted)

    def test_answers_of_the_current_incarnation_count(self):
        self.restart()
        self.answer_grant(OTHER, self.current)
        self.assertEqual([(Job("j"), 0)], self.granted)

    def test_its_first_answer_ends_grants_of_the_former_incarnation(self):
        """The answer may arrive before a report, and be about another job."""
        self.answer_grant(ONE)
        self.peers[0] = ReachablePeer(self.current)
        self.claims._peers[ONE.address] = self.peers[0]
        self.claims.handle_claim_verdicts(self.current, ClaimVerdicts((), True))
        self.answer_grant(OTHER)
        self.assertEqual([], self.granted)


class ContactTest(unittest.TestCase):
    """Since when a claim is without contact to its arbiters."""

    def setUp(self):
        arbiters = [[ME.address, ONE.address, OTHER.address]]
        self.claim = OpenClaim(Job("j"), arbiters, LONG_AGO_MS)
        self.claim.granted_by = {ME.address, ONE.address}
        self.now = 2 * LONG_AGO_MS

    def find_contact(self, **confirmed_ms):
        times = {peer.address: confirmed_ms.get(name, 0.0) for name, peer in PEERS.items()}
        self.claim.update_contact({ME.address: self.now} | times)
        return self.claim.contact_ms

    def test_a_quorum_must_have_confirmed_something(self):
        self.assertEqual(LONG_AGO_MS, self.find_contact())
        self.assertEqual(self.now - 5, self.find_contact(one=self.now - 5))

    def test_an_arbiter_that_has_not_recorded_the_claim_does_not_count(self):
        self.assertEqual(LONG_AGO_MS, self.find_contact(other=self.now))
        self.claim.unsure_grants_by = {OTHER.address}
        self.assertEqual(self.now, self.find_contact(other=self.now))

    def test_a_restarted_arbiter_does_not_count_until_it_has_recorded_the_claim(self):
        self.claim.forget_answer(ONE.address)
        self.assertEqual(LONG_AGO_MS, self.find_contact(one=self.now))

    def test_former_members_need_a_quorum_as_well(self):
        self.claim.arbiter_sets.append([OTHER.address])
        self.assertEqual(LONG_AGO_MS, self.find_contact(one=self.now))

    def test_a_fenced_claim_needs_no_contact_until_it_is_requested_again(self):
        """An executor that restarts made its holder give up a job held by a fence for long."""
        self.claim.is_fenced = True
        self.claim.discard_answers(self.now)
        self.assertEqual(self.now, self.claim.contact_ms)


class SilentExecutorTest(unittest.TestCase):
    """When a fence is complete though an executor has not answered for as long as leases last."""

    def is_complete(self, has_lost_members=False, **claim_fields):
        """Return whether a fence is complete that only the first of two executors has set."""
        clock = ManualClock()
        clock.advance(LONG_AGO_MS)
        fences = FenceRequests(clock, lambda _peer, _message: True, lambda: WORKERS)
        fences.has_lost_members = lambda: has_lost_members
        claim = OpenClaim(Job("j"), [[ME.address, ONE.address, OTHER.address]], clock.now())
        for name, value in claim_fields.items():
            setattr(claim, name, value)
        fences.request([claim])
        claim.fenced_by.add(WORKERS[0])
        for _ in range(int(RUNS_OVER_MS // STEP_MS) - 1):
            clock.advance(STEP_MS)
            fences.request([claim])
        self.assertFalse(fences.is_complete(claim))
        clock.advance(2 * STEP_MS)
        return fences.is_complete(claim)

    def test_an_executor_that_nobody_can_renew_is_not_waited_for(self):
        two = {ME.address, ONE.address}
        self.assertTrue(self.is_complete(granted_by=two))
        self.assertTrue(self.is_complete(unsure_grants_by=two, informed_grants_by=two))
        self.assertFalse(self.is_complete(unsure_grants_by=two, informed_grants_by={ME.address}))

    def test_it_is_waited_for_if_an_arbiter_may_have_forgotten_the_holder(self):
        """An arbiter that has just started knows no claim, whoever holds the job."""
        two = {ME.address, ONE.address}
        self.assertFalse(self.is_complete(unsure_grants_by=two))

    def test_it_is_waited_for_while_a_lost_member_may_run_the_job(self):
        """Arbiters that are not sure do not know the jobs of a partitioned former member."""
        two = {ME.address, ONE.address}
        unsure = {"unsure_grants_by": two, "informed_grants_by": two}
        self.assertFalse(self.is_complete(has_lost_members=True, **unsure))
        self.assertTrue(self.is_complete(has_lost_members=True, granted_by=two))

    def test_it_is_waited_for_if_another_dispatcher_had_fenced_the_job(self):
        """The other dispatcher may be partitioned from the arbiters, and renew its leases there."""
        two = {ME.address, ONE.address}
        self.assertFalse(self.is_complete(granted_by=two, has_replaced_fence=True))

    def test_it_is_waited_for_while_an_arbiter_names_a_holder(self):
        """However long it is silent: that holder may reach it and renew its lease there."""
        clock = ManualClock()
        clock.advance(LONG_AGO_MS)
        fences = FenceRequests(clock, lambda _peer, _message: True, lambda: WORKERS)
        claim = OpenClaim(Job("j"), [[ME.address, ONE.address, OTHER.address]], clock.now())
        claim.held_by[ONE.address] = OTHER
        fences.request([claim])
        claim.fenced_by.add(WORKERS[0])
        for _ in range(int(10 * RUNS_OVER_MS // STEP_MS)):
            clock.advance(STEP_MS)
            fences.request([claim])
        self.assertFalse(fences.is_complete(claim))
        ended_ms = clock.now()
        fences.find_ended_since = lambda _address: ended_ms
        self.assertFalse(fences.is_complete(claim))
        for _ in range(int(ORPHANS_OVER_MS // STEP_MS) + 1):
            clock.advance(STEP_MS)
            fences.request([claim])
        self.assertTrue(fences.is_complete(claim))
        fences.find_ended_since = lambda _address: None
        self.assertFalse(fences.is_complete(claim))
        claim.fenced_by.add(WORKERS[1])
        self.assertTrue(fences.is_complete(claim))


class StartOrderTest(unittest.TestCase):
    """Orders to executors to start runs of jobs whose claims were granted by a fence."""

    def test_a_start_order_states_the_age_of_the_first_grant_of_its_claim(self):
        world = DispatchWorld(1, 1)
        self.addCleanup(world.close)
        world.clock.advance(100)
        for number in range(2):
            world.dispatchers[0].submit(make_spec(f"j{number}", cpu=10_000, run_ms=500))
            world.clock.advance(20)
        world.clock.advance(700)
        first, second = [
            order.claim_age_ms
            for _, _, message in world.network.sent
            if isinstance(message, StartRuns)
            for order in message.orders
        ]
        # The second job is claimed at once, and placed when the first one has ended.
        self.assertEqual(0.0, first)
        self.assertTrue(460.0 <= second <= 500.0, second)

    def test_a_start_order_names_the_rank_of_the_fence_that_it_relies_on(self):
        world = DispatchWorld(2, 2, group_workers=1)
        self.addCleanup(world.close)
        for dispatcher in world.dispatchers:
            dispatcher.kill()
        world.dispatchers[:] = [
            SimulatedDispatcher(world, f"h{index}", incarnation=2) for index in range(2)
        ]
        world.clock.advance(100)
        world.network.sent.clear()
        world.dispatchers[0].submit(make_spec("j"))
        world.clock.advance(300)
        ranks = [
            order.fence_rank
            for _, _, message in world.network.sent
            if isinstance(message, StartRuns)
            for order in message.orders
        ]
        self.assertTrue(ranks and all(ranks), ranks)


class RenewedClaimTest(ClaimsCase):
    """A claim that is requested again while its runs go on, and messages that are lost.

    Arbiters that forget the former grant before they know of the new request give the job to
    another dispatcher.
    """

    def setUp(self):
        super().setUp()
        self.job = Job("j")
        self.claims.claim(self.job)
        self.advance()
        self.answer_grant(ONE, OTHER)
        self.arbiter = ClaimTable(self.clock, ONE.address, self.clock.now() - LONG_AGO_MS)
        self.arbiter.set_members({peer.address: "north" for peer in (ME, ONE, OTHER)})
        self.deliver()

    def deliver(self):
        """Have an arbiter apply what was sent to it, and nothing that was sent before."""
        for peer, message in self.find_sent(ClaimJobs):
            if peer == ONE:
                self.arbiter.apply_claim_jobs(ME, message)
        self.sent.clear()

    def find_holder(self, job_id="j"):
        """Return who holds a job that another dispatcher claims."""
        claim = Claim(1, job_id, 1_000.0)
        return self.arbiter.apply_claim_jobs(OTHER, ClaimJobs((claim,), (), 1))[0].holder

    def lose_sent(self):
        eventlet.sleep(0)
        self.sent.clear()

    def test_its_former_grant_lasts_until_arbiters_know_of_the_new_request(self):
        self.claims.renew_grants("executor_new")
        self.lose_sent()
        self.claims.claim(Job("k"))
        eventlet.sleep(0)
        self.deliver()
        self.assertEqual(ME.address, self.find_holder())

    def test_its_release_ends_the_former_grant(self):
        first = self.claims._open["j"].number
        self.claims.claim(Job("k"))
        self.claims.renew_grants("executor_new")
        self.lose_sent()
        self.claims.release(self.job)
        eventlet.sleep(0)
        released = [m.released for peer, m in self.find_sent(ClaimJobs) if peer == ONE]
        self.assertIn(first, released[-1])
        self.deliver()
        self.assertEqual("", self.find_holder())

    def test_the_release_of_a_claim_that_was_lost_is_told_to_its_arbiters(self):
        """Its answers were discarded, and with them who had been asked."""
        verdict = ClaimVerdict(self.claims._open["j"].number, OTHER.address, OTHER.incarnation)
        self.claims.handle_claim_verdicts(OTHER, ClaimVerdicts((verdict,), True))
        self.claims.release(self.job)
        eventlet.sleep(0)
        self.deliver()
        self.assertEqual("", self.find_holder())


if __name__ == "__main__":
    unittest.main()
