"""Selection of the members that an entry reports to other entries.

A selection is cached until a member changes or the source of its updates does.
"""

from typing import NamedTuple

from geraniumspool.members import peer_of
from geraniumspool.messages import Member, Peer
from geraniumspool.roster import Roster
from geraniumspool.sighting import Sighting

_CacheKey = tuple[int, int, bool]


class View(NamedTuple):
    """The members to report to entries of this domain, or to those of other domains.

    :param order: the members, in the order of their last change
    :param peers: the same members as a set
    """

    order: tuple[Peer, ...]
    peers: frozenset[Peer]


class Views:
    """The members to report inside and outside this entry's failure domain."""

    def __init__(self, roster: Roster, me: Peer):
        """Start with an empty cache.

        :param roster: known members
        :param me: this process, left out because each digest contains its sender
        """
        self._roster = roster
        self._me = me
        self._cache: dict[bool, tuple[_CacheKey, View]] = {}

    def near(self) -> View:
        """Return the members to report to entries of this domain.

        These are the members heard directly and those reported by other domains.
        """
        return self._get_cached(True, False)

    def far(self, speaks: bool) -> View:
        """Return the members to report to entries of other domains.

        These are agents of other domains heard directly, which have no entry of their own.

        :param speaks: whether this entry reports the members of its own domain as well
        """
        return self._get_cached(False, speaks)

    def _get_cached(self, near: bool, speaks: bool) -> View:
        key = (self._roster.version, self._roster.moves, speaks)
        cached_key, view = self._cache.get(near, (None, None))
        if view is None or cached_key != key:
            is_reported = (
                self._is_reported_to_own_domain if near else self._is_reported_to_other_domains
            )
            members = ((m, self._roster.sighting(peer_of(m))) for m in self._roster.members())
            order = tuple(peer_of(m) for m, sighting in members if is_reported(m, sighting, speaks))
            view = View(order, frozenset(order))
            self._cache[near] = (key, view)
        return view

    def _is_reported_to_own_domain(self, member: Member, sighting: Sighting, _speaks: bool) -> bool:
        if peer_of(member) == self._me:
            return False
        return _is_heard_directly(sighting) or self._comes_from_other_domain(sighting)

    def _is_reported_to_other_domains(
        self, member: Member, sighting: Sighting, speaks: bool
    ) -> bool:
        if peer_of(member) == self._me:
            return False
        if member.domain != self._roster.domain:
            return _is_heard_directly(sighting)
        return speaks and not self._comes_from_other_domain(sighting)

    def _comes_from_other_domain(self, sighting: Sighting) -> bool:
        if sighting.source is None:
            return False
        source = self._roster.get(sighting.source)
        return source is not None and source.domain != self._roster.domain


def _is_heard_directly(sighting: Sighting) -> bool:
    return sighting.direct and not sighting.claimed
