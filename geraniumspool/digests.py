"""Digests, the gossip messages between entries: their receivers and contents.

A digest carries the members that changed recently, so that each change is sent
several times, and a few further members in rotation, which refreshes their
loads and makes up for lost digests. An entry of a failure domain that was
unreachable is sent all members. Of the teams' demand, a digest carries the
changes, and all of it at intervals. Some rounds are skipped towards other
failure domains if nothing changed.

One entry of each failure domain, its representative, reports the members and
the demand of the whole domain to other domains.
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from geraniumspool.contracts import Messenger
from geraniumspool.heartbeat import rendezvous_hash
from geraniumspool.members import peer_of
from geraniumspool.messages import MEMBER_LEAVING, Digest, Member, Peer
from geraniumspool.replies import Replies
from geraniumspool.reports import Demand, EntryReports, find_demand_changes
from geraniumspool.revisions import FOREIGN_DIGEST_ROUNDS, Revisions
from geraniumspool.roster import Roster
from geraniumspool.views import MemberSelection, MemberSelections

# Members in rotation per digest within the failure domain, and to other domains.
REFRESH_PER_DIGEST = 16
FOREIGN_REFRESH_PER_DIGEST = 2
# Number of digests to a receiver that carry the same change.
DIGESTS_PER_CHANGE = 8
# Every such digest to a receiver carries the demand of all teams.
DEMAND_REFRESH_DIGESTS = 16


class _Contents(NamedTuple):
    """Contents of the digests to one kind of receivers, made once a round.

    :param local: whether the receivers are in the failure domain of this entry
    :param selection: members to report
    :param demand: demand of the teams
    :param in_force: lowest configuration revision in force, by failure domain
    """

    local: bool
    selection: MemberSelection
    demand: Demand
    in_force: tuple[tuple[str, int], ...]


class _Progress:
    """Progress of the digests to one receiver.

    :ivar number: sequence number of the receiver, so that digests with all demand
        do not go to all receivers in the same round
    :ivar sent_selections: roster version and reported members of the latest digests
    :ivar demand: demand in the latest digest
    :ivar digests: number of digests sent
    :ivar state: state at the latest digest, see ``Digests._state``
    :ivar rounds: rounds since the latest digest
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.sent_selections: deque[tuple[int, frozenset[Peer]]] = deque(maxlen=DIGESTS_PER_CHANGE)
        self.demand: Demand = ()
        self.digests = 0
        self.state: tuple = ()
        self.rounds = 0


class Digests:
    """Sends the members, demand and configuration known to this entry to other entries."""

    def __init__(
        self,
        messenger: Messenger,
        roster: Roster,
        configuration: Any,
        me: Callable[[], Member],
        replies: Replies,
        reports: EntryReports,
        revisions: Revisions,
        demand: Callable[[], Demand],
    ):
        """Start without receivers.

        :param configuration: has ``revision``
        :param me: returns the present state of this entry
        :param replies: provides configuration documents, and knows whether agents
            of other failure domains send their heartbeats here
        :param reports: the latest reports of other entries
        :param revisions: configuration revisions in force, by failure domain
        :param demand: returns the demand at this entry: tasks per second and
            running tasks, by team
        """
        self._messenger = messenger
        self._roster = roster
        self._configuration = configuration
        self._me = me
        self._replies = replies
        self._reports = reports
        self._revisions = revisions
        self._demand = demand
        self._selections = MemberSelections(roster, messenger.local_peer)
        self._progress: dict[Peer, _Progress] = {}
        self._unreachable: frozenset[str] = frozenset()

    def send_all(self) -> None:
        """Send a digest to each receiver for which one is due."""
        self._resend_to_reachable_domains()
        contents: dict[bool, _Contents] = {}
        for entry in list(self._list_receivers()):
            local = entry.domain == self._roster.domain
            if local not in contents:
                contents[local] = self._make_contents(local)
            if local or self._is_due(entry, contents[local]):
                self._send(entry, contents[local])

    def answer(self, receiver: Member) -> None:
        """Answer a digest that requested one."""
        local = receiver.domain == self._roster.domain
        self._send(receiver, self._make_contents(local), answer=True)

    def request_digest(self, peer: Peer) -> None:
        """Request a digest from a process; report nothing but this entry itself."""
        revision = self._configuration.revision
        self._messenger.send(peer, Digest(self._me(), False, (), (), (), revision, (), reply=True))

    def prune(self, living: set[Peer]) -> None:
        """Forget the receivers that are gone.

        :param living: the entries to keep
        """
        for peer in [peer for peer in self._progress if peer not in living]:
            del self._progress[peer]

    def _resend_to_reachable_domains(self) -> None:
        """Have all members sent to entries of failure domains that are reachable again."""
        for domain in self._unreachable - self._roster.unreachable:
            for peer, progress in self._progress.items():
                entry = self._roster.get(peer)
                if entry and entry.domain == domain:
                    progress.sent_selections.clear()
        self._unreachable = self._roster.unreachable

    def _list_receivers(self) -> Iterator[Member]:
        own = self._messenger.local_peer
        foreign: dict[str, list[Member]] = {}
        for entry in self._roster.entries():
            if entry.domain != self._roster.domain:
                foreign.setdefault(entry.domain, []).append(entry)
            elif peer_of(entry) != own:
                yield entry
        if not self._is_representative() and not self._replies.has_foreign_agents():
            return
        for entries in foreign.values():
            staying = [e for e in entries if e.state != MEMBER_LEAVING] or entries
            yield min(staying, key=lambda entry: rendezvous_hash(own.address, entry.address))

    def _is_representative(self) -> bool:
        local = [e.address for e in self._roster.entries() if e.domain == self._roster.domain]
        return self._messenger.local_peer.address <= min(
            local, default=self._messenger.local_peer.address
        )

    def _make_contents(self, local: bool) -> _Contents:
        if local:
            revisions = self._revisions.local()
            return _Contents(
                local, self._selections.local(), self._demand(), tuple(revisions.items())
            )
        is_representative = self._is_representative()
        revisions = self._revisions.foreign(is_representative)
        demand = self._sum_domain_demand() if is_representative else ()
        return _Contents(
            local, self._selections.foreign(is_representative), demand, tuple(revisions.items())
        )

    def _is_due(self, receiver: Member, contents: _Contents) -> bool:
        progress = self._progress.get(peer_of(receiver))
        if progress is None or not progress.sent_selections:
            return True
        progress.rounds += 1
        return progress.rounds >= FOREIGN_DIGEST_ROUNDS or progress.state != self._state(contents)

    def _state(self, contents: _Contents) -> tuple:
        """Return the state that makes a digest due when it changes."""
        return (self._me(), self._configuration.revision, self._roster.version, *contents)

    def _send(self, receiver: Member, contents: _Contents, answer: bool = False) -> None:
        peer = peer_of(receiver)
        progress = self._progress.setdefault(peer, _Progress(len(self._progress)))
        whole = not progress.sent_selections
        version = self._roster.version
        report = self._reports.get(peer)
        known_revision = report.config_revision if report else None
        is_behind = known_revision is None or known_revision < self._configuration.revision
        is_refresh_due = (progress.digests + progress.number) % DEMAND_REFRESH_DIGESTS == 0
        all_demand = whole or is_refresh_due
        digest = Digest(
            sender=self._me(),
            whole=whole,
            members=self._choose_members(progress, contents),
            demand=contents.demand
            if all_demand
            else find_demand_changes(progress.demand, contents.demand),
            in_force=contents.in_force,
            config_revision=self._configuration.revision,
            documents=()
            if known_revision is None
            else self._replies.next_documents(known_revision),
            reply=is_behind and not answer,
            all_demand=all_demand,
        )
        if self._messenger.send(peer, digest):
            progress.sent_selections.append((version, contents.selection.peers))
            progress.demand = contents.demand
            progress.digests += 1
            progress.state, progress.rounds = self._state(contents), 0

    def _choose_members(self, progress: _Progress, contents: _Contents) -> tuple[Member, ...]:
        order = contents.selection.order
        if not progress.sent_selections:
            chosen = {peer: self._roster.get(peer) for peer in order}
        else:
            chosen = _find_changed(progress, contents.selection, self._roster)
            size = REFRESH_PER_DIGEST if contents.local else FOREIGN_REFRESH_PER_DIGEST
            for step in range(min(size, len(order))):
                peer = order[(progress.digests * size + step) % len(order)]
                chosen[peer] = self._roster.get(peer)
        return tuple(member for member in chosen.values() if member)

    def _sum_domain_demand(self) -> Demand:
        totals: dict[str, tuple[float, float]] = {}
        own = self._roster.domain
        reported = [
            report.demand for _, report in self._reports.list_fresh() if report.domain == own
        ]
        for demand in [self._demand(), *reported]:
            for team, rate, running in demand:
                old_rate, old_running = totals.get(team, (0.0, 0.0))
                totals[team] = (old_rate + rate, old_running + running)
        return tuple((team, *total) for team, total in totals.items())


def _find_changed(
    progress: _Progress, selection: MemberSelection, roster: Roster
) -> dict[Peer, Member]:
    """Return the members that changed or entered the selection during the latest digests."""
    version, peers = progress.sent_selections[0]
    changed = {peer_of(member): member for member in roster.changes_since(version)}
    chosen = {peer: member for peer, member in changed.items() if peer in selection.peers}
    for peer in selection.peers - peers if selection.peers is not peers else ():
        chosen[peer] = roster.get(peer)
    return chosen
