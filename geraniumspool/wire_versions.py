"""Versions of the messages between processes, and which one a peer reads.

A process is replaced by one of another build while its peers run on. Each is therefore sent only
what its build reads:

* version 0 reads an envelope of four elements and every message in its base form; it rejects a
  message with an element more;
* version 1 reads, and always sends, the stamp of the envelope as well;
* version 2 skips elements at the end of a message or of a part of it that it does not know;
* version 3 sends the same messages, and gives up its claims when it is out of contact with their
  arbiters.

A process of version 2 or later announces its version in its incarnation: builds before it draw
theirs from 1 to 2**63, which leaves the numbers above. Wherever a peer is known by its
incarnation, its version is known before the first message to it.
"""

import secrets

VERSION_BASE = 0
VERSION_STAMPED = 1
VERSION_EXTENSIBLE = 2
VERSION_LAPSING_CLAIMS = 3
# The version of this build.
CURRENT_VERSION = VERSION_LAPSING_CLAIMS

# An incarnation that announces a version has this bit set, followed by the version and a random
# number.
_ANNOUNCED_BIT = 1 << 63
_VERSION_SHIFT = 56
_VERSION_MASK = 0x7F


def make_incarnation(number: int, version: int = CURRENT_VERSION) -> int:
    """Return the incarnation that announces a version.

    :param number: distinguishes the incarnation from others, less than 2**56
    """
    return _ANNOUNCED_BIT | version << _VERSION_SHIFT | number


def new_incarnation() -> int:
    """Return a random number that identifies one run of a process.

    It is never 0, which stands for any incarnation in messages.
    """
    return make_incarnation(secrets.randbits(_VERSION_SHIFT))


def announced_version(incarnation: int) -> int:
    """Return the version that an incarnation announces, ``VERSION_BASE`` if it announces none."""
    if incarnation <= _ANNOUNCED_BIT:
        return VERSION_BASE
    return incarnation >> _VERSION_SHIFT & _VERSION_MASK
