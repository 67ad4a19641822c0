"""Replies of the HTTP layer, failures among them as problem details."""

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
    """What a handler answers."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()


class ProblemFinding(TypedDict):
    """One fault of the input inside a :class:`Problem`."""

    place: str
    line: int
    path: str
    text: str


class Problem(TypedDict):
    """Problem details of RFC 9457 with this project's members."""

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
    """Return whole seconds for a ``Retry-After`` header, rounded up."""
    return max(0, math.ceil(retry_after_ms / MS_PER_SECOND))


def reply_json(status: int, value: Any, **headers: str) -> Reply:
    """Return a reply with a JSON body.

    :param status: HTTP status
    :param value: anything that :mod:`msgspec` encodes; ``msgspec.Raw`` is embedded
    :param headers: further headers, named like ``retry_after``
    """
    named = tuple((name.replace("_", "-").title(), text) for name, text in headers.items())
    return Reply(status, _ENCODER.encode(value), JSON, named)


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
    """Return a failure as problem details; members without a value are left out.

    :param status: HTTP status
    :param code: stable code that programs may rely on
    :param detail: what happened, for people
    :param outcome: ``not_run`` or ``may_have_run`` where the request was for a job
    :param decision: the decision behind a refusal
    :param retry_after_ms: when another try may help, in milliseconds
    :param next_ticket: a fresh ticket for the caller's next job
    :param job: the ticket of the job that the answer is about
    :param findings: all faults found in the input
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
    listed = [ProblemFinding(**finding._asdict()) for finding in findings]
    if listed:
        problem["findings"] = listed
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after_ms is not None:
        problem["retry_after_ms"] = retry_after_ms
        headers = (("Retry-After", str(retry_after_s(retry_after_ms))),)
    return Reply(status, _ENCODER.encode(problem), PROBLEM_JSON, headers)


def reply_error(error: DispatchError) -> Reply:
    """Return the problem details of a typed error."""
    return reply_problem(
        error.status,
        error.code,
        error.detail,
        retry_after_ms=error.retry_after_ms,
        findings=getattr(error, "findings", ()),
    )
