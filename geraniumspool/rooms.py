"""Resource amounts that tasks need and workers offer."""

from typing import NamedTuple


class Room(NamedTuple):
    """Amounts of CPU, memory and accelerators.

    :param cpu: CPU in thousandths of a core
    :param memory_mb: memory in MB
    :param accelerators: number of accelerators
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, need: "Room") -> bool:
        """Return whether ``need`` exceeds no amount of this one."""
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
        """Return the difference of both amounts; single resources may become negative."""
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_ROOM = Room()
