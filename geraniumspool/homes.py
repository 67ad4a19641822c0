"""Selection of homes for new jobs and lookup of the process that answers for a job.

The home of a job is the agent that its ticket names, the only one that may run it.
"""

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
# Delay after which a caller may retry when no agent serves the service.
NO_HOME_RETRY_AFTER_MS = 1_000.0
# Assumed run time of each task sent to a home beyond its free slots.
ASSUMED_TASK_MS = 100.0


class NoHome(DispatchError):
    """No ready agent that serves the service is known."""

    code = "no_home"
    status = 503


class JobRoute(NamedTuple):
    """The process that answers for a job.

    :param peer: the process to send requests to, or None if none is left
    :param is_archive: whether the home has left; ``peer`` then only holds its records
    """

    peer: Peer | None
    is_archive: bool


class Homes:
    """Selects homes by load and resolves the homes that tickets name."""

    def __init__(
        self,
        roster: Roster,
        keyring: Keyring,
        clock: Clock,
        domain: str,
        source: random.Random | None = None,
    ):
        """Store the collaborators and subscribe to membership changes.

        :param roster: known members
        :param keyring: signs the tickets
        :param clock: source of time
        :param domain: failure domain of this process, whose agents are preferred
        :param source: source of random numbers, or None for a new one
        """
        self._roster = roster
        self._keyring = keyring
        self._clock = clock
        self._domain = domain
        self._random = source or random.Random()
        self._loads: dict[Peer, Load] = {}
        self._tasks_since_report: Counter[Peer] = Counter()
        roster.subscribe(self._member_changed)

    def issue_ticket(self, service: str) -> str:
        """Return a ticket for a home chosen by load.

        :raises NoHome: if no ready agent serves the service
        """
        return self._keyring.issue(self.choose_home(service), service, self._clock.wall_ms())

    def choose_home(self, service: str) -> Peer:
        """Return the less loaded of two agents sampled at random.

        Agents of other failure domains are considered only if the own one has none.

        :raises NoHome: if no ready agent serves the service
        """
        members = self._roster.agents(service, self._domain) or self._roster.agents(service)
        if not members:
            raise NoHome(f"no ready agent serves {service!r}", NO_HOME_RETRY_AFTER_MS)
        sampled = self._random.sample(members, min(2, len(members)))
        return peer_of(min(sampled, key=self._rank_by_load))

    def find_route(self, ticket: Ticket) -> JobRoute:
        """Return the process that answers for a ticket's job.

        A home that left names the process that took over its records; such
        references are followed at most ``MAX_ARCHIVE_HOPS`` times.
        """
        peer, hops = ticket.home, 0
        member = self._roster.get(peer)
        while member is not None and member.state == MEMBER_LEFT:
            if not member.archive or hops >= MAX_ARCHIVE_HOPS:
                return JobRoute(None, True)
            peer = Peer(member.archive, member.archive_incarnation)
            member = self._roster.get(peer)
            hops += 1
        return JobRoute(peer, hops > 0)

    def record_routed_tasks(self, peer: Peer, tasks: int) -> None:
        """Count tasks sent to a home since it last reported its load.

        :param peer: the home
        :param tasks: number of tasks sent
        """
        self._tasks_since_report[peer] += tasks

    def record_load(self, peer: Peer, load: Load) -> None:
        """Store the load that a home reported in an answer and reset its count of sent tasks."""
        self._loads[peer] = load
        self._tasks_since_report.pop(peer, None)

    def _rank_by_load(self, member: Member) -> tuple[float, int]:
        peer = peer_of(member)
        load = self._loads.get(peer, member.load)
        slots = max(1, load.slots)
        excess = max(0, self._tasks_since_report[peer] - load.free)
        wait_ms = load.wait_ms + load.backlog_ms / slots
        return wait_ms + excess * ASSUMED_TASK_MS / slots, self._tasks_since_report[
            peer
        ] - load.free

    def _member_changed(self, member: Member) -> None:
        peer = peer_of(member)
        self._loads.pop(peer, None)
        self._tasks_since_report.pop(peer, None)
