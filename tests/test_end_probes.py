"""Tests of what shows that a process has ended, and of what only looks like it."""

import socket
import unittest

import eventlet

from geraniumspool.clock import ManualClock, SystemClock
from geraniumspool.end_probes import MAX_PROBE_GAP_MS, PROBE_PERIOD_MS, EndProbes

ADDRESS = "tcp://10.0.0.1:7720"
WAIT_S = 0.01


class EndProbesTest(unittest.TestCase):
    """An address that answers each probe in a given way."""

    def setUp(self):
        self.clock = ManualClock()
        self.clock.advance(1_000)
        self.error = ConnectionRefusedError()
        self.probes = EndProbes(self.clock, self.connect)
        self.count = 0

    def connect(self, _address):
        self.count += 1
        if self.error is not None:
            raise self.error

    def ask(self):
        self.probes.find_refused_since(ADDRESS)
        self.clock.advance(PROBE_PERIOD_MS)
        return self.probes.find_refused_since(ADDRESS)

    def test_a_refused_connection_shows_the_end_from_the_first_refusal_on(self):
        begin = self.clock.now()
        self.assertEqual(begin, self.ask())
        self.assertEqual(begin, self.ask())

    def test_an_address_that_cannot_be_reached_shows_nothing(self):
        for error in (TimeoutError(), ConnectionResetError(), OSError("no route"), None):
            with self.subTest(error=error):
                self.error = error
                self.assertIsNone(self.ask())

    def test_another_answer_ends_the_series(self):
        self.ask()
        self.error = TimeoutError()
        self.assertIsNone(self.ask())
        self.error = ConnectionRefusedError()
        later = self.clock.now()
        self.clock.advance(PROBE_PERIOD_MS)
        self.assertGreaterEqual(self.ask(), later)

    def test_a_process_may_have_started_between_probes_that_are_far_apart(self):
        begin = self.ask()
        self.clock.advance(MAX_PROBE_GAP_MS + 1)
        self.assertIsNone(self.probes.find_refused_since(ADDRESS))
        self.clock.advance(PROBE_PERIOD_MS)
        self.assertGreater(self.probes.find_refused_since(ADDRESS), begin)

    def test_one_probe_at_a_time_and_none_sooner_than_its_period(self):
        for _ in range(10):
            self.probes.find_refused_since(ADDRESS)
        self.clock.advance(1)
        self.assertEqual(1, self.count)


class RealAddressTest(unittest.TestCase):
    """Addresses on loopback."""

    def is_refused(self, listener):
        host, port = listener.getsockname()
        probes = EndProbes(SystemClock())
        probes.find_refused_since(f"tcp://{host}:{port}")
        eventlet.sleep(WAIT_S)
        return probes.find_refused_since(f"tcp://{host}:{port}") is not None

    def test_a_listening_process_is_told_from_one_that_has_ended(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.assertFalse(self.is_refused(listener))
        ended = socket.socket()
        self.addCleanup(ended.close)
        ended.bind(("127.0.0.1", 0))
        self.assertTrue(self.is_refused(ended))
        listener.close()


if __name__ == "__main__":
    unittest.main()
