"""Costs of membership at one entry and at one agent, by number of generated members."""

from collections.abc import Callable

from benchmarks.slope_fit import Point, Slope, fit, median_us, memory_bytes, processor_us
from geraniumspool.clock import ManualClock
from geraniumspool.configuration import Configuration
from geraniumspool.counters import MemoryCounters
from geraniumspool.heartbeat import Heartbeater
from geraniumspool.members import ROLE_AGENT, ROLE_ENTRY, peer_of
from geraniumspool.messages import (
    MEMBER_READY,
    MEMBER_STARTING,
    Delivery,
    Digest,
    Heartbeat,
    HeartbeatReply,
    Load,
    Member,
    Message,
    Peer,
    ShortHeartbeat,
    decode,
    encode,
)
from geraniumspool.registry import Registry
from geraniumspool.roster import Roster

MEMBER_COUNTS = (100, 487, 1000, 7300)
DOMAINS = 15
SERVICE = "fitting"
ENTRIES_PER_DOMAIN = 2
PERIOD_MS = 1_000.0
TIMEOUT_MS = 4_000.0
TIMED_HEARTBEATS = 300
TIMED_ROUNDS = 6
INCARNATION_BIT = 62


class CountingMessenger:
    """Messenger that encodes and counts messages instead of sending them.

    :ivar messages: number of messages since the last :meth:`reset`
    :ivar bytes: their total encoded size
    :ivar last: newest message by receiver's address
    """

    def __init__(self, local_peer: Peer):
        """Start empty.

        :param local_peer: sender of all messages
        """
        self.local_peer = local_peer
        self.messages = 0
        self.bytes = 0
        self.last: dict[str, Message] = {}

    def send(self, peer: Peer, message: Message) -> bool:
        """Encode and count a message."""
        self.bytes += len(encode(self.local_peer, peer.incarnation, message))
        self.messages += 1
        self.last[peer.address] = message
        return True

    def reopen_unconfirmed(self, _peer: Peer, _sent_ms: float) -> bool:
        """Return that no connection was replaced."""
        return False

    def reset(self) -> None:
        """Set the counts to zero."""
        self.messages = 0
        self.bytes = 0


def make_member(domain: int, number: int, role: str, state: str = MEMBER_READY) -> Member:
    """Return a generated member whose address has a realistic length.

    :param domain: number of its failure domain
    :param number: number of the member among those of its role in the domain
    """
    kind = 1 if role == ROLE_ENTRY else 0
    address = f"tcp://10.{100 + domain}.{kind * 100 + number // 250}.{number % 250}:7400"
    incarnation = (1 << INCARNATION_BIT) + (domain << 32) + (kind << 30) + number
    load = Load(8, number % 9, 0, 13) if role == ROLE_AGENT else Load()
    service = SERVICE if role == ROLE_AGENT else ""
    return Member(address, incarnation, f"domain-{domain:02}", role, state, service, 0.0, load)


class EntryHarness:
    """Registry of one entry among generated entries and agents.

    :ivar near: agents of its own failure domain, all of which send it heartbeats
    """

    def __init__(
        self,
        members: int,
        join: bool = True,
        demand: Callable[[], tuple] = tuple,
        clock: ManualClock | None = None,
    ):
        """Make the registry; it knows the agents of all other domains.

        :param members: number of agents in the whole system
        :param join: whether it also knows the agents of its own domain
        :param demand: returns the teams' demand at this entry
        """
        self.clock = clock or ManualClock()
        self.me = make_member(0, 0, ROLE_ENTRY)
        self.outbox = CountingMessenger(peer_of(self.me))
        self.roster = Roster(self.clock, self.me.domain)
        self.configuration = Configuration(self.clock, MemoryCounters())
        self.registry = Registry(
            self.outbox,
            self.roster,
            self.clock,
            self.configuration,
            lambda: self.me,
            PERIOD_MS,
            TIMEOUT_MS,
            demand,
        )
        self.per_domain = max(1, members // DOMAINS)
        self.entries = [
            make_member(domain, number, ROLE_ENTRY)
            for domain in range(DOMAINS)
            for number in range(ENTRIES_PER_DOMAIN)
        ][1:]
        self.near = [make_member(0, number, ROLE_AGENT) for number in range(self.per_domain)]
        for entry in self.entries:
            self.registry.handle_digest(peer_of(entry), self.digest(entry, True))
        if join:
            for member in self.near:
                self.deliver_heartbeat(member, 0, 0)

    def digest(self, entry: Member, whole: bool) -> Digest:
        """Return a digest from another entry.

        Only the first entry of each other domain, its speaker, includes agents: all of its domain
        in a whole digest, otherwise 16.
        """
        domain = int(entry.domain[-2:])
        is_speaker = entry.address == make_member(domain, 0, ROLE_ENTRY).address
        count = self.per_domain if whole else 16
        agents = []
        if domain and is_speaker:
            agents = [make_member(domain, number, ROLE_AGENT) for number in range(count)]
        return Digest(entry, whole, tuple(agents), (), ((entry.domain, 0),), 0, ())

    def deliver_heartbeat(self, member: Member, entry: int, version: int) -> int:
        """Deliver one encoded heartbeat and return its size in bytes."""
        data = encode(
            peer_of(member),
            self.outbox.local_peer.incarnation,
            self._make_heartbeat(member, entry, version),
        )
        self.deliver(data)
        return len(data)

    def deliver(self, data: bytes) -> None:
        """Decode and deliver a message."""
        delivery: Delivery = decode(data)
        if isinstance(delivery.message, Digest):
            self.registry.handle_digest(delivery.sender, delivery.message)
        elif isinstance(delivery.message, ShortHeartbeat):
            self.registry.handle_short_heartbeat(delivery.sender, delivery.message)
        else:
            self.registry.handle_heartbeat(delivery.sender, delivery.message)

    def advance_period(self) -> None:
        """Advance the clock by a period in which every process sends its message."""
        self.clock.advance(PERIOD_MS)
        for entry in self.entries:
            self.registry.handle_digest(peer_of(entry), self.digest(entry, False))
        for data in self.heartbeats(len(self.near)):
            self.deliver(data)

    def heartbeats(self, count: int) -> list[bytes]:
        """Return encoded heartbeats from agents of the domain that have the current roster."""
        members = [self.near[number % len(self.near)] for number in range(count)]
        me, version = self.outbox.local_peer.incarnation, self.roster.version
        beats = ((peer_of(m), ShortHeartbeat(m.version, version, 0, m.load)) for m in members)
        return [encode(peer, me, beat) for peer, beat in beats]

    @staticmethod
    def _make_heartbeat(member: Member, entry: int, version: int) -> Heartbeat:
        return Heartbeat(member, entry, version, 0)


def measure_membership() -> list[Slope]:
    """Measure rosters, heartbeats and digests, and return the slopes."""
    return [
        *_measure_roster(),
        *_measure_heartbeats(),
        *_measure_roster_change(),
        *_measure_digests(),
        *_measure_whole_digests(),
        *_measure_domain_start(),
        *_measure_agent(),
    ]


def _fill_roster(count: int) -> Roster:
    roster = Roster(ManualClock(), "domain-00")
    for number in range(count):
        roster.apply_indirect(make_member(number % DOMAINS, number // DOMAINS, ROLE_AGENT))
    return roster


def _measure_roster() -> list[Slope]:
    points = [Point(n, memory_bytes(lambda n=n: _fill_roster(n))) for n in MEMBER_COUNTS]
    return [fit("roster memory / members", "bytes", points)]


def _measure_heartbeats() -> list[Slope]:
    return [*_time_heartbeats("", 0.0), *_time_heartbeats(" where tasks wait", 100.0)]


def _time_heartbeats(suffix: str, backlog_ms: float) -> list[Slope]:
    taken, sizes, lengths = [], [], []
    for members in MEMBER_COUNTS:
        harness = EntryHarness(members)
        loaded = [m._replace(load=m.load._replace(backlog_ms=backlog_ms)) for m in harness.near]
        harness.near = loaded
        beats = harness.heartbeats(TIMED_HEARTBEATS)
        for data in beats[: len(harness.near)]:
            harness.deliver(data)
        harness.outbox.reset()
        taken.append(
            Point(members, median_us(lambda s=harness, b=beats: _deliver_all(s, b), len(beats)))
        )
        sizes.append(Point(members, harness.outbox.bytes / harness.outbox.messages))
        lengths.append(Point(members, sum(map(len, beats)) / len(beats)))
    return [
        fit(f"entry: heartbeat{suffix} taken and replied / members", "us of processor", taken),
        fit(f"entry: reply to a heartbeat{suffix} / members", "bytes", sizes),
        fit(f"agent: heartbeat{suffix} / members", "bytes", lengths),
    ]


def _deliver_all(harness: EntryHarness, messages: list[bytes]) -> None:
    for data in messages:
        harness.deliver(data)


def _measure_roster_change() -> list[Slope]:
    """Measure the first reply to a heartbeat after an agent of another domain was replaced."""
    points = []
    for members in MEMBER_COUNTS:
        harness = EntryHarness(members)
        source = peer_of(harness.entries[1])
        steps = []
        for number in range(10):
            base = make_member(1, number % harness.per_domain, ROLE_AGENT)
            member = base._replace(incarnation=base.incarnation + 1000 + number)
            beat = harness.heartbeats(1)[0]
            harness.roster.apply_relayed(member, source)
            steps.append(processor_us(lambda s=harness, b=beat: s.deliver(b)))
        points.append(Point(members, sorted(steps)[len(steps) // 2]))
    return [
        fit("entry: first heartbeat after a roster change / members", "us of processor", points)
    ]


def _measure_digests() -> list[Slope]:
    rounds, sizes, messages, takes, received = [], [], [], [], []
    for members in MEMBER_COUNTS:
        harness = EntryHarness(members)
        for _ in range(2):
            harness.advance_period()
            harness.registry.run_round()
        steps, sent, count = [], 0, 0
        for _ in range(TIMED_ROUNDS):
            harness.advance_period()
            harness.outbox.reset()
            steps.append(processor_us(harness.registry.run_round))
            sent += harness.outbox.bytes
            count += harness.outbox.messages
        rounds.append(Point(members, sum(steps) / TIMED_ROUNDS))
        sizes.append(Point(members, sent / TIMED_ROUNDS))
        messages.append(Point(members, count / TIMED_ROUNDS))
        speaker = next(e for e in harness.entries if e.domain != harness.me.domain)
        data = encode(
            peer_of(speaker), harness.outbox.local_peer.incarnation, harness.digest(speaker, False)
        )
        takes.append(
            Point(members, median_us(lambda s=harness, d=data: _deliver_all(s, [d] * 50), 50))
        )
        received.append(Point(members, len(data)))
    return [
        fit("entry: digest round, speaker of a domain / members", "us of processor", rounds),
        fit("entry: bytes sent in a digest round / members", "bytes", sizes),
        fit("entry: messages sent in a digest round / members", "messages", messages),
        fit("entry: digest of 16 members taken / members", "us of processor", takes),
        fit("entry: digest of 16 members / members", "bytes", received),
    ]


def _measure_whole_digests() -> list[Slope]:
    """Measure whole digests, as they are sent after a start or a partition between regions."""
    sent, sizes, taken, lengths = [], [], [], []
    for members in MEMBER_COUNTS:
        harness = EntryHarness(members)
        harness.outbox.reset()
        sent.append(Point(members, processor_us(harness.registry.run_round) / 1000.0))
        sizes.append(Point(members, harness.outbox.bytes))
        speaker = next(e for e in harness.entries if e.domain != harness.me.domain)
        digest = harness.digest(speaker, True)
        agents = tuple(m._replace(incarnation=m.incarnation + 1) for m in digest.members)
        whole = digest._replace(members=agents)
        data = encode(peer_of(speaker), harness.outbox.local_peer.incarnation, whole)
        taken.append(
            Point(len(agents), processor_us(lambda s=harness, d=data: s.deliver(d)) / 1000.0)
        )
        lengths.append(Point(len(agents), len(data)))
    return [
        fit("entry: round of whole digests / members", "ms of processor", sent),
        fit("entry: round of whole digests / members", "bytes", sizes),
        fit("entry: whole digest of a restarted domain taken / agents", "ms of processor", taken),
        fit("entry: whole digest of a domain / agents", "bytes", lengths),
    ]


def _measure_domain_start() -> list[Slope]:
    """Measure an entry while all agents of its failure domain start at once."""
    taken, sizes = [], []
    for members in MEMBER_COUNTS:
        harness = EntryHarness(members, join=False)
        me = harness.outbox.local_peer.incarnation
        first = [_encode_first_heartbeat(harness, member, 0, 0) for member in harness.near]
        harness.outbox.reset()
        start_us = processor_us(lambda s=harness, f=first: _deliver_all(s, f))
        versions = {
            address: reply.roster_version
            for address, reply in harness.outbox.last.items()
            if isinstance(reply, HeartbeatReply)
        }
        second = [
            encode(peer_of(m), me, Heartbeat(m, me, versions[m.address], 0)) for m in harness.near
        ]
        start_us += processor_us(lambda s=harness, b=second: _deliver_all(s, b))
        taken.append(Point(len(harness.near), start_us / 1000.0))
        sizes.append(Point(len(harness.near), harness.outbox.bytes))
    return [
        fit("entry: a whole domain starts, 2 beats each / agents of it", "ms of processor", taken),
        fit("entry: a whole domain starts, replies / agents of it", "bytes", sizes),
    ]


def _encode_first_heartbeat(
    harness: EntryHarness, member: Member, entry: int, version: int
) -> bytes:
    beat = Heartbeat(member._replace(state=MEMBER_STARTING), entry, version, 0)
    return encode(peer_of(member), harness.outbox.local_peer.incarnation, beat)


class AgentHarness:
    """Roster and heartbeater of one agent, filled from an entry's complete reply.

    :ivar whole: reply to the agent's first heartbeat, with the complete roster
    :ivar reply: encoded reply to a later heartbeat
    """

    def __init__(self, entry: EntryHarness):
        """Make the first agent of the entry's domain and deliver the entry's replies to it."""
        self.me = entry.near[0]
        self.clock = ManualClock()
        self.outbox = CountingMessenger(peer_of(self.me))
        self.roster = Roster(self.clock, self.me.domain)
        configuration = Configuration(self.clock, MemoryCounters())
        self.beater = Heartbeater(
            self.outbox, self.roster, self.clock, lambda: self.me, configuration, PERIOD_MS
        )
        self.sender = entry.outbox.local_peer
        entry.deliver_heartbeat(self.me, 0, 0)
        self.whole = entry.outbox.last[self.me.address]
        self.take(encode(self.sender, self.outbox.local_peer.incarnation, self.whole))
        beat = entry.heartbeats(1)[0]
        entry.deliver(beat)
        entry.deliver(beat)
        later = entry.outbox.last[self.me.address]
        self.reply = encode(self.sender, self.outbox.local_peer.incarnation, later)

    def take(self, data: bytes) -> None:
        """Decode and deliver an entry's reply."""
        delivery = decode(data)
        self.beater.handle_reply(delivery.sender, delivery.message)

    def exchange_heartbeats(self, count: int) -> None:
        """Send a heartbeat and deliver the reply, ``count`` times."""
        for _ in range(count):
            self.beater.send_heartbeat()
            self.take(self.reply)


def _measure_agent() -> list[Slope]:
    taken, known, whole = [], [], []
    for members in MEMBER_COUNTS:
        harness = AgentHarness(EntryHarness(members))
        taken.append(Point(members, median_us(lambda s=harness: s.exchange_heartbeats(200), 200)))
        known.append(Point(members, len(harness.roster.members())))
        data = encode(harness.sender, harness.outbox.local_peer.incarnation, harness.whole)
        whole.append(Point(len(harness.roster.members()), len(data)))
    return [
        fit("agent: heartbeat sent and reply taken / members", "us of processor", taken),
        fit("agent: members known / members", "members", known),
        fit("agent: whole reply after a start / members known", "bytes", whole),
    ]
