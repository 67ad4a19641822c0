"""Which members an entry tells other entries of.

Kept until a member changes, or another process is heard to be its source.
"""

from typing import NamedTuple

from geraniumspool.members import peer_of
from geraniumspool.messages import Member, Peer
from geraniumspool.roster import Roster
from geraniumspool.sighting import ReportOrigin

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

    def local(self) -> View:
        """Return members heard here, and those that other domains told of."""
        return self._keep(True, False)

    def foreign(self, is_representative: bool) -> View:
        """Return foreign agents heard here, and the own domain if this entry represents it."""
        return self._keep(False, is_representative)

    def _keep(self, near: bool, is_representative: bool) -> View:
        key = (self._roster.version, self._roster.source_changes, is_representative)
        known, view = self._kept.get(near, (None, None))
        if view is None or known != key:
            is_told = self._is_near_news if near else self._is_far_news
            members = ((m, self._roster.origin(peer_of(m))) for m in self._roster.members())
            order = tuple(
                peer_of(m) for m, origin in members if is_told(m, origin, is_representative)
            )
            view = View(order, frozenset(order))
            self._kept[near] = (key, view)
        return view

    def _is_near_news(self, member: Member, origin: ReportOrigin, _is_representative: bool) -> bool:
        if peer_of(member) == self._me:
            return False
        return _is_heard_here(origin) or self._is_from_afar(origin)

    def _is_far_news(self, member: Member, origin: ReportOrigin, is_representative: bool) -> bool:
        if peer_of(member) == self._me:
            return False
        if member.domain != self._roster.domain:
            return _is_heard_here(origin)
        return is_representative and not self._is_from_afar(origin)

    def _is_from_afar(self, origin: ReportOrigin) -> bool:
        if origin.source is None:
            return False
        source = self._roster.get(origin.source)
        return source is not None and source.domain != self._roster.domain


def _is_heard_here(origin: ReportOrigin) -> bool:
    return origin.is_direct and not origin.is_claimed
