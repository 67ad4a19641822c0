"""Roles, final states and identity of members, the processes in the roster."""

from geraniumspool.messages import MEMBER_DEAD, MEMBER_LEFT, Member, Peer

ROLE_ENTRY = "entry"
ROLE_AGENT = "agent"
FINAL_MEMBER_STATES = frozenset({MEMBER_LEFT, MEMBER_DEAD})


def peer_of(member: Member) -> Peer:
    """Return the address and incarnation of a member."""
    return Peer(member.address, member.incarnation)


def is_final(member: Member) -> bool:
    """Return whether a member is dead or has left."""
    return member.state in FINAL_MEMBER_STATES
