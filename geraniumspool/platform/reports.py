"""Reports of the minion beside an agent."""

import logging
from typing import Annotated, Literal

import eventlet
import msgspec

from geraniumspool.contracts import Counters, MinionLife
from geraniumspool.executor import Executor
from geraniumspool.reply import Reply, reply_json, reply_problem
from geraniumspool.rooms import Room
from geraniumspool.routes import Request, Route
from geraniumspool.web import Application

_LOG = logging.getLogger(__name__)

MAX_BODY_BYTES = 4 << 20


Amount = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1)]


class RoomBody(msgspec.Struct, frozen=True):
    """All the room of a minion; ``cpu`` is in thousandths of a core."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class ReportBody(msgspec.Struct):
    """What a minion says of itself; the last of ``labels`` names its rack.

    ``born`` is the Unix time in ms at which it started; ``seq`` counts reports from then on.

    A report that lacks one of these or has another state is no minion's: nothing may run on
    what it names.
    """

    service: Name
    addr: Name
    state: Literal["ready", "draining"]
    room: RoomBody
    seq: int = 0
    born: int = 0
    labels: list[str] = []


class LeaveBody(msgspec.Struct):
    """What a minion may say at its end; see :class:`ReportBody`."""

    born: int = 0


class Reports(Application):
    """Takes a minion's reports for the executor."""

    def __init__(self, executor: Executor, counters: Counters):
        """Connect the parts."""
        routes = (
            Route("POST", "/instances/{id}/heartbeat", self._take_report),
            Route("POST", "/instances/{id}/deregister", self._take_leave),
        )
        super().__init__(routes, MAX_BODY_BYTES, counters, _LOG)
        self._executor = executor

    def _take_report(self, request: Request) -> Reply:
        try:
            body = msgspec.json.decode(request.body, type=ReportBody)
        except msgspec.MsgspecError as error:
            return _refuse(request, error)
        life = MinionLife(
            request.parameters[0],
            body.service,
            body.addr,
            Room(body.room.cpu, body.room.mem_mb, body.room.gpu),
            tuple(body.labels),
            body.state == "draining",
            body.seq,
            body.born,
        )
        # The executor calls the minion back before it takes a new life.
        eventlet.spawn_n(self._executor.take_life, life)
        return reply_json(200, {})

    def _take_leave(self, request: Request) -> Reply:
        try:
            body = msgspec.json.decode(request.body or b"{}", type=LeaveBody)
        except msgspec.MsgspecError as error:
            return _refuse(request, error)
        self._executor.lose_life(request.parameters[0], body.born)
        return reply_json(200, {})


def _refuse(request: Request, error: msgspec.MsgspecError) -> Reply:
    fields = (("instance", request.parameters[0]), ("reason", str(error)))
    _LOG.warning("report not readable", extra={"fields": fields})
    return reply_problem(400, "invalid_input", str(error))
