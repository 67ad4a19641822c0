"""Checks of what a minion says of itself, whether it comes from the network or from the store."""

from geraniumspool.contracts import MinionIncarnation

# Largest valid amount of a resource, sequence or time in milliseconds. Sums of such amounts still
# fit into the 64 bits of a number in a message.
MAX_WHOLE_NUMBER = (1 << 53) - 1
MAX_PORT = 65_535
# Part of every address of a process, after the name of its transport.
ADDRESS_MARK = "://"


def find_report_fault(report: MinionIncarnation) -> str:
    """Return what is wrong with a minion's report, or an empty string if nothing is.

    A report with a fault is not that of a minion, so no call may be made to the address in it.
    """
    if not _is_name(report.instance):
        return "instance must consist of visible ASCII characters"
    if not report.service:
        return "service is empty"
    if not _is_address(report.address):
        return f"address {report.address!r} is not host:port"
    numbers = (*report.resources, report.sequence, report.started_unix_ms)
    if not all(0 <= number <= MAX_WHOLE_NUMBER for number in numbers):
        return f"resources, sequence and start time must be from 0 to {MAX_WHOLE_NUMBER}"
    return ""


def _is_name(text: str) -> bool:
    """Return whether a text can be sent in a header of each call to the minion."""
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return _is_name(host) and not set(host) & set("/?#@") and is_port(port)


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port that can be connected to."""
    # The length is checked first: int() raises ValueError for thousands of digits.
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    return is_number and 0 < int(text) <= MAX_PORT


def is_process_address(text: str) -> bool:
    """Return whether messages can be sent to an address, such as ``tcp://10.0.0.1:7720``."""
    transport, mark, rest = text.partition(ADDRESS_MARK)
    host, colon, port = rest.rpartition(":")
    if not colon:
        host = rest
    is_reachable = not colon or is_port(port)
    return bool(mark) and _is_name(transport) and _is_name(host) and is_reachable
