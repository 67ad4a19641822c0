"""Audit trail of operators' configuration changes.

Each configuration value in the store contains its complete change. If a crash or
a lost answer prevents the audit record from being written, the next reader or
change writes it. A change is always recorded before another one replaces it.
"""

from typing import NamedTuple, TypedDict

import msgspec

from geraniumspool.contracts import Clock, KeyValue, Store
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import StoreError

CONFIG_PREFIX = "config/"
AUDIT_PREFIX = "audit/"
MAX_RECORDS = 1_000
MAX_CACHED_RECORDS = 50
MAX_CACHED_KEYS = 1_000
REVISION_DIGITS = 20


class ChangeEnvelope(NamedTuple):
    """Value stored under a configuration key: a document and the change that made it.

    :param change_id: id that the operator chose for the change
    :param who: operator who made the change
    :param why: reason for the change
    :param at_ms: time of the change, milliseconds since the epoch
    :param body: the document as the operator wrote it, None if it was deleted
    :param previous: revision that the change replaced, or 0
    :param before: the document that the change replaced, None if there was none
    """

    change_id: str
    who: str
    why: str
    at_ms: int
    body: str | None
    previous: int
    before: str | None


class AuditRecord(NamedTuple):
    """Audit record of one accepted change.

    :param key: key of the document, such as ``team/opticians``
    :param revision: revision that the change created
    :param who: operator who made the change
    :param at_ms: time of the change, milliseconds since the epoch
    :param why: reason for the change
    :param change_id: id that the operator chose for the change
    :param previous: revision that the change replaced, or 0
    :param before: document that the change replaced, None if there was none
    :param after: the new document, None if it was deleted
    """

    key: str
    revision: int
    who: str
    at_ms: int
    why: str
    change_id: str
    previous: int
    before: str | None
    after: str | None


class History(NamedTuple):
    """Changes of one document.

    :param records: the changes, newest first
    :param fresh: whether they were just read from the store, not from this process's cache
    """

    records: tuple[AuditRecord, ...]
    fresh: bool


# The store holds JSON objects, but msgspec decodes a named tuple from an array only.
_ENVELOPE_DECODER = msgspec.json.Decoder(
    TypedDict("_EnvelopeObject", ChangeEnvelope.__annotations__)
)
_RECORD_DECODER = msgspec.json.Decoder(TypedDict("_RecordObject", AuditRecord.__annotations__))


def encode_envelope(envelope: ChangeEnvelope) -> bytes:
    """Return an envelope as a JSON object."""
    return msgspec.json.encode(envelope._asdict())


def decode_envelope(value: bytes) -> ChangeEnvelope | None:
    """Return the envelope in a stored value, or None if the value is not an envelope."""
    try:
        return ChangeEnvelope(**_ENVELOPE_DECODER.decode(value))
    except DECODE_ERRORS:
        return None


def _decode_record(value: bytes) -> AuditRecord | None:
    try:
        return AuditRecord(**_RECORD_DECODER.decode(value))
    except DECODE_ERRORS:
        return None


class AuditTrail:
    """Writes and reads audit records in the platform's store.

    Records read before are cached, to be served while the store is unavailable.
    """

    def __init__(self, store: Store, clock: Clock):
        """Start with an empty cache.

        :param store: holds the records
        :param clock: source of time
        """
        self._store = store
        self._clock = clock
        self._recorded_revisions: dict[str, int] = {}
        self._cached_records: dict[str, tuple[AuditRecord, ...]] = {}
        self.last_read_ms: float | None = None

    def record_latest(self, key: str) -> None:
        """Write the audit record of a key's latest change if it is missing.

        :param key: key of a document
        :raises StoreError: if the store failed; the call can be repeated safely
        """
        stored = self._store.get(CONFIG_PREFIX + key)
        if stored is not None:
            self.record(key, stored)

    def record(self, key: str, stored: KeyValue) -> None:
        """Write the audit record of the change in a stored value if it is missing.

        :param key: key of a document
        :param stored: the key's value as read from the store
        :raises StoreError: if the store failed; the call can be repeated safely
        """
        envelope = decode_envelope(stored.value)
        if envelope is None or self._recorded_revisions.get(key, 0) >= stored.revision:
            return
        audit_key = f"{AUDIT_PREFIX}{key}/{stored.revision:0{REVISION_DIGITS}d}"
        record = _make_record(key, stored.revision, envelope)
        if self._store.get(audit_key) is None:
            self._store.swap(audit_key, 0, msgspec.json.encode(record._asdict()))
        self._recorded_revisions[key] = stored.revision

    def list(self, key: str, limit: int = MAX_RECORDS) -> History:
        """Return the latest changes of a key, newest first.

        If the store fails, the cached changes are returned.

        :param key: key of a document
        :param limit: maximum number of changes to return, capped at ``MAX_RECORDS``
        """
        limit = max(0, min(limit, MAX_RECORDS))
        try:
            self.record_latest(key)
            records = self._read(key)
        except StoreError:
            return History(self._cached_records.get(key, ())[:limit], fresh=False)
        return History(records[:limit], fresh=True)

    def find(self, key: str, change_id: str) -> AuditRecord | None:
        """Return a change by its id, or None if it is not among the latest ``MAX_RECORDS``.

        :param key: key of a document
        :param change_id: id that the operator chose
        :raises StoreError: if the store failed
        """
        for record in self._read(key):
            if record.change_id == change_id:
                return record
        return None

    def _read(self, key: str) -> tuple[AuditRecord, ...]:
        snapshot = self._store.list(f"{AUDIT_PREFIX}{key}/")
        pairs = sorted(snapshot.pairs, reverse=True)[:MAX_RECORDS]
        decoded = [_decode_record(pair.value) for pair in pairs]
        records = tuple(record for record in decoded if record is not None)
        self.last_read_ms = self._clock.now()
        self._cache_records(key, records)
        return records

    def _cache_records(self, key: str, records: tuple[AuditRecord, ...]) -> None:
        if not records:
            return
        self._cached_records.pop(key, None)
        if len(self._cached_records) >= MAX_CACHED_KEYS:
            del self._cached_records[next(iter(self._cached_records))]
        self._cached_records[key] = records[:MAX_CACHED_RECORDS]


def _make_record(key: str, revision: int, envelope: ChangeEnvelope) -> AuditRecord:
    return AuditRecord(
        key=key,
        revision=revision,
        who=envelope.who,
        at_ms=envelope.at_ms,
        why=envelope.why,
        change_id=envelope.change_id,
        previous=envelope.previous,
        before=envelope.before,
        after=envelope.body,
    )
