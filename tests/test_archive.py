"""Tests of the archives of homes that left."""

import unittest

from geraniumspool.archive import CODE_GONE, CODE_NEVER_SUBMITTED, Archives
from geraniumspool.messages import STATE_COMPLETE, Answer, Handover, Peer, Record
from geraniumspool.ticket import Keyring, Ticket

HOME = Peer("tcp://127.0.0.1:7000", 7)
OTHER = Peer("tcp://127.0.0.1:7000", 8)
KEYRING = Keyring(["a-key-for-the-tests"])
MARK = (1_000, 50)


def make_record(ticket):
    """Return the record of a completed job."""
    text = KEYRING.sign(ticket)
    return Record(text, b"digest", Answer(0, text, STATE_COMPLETE, results=(b"1",)))


class ArchivesTest(unittest.TestCase):
    """Answers to requests for jobs of a home that left."""

    def setUp(self):
        self.archives = Archives()
        self.kept = Ticket(HOME, "fitting", 2_000, 1)
        first = Handover(HOME, 0, *MARK, (make_record(self.kept),), False)
        self.last = Handover(HOME, 1, *MARK, (), True)
        self.archives.add_batch(first)

    def answer_code(self, home, issued_ms, job):
        return self.archives.answer_missing(Ticket(home, "fitting", issued_ms, job), "text").code

    def test_missing_records(self):
        cases = [
            ("newer than the watermark, archive whole", True, HOME, 2_000, 9, CODE_NEVER_SUBMITTED),
            ("just above it", True, HOME, 1_000, 51, CODE_NEVER_SUBMITTED),
            ("at the watermark", True, HOME, 1_000, 50, CODE_GONE),
            ("below the watermark", True, HOME, 999, 99, CODE_GONE),
            ("a batch is missing", False, HOME, 2_000, 9, CODE_GONE),
            ("another incarnation at the address", True, OTHER, 2_000, 9, CODE_GONE),
        ]
        for name, is_whole, home, issued_ms, job, expected in cases:
            with self.subTest(name):
                self.setUp()
                if is_whole:
                    self.archives.add_batch(self.last)
                self.assertEqual(self.answer_code(home, issued_ms, job), expected)

    def test_kept_answers(self):
        """Records are found in the archive, and repeated batches are ignored."""
        self.archives.add_batch(self.last)
        self.archives.add_batch(self.last)
        self.assertEqual(self.archives.find(self.kept).answer.results, (b"1",))
        self.assertIsNone(self.archives.find(self.kept._replace(home=OTHER)))
