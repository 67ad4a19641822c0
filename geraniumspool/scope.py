"""Which messages cross from one failure domain to another."""

from collections.abc import Callable

from geraniumspool.link import SCOPE_CROSS, SCOPE_LOCAL
from geraniumspool.messages import Peer
from geraniumspool.roster import Roster


def scope_by(roster: Roster, domain: str) -> Callable[[Peer], str]:
    """Return a function that tells whether a peer is in another failure domain.

    :param roster: where members' failure domains are known
    :param domain: the own failure domain
    """

    def scope(peer: Peer) -> str:
        member = roster.get(peer)
        if member is None or member.domain == domain:
            return SCOPE_LOCAL
        return SCOPE_CROSS

    return scope
