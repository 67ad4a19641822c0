"""Wire types of the subset of etcd's v3 JSON gateway that the dispatcher uses.

Keys and values are base64 text, 64-bit integers are strings (the proto3 JSON mapping).
"""

import msgspec

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEPALIVE_PATH = "/v3/lease/keepalive"
WATCH_PATH = "/v3/watch"

# gRPC status codes, as the gateway reports them.
INVALID_ARGUMENT = 3
NOT_FOUND = 5
PERMISSION_DENIED = 7
UNIMPLEMENTED = 12
UNAVAILABLE = 14
UNAUTHENTICATED = 16
REJECTED = frozenset(
    {INVALID_ARGUMENT, NOT_FOUND, PERMISSION_DENIED, UNIMPLEMENTED, UNAUTHENTICATED}
)

COMPARE_REVISION = "MOD"
DELETE_EVENT = "DELETE"

Int64 = int | str


class Header(msgspec.Struct, omit_defaults=True):
    """Header of every reply, with the store's revision."""

    revision: Int64 = 0


class WirePair(msgspec.Struct, omit_defaults=True):
    """One key as the gateway writes it."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: Int64 = 0
    lease: Int64 = 0


class RangeRequest(msgspec.Struct, omit_defaults=True):
    """Read of one key, or of all keys from ``key`` up to ``range_end``."""

    key: bytes
    range_end: bytes = b""


class RangeReply(msgspec.Struct, omit_defaults=True):
    """Keys found by a read."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[WirePair] = []


class Compare(msgspec.Struct):
    """Condition of a transaction."""

    key: bytes
    mod_revision: Int64
    target: str = COMPARE_REVISION
    result: str = "EQUAL"


class PutRequest(msgspec.Struct, omit_defaults=True):
    """Write of one key."""

    key: bytes
    value: bytes = b""
    lease: Int64 = 0


class DeleteRequest(msgspec.Struct, omit_defaults=True):
    """Deletion of one key."""

    key: bytes


class Operation(msgspec.Struct, omit_defaults=True):
    """One step of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(msgspec.Struct, omit_defaults=True):
    """Transaction: ``success`` where all conditions hold, ``failure`` otherwise."""

    compare: list[Compare]
    success: list[Operation] = []
    failure: list[Operation] = []


class OperationReply(msgspec.Struct, omit_defaults=True):
    """Reply to one step of a transaction."""

    response_range: RangeReply | None = None


class TxnReply(msgspec.Struct, omit_defaults=True):
    """Which branch of a transaction ran, and its replies."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: list[OperationReply] = []


class Lease(msgspec.Struct, omit_defaults=True):
    """A lease in requests and replies; its time to live is in seconds."""

    id: Int64 = msgspec.field(default=0, name="ID")
    ttl: Int64 = msgspec.field(default=0, name="TTL")


class ErrorReply(msgspec.Struct, omit_defaults=True):
    """Reply of a call that failed."""

    code: int = 0
    message: str = ""


class KeepAliveLine(msgspec.Struct, omit_defaults=True):
    """One line of the stream of a lease renewal."""

    result: Lease


class WatchCreate(msgspec.Struct, omit_defaults=True):
    """What to watch, from ``start_revision`` on."""

    key: bytes
    range_end: bytes
    start_revision: Int64
    progress_notify: bool = False


class WatchRequest(msgspec.Struct):
    """Opening of a watch."""

    create_request: WatchCreate


class WatchEvent(msgspec.Struct, omit_defaults=True):
    """One modification; a write unless ``type`` says ``DELETE``."""

    kv: WirePair
    type: str = "PUT"


class WatchReply(msgspec.Struct, omit_defaults=True):
    """One message of a watch."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: Int64 = 0
    events: list[WatchEvent] = []


class WatchLine(msgspec.Struct, omit_defaults=True):
    """One line of the stream of a watch."""

    result: WatchReply


def prefix_range(prefix: str) -> RangeRequest:
    """Return the range that holds all keys under a prefix."""
    if not prefix:
        return RangeRequest(b"\0", b"\0")
    key = prefix.encode()
    return RangeRequest(key, key[:-1] + bytes([key[-1] + 1]))
