"""Tests of the roster."""

import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.members import peer_of
from geraniumspool.messages import Load, Member, Peer
from geraniumspool.roster import Roster
from geraniumspool.sighting import ReportOrigin

STATES = ("starting", "ready", "ejected", "leaving", "left", "dead")
ENTRY = Member("tcp://127.0.0.1:1", 1, "north", "entry", "ready")
OTHER_ENTRY = Member("tcp://127.0.0.1:2", 2, "north", "entry", "ready")
FAR_ENTRY = Member("tcp://127.0.0.1:3", 3, "south", "entry", "ready")


def make_agent(state="ready", incarnation=100, domain="north", address="tcp://127.0.0.1:9"):
    return Member(address, incarnation, domain, "agent", state, "fitting")


class RosterTest(unittest.TestCase):
    """Precedence of reports, expiry, versions and queries."""

    def setUp(self):
        self.clock = ManualClock()
        self.roster = Roster(self.clock, "north", retention_ms=60_000)
        self.changes = []
        self.roster.subscribe(self.changes.append)

    def state(self, incarnation=100):
        return self.roster.find_incarnation(incarnation).state

    def check_transitions(self, allowed, take):
        for old in STATES:
            for new in STATES:
                with self.subTest(old=old, new=new):
                    self.setUp()
                    self.roster.apply_indirect(make_agent(old))
                    changed = take(make_agent(new))
                    expected = new if new in allowed[old] else old
                    self.assertEqual(self.state(), expected)
                    self.assertEqual(changed, expected != old)
                    self.assertEqual(len(self.changes), 1 + changed)

    def test_states_move_forward_by_indirect_reports(self):
        allowed = {
            "starting": STATES,
            "ready": ("ejected", "leaving", "left", "dead"),
            "ejected": ("ready", "leaving", "left", "dead"),
            "leaving": ("left", "dead"),
            "left": (),
            "dead": ("left",),
        }
        self.check_transitions(allowed, lambda member: self.roster.apply_indirect(member))

    def test_direct_report_revives_dead_but_not_left(self):
        allowed = {
            "starting": STATES,
            "ready": ("ejected", "leaving", "left", "dead"),
            "ejected": ("ready", "leaving", "left", "dead"),
            "leaving": ("left", "dead"),
            "left": (),
            "dead": STATES,
        }
        self.check_transitions(allowed, lambda member: self.roster.apply_direct(member))

    def test_newer_version_may_move_state_back(self):
        """An agent becomes ready again after its minion left and returned."""
        cases = [
            ("leaving", 2, "ready", 3, "ready"),
            ("leaving", 3, "ready", 2, "leaving"),
            ("ready", 3, "leaving", 2, "ready"),
            ("left", 2, "ready", 3, "left"),
            ("dead", 2, "ready", 3, "dead"),
        ]
        for old, old_version, new, new_version, expected in cases:
            with self.subTest(old=old, new=new, versions=(old_version, new_version)):
                self.setUp()
                self.roster.apply_indirect(make_agent(old)._replace(version=old_version))
                self.roster.apply_indirect(make_agent(new)._replace(version=new_version))
                self.assertEqual(self.state(), expected)

    def test_new_incarnation_replaces_the_old_one(self):
        for old, expected in (("ready", "dead"), ("leaving", "dead"), ("left", "left")):
            with self.subTest(old=old):
                self.setUp()
                self.roster.apply_direct(make_agent(old))
                self.roster.apply_direct(make_agent(incarnation=101))
                self.assertEqual(self.state(100), expected)
                self.assertEqual(self.state(101), "ready")
                self.assertTrue(self.roster.is_gone(Peer("tcp://127.0.0.1:9", 100)))
                self.assertFalse(self.roster.is_gone(Peer("tcp://127.0.0.1:9", 102)))
                current = [member.incarnation for member in self.roster.agents("fitting")]
                self.assertEqual(current, [101])

    def test_replaced_incarnation_returns_only_by_direct_report(self):
        self.roster.apply_direct(make_agent(incarnation=100))
        self.roster.apply_direct(make_agent(incarnation=101))
        self.assertFalse(self.roster.apply_indirect(make_agent(incarnation=100), revive=True))
        self.assertFalse(
            self.roster.apply_relayed(make_agent(incarnation=100), peer_of(OTHER_ENTRY))
        )
        self.assertEqual((self.state(100), self.state(101)), ("dead", "ready"))
        self.roster.apply_direct(make_agent(incarnation=100))
        self.assertEqual((self.state(100), self.state(101)), ("ready", "dead"))

    def test_foreign_agents_are_dropped(self):
        """One of two living foreign agents is dropped; a local and a dead one stay."""
        local, *foreign = (
            Member(f"tcp://127.0.0.1:{port}", port, domain, "agent", state, "fitting")
            for port, domain, state in (
                (11, self.roster.domain, "ready"),
                (12, "far", "ready"),
                (13, "far", "ready"),
                (14, "far", "dead"),
            )
        )
        all_members = {local, *foreign}
        cases = (
            ("released", lambda: self.roster.drop_foreign([local.address, foreign[0].address])),
            ("not kept", lambda: self.roster.keep_foreign([peer_of(foreign[1])])),
        )
        for name, drop in cases:
            with self.subTest(name):
                self.setUp()
                for member in (local, *foreign):
                    self.roster.apply_indirect(member)
                drop()
                self.assertEqual(set(self.roster.members()), all_members - {foreign[0]})
                self.assertEqual(set(self.roster.agents("fitting")), {local, foreign[1]})
                self.assertFalse(self.roster.is_gone(peer_of(foreign[0])))

    def test_final_incarnation_replaces_nothing(self):
        self.roster.apply_direct(make_agent(incarnation=101))
        self.roster.apply_indirect(make_agent("left", incarnation=100))
        self.assertEqual((self.state(100), self.state(101)), ("left", "ready"))

    def test_direct_report_takes_precedence_over_relayed(self):
        source = peer_of(OTHER_ENTRY)
        cases = (("dead", "ready"), ("ejected", "ready"), ("leaving", "leaving"), ("left", "left"))
        for relayed, expected in cases:
            with self.subTest(relayed=relayed):
                self.setUp()
                self.roster.apply_direct(make_agent())
                self.roster.apply_relayed(make_agent(relayed), source)
                self.assertEqual(self.state(), expected)

    def test_dead_is_accepted_only_from_source(self):
        self.roster.apply_indirect(OTHER_ENTRY)
        self.roster.apply_indirect(ENTRY)
        self.roster.apply_relayed(make_agent(), peer_of(OTHER_ENTRY))
        self.roster.apply_relayed(make_agent("dead"), peer_of(ENTRY))
        self.assertEqual(self.state(), "ready")
        self.roster.apply_relayed(make_agent("dead"), peer_of(OTHER_ENTRY))
        self.assertEqual(self.state(), "dead")
        self.roster.apply_relayed(make_agent(), peer_of(OTHER_ENTRY))
        self.assertEqual(self.state(), "ready")

    def test_silence(self):
        """A member is declared dead after 10 s of silence, unless another process hears it.

        Each case: how the member became known, and its state after the timeout.
        """

        def claim():
            self.roster.apply_indirect(OTHER_ENTRY)
            self.roster.apply_direct(make_agent())
            self.clock.advance(1)
            self.roster.apply_relayed(make_agent(), peer_of(OTHER_ENTRY))

        def claim_and_hear():
            claim()
            self.roster.apply_direct(make_agent())

        def orphan():
            self.roster.apply_indirect(OTHER_ENTRY)
            self.roster.apply_relayed(make_agent(), peer_of(OTHER_ENTRY))
            self.roster.apply_indirect(OTHER_ENTRY._replace(state="dead"))

        def hear_foreign_agent():
            self.roster.apply_indirect(FAR_ENTRY)
            self.roster.apply_direct(make_agent(domain="south"))

        cases = (
            ("heard", lambda: self.roster.apply_direct(make_agent()), "dead"),
            ("observed", lambda: self.roster.apply_indirect(make_agent()), "ready"),
            ("relayed", lambda: self.roster.apply_relayed(make_agent(), peer_of(ENTRY)), "ready"),
            ("heard by another entry since", claim, "ready"),
            ("heard here after the other entry", claim_and_hear, "dead"),
            ("its entry died", orphan, "dead"),
            ("foreign agent whose domain has entries", hear_foreign_agent, "ready"),
            ("foreign agent", lambda: self.roster.apply_direct(make_agent(domain="south")), "dead"),
        )
        for name, prepare, expected in cases:
            with self.subTest(name):
                self.setUp()
                prepare()
                self.clock.advance(9_000)
                self.assertEqual(self.roster.expire_silent(10_000), [])
                self.clock.advance(1_001)
                dead = self.roster.expire_silent(10_000)
                self.assertEqual([m.state for m in dead], ["dead"] * (expected == "dead"))
                self.assertEqual(self.state(), expected)

    def test_relayed_members_expire_only_in_own_domain(self):
        self.roster.apply_relayed(make_agent(), peer_of(OTHER_ENTRY))
        self.roster.apply_relayed(
            make_agent("ready", 200, "south", "tcp://127.0.0.1:8"), peer_of(FAR_ENTRY)
        )
        self.clock.advance(3_600_000)
        self.roster.expire_silent(10_000, relayed_timeout_ms=100_000)
        self.assertEqual((self.state(100), self.state(200)), ("dead", "ready"))

    def test_load_is_no_membership_change(self):
        self.roster.apply_direct(make_agent())
        version = self.roster.version
        self.assertFalse(self.roster.apply_direct(make_agent()._replace(load=Load(8, 3))))
        self.assertTrue(self.roster.update_load("tcp://127.0.0.1:9", 100, Load(8, 2)))
        self.assertFalse(self.roster.update_load("tcp://127.0.0.1:9", 101, Load(8, 2)))
        self.assertEqual((self.roster.version, len(self.changes)), (version, 1))
        self.assertEqual(self.roster.agents("fitting", "north")[0].load, Load(8, 2))

    def test_changes_since_a_version(self):
        self.roster.apply_indirect(ENTRY)
        self.roster.apply_indirect(make_agent())
        version = self.roster.version
        self.assertEqual(self.roster.changes_since(version), ())
        self.roster.apply_indirect(OTHER_ENTRY)
        self.roster.apply_indirect(ENTRY._replace(state="leaving"))
        changed = [(m.incarnation, m.state) for m in self.roster.changes_since(version)]
        self.assertEqual(changed, [(2, "ready"), (1, "leaving")])
        for stale in (0, self.roster.version + 1):
            self.assertEqual(len(self.roster.changes_since(stale)), 3)

    def test_versions_before_forgotten_members_are_not_covered(self):
        self.roster.apply_indirect(ENTRY)
        version = self.roster.version
        self.roster.apply_indirect(make_agent("left")._replace(archive="tcp://127.0.0.1:8"))
        self.clock.advance(59_999)
        self.roster.forget_final()
        self.assertEqual(self.roster.find_incarnation(100).archive, "tcp://127.0.0.1:8")
        self.clock.advance(1)
        self.roster.forget_final()
        self.assertIsNone(self.roster.find_incarnation(100))
        self.assertFalse(self.roster.covers(version))
        self.assertTrue(self.roster.covers(self.roster.version))

    def test_queries_follow_the_states(self):
        self.roster.apply_indirect(ENTRY)
        self.roster.apply_indirect(FAR_ENTRY)
        self.roster.apply_indirect(make_agent())
        self.roster.apply_indirect(make_agent("ready", 200, "south", "tcp://127.0.0.1:8"))
        self.assertEqual(self.roster.domains(), ("north", "south"))
        self.assertEqual(len(self.roster.agents("fitting")), 2)
        self.assertEqual(self.roster.count(role="agent", domain="south"), 1)
        self.roster.apply_indirect(make_agent("ejected", 200, "south", "tcp://127.0.0.1:8"))
        self.roster.apply_indirect(FAR_ENTRY._replace(state="left"))
        self.assertEqual([m.incarnation for m in self.roster.agents("fitting")], [100])
        self.assertEqual(self.roster.entries(), [ENTRY])
        self.assertEqual(self.roster.origin(peer_of(ENTRY)), ReportOrigin())

    def test_newer_version_relayed_by_another_entry(self):
        """A relayed newer version of a member replaces the one that was heard directly."""
        source = peer_of(FAR_ENTRY)
        self.roster.apply_direct(FAR_ENTRY)
        old = make_agent("ejected", 1, "south")._replace(version=3)
        self.roster.apply_direct(old)
        for state, max_size in (("ready", 0.0), ("ready", 10.0)):
            newer = old._replace(state=state, max_size=max_size, version=old.version + 1)
            self.roster.apply_relayed(newer, source)
            self.assertEqual(self.roster.get(peer_of(old)), newer)
            old = newer


if __name__ == "__main__":
    unittest.main()
