"""Messages between processes of different builds."""

import json
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from geraniumspool import messages
from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.errors import MalformedMessage, UnknownKind
from geraniumspool.link_monitor import CONFIRMATION_LIMIT_MS, UNCONFIRMED_LIMIT_MS
from geraniumspool.memory_link import MemoryMessenger, MemoryNetwork
from geraniumspool.message_growth import trim_elements
from geraniumspool.messages import (
    ANY_INCARNATION,
    Inquire,
    LinkStamp,
    Peer,
    WrongIncarnation,
    decode,
    encode,
)
from geraniumspool.wire_versions import (
    CURRENT_VERSION,
    VERSION_BASE,
    VERSION_STAMPED,
    announced_version,
    make_incarnation,
    new_incarnation,
)
from tests.test_messages import sample

RECORDINGS = Path(__file__).parent / "recorded_messages"
# What the recorded messages were encoded with.
SENDER = Peer("tcp://127.0.0.1:7000", 2**63)
RECEIVER = 5
STAMP = LinkStamp(7, 1 << 31, 2)
# The form of each version, and the stamp that its messages have.
RECORDED = ((VERSION_BASE, "base", messages.NO_STAMP), (VERSION_STAMPED, "stamped", STAMP))


def lengthen(value):
    """Return a decoded message in which each array of a fixed length has one element more."""
    if hasattr(value, "_fields"):
        return [*map(lengthen, value), "added"]
    if isinstance(value, tuple):
        return [lengthen(element) for element in value]
    return value


def sample_base(kind):
    """Return the sample of a kind; fields added since the base version have their defaults."""
    return msgspec.convert(trim_elements(sample(kind), messages._BASE_LENGTHS), kind)


class RecordedMessagesTest(unittest.TestCase):
    """Messages recorded from earlier builds; each kind that they know."""

    def test_messages_of_earlier_builds_are_read(self):
        for version, name, stamp in RECORDED:
            for kind, data in json.loads((RECORDINGS / f"{name}.json").read_text()).items():
                with self.subTest(version=version, kind=kind):
                    delivery = decode(bytes.fromhex(data))
                    self.assertEqual(sample_base(getattr(messages, kind)), delivery.message)
                    self.assertEqual(
                        (SENDER, RECEIVER, stamp),
                        (delivery.sender, delivery.receiver, delivery.stamp),
                    )

    def test_earlier_builds_are_sent_what_they_write_themselves(self):
        """They reject a message that is longer than the one that they write."""
        for version, name, _stamp in RECORDED:
            for kind, data in json.loads((RECORDINGS / f"{name}.json").read_text()).items():
                with self.subTest(version=version, kind=kind):
                    message = sample(getattr(messages, kind))
                    encoded = encode(SENDER, RECEIVER, message, STAMP, version)
                    self.assertEqual(data, encoded.hex())


class GrowthTest(unittest.TestCase):
    """Messages of a later build, which have more elements or are of further kinds."""

    def test_unknown_elements_are_skipped(self):
        for kind in messages._MESSAGE_TYPES:
            with self.subTest(kind=kind.__name__):
                message = sample(kind)
                body = msgspec.Raw(msgspec.msgpack.encode(lengthen(message)))
                number = messages.kind_number(kind)
                data = msgspec.msgpack.encode((number, SENDER, RECEIVER, body, *STAMP, "added"))
                self.assertEqual((message, STAMP, True), decode(data)[3:])

    def test_an_envelope_with_unknown_elements_is_read(self):
        body = msgspec.Raw(msgspec.msgpack.encode(Inquire(1, "t")))
        number = messages.kind_number(Inquire)
        data = msgspec.msgpack.encode((number, SENDER, RECEIVER, body, *STAMP, "added"))
        self.assertEqual((Inquire(1, "t"), STAMP, False), decode(data)[3:])

    def test_wrong_types_before_unknown_elements_are_malformed(self):
        body = msgspec.Raw(msgspec.msgpack.encode(("1", "t", False, "added")))
        number = messages.kind_number(Inquire)
        with self.assertRaises(MalformedMessage):
            decode(msgspec.msgpack.encode((number, SENDER, RECEIVER, body)))

    def test_unknown_kinds_are_told_apart_from_malformed_messages(self):
        body = msgspec.Raw(msgspec.msgpack.encode(()))
        with self.assertRaises(UnknownKind):
            decode(msgspec.msgpack.encode((len(messages._MESSAGE_TYPES), SENDER, 0, body)))

    def test_fields_added_to_a_type_are_kept_from_earlier_builds(self):
        """A type that has grown is cut wherever it is a part of a message."""
        with mock.patch.dict(messages._BASE_LENGTHS, {messages.Load: 2}):
            answer = sample(messages.Answer)
            data = encode(SENDER, RECEIVER, answer, STAMP, VERSION_STAMPED)
            body = msgspec.msgpack.decode(msgspec.msgpack.decode(data, type=messages.Envelope).body)
            self.assertEqual(list(answer.load[:2]), body[messages.Answer._fields.index("load")])
            whole = encode(SENDER, RECEIVER, answer, STAMP, CURRENT_VERSION)
            self.assertEqual(answer, decode(whole).message)

    def test_every_field_added_since_the_base_version_has_a_default(self):
        """Without one, a message of an earlier build could not be read."""
        for kind, length in messages._BASE_LENGTHS.items():
            with self.subTest(kind=kind.__name__):
                self.assertLessEqual(set(kind._fields[length:]), set(kind._field_defaults))


class IncarnationTest(unittest.TestCase):
    """Incarnations that announce a version."""

    def test_versions_are_announced(self):
        self.assertEqual(CURRENT_VERSION, announced_version(new_incarnation()))
        self.assertEqual(127, announced_version(make_incarnation(1, 127)))
        self.assertLess(new_incarnation(), 1 << 64)

    def test_incarnations_of_earlier_builds_announce_none(self):
        for incarnation in (ANY_INCARNATION, 1, 1 << 62, 1 << 63):
            with self.subTest(incarnation=incarnation):
                self.assertEqual(VERSION_BASE, announced_version(incarnation))


class Process:
    """A process in memory, of the current build or of an earlier one."""

    def __init__(self, network, address, version, number=1):
        self.version = version
        self.address = address
        self.counters = MemoryCounters()
        self.received = []
        incarnation = make_incarnation(number) if version == CURRENT_VERSION else number
        peer = Peer(address, incarnation)
        self.messenger = MemoryMessenger(network, peer, self.counters, VERSION_BASE)
        if version != CURRENT_VERSION:
            self.messenger._monitor.version_of = lambda _peer: version
            self.messenger.handle_data = self.handle_data
        self.messenger.start(self.received.append)

    def handle_data(self, data):
        """Handle a message as an earlier build does, which rejects a longer one."""
        length = len(msgspec.msgpack.decode(data))
        if length > (4 if self.version == VERSION_BASE else 7):
            self.counters.add("messages_rejected", reason="malformed")
            return
        MemoryMessenger.handle_data(self.messenger, data)

    def rejections(self):
        """Return how many messages were rejected."""
        return self.counters.get("messages_rejected")


class MixedBuildsTest(unittest.TestCase):
    """Two processes, one of an earlier build, that know each other in different ways."""

    def setUp(self):
        self.clock = ManualClock()
        self.clock.advance(1_000)
        self.network = MemoryNetwork(self.clock, delay_ms=1.0)
        self.new = Process(self.network, "tcp://new", CURRENT_VERSION)

    def exchange(self, other, pause_ms, to_other=None, rounds=20):
        """Let the new process and another one send each other messages in turn."""
        to_other = to_other or other.messenger.local_peer
        for number in range(rounds):
            self.new.messenger.send(to_other, Inquire(number, "t"))
            self.clock.advance(pause_ms)
            other.messenger.send(self.new.messenger.local_peer, Inquire(number, "t"))
            self.clock.advance(pause_ms)

    def test_every_message_is_read(self):
        for version in (VERSION_BASE, VERSION_STAMPED, CURRENT_VERSION):
            for is_addressed in (True, False):
                with self.subTest(version=version, is_addressed=is_addressed):
                    other = Process(self.network, f"tcp://{version}{is_addressed}", version, 2)
                    receiver = other.messenger.local_peer
                    if not is_addressed:
                        receiver = Peer(other.address, ANY_INCARNATION)
                    self.new.received.clear()
                    self.exchange(other, 10, receiver)
                    self.assertEqual((20, 20), (len(other.received), len(self.new.received)))
                    self.assertEqual(0, other.rejections() + self.new.rejections())

    def test_no_confirmation_is_expected_of_a_build_that_gives_none(self):
        """Otherwise its connection would be replaced every CONFIRMATION_LIMIT_MS."""
        other = Process(self.network, "tcp://old", VERSION_BASE, 2)
        self.exchange(other, CONFIRMATION_LIMIT_MS + 50)
        self.assertEqual(0, self.new.messenger.reopened)
        self.assertFalse(self.new.messenger.is_unconfirmed(other.messenger.local_peer, 0.0))

    def test_confirmations_are_expected_of_builds_that_give_them(self):
        for version in (VERSION_STAMPED, CURRENT_VERSION):
            with self.subTest(version=version):
                other = Process(self.network, f"tcp://{version}", version, 2)
                self.exchange(other, 10)
                self.network.silence_links()
                sent_ms = self.clock.now()
                self.new.messenger.send(other.messenger.local_peer, Inquire(1, "t"))
                self.assertTrue(
                    self.new.messenger.is_unconfirmed(other.messenger.local_peer, sent_ms)
                )

    def test_a_successor_of_an_earlier_build_is_found_though_it_only_answers(self):
        """After a downgrade, messages to the former process are unreadable to its successor."""
        former = Process(self.network, "tcp://one", CURRENT_VERSION, 2)
        self.exchange(former, 10)
        successor = Process(self.network, "tcp://one", VERSION_BASE, 3)
        end_ms = self.clock.now() + UNCONFIRMED_LIMIT_MS + 500
        while self.clock.now() < end_ms and not self.new.counters.get(
            "messages_received", kind="WrongIncarnation"
        ):
            self.new.messenger.send(former.messenger.local_peer, Inquire(1, "t"))
            self.clock.advance(100)
        self.assertIsInstance(self.new.received[-1].message, WrongIncarnation)
        before = len(successor.received)
        self.exchange(successor, 10)
        self.assertEqual(before + 20, len(successor.received))

    def test_a_successor_of_the_current_build_is_heard_at_once(self):
        former = Process(self.network, "tcp://one", VERSION_BASE, 2)
        self.exchange(former, 10)
        successor = Process(self.network, "tcp://one", CURRENT_VERSION, 3)
        self.exchange(successor, 10)
        self.assertEqual((20, 0), (len(successor.received), successor.rejections()))
        self.assertEqual(1, self.new.counters.get("peers_heard", version=str(CURRENT_VERSION)))

    def test_kinds_that_an_earlier_build_does_not_know_are_not_sent_to_it(self):
        other = Process(self.network, "tcp://old", VERSION_BASE, 2)
        with mock.patch.object(messages, "_BASE_KINDS", 0):
            self.new.messenger.send(other.messenger.local_peer, Inquire(1, "t"))
        self.clock.advance(10)
        self.assertEqual([], self.network.sent)
        self.assertEqual(1, self.new.counters.get("messages_withheld", kind="Inquire"))

    def test_one_line_is_logged_for_each_kind_that_has_grown(self):
        data = msgspec.msgpack.encode(
            (len(messages._MESSAGE_TYPES), SENDER, ANY_INCARNATION, msgspec.Raw(b"\x90"))
        )
        with self.assertLogs("geraniumspool.inbound", "INFO") as logs:
            for _ in range(3):
                self.new.messenger.handle_data(data)
        self.assertEqual(1, len(logs.records))
        self.assertEqual(3, self.new.counters.get("messages_rejected", reason="unknown_kind"))


if __name__ == "__main__":
    unittest.main()
