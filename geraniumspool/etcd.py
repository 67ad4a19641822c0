"""Wire types for the subset of etcd's v3 JSON gateway that the dispatcher uses.

Following the proto3 JSON mapping, keys and values are base64 text and 64-bit
integers are strings.
"""

import msgspec

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEPALIVE_PATH = "/v3/lease/keepalive"
WATCH_PATH = "/v3/watch"

# gRPC status codes, as reported by the gateway.
INVALID_ARGUMENT = 3
NOT_FOUND = 5
PERMISSION_DENIED = 7
UNIMPLEMENTED = 12
UNAVAILABLE = 14
UNAUTHENTICATED = 16
# Codes which guarantee that the call had no effect.
REJECTED = frozenset(
    {INVALID_ARGUMENT, NOT_FOUND, PERMISSION_DENIED, UNIMPLEMENTED, UNAUTHENTICATED}
)

# Target of a condition that compares the key's modification revision.
COMPARE_REVISION = "MOD"
DELETE_EVENT = "DELETE"

Int64 = int | str


class Header(msgspec.Struct, omit_defaults=True):
    """Header of every reply, with the current revision of the store."""

    revision: Int64 = 0


class WirePair(msgspec.Struct, omit_defaults=True):
    """Key with its value, modification revision and lease (0 for none)."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: Int64 = 0
    lease: Int64 = 0


class RangeRequest(msgspec.Struct, omit_defaults=True):
    """Read of one key, or of all keys from ``key`` up to but without ``range_end``."""

    key: bytes
    range_end: bytes = b""


class RangeReply(msgspec.Struct, omit_defaults=True):
    """Reply to a read, with the keys found."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[WirePair] = []


class Compare(msgspec.Struct):
    """Condition of a transaction on the modification revision of a key."""

    key: bytes
    mod_revision: Int64
    target: str = COMPARE_REVISION
    result: str = "EQUAL"


class PutRequest(msgspec.Struct, omit_defaults=True):
    """Write of one key, bound to a lease unless ``lease`` is 0."""

    key: bytes
    value: bytes = b""
    lease: Int64 = 0


class DeleteRequest(msgspec.Struct, omit_defaults=True):
    """Deletion of one key."""

    key: bytes


class Operation(msgspec.Struct, omit_defaults=True):
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(msgspec.Struct, omit_defaults=True):
    """Transaction: runs ``success`` if all conditions hold, else ``failure``."""

    compare: list[Compare]
    success: list[Operation] = []
    failure: list[Operation] = []


class OperationReply(msgspec.Struct, omit_defaults=True):
    """Reply to one operation of a transaction; only reads have content."""

    response_range: RangeReply | None = None


class TxnReply(msgspec.Struct, omit_defaults=True):
    """Reply to a transaction: whether ``success`` ran, and the replies of its operations."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: list[OperationReply] = []


class Lease(msgspec.Struct, omit_defaults=True):
    """Lease in requests and replies, with its time to live in seconds."""

    id: Int64 = msgspec.field(default=0, name="ID")
    ttl: Int64 = msgspec.field(default=0, name="TTL")


class ErrorReply(msgspec.Struct, omit_defaults=True):
    """Reply to a failed call, with a gRPC status code."""

    code: int = 0
    message: str = ""


class KeepAliveLine(msgspec.Struct, omit_defaults=True):
    """One line of the response stream of a lease renewal."""

    result: Lease


class WatchCreate(msgspec.Struct, omit_defaults=True):
    """Key range to watch, beginning with changes at ``start_revision``."""

    key: bytes
    range_end: bytes
    start_revision: Int64
    progress_notify: bool = False


class WatchRequest(msgspec.Struct):
    """Request that opens a watch."""

    create_request: WatchCreate


class WatchEvent(msgspec.Struct, omit_defaults=True):
    """One change of a key: a write, or a deletion if ``type`` is ``DELETE``."""

    kv: WirePair
    type: str = "PUT"


class WatchReply(msgspec.Struct, omit_defaults=True):
    """One message of a watch.

    :ivar compact_revision: if not 0, the watch failed because older revisions were compacted
    """

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = 0
    events: list[WatchEvent] = []


class WatchLine(msgspec.Struct, omit_defaults=True):
    """One line of the response stream of a watch."""

    result: WatchReply


def prefix_range(prefix: str) -> RangeRequest:
    """Return a request for all keys that begin with a prefix."""
    if not prefix:
        return RangeRequest(b"\0", b"\0")
    key = prefix.encode()
    return RangeRequest(key, key[:-1] + bytes([key[-1] + 1]))
