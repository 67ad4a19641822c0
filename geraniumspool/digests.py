"""Digests to other entries: who gets them, and what stands in them.

A digest carries what changed since the last one to the same receiver, and a
few members in turn besides. These refresh the loads and make up for lost
digests. Of the teams' demand it carries what changed, and now and then all.
"""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from geraniumspool.contracts import Messenger
from geraniumspool.heartbeat import weigh
from geraniumspool.messages import MEMBER_LEAVING, Digest, Member, Peer
from geraniumspool.replies import Replies
from geraniumspool.reports import Demand, Reports, find_changes
from geraniumspool.revisions import Revisions
from geraniumspool.roster import Roster, Sighting, peer_of

REFRESH_PER_DIGEST = 16
DEMAND_REFRESH_DIGESTS = 16

_Bare = tuple

_LOAD_FIELD = Member._fields.index("load")


class _View(NamedTuple):
    """What a digest tells receivers of one kind, made once a round."""

    members: dict[Peer, Member]
    bare: dict[Peer, _Bare]
    demand: Demand
    in_force: tuple[tuple[str, int], ...]


class _Link:
    def __init__(self, number: int) -> None:
        self.number = number
        self.sent: dict[Peer, _Bare] | None = None
        self.demand: Demand = ()
        self.digests = 0


class Digests:
    """Sends what this entry hears and knows to other entries."""

    def __init__(
        self,
        messenger: Messenger,
        roster: Roster,
        configuration: Any,
        me: Callable[[], Member],
        replies: Replies,
        reports: Reports,
        revisions: Revisions,
        demand: Callable[[], Demand],
    ):
        """Connect the parts.

        :param configuration: has ``revision``
        :param me: returns this entry as it is now
        :param demand: returns tasks a second and running tasks, per team
        """
        self._messenger = messenger
        self._roster = roster
        self._configuration = configuration
        self._me = me
        self._replies = replies
        self._reports = reports
        self._revisions = revisions
        self._demand = demand
        self._links: dict[Peer, _Link] = {}

    def send_all(self) -> None:
        """Send a digest to everybody who gets one."""
        views: dict[bool, _View] = {}
        for entry in list(self._receivers()):
            near = entry.domain == self._roster.domain
            if near not in views:
                views[near] = self._make_view(near)
            self._send(entry, views[near])

    def answer(self, receiver: Member) -> None:
        """Answer a digest that asked for one."""
        near = receiver.domain == self._roster.domain
        self._send(receiver, self._make_view(near), answer=True)

    def greet(self, peer: Peer) -> None:
        """Ask a process for its digest, and tell nothing but that this one is there."""
        revision = self._configuration.revision
        self._messenger.send(peer, Digest(self._me(), False, (), (), (), revision, (), reply=True))

    def prune(self, living: set[Peer]) -> None:
        """Forget what was told to entries that are gone.

        :param living: those that are not
        """
        for peer in [peer for peer in self._links if peer not in living]:
            del self._links[peer]

    def _receivers(self) -> Iterator[Member]:
        own = self._messenger.me
        foreign: dict[str, list[Member]] = {}
        for entry in self._roster.entries():
            if entry.domain != self._roster.domain:
                foreign.setdefault(entry.domain, []).append(entry)
            elif peer_of(entry) != own:
                yield entry
        if not self._is_speaker() and not self._replies.has_guests():
            return
        for entries in foreign.values():
            staying = [e for e in entries if e.state != MEMBER_LEAVING] or entries
            yield min(staying, key=lambda entry: weigh(own.address, entry.address))

    def _is_speaker(self) -> bool:
        near = [e.address for e in self._roster.entries() if e.domain == self._roster.domain]
        return self._messenger.me.address <= min(near, default=self._messenger.me.address)

    def _make_view(self, near: bool) -> _View:
        members = self._near_members() if near else self._far_members()
        revisions = self._revisions.near() if near else self._revisions.far(self._is_speaker())
        return _View(
            members,
            {peer: _without_load(member) for peer, member in members.items()},
            tuple(self._demand()) if near else self._far_demand(),
            tuple(revisions.items()),
        )

    def _send(self, receiver: Member, view: _View, answer: bool = False) -> None:
        peer = peer_of(receiver)
        link = self._links.setdefault(peer, _Link(len(self._links)))
        changed = _choose_changed(link, view)
        report = self._reports.get(peer)
        told = report.config_revision if report else None
        behind = told is None or told < self._configuration.revision
        is_turn = (link.digests + link.number) % DEMAND_REFRESH_DIGESTS == 0
        all_demand = link.sent is None or is_turn
        digest = Digest(
            sender=self._me(),
            whole=link.sent is None,
            members=tuple(changed),
            demand=view.demand if all_demand else find_changes(link.demand, view.demand),
            in_force=view.in_force,
            config_revision=self._configuration.revision,
            documents=() if told is None else self._replies.documents(told),
            reply=behind and not answer,
            all_demand=all_demand,
        )
        if self._messenger.send(peer, digest):
            link.sent = view.bare
            link.demand = view.demand
            link.digests += 1

    def _near_members(self) -> dict[Peer, Member]:
        return {
            peer: member
            for peer, member, sighting in self._others()
            if _is_heard_here(sighting) or self._is_from_afar(sighting)
        }

    def _far_members(self) -> dict[Peer, Member]:
        speaker = self._is_speaker()
        view = {}
        for peer, member, sighting in self._others():
            own = member.domain == self._roster.domain and not self._is_from_afar(sighting)
            guest = member.domain != self._roster.domain and _is_heard_here(sighting)
            if guest or (speaker and own):
                view[peer] = member
        return view

    def _others(self) -> Iterator[tuple[Peer, Member, Sighting]]:
        own = self._messenger.me
        for member in self._roster.members():
            peer = peer_of(member)
            if peer != own:
                yield peer, member, self._roster.sighting(peer)

    def _is_from_afar(self, sighting: Sighting) -> bool:
        if sighting.source is None:
            return False
        source = self._roster.get(sighting.source)
        return source is not None and source.domain != self._roster.domain

    def _far_demand(self) -> Demand:
        if not self._is_speaker():
            return ()
        totals: dict[str, tuple[float, float]] = {}
        own = self._roster.domain
        reported = [report.demand for _, report in self._reports.fresh() if report.domain == own]
        for demand in [self._demand(), *reported]:
            for team, rate, running in demand:
                old_rate, old_running = totals.get(team, (0.0, 0.0))
                totals[team] = (old_rate + rate, old_running + running)
        return tuple((team, *total) for team, total in totals.items())


def _choose_changed(link: _Link, view: _View) -> list[Member]:
    members = view.members
    if link.sent is None:
        return list(members.values())
    sent = link.sent
    chosen = {key: members[key] for key, bare in view.bare.items() if sent.get(key) != bare}
    order = list(members)
    turn = link.digests * REFRESH_PER_DIGEST
    for step in range(min(REFRESH_PER_DIGEST, len(order))):
        key = order[(turn + step) % len(order)]
        chosen[key] = members[key]
    return list(chosen.values())


def _is_heard_here(sighting: Sighting) -> bool:
    return sighting.direct and not sighting.claimed


def _without_load(member: Member) -> _Bare:
    return member[:_LOAD_FIELD] + member[_LOAD_FIELD + 1 :]
