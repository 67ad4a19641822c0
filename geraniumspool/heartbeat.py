"""Heartbeats of an agent to the entries of its failure domain.

An agent beats at one entry. Which one follows from rendezvous hashing over
the living entries, so agents spread evenly and an entry's death moves only its
own agents. When replies stop, the agent goes to the next entry in its order
and back some periods later. To an entry that answered it says again only its
load, until something else changes.
"""

import hashlib
import random
from collections.abc import Callable, Iterable
from typing import Any

from geraniumspool.contracts import Clock, Messenger
from geraniumspool.members import is_final, peer_of
from geraniumspool.messages import (
    ANY_INCARNATION,
    MEMBER_DEAD,
    MEMBER_LEAVING,
    Heartbeat,
    HeartbeatReply,
    Load,
    Member,
    Peer,
    ShortHeartbeat,
)
from geraniumspool.roster import Roster

MISSED_REPLIES = 2
AVOID_PERIODS = 10
SHORT_HEARTBEATS = 30
JITTER = 0.1

_NO_LOAD = Load()


def weigh(name: str, address: str) -> bytes:
    """Return the sort key of rendezvous hashing.

    :param name: address of the process that chooses
    :param address: address it may choose
    """
    return hashlib.blake2b(f"{name}|{address}".encode(), digest_size=8).digest()


def is_foreign_news(member: Member, me: Peer) -> bool:
    """Return whether news is of another process, or of a past one at the own address.

    :param me: the process that received the news
    """
    return member.address != me.address or (
        member.incarnation != me.incarnation and is_final(member)
    )


class Heartbeater:
    """Tells entries of this agent's state, and takes their news."""

    def __init__(
        self,
        messenger: Messenger,
        roster: Roster,
        clock: Clock,
        describe: Callable[[], Member],
        configuration: Any,
        period_ms: float,
        generator: random.Random | None = None,
    ):
        """Connect the parts.

        :param messenger: what heartbeats are sent with
        :param roster: where members are recorded
        :param describe: returns this agent as it is now
        :param configuration: has ``revision`` and ``apply(documents)``
        :param period_ms: first period, until an entry names another
        :param generator: source of jitter, seeded by the own address by default
        """
        self.period_ms = period_ms
        self.last_contact_ms = 0.0
        self._messenger = messenger
        self._roster = roster
        self._clock = clock
        self._describe = describe
        self._configuration = configuration
        self._random = generator or random.Random(messenger.me.address)
        self._seeds: set[str] = set()
        self._avoided: dict[Peer, float] = {}
        self._target: Peer | None = None
        self._asked_ms: float | None = None
        self._seen_entry = 0
        self._seen_version = 0
        self._told: Member | None = None
        self._answered: tuple[Peer, Member | None] | None = None
        self._short_ones = 0

    @property
    def target(self) -> Peer | None:
        """The entry that the last heartbeat went to."""
        return self._target

    def add_entries(self, addresses: Iterable[str]) -> None:
        """Add inbox addresses of entries whose incarnation is not known yet."""
        self._seeds.update(addresses)

    def run(self) -> None:
        """Send heartbeats for ever, the first after a random part of a period."""
        self._clock.sleep(self._random.uniform(0.0, self.period_ms))
        while True:
            self.beat()
            spread = self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
            self._clock.sleep(self.period_ms * spread)

    def beat(self) -> None:
        """Send one heartbeat to the entry in charge of this agent."""
        now = self._clock.now()
        patience_ms = (MISSED_REPLIES - JITTER) * self.period_ms
        if self._asked_ms is not None and now - self._asked_ms >= patience_ms:
            self._avoided[self._target] = now + AVOID_PERIODS * self.period_ms
        target = self._choose(now)
        if target is None:
            return
        if target != self._target:
            self._target = target
            self._asked_ms = None
        if self._asked_ms is None:
            self._asked_ms = now
        served = target.incarnation != ANY_INCARNATION and target.incarnation == self._seen_entry
        known = (self._seen_entry, self._seen_version) if served else (0, 0)
        message = self._make_short(target) if served else None
        self._messenger.send(target, message or self._make(*known))

    def beat_now(self) -> None:
        """Send the present state to all known entries, at once.

        Entries that are not in charge of this agent see by the incarnation in
        the heartbeat who is, and do not reply.
        """
        self.beat()
        serving = self._target.incarnation if self._target else 0
        for entry in self._roster.entries():
            if entry.incarnation != serving:
                self._messenger.send(peer_of(entry), self._make(serving, 0))

    def take_reply(self, sender: Peer, reply: HeartbeatReply) -> None:
        """Take an entry's answer, or configuration that it sent unasked.

        Members are taken from the entry that this agent beats at, in the order
        of its versions: a later answer would not tell again what a late one undid.
        """
        self.last_contact_ms = self._clock.now()
        self._avoided.pop(sender, None)
        if self._follows(sender):
            self._target = sender
            self._asked_ms = None
            if not self._is_old(sender, reply):
                self._take_members(sender, reply)
        for address, incarnation, load in reply.loads:
            self._roster.observe_load(address, incarnation, load)
        if reply.again:
            self._answered = None
        if reply.period_ms > 0:
            self.period_ms = reply.period_ms
        if reply.again or self._take_documents(reply):
            self.beat()

    def _follows(self, sender: Peer) -> bool:
        return self._target in (None, sender, Peer(sender.address, ANY_INCARNATION))

    def _is_old(self, sender: Peer, reply: HeartbeatReply) -> bool:
        return sender.incarnation == self._seen_entry and reply.roster_version < self._seen_version

    def _take_members(self, sender: Peer, reply: HeartbeatReply) -> None:
        self._roster.set_unreachable(reply.unreachable)
        if reply.whole:
            self._roster.keep_foreign(map(peer_of, reply.members))
        self._roster.release(reply.released)
        for member in reply.members:
            if is_foreign_news(member, self._messenger.me):
                self._roster.follow(member)
        if reply.roster_version:
            self._answered = (sender, self._told)
            self._seen_entry = sender.incarnation
            self._seen_version = reply.roster_version

    def take_rejection(self, sender: Peer) -> None:
        """Take that an address now belongs to another incarnation.

        Addresses that are not known as an entry's are passed over.

        :param sender: the process that has the address now
        """
        known = [e for e in self._roster.entries() if e.address == sender.address]
        for entry in known:
            if entry.incarnation != sender.incarnation:
                self._roster.observe(entry._replace(state=MEMBER_DEAD))
        if known:
            self.add_entries([sender.address])

    def _take_documents(self, reply: HeartbeatReply) -> bool:
        """Take configuration; return whether the entry has more to send."""
        before = self._configuration.revision
        if reply.documents:
            self._configuration.apply(reply.documents)
        return before < self._configuration.revision < reply.config_revision

    def _make(self, entry: int, version: int) -> Heartbeat:
        member = self._describe()
        self._told = member._replace(load=_NO_LOAD)
        self._short_ones = 0
        member = member._replace(load=member.load.round_up())
        return Heartbeat(member, entry, version, self._configuration.revision)

    def _make_short(self, target: Peer) -> ShortHeartbeat | None:
        """Return a heartbeat without what the entry has been told, or None where it may lack it."""
        member = self._describe()
        told = (target, member._replace(load=_NO_LOAD))
        if told != self._answered or self._short_ones >= SHORT_HEARTBEATS:
            return None
        self._short_ones += 1
        return ShortHeartbeat(
            member.version,
            self._seen_version,
            self._configuration.revision,
            member.load.round_up(),
        )

    def _choose(self, now: float) -> Peer | None:
        order = self._order()
        for peer in order:
            if self._avoided.get(peer, 0.0) <= now:
                return peer
        self._avoided.clear()
        return order[0] if order else None

    def _order(self) -> list[Peer]:
        own = self._describe()
        living = [e for e in self._roster.entries() if e.state != MEMBER_LEAVING]
        ranked = sorted(living, key=lambda entry: weigh(own.address, entry.address))
        near = [peer_of(entry) for entry in ranked if entry.domain == own.domain]
        far = [peer_of(entry) for entry in ranked if entry.domain != own.domain]
        seeds = sorted(self._seeds, key=lambda address: weigh(own.address, address))
        return near + far + [Peer(address, ANY_INCARNATION) for address in seeds]
