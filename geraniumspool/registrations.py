"""Membership of dispatchers and executors, kept as leased keys in the store.

Each process registers itself under one leased key. Every dispatcher watches all of these
keys, so that all dispatchers know the same members and compute the same ownership of workers.
"""

import logging
from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec

from geraniumspool.contracts import KeyValue, MinionIncarnation
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.report_checks import ADDRESS_MARK, find_report_fault, is_process_address

_LOG = logging.getLogger(__name__)

MEMBER_PREFIX = "geraniumspool/members/"
WORKER_PREFIX = MEMBER_PREFIX + "workers/"
DISPATCHER_PREFIX = MEMBER_PREFIX + "dispatchers/"
# Time to live of registration keys: a process whose host fails is removed within this time.
KEY_TTL_MS = 5_000.0
# How long a member stays known after its key disappears. Keys that expired during a store outage
# are written again within two seconds after it; the third second is for the watch to report
# them.
UNLISTED_GRACE_MS = 3_000.0
# Largest valid capacity in cores, far more than a single-threaded process can use. A record
# with more was not written by a dispatcher.
MAX_CAPACITY = 1_000.0

Record = TypeVar("Record", "WorkerRecord", "DispatcherRecord")


class WorkerRecord(msgspec.Struct, frozen=True):
    """Registration of an executor.

    :param domain: failure domain of the executor
    :param life: the minion's last report, None while there is no minion
    """

    domain: str
    life: MinionIncarnation | None = None

    @property
    def service(self) -> str:
        """Return the service of the executor's minion, empty while unknown."""
        return self.life.service if self.life else ""

    @property
    def rack(self) -> str:
        """Return the rack of the executor's minion, empty while unknown."""
        return self.life.rack if self.life else ""


class DispatcherRecord(msgspec.Struct, frozen=True):
    """Registration of a dispatcher.

    :param domain: failure domain of the dispatcher
    :param capacity: processor capacity in cores
    :param gives_up_claims: whether it gives up its jobs when it is out of contact with their
        arbiters; earlier builds do not
    """

    domain: str
    capacity: Annotated[float, msgspec.Meta(gt=0, le=MAX_CAPACITY)] = 1.0
    gives_up_claims: bool = False


class MemberDirectory:
    """The members that the store lists, or listed within the last ``UNLISTED_GRACE_MS``.

    :ivar workers: executors by address
    :ivar dispatchers: dispatchers by address
    :ivar listed: addresses of the executors whose key is in the store
    :ivar version: incremented with each change of the members
    """

    def __init__(self):
        """Start without members."""
        self.workers: dict[str, WorkerRecord] = {}
        self.dispatchers: dict[str, DispatcherRecord] = {}
        self.listed: set[str] = set()
        self.version = 0
        self._unlisted_since_ms: dict[str, float] = {}

    def apply_listing(self, pairs: Iterable[KeyValue], now: float) -> None:
        """Apply a complete listing of the registration keys.

        :param pairs: all keys under ``MEMBER_PREFIX``
        :param now: time in milliseconds
        """
        present = {pair.key: pair.value for pair in pairs}
        for key in list(map(_worker_key, self.workers)) + list(
            map(_dispatcher_key, self.dispatchers)
        ):
            if key not in present:
                self.apply_change(key, None, now)
        for key, value in present.items():
            try:
                self.apply_change(key, value, now)
            except Exception:
                # One entry that nobody foresaw must not hide the other members.
                _LOG.exception("member record not applied: %.200s", key)

    def apply_change(self, key: str, value: bytes | None, now: float) -> None:
        """Apply the change of one registration key.

        An address that nothing can be sent to names no member. An invalid record does not replace
        the member's last valid one. A worker with an invalid record and no earlier one is listed
        with an empty record if its key has the address of a process, because it may be an executor
        of another build.

        :param value: new value, None if the key was deleted or its lease expired
        :param now: time in milliseconds
        """
        self.version += 1
        if value is None:
            self._unlisted_since_ms.setdefault(key, now)
            self.listed.discard(key.removeprefix(WORKER_PREFIX))
            return
        self._unlisted_since_ms.pop(key, None)
        is_worker = key.startswith(WORKER_PREFIX)
        address = key.removeprefix(WORKER_PREFIX if is_worker else DISPATCHER_PREFIX)
        if ADDRESS_MARK in address and not is_process_address(address):
            _LOG.warning("key names no member: %.200s", key)
        elif is_worker:
            record = decode_record(value, WorkerRecord) or self.workers.get(address)
            if record is None and ADDRESS_MARK in address:
                record = WorkerRecord("")
            if record is not None and address:
                self.listed.add(address)
                self.workers[address] = record
        elif key.startswith(DISPATCHER_PREFIX):
            record = decode_record(value, DispatcherRecord)
            if record is not None and address:
                self.dispatchers[address] = record

    def remove_expired(self, now: float) -> bool:
        """Remove members unlisted for over ``UNLISTED_GRACE_MS``; return whether there were any."""
        expired = [
            key
            for key, since_ms in self._unlisted_since_ms.items()
            if now - since_ms > UNLISTED_GRACE_MS
        ]
        for key in expired:
            del self._unlisted_since_ms[key]
            self.workers.pop(key.removeprefix(WORKER_PREFIX), None)
            self.dispatchers.pop(key.removeprefix(DISPATCHER_PREFIX), None)
        self.version += bool(expired)
        return bool(expired)


def decode_record(value: bytes, record_type: type[Record]) -> Record | None:
    """Return the record in a key's value, or None if the value is invalid.

    An invalid value may have been written by another program.
    """
    try:
        record = msgspec.json.decode(value, type=record_type)
    except DECODE_ERRORS as error:
        _LOG.warning("invalid member record: %s", error)
        return None
    life = record.life if isinstance(record, WorkerRecord) else None
    fault = find_report_fault(life) if life else ""
    if fault:
        _LOG.warning("invalid member record: %s", fault)
        return None
    return record


def encode_record(record: Record) -> bytes:
    """Return the value to store under a member's key."""
    return msgspec.json.encode(record)


def _worker_key(address: str) -> str:
    return WORKER_PREFIX + address


def _dispatcher_key(address: str) -> str:
    return DISPATCHER_PREFIX + address
