"""Runs a program of the platform as a build with an earlier version of the messages.

``python3 -m tests.earlier_build ROLE VERSION``. Such a process writes all messages in its own
version, rejects those that are longer, and announces no version.
"""

import secrets
import sys

import msgspec

from geraniumspool import inbound, link_monitor, messages, wire_versions
from geraniumspool.errors import MalformedMessage
from geraniumspool.messages import Delivery, Peer
from geraniumspool.platform import __main__ as program

# Elements of an envelope that each version reads at most.
ENVELOPE_LENGTHS = {wire_versions.VERSION_BASE: 4, wire_versions.VERSION_STAMPED: 7}


def imitate(version: int) -> None:
    """Make this process read and write messages as a build of a version does."""

    def decode(data: bytes) -> Delivery:
        if len(msgspec.msgpack.decode(data)) > ENVELOPE_LENGTHS[version]:
            raise MalformedMessage("envelope too long")
        delivery = messages.decode(data)
        if delivery.is_newer:
            raise MalformedMessage("message too long")
        return delivery

    def version_of(_monitor: link_monitor.LinkMonitor, _peer: Peer) -> int:
        return version

    inbound.decode = decode
    link_monitor.LinkMonitor.version_of = version_of
    link_monitor.announced_version = lambda _incarnation: wire_versions.VERSION_BASE
    wire_versions.new_incarnation = lambda: 1 + secrets.randbits(63)


if __name__ == "__main__":
    imitate(int(sys.argv.pop(2)))
    sys.exit(program.main(sys.argv[1:]))
