"""Format of the operators' configuration in the platform's store."""

import logging
from typing import Annotated, TypeAlias

import msgspec

from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.operator_keys import OperatorKeys
from geraniumspool.queues import Queue, QueueTable

_LOG = logging.getLogger(__name__)

OPERATOR_KEYS = OperatorKeys("op/", "op/config", "op/evacuate/")


# Larger weights would let the parts of the other queues vanish in rounding.
MAX_WEIGHT = 1_000.0
Weight: TypeAlias = Annotated[float, msgspec.Meta(gt=0, le=MAX_WEIGHT)]


class RouteBody(msgspec.Struct):
    """A queue, as a stored configuration describes it.

    :ivar host: host name in the callers' requests
    :ivar prefix: path prefix of the queue's requests
    :ivar priority: urgency, 0 is the most urgent
    :ivar attempts: most runs of a task that may end as failed
    :ivar stretch: factor of the job's estimated run time in the latency objective
    :ivar target_duration_ms: constant part of the latency objective
    :ivar timeout_ms: longest wait of a caller; jobs are not limited by it
    :ivar weight: part of the capacity reserved for the queues of a service, relative to the others
    :ivar hint: set if an external service decides which minions may run the queue's tasks
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
    weight: Weight = 1.0


class Limits(msgspec.Struct, frozen=True):
    """Limits of requests.

    :ivar max_body_bytes: longest request body, 0 for no limit
    """

    max_body_bytes: int = 0


class ConfigurationBody(msgspec.Struct):
    """A stored configuration; each version replaces the one before it completely."""

    version: int
    routes: list[RouteBody] = []
    limits: Limits = Limits()


def decode_configuration(data: bytes) -> QueueTable | None:
    """Return the queues of a stored configuration, or None if it is invalid.

    :param data: JSON text of a :class:`ConfigurationBody`
    """
    try:
        configuration = msgspec.json.decode(data, type=ConfigurationBody)
    except DECODE_ERRORS as error:
        _LOG.error("invalid stored configuration", extra={"fields": (("error", str(error)),)})
        return None
    queues = tuple(map(_queue_from_route, configuration.routes))
    return QueueTable(configuration.version, queues, configuration.limits.max_body_bytes)


def _queue_from_route(route: RouteBody) -> Queue:
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
        route.weight,
    )
