"""Selection of the members that an entry reports to other entries.

A selection is cached until a member changes or the source of its updates does.
"""

from typing import NamedTuple

from geraniumspool.members import peer_of
from geraniumspool.messages import Member, Peer
from geraniumspool.roster import Roster
from geraniumspool.sighting import ReportOrigin

_CacheKey = tuple[int, int, bool]


class MemberSelection(NamedTuple):
    """The members to report to entries of this domain, or to those of other domains.

    :param order: the members, in the order of their last change
    :param peers: the same members as a set
    """

    order: tuple[Peer, ...]
    peers: frozenset[Peer]


class MemberSelections:
    """The members to report inside and outside this entry's failure domain."""

    def __init__(self, roster: Roster, me: Peer):
        """Start with an empty cache.

        :param roster: known members
        :param me: this process, left out because each digest contains its sender
        """
        self._roster = roster
        self._me = me
        self._cache: dict[bool, tuple[_CacheKey, MemberSelection]] = {}

    def local(self) -> MemberSelection:
        """Return the members to report to entries of this domain.

        These are the members heard directly and those reported by other domains.
        """
        return self._get_cached(True, False)

    def foreign(self, is_representative: bool) -> MemberSelection:
        """Return the members to report to entries of other domains.

        These are agents of other domains heard directly, which have no entry of their own.

        :param is_representative: whether this entry reports the members of its own domain as well
        """
        return self._get_cached(False, is_representative)

    def _get_cached(self, local: bool, is_representative: bool) -> MemberSelection:
        key = (self._roster.version, self._roster.source_changes, is_representative)
        cached_key, selection = self._cache.get(local, (None, None))
        if selection is None or cached_key != key:
            is_reported = (
                self._is_reported_to_own_domain if local else self._is_reported_to_other_domains
            )
            members = ((m, self._roster.origin(peer_of(m))) for m in self._roster.members())
            order = tuple(
                peer_of(m) for m, origin in members if is_reported(m, origin, is_representative)
            )
            selection = MemberSelection(order, frozenset(order))
            self._cache[local] = (key, selection)
        return selection

    def _is_reported_to_own_domain(
        self, member: Member, origin: ReportOrigin, _is_representative: bool
    ) -> bool:
        if peer_of(member) == self._me:
            return False
        return _is_heard_directly(origin) or self._comes_from_other_domain(origin)

    def _is_reported_to_other_domains(
        self, member: Member, origin: ReportOrigin, is_representative: bool
    ) -> bool:
        if peer_of(member) == self._me:
            return False
        if member.domain != self._roster.domain:
            return _is_heard_directly(origin)
        return is_representative and not self._comes_from_other_domain(origin)

    def _comes_from_other_domain(self, origin: ReportOrigin) -> bool:
        if origin.source is None:
            return False
        source = self._roster.get(origin.source)
        return source is not None and source.domain != self._roster.domain


def _is_heard_directly(origin: ReportOrigin) -> bool:
    return origin.is_direct and not origin.is_claimed
