"""Tests of the HTTP server and its request dispatch, over raw sockets."""

import logging
import socket
import unittest
from collections import Counter

import eventlet
import msgspec
from eventlet.event import Event

from geraniumspool.clock import ManualClock, SystemClock
from geraniumspool.connection import MAX_CHUNK_LINES
from geraniumspool.errors import Finding, InvalidInput, LinkDown
from geraniumspool.reply import reply_json, retry_after_s
from geraniumspool.routes import Route
from geraniumspool.web import WebApplication
from geraniumspool.webserver import WebServer

MAX_BODY = 1000
MAX_HEAD = 10_000
WAIT_S = 10


class FakeCounters:
    """Counters in a dictionary, keyed by name and label values."""

    def __init__(self):
        self.counts = Counter()

    def add(self, name, amount=1, **labels):
        self.counts[(name, *labels.values())] += amount


def echo(request):
    value = {"parameters": request.parameters, "query": dict(request.query)}
    return reply_json(200, value | {"size": len(request.body), "kind": request.header("x-kind")})


def fail_busy(_request):
    raise LinkDown("no home", retry_after_ms=1200.5)


def fail_invalid(_request):
    raise InvalidInput([Finding("body", 3, "tasks", "is empty"), Finding("body", 4, "x", "y")])


def fail_unexpectedly(_request):
    raise KeyError("secret")


def make_server(clock, *routes, **options):
    counters = FakeCounters()
    logger = logging.getLogger("tests.web")
    application = WebApplication(routes, MAX_BODY, counters, logger)
    server = WebServer(application, "127.0.0.1:0", clock, max_header_bytes=MAX_HEAD, **options)
    server.start()
    return server, counters


def connect(server):
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=WAIT_S)


def read_reply(stream):
    """Return status, headers and decoded body of a reply, or None at the end of the stream."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while (header := stream.readline().strip()) != b"":
        name, _, value = header.decode().partition(": ")
        headers[name] = value
    body = stream.read(int(headers.get("Content-Length") or headers.get("Content-length", 0)))
    if "json" not in headers.get("Content-Type", ""):
        return int(line.split()[1]), headers, body
    return int(line.split()[1]), headers, msgspec.json.decode(body) if body else None


def ask(server, data):
    with connect(server) as connection, connection.makefile("rb") as stream:
        connection.sendall(data)
        return read_reply(stream)


def put(path="/v1/jobs/t1", *headers, body=b""):
    return (
        f"PUT {path} HTTP/1.1\r\n{''.join(h + chr(13) + chr(10) for h in headers)}\r\n".encode()
        + body
    )


def put_head(size):
    """Return a request whose head has exactly ``size`` bytes."""
    short = len(put("/v1/jobs/t1", "X-Kind: "))
    return put("/v1/jobs/t1", "X-Kind: " + "x" * (size - short))


CHUNKED = "Transfer-Encoding: chunked"


class RequestTest(unittest.TestCase):
    """Requests on one connection, valid and invalid.

    A case is name, request data, expected status (None: closed without a reply), expected error
    code, and whether the connection can be reused. After each case another caller's request
    must succeed.
    """

    CASES = (
        ("good", put("/v1/jobs/t1", "Content-Length: 3", body=b"abc"), 200, None, True),
        ("no body", put(), 200, None, True),
        ("chunked", put("/v1/jobs/t1", CHUNKED, body=b"3\r\nabc\r\n0\r\n\r\n"), 200, None, True),
        ("unknown path", put("/v2/jobs/t1"), 404, "not_found", True),
        ("empty parameter", put("/v1/jobs/"), 404, "not_found", True),
        ("path too short", put("/v1/jobs"), 404, "not_found", True),
        ("wrong method", b"GET /v1/jobs/t1 HTTP/1.1\r\n\r\n", 405, "method_not_allowed", True),
        ("too large", put("/v1/jobs/t1", "Content-Length: 1001"), 413, "payload_too_large", False),
        (
            "too large and sent",
            put("/v1/jobs/t1", "Content-Length: 900000", body=b"x" * 900000),
            413,
            "payload_too_large",
            False,
        ),
        (
            "absurd length",
            put("/v1/jobs/t1", f"Content-Length: {'9' * 30}"),
            413,
            "payload_too_large",
            False,
        ),
        (
            "too large in chunks",
            put("/v1/jobs/t1", CHUNKED, body=b"1f4\r\n" + b"x" * 500 + b"\r\n1f5\r\n" + b"x" * 501),
            413,
            "payload_too_large",
            False,
        ),
        (
            "short body",
            put("/v1/jobs/t1", "Content-Length: 9", body=b"abc"),
            400,
            "body_incomplete",
            False,
        ),
        (
            "broken chunk",
            put("/v1/jobs/t1", CHUNKED, body=b"zz\r\nabc\r\n0\r\n\r\n"),
            400,
            "body_incomplete",
            False,
        ),
        (
            "negative chunk",
            put("/v1/jobs/t1", CHUNKED, body=b"-5\r\nabc\r\n0\r\n\r\n"),
            400,
            "body_incomplete",
            False,
        ),
        (
            "endless chunk line",
            put("/v1/jobs/t1", CHUNKED, body=b"1;" + b"x" * 5000),
            400,
            "body_incomplete",
            False,
        ),
        (
            "cut chunk",
            put("/v1/jobs/t1", CHUNKED, body=b"5\r\nabc"),
            400,
            "body_incomplete",
            False,
        ),
        (
            "signed length",
            put("/v1/jobs/t1", "Content-Length: +3", body=b"abc"),
            400,
            "body_incomplete",
            False,
        ),
        (
            "two lengths",
            put("/v1/jobs/t1", "Content-Length: 3", "Content-Length: 4", body=b"abc"),
            400,
            "body_incomplete",
            False,
        ),
        (
            "other encoding",
            put("/v1/jobs/t1", "Transfer-Encoding: gzip, chunked"),
            501,
            "transfer_encoding_unsupported",
            False,
        ),
        ("too many fields", put("/v1/jobs/t1?" + "a&" * 100), 400, "query_invalid", True),
        ("endless length", put("/v1/jobs/t1", f"Content-Length: {'9' * 5000}"), 400, None, False),
        ("negative length", put("/v1/jobs/t1", "Content-Length: -3"), 400, None, False),
        ("length and chunks", put("/v1/jobs/t1", "Content-Length: 3", CHUNKED), 400, None, False),
        ("longest head", put_head(MAX_HEAD), 200, None, True),
        ("longest head and a byte", put_head(MAX_HEAD + 1), 431, "request_malformed", False),
        ("endless header", put_head(100_000), 431, "request_malformed", False),
        (
            "huge headers",
            put("/v1/jobs/t1", *[f"X-{i}: " + "x" * 8000 for i in range(20)]),
            431,
            "request_malformed",
            False,
        ),
        (
            "many headers",
            put("/v1/jobs/t1", *[f"X-{i}: x" for i in range(200)]),
            431,
            "request_malformed",
            False,
        ),
        ("huge path", put("/" + "x" * 100_000), 414, None, False),
        ("no HTTP", b"\x16\x03\x01\x02\r\n\r\n", 400, "request_malformed", False),
        ("cut head", b"PUT /v1/jobs/t1 HTTP/1.1\r\nX-Kind: a\r\n", None, None, False),
        ("cut line", b"PUT /v1/jobs/t1 HT", None, None, False),
        ("nothing", b"", None, None, False),
    )

    def test_each_case(self):
        server, _ = make_server(SystemClock(), Route("PUT", "/v1/jobs/{ticket}", echo))
        self.addCleanup(server.stop)
        good = put("/v1/jobs/t2", "Content-Length: 2", body=b"ok")
        for name, data, status, code, reusable in self.CASES:
            with self.subTest(name):
                with connect(server) as connection, connection.makefile("rb") as stream:
                    connection.sendall(data + (good if reusable else b""))
                    connection.shutdown(socket.SHUT_WR)
                    reply = read_reply(stream)
                    self.assertEqual(reply and reply[0], status)
                    if code is not None:
                        self.assertEqual(reply[2]["code"], code)
                        self.assertEqual(reply[2]["type"], "urn:geraniumspool:" + code)
                        self.assertEqual(reply[1]["Content-Type"], "application/problem+json")
                    following = read_reply(stream)
                    self.assertEqual(following and following[0], 200 if reusable else None)
                self.assertEqual(ask(server, good)[0], 200)

    def test_request_parts_and_count(self):
        route = Route("PUT", "/v1/jobs/{ticket}/x/{other}", echo)
        server, counters = make_server(SystemClock(), route)
        self.addCleanup(server.stop)
        path = "/v1/jobs/a%2Fb/x/c?k=1&k=2&e="
        reply = ask(server, put(path, "X-Kind: odd", "Content-Length: 2", body=b"ab"))
        expected = {"parameters": ["a/b", "c"], "query": {"k": "2", "e": ""}}
        self.assertEqual(reply[2], expected | {"size": 2, "kind": "odd"})
        self.assertEqual(counters.counts, {("http_requests", "200"): 1})

    def test_failures_as_problems(self):
        routes = [
            Route("GET", "/busy", fail_busy),
            Route("GET", "/invalid", fail_invalid),
            Route("GET", "/broken", fail_unexpectedly),
            Route("POST", "/busy", echo),
        ]
        server, _ = make_server(SystemClock(), *routes)
        self.addCleanup(server.stop)
        status, headers, problem = ask(server, b"GET /busy HTTP/1.1\r\n\r\n")
        self.assertEqual((status, headers["Retry-After"]), (503, "2"))
        self.assertEqual(
            problem,
            {
                "type": "urn:geraniumspool:link_down",
                "title": "Link down",
                "status": 503,
                "detail": "no home",
                "code": "link_down",
                "retry_after_ms": 1200.5,
            },
        )
        status, _, problem = ask(server, b"GET /invalid HTTP/1.1\r\n\r\n")
        self.assertEqual(status, 400)
        first = {"place": "body", "line": 3, "path": "tasks", "text": "is empty"}
        self.assertEqual((problem["findings"][0], len(problem["findings"])), (first, 2))
        with self.assertLogs("tests.web", "ERROR") as logs:
            status, _, problem = ask(server, b"GET /broken HTTP/1.1\r\n\r\n")
        self.assertEqual((status, problem["code"]), (500, "internal"))
        self.assertNotIn("secret", problem["detail"])
        self.assertIn("KeyError", logs.output[0])
        status, headers, _ = ask(server, b"DELETE /busy HTTP/1.1\r\n\r\n")
        self.assertEqual((status, headers["Allow"]), (405, "GET, POST"))
        with connect(server) as connection, connection.makefile("rb") as stream:
            connection.sendall(b"HEAD /busy HTTP/1.1\r\n\r\nGET /busy HTTP/1.1\r\n\r\n")
            self.assertEqual(read_reply(stream)[0], 405)
            self.assertEqual(read_reply(stream)[0], 503)

    def test_retry_after_rounds_up(self):
        for retry_after_ms, expected in ((0, 0), (-5, 0), (0.1, 1), (1000, 1), (1001, 2)):
            self.assertEqual(retry_after_s(retry_after_ms), expected)


class SlowCallerTest(unittest.TestCase):
    """The time limit of each phase closes the connection of a slow caller.

    Further bytes within a phase do not extend its limit, and other callers are unaffected.
    """

    CASES = (
        ("silent", b"", 700, None),
        ("in the line", b"PUT /v1/jo", 200, None),
        ("in the headers", b"PUT /v1/jobs/t1 HTTP/1.1\r\nX-A: ", 200, None),
        ("in the body", put("/v1/jobs/t1", "Content-Length: 9", body=b"a"), 400, 400),
    )

    def test_slow_caller_beside_normal_one(self):
        for name, data, limit_ms, status in self.CASES:
            with self.subTest(name):
                clock = ManualClock()
                limits = {"header_timeout_ms": 200, "body_timeout_ms": 400, "idle_timeout_ms": 700}
                route = Route("PUT", "/v1/jobs/{ticket}", echo)
                server, _ = make_server(clock, route, **limits)
                self.addCleanup(server.stop)
                with connect(server) as slow, slow.makefile("rb") as stream:
                    slow.sendall(data)
                    self.assertEqual(ask(server, put())[0], 200)
                    clock.advance(limit_ms - 1)
                    if data:
                        slow.sendall(b"x")
                    self.assertEqual(ask(server, put())[0], 200)
                    clock.advance(1000)
                    reply = read_reply(stream)
                    self.assertEqual(reply and reply[0], status)
                    self.assertEqual(ask(server, put())[0], 200)


class ChunkLimitTest(unittest.TestCase):
    """Bodies of more chunks than a client within the limits sends."""

    def test_a_body_of_too_many_chunks_is_rejected(self):
        server, _ = make_server(SystemClock(), Route("PUT", "/v1/jobs/{ticket}", echo))
        self.addCleanup(server.stop)
        head = put("/v1/jobs/t1", CHUNKED)
        whole = put("/v1/jobs/t1", CHUNKED, body=b"1\r\nx\r\n" * 100 + b"0\r\n\r\n")
        self.assertEqual(100, ask(server, whole)[2]["size"])
        for first, line in ((b"", b"-1\r\n"), (b"0\r\n", b"trailer: x\r\n")):
            with self.subTest(line=line):
                status, _, answer = ask(server, head + first + line * (MAX_CHUNK_LINES + 1))
                self.assertEqual((400, "body_incomplete"), (status, answer["code"]))


class StopTest(unittest.TestCase):
    """Stopping does not wait, and works in any state of the server."""

    def test_stop_closes_open_connection(self):
        server, _ = make_server(ManualClock(), Route("PUT", "/fast", echo))
        with connect(server) as idle, idle.makefile("rb") as stream:
            idle.sendall(put("/fast"))
            self.assertEqual(read_reply(stream)[0], 200)
            server.stop()
            self.assertIsNone(read_reply(stream))
        server.stop()
        self.assertTrue(server.drain(0))

    def test_stop_before_start(self):
        server = WebServer(echo, "127.0.0.1:0", ManualClock())
        server.stop()
        self.assertTrue(server.drain(0))

    def test_stop_right_after_start(self):
        server, _ = make_server(ManualClock())
        server.stop()
        with self.assertRaises(ConnectionRefusedError):
            connect(server)


class DrainTest(unittest.TestCase):
    """Draining refuses new connections and completes the requests in flight."""

    def setUp(self):
        self.entered = Event()
        self.may_finish = Event()
        route = Route("PUT", "/slow", self.handle_slowly)
        self.server, _ = make_server(SystemClock(), route, Route("PUT", "/fast", echo))
        self.addCleanup(self.server.stop)

    def handle_slowly(self, _request):
        if not self.entered.ready():
            self.entered.send()
        self.may_finish.wait()
        return reply_json(200, "finished")

    def test_request_in_flight_finishes(self):
        with (
            connect(self.server) as busy,
            busy.makefile("rb") as busy_stream,
            connect(self.server) as idle,
            idle.makefile("rb") as idle_stream,
        ):
            idle.sendall(put("/fast"))
            self.assertEqual(read_reply(idle_stream)[0], 200)
            busy.sendall(put("/slow"))
            self.entered.wait()
            drain = eventlet.spawn(self.server.drain, 10_000)
            self.assertIsNone(read_reply(idle_stream))
            with self.assertRaises(ConnectionRefusedError):
                connect(self.server)
            self.assertFalse(drain.dead)
            self.may_finish.send()
            status, headers, body = read_reply(busy_stream)
            self.assertEqual((status, headers["Connection"], body), (200, "close", "finished"))
            self.assertTrue(drain.wait())

    def test_requests_already_sent_are_served(self):
        """Connections not yet accepted and requests not yet read are served before closing."""
        with connect(self.server) as kept_open, kept_open.makefile("rb") as kept_open_stream:
            kept_open.sendall(put("/fast"))
            self.assertEqual(read_reply(kept_open_stream)[0], 200)
            with connect(self.server) as fresh, fresh.makefile("rb") as fresh_stream:
                kept_open.sendall(put("/fast"))
                fresh.sendall(put("/fast"))
                self.assertTrue(self.server.drain(10_000))
                self.assertEqual(read_reply(kept_open_stream)[0], 200)
                self.assertEqual(read_reply(fresh_stream)[0], 200)

    def test_idle_connection_is_served_during_grace_period(self):
        with connect(self.server) as kept_open, kept_open.makefile("rb") as stream:
            kept_open.sendall(put("/fast"))
            self.assertEqual(read_reply(stream)[0], 200)
            drain = eventlet.spawn(self.server.drain, 10_000)
            while not self.server.draining:
                eventlet.sleep(0)
            kept_open.sendall(put("/fast"))
            status, headers, _ = read_reply(stream)
            self.assertEqual((status, headers["Connection"]), (200, "close"))
            self.assertTrue(drain.wait())

    def test_drain_returns_false_after_its_limit(self):
        with connect(self.server) as busy, busy.makefile("rb") as stream:
            busy.sendall(put("/slow"))
            self.entered.wait()
            self.assertFalse(self.server.drain(10))
            self.server.stop()
            self.assertIsNone(read_reply(stream))


if __name__ == "__main__":
    unittest.main()
