"""Members that may be chosen: ready agents by service and domain, living entries."""

from collections.abc import Iterable

from geraniumspool.members import ROLE_ENTRY, is_final, peer_of
from geraniumspool.messages import MEMBER_READY, Member, Peer


class Candidates:
    """Indexes of a roster for quick choices.

    :ivar entries: the entries that are neither dead nor left
    """

    def __init__(self):
        """Start empty."""
        self.entries: dict[Peer, Member] = {}
        self._ready: dict[str, dict[str, dict[Peer, Member]]] = {}

    def put(self, member: Member) -> None:
        """Add a member, or replace it by one that differs in its load."""
        if member.role == ROLE_ENTRY:
            if not is_final(member):
                self.entries[peer_of(member)] = member
        elif member.state == MEMBER_READY:
            domains = self._ready.setdefault(member.service, {})
            domains.setdefault(member.domain, {})[peer_of(member)] = member

    def remove(self, member: Member) -> None:
        """Remove a member as it was put in."""
        if member.role == ROLE_ENTRY:
            self.entries.pop(peer_of(member), None)
        elif member.state == MEMBER_READY:
            agents = self._ready.get(member.service, {}).get(member.domain, {})
            agents.pop(peer_of(member), None)

    def list_agents(self, service: str, domain: str | None, without: Iterable[str]) -> list[Member]:
        """Return the ready agents of a service.

        :param domain: failure domain to stay in, or None for all
        :param without: failure domains to leave out
        """
        domains = self._ready.get(service, {})
        names = domains if domain is None else (domain,)
        chosen = [domains[name] for name in names if name in domains and name not in without]
        return [member for agents in chosen for member in agents.values()]
