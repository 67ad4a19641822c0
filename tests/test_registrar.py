"""Tests of the registration of entries in the store."""

import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.memory_store import MemoryStore
from geraniumspool.messages import Member
from geraniumspool.registrar import Registrar, discover_entries
from geraniumspool.roster import Roster


class RegistrarTest(unittest.TestCase):
    """Registration and discovery, with faults of the store."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.roster = Roster(self.clock, "north")
        self.me = Member("tcp://127.0.0.1:1", 1, "north", "entry", "ready")
        self.other = Member("tcp://127.0.0.1:2", 2, "south", "entry", "ready")
        self.registrar = self.make(self.me, self.roster)
        self.make(self.other, Roster(self.clock, "south")).refresh()

    def make(self, member, roster):
        return Registrar(self.store, roster, self.clock, lambda: member, 10_000)

    def test_faults(self):
        """After any store fault ends, the next refresh registers the entry.

        Each case is the name of a fault, the store's attributes that cause it, and whether
        the entry counts as registered during it.
        """
        cases = (
            ("none", {}, True),
            ("store down", {"down": True}, False),
            ("lost answer", {"lose_answers": 1}, False),
            ("leases refused", {"refuse_leases": True}, False),
        )
        for name, fault, registered in cases:
            with self.subTest(name):
                self.setUp()
                self.set_store(fault)
                self.registrar.refresh()
                self.assertEqual(self.registrar.is_registered, registered)
                self.set_store(dict.fromkeys(fault, 0))
                self.registrar.refresh()
                self.assertTrue(self.registrar.is_registered)
                self.assertEqual(set(discover_entries(self.store)), {self.me, self.other})
                self.assertEqual(self.roster.entries(), [self.other])

    def set_store(self, values):
        for name, value in values.items():
            setattr(self.store, name, value)

    def test_known_entries_are_kept_in_an_outage(self):
        self.registrar.refresh()
        self.store.down = True
        self.clock.advance(3_600_000)
        self.registrar.refresh()
        self.assertEqual(self.roster.entries(), [self.other])

    def test_expired_lease_is_replaced_and_the_key_written_again(self):
        self.registrar.refresh()
        self.clock.advance(10_001)
        self.assertEqual(discover_entries(self.store), ())
        self.registrar.refresh()
        self.assertEqual(discover_entries(self.store), (self.me,))

    def test_key_of_an_earlier_incarnation_is_overwritten(self):
        self.registrar.refresh()
        successor = self.me._replace(incarnation=7)
        registrar = self.make(successor, Roster(self.clock, "north"))
        registrar.refresh()
        self.assertIn(successor, discover_entries(self.store))
        registrar.withdraw()
        self.assertEqual(discover_entries(self.store), (self.other,))

    def test_malformed_value_is_ignored(self):
        self.store.swap("entries/broken", 0, b"{")
        self.assertEqual(discover_entries(self.store), (self.other,))
