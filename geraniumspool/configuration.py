"""The operators' configuration: what is in force, its watch, its changes.

Revisions are the store's. A process never goes back to a lower revision of a
document, whatever the store or another process says.
"""

import logging
import re
from bisect import bisect_right
from collections.abc import Callable, Iterable
from typing import NamedTuple

from geraniumspool.audit import (
    CONFIG_PREFIX,
    AuditTrail,
    ChangeEnvelope,
    History,
    decode_envelope,
    encode_envelope,
)
from geraniumspool.contracts import Change, Clock, Counters, KeyValue, Snapshot, Store
from geraniumspool.documents import (
    DEFAULT_SERVICE,
    DEFAULT_TEAM,
    ServiceDocument,
    TeamDocument,
    check_key,
    parse_document,
)
from geraniumspool.errors import (
    ChangeUnknown,
    CompactedRevision,
    Finding,
    InvalidInput,
    StaleRevision,
    StoreError,
)
from geraniumspool.messages import Document

DOCUMENT_OVERHEAD_BYTES = 16
DOCUMENTS_COUNTER = "config_documents"
WATCH_LISTING = "listing"
WATCH_WATCHING = "watching"
WATCH_WAITING = "waiting"
WATCH_FIRST_DELAY_MS = 100.0
WATCH_LAST_DELAY_MS = 5_000.0
PROPOSE_ATTEMPTS = 4
PROPOSE_FIRST_DELAY_MS = 50.0
PROPOSE_RETRY_AFTER_MS = 2_000.0
MAX_CHANGE_ID_CHARS = 64
MAX_WHO_CHARS = 200
MAX_WHY_CHARS = 1_000
STATUS_ACCEPTED = "accepted"

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
        self._parsed: dict[str, ServiceDocument | TeamDocument] = {}
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


class ConfigurationWatcher:
    """Keeps a configuration up to date with the store."""

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        clock: Clock,
        on_change: Callable[[list[Document]], None],
    ):
        """Record the parts; nothing is read before :meth:`run`.

        :param store: the platform's store
        :param configuration: what to keep up to date
        :param clock: source of time
        :param on_change: called with the documents taken; must not block
        """
        self._store = store
        self._configuration = configuration
        self._clock = clock
        self._on_change = on_change
        self._delay_ms = WATCH_FIRST_DELAY_MS
        self.state = WATCH_LISTING
        self.last_contact_ms: float | None = None

    def run(self) -> None:
        """List and watch the store for ever, waiting longer after each fault."""
        while True:
            try:
                self._follow()
            except CompactedRevision:
                _LOG.info("configuration watch fell behind, listing again")
            except StoreError as error:
                level = logging.DEBUG if self._is_retrying() else logging.WARNING
                _LOG.log(level, "configuration store failed: %s", error)
            self.state = WATCH_WAITING
            self._clock.sleep(self._delay_ms)
            self._delay_ms = min(self._delay_ms * 2, WATCH_LAST_DELAY_MS)

    def _is_retrying(self) -> bool:
        return self._delay_ms > WATCH_FIRST_DELAY_MS

    def _follow(self) -> None:
        self.state = WATCH_LISTING
        known_revision = self._configuration.store_revision
        snapshot = self._store.list(CONFIG_PREFIX)
        self._report(self._configuration.apply_snapshot(snapshot, known_revision))
        self.state = WATCH_WATCHING
        for change in self._store.watch(CONFIG_PREFIX, snapshot.revision):
            self._delay_ms = WATCH_FIRST_DELAY_MS
            changes = [] if change is None else [change]
            self._report(self._configuration.apply_stored(changes))

    def _report(self, taken: list[Document]) -> None:
        self.last_contact_ms = self._clock.now()
        if taken:
            self._on_change(taken)


class ChangeReceipt(NamedTuple):
    """An accepted change.

    :param status: ``STATUS_ACCEPTED``
    :param revision: revision that the change made
    """

    status: str
    revision: int


class CurrentDocument(NamedTuple):
    """A document to base a change on.

    :param revision: revision to give as the expected one, 0 where there is none
    :param body: text as its operator wrote it, empty where there is none
    :param fresh: whether it was read from the store just now
    """

    key: str
    revision: int
    body: bytes
    fresh: bool


class _Proposal(NamedTuple):
    key: str
    text: str | None
    expected_revision: int
    change_id: str
    who: str
    why: str


class _Base(NamedTuple):
    """What a change would replace.

    :param stored_revision: the key's revision in the store, or 0
    :param revision: newest revision known of it
    """

    stored_revision: int
    revision: int
    text: str | None


class ChangeDesk:
    """Accepts the operators' changes, each at most once."""

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        audit: AuditTrail,
        clock: Clock,
        on_change: Callable[[list[Document]], None] | None = None,
    ):
        """Record the parts.

        :param store: the platform's store
        :param configuration: what is in force at this process
        :param audit: where accepted changes are recorded
        :param clock: source of time
        :param on_change: called with the documents taken; must not block
        """
        self._store = store
        self._configuration = configuration
        self._audit = audit
        self._clock = clock
        self._on_change = on_change

    def propose(
        self,
        key: str,
        body: bytes | None,
        expected_revision: int,
        change_id: str,
        who: str,
        why: str,
    ) -> ChangeReceipt:
        """Change one document; repeating a call with its id is safe.

        :param key: ``service/NAME`` or ``team/NAME``
        :param body: the new document, or None to delete it
        :param expected_revision: revision the change is based on, 0 for none
        :param change_id: id that the operator made up for this change
        :param who: who changes it
        :param why: reason for the change
        :raises InvalidInput: with all findings; nothing was written
        :raises StaleRevision: if another change came first; nothing was written
        :raises ChangeUnknown: if the store did not tell; repeat the call
        """
        _check_proposal(key, body, change_id, who, why)
        text = None if body is None else body.decode("utf-8-sig")
        proposal = _Proposal(key, text, expected_revision, change_id, who, why)
        delay_ms = PROPOSE_FIRST_DELAY_MS
        fault = "other changes came in between"
        for attempt in range(PROPOSE_ATTEMPTS):
            try:
                receipt = self._attempt(proposal)
            except StoreError as error:
                fault = error.detail
                if attempt + 1 < PROPOSE_ATTEMPTS:
                    self._clock.sleep(delay_ms)
                    delay_ms *= 2
                continue
            if receipt is not None:
                return receipt
        detail = f"change {change_id} is not known to be accepted ({fault}); repeat it as it is"
        raise ChangeUnknown(detail, retry_after_ms=PROPOSE_RETRY_AFTER_MS)

    def current(self, key: str) -> CurrentDocument:
        """Return a document from the store, in its outage what is in force.

        :param key: ``service/NAME`` or ``team/NAME``
        :raises InvalidInput: if the key is neither
        """
        _raise_findings(check_key(key))
        try:
            stored = self._store.get(CONFIG_PREFIX + key)
        except StoreError:
            base = self._find_base(key, None)
            return CurrentDocument(key, base.revision, (base.text or "").encode(), fresh=False)
        base = self._find_base(key, stored)
        return CurrentDocument(key, base.revision, (base.text or "").encode(), fresh=True)

    def history(self, key: str, limit: int = 100) -> History:
        """Return the latest changes of a document, the newest first.

        :param key: ``service/NAME`` or ``team/NAME``
        :param limit: most changes to return
        :raises InvalidInput: if the key is neither
        """
        _raise_findings(check_key(key))
        return self._audit.list(key, limit)

    def _attempt(self, proposal: _Proposal) -> ChangeReceipt | None:
        stored = self._read(proposal.key)
        receipt = self._find_accepted(proposal, stored)
        if receipt is not None:
            return receipt
        base = self._find_base(proposal.key, stored)
        recreates = base.text is None and proposal.expected_revision == 0
        if proposal.expected_revision != base.revision and not recreates:
            raise StaleRevision(_describe_winner(proposal.key, base, stored))
        envelope = ChangeEnvelope(
            change_id=proposal.change_id,
            who=proposal.who,
            why=proposal.why,
            at_ms=self._clock.wall(),
            body=proposal.text,
            previous=base.revision,
            before=base.text,
        )
        stored_key = CONFIG_PREFIX + proposal.key
        value = encode_envelope(envelope)
        outcome = self._store.swap(stored_key, base.stored_revision, value)
        if not outcome.swapped:
            return None
        return self._accept(proposal.key, KeyValue(stored_key, value, outcome.revision))

    def _read(self, key: str) -> KeyValue | None:
        known_revision = self._configuration.store_revision
        snapshot = self._store.list(CONFIG_PREFIX)
        if snapshot.revision < known_revision:
            # A revision below the ones in force would never come in force.
            detail = f"the store went back from revision {known_revision} to {snapshot.revision}"
            raise ChangeUnknown(detail, retry_after_ms=PROPOSE_RETRY_AFTER_MS)
        matches = [pair for pair in snapshot.pairs if pair.key == CONFIG_PREFIX + key]
        return matches[0] if matches else None

    def _find_accepted(self, proposal: _Proposal, stored: KeyValue | None) -> ChangeReceipt | None:
        envelope = decode_envelope(stored.value) if stored else None
        if envelope is not None and envelope.change_id == proposal.change_id:
            _check_same(proposal, envelope.body)
            return self._accept(proposal.key, stored)
        if stored is not None:
            self._audit.record(proposal.key, stored)
        record = self._audit.find(proposal.key, proposal.change_id)
        if record is None:
            return None
        _check_same(proposal, record.after)
        return ChangeReceipt(STATUS_ACCEPTED, record.revision)

    def _accept(self, key: str, stored: KeyValue) -> ChangeReceipt:
        try:
            self._audit.record(key, stored)
            self._refresh()
        except StoreError as error:
            _LOG.warning("change of %s accepted, its record or watch lags: %s", key, error)
        return ChangeReceipt(STATUS_ACCEPTED, stored.revision)

    def _refresh(self) -> None:
        # The whole prefix, as taking one key alone could skip an older change of another.
        known_revision = self._configuration.store_revision
        snapshot = self._store.list(CONFIG_PREFIX)
        taken = self._configuration.apply_snapshot(snapshot, known_revision)
        if taken and self._on_change is not None:
            self._on_change(taken)

    def _find_base(self, key: str, stored: KeyValue | None) -> _Base:
        held = self._configuration.held(key)
        stored_revision = stored.revision if stored else 0
        if held is not None and held.revision > stored_revision:
            return _Base(stored_revision, held.revision, held.body.decode() or None)
        if stored is None:
            return _Base(0, 0, None)
        envelope = decode_envelope(stored.value)
        text = envelope.body if envelope else stored.value.decode(errors="replace")
        return _Base(stored_revision, stored_revision, text)


def _describe_winner(key: str, base: _Base, stored: KeyValue | None) -> str:
    text = f"{key} is at revision {base.revision}"
    if base.revision == 0:
        return f"{key} does not exist"
    envelope = decode_envelope(stored.value) if stored else None
    if envelope is None or stored.revision != base.revision:
        return text
    return f"{text}, changed by {envelope.who}: {envelope.why} (change {envelope.change_id})"


def _check_same(proposal: _Proposal, accepted_text: str | None) -> None:
    if proposal.text != accepted_text:
        text = "was given to another change of this document"
        raise InvalidInput([Finding(proposal.key, 0, "change_id", text)])


def _check_proposal(key: str, body: bytes | None, change_id: str, who: str, why: str) -> None:
    findings: list[Finding] = []
    if body is None:
        findings += check_key(key)
    else:
        try:
            parse_document(key, body)
        except InvalidInput as error:
            findings += error.findings
    limits = (
        ("change_id", change_id, MAX_CHANGE_ID_CHARS),
        ("who", who, MAX_WHO_CHARS),
        ("why", why, MAX_WHY_CHARS),
    )
    for name, value, limit in limits:
        if not value.strip() or len(value) > limit or re.search(r"[\x00-\x1f\ud800-\udfff]", value):
            text = f"must have 1 to {limit} characters and no control characters"
            findings.append(Finding(key, 0, name, text))
    _raise_findings(findings)


def _raise_findings(findings: list[Finding]) -> None:
    if findings:
        raise InvalidInput(findings)
