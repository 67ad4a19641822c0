"""The operators' configuration that is in force at a process.

Revisions are the store's. A process never goes back to a lower revision of a
document, whatever the store or another process says.
"""

import logging
from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from geraniumspool.audit import CONFIG_PREFIX, decode_envelope
from geraniumspool.contracts import Change, Clock, Counters, KeyValue, Snapshot
from geraniumspool.documents import (
    DEFAULT_SERVICE,
    DEFAULT_TEAM,
    DOMAIN_KIND,
    DomainDocument,
    OperatorDocument,
    ServiceDocument,
    TeamDocument,
    parse_document,
)
from geraniumspool.errors import Finding, InvalidInput
from geraniumspool.messages import Document

DOCUMENT_OVERHEAD_BYTES = 16
DOCUMENTS_COUNTER = "config_documents"

_LOG = logging.getLogger(__name__)


class Rejection(NamedTuple):
    """Why the newest stored value of a key is not in force."""

    revision: int
    findings: tuple[Finding, ...]


class Configuration:
    """The documents in force at one process, deletions included."""

    def __init__(self, clock: Clock, counters: Counters):
        """Start with the defaults alone.

        :param clock: source of time
        :param counters: counts of documents taken and rejected
        """
        self._clock = clock
        self._counters = counters
        self._held: dict[str, Document] = {}
        self._parsed: dict[str, OperatorDocument] = {}
        self._rejections: dict[str, Rejection] = {}
        self._ordered: tuple[Document, ...] = ()
        self._listed_revision = 0
        self._stored_revisions: dict[str, int] = {}
        self._store_went_back = False
        self.changed_ms: float | None = None

    @property
    def revision(self) -> int:
        """Newest revision in force, 0 where there is none."""
        return self._ordered[-1].revision if self._ordered else 0

    @property
    def store_revision(self) -> int:
        """Highest revision that the store is known to have had."""
        return max(self.revision, self._listed_revision)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Faults of stored values that are newer than what is in force."""
        rejections = sorted(self._rejections.items())
        return tuple(finding for _, rejection in rejections for finding in rejection.findings)

    def apply(self, documents: Iterable[Document]) -> list[Document]:
        """Take the documents that are newer than what is held.

        An invalid one is not taken: the last good one stays in force and the
        fault is kept in :attr:`findings`.

        :param documents: documents of any revision, in any order
        :returns: those that were taken, in the order of their revisions
        """
        ordered = sorted(documents, key=_order_of)
        taken = [document for document in ordered if self._take(document)]
        if taken:
            self._ordered = tuple(sorted(self._held.values(), key=_order_of))
            self.changed_ms = self._clock.now()
        return taken

    def apply_stored(self, pairs: Iterable[KeyValue | Change]) -> list[Document]:
        """Take documents as they stand in the store or come from its watch.

        :param pairs: keys and envelopes under ``CONFIG_PREFIX``
        :returns: what was taken, in the order of the revisions
        """
        documents = []
        for pair in pairs:
            key = pair.key.removeprefix(CONFIG_PREFIX)
            envelope = decode_envelope(pair.value) if pair.value is not None else None
            if pair.value is not None and envelope is None:
                finding = Finding(key, 0, "", "was not written by a configuration change")
                self._reject(key, pair.revision, [finding])
                continue
            self._stored_revisions[key] = pair.revision
            body = envelope.body if envelope else None
            documents.append(Document(key, pair.revision, (body or "").encode()))
        return self.apply(documents)

    def apply_snapshot(self, snapshot: Snapshot, known_revision: int) -> list[Document]:
        """Take all documents of the store.

        A key that was seen in the store as it is held, and is missing now, was
        deleted, unless the store was set back to an older state. A document
        that only other processes told of is kept: absence says nothing of it.

        :param snapshot: all keys under ``CONFIG_PREFIX``
        :param known_revision: :attr:`store_revision` before they were read
        :returns: what was taken, in the order of the revisions
        """
        if snapshot.revision < known_revision or self._is_behind(snapshot):
            self._store_went_back = True
        self._listed_revision = max(self._listed_revision, snapshot.revision)
        missing: list[Change] = []
        if not self._store_went_back:
            missing = [
                Change(CONFIG_PREFIX + key, None, snapshot.revision)
                for key in self._find_missing(snapshot)
            ]
        return self.apply_stored([*snapshot.pairs, *missing])

    def _is_behind(self, snapshot: Snapshot) -> bool:
        """Return whether a key is older in the store than its revision says it must be."""
        for pair in snapshot.pairs:
            held = self._held.get(pair.key.removeprefix(CONFIG_PREFIX))
            if held and pair.revision < held.revision <= snapshot.revision:
                return True
        return False

    def _find_missing(self, snapshot: Snapshot) -> set[str]:
        """Return the keys that were in the store as they are held, and are not any more."""
        listed = {pair.key.removeprefix(CONFIG_PREFIX) for pair in snapshot.pairs}
        in_force = {document.key: document.revision for document in self.documents()}
        stored = {
            key
            for key, revision in in_force.items()
            if self._stored_revisions.get(key, 0) >= revision
        }
        rejected = self._rejections.keys() - in_force.keys()
        return (stored | rejected) - listed

    def since(self, revision: int, limit_bytes: int) -> tuple[Document, ...]:
        """Return documents and deletions that are newer than a revision.

        :param revision: newest revision that the receiver has
        :param limit_bytes: about the most to return; one revision always fits
        :returns: documents in the order of their revisions
        """
        first = bisect_right(self._ordered, revision, key=_revision_of)
        size = 0
        for index in range(first, len(self._ordered)):
            document = self._ordered[index]
            size += len(document.key) + len(document.body) + DOCUMENT_OVERHEAD_BYTES
            is_boundary = index > first and document.revision > self._ordered[index - 1].revision
            if is_boundary and size > limit_bytes:
                return self._ordered[first:index]
        return self._ordered[first:]

    def documents(self) -> tuple[Document, ...]:
        """Return the documents in force, in the order of their revisions."""
        return tuple(document for document in self._ordered if document.body)

    def held(self, key: str) -> Document | None:
        """Return the document or the deletion that is in force for a key."""
        return self._held.get(key)

    def service(self, name: str) -> ServiceDocument:
        """Return a service's document, or the defaults."""
        return self._parsed.get(f"service/{name}", DEFAULT_SERVICE)

    def team(self, name: str) -> TeamDocument:
        """Return a team's document, or the defaults."""
        return self._parsed.get(f"team/{name}", DEFAULT_TEAM)

    def is_evacuated(self, domain: str) -> bool:
        """Return whether operators want no task started in a failure domain."""
        document = self._parsed.get(f"{DOMAIN_KIND}/{domain}", DomainDocument())
        return document.evacuated

    def _take(self, document: Document) -> bool:
        key = document.key
        held = self._held.get(key)
        if held is not None and document.revision <= held.revision:
            return False
        try:
            parsed = parse_document(key, document.body) if document.body else None
        except InvalidInput as error:
            self._reject(key, document.revision, error.findings)
            return False
        self._held[key] = document
        if parsed is None:
            self._parsed.pop(key, None)
        else:
            self._parsed[key] = parsed
        rejection = self._rejections.get(key)
        if rejection and rejection.revision < document.revision:
            del self._rejections[key]
        self._counters.add(DOCUMENTS_COUNTER, outcome="taken")
        return True

    def _reject(self, key: str, revision: int, findings: list[Finding]) -> None:
        held = self._held.get(key)
        rejection = self._rejections.get(key)
        newest = max(held.revision if held else 0, rejection.revision if rejection else 0)
        if revision <= newest:
            return
        self._rejections[key] = Rejection(revision, tuple(findings))
        self._counters.add(DOCUMENTS_COUNTER, outcome="rejected")
        for finding in findings:
            _LOG.warning("configuration revision %d not taken: %s", revision, finding)


def _revision_of(document: Document) -> int:
    return document.revision


def _order_of(document: Document) -> tuple[int, str]:
    return document.revision, document.key
