"""Checks of the command line's arguments, which come as text."""

import os
from typing import NamedTuple

from geraniumspool.entry_client import EntryAddress

ENTRY_VARIABLE = "GERANIUMSPOOL_ENTRY"
TOKEN_VARIABLE = "GERANIUMSPOOL_TOKEN"
FLAG_WITHOUT_VALUE = "True"


class UsageFault(Exception):
    """The command line was wrong."""


class Target(NamedTuple):
    """Flags that all operators' commands share.

    :param entry: host and port, or empty for the environment's
    :param token: token, or empty for the environment's
    :param as_json: whether to print JSON rather than a table
    """

    entry: str
    token: str
    as_json: bool


def read_target(entry: str, token: str, as_json: str) -> Target:
    """Return the flags that all operators' commands share."""
    if as_json not in ("True", "False"):
        raise UsageFault("--json takes no value")
    if FLAG_WITHOUT_VALUE in (entry, token):
        raise UsageFault("--entry and --token need a value")
    return Target(entry, token, as_json == "True")


def find_entry(target: Target) -> EntryAddress:
    """Return where to ask, by flags or by the environment."""
    address = target.entry or os.environ.get(ENTRY_VARIABLE, "")
    if not address:
        raise UsageFault(f"no entry given: add --entry HOST:PORT or set {ENTRY_VARIABLE}")
    return EntryAddress(address, target.token or os.environ.get(TOKEN_VARIABLE, ""))


def read_key(text: str) -> str:
    """Return the key of a document."""
    parts = text.split("/")
    if len(parts) != 2 or not all(parts):
        raise UsageFault(f"{text!r} is no document key such as service/fitting")
    return text


def read_text(text: str, flag: str) -> str:
    """Return a text that must not be empty."""
    if not text.strip() or text == FLAG_WITHOUT_VALUE:
        raise UsageFault(f"{flag} needs a text")
    return text


def read_whole(text: str, flag: str) -> int:
    """Return a whole number."""
    if not text.isascii() or not text.isdigit():
        raise UsageFault(f"{flag} needs a whole number, not {text!r}")
    return int(text)


def read_number(text: str, flag: str) -> float:
    """Return a number above 0."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 < value < float("inf"):
        raise UsageFault(f"{flag} needs a number above 0, not {text!r}")
    return value


def read_address(text: str) -> tuple[str, int]:
    """Return host and port to listen at."""
    host, colon, port = text.rpartition(":")
    if not colon or not host:
        raise UsageFault(f"{text!r} is no address such as 127.0.0.1:0")
    return host, read_whole(port, "--listen")


def find_file(path: str) -> str:
    """Return the path of a file that exists."""
    if not os.path.isfile(path):
        raise UsageFault(f"there is no file {path!r}")
    return path


def read_file(path: str) -> str:
    """Return the text in a file."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageFault(f"cannot read {path!r}: {error}") from None
