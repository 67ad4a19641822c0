"""HTTP interface for the reports of the minion beside an executor."""

import logging
from typing import Annotated, Literal

import eventlet
import msgspec

from geraniumspool.contracts import Counters, MinionIncarnation
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.executor import Executor
from geraniumspool.reply import Reply, reply_json, reply_problem
from geraniumspool.report_checks import find_report_fault
from geraniumspool.rooms import Resources
from geraniumspool.routes import Request, Route
from geraniumspool.run_messages import UNKNOWN_DEPARTURE
from geraniumspool.web import WebApplication

_LOG = logging.getLogger(__name__)

# Longest report that is read; usual ones have under a kilobyte.
MAX_BODY_BYTES = 256 << 10


Amount = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
RemainingTime = Annotated[float, msgspec.Meta(ge=0)]


class RoomBody(msgspec.Struct, frozen=True):
    """Total resources of a minion.

    :ivar cpu: thousandths of a core
    :ivar mem_mb: memory in MB
    :ivar gpu: number of accelerators
    """

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class ReportBody(msgspec.Struct):
    """A minion's periodic report.

    A report without a required field or with an unknown state is rejected: it may not come
    from a minion, so no task may be sent to the address in it.

    :ivar service: service whose tasks the minion runs
    :ivar addr: ``host:port`` at which the executor calls the minion
    :ivar seq: number of the report since the minion started
    :ivar born: Unix time in milliseconds at which the minion started
    :ivar labels: labels that tasks can require; the last one is the rack
    :ivar remaining_ms: least time until a draining minion shuts down. It is decoded separately: a
        report with an invalid one still says that the minion drains.
    """

    service: Name
    addr: Name
    state: Literal["ready", "draining"]
    room: RoomBody
    seq: int = 0
    born: int = 0
    labels: list[str] = []
    remaining_ms: msgspec.Raw = msgspec.Raw()


class DeregistrationBody(msgspec.Struct):
    """A minion's last report, sent as it shuts down.

    :ivar born: as in :class:`ReportBody`, 0 if the minion does not say
    """

    born: int = 0


class MinionReportsApplication(WebApplication):
    """WSGI application that passes a minion's reports to the executor."""

    def __init__(self, executor: Executor, counters: Counters):
        """Create the application.

        :param executor: receives the reports
        :param counters: where ``http_requests`` is counted by status
        """
        routes = (
            Route("POST", "/instances/{id}/heartbeat", self._handle_report),
            Route("POST", "/instances/{id}/deregister", self._handle_leave),
        )
        super().__init__(routes, MAX_BODY_BYTES, counters, _LOG)
        self._executor = executor
        # Name and start of the minion whose missing departure time was logged last.
        self._without_departure: tuple[str, int] | None = None

    def _handle_report(self, request: Request) -> Reply:
        try:
            body = msgspec.json.decode(request.body, type=ReportBody)
        except DECODE_ERRORS as error:
            return _reject_report(request, str(error))
        incarnation = MinionIncarnation(
            request.parameters[0],
            body.service,
            body.addr,
            Resources(body.room.cpu, body.room.mem_mb, body.room.gpu),
            tuple(body.labels),
            body.state == "draining",
            body.seq,
            body.born,
        )
        fault = find_report_fault(incarnation)
        if fault:
            return _reject_report(request, fault)
        # A task of its own: the executor calls the minion back before it accepts a new
        # incarnation, which would delay this reply.
        departure_ms = self._read_departure(body, incarnation)
        eventlet.spawn_n(
            self._executor.handle_minion_report, incarnation, departure_ms, is_stored=False
        )
        return reply_json(200, {})

    def _read_departure(self, body: ReportBody, incarnation: MinionIncarnation) -> float:
        """Return the least time in ms until a draining minion shuts down.

        One that does not say is logged once: its runs are not moved before it exits.
        """
        if not incarnation.draining:
            return UNKNOWN_DEPARTURE
        try:
            departure_ms = msgspec.json.decode(body.remaining_ms, type=RemainingTime)
        except DECODE_ERRORS as error:
            name = (incarnation.instance, incarnation.started_unix_ms)
            if name != self._without_departure:
                self._without_departure = name
                fields = (("instance", name[0]), ("reason", str(error)))
                _LOG.warning("departure time of minion unknown", extra={"fields": fields})
            return UNKNOWN_DEPARTURE
        return departure_ms

    def _handle_leave(self, request: Request) -> Reply:
        try:
            body = msgspec.json.decode(request.body or b"{}", type=DeregistrationBody)
        except DECODE_ERRORS as error:
            return _reject_report(request, str(error))
        self._executor.handle_minion_departure(request.parameters[0], body.born)
        return reply_json(200, {})


def _reject_report(request: Request, reason: str) -> Reply:
    fields = (("instance", request.parameters[0]), ("reason", reason))
    _LOG.warning("invalid minion report", extra={"fields": fields})
    return reply_problem(400, "invalid_input", reason)
