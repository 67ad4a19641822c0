"""Tickets: signed job ids that name the one process that may run the job."""

import base64
import binascii
import hashlib
import hmac
import secrets
from typing import NamedTuple

import msgspec

from geraniumspool.errors import ForgedTicket, MalformedTicket
from geraniumspool.messages import Peer

SIGNATURE_BYTES = 16
MAX_TICKET_CHARS = 512
MAX_KEYS = 8
RANDOM_BITS = 63


class Ticket(NamedTuple):
    """What a ticket says.

    :param home: the process that may run the job
    :param service: the service the job is for
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
    """The keys tickets are signed with: the first signs, all verify."""

    def __init__(self, keys: list[str]):
        """Take the keys.

        :param keys: secrets from the settings, newest first
        :raises ValueError: if there is none
        """
        if not keys:
            raise ValueError("a keyring needs at least one key")
        self._keys = [key.encode() for key in keys[:MAX_KEYS]]

    def issue(self, home: Peer, service: str, issued_ms: int) -> str:
        """Return a new ticket.

        :param home: the process that may run the job
        :param service: the service the job is for
        :param issued_ms: milliseconds since the epoch
        """
        return self.sign(Ticket(home, service, issued_ms, secrets.randbits(RANDOM_BITS)))

    def sign(self, ticket: Ticket) -> str:
        """Return the text form of a ticket."""
        body = _ENCODER.encode(ticket)
        signature = _sign(self._keys[0], body)
        return base64.urlsafe_b64encode(signature + body).rstrip(b"=").decode()

    def verify(self, text: str) -> Ticket:
        """Return what a ticket says.

        :param text: the ticket as its caller sent it
        :raises MalformedTicket: if it is no ticket at all
        :raises ForgedTicket: if no key signed it
        """
        data = _unwrap(text)
        signature, body = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        if not any(hmac.compare_digest(signature, _sign(key, body)) for key in self._keys):
            raise ForgedTicket("no configured key signed this ticket")
        try:
            return _DECODER.decode(body)
        except msgspec.MsgspecError as error:
            raise MalformedTicket(str(error)) from error


def _sign(key: bytes, body: bytes) -> bytes:
    return hmac.new(key, body, hashlib.sha256).digest()[:SIGNATURE_BYTES]


def _unwrap(text: str) -> bytes:
    if len(text) > MAX_TICKET_CHARS:
        raise MalformedTicket("a ticket is not that long")
    try:
        data = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as error:
        raise MalformedTicket("a ticket is base64url text") from error
    if len(data) <= SIGNATURE_BYTES:
        raise MalformedTicket("a ticket is longer than its signature")
    return data


def read_ticket(text: str) -> Ticket:
    """Return what a ticket says without checking who signed it.

    For processes behind the entries, which have checked it.

    :raises MalformedTicket: if it is no ticket at all
    """
    try:
        return _DECODER.decode(_unwrap(text)[SIGNATURE_BYTES:])
    except msgspec.MsgspecError as error:
        raise MalformedTicket(str(error)) from error
