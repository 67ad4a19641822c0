"""Tests of issuing, signing and verifying tickets."""

import base64
import unittest

from geraniumspool.errors import ForgedTicket, MalformedTicket
from geraniumspool.messages import Peer
from geraniumspool.ticket import (
    MAX_KEYS,
    SIGNATURE_BYTES,
    Keyring,
    Ticket,
    _sign,
    decode_unverified,
)

OLD, NEW = "an-old-key-of-tickets", "a-new-key-of-tickets"
HOME = Peer("tcp://127.0.0.1:7000", 2**63)


def encode(data):
    """Return base64url text without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


class TicketTest(unittest.TestCase):
    """A ticket returns the contents it was issued with, or is refused."""

    def test_round_trip(self):
        """An issued ticket can be verified, and read without the key."""
        text = Keyring([NEW]).issue(HOME, "fitting", 123)
        ticket = Keyring([NEW]).verify(text)
        self.assertEqual(ticket[:3], (HOME, "fitting", 123))
        self.assertEqual(decode_unverified(text), ticket)
        self.assertRegex(text, r"\A[A-Za-z0-9_-]+\Z")

    def test_unique(self):
        """Tickets with the same contents still differ."""
        keyring = Keyring([NEW])
        self.assertEqual(len({keyring.issue(HOME, "fitting", 1) for _ in range(500)}), 500)

    def test_rotation(self):
        """The first key signs, every key verifies; a removed key does not."""
        old = Keyring([OLD]).issue(HOME, "fitting", 1)
        both = Keyring([NEW, OLD])
        both.verify(old)
        Keyring([NEW]).verify(both.issue(HOME, "fitting", 1))
        with self.assertRaises(ForgedTicket):
            Keyring([NEW]).verify(old)
        last = Keyring([f"key-{number}" for number in range(MAX_KEYS)] + [OLD])
        with self.assertRaises(ForgedTicket):
            last.verify(old)
        with self.assertRaises(ValueError):
            Keyring([])

    def test_every_bit_counts(self):
        """A ticket with any bit flipped is refused as forged."""
        keyring = Keyring([NEW])
        text = keyring.issue(HOME, "fitting", 1)
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        for index in range(len(data)):
            changed = data[:index] + bytes([data[index] ^ 1]) + data[index + 1 :]
            with self.subTest(index=index), self.assertRaises(ForgedTicket):
                keyring.verify(encode(changed))

    def test_malformed(self):
        """Text that is not a ticket is reported as malformed, not as forged."""
        keyring = Keyring([NEW])
        for text in ("", "A", "A" * 513, "no ticket", "é" * 40, "A" * 20 + "\0", "AAAA" * 5):
            with self.subTest(text=text):
                for read in (keyring.verify, decode_unverified):
                    with self.assertRaises(MalformedTicket):
                        read(text)

    def test_signed_data_that_is_not_a_ticket(self):
        """Validly signed data that is not a ticket is reported as malformed."""
        for body in (b"\xc0", b"\x91\x01", b"\x94\x01\x02\x03\x04", b"\x94\x92\xa1\xff\x01\xa0"):
            text = encode(_sign(NEW.encode(), body) + body)
            with self.subTest(body=body):
                for read in (Keyring([NEW]).verify, decode_unverified):
                    with self.assertRaises(MalformedTicket):
                        read(text)

    def test_longest_names_fit(self):
        """A ticket with the longest address and service name can be verified."""
        ticket = Ticket(Peer("tcp://[" + "f" * 39 + "]:65535", 2**63), "s" * 100, 2**42, 2**63 - 1)
        keyring = Keyring([NEW])
        self.assertEqual(keyring.verify(keyring.sign(ticket)), ticket)
        self.assertGreater(SIGNATURE_BYTES, 15)
