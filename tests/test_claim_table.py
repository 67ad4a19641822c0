"""Tests of which claims an arbiter grants, and when it knows every earlier claim."""

import itertools
import logging
import unittest

from geraniumspool.claim_messages import Claim, ClaimJobs, OpenClaims, RelayedClaims
from geraniumspool.claim_table import (
    ARBITER_COUNT,
    MAX_LOGGED_CLAIMS,
    USUAL_CLAIM_MS,
    ClaimTable,
    choose_arbiters,
)
from geraniumspool.clock import ManualClock
from geraniumspool.messages import Peer
from geraniumspool.released_claims import MAX_INCARNATIONS, MAX_NUMBERS, ReleasedClaims
from geraniumspool.run_leases import (
    CLAIM_CONTACT_MS,
    CLAIMS_LAPSED_MS,
    CLOCK_DRIFT,
    RUNS_OVER_MS,
)
from geraniumspool.wire_versions import VERSION_EXTENSIBLE, make_incarnation

ME = "tcp://a"
ONE, OTHER = Peer("tcp://b", 1), Peer("tcp://c", 1)
MEMBERS = {ME: "north", ONE.address: "south", OTHER.address: "east"}
# Age of a process whose former incarnation has no runs left.
LONG_AGO_MS = 60_000.0
# Time within which all runs of a claimed job end.
LEFT_MS = 1_000.0
# Interval between the reports of a dispatcher.
REPORT_MS = 100.0
JOB = "j"
BELOW_FIELDS = ("holder", "lowest_open", "claims")


def claim(number=1, job_id=JOB, rank=0):
    return Claim(number, job_id, LEFT_MS, rank)


class TableCase(unittest.TestCase):
    """An arbiter and two other dispatchers that claim jobs."""

    age_ms = LONG_AGO_MS

    def setUp(self):
        self.clock = ManualClock()
        self.table = ClaimTable(self.clock, ME, self.clock.now() - self.age_ms)
        self.table.set_members(MEMBERS)

    def send_open_claims(
        self, peer, *claims, upto=99, age_ms=LONG_AGO_MS, is_settled=True, clean=()
    ):
        return self.table.apply_open_claims(
            peer, OpenClaims(claims, upto, age_ms, is_settled, clean)
        )

    def send_claims(self, peer, *claims, released=(), oldest=1):
        return self.table.apply_claim_jobs(peer, ClaimJobs(claims, released, oldest))


class UnusualGrantTest(TableCase):
    """A task that ran twice, of which the logs do not say how its arbiters came to grant it."""

    def setUp(self):
        super().setUp()
        self.send_open_claims(ONE)
        self.send_open_claims(OTHER)
        self.assertTrue(self.table.is_settled)

    def collect(self, action):
        """Return the messages and fields that an action logs."""
        with self.assertLogs("geraniumspool.claim_table", "INFO") as logs:
            logging.getLogger("geraniumspool.claim_table").info("begin", extra={"fields": ()})
            action()
        return [(line.getMessage(), dict(line.fields)) for line in logs.records[1:]]

    def test_a_grant_of_another_holder_that_a_fence_replaces_is_logged(self):
        self.send_claims(ONE, claim(4))
        self.clock.advance(30)
        ((message, fields),) = self.collect(lambda: self.send_claims(OTHER, claim(7, rank=5)))
        self.assertEqual("grant replaced", message)
        expected = {
            "job": JOB,
            "holder": OTHER.address,
            "number": 7,
            "rank": 5,
            "former_holder": ONE.address,
            "former_number": 4,
            "former_rank": 0,
            "former_age_ms": 30,
            "reason": "rank",
        }
        self.assertEqual(expected, fields)

    def test_an_expired_grant_of_another_holder_that_is_replaced_is_logged(self):
        self.send_claims(ONE, claim())
        self.send_open_claims(ONE._replace(incarnation=2))
        self.clock.advance(RUNS_OVER_MS)
        self.table._last_removal_ms = self.clock.now()
        ((message, fields),) = self.collect(lambda: self.send_claims(OTHER, claim()))
        self.assertEqual(("grant replaced", "not_in_force"), (message, fields["reason"]))

    def test_a_claim_that_arrives_after_its_release_is_logged(self):
        """It arrives over a replaced connection, or through an executor."""
        relayed = RelayedClaims(ONE.address, ONE.incarnation, (claim(3, rank=2),), ())
        releases = {
            "named": {"released": (3,), "oldest": 1},
            "lowest open": {"oldest": 4},
        }
        arrivals = {
            "directly": lambda: self.send_claims(ONE, claim(3, rank=2)),
            "relayed": lambda: self.table.apply_relayed_claims(relayed),
        }
        for release, arrival in itertools.product(releases, arrivals):
            with self.subTest(release=release, arrival=arrival):
                self.setUp()
                self.send_claims(ONE, **releases[release])
                self.send_claims(OTHER, claim(9))
                ((message, fields),) = self.collect(arrivals[arrival])
                self.assertEqual("released claims ignored", message)
                expected = {
                    "holder": ONE.address,
                    "claims": 1,
                    "numbers": "3",
                    "jobs": JOB,
                    "ranks": "2",
                }
                self.assertEqual(expected, fields)

    def test_a_claim_whose_release_was_relayed_is_logged(self):
        self.table.apply_relayed_claims(RelayedClaims(ONE.address, ONE.incarnation, (), (3,)))
        ((message, _),) = self.collect(lambda: self.send_claims(ONE, claim(3)))
        self.assertEqual("released claims ignored", message)

    def test_claims_below_the_lowest_open_one_are_logged_together(self):
        claims = [claim(number, f"j{number}") for number in range(1, 31)]
        self.send_claims(ONE, *claims)
        ((message, fields),) = self.collect(lambda: self.send_claims(ONE, oldest=21))
        self.assertEqual("claims below lowest open one released", message)
        self.assertEqual((ONE.address, 21, 20), tuple(fields[name] for name in BELOW_FIELDS))
        self.assertEqual([f"j{n}" for n in range(1, 11)], fields["jobs"].split(","))
        self.assertEqual(MAX_LOGGED_CLAIMS, len(fields["numbers"].split(",")))
        self.assertEqual(10, len(self.table))

    def test_ordinary_grants_and_releases_are_not_logged(self):
        def pass_through():
            self.send_claims(ONE, claim(1), claim(2, "k"))
            self.send_claims(ONE, claim(2, "k"), oldest=1)
            self.send_claims(ONE, claim(3, "k"), released=(1,), oldest=3)
            self.send_claims(ONE, claim(4, "k"), released=(3,), oldest=4)
            self.send_claims(ONE, released=(4,), oldest=5)
            self.send_claims(OTHER, claim(1), claim(2, "k"))

        self.assertEqual([], self.collect(pass_through))


class ReleasedClaimsTest(unittest.TestCase):
    """Which claims an arbiter knows to have been released."""

    def setUp(self):
        self.released = ReleasedClaims()

    def are_released(self, *numbers, holder=ONE):
        """Return for each number of a dispatcher's claims whether it is known to be released."""
        open_claims = self.released.list_open(holder, map(claim, numbers))
        return [number not in {each.number for each in open_claims} for number in numbers]

    def test_numbers_are_forgotten_beyond_the_limit(self):
        self.released.add(ONE, range(10, 11 + MAX_NUMBERS))
        self.assertEqual([False, True], self.are_released(10, 11))

    def test_numbers_below_the_lowest_open_one_are_not_kept_one_by_one(self):
        self.released.add(ONE, (3, 5, 9), oldest=6)
        self.released.add(ONE, (2,), oldest=4)
        self.assertEqual([True, True, False, True], self.are_released(2, 5, 6, 9))
        self.assertEqual([9], list(self.released._find_or_add(ONE)._numbers))

    def test_incarnations_are_told_apart_and_forgotten_beyond_the_limit(self):
        lives = [ONE._replace(incarnation=number) for number in range(1, MAX_INCARNATIONS + 2)]
        for peer in lives:
            self.released.add(peer, (peer.incarnation,))
        self.assertEqual([False], self.are_released(1, holder=lives[0]))
        self.assertEqual([False, True], self.are_released(1, 2, holder=lives[1]))


class GrantTest(TableCase):
    """A job is granted to one dispatcher at a time."""

    def setUp(self):
        super().setUp()
        self.send_open_claims(ONE)
        self.send_open_claims(OTHER)

    def test_a_held_job_is_not_granted_to_another_dispatcher(self):
        self.assertEqual("", self.send_claims(ONE, claim())[0].holder)
        verdict = self.send_claims(OTHER, claim(7))[0]
        self.assertEqual((7, *ONE), (verdict.number, verdict.holder, verdict.holder_life))

    def test_a_repeated_claim_is_granted_again(self):
        self.assertEqual(self.send_claims(ONE, claim()), self.send_claims(ONE, claim()))

    def test_a_released_job_is_granted_to_another_dispatcher(self):
        for message_fields in ({"released": (1,)}, {"oldest": 2}):
            with self.subTest(message_fields):
                self.setUp()
                self.send_claims(ONE, claim())
                self.send_claims(ONE, **message_fields)
                self.assertEqual("", self.send_claims(OTHER, claim())[0].holder)

    def test_a_release_of_an_earlier_claim_keeps_the_current_grant(self):
        self.send_claims(ONE, claim(1))
        self.send_claims(ONE, claim(2), oldest=1)
        self.send_claims(ONE, released=(1,))
        self.assertEqual(ONE.address, self.send_claims(OTHER, claim())[0].holder)

    def test_a_claim_with_a_fence_of_higher_rank_replaces_a_grant(self):
        self.send_claims(ONE, claim())
        self.assertEqual("", self.send_claims(OTHER, claim(rank=5))[0].holder)
        self.assertEqual(OTHER.address, self.send_claims(ONE, claim(rank=4))[0].holder)
        self.assertEqual("", self.send_claims(ONE, claim(rank=6))[0].holder)

    def test_a_grant_expires_once_runs_of_a_restarted_holder_have_ended(self):
        self.send_claims(ONE, claim())
        self.send_open_claims(ONE._replace(incarnation=2))
        self.clock.advance(RUNS_OVER_MS - 10)
        self.assertEqual(ONE.address, self.send_claims(OTHER, claim())[0].holder)
        self.clock.advance(20)
        self.assertEqual("", self.send_claims(OTHER, claim())[0].holder)

    def test_a_grant_expires_once_all_runs_of_the_job_must_have_ended(self):
        self.send_claims(ONE, claim())
        self.clock.advance(LEFT_MS + RUNS_OVER_MS)
        self.assertEqual(ONE.address, self.send_claims(OTHER, claim())[0].holder)
        self.clock.advance(LEFT_MS)
        self.assertEqual("", self.send_claims(OTHER, claim())[0].holder)

    def test_expired_grants_are_removed(self):
        for number in range(1, 50):
            self.send_claims(ONE, claim(number, f"j{number}"))
        self.clock.advance(2 * (LEFT_MS + RUNS_OVER_MS))
        self.send_claims(OTHER, claim(1, "k"))
        self.assertEqual(1, len(self.table))

    def test_grants_survive_a_late_message_of_a_former_incarnation(self):
        current = ONE._replace(incarnation=2)
        self.send_open_claims(current, claim())
        self.send_claims(ONE)
        self.send_open_claims(current, claim())
        self.clock.advance(RUNS_OVER_MS + 10)
        self.assertEqual(current.address, self.send_claims(OTHER, claim())[0].holder)


class LapsedClaimTest(TableCase):
    """A holder that is out of contact gives up its claims, and arbiters grant the jobs again."""

    left_ms = 60_000.0

    def setUp(self):
        super().setUp()
        self.holder = Peer(ONE.address, make_incarnation(1))
        self.send_open_claims(self.holder)
        self.send_open_claims(OTHER)

    def find_holder(self, rank=0, holder=None, reports=False):
        """Return who holds a job after its holder may have given it up.

        :param rank: rank of the holder's fence
        :param reports: whether the holder goes on reporting
        """
        holder = holder or self.holder
        self.send_claims(holder, Claim(1, JOB, self.left_ms, rank))
        for _ in range(int(CLAIMS_LAPSED_MS // REPORT_MS) + 1):
            self.clock.advance(REPORT_MS)
            if reports:
                self.table.note_report(holder)
        return self.send_claims(OTHER, claim())[0].holder

    def test_a_claim_of_a_silent_dispatcher_lapses(self):
        self.assertEqual("", self.find_holder())

    def test_reports_keep_claims_in_force(self):
        self.assertEqual(ONE.address, self.find_holder(reports=True))

    def test_a_late_message_of_a_former_incarnation_does_not_make_claims_lapse(self):
        self.send_claims(self.holder, Claim(1, JOB, self.left_ms))
        for _ in range(int(CLAIMS_LAPSED_MS // REPORT_MS) + 1):
            self.clock.advance(REPORT_MS)
            self.table.note_report(self.holder)
        self.table.note_incarnation(Peer(ONE.address, make_incarnation(7)))
        self.table.note_incarnation(self.holder)
        self.assertEqual(ONE.address, self.send_claims(OTHER, claim())[0].holder)

    def test_they_do_not_lapse_while_a_late_message_has_made_a_former_incarnation_current(self):
        for rank in (0, 7):
            with self.subTest(rank=rank):
                self.setUp()
                self.find_holder(rank, reports=True)
                self.send_claims(Peer(ONE.address, make_incarnation(7)), oldest=1)
                self.assertEqual(ONE.address, self.send_claims(OTHER, claim())[0].holder)

    def test_they_lapse_once_the_current_incarnation_is_silent_as_well(self):
        self.find_holder(reports=True)
        self.send_claims(Peer(ONE.address, make_incarnation(7)), oldest=1)
        self.clock.advance(CLAIMS_LAPSED_MS)
        self.assertEqual("", self.send_claims(OTHER, claim())[0].holder)

    def test_a_known_former_incarnation_does_not_limit_the_grants_of_the_current_one(self):
        """The current one may be out of contact, and give up its claims later."""
        self.send_claims(Peer(ONE.address, make_incarnation(7)), oldest=1)
        self.send_open_claims(self.holder)
        self.send_claims(self.holder, Claim(1, JOB, self.left_ms, 7))
        self.send_claims(Peer(ONE.address, make_incarnation(7)), oldest=1)
        self.clock.advance(RUNS_OVER_MS + 10)
        self.assertEqual(ONE.address, self.send_claims(OTHER, claim())[0].holder)

    def test_a_claim_by_a_fence_does_not_lapse(self):
        """Its holder may be out of contact with all arbiters."""
        self.assertEqual(ONE.address, self.find_holder(rank=7))

    def test_claims_of_builds_that_do_not_give_them_up_do_not_lapse(self):
        former = Peer(ONE.address, make_incarnation(2, VERSION_EXTENSIBLE))
        self.assertEqual(ONE.address, self.find_holder(holder=former))

    def test_it_holds_until_runs_of_the_holder_must_be_over(self):
        self.send_claims(self.holder, Claim(1, JOB, self.left_ms))
        self.clock.advance(CLAIM_CONTACT_MS + RUNS_OVER_MS)
        self.assertEqual(ONE.address, self.send_claims(OTHER, claim())[0].holder)


class SettledTest(TableCase):
    """When a restarted arbiter may mark its answers as sure."""

    age_ms = 0.0

    def is_sure(self):
        return self.send_claims(OTHER, claim(99, "k"))[0].is_sure

    def test_it_is_not_sure_while_runs_from_before_its_restart_may_go_on(self):
        self.send_open_claims(ONE)
        self.send_open_claims(OTHER)
        self.clock.advance(RUNS_OVER_MS - 10)
        self.assertFalse(self.is_sure())
        self.clock.advance(20)
        self.assertTrue(self.is_sure())

    def test_it_is_not_sure_until_all_dispatchers_have_sent_their_open_claims(self):
        self.send_open_claims(ONE)
        self.clock.advance(10 * RUNS_OVER_MS)
        self.assertFalse(self.is_sure())
        self.send_open_claims(OTHER)
        self.assertTrue(self.is_sure())

    def test_a_silent_dispatcher_has_given_up_its_claims_after_some_time(self):
        self.table.lapsing_members = {OTHER.address}
        self.send_open_claims(ONE)
        self.clock.advance(CLAIM_CONTACT_MS + RUNS_OVER_MS)
        self.assertFalse(self.is_sure())
        self.clock.advance(CLAIMS_LAPSED_MS - CLAIM_CONTACT_MS - RUNS_OVER_MS)
        self.assertTrue(self.is_sure())

    def test_it_is_not_sure_while_another_dispatcher_has_just_started(self):
        self.send_open_claims(ONE, age_ms=-RUNS_OVER_MS)
        self.send_open_claims(OTHER)
        self.clock.advance(RUNS_OVER_MS + 10)
        self.assertFalse(self.is_sure())
        self.clock.advance(RUNS_OVER_MS)
        self.assertTrue(self.is_sure())

    def test_it_is_not_sure_while_a_member_that_left_without_notice_may_run_jobs(self):
        """That one may only be partitioned, with a grant that this arbiter has forgotten."""
        self.send_open_claims(ONE)
        self.table.set_members({ME: "north", ONE.address: "south"})
        self.clock.advance(CLAIM_CONTACT_MS + RUNS_OVER_MS)
        self.assertFalse(self.table.is_settled)
        self.clock.advance(CLAIMS_LAPSED_MS - CLAIM_CONTACT_MS - RUNS_OVER_MS)
        self.assertTrue(self.table.is_settled)

    def test_it_is_not_sure_while_another_arbiter_knows_of_such_a_member(self):
        self.send_open_claims(ONE)
        self.table.apply_open_claims(OTHER, OpenClaims((), 0, LONG_AGO_MS, True, (), True))
        self.clock.advance(CLAIM_CONTACT_MS + RUNS_OVER_MS)
        self.assertFalse(self.table.is_settled)
        self.send_open_claims(OTHER)
        self.assertTrue(self.table.is_settled)

    def test_it_is_sure_at_once_if_all_settled_dispatchers_saw_it_exit_cleanly(self):
        self.send_open_claims(ONE, clean=(ME,))
        self.send_open_claims(OTHER, clean=())
        self.assertFalse(self.is_sure())
        self.send_open_claims(OTHER, clean=(ME,))
        self.assertTrue(self.is_sure())

    def test_clean_exits_reported_by_unsettled_dispatchers_do_not_count(self):
        self.send_open_claims(ONE, clean=(ME,), is_settled=False)
        self.send_open_claims(OTHER, clean=(ME,), is_settled=False)
        self.assertFalse(self.is_sure())

    def test_a_clean_exit_counts_for_the_next_incarnation_only(self):
        self.table.note_clean_exit(ONE)
        self.assertEqual((ONE.address,), self.table.clean_exits)
        self.table.note_incarnation(ONE._replace(incarnation=2))
        self.assertEqual((ONE.address,), self.table.clean_exits)
        self.table.note_incarnation(ONE._replace(incarnation=3))
        self.assertEqual((), self.table.clean_exits)

    def test_a_late_clean_exit_does_not_count_for_an_incarnation_after_the_next_one(self):
        """The one in between may have been killed, with runs left."""
        for incarnation in (1, 2, 3):
            self.table.note_incarnation(ONE._replace(incarnation=incarnation))
        self.table.note_clean_exit(ONE)
        self.table.note_incarnation(ONE._replace(incarnation=3))
        self.assertEqual((), self.table.clean_exits)


class ArbitersTest(unittest.TestCase):
    """Which dispatchers are the arbiters of a job."""

    def test_arbiters_are_in_different_domains(self):
        members = {f"tcp://{number}": f"d{number % 3}" for number in range(30)}
        for number in range(50):
            arbiters = choose_arbiters(f"j{number}", members)
            self.assertEqual(ARBITER_COUNT, len({members[address] for address in arbiters}))

    def test_fewer_domains_than_arbiters_still_give_three_arbiters(self):
        members = {f"tcp://{number}": f"d{number % 2}" for number in range(8)}
        arbiters = choose_arbiters(JOB, members)
        self.assertEqual(ARBITER_COUNT, len(set(arbiters)))


class FormerMembersTest(unittest.TestCase):
    """Dispatchers that have left the list of members while their grants may still hold.

    An arbiter that forgets them too early grants a job that one of them still runs.
    """

    members = {f"tcp://{number}": f"d{number}" for number in range(8)}
    lost = {f"tcp://x{number}": f"x{number}" for number in range(60)}
    longest_ms = USUAL_CLAIM_MS * (1 + CLOCK_DRIFT) + RUNS_OVER_MS

    def setUp(self):
        self.clock = ManualClock()
        self.table = ClaimTable(self.clock, "tcp://0", self.clock.now() - LONG_AGO_MS)
        self.job_id = next(
            f"j{n}"
            for n in range(99)
            if "tcp://0" in choose_arbiters(f"j{n}", self.members)
            and "tcp://0" not in choose_arbiters(f"j{n}", self.members | self.lost)
        )

    def lose_members(self, members=members, lost=lost, announced=()):
        """Have members leave after all have sent their open claims."""
        self.table.set_members(members | lost)
        for address in members | lost:
            self.table.apply_open_claims(Peer(address, 1), OpenClaims((), 0, LONG_AGO_MS, True, ()))
        self.table.set_members(members)
        for address in announced:
            self.table.note_clean_exit(Peer(address, 1))

    def is_sure_after(self, time_ms, left_ms=LEFT_MS):
        """Return whether a grant counts towards a quorum after some more time."""
        self.clock.advance(time_ms)
        self.table.forget_former_members()
        message = ClaimJobs((Claim(1, self.job_id, left_ms),), (), 1)
        return self.table.apply_claim_jobs(Peer("tcp://1", 1), message)[0].is_sure

    def test_members_that_announced_their_exit_are_kept_until_their_runs_are_over(self):
        self.lose_members(announced=self.lost)
        self.assertFalse(self.is_sure_after(RUNS_OVER_MS - 10))
        self.assertTrue(self.is_sure_after(20))

    def test_members_without_announced_exit_are_kept_until_their_jobs_are_over(self):
        """They may only be partitioned, and hold their leases at executors."""
        for announced in ((), list(self.lost)[1:]):
            with self.subTest(announced=len(announced)):
                self.setUp()
                self.lose_members(announced=announced)
                self.assertFalse(self.is_sure_after(self.longest_ms - 10))
                self.assertTrue(self.is_sure_after(20))

    def test_an_announced_exit_of_an_earlier_incarnation_does_not_count(self):
        self.table.set_members(self.members | self.lost)
        for address in self.lost:
            self.table.note_clean_exit(Peer(address, 1))
            self.table.note_incarnation(Peer(address, 2))
        self.table.set_members(self.members)
        for address in self.members:
            self.table.apply_open_claims(Peer(address, 1), OpenClaims((), 0, LONG_AGO_MS, True, ()))
        self.assertFalse(self.is_sure_after(self.longest_ms - 10))
        self.assertTrue(self.is_sure_after(20))

    def test_an_announced_exit_counts_after_the_next_incarnation_has_started(self):
        """After a clean restart, two incarnations are heard before the former one is forgotten."""
        self.lose_members(announced=self.lost)
        for address, incarnation in itertools.product(self.lost, (2, 3)):
            self.table.note_incarnation(Peer(address, incarnation))
        self.assertFalse(self.table.keeps_unannounced)
        self.assertFalse(self.is_sure_after(RUNS_OVER_MS - 10))
        self.assertTrue(self.is_sure_after(20))

    def test_an_exit_that_is_announced_before_leaving_the_list_counts(self):
        self.table.set_members(self.members | self.lost)
        for address in self.lost:
            self.table.note_clean_exit(Peer(address, 1))
        self.table.set_members(self.members)
        self.assertFalse(self.table.keeps_unannounced)

    def test_members_are_kept_for_as_long_as_the_longest_claim_may_last(self):
        self.lose_members()
        self.is_sure_after(0, left_ms=2 * USUAL_CLAIM_MS)
        self.assertFalse(self.is_sure_after(self.longest_ms + USUAL_CLAIM_MS - 10))
        self.assertTrue(self.is_sure_after(USUAL_CLAIM_MS))

    def test_each_group_of_former_members_is_kept_for_its_own_time(self):
        """Members that announce their exit later must not shorten the time of the first ones."""
        self.lose_members()
        self.table.set_members(self.members | {"tcp://y": "y"})
        self.table.note_clean_exit(Peer("tcp://y", 1))
        self.table.set_members(self.members)
        self.assertFalse(self.is_sure_after(self.longest_ms - 10))
        self.assertTrue(self.is_sure_after(20))

    def test_one_remaining_arbiter_of_three_is_not_sure(self):
        """The two others may have granted the job without asking it."""
        members, lost = {"tcp://0": "d0"}, {"tcp://1": "d1", "tcp://2": "d2"}
        self.lose_members(members, lost)
        self.assertFalse(self.is_sure_after(self.longest_ms - 10))
        self.assertTrue(self.is_sure_after(20))

    def test_one_remaining_arbiter_of_two_is_sure(self):
        """Both must have granted each claim, so it knows them all."""
        self.lose_members({"tcp://0": "d0"}, {"tcp://1": "d1"})
        self.assertTrue(self.is_sure_after(0))

    def test_forgetting_members_is_logged_and_counted(self):
        self.lose_members(lost={"tcp://x": "x", "tcp://y": "y"}, announced=["tcp://y"])
        self.clock.advance(self.longest_ms - 10)
        with self.assertNoLogs("geraniumspool.claim_table", "INFO"):
            self.assertEqual(0, self.table.forget_former_members())
        self.clock.advance(20)
        with self.assertLogs("geraniumspool.claim_table", "INFO") as logs:
            self.assertEqual(2, self.table.forget_former_members())
        fields = dict(logs.records[0].fields)
        self.assertEqual("former members forgotten", logs.records[0].message)
        self.assertEqual(
            {
                "members": "tcp://x,tcp://y",
                "unannounced": 1,
                "kept_ms": round(self.longest_ms + 10),
            },
            fields,
        )


if __name__ == "__main__":
    unittest.main()
