"""Amounts of the resources that tasks need and workers offer."""

from typing import NamedTuple


class Room(NamedTuple):
    """An amount of each resource of a worker.

    :param cpu: thousandths of a core
    :param memory_mb: memory in MB
    :param accelerators: number of accelerators
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, need: "Room") -> bool:
        """Return whether ``need`` is at most this much of every resource."""
        return (
            need.cpu <= self.cpu
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def plus(self, other: "Room") -> "Room":
        """Return the sum of both amounts."""
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Room") -> "Room":
        """Return what is left of this amount, negative where there is too little."""
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_ROOM = Room()
