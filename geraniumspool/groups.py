"""Divides the workers among dispatchers: each worker has one that places tasks there.

Plain functions. All dispatchers that know the same members come to the same groups
without a message. Answered load patterns: bursts that fill all workers, in which
dispatchers that share workers order more than fits; the loss of dispatchers, whose
workers go to the others while most of the rest stay where they are.
"""

from collections.abc import Mapping
from typing import NamedTuple
from zlib import crc32

# Dispatchers place on about this many workers: smaller groups are full while others have
# room, larger ones have one process place all and lose more when it dies.
GROUP_WORKERS = 12
# At this many busy workers a core an owner has time to spare; a start waits for a busy one.
WORKERS_PER_CORE = 16


class Owner(NamedTuple):
    """A dispatcher that may place tasks.

    :param capacity: speed of its processor, of cores
    """

    address: str
    domain: str
    capacity: float


class Site(NamedTuple):
    """What a worker is for, and where it is."""

    service: str
    domain: str
    rack: str


def divide(
    members: list[Owner], workers: Mapping[str, Site], group_workers: float = GROUP_WORKERS
) -> dict[str, str]:
    """Return the address of the owner of each worker of one service.

    An owner has at most its share by capacity. Workers prefer owners in their failure
    domain, and those of a rack the same one, so that jobs near their data find them together.
    """
    owners = choose_owners(members, len(workers), group_workers)
    if not owners:
        return {}
    sizes = {owner.address: _size_of(owner, group_workers) for owner in owners}
    total = sum(sizes.values())
    quota = {address: -int(-len(workers) * size // total) for address, size in sizes.items()}
    scores: dict[Site, list[Owner]] = {}
    groups: dict[str, str] = {}
    for address in sorted(workers, key=_hash):
        site = workers[address]
        ranked = scores.get(site)
        if ranked is None:
            ranked = scores[site] = _rank_owners(site, owners)
        for owner in ranked:
            if quota[owner.address] > 0:
                quota[owner.address] -= 1
                groups[address] = owner.address
                break
    return groups


def choose_owners(
    members: list[Owner], workers: int, group_workers: float = GROUP_WORKERS
) -> list[Owner]:
    """Return the dispatchers that own groups: the fastest of each failure domain first."""
    ordered = sorted(members, key=lambda member: (-member.capacity, _hash(member.address)))
    seen: dict[str, int] = {}
    places = {}
    for member in ordered:
        places[member.address] = seen.get(member.domain, 0)
        seen[member.domain] = places[member.address] + 1
    ordered.sort(key=lambda member: places[member.address])
    owners: list[Owner] = []
    left = float(workers)
    for member in ordered:
        size = _size_of(member, group_workers)
        if owners and left < size / 2:
            break
        owners.append(member)
        left -= size
    return owners


def _size_of(owner: Owner, group_workers: float) -> float:
    """Return how many workers an owner is meant to have."""
    return min(group_workers, WORKERS_PER_CORE * owner.capacity)


def _rank_owners(site: Site, owners: list[Owner]) -> list[Owner]:
    place = f"{site.domain}/{site.rack}/"
    return sorted(
        owners, key=lambda owner: (owner.domain != site.domain, _hash(place + owner.address))
    )


def _hash(text: str) -> int:
    return crc32(text.encode())
