"""Tests of binding idempotency keys to tickets."""

import contextlib
import unittest
from unittest import mock

import eventlet

from geraniumspool.binding import (
    CLOCK_SKEW_MS,
    LEASE_MS,
    LEASE_REUSE_MS,
    MAX_KEY_AGE_MS,
    MAX_KEY_AHEAD_MS,
    Bindings,
    BindingUnavailable,
    KeyExpired,
)
from geraniumspool.clock import ManualClock
from geraniumspool.errors import InvalidInput, StoreUnavailable, StoreUnknown
from geraniumspool.idempotency import IdempotencyKey, make_key, parse_key
from geraniumspool.memory_store import MemoryStore


class ClockBehind:
    """A clock whose wall time is behind by the greatest tolerated clock skew."""

    def __init__(self, clock):
        """Derive the time from another clock."""
        self.now = clock.now
        self.wall_ms = lambda: clock.wall_ms() - CLOCK_SKEW_MS


class BindingTest(unittest.TestCase):
    """A key is bound to at most one ticket, even if answers or leases are lost."""

    def setUp(self):
        """Start with an empty store and the bindings of two entries."""
        self.clock = ManualClock()
        self.memory = MemoryStore(self.clock)
        self.one = Bindings(self.memory, self.clock)
        self.two = Bindings(self.memory, self.clock)

    def key(self, text: str, age_ms: float = 0.0) -> IdempotencyKey:
        """Return a key whose timestamp is ``age_ms`` in the past."""
        return IdempotencyKey(text, int(self.clock.wall_ms() - age_ms))

    def test_key(self):
        """A key is a UUID of version 7 with a timestamp; any other text is refused."""
        text = make_key(1_700_000_000_123)
        self.assertEqual(parse_key(text.upper()), (text, 1_700_000_000_123))
        self.assertEqual(
            parse_key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").created_ms, 0x17F22E279B0
        )
        self.assertNotEqual(make_key(0), make_key(0))
        foreign = "c" * 36, "1ec9414c-232a-6b00-b3c8-9f6bdeced846", "{" + text + "}", "k" * 300
        for wrong in ("order-17", "", text[:-1], text.replace("-", ""), *foreign):
            with self.subTest(key=wrong), self.assertRaises(InvalidInput):
                parse_key(wrong)

    def test_age(self):
        """A key is accepted only while a binding as old as the key cannot have expired."""
        for age_ms in (-MAX_KEY_AHEAD_MS, 0.0, MAX_KEY_AGE_MS):
            with self.subTest(age_ms=age_ms):
                self.assertEqual(self.one.bind("t", self.key(f"{age_ms}", age_ms), "A"), "A")
        for age_ms, fault in (
            (MAX_KEY_AGE_MS + 1, KeyExpired),
            (LEASE_MS * 100, KeyExpired),
            (-MAX_KEY_AHEAD_MS - 1, InvalidInput),
        ):
            with self.subTest(age_ms=age_ms), self.assertRaises(fault):
                self.one.bind("t", self.key("k", age_ms), "A")
        shortest_ms = LEASE_MS - LEASE_REUSE_MS
        self.assertLess(MAX_KEY_AGE_MS + MAX_KEY_AHEAD_MS + CLOCK_SKEW_MS, shortest_ms)

    def test_worst_ages(self):
        """A key never gets a second ticket, whatever the age of lease or key and the clock skew."""
        two = Bindings(self.memory, ClockBehind(self.clock))
        for lease_age_ms in (0.0, LEASE_REUSE_MS - 1):
            for age_ms in (-MAX_KEY_AHEAD_MS, 0.0, MAX_KEY_AGE_MS):
                with self.subTest(lease_age_ms=lease_age_ms, key_age_ms=age_ms):
                    bindings = Bindings(self.memory, self.clock)
                    bindings.bind("t", self.key(make_key(0)), "lease")
                    self.clock.advance(lease_age_ms)
                    key = self.key(make_key(0), age_ms)
                    bindings.bind("t", key, "A")
                    for _ in range(100):
                        self.clock.advance(10_000)
                        with contextlib.suppress(KeyExpired, InvalidInput):
                            self.assertEqual(two.bind("t", key, "B"), "A")

    def test_pause(self):
        """A key that expires during a slow request to the store is refused."""
        for name in ("grant_lease", "swap"):
            with self.subTest(paused_before=name):
                key, call = self.key("k"), getattr(self.memory, name)
                self.two.bind("t", key, "A")

                def pause(*arguments, call=call):
                    self.clock.advance(LEASE_MS * 2)
                    return call(*arguments)

                with mock.patch.object(self.memory, name, pause), self.assertRaises(KeyExpired):
                    self.one.bind("t", key, "B")

    def test_lost_lease(self):
        """After the store lost a lease early, keys made before are refused and later ones bind."""
        key = self.key("k")
        self.two.bind("t", key, "A")
        self.one.bind("t", self.key("other"), "B")
        self.memory.lapse_leases()
        for _ in range(2):
            with self.assertRaises(KeyExpired):
                self.one.bind("t", key, "C")
        self.clock.advance(MAX_KEY_AHEAD_MS + CLOCK_SKEW_MS + 1)
        with self.assertRaises(KeyExpired):
            self.one.bind("t", key, "C")
        self.assertEqual(self.one.bind("t", self.key("new"), "D"), "D")

    def test_first_wins(self):
        """Later calls get the first ticket; keys of different teams are independent."""
        self.assertEqual(self.one.bind("t", self.key("k"), "A"), "A")
        self.assertEqual(self.two.bind("t", self.key("k"), "B"), "A")
        self.assertEqual(self.one.bind("t", self.key("k2"), "C"), "C")
        self.assertEqual(self.one.bind("t2", self.key("k"), "D"), "D")
        self.assertEqual(self.one.bind("tk", self.key(""), "E"), "E")

    def test_race(self):
        """Concurrent callers with the same key all get the same ticket."""
        bindings = [Bindings(self.memory, self.clock) for _ in range(10)]
        tasks = [
            eventlet.spawn(binding.bind, "t", self.key("k"), f"ticket-{number}")
            for number, binding in enumerate(bindings)
        ]
        self.clock.run_ready_threads()
        self.assertEqual(len({task.wait() for task in tasks}), 1)

    def test_answer_lost(self):
        """If the answer to a write is lost, the binding is read back."""
        self.memory.lose_answers = 1
        self.assertEqual(self.one.bind("t", self.key("k"), "A"), "A")
        self.two.bind("t", self.key("k2"), "B")
        self.memory.lose_answers = 1
        self.assertEqual(self.one.bind("t", self.key("k2"), "C"), "B")

    def test_answer_and_read_lost(self):
        """If reading back fails as well or finds nothing, no ticket is returned."""
        for written, get_fault in (
            (False, None),
            (True, StoreUnknown()),
            (True, StoreUnavailable()),
        ):
            with self.subTest(written=written, get_fault=get_fault):
                swap = self.fail_after(self.memory.swap if written else None, StoreUnknown())
                get = self.fail_after(None, get_fault) if get_fault else self.memory.get
                with (
                    mock.patch.multiple(self.memory, swap=swap, get=get),
                    self.assertRaises(BindingUnavailable) as caught,
                ):
                    self.one.bind("t", self.key(f"k{written}{get_fault}"), "A")
                self.assertGreater(caught.exception.retry_after_ms, 0)

    @staticmethod
    def fail_after(call, fault):
        """Return a function that runs ``call``, if there is one, and then raises ``fault``."""

        def fail(*arguments):
            if call:
                call(*arguments)
            raise fault

        return fail

    def test_down(self):
        """An unavailable store binds nothing, so the key is unbound once it is available again."""
        self.memory.down = True
        with self.assertRaises(BindingUnavailable):
            self.one.bind("t", self.key("k"), "A")
        self.memory.down = False
        self.assertEqual(self.two.bind("t", self.key("k"), "B"), "B")

    def test_lease_unknown(self):
        """If the answer to a lease grant is lost, no binding exists and a retry succeeds."""
        self.memory.lose_answers = 1
        self.memory.down = False
        try:
            ticket = self.one.bind("t", self.key("k"), "A")
        except BindingUnavailable:
            ticket = self.one.bind("t", self.key("k"), "A")
        self.assertEqual(ticket, "A")

    def test_lease(self):
        """Bindings share a lease, live for the guaranteed time, and then expire."""
        self.one.bind("t", self.key("k"), "A")
        grants = self.memory.calls["grant"]
        self.clock.advance(LEASE_REUSE_MS - 1)
        self.one.bind("t", self.key("late"), "B")
        self.assertEqual(self.memory.calls["grant"], grants)
        self.clock.advance(1)
        self.one.bind("t", self.key("next"), "C")
        self.assertEqual(self.memory.calls["grant"], grants + 1)
        self.clock.advance(LEASE_MS - LEASE_REUSE_MS - 2)
        self.assertEqual(self.one.bind("t", self.key("late"), "D"), "B")
        self.clock.advance(LEASE_REUSE_MS)
        self.assertEqual(self.one.bind("t", self.key("k"), "E"), "E")
