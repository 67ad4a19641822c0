"""Parsing and validation of command line arguments, all of which are strings."""

import os
from typing import NamedTuple

from geraniumspool.entry_client import EntryAddress

ENTRY_VARIABLE = "GERANIUMSPOOL_ENTRY"
TOKEN_VARIABLE = "GERANIUMSPOOL_TOKEN"
# Fire passes this text for a flag that is given without a value.
FLAG_WITHOUT_VALUE = "True"


class UsageError(Exception):
    """The command line is invalid; nothing was done."""


class OperatorFlags(NamedTuple):
    """Flags shared by all commands that send a request to an entry.

    :param entry: address of the entry, or empty to take it from the environment
    :param token: operators' token, or empty to take it from the environment
    :param as_json: whether to print JSON instead of formatted text
    """

    entry: str
    token: str
    as_json: bool


def parse_operator_flags(entry: str, token: str, as_json: str) -> OperatorFlags:
    """Validate the flags shared by all commands that send a request to an entry.

    :param as_json: "True" or "False", as Fire passes it
    :raises UsageError: if ``--json`` has a value, or one of the others has none
    """
    if as_json not in ("True", "False"):
        raise UsageError("--json takes no value")
    if FLAG_WITHOUT_VALUE in (entry, token):
        raise UsageError("--entry and --token need a value")
    return OperatorFlags(entry, token, as_json == "True")


def resolve_entry(target: OperatorFlags) -> EntryAddress:
    """Return the entry's address and token, from the flags or else from the environment.

    :raises UsageError: if neither gives an address
    """
    address = target.entry or os.environ.get(ENTRY_VARIABLE, "")
    if not address:
        raise UsageError(f"no entry given: add --entry HOST:PORT or set {ENTRY_VARIABLE}")
    return EntryAddress(address, target.token or os.environ.get(TOKEN_VARIABLE, ""))


def parse_document_key(text: str) -> str:
    """Return the key of a configuration document, ``kind/name``.

    :raises UsageError: if it has another form
    """
    parts = text.split("/")
    if len(parts) != 2 or not all(parts):
        raise UsageError(f"{text!r} is no document key such as service/fitting")
    return text


def parse_text(text: str, flag: str) -> str:
    """Return the value of a flag that must not be empty.

    :raises UsageError: if it is blank, or the flag was given without a value
    """
    if not text.strip() or text == FLAG_WITHOUT_VALUE:
        raise UsageError(f"{flag} needs a text")
    return text


def parse_whole_number(text: str, flag: str) -> int:
    """Return a non-negative integer.

    :param flag: name of the flag, for the error
    :raises UsageError: if the text has anything but decimal digits
    """
    if not text.isascii() or not text.isdigit():
        raise UsageError(f"{flag} needs a whole number, not {text!r}")
    return int(text)


def parse_positive_number(text: str, flag: str) -> float:
    """Return a finite number above 0.

    :param flag: name of the flag, for the error
    :raises UsageError: if it is none
    """
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 < value < float("inf"):
        raise UsageError(f"{flag} needs a number above 0, not {text!r}")
    return value


def parse_listen_address(text: str) -> tuple[str, int]:
    """Return the host and port to listen on.

    :param text: ``host:port``
    :raises UsageError: if it has another form
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise UsageError(f"{text!r} is no address such as 127.0.0.1:0")
    return host, parse_whole_number(port, "--listen")


def require_file(path: str) -> str:
    """Return the path unchanged if it names a file.

    :raises UsageError: if there is no such file
    """
    if not os.path.isfile(path):
        raise UsageError(f"there is no file {path!r}")
    return path


def read_file(path: str) -> str:
    """Return the contents of a UTF-8 file.

    :raises UsageError: if it cannot be read or decoded
    """
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"cannot read {path!r}: {error}") from None
