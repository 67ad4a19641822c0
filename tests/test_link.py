"""Tests of the nng messenger over loopback."""

import contextlib
import logging
import os
import socket
import time
import unittest
from unittest import mock

import eventlet
import pynng
from eventlet.green import socket as green_socket
from eventlet.lock import Lock as GreenLock

from benchmarks.soak_processes import Proxy
from geraniumspool import link
from geraniumspool.clock import SystemClock
from geraniumspool.link import NngMessenger
from geraniumspool.messages import (
    ANY_INCARNATION,
    Inquire,
    Peer,
    WrongIncarnation,
    encode,
    kind_number,
)
from geraniumspool.run_messages import StopRuns
from geraniumspool.wire_versions import make_incarnation

ONE, TWO, THREE, FOUR = map(make_incarnation, (11, 22, 33, 44))
LIMIT_S = 10.0
ANY_PORT = "tcp://127.0.0.1:0"


class Counts(dict):
    """Counters keyed by the counter's name and its label values, joined by slashes."""

    def add(self, name, value=1, **labels):
        """Increment a counter."""
        key = "/".join([name, *labels.values()])
        self[key] = self.get(key, 0) + value


class MessengerCase(unittest.TestCase):
    """Messengers that run in one process."""

    def setUp(self):
        """Start two messengers."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = SystemClock()
        self.messengers = []
        self.addCleanup(self.stop_all)
        self.deliveries = {}
        self.counts = {}
        self.one = self.start(ONE)
        self.two = self.start(TWO)

    def start(self, incarnation, listen=ANY_PORT, receive=None, advertised=""):
        """Start a messenger that collects what it receives."""
        counts = self.counts[incarnation] = Counts()
        messenger = NngMessenger(listen, incarnation, self.clock, counts, advertised=advertised)
        received = self.deliveries[incarnation] = []
        messenger.start(receive or received.append)
        self.messengers.append(messenger)
        return messenger

    def stop_all(self):
        """Stop all messengers concurrently."""
        list(eventlet.GreenPool().imap(lambda messenger: messenger.stop(), self.messengers))

    def wait(self, condition):
        """Wait until a condition is true; fail after the time limit."""
        end = time.monotonic() + LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), end, (self.deliveries, self.counts))
            eventlet.sleep(0.01)

    def requests(self, incarnation):
        """Return the request numbers of the inquiries that a messenger received."""
        return [delivery.message.request for delivery in self.deliveries[incarnation]]

    def assert_alive(self, messenger):
        """Check that a messenger still receives."""
        before = len(self.deliveries[messenger.local_peer.incarnation])
        sender = self.one if messenger is not self.one else self.two
        self.assertTrue(sender.send(messenger.local_peer, Inquire(99, "alive")))
        self.wait(lambda: len(self.deliveries[messenger.local_peer.incarnation]) > before)

    def send_raw(self, messenger, *items):
        """Send raw bytes to a messenger from a plain socket."""
        with pynng.Push0() as sender:
            sender.dial(messenger.local_peer.address, block=True)
            for data in items:
                sender.send(data)
            eventlet.sleep(0.2)


class LinkTest(MessengerCase):
    """Message exchange between two messengers."""

    def test_messages_arrive_in_order_in_both_directions(self):
        """Messages arrive complete and in order, with their sender, in both directions."""
        for number in range(500):
            self.assertTrue(self.one.send(self.two.local_peer, Inquire(number, "t" * number)))
        self.two.send(self.one.local_peer, Inquire(7, "back"))
        self.wait(lambda: len(self.deliveries[TWO]) == 500 and self.deliveries[ONE])
        self.assertEqual(self.requests(TWO), list(range(500)))
        self.assertEqual(self.deliveries[TWO][0][:2], (self.one.local_peer, TWO))
        self.assertEqual(self.deliveries[ONE][0].sender, self.two.local_peer)

    def test_message_to_own_address(self):
        """A message to the sender itself bypasses the sockets and is delivered asynchronously."""
        self.one.send(self.one.local_peer, Inquire(1, "t"))
        self.assertEqual(self.deliveries[ONE], [])
        self.wait(lambda: self.deliveries[ONE])
        self.assertEqual(self.deliveries[ONE][0].message, Inquire(1, "t"))

    def test_wrong_incarnation(self):
        """A message for another incarnation is not delivered but answered with a rejection."""
        self.one.send(Peer(self.two.local_peer.address, 21), Inquire(5, "t"))
        self.wait(lambda: self.deliveries[ONE])
        self.assertEqual(
            self.deliveries[ONE][0].message, WrongIncarnation(kind_number(Inquire), 5, 21)
        )
        self.assertEqual(self.deliveries[ONE][0].sender, self.two.local_peer)
        self.assertEqual(self.deliveries[TWO], [])
        self.assertEqual(self.counts[TWO]["messages_rejected/wrong_incarnation"], 1)

    def test_rejection_is_not_rejected_again(self):
        """A rejection that itself has the wrong incarnation is dropped, not rejected again."""
        self.one.send(Peer(self.two.local_peer.address, 21), WrongIncarnation(0, 1, 1))
        self.wait(lambda: "messages_rejected/wrong_incarnation" in self.counts[TWO])
        self.assert_alive(self.two)
        self.assertEqual(self.deliveries[ONE], [])

    def test_message_to_any_incarnation(self):
        """A message for any incarnation is delivered."""
        self.one.send(Peer(self.two.local_peer.address, ANY_INCARNATION), Inquire(3, "t"))
        self.wait(lambda: self.deliveries[TWO])
        self.assertEqual(self.deliveries[TWO][0].receiver, ANY_INCARNATION)

    def test_malformed_bytes(self):
        """Malformed messages are counted and dropped; the next valid one is delivered."""
        good = encode(self.one.local_peer, TWO, Inquire(1, "abcd"))
        wrong = good.replace(b"abcd", b"\xff\xff\xff\xff")
        self.send_raw(self.two, b"\xc1", good[:-1], b"x" * 100_000, wrong, good)
        self.wait(lambda: self.deliveries[TWO])
        self.assertEqual(self.requests(TWO), [1])
        self.assertEqual(self.counts[TWO]["messages_rejected/malformed"], 4)

    def test_unusable_sender_address(self):
        """A valid message whose sender address cannot be dialled does not stop the receiver."""
        for address in ("nonsense", "", "tcp://127.0.0.1:99999", "tcp://127.0.0.1:1\0"):
            with self.subTest(address=address):
                self.send_raw(self.two, encode(Peer(address, 1), 21, Inquire(1, "t")))
                self.assert_alive(self.two)

    def test_send_to_unusable_address(self):
        """Sending to an invalid address returns False and raises no exception."""
        for address in ("nonsense", "", "tcp://"):
            with self.subTest(address=address):
                self.assertFalse(self.one.send(Peer(address, 1), Inquire(1, "t")))
        self.assert_alive(self.one)

    def test_inbox_survives_exception_in_handler(self):
        """An exception in the handler of one message does not stop the inbox."""
        received = []

        def receive(delivery):
            received.append(delivery)
            if delivery.message.request == 1:
                raise RuntimeError("handler failed")

        three = self.start(THREE, receive=receive)
        for number in (1, 2):
            self.one.send(three.local_peer, Inquire(number, "t"))
        self.wait(lambda: len(received) == 2)

    def test_suspended_handler_keeps_order(self):
        """Messages that arrive while the handler is suspended are delivered later, in order."""
        received = []

        def receive(delivery):
            eventlet.sleep(0.02)
            received.append(delivery.message.request)

        three = self.start(THREE, receive=receive)
        for number in range(5):
            self.one.send(three.local_peer, Inquire(number, "t"))
            eventlet.sleep(0.01)
        self.wait(lambda: len(received) == 5)
        self.assertEqual(received, list(range(5)))

    def test_least_recently_used_link_is_evicted(self):
        """At the limit of links, the least recently used one is closed if it is idle."""
        others = [self.start(number) for number in (THREE, FOUR)]
        peers = [self.two.local_peer, *(other.local_peer for other in others)]
        for min_idle_ms, expected in ((-1.0, peers[1:]), (60_000.0, peers)):
            with self.subTest(min_idle_ms=min_idle_ms):
                patches = mock.patch.multiple(link, MAX_LINKS=2, MIN_IDLE_MS=min_idle_ms)
                one = self.start(55)
                with patches:
                    for number, peer in enumerate(peers):
                        one.send(peer, Inquire(number, "t"))
                        self.wait(lambda peer=peer: self.deliveries[peer.incarnation])
                self.assertEqual(list(one._links), [peer.address for peer in expected])
                for peer in peers:
                    self.deliveries[peer.incarnation].clear()

    def test_messages_to_absent_peer_arrive_later(self):
        """Messages to a peer that does not listen yet are delivered once it does."""
        address = self.two.local_peer.address
        self.two.stop()
        for number in range(3):
            self.one.send(Peer(address, 23), Inquire(number, "t"))
        eventlet.sleep(0.3)
        self.start(23, address)
        self.wait(lambda: len(self.deliveries[23]) == 3)
        self.assertEqual(self.requests(23), [0, 1, 2])

    def test_link_is_broken_after_peer_ended(self):
        """A link is broken after its peer ended, until another process listens there."""
        old = self.two.local_peer
        self.assertFalse(self.one.is_connection_closed(old))
        self.one.send(old, Inquire(1, "t"))
        self.wait(lambda: self.deliveries[TWO])
        self.assertFalse(self.one.is_connection_closed(old))
        self.two.stop()
        self.wait(lambda: self.one.is_connection_closed(old))
        self.start(23, old.address)
        self.wait(lambda: not self.one.is_connection_closed(old))

    def test_restart_at_the_same_address(self):
        """After a restart, messages to the old incarnation are rejected, to the new delivered."""
        old = self.two.local_peer
        self.one.send(old, Inquire(1, "t"))
        self.wait(lambda: self.deliveries[TWO])
        self.two.stop()
        new = self.start(23, old.address)
        self.wait(lambda: self.send_until_refused(old))
        self.assertEqual(self.deliveries[23], [])
        self.assertEqual(self.deliveries[ONE][0].sender, new.local_peer)
        self.one.send(new.local_peer, Inquire(3, "t"))
        self.wait(lambda: self.deliveries[23])
        self.assertEqual(self.requests(23), [3])

    def send_until_refused(self, old):
        """Send to the old incarnation; return whether a rejection has arrived."""
        self.one.send(old, Inquire(2, "t"))
        return bool(self.deliveries[ONE])

    def test_queue_of_link_is_bounded(self):
        """A peer that never listens costs bounded memory; other links are unaffected."""
        address = self.two.local_peer.address
        self.two.stop()
        total = 3 * link.LINK_MESSAGES
        sent = [self.one.send(Peer(address, 23), Inquire(n, "t")) for n in range(total)]
        self.assertFalse(sent[-1])
        self.assertLessEqual(sum(sent), 2 * link.LINK_MESSAGES + 2)
        self.assertEqual(self.counts[ONE]["messages_dropped/link_full"], total - sum(sent))
        three = self.start(THREE)
        self.one.send(three.local_peer, Inquire(1, "t"))
        self.wait(lambda: self.deliveries[THREE])

    def test_counts_by_kind(self):
        """Messages sent and received are counted by kind, with scope and bytes."""
        self.one.send(self.two.local_peer, Inquire(1, "t"))
        self.wait(lambda: self.deliveries[TWO])
        self.assertEqual(self.counts[ONE]["messages_sent/Inquire/local"], 1)
        size = len(encode(self.one.local_peer, TWO, Inquire(1, "t")))
        self.assertEqual(self.counts[ONE]["message_bytes_sent/Inquire"], size)
        self.assertEqual(self.counts[TWO]["messages_received/Inquire"], 1)


class RecycledDescriptorTest(unittest.TestCase):
    """A descriptor of nng with the number of a socket that was closed while a thread waited."""

    def test_wait_on_a_descriptor_of_a_socket_that_was_closed_during_a_wait(self):
        closed, _peer = green_socket.socketpair()
        number = closed.fileno()
        waiting = eventlet.spawn(self.receive_until_closed, closed)
        self.addCleanup(waiting.kill)
        eventlet.sleep(0)
        closed.close()
        reader, writer = os.pipe()
        os.dup2(reader, number)
        for descriptor in {reader, writer, number}:
            self.addCleanup(os.close, descriptor)
        waiter = link._ReadableWaiter(number)
        self.addCleanup(waiter.close)
        os.write(writer, b"x")
        with eventlet.Timeout(LIMIT_S):
            waiter.wait()

    @staticmethod
    def receive_until_closed(connection):
        with contextlib.suppress(EOFError):
            connection.recv(1)


class SilentLinkTest(MessengerCase):
    """Messengers behind proxies whose open connections may fall silent."""

    def setUp(self):
        """Start two messengers that reach each other through proxies."""
        super().setUp()
        self.stop_all()
        self.messengers.clear()
        self.proxies = {}
        self.one = self.start_behind_proxy(THREE)
        self.two = self.start_behind_proxy(FOUR)
        self.exchange()

    def start_behind_proxy(self, incarnation):
        """Start a messenger that advertises the address of a proxy."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            inner = f"127.0.0.1:{free.getsockname()[1]}"
        proxy = self.proxies[incarnation] = Proxy(inner)
        self.addCleanup(proxy.close)
        return self.start(incarnation, f"tcp://{inner}", advertised=f"tcp://{proxy.address}")

    def exchange(self):
        """Send a message in each direction until both have arrived."""
        for sender, receiver in ((self.one, self.two), (self.two, self.one)):
            received = self.deliveries[receiver.local_peer.incarnation]
            received.clear()
            sender.send(receiver.local_peer, Inquire(1, "t"))
            self.wait(lambda received=received: received)

    def send_until_received(self, sender, receiver, other_way=False):
        """Send messages, also in the other direction on request, until one has arrived."""
        received = self.deliveries[receiver.local_peer.incarnation]
        received.clear()

        def is_received():
            sender.send(receiver.local_peer, Inquire(2, "t"))
            if other_way:
                receiver.send(sender.local_peer, Inquire(3, "t"))
            return received

        self.wait(is_received)

    def test_a_peer_that_is_heard_but_receives_nothing_is_sent_to_over_a_new_connection(self):
        """Only the direction to the peer is silent, and only its messages show that."""
        self.proxies[FOUR].silence()
        self.send_until_received(self.one, self.two, other_way=True)
        self.assertEqual(self.counts[THREE]["links_reset/not_received"], 1)
        self.assertEqual(self.counts[FOUR]["links_reset/peer_reopened"], 1)

    def test_both_directions_work_after_one_side_has_noticed_the_silence(self):
        """The side that sends nothing learns from the other one that its connection is dead."""
        for proxy in self.proxies.values():
            proxy.silence()
        sent_ms = self.clock.now()
        self.one.send(self.two.local_peer, Inquire(1, "lost"))
        self.assertTrue(self.one.is_unconfirmed(self.two.local_peer, self.clock.now()))
        self.assertFalse(self.one.reopen_unconfirmed(self.two.local_peer, sent_ms - 1.0))
        self.assertTrue(self.one.reopen_unconfirmed(self.two.local_peer, self.clock.now()))
        self.exchange()
        self.assertEqual(self.counts[FOUR]["links_reset/peer_reopened"], 1)

    def test_a_link_that_was_evicted_is_reopened_only_once(self):
        """What was sent over an evicted link stays unconfirmed."""
        self.proxies[FOUR].silence()
        self.one.send(self.two.local_peer, Inquire(1, "lost"))
        self.one._links.pop(self.two.local_peer.address).close()
        answers = [
            self.one.reopen_unconfirmed(self.two.local_peer, self.clock.now()) for _ in range(3)
        ]
        self.assertEqual([True, False, False], answers)

    def test_messages_of_a_slow_connection_arrive_after_it_was_replaced(self):
        """A connection that was only slow still delivers what was sent over it."""
        self.proxies[FOUR].is_stalled = True
        self.one.send(self.two.local_peer, Inquire(7, "slow"))
        self.assertTrue(self.one.reopen_unconfirmed(self.two.local_peer, self.clock.now()))
        eventlet.sleep(0.1)
        self.proxies[FOUR].is_stalled = False
        self.wait(lambda: 7 in self.requests(FOUR))

    def overtake(self):
        """Have a message overtake two others, whose connection stalls and is replaced."""
        self.deliveries[FOUR].clear()
        self.proxies[FOUR].stall_open()
        for number in (7, 8):
            self.one.send(self.two.local_peer, StopRuns((number,)))
        self.assertTrue(self.one.reopen_unconfirmed(self.two.local_peer, self.clock.now()))
        self.one.send(self.two.local_peer, StopRuns((9,)))
        self.wait(lambda: self.deliveries[FOUR])

    def assert_late_messages_dropped(self):
        """Have the stalled connection deliver what it holds, and check that none of it is taken."""
        self.proxies[FOUR].stalled_ports.clear()
        self.wait(lambda: self.counts[FOUR].get("messages_rejected/overtaken") == 2)
        received = [delivery.message for delivery in self.deliveries[FOUR]]
        self.assertEqual([StopRuns((9,))], received)
        self.exchange()

    def test_messages_that_newer_ones_have_overtaken_are_dropped(self):
        """Their connection was slow, and they were handled after newer ones."""
        self.overtake()
        self.assert_late_messages_dropped()

    def test_messages_that_arrive_after_their_connection_was_closed_are_dropped(self):
        """What was handed to the kernel is delivered after the socket was closed."""
        with mock.patch.object(link, "RETIRED_LINK_MS", 50.0):
            self.overtake()
        self.wait(lambda: not self.one._retired_links)
        eventlet.sleep(0.2)
        self.assert_late_messages_dropped()


class ForeignThreadsTest(unittest.TestCase):
    """Locks that the main thread shares with nng's own threads."""

    def test_locks_are_native(self):
        """The locks of pynng are not eventlet's green ones.

        nng calls back on its own threads. If a green lock is contended between
        threads, eventlet switches between greenlets of different threads, and the
        process hangs.
        """
        with pynng.Pull0() as inbox:
            self.assertNotIsInstance(inbox._pipe_notify_lock, GreenLock)
