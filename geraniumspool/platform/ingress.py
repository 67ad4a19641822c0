"""HTTP interface for callers' jobs as the platform forwards them, and its readiness check."""

import logging
import math
import re
from collections.abc import Callable
from typing import Any

import msgspec

from geraniumspool.connection import CONNECTION_KEY, NO_CONNECTION
from geraniumspool.contracts import Counters
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import PayloadTooLarge
from geraniumspool.job_router import JobRouter
from geraniumspool.job_specs import (
    JobOutcome,
    JobResult,
    JobSpec,
    StepSpec,
    find_size_fault,
)
from geraniumspool.queues import Queue, QueueConfiguration
from geraniumspool.reply import Reply, reply_error, reply_json, reply_problem
from geraniumspool.rooms import Resources
from geraniumspool.routed_jobs import RoutedJob
from geraniumspool.routes import Request, Route
from geraniumspool.units import MS_PER_SECOND
from geraniumspool.web import WebApplication

_LOG = logging.getLogger(__name__)

# Longest request body that is read, whether or not a configuration is known.
MAX_BODY_BYTES = 1 << 20
# Longest time that a caller is waited for. Claims are kept for as long as the longest wait.
MAX_WAIT_MS = 600_000.0
_JOB_ID = re.compile(r"[0-9a-f]{16}")


class StepBody(msgspec.Struct):
    """One step of a job; callers omit fields whose value is 0, false or empty.

    :ivar count: number of tasks, all alike
    :ivar cpu: need of one task, in thousandths of a core
    :ivar mem_mb: need of one task, in MB of memory
    :ivar gpu: need of one task, in accelerators
    :ivar estimate_ms: rough run time of one task in milliseconds, 0 for unknown
    :ivar after: indexes of earlier steps that must finish first
    :ivar required_label: label that a minion must have
    :ivar preferred_rack: rack that holds the data
    :ivar max_per_server: most tasks of the step on one minion, 0 for no limit
    :ivar gang: marks a kind of step that is not supported
    :ivar long_running: marks a kind of step that is not supported
    :ivar fills: marks a kind of step that is not supported
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    required_label: str = ""
    preferred_rack: str = ""
    max_per_server: int = 0
    gang: bool = False
    long_running: bool = False
    fills: bool = False


class JobBody(msgspec.Struct):
    """Body of a request that submits a job.

    :ivar spec: payload that every task is started with
    :ivar best_effort: whether the caller waits for the result and nothing is persisted; jobs
        without it are not supported
    :ivar times: other than 0 for a kind of job that is not supported
    """

    spec: str = ""
    steps: list[StepBody] = []
    best_effort: bool = False
    times: int = 0


class Ingress(WebApplication):
    """WSGI application that submits, cancels and counts callers' jobs.

    Paths begin with a queue's prefix, which only the configuration knows, so that requests
    are routed by :meth:`dispatch` and not by a table of routes.
    """

    def __init__(
        self,
        router: JobRouter,
        configuration: QueueConfiguration,
        counters: Counters,
        cancel: Callable[[str], bool] | None = None,
    ):
        """Create the application.

        :param router: receives the jobs
        :param configuration: the queues in force
        :param counters: where ``http_requests`` is counted by status
        :param cancel: ends a job wherever it is, and returns whether it was known; by default only
            the jobs of the router are ended
        """
        super().__init__((), MAX_BODY_BYTES, counters, _LOG)
        self._router = router
        self._cancel = cancel or router.cancel
        self._configuration = configuration

    def handle(self, environ: dict[str, Any], body: bytes) -> Reply:
        """Answer a request unless its body is longer than the operators allow."""
        table = self._configuration.table
        if table is not None and 0 < table.max_body_bytes < len(body):
            return reply_error(PayloadTooLarge(f"a body may have {table.max_body_bytes} bytes"))
        return super().handle(environ, body)

    def dispatch(self, environ: dict[str, Any], body: bytes) -> Reply:
        """Answer one request; see :meth:`geraniumspool.web.WebApplication.dispatch`."""
        table = self._configuration.table
        if table is None:
            return _refuse(503, "configuration_unknown", MS_PER_SECOND)
        path = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
        path = path.partition("?")[0]
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        queue = table.find(host, path)
        if queue is None:
            return reply_problem(404, "not_found", "there is no such queue")
        job_id = path[len(queue.prefix) :]
        method = environ["REQUEST_METHOD"]
        if method == "GET" and not job_id:
            return reply_json(200, {"pending": self._router.count_waiting(queue)})
        if not _JOB_ID.fullmatch(job_id):
            return reply_problem(404, "not_found", "this is not the id of a job")
        if method == "POST":
            return self._submit(environ, queue, job_id, body, table.version)
        if method == "DELETE" and self._cancel(job_id):
            return reply_json(200, {"state": "cancelled"})
        if method in ("GET", "DELETE"):
            return reply_problem(410, "not_found", "no such job is kept")
        return reply_problem(405, "method_not_allowed", f"{method} is not served here")

    def _submit(
        self, environ: dict[str, Any], queue: Queue, job_id: str, body: bytes, version: int
    ) -> Reply:
        try:
            job_body = msgspec.json.decode(body, type=JobBody)
        except DECODE_ERRORS as error:
            return reply_problem(400, "invalid_input", str(error))
        spec = _job_spec(job_id, job_body, queue)
        fault = find_size_fault(spec)
        if fault:
            return reply_problem(400, "invalid_input", fault)
        timeout_ms = parse_wait(environ.get("HTTP_DEADLINE_MS"))
        submitted = self._router.submit(spec, queue, timeout_ms, version)
        if not isinstance(submitted, JobResult):
            submitted = self._wait_for_result(environ, submitted)
        return _reply(submitted)

    def _wait_for_result(self, environ: dict[str, Any], job: RoutedJob) -> JobResult:
        """Wait for a job's result; the job is left if its caller closes the connection."""
        connection = environ.get(CONNECTION_KEY, NO_CONNECTION)
        unwatch = connection.watch_disconnect(lambda: self._router.remove_waiter(job))
        try:
            return self._router.wait(job)
        finally:
            unwatch()


class ReadyCheck(WebApplication):
    """WSGI application that tells a load balancer whether to send new connections here."""

    def __init__(self, is_ready: Callable[[], bool], counters: Counters):
        """Create the application.

        :param is_ready: returns whether the process accepts new callers
        :param counters: where ``http_requests`` is counted by status
        """
        super().__init__((Route("GET", "/ready", self._answer),), 0, counters, _LOG)
        self._is_ready = is_ready

    def _answer(self, _request: Request) -> Reply:
        return reply_json(200 if self._is_ready() else 503, {})


def _job_spec(job_id: str, body: JobBody, queue: Queue) -> JobSpec:
    return JobSpec(
        job_id, body.spec, tuple(map(_step_spec, body.steps)), _find_unsupported(body, queue)
    )


def _step_spec(step: StepBody) -> StepSpec:
    return StepSpec(
        step.count,
        Resources(step.cpu, step.mem_mb, step.gpu),
        step.estimate_ms,
        tuple(step.after),
        step.required_label,
        step.preferred_rack,
        step.max_per_server,
    )


def _find_unsupported(body: JobBody, queue: Queue) -> str:
    """Return the error code for a job that cannot be served, or an empty string.

    Only jobs whose caller waits are supported, and only steps whose ``after`` indexes point
    to earlier steps.
    """
    if not body.best_effort:
        return "durable_jobs_unsupported"
    if body.times or queue.advised:
        return "kind_unsupported"
    if any(step.gang or step.long_running or step.fills for step in body.steps):
        return "kind_unsupported"
    dependencies = (
        (index, earlier) for index, step in enumerate(body.steps) for earlier in step.after
    )
    if not body.steps or any(not 0 <= earlier < index for index, earlier in dependencies):
        return "steps_invalid"
    return ""


def parse_wait(text: str | None) -> float:
    """Return how long a caller waits, in milliseconds, or 0 if it is unknown.

    :param text: value of the ``Deadline-Ms`` header, None if there is none
    """
    try:
        timeout_ms = float(text or 0.0)
    except ValueError:
        _LOG.info("invalid Deadline-Ms header", extra={"fields": (("text", text),)})
        return 0.0
    return min(timeout_ms, MAX_WAIT_MS) if math.isfinite(timeout_ms) and timeout_ms > 0 else 0.0


def _reply(result: JobResult) -> Reply:
    """Return the HTTP reply for a job's result.

    The status is 503 for a refused job, which has not run and never will, and 504 for a job
    that was not finished in time, parts of which may have run.
    """
    if result.outcome is JobOutcome.REFUSED:
        return _refuse(503, result.code, result.retry_after_ms)
    if result.outcome in (JobOutcome.UNFINISHED, JobOutcome.GONE):
        return reply_problem(504, result.code, "the job was not finished in time")
    succeeded = result.outcome is JobOutcome.SUCCEEDED
    answer = {"state": "succeeded" if succeeded else "failed"}
    if result.code:
        answer["reason"] = result.code
    return reply_json(200, answer)


def _refuse(status: int, code: str, retry_after_ms: float) -> Reply:
    return reply_problem(
        status, code, "the job was not taken and never runs", retry_after_ms=retry_after_ms
    )
