"""Queues that operators configure: where callers submit jobs and how these are served."""

import logging
from typing import NamedTuple

_LOG = logging.getLogger(__name__)


class Queue(NamedTuple):
    """A queue, to which callers submit jobs under a host and a path prefix.

    :param host: host name that callers address
    :param prefix: path prefix of job submissions
    :param service: service whose minions run the tasks
    :param priority: priority, 0 is the most urgent
    :param attempts: number of failed runs of a task after which its job fails
    :param objective_factor: latency objective as a multiple of the job's expected run time
    :param objective_ms: constant part of the latency objective in ms, added to the multiple
    :param timeout_ms: upper bound of a caller's timeout in ms, whatever it asks for
    :param advised: whether a service restricts which minions may run a task
    :param weight: its part of the capacity that is reserved for the queues of its service,
        relative to the others
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
    weight: float = 1.0


class QueueTable:
    """Queues of one version of the configuration."""

    def __init__(self, version: int, queues: tuple[Queue, ...], max_body_bytes: int = 0):
        """Index the queues by host.

        :param version: version number, which rises with each change, not always by one
        :param max_body_bytes: maximum size of a request body, 0 for no limit
        """
        self.version = version
        self.queues = queues
        self.max_body_bytes = max_body_bytes
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for host_queues in self._by_host.values():
            host_queues.sort(key=lambda queue: -len(queue.prefix))

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that matches a path, or None.

        :param host: host that the caller addressed, without the port
        """
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class QueueConfiguration:
    """Queue configuration in use by one process; an older version never replaces a newer one.

    :ivar table: queues of the version in use, None before the first one
    """

    def __init__(self):
        """Start without a configuration."""
        self.table: QueueTable | None = None

    def apply(self, table: QueueTable) -> bool:
        """Apply a version if it is newer than the one in use; return whether it was applied."""
        if self.table is not None and table.version <= self.table.version:
            return False
        previous_version = self.table.version if self.table else 0
        self.table = table
        _LOG.info(
            "configuration applied",
            extra={
                "fields": (
                    ("version", table.version),
                    ("before", previous_version),
                    ("queues", len(table.queues)),
                )
            },
        )
        return True
