"""Tests of the HTTP interfaces for callers' jobs and minions' reports."""

import json
import unittest

import eventlet
import urllib3

from geraniumspool.clock import SystemClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.executor import Executor
from geraniumspool.job_specs import (
    MAX_AMOUNT,
    MAX_DEPENDENCIES,
    MAX_PAYLOAD_BYTES,
    MAX_STEPS,
    MAX_TASKS,
)
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.platform.configuration import decode_configuration
from geraniumspool.platform.ingress import MAX_WAIT_MS, Ingress, ReadyCheck, parse_wait
from geraniumspool.platform.reports import MinionReportsApplication
from geraniumspool.queues import QueueConfiguration
from geraniumspool.run_messages import UNKNOWN_DEPARTURE
from geraniumspool.webserver import WebServer
from tests.dispatch_world import DispatchWorld, make_guard
from tests.small import wait_until

JOB = "5c0e7a21d94b36f8"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "nony24.example",
            "prefix": "/lohu930/",
            "kind": "unsafe",
            "timeout_ms": 1500,
            "target_duration_ms": 60,
            "priority": 0,
            "service": "fitting",
            "attempts": 2,
            "stretch": 1.6,
        },
        {
            "name": "r-2",
            "host": "nony24.example",
            "prefix": "/lohu930/deep/",
            "service": "fitting",
        },
        {
            "name": "r-3",
            "host": "other.example",
            "prefix": "/x/",
            "service": "fitting",
            "hint": {"decide_ms": 1},
        },
    ],
    "services": [{"name": "fitting", "admission_control": False}],
    "limits": {"max_body_bytes": 262144},
}


def make_body(run_ms=20, how="", **fields):
    """Return the body of a job submission.

    :param how: how the memory minion ends the tasks, such as ``fail``
    """
    spec = f"1000:{run_ms}" + (f":{how}" if how else "")
    step = {"count": 2, "cpu": 1000, "estimate_ms": run_ms}
    return {"spec": spec, "steps": [step], "best_effort": True} | fields


class IngressTest(unittest.TestCase):
    """Callers' requests, sent over loopback."""

    def setUp(self):
        self.world = DispatchWorld(2)
        self.addCleanup(self.world.close)
        self.dispatcher = self.world.dispatcher.dispatcher
        self.configuration = QueueConfiguration()
        ingress = Ingress(self.dispatcher, self.configuration, MemoryCounters())
        self.server = WebServer(ingress, "127.0.0.1:0", SystemClock())
        self.server.start()
        self.addCleanup(self.server.stop)
        self.http = urllib3.PoolManager(retries=False)
        self.driver = None

    def configure(self, **changes):
        document = json.dumps(CONFIGURATION | changes).encode()
        return self.configuration.apply(decode_configuration(document))

    def run_clock(self):
        """Advance the world's clock in the background until the test ends."""

        def run():
            while True:
                self.world.clock.advance(5)
                eventlet.sleep(0.001)

        task = eventlet.spawn(run)
        self.addCleanup(task.kill)

    def request(self, method, path, body=None, host="nony24.example", **headers):
        url = f"http://{self.server.address}{path}"
        data = json.dumps(body).encode() if body is not None else None
        headers = {"Host": host, "Content-Type": "application/json"} | headers
        response = self.http.request(method, url, body=data, headers=headers, timeout=20)
        return response.status, json.loads(response.data or b"{}"), response.headers

    def test_without_a_configuration_jobs_are_refused(self):
        status, answer, headers = self.request("POST", f"/lohu930/{JOB}", make_body())
        self.assertEqual((503, "configuration_unknown"), (status, answer["code"]))
        self.assertIn("Retry-After", headers)

    def test_requests_that_need_no_worker(self):
        self.configure()
        rows = [
            ("GET", "/lohu930/", "nony24.example", 200),
            ("GET", "/lohu930/", "nony24.example:8080", 200),
            ("GET", "/lohu930/deep/", "nony24.example", 200),
            ("GET", "/nothing/", "nony24.example", 404),
            ("GET", "/lohu930/", "elsewhere.example", 404),
            ("GET", f"/lohu930/{JOB}", "nony24.example", 410),
            ("DELETE", f"/lohu930/{JOB}", "nony24.example", 410),
            ("POST", "/lohu930/not-an-id", "nony24.example", 404),
            ("PUT", f"/lohu930/{JOB}", "nony24.example", 405),
        ]
        for method, path, host, expected in rows:
            with self.subTest(method=method, path=path, host=host):
                status, answer, _ = self.request(method, path, host=host)
                self.assertEqual(expected, status)
                if expected == 200:
                    self.assertEqual({"pending": 0}, answer)

    def test_jobs_over_the_limits_are_rejected_before_anything_is_made_for_them(self):
        self.configure()
        step = {"count": 1, "cpu": 1_000}
        rows = [
            {"steps": [step | {"count": 2_000_000_000}]},
            {"steps": [step | {"count": 1 << 80}]},
            {"steps": [step | {"count": MAX_TASKS}, step]},
            {"steps": [step] * (MAX_STEPS + 1)},
            {"steps": [step | {"cpu": 1 << 64}]},
            {"steps": [step | {"mem_mb": MAX_AMOUNT + 1}]},
            {"steps": [step | {"cpu": -1}]},
            {"steps": [step | {"count": -1}]},
            {"steps": [step | {"max_per_server": -1}]},
            {"steps": [step | {"estimate_ms": 1e300}]},
            {"steps": [step, *[step | {"after": [0] * MAX_DEPENDENCIES}] * 2]},
            {"spec": "x" * (MAX_PAYLOAD_BYTES + 1)},
        ]
        for fields in rows:
            with self.subTest(fields=str(fields)[:80]):
                answer = self.request("POST", f"/lohu930/{JOB}", make_body(**fields))
                self.assertEqual((400, "invalid_input"), (answer[0], answer[1]["code"]))
        self.assertFalse(self.dispatcher.has_job(JOB))

    def test_a_job_at_the_limits_is_not_rejected_for_its_size(self):
        self.configure()
        self.run_clock()
        steps = [{"count": MAX_TASKS - 1, "cpu": 1}, {"count": 1, "after": [0], "cpu": MAX_AMOUNT}]
        body = make_body(steps=steps, spec="1000:20:" + "x" * (MAX_PAYLOAD_BYTES - 8))
        status = self.request("POST", f"/lohu930/{JOB}", body, **{"Deadline-Ms": "500"})[0]
        self.assertNotEqual(400, status)

    def test_a_deeply_nested_field_is_rejected(self):
        self.configure()
        url = f"http://{self.server.address}/lohu930/{JOB}"
        for body in ("[" * 50_000, '{"x":' + "[" * 50_000, '{"x":' + '{"y":' * 20_000):
            with self.subTest(body=body[:10]):
                headers = {"Host": "nony24.example"}
                answer = self.http.request("POST", url, body=body, headers=headers, timeout=20)
                self.assertEqual(400, answer.status)

    def test_the_longest_wait_is_limited(self):
        """Claims are kept for as long as callers wait, on all dispatchers."""
        for text in ("600001", "1e300", "9" * 400):
            with self.subTest(text=text[:10]):
                self.assertLessEqual(parse_wait(text), MAX_WAIT_MS)

    def test_a_job_is_answered_when_it_has_ended(self):
        self.configure()
        self.run_clock()
        for how, state in (("", "succeeded"), ("fail", "failed")):
            with self.subTest(how=how):
                job = f"{JOB[:-1]}{len(how)}"
                status, answer, _ = self.request("POST", f"/lohu930/{job}", make_body(how=how))
                self.assertEqual((200, state), (status, answer["state"]))

    def test_a_job_past_its_deadline_is_answered_with_504(self):
        self.configure()
        self.run_clock()
        body = make_body(run_ms=60_000)
        body["steps"][0]["estimate_ms"] = 100
        headers = {"Deadline-Ms": "400"}
        status, answer, _ = self.request("POST", f"/lohu930/{JOB}", body, **headers)
        self.assertEqual((504, "deadline"), (status, answer["code"]))

    def test_unsupported_kinds_of_jobs_are_refused_at_once(self):
        self.configure()
        step = {"count": 1, "cpu": 1000}
        rows = [
            ("durable_jobs_unsupported", make_body(best_effort=False)),
            ("kind_unsupported", make_body(times=3)),
            ("kind_unsupported", make_body(steps=[step | {"gang": True}])),
            ("kind_unsupported", make_body(steps=[step | {"long_running": True}])),
            ("kind_unsupported", make_body(steps=[step | {"fills": True}])),
            ("steps_invalid", make_body(steps=[])),
            ("steps_invalid", make_body(steps=[step | {"after": [0]}])),
        ]
        for code, body in rows:
            with self.subTest(code=code, body=body):
                status, answer, headers = self.request("POST", f"/lohu930/{JOB}", body)
                self.assertEqual((503, code), (status, answer["code"]))
                self.assertIn("Retry-After", headers)
        advised = self.request("POST", f"/x/{JOB}", make_body(), "other.example")
        self.assertEqual((503, "kind_unsupported"), (advised[0], advised[1]["code"]))
        self.assertEqual(400, self.request("POST", f"/lohu930/{JOB}", {"steps": "no"})[0])
        self.assertEqual([], [w.minion.started for w in self.world.workers if w.minion.started])

    def test_runs_are_stopped_when_their_caller_disconnects(self):
        self.configure()
        self.run_clock()
        caller = eventlet.connect(("127.0.0.1", int(self.server.address.rpartition(":")[2])))
        job = make_body(run_ms=50_000)
        job["steps"][0]["estimate_ms"] = 100
        body = json.dumps(job).encode()
        head = f"POST /lohu930/{JOB} HTTP/1.1\r\nHost: nony24.example\r\n"
        caller.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        minions = [w.minion for w in self.world.workers]
        wait_until(lambda: any(minion.running for minion in minions))
        caller.close()
        wait_until(lambda: not any(minion.running for minion in minions))
        self.assertTrue(self.dispatcher.is_idle)

    def test_an_older_configuration_never_replaces_a_newer_one(self):
        self.assertTrue(self.configure())
        self.assertTrue(self.configure(version=9, routes=[]))
        self.assertFalse(self.configure(version=8))
        self.assertEqual(404, self.request("GET", "/lohu930/")[0])
        self.assertIsNone(decode_configuration(b"{"))

    def test_an_impossible_weight_is_rejected_with_its_name(self):
        self.configure(version=3)
        first, *others = CONFIGURATION["routes"]
        for weight in (0, -1, 1_001, "2", None):
            document = CONFIGURATION | {"version": 4, "routes": [first | {"weight": weight}]}
            with (
                self.subTest(weight=weight),
                self.assertLogs("geraniumspool.platform.configuration", "ERROR") as logs,
            ):
                self.assertIsNone(decode_configuration(json.dumps(document).encode()))
                self.assertIn("routes[0].weight", str(logs.records[0].fields))
        self.assertEqual(3, self.configuration.table.version)
        self.configure(version=5, routes=[first | {"weight": 2.5}, *others])
        weights = [queue.weight for queue in self.configuration.table.queues]
        self.assertEqual([2.5, 1.0, 1.0], weights)

    def test_readiness_check(self):
        ready = [False]
        server = WebServer(
            ReadyCheck(lambda: ready[0], MemoryCounters()), "127.0.0.1:0", SystemClock()
        )
        server.start()
        self.addCleanup(server.stop)
        for state, expected in ((False, 503), (True, 200)):
            ready[0] = state
            response = self.http.request("GET", f"http://{server.address}/ready")
            self.assertEqual(expected, response.status)


class ReportsTest(unittest.TestCase):
    """A minion's reports, sent over loopback."""

    def setUp(self):
        clock = SystemClock()
        self.minion = MemoryMinion(clock, "i-7f3a91c2")
        counters = MemoryCounters()
        guard = make_guard(clock, counters)
        self.executor = Executor(clock, self.minion, lambda *_: True, counters, "north", 1, guard)
        self.server = WebServer(
            MinionReportsApplication(self.executor, MemoryCounters()), "127.0.0.1:0", clock
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.http = urllib3.PoolManager(retries=False)

    def post(self, path, body):
        url = f"http://{self.server.address}{path}"
        return self.http.request("POST", url, body=json.dumps(body)).status

    def test_reports_and_leaving_update_the_executor(self):
        body = {
            "service": "huvo11a",
            "addr": "10.128.0.9:8080",
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "room": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", "r1-3"],
            "seq": 4,
            "born": self.minion.incarnation.started_unix_ms,
            "machine": "m-1",
        }
        self.assertEqual(200, self.post("/instances/i-7f3a91c2/heartbeat", body))
        wait_until(lambda: self.executor.state().instance)
        state = self.executor.state()
        self.assertEqual(("huvo11a", "r1-3"), (state.service, state.rack))
        self.assertEqual((16_000, 32_768, 0), state.room)
        self.post("/instances/i-7f3a91c2/heartbeat", body | {"state": "draining", "seq": 5})
        wait_until(lambda: not self.executor.state().accepts)
        self.post("/instances/i-7f3a91c2/heartbeat", body | {"seq": 4})
        eventlet.sleep(0.05)
        self.assertFalse(self.executor.state().accepts)
        earlier = {"born": self.minion.incarnation.started_unix_ms - 1}
        self.assertEqual(200, self.post("/instances/i-7f3a91c2/deregister", earlier))
        self.assertEqual("i-7f3a91c2", self.executor.state().instance)
        self.assertEqual(400, self.post("/instances/i-7f3a91c2/deregister", {"born": "x"}))
        self.assertEqual(200, self.post("/instances/i-7f3a91c2/deregister", {}))
        self.assertEqual("", self.executor.state().instance)

    def test_the_remaining_time_of_a_draining_minion_is_passed_on(self):
        """Without a valid one the minion still drains; that its time is unknown is logged once."""
        known = [(1_500, 1_500.0), (0, 0.0), (1_250.5, 1_250.5)]
        invalid = (-1, "soon", None, True, [5], 10**400)
        known += [(given, UNKNOWN_DEPARTURE) for given in invalid]
        body = {
            "service": "huvo11a",
            "addr": "10.128.0.9:8080",
            "state": "draining",
            "room": {"cpu": 16000},
        }
        passed = []

        def handle_report(_report, departure, is_stored):
            self.assertFalse(is_stored)
            passed.append(departure)

        self.executor.handle_minion_report = handle_report
        with self.assertLogs("geraniumspool.platform.reports", "WARNING") as logs:
            for given, _expected in known:
                fields = {"remaining_ms": given}
                self.assertEqual(200, self.post("/instances/i-1/heartbeat", body | fields))
            self.assertEqual(200, self.post("/instances/i-1/heartbeat", body))
            self.assertEqual(
                200, self.post("/instances/i-1/heartbeat", body | {"state": "ready", **fields})
            )
        wait_until(lambda: len(passed) == len(known) + 2)
        expected = [departure for _given, departure in known]
        self.assertEqual(expected + [UNKNOWN_DEPARTURE] * 2, passed)
        self.assertEqual(
            ["departure time of minion unknown"], [record.getMessage() for record in logs.records]
        )

    def test_invalid_reports_and_unknown_paths_are_rejected(self):
        self.assertEqual(400, self.post("/instances/i-1/heartbeat", {"service": 3}))
        self.assertEqual(404, self.post("/instances/i-1/other", {}))

    def test_invalid_reports_leave_the_known_minion_in_place(self):
        body = {
            "service": "huvo11a",
            "addr": "10.128.0.9:8080",
            "state": "ready",
            "room": {"cpu": 16000, "mem_mb": 32768},
            "seq": 4,
            "born": self.minion.incarnation.started_unix_ms,
        }
        self.assertEqual(200, self.post("/instances/i-7f3a91c2/heartbeat", body))
        wait_until(lambda: self.executor.state().instance)
        rows = [
            ("state that nobody knows", body | {"state": "odd"}),
            ("state of another type", body | {"state": 1}),
            ("no state", {key: body[key] for key in body if key != "state"}),
            ("no address", {key: body[key] for key in body if key != "addr"}),
            ("no room", {key: body[key] for key in body if key != "room"}),
            ("room of another type", body | {"room": "much"}),
            ("less room than none", body | {"room": {"cpu": -1}}),
            ("empty service", body | {"service": ""}),
            ("number of another type", body | {"seq": "4"}),
            ("start of another type", body | {"born": "5"}),
            ("labels of another type", body | {"labels": {"a": 1}}),
            ("a list", []),
        ]
        for name, invalid in rows:
            for instance in ("i-7f3a91c2", "i-other"):
                with self.subTest(name, instance=instance):
                    status = self.post(f"/instances/{instance}/heartbeat", invalid)
                    self.assertEqual(400, status)
        url = f"http://{self.server.address}/instances/i-other/heartbeat"
        response = self.http.request("POST", url, body=b"\xff\x00{")
        self.assertEqual(400, response.status)
        state = self.executor.state()
        self.assertEqual(("i-7f3a91c2", "huvo11a"), (state.instance, state.service))
        self.assertEqual(16_000, state.room.cpu)
