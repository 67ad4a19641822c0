"""Tests that admission control predicts the wait in the queue that a job will join."""

import unittest

import eventlet

from geraniumspool.admission import DEADLINE_SHARE
from geraniumspool.job import Width
from tests.small import ALL_SLOTS, SmallSystem, make_task, wait_until


class AdmissionTest(unittest.TestCase):
    """Jobs that arrive while a wide job waits at their home.

    No run times have been learned, so each task counts with the initial
    estimate of 300 ms: the 76 waiting tasks take 5,700 ms on all slots, and
    twice that on the home's own.
    """

    def test_wide_job_ahead(self):
        """A narrow job overtakes the wide one, and a medium one gets the slots that it frees."""
        cases = [("narrow", Width.NARROW, 1, 2_250), ("medium", Width.MEDIUM, 8, 8_000)]
        for name, width, tasks, allowed_ms in cases:
            with self.subTest(name):
                deadline_ms = allowed_ms / DEADLINE_SHARE[width]
                reply = self._submit_behind_wide([make_task(1, 50)] * tasks, deadline_ms)
                self.assertEqual(reply.status, 200, reply.body)

    def _submit_behind_wide(self, tasks: list[dict], deadline_ms: float):
        system = SmallSystem()
        self.addCleanup(system.stop)
        wide, ticket = system.ticket(), system.ticket()
        ahead = [make_task(0, 300)] * 80
        waiting = eventlet.spawn(system.submit, wide, ahead, deadline_ms=60_000)
        wait_until(lambda: system.running() == ALL_SLOTS)
        try:
            return system.submit(ticket, tasks, deadline_ms=deadline_ms)
        finally:
            system.call("DELETE", f"/v1/jobs/{wide}")
            waiting.wait()
