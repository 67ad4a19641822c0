"""Indexes of the members that may be chosen: ready agents and living entries."""

from collections.abc import Iterable

from geraniumspool.members import ROLE_ENTRY, is_final, peer_of
from geraniumspool.messages import MEMBER_READY, Member, Peer


class Candidates:
    """Indexes of a roster: ready agents by service and failure domain, living entries.

    :ivar entries: the entries that are neither dead nor left
    """

    def __init__(self):
        """Create empty indexes."""
        self.entries: dict[Peer, Member] = {}
        self._ready: dict[str, dict[str, dict[Peer, Member]]] = {}

    def add(self, member: Member) -> None:
        """Add a member if it may be chosen, or replace it by one that differs only in its load."""
        if member.role == ROLE_ENTRY:
            if not is_final(member):
                self.entries[peer_of(member)] = member
        elif member.state == MEMBER_READY:
            domains = self._ready.setdefault(member.service, {})
            domains.setdefault(member.domain, {})[peer_of(member)] = member

    def remove(self, member: Member) -> None:
        """Remove a member, given in the state in which it was added."""
        if member.role == ROLE_ENTRY:
            self.entries.pop(peer_of(member), None)
        elif member.state == MEMBER_READY:
            agents = self._ready.get(member.service, {}).get(member.domain, {})
            agents.pop(peer_of(member), None)

    def list_agents(
        self, service: str, domain: str | None, excluded: Iterable[str]
    ) -> list[Member]:
        """Return the ready agents of a service.

        :param domain: failure domain of the agents, or None for all
        :param excluded: failure domains to exclude
        """
        domains = self._ready.get(service, {})
        names = domains if domain is None else (domain,)
        chosen = [domains[name] for name in names if name in domains and name not in excluded]
        return [member for agents in chosen for member in agents.values()]
