"""Connections that are replaced once the link monitor has found them dead."""

import logging
import math

from geraniumspool.contracts import Clock, Counters
from geraniumspool.link_monitor import (
    UNCONFIRMED_LIMIT_MS,
    LinkMonitor,
    OutdatedReason,
    ReopenReason,
)
from geraniumspool.messages import (
    NO_STAMP,
    Delivery,
    Message,
    Peer,
    encode,
    is_readable,
    kind_name,
)
from geraniumspool.wire_versions import CURRENT_VERSION, VERSION_BASE, VERSION_STAMPED

_LOG = logging.getLogger(__name__)

# Shortest time between two log lines about overtaken messages of one peer.
OVERTAKEN_LOG_INTERVAL_MS = 1_000.0


class MonitoredLinks:
    """What messengers share of replacing connections; see :class:`~contracts.Links`.

    :ivar reopened_ms: time of the clock at which a dead connection was last replaced, in
        milliseconds
    """

    def __init__(
        self,
        local_peer: Peer,
        clock: Clock,
        counters: Counters,
        unknown_version: int = VERSION_BASE,
    ):
        """Start without any connection.

        :param local_peer: address and incarnation of this process
        :param counters: where peers are counted by version, and messages withheld from them
        :param unknown_version: version in which peers are written to whose version is not known
        """
        self.reopened_ms = -math.inf
        self.local_peer = local_peer
        self._clock = clock
        self._counters = counters
        self._unknown_version = unknown_version
        self._monitor = LinkMonitor(clock, local_peer.incarnation)
        self._overtaken_logged_ms: dict[str, float] = {}

    def reset(self, peer: Peer) -> None:
        """Replace the connection to a peer."""
        self._reopen(peer, ReopenReason.RESET)

    def is_connection_closed(self, peer: Peer) -> bool:
        """Return whether a peer has closed its connection."""
        raise NotImplementedError

    def is_unconfirmed(self, peer: Peer, sent_ms: float) -> bool:
        """Return whether a peer confirmed nothing sent at or after a time."""
        return self._monitor.is_unconfirmed(peer.address, sent_ms)

    def reopen_unconfirmed(self, peer: Peer, sent_ms: float) -> bool:
        """Replace the connection to a peer if it confirmed nothing sent at or after a time."""
        is_dead = self._monitor.is_unconfirmed(peer.address, sent_ms)
        return is_dead and self._reopen_if_due(peer, ReopenReason.UNCONFIRMED)

    def _encode(self, peer: Peer, message: Message) -> bytes | None:
        """Return a message in the form that its receiver reads.

        The link to the receiver may be replaced first.

        :return: the encoded message, None if the receiver's build does not know its kind
        """
        if self.reopen_unconfirmed(peer, self._clock.now() - UNCONFIRMED_LIMIT_MS):
            # An earlier build may run at the address now, which answers only what it can read.
            version = VERSION_BASE
        else:
            version = self._monitor.version_of(peer)
            if version is None:
                version = self._unknown_version
        if not is_readable(message, version):
            self._counters.add("messages_withheld", kind=type(message).__name__)
            return None
        is_stamped = version >= VERSION_STAMPED
        stamp = self._monitor.make_stamp(peer.address) if is_stamped else NO_STAMP
        return encode(self.local_peer, peer.incarnation, message, stamp, version)

    def _note_received(self, delivery: Delivery) -> OutdatedReason | None:
        """Record a message, unless it is outdated; return why it is, None if it is not."""
        sender = delivery.sender
        if self._monitor.is_former(sender, delivery.stamp):
            return OutdatedReason.FORMER_INCARNATION
        overtaking_number = self._monitor.find_overtaking(sender, delivery.stamp)
        if overtaking_number:
            # It tells nothing of how the link is now.
            self._report_overtaken(delivery, overtaking_number)
            return OutdatedReason.OVERTAKEN
        former_version = self._monitor.heard_version(sender)
        reason = self._monitor.note_received(sender, delivery.stamp)
        self._report_version(sender, former_version)
        if reason is ReopenReason.PEER_REOPENED:
            self._reopen(sender, reason)
        elif reason is not None:
            self._reopen_if_due(sender, reason)
        return None

    def _report_overtaken(self, delivery: Delivery, overtaking_number: int) -> None:
        """Count a message that arrived after a later one, and log one of a peer at a time."""
        kind = kind_name(delivery.kind)
        self._counters.add("messages_overtaken", kind=kind)
        now = self._clock.now()
        self._overtaken_logged_ms = {
            address: logged_ms
            for address, logged_ms in self._overtaken_logged_ms.items()
            if now - logged_ms < OVERTAKEN_LOG_INTERVAL_MS
        }
        address = delivery.sender.address
        if address in self._overtaken_logged_ms:
            return
        self._overtaken_logged_ms[address] = now
        fields = (
            ("peer", address),
            ("incarnation", f"{delivery.sender.incarnation:x}"),
            ("kind", kind),
            ("number", delivery.stamp.number),
            ("highest_received", overtaking_number),
        )
        _LOG.warning("message overtaken", extra={"fields": fields})

    def _report_version(self, sender: Peer, former_version: int | None) -> None:
        version = self._monitor.heard_version(sender)
        if version == former_version:
            return
        self._counters.add("peers_heard", version=str(version))
        if version != CURRENT_VERSION:
            fields = (("peer", sender.address), ("version", version), ("own", CURRENT_VERSION))
            _LOG.info("peer of another version", extra={"fields": fields})

    def _reopen_if_due(self, peer: Peer, reason: ReopenReason) -> bool:
        # A connection that was closed is reconnected below the messenger.
        if self.is_connection_closed(peer) or not self._monitor.may_reopen(peer.address):
            return False
        self._reopen(peer, reason)
        return True

    def _reopen(self, peer: Peer, reason: ReopenReason) -> None:
        self._replace_connection(peer, reason)
        if reason is not ReopenReason.RESET:
            self.reopened_ms = self._clock.now()
        self._monitor.note_reopened(peer.address, reason)

    def _replace_connection(self, peer: Peer, reason: ReopenReason) -> None:
        """Have the next message to a peer open a new connection."""
        raise NotImplementedError
