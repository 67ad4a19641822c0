"""Tests of the limits on what all connections of a server hold together."""

import socket
import unittest

import eventlet

from geraniumspool.body_budget import BodyBudget
from geraniumspool.clock import SystemClock
from geraniumspool.routes import Route
from tests.test_web import MAX_BODY, FakeCounters, connect, echo, make_server, put, read_reply

ROUTE = Route("PUT", "/v1/jobs/{ticket}", echo)


class Holder:
    """A connection that receives a body."""

    def __init__(self, budget):
        self.budget = budget
        self.is_aborted = False

    def abort_body(self):
        self.is_aborted = True
        eventlet.spawn_n(self.budget.release, self)


class BodyBudgetTest(unittest.TestCase):
    """Which body is ended if all of them take too much memory."""

    def setUp(self):
        self.counters = FakeCounters()
        self.budget = BodyBudget(100, self.counters)
        self.large, self.small, self.other = (Holder(self.budget) for _ in range(3))

    def test_the_largest_unfinished_body_makes_room(self):
        self.assertTrue(self.budget.reserve(self.large, 60))
        self.assertTrue(self.budget.reserve(self.small, 30))
        self.assertTrue(self.budget.reserve(self.other, 30))
        self.assertTrue(self.large.is_aborted)
        self.assertFalse(self.small.is_aborted)
        self.assertEqual(60, self.budget.used_bytes)
        self.assertEqual(1, self.counters.counts[("bodies_aborted",)])

    def test_memory_of_an_ended_body_is_not_used_before_it_is_released(self):
        """Its green thread may run much later than the one that needs the memory."""
        self.assertTrue(self.budget.reserve(self.large, 90))
        task = eventlet.spawn(self.budget.reserve, self.small, 20)
        self.large.abort_body = lambda: setattr(self.large, "is_aborted", True)
        for _ in range(5):
            eventlet.sleep(0)
        self.assertEqual(90, self.budget.used_bytes)
        self.budget.release(self.large)
        self.assertTrue(task.wait())

    def test_a_body_does_not_displace_smaller_ones(self):
        self.assertTrue(self.budget.reserve(self.small, 50))
        self.assertTrue(self.budget.reserve(self.large, 50))
        self.assertFalse(self.budget.reserve(self.large, 10))
        self.assertFalse(self.small.is_aborted)

    def test_finished_bodies_keep_their_memory_until_they_are_released(self):
        self.assertTrue(self.budget.reserve(self.large, 80))
        self.budget.finish(self.large, 70)
        self.assertFalse(self.budget.reserve(self.small, 40))
        self.assertFalse(self.large.is_aborted)
        self.budget.release(self.large)
        self.assertTrue(self.budget.reserve(self.small, 40))

    def test_a_released_holder_leaves_nothing(self):
        self.budget.reserve(self.small, 10)
        self.budget.finish(self.small, 8)
        for _ in range(2):
            self.budget.release(self.small)
        self.assertEqual(0, self.budget.used_bytes)


class ServerTest(unittest.TestCase):
    """A server with low limits."""

    def start(self, **options):
        self.server, self.counters = make_server(SystemClock(), ROUTE, **options)
        self.addCleanup(self.server.stop)
        return self.server

    def hold(self, data):
        """Open a connection that sends some data and stays open."""
        connection = connect(self.server)
        self.addCleanup(connection.close)
        connection.sendall(data)
        eventlet.sleep(0.01)
        return connection

    def ask(self, data):
        with connect(self.server) as connection, connection.makefile("rb") as stream:
            connection.sendall(data)
            return read_reply(stream)

    def assert_ordinary_request_is_answered(self):
        status, _, answer = self.ask(put("/v1/jobs/t1", "Content-Length: 2", body=b"{}"))
        self.assertEqual((200, 2), (status, answer["size"]))

    def test_unfinished_bodies_make_room_for_an_ordinary_one(self):
        self.start(bodies=BodyBudget(2 * MAX_BODY))
        head = put("/v1/jobs/t1", f"Content-Length: {MAX_BODY}")
        crowd = [self.hold(head + b"x" * (MAX_BODY - 1)) for _ in range(6)]
        self.assert_ordinary_request_is_answered()
        self.assertLessEqual(self.server.bodies.used_bytes, 2 * MAX_BODY)
        with crowd[0].makefile("rb") as stream:
            status, headers, answer = read_reply(stream)
        self.assertEqual((503, "body_memory_exhausted"), (status, answer["code"]))
        self.assertIn("Retry-After", headers)

    def test_answered_requests_hold_no_memory(self):
        self.start(bodies=BodyBudget(MAX_BODY))
        for _ in range(5):
            self.assert_ordinary_request_is_answered()
        self.assertEqual(0, self.server.bodies.used_bytes)

    def test_connections_without_a_request_make_room_for_another_caller(self):
        head = put("/v1/jobs/t1", f"Content-Length: {MAX_BODY}")
        for data in (b"", b"PUT /v1", head + b"x"):
            with self.subTest(data=data[:10]):
                self.start(max_connections=3)
                crowd = [self.hold(data) for _ in range(3)]
                self.assert_ordinary_request_is_answered()
                self.assertIn(crowd[0].recv(1000)[:12], (b"", b"HTTP/1.1 400"))

    def test_what_a_client_sends_ahead_is_bounded(self):
        self.start()
        listener = self.server._listen_socket
        size = listener.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.assertLessEqual(size, 32 << 10)


if __name__ == "__main__":
    unittest.main()
