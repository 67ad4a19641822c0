"""Message transport in memory, with faults, for tests."""

import random
from collections.abc import Callable, Iterable, Sequence

import eventlet

from geraniumspool.contracts import Clock, Counters
from geraniumspool.inbound import InboundHandler, Receiver
from geraniumspool.link_monitor import ReopenReason
from geraniumspool.messages import Delivery, Message, Peer
from geraniumspool.monitored_links import MonitoredLinks
from geraniumspool.wire_versions import CURRENT_VERSION


class MemoryNetwork:
    """Simulated network for tests, with faults that can be injected at any time.

    :ivar clock: delivers the messages
    :ivar delay_ms: latency of every message, in milliseconds
    :ivar duplicate_delay_ms: further latency of the second copy of a duplicated message, in
        milliseconds
    :ivar partitioned: pairs of sender's and receiver's address between which messages are lost
    :ivar silent_links: pairs of sender's and receiver's address between which messages are lost
        until the sender opens a new connection
    :ivar stalled_links: pairs of sender's and receiver's address whose open connection keeps what
        is sent over it, also after the sender has opened a new one, until it is released
    :ivar held_messages: undelivered messages of each address whose process is paused
    :ivar dropped_kinds: names of message types to lose
    :ivar duplicated_kinds: names of message types to deliver twice
    :ivar choose_delays: function of the sender's and the receiver's address that returns the
        latency of each copy of a message, or an empty sequence if the message is lost
    :ivar sent: sender, receiver and message of everything sent, in order
    """

    def __init__(self, clock: Clock, delay_ms: float = 0.1, seed: int = 1):
        """Start with no process attached and no fault.

        :param clock: delivers the messages
        :param delay_ms: latency of every message, in milliseconds
        :param seed: seed of the random generator
        """
        self.clock = clock
        self._random = random.Random(seed)
        self._inboxes: dict[str, MemoryMessenger] = {}
        self.delay_ms = delay_ms
        self.duplicate_delay_ms = 50.0
        self.partitioned: set[tuple[str, str]] = set()
        self.silent_links: set[tuple[str, str]] = set()
        self.stalled_links: set[tuple[str, str]] = set()
        # What stalled connections have kept, by sender's and receiver's address.
        self._kept_messages: dict[tuple[str, str], list[bytes]] = {}
        self._unseen_ends: set[tuple[str, str]] = set()
        # When a process first found that another one had ended.
        self._found_ended_ms: dict[tuple[str, str], float] = {}
        self.held_messages: dict[str, list] = {}
        self.dropped_kinds: set[str] = set()
        self.duplicated_kinds: set[str] = set()
        self.choose_delays: Callable[[str, str], Sequence[float]] = self._delay_once
        self.sent: list[tuple[Peer, Peer, Message]] = []

    def attach(self, messenger: "MemoryMessenger") -> None:
        """Deliver messages for a messenger's address to this messenger."""
        address = messenger.local_peer.address
        self._inboxes[address] = messenger
        self._unseen_ends = {link for link in self._unseen_ends if link[1] != address}
        # What a former process at the address has sent may still arrive, what was sent to it won't.
        self.stalled_links = {link for link in self.stalled_links if address not in link}
        self._kept_messages = {
            link: kept for link, kept in self._kept_messages.items() if link[1] != address
        }

    def detach(self, messenger: "MemoryMessenger") -> None:
        """Stop delivery to a messenger, as if its process had died."""
        address = messenger.local_peer.address
        if self._inboxes.get(address) is messenger:
            del self._inboxes[address]
            peers = self._inboxes.keys()
            self._unseen_ends |= {(peer, address) for peer in peers if self._is_cut(peer, address)}

    def partition(self, one: str, other: str) -> None:
        """Drop all messages between two addresses, in both directions."""
        self.partitioned.update({(one, other), (other, one)})

    def silence_links(self) -> None:
        """Lose all messages over the connections that may be open now."""
        addresses = self._inboxes.keys()
        self.silent_links = {(one, other) for one in addresses for other in addresses}

    def stall_links(self, links: Iterable[tuple[str, str]]) -> None:
        """Have the connections that may be open now keep what is sent over them.

        :param links: pairs of sender's and receiver's address
        """
        self.stalled_links.update(links)

    def release_links(self) -> None:
        """Deliver what stalled connections have kept, each in order, and end all stalls.

        A connection delivers also after its sender has opened a new one.
        """
        self.stalled_links.clear()
        kept, self._kept_messages = self._kept_messages, {}
        for (_sender, receiver), messages in kept.items():
            for data in messages:
                self._schedule(receiver, self.delay_ms, data)

    def reopen(self, sender: str, receiver: str) -> None:
        """Open a new connection between two addresses."""
        self.silent_links.discard((sender, receiver))
        self.stalled_links.discard((sender, receiver))

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitioned.clear()

    def pause(self, address: str) -> None:
        """Hold back all messages to a process, as if it were paused (``SIGSTOP``)."""
        self.held_messages[address] = []

    def resume(self, address: str) -> None:
        """Resume a paused process and deliver the messages held back."""
        for data in self.held_messages.pop(address, []):
            self._deliver(address, data)

    def is_connection_closed(self, observer: str, address: str) -> bool:
        """Return whether a process sees that the process at an address has ended.

        The end closes the connections of the processes that it reaches then. To the others they
        stay open until messages pass again, which the host of the ended process rejects.
        """
        if address in self._inboxes:
            return False
        link = (observer, address)
        if link in self._unseen_ends and not self._is_cut(observer, address):
            self._unseen_ends.discard(link)
        return link not in self._unseen_ends

    def find_ended_since(self, observer: str, address: str) -> float | None:
        """Return when a process was first found to have ended, None if it is not known to have."""
        link = (observer, address)
        if address in self._inboxes or self._is_cut(observer, address):
            self._found_ended_ms.pop(link, None)
            return None
        return self._found_ended_ms.setdefault(link, self.clock.now())

    def _is_cut(self, one: str, other: str) -> bool:
        return self.is_lost(one, other) or self.is_lost(other, one)

    def transmit(self, sender: Peer, receiver: Peer, message: Message, data: bytes) -> None:
        """Schedule the delivery of one message, subject to the injected faults.

        :param data: the encoded message
        """
        self.sent.append((sender, receiver, message))
        kind = type(message).__name__
        if kind in self.dropped_kinds or self.is_lost(sender.address, receiver.address):
            return
        address = receiver.address
        link = (sender.address, address)
        if link in self.stalled_links:
            self._kept_messages.setdefault(link, []).append(data)
            return
        for delay_ms in self.choose_delays(sender.address, address):
            self._schedule(address, delay_ms, data)
        if kind in self.duplicated_kinds:
            self._schedule(address, self.delay_ms + self.duplicate_delay_ms, data)

    def is_lost(self, sender: str, receiver: str) -> bool:
        """Return whether messages between two addresses are lost."""
        link = (sender, receiver)
        return link in self.partitioned or link in self.silent_links

    def _delay_once(self, _sender: str, _receiver: str) -> Sequence[float]:
        return (self.delay_ms,)

    def _schedule(self, address: str, delay_ms: float, data: bytes) -> None:
        self.clock.after(delay_ms, lambda: self._deliver(address, data))

    def _deliver(self, address: str, data: bytes) -> None:
        if address in self.held_messages:
            self.held_messages[address].append(data)
            return
        messenger = self._inboxes.get(address)
        if messenger is not None:
            messenger.handle_data(data)


class MemoryMessenger(MonitoredLinks):
    """A messenger on a :class:`MemoryNetwork`.

    :ivar reopened: how many connections were replaced
    """

    def __init__(
        self,
        network: MemoryNetwork,
        local_peer: Peer,
        counters: Counters,
        unknown_version: int = CURRENT_VERSION,
    ):
        """Create the messenger; it receives messages only after :meth:`start`.

        :param network: the network that delivers the messages
        :param local_peer: address and incarnation of the process
        :param counters: where received and rejected messages are counted
        :param unknown_version: version in which peers are written to whose incarnation announces
            none
        """
        super().__init__(local_peer, network.clock, counters, unknown_version)
        self.reopened = 0
        self._network = network
        self._inbound = InboundHandler(local_peer, counters, self.send, self._note_received)

    def start(self, receive: Receiver) -> None:
        """Attach to the network and pass each incoming message to ``receive``."""
        self._inbound.receive = receive
        self._network.attach(self)

    def send(self, peer: Peer, message: Message) -> bool:
        """Send a message, which the network may lose; always return True."""
        if peer == self.local_peer:
            self.deliver_locally(Delivery(self.local_peer, peer.incarnation, 0, message))
            return True
        data = self._encode(peer, message)
        if data is not None:
            self._network.transmit(self.local_peer, peer, message, data)
        return True

    def handle_data(self, data: bytes) -> None:
        """Handle an encoded message delivered by the network."""
        self._inbound.handle(data)

    def deliver_locally(self, delivery: Delivery) -> None:
        """Deliver a message that the process sent to itself."""
        eventlet.spawn_n(self._inbound.receive, delivery)

    def is_connection_closed(self, peer: Peer) -> bool:
        """Return whether the end of the peer's process has closed the connection."""
        return self._network.is_connection_closed(self.local_peer.address, peer.address)

    def find_ended_since(self, peer: Peer) -> float | None:
        """Return by when the process at an address has ended, None if that is not known."""
        return self._network.find_ended_since(self.local_peer.address, peer.address)

    def _replace_connection(self, peer: Peer, _reason: ReopenReason) -> None:
        self.reopened += 1
        self._network.reopen(self.local_peer.address, peer.address)

    def stop(self) -> None:
        """Detach from the network."""
        self._network.detach(self)
