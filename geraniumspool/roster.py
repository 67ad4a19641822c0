"""Roster: all members known to one process.

Members are the entries and agents, identified by address and incarnation.

Precedence of reports about one incarnation:

* Of two states that a member reported of itself, the one with the higher
  version is newer. Within one version, states only move forward: starting,
  then ready or ejected (either way), then leaving, then left or dead.
* ``left`` is final. ``dead`` may still become ``left``, which adds the address
  of the archive that holds the member's records. It becomes another state only
  by a report that may revive the member: a message of the process itself, or a
  report relayed from the entry that receives its heartbeats. Safety does not
  depend on ``dead`` being final.
* Reports of a process about itself take precedence over reports of others, as
  long as its own are received.

Two incarnations at one address: incarnations are random numbers, so they do
not show which one is newer. The one that was heard directly last is current.
If neither was, it is the one that became known last, and a known incarnation
that was replaced does not return by indirect reports while its successor
lives. The next direct heartbeat corrects an error in this. An agent receives
no heartbeats and accepts the reports of the entry that it sends its own to.
An incarnation that is not current is ``dead``, unless it has ``left``.
"""

from collections.abc import Callable, Iterable

from geraniumspool.candidates import Candidates
from geraniumspool.contracts import Clock
from geraniumspool.members import ROLE_AGENT, ROLE_ENTRY, is_final, peer_of
from geraniumspool.messages import (
    MEMBER_DEAD,
    MEMBER_EJECTED,
    MEMBER_LEAVING,
    MEMBER_LEFT,
    MEMBER_READY,
    MEMBER_STARTING,
    Load,
    Member,
    Peer,
)
from geraniumspool.sighting import ReportOrigin

# How long members that are dead or have left are kept.
FINAL_RETENTION_MS = 600_000.0

# Order of the states within one version: a state is replaced only by one of the same
# or a higher rank.
_RANKS = {
    MEMBER_STARTING: 0,
    MEMBER_READY: 1,
    MEMBER_EJECTED: 1,
    MEMBER_LEAVING: 2,
    MEMBER_DEAD: 3,
    MEMBER_LEFT: 4,
}
_NO_LOAD = Load()


class _MemberRecord:
    """A member with what this process knows about it.

    :ivar origin: from whom and when this process last learned about the member
    :ivar version: version of the roster at the member's last change
    :ivar final_ms: when the member became dead or left
    """

    __slots__ = ("peer", "member", "origin", "version", "final_ms")

    def __init__(self, peer: Peer, member: Member):
        self.peer = peer
        self.member = member
        self.origin = ReportOrigin()
        self.version = 0
        self.final_ms = 0.0


class Roster:
    """All members known to one process, with indexes for frequent queries.

    :ivar domain: failure domain of this process
    :ivar version: incremented with each change of a member other than of its load
    :ivar source_changes: incremented when the source of the reports about a member changes
    :ivar unreachable: failure domains whose members are not chosen
    """

    def __init__(self, clock: Clock, domain: str, retention_ms: float = FINAL_RETENTION_MS):
        """Create an empty roster with all failure domains reachable.

        :param clock: source of time
        :param domain: failure domain of this process
        :param retention_ms: how long members that are dead or have left are
            kept, in milliseconds
        """
        self.domain = domain
        self.version = 0
        self.source_changes = 0
        self.unreachable: frozenset[str] = frozenset()
        self._clock = clock
        self._retention_ms = retention_ms
        self._forgotten_version = 0
        # Ordered by each member's last change, so that a suffix holds all later changes.
        self._records: dict[Peer, _MemberRecord] = {}
        self._incarnations: dict[int, Peer] = {}
        # The current incarnation at each address.
        self._current: dict[str, Peer] = {}
        self._candidates = Candidates()
        # Cached result of ``domains`` and the version for which it was computed.
        self._domains: tuple[int, tuple[str, ...]] = (-1, ())
        self._callbacks: list[Callable[[Member], None]] = []

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Register a callback for changes of members.

        :param callback: called with the changed member, but not for a change
            of only its load; must not block
        """
        self._callbacks.append(callback)

    def apply_indirect(self, member: Member, revive: bool = False) -> bool:
        """Handle a report about a member that another process sent.

        :param member: the member as reported
        :param revive: whether the report may revive a dead member
        :returns: whether anything but the load changed
        """
        peer = peer_of(member)
        record = self._records.get(peer)
        if record is None:
            return self._add(peer, member)
        return self._update(record, member, revive)

    def apply_authoritative(self, member: Member) -> bool:
        """Handle a report from the entry that serves this agent, which is authoritative.

        It may revive a dead member, even one with a living successor at its address.

        :returns: whether anything but the load changed
        """
        record = self._records.get(peer_of(member))
        if record is None:
            return self._add(peer_of(member), member)
        return self._update(record, member, revive=True, override_successor=True)

    def update_load(self, address: str, incarnation: int, load: Load) -> bool:
        """Update the load of a member.

        :returns: whether the member is known
        """
        record = self._records.get(Peer(address, incarnation))
        if record is None:
            return False
        self._store(record, record.member._replace(load=load))
        return True

    def apply_direct(self, member: Member) -> bool:
        """Handle a report that a process just sent about itself.

        It may revive a dead member, and makes its incarnation current.

        :returns: whether anything but the load changed
        """
        peer = peer_of(member)
        record = self._records.get(peer)
        if record is None:
            changed = self._add(peer, member)
        else:
            changed = self._update(record, member, revive=True, override_successor=True)
        self._record_origin(peer, ReportOrigin(heard_ms=self._clock.now()))
        return changed

    def apply_direct_load(self, peer: Peer, version: int, load: Load) -> Member | None:
        """Handle a heartbeat that carries only a load.

        :param peer: the process that sent it
        :param version: version of the state that the process has
        :returns: the member, or None if the process has to send its whole state
        """
        record = self._records.get(peer)
        if record is None or record.member.version != version:
            return None
        if is_final(record.member) or not record.origin.is_direct:
            return None
        self._store(record, record.member._replace(load=load))
        self._replace_origin(record, ReportOrigin(heard_ms=self._clock.now()))
        return record.member

    def apply_relayed(self, member: Member, source: Peer) -> bool:
        """Handle a report from a process that hears the member, directly or through another.

        :param source: the process that sent the report
        :returns: whether anything but the load changed
        """
        peer = peer_of(member)
        record = self._records.get(peer)
        now = self._clock.now()
        if record is None:
            changed = self._add(peer, member)
            self._record_origin(peer, ReportOrigin(source, relayed_ms=now))
            return changed
        origin = record.origin
        is_alive = not is_final(record.member)
        if origin.is_direct and is_alive:
            return self._relay_direct_member(record, member, source)
        if member.state == MEMBER_DEAD and is_alive and self._has_other_source(origin, source):
            return False
        changed = self._update(record, member, revive=True)
        if changed or not is_final(member):
            self._record_origin(peer, ReportOrigin(source, relayed_ms=now))
        return changed

    def start_timeout(self, peer: Peer) -> None:
        """Start the timeout of a member now, as if it had just been heard."""
        self._record_origin(peer, ReportOrigin(heard_ms=self._clock.now()))

    def origin(self, peer: Peer) -> ReportOrigin:
        """Return the origin of the reports about a member, empty if the member is unknown."""
        record = self._records.get(peer)
        return record.origin if record else ReportOrigin()

    def expire_silent(
        self, timeout_ms: float, relayed_timeout_ms: float | None = None
    ) -> list[Member]:
        """Declare members dead that were silent for too long.

        A silent member is not declared dead but passed to another process as
        its source if that process has heard it since, or if the member belongs
        to another failure domain that has a living entry.

        :param timeout_ms: longest silence of a member that is heard directly
        :param relayed_timeout_ms: longest time without a report about a member of
            this failure domain that another process hears, or None for no limit
        :returns: the members declared dead
        """
        now = self._clock.now()
        declared_dead = []
        for record in list(self._records.values()):
            if is_final(record.member) or not self._is_silent(
                record, now, timeout_ms, relayed_timeout_ms
            ):
                continue
            if not self._assign_other_source(record, now):
                self._update(record, record.member._replace(state=MEMBER_DEAD))
                declared_dead.append(record.member)
        return declared_dead

    def forget_final(self) -> None:
        """Drop members that have been dead, or have left, for longer than ``retention_ms``."""
        limit = self._clock.now() - self._retention_ms
        for peer, record in list(self._records.items()):
            if is_final(record.member) and record.final_ms <= limit:
                self._drop(peer, record)

    def drop_foreign(self, addresses: Iterable[str]) -> None:
        """Drop agents of other failure domains that are no longer reported.

        :param addresses: addresses of the agents
        """
        chosen = set(addresses)
        if chosen:
            self._drop_foreign(lambda peer: peer.address in chosen)

    def keep_foreign(self, peers: Iterable[Peer]) -> None:
        """Drop all agents of other failure domains except some; see :meth:`drop_foreign`.

        :param peers: the agents to keep
        """
        kept = set(peers)
        self._drop_foreign(lambda peer: peer not in kept)

    def _drop_foreign(self, is_chosen: Callable[[Peer], bool]) -> None:
        for peer, record in list(self._records.items()):
            member = record.member
            is_foreign = member.role == ROLE_AGENT and member.domain != self.domain
            if is_foreign and not is_final(member) and is_chosen(peer):
                self._candidates.remove(member)
                self._drop(peer, record)

    def covers(self, version: int) -> bool:
        """Return whether :meth:`changes_since` can return only the changes after a version."""
        return 0 < version <= self.version and version >= self._forgotten_version

    def changes_since(self, version: int) -> tuple[Member, ...]:
        """Return the members that changed after a version, the oldest change first.

        :param version: an earlier value of :attr:`version`; the whole roster is
            returned if changes after it are no longer known
        """
        if not self.covers(version):
            return tuple(record.member for record in self._records.values())
        changed = []
        for record in reversed(self._records.values()):
            if record.version <= version:
                break
            changed.append(record.member)
        return tuple(reversed(changed))

    def get(self, peer: Peer) -> Member | None:
        """Return a member, or None if it is unknown."""
        record = self._records.get(peer)
        return record.member if record else None

    def find_incarnation(self, incarnation: int) -> Member | None:
        """Return the member with a given incarnation, or None."""
        peer = self._incarnations.get(incarnation)
        return self._records[peer].member if peer else None

    def agents(self, service: str, domain: str | None = None) -> list[Member]:
        """Return the ready agents of a service, except those of unreachable domains.

        :param domain: failure domain of the agents, or None for all
        """
        return self._candidates.list_agents(service, domain, self.unreachable)

    def set_unreachable(self, domains: Iterable[str]) -> None:
        """Set the failure domains that cannot be reached; the own one is never among them.

        Their members keep their states, but are not chosen.
        """
        self.unreachable = frozenset(domains) - {self.domain}

    def entries(self) -> list[Member]:
        """Return the entries that are neither dead nor left."""
        return list(self._candidates.entries.values())

    def members(self) -> list[Member]:
        """Return all members, including those that are dead or have left."""
        return [record.member for record in self._records.values()]

    def domains(self) -> tuple[str, ...]:
        """Return the names of the failure domains with living members, sorted."""
        version, names = self._domains
        if version != self.version:
            living = (r.member for r in self._records.values() if not is_final(r.member))
            names = tuple(sorted({member.domain for member in living}))
            self._domains = (self.version, names)
        return names

    def count(
        self,
        role: str | None = None,
        state: str | None = None,
        domain: str | None = None,
        service: str | None = None,
    ) -> int:
        """Return how many members match all criteria; None matches any value."""
        return sum(
            (role is None or member.role == role)
            and (state is None or member.state == state)
            and (domain is None or member.domain == domain)
            and (service is None or member.service == service)
            for member in self.members()
        )

    def is_gone(self, peer: Peer) -> bool:
        """Return whether a peer is known to be dead, to have left or to be replaced.

        An unknown incarnation is not gone: it may be newer than the known ones.
        """
        record = self._records.get(peer)
        return record is not None and is_final(record.member)

    def _record_origin(self, peer: Peer, origin: ReportOrigin) -> None:
        record = self._records.get(peer)
        if record:
            self._replace_origin(record, origin)

    def _replace_origin(self, record: _MemberRecord, origin: ReportOrigin) -> None:
        old = record.origin
        record.origin = origin
        if (
            old.source != origin.source
            or old.is_claimed != origin.is_claimed
            or old.is_direct != origin.is_direct
        ):
            self.source_changes += 1

    def _relay_direct_member(self, record: _MemberRecord, member: Member, source: Peer) -> bool:
        """Handle a relayed report about a living member that is heard directly here."""
        if member.state == MEMBER_DEAD:
            return False
        if member.role != ROLE_ENTRY:
            origin = record.origin._replace(claimant=source, claimed_ms=self._clock.now())
            self._replace_origin(record, origin)
        is_newer = member.version > record.member.version
        if not is_newer and _RANKS[member.state] <= _RANKS[record.member.state]:
            return False
        return self._update(record, member)

    def _has_other_source(self, origin: ReportOrigin, source: Peer) -> bool:
        return origin.source not in (None, source) and origin.source in self._candidates.entries

    def _is_silent(
        self, record: _MemberRecord, now: float, timeout_ms: float, relayed_timeout_ms: float | None
    ) -> bool:
        origin = record.origin
        if origin.heard_ms is not None:
            return now - origin.heard_ms > timeout_ms
        if relayed_timeout_ms is None or origin.relayed_ms is None:
            return False
        is_local = record.member.domain == self.domain
        return is_local and now - origin.relayed_ms > relayed_timeout_ms

    def _assign_other_source(self, record: _MemberRecord, now: float) -> bool:
        """Make another entry the source of a silent member; return whether one is responsible."""
        member = record.member
        origin = record.origin
        if origin.is_claimed and origin.claimant in self._candidates.entries:
            self._replace_origin(record, ReportOrigin(origin.claimant, relayed_ms=now))
            return True
        if member.domain == self.domain:
            return False
        for peer, entry in self._candidates.entries.items():
            if entry.domain == member.domain and peer != record.peer:
                self._replace_origin(record, ReportOrigin(peer, relayed_ms=now))
                return True
        return False

    def _add(self, peer: Peer, member: Member) -> bool:
        if not is_final(member):
            self._replace_current(peer)
        record = _MemberRecord(peer, member)
        self._records[peer] = record
        self._incarnations[member.incarnation] = peer
        self._current.setdefault(member.address, peer)
        self._change(record, member)
        return True

    def _update(
        self,
        record: _MemberRecord,
        member: Member,
        revive: bool = False,
        override_successor: bool = False,
    ) -> bool:
        if not self._may_update(record, member, revive, override_successor):
            return False
        if member._replace(load=_NO_LOAD) == record.member._replace(load=_NO_LOAD):
            self._store(record, member)
            return False
        if not is_final(member):
            self._replace_current(record.peer)
        self._change(record, member)
        return True

    def _may_update(
        self, record: _MemberRecord, member: Member, revive: bool, override_successor: bool
    ) -> bool:
        old = record.member
        if old.state == MEMBER_LEFT:
            return member.state == MEMBER_LEFT and bool(member.archive) and not old.archive
        if old.state == MEMBER_DEAD and not is_final(member):
            return revive and (override_successor or not self._has_living_successor(record.peer))
        if not is_final(member) and member.version != old.version:
            return member.version > old.version
        return _RANKS[member.state] >= _RANKS[old.state]

    def _has_living_successor(self, peer: Peer) -> bool:
        current = self._current.get(peer.address, peer)
        return current != peer and not is_final(self._records[current].member)

    def _replace_current(self, peer: Peer) -> None:
        """Make an incarnation the current one at its address; a previous one becomes dead."""
        old = self._current.get(peer.address)
        self._current[peer.address] = peer
        if old is None or old == peer:
            return
        record = self._records[old]
        if not is_final(record.member):
            self._change(record, record.member._replace(state=MEMBER_DEAD))

    def _change(self, record: _MemberRecord, member: Member) -> None:
        """Store a changed member under a new version and call the callbacks."""
        self.version += 1
        record.version = self.version
        self._records[record.peer] = self._records.pop(record.peer)
        self._candidates.remove(record.member)
        self._store(record, member)
        if is_final(member):
            record.final_ms = self._clock.now()
            if member.role == ROLE_ENTRY:
                self._start_orphan_timeouts(record.peer)
        for callback in self._callbacks:
            callback(member)

    def _start_orphan_timeouts(self, source: Peer) -> None:
        """Start the timeouts of local members whose source, an entry, is gone."""
        now = self._clock.now()
        for record in self._records.values():
            if record.origin.source == source and record.member.domain == self.domain:
                record.origin = record.origin._replace(heard_ms=now)

    def _store(self, record: _MemberRecord, member: Member) -> None:
        """Store a member without a new version, as for a change of its load."""
        record.member = member
        self._candidates.add(member)

    def _drop(self, peer: Peer, record: _MemberRecord) -> None:
        del self._records[peer]
        self._forgotten_version = max(self._forgotten_version, record.version)
        if self._incarnations.get(peer.incarnation) == peer:
            del self._incarnations[peer.incarnation]
        if self._current.get(peer.address) == peer:
            del self._current[peer.address]
