"""Tells apart messages within a failure domain and messages that cross to another."""

from collections.abc import Callable

from geraniumspool.link import SCOPE_CROSS, SCOPE_LOCAL
from geraniumspool.messages import Peer
from geraniumspool.roster import Roster


def make_scope_classifier(roster: Roster, domain: str) -> Callable[[Peer], str]:
    """Return a function that classifies a peer by its failure domain.

    The function returns ``SCOPE_CROSS`` for a peer in another failure domain, and
    ``SCOPE_LOCAL`` for any other peer, unknown ones included.

    :param roster: the known members with their failure domains
    :param domain: failure domain of this process
    """

    def scope(peer: Peer) -> str:
        member = roster.get(peer)
        if member is None or member.domain == domain:
            return SCOPE_LOCAL
        return SCOPE_CROSS

    return scope
