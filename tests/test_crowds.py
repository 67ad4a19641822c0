"""Tests that crowds of clients without limits end no process and starve no ordinary caller.

Real processes. Nothing is checked that depends on the speed of the machine: each process lives,
its memory and descriptors stay under a bound, and one ordinary job is answered afterwards.
"""

import contextlib
import json
import os
import re
import resource
import socket
import tempfile
import unittest
from pathlib import Path

import eventlet
import urllib3

from benchmarks.soak_callers import HOST, PREFIX, make_job
from benchmarks.soak_deployment import Layout, SoakDeployment
from benchmarks.soak_witness import EventLog, GuaranteeChecker

MIB = 1 << 20
# Two thirds of the memory of the smallest machine that runs an executor.
MAX_MEMORY_MB = 112
# A process that asks for more gets no memory, so that a faulty one does not exhaust the machine.
MAX_ADDRESS_SPACE = 2 << 30
MAX_DESCRIPTORS = 400
# Long enough for the slowest machine: the answer counts, not its time.
ANSWER_LIMIT_S = 60.0
SEND_LIMIT_S = 30.0
CONNECT_LIMIT_S = 5.0
ORDINARY_DEADLINE_MS = 20_000

CALLERS = 120
REPORTERS = 40
CHUNKERS = 80
ENDLESS_CALLERS = 40
STEP_CALLERS = 30
MANY_STEPS = 20_000


def make_head(path, body_headers):
    """Return a request's head."""
    return f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{body_headers}\r\n\r\n".encode()


def announce(size):
    return f"Content-Length: {size}"


CHUNKED = "Transfer-Encoding: chunked"


class CrowdCase(unittest.TestCase):
    """One dispatcher and one executor with its minion."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.log = EventLog(Path(folder) / "events.log")
        self.addCleanup(self.log.close)
        layout = Layout(dispatchers=1, executors=1, domains=("north",))
        self.deployment = SoakDeployment(layout, 1, folder, GuaranteeChecker(self.log))
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        self.assertTrue(self.deployment.await_ready())
        for process in self.deployment.processes:
            limit = (MAX_ADDRESS_SPACE, MAX_ADDRESS_SPACE)
            resource.prlimit(process.pid, resource.RLIMIT_AS, limit)
        self.front = self.deployment.endpoints[0].address
        settings = next(Path(folder).glob("executor-0.yaml")).read_text()
        self.reports = re.search(r"minion_listen: (\S+)", settings)[1]
        self.sockets = []
        self.addCleanup(self.hang_up)

    def hang_up(self):
        for client in self.sockets:
            client.close()

    def send_crowd(self, count, address, parts):
        """Let clients send the same bytes and keep their connections open.

        :param parts: function that returns an iterable of bytes; a client stops at an error
        """
        pool = eventlet.GreenPool(count)
        for _ in range(count):
            pool.spawn_n(self._send, address, parts)
        with contextlib.suppress(eventlet.Timeout), eventlet.Timeout(SEND_LIMIT_S):
            pool.waitall()

    def _send(self, address, parts):
        host, _, port = address.rpartition(":")
        try:
            client = socket.create_connection((host, int(port)), CONNECT_LIMIT_S)
            self.sockets.append(client)
            client.settimeout(SEND_LIMIT_S)
            for part in parts():
                client.sendall(part)
                eventlet.sleep(0)
        except OSError:
            # A crowd's client may be refused or closed at any time.
            pass

    def check(self):
        """Check what must hold after a crowd, while its connections are open."""
        self.assertEqual((200, "succeeded"), self.send_ordinary_job())
        for process in self.deployment.processes:
            with self.subTest(process=process.name):
                self.assertFalse(process.has_ended)
                status = Path(f"/proc/{process.pid}/status").read_text()
                peak_mb = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024
                self.assertLess(peak_mb, MAX_MEMORY_MB)
                self.assertLess(len(os.listdir(f"/proc/{process.pid}/fd")), MAX_DESCRIPTORS)

    def send_ordinary_job(self):
        """Send one job; return the status and the job's state, 0 if there is no answer."""
        job = make_job("c" * 16, 0)
        headers = {"Host": HOST, "Deadline-Ms": str(ORDINARY_DEADLINE_MS)}
        http = urllib3.PoolManager(retries=False)
        url = f"http://{self.front}{PREFIX}{job.job_id}"
        try:
            reply = http.request("POST", url, job.body, headers=headers, timeout=ANSWER_LIMIT_S)
        except urllib3.exceptions.HTTPError:
            return 0, ""
        return reply.status, json.loads(reply.data).get("state", "")

    def job_path(self):
        return f"{PREFIX}{len(self.sockets) + 1:016x}"


class CallersCrowdTest(CrowdCase):
    """Crowds at the address for callers."""

    def test_large_bodies_that_never_end(self):
        head = make_head(PREFIX + "a" * 16, announce(MIB))
        self.send_crowd(CALLERS, self.front, lambda: (head, b" " * (MIB - 1)))
        self.check()

    def test_bodies_of_tiny_chunks_that_never_end(self):
        head = make_head(PREFIX + "a" * 16, CHUNKED)
        piece = b"2\r\n  \r\n" * (MIB // 64)
        self.send_crowd(CHUNKERS, self.front, lambda: (head, *[piece] * 32))
        self.check()

    def test_chunked_bodies_without_an_end(self):
        head = make_head(PREFIX + "a" * 16, CHUNKED)
        piece = b"10000\r\n" + b" " * 0x10000 + b"\r\n"
        self.send_crowd(ENDLESS_CALLERS, self.front, lambda: (head, *[piece] * 64))
        self.check()

    def test_bodies_far_over_the_limit(self):
        head = make_head(PREFIX + "a" * 16, announce(1 << 30))
        self.send_crowd(ENDLESS_CALLERS, self.front, lambda: (head, *[b" " * MIB] * 16))
        self.check()

    def test_bytes_behind_a_request_in_work(self):
        body = json.dumps(
            {
                "spec": "1000:3000",
                "steps": [{"count": 1, "cpu": 1_000, "estimate_ms": 3_000}],
                "best_effort": True,
            }
        ).encode()
        head = make_head(PREFIX + "a" * 16, announce(len(body)))
        self.send_crowd(ENDLESS_CALLERS, self.front, lambda: (head + body, *[b"x" * MIB] * 4))
        self.check()

    def test_a_job_of_billions_of_tasks(self):
        self.send_job([{"count": 2_000_000_000, "cpu": 1_000}])
        self.check()

    def test_numbers_beyond_64_bits(self):
        self.send_job([{"count": 1, "cpu": 1 << 80}])
        self.send_job([{"count": 1, "cpu": (1 << 63) - 1, "mem_mb": (1 << 63) - 1}])
        self.send_job([{"count": 1 << 80, "cpu": 1}])
        self.check()

    def test_jobs_of_many_steps(self):
        body = json.dumps({"spec": "1000:10", "steps": [{}] * MANY_STEPS, "best_effort": True})
        padded = body.encode() + b" " * 700_000
        head = make_head(PREFIX + "a" * 16, announce(len(padded)))
        self.send_crowd(STEP_CALLERS, self.front, lambda: (head, padded))
        self.check()

    def send_job(self, steps):
        body = json.dumps({"spec": "1000:10", "steps": steps, "best_effort": True}).encode()
        head = make_head(self.job_path(), announce(len(body)))
        self.send_crowd(1, self.front, lambda: (head + body,))


class ReportersCrowdTest(CrowdCase):
    """Crowds at the address for the minion's reports."""

    path = "/instances/i-0/heartbeat"

    def test_large_reports_that_never_end(self):
        head = make_head(self.path, announce(4 * MIB))
        self.send_crowd(REPORTERS, self.reports, lambda: (head, b" " * (4 * MIB - 1)))
        self.check()

    def test_reports_of_tiny_chunks_that_never_end(self):
        head = make_head(self.path, CHUNKED)
        piece = b"2\r\n  \r\n" * (MIB // 64)
        self.send_crowd(REPORTERS, self.reports, lambda: (head, *[piece] * 64))
        self.check()


if __name__ == "__main__":
    unittest.main()
