"""What an entry tells operators of the failure domains."""

from typing import TypedDict

REACHABLE = "reachable"
UNREACHABLE = "unreachable"


class DomainStatus(TypedDict):
    """What an entry knows of one failure domain.

    Of an unreachable one it is what was last heard.
    """

    domain: str
    state: str
    agents: int
    ready: int
    leaving: int
    ejected: int
    slots: int
    free: int
    queued: int
    config_revision: int
    evacuated: bool
