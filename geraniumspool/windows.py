"""Selection of the members of other failure domains that an agent is informed about.

For each domain, the agents of all other domains are placed on a ring, ordered by
the hash of their address. An agent's window holds those that follow the hash of
its own address, so that each agent is known to about the same number of others.
"""

import bisect
import hashlib
from typing import NamedTuple

from geraniumspool.members import ROLE_AGENT, ROLE_ENTRY, is_final
from geraniumspool.messages import Member
from geraniumspool.roster import Roster

# Limit of members of other domains per agent, entries included.
FOREIGN_MEMBERS = 64


# The agents outside a domain by hash, the number of entries there, and windows by agent address.
class _Ring(NamedTuple):
    positions: list[tuple[bytes, str]]
    entries: int
    windows: dict[str, frozenset[str]]


class ForeignWindows:
    """Windows of agents of other failure domains.

    One hash ring per domain is cached until a member on it changes.
    """

    def __init__(self, roster: Roster):
        """Subscribe to membership changes of a roster."""
        self._roster = roster
        self._rings: dict[str, _Ring] = {}
        roster.subscribe(self._invalidate)

    def choose(self, agent: Member) -> frozenset[str]:
        """Return the addresses of the agents of other domains in an agent's window."""
        ring = self._ring(agent.domain)
        window = ring.windows.get(agent.address)
        if window is None:
            window = ring.windows[agent.address] = _select_window(ring, agent.address)
        return window

    def clear(self) -> None:
        """Discard all cached rings; called after the roster has removed members."""
        self._rings.clear()

    def _ring(self, domain: str) -> _Ring:
        ring = self._rings.get(domain)
        if ring:
            return ring
        foreign = [m for m in self._roster.members() if m.domain != domain]
        addresses = {member.address for member in foreign if member.role == ROLE_AGENT}
        entries = sum(m.role == ROLE_ENTRY and not is_final(m) for m in foreign)
        positions = sorted((_hash_address(address), address) for address in addresses)
        self._rings[domain] = _Ring(positions, entries, {})
        return self._rings[domain]

    def _invalidate(self, member: Member) -> None:
        """Discard the cached rings that contain a changed member."""
        for domain in [domain for domain in self._rings if domain != member.domain]:
            del self._rings[domain]


def _select_window(ring: _Ring, address: str) -> frozenset[str]:
    size = max(0, FOREIGN_MEMBERS - ring.entries)
    positions = ring.positions
    if len(positions) <= size:
        return frozenset(address for _, address in positions)
    start = bisect.bisect(positions, (_hash_address(address), ""))
    selected = (positions + positions[:size])[start : start + size]
    return frozenset(address for _, address in selected)


def _hash_address(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
