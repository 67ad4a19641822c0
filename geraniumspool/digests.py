"""Digests to other entries: who gets them, and what stands in them.

A digest carries what changed lately, so that a change is told several times,
and a few members in turn besides. These refresh the loads and make up for lost
digests. An entry of a failure domain that was unreachable is told everything.
Of the teams' demand a digest carries what changed, and now and then all. To
other failure domains nothing goes out in some rounds where nothing changed.
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from geraniumspool.contracts import Messenger
from geraniumspool.heartbeat import weigh
from geraniumspool.members import peer_of
from geraniumspool.messages import MEMBER_LEAVING, Digest, Member, Peer
from geraniumspool.replies import Replies
from geraniumspool.reports import Demand, Reports, find_changes
from geraniumspool.revisions import FAR_ROUNDS, Revisions
from geraniumspool.roster import Roster
from geraniumspool.views import View, Views

REFRESH_PER_DIGEST = 16
FAR_REFRESH_PER_DIGEST = 2
TELLINGS = 8
DEMAND_REFRESH_DIGESTS = 16


class _News(NamedTuple):
    """What a digest tells receivers of one kind, made once a round."""

    near: bool
    view: View
    demand: Demand
    in_force: tuple[tuple[str, int], ...]


class _Link:
    def __init__(self, number: int) -> None:
        self.number = number
        self.told: deque[tuple[int, frozenset[Peer]]] = deque(maxlen=TELLINGS)
        self.demand: Demand = ()
        self.digests = 0
        self.state: tuple = ()
        self.rounds = 0


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
        self._views = Views(roster, messenger.me)
        self._links: dict[Peer, _Link] = {}
        self._unreachable: frozenset[str] = frozenset()

    def send_all(self) -> None:
        """Send a digest to everybody who gets one."""
        self._begin_anew()
        news: dict[bool, _News] = {}
        for entry in list(self._receivers()):
            near = entry.domain == self._roster.domain
            if near not in news:
                news[near] = self._make_news(near)
            if near or self._is_due(entry, news[near]):
                self._send(entry, news[near])

    def answer(self, receiver: Member) -> None:
        """Answer a digest that asked for one."""
        near = receiver.domain == self._roster.domain
        self._send(receiver, self._make_news(near), answer=True)

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

    def _begin_anew(self) -> None:
        """Tell everything to entries of domains that are reachable again."""
        for domain in self._unreachable - self._roster.unreachable:
            for peer, link in self._links.items():
                entry = self._roster.get(peer)
                if entry and entry.domain == domain:
                    link.told.clear()
        self._unreachable = self._roster.unreachable

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

    def _make_news(self, near: bool) -> _News:
        if near:
            revisions = self._revisions.near()
            return _News(near, self._views.near(), self._demand(), tuple(revisions.items()))
        speaks = self._is_speaker()
        revisions = self._revisions.far(speaks)
        demand = self._far_demand() if speaks else ()
        return _News(near, self._views.far(speaks), demand, tuple(revisions.items()))

    def _is_due(self, receiver: Member, news: _News) -> bool:
        link = self._links.get(peer_of(receiver))
        if link is None or not link.told:
            return True
        link.rounds += 1
        return link.rounds >= FAR_ROUNDS or link.state != self._state(news)

    def _state(self, news: _News) -> tuple:
        """Return what makes a digest due when it changes."""
        return (self._me(), self._configuration.revision, self._roster.version, *news)

    def _send(self, receiver: Member, news: _News, answer: bool = False) -> None:
        peer = peer_of(receiver)
        link = self._links.setdefault(peer, _Link(len(self._links)))
        whole = not link.told
        version = self._roster.version
        report = self._reports.get(peer)
        told = report.config_revision if report else None
        behind = told is None or told < self._configuration.revision
        is_turn = (link.digests + link.number) % DEMAND_REFRESH_DIGESTS == 0
        all_demand = whole or is_turn
        digest = Digest(
            sender=self._me(),
            whole=whole,
            members=self._choose_members(link, news),
            demand=news.demand if all_demand else find_changes(link.demand, news.demand),
            in_force=news.in_force,
            config_revision=self._configuration.revision,
            documents=() if told is None else self._replies.documents(told),
            reply=behind and not answer,
            all_demand=all_demand,
        )
        if self._messenger.send(peer, digest):
            link.told.append((version, news.view.peers))
            link.demand = news.demand
            link.digests += 1
            link.state, link.rounds = self._state(news), 0

    def _choose_members(self, link: _Link, news: _News) -> tuple[Member, ...]:
        order = news.view.order
        if not link.told:
            chosen = {peer: self._roster.get(peer) for peer in order}
        else:
            chosen = _find_changed(link, news.view, self._roster)
            size = REFRESH_PER_DIGEST if news.near else FAR_REFRESH_PER_DIGEST
            for step in range(min(size, len(order))):
                peer = order[(link.digests * size + step) % len(order)]
                chosen[peer] = self._roster.get(peer)
        return tuple(member for member in chosen.values() if member)

    def _far_demand(self) -> Demand:
        totals: dict[str, tuple[float, float]] = {}
        own = self._roster.domain
        reported = [report.demand for _, report in self._reports.fresh() if report.domain == own]
        for demand in [self._demand(), *reported]:
            for team, rate, running in demand:
                old_rate, old_running = totals.get(team, (0.0, 0.0))
                totals[team] = (old_rate + rate, old_running + running)
        return tuple((team, *total) for team, total in totals.items())


def _find_changed(link: _Link, view: View, roster: Roster) -> dict[Peer, Member]:
    """Return the members that changed, or entered the view, lately."""
    version, peers = link.told[0]
    changed = {peer_of(member): member for member in roster.since(version)}
    chosen = {peer: member for peer, member in changed.items() if peer in view.peers}
    for peer in view.peers - peers if view.peers is not peers else ():
        chosen[peer] = roster.get(peer)
    return chosen
