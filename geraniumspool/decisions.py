"""In-memory log of the decisions of one process, kept so that operators can query them."""

import logging
import math
import re
from collections import OrderedDict, deque
from typing import NamedTuple, TypeAlias, TypedDict

import msgspec

from geraniumspool.contracts import Clock
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import MalformedMessage

JOB_ACCEPTED = "job_accepted"
JOB_JOINED = "job_joined"
JOB_REFUSED_OVERLOAD = "job_refused_overload"
JOB_REFUSED_DEADLINE = "job_refused_deadline"
JOB_REFUSED_QUOTA = "job_refused_quota"
JOB_REFUSED_NO_CAPACITY = "job_refused_no_capacity"
JOB_REFUSED_LEAVING = "job_refused_leaving"
JOB_COMPLETE = "job_complete"
JOB_FAILED = "job_failed"
JOB_CANCELLED = "job_cancelled"
JOB_EXPIRED = "job_expired"
TASK_PLACED = "task_placed"
TASK_REFUSED = "task_refused"
TASK_REVOKED = "task_revoked"
TASK_OUTCOME_UNKNOWN = "task_outcome_unknown"
TASK_FAILED = "task_failed"
WORKER_EJECTED = "worker_ejected"
WORKER_PROBED = "worker_probed"
WORKER_RESTORED = "worker_restored"
WORKER_SILENT = "worker_silent"
CONFIG_TAKEN = "config_taken"
HOME_CHOSEN = "home_chosen"
TICKET_HOME_GONE = "ticket_home_gone"
KEY_UNBOUND = "key_unbound"
SERVICE_UNSERVED = "service_unserved"
RECORDS_HANDED_OVER = "records_handed_over"
DRAIN_STARTED = "drain_started"
DRAIN_FINISHED = "drain_finished"
DOMAIN_EVACUATED = "domain_evacuated"
DOMAIN_RESTORED = "domain_restored"

EXPLANATIONS: dict[str, str] = {
    JOB_ACCEPTED: "The home took the job; its predicted wait meets the deadline.",
    JOB_JOINED: "The same job was submitted again and joined the one that is known.",
    JOB_REFUSED_OVERLOAD: "Not run: the queue is full; another try may help later.",
    JOB_REFUSED_DEADLINE: "Not run: the predicted wait is longer than the deadline allows.",
    JOB_REFUSED_QUOTA: "Not run: the team already uses its whole quota.",
    JOB_REFUSED_NO_CAPACITY: "Not run: no known worker has a minion that can take every task.",
    JOB_REFUSED_LEAVING: "Not run: the process is leaving and takes no new jobs.",
    JOB_COMPLETE: "Every task has a result; the whole answer was given.",
    JOB_FAILED: "The job ended without a complete answer.",
    JOB_CANCELLED: "The caller cancelled the job; tasks that had not started never will.",
    JOB_EXPIRED: "The deadline passed; tasks that had not started never will.",
    TASK_PLACED: "The task was offered to a worker with a free or soon free slot.",
    TASK_REFUSED: "A worker refused the task; it did not start there and may be placed again.",
    TASK_REVOKED: "The offer was withdrawn; the worker had not started the task.",
    TASK_OUTCOME_UNKNOWN: "The task's answer was lost: it may have run, so it is not repeated.",
    TASK_FAILED: "The minion answered the task with an error.",
    WORKER_EJECTED: "Tasks failed at the worker or took far too long; it gets no new ones for now.",
    WORKER_PROBED: "An ejected worker was given one task to see whether it works again.",
    WORKER_RESTORED: "The probes succeeded; the worker gets tasks as before.",
    WORKER_SILENT: "The worker was not heard from in time and counts as gone.",
    CONFIG_TAKEN: "A newer revision of a configuration document is in force.",
    HOME_CHOSEN: "The entry chose the process that may run the job.",
    TICKET_HOME_GONE: "The ticket's home is gone: the job may have run and is not repeated.",
    KEY_UNBOUND: "The idempotency key's ticket could not be looked up, or the key is too old.",
    SERVICE_UNSERVED: "No ready agent serves the service; nothing was submitted.",
    RECORDS_HANDED_OVER: "A leaving process handed its finished jobs to a peer.",
    DRAIN_STARTED: "The process began to leave; it takes no new work.",
    DRAIN_FINISHED: "The process finished what was running and can end.",
    DOMAIN_EVACUATED: "Its failure domain is evacuated: no task is started there any more.",
    DOMAIN_RESTORED: "Its failure domain was taken back; tasks are started there as before.",
}

LOGGED_CODES = frozenset(
    {
        WORKER_EJECTED,
        WORKER_RESTORED,
        WORKER_SILENT,
        CONFIG_TAKEN,
        RECORDS_HANDED_OVER,
        DRAIN_STARTED,
        DRAIN_FINISHED,
        DOMAIN_EVACUATED,
        DOMAIN_RESTORED,
    }
)

MAX_FIGURES = 16
MAX_TEXT_CHARS = 200
MAX_INTEGER = 2**63 - 1

Figure: TypeAlias = str | float | int

_ID = re.compile(r"d-([0-9a-f]{1,16})-([0-9]{1,18})")


class Decision(NamedTuple):
    """One decision with the values on which it was based.

    :param id: unique id, which contains the incarnation of the process that decided
    :param at_ms: time, milliseconds since the epoch
    :param code: one of the codes in ``EXPLANATIONS``
    :param subject: a job's random number in hex, a peer's address, a document key or a
        failure domain
    :param figures: names and values, in the order in which they were recorded
    """

    id: str
    at_ms: int
    code: str
    subject: str
    figures: tuple[tuple[str, Figure], ...]


class DecisionDocument(TypedDict):
    """JSON form of a decision, with the fields of :class:`Decision`."""

    id: str
    at_ms: int
    code: str
    subject: str
    figures: dict[str, Figure]


class DecisionLog:
    """Keeps the latest decisions of one process, limited in number and size."""

    def __init__(
        self,
        incarnation: int,
        clock: Clock,
        logger: logging.Logger,
        max_decisions: int = 20000,
        max_per_subject: int = 400,
    ):
        """Start empty.

        :param incarnation: incarnation of this process, part of every id
        :param clock: source of the time of each decision
        :param logger: logs the codes in ``LOGGED_CODES`` at info, others at debug
        :param max_decisions: maximum number of decisions kept; the oldest are dropped first
        :param max_per_subject: maximum number of decisions kept per subject
        """
        self._prefix = f"d-{incarnation:x}-"
        self._incarnation = incarnation
        self._clock = clock
        self._logger = logger
        self._max_decisions = max_decisions
        self._max_per_subject = max_per_subject
        self._last_number = 0
        self._entries: OrderedDict[int, Decision] = OrderedDict()
        self._numbers: dict[str, deque[int]] = {}

    def __len__(self) -> int:
        """Return the number of decisions kept."""
        return len(self._entries)

    def record(self, code: str, subject: str, /, **figures: Figure) -> str:
        """Record and log a decision.

        :param code: one of the codes in ``EXPLANATIONS``
        :param subject: the job, peer, document or domain that it concerns
        :param figures: values on which it was based; at most ``MAX_FIGURES`` are kept, and
            long texts are truncated
        :returns: the decision's id
        """
        self._last_number = number = self._last_number + 1
        subject = subject[:MAX_TEXT_CHARS]
        trimmed = tuple((name, _limit_value(value)) for name, value in figures.items())[
            :MAX_FIGURES
        ]
        decision = Decision(
            f"{self._prefix}{number}", self._clock.wall_ms(), code, subject, trimmed
        )
        self._entries[number] = decision
        self._add_to_subject(subject, number)
        if len(self._entries) > self._max_decisions:
            self._drop_oldest()
        self._log_decision(decision)
        return decision.id

    def list_by_subject(self, subject: str) -> list[Decision]:
        """Return the decisions kept on a subject, oldest first.

        :param subject: a job's random number in hex, a peer's address, a document key or a
            failure domain
        """
        numbers = self._numbers.get(subject[:MAX_TEXT_CHARS], ())
        return [self._entries[number] for number in numbers]

    def get(self, decision_id: str) -> Decision | None:
        """Return one decision, or None if it is unknown or no longer kept.

        :param decision_id: an id that :meth:`record` returned
        """
        match = _ID.fullmatch(decision_id)
        if match is None or int(match[1], 16) != self._incarnation:
            return None
        return self._entries.get(int(match[2]))

    def _add_to_subject(self, subject: str, number: int) -> None:
        numbers = self._numbers.get(subject)
        if numbers is None:
            numbers = self._numbers[subject] = deque()
        numbers.append(number)
        if len(numbers) > self._max_per_subject:
            del self._entries[numbers.popleft()]

    def _drop_oldest(self) -> None:
        _, oldest = self._entries.popitem(last=False)
        numbers = self._numbers[oldest.subject]
        numbers.popleft()
        if not numbers:
            del self._numbers[oldest.subject]

    def _log_decision(self, decision: Decision) -> None:
        level = logging.INFO if decision.code in LOGGED_CODES else logging.DEBUG
        if self._logger.isEnabledFor(level):
            fields = (("decision", decision.id), ("subject", decision.subject), *decision.figures)
            self._logger.log(level, decision.code, extra={"fields": fields})


def to_document(decision: Decision) -> DecisionDocument:
    """Return the JSON form of a decision."""
    return DecisionDocument(
        id=decision.id,
        at_ms=decision.at_ms,
        code=decision.code,
        subject=decision.subject,
        figures=dict(decision.figures),
    )


def encode_decisions(decisions: list[Decision]) -> bytes:
    """Encode decisions as a JSON array of objects, in the given order."""
    return msgspec.json.encode([to_document(decision) for decision in decisions])


def decode_decisions(data: bytes) -> list[Decision]:
    """Decode decisions.

    :param data: result of :func:`encode_decisions`
    :raises MalformedMessage: if the data cannot be decoded
    """
    try:
        documents = msgspec.json.decode(data, type=list[DecisionDocument])
    except DECODE_ERRORS as error:
        raise MalformedMessage(str(error)) from error
    return [
        Decision(
            document["id"],
            document["at_ms"],
            document["code"],
            document["subject"],
            tuple(document["figures"].items()),
        )
        for document in documents
    ]


def parse_decision_id(text: str) -> int | None:
    """Return the incarnation in a decision id, or None if the text is not a decision id.

    :param text: text that may be a decision id
    """
    match = _ID.fullmatch(text)
    return None if match is None else int(match[1], 16)


def _limit_value(value: Figure) -> Figure:
    kind = type(value)
    if kind is float:
        return value if math.isfinite(value) else str(value)
    if kind is int:
        return value if -MAX_INTEGER <= value <= MAX_INTEGER else str(value)[:MAX_TEXT_CHARS]
    if kind is bool:
        return int(value)
    if kind is not str:
        value = str(value)
    return value if len(value) <= MAX_TEXT_CHARS else value[:MAX_TEXT_CHARS]
