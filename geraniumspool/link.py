"""Inbox and links between the processes: pynng for real, memory for tests."""

import logging
import random
import socket
from collections import deque
from collections.abc import Callable, Sequence

import eventlet
import pynng
from eventlet.hubs import get_hub, trampoline
from eventlet.patcher import original
from eventlet.timeout import Timeout
from greenlet import getcurrent

from geraniumspool.contracts import Clock, Counters
from geraniumspool.errors import MalformedMessage
from geraniumspool.messages import (
    ANY_INCARNATION,
    Delivery,
    Message,
    Peer,
    WrongIncarnation,
    decode,
    encode,
    name_kind,
)

# nng calls back on threads of its own, which share locks with this one. As green locks they
# stopped one process in twenty of a soak for good.
pynng.nng.threading = original("threading")

_LOG = logging.getLogger(__name__)

INBOX_MESSAGES = 4096
LINK_MESSAGES = 1024
LINK_IDLE_MS = 60_000.0
# Links of a process, and those of all its peers to it, stay below 1,024 descriptors.
MAX_LINKS = 320
# What was sent last may not have left yet.
MIN_IDLE_MS = 2_000.0
SEND_TIMEOUT_MS = 2_000.0
FLUSH_MS = 200.0
RECEIVE_BURST = 64
SCOPE_LOCAL = "local"
SCOPE_CROSS = "cross"

Receiver = Callable[[Delivery], None]


def _same_domain(_peer: Peer) -> str:
    return SCOPE_LOCAL


class _Inbound:
    """Checks what arrives and hands it to the receiver."""

    def __init__(self, me: Peer, counters: Counters, respond: Callable[[Peer, Message], bool]):
        self._me = me
        self._counters = counters
        self._respond = respond
        self.receive: Receiver | None = None

    def take(self, data: bytes) -> None:
        """Decode one message and hand it over, or refuse it."""
        try:
            delivery = decode(data)
        except MalformedMessage:
            self._counters.add("messages_rejected", reason="malformed")
            return
        if delivery.receiver not in (ANY_INCARNATION, self._me.incarnation):
            self._refuse(delivery)
            return
        self._counters.add("messages_received", kind=name_kind(delivery.kind))
        try:
            self.receive(delivery)
        except Exception:
            # One handler's fault must not end the inbox of the whole process.
            self._counters.add("messages_rejected", reason="handler_failed")
            _LOG.exception("a message was not handled")

    def _refuse(self, delivery: Delivery) -> None:
        self._counters.add("messages_rejected", reason="wrong_incarnation")
        if isinstance(delivery.message, WrongIncarnation):
            return
        request = getattr(delivery.message, "request", 0)
        refusal = WrongIncarnation(delivery.kind, request, delivery.receiver)
        self._respond(delivery.sender, refusal)


class _Link:
    """One Push socket to one address, with the messages that wait for it."""

    def __init__(self, address: str, counters: Counters, clock: Clock):
        self._counters = counters
        self._clock = clock
        self._socket = pynng.Push0(send_buffer_size=LINK_MESSAGES)
        try:
            self._socket.dial(address, block=False)
        except pynng.NNGException:
            self._socket.close()
            raise
        self._waiting: deque[bytes] = deque()
        self._flusher = None
        self._was_open = False
        self.used_ms = clock.now()

    def send(self, data: bytes) -> bool:
        """Send or queue ``data``; return False where the queue is full."""
        self.used_ms = self._clock.now()
        if not self._waiting and self._try(data):
            return True
        if len(self._waiting) >= LINK_MESSAGES:
            self._counters.add("messages_dropped", reason="link_full")
            return False
        self._waiting.append(data)
        if self._flusher is None:
            self._flusher = eventlet.spawn(self._flush)
        return True

    def close(self) -> None:
        """Close the socket and forget what waits."""
        if self._flusher is not None:
            self._flusher.kill()
        self._socket.close()

    @property
    def is_connection_closed(self) -> bool:
        """Whether it was connected and is not any more."""
        is_open = bool(self._socket.pipes)
        self._was_open = self._was_open or is_open
        return self._was_open and not is_open

    def is_idle(self, now: float, idle_ms: float = LINK_IDLE_MS) -> bool:
        """Return whether nothing was sent for a while.

        :param idle_ms: how long that is
        """
        return not self._waiting and now - self.used_ms > idle_ms

    def _try(self, data: bytes) -> bool:
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def _flush(self) -> None:
        while self._waiting:
            if self._try(self._waiting[0]):
                self._waiting.popleft()
                continue
            if not self._writable():
                self._counters.add("messages_dropped", len(self._waiting), reason="unreachable")
                self._waiting.clear()
        self._flusher = None

    def _writable(self) -> bool:
        try:
            with Timeout(SEND_TIMEOUT_MS / 1000.0):
                trampoline(self._socket.send_fd, read=True)
        except Timeout:
            return False
        return True


class _Arrivals:
    """Waits for a descriptor again and again on one registration at the hub.

    Registering for each wait, as ``trampoline`` does, costs more than the
    rest of the wait.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._hub = get_hub()
        self._listener = None
        self._waiter = None

    def wait(self) -> None:
        """Suspend the calling green task until there is something to read."""
        if self._listener is None:
            self._listener = self._hub.add(
                self._hub.READ, self._descriptor, self._wake, self._throw, None
            )
        self._waiter = getcurrent()
        try:
            self._hub.switch()
        finally:
            self._waiter = None

    def close(self) -> None:
        """Take the registration back; the next wait makes a new one."""
        if self._listener is not None:
            self._hub.remove(self._listener)
            self._listener = None

    def _wake(self, _descriptor: int) -> None:
        # Nobody waits while a handler is suspended; the hub must not spin meanwhile.
        if self._waiter is None:
            self.close()
        else:
            self._waiter.switch()

    def _throw(self, *error: object) -> None:
        if self._waiter is not None:
            self._waiter.throw(*error)


class NngMessenger:
    """One Pull inbox and one Push link per peer, on eventlet's hub.

    nng's calls are made without blocking; the hub waits on the sockets'
    descriptors, so no foreign thread touches a green object.
    """

    def __init__(
        self,
        listen: str,
        incarnation: int,
        clock: Clock,
        counters: Counters,
        scope: Callable[[Peer], str] = _same_domain,
    ):
        """Bind the inbox.

        :param listen: address such as ``tcp://127.0.0.1:0``; port 0 takes any
        :param incarnation: random number of this life of the process
        :param scope: tells whether a peer is in another failure domain
        """
        self._socket = pynng.Pull0(recv_buffer_size=INBOX_MESSAGES)
        self._socket.listen(listen)
        self.me = Peer(_bound_address(self._socket, listen), incarnation)
        self._clock = clock
        self._counters = counters
        self._inbound = _Inbound(self.me, counters, self.send)
        self._links: dict[str, _Link] = {}
        self._tasks: list = []
        self.scope = scope

    def start(self, receive: Receiver) -> None:
        """Begin to hand each incoming message to ``receive``."""
        self._inbound.receive = receive
        self._tasks = [eventlet.spawn(self._read), eventlet.spawn(self._close_idle)]

    def send(self, peer: Peer, message: Message) -> bool:
        """Queue a message for a peer; see :class:`~contracts.Messenger`."""
        if peer == self.me:
            delivery = Delivery(self.me, peer.incarnation, 0, message)
            eventlet.spawn_n(self._inbound.receive, delivery)
            return True
        data = encode(self.me, peer.incarnation, message)
        kind = type(message).__name__
        scope = self.scope(peer)
        self._counters.add("messages_sent", kind=kind, scope=scope)
        self._counters.add("message_bytes_sent", len(data), kind=kind)
        try:
            link = self._link(peer.address)
        except pynng.NNGException:
            self._counters.add("messages_dropped", reason="unusable_address")
            return False
        return link.send(data)

    def reset(self, peer: Peer) -> None:
        """Close the link to a peer; the next message opens another."""
        link = self._links.pop(peer.address, None)
        if link is not None:
            link.close()
            self._counters.add("links_reset")

    def is_connection_closed(self, peer: Peer) -> bool:
        """Return whether the connection to a peer is closed; see :class:`~contracts.Messenger`."""
        link = self._links.get(peer.address)
        return link is not None and link.is_connection_closed

    def stop(self) -> None:
        """Close inbox and links, after queued messages had time to leave."""
        self._clock.sleep(FLUSH_MS)
        for task in self._tasks:
            task.kill()
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._socket.close()

    def _link(self, address: str) -> _Link:
        """Return the link to an address; links are kept in the order of their last use."""
        link = self._links.pop(address, None)
        if link is None:
            if len(self._links) >= MAX_LINKS:
                self._close_oldest()
            link = _Link(address, self._counters, self._clock)
        self._links[address] = link
        return link

    def _close_oldest(self) -> None:
        address, link = next(iter(self._links.items()))
        if link.is_idle(self._clock.now(), MIN_IDLE_MS):
            link.close()
            del self._links[address]
            self._counters.add("links_closed_early")

    def _read(self) -> None:
        arrivals = _Arrivals(self._socket.recv_fd)
        try:
            self._read_all(arrivals)
        finally:
            arrivals.close()

    def _read_all(self, arrivals: _Arrivals) -> None:
        burst = 0
        while True:
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                arrivals.wait()
                burst = 0
                continue
            self._inbound.take(data)
            burst += 1
            if burst >= RECEIVE_BURST:
                eventlet.sleep(0)
                burst = 0

    def _close_idle(self) -> None:
        while True:
            self._clock.sleep(LINK_IDLE_MS / 4)
            now = self._clock.now()
            for address, link in list(self._links.items()):
                if link.is_idle(now):
                    link.close()
                    del self._links[address]


def _bound_address(inbox: pynng.Pull0, listen: str) -> str:
    host = listen.removeprefix("tcp://").rsplit(":", 1)[0]
    port = socket.ntohs(inbox.listeners[0].local_address.port)
    return f"tcp://{host}:{port}"


class MemoryNetwork:
    """Links in memory whose faults a test switches.

    :ivar delay_ms: time every message takes
    :ivar cut: pairs of addresses between which messages are lost
    :ivar lose_kinds: names of message types to lose
    :ivar double_kinds: names of message types to deliver twice
    :ivar draw_delays: returns after how long each copy of a message from one address to
        another arrives, nothing where it is lost
    :ivar sent: sender, receiver and message of everything sent, in order
    """

    def __init__(self, clock: Clock, delay_ms: float = 0.1, seed: int = 1):
        """Start with no member and no fault."""
        self._clock = clock
        self._random = random.Random(seed)
        self._inboxes: dict[str, MemoryMessenger] = {}
        self.delay_ms = delay_ms
        self.double_delay_ms = 50.0
        self.cut: set[tuple[str, str]] = set()
        self.frozen: dict[str, list] = {}
        self.lose_kinds: set[str] = set()
        self.double_kinds: set[str] = set()
        self.draw_delays: Callable[[str, str], Sequence[float]] = self._delay_once
        self.sent: list[tuple[Peer, Peer, Message]] = []

    def join(self, messenger: "MemoryMessenger") -> None:
        """Make a messenger the owner of its address."""
        self._inboxes[messenger.me.address] = messenger

    def leave(self, messenger: "MemoryMessenger") -> None:
        """Take a messenger off its address, as when its process dies."""
        if self._inboxes.get(messenger.me.address) is messenger:
            del self._inboxes[messenger.me.address]

    def part(self, one: str, other: str) -> None:
        """Lose all messages between two addresses, both ways."""
        self.cut.update({(one, other), (other, one)})

    def heal(self) -> None:
        """Deliver everything again."""
        self.cut.clear()

    def freeze(self, address: str) -> None:
        """Hold back what a process would receive, as when it is stopped."""
        self.frozen[address] = []

    def thaw(self, address: str) -> None:
        """Deliver what was held back."""
        for data in self.frozen.pop(address, []):
            self._deliver(address, data)

    def has_left(self, address: str) -> bool:
        """Return whether nobody is at an address any more."""
        return address not in self._inboxes

    def carry(self, sender: Peer, receiver: Peer, message: Message) -> None:
        """Take one message on its way."""
        self.sent.append((sender, receiver, message))
        kind = type(message).__name__
        if kind in self.lose_kinds or (sender.address, receiver.address) in self.cut:
            return
        data = encode(sender, receiver.incarnation, message)
        address = receiver.address
        for delay_ms in self.draw_delays(sender.address, address):
            self._clock.after(delay_ms, lambda: self._deliver(address, data))
        if kind in self.double_kinds:
            late = self.delay_ms + self.double_delay_ms
            self._clock.after(late, lambda: self._deliver(address, data))

    def _delay_once(self, _sender: str, _receiver: str) -> Sequence[float]:
        return (self.delay_ms,)

    def _deliver(self, address: str, data: bytes) -> None:
        if address in self.frozen:
            self.frozen[address].append(data)
            return
        messenger = self._inboxes.get(address)
        if messenger is not None:
            messenger.take(data)


class MemoryMessenger:
    """A messenger on a :class:`MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, me: Peer, counters: Counters):
        """Prepare; messages arrive once started."""
        self.me = me
        self._network = network
        self._inbound = _Inbound(me, counters, self.send)

    def start(self, receive: Receiver) -> None:
        """Begin to hand each incoming message to ``receive``."""
        self._inbound.receive = receive
        self._network.join(self)

    def send(self, peer: Peer, message: Message) -> bool:
        """Send a message; it may be lost."""
        if peer == self.me:
            self.take_local(Delivery(self.me, peer.incarnation, 0, message))
        else:
            self._network.carry(self.me, peer, message)
        return True

    def take(self, data: bytes) -> None:
        """Take what arrives from the network."""
        self._inbound.take(data)

    def take_local(self, delivery: Delivery) -> None:
        """Take a message that the process sent to itself."""
        eventlet.spawn_n(self._inbound.receive, delivery)

    def is_connection_closed(self, peer: Peer) -> bool:
        """Return whether the process of a peer has ended."""
        return self._network.has_left(peer.address)

    def reset(self, peer: Peer) -> None:
        """Do nothing: links in memory never go silent by themselves."""

    def stop(self) -> None:
        """Leave the network."""
        self._network.leave(self)
