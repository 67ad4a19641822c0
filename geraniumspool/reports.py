"""What the other entries said in their last digests."""

from typing import NamedTuple

from geraniumspool.contracts import Clock
from geraniumspool.messages import Digest, Peer

DemandRow = tuple[str, float, float]
Demand = tuple[DemandRow, ...]


class PeerDemand(NamedTuple):
    """Demand that another entry reported.

    :param entry: the entry; one of another domain reports for its whole domain
    :param demand: tasks a second and running tasks, per team
    """

    entry: Peer
    demand: Demand


class Report(NamedTuple):
    """What one entry said of itself.

    :param domain: its failure domain
    :param heard_ms: when it was heard
    :param in_force: lowest configuration revision per failure domain it serves
    :param config_revision: newest configuration revision it has
    """

    domain: str
    heard_ms: float
    demand: Demand
    in_force: tuple[tuple[str, int], ...]
    config_revision: int


class Reports:
    """The last report of each other entry."""

    def __init__(self, clock: Clock, timeout_ms: float):
        """Start with none.

        :param timeout_ms: how long a report counts as fresh
        """
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._reports: dict[Peer, Report] = {}

    def take(self, sender: Peer, digest: Digest) -> None:
        """Keep what a digest says."""
        report = self._reports.get(sender)
        known = report.demand if report and not digest.all_demand else ()
        self._reports[sender] = Report(
            digest.sender.domain,
            self._clock.now(),
            merge(known, digest.demand),
            digest.in_force,
            digest.config_revision,
        )

    def get(self, peer: Peer) -> Report | None:
        """Return an entry's report, or None."""
        return self._reports.get(peer)

    def fresh(self) -> list[tuple[Peer, Report]]:
        """Return the reports that are not too old to count."""
        limit_ms = self._clock.now() - self._timeout_ms
        return [(peer, r) for peer, r in self._reports.items() if r.heard_ms >= limit_ms]

    def demand(self) -> list[PeerDemand]:
        """Return the demand that other entries reported lately."""
        return [PeerDemand(peer, report.demand) for peer, report in self.fresh()]

    def prune(self, living: set[Peer]) -> None:
        """Drop the reports of entries that are gone.

        :param living: those that are not
        """
        for peer in [peer for peer in self._reports if peer not in living]:
            del self._reports[peer]


def merge(known: Demand, changes: Demand) -> Demand:
    """Return demand after changes.

    :param changes: rows that are new or differ; of a team that has no demand any more, zeros
    """
    if not changes:
        return known
    rows = {row[0]: row for row in (*known, *changes)}
    return tuple(row for row in rows.values() if any(row[1:]))


def find_changes(told: Demand, demand: Demand) -> Demand:
    """Return the changes that make ``demand`` of what was told."""
    if told is demand:
        return ()
    before = {row[0]: row for row in told}
    changes = [row for row in demand if before.pop(row[0], None) != row]
    return (*changes, *((team, 0, 0) for team in before))
