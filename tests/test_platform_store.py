"""Contract and fault tests of the HTTP client for the platform's store."""

import unittest

import eventlet

from geraniumspool.clock import SystemClock
from geraniumspool.contracts import Change
from geraniumspool.errors import CompactedRevision, StoreError, StoreUnavailable, StoreUnknown
from geraniumspool.platform.store import KeyValueStore
from tests.platform_standin import StoreStandin
from tests.small import serve
from tests.test_store import HISTORY_LIMIT, StoreContract, next_changes

TIMEOUT_MS = 300.0


class PlatformStoreTest(StoreContract, unittest.TestCase):
    """The store contract, with the client against a fake store over loopback."""

    refused_write = StoreUnavailable

    def open(self):
        self.standin = StoreStandin(self.clock, HISTORY_LIMIT)
        self.backing = self.standin.store
        self.store = KeyValueStore(
            serve(self, self.standin), SystemClock(), self.counters, TIMEOUT_MS
        )

    def test_watch_is_woken_and_costs_one_call(self):
        """A pending watch call returns when a key is written, and fails if the store is down."""
        watch = self.store.watch("p/", 1)
        for number in range(3):
            waiting = eventlet.spawn(next_changes, watch, 1)
            eventlet.sleep(0.05)
            written = self.store.swap(f"p/{number}", 0, b"x")
            self.assertEqual(waiting.wait(), [Change(f"p/{number}", b"x", written.revision)])
        self.backing.down = True
        with self.assertRaises(StoreUnavailable):
            next_changes(watch, 1)

    def test_compaction(self):
        for number in range(HISTORY_LIMIT + 1):
            self.store.swap(f"p/{number}", 0, b"x")
        with self.assertRaises(CompactedRevision):
            next_changes(self.store.watch("p/", 1), 1)
        changes = next_changes(self.store.watch("p/", 2), HISTORY_LIMIT)
        self.assertEqual([change.revision for change in changes], list(range(3, 11)))
        self.backing.compact()
        with self.assertRaises(CompactedRevision):
            next_changes(self.store.watch("p/", 9), 1)

    def test_calls_are_counted(self):
        self.store.swap("a", 0, b"1")
        self.store.swap("a", 0, b"1")
        self.store.get("a")
        self.store.get("b")
        counts = self.counters.snapshot()
        self.assertEqual(1, counts["store_calls{kind=swap,outcome=200}"])
        self.assertEqual(1, counts["store_calls{kind=swap,outcome=412}"])
        self.assertEqual(1, counts["store_calls{kind=get,outcome=404}"])

    def test_faults(self):
        absent, old, new = None, b"old", b"new"
        busy, many = {"forced": 503}, {"forced": 429}
        lose, hang = {"lose": 1}, {"hang": True}
        rows = [
            ("get", busy, StoreUnavailable, old),
            ("list", many, StoreUnavailable, old),
            ("watch", busy, StoreUnavailable, old),
            ("swap", busy, StoreUnavailable, old),
            ("swap", many, StoreUnavailable, old),
            ("delete", busy, StoreUnavailable, old),
            ("grant", many, StoreUnavailable, old),
            ("keepalive", busy, StoreUnavailable, old),
            ("get", lose, StoreUnavailable, old),
            ("watch", lose, StoreUnavailable, old),
            ("swap", lose, StoreUnknown, new),
            ("delete", lose, StoreUnknown, absent),
            ("grant", lose, StoreUnknown, old),
            ("keepalive", lose, StoreUnknown, old),
            ("get", hang, StoreUnavailable, old),
            ("swap", hang, StoreUnknown, old),
        ]
        for name, faults, expected_error, value in rows:
            with self.subTest(call=name, **faults):
                self.restart()
                self.store.swap("k", 0, b"old")
                lease = self.store.grant_lease(3_000)
                calls = {
                    "get": lambda: self.store.get("k"),
                    "list": lambda: self.store.list(""),
                    "watch": lambda: next(self.store.watch("", 1)),
                    "swap": lambda: self.store.swap("k", 2, b"new"),
                    "delete": lambda: self.store.delete("k", 2),
                    "grant": lambda: self.store.grant_lease(3_000),
                    "keepalive": lambda lease=lease: self.store.keep_alive(lease),
                }
                for fault, setting in faults.items():
                    setattr(self.standin, fault, setting)
                with self.assertRaises(StoreError) as raised:
                    calls[name]()
                self.assertIs(expected_error, type(raised.exception))
                self.standin.forced, self.standin.lose, self.standin.hang = None, 0, False
                self.assertEqual(value, self.value_of("k"))

    def test_a_refused_connection_means_that_nothing_was_written(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        store = KeyValueStore(address, SystemClock(), self.counters, TIMEOUT_MS)
        with self.assertRaises(StoreUnavailable):
            store.swap("a", 0, b"1")

    def test_malformed_answers(self):
        self.standin.answer = lambda *_: (200, {"unexpected": 1})
        with self.assertRaises(StoreUnavailable):
            self.store.list("")
        with self.assertRaises(StoreUnknown):
            self.store.swap("a", 0, b"1")
