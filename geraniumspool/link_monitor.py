"""Which messages to other processes are known to have arrived.

Each process sends over connections of its own and receives over its peers'. A connection may stop
carrying data without being closed, so that a peer is heard but does not receive anything, or the
other way round. Messages therefore carry a number and the highest number received from their
receiver. Of the messages to a peer that are not confirmed, only one is tracked: a
confirmation of any later one shows that the connection works.

A process that replaces its connection to a peer raises the generation of both directions: the
peer learns by the next message that it should replace its own as well, which is likely dead too.

A connection that was replaced may still deliver what was sent over it, after newer messages over
the new one. Where a protocol relies on the order, a message that was overtaken counts as lost: all
of these repeat or reconcile what is lost, and a late message would undo that.
"""

from enum import Enum
from typing import NamedTuple

from geraniumspool.contracts import Clock
from geraniumspool.messages import ANY_INCARNATION, LinkStamp, Peer
from geraniumspool.wire_versions import (
    VERSION_BASE,
    VERSION_STAMPED,
    announced_version,
)

# A peer confirms with whatever it sends next. A message sent this long after ours that does not
# confirm it shows that ours is lost, or that the peer or the network is very slow.
CONFIRMATION_LIMIT_MS = 150.0
# The link to a peer that has confirmed nothing for this long is replaced at the next message, also
# where no answer is due: some messages are only repeated, and never answered.
UNCONFIRMED_LIMIT_MS = 10_000.0
# Shortest and longest time between two reopenings of a link that remains unconfirmed.
MIN_REOPEN_INTERVAL_MS = 250.0
MAX_REOPEN_INTERVAL_MS = 900.0
# Incarnations remembered for each address besides the current one; beyond, the one that was heard
# longest ago is forgotten.
MAX_OTHER_INCARNATIONS = 8
# Bits of the first number of a process, which is drawn from its incarnation: numbers that a peer
# has received from an earlier process at the same address rarely match.
FIRST_NUMBER_BITS = 30


class ReopenReason(Enum):
    """Why the connection to a peer is replaced."""

    # Another process has started at the address.
    RESET = "reset"
    # The peer has not confirmed a message in time.
    UNCONFIRMED = "unconfirmed"
    # The peer is heard, and has not received what was sent to it.
    NOT_RECEIVED = "not_received"
    # The peer has replaced its own connection.
    PEER_REOPENED = "peer_reopened"

    @property
    def is_found_dead(self) -> bool:
        """Whether this process has found a connection dead, so that the peer replaces its own."""
        return self in (ReopenReason.UNCONFIRMED, ReopenReason.NOT_RECEIVED)


class OutdatedReason(Enum):
    """Why a message is older than what is known from others already."""

    # A message that its sender sent later has arrived before.
    OVERTAKEN = "overtaken"
    # Another process has replaced its sender.
    FORMER_INCARNATION = "former_incarnation"


class LinkState(NamedTuple):
    """What is known about the link to one peer, for logs.

    :param unconfirmed_ms: time since the tracked unconfirmed message, 0 if there is none
    :param silent_ms: time since the peer's last message, -1 if there was none
    """

    unconfirmed_ms: float
    silent_ms: float


class _OtherIncarnation:
    """A process at a peer's address that another one has replaced, or seems to have.

    :ivar received: highest number received from it
    :ivar heard_sent: number of the latest message to the address before it was last heard
    :ivar is_former: whether another one is known to be later
    """

    __slots__ = ("heard_sent", "is_former", "received")

    def __init__(self, received: int = 0, heard_sent: int = 0):
        self.received = received
        self.heard_sent = heard_sent
        self.is_former = False


class _PeerRecord:
    """Messages exchanged with one peer; times are the clock's, in milliseconds."""

    __slots__ = (
        "incarnation",
        "version",
        "received",
        "heard_ms",
        "sent",
        "sent_ms",
        "unconfirmed",
        "unconfirmed_since_ms",
        "generation",
        "reopened_ms",
        "reopen_interval_ms",
        "heard_sent",
        "others",
    )

    def __init__(self):
        self.incarnation = ANY_INCARNATION
        # Version of that incarnation, None until it is heard.
        self.version: int | None = None
        self.received = 0
        self.heard_ms: float | None = None
        # Number and time of the latest message to the peer.
        self.sent = 0
        self.sent_ms = 0.0
        # Number of the tracked unconfirmed message, 0 if there is none.
        self.unconfirmed = 0
        self.unconfirmed_since_ms = 0.0
        self.generation = 0
        self.reopened_ms: float | None = None
        self.reopen_interval_ms = 0.0
        # Latest message that was sent to the address before the incarnation was last heard.
        self.heard_sent = 0
        # Other incarnations heard at the address, the one heard last at the end.
        self.others: dict[int, _OtherIncarnation] = {}

    def note_incarnation(self, sender: Peer, stamp: LinkStamp) -> None:
        """Record which process has sent a message, and the version that it reads."""
        if self.incarnation != sender.incarnation:
            known = self.others.pop(sender.incarnation, _OtherIncarnation())
            if self.incarnation != ANY_INCARNATION:
                self._keep_incarnation()
            self.incarnation = sender.incarnation
            self.version = announced_version(sender.incarnation)
            self.received = known.received
        self.heard_sent = self.sent
        if stamp.number:
            self.version = max(self.version, VERSION_STAMPED)
        if self.version == VERSION_BASE:
            # The peer confirms nothing.
            self.unconfirmed = 0

    def is_former(self, incarnation: int, received: int) -> bool:
        """Return whether an incarnation that was heard again is known to be a former one.

        :param received: highest number that it has received, by its message
        """
        other = self.others.get(incarnation)
        if other is None or not other.is_former:
            return False
        # The belief may rest on what a process before this one had received. A confirmation of what
        # this one has sent corrects it.
        return not self.heard_sent < received <= self.sent

    def find_former(self, received: int) -> None:
        """Find out which incarnations the current one has replaced, by what it has received.

        It has received a message that was sent after another incarnation was heard. Only one
        process at a time receives at an address, so the other one had ended before.
        """
        if received > self.sent:
            return
        for other in self.others.values():
            other.is_former |= other.heard_sent < received

    def _keep_incarnation(self) -> None:
        self.others[self.incarnation] = _OtherIncarnation(self.received, self.heard_sent)
        if len(self.others) > MAX_OTHER_INCARNATIONS:
            del self.others[next(iter(self.others))]

    def track_latest(self) -> None:
        """Track the latest message until it is confirmed."""
        self.unconfirmed = self.sent
        self.unconfirmed_since_ms = self.sent_ms

    def confirm(self, received: int) -> None:
        """Record that the peer has received messages up to a number."""
        if not self.unconfirmed <= received <= self.sent:
            return
        self.unconfirmed = 0
        self.reopen_interval_ms = 0.0
        if received < self.sent:
            self.track_latest()


class LinkMonitor:
    """Numbers the messages of one process and tracks their confirmations."""

    def __init__(self, clock: Clock, incarnation: int):
        """Start without any message.

        :param incarnation: incarnation of this process
        """
        self._clock = clock
        self._last_number = incarnation % (1 << FIRST_NUMBER_BITS)
        self._records: dict[str, _PeerRecord] = {}

    def make_stamp(self, address: str) -> LinkStamp:
        """Return the stamp of the next message to an address."""
        record = self._find_or_add(address)
        self._last_number += 1
        record.sent = self._last_number
        record.sent_ms = self._clock.now()
        if not record.unconfirmed:
            record.track_latest()
        return LinkStamp(self._last_number, record.received, record.generation)

    def find_overtaking(self, sender: Peer, stamp: LinkStamp) -> int:
        """Return the highest number received from a process if it is above a message's, else 0.

        Called before :meth:`note_received`. Two connections between processes exist for a while
        after one was replaced, and the older one may deliver its messages later.
        """
        record = self._records.get(sender.address)
        if record is None or record.incarnation != sender.incarnation:
            return 0
        return record.received if 0 < stamp.number < record.received else 0

    def is_former(self, sender: Peer, stamp: LinkStamp) -> bool:
        """Return whether another process is known to have replaced the sender of a message.

        Called before :meth:`note_received`. What a process has sent may arrive after its successor
        was heard. Which of two came first is known once one of them has received a message that was
        sent after the other one was heard; until then, whichever was heard last is current.
        """
        record = self._records.get(sender.address)
        if record is None or not record.others:
            return False
        return record.is_former(sender.incarnation, stamp.received)

    def note_received(self, sender: Peer, stamp: LinkStamp) -> ReopenReason | None:
        """Record a message; return why the connection to its sender is dead, None if it is not."""
        record = self._find_or_add(sender.address)
        record.heard_ms = self._clock.now()
        record.note_incarnation(sender, stamp)
        if not stamp.number:
            return None
        record.received = max(record.received, stamp.number)
        if record.others:
            record.find_former(stamp.received)
        if record.unconfirmed:
            record.confirm(stamp.received)
        if stamp.generation > record.generation:
            record.generation = stamp.generation
            return ReopenReason.PEER_REOPENED
        if not record.unconfirmed:
            return None
        unconfirmed_ms = record.heard_ms - record.unconfirmed_since_ms
        return ReopenReason.NOT_RECEIVED if unconfirmed_ms > CONFIRMATION_LIMIT_MS else None

    def heard_version(self, sender: Peer) -> int | None:
        """Return the version of a process that was heard, None before its first message."""
        record = self._records.get(sender.address)
        if record is None or record.incarnation != sender.incarnation:
            return None
        return record.version

    def version_of(self, peer: Peer) -> int | None:
        """Return the version that a peer reads, or None if it is not known.

        For any incarnation at an address, that is the version of the one last heard there.
        """
        announced = announced_version(peer.incarnation)
        if announced != VERSION_BASE:
            return announced
        if peer.incarnation != ANY_INCARNATION:
            return self.heard_version(peer)
        record = self._records.get(peer.address)
        return None if record is None else record.version

    def is_unconfirmed(self, address: str, sent_ms: float) -> bool:
        """Return whether nothing was confirmed of what was sent at or after a time.

        :param sent_ms: time of the clock at which a message was sent, in milliseconds
        """
        record = self._records.get(address)
        return (
            record is not None
            and bool(record.unconfirmed)
            and record.unconfirmed_since_ms <= sent_ms
        )

    def describe(self, address: str) -> LinkState:
        """Return what is known about the link to an address."""
        record = self._records.get(address) or _PeerRecord()
        now = self._clock.now()
        unconfirmed_ms = now - record.unconfirmed_since_ms if record.unconfirmed else 0.0
        silent_ms = -1.0 if record.heard_ms is None else now - record.heard_ms
        return LinkState(unconfirmed_ms, silent_ms)

    def may_reopen(self, address: str) -> bool:
        """Return whether the link to an address was not reopened too recently.

        The interval grows while nothing is confirmed: the host may be down.
        """
        record = self._find_or_add(address)
        if record.reopened_ms is None:
            return True
        return self._clock.now() - record.reopened_ms >= record.reopen_interval_ms

    def note_reopened(self, address: str, reason: ReopenReason) -> None:
        """Record that the link is new, so that the next message over it is tracked."""
        record = self._find_or_add(address)
        if reason.is_found_dead:
            record.generation += 1
        record.reopened_ms = self._clock.now()
        doubled_ms = max(MIN_REOPEN_INTERVAL_MS, 2 * record.reopen_interval_ms)
        record.reopen_interval_ms = min(MAX_REOPEN_INTERVAL_MS, doubled_ms)
        record.unconfirmed = 0

    def forget_silent(self, limit_ms: float) -> None:
        """Forget the peers that no message was exchanged with recently.

        :param limit_ms: time without a message in milliseconds
        """
        now = self._clock.now()
        for address, record in list(self._records.items()):
            last_ms = max(record.heard_ms or 0.0, record.sent_ms)
            if now - last_ms > limit_ms:
                del self._records[address]

    def _find_or_add(self, address: str) -> _PeerRecord:
        record = self._records.get(address)
        if record is None:
            record = self._records[address] = _PeerRecord()
        return record
