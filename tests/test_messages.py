"""Tests of encoding and decoding messages."""

import typing
import unittest

import msgspec

from geraniumspool import messages
from geraniumspool.errors import MalformedMessage
from geraniumspool.job_specs import JobOutcome
from geraniumspool.messages import (
    ANY_INCARNATION,
    Envelope,
    Inquire,
    LinkStamp,
    Peer,
    decode,
    encode,
)

SENDER = Peer("tcp://127.0.0.1:7000", 2**64 - 1)
SAMPLES = {
    int: 2**63,
    float: 0.25,
    str: "ñandú",
    bytes: b"\x00\xff",
    bool: True,
    JobOutcome: JobOutcome.UNFINISHED,
}


def sample(kind):
    """Return a sample value of a field's type that differs from all defaults."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is tuple and arguments[-1] is Ellipsis:
        return (sample(arguments[0]),) * 2
    if origin is tuple:
        return tuple(sample(argument) for argument in arguments)
    if hasattr(kind, "_fields"):
        hints = typing.get_type_hints(kind)
        return kind(*(sample(hints[name]) for name in kind._fields))
    return SAMPLES[kind]


class MessagesTest(unittest.TestCase):
    """All message types can be encoded and decoded; other data is rejected."""

    def test_round_trip(self):
        """Decoding restores each message type with its sender, receiver, kind and stamp."""
        stamp = LinkStamp(7, 1 << 31, 2)
        for number, kind in enumerate(messages._MESSAGE_TYPES):
            with self.subTest(kind=kind.__name__):
                message = sample(kind)
                delivery = decode(encode(SENDER, 5, message, stamp))
                self.assertEqual(delivery, (SENDER, 5, number, message, stamp, False))
                self.assertIs(type(delivery.message), kind)
                self.assertEqual(messages.kind_number(kind), number)
                self.assertEqual(messages.kind_name(number), kind.__name__)

    def test_message_types_are_registered_once(self):
        """Message types are registered with the codec, each only once."""
        for name in ("Submit", "Answer", "Offer", "Digest", "Handover", "Drain", "Decline"):
            self.assertIn(getattr(messages, name), messages._MESSAGE_TYPES)
        self.assertEqual(len(set(messages._MESSAGE_TYPES)), len(messages._MESSAGE_TYPES))

    def test_truncated(self):
        """A message truncated at any byte, or with a trailing byte, is malformed."""
        for kind in messages._MESSAGE_TYPES:
            data = encode(SENDER, ANY_INCARNATION, sample(kind))
            for bad in [data[:length] for length in range(len(data))] + [data + b"\x00"]:
                with self.subTest(kind=kind.__name__), self.assertRaises(MalformedMessage):
                    decode(bad)

    def test_malformed(self):
        """Messages of unknown kind, with wrong field types, and other data are malformed."""

        def wrap(kind, body):
            return msgspec.msgpack.encode(
                (kind, SENDER, 0, msgspec.Raw(msgspec.msgpack.encode(body)))
            )

        inquire = messages.kind_number(Inquire)
        whole = encode(SENDER, 0, Inquire(1, "abcd"))
        for name, data in (
            ("empty", b""),
            ("text", b"GET / HTTP/1.1\r\n\r\n"),
            ("kind too high", wrap(len(messages._MESSAGE_TYPES), ())),
            ("kind negative", wrap(-1, (1, "t"))),
            ("kind text", wrap("2", (1, "t"))),
            ("wrong type", wrap(inquire, ("1", "t"))),
            ("missing field", wrap(inquire, (1,))),
            ("map", wrap(inquire, {"request": 1, "ticket": "t"})),
            ("nil", wrap(inquire, None)),
            ("body of another kind", wrap(messages.kind_number(messages.Submit), (1, "t"))),
            ("invalid UTF-8", whole.replace(b"abcd", b"\xff\xfe\xfd\xfc")),
            ("deep nesting", b"\x91" * 100_000),
        ):
            with self.subTest(name=name), self.assertRaises(MalformedMessage):
                decode(data)

    def test_envelope_without_stamp(self):
        """A message of a sender that numbers none is decoded without a stamp."""
        body = msgspec.Raw(msgspec.msgpack.encode(Inquire(1, "t")))
        data = msgspec.msgpack.encode((messages.kind_number(Inquire), SENDER, 9, body))
        self.assertEqual(decode(data).stamp, messages.NO_STAMP)

    def test_envelope_is_decoded_without_body(self):
        """Sender and receiver's incarnation can be decoded without the body."""
        envelope = msgspec.msgpack.decode(encode(SENDER, 9, Inquire(1, "t")), type=Envelope)
        self.assertEqual((envelope.sender, envelope.receiver), (SENDER, 9))
