"""Operators' configuration changes: validated, written with compare-and-swap, idempotent."""

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

CHANGE_ATTEMPTS = 4
CHANGE_FIRST_DELAY_MS = 50.0
CHANGE_RETRY_AFTER_MS = 2_000.0
MAX_CHANGE_ID_CHARS = 64
MAX_WHO_CHARS = 200
MAX_WHY_CHARS = 1_000
STATUS_ACCEPTED = "accepted"

_LOG = logging.getLogger(__name__)


class ChangeReceipt(NamedTuple):
    """Confirmation of an accepted change.

    :param status: always ``STATUS_ACCEPTED``
    :param revision: revision that the change created
    """

    status: str
    revision: int


class CurrentDocument(NamedTuple):
    """The current version of a document, on which a change can be based.

    :param key: a kind and a name, such as ``service/fitting``
    :param revision: revision to pass as the expected one, 0 if there is no document
    :param body: text as the operator wrote it, empty if there is no document
    :param fresh: whether it was just read from the store, not taken from this process
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


class _CurrentVersion(NamedTuple):
    """The version of a document that a change would replace.

    :param stored_revision: the key's revision in the store, or 0 if the key is absent
    :param revision: newest known revision, which may come from this process
    :param text: the document, or None if there is none
    """

    stored_revision: int
    revision: int
    text: str | None


class ConfigurationChanges:
    """Applies operators' configuration changes, each at most once per change id."""

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        audit: AuditTrail,
        clock: Clock,
        on_change: Callable[[list[Document]], None] | None = None,
    ):
        """Store the collaborators.

        :param store: the platform's store
        :param configuration: the documents in force in this process
        :param audit: records accepted changes
        :param clock: source of time
        :param on_change: called with the documents that came into force here; must not block
        """
        self._store = store
        self._configuration = configuration
        self._audit = audit
        self._clock = clock
        self._on_change = on_change

    def apply_change(
        self,
        key: str,
        body: bytes | None,
        expected_revision: int,
        change_id: str,
        who: str,
        why: str,
    ) -> ChangeReceipt:
        """Change one document; the call is idempotent for the same change id.

        :param key: a kind and a name, such as ``service/fitting``
        :param body: the new document, or None to delete it
        :param expected_revision: revision that the change is based on, 0 for a new document
        :param change_id: id that the operator chose for this change
        :param who: operator who makes the change
        :param why: reason for the change
        :raises InvalidInput: with all findings; nothing was written
        :raises StaleRevision: if another change was accepted first; nothing was written
        :raises ChangeUnknown: if the outcome is unknown; repeat the call with the same id
        """
        _check_proposal(key, body, change_id, who, why)
        text = None if body is None else body.decode("utf-8-sig")
        proposal = _Proposal(key, text, expected_revision, change_id, who, why)
        delay_ms = CHANGE_FIRST_DELAY_MS
        cause = "other changes came in between"
        for attempt in range(CHANGE_ATTEMPTS):
            try:
                receipt = self._try_change(proposal)
            except StoreError as error:
                cause = error.detail
                if attempt + 1 < CHANGE_ATTEMPTS:
                    self._clock.sleep(delay_ms)
                    delay_ms *= 2
                continue
            if receipt is not None:
                return receipt
        detail = f"change {change_id} is not known to be accepted ({cause}); repeat it as it is"
        raise ChangeUnknown(detail, retry_after_ms=CHANGE_RETRY_AFTER_MS)

    def get_document(self, key: str) -> CurrentDocument:
        """Return a document from the store, or the version in force here if the store fails.

        :param key: a kind and a name, such as ``service/fitting``
        :raises InvalidInput: if the key is invalid
        """
        _raise_findings(check_key(key))
        try:
            stored = self._store.get(CONFIG_PREFIX + key)
        except StoreError:
            current_version = self._find_current(key, None)
            return CurrentDocument(
                key, current_version.revision, (current_version.text or "").encode(), fresh=False
            )
        current_version = self._find_current(key, stored)
        return CurrentDocument(
            key, current_version.revision, (current_version.text or "").encode(), fresh=True
        )

    def history(self, key: str, limit: int = 100) -> History:
        """Return the latest changes of a document, newest first.

        :param key: a kind and a name, such as ``service/fitting``
        :param limit: maximum number of changes to return
        :raises InvalidInput: if the key is invalid
        """
        _raise_findings(check_key(key))
        return self._audit.list(key, limit)

    def _try_change(self, proposal: _Proposal) -> ChangeReceipt | None:
        stored = self._read(proposal.key)
        receipt = self._find_earlier_receipt(proposal, stored)
        if receipt is not None:
            return receipt
        current_version = self._find_current(proposal.key, stored)
        recreates = current_version.text is None and proposal.expected_revision == 0
        if proposal.expected_revision != current_version.revision and not recreates:
            raise StaleRevision(_describe_conflict(proposal.key, current_version, stored))
        envelope = ChangeEnvelope(
            change_id=proposal.change_id,
            who=proposal.who,
            why=proposal.why,
            at_ms=self._clock.wall_ms(),
            body=proposal.text,
            previous=current_version.revision,
            before=current_version.text,
        )
        stored_key = CONFIG_PREFIX + proposal.key
        value = encode_envelope(envelope)
        outcome = self._store.swap(stored_key, current_version.stored_revision, value)
        if not outcome.swapped:
            return None
        return self._complete_change(proposal.key, KeyValue(stored_key, value, outcome.revision))

    def _read(self, key: str) -> KeyValue | None:
        applied_revision = self._configuration.store_revision
        snapshot = self._store.list(CONFIG_PREFIX)
        if snapshot.revision < applied_revision:
            # A change made now would get a revision below the one in force and never take effect.
            detail = f"the store went back from revision {applied_revision} to {snapshot.revision}"
            raise ChangeUnknown(detail, retry_after_ms=CHANGE_RETRY_AFTER_MS)
        matches = [pair for pair in snapshot.pairs if pair.key == CONFIG_PREFIX + key]
        return matches[0] if matches else None

    def _find_earlier_receipt(
        self, proposal: _Proposal, stored: KeyValue | None
    ) -> ChangeReceipt | None:
        envelope = decode_envelope(stored.value) if stored else None
        if envelope is not None and envelope.change_id == proposal.change_id:
            _check_same_change(proposal, envelope.body)
            return self._complete_change(proposal.key, stored)
        if stored is not None:
            self._audit.record(proposal.key, stored)
        record = self._audit.find(proposal.key, proposal.change_id)
        if record is None:
            return None
        _check_same_change(proposal, record.after)
        return ChangeReceipt(STATUS_ACCEPTED, record.revision)

    def _complete_change(self, key: str, stored: KeyValue) -> ChangeReceipt:
        try:
            self._audit.record(key, stored)
            self._refresh()
        except StoreError as error:
            _LOG.warning(
                "change of %s accepted, but audit record or refresh failed: %s", key, error
            )
        return ChangeReceipt(STATUS_ACCEPTED, stored.revision)

    def _refresh(self) -> None:
        # Read the whole prefix: applying one key alone could skip an older change of another key.
        applied_revision = self._configuration.store_revision
        snapshot = self._store.list(CONFIG_PREFIX)
        applied = self._configuration.apply_snapshot(snapshot, applied_revision)
        if applied and self._on_change is not None:
            self._on_change(applied)

    def _find_current(self, key: str, stored: KeyValue | None) -> _CurrentVersion:
        in_force = self._configuration.get(key)
        stored_revision = stored.revision if stored else 0
        if in_force is not None and in_force.revision > stored_revision:
            return _CurrentVersion(
                stored_revision, in_force.revision, in_force.body.decode() or None
            )
        if stored is None:
            return _CurrentVersion(0, 0, None)
        envelope = decode_envelope(stored.value)
        text = envelope.body if envelope else stored.value.decode(errors="replace")
        return _CurrentVersion(stored_revision, stored_revision, text)


def _describe_conflict(key: str, current_version: _CurrentVersion, stored: KeyValue | None) -> str:
    text = f"{key} is at revision {current_version.revision}"
    if current_version.revision == 0:
        return f"{key} does not exist"
    envelope = decode_envelope(stored.value) if stored else None
    if envelope is None or stored.revision != current_version.revision:
        return text
    return f"{text}, changed by {envelope.who}: {envelope.why} (change {envelope.change_id})"


def _check_same_change(proposal: _Proposal, accepted_text: str | None) -> None:
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
