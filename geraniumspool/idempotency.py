"""Idempotency keys of callers: UUIDs of version 7 (RFC 9562), which contain a timestamp."""

import secrets
import uuid
from typing import NamedTuple

from geraniumspool.errors import Finding, InvalidInput

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
KEY_VERSION = 7
RANDOM_BITS = 74

_TIME_SHIFT = 80
_VERSION_SHIFT = 76
_HIGH_RANDOM_SHIFT = 64
_LOW_RANDOM_BITS = 62
_VARIANT = 0b10 << _LOW_RANDOM_BITS


class IdempotencyKey(NamedTuple):
    """A parsed idempotency key.

    :param text: the UUID in canonical lower-case form
    :param created_ms: creation time by the caller's clock, milliseconds since the epoch
    """

    text: str
    created_ms: int


def make_key(created_ms: int) -> str:
    """Return a new key; a caller sends the same key with every retry of one request.

    :param created_ms: current time by the caller's clock, milliseconds since the epoch
    """
    high, low = divmod(secrets.randbits(RANDOM_BITS), 1 << _LOW_RANDOM_BITS)
    time_and_version = created_ms << _TIME_SHIFT | KEY_VERSION << _VERSION_SHIFT
    return str(uuid.UUID(int=time_and_version | high << _HIGH_RANDOM_SHIFT | _VARIANT | low))


def parse_key(text: str) -> IdempotencyKey:
    """Parse the value of an ``Idempotency-Key`` header.

    :param text: the header's value
    :raises InvalidInput: if it is not a UUID of version 7 in its usual form with hyphens
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        value = None
    if value is None or str(value) != text.lower() or value.version != KEY_VERSION:
        raise make_invalid_key_error(
            "must be a UUID of version 7, made when the request was first meant"
        )
    return IdempotencyKey(str(value), value.int >> _TIME_SHIFT)


def make_invalid_key_error(text: str) -> InvalidInput:
    """Return the error for an invalid idempotency key.

    :param text: what is wrong with the key
    """
    return InvalidInput([Finding("headers", 0, IDEMPOTENCY_KEY_HEADER, text)])
