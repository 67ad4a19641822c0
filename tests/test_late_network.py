"""Tests of the network whose connections keep messages, and of processes that stand still."""

import random
import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.link import RETIRED_LINK_MS
from geraniumspool.memory_link import MemoryMessenger
from geraniumspool.messages import Peer, decode
from geraniumspool.run_messages import StopRuns
from geraniumspool.wire_versions import make_incarnation
from tests.late_network import LateNetwork, Process

ONE, OTHER = "tcp://a", "tcp://b"
PAIR, BACK = (ONE, OTHER), (OTHER, ONE)


class LateNetworkTest(unittest.TestCase):
    """Storms whose network loses what a real one delivers late."""

    def setUp(self):
        self.clock = ManualClock()
        self.network = LateNetwork(self.clock, 1.0, random.Random(1))
        self.received = {ONE: [], OTHER: []}
        self.messengers = {address: self.attach(address, 1) for address in (ONE, OTHER)}

    def attach(self, address, number):
        self.network.processes[address] = Process(self.clock, random.Random(1))
        peer = Peer(address, make_incarnation(number))
        messenger = MemoryMessenger(self.network, peer, MemoryCounters())
        messenger.start(lambda _delivery: None)
        # What the network hands over counts, also where the messenger drops it as outdated.
        messenger.handle_data = lambda data: self.received[address].append(
            decode(data).message.numbers[0]
        )
        return messenger

    def send(self, *numbers, address=OTHER):
        sender = self.messengers[ONE if address == OTHER else OTHER]
        for number in numbers:
            sender.send(self.messengers[address].local_peer, StopRuns((number,)))

    def check(self, *numbers, after_ms=5.0, address=OTHER):
        self.clock.advance(after_ms)
        self.assertEqual(list(numbers), self.received[address])

    def test_messages_sent_during_a_cut_arrive_after_it_in_order(self):
        self.send(1)
        self.check(1)
        self.network.cut([PAIR])
        self.send(2, 3)
        self.check(1, after_ms=1_000.0)
        self.network.uncut([PAIR])
        self.check(1, 2, 3, after_ms=1_100.0)

    def test_a_replaced_connection_delivers_after_newer_messages(self):
        self.send(1)
        self.check(1)
        self.network.cut([PAIR])
        self.send(2)
        self.clock.advance(2_000.0)
        self.network.reopen(*PAIR)
        self.network.draw = _Fixed(2_000.0)
        self.network.uncut([PAIR])
        self.send(3)
        self.check(1, 3)
        self.check(1, 3, 2, after_ms=2_100.0)

    def test_a_closed_connection_still_delivers(self):
        self.send(1)
        self.network.cut([PAIR])
        self.clock.advance(5.0)
        self.send(2)
        self.network.reopen(*PAIR)
        self.clock.advance(RETIRED_LINK_MS * 2)
        self.network.uncut([PAIR])
        self.check(1, 2, after_ms=RETIRED_LINK_MS * 2 + 100.0)

    def test_a_connection_opened_during_a_cut_is_closed_with_what_it_keeps(self):
        self.network.cut([BACK])
        self.send(1)
        self.network.reopen(*PAIR)
        self.clock.advance(RETIRED_LINK_MS * 2)
        self.network.uncut([BACK])
        self.send(2)
        self.check(2, after_ms=2_000.0)

    def test_only_a_window_arrives_without_acknowledgements(self):
        self.network.draw = _Fixed(10)
        self.send(0)
        self.clock.advance(5.0)
        self.network.cut([BACK])
        self.send(*range(1, 15))
        self.check(*range(11))
        self.network.uncut([BACK])
        self.check(*range(15), after_ms=100.0)

    def test_a_reset_loses_what_was_not_delivered(self):
        self.send(1)
        self.check(1)
        self.network.cut([PAIR])
        self.send(2)
        self.network.drop_connection(PAIR)
        self.network.uncut([PAIR])
        self.send(3)
        self.check(1, 3, after_ms=2_000.0)

    def test_messages_of_a_dead_process_arrive_and_those_to_one_do_not(self):
        self.send(1)
        self.send(1, address=ONE)
        self.clock.advance(5.0)
        self.network.cut([PAIR, BACK])
        self.send(2)
        self.send(2, address=ONE)
        self.messengers[ONE].stop()
        self.messengers[ONE] = self.attach(ONE, 2)
        self.network.uncut([PAIR, BACK])
        self.check(1, 2, after_ms=2_000.0)
        self.check(1, address=ONE)


class ProcessTest(unittest.TestCase):
    """Storms whose stopped processes go on handling messages and timers."""

    def test_a_stopped_process_handles_everything_when_it_goes_on(self):
        for seed in range(20):
            clock = ManualClock()
            process = Process(clock, random.Random(seed))
            seen = []
            process.clock.after(10.0, lambda seen=seen: seen.append("timer"))
            process.is_frozen = True
            process.run(lambda seen=seen: seen.append("request"))
            clock.advance(100.0)
            self.assertEqual([], seen)
            process.thaw()
            clock.advance(50.0)
            self.assertEqual({"timer", "request"}, set(seen))


class _Fixed(random.Random):
    """Draws one value, or the largest one allowed."""

    def __init__(self, value):
        super().__init__(1)
        self._value = value

    def uniform(self, low, high):
        return min(self._value, high)

    def randint(self, low, high):
        return min(self._value, high)

    def choice(self, values):
        return values[-1]


if __name__ == "__main__":
    unittest.main()
