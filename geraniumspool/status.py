"""What an entry tells operators of the failure domains."""

from typing import TypedDict


class DomainStatus(TypedDict):
    """What an entry knows of one failure domain."""

    domain: str
    agents: int
    ready: int
    leaving: int
    ejected: int
    slots: int
    free: int
    queued: int
    config_revision: int
