"""Which members of other failure domains an agent is told of.

The agents of all domains stand on a ring, in the order of a hash. An agent is
told of those that follow its own place, so each is known to about as many.
"""

import bisect
import hashlib
from typing import NamedTuple

from geraniumspool.members import ROLE_AGENT, ROLE_ENTRY, is_final
from geraniumspool.messages import Member
from geraniumspool.roster import Roster

FOREIGN_MEMBERS = 64


class _Ring(NamedTuple):
    places: list[tuple[bytes, str]]
    entries: int
    chosen: dict[str, frozenset[str]]


class Windows:
    """Windows of foreign members, from rings that are kept until a member changes."""

    def __init__(self, roster: Roster):
        """Follow a roster."""
        self._roster = roster
        self._rings: dict[str, _Ring] = {}
        roster.subscribe(self._drop)

    def choose(self, agent: Member) -> frozenset[str]:
        """Return the addresses of other domains' agents that an agent is told of."""
        ring = self._ring(agent.domain)
        window = ring.chosen.get(agent.address)
        if window is None:
            window = ring.chosen[agent.address] = _choose(ring, agent.address)
        return window

    def clear(self) -> None:
        """Drop all rings, since members were forgotten."""
        self._rings.clear()

    def _ring(self, domain: str) -> _Ring:
        ring = self._rings.get(domain)
        if ring:
            return ring
        foreign = [m for m in self._roster.members() if m.domain != domain]
        addresses = {member.address for member in foreign if member.role == ROLE_AGENT}
        entries = sum(m.role == ROLE_ENTRY and not is_final(m) for m in foreign)
        places = sorted((_place(address), address) for address in addresses)
        self._rings[domain] = _Ring(places, entries, {})
        return self._rings[domain]

    def _drop(self, member: Member) -> None:
        """Drop the rings that a changed member belongs to."""
        for domain in [domain for domain in self._rings if domain != member.domain]:
            del self._rings[domain]


def _choose(ring: _Ring, address: str) -> frozenset[str]:
    size = max(0, FOREIGN_MEMBERS - ring.entries)
    places = ring.places
    if len(places) <= size:
        return frozenset(address for _, address in places)
    start = bisect.bisect(places, (_place(address), ""))
    chosen = (places + places[:size])[start : start + size]
    return frozenset(address for _, address in chosen)


def _place(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
