"""Tests of the membership of dispatchers and executors."""

import unittest

from geraniumspool.contracts import KeyValue, MinionIncarnation
from geraniumspool.registrations import (
    DISPATCHER_PREFIX,
    UNLISTED_GRACE_MS,
    WORKER_PREFIX,
    DispatcherRecord,
    MemberDirectory,
    WorkerRecord,
    decode_record,
    encode_record,
)
from geraniumspool.rooms import Resources

LIFE = MinionIncarnation("i-1", "fitting", "127.0.0.1:1", Resources(1), ("a", "r1"))
WORKER = WorkerRecord("north", LIFE)
DISPATCHER = DispatcherRecord("north", 2.0)


class DirectoryTest(unittest.TestCase):
    """Members that register, disappear, return, or have an invalid record."""

    def setUp(self):
        self.directory = MemberDirectory()
        self.pairs = (
            KeyValue(WORKER_PREFIX + "w", encode_record(WORKER), 1),
            KeyValue(DISPATCHER_PREFIX + "h", encode_record(DISPATCHER), 2),
        )
        self.directory.apply_listing(self.pairs, 0.0)

    def test_members_are_known_by_their_records(self):
        self.assertEqual({"w": WORKER}, self.directory.workers)
        self.assertEqual({"h": DISPATCHER}, self.directory.dispatchers)
        self.assertEqual(("fitting", "r1"), (WORKER.service, WORKER.rack))

    def test_an_unlisted_member_is_kept_for_a_while(self):
        self.directory.apply_listing((), 100.0)
        self.assertEqual(set(), self.directory.listed)
        self.assertFalse(self.directory.remove_expired(100.0 + UNLISTED_GRACE_MS))
        self.assertEqual({"w"}, self.directory.workers.keys())
        self.assertTrue(self.directory.remove_expired(101.0 + UNLISTED_GRACE_MS))
        self.assertEqual({}, self.directory.workers)
        self.assertEqual({}, self.directory.dispatchers)

    def test_a_member_that_is_listed_again_in_time_stays(self):
        self.directory.apply_change(WORKER_PREFIX + "w", None, 100.0)
        self.directory.apply_change(WORKER_PREFIX + "w", encode_record(WORKER), 2_000.0)
        self.assertFalse(self.directory.remove_expired(9_000.0))
        self.assertEqual({"w"}, self.directory.listed)

    def test_invalid_records_are_not_decoded(self):
        rows = [b"", b"\xff", b"[]", b'{"domain":7}', b'{"life":{"service":3}}']
        for value in rows:
            with self.subTest(value=value), self.assertLogs("geraniumspool", "WARNING"):
                self.assertIsNone(decode_record(value, WorkerRecord))

    def test_an_invalid_record_neither_adds_nor_changes_a_dispatcher(self):
        rows = [b"", b'{"capacity":0}', b'{"capacity":-1}', b'{"capacity":1e300}', b'{"domain":[]}']
        for value in rows:
            with self.subTest(value=value), self.assertLogs("geraniumspool", "WARNING"):
                for address in ("h", "x"):
                    self.directory.apply_change(DISPATCHER_PREFIX + address, value, 0.0)
            self.assertEqual({"h": DISPATCHER}, self.directory.dispatchers)

    def test_an_invalid_record_leaves_a_worker_unchanged(self):
        with self.assertLogs("geraniumspool", "WARNING"):
            self.directory.apply_change(WORKER_PREFIX + "w", b"?", 0.0)
        self.assertEqual({"w": WORKER}, self.directory.workers)

    def test_keys_of_an_unknown_kind_are_ignored(self):
        self.directory.apply_change("geraniumspool/members/others/x", b"{}", 0.0)
        self.assertEqual({"w"}, self.directory.workers.keys())
        self.assertEqual({"h"}, self.directory.dispatchers.keys())


if __name__ == "__main__":
    unittest.main()
