"""HTTP client for the platform's key-value store."""

import base64
import logging
from collections.abc import Iterator
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from geraniumspool.contracts import Change, Clock, Counters, KeyValue, Snapshot, SwapOutcome
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.endpoint import Endpoint
from geraniumspool.errors import (
    CompactedRevision,
    LeaseExpired,
    StoreError,
    StoreUnavailable,
    StoreUnknown,
)

_LOG = logging.getLogger(__name__)

# The store answers in 4 ms, and in about 240 ms when it is slow.
DEFAULT_TIMEOUT_MS = 800.0
# Longest wait of one watch call at the store. A broken watch is detected within this plus the
# timeout, which is less than the two seconds within which a configuration must be in force.
# Shorter waits cost more calls.
WATCH_WAIT_MS = 1_000
MAX_CONNECTIONS = 8

AnswerT = TypeVar("AnswerT")


class Item(msgspec.Struct):
    """One key, or the deletion of a key reported by a watch.

    :ivar revision: store revision of the key's last modification
    :ivar value: value in Base64
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class Page(msgspec.Struct):
    """One page of a listing; the pages of a listing may be of different revisions.

    :ivar as_of: store revision of this page
    :ivar has_more: whether another page follows
    """

    items: list[Item]
    as_of: int
    has_more: bool = False


class WatchAnswer(msgspec.Struct):
    """Answer to a watch call.

    :ivar as_of: revision that the next watch call starts after
    """

    events: list[Item]
    as_of: int


class LeaseAnswer(msgspec.Struct):
    """A new lease or the renewal of one.

    :ivar ttl_ms: time to live in milliseconds
    :ivar lease: id of a new lease, left out of a renewal
    """

    ttl_ms: float
    lease: int = 0


class CommitAnswer(msgspec.Struct):
    """A transaction that was committed.

    :ivar revision: store revision of the transaction
    """

    revision: int


class ConflictAnswer(msgspec.Struct):
    """A transaction whose precondition failed.

    :ivar items: current state of the compared keys; keys that do not exist are left out
    """

    items: list[Item] = []


class KeyValueStore:
    """HTTP client of the store; see :class:`geraniumspool.contracts.Store`.

    Calls are never retried.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        counters: Counters,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ):
        """Create the client; connections are opened by the first calls.

        :param address: ``host:port`` of the store
        :param counters: where ``store_calls`` is counted by kind and outcome
        :param timeout_ms: longest wait for an answer in milliseconds
        """
        self._endpoint = Endpoint(f"http://{address}", MAX_CONNECTIONS, clock)
        self._counters = counters
        self._timeout_ms = timeout_ms

    def get(self, key: str) -> KeyValue | None:
        """Return one key, or None if it does not exist."""
        path = "/kv-key?" + urlencode({"key": key})
        response = self._call("get", "GET", path, StoreUnavailable)
        if response.status == 404:
            return None
        return _key_value(_decode(response, Item, StoreUnavailable))

    def list(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix, which may take several calls.

        Later pages may be newer than the first. The snapshot has the revision of the first
        page, so that a watch from there repeats changes rather than missing some.
        """
        pairs: list[KeyValue] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            path = "/kv-range?" + urlencode(query)
            response = self._call("list", "GET", path, StoreUnavailable)
            page = _decode(response, Page, StoreUnavailable)
            revision = revision or page.as_of
            pairs += map(_key_value, page.items)
            if not page.has_more or not page.items:
                return Snapshot(revision, tuple(pairs))
            after = page.items[-1].key

    def swap(self, key: str, expected_revision: int, value: bytes, lease: int = 0) -> SwapOutcome:
        """Write ``value`` if the key's revision is ``expected_revision``."""
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "lease": lease}
        return self._change(key, expected_revision, {"set_keys": [item], "delete_keys": []})

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete the key if its revision is ``expected_revision``."""
        return self._change(key, expected_revision, {"set_keys": [], "delete_keys": [key]})

    def grant_lease(self, ttl_ms: float) -> int:
        """Return the id of a new lease; see :meth:`geraniumspool.contracts.Store.grant_lease`."""
        body = {"ttl_ms": round(ttl_ms)}
        response = self._call("grant", "POST", "/kv-lease", StoreUnknown, body)
        return _decode(response, LeaseAnswer, StoreUnknown).lease

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in milliseconds."""
        response = self._call("keep", "POST", f"/kv-keep/{lease}", StoreUnknown, {})
        if response.status == 404:
            raise LeaseExpired(f"lease {lease} does not exist in the store")
        return _decode(response, LeaseAnswer, StoreUnknown).ttl_ms

    def watch(self, prefix: str, revision: int) -> Iterator[Change | None]:
        """Yield changes under a prefix after ``revision``, and None after each call.

        :raises CompactedRevision: if the store has compacted that revision
        """
        while True:
            query = {"prefix": prefix, "after": revision, "wait_ms": WATCH_WAIT_MS}
            path = "/kv-watch?" + urlencode(query)
            response = self._call("watch", "GET", path, StoreUnavailable, None, WATCH_WAIT_MS)
            if response.status == 410:
                raise CompactedRevision(f"revision {revision} of {prefix!r} has been compacted")
            batch = _decode(response, WatchAnswer, StoreUnavailable)
            for event in batch.events:
                value = None if event.deleted else _decode_value(event)
                yield Change(event.key, value, event.revision)
            revision = max(revision, batch.as_of)
            yield None

    def _change(self, key: str, expected_revision: int, body: dict) -> SwapOutcome:
        body = {"expect": [{"key": key, "revision": expected_revision}], **body}
        response = self._call("swap", "POST", "/kv-txn", StoreUnknown, body)
        if response.status == 412:
            items = _decode(response, ConflictAnswer, StoreUnavailable, 412).items
            current = next((_key_value(item) for item in items if item.revision), None)
            return SwapOutcome(False, current.revision if current else 0, current)
        if response.status == 404:
            raise LeaseExpired(f"the lease for the write to {key!r} does not exist in the store")
        return SwapOutcome(True, _decode(response, CommitAnswer, StoreUnknown).revision, None)

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        unanswered_error: type[StoreError],
        body: dict | None = None,
        wait_ms: float = 0.0,
    ) -> urllib3.BaseHTTPResponse:
        """Make one call.

        :param kind: label of the call in the metrics
        :param unanswered_error: error to raise if the call was sent and not answered
        :param wait_ms: how long the store may delay its answer, in milliseconds
        :raises StoreUnavailable: if the store refused the connection or the call
        """
        options = {}
        if body is not None:
            options["body"] = msgspec.json.encode(body)
            options["headers"] = {"Content-Type": "application/json"}
        limit_ms = self._timeout_ms + wait_ms
        try:
            response = self._endpoint.request(method, path, limit_ms, **options)
        except NewConnectionError as error:
            self._counters.add("store_calls", kind=kind, outcome="refused")
            raise StoreUnavailable(f"{kind}: {error}") from error
        except (HTTPError, OSError) as error:
            self._counters.add("store_calls", kind=kind, outcome="unanswered")
            raise unanswered_error(f"{kind}: {type(error).__name__}") from error
        self._counters.add("store_calls", kind=kind, outcome=str(response.status))
        if response.status in (429, 503):
            raise StoreUnavailable(f"{kind}: the store refused with status {response.status}")
        return response


def _decode(
    response: urllib3.BaseHTTPResponse,
    answer_type: type[AnswerT],
    invalid_error: type[StoreError],
    status: int = 200,
) -> AnswerT:
    """Return the decoded body of an answer.

    :param invalid_error: error to raise if status or body are not as expected
    :param status: expected status
    """
    if response.status != status:
        raise invalid_error(f"the store answered with status {response.status}, not {status}")
    try:
        return msgspec.json.decode(response.data, type=answer_type)
    except DECODE_ERRORS as error:
        raise invalid_error(f"invalid {answer_type.__name__} from the store: {error}") from error


def _key_value(item: Item) -> KeyValue:
    return KeyValue(item.key, _decode_value(item), item.revision)


def _decode_value(item: Item) -> bytes:
    """Return the value of a key, empty if it is not Base64.

    An error would hide all other keys of the same answer.
    """
    try:
        return base64.b64decode(item.value)
    except ValueError as error:
        fields = (("key", item.key), ("reason", str(error)))
        _LOG.warning("invalid value in the store", extra={"fields": fields})
        return b""
