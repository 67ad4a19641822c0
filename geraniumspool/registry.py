"""Membership at an entry: heartbeats taken, digests exchanged.

Who passes on what, so that news cannot go round in circles:

* An agent beats at one entry, which is the source of the news about it.
* Inside a failure domain each entry sends digests to all others, with the
  members that it hears itself and those that other domains told it of.
* To each other domain, the entry with the lowest address sends digests to one
  entry, with the members of its own domain. An entry that hears an agent of a
  domain without entries passes that agent on likewise.
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
from geraniumspool.reports import Demand, PeerDemand, Reports
from geraniumspool.revisions import Revisions
from geraniumspool.roster import Roster
from geraniumspool.sighting import ReportOrigin

HEARTBEATS_PER_S = 120
REFRESH_TURNS = 3
PROBE_ROUNDS = 5
FORGET_ROUNDS = 10

_LOG = logging.getLogger(__name__)


class Registry:
    """Membership as one entry keeps it and passes it on."""

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
        """Connect the parts.

        :param configuration: has ``revision``, ``apply(documents)`` and
            ``since(revision, limit_bytes)``
        :param me: returns this entry as it is now
        :param heartbeat_period_ms: shortest period of agents' heartbeats
        :param heartbeat_timeout_ms: silence that means death, at that period
        :param demand: returns tasks a second and running tasks, per team
        :param generator: source of random samples, seeded by the own address by default
        """
        self._messenger = messenger
        self._roster = roster
        self._clock = clock
        self._configuration = configuration
        self._me = me
        self._floor_ms = heartbeat_period_ms
        self._timeout_ms = heartbeat_timeout_ms
        self._rounds = 0
        self._watched_version = 0
        self._replies = Replies(
            messenger,
            roster,
            clock,
            configuration,
            lambda: self.period_ms,
            generator or random.Random(messenger.me.address),
        )
        self._reports = Reports(clock, heartbeat_timeout_ms)
        self._revisions = Revisions(
            roster,
            clock,
            configuration,
            self._reports,
            self._replies.served_revisions,
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
        self.peers_demand: Callable[[], list[PeerDemand]] = self._reports.demand
        self.in_force: Callable[[], dict[str, int]] = self._revisions.in_force
        roster.apply_indirect(me(), revive=True)

    @property
    def period_ms(self) -> float:
        """Period that agents are told, which grows with their number."""
        return max(self._floor_ms, len(self._replies) * 1000.0 / HEARTBEATS_PER_S)

    @property
    def timeout_ms(self) -> float:
        """Silence that means death, in proportion to the period."""
        return self._timeout_ms * self.period_ms / self._floor_ms

    def run(self) -> None:
        """Do a round each period, for ever."""
        while True:
            self.run_round()
            self._clock.sleep(self._floor_ms)

    def run_round(self) -> None:
        """Expire silent members and send the digests that are due."""
        self._rounds += 1
        self._roster.apply_indirect(self._me(), revive=True)
        self._watch_unheard()
        for member in self._roster.expire_silent(self.timeout_ms, self._learnt_timeout_ms()):
            _LOG.info("%s %s is silent", member.role, member.address)
        if self._rounds % FORGET_ROUNDS == 0:
            self._forget()
        self._prune()
        self._revisions.watch()
        self._digests.send_all()
        if self._rounds % PROBE_ROUNDS == 0:
            self._probe_silent()

    def handle_heartbeat(self, sender: Peer, heartbeat: Heartbeat) -> None:
        """Take an agent's heartbeat and reply, if this entry is in charge of it."""
        member = heartbeat.member
        if peer_of(member) != sender:
            return
        member = member._replace(load=member.load.round_up())
        if heartbeat.roster_entry not in (0, self._messenger.me.incarnation):
            self._take_copy(heartbeat)
            return
        self._roster.apply_direct(member)
        self._replies.send(sender, heartbeat)

    def handle_short_heartbeat(self, sender: Peer, heartbeat: ShortHeartbeat) -> None:
        """Take an agent's heartbeat without its state, or ask for that where it is not known."""
        load = heartbeat.load.round_up()
        member = self._roster.apply_direct_load(sender, heartbeat.version, load)
        if member is None:
            self._replies.ask_again(sender)
            return
        known = (self._messenger.me.incarnation, heartbeat.roster_version)
        self._replies.send(sender, Heartbeat(member, *known, heartbeat.config_revision))

    def handle_digest(self, sender: Peer, digest: Digest) -> None:
        """Take another entry's digest and answer it if it asks for one."""
        if peer_of(digest.sender) != sender:
            return
        if digest.sender.domain == self._roster.domain:
            self._roster.apply_direct(digest.sender)
        else:
            self._roster.apply_relayed(digest.sender, sender)
        for member in digest.members:
            if concerns_other_process(member, self._messenger.me):
                self._roster.apply_relayed(member, sender)
        self._reports.take(sender, digest)
        self._revisions.take(digest)
        if digest.documents:
            self._configuration.apply(digest.documents)
        if digest.reply:
            self._digests.answer(digest.sender)

    def handle_wrong_incarnation(self, sender: Peer, meant: int) -> None:
        """Learn that another process took over an entry's address, and greet it.

        It may know nobody, where it started while the store was out.
        """
        replaced = self._roster.get(Peer(sender.address, meant))
        if (
            replaced is not None
            and replaced.role == ROLE_ENTRY
            and self._roster.get(sender) is None
        ):
            self._digests.request_digest(sender)

    def push_configuration(self) -> None:
        """Send new configuration to entries now and to agents in small batches."""
        self._digests.send_all()
        self._replies.push()

    def _take_copy(self, heartbeat: Heartbeat) -> None:
        serving = self._roster.find_incarnation(heartbeat.roster_entry)
        if serving is None or is_final(serving):
            self._roster.apply_indirect(heartbeat.member)
        else:
            self._roster.apply_relayed(heartbeat.member, peer_of(serving))

    def _watch_unheard(self) -> None:
        """Let the silence of members that nobody told of as their source count from now."""
        if self._watched_version == self._roster.version:
            return
        self._watched_version = self._roster.version
        nobody = ReportOrigin()
        own = self._messenger.me
        for member in self._roster.members():
            peer = peer_of(member)
            if peer == own or member.domain != self._roster.domain or is_final(member):
                continue
            if self._roster.origin(peer) == nobody:
                self._roster.start_timeout(peer)

    def _learnt_timeout_ms(self) -> float:
        turns = 1 + math.ceil(len(self._roster.members()) / REFRESH_PER_DIGEST)
        return self.timeout_ms + REFRESH_TURNS * turns * self._floor_ms

    def _forget(self) -> None:
        known = len(self._roster.members())
        self._roster.forget_final()
        if len(self._roster.members()) != known:
            self._replies.forget_rings()

    def _prune(self) -> None:
        self._replies.prune()
        living = {peer_of(entry) for entry in self._roster.entries()}
        self._digests.prune(living)
        self._reports.prune(living)

    def _probe_silent(self) -> None:
        living = {entry.address for entry in self._roster.entries()}
        for member in self._roster.members():
            silent = member.role == ROLE_ENTRY and member.state == MEMBER_DEAD
            if silent and member.domain == self._roster.domain and member.address not in living:
                self._digests.request_digest(peer_of(member))
