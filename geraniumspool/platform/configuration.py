"""The operators' configuration as the platform's store holds it."""

import logging

import msgspec

from geraniumspool.operator_keys import OperatorKeys
from geraniumspool.queues import Queue, QueueTable

_LOG = logging.getLogger(__name__)

OPERATOR_KEYS = OperatorKeys("op/", "op/config", "op/evacuate/")


class Route(msgspec.Struct):
    """A queue.

    ``stretch`` is the part of the latency objective that grows with the work, and
    ``target_duration_ms`` the part added to it. ``timeout_ms`` is no limit for jobs.
    ``hint`` is there where only advised minions may run its tasks.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_duration_ms: float = 0.0
    timeout_ms: float = 0.0
    hint: dict | None = None


class Limits(msgspec.Struct, frozen=True):
    """Limits of requests."""

    max_body_bytes: int = 0


class Configuration(msgspec.Struct):
    """The newest configuration in full."""

    version: int
    routes: list[Route] = []
    limits: Limits = Limits()


def decode_configuration(data: bytes) -> QueueTable | None:
    """Return the queues of a stored configuration, None where it cannot be read."""
    try:
        found = msgspec.json.decode(data, type=Configuration)
    except msgspec.MsgspecError as error:
        _LOG.error("configuration not readable", extra={"fields": (("error", str(error)),)})
        return None
    queues = tuple(map(_queue, found.routes))
    return QueueTable(found.version, queues, found.limits.max_body_bytes)


def _queue(route: Route) -> Queue:
    return Queue(
        route.name,
        route.host,
        route.prefix,
        route.service,
        route.priority,
        route.attempts,
        route.stretch,
        route.target_duration_ms,
        route.timeout_ms,
        route.hint is not None,
    )
