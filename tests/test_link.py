"""Tests of the links between processes, over loopback."""

import logging
import time
import unittest
from unittest import mock

import eventlet
import pynng
from eventlet.lock import Lock as GreenLock

from geraniumspool import link
from geraniumspool.clock import SystemClock
from geraniumspool.link import NngMessenger
from geraniumspool.messages import (
    ANY_INCARNATION,
    Inquire,
    Peer,
    WrongIncarnation,
    encode,
    kind_of,
)

LIMIT_S = 10.0
ANY = "tcp://127.0.0.1:0"


class Counts(dict):
    """Counters whose names join the labels' values."""

    def add(self, name, value=1, **labels):
        """Count."""
        key = "/".join([name, *labels.values()])
        self[key] = self.get(key, 0) + value


class LinkTest(unittest.TestCase):
    """Two messengers in one process."""

    def setUp(self):
        """Start with two that know each other."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = SystemClock()
        self.messengers = []
        self.addCleanup(self.stop_all)
        self.got = {}
        self.counts = {}
        self.one = self.start(11)
        self.two = self.start(22)

    def start(self, incarnation, listen=ANY, receive=None):
        """Start a messenger that collects what it receives."""
        counts = self.counts[incarnation] = Counts()
        messenger = NngMessenger(listen, incarnation, self.clock, counts)
        received = self.got[incarnation] = []
        messenger.start(receive or received.append)
        self.messengers.append(messenger)
        return messenger

    def stop_all(self):
        """Stop every messenger, all at once."""
        list(eventlet.GreenPool().imap(lambda messenger: messenger.stop(), self.messengers))

    def wait(self, condition):
        """Wait until a condition holds."""
        end = time.monotonic() + LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), end, (self.got, self.counts))
            eventlet.sleep(0.01)

    def requests(self, incarnation):
        """Return the numbers of the inquiries received."""
        return [delivery.message.request for delivery in self.got[incarnation]]

    def assert_alive(self, messenger):
        """Check that a messenger still receives."""
        before = len(self.got[messenger.me.incarnation])
        sender = self.one if messenger is not self.one else self.two
        self.assertTrue(sender.send(messenger.me, Inquire(99, "alive")))
        self.wait(lambda: len(self.got[messenger.me.incarnation]) > before)

    def send_raw(self, messenger, *items):
        """Send bytes as a stranger would."""
        with pynng.Push0() as stranger:
            stranger.dial(messenger.me.address, block=True)
            for data in items:
                stranger.send(data)
            eventlet.sleep(0.2)

    def test_both_ways_in_order(self):
        """Many messages arrive whole and in order, with their sender."""
        for number in range(500):
            self.assertTrue(self.one.send(self.two.me, Inquire(number, "t" * number)))
        self.two.send(self.one.me, Inquire(7, "back"))
        self.wait(lambda: len(self.got[22]) == 500 and self.got[11])
        self.assertEqual(self.requests(22), list(range(500)))
        self.assertEqual(self.got[22][0][:2], (self.one.me, 22))
        self.assertEqual(self.got[11][0].sender, self.two.me)

    def test_to_itself(self):
        """A message to itself arrives without a socket, later."""
        self.one.send(self.one.me, Inquire(1, "t"))
        self.assertEqual(self.got[11], [])
        self.wait(lambda: self.got[11])
        self.assertEqual(self.got[11][0].message, Inquire(1, "t"))

    def test_wrong_incarnation(self):
        """It is answered with what was meant, and not handed over."""
        self.one.send(Peer(self.two.me.address, 21), Inquire(5, "t"))
        self.wait(lambda: self.got[11])
        self.assertEqual(self.got[11][0].message, WrongIncarnation(kind_of(Inquire), 5, 21))
        self.assertEqual(self.got[11][0].sender, self.two.me)
        self.assertEqual(self.got[22], [])
        self.assertEqual(self.counts[22]["messages_rejected/wrong_incarnation"], 1)

    def test_rejections_do_not_circle(self):
        """A rejection for another incarnation is dropped."""
        self.one.send(Peer(self.two.me.address, 21), WrongIncarnation(0, 1, 1))
        self.wait(lambda: "messages_rejected/wrong_incarnation" in self.counts[22])
        self.assert_alive(self.two)
        self.assertEqual(self.got[11], [])

    def test_any_incarnation(self):
        """A message for any incarnation is handed over."""
        self.one.send(Peer(self.two.me.address, ANY_INCARNATION), Inquire(3, "t"))
        self.wait(lambda: self.got[22])
        self.assertEqual(self.got[22][0].receiver, ANY_INCARNATION)

    def test_malformed_bytes(self):
        """They are counted and dropped; what follows arrives."""
        good = encode(self.one.me, 22, Inquire(1, "abcd"))
        wrong = good.replace(b"abcd", b"\xff\xff\xff\xff")
        self.send_raw(self.two, b"\xc1", good[:-1], b"x" * 100_000, wrong, good)
        self.wait(lambda: self.got[22])
        self.assertEqual(self.requests(22), [1])
        self.assertEqual(self.counts[22]["messages_rejected/malformed"], 4)

    def test_unusable_sender_address(self):
        """A whole message with an address that cannot be dialled ends nothing."""
        for address in ("nonsense", "", "tcp://127.0.0.1:99999", "tcp://127.0.0.1:1\0"):
            with self.subTest(address=address):
                self.send_raw(self.two, encode(Peer(address, 1), 21, Inquire(1, "t")))
                self.assert_alive(self.two)

    def test_send_to_unusable_address(self):
        """Sending there is refused or lost, never an exception."""
        for address in ("nonsense", "", "tcp://"):
            with self.subTest(address=address):
                self.assertFalse(self.one.send(Peer(address, 1), Inquire(1, "t")))
        self.assert_alive(self.one)

    def test_handler_fault_keeps_inbox(self):
        """One message whose handler fails does not deafen the process."""
        received = []

        def receive(delivery):
            received.append(delivery)
            if delivery.message.request == 1:
                raise RuntimeError("a handler's fault")

        three = self.start(33, receive=receive)
        for number in (1, 2):
            self.one.send(three.me, Inquire(number, "t"))
        self.wait(lambda: len(received) == 2)

    def test_handler_that_waits(self):
        """Messages that arrive meanwhile are handed over after it, in order."""
        received = []

        def receive(delivery):
            eventlet.sleep(0.02)
            received.append(delivery.message.request)

        three = self.start(33, receive=receive)
        for number in range(5):
            self.one.send(three.me, Inquire(number, "t"))
            eventlet.sleep(0.01)
        self.wait(lambda: len(received) == 5)
        self.assertEqual(received, list(range(5)))

    def test_most_links(self):
        """Beyond the most links the one used longest ago goes, if it is idle."""
        others = [self.start(number) for number in (33, 44)]
        peers = [self.two.me, *(other.me for other in others)]
        for min_idle_ms, expected in ((-1.0, peers[1:]), (60_000.0, peers)):
            with self.subTest(min_idle_ms=min_idle_ms):
                patches = mock.patch.multiple(link, MAX_LINKS=2, MIN_IDLE_MS=min_idle_ms)
                one = self.start(55)
                with patches:
                    for number, peer in enumerate(peers):
                        one.send(peer, Inquire(number, "t"))
                        self.wait(lambda peer=peer: self.got[peer.incarnation])
                self.assertEqual(list(one._links), [peer.address for peer in expected])
                for peer in peers:
                    self.got[peer.incarnation].clear()

    def test_absent_then_present(self):
        """Messages to a peer that is not up yet arrive once it is."""
        address = self.two.me.address
        self.two.stop()
        for number in range(3):
            self.one.send(Peer(address, 23), Inquire(number, "t"))
        eventlet.sleep(0.3)
        self.start(23, address)
        self.wait(lambda: len(self.got[23]) == 3)
        self.assertEqual(self.requests(23), [0, 1, 2])

    def test_a_peer_that_ends_leaves_a_broken_link(self):
        """The link is broken from the end of a process until another one answers."""
        old = self.two.me
        self.assertFalse(self.one.is_connection_closed(old))
        self.one.send(old, Inquire(1, "t"))
        self.wait(lambda: self.got[22])
        self.assertFalse(self.one.is_connection_closed(old))
        self.two.stop()
        self.wait(lambda: self.one.is_connection_closed(old))
        self.start(23, old.address)
        self.wait(lambda: not self.one.is_connection_closed(old))

    def test_restart_at_the_same_address(self):
        """The old life's messages are refused, the new one's arrive."""
        old = self.two.me
        self.one.send(old, Inquire(1, "t"))
        self.wait(lambda: self.got[22])
        self.two.stop()
        new = self.start(23, old.address)
        self.wait(lambda: self.send_until_refused(old))
        self.assertEqual(self.got[23], [])
        self.assertEqual(self.got[11][0].sender, new.me)
        self.one.send(new.me, Inquire(3, "t"))
        self.wait(lambda: self.got[23])
        self.assertEqual(self.requests(23), [3])

    def send_until_refused(self, old):
        """Send to the old life; return whether the new one said so."""
        self.one.send(old, Inquire(2, "t"))
        return bool(self.got[11])

    def test_full_link(self):
        """A peer that never comes costs bounded memory, and the rest goes on."""
        address = self.two.me.address
        self.two.stop()
        total = 3 * link.LINK_MESSAGES
        sent = [self.one.send(Peer(address, 23), Inquire(n, "t")) for n in range(total)]
        self.assertFalse(sent[-1])
        self.assertLessEqual(sum(sent), 2 * link.LINK_MESSAGES + 2)
        self.assertEqual(self.counts[11]["messages_dropped/link_full"], total - sum(sent))
        three = self.start(33)
        self.one.send(three.me, Inquire(1, "t"))
        self.wait(lambda: self.got[33])

    def test_counts_by_kind(self):
        """Messages are counted by kind and scope, with their bytes."""
        self.one.send(self.two.me, Inquire(1, "t"))
        self.wait(lambda: self.got[22])
        self.assertEqual(self.counts[11]["messages_sent/Inquire/local"], 1)
        size = len(encode(self.one.me, 22, Inquire(1, "t")))
        self.assertEqual(self.counts[11]["message_bytes_sent/Inquire"], size)
        self.assertEqual(self.counts[22]["messages_received/Inquire"], 1)


class ForeignThreadsTest(unittest.TestCase):
    """nng calls back on threads of its own."""

    def test_locks_shared_with_them_are_no_green_ones(self):
        """A green lock that two threads want at once switches between their greenlets."""
        with pynng.Pull0() as inbox:
            self.assertNotIsInstance(inbox._pipe_notify_lock, GreenLock)
