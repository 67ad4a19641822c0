"""Divide the workers among dispatchers: each worker has one owner that places tasks on it.

Pure functions. All dispatchers that know the same members compute the same assignment without
exchanging messages. If dispatchers shared workers, they would send them more runs than fit
when a burst fills all workers. If a dispatcher is lost, its workers go to the others while
most other workers keep their owner.
"""

from collections.abc import Mapping
from typing import NamedTuple
from zlib import crc32

# Approximate number of workers of a dispatcher. Small groups fill up while others have free
# capacity; large ones concentrate placement in one process, so that more is lost when it dies.
GROUP_WORKERS = 12
# Maximum number of workers per core of a dispatcher's processor. It is still lightly loaded when
# all of them are busy; a saturated dispatcher would delay the start of tasks.
WORKERS_PER_CORE = 16


class Owner(NamedTuple):
    """A dispatcher that can own workers.

    :param domain: failure domain of the dispatcher
    :param capacity: processing capacity in cores
    """

    address: str
    domain: str
    capacity: float


class WorkerLocation(NamedTuple):
    """Service and location of a worker."""

    service: str
    domain: str
    rack: str


def assign_workers(
    members: list[Owner],
    workers: Mapping[str, WorkerLocation],
    group_workers: float = GROUP_WORKERS,
) -> dict[str, str]:
    """Return the address of the owner of each worker of one service.

    An owner gets at most its share by capacity. Workers prefer owners in their failure domain.
    Workers of a rack prefer the same owner, so that one dispatcher can serve a job near its data
    with all of them.

    :param members: all dispatchers
    :param workers: workers by address
    :param group_workers: target number of workers per owner
    """
    owners = choose_owners(members, len(workers), group_workers)
    if not owners:
        return {}
    sizes = {owner.address: _group_size(owner, group_workers) for owner in owners}
    total = sum(sizes.values())
    quota = {address: -int(-len(workers) * size // total) for address, size in sizes.items()}
    rankings: dict[WorkerLocation, list[Owner]] = {}
    assignment: dict[str, str] = {}
    for address in sorted(workers, key=_hash):
        site = workers[address]
        ranking = rankings.get(site)
        if ranking is None:
            ranking = rankings[site] = _rank_owners(site, owners)
        for owner in ranking:
            if quota[owner.address] > 0:
                quota[owner.address] -= 1
                assignment[address] = owner.address
                break
    return assignment


def choose_owners(
    members: list[Owner], workers: int, group_workers: float = GROUP_WORKERS
) -> list[Owner]:
    """Return the dispatchers that own workers.

    The fastest of each failure domain come first, then the second fastest of each, and so on,
    until there are enough for the workers.

    :param members: all dispatchers
    :param workers: number of workers
    :param group_workers: target number of workers per owner
    """
    ordered = sorted(members, key=lambda member: (-member.capacity, _hash(member.address)))
    domain_counts: dict[str, int] = {}
    domain_ranks = {}
    for member in ordered:
        domain_ranks[member.address] = domain_counts.get(member.domain, 0)
        domain_counts[member.domain] = domain_ranks[member.address] + 1
    ordered.sort(key=lambda member: domain_ranks[member.address])
    owners: list[Owner] = []
    unassigned = float(workers)
    for member in ordered:
        size = _group_size(member, group_workers)
        if owners and unassigned < size / 2:
            break
        owners.append(member)
        unassigned -= size
    return owners


def _group_size(owner: Owner, group_workers: float) -> float:
    """Return the target number of workers of an owner."""
    return min(group_workers, WORKERS_PER_CORE * owner.capacity)


def _rank_owners(site: WorkerLocation, owners: list[Owner]) -> list[Owner]:
    """Return the owners in a site's order of preference, by rendezvous hashing."""
    location = f"{site.domain}/{site.rack}/"
    return sorted(
        owners, key=lambda owner: (owner.domain != site.domain, _hash(location + owner.address))
    )


def _hash(text: str) -> int:
    """Return a hash that is the same in all processes."""
    return crc32(text.encode())
