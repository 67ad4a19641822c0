"""The operators' queues: where jobs are handed in, and how they are served."""

import logging
from typing import NamedTuple

_LOG = logging.getLogger(__name__)


class Queue(NamedTuple):
    """One queue, to which callers hand in jobs under a host and a path prefix.

    :param service: pool of minions that run its tasks
    :param priority: urgency, 0 is the most urgent
    :param attempts: most runs of a task that may end as failed
    :param objective_factor: part of the latency objective that grows with the job's work
    :param objective_ms: part of the latency objective that does not
    :param timeout_ms: longest wait of a caller whatever it asks for
    :param advised: whether only some minions may run a task, by word of a service
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    objective_factor: float = 1.0
    objective_ms: float = 0.0
    timeout_ms: float = 0.0
    advised: bool = False


class QueueTable:
    """The queues of one version of the configuration."""

    def __init__(self, version: int, queues: tuple[Queue, ...], max_body_bytes: int = 0):
        """Index the queues by host.

        :param version: rises with each change, not always by one
        :param max_body_bytes: longest body of a request, 0 for no limit
        """
        self.version = version
        self.queues = queues
        self.max_body_bytes = max_body_bytes
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for listed in self._by_host.values():
            listed.sort(key=lambda queue: -len(queue.prefix))

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, or None.

        :param host: host that the caller addressed, a port left out
        """
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class QueueConfiguration:
    """The queues in force at one process; an older version never comes back."""

    def __init__(self):
        """Start without a configuration."""
        self.table: QueueTable | None = None

    def take(self, table: QueueTable) -> bool:
        """Put a version in force unless it is older; return whether that changed anything."""
        if self.table is not None and table.version <= self.table.version:
            return False
        before = self.table.version if self.table else 0
        self.table = table
        _LOG.info(
            "configuration taken",
            extra={
                "fields": (
                    ("version", table.version),
                    ("before", before),
                    ("queues", len(table.queues)),
                )
            },
        )
        return True
