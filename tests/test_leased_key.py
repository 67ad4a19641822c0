"""Tests of the leased key and of the store watch, against the memory store."""

import unittest

import eventlet

from geraniumspool.clock import ManualClock
from geraniumspool.leased_key import LeasedKey
from geraniumspool.memory_store import MemoryStore
from geraniumspool.store_watch import StoreWatch

KEY = "workers/one"
TTL_MS = 5_000.0


class LeasedKeyTest(unittest.TestCase):
    """The key exists while its process runs and the store answers."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.key = self.make_key()

    def make_key(self, value=b"one"):
        key = LeasedKey(self.store, self.clock, KEY, value, TTL_MS)
        self.task = eventlet.spawn(key.run)
        self.addCleanup(self.task.kill)
        self.clock.advance(1)
        return key

    def value(self):
        found = self.store.get(KEY)
        return found.value if found else None

    def test_it_is_kept_until_its_process_ends(self):
        self.clock.advance(4 * TTL_MS)
        self.assertEqual(b"one", self.value())
        self.task.kill()
        self.clock.advance(TTL_MS)
        self.assertIsNone(self.value())

    def test_a_key_that_expired_in_an_outage_is_written_again_soon_after_it(self):
        self.store.down = True
        self.clock.advance(2 * TTL_MS)
        self.store.down = False
        self.store.lapse_leases()
        self.clock.advance(2_000)
        self.assertEqual(b"one", self.value())

    def test_a_key_of_an_earlier_process_is_read_and_overwritten(self):
        self.task.kill()
        key = LeasedKey(self.store, self.clock, KEY, b"two", TTL_MS)
        self.assertEqual(b"one", key.read())
        self.assertTrue(key.refresh())
        self.assertEqual(b"two", self.value())

    def test_a_key_of_an_earlier_process_is_overwritten_without_a_read(self):
        self.task.kill()
        self.make_key(b"two")
        self.assertEqual(b"two", self.value())

    def test_the_key_is_written_after_a_lost_answer(self):
        self.task.kill()
        self.store.lose_answers = 1
        self.make_key(b"two")
        self.clock.advance(1_000)
        self.assertEqual(b"two", self.value())

    def test_a_deleted_key_is_written_again_when_it_is_checked(self):
        self.clock.advance(TTL_MS + 1)
        self.store.delete(KEY, self.store.get(KEY).revision)
        self.key.check_exists()
        self.assertEqual(b"one", self.value())

    def test_another_value_replaces_the_first(self):
        self.key.update(b"two")
        self.assertEqual(b"two", self.value())
        self.clock.advance(3 * TTL_MS)
        self.assertEqual(b"two", self.value())

    def test_withdrawing_deletes_it(self):
        self.task.kill()
        self.key.withdraw()
        self.assertIsNone(self.value())


class StoreWatchTest(unittest.TestCase):
    """The watched keys are complete again after each store fault."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock, history_limit=4)
        self.seen = {}
        watch = StoreWatch(self.store, "p/", self.clock, self.replace_all, self.apply)
        task = eventlet.spawn(watch.run)
        self.addCleanup(task.kill)
        self.clock.advance(1)
        self.watch = watch

    def replace_all(self, snapshot):
        self.seen = {pair.key: pair.value for pair in snapshot.pairs}

    def apply(self, change):
        if change.value is None:
            self.seen.pop(change.key, None)
        else:
            self.seen[change.key] = change.value

    def test_changes_arrive(self):
        self.store.swap("p/a", 0, b"1")
        self.clock.advance(1)
        self.assertEqual({"p/a": b"1"}, self.seen)

    def test_changes_during_an_outage_arrive_soon_after_it(self):
        self.store.swap("p/a", 0, b"1")
        self.clock.advance(1)
        self.store.down = True
        self.clock.advance(5_000)
        self.assertFalse(self.watch.is_connected)
        self.assertEqual({"p/a": b"1"}, self.seen)
        self.store.down = False
        self.store.swap("p/b", 0, b"2")
        self.clock.advance(1_000)
        self.assertEqual({"p/a": b"1", "p/b": b"2"}, self.seen)

    def test_content_that_its_handlers_fail_on_does_not_end_the_watch(self):
        """One odd entry of another writer kept all later changes away."""

        def fail(content):
            self.watch._on_change = self.apply
            self.watch._on_snapshot = self.replace_all
            raise RecursionError

        self.watch._on_change = fail
        self.store.swap("p/odd", 0, b"1")
        self.store.swap("p/a", 0, b"1")
        self.clock.advance(1_000)
        self.assertEqual({"p/a": b"1"}, self.seen)
        self.watch._on_snapshot = fail
        self.store.down = True
        self.clock.advance(5_000)
        self.store.down = False
        self.clock.advance(1_000)
        self.store.swap("p/b", 0, b"2")
        self.clock.advance(1_000)
        self.assertEqual(b"2", self.seen["p/b"])

    def test_a_compacted_history_is_replaced_by_a_new_listing(self):
        self.store.down = True
        self.store.down = False
        for number in range(9):
            self.store.swap(f"p/{number}", 0, b"x")
        self.store.compact()
        self.clock.advance(1_000)
        self.assertEqual(9, len(self.seen))
