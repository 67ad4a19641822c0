"""Tests of the network in memory: what processes see of connections, their order and their end."""

import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.memory_link import MemoryMessenger, MemoryNetwork
from geraniumspool.messages import Inquire, Peer
from geraniumspool.monitored_links import OVERTAKEN_LOG_INTERVAL_MS
from geraniumspool.run_messages import StopRuns
from geraniumspool.wire_versions import make_incarnation


class ClosedConnectionsTest(unittest.TestCase):
    """The end of a process, which closes its connections where it is reachable."""

    def setUp(self):
        self.network = MemoryNetwork(ManualClock())
        self.observer, self.ending = (self.attach(f"tcp://{name}") for name in "ab")

    def attach(self, address):
        messenger = MemoryMessenger(self.network, Peer(address, 1), MemoryCounters())
        messenger.start(lambda _delivery: None)
        return messenger

    def is_closed(self):
        return self.observer.is_connection_closed(self.ending.local_peer)

    def partition(self):
        self.network.partition(self.observer.local_peer.address, self.ending.local_peer.address)

    def test_a_process_that_is_reachable_is_seen_to_end(self):
        self.assertFalse(self.is_closed())
        self.ending.stop()
        self.partition()
        self.assertTrue(self.is_closed())

    def test_the_end_of_a_process_is_not_seen_across_a_partition(self):
        """It was seen at once, so that dispatchers took over jobs whose runs went on."""
        self.partition()
        self.ending.stop()
        self.assertFalse(self.is_closed())
        self.network.heal()
        self.assertTrue(self.is_closed())

    def test_a_successor_opens_connections_again(self):
        self.partition()
        self.ending.stop()
        self.attach("tcp://b")
        self.assertFalse(self.is_closed())
        self.network.heal()
        self.assertFalse(self.is_closed())


class OvertakenMessagesTest(unittest.TestCase):
    """Messages over a replaced connection, which arrive after later ones."""

    def setUp(self):
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock)
        self.counters = MemoryCounters()
        self.received = []
        self.receiver = self.attach("b", self.counters, self.received.append)

    def attach(self, name, counters, receive):
        peer = Peer(f"tcp://{name}", make_incarnation(1))
        messenger = MemoryMessenger(self.network, peer, counters)
        messenger.start(receive)
        return messenger

    def send(self, sender, delay_ms, number):
        self.network.choose_delays = lambda _sender, _receiver: (delay_ms,)
        sender.send(self.receiver.local_peer, StopRuns((number,)))

    def count_overtaken(self):
        return self.counters.get("messages_overtaken", kind="StopRuns")

    def test_overtaken_messages_are_counted_and_one_of_a_peer_and_second_is_logged(self):
        senders = [self.attach(name, MemoryCounters(), lambda _delivery: None) for name in "ac"]
        with self.assertLogs("geraniumspool.monitored_links", "WARNING") as logs:
            for sender in senders:
                for number in range(5):
                    self.send(sender, 100 + number, number)
                self.send(sender, 1, 9)
            self.clock.advance(200)
        self.assertEqual([StopRuns((9,))] * 2, [delivery.message for delivery in self.received])
        self.assertEqual(10, self.count_overtaken())
        lines = [dict(record.fields) for record in logs.records]
        peers = [sender.local_peer.address for sender in senders]
        self.assertEqual(peers, [line["peer"] for line in lines])
        for line in lines:
            self.assertEqual(
                ("StopRuns", 5), (line["kind"], line["highest_received"] - line["number"])
            )
        with self.assertLogs("geraniumspool.monitored_links", "WARNING") as logs:
            self.send(senders[0], OVERTAKEN_LOG_INTERVAL_MS, 1)
            self.send(senders[0], 1, 2)
            self.clock.advance(OVERTAKEN_LOG_INTERVAL_MS)
        self.assertEqual(["message overtaken"], [line.getMessage() for line in logs.records])

    def test_messages_in_order_are_not_counted(self):
        sender = self.attach("a", MemoryCounters(), lambda _delivery: None)
        for number in range(5):
            self.send(sender, 1 + number, number)
        self.clock.advance(50)
        self.assertEqual((5, 0), (len(self.received), self.count_overtaken()))


class LateDeliveryTest(unittest.TestCase):
    """Connections that stall, are replaced, and deliver what was sent over them afterwards."""

    LINK = ("tcp://a", "tcp://b")

    def setUp(self):
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock)
        self.counters = MemoryCounters()
        self.received = []
        self.sender = self.attach("tcp://a", 1, MemoryCounters(), lambda _delivery: None)
        self.receiver = self.attach("tcp://b", 2, self.counters, self.note)

    def attach(self, address, number, counters, receive):
        peer = Peer(address, make_incarnation(number))
        messenger = MemoryMessenger(self.network, peer, counters)
        messenger.start(receive)
        return messenger

    def note(self, delivery):
        self.received.extend(delivery.message.numbers)

    def send(self, *numbers):
        for number in numbers:
            self.sender.send(self.receiver.local_peer, StopRuns((number,)))
        self.clock.advance(1)

    def reopen(self):
        self.clock.advance(1_000)
        now = self.clock.now()
        self.assertTrue(self.sender.reopen_unconfirmed(self.receiver.local_peer, now))

    def count_overtaken(self):
        return self.counters.get("messages_rejected", reason="overtaken")

    def test_a_stalled_connection_delivers_in_order_once_it_is_released(self):
        self.network.stall_links([self.LINK])
        self.send(1, 2)
        self.assertEqual([], self.received)
        self.network.release_links()
        self.send(3)
        self.assertEqual([1, 2, 3], self.received)

    def test_a_message_that_newer_ones_have_overtaken_is_dropped(self):
        """It was handled, although its receiver knew newer ones already."""
        self.network.stall_links([self.LINK])
        self.send(1, 2)
        self.reopen()
        self.send(3)
        self.network.release_links()
        self.send(4)
        self.assertEqual([3, 4], self.received)
        self.assertEqual(2, self.count_overtaken())

    def test_messages_over_a_replaced_connection_are_taken_while_none_came_over_the_new_one(self):
        self.network.stall_links([self.LINK])
        self.send(1, 2)
        self.reopen()
        self.network.release_links()
        self.send(3)
        self.assertEqual([1, 2, 3], self.received)
        self.assertEqual(0, self.count_overtaken())

    def test_a_message_that_is_right_however_late_is_taken(self):
        """Entries and agents match answers by number: a late one saves a repetition."""
        taken = []
        self.receiver.start(taken.append)
        self.network.stall_links([self.LINK])
        self.sender.send(self.receiver.local_peer, Inquire(1, "t"))
        self.reopen()
        self.send(2)
        self.network.release_links()
        self.clock.advance(1)
        self.assertEqual([StopRuns((2,)), Inquire(1, "t")], [one.message for one in taken])

    def test_a_message_that_was_overtaken_does_not_have_a_connection_replaced(self):
        """It confirms nothing of late, and looked like proof that its sender receives nothing."""
        self.network.stall_links([self.LINK])
        self.send(1)
        self.reopen()
        self.send(2)
        self.receiver.send(self.sender.local_peer, StopRuns((3,)))
        self.clock.advance(1_000)
        reopened = self.receiver.reopened
        self.network.release_links()
        self.clock.advance(1)
        self.assertEqual(reopened, self.receiver.reopened)
        self.assertEqual(1, self.count_overtaken())

    def test_a_replaced_connection_does_not_hold_back_the_new_one(self):
        self.network.stall_links([self.LINK])
        self.send(1)
        self.reopen()
        self.send(2)
        self.assertEqual([2], self.received)


if __name__ == "__main__":
    unittest.main()
