"""Audit trail of the operators' changes of the configuration.

Each stored configuration value carries its whole change, so a record that was
not written, by a crash or a lost answer, is filled in by the next reader or
change. A change is recorded before another one replaces it.
"""

from typing import NamedTuple, TypedDict

import msgspec

from geraniumspool.contracts import Clock, KeyValue, Store
from geraniumspool.errors import StoreError

CONFIG_PREFIX = "config/"
AUDIT_PREFIX = "audit/"
MAX_RECORDS = 1_000
KEPT_RECORDS = 50
KEPT_KEYS = 1_000
REVISION_DIGITS = 20


class ChangeEnvelope(NamedTuple):
    """What is stored under a configuration key: a document and its change.

    :param at_ms: time of the change, milliseconds since the epoch
    :param body: the document as its operator wrote it, None where it was deleted
    :param previous: revision that the change replaced, or 0
    :param before: the document that the change replaced, None where there was none
    """

    change_id: str
    who: str
    why: str
    at_ms: int
    body: str | None
    previous: int
    before: str | None


class AuditRecord(NamedTuple):
    """One accepted change.

    :param key: key of the document, such as ``team/opticians``
    :param revision: revision that the change made
    :param at_ms: time of the change, milliseconds since the epoch
    :param previous: revision that it replaced, or 0
    :param before: document that it replaced, None where there was none
    :param after: the new document, None where it was deleted
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
    """Changes of one key, the newest first.

    :param records: the changes
    :param fresh: whether they were read from the store just now
    """

    records: tuple[AuditRecord, ...]
    fresh: bool


# Stored as objects, while msgspec reads a named tuple from an array.
_ENVELOPES = msgspec.json.Decoder(TypedDict("_EnvelopeObject", ChangeEnvelope.__annotations__))
_RECORDS = msgspec.json.Decoder(TypedDict("_RecordObject", AuditRecord.__annotations__))


def encode_envelope(envelope: ChangeEnvelope) -> bytes:
    """Return the stored form of an envelope, a JSON object."""
    return msgspec.json.encode(envelope._asdict())


def decode_envelope(value: bytes) -> ChangeEnvelope | None:
    """Return the envelope in a stored value, None where it is anything else."""
    try:
        return ChangeEnvelope(**_ENVELOPES.decode(value))
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _decode_record(value: bytes) -> AuditRecord | None:
    try:
        return AuditRecord(**_RECORDS.decode(value))
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


class AuditTrail:
    """The changes accepted so far, kept in the platform's store."""

    def __init__(self, store: Store, clock: Clock):
        """Start with nothing read.

        :param store: where the records are kept
        :param clock: source of time
        """
        self._store = store
        self._clock = clock
        self._recorded: dict[str, int] = {}
        self._known: dict[str, tuple[AuditRecord, ...]] = {}
        self.last_read_ms: float | None = None

    def settle(self, key: str) -> None:
        """Make sure that the latest change of a key is recorded.

        :param key: key of a document
        :raises StoreError: if the store failed; it is safe to repeat
        """
        stored = self._store.get(CONFIG_PREFIX + key)
        if stored is not None:
            self.record(key, stored)

    def record(self, key: str, stored: KeyValue) -> None:
        """Make sure that the change in a stored value is recorded.

        :param key: key of a document
        :param stored: its envelope as read from the store
        :raises StoreError: if the store failed; it is safe to repeat
        """
        envelope = decode_envelope(stored.value)
        if envelope is None or self._recorded.get(key, 0) >= stored.revision:
            return
        audit_key = f"{AUDIT_PREFIX}{key}/{stored.revision:0{REVISION_DIGITS}d}"
        record = _make_record(key, stored.revision, envelope)
        if self._store.get(audit_key) is None:
            self._store.swap(audit_key, 0, msgspec.json.encode(record._asdict()))
        self._recorded[key] = stored.revision

    def list(self, key: str, limit: int = MAX_RECORDS) -> History:
        """Return the latest changes of a key, the newest first.

        In an outage of the store these are the ones read here before.

        :param key: key of a document
        :param limit: most changes to return, at most ``MAX_RECORDS``
        """
        limit = max(0, min(limit, MAX_RECORDS))
        try:
            self.settle(key)
            records = self._read(key)
        except StoreError:
            return History(self._known.get(key, ())[:limit], fresh=False)
        return History(records[:limit], fresh=True)

    def find(self, key: str, change_id: str) -> AuditRecord | None:
        """Return a change by its id, None where it is not among the latest.

        :param key: key of a document
        :param change_id: id that the operator gave
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
        self._keep(key, records)
        return records

    def _keep(self, key: str, records: tuple[AuditRecord, ...]) -> None:
        if not records:
            return
        self._known.pop(key, None)
        if len(self._known) >= KEPT_KEYS:
            del self._known[next(iter(self._known))]
        self._known[key] = records[:KEPT_RECORDS]


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
