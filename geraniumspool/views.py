"""Which members an entry tells other entries of.

Kept until a member changes, or another process is heard to be its source.
"""

from typing import NamedTuple

from geraniumspool.members import peer_of
from geraniumspool.messages import Member, Peer
from geraniumspool.roster import Roster
from geraniumspool.sighting import Sighting

_Key = tuple[int, int, bool]


class View(NamedTuple):
    """Members to tell receivers of one kind of.

    :param order: in the order of their last change
    :param peers: the same, for look-ups
    """

    order: tuple[Peer, ...]
    peers: frozenset[Peer]


class Views:
    """The members to tell of inside the own failure domain, and outside."""

    def __init__(self, roster: Roster, me: Peer):
        """Follow a roster.

        :param me: this process, of which digests tell anyway
        """
        self._roster = roster
        self._me = me
        self._kept: dict[bool, tuple[_Key, View]] = {}

    def near(self) -> View:
        """Return members heard here, and those that other domains told of."""
        return self._keep(True, False)

    def far(self, speaks: bool) -> View:
        """Return guests heard here, and if this entry speaks for its domain that domain's own."""
        return self._keep(False, speaks)

    def _keep(self, near: bool, speaks: bool) -> View:
        key = (self._roster.version, self._roster.moves, speaks)
        known, view = self._kept.get(near, (None, None))
        if view is None or known != key:
            is_told = self._is_near_news if near else self._is_far_news
            members = ((m, self._roster.sighting(peer_of(m))) for m in self._roster.members())
            order = tuple(peer_of(m) for m, sighting in members if is_told(m, sighting, speaks))
            view = View(order, frozenset(order))
            self._kept[near] = (key, view)
        return view

    def _is_near_news(self, member: Member, sighting: Sighting, _speaks: bool) -> bool:
        if peer_of(member) == self._me:
            return False
        return _is_heard_here(sighting) or self._is_from_afar(sighting)

    def _is_far_news(self, member: Member, sighting: Sighting, speaks: bool) -> bool:
        if peer_of(member) == self._me:
            return False
        if member.domain != self._roster.domain:
            return _is_heard_here(sighting)
        return speaks and not self._is_from_afar(sighting)

    def _is_from_afar(self, sighting: Sighting) -> bool:
        if sighting.source is None:
            return False
        source = self._roster.get(sighting.source)
        return source is not None and source.domain != self._roster.domain


def _is_heard_here(sighting: Sighting) -> bool:
    return sighting.direct and not sighting.claimed
