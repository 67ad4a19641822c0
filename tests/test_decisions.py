"""Tests of the decision log."""

import logging
import unittest

from geraniumspool import decisions
from geraniumspool.clock import ManualClock
from geraniumspool.decisions import Decision, DecisionLog, decode_decisions, encode_decisions
from geraniumspool.errors import MalformedMessage

LOGGER = logging.getLogger("geraniumspool.test_decisions")


def make_log(**limits):
    return DecisionLog(0xAB, ManualClock(5000.0), LOGGER, **limits)


class DecisionLogTest(unittest.TestCase):
    """Recording, limits, logging and encoding of decisions."""

    def test_record_and_query(self):
        log = make_log()
        first = log.record(decisions.JOB_ACCEPTED, "1f", wait_ms=1.5, queued=3)
        second = log.record(decisions.TASK_PLACED, "1f", worker="tcp://h:1")
        log.record(decisions.JOB_ACCEPTED, "2f")
        self.assertEqual((first, second), ("d-ab-1", "d-ab-2"))
        figures = (("wait_ms", 1.5), ("queued", 3))
        expected = Decision("d-ab-1", 5000, decisions.JOB_ACCEPTED, "1f", figures)
        self.assertEqual(log.get(first), expected)
        self.assertEqual([decision.id for decision in log.list_by_subject("1f")], [first, second])
        self.assertEqual(log.list_by_subject("nothing"), [])
        for unknown in ("d-ab-9", "d-ac-1", "d-ab-", "", "d-ab-1x"):
            with self.subTest(unknown=unknown):
                self.assertIsNone(log.get(unknown))

    def test_limit_of_all_decisions(self):
        log = make_log(max_decisions=10, max_per_subject=4)
        for number in range(100):
            log.record(decisions.TASK_PLACED, f"{number // 2:x}")
        self.assertEqual(len(log), 10)
        self.assertEqual(log.list_by_subject("0"), [])
        self.assertEqual(len(log.list_by_subject("31")), 2)
        self.assertEqual(len(log._numbers), 5)

    def test_limit_per_subject(self):
        log = make_log(max_decisions=10, max_per_subject=4)
        kept = log.record(decisions.JOB_ACCEPTED, "quiet")
        ids = [log.record(decisions.TASK_PLACED, "busy") for _ in range(50)]
        self.assertEqual([decision.id for decision in log.list_by_subject("busy")], ids[-4:])
        self.assertIsNone(log.get(ids[0]))
        self.assertIsNotNone(log.get(kept))
        self.assertEqual(len(log), 5)

    def test_limit_of_size(self):
        log = make_log()
        many = {f"figure{number}": "x" * 5000 for number in range(50)}
        decision = log.get(log.record(decisions.TASK_FAILED, "s" * 5000, **many))
        self.assertEqual(len(decision.figures), decisions.MAX_FIGURES)
        self.assertEqual(len(decision.figures[0][1]), decisions.MAX_TEXT_CHARS)
        self.assertEqual(log.list_by_subject("s" * 5000), [decision])

    def test_only_some_codes_are_logged(self):
        log = make_log()
        with self.assertLogs(LOGGER, logging.INFO) as logged:
            log.record(decisions.TASK_PLACED, "1f")
            log.record(decisions.WORKER_EJECTED, "tcp://h:1", failures=3)
        (record,) = logged.records
        self.assertEqual(record.getMessage(), decisions.WORKER_EJECTED)
        self.assertIn(("failures", 3), record.fields)

    def test_codec(self):
        log = make_log()
        log.record(
            decisions.JOB_FAILED, "1f", nan=float("nan"), big=2**70, yes=True, code="x", odd=None
        )
        log.record(decisions.JOB_EXPIRED, "1f")
        kept = log.list_by_subject("1f")
        self.assertEqual(decode_decisions(encode_decisions(kept)), kept)
        for data in (b"", b"{}", b'[{"id":1}]', b"\xff"):
            with self.subTest(data=data), self.assertRaises(MalformedMessage):
                decode_decisions(data)

    def test_parse_decision_id(self):
        for text, incarnation in (
            ("d-ab-1", 0xAB),
            ("d-ffffffffffffffff-12", 2**64 - 1),
            ("d-ab", None),
            ("d-AB-1", None),
            ("d-ab-1\n", None),
            ("AAAAd-ab-1", None),
        ):
            with self.subTest(text=text):
                self.assertEqual(decisions.parse_decision_id(text), incarnation)

    def test_every_code_is_explained(self):
        codes = {
            value
            for name, value in vars(decisions).items()
            if name.isupper() and isinstance(value, str)
        }
        self.assertEqual(codes, set(decisions.EXPLANATIONS))
        self.assertLessEqual(decisions.LOGGED_CODES, codes)
