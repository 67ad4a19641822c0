"""Seeded fuzzing of every decoder of bytes that another program may have written.

Each one may reject what it gets with its own error only. Any other error ended the green thread
that had read the bytes, such as the watch of the members, for good.
"""

import contextlib
import json
import random
import unittest
from unittest import mock

from geraniumspool import submission
from geraniumspool.agent import parse_announcement
from geraniumspool.audit import decode_envelope
from geraniumspool.contracts import MinionIncarnation
from geraniumspool.counters import MemoryCounters
from geraniumspool.decisions import decode_decisions
from geraniumspool.errors import InvalidInput, MalformedMessage, MalformedTicket, UnknownKind
from geraniumspool.job_messages import DispatcherReport
from geraniumspool.messages import Peer, decode, encode
from geraniumspool.platform.configuration import decode_configuration
from geraniumspool.platform.ingress import Ingress
from geraniumspool.platform.reports import MinionReportsApplication
from geraniumspool.queues import QueueConfiguration
from geraniumspool.registrations import (
    DISPATCHER_PREFIX,
    WORKER_PREFIX,
    DispatcherRecord,
    MemberDirectory,
    WorkerRecord,
    encode_record,
)
from geraniumspool.rooms import Resources
from geraniumspool.ticket import decode_unverified
from tests.dispatch_world import DispatchWorld
from tests.test_platform_ingress import CONFIGURATION, JOB, make_body

ROUNDS = 300
SEED = 20
ADDRESS = "tcp://10.0.0.1:7000"
SOUND = "tcp://10.0.0.9:7000"
LIFE = MinionIncarnation("i-1", "fitting", "127.0.0.1:1", Resources(1), ("a", "r1"))
ODD_VALUES = (
    None,
    True,
    -1,
    0,
    1 << 31,
    1 << 63,
    1 << 200,
    1e308,
    "",
    "\x00",
    "\u2028",
    "9" * 5_000,
    "tcp://10.0.0.1:" + "9" * 5_000,
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:99999",
    [],
    {},
    [[]],
    {"": {}},
)
ODD_BYTES = (
    b"",
    b"\xff\xfe",
    b"[" * 50_000,
    b'{"x":' * 50_000,
    b'{"version":9,"x":' + b"[" * 50_000,
    b'{"domain":"north","x":' + b"[" * 50_000,
    b'"\\ud800"',
    b"9" * 5_000,
    b'{"version":' + b"9" * 5_000 + b"}",
    b'{"version":1e999}',
    b"\x91" * 50_000,
    b"\xdf\xff\xff\xff\xff",
)


def mutate(draw, value):
    """Return a JSON value in which some parts are replaced by odd ones."""
    if draw.random() < 0.1:
        return draw.choice(ODD_VALUES)
    if isinstance(value, dict):
        kept = {key: mutate(draw, part) for key, part in value.items() if draw.random() > 0.05}
        return kept | ({"x": draw.choice(ODD_VALUES)} if draw.random() < 0.1 else {})
    if isinstance(value, list):
        return [mutate(draw, part) for part in value if draw.random() > 0.05]
    return value


def mutate_bytes(draw, data):
    """Return bytes with some of them cut off, inserted or replaced."""
    data = bytearray(data)
    for _ in range(draw.randint(1, 4)):
        place = draw.randrange(len(data) + 1)
        if draw.random() < 0.3:
            del data[place:]
        elif draw.random() < 0.5:
            data[place:place] = draw.randbytes(draw.randint(1, 9))
        else:
            data[place : place + 1] = draw.randbytes(1)
    return bytes(data)


def make_inputs(draw, sound):
    """Return odd values of a key or a body.

    :param sound: a valid one
    """
    yield from ODD_BYTES
    for _ in range(ROUNDS):
        yield mutate_bytes(draw, sound)
        try:
            document = json.loads(sound)
        except ValueError:
            continue
        yield json.dumps(mutate(draw, document)).encode()


class ForeignBytesTest(unittest.TestCase):
    """No decoder raises another error than its own."""

    def check(self, sound, handle, *errors):
        """Pass odd inputs to a decoder.

        :param sound: a valid input
        :param errors: the errors that it may raise
        """
        draw = random.Random(SEED)
        handle(sound)
        for data in make_inputs(draw, sound):
            with self.subTest(data=data[:200]):
                try:
                    handle(data)
                except errors:
                    continue

    def test_records_of_members(self):
        for prefix, record in (
            (WORKER_PREFIX, WorkerRecord("north", LIFE)),
            (DISPATCHER_PREFIX, DispatcherRecord("north")),
        ):
            directory = MemberDirectory()
            directory.apply_change(DISPATCHER_PREFIX + SOUND, encode_record(record), 0.0)

            def handle(data, directory=directory, prefix=prefix):
                directory.apply_change(prefix + ADDRESS, data, 0.0)

            self.check(encode_record(record), handle)

    def test_keys_of_members(self):
        directory = MemberDirectory()
        value = encode_record(DispatcherRecord("north"))
        draw = random.Random(SEED)
        for prefix in (WORKER_PREFIX, DISPATCHER_PREFIX):
            for odd in ODD_VALUES:
                directory.apply_change(f"{prefix}{odd}", value, 0.0)
            for _ in range(ROUNDS):
                address = mutate_bytes(draw, ADDRESS.encode()).decode("latin-1")
                directory.apply_change(prefix + address, value, 0.0)

    def test_configurations(self):
        self.check(json.dumps(CONFIGURATION).encode(), decode_configuration)

    def test_jobs_of_callers(self):
        world = DispatchWorld(1)
        self.addCleanup(world.close)
        configuration = QueueConfiguration()
        configuration.apply(decode_configuration(json.dumps(CONFIGURATION).encode()))
        ingress = Ingress(world.dispatcher.dispatcher, configuration, MemoryCounters())
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": f"/lohu930/{JOB}",
            "HTTP_HOST": "nony24.example",
            "HTTP_DEADLINE_MS": "1",
        }
        ingress._wait_for_result = lambda _environ, _job: None
        with mock.patch("geraniumspool.platform.ingress._reply", lambda _result: None):
            self.check(
                json.dumps(make_body()).encode(), lambda data: ingress.dispatch(environ, data)
            )

    def test_reports_of_minions(self):
        application = MinionReportsApplication(mock.Mock(), MemoryCounters())
        report = {
            "service": "fitting",
            "addr": "127.0.0.1:1",
            "state": "draining",
            "room": {"cpu": 1, "mem_mb": 1},
            "labels": ["a", "r1"],
            "seq": 1,
            "born": 1,
            "remaining_ms": 5,
        }
        for path in ("heartbeat", "deregister"):
            environ = {"REQUEST_METHOD": "POST", "PATH_INFO": f"/instances/i-1/{path}"}
            self.check(
                json.dumps(report).encode(),
                lambda data, environ=environ: application.dispatch(environ, data),
            )

    def test_messages_of_processes(self):
        peer = Peer(ADDRESS, 1)
        message = encode(peer, 1, DispatcherReport(1.0, 1.0, False, (1,), 1, ()))
        self.check(message, decode, MalformedMessage, UnknownKind)

    def test_bodies_of_the_own_interface(self):
        job = {
            "service": "fitting",
            "team": "a",
            "tasks": [{"payload": {}, "size": 1, "run_ms": 5}],
        }
        self.check(json.dumps(job).encode(), submission.parse_submission, InvalidInput)
        minion = {
            "instance": "i",
            "service": "fitting",
            "url": "http://a",
            "slots": 1,
            "connections": 1,
        }
        self.check(json.dumps(minion).encode(), parse_announcement, InvalidInput)

    def test_stored_values_of_the_own_interface(self):
        self.check(b"{}", decode_envelope)
        self.check(b"[]", decode_decisions, MalformedMessage)

    def test_tickets(self):
        draw = random.Random(SEED)
        for data in make_inputs(draw, b"A" * 80):
            with self.subTest(data=data[:200]), contextlib.suppress(MalformedTicket):
                decode_unverified(data.decode("latin-1"))


if __name__ == "__main__":
    unittest.main()
