"""Message transport between the processes over pynng."""

import logging
import socket
from collections import deque
from collections.abc import Callable

import eventlet
import pynng
from eventlet.hubs import get_hub, notify_opened, trampoline
from eventlet.patcher import original
from eventlet.timeout import Timeout
from greenlet import getcurrent

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import Clock, Counters
from geraniumspool.end_probes import EndProbes
from geraniumspool.inbound import InboundHandler, Receiver
from geraniumspool.link_monitor import ReopenReason
from geraniumspool.messages import Delivery, Message, Peer
from geraniumspool.monitored_links import MonitoredLinks

# nng runs callbacks on its own threads, which share locks with the main thread. With eventlet's
# green locks, one process in twenty of a soak test hung for good, so pynng gets the original
# threading module.
pynng.nng.threading = original("threading")

_LOG = logging.getLogger(__name__)

# Messages that nng buffers for the inbox.
INBOX_MESSAGES = 4096
# Messages that nng buffers for one link, and again as many in the link's own queue.
LINK_MESSAGES = 1024
# Links without traffic for this long are closed.
LINK_IDLE_MS = 60_000.0
# Keeps a process below 1,024 file descriptors: its outgoing links and the incoming connections
# of all its peers.
MAX_LINKS = 320
# A link is not evicted sooner after its last send: nng may not have transmitted that message yet.
MIN_IDLE_MS = 2_000.0
# A link's queue is dropped if its socket accepts nothing for this long.
SEND_TIMEOUT_MS = 2_000.0
# A link that was replaced is closed only after this time. It may just be slow, and still deliver
# the messages that were sent over it.
RETIRED_LINK_MS = 1_000.0
# Time that queued messages have to leave before the sockets are closed.
FLUSH_MS = 200.0
# Messages received in a row before other green threads run.
RECEIVE_BURST = 64
# Whether a message stays in its failure domain or crosses to another; a label in the metrics.
SCOPE_LOCAL = "local"
SCOPE_CROSS = "cross"


def _always_local(_peer: Peer) -> str:
    return SCOPE_LOCAL


class _Link:
    """One nng Push socket to one address, with a queue of messages not yet sent."""

    def __init__(self, address: str, counters: Counters, clock: Clock):
        self._counters = counters
        self._clock = clock
        self._socket = pynng.Push0(send_buffer_size=LINK_MESSAGES)
        try:
            self._socket.dial(address, block=False)
        except pynng.NNGException:
            self._socket.close()
            raise
        self._queue: deque[bytes] = deque()
        self._flush_task = None
        self._was_connected = False
        self.last_used_ms = clock.now()

    def send(self, data: bytes) -> bool:
        """Send or queue ``data``; return False if the queue is full."""
        self.last_used_ms = self._clock.now()
        if not self._queue and self._try_send(data):
            return True
        if len(self._queue) >= LINK_MESSAGES:
            self._counters.add("messages_dropped", reason="link_full")
            return False
        self._queue.append(data)
        if self._flush_task is None:
            self._flush_task = eventlet.spawn(self._flush)
        return True

    def close(self) -> None:
        """Close the socket and discard the queued messages."""
        if self._flush_task is not None:
            self._flush_task.kill()
        self._socket.close()

    @property
    def is_connection_closed(self) -> bool:
        """Whether the link was connected before and no longer is."""
        is_connected = bool(self._socket.pipes)
        self._was_connected = self._was_connected or is_connected
        return self._was_connected and not is_connected

    def is_idle(self, now: float, idle_ms: float = LINK_IDLE_MS) -> bool:
        """Return whether the queue is empty and nothing was sent recently.

        :param now: current time of the clock in milliseconds
        :param idle_ms: time since the last send, in milliseconds, from which the link is idle
        """
        return not self._queue and now - self.last_used_ms > idle_ms

    def _try_send(self, data: bytes) -> bool:
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def _flush(self) -> None:
        while self._queue:
            if self._try_send(self._queue[0]):
                self._queue.popleft()
                continue
            if not self._wait_writable():
                self._counters.add("messages_dropped", len(self._queue), reason="unreachable")
                self._queue.clear()
        self._flush_task = None

    def _wait_writable(self) -> bool:
        descriptor = self._socket.send_fd
        _forget_former_waits(descriptor)
        try:
            with Timeout(SEND_TIMEOUT_MS / 1000.0):
                trampoline(descriptor, read=True)
        except Timeout:
            return False
        return True


def _forget_former_waits(descriptor: int) -> None:
    """Remove what the hub has registered for a closed descriptor with the same number.

    nng opens descriptors without the hub's knowledge. If a green thread still waits for a closed
    socket, its registration would make the next wait fail.
    """
    notify_opened(descriptor)


class _ReadableWaiter:
    """Waits repeatedly for a readable descriptor with a single registration at the hub.

    Registering for each wait, as ``trampoline`` does, costs more than the
    rest of the wait.
    """

    def __init__(self, descriptor: int):
        _forget_former_waits(descriptor)
        self._descriptor = descriptor
        self._hub = get_hub()
        self._listener = None
        self._waiter = None

    def wait(self) -> None:
        """Suspend the calling green thread until the descriptor is readable."""
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
        """Remove the registration from the hub; the next wait adds a new one."""
        if self._listener is not None:
            self._hub.remove(self._listener)
            self._listener = None

    def _wake(self, _descriptor: int) -> None:
        # While a handler is suspended no green thread waits here. The descriptor stays readable,
        # so the registration is removed to keep the hub from busy-looping.
        if self._waiter is None:
            self.close()
        else:
            self._waiter.switch()

    def _throw(self, *error: object) -> None:
        if self._waiter is not None:
            self._waiter.throw(*error)


class NngMessenger(MonitoredLinks):
    """Messenger with one nng Pull socket as inbox and one Push socket per peer.

    All nng calls are non-blocking, and eventlet's hub polls the sockets'
    descriptors, so nng's own threads never touch a green object.
    """

    def __init__(
        self,
        listen: str,
        incarnation: int,
        clock: Clock,
        counters: Counters,
        scope: Callable[[Peer], str] = _always_local,
        advertised: str = "",
    ):
        """Bind the inbox.

        :param listen: address such as ``tcp://127.0.0.1:0``; port 0 picks a free port
        :param incarnation: identifies this run of the process and its version; see
            :mod:`wire_versions`
        :param clock: source of time for idle links
        :param counters: where messages, bytes and rejections are counted
        :param scope: returns ``SCOPE_CROSS`` for a peer in another failure domain, else
            ``SCOPE_LOCAL``
        :param advertised: address at which other processes reach the inbox, empty for the bound one
        """
        self._socket = pynng.Pull0(recv_buffer_size=INBOX_MESSAGES)
        self._socket.listen(listen)
        local_peer = Peer(advertised or _bound_address(self._socket, listen), incarnation)
        super().__init__(local_peer, clock, counters)
        self._inbound = InboundHandler(local_peer, counters, self.send, self._note_received)
        self._is_translated = bool(advertised)
        self._end_probes = EndProbes(clock)
        self._links: dict[str, _Link] = {}
        self._retired_links: set[_Link] = set()
        self._tasks: list = []
        self.scope = scope

    def start(self, receive: Receiver) -> None:
        """Start to pass each incoming message to ``receive``."""
        self._inbound.receive = receive
        self._tasks = [eventlet.spawn(self._receive_loop), eventlet.spawn(self._close_idle_links)]

    def send(self, peer: Peer, message: Message) -> bool:
        """Queue a message for a peer; see :class:`~contracts.Messenger`."""
        if peer == self.local_peer:
            delivery = Delivery(self.local_peer, peer.incarnation, 0, message)
            eventlet.spawn_n(self._inbound.receive, delivery)
            return True
        data = self._encode(peer, message)
        if data is None:
            return False
        kind = type(message).__name__
        scope = self.scope(peer)
        self._counters.add("messages_sent", kind=kind, scope=scope)
        self._counters.add("message_bytes_sent", len(data), kind=kind)
        try:
            link = self._get_link(peer.address)
        except pynng.NNGException:
            self._counters.add("messages_dropped", reason="unusable_address")
            return False
        return link.send(data)

    def is_connection_closed(self, peer: Peer) -> bool:
        """Return whether the link to a peer lost its connection.

        See :class:`~contracts.Messenger`.
        """
        link = self._links.get(peer.address)
        return link is not None and link.is_connection_closed

    def find_ended_since(self, peer: Peer) -> float | None:
        """Return by when the process at an address has ended; see :class:`~contracts.Links`.

        Asked only while the link has lost its connection. Behind address translation a refused
        connection tells nothing of the process.
        """
        if self._is_translated or not self.is_connection_closed(peer):
            self._end_probes.forget(peer.address)
            return None
        return self._end_probes.find_refused_since(peer.address)

    def stop(self) -> None:
        """Close the inbox and all links after giving queued messages time to leave."""
        self._clock.sleep(FLUSH_MS)
        for task in self._tasks:
            task.kill()
        for link in (*self._links.values(), *self._retired_links):
            link.close()
        self._links.clear()
        self._retired_links.clear()
        self._socket.close()

    def _replace_connection(self, peer: Peer, reason: ReopenReason) -> None:
        link = self._links.pop(peer.address, None)
        if link is not None:
            self._retired_links.add(link)
            eventlet.spawn_after(RETIRED_LINK_MS / MS_PER_SECOND, self._close_retired, link)
        elif reason is ReopenReason.RESET:
            return
        self._counters.add("links_reset", reason=reason.value)
        state = self._monitor.describe(peer.address)
        fields = (
            ("peer", peer.address),
            ("reason", reason.value),
            ("unconfirmed_ms", round(state.unconfirmed_ms)),
            ("silent_ms", round(state.silent_ms)),
        )
        _LOG.warning("link reopened", extra={"fields": fields})

    def _close_retired(self, link: _Link) -> None:
        if link in self._retired_links:
            self._retired_links.remove(link)
            link.close()

    def _get_link(self, address: str) -> _Link:
        """Return the link to an address, opening it if needed.

        The dictionary is kept in order of last use, least recently used first.
        """
        link = self._links.pop(address, None)
        if link is None:
            if len(self._links) >= MAX_LINKS:
                self._evict_least_recently_used()
            link = _Link(address, self._counters, self._clock)
        self._links[address] = link
        return link

    def _evict_least_recently_used(self) -> None:
        address, link = next(iter(self._links.items()))
        if link.is_idle(self._clock.now(), MIN_IDLE_MS):
            link.close()
            del self._links[address]
            self._counters.add("links_closed_early")

    def _receive_loop(self) -> None:
        inbox_waiter = _ReadableWaiter(self._socket.recv_fd)
        try:
            self._receive_messages(inbox_waiter)
        finally:
            inbox_waiter.close()

    def _receive_messages(self, inbox_waiter: _ReadableWaiter) -> None:
        burst = 0
        while True:
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                inbox_waiter.wait()
                burst = 0
                continue
            self._inbound.handle(data)
            burst += 1
            if burst >= RECEIVE_BURST:
                eventlet.sleep(0)
                burst = 0

    def _close_idle_links(self) -> None:
        while True:
            self._clock.sleep(LINK_IDLE_MS / 4)
            now = self._clock.now()
            self._monitor.forget_silent(LINK_IDLE_MS)
            for address, link in list(self._links.items()):
                if link.is_idle(now):
                    link.close()
                    del self._links[address]


def _bound_address(inbox: pynng.Pull0, listen: str) -> str:
    host = listen.removeprefix("tcp://").rsplit(":", 1)[0]
    port = socket.ntohs(inbox.listeners[0].local_address.port)
    return f"tcp://{host}:{port}"
