"""Tests of the entries' keys in the store."""

import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.memory_store import MemoryStore
from geraniumspool.messages import Member
from geraniumspool.registrar import Registrar, discover_entries
from geraniumspool.roster import Roster


class RegistrarTest(unittest.TestCase):
    """Leased keys, with faults of the store."""

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

    def set_down(self, down):
        self.store.down = down

    def lose_answer(self):
        self.store.lose_answers = 1

    def refuse(self):
        self.store.refuse_leases = True

    def test_faults(self):
        """Each case: a fault, whether registered with it, and how it is mended."""
        cases = (
            ("none", lambda: None, True, lambda: None),
            ("store down", lambda: self.set_down(True), False, lambda: self.set_down(False)),
            ("lost answer", self.lose_answer, False, lambda: None),
            (
                "leases refused",
                self.refuse,
                False,
                lambda: setattr(self.store, "refuse_leases", False),
            ),
        )
        for name, break_store, registered, mend in cases:
            with self.subTest(name):
                self.setUp()
                break_store()
                self.registrar.refresh()
                self.assertEqual(self.registrar.registered, registered)
                mend()
                self.registrar.refresh()
                self.assertTrue(self.registrar.registered)
                self.assertEqual(set(discover_entries(self.store)), {self.me, self.other})
                self.assertEqual(self.roster.entries(), [self.other])

    def test_outage_keeps_what_is_known(self):
        self.registrar.refresh()
        self.store.down = True
        self.clock.advance(3_600_000)
        self.registrar.refresh()
        self.assertEqual(self.roster.entries(), [self.other])

    def test_lapsed_lease_is_replaced_and_the_key_written_again(self):
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

    def test_malformed_key_is_passed_over(self):
        self.store.swap("entries/broken", 0, b"{")
        self.assertEqual(discover_entries(self.store), (self.other,))
