"""Demand and configuration revisions that other entries reported in their last digests."""

from typing import NamedTuple

from geraniumspool.contracts import Clock
from geraniumspool.messages import Digest, Peer

DemandRow = tuple[str, float, float]
Demand = tuple[DemandRow, ...]


class PeerDemand(NamedTuple):
    """Demand that another entry reported.

    :param entry: the reporting entry; one of another domain reports its whole domain's demand
    :param demand: task rate per second and running tasks, per team
    """

    entry: Peer
    demand: Demand


class EntryReport(NamedTuple):
    """The last report of one entry.

    :param domain: the entry's failure domain
    :param heard_ms: time of its last digest, in milliseconds of the clock
    :param demand: task rate per second and running tasks, per team
    :param in_force: lowest configuration revision of its agents, per failure domain
    :param config_revision: newest configuration revision that the entry has
    """

    domain: str
    heard_ms: float
    demand: Demand
    in_force: tuple[tuple[str, int], ...]
    config_revision: int


class EntryReports:
    """Stores the last report of each other entry."""

    def __init__(self, clock: Clock, timeout_ms: float):
        """Start empty.

        :param clock: source of time
        :param timeout_ms: age up to which a report counts as fresh
        """
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._reports: dict[Peer, EntryReport] = {}

    def update(self, sender: Peer, digest: Digest) -> None:
        """Update the sender's report from a digest."""
        report = self._reports.get(sender)
        known = report.demand if report and not digest.all_demand else ()
        self._reports[sender] = EntryReport(
            digest.sender.domain,
            self._clock.now(),
            apply_demand_changes(known, digest.demand),
            digest.in_force,
            digest.config_revision,
        )

    def get(self, peer: Peer) -> EntryReport | None:
        """Return an entry's last report, or None if there is none."""
        return self._reports.get(peer)

    def list_fresh(self) -> list[tuple[Peer, EntryReport]]:
        """Return the reports that are not older than the timeout, with their senders."""
        limit_ms = self._clock.now() - self._timeout_ms
        return [(peer, r) for peer, r in self._reports.items() if r.heard_ms >= limit_ms]

    def list_demand(self) -> list[PeerDemand]:
        """Return the demand in the fresh reports of other entries."""
        return [PeerDemand(peer, report.demand) for peer, report in self.list_fresh()]

    def prune(self, living: set[Peer]) -> None:
        """Remove the reports of entries that are gone.

        :param living: entries whose reports to keep
        """
        for peer in [peer for peer in self._reports if peer not in living]:
            del self._reports[peer]


def apply_demand_changes(known: Demand, changes: Demand) -> Demand:
    """Apply changes to a demand and return the result.

    :param known: demand before the changes
    :param changes: new and changed rows; a row of zeros removes a team
    """
    if not changes:
        return known
    rows = {row[0]: row for row in (*known, *changes)}
    return tuple(row for row in rows.values() if any(row[1:]))


def find_demand_changes(reported: Demand, demand: Demand) -> Demand:
    """Return the changes that turn the demand reported last into the current one.

    :param reported: demand that the receiver has
    :param demand: current demand
    """
    if reported is demand:
        return ()
    before = {row[0]: row for row in reported}
    changes = [row for row in demand if before.pop(row[0], None) != row]
    return (*changes, *((team, 0, 0) for team in before))
