"""The platform's key-value store over HTTP."""

import base64
from collections.abc import Iterator
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from geraniumspool.contracts import Change, Clock, Counters, KeyValue, Snapshot, SwapOutcome
from geraniumspool.endpoint import Endpoint
from geraniumspool.errors import (
    CompactedRevision,
    LeaseExpired,
    StoreError,
    StoreUnavailable,
    StoreUnknown,
)

# An answer takes 4 ms, and 60 times as long where the store is slow.
DEFAULT_TIMEOUT_MS = 800.0
# A watch that goes silent is found out within this and the timeout, well within the two
# seconds that a configuration has; each one costs a call.
WATCH_WAIT_MS = 1_000
CONNECTIONS = 8

Reply = TypeVar("Reply")


class Item(msgspec.Struct):
    """One key, or its deletion in a watch.

    ``revision`` is that of the key's last change.
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class Page(msgspec.Struct):
    """Part of a range; pages are no snapshot.

    ``as_of`` is the store's revision, ``has_more`` tells of a next page.
    """

    items: list[Item]
    as_of: int
    has_more: bool = False


class Events(msgspec.Struct):
    """Answer to a watch; the next one begins after ``as_of``."""

    events: list[Item]
    as_of: int


class Granted(msgspec.Struct):
    """A lease, or its renewal, which names no number."""

    ttl_ms: float
    lease: int = 0


class Written(msgspec.Struct):
    """A transaction that was carried out."""

    revision: int


class Conflict(msgspec.Struct):
    """A transaction whose condition did not hold; keys that do not exist are left out."""

    items: list[Item] = []


class KeyValueStore:
    """Client of the store; see :class:`geraniumspool.contracts.Store`. Nothing is retried."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        counters: Counters,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ):
        """Prepare the client without connecting.

        :param address: ``host:port``
        :param timeout_ms: longest wait for an answer
        """
        self._endpoint = Endpoint(f"http://{address}", CONNECTIONS, clock)
        self._counters = counters
        self._timeout_ms = timeout_ms

    def get(self, key: str) -> KeyValue | None:
        """Return one key, or None where there is none."""
        path = "/kv-key?" + urlencode({"key": key})
        response = self._call("get", "GET", path, StoreUnavailable)
        if response.status == 404:
            return None
        return _key_value(_decode(response, Item, StoreUnavailable))

    def list(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix; the revision is the first page's."""
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
        """Return a new lease."""
        body = {"ttl_ms": round(ttl_ms)}
        response = self._call("grant", "POST", "/kv-lease", StoreUnknown, body)
        return _decode(response, Granted, StoreUnknown).lease

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in milliseconds."""
        response = self._call("keep", "POST", f"/kv-keep/{lease}", StoreUnknown, {})
        if response.status == 404:
            raise LeaseExpired(f"lease {lease} has ended")
        return _decode(response, Granted, StoreUnknown).ttl_ms

    def watch(self, prefix: str, revision: int) -> Iterator[Change | None]:
        """Yield changes under a prefix after ``revision``, and None when a wait is over."""
        while True:
            query = {"prefix": prefix, "after": revision, "wait_ms": WATCH_WAIT_MS}
            path = "/kv-watch?" + urlencode(query)
            response = self._call("watch", "GET", path, StoreUnavailable, None, WATCH_WAIT_MS)
            if response.status == 410:
                raise CompactedRevision(f"revision {revision} is no longer there")
            batch = _decode(response, Events, StoreUnavailable)
            for event in batch.events:
                value = None if event.deleted else base64.b64decode(event.value)
                yield Change(event.key, value, event.revision)
            revision = max(revision, batch.as_of)
            yield None

    def _change(self, key: str, expected_revision: int, body: dict) -> SwapOutcome:
        body = {"expect": [{"key": key, "revision": expected_revision}], **body}
        response = self._call("swap", "POST", "/kv-txn", StoreUnknown, body)
        if response.status == 412:
            items = _decode(response, Conflict, StoreUnavailable, 412).items
            current = next((_key_value(item) for item in items if item.revision), None)
            return SwapOutcome(False, current.revision if current else 0, current)
        if response.status == 404:
            raise LeaseExpired("the lease of a write has ended")
        return SwapOutcome(True, _decode(response, Written, StoreUnknown).revision, None)

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        doubt: type[StoreError],
        body: dict | None = None,
        wait_ms: float = 0.0,
    ) -> urllib3.BaseHTTPResponse:
        """Make one call.

        :param doubt: error where no answer tells what came of it
        :param wait_ms: how long the store itself may wait before it answers
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
            raise doubt(f"{kind}: {type(error).__name__}") from error
        self._counters.add("store_calls", kind=kind, outcome=str(response.status))
        if response.status in (429, 503):
            raise StoreUnavailable(f"{kind}: refused with {response.status}")
        return response


def _decode(
    response: urllib3.BaseHTTPResponse,
    kind: type[Reply],
    doubt: type[StoreError],
    status: int = 200,
) -> Reply:
    if response.status != status:
        raise doubt(f"unexpected status {response.status}")
    try:
        return msgspec.json.decode(response.data, type=kind)
    except msgspec.MsgspecError as error:
        raise doubt(f"unexpected answer: {error}") from error


def _key_value(item: Item) -> KeyValue:
    return KeyValue(item.key, base64.b64decode(item.value), item.revision)
