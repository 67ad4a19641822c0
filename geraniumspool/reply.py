"""HTTP replies; failures are reported as problem details (RFC 9457)."""

import math
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.errors import DispatchError, Finding

JSON = "application/json"
PROBLEM_JSON = "application/problem+json"
PROBLEM_TYPE = "urn:geraniumspool:"
STATUS_LINES = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}

_ENCODER = msgspec.json.Encoder()


class Reply(NamedTuple):
    """HTTP reply of a handler."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()


class ProblemFinding(TypedDict):
    """One error found in the input; see :class:`~geraniumspool.errors.Finding`."""

    place: str
    line: int
    path: str
    text: str


class Problem(TypedDict):
    """Problem details of RFC 9457 with extension members; see :func:`reply_problem`."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: NotRequired[str]
    decision: NotRequired[Any]
    retry_after_ms: NotRequired[float]
    next_ticket: NotRequired[str]
    job: NotRequired[str]
    findings: NotRequired[list[ProblemFinding]]


def retry_after_s(retry_after_ms: float) -> int:
    """Return the value of a ``Retry-After`` header: whole seconds, rounded up, never negative."""
    return max(0, math.ceil(retry_after_ms / MS_PER_SECOND))


def reply_json(status: int, value: Any, **headers: str) -> Reply:
    """Return a reply with a JSON body.

    :param status: HTTP status
    :param value: any value that :mod:`msgspec` can encode; ``msgspec.Raw`` is embedded as it is
    :param headers: additional headers; ``retry_after`` sets ``Retry-After``
    """
    header_pairs = tuple((name.replace("_", "-").title(), text) for name, text in headers.items())
    return Reply(status, _ENCODER.encode(value), JSON, header_pairs)


def reply_problem(
    status: int,
    code: str,
    detail: str,
    outcome: str | None = None,
    decision: Any = None,
    retry_after_ms: float | None = None,
    next_ticket: str | None = None,
    job: str | None = None,
    findings: Iterable[Finding] = (),
) -> Reply:
    """Return an error reply with problem details; members without a value are omitted.

    :param status: HTTP status
    :param code: stable, machine-readable error code
    :param detail: human-readable description of the error
    :param outcome: ``not_run`` or ``may_have_run`` for a request about a job
    :param decision: the decision that caused a refusal
    :param retry_after_ms: time after which a retry may succeed, in milliseconds
    :param next_ticket: new ticket for the caller's next job
    :param job: ticket of the job that the reply is about
    :param findings: all errors found in the input
    """
    problem: Problem = {
        "type": PROBLEM_TYPE + code,
        "title": code.replace("_", " ").capitalize(),
        "status": status,
        "detail": detail,
        "code": code,
    }
    if outcome is not None:
        problem["outcome"] = outcome
    if decision is not None:
        problem["decision"] = decision
    if job is not None:
        problem["job"] = job
    if next_ticket is not None:
        problem["next_ticket"] = next_ticket
    finding_list = [ProblemFinding(**finding._asdict()) for finding in findings]
    if finding_list:
        problem["findings"] = finding_list
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after_ms is not None:
        problem["retry_after_ms"] = retry_after_ms
        headers = (("Retry-After", str(retry_after_s(retry_after_ms))),)
    return Reply(status, _ENCODER.encode(problem), PROBLEM_JSON, headers)


def reply_error(error: DispatchError) -> Reply:
    """Return an exception of the dispatcher as a reply with problem details."""
    return reply_problem(
        error.status,
        error.code,
        error.detail,
        retry_after_ms=error.retry_after_ms,
        findings=getattr(error, "findings", ()),
    )
