"""Tickets: signed job ids that name the home, the only process that may run the job."""

import base64
import binascii
import hashlib
import hmac
import secrets
from typing import NamedTuple

import msgspec

from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import ForgedTicket, MalformedTicket
from geraniumspool.messages import Peer

SIGNATURE_BYTES = 16
MAX_TICKET_CHARS = 512
MAX_KEYS = 8
RANDOM_BITS = 63


class Ticket(NamedTuple):
    """Contents of a ticket.

    :param home: the only process that may run the job
    :param service: name of the service that the job uses
    :param issued_ms: issue time, milliseconds since the epoch
    :param job: random number that identifies the job
    """

    home: Peer
    service: str
    issued_ms: int
    job: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Ticket)


class Keyring:
    """HMAC keys for tickets: the first key signs, every key verifies, so keys can be rotated."""

    def __init__(self, keys: list[str]):
        """Store the keys.

        :param keys: secrets from the settings, newest first; only the first ``MAX_KEYS`` are used
        :raises ValueError: if the list is empty
        """
        if not keys:
            raise ValueError("a keyring needs at least one key")
        self._keys = [key.encode() for key in keys[:MAX_KEYS]]

    def issue(self, home: Peer, service: str, issued_ms: int) -> str:
        """Return a new signed ticket with a random job number.

        :param home: the only process that may run the job
        :param service: name of the service that the job uses
        :param issued_ms: issue time, milliseconds since the epoch
        """
        return self.sign(Ticket(home, service, issued_ms, secrets.randbits(RANDOM_BITS)))

    def sign(self, ticket: Ticket) -> str:
        """Return a ticket as base64url text, signed with the first key."""
        body = _ENCODER.encode(ticket)
        signature = _sign(self._keys[0], body)
        return base64.urlsafe_b64encode(signature + body).rstrip(b"=").decode()

    def verify(self, text: str) -> Ticket:
        """Verify a ticket's signature and return its contents.

        :param text: the ticket as received from a caller
        :raises MalformedTicket: if the text cannot be decoded as a ticket
        :raises ForgedTicket: if the signature matches none of the keys
        """
        data = _decode_text(text)
        signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        if not any(hmac.compare_digest(signature, _sign(key, body)) for key in self._keys):
            raise ForgedTicket("no configured key signed this ticket")
        try:
            return _DECODER.decode(body)
        except DECODE_ERRORS as error:
            raise MalformedTicket(str(error)) from error


def _sign(key: bytes, body: bytes) -> bytes:
    return hmac.new(key, body, hashlib.sha256).digest()[:SIGNATURE_BYTES]


def _decode_text(text: str) -> bytes:
    if len(text) > MAX_TICKET_CHARS:
        raise MalformedTicket("a ticket is not that long")
    try:
        data = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as error:
        raise MalformedTicket("a ticket is base64url text") from error
    if len(data) <= SIGNATURE_BYTES:
        raise MalformedTicket("a ticket is longer than its signature")
    return data


def decode_unverified(text: str) -> Ticket:
    """Return the contents of a ticket without verifying its signature.

    For processes that receive tickets from entries, which have verified them.

    :param text: the ticket
    :raises MalformedTicket: if the text cannot be decoded as a ticket
    """
    try:
        return _DECODER.decode(_decode_text(text)[SIGNATURE_BYTES:])
    except DECODE_ERRORS as error:
        raise MalformedTicket(str(error)) from error
