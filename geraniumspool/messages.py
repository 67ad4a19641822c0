"""Messages between the processes, and their codec.

Each message is a ``NamedTuple`` encoded as a MessagePack array. An
:class:`Envelope` names the sender's and the receiver's incarnation, so a
process that reuses an address rejects messages for its predecessor there.
Times are in milliseconds. Deadlines and limits are sent as durations, never
as points in time.

Messages grow at their ends: a new field has a default and follows the others, and a receiver
skips what it does not know. Processes of earlier builds are sent what they read; see
:mod:`wire_versions`.

Two roles appear in the messages about jobs: an *entry* accepts requests from
callers, and an agent is the *home* of a job: it keeps the job's state and
assigns its tasks. In messages about tasks, the *runner* is the part of an
agent that runs tasks on its host's minion.
"""

import functools
import math
from typing import NamedTuple, TypeAlias

import msgspec

from geraniumspool.claim_messages import (
    ClaimJobs,
    ClaimVerdicts,
    EndClaims,
    FenceJobs,
    JobsFenced,
    OpenClaims,
    RelayClaims,
    RelayedClaims,
)
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import MalformedMessage, UnknownKind
from geraniumspool.job_messages import (
    CancelJob,
    DispatcherReport,
    DropJobs,
    ForwardedEnd,
    ForwardJob,
    JobCancelled,
    ServiceLoad,
)
from geraniumspool.message_growth import skip_unknown_elements, trim_elements
from geraniumspool.queues import Queue
from geraniumspool.run_messages import (
    RenewRuns,
    RunOrder,
    StartRuns,
    StopRuns,
    WorkerReport,
    WorkerState,
)
from geraniumspool.wire_versions import CURRENT_VERSION, VERSION_EXTENSIBLE, VERSION_STAMPED

# As the receiver of a message: any run of the process at the address may handle it.
ANY_INCARNATION = 0


class Peer(NamedTuple):
    """One run of a process, identified by its address and its incarnation.

    :param address: inbox address, such as ``tcp://127.0.0.1:7000``
    :param incarnation: random 64-bit number chosen when the process starts
    """

    address: str
    incarnation: int


class Load(NamedTuple):
    """Capacity and load of a worker when the message was sent.

    :param slots: maximum number of concurrent tasks
    :param free: idle slots
    :param queued: tasks waiting for a slot
    :param wait_ms: predicted wait of a task that arrives now
    :param urgent: number of queued tasks that may use any slot, including reserved ones
    :param next_ms: predicted time until a slot becomes free
    :param backlog_ms: total estimated run time of the tasks that wait at the home in the same
        process
    :param lateness: score of how strongly run times indicate a slow minion, 0 for no evidence
    """

    slots: int = 0
    free: int = 0
    queued: int = 0
    wait_ms: float = 0.0
    urgent: int = 0
    next_ms: float = 0.0
    backlog_ms: float = 0.0
    lateness: float = 0.0

    def round_up(self) -> "Load":
        """Return the load rounded up to integers, whose encoding is shorter."""
        return Load(*map(math.ceil, self))


class Task(NamedTuple):
    """One task as its caller described it.

    :param payload: JSON text passed to the minion unchanged
    :param size: declared size; a minion accepts only tasks up to its maximum size
    :param run_ms: declared run time, or 0 if none is declared
    """

    payload: bytes
    size: float = 0.0
    run_ms: float = 0.0


class Submit(NamedTuple):
    """Entry to home: run this job, or attach to it if the ticket is known already.

    :param request: correlation id that the answer repeats
    :param ticket: id of the job, used as its idempotency key
    :param deadline_ms: time left until the job's deadline
    :param digest: hash of the job's body; a different hash under the same ticket is a conflict
    """

    request: int
    ticket: str
    service: str
    team: str
    deadline_ms: float
    digest: bytes
    tasks: tuple[Task, ...]


class Decline(NamedTuple):
    """Entry to home: reject this job unless the home knows it already.

    The home records the rejection, so that a later submission under the same ticket cannot run
    a job that was reported as "not run".
    """

    request: int
    ticket: str
    digest: bytes
    code: str
    detail: str
    retry_after_ms: float


class Inquire(NamedTuple):
    """Entry to home: request the state of a job.

    :param explain: whether to include the decisions made for the job in the answer
    """

    request: int
    ticket: str
    explain: bool = False


class Cancel(NamedTuple):
    """Entry to home: cancel this job."""

    request: int
    ticket: str


class Answer(NamedTuple):
    """Home to entry: a job's current state or its final outcome.

    :param request: correlation id of the request that is answered
    :param state: one of the ``STATE_`` constants
    :param code: reason code of a failure, else empty
    :param detail: human-readable explanation of a failure, else empty
    :param retry_after_ms: time after which a retry may succeed, or 0
    :param results: results of the tasks as JSON texts in task order, for a complete job
    :param load: load of the home's process
    :param decisions: JSON text of the decisions made for the job, if requested
    :param decision: id of the decision that caused a failure, else empty
    """

    request: int
    ticket: str
    state: str
    code: str = ""
    detail: str = ""
    retry_after_ms: float = 0.0
    results: tuple[bytes, ...] = ()
    load: Load = Load()
    decisions: bytes = b""
    decision: str = ""


# States of a job in an Answer.
STATE_UNKNOWN = "unknown"
STATE_RUNNING = "running"
STATE_COMPLETE = "complete"
STATE_NOT_RUN = "not_run"
STATE_MAY_HAVE_RUN = "may_have_run"
STATE_CONFLICT = "conflict"
FINAL_STATES = frozenset({STATE_COMPLETE, STATE_NOT_RUN, STATE_MAY_HAVE_RUN})


class OfferedTask(NamedTuple):
    """One task in an :class:`Offer`.

    :param offer: id of this assignment, unique and increasing within one run of the home's process
    :param job: random number in the job's ticket
    :param index: index of the task in its job
    :param payload: JSON text passed to the minion unchanged
    :param run_ms: expected run time
    :param rank: priority among the tasks queued at a worker; the lowest runs first
    :param limit_ms: maximum run time, after which the task's outcome counts as unknown
    :param any_slot: whether it may also use the slots reserved for narrow jobs (with few tasks)
    :param patience_ms: predicted wait above which the runner refuses the task, 0 for no limit
    """

    offer: int
    job: int
    index: int
    service: str
    payload: bytes
    run_ms: float
    rank: float
    limit_ms: float
    any_slot: bool = True
    patience_ms: float = 0.0


class Offer(NamedTuple):
    """Home to runner: run these tasks, each at most once.

    :param floor: all offers with lower ids are settled; the runner refuses them from now on and
        may discard their state
    :param more: whether further tasks wait at the home for a free slot
    :param load: load of the home's own process
    """

    floor: int
    tasks: tuple[OfferedTask, ...]
    more: bool = False
    load: Load = Load()


class TaskResult(NamedTuple):
    """Outcome of one task.

    :param offer: id of the offer that assigned the task
    :param ok: whether the minion returned a result
    :param body: JSON text of the result, or of the error
    :param code: reason code of a failure, else empty
    :param run_ms: run time at the minion
    """

    offer: int
    ok: bool
    body: bytes
    code: str
    run_ms: float


class Refusal(NamedTuple):
    """A task that was refused: it did not start and will never start under this offer.

    :param offer: id of the refused offer
    :param code: reason code
    """

    offer: int
    code: str


class Results(NamedTuple):
    """Runner to home: outcomes of offered tasks.

    :param done: tasks that ended
    :param refused: tasks that never start under their offers
    :param load: load of the runner's process
    """

    done: tuple[TaskResult, ...]
    refused: tuple[Refusal, ...]
    load: Load


class Revoke(NamedTuple):
    """Home to runner: do not start the tasks of these offers any more.

    :param floor: all offers with lower ids are settled, as in :class:`Offer`
    :param offers: ids of the revoked offers
    :param stop: whether to stop tasks that already run as well
    """

    floor: int
    offers: tuple[int, ...]
    stop: bool = False


class Revoked(NamedTuple):
    """Runner to home: the state of each offer in a :class:`Revoke`.

    Outcomes of finished tasks are sent again in a :class:`Results`.

    :param not_started: offers refused permanently; the runner keeps a tombstone for each
    :param started: offers whose task is running
    :param lost: offers whose task may have run, but whose result the runner no longer keeps
    :param load: load of the runner's process
    """

    not_started: tuple[int, ...]
    started: tuple[int, ...]
    lost: tuple[int, ...]
    load: Load


class WrongIncarnation(NamedTuple):
    """Any process: a message was rejected because it names another incarnation as receiver.

    :param kind: number of the rejected message's type
    :param request: correlation id of the rejected message, or 0
    :param meant: incarnation that the rejected message names as receiver
    """

    kind: int
    request: int = 0
    meant: int = 0


class Member(NamedTuple):
    """Membership entry of one process.

    :param domain: failure domain of the process
    :param role: ``entry`` or ``agent``
    :param state: one of the ``MEMBER_`` constants
    :param service: service that the agent's minion provides, else empty
    :param max_size: largest declared size of a task that the minion accepts, 0 for any
    :param load: capacity and load of the process
    :param archive: address of the peer that keeps its records after it has left, else empty
    :param archive_incarnation: that peer's incarnation, or 0
    :param version: incremented by the member itself on every change except of its load
    """

    address: str
    incarnation: int
    domain: str
    role: str
    state: str
    service: str = ""
    max_size: float = 0.0
    load: Load = Load()
    archive: str = ""
    archive_incarnation: int = 0
    version: int = 0


# States of a Member.
MEMBER_STARTING = "starting"
MEMBER_READY = "ready"
MEMBER_EJECTED = "ejected"
MEMBER_LEAVING = "leaving"
MEMBER_LEFT = "left"
MEMBER_DEAD = "dead"


class Document(NamedTuple):
    """One configuration document at one revision.

    :param key: key such as ``service/fitting`` or ``team/opticians``
    :param revision: modification revision of the key in the store
    :param body: JSON text, empty if the document was deleted
    """

    key: str
    revision: int
    body: bytes


class Heartbeat(NamedTuple):
    """Agent to entry: heartbeat with the agent's full state.

    :param member: membership entry of the agent
    :param roster_entry: incarnation of the entry that issued ``roster_version``
    :param roster_version: newest roster version that the agent knows, 0 to request the whole
        roster
    :param config_revision: newest configuration revision that the agent has applied
    """

    member: Member
    roster_entry: int
    roster_version: int
    config_revision: int


class HeartbeatReply(NamedTuple):
    """Entry to agent: roster and configuration changes since the heartbeat's versions.

    :param roster_version: newest roster version of the entry
    :param whole: whether ``members`` is the whole roster
    :param members: changed members, or all members if ``whole``
    :param loads: sample of the members' loads, as address, incarnation and load, while tasks
        wait
    :param config_revision: newest configuration revision of the entry
    :param documents: changed configuration documents
    :param period_ms: time until the next heartbeat
    :param unreachable: failure domains of which the entry receives no messages
    :param again: whether the agent should send a full :class:`Heartbeat` next
    :param released: addresses of agents of other failure domains about which this agent
        receives no further updates
    """

    roster_version: int
    whole: bool
    members: tuple[Member, ...]
    loads: tuple[tuple[str, int, Load], ...]
    config_revision: int
    documents: tuple[Document, ...]
    period_ms: float
    unreachable: tuple[str, ...] = ()
    again: bool = False
    released: tuple[str, ...] = ()


class Digest(NamedTuple):
    """Entry to entry: anti-entropy exchange of membership, demand and configuration.

    :param sender: membership entry of the sender
    :param whole: whether ``members`` has all members that send heartbeats to the sender
    :param members: members that send heartbeats to the sender
    :param demand: team, tasks per second and running tasks at the sender, for teams that have a
        quota; a team whose demand has ended is listed with zeros
    :param in_force: failure domains that the sender serves, each with the lowest configuration
        revision applied there
    :param config_revision: newest configuration revision of the sender
    :param documents: configuration documents that the receiver lacks
    :param reply: whether the receiver should answer with its own digest
    :param all_demand: whether ``demand`` lists all teams instead of only the changed ones
    """

    sender: Member
    whole: bool
    members: tuple[Member, ...]
    demand: tuple[tuple[str, float, float], ...]
    in_force: tuple[tuple[str, int], ...]
    config_revision: int
    documents: tuple[Document, ...]
    reply: bool = False
    all_demand: bool = False


class Record(NamedTuple):
    """A finished job, handed over when its home leaves.

    :param digest: hash of the job's body
    :param answer: final outcome of the job
    """

    ticket: str
    digest: bytes
    answer: Answer


class Handover(NamedTuple):
    """Leaving home to a peer: keep these records of finished jobs; there is nothing to run.

    :param home: process that owned the records
    :param batch: number of this batch, repeated in its :class:`HandoverReceipt`
    :param watermark_ms: latest issue time of a ticket whose record may be missing
    :param watermark_job: random number of that ticket, the tie-breaker at the same time
    :param last: whether the archive is complete after this message
    """

    home: Peer
    batch: int
    watermark_ms: int
    watermark_job: int
    records: tuple[Record, ...]
    last: bool


class HandoverReceipt(NamedTuple):
    """Peer to the leaving home: acknowledges that a batch is stored."""

    home: Peer
    batch: int


class Drain(NamedTuple):
    """Entry to any process: an operator requests a graceful shutdown.

    :param who: operator who requested it
    :param why: reason given by the operator
    """

    who: str
    why: str


class ShortHeartbeat(NamedTuple):
    """Agent to the entry that answered its last heartbeat: only the load has changed.

    :param version: version of the agent's membership entry; the entry compares it with its own
        copy to detect a missed update
    :param roster_version: newest roster version that the agent knows
    :param config_revision: newest configuration revision that the agent has applied
    :param load: current load of the agent
    """

    version: int
    roster_version: int
    config_revision: int
    load: Load


class LinkStamp(NamedTuple):
    """Number of a message, and what its sender has received; see :mod:`link_monitor`.

    :param number: increases with each message of the sender's incarnation, 0 for none
    :param received: highest number that the sender has received from the receiver, 0 for none
    :param generation: increases when the sender or the receiver replaces its connection to the
        other one, which then replaces its own as well
    """

    number: int = 0
    received: int = 0
    generation: int = 0


NO_STAMP = LinkStamp()


class Envelope(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Wire format of every message: routing header and encoded body.

    Further elements are skipped.

    :param kind: number of the message type
    :param sender: the sending process
    :param receiver: incarnation of the intended receiver, or ``ANY_INCARNATION``
    :param body: encoded message
    :param number: ``number`` of the :class:`LinkStamp`
    :param received: ``received`` of the :class:`LinkStamp`
    :param generation: ``generation`` of the :class:`LinkStamp`
    """

    kind: int
    sender: Peer
    receiver: int
    body: msgspec.Raw
    number: int = 0
    received: int = 0
    generation: int = 0


Message: TypeAlias = NamedTuple

# The index of a type is its kind number on the wire, so the order must not change.
_MESSAGE_TYPES: tuple[type, ...] = (
    Submit,
    Decline,
    Inquire,
    Cancel,
    Answer,
    Offer,
    Results,
    Revoke,
    Revoked,
    WrongIncarnation,
    Heartbeat,
    HeartbeatReply,
    Digest,
    Handover,
    HandoverReceipt,
    Drain,
    ShortHeartbeat,
    StartRuns,
    StopRuns,
    RenewRuns,
    WorkerReport,
    ForwardJob,
    ForwardedEnd,
    DropJobs,
    DispatcherReport,
    ClaimJobs,
    OpenClaims,
    ClaimVerdicts,
    EndClaims,
    FenceJobs,
    JobsFenced,
    RelayClaims,
    RelayedClaims,
    CancelJob,
    JobCancelled,
)
# Kinds below this number are known to every build that is in use.
_BASE_KINDS = 31
# The protocols of dispatchers and executors rely on the order of their messages, which are repeated
# or reconciled if they are lost. Those of entries and agents have numbers and versions of their
# own, and take a message however late it is.
_ORDERED_TYPES = frozenset(
    (
        StartRuns,
        StopRuns,
        RenewRuns,
        WorkerReport,
        ForwardJob,
        ForwardedEnd,
        DropJobs,
        DispatcherReport,
        ClaimJobs,
        OpenClaims,
        ClaimVerdicts,
        EndClaims,
        FenceJobs,
        JobsFenced,
        RelayClaims,
        RelayedClaims,
        WrongIncarnation,
    )
)
# How many fields the types that have grown since the base version had in it.
_BASE_LENGTHS: dict[type, int] = {
    DispatcherReport: 8,
    FenceJobs: 2,
    ForwardJob: 7,
    JobsFenced: 3,
    OpenClaims: 5,
    Queue: 10,
    RunOrder: 10,
    ServiceLoad: 6,
    WorkerState: 10,
}
_KIND_BY_TYPE = {message_type: number for number, message_type in enumerate(_MESSAGE_TYPES)}
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)


class Delivery(NamedTuple):
    """A decoded message with its sender.

    :param receiver: incarnation of the intended receiver, or ``ANY_INCARNATION``
    :param kind: number of the message type
    :param stamp: its number, and what its sender has received
    :param is_newer: whether elements that this build does not know were skipped
    """

    sender: Peer
    receiver: int
    kind: int
    message: Message
    stamp: LinkStamp = NO_STAMP
    is_newer: bool = False


@functools.cache
def _decoder_for(kind: int) -> msgspec.msgpack.Decoder:
    """Return the decoder of a message kind.

    It is created on first use, because each process receives only a few kinds.
    """
    return msgspec.msgpack.Decoder(_MESSAGE_TYPES[kind])


def kind_number(message_type: type) -> int:
    """Return the kind number of a message type."""
    return _KIND_BY_TYPE[message_type]


def kind_name(kind: int) -> str:
    """Return the type name of a kind number, for logs and metrics."""
    return _MESSAGE_TYPES[kind].__name__


def is_ordered(message: Message) -> bool:
    """Return whether a message must not be taken after a newer one of its sender."""
    return type(message) in _ORDERED_TYPES


def is_readable(message: Message, version: int) -> bool:
    """Return whether processes of a version know a message's kind."""
    return version >= VERSION_EXTENSIBLE or _KIND_BY_TYPE[type(message)] < _BASE_KINDS


def encode(
    sender: Peer,
    receiver: int,
    message: Message,
    stamp: LinkStamp = NO_STAMP,
    version: int = CURRENT_VERSION,
) -> bytes:
    """Return the encoded form of a message, envelope included.

    :param sender: the sending process
    :param receiver: incarnation of the intended receiver, or ``ANY_INCARNATION``
    :param message: instance of a registered message type
    :param stamp: its number, and what the sender has received from the receiver
    :param version: version that the receiver reads; see :mod:`wire_versions`
    """
    kind = _KIND_BY_TYPE[type(message)]
    if version < VERSION_EXTENSIBLE:
        message = trim_elements(message, _BASE_LENGTHS)
    body = msgspec.Raw(_ENCODER.encode(message))
    if version < VERSION_STAMPED:
        return _ENCODER.encode((kind, sender, receiver, body))
    return _ENCODER.encode(Envelope(kind, sender, receiver, body, *stamp))


def decode(data: bytes) -> Delivery:
    """Decode the output of :func:`encode`.

    :param data: the encoded message
    :raises UnknownKind: if ``data`` is a message of a type that this build does not know
    :raises MalformedMessage: if ``data`` is not a valid encoding of a message
    """
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
        if envelope.kind >= len(_MESSAGE_TYPES):
            raise UnknownKind(str(envelope.kind))
        if envelope.kind < 0:
            raise MalformedMessage(f"message kind {envelope.kind}")
        message, is_newer = _decode_body(envelope.kind, envelope.body)
    except DECODE_ERRORS as error:
        raise MalformedMessage(str(error)) from error
    stamp = LinkStamp(envelope.number, envelope.received, envelope.generation)
    return Delivery(envelope.sender, envelope.receiver, envelope.kind, message, stamp, is_newer)


def _decode_body(kind: int, body: msgspec.Raw) -> tuple[Message, bool]:
    """Return a message, and whether unknown elements were skipped.

    Named tuples are decoded only at their exact length, so a message with unknown elements takes
    a second, slower pass.
    """
    try:
        return _decoder_for(kind).decode(body), False
    except msgspec.ValidationError:
        message_type = _MESSAGE_TYPES[kind]
        known, has_skipped = skip_unknown_elements(msgspec.msgpack.decode(body), message_type)
        if not has_skipped:
            raise
        return msgspec.convert(known, message_type), True
