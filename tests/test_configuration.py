"""Tests of the configuration in force, its watch, and operators' changes of it."""

import logging
import unittest
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from geraniumspool.audit import CONFIG_PREFIX, AuditTrail, ChangeEnvelope, encode_envelope
from geraniumspool.change_desk import ConfigurationChanges
from geraniumspool.clock import ManualClock
from geraniumspool.configuration import Configuration
from geraniumspool.configuration_watcher import WATCH_WAITING, WATCH_WATCHING, ConfigurationWatcher
from geraniumspool.contracts import KeyValue, Snapshot
from geraniumspool.counters import MemoryCounters
from geraniumspool.documents import DEFAULT_TEAM
from geraniumspool.errors import ChangeUnknown, DispatchError, InvalidInput, StaleRevision
from geraniumspool.memory_store import MemoryStore
from geraniumspool.messages import Document

KEY = "team/opticians"
OTHER = "team/phones"
STORED = CONFIG_PREFIX + KEY


def make_body(weight: float) -> bytes:
    """Return the body of a team's document."""
    return b"weight: %d" % weight


class EntryParts:
    """The configuration components of one entry, on a shared store."""

    def __init__(self, clock: ManualClock, store: MemoryStore):
        self.clock = clock
        self.store = store
        self.counters = MemoryCounters()
        self.configuration = Configuration(clock, self.counters)
        self.audit = AuditTrail(store, clock)
        self.changes: list[Document] = []
        self.configuration_changes = ConfigurationChanges(
            store, self.configuration, self.audit, clock, self.changes.extend
        )
        self.watcher = ConfigurationWatcher(store, self.configuration, clock, self.changes.extend)

    def propose(self, body: bytes | None, expected: int, change_id: str, key: str = KEY, who="ann"):
        """Propose a change as an operator; return its receipt."""
        return self.run(
            lambda: self.configuration_changes.apply_change(
                key, body, expected, change_id, who, "why"
            )
        )

    def run(self, call: Callable):
        """Run a blocking call while the clock advances by a minute; return its result."""
        done = Event()

        def call_and_report() -> None:
            try:
                done.send(call())
            except DispatchError as error:
                done.send_exception(error)

        eventlet.spawn(call_and_report)
        self.clock.advance(60_000)
        assert done.ready()
        return done.wait()

    def weight(self, key: str = KEY) -> float:
        return self.configuration.team(key.partition("/")[2]).weight


class ConfigurationTest(unittest.TestCase):
    """Revisions, rejected documents, and what has changed since a revision."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.counters = MemoryCounters()
        self.configuration = Configuration(ManualClock(), self.counters)

    def test_an_older_revision_never_replaces_a_newer_one(self):
        apply = self.configuration.apply
        steps = [
            (Document(KEY, 5, make_body(5)), True, 5),
            (Document(KEY, 5, make_body(6)), False, 5),
            (Document(KEY, 4, make_body(4)), False, 5),
            (Document(KEY, 4, b""), False, 5),
            (Document(KEY, 7, b"weight: none"), False, 5),
            (Document(KEY, 6, make_body(6)), True, 6),
            (Document(KEY, 8, b""), True, 1),
            (Document(KEY, 7, make_body(7)), False, 1),
            (Document(KEY, 9, make_body(9)), True, 9),
        ]
        for document, accepted, weight in steps:
            with self.subTest(document):
                self.assertEqual([document] if accepted else [], apply([document]))
                self.assertEqual(weight, self.configuration.team("opticians").weight)

    def test_rejection_is_kept_until_a_newer_valid_document(self):
        self.configuration.apply([Document(KEY, 5, make_body(5))])
        for _ in range(2):
            self.configuration.apply([Document(KEY, 7, b"weight: 1\nsize: 2")])
        self.configuration.apply([Document(KEY, 6, make_body(6))])
        findings = [(each.place, each.line, each.path) for each in self.configuration.findings]
        self.assertEqual([(KEY, 2, "size")], findings)
        self.assertEqual(6, self.configuration.revision)
        self.assertEqual(1, self.counters.get("config_documents", outcome="rejected"))
        self.configuration.apply([Document(KEY, 8, b"")])
        self.assertEqual((), self.configuration.findings)

    def test_since_does_not_split_a_revision(self):
        documents = [
            Document("team/a", 2, b"{}"),
            Document("team/b", 4, b""),
            Document("team/c", 4, b"{}"),
            Document("team/d", 6, b"{}"),
        ]
        self.configuration.apply(reversed(documents))
        cases = [
            (0, 10_000, documents),
            (0, 0, documents[:1]),
            (2, 0, documents[1:3]),
            (3, 60, documents[1:3]),
            (4, 0, documents[3:]),
            (6, 10_000, []),
        ]
        for revision, limit, expected in cases:
            with self.subTest(revision=revision, limit=limit):
                self.assertEqual(
                    tuple(expected), self.configuration.documents_after(revision, limit)
                )
        in_force = [document.key for document in self.configuration.documents()]
        self.assertEqual(["team/a", "team/c", "team/d"], in_force)

    def test_snapshot_of_an_older_store(self):
        """A missing key was deleted only if the store had it and was not rolled back."""
        cases = [
            ("missing is deleted", self.store_pair(KEY, 5), 9, DEFAULT_TEAM.weight),
            ("store went back", self.store_pair(KEY, 5), 4, 5),
            ("told of by another process", self.store_pair(KEY, 3), 9, 5),
            ("never seen in the store", None, 9, 5),
        ]
        for name, pair, revision, weight in cases:
            for other in ((), (self.store_pair(OTHER, 2),)):
                with self.subTest(name, other=other):
                    configuration = Configuration(ManualClock(), self.counters)
                    configuration.apply_stored([pair] if pair else [])
                    configuration.apply([Document(KEY, 5, make_body(5))])
                    for later in (revision, revision + 9):
                        snapshot = Snapshot(later, other)
                        configuration.apply_snapshot(snapshot, configuration.store_revision)
                        self.assertEqual(weight, configuration.team("opticians").weight)

    def test_older_document_in_a_newer_store(self):
        """A stored document older than the one in force shows that the store was rolled back."""
        configuration = Configuration(ManualClock(), self.counters)
        configuration.apply_stored([self.store_pair(KEY, 5), self.store_pair(OTHER, 6)])
        snapshot = Snapshot(20, (self.store_pair(OTHER, 2),))
        configuration.apply_snapshot(snapshot, configuration.store_revision)
        self.assertEqual(5, configuration.team("opticians").weight)

    @staticmethod
    def store_pair(key: str, revision: int) -> KeyValue:
        """Return a stored team document whose weight equals its revision."""
        envelope = ChangeEnvelope("c", "ann", "why", 0, make_body(revision).decode(), 0, None)
        return KeyValue(CONFIG_PREFIX + key, encode_envelope(envelope), revision)


class WatcherTest(unittest.TestCase):
    """The watch, with faults of the store."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.entry = EntryParts(self.clock, self.store)
        self.author = EntryParts(self.clock, self.store)
        task = eventlet.spawn(self.entry.watcher.run)
        self.addCleanup(task.kill)
        self.clock.run_ready_threads()

    def test_follows_changes(self):
        first = self.author.propose(make_body(2), 0, "c1")
        self.assertEqual(2, self.entry.weight())
        second = self.author.propose(None, first.revision, "c2")
        self.assertEqual(DEFAULT_TEAM.weight, self.entry.weight())
        expected = [(first.revision, b"weight: 2"), (second.revision, b"")]
        self.assertEqual(expected, [(each.revision, each.body) for each in self.entry.changes])

    def test_outage_keeps_what_is_in_force(self):
        self.author.propose(make_body(2), 0, "c1")
        self.store.down = True
        self.clock.run_ready_threads()
        self.assertEqual(WATCH_WAITING, self.entry.watcher.state)
        before = self.entry.watcher.last_contact_ms
        calls = self.store.calls.total()
        self.clock.advance(600_000)
        self.assertLess(self.store.calls.total() - calls, 150)
        self.assertEqual(before, self.entry.watcher.last_contact_ms)
        self.assertEqual(2, self.entry.weight())
        self.store.down = False
        self.clock.advance(5_000)
        self.assertEqual(WATCH_WATCHING, self.entry.watcher.state)
        self.assertGreater(self.entry.watcher.last_contact_ms, before)

    def test_deletion_and_compaction_in_an_outage(self):
        receipt = self.author.propose(make_body(2), 0, "c1")
        self.store.down = True
        self.clock.run_ready_threads()
        self.store.down = False
        self.store.delete(STORED, receipt.revision)
        self.store.compact()
        self.clock.advance(5_000)
        self.assertEqual(DEFAULT_TEAM.weight, self.entry.weight())
        self.assertEqual(b"", self.entry.changes[-1].body)

    def test_value_without_an_envelope_is_rejected(self):
        receipt = self.author.propose(make_body(2), 0, "c1")
        self.store.swap(STORED, receipt.revision, make_body(3))
        self.clock.run_ready_threads()
        self.assertEqual(2, self.entry.weight())
        self.assertEqual([KEY], [each.place for each in self.entry.configuration.findings])


class DeskTest(unittest.TestCase):
    """Operators' changes, with races, lost answers and outages."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.entry = EntryParts(self.clock, self.store)
        self.other_entry = EntryParts(self.clock, self.store)

    def test_accepted_is_in_force_at_once(self):
        receipt = self.entry.propose(make_body(2), 0, "c1")
        self.assertEqual(("accepted", receipt.revision), receipt)
        self.assertEqual(2, self.entry.weight())
        self.assertEqual([receipt.revision], [each.revision for each in self.entry.changes])
        self.assertEqual(
            (KEY, receipt.revision, b"weight: 2", True),
            self.entry.configuration_changes.get_document(KEY),
        )

    def test_repeated_proposal_is_idempotent(self):
        first = self.entry.propose(make_body(2), 0, "c1")
        self.assertEqual(first, self.other_entry.propose(make_body(2), 0, "c1"))
        self.entry.propose(make_body(3), first.revision, "c2")
        self.assertEqual(first, self.other_entry.propose(make_body(2), 0, "c1"))
        self.assertEqual(first, self.entry.propose(make_body(2), 0, "c1"))
        self.assertEqual(3, self.entry.weight())
        self.assertEqual(
            b"weight: 3", self.other_entry.configuration_changes.get_document(KEY).body
        )
        with self.assertRaises(InvalidInput) as caught:
            self.other_entry.propose(make_body(4), 0, "c1")
        self.assertEqual("change_id", caught.exception.findings[0].path)

    def test_all_findings_at_once(self):
        with self.assertRaises(InvalidInput) as caught:
            self.entry.propose(b"weight: 0\nsize: 1", 0, " ", who="")
        paths = [finding.path for finding in caught.exception.findings]
        self.assertEqual(["weight", "size", "change_id", "who"], paths)
        self.assertEqual(0, self.store.calls.total())

    def test_race_of_two_operators(self):
        self.store.slow_ms = 10
        outcomes = {}

        def propose(entry: EntryParts, who: str, weight: int) -> None:
            try:
                entry.configuration_changes.apply_change(
                    KEY, make_body(weight), 0, f"c-{who}", who, "sale"
                )
                outcomes[who] = "accepted"
            except StaleRevision as error:
                outcomes[who] = error.detail

        eventlet.spawn(propose, self.entry, "ann", 2)
        eventlet.spawn(propose, self.other_entry, "bat", 3)
        self.clock.advance(60_000)
        self.assertEqual("accepted", outcomes["ann"])
        self.assertRegex(outcomes["bat"], "changed by ann: sale .change c-ann.")
        stored = self.other_entry.run(
            lambda: self.other_entry.configuration_changes.get_document(KEY)
        )
        self.assertEqual(b"weight: 2", stored.body)

    def test_stale_revision_is_refused(self):
        receipt = self.entry.propose(make_body(2), 0, "c1")
        for expected in (0, receipt.revision - 1, receipt.revision + 1):
            with self.subTest(expected), self.assertRaises(StaleRevision):
                self.other_entry.propose(make_body(3), expected, f"d{expected}")
        with self.assertRaises(StaleRevision):
            self.entry.propose(make_body(3), 7, "c3", key=OTHER)

    def test_answer_lost_after_the_write(self):
        self.store.lose_answers = 1
        receipt = self.entry.propose(make_body(2), 0, "c1")
        self.assertEqual(receipt.revision, self.store.get(STORED).revision)
        records = self.entry.configuration_changes.history(KEY).records
        self.assertEqual([("c1", receipt.revision)], [(r.change_id, r.revision) for r in records])

    def test_answer_lost_then_outage_then_overwritten(self):
        swap = self.store.swap

        def swap_then_fail(*arguments):
            swap(*arguments)
            self.store.down = True
            return swap(*arguments)

        self.store.swap = swap_then_fail
        with self.assertRaises(ChangeUnknown) as caught:
            self.entry.propose(make_body(2), 0, "c1")
        self.assertGreater(caught.exception.retry_after_ms, 0)
        self.store.swap = swap
        self.store.down = False
        written = self.store.get(STORED).revision
        self.other_entry.propose(make_body(3), written, "c2")
        self.assertEqual(written, self.entry.propose(make_body(2), 0, "c1").revision)
        history = self.other_entry.configuration_changes.history(KEY)
        self.assertEqual(["c2", "c1"], [record.change_id for record in history.records])

    def test_outage(self):
        receipt = self.entry.propose(make_body(2), 0, "c1")
        self.entry.configuration_changes.history(KEY)
        self.store.down = True
        for change_id in ("c1", "c2"):
            with self.subTest(change_id), self.assertRaises(ChangeUnknown):
                self.entry.propose(make_body(2), receipt.revision, change_id)
        current = self.entry.configuration_changes.get_document(KEY)
        self.assertEqual((KEY, receipt.revision, b"weight: 2", False), current)
        history = self.entry.configuration_changes.history(KEY)
        self.assertEqual((1, False), (len(history.records), history.fresh))

    def test_deletion_and_recreation(self):
        first = self.entry.propose(make_body(2), 0, "c1")
        second = self.entry.propose(None, first.revision, "c2")
        self.assertEqual(
            (KEY, second.revision, b"", True), self.entry.configuration_changes.get_document(KEY)
        )
        self.assertEqual(DEFAULT_TEAM.weight, self.entry.weight())
        third = self.other_entry.propose(make_body(3), 0, "c3")
        records = self.other_entry.configuration_changes.history(KEY).records
        self.assertEqual(
            [
                (third.revision, None, "weight: 3"),
                (second.revision, "weight: 2", None),
                (first.revision, None, "weight: 2"),
            ],
            [(record.revision, record.before, record.after) for record in records],
        )

    def test_older_change_of_another_key_is_not_skipped(self):
        self.other_entry.propose(make_body(2), 0, "c1", key=OTHER)
        self.entry.propose(make_body(3), 0, "c2")
        self.assertEqual([OTHER, KEY], [document.key for document in self.entry.changes])

    def test_store_that_was_rolled_back(self):
        self.entry.configuration.apply([Document(KEY, 50, make_body(5))])
        with self.assertRaises(ChangeUnknown):
            self.entry.propose(make_body(6), 50, "c1")
        self.assertEqual(50, self.entry.configuration_changes.get_document(KEY).revision)
        while self.store.revision < 60:
            self.store.swap(f"filler/{self.store.revision}", 0, b"")
        receipt = self.entry.propose(make_body(6), 50, "c1")
        self.assertGreater(receipt.revision, 50)
        self.assertEqual(6, self.entry.weight())

    def test_invalid_keys(self):
        for call in (
            self.entry.configuration_changes.get_document,
            self.entry.configuration_changes.history,
        ):
            with self.subTest(call), self.assertRaises(DispatchError):
                call("nothing/here")
