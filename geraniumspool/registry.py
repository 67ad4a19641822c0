"""Membership at an entry: handles agents' heartbeats and exchanges digests with entries.

Membership updates propagate along these paths, so that they cannot circulate forever:

* An agent sends heartbeats to one entry, which is the source of updates about it.
* Inside a failure domain each entry sends digests to all others, with the
  members that it hears directly and those reported by other domains.
* To each other domain, the entry with the lowest address sends digests to one
  entry, with the members of its own domain. An entry that hears an agent of a
  domain without entries includes that agent in its digests to other domains too.
"""

import logging
import math
import random
from collections.abc import Callable
from typing import Any

from geraniumspool.contracts import Clock, Messenger
from geraniumspool.digests import REFRESH_PER_DIGEST, Digests
from geraniumspool.heartbeat import concerns_other_process
from geraniumspool.members import ROLE_ENTRY, is_final, peer_of
from geraniumspool.messages import MEMBER_DEAD, Digest, Heartbeat, Member, Peer, ShortHeartbeat
from geraniumspool.replies import Replies
from geraniumspool.reports import Demand, EntryReports, PeerDemand
from geraniumspool.revisions import Revisions
from geraniumspool.roster import Roster
from geraniumspool.sighting import ReportOrigin

# Target rate of heartbeats at one entry; with more agents, their period is made longer.
HEARTBEATS_PER_S = 120
# A member heard by another entry counts as dead if this many full refreshes omit it.
MISSED_REFRESHES = 3
# Rounds between requests to dead entries of this domain, and between removals of old members.
DEAD_ENTRY_PROBE_ROUNDS = 5
REMOVE_MEMBERS_ROUNDS = 10

_LOG = logging.getLogger(__name__)


class Registry:
    """Maintains membership at one entry and propagates it to agents and other entries."""

    def __init__(
        self,
        messenger: Messenger,
        roster: Roster,
        clock: Clock,
        configuration: Any,
        me: Callable[[], Member],
        heartbeat_period_ms: float,
        heartbeat_timeout_ms: float,
        demand: Callable[[], Demand] = tuple,
        generator: random.Random | None = None,
    ):
        """Create the components and add this entry to the roster.

        :param configuration: has ``revision``, ``apply(documents)`` and
            ``since(revision, limit_bytes)``
        :param me: returns the current membership record of this entry
        :param heartbeat_period_ms: shortest heartbeat period of agents, and interval of rounds
        :param heartbeat_timeout_ms: silence after which a member counts as dead, at that period
        :param demand: returns task rate per second and running tasks, per team
        :param generator: source of random numbers; by default seeded with this entry's address
        """
        self._messenger = messenger
        self._roster = roster
        self._clock = clock
        self._configuration = configuration
        self._me = me
        self._min_period_ms = heartbeat_period_ms
        self._timeout_ms = heartbeat_timeout_ms
        self._rounds = 0
        self._checked_version = 0
        self._replies = Replies(
            messenger,
            roster,
            clock,
            configuration,
            lambda: self.period_ms,
            generator or random.Random(messenger.local_peer.address),
        )
        self._reports = EntryReports(clock, heartbeat_timeout_ms)
        self._revisions = Revisions(
            roster,
            clock,
            configuration,
            self._reports,
            self._replies.lowest_agent_revisions,
            heartbeat_period_ms,
        )
        self._digests = Digests(
            messenger,
            roster,
            configuration,
            me,
            self._replies,
            self._reports,
            self._revisions,
            demand,
        )
        self.get_peer_demand: Callable[[], list[PeerDemand]] = self._reports.list_demand
        self.get_revisions_in_force: Callable[[], dict[str, int]] = (
            self._revisions.get_revisions_in_force
        )
        roster.apply_indirect(me(), revive=True)

    @property
    def period_ms(self) -> float:
        """Heartbeat period that agents are asked to use.

        It grows with their number, so that at most ``HEARTBEATS_PER_S`` arrive here.
        """
        return max(self._min_period_ms, len(self._replies) * 1000.0 / HEARTBEATS_PER_S)

    @property
    def timeout_ms(self) -> float:
        """Silence after which a member counts as dead, in proportion to :attr:`period_ms`."""
        return self._timeout_ms * self.period_ms / self._min_period_ms

    def run(self) -> None:
        """Run a round every heartbeat period, forever."""
        while True:
            self.run_round()
            self._clock.sleep(self._min_period_ms)

    def run_round(self) -> None:
        """Declare silent members dead and send the digests that are due."""
        self._rounds += 1
        self._roster.apply_indirect(self._me(), revive=True)
        self._watch_unreported()
        for member in self._roster.expire_silent(self.timeout_ms, self._relayed_timeout_ms()):
            _LOG.info("%s %s timed out and counts as dead", member.role, member.address)
        if self._rounds % REMOVE_MEMBERS_ROUNDS == 0:
            self._forget()
        self._prune()
        self._revisions.update_unreachable()
        self._digests.send_all()
        if self._rounds % DEAD_ENTRY_PROBE_ROUNDS == 0:
            self._probe_dead_entries()

    def handle_heartbeat(self, sender: Peer, heartbeat: Heartbeat) -> None:
        """Handle an agent's heartbeat; reply if the agent follows this entry.

        A copy of a heartbeat meant for another entry only updates the roster.
        """
        member = heartbeat.member
        if peer_of(member) != sender:
            return
        member = member._replace(load=member.load.round_up())
        if heartbeat.roster_entry not in (0, self._messenger.local_peer.incarnation):
            self._handle_copy(heartbeat)
            return
        self._roster.apply_direct(member)
        self._replies.reply(sender, heartbeat)

    def handle_short_heartbeat(self, sender: Peer, heartbeat: ShortHeartbeat) -> None:
        """Handle a heartbeat without the agent's state; request the state if it is not known."""
        load = heartbeat.load.round_up()
        member = self._roster.apply_direct_load(sender, heartbeat.version, load)
        if member is None:
            self._replies.request_full_state(sender)
            return
        known = (self._messenger.local_peer.incarnation, heartbeat.roster_version)
        self._replies.reply(sender, Heartbeat(member, *known, heartbeat.config_revision))

    def handle_digest(self, sender: Peer, digest: Digest) -> None:
        """Apply another entry's digest; send one back if it asks for that."""
        if peer_of(digest.sender) != sender:
            return
        if digest.sender.domain == self._roster.domain:
            self._roster.apply_direct(digest.sender)
        else:
            self._roster.apply_relayed(digest.sender, sender)
        for member in digest.members:
            if concerns_other_process(member, self._messenger.local_peer):
                self._roster.apply_relayed(member, sender)
        self._reports.update(sender, digest)
        self._revisions.update(digest)
        if digest.documents:
            self._configuration.apply(digest.documents)
        if digest.reply:
            self._digests.answer(digest.sender)

    def handle_wrong_incarnation(self, sender: Peer, meant: int) -> None:
        """Request a digest from a process that replaced an entry at the same address.

        A process that started while the store was unavailable may know no other entry.

        :param sender: the process that now has the address
        :param meant: incarnation to which the rejected message was addressed
        """
        replaced = self._roster.get(Peer(sender.address, meant))
        if (
            replaced is not None
            and replaced.role == ROLE_ENTRY
            and self._roster.get(sender) is None
        ):
            self._digests.request_digest(sender)

    def push_configuration(self) -> None:
        """Send new configuration to other entries at once and to agents in small batches."""
        self._digests.send_all()
        self._replies.push_configuration()

    def _handle_copy(self, heartbeat: Heartbeat) -> None:
        followed_entry = self._roster.find_incarnation(heartbeat.roster_entry)
        if followed_entry is None or is_final(followed_entry):
            self._roster.apply_indirect(heartbeat.member)
        else:
            self._roster.apply_relayed(heartbeat.member, peer_of(followed_entry))

    def _watch_unreported(self) -> None:
        """Start the silence timeout of this domain's members that no process reports hearing."""
        if self._checked_version == self._roster.version:
            return
        self._checked_version = self._roster.version
        unreported = ReportOrigin()
        me = self._messenger.local_peer
        for member in self._roster.members():
            peer = peer_of(member)
            if peer == me or member.domain != self._roster.domain or is_final(member):
                continue
            if self._roster.origin(peer) == unreported:
                self._roster.start_timeout(peer)

    def _relayed_timeout_ms(self) -> float:
        turns = 1 + math.ceil(len(self._roster.members()) / REFRESH_PER_DIGEST)
        return self.timeout_ms + MISSED_REFRESHES * turns * self._min_period_ms

    def _forget(self) -> None:
        known = len(self._roster.members())
        self._roster.forget_final()
        if len(self._roster.members()) != known:
            self._replies.reset_windows()

    def _prune(self) -> None:
        self._replies.prune()
        living = {peer_of(entry) for entry in self._roster.entries()}
        self._digests.prune(living)
        self._reports.prune(living)

    def _probe_dead_entries(self) -> None:
        living = {entry.address for entry in self._roster.entries()}
        for member in self._roster.members():
            is_dead_entry = member.role == ROLE_ENTRY and member.state == MEMBER_DEAD
            if (
                is_dead_entry
                and member.domain == self._roster.domain
                and member.address not in living
            ):
                self._digests.request_digest(peer_of(member))
