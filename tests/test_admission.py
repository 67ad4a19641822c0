"""Tests that admission predicts the wait of the queue a job will stand in."""

import unittest

import eventlet

from tests.small import ALL_SLOTS, Small, make_task, wait_until


class AdmissionTest(unittest.TestCase):
    """Jobs that come while a wide job waits at their home."""

    def test_wide_job_ahead(self):
        """A narrow job goes before it, and a wide one gets the slots that it frees."""
        system = Small()
        self.addCleanup(system.stop)
        cases = [("narrow", [make_task(1, 50)], 2_500), ("wide", [make_task(1, 50)] * 8, 11_000)]
        ahead = [make_task(0, 300)] * 80
        for name, tasks, deadline_ms in cases:
            with self.subTest(name):
                wide, ticket = system.ticket(), system.ticket()
                waiting = eventlet.spawn(system.put, wide, ahead, deadline_ms=60_000)
                wait_until(lambda: system.running() == ALL_SLOTS)
                try:
                    reply = system.put(ticket, tasks, deadline_ms=deadline_ms)
                finally:
                    system.call("DELETE", f"/v1/jobs/{wide}")
                    waiting.wait()
                    wait_until(lambda: system.running() == 0)
                self.assertEqual(reply.status, 200, reply.body)
