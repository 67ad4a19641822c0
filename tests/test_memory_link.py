"""Tests of the network in memory: what processes see of connections and of each other's end."""

import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.memory_link import MemoryMessenger, MemoryNetwork
from geraniumspool.messages import Peer


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


if __name__ == "__main__":
    unittest.main()
