"""Tests of the audit trail of configuration changes."""

import unittest

from geraniumspool.audit import (
    AUDIT_PREFIX,
    CONFIG_PREFIX,
    AuditTrail,
    ChangeEnvelope,
    decode_envelope,
    encode_envelope,
)
from geraniumspool.clock import ManualClock
from geraniumspool.errors import StoreError
from geraniumspool.memory_store import MemoryStore

KEY = "team/opticians"


class AuditTest(unittest.TestCase):
    """Records are written once, completed later if missing, and read newest first."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.audit = AuditTrail(self.store, self.clock)

    def change(self, number: int, previous: int) -> int:
        envelope = ChangeEnvelope(f"c{number}", "ann", "sale", 7, "weight: 2", previous, None)
        value = encode_envelope(envelope)
        return self.store.swap(CONFIG_PREFIX + KEY, previous, value).revision

    def count_stored_records(self) -> int:
        return len(self.store.list(AUDIT_PREFIX).pairs)

    def test_record_holds_the_change(self):
        revision = self.change(1, 0)
        record = self.audit.list(KEY).records[0]
        expected = (KEY, revision, "ann", 7, "sale", "c1", 0, None, "weight: 2")
        self.assertEqual(expected, record)

    def test_missing_record_is_written_once_by_any_reader(self):
        self.change(1, 0)
        self.assertEqual(0, self.count_stored_records())
        for trail in (self.audit, AuditTrail(self.store, self.clock), self.audit):
            self.assertEqual(1, len(trail.list(KEY).records))
            self.assertEqual(1, self.count_stored_records())

    def test_lost_answer_to_the_write_of_a_record(self):
        self.change(1, 0)
        self.store.lose_answers = 1
        with self.assertRaises(StoreError):
            self.audit.record_latest(KEY)
        self.audit.record_latest(KEY)
        self.assertEqual(1, self.count_stored_records())

    def test_newest_first_and_limited(self):
        revision = 0
        for number in range(12):
            revision = self.change(number, revision)
            self.audit.record_latest(KEY)
        records = self.audit.list(KEY, 3).records
        self.assertEqual(["c11", "c10", "c9"], [record.change_id for record in records])
        self.assertEqual(revision, records[0].revision)
        self.assertEqual((), self.audit.list(KEY, -1).records)
        self.assertEqual((), self.audit.list("team/optic").records)

    def test_outage_returns_cached_records(self):
        self.change(1, 0)
        self.assertTrue(self.audit.list(KEY).fresh)
        self.store.down = True
        history = self.audit.list(KEY)
        self.assertEqual((1, False), (len(history.records), history.fresh))
        self.assertEqual(((), False), AuditTrail(self.store, self.clock).list(KEY))

    def test_values_that_are_not_envelopes(self):
        for value in (b"", b"{}", b"[]", b"\xff", b'{"change_id": 1}', b"weight: 2"):
            with self.subTest(value):
                self.assertIsNone(decode_envelope(value))
