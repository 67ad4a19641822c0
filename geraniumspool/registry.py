"""Membership at an entry: heartbeats taken, digests exchanged.

Who passes on what, so that news cannot go round in circles:

* An agent beats at one entry, which is the source of the news about it.
* Inside a failure domain each entry sends digests to all others, with the
  members that it hears itself and those that other domains told it of.
* To each other domain, the entry with the lowest address sends digests to one
  entry, with the members of its own domain. An entry that hears an agent of a
  domain without entries passes that agent on likewise.

A digest carries what changed since the last one to the same receiver, and a
few members in turn besides. These refresh the loads and make up for lost
digests.
"""

import bisect
import hashlib
import heapq
import itertools
import logging
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from geraniumspool.clock import Timer
from geraniumspool.contracts import Clock, Messenger
from geraniumspool.heartbeat import is_foreign_news, weigh
from geraniumspool.messages import (
    MEMBER_DEAD,
    MEMBER_LEAVING,
    Digest,
    Document,
    Heartbeat,
    HeartbeatReply,
    Load,
    Member,
    Peer,
)
from geraniumspool.roster import (
    ROLE_AGENT,
    ROLE_ENTRY,
    Roster,
    Sighting,
    is_final,
    peer_of,
)

HINTS_PER_REPLY = 16
HINT_CANDIDATES = 32
HINTS_CACHE_MS = 500.0
FOREIGN_MEMBERS = 64
HEARTBEATS_PER_S = 120
REFRESH_PER_DIGEST = 16
REFRESH_TURNS = 3
PROBE_ROUNDS = 5
TOLD_ROUNDS = 2
SILENT_ROUNDS = 4
DOCUMENT_BYTES = 16_384
PUSHES_AT_ONCE = 16
PUSH_PAUSE_MS = 50.0

Demand = tuple[tuple[str, float, float], ...]
_Bare = tuple

_LOG = logging.getLogger(__name__)
_LOAD_FIELD = Member._fields.index("load")


class PeerDemand(NamedTuple):
    """Demand that another entry reported.

    :param entry: the entry; one of another domain reports for its whole domain
    :param demand: tasks a second and running tasks, per team
    """

    entry: Peer
    demand: Demand


class _AgentView(NamedTuple):
    config_revision: int
    foreign: frozenset[str]
    sent_version: int
    sent_foreign: frozenset[str]


class _Report(NamedTuple):
    domain: str
    heard_ms: float
    demand: Demand
    in_force: tuple[tuple[str, int], ...]
    config_revision: int


class _AfarRevision(NamedTuple):
    revision: int
    heard_ms: float
    direct: bool


class _View(NamedTuple):
    """What a digest tells receivers of one kind, made once a round."""

    members: dict[Peer, Member]
    bare: dict[Peer, _Bare]
    demand: Demand
    in_force: tuple[tuple[str, int], ...]


class _Link:
    def __init__(self) -> None:
        self.sent: dict[Peer, _Bare] | None = None
        self.turn = 0


class _Ring(NamedTuple):
    places: list[tuple[bytes, str]]
    entries: int


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
        self._demand = demand
        self._random = generator or random.Random(messenger.me.address)
        self._agents: dict[Peer, _AgentView] = {}
        self._links: dict[Peer, _Link] = {}
        self._reports: dict[Peer, _Report] = {}
        self._afar: dict[str, _AfarRevision] = {}
        self._rings: dict[str, _Ring] = {}
        self._best: dict[tuple[str, str], tuple[float, list[Member]]] = {}
        self._rounds = 0
        self._started_ms = clock.now()
        self._push_timer = Timer(lambda: None)
        roster.subscribe(self._drop_rings)
        roster.observe(me(), revive=True)

    @property
    def period_ms(self) -> float:
        """Period that agents are told, which grows with their number."""
        return max(self._floor_ms, len(self._agents) * 1000.0 / HEARTBEATS_PER_S)

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
        self._roster.observe(self._me(), revive=True)
        self._watch_unheard()
        for member in self._roster.expire(self.timeout_ms, self._learnt_timeout_ms()):
            _LOG.info("%s %s is silent", member.role, member.address)
        self._forget()
        self._prune()
        self._watch_domains()
        self._send_digests()
        if self._rounds % PROBE_ROUNDS == 0:
            self._probe_silent()

    def take_heartbeat(self, sender: Peer, heartbeat: Heartbeat) -> None:
        """Take an agent's heartbeat and reply, if this entry is in charge of it."""
        member = heartbeat.member
        if peer_of(member) != sender:
            return
        if heartbeat.roster_entry not in (0, self._messenger.me.incarnation):
            self._take_copy(heartbeat)
            return
        self._roster.hear(member)
        self._messenger.send(sender, self._reply(sender, heartbeat))

    def take_digest(self, sender: Peer, digest: Digest) -> None:
        """Take another entry's digest and answer it if it asks for one."""
        if peer_of(digest.sender) != sender:
            return
        if digest.sender.domain == self._roster.domain:
            self._roster.hear(digest.sender)
        else:
            self._roster.relay(digest.sender, sender)
        for member in digest.members:
            if is_foreign_news(member, self._messenger.me):
                self._roster.relay(member, sender)
        self._reports[sender] = _Report(
            digest.sender.domain,
            self._clock.now(),
            digest.demand,
            digest.in_force,
            digest.config_revision,
        )
        self._note_afar(digest)
        self._watch_domains()
        if digest.documents:
            self._configuration.apply(digest.documents)
        if digest.reply:
            near = digest.sender.domain == self._roster.domain
            self._send_digest(digest.sender, self._make_view(near), answer=True)

    def take_rejection(self, sender: Peer, meant: int) -> None:
        """Learn that another process took over an entry's address, and greet it.

        It may know nobody, where it started while the store was out.
        """
        replaced = self._roster.get(Peer(sender.address, meant))
        if (
            replaced is not None
            and replaced.role == ROLE_ENTRY
            and self._roster.get(sender) is None
        ):
            self._greet(sender)

    def peers_demand(self) -> list[PeerDemand]:
        """Return the demand that other entries reported lately."""
        reports = self._reports.items()
        return [PeerDemand(peer, r.demand) for peer, r in reports if self._is_fresh(r)]

    def in_force(self) -> dict[str, int]:
        """Return the lowest configuration revision in force per failure domain.

        Of a domain that is silent it is the last that was reported.
        """
        own = self._roster.domain
        lowest = self._served_revisions()
        for report in self._reports.values():
            if not self._is_fresh(report):
                continue
            told = [revision for domain, revision in report.in_force if domain == own]
            if report.domain == own:
                told.append(report.config_revision)
            lowest[own] = min([lowest[own], *told])
        afar = {domain: news.revision for domain, news in self._afar.items()}
        return afar | lowest

    def push_configuration(self) -> None:
        """Send new configuration to entries now and to agents in small batches.

        It does not block: a timer sends the batches after the first.
        """
        self._send_digests()
        self._push_timer.cancel()
        self._push(deque(self._agents))

    def _push(self, waiting: deque[Peer]) -> None:
        pushed = 0
        while waiting and pushed < PUSHES_AT_ONCE:
            peer = waiting.popleft()
            view = self._agents.get(peer)
            if view is None or view.config_revision >= self._configuration.revision:
                continue
            documents = self._documents(view.config_revision)
            self._messenger.send(peer, self._make_reply(documents=documents))
            pushed += 1
        if waiting:
            self._push_timer = self._clock.after(PUSH_PAUSE_MS, lambda: self._push(waiting))

    # Heartbeats

    def _take_copy(self, heartbeat: Heartbeat) -> None:
        serving = self._roster.find_incarnation(heartbeat.roster_entry)
        if serving is None or is_final(serving):
            self._roster.observe(heartbeat.member)
        else:
            self._roster.relay(heartbeat.member, peer_of(serving))

    def _reply(self, sender: Peer, heartbeat: Heartbeat) -> HeartbeatReply:
        member = heartbeat.member
        view = self._agents.get(sender) or _AgentView(0, frozenset(), 0, frozenset())
        version = heartbeat.roster_version
        whole = heartbeat.roster_entry == 0 or not self._roster.covers(version)
        leaving = is_final(member) or member.state == MEMBER_LEAVING
        documents = self._documents(heartbeat.config_revision)
        if whole and leaving:
            return self._make_reply(documents=documents)
        known = frozenset() if whole else view.foreign
        if not whole and version == view.sent_version:
            known = view.sent_foreign
        window = self._choose_foreign(member)
        self._agents[sender] = _AgentView(
            heartbeat.config_revision, known, self._roster.version, window
        )
        members = self._select_members(member, version, whole, known, window)
        hints = self._choose_hints(member, window)
        return self._make_reply(whole, members, hints, documents, self._roster.version)

    def _make_reply(
        self,
        whole: bool = False,
        members: tuple[Member, ...] = (),
        hints: tuple[tuple[str, int, Load], ...] = (),
        documents: tuple[Document, ...] = (),
        version: int = 0,
    ) -> HeartbeatReply:
        return HeartbeatReply(
            version,
            whole,
            members,
            hints,
            self._configuration.revision,
            documents,
            self.period_ms,
            tuple(sorted(self._roster.unreachable)),
        )

    def _documents(self, revision: int) -> tuple[Document, ...]:
        if revision >= self._configuration.revision:
            return ()
        return tuple(self._configuration.since(revision, DOCUMENT_BYTES))

    def _select_members(
        self,
        agent: Member,
        version: int,
        whole: bool,
        known: frozenset[str],
        window: frozenset[str],
    ) -> tuple[Member, ...]:
        def is_near(member: Member) -> bool:
            return member.domain == agent.domain or member.role == ROLE_ENTRY

        if whole:
            members = self._roster.members()
            return tuple(
                m for m in members if is_near(m) or (m.address in window and not is_final(m))
            )
        shown = window | known
        changed = self._roster.since(version)
        selected = [m for m in changed if is_near(m) or m.address in shown]
        fresh = window - known
        if fresh:
            done = set(map(peer_of, selected))
            living = [m for m in self._roster.members() if not is_final(m)]
            selected += [m for m in living if m.address in fresh and peer_of(m) not in done]
        return tuple(selected)

    def _choose_foreign(self, agent: Member) -> frozenset[str]:
        ring = self._ring(agent.domain)
        size = max(0, FOREIGN_MEMBERS - ring.entries)
        places = ring.places
        if len(places) <= size:
            return frozenset(address for _, address in places)
        start = bisect.bisect(places, (_place(agent.address), ""))
        chosen = itertools.islice(itertools.cycle(places), start, start + size)
        return frozenset(address for _, address in chosen)

    def _ring(self, domain: str) -> _Ring:
        ring = self._rings.get(domain)
        if ring:
            return ring
        foreign = [m for m in self._roster.members() if m.domain != domain]
        addresses = {member.address for member in foreign if member.role == ROLE_AGENT}
        entries = sum(m.role == ROLE_ENTRY and not is_final(m) for m in foreign)
        places = sorted((_place(address), address) for address in addresses)
        self._rings[domain] = _Ring(places, entries)
        return self._rings[domain]

    def _drop_rings(self, member: Member) -> None:
        """Drop the rings that a changed member belongs to."""
        for domain in [domain for domain in self._rings if domain != member.domain]:
            del self._rings[domain]

    def _choose_hints(
        self, agent: Member, window: frozenset[str]
    ) -> tuple[tuple[str, int, Load], ...]:
        near = self._roster.agents(agent.service, agent.domain)
        best = self._find_best(agent.service, agent.domain, near)
        chosen = dict.fromkeys(self._sample(best, HINTS_PER_REPLY // 2))
        chosen |= dict.fromkeys(self._sample(near, HINTS_PER_REPLY))
        if len(chosen) <= HINTS_PER_REPLY:
            others = self._roster.agents(agent.service)
            chosen |= dict.fromkeys(m for m in others if m.address in window)
        peers = [peer for peer in map(peer_of, chosen) if peer != peer_of(agent)]
        hints = []
        for peer in list(dict.fromkeys(peers))[:HINTS_PER_REPLY]:
            member = self._roster.get(peer)
            if member:
                hints.append((peer.address, peer.incarnation, member.load))
        return tuple(hints)

    def _find_best(self, service: str, domain: str, agents: list[Member]) -> list[Member]:
        now = self._clock.now()
        made_ms, best = self._best.get((service, domain), (-math.inf, []))
        if now - made_ms >= HINTS_CACHE_MS:
            best = heapq.nlargest(
                HINT_CANDIDATES, agents, key=lambda member: member.load.free - member.load.queued
            )
            self._best[service, domain] = (now, best)
        return best

    def _sample(self, members: list[Member], size: int) -> list[Member]:
        return self._random.sample(members, min(size, len(members)))

    # Rounds

    def _watch_unheard(self) -> None:
        nobody = Sighting()
        own = self._messenger.me
        for member in self._roster.members():
            peer = peer_of(member)
            if peer == own or member.domain != self._roster.domain or is_final(member):
                continue
            if self._roster.sighting(peer) == nobody:
                self._roster.watch(peer)

    def _watch_domains(self) -> None:
        """Tell the roster of which failure domains nothing is heard any more."""
        now = self._clock.now()
        served = self._served_revisions()
        silent = set()
        for domain in self._roster.domains():
            news = self._afar.get(domain)
            heard_ms = news.heard_ms if news else self._started_ms
            if domain not in served and now - heard_ms > SILENT_ROUNDS * self._floor_ms:
                silent.add(domain)
        before = self._roster.unreachable
        self._roster.set_unreachable(silent)
        for domain in sorted(self._roster.unreachable ^ before):
            state = "unreachable" if domain in self._roster.unreachable else "reachable"
            _LOG.warning("failure domain %s is %s", domain, state)

    def _learnt_timeout_ms(self) -> float:
        turns = 1 + math.ceil(len(self._roster.members()) / REFRESH_PER_DIGEST)
        return self.timeout_ms + REFRESH_TURNS * turns * self._floor_ms

    def _forget(self) -> None:
        known = len(self._roster.members())
        self._roster.forget()
        if len(self._roster.members()) != known:
            self._rings.clear()

    def _prune(self) -> None:
        for peer in list(self._agents):
            if self._roster.is_gone(peer) or not self._roster.sighting(peer).direct:
                del self._agents[peer]
        living = {peer_of(entry) for entry in self._roster.entries()}
        for table in (self._links, self._reports):
            for peer in [peer for peer in table if peer not in living]:
                del table[peer]

    def _probe_silent(self) -> None:
        living = {entry.address for entry in self._roster.entries()}
        for member in self._roster.members():
            silent = member.role == ROLE_ENTRY and member.state == MEMBER_DEAD
            if silent and member.domain == self._roster.domain and member.address not in living:
                self._greet(peer_of(member))

    def _greet(self, peer: Peer) -> None:
        revision = self._configuration.revision
        self._messenger.send(peer, Digest(self._me(), False, (), (), (), revision, (), reply=True))

    def _send_digests(self) -> None:
        views: dict[bool, _View] = {}
        for entry in list(self._receivers()):
            near = entry.domain == self._roster.domain
            if near not in views:
                views[near] = self._make_view(near)
            self._send_digest(entry, views[near])

    def _receivers(self) -> Iterator[Member]:
        own = self._messenger.me
        foreign: dict[str, list[Member]] = {}
        for entry in self._roster.entries():
            if entry.domain != self._roster.domain:
                foreign.setdefault(entry.domain, []).append(entry)
            elif peer_of(entry) != own:
                yield entry
        if not self._is_speaker() and not self._has_guests():
            return
        for entries in foreign.values():
            staying = [e for e in entries if e.state != MEMBER_LEAVING] or entries
            yield min(staying, key=lambda entry: weigh(own.address, entry.address))

    def _is_speaker(self) -> bool:
        near = [e.address for e in self._roster.entries() if e.domain == self._roster.domain]
        return self._messenger.me.address <= min(near, default=self._messenger.me.address)

    def _has_guests(self) -> bool:
        members = map(self._roster.get, self._agents)
        return any(member and member.domain != self._roster.domain for member in members)

    def _make_view(self, near: bool) -> _View:
        members = self._near_view() if near else self._far_view()
        return _View(
            members,
            {peer: _without_load(member) for peer, member in members.items()},
            self._near_demand() if near else self._far_demand(),
            tuple((self._near_revisions() if near else self._far_revisions()).items()),
        )

    def _send_digest(self, receiver: Member, view: _View, answer: bool = False) -> None:
        peer = peer_of(receiver)
        link = self._links.setdefault(peer, _Link())
        changed = self._choose_changed(link, view)
        report = self._reports.get(peer)
        told = report.config_revision if report else None
        behind = told is None or told < self._configuration.revision
        digest = Digest(
            sender=self._me(),
            whole=link.sent is None,
            members=tuple(changed),
            demand=view.demand,
            in_force=view.in_force,
            config_revision=self._configuration.revision,
            documents=() if told is None else self._documents(told),
            reply=behind and not answer,
        )
        if self._messenger.send(peer, digest):
            link.sent = view.bare
            link.turn += REFRESH_PER_DIGEST

    def _choose_changed(self, link: _Link, view: _View) -> list[Member]:
        members = view.members
        if link.sent is None:
            return list(members.values())
        sent = link.sent
        chosen = {key: members[key] for key, bare in view.bare.items() if sent.get(key) != bare}
        order = list(members)
        for step in range(min(REFRESH_PER_DIGEST, len(order))):
            key = order[(link.turn + step) % len(order)]
            chosen[key] = members[key]
        return list(chosen.values())

    def _near_view(self) -> dict[Peer, Member]:
        return {
            peer: member
            for peer, member, sighting in self._others()
            if self._is_heard_here(sighting) or self._is_from_afar(sighting)
        }

    def _far_view(self) -> dict[Peer, Member]:
        speaker = self._is_speaker()
        view = {}
        for peer, member, sighting in self._others():
            own = member.domain == self._roster.domain and not self._is_from_afar(sighting)
            guest = member.domain != self._roster.domain and self._is_heard_here(sighting)
            if guest or (speaker and own):
                view[peer] = member
        return view

    def _others(self) -> Iterator[tuple[Peer, Member, Sighting]]:
        own = self._messenger.me
        for member in self._roster.members():
            peer = peer_of(member)
            if peer != own:
                yield peer, member, self._roster.sighting(peer)

    @staticmethod
    def _is_heard_here(sighting: Sighting) -> bool:
        return sighting.direct and not sighting.claimed

    def _is_from_afar(self, sighting: Sighting) -> bool:
        if sighting.source is None:
            return False
        source = self._roster.get(sighting.source)
        return source is not None and source.domain != self._roster.domain

    # Demand and revisions

    def _is_fresh(self, report: _Report) -> bool:
        return self._clock.now() - report.heard_ms <= self._timeout_ms

    def _near_demand(self) -> Demand:
        return tuple(self._demand())

    def _far_demand(self) -> Demand:
        if not self._is_speaker():
            return ()
        totals: dict[str, tuple[float, float]] = {}
        own = self._roster.domain
        reports = [r for r in self._reports.values() if r.domain == own and self._is_fresh(r)]
        for demand in [self._near_demand(), *(report.demand for report in reports)]:
            for team, rate, running in demand:
                old_rate, old_running = totals.get(team, (0.0, 0.0))
                totals[team] = (old_rate + rate, old_running + running)
        return tuple((team, *total) for team, total in totals.items())

    def _served_revisions(self) -> dict[str, int]:
        lowest = {self._roster.domain: self._configuration.revision}
        for peer, view in self._agents.items():
            member = self._roster.get(peer)
            if member and not is_final(member) and not self._roster.sighting(peer).claimed:
                revision = lowest.get(member.domain, view.config_revision)
                lowest[member.domain] = min(revision, view.config_revision)
        return lowest

    def _near_revisions(self) -> dict[str, int]:
        now = self._clock.now()
        fresh = {
            domain: news.revision
            for domain, news in self._afar.items()
            if news.direct and now - news.heard_ms <= TOLD_ROUNDS * self._floor_ms
        }
        return fresh | self._served_revisions()

    def _note_afar(self, digest: Digest) -> None:
        direct = digest.sender.domain != self._roster.domain
        for domain, revision in digest.in_force:
            if domain != self._roster.domain:
                self._afar[domain] = _AfarRevision(revision, self._clock.now(), direct)

    def _far_revisions(self) -> dict[str, int]:
        served = self._served_revisions()
        own = self._roster.domain
        if self._is_speaker():
            served[own] = self.in_force()[own]
        else:
            del served[own]
        return served


def _without_load(member: Member) -> _Bare:
    return member[:_LOAD_FIELD] + member[_LOAD_FIELD + 1 :]


def _place(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
