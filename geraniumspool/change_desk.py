"""Operators' changes of the configuration, each accepted at most once."""

import logging
import re
from collections.abc import Callable
from typing import NamedTuple

from geraniumspool.audit import (
    CONFIG_PREFIX,
    AuditTrail,
    ChangeEnvelope,
    History,
    decode_envelope,
    encode_envelope,
)
from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Clock, KeyValue, Store
from geraniumspool.documents import check_key, parse_document
from geraniumspool.errors import ChangeUnknown, Finding, InvalidInput, StaleRevision, StoreError
from geraniumspool.messages import Document

PROPOSE_ATTEMPTS = 4
PROPOSE_FIRST_DELAY_MS = 50.0
PROPOSE_RETRY_AFTER_MS = 2_000.0
MAX_CHANGE_ID_CHARS = 64
MAX_WHO_CHARS = 200
MAX_WHY_CHARS = 1_000
STATUS_ACCEPTED = "accepted"

_LOG = logging.getLogger(__name__)


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

        :param key: a kind and a name, such as ``service/fitting``
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

        :param key: a kind and a name, such as ``service/fitting``
        :raises InvalidInput: if it is none
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

        :param key: a kind and a name, such as ``service/fitting``
        :param limit: most changes to return
        :raises InvalidInput: if it is none
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
        held = self._configuration.get(key)
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
