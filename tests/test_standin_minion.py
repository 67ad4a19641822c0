"""Tests of the stand-in for a minion: counts, fault injection, registration."""

import json
import unittest

import eventlet
import urllib3

from geraniumspool.clock import ManualClock, SystemClock
from geraniumspool.standin_minion import ANNOUNCE_PERIOD_MS, StandinMinion
from tests.small import serve, wait_until


class StandinTest(unittest.TestCase):
    """Tasks, counts and faults over HTTP."""

    def setUp(self):
        self.http = urllib3.PoolManager(retries=False, timeout=5, maxsize=8)
        self.addCleanup(self.http.clear)

    def start(self, seed=0, clock=None):
        standin = StandinMinion("booking", 8, 64, clock or SystemClock(), seed=seed)
        standin.start()
        self.addCleanup(standin.stop)
        return standin

    def call(self, standin, method, path, body=None, **headers):
        response = self.http.request(method, standin.url + path, body=body, headers=headers)
        return response.status, json.loads(response.data or b"null")

    def post(self, standin, task_id, body):
        return self.call(standin, "POST", "/tasks", body, **{"Task-Id": task_id})

    def test_counts_starts_and_stops(self):
        standin = self.start()
        long_run = eventlet.spawn(self.post, standin, "a/1", b'{"run_ms": 4000}')
        for _ in range(2):
            answer = {"value": 7, "minion": standin.url, "task": "b"}
            body = b'{"run_ms": 1, "value": 7}'
            self.assertEqual((200, answer), self.post(standin, "b", body))
        self.assertEqual((400, {"code": "payload_malformed"}), self.post(standin, "c", b"{"))
        report = {"starts": 3, "tasks": 2, "started_more_than_once": 1}
        report |= {"running": 1, "peak_running": 2}
        self.assertEqual((200, report), self.call(standin, "GET", "/starts"))
        self.assertEqual((200, {"starts": 2}), self.call(standin, "GET", "/starts/b"))
        self.assertEqual((200, {"starts": 1}), self.call(standin, "GET", "/starts/a%2F1"))
        self.assertEqual((204, None), self.call(standin, "DELETE", "/tasks/a%2F1"))
        self.assertEqual((409, {"code": "stopped"}), long_run.wait())
        self.assertEqual(404, self.call(standin, "DELETE", "/tasks/a%2F1")[0])
        self.assertEqual(0, standin.running)

    def test_faults_over_http(self):
        standin = self.start()
        for body in (b"[]", b'{"fail_shares": 1}', b'{"fail_share": 2}', b'{"freeze": "yes"}'):
            with self.subTest(body):
                self.assertEqual(400, self.call(standin, "PUT", "/faults", body)[0])
        self.assertEqual(200, self.call(standin, "PUT", "/faults", b'{"fail_fast": true}')[0])
        status = self.post(standin, "fast", b'{"run_ms": 9e9}')
        self.assertEqual((500, {"code": "fault"}), status)
        self.call(standin, "PUT", "/faults", b'{"freeze": true}')
        frozen = eventlet.spawn(self.post, standin, "frozen", b'{"run_ms": 1}')
        eventlet.sleep(0.05)
        self.assertEqual({"starts": 0}, self.call(standin, "GET", "/starts/frozen")[1])
        self.call(standin, "PUT", "/faults", b"{}")
        self.assertEqual(200, frozen.wait()[0])

    def test_task_takes_its_whole_run_time(self):
        clock = ManualClock()
        standin = self.start(clock=clock)
        run = eventlet.spawn(self.post, standin, "whole", b'{"run_ms": 50}')
        with eventlet.Timeout(5):
            while not standin.running:
                eventlet.sleep(0.001)
        for advance_ms, running in ((49.0, 1), (0.9, 1), (0.1, 0)):
            clock.advance(advance_ms)
            self.assertEqual(running, standin.running)
        self.assertEqual(200, run.wait()[0])

    def test_same_seed_gives_same_failures(self):
        def statuses(seed):
            standin = self.start(seed)
            self.call(standin, "PUT", "/faults", b'{"fail_share": 0.5}')
            return [self.post(standin, str(i), b'{"run_ms": 0}')[0] for i in range(20)]

        first = statuses(1)
        self.assertEqual(first, statuses(1))
        self.assertNotEqual(first, statuses(2))
        self.assertEqual({200, 500}, set(first))


class AnnounceTest(unittest.TestCase):
    """Registration with an agent, and deregistration."""

    def setUp(self):
        self.calls = []
        self.agent_url = f"http://{serve(self, self.agent)}"

    def agent(self, environ, start_response):
        call = environ["REQUEST_METHOD"], environ["PATH_INFO"], environ["wsgi.input"].read()
        self.calls.append(call)
        start_response("204 No Content", [])
        return []

    def test_announces_until_it_leaves(self):
        clock = ManualClock()
        standin = StandinMinion("booking", 8, 64, clock, max_size=2.5)
        standin.start()
        self.addCleanup(standin.stop)
        self.assertFalse(standin.leave())
        standin.announce(self.agent_url)
        wait_until(lambda: len(self.calls) >= 1)
        eventlet.sleep(0.05)
        clock.advance(ANNOUNCE_PERIOD_MS)
        wait_until(lambda: len(self.calls) >= 2)
        eventlet.sleep(0.05)
        self.assertTrue(standin.leave())
        clock.advance(10 * ANNOUNCE_PERIOD_MS)
        eventlet.sleep(0.05)
        document = {"service": "booking", "url": standin.url, "slots": 8}
        document |= {"connections": 64, "max_size": 2.5}
        self.assertEqual(["PUT", "PUT", "DELETE"], [method for method, _, _ in self.calls])
        self.assertEqual({"/v1/minion"}, {path for _, path, _ in self.calls})
        self.assertEqual(document, json.loads(self.calls[0][2]))
