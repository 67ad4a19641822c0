"""Tests of the messages' codec."""

import typing
import unittest

import msgspec

from geraniumspool import messages
from geraniumspool.errors import MalformedMessage
from geraniumspool.job_specs import JobOutcome
from geraniumspool.messages import ANY_INCARNATION, Envelope, Inquire, Peer, decode, encode

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
    """Return a value of a field's type that differs from every default."""
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
    """Every message survives its codec; nothing else does."""

    def test_round_trip(self):
        """Each type comes back equal, with sender, receiver, kind and name."""
        for number, kind in enumerate(messages._MESSAGE_TYPES):
            with self.subTest(kind=kind.__name__):
                message = sample(kind)
                delivery = decode(encode(SENDER, 5, message))
                self.assertEqual(delivery, (SENDER, 5, number, message))
                self.assertIs(type(delivery.message), kind)
                self.assertEqual(messages.kind_of(kind), number)
                self.assertEqual(messages.name_kind(number), kind.__name__)

    def test_every_message_type_is_known(self):
        """A type that names itself a message is in the codec's list."""
        for name in ("Submit", "Answer", "Offer", "Digest", "Handover", "Drain", "Decline"):
            self.assertIn(getattr(messages, name), messages._MESSAGE_TYPES)
        self.assertEqual(len(set(messages._MESSAGE_TYPES)), len(messages._KINDS))

    def test_cut(self):
        """A message cut anywhere, or with more behind it, is malformed."""
        for kind in messages._MESSAGE_TYPES:
            data = encode(SENDER, ANY_INCARNATION, sample(kind))
            for bad in [data[:length] for length in range(len(data))] + [data + b"\x00"]:
                with self.subTest(kind=kind.__name__), self.assertRaises(MalformedMessage):
                    decode(bad)

    def test_malformed(self):
        """Unknown kinds, wrong types and other data are malformed."""

        def wrap(kind, body):
            return msgspec.msgpack.encode(
                (kind, SENDER, 0, msgspec.Raw(msgspec.msgpack.encode(body)))
            )

        inquire = messages.kind_of(Inquire)
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
            ("another's body", wrap(messages.kind_of(messages.Submit), (1, "t"))),
            ("no UTF-8", whole.replace(b"abcd", b"\xff\xfe\xfd\xfc")),
            ("deep", b"\x91" * 100_000),
        ):
            with self.subTest(name=name), self.assertRaises(MalformedMessage):
                decode(data)

    def test_envelope_names_the_incarnation(self):
        """The receiver's incarnation can be read before the body."""
        envelope = msgspec.msgpack.decode(encode(SENDER, 9, Inquire(1, "t")), type=Envelope)
        self.assertEqual((envelope.sender, envelope.receiver), (SENDER, 9))
