"""Tests of failure domains that become unreachable as a whole."""

import logging
import unittest

from geraniumspool.messages import Offer
from tests.world import World

WIDE = (400.0,) * 12
UNREACHABLE_AFTER_MS = 5_000.0
DETECTION_MS = UNREACHABLE_AFTER_MS + 3_000.0
PAUSE_MS = 1_000.0
SETTLE_MS = 20_000.0


def setUpModule():  # noqa: N802
    logging.disable(logging.CRITICAL)


def tearDownModule():  # noqa: N802
    logging.disable(logging.NOTSET)


def peers_in(world, domain):
    """Return the peers of a failure domain's agents."""
    return {agent.peer for agent in world.agents if agent.domain == domain}


def kill(world, domain):
    """Kill every process of a failure domain; return a function that starts replacements."""
    lost = [process for process in list(world.processes) if process.domain == domain]
    for process in lost:
        world.kill(process)

    def restart():
        for process in lost:
            add = world.add_agent if process.minion else world.add_entry
            add(domain, process.peer.address)

    return restart


def partition(world, domain):
    """Partition a failure domain from all others; return a function that heals the network."""
    for one in world.processes:
        for other in world.processes:
            if one.domain == domain != other.domain:
                world.network.partition(one.peer.address, other.peer.address)
    return world.network.heal


class UnreachableDomainTest(unittest.TestCase):
    """Homes in other domains offer no tasks to an unreachable domain until it is back."""

    def make(self, entries):
        world = World(domains=3, agents=1, entries=entries)
        self.addCleanup(world.stop)
        return world

    def count_offers(self, world, peers, jobs):
        """Overload a home in another domain; return the number of offers to peers and the calls."""
        start = len(world.network.sent)
        calls = []
        for _ in range(jobs):
            calls.append(world.submit(world.entries[0], world.make_job(world.agents[0], WIDE)))
            world.run(PAUSE_MS)
        sent = world.network.sent[start:]
        offers = [receiver for _, receiver, message in sent if isinstance(message, Offer)]
        return sum(receiver in peers for receiver in offers), calls

    def test_no_offer_goes_there_after_the_limit(self):
        cases = [(fault, entries) for fault in (kill, partition) for entries in (1, 2)]
        for fault, entries in cases:
            with self.subTest(fault.__name__, entries=entries):
                world = self.make(entries)
                self.assertGreater(self.count_offers(world, peers_in(world, "d1"), 3)[0], 0)
                world.run(SETTLE_MS)
                lost_peers = peers_in(world, "d1")
                recover = fault(world, "d1")
                world.run(DETECTION_MS)
                offers, calls = self.count_offers(world, lost_peers, 6)
                world.run(SETTLE_MS)
                self.assertEqual(offers, 0)
                self.assertEqual({call.outcome for call in calls}, {"complete"})
                for peer in lost_peers:
                    state = world.entries[0].application.roster.get(peer).state
                    self.assertEqual(state, "ready")
                recover()
                world.run(DETECTION_MS)
                self.assertGreater(self.count_offers(world, peers_in(world, "d1"), 3)[0], 0)
                world.end_faults_and_settle()
                self.assertEqual(world.find_violations(), [])


if __name__ == "__main__":
    unittest.main()
