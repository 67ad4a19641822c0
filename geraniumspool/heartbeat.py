"""Heartbeats of an agent to an entry.

An agent sends its heartbeats to one entry, preferably of its own failure
domain. Rendezvous hashing over the living entries chooses it, so agents spread
evenly, and the death of an entry moves only its own agents. When replies stop,
the agent switches to the next entry in its order and returns some periods
later. Once an entry has replied, further heartbeats to it carry only the load
until something else changes.
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

# Heartbeats without a reply after which the agent switches to another entry.
MISSED_REPLIES = 2
# Periods for which an entry that did not reply is avoided.
AVOID_PERIODS = 10
# Most short heartbeats in a row before a whole one is sent.
MAX_SHORT_HEARTBEATS = 30
# Largest random deviation of a period, relative to it.
JITTER = 0.1

_NO_LOAD = Load()


def rendezvous_hash(name: str, address: str) -> bytes:
    """Return the rendezvous hash of a pair; the candidate with the lowest one is chosen.

    :param name: address of the process that chooses
    :param address: address of the candidate
    """
    return hashlib.blake2b(f"{name}|{address}".encode(), digest_size=8).digest()


def concerns_other_process(member: Member, me: Peer) -> bool:
    """Return whether a member is another process, or an ended one at the own address.

    :param member: the member that was reported
    :param me: the process that received the report
    """
    return member.address != me.address or (
        member.incarnation != me.incarnation and is_final(member)
    )


class Heartbeater:
    """Sends heartbeats with this agent's state and handles the replies.

    :ivar period_ms: time between two heartbeats
    :ivar last_contact_ms: when the latest reply arrived
    """

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
        """Start without a chosen entry.

        :param messenger: sends the heartbeats
        :param roster: records the members in the replies
        :param describe: returns the present state of this agent
        :param configuration: has ``revision`` and ``apply(documents)``
        :param period_ms: initial period, until a reply sets another
        :param generator: source of jitter, seeded by the own address by default
        """
        self.period_ms = period_ms
        self.last_contact_ms = 0.0
        self._messenger = messenger
        self._roster = roster
        self._clock = clock
        self._describe = describe
        self._configuration = configuration
        self._random = generator or random.Random(messenger.local_peer.address)
        self._seeds: set[str] = set()
        self._avoided_until_ms: dict[Peer, float] = {}
        self._target: Peer | None = None
        self._unanswered_since_ms: float | None = None
        self._roster_entry = 0
        self._roster_version = 0
        self._sent_member: Member | None = None
        self._acknowledged: tuple[Peer, Member | None] | None = None
        self._short_count = 0

    @property
    def target(self) -> Peer | None:
        """Return the entry that heartbeats are sent to, or None before the first."""
        return self._target

    def add_entries(self, addresses: Iterable[str]) -> None:
        """Add inbox addresses of entries whose incarnations are not known yet."""
        self._seeds.update(addresses)

    def run(self) -> None:
        """Send heartbeats in an endless loop, the first after a random part of a period."""
        self._clock.sleep(self._random.uniform(0.0, self.period_ms))
        while True:
            self.send_heartbeat()
            factor = self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
            self._clock.sleep(self.period_ms * factor)

    def send_heartbeat(self) -> None:
        """Send one heartbeat to the chosen entry; choose another if replies are overdue."""
        now = self._clock.now()
        reply_timeout_ms = (MISSED_REPLIES - JITTER) * self.period_ms
        if (
            self._unanswered_since_ms is not None
            and now - self._unanswered_since_ms >= reply_timeout_ms
        ):
            self._avoided_until_ms[self._target] = now + AVOID_PERIODS * self.period_ms
        target = self._choose_target(now)
        if target is None:
            return
        if target != self._target:
            self._target = target
            self._unanswered_since_ms = None
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now
        else:
            self._messenger.reopen_unconfirmed(target, self._unanswered_since_ms)
        has_roster_version = (
            target.incarnation != ANY_INCARNATION and target.incarnation == self._roster_entry
        )
        known = (self._roster_entry, self._roster_version) if has_roster_version else (0, 0)
        message = self._make_short(target) if has_roster_version else None
        self._messenger.send(target, message or self._make(*known))

    def send_to_all_entries(self) -> None:
        """Send the present state to all known entries at once.

        The heartbeat names the incarnation of the entry that serves this
        agent; the other entries see that they do not and send no reply.
        """
        self.send_heartbeat()
        serving_incarnation = self._target.incarnation if self._target else 0
        for entry in self._roster.entries():
            if entry.incarnation != serving_incarnation:
                self._messenger.send(peer_of(entry), self._make(serving_incarnation, 0))

    def handle_reply(self, sender: Peer, reply: HeartbeatReply) -> None:
        """Handle a reply, which an entry may also send unasked to push configuration.

        Members are accepted only from the entry that heartbeats are sent to,
        and not from a reply older than the latest one: replies hold only
        changes, so no later one would correct what an old one had reverted.
        """
        self.last_contact_ms = self._clock.now()
        self._avoided_until_ms.pop(sender, None)
        if self._is_target(sender):
            self._target = sender
            self._unanswered_since_ms = None
            if not self._is_outdated(sender, reply):
                self._apply_members(sender, reply)
        for address, incarnation, load in reply.loads:
            self._roster.update_load(address, incarnation, load)
        if reply.again:
            self._acknowledged = None
        if reply.period_ms > 0:
            self.period_ms = reply.period_ms
        if reply.again or self._apply_documents(reply):
            self.send_heartbeat()

    def _is_target(self, sender: Peer) -> bool:
        return self._target in (None, sender, Peer(sender.address, ANY_INCARNATION))

    def _is_outdated(self, sender: Peer, reply: HeartbeatReply) -> bool:
        return (
            sender.incarnation == self._roster_entry and reply.roster_version < self._roster_version
        )

    def _apply_members(self, sender: Peer, reply: HeartbeatReply) -> None:
        self._roster.set_unreachable(reply.unreachable)
        if reply.whole:
            self._roster.keep_foreign(map(peer_of, reply.members))
        self._roster.drop_foreign(reply.released)
        for member in reply.members:
            if concerns_other_process(member, self._messenger.local_peer):
                self._roster.apply_authoritative(member)
        if reply.roster_version:
            self._acknowledged = (sender, self._sent_member)
            self._roster_entry = sender.incarnation
            self._roster_version = reply.roster_version

    def handle_wrong_incarnation(self, sender: Peer) -> None:
        """Handle the news that an address now belongs to another incarnation.

        Addresses of processes other than entries are ignored.

        :param sender: the process that has the address now
        """
        known = [e for e in self._roster.entries() if e.address == sender.address]
        for entry in known:
            if entry.incarnation != sender.incarnation:
                self._roster.apply_indirect(entry._replace(state=MEMBER_DEAD))
        if known:
            self.add_entries([sender.address])

    def _apply_documents(self, reply: HeartbeatReply) -> bool:
        """Apply configuration documents; return whether the entry has more to send."""
        before = self._configuration.revision
        if reply.documents:
            self._configuration.apply(reply.documents)
        return before < self._configuration.revision < reply.config_revision

    def _make(self, entry: int, version: int) -> Heartbeat:
        member = self._describe()
        self._sent_member = member._replace(load=_NO_LOAD)
        self._short_count = 0
        member = member._replace(load=member.load.round_up())
        return Heartbeat(member, entry, version, self._configuration.revision)

    def _make_short(self, target: Peer) -> ShortHeartbeat | None:
        """Return a heartbeat with only the load, or None if the entry may lack the rest."""
        member = self._describe()
        current = (target, member._replace(load=_NO_LOAD))
        if current != self._acknowledged or self._short_count >= MAX_SHORT_HEARTBEATS:
            return None
        self._short_count += 1
        return ShortHeartbeat(
            member.version,
            self._roster_version,
            self._configuration.revision,
            member.load.round_up(),
        )

    def _choose_target(self, now: float) -> Peer | None:
        order = self._rank_entries()
        for peer in order:
            if self._avoided_until_ms.get(peer, 0.0) <= now:
                return peer
        self._avoided_until_ms.clear()
        return order[0] if order else None

    def _rank_entries(self) -> list[Peer]:
        own = self._describe()
        living = [e for e in self._roster.entries() if e.state != MEMBER_LEAVING]
        ranked = sorted(living, key=lambda entry: rendezvous_hash(own.address, entry.address))
        near = [peer_of(entry) for entry in ranked if entry.domain == own.domain]
        far = [peer_of(entry) for entry in ranked if entry.domain != own.domain]
        seeds = sorted(self._seeds, key=lambda address: rendezvous_hash(own.address, address))
        return near + far + [Peer(address, ANY_INCARNATION) for address in seeds]
