"""Resource amounts that tasks need and workers offer."""

from typing import NamedTuple


class Resources(NamedTuple):
    """Amounts of CPU, memory and accelerators.

    :param cpu: CPU in thousandths of a core
    :param memory_mb: memory in MB
    :param accelerators: number of accelerators
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, need: "Resources") -> bool:
        """Return whether ``need`` exceeds no amount of this one."""
        return (
            need.cpu <= self.cpu
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def add(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def subtract(self, other: "Resources") -> "Resources":
        """Return the difference of both amounts; single resources may become negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_RESOURCES = Resources()
