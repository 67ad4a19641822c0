"""Tests of dispatchers' reports that arrive after newer ones."""

import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.dispatcher_peers import IDLE_SILENT_MS, DispatcherPeers
from geraniumspool.evacuations import Evacuations
from geraniumspool.job_messages import DispatcherReport
from geraniumspool.messages import Peer
from geraniumspool.registrations import DISPATCHER_PREFIX, DispatcherRecord, encode_record

ME, OTHER = (Peer(f"tcp://{name}", 1) for name in "ab")
EXECUTOR = "tcp://w0"


class LateReportTest(unittest.TestCase):
    """A report arrives after one that was sent later.

    An executor that the sender uses since, and that the store does not list, would no longer be
    asked for fences.
    """

    def setUp(self):
        self.clock = ManualClock()
        self.clock.advance(10_000)
        record = DispatcherRecord("north")
        evacuations = Evacuations(self.clock, MemoryCounters())
        self.peers = DispatcherPeers(self.clock, ME, record, evacuations)
        key = DISPATCHER_PREFIX + OTHER.address
        self.peers.directory.apply_change(key, encode_record(record), self.clock.now())

    def report(self, now_ms, echo_ms=0.0, is_leaving=False, unlisted=()):
        report = DispatcherReport(now_ms, echo_ms, is_leaving, (), 0, (), unlisted=unlisted)
        view = self.peers.find_or_add(OTHER)
        view.apply_report(report, self.clock.now())
        self.peers.refresh()
        return view

    def test_an_executor_that_a_newer_report_names_is_still_asked(self):
        self.report(100.0, unlisted=(EXECUTOR,))
        self.report(50.0)
        self.assertEqual({EXECUTOR}, self.peers.executors)
        self.report(150.0)
        self.assertEqual(set(), self.peers.executors)

    def test_a_dispatcher_that_has_said_that_it_leaves_is_sent_no_jobs(self):
        self.report(100.0, is_leaving=True)
        self.assertTrue(self.report(50.0).is_leaving)

    def test_it_does_not_show_that_its_sender_is_alive(self):
        view = self.report(100.0)
        self.clock.advance(IDLE_SILENT_MS + 10)
        self.report(50.0)
        self.assertFalse(view.is_alive(self.clock.now()))

    def test_what_it_has_confirmed_counts(self):
        self.report(100.0, echo_ms=7.0)
        self.assertEqual(8.0, self.report(50.0, echo_ms=8.0).confirmed_ms)

    def test_a_former_incarnation_has_another_clock(self):
        self.report(100.0)
        view = self.peers.find_or_add(OTHER._replace(incarnation=2))
        view.apply_report(DispatcherReport(3.0, 0.0, True, (), 0, ()), self.clock.now())
        self.assertTrue(view.is_leaving)


if __name__ == "__main__":
    unittest.main()
