"""Interfaces and value types that real components and in-memory test doubles share."""

import enum
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from eventlet.event import Event

from geraniumspool.clock import Timer
from geraniumspool.messages import Delivery, Message, Peer
from geraniumspool.rooms import Resources


class Clock(Protocol):
    """Source of time in milliseconds; see :mod:`geraniumspool.clock`."""

    def now(self) -> float:
        """Return monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` after ``delay_ms``."""

    def sleep(self, delay_ms: float) -> None:
        """Suspend the calling green task."""

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Return whether ``event`` was sent within ``timeout_ms``."""


class Links(Protocol):
    """Connections of one process to other processes.

    :ivar reopened_ms: time of the clock at which a dead connection was last replaced, in
        milliseconds; others may be dead as well
    """

    reopened_ms: float

    def reset(self, peer: Peer) -> None:
        """Drop the connection to a peer, so that the next message opens a new one."""

    def is_connection_closed(self, peer: Peer) -> bool:
        """Return whether the connection to a peer was open and has been closed since.

        When a process ends and its host stays up, its connections close at once. When the
        host loses power or its network, they stay open. A closed connection does not show that the
        process has ended: it may have been reset by a device in between.
        """

    def find_ended_since(self, peer: Peer) -> float | None:
        """Return the clock time in ms by which the process at a peer's address has ended.

        Its host must have said so, and nothing may have been heard there since. Return None if that
        is not known, as for a process that is out of reach.
        """

    def is_unconfirmed(self, peer: Peer, sent_ms: float) -> bool:
        """Return whether a peer confirmed nothing of what was sent to it at or after a time.

        Peers confirm what they have received with whatever they send next.

        :param sent_ms: time of the clock at which a message was sent, in milliseconds
        """

    def reopen_unconfirmed(self, peer: Peer, sent_ms: float) -> bool:
        """Open a new connection to a peer if what was sent to it is unconfirmed.

        A connection may be dead without being closed. While nothing is confirmed, the interval
        between two reopenings grows.

        :param sent_ms: time of the clock at which a message was sent, in milliseconds, that the
            peer should have confirmed by now
        :returns: whether the next message goes over a new connection; it should be sent at once
        """


class Messenger(Links, Protocol):
    """Inbox and links of one process; see :mod:`geraniumspool.link`."""

    local_peer: Peer

    def start(self, receive: Callable[[Delivery], None]) -> None:
        """Start delivering incoming messages to ``receive``, in order of arrival.

        Messages addressed to another incarnation of this process are answered with
        ``WrongIncarnation`` and not delivered.

        :param receive: called with each message; must not block
        """

    def send(self, peer: Peer, message: Message) -> bool:
        """Queue a message for a peer without blocking.

        :returns: whether the message was queued; a queued message may still be lost
        """

    def stop(self) -> None:
        """Close inbox and links, allowing queued messages some time to be sent."""


class KeyValue(NamedTuple):
    """One key of the store.

    :param revision: store revision of the key's last modification
    """

    key: str
    value: bytes
    revision: int


class Snapshot(NamedTuple):
    """All keys under a prefix, read at one revision of the store.

    :param revision: store revision of the read
    """

    revision: int
    pairs: tuple[KeyValue, ...]


class Change(NamedTuple):
    """One modification reported by a watch.

    :param value: new value, or None if the key was deleted or its lease expired
    :param revision: store revision of the modification
    """

    key: str
    value: bytes | None
    revision: int


class SwapOutcome(NamedTuple):
    """Outcome of a compare-and-swap that the store answered.

    :param swapped: whether the write or deletion was carried out
    :param revision: revision of the key after the call
    :param current: the existing key if the comparison failed, None if there is no such key
    """

    swapped: bool
    revision: int
    current: KeyValue | None


class Store(Protocol):
    """The platform's key-value service.

    Implemented by :mod:`geraniumspool.etcd_store`, :mod:`geraniumspool.platform.store` and,
    in memory, :mod:`geraniumspool.memory_store`. Every call may raise ``StoreUnavailable``
    (nothing was written) or ``StoreUnknown`` (a write may have taken effect).
    """

    def get(self, key: str) -> KeyValue | None:
        """Return one key, or None if it does not exist."""

    def list(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix at one revision."""

    def swap(self, key: str, expected_revision: int, value: bytes, lease: int = 0) -> SwapOutcome:
        """Write ``value`` if the key's revision is ``expected_revision``.

        :param expected_revision: modification revision, 0 if the key must not exist
        :param lease: lease to attach the key to, 0 for none
        """

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete the key if its revision is ``expected_revision``."""

    def grant_lease(self, ttl_ms: float) -> int:
        """Return the id of a new lease, which expires unless it is kept alive.

        :param ttl_ms: time to live in milliseconds
        """

    def keep_alive(self, lease: int) -> float:
        """Renew a lease and return its time to live in milliseconds.

        :raises LeaseExpired: if the store no longer has the lease
        """

    def watch(self, prefix: str, revision: int) -> Iterator[Change | None]:
        """Yield changes under a prefix after ``revision``, until an error ends the watch.

        While nothing changes, None is yielded from time to time.

        :raises CompactedRevision: if the store has compacted that revision
        """


class Announcement(NamedTuple):
    """What a minion announces to the agent beside it.

    :param service: service whose tasks the minion runs
    :param url: base URL that tasks are posted to
    :param slots: number of tasks that the minion runs concurrently
    :param connections: largest number of connections that the minion accepts
    :param max_size: largest task size that the minion accepts, 0 for no limit
    """

    service: str
    url: str
    slots: int
    connections: int
    max_size: float = 0.0


class MinionClient(Protocol):
    """Client that a runner calls its minion with; see :mod:`geraniumspool.minion`."""

    def run(self, minion: Announcement, task_id: str, payload: bytes, timeout_ms: float) -> bytes:
        """Run one task and return its result as JSON text.

        :param timeout_ms: longest time to wait for the response, in milliseconds
        :raises NotStarted: if the connection was refused, so that the task never started
        :raises TaskFailed: if the minion answered with an error
        :raises TaskUnknown: if no response arrived in time; the task may have run
        """

    def stop(self, minion: Announcement, task_id: str) -> bool:
        """Ask the minion to stop a task; return whether it confirmed the stop."""


class MinionIncarnation(NamedTuple):
    """One incarnation of a minion, as reported by the minion.

    A minion that restarts after a crash may reuse its instance name; its sequence and end
    numbers then start from 1 again.

    :param instance: instance name
    :param service: service whose tasks the minion runs
    :param address: ``host:port`` at which the executor calls the minion
    :param resources: total resources of the minion
    :param labels: labels that tasks can require; the last one is the rack
    :param draining: whether the minion is about to shut down
    :param sequence: report number, rising within an incarnation; a report with a lower number
        than the last one arrived out of order
    :param started_unix_ms: Unix time in milliseconds at which this incarnation started;
        together with the instance name it identifies the incarnation
    """

    instance: str
    service: str
    address: str
    resources: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    sequence: int = 0
    started_unix_ms: int = 0

    def is_same_incarnation(self, other: "MinionIncarnation") -> bool:
        """Return whether both describe the same incarnation of the same minion."""
        return self.instance == other.instance and self.started_unix_ms == other.started_unix_ms

    @property
    def rack(self) -> str:
        """Return the minion's rack, which is its last label, or an empty string."""
        return self.labels[-1] if self.labels else ""


class RunKey(NamedTuple):
    """Identity of one run at a minion.

    :param task: name of the task
    :param attempt: number of the run among the task's runs, from 1
    """

    task: str
    attempt: int


class StartOutcome(enum.Enum):
    """A minion's answer to a request to start a run.

    :cvar STARTED: the run started, or had been started by an earlier request
    :cvar FENCED: the minion has seen a higher fencing token
    :cvar OLD: this attempt, or a later one of the task, was already stopped or finished
    :cvar LATE: the lease in the request had already expired
    :cvar FULL: the minion lacks the resources for the run
    :cvar UNHEALTHY: the minion is overloaded or unavailable
    :cvar REJECTED: the minion refused the request for another reason
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    FULL = "full"
    UNHEALTHY = "unhealthy"
    REJECTED = "rejected"


class StartAnswer(NamedTuple):
    """A minion's answer to a request to start a run, and the time of the answer.

    :param clock_ms: the minion's clock in milliseconds, 0 if the answer does not include it
    """

    outcome: StartOutcome
    clock_ms: float


class FinishedRun(NamedTuple):
    """A finished run in a minion's list of unacknowledged finished runs.

    :param sequence: sequence number, rising within an incarnation of the minion
    :param how: one of the RUN_ constants of :mod:`geraniumspool.run_messages`
    """

    sequence: int
    key: RunKey
    how: str


class MinionStatus(NamedTuple):
    """A minion's answer to a poll: its current runs and its unacknowledged finished runs.

    :param clock_ms: the minion's clock in milliseconds
    :param running: progress of each current run, 0..1
    :param finished: finished runs that have not been acknowledged, oldest first
    :param started_unix_ms: start of the incarnation that answered, as in :class:`MinionIncarnation`
    :param is_partial: whether there may be finished runs beyond those listed
    """

    clock_ms: float
    running: dict[RunKey, float]
    finished: tuple[FinishedRun, ...]
    started_unix_ms: int = 0
    is_partial: bool = False


class MinionControl(Protocol):
    """Client that an executor controls the runs of its minion with.

    Every call may raise ``MinionSilent`` (the call may have been carried out, or may be
    later), its subclass ``MinionDown`` (nothing listens at the address, and nothing was done)
    or ``MinionReplaced`` (that incarnation has ended). A start or stop may be carried out by
    a later incarnation with the same instance name; only the answer to :meth:`poll` tells
    which incarnation answered.
    """

    def start(
        self,
        incarnation: MinionIncarnation,
        key: RunKey,
        payload: str,
        lease_until_ms: float,
        fencing_token: int,
    ) -> StartAnswer:
        """Start a run.

        :param payload: payload of the task, passed on unchanged
        :param lease_until_ms: time on the minion's clock at which the lease of all runs at
            the minion expires
        :param fencing_token: fencing token; the minion refuses the call if it has seen a higher one
        """

    def stop(self, incarnation: MinionIncarnation, key: RunKey, fencing_token: int) -> None:
        """Stop a run; after this returns, the minion no longer starts that run.

        :param fencing_token: fencing token, as in :meth:`start`
        """

    def poll(
        self,
        incarnation: MinionIncarnation,
        fencing_token: int,
        acknowledged_number: int,
        lease_until_ms: float | None,
        wait_ms: float,
    ) -> MinionStatus:
        """Poll the minion: renew the lease, acknowledge finished runs, return its runs.

        :param fencing_token: fencing token, as in :meth:`start`
        :param acknowledged_number: number of the last finished run that the minion may forget
        :param lease_until_ms: new expiry of the lease on the minion's clock, None to leave it
        :param wait_ms: how long the minion may delay the answer until a run finishes
        :raises Fenced: if the minion has seen a higher fencing token
        """


class Counters(Protocol):
    """Counters and histograms of one process; see :mod:`geraniumspool.metrics`."""

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increment a counter."""

    def get(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Record a value in a histogram."""
