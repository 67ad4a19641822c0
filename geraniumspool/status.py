"""Status of a failure domain as an entry reports it to operators."""

from typing import TypedDict

REACHABLE = "reachable"
UNREACHABLE = "unreachable"


class DomainStatus(TypedDict):
    """State of one failure domain as an entry knows it.

    For an unreachable domain these are the values last reported.

    :ivar state: ``reachable`` or ``unreachable``
    :ivar agents: agents that are neither dead nor left
    :ivar ready: agents that accept tasks
    :ivar leaving: agents that drain
    :ivar ejected: agents that get no tasks for now, since tasks there failed or were too slow
    :ivar slots: slots of all agents
    :ivar free: free slots
    :ivar queued: queued tasks
    :ivar config_revision: lowest configuration revision in force
    :ivar evacuated: whether operators have evacuated the domain
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
