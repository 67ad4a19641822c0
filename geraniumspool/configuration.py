"""The operators' configuration that is in force in one process.

Revisions are those of the store. A process never returns to a lower revision of a
document, not even if the store or another process offers one.
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

# Estimated size of a document in a message, beyond its key and body.
DOCUMENT_OVERHEAD_BYTES = 16
DOCUMENTS_COUNTER = "config_documents"

_LOG = logging.getLogger(__name__)


class Rejection(NamedTuple):
    """Reason why the newest value of a key is not in force.

    :param revision: revision of the rejected value
    :param findings: faults found in it
    """

    revision: int
    findings: tuple[Finding, ...]


class Configuration:
    """The documents in force in one process, including deletions.

    :ivar changed_ms: time of the last change in milliseconds, None before the first
    """

    def __init__(self, clock: Clock, counters: Counters):
        """Start without documents, so that the defaults are in force.

        :param clock: source of time
        :param counters: where accepted and rejected documents are counted
        """
        self._clock = clock
        self._counters = counters
        self._in_force: dict[str, Document] = {}
        self._parsed: dict[str, OperatorDocument] = {}
        self._rejections: dict[str, Rejection] = {}
        self._by_revision: tuple[Document, ...] = ()
        self._listed_revision = 0
        self._stored_revisions: dict[str, int] = {}
        self._is_store_rolled_back = False
        self.changed_ms: float | None = None

    @property
    def revision(self) -> int:
        """Highest revision in force, 0 if there is none."""
        return self._by_revision[-1].revision if self._by_revision else 0

    @property
    def store_revision(self) -> int:
        """Highest revision that the store is known to have had."""
        return max(self.revision, self._listed_revision)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Faults of the rejected values that are newer than the documents in force."""
        rejections = sorted(self._rejections.items())
        return tuple(finding for _, rejection in rejections for finding in rejection.findings)

    def apply(self, documents: Iterable[Document]) -> list[Document]:
        """Put documents in force that are newer than the present ones.

        An invalid document is rejected: the last valid one stays in force, and the
        faults are listed in :attr:`findings`.

        :param documents: documents of any revision, in any order
        :returns: the documents put in force, in the order of their revisions
        """
        ordered = sorted(documents, key=_order_of)
        accepted = [document for document in ordered if self._accept(document)]
        if accepted:
            self._by_revision = tuple(sorted(self._in_force.values(), key=_order_of))
            self.changed_ms = self._clock.now()
        return accepted

    def apply_stored(self, pairs: Iterable[KeyValue | Change]) -> list[Document]:
        """Put documents in force that were read from the store or reported by its watch.

        :param pairs: keys under ``CONFIG_PREFIX`` with their encoded envelopes
        :returns: the documents put in force, in the order of their revisions
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
        """Put all documents of a store listing in force, and apply deletions.

        A missing key counts as deleted if the store was seen to have it at the revision in
        force, or a later one, and was not restored from an older backup. A document that was
        only received from other processes stays in force: the store may not have it yet.

        :param snapshot: all keys under ``CONFIG_PREFIX``
        :param known_revision: :attr:`store_revision` before the listing was requested
        :returns: the documents put in force, in the order of their revisions
        """
        if snapshot.revision < known_revision or self._is_behind(snapshot):
            self._is_store_rolled_back = True
        self._listed_revision = max(self._listed_revision, snapshot.revision)
        missing: list[Change] = []
        if not self._is_store_rolled_back:
            missing = [
                Change(CONFIG_PREFIX + key, None, snapshot.revision)
                for key in self._find_missing(snapshot)
            ]
        return self.apply_stored([*snapshot.pairs, *missing])

    def _is_behind(self, snapshot: Snapshot) -> bool:
        """Return whether the store was rolled back, judged by the revisions of its keys.

        A store whose revision has reached that of a document in force must have that document
        or a later one.
        """
        for pair in snapshot.pairs:
            current = self._in_force.get(pair.key.removeprefix(CONFIG_PREFIX))
            if current and pair.revision < current.revision <= snapshot.revision:
                return True
        return False

    def _find_missing(self, snapshot: Snapshot) -> set[str]:
        """Return the keys that the store had at the revision in force and no longer lists.

        Keys whose value was rejected while no document was in force are included.
        """
        listed = {pair.key.removeprefix(CONFIG_PREFIX) for pair in snapshot.pairs}
        in_force = {document.key: document.revision for document in self.documents()}
        stored = {
            key
            for key, revision in in_force.items()
            if self._stored_revisions.get(key, 0) >= revision
        }
        rejected = self._rejections.keys() - in_force.keys()
        return (stored | rejected) - listed

    def documents_after(self, revision: int, limit_bytes: int) -> tuple[Document, ...]:
        """Return documents and deletions that are newer than a revision.

        Documents of one revision are never split between two answers.

        :param revision: highest revision that the receiver has
        :param limit_bytes: approximate size limit, exceeded if the first revision is larger
        :returns: documents in the order of their revisions
        """
        first = bisect_right(self._by_revision, revision, key=_revision_of)
        size = 0
        for index in range(first, len(self._by_revision)):
            document = self._by_revision[index]
            size += len(document.key) + len(document.body) + DOCUMENT_OVERHEAD_BYTES
            is_new_revision = (
                index > first and document.revision > self._by_revision[index - 1].revision
            )
            if is_new_revision and size > limit_bytes:
                return self._by_revision[first:index]
        return self._by_revision[first:]

    def documents(self) -> tuple[Document, ...]:
        """Return the documents in force, in the order of their revisions."""
        return tuple(document for document in self._by_revision if document.body)

    def get(self, key: str) -> Document | None:
        """Return the document or deletion in force for a key, None if there is none."""
        return self._in_force.get(key)

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

    def _accept(self, document: Document) -> bool:
        """Put a document in force if it is newer and valid; return whether it was."""
        key = document.key
        current = self._in_force.get(key)
        if current is not None and document.revision <= current.revision:
            return False
        try:
            parsed = parse_document(key, document.body) if document.body else None
        except InvalidInput as error:
            self._reject(key, document.revision, error.findings)
            return False
        self._in_force[key] = document
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
        """Record the faults of a value, unless a newer one is known for the key."""
        current = self._in_force.get(key)
        rejection = self._rejections.get(key)
        newest = max(current.revision if current else 0, rejection.revision if rejection else 0)
        if revision <= newest:
            return
        self._rejections[key] = Rejection(revision, tuple(findings))
        self._counters.add(DOCUMENTS_COUNTER, outcome="rejected")
        for finding in findings:
            _LOG.warning("configuration revision %d rejected: %s", revision, finding)


def _revision_of(document: Document) -> int:
    return document.revision


def _order_of(document: Document) -> tuple[int, str]:
    return document.revision, document.key
