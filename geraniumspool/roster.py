"""Roster of all members that one process knows.

How news about one incarnation takes precedence:

* Of two states that a member told of itself, the one of its higher version is
  newer. At one version, states only move forward: starting, then ready or
  ejected (either way), then leaving, then left or dead.
* ``left`` is final. ``dead`` may still become ``left``, which adds where the
  records went; it becomes anything else only by news that may revive: the
  process itself was heard, or news came down from the entry that hears it.
  Nothing depends on ``dead`` being final for safety.
* What a process says of itself prevails over what others say of it, for as
  long as it is heard.

Two incarnations at one address: incarnations are random numbers, so they do
not tell which is newer. The one that was heard directly last is current;
without such news it is the one first heard of last, and an incarnation that
was known and replaced does not come back by hearsay while its successor
lives. An error in this corrects itself with the next direct heartbeat; an
agent, which hears no other, takes what the entry that it follows says. The
incarnation that is not current is ``dead``, unless it has ``left``.
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
from geraniumspool.sighting import Sighting

REMEMBER_MS = 600_000.0

_RANKS = {
    MEMBER_STARTING: 0,
    MEMBER_READY: 1,
    MEMBER_EJECTED: 1,
    MEMBER_LEAVING: 2,
    MEMBER_DEAD: 3,
    MEMBER_LEFT: 4,
}
_NO_LOAD = Load()


class _Record:
    __slots__ = ("peer", "member", "sighting", "version", "final_ms")

    def __init__(self, peer: Peer, member: Member):
        self.peer = peer
        self.member = member
        self.sighting = Sighting()
        self.version = 0
        self.final_ms = 0.0


class Roster:
    """All members known to one process, with indexes for quick queries.

    :ivar version: raised with each change of a member, but of its load alone
    :ivar moves: raised when another process becomes the source of news about a member
    :ivar unreachable: failure domains whose members are no candidates
    """

    def __init__(self, clock: Clock, domain: str, remember_ms: float = REMEMBER_MS):
        """Start without any member and with no failure domain unreachable.

        :param clock: source of time
        :param domain: failure domain of this process
        :param remember_ms: how long dead members and those that left are kept
        """
        self.domain = domain
        self.version = 0
        self.moves = 0
        self.unreachable: frozenset[str] = frozenset()
        self._clock = clock
        self._remember_ms = remember_ms
        self._forgotten_version = 0
        # In the order of each member's last change, so that a suffix is a delta.
        self._records: dict[Peer, _Record] = {}
        self._incarnations: dict[int, Peer] = {}
        self._current: dict[str, Peer] = {}
        self._candidates = Candidates()
        self._domains: tuple[int, tuple[str, ...]] = (-1, ())
        self._callbacks: list[Callable[[Member], None]] = []

    def subscribe(self, callback: Callable[[Member], None]) -> None:
        """Call ``callback`` with each member whose membership changes.

        :param callback: must not block; a change of load alone is not reported
        """
        self._callbacks.append(callback)

    def observe(self, member: Member, revive: bool = False) -> bool:
        """Take news of a member that some other process sent.

        :param member: the member as the news has it
        :param revive: whether the news may bring a dead member back
        :returns: whether membership changed, that is anything but the load
        """
        peer = peer_of(member)
        record = self._records.get(peer)
        if record is None:
            return self._admit(peer, member)
        return self._advance(record, member, revive)

    def follow(self, member: Member) -> bool:
        """Take news from the entry that this process follows, which knows better.

        It may bring a dead member back, also in the place of its successor.

        :returns: whether membership changed, that is anything but the load
        """
        record = self._records.get(peer_of(member))
        if record is None:
            return self._admit(peer_of(member), member)
        return self._advance(record, member, revive=True, prevail=True)

    def observe_load(self, address: str, incarnation: int, load: Load) -> bool:
        """Take a member's load.

        :returns: whether the member is known
        """
        record = self._records.get(Peer(address, incarnation))
        if record is None:
            return False
        self._put(record, record.member._replace(load=load))
        return True

    def hear(self, member: Member) -> bool:
        """Take what a process said of itself, now, to this process.

        It may bring back a dead member, and makes its incarnation current.

        :returns: whether membership changed
        """
        peer = peer_of(member)
        record = self._records.get(peer)
        if record is None:
            changed = self._admit(peer, member)
        else:
            changed = self._advance(record, member, revive=True, prevail=True)
        self._see(peer, Sighting(heard_ms=self._clock.now()))
        return changed

    def hear_again(self, peer: Peer, version: int, load: Load) -> Member | None:
        """Take that a process which was heard has nothing new but its load.

        :param version: its version as it has it
        :returns: the member, or None where it has to be heard whole
        """
        record = self._records.get(peer)
        if record is None or record.member.version != version:
            return None
        if is_final(record.member) or not record.sighting.direct:
            return None
        self._put(record, record.member._replace(load=load))
        self._set_sighting(record, Sighting(heard_ms=self._clock.now()))
        return record.member

    def relay(self, member: Member, source: Peer) -> bool:
        """Take news from a process that hears the member, or is told by one that does.

        :param source: the process that the news came from
        :returns: whether membership changed
        """
        peer = peer_of(member)
        record = self._records.get(peer)
        now = self._clock.now()
        if record is None:
            changed = self._admit(peer, member)
            self._see(peer, Sighting(source, learnt_ms=now))
            return changed
        sighting = record.sighting
        alive = not is_final(record.member)
        if sighting.direct and alive:
            return self._relay_heard(record, member, source)
        if member.state == MEMBER_DEAD and alive and self._has_other_source(sighting, source):
            return False
        changed = self._advance(record, member, revive=True)
        if changed or not is_final(member):
            self._see(peer, Sighting(source, learnt_ms=now))
        return changed

    def watch(self, peer: Peer) -> None:
        """Let a member's silence count from now, as if it had been heard."""
        self._see(peer, Sighting(heard_ms=self._clock.now()))

    def sighting(self, peer: Peer) -> Sighting:
        """Return how a member is known; an empty sighting where it is not."""
        record = self._records.get(peer)
        return record.sighting if record else Sighting()

    def expire(self, timeout_ms: float, learnt_timeout_ms: float | None = None) -> list[Member]:
        """Declare members dead that were silent for too long.

        Members of other failure domains are left to their own entries, if
        there are any. A member that somebody else has heard since is left to
        them.

        :param timeout_ms: longest silence of a member heard directly
        :param learnt_timeout_ms: longest time without mention of a member of
            this failure domain that another process hears, or None for no limit
        :returns: the members declared dead
        """
        now = self._clock.now()
        dead = []
        for record in list(self._records.values()):
            if is_final(record.member) or not self._is_silent(
                record, now, timeout_ms, learnt_timeout_ms
            ):
                continue
            if not self._hand_over(record, now):
                self._advance(record, record.member._replace(state=MEMBER_DEAD))
                dead.append(record.member)
        return dead

    def forget(self) -> None:
        """Drop members that have been dead, or left, for the time to remember them."""
        limit = self._clock.now() - self._remember_ms
        for peer, record in list(self._records.items()):
            if is_final(record.member) and record.final_ms <= limit:
                self._drop(peer, record)

    def release(self, addresses: Iterable[str]) -> None:
        """Drop agents of other failure domains that nobody tells of any more.

        :param addresses: where they are
        """
        chosen = set(addresses)
        if chosen:
            self._drop_foreign(lambda peer: peer.address in chosen)

    def keep_foreign(self, peers: Iterable[Peer]) -> None:
        """Drop all agents of other failure domains but some, as :meth:`release` does.

        :param peers: those to keep
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
        """Return whether :meth:`since` has all changes after ``version``."""
        return 0 < version <= self.version and version >= self._forgotten_version

    def since(self, version: int) -> tuple[Member, ...]:
        """Return the members changed after a version, the oldest change first.

        :param version: a value that :attr:`version` had, else the whole roster is returned
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
        """Return a member, or None where it is not known."""
        record = self._records.get(peer)
        return record.member if record else None

    def find_incarnation(self, incarnation: int) -> Member | None:
        """Return the member with an incarnation, or None."""
        peer = self._incarnations.get(incarnation)
        return self._records[peer].member if peer else None

    def agents(self, service: str, domain: str | None = None) -> list[Member]:
        """Return the ready agents of a service, without those of unreachable domains.

        :param domain: failure domain to stay in, or None for all
        """
        return self._candidates.list_agents(service, domain, self.unreachable)

    def set_unreachable(self, domains: Iterable[str]) -> None:
        """Take which failure domains nothing is heard of; the own one never is.

        Their members stay what they are, but are no candidates.
        """
        self.unreachable = frozenset(domains) - {self.domain}

    def entries(self) -> list[Member]:
        """Return the entries that are neither dead nor left."""
        return list(self._candidates.entries.values())

    def members(self) -> list[Member]:
        """Return all members, dead ones and those that left included."""
        return [record.member for record in self._records.values()]

    def domains(self) -> tuple[str, ...]:
        """Return the failure domains with living members, in order of name."""
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
        """Return how many members match; None matches all."""
        return sum(
            (role is None or member.role == role)
            and (state is None or member.state == state)
            and (domain is None or member.domain == domain)
            and (service is None or member.service == service)
            for member in self.members()
        )

    def is_gone(self, peer: Peer) -> bool:
        """Return whether a peer is known to be dead, left or replaced.

        An unknown incarnation is not gone: it may be newer than what is known.
        """
        record = self._records.get(peer)
        return record is not None and is_final(record.member)

    def _see(self, peer: Peer, sighting: Sighting) -> None:
        record = self._records.get(peer)
        if record:
            self._set_sighting(record, sighting)

    def _set_sighting(self, record: _Record, sighting: Sighting) -> None:
        old = record.sighting
        record.sighting = sighting
        if (
            old.source != sighting.source
            or old.claimed != sighting.claimed
            or old.direct != sighting.direct
        ):
            self.moves += 1

    def _relay_heard(self, record: _Record, member: Member, source: Peer) -> bool:
        if member.state == MEMBER_DEAD:
            return False
        if member.role != ROLE_ENTRY:
            claimed = record.sighting._replace(claimant=source, claimed_ms=self._clock.now())
            self._set_sighting(record, claimed)
        is_newer = member.version > record.member.version
        if not is_newer and _RANKS[member.state] <= _RANKS[record.member.state]:
            return False
        return self._advance(record, member)

    def _has_other_source(self, sighting: Sighting, source: Peer) -> bool:
        return sighting.source not in (None, source) and sighting.source in self._candidates.entries

    def _is_silent(
        self, record: _Record, now: float, timeout_ms: float, learnt_timeout_ms: float | None
    ) -> bool:
        sighting = record.sighting
        if sighting.heard_ms is not None:
            return now - sighting.heard_ms > timeout_ms
        if learnt_timeout_ms is None or sighting.learnt_ms is None:
            return False
        local = record.member.domain == self.domain
        return local and now - sighting.learnt_ms > learnt_timeout_ms

    def _hand_over(self, record: _Record, now: float) -> bool:
        member = record.member
        sighting = record.sighting
        if sighting.claimed and sighting.claimant in self._candidates.entries:
            self._set_sighting(record, Sighting(sighting.claimant, learnt_ms=now))
            return True
        if member.domain == self.domain:
            return False
        for peer, entry in self._candidates.entries.items():
            if entry.domain == member.domain and peer != record.peer:
                self._set_sighting(record, Sighting(peer, learnt_ms=now))
                return True
        return False

    def _admit(self, peer: Peer, member: Member) -> bool:
        if not is_final(member):
            self._replace_current(peer)
        record = _Record(peer, member)
        self._records[peer] = record
        self._incarnations[member.incarnation] = peer
        self._current.setdefault(member.address, peer)
        self._change(record, member)
        return True

    def _advance(
        self, record: _Record, member: Member, revive: bool = False, prevail: bool = False
    ) -> bool:
        if not self._may_advance(record, member, revive, prevail):
            return False
        if member._replace(load=_NO_LOAD) == record.member._replace(load=_NO_LOAD):
            self._put(record, member)
            return False
        if not is_final(member):
            self._replace_current(record.peer)
        self._change(record, member)
        return True

    def _may_advance(self, record: _Record, member: Member, revive: bool, prevail: bool) -> bool:
        old = record.member
        if old.state == MEMBER_LEFT:
            return member.state == MEMBER_LEFT and bool(member.archive) and not old.archive
        if old.state == MEMBER_DEAD and not is_final(member):
            return revive and (prevail or not self._is_succeeded(record.peer))
        if not is_final(member) and member.version != old.version:
            return member.version > old.version
        return _RANKS[member.state] >= _RANKS[old.state]

    def _is_succeeded(self, peer: Peer) -> bool:
        current = self._current.get(peer.address, peer)
        return current != peer and not is_final(self._records[current].member)

    def _replace_current(self, peer: Peer) -> None:
        old = self._current.get(peer.address)
        self._current[peer.address] = peer
        if old is None or old == peer:
            return
        record = self._records[old]
        if not is_final(record.member):
            self._change(record, record.member._replace(state=MEMBER_DEAD))

    def _change(self, record: _Record, member: Member) -> None:
        self.version += 1
        record.version = self.version
        self._records[record.peer] = self._records.pop(record.peer)
        self._candidates.remove(record.member)
        self._put(record, member)
        if is_final(member):
            record.final_ms = self._clock.now()
            if member.role == ROLE_ENTRY:
                self._watch_orphans(record.peer)
        for callback in self._callbacks:
            callback(member)

    def _watch_orphans(self, source: Peer) -> None:
        now = self._clock.now()
        for record in self._records.values():
            if record.sighting.source == source and record.member.domain == self.domain:
                record.sighting = record.sighting._replace(heard_ms=now)

    def _put(self, record: _Record, member: Member) -> None:
        record.member = member
        self._candidates.put(member)

    def _drop(self, peer: Peer, record: _Record) -> None:
        del self._records[peer]
        self._forgotten_version = max(self._forgotten_version, record.version)
        if self._incarnations.get(peer.incarnation) == peer:
            del self._incarnations[peer.incarnation]
        if self._current.get(peer.address) == peer:
            del self._current[peer.address]
