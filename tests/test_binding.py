"""Tests of the bindings of idempotency keys."""

import unittest

import eventlet

from geraniumspool.binding import LEASE_MS, LEASE_REUSE_MS, Bindings, BindingUnavailable
from geraniumspool.clock import ManualClock
from geraniumspool.errors import StoreUnavailable, StoreUnknown
from geraniumspool.store import MemoryStore


class FaultyStore:
    """A store whose next answers are faults, before or after the write."""

    def __init__(self, store):
        """Start without faults."""
        self._store = store
        self.swap_fault = None
        self.written = True
        self.get_fault = None

    def swap(self, *arguments):
        """Write, unless told not to, and lose the answer."""
        if self.swap_fault is None:
            return self._store.swap(*arguments)
        if self.written:
            self._store.swap(*arguments)
        raise self.swap_fault

    def get(self, key):
        """Read, unless told not to."""
        if self.get_fault is not None:
            raise self.get_fault
        return self._store.get(key)

    def grant_lease(self, ttl_ms):
        """Pass on."""
        return self._store.grant_lease(ttl_ms)


class BindingTest(unittest.TestCase):
    """A key is bound to one ticket, whatever is lost."""

    def setUp(self):
        """Start with an empty store and two entries."""
        self.clock = ManualClock()
        self.memory = MemoryStore(self.clock)
        self.store = FaultyStore(self.memory)
        self.one = Bindings(self.store, self.clock)
        self.two = Bindings(self.memory, self.clock)

    def test_first_wins(self):
        """Later calls get the first ticket; keys of teams are apart."""
        self.assertEqual(self.one.bind("t", "k", "A"), "A")
        self.assertEqual(self.two.bind("t", "k", "B"), "A")
        self.assertEqual(self.one.bind("t", "k2", "C"), "C")
        self.assertEqual(self.one.bind("t2", "k", "D"), "D")
        self.assertEqual(self.one.bind("tk", "", "E"), "E")

    def test_race(self):
        """All of many callers at once get one ticket."""
        bindings = [Bindings(self.memory, self.clock) for _ in range(10)]
        tasks = [
            eventlet.spawn(binding.bind, "t", "k", f"ticket-{number}")
            for number, binding in enumerate(bindings)
        ]
        self.clock.settle()
        self.assertEqual(len({task.wait() for task in tasks}), 1)

    def test_answer_lost(self):
        """A write with a lost answer is read back."""
        self.store.swap_fault = StoreUnknown()
        self.assertEqual(self.one.bind("t", "k", "A"), "A")
        self.two.bind("t", "k2", "B")
        self.assertEqual(self.one.bind("t", "k2", "C"), "B")

    def test_lost_and_unclear(self):
        """Where the read tells nothing either, no ticket is given out."""
        for written, get_fault in (
            (False, None),
            (True, StoreUnknown()),
            (True, StoreUnavailable()),
        ):
            with self.subTest(written=written, get_fault=get_fault):
                self.store.swap_fault = StoreUnknown()
                self.store.written, self.store.get_fault = written, get_fault
                with self.assertRaises(BindingUnavailable) as caught:
                    self.one.bind("t", f"k{written}{get_fault}", "A")
                self.assertGreater(caught.exception.retry_after_ms, 0)

    def test_down(self):
        """A store that refuses binds nothing; once it is back the key is free."""
        self.memory.down = True
        with self.assertRaises(BindingUnavailable):
            self.one.bind("t", "k", "A")
        self.memory.down = False
        self.assertEqual(self.two.bind("t", "k", "B"), "B")

    def test_lease_lost(self):
        """A lease that lapsed in the store is replaced, not used for ever."""
        self.one.bind("t", "k", "A")
        self.memory.lapse_leases()
        for _ in range(2):
            try:
                ticket = self.one.bind("t", "k2", "B")
            except BindingUnavailable:
                continue
            self.assertEqual(ticket, "B")
            return
        self.fail("the lapsed lease is still used")

    def test_lease_unknown(self):
        """A lease whose grant got no answer is no binding that may exist."""
        self.memory.lose_answers = 1
        self.memory.down = False
        try:
            ticket = self.one.bind("t", "k", "A")
        except BindingUnavailable:
            ticket = self.one.bind("t", "k", "A")
        self.assertEqual(ticket, "A")

    def test_lease(self):
        """Bindings share a lease, live long enough, and end."""
        self.one.bind("t", "k", "A")
        grants = self.memory.calls["grant"]
        self.clock.advance(LEASE_REUSE_MS - 1)
        self.one.bind("t", "late", "B")
        self.assertEqual(self.memory.calls["grant"], grants)
        self.clock.advance(1)
        self.one.bind("t", "next", "C")
        self.assertEqual(self.memory.calls["grant"], grants + 1)
        self.clock.advance(LEASE_MS - LEASE_REUSE_MS - 2)
        self.assertEqual(self.one.bind("t", "late", "D"), "B")
        self.clock.advance(LEASE_REUSE_MS)
        self.assertEqual(self.one.bind("t", "k", "E"), "E")
