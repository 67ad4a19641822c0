"""Choice of homes for new jobs, and the way to the homes of known ones."""

import random
from collections import Counter
from typing import NamedTuple

from geraniumspool.contracts import Clock
from geraniumspool.errors import DispatchError
from geraniumspool.members import peer_of
from geraniumspool.messages import MEMBER_LEFT, Load, Member, Peer
from geraniumspool.roster import Roster
from geraniumspool.ticket import Keyring, Ticket

MAX_ARCHIVE_HOPS = 8
RETRY_MS = 1_000.0
ROUTED_TASK_MS = 100.0


class NoHome(DispatchError):
    """No agent that serves the service is known and ready."""

    code = "no_home"
    status = 503


class Route(NamedTuple):
    """Where to ask about a job.

    :param peer: the process to ask, or None where there is none any more
    :param is_archive: whether it only keeps the home's records
    """

    peer: Peer | None
    is_archive: bool


class Homes:
    """Picks homes by load and finds those that tickets name."""

    def __init__(
        self,
        roster: Roster,
        keyring: Keyring,
        clock: Clock,
        domain: str,
        source: random.Random | None = None,
    ):
        """Connect the parts.

        :param source: source of random draws
        """
        self._roster = roster
        self._keyring = keyring
        self._clock = clock
        self._domain = domain
        self._random = source or random.Random()
        self._loads: dict[Peer, Load] = {}
        self._routed: Counter[Peer] = Counter()
        roster.subscribe(self._member_changed)

    def issue(self, service: str) -> str:
        """Return a ticket whose home is chosen by load.

        :raises NoHome: if no agent serves the service
        """
        return self._keyring.issue(self.choose(service), service, self._clock.wall())

    def choose(self, service: str) -> Peer:
        """Return the less loaded of two agents drawn, own failure domain first.

        :raises NoHome: if no agent serves the service
        """
        members = self._roster.agents(service, self._domain) or self._roster.agents(service)
        if not members:
            raise NoHome(f"no ready agent serves {service!r}", RETRY_MS)
        drawn = self._random.sample(members, min(2, len(members)))
        return peer_of(min(drawn, key=self._weigh))

    def find(self, ticket: Ticket) -> Route:
        """Return where to ask about a ticket's job."""
        peer, hops = ticket.home, 0
        member = self._roster.get(peer)
        while member is not None and member.state == MEMBER_LEFT:
            if not member.archive or hops >= MAX_ARCHIVE_HOPS:
                return Route(None, True)
            peer = Peer(member.archive, member.archive_incarnation)
            member = self._roster.get(peer)
            hops += 1
        return Route(peer, hops > 0)

    def note_routed(self, peer: Peer, tasks: int) -> None:
        """Count tasks sent to a home since its load was last heard of."""
        self._routed[peer] += tasks

    def note_load(self, peer: Peer, load: Load) -> None:
        """Take a home's load from its answer."""
        self._loads[peer] = load
        self._routed.pop(peer, None)

    def _weigh(self, member: Member) -> tuple[float, int]:
        peer = peer_of(member)
        load = self._loads.get(peer, member.load)
        slots = max(1, load.slots)
        excess = max(0, self._routed[peer] - load.free)
        wait_ms = load.wait_ms + load.backlog_ms / slots
        return wait_ms + excess * ROUTED_TASK_MS / slots, self._routed[peer] - load.free

    def _member_changed(self, member: Member) -> None:
        peer = peer_of(member)
        self._loads.pop(peer, None)
        self._routed.pop(peer, None)
