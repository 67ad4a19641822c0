"""HTTP API of an entry for callers: issues tickets, accepts, queries and cancels jobs."""

import logging

import msgspec

from geraniumspool.binding import Bindings, BindingUnavailable, KeyExpired
from geraniumspool.calls import HomeRequests, NoAnswer
from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Clock
from geraniumspool.decisions import (
    HOME_CHOSEN,
    JOB_REFUSED_NO_CAPACITY,
    JOB_REFUSED_OVERLOAD,
    JOB_REFUSED_QUOTA,
    KEY_UNBOUND,
    SERVICE_UNSERVED,
    TICKET_HOME_GONE,
    DecisionLog,
    to_document,
)
from geraniumspool.errors import ForeignService, JobConflict
from geraniumspool.homes import Homes, NoHome
from geraniumspool.idempotency import IDEMPOTENCY_KEY_HEADER, IdempotencyKey, parse_key
from geraniumspool.messages import (
    STATE_COMPLETE,
    STATE_CONFLICT,
    STATE_MAY_HAVE_RUN,
    STATE_NOT_RUN,
    Answer,
    Cancel,
    Decline,
    Inquire,
    Peer,
    Submit,
)
from geraniumspool.metrics import Metrics
from geraniumspool.quota import QuotaRefusal, Quotas
from geraniumspool.reply import Reply, reply_json, reply_problem
from geraniumspool.routes import Request, Route
from geraniumspool.submission import (
    Submission,
    check_limits,
    parse_submission,
    parse_ticket_request,
)
from geraniumspool.ticket import Keyring, Ticket

_LOG = logging.getLogger(__name__)

# Longest wait for a home's answer to a query.
QUERY_TIMEOUT_MS = 2_000.0
OVERLOAD_RETRY_MS = 250.0
HTTP_CREATED = 201
HTTP_STATUS_BY_CODE = {
    JOB_REFUSED_QUOTA: 429,
    JOB_REFUSED_NO_CAPACITY: 422,
    "job_cancelled": 409,
}
HTTP_STATUS_BY_OUTCOME = {STATE_NOT_RUN: 503, STATE_MAY_HAVE_RUN: 502}
CODE_HOME_GONE = "home_gone"
PROMETHEUS_TEXT = "text/plain; version=0.0.4"


class Callers:
    """Handles callers' requests for tickets, jobs, job states and decisions.

    The outcome "not run" is reported only if no earlier request can have run the job.
    """

    def __init__(
        self,
        keyring: Keyring,
        homes: Homes,
        home_requests: HomeRequests,
        quotas: Quotas,
        bindings: Bindings,
        configuration: Configuration,
        decisions: DecisionLog,
        metrics: Metrics,
        clock: Clock,
        default_deadline_ms: float,
        max_running_jobs: int,
    ):
        """Store the collaborators and limits.

        :param default_deadline_ms: deadline of a job when neither the request nor a document of
            its service names one
        :param max_running_jobs: most calls to homes in flight; at this number new jobs are refused
        """
        self._keyring = keyring
        self._homes = homes
        self._home_requests = home_requests
        self._quotas = quotas
        self._bindings = bindings
        self._configuration = configuration
        self._decisions = decisions
        self._metrics = metrics
        self._clock = clock
        self._default_deadline_ms = default_deadline_ms
        self._max_running_jobs = max_running_jobs
        self.ready = False

    def routes(self) -> list[Route]:
        """Return the routes of the callers' API."""
        return [
            Route("POST", "/v1/tickets", self._post_tickets),
            Route("POST", "/v1/jobs", self._post_job),
            Route("PUT", "/v1/jobs/{ticket}", self._put_job),
            Route("GET", "/v1/jobs/{ticket}", self.get_job),
            Route("DELETE", "/v1/jobs/{ticket}", self.delete_job),
            Route("GET", "/v1/jobs/{ticket}/decisions", self.get_decisions),
            Route("GET", "/healthz", self._get_health),
            Route("GET", "/readyz", self._get_ready),
            Route("GET", "/metrics", self._get_metrics),
        ]

    def get_job(self, request: Request) -> Reply:
        """Return a job's state, or its recorded answer when it has ended."""
        text, ticket = self._read_ticket(request)
        return self._query(text, ticket, Inquire(self._home_requests.next_number(), text))

    def delete_job(self, request: Request) -> Reply:
        """Cancel a job at its home and return the resulting state."""
        text, ticket = self._read_ticket(request)
        peer = self._homes.find_route(ticket).peer
        if peer is None:
            return self._reply_home_gone(text, ticket)
        cancel = Cancel(self._home_requests.next_number(), text)
        answer = self._home_requests.submit(peer, cancel, QUERY_TIMEOUT_MS)
        return self._reply(text, ticket, peer, answer)

    def get_decisions(self, request: Request) -> Reply:
        """Return the decisions on a job that this entry and the job's home still keep."""
        text, ticket = self._read_ticket(request)
        peer = self._homes.find_route(ticket).peer
        local = self._decisions.list_by_subject(f"{ticket.job:x}")
        rows = [to_document(decision) for decision in local]
        if peer is not None:
            inquire = Inquire(self._home_requests.next_number(), text, True)
            answer = self._home_requests.query(peer, inquire, QUERY_TIMEOUT_MS)
            if isinstance(answer, Answer):
                rows.extend(msgspec.json.decode(answer.decisions or b"[]"))
        rows.sort(key=lambda row: row["at_ms"])
        return reply_json(200, {"job": text, "decisions": rows})

    def _post_tickets(self, request: Request) -> Reply:
        ticket_request = parse_ticket_request(request.body)
        tickets = [
            self._homes.issue_ticket(ticket_request.service) for _ in range(ticket_request.count)
        ]
        return reply_json(HTTP_CREATED, {"tickets": tickets})

    def _put_job(self, request: Request) -> Reply:
        text, ticket = self._read_ticket(request)
        submission = self._read_submission(request)
        return self._submit(text, ticket, submission)

    def _post_job(self, request: Request) -> Reply:
        key = _parse_idempotency_key(request)
        submission = self._read_submission(request)
        try:
            text = self._homes.issue_ticket(submission.service)
        except NoHome as error:
            return self._reply_no_home(request, submission.service, error)
        if key:
            try:
                text = self._bindings.bind(submission.team, key, text)
            except (BindingUnavailable, KeyExpired) as error:
                return self._reply_binding_failed(submission, error)
            return self._submit(text, self._keyring.verify(text), submission)
        return self._submit_new(text, submission)

    def _reply_no_home(self, request: Request, service: str, error: NoHome) -> Reply:
        """Refuse a job because no agent serves its service.

        With an idempotency key an earlier request may have run, so the outcome is "may have run".
        """
        outcome = STATE_MAY_HAVE_RUN if _parse_idempotency_key(request) else STATE_NOT_RUN
        decision = self._decisions.record(SERVICE_UNSERVED, service, reason=error.code)
        return reply_problem(
            error.status,
            error.code,
            error.detail,
            outcome=outcome,
            decision=decision,
            retry_after_ms=error.retry_after_ms,
        )

    def _reply_binding_failed(
        self, submission: Submission, error: BindingUnavailable | KeyExpired
    ) -> Reply:
        """Refuse a job whose idempotency key could not be bound or has expired.

        An earlier request with this key may have run, so the outcome is "may have run".
        """
        decision = self._decisions.record(
            KEY_UNBOUND, submission.service, team=submission.team, reason=error.code
        )
        return reply_problem(
            error.status,
            error.code,
            error.detail,
            outcome=STATE_MAY_HAVE_RUN,
            decision=decision,
            retry_after_ms=error.retry_after_ms,
        )

    def _submit_new(self, text: str, submission: Submission) -> Reply:
        """Submit a job under a ticket that was just issued, so no other submission can exist."""
        refusal = self._find_refusal(submission)
        ticket = self._keyring.verify(text)
        if refusal is not None:
            code, detail, retry_ms = refusal
            decision = self._record_refusal(ticket, code, detail, retry_ms)
            answer = Answer(0, text, STATE_NOT_RUN, code, detail, retry_ms, decision=decision)
            return self._reply(text, ticket, ticket.home, answer)
        try:
            return self._send(text, ticket, ticket.home, submission)
        finally:
            self._quotas.release(submission.team, len(submission.tasks))

    def _submit(self, text: str, ticket: Ticket, submission: Submission) -> Reply:
        """Submit a job under a ticket that may have been submitted before.

        A refusal is sent to the home first: only the home knows whether the job
        has run, and can record the refusal so that the job never runs later.

        :raises ForeignService: if the ticket was issued for another service
        """
        if submission.service != ticket.service:
            raise ForeignService(f"the ticket is for service {ticket.service!r}")
        peer, is_archive = self._homes.find_route(ticket)
        if peer is None:
            return self._reply_home_gone(text, ticket)
        if is_archive:
            return self._send(text, ticket, peer, submission._replace(tasks=()))
        refusal = self._find_refusal(submission)
        if refusal is not None:
            code, detail, retry_ms = refusal
            self._record_refusal(ticket, code, detail, retry_ms)
            number = self._home_requests.next_number()
            decline = Decline(number, text, submission.digest, code, detail, retry_ms)
            limit_ms = self._effective_deadline_ms(submission)
            return self._reply(
                text, ticket, peer, self._home_requests.submit(peer, decline, limit_ms)
            )
        try:
            return self._send(text, ticket, peer, submission)
        finally:
            self._quotas.release(submission.team, len(submission.tasks))

    def _send(self, text: str, ticket: Ticket, peer: Peer, submission: Submission) -> Reply:
        deadline_ms = self._effective_deadline_ms(submission)
        submit = Submit(
            self._home_requests.next_number(),
            text,
            submission.service,
            submission.team,
            deadline_ms,
            submission.digest,
            submission.tasks,
        )
        self._homes.record_routed_tasks(peer, len(submission.tasks))
        self._decisions.record(HOME_CHOSEN, f"{ticket.job:x}", home=peer.address)
        answer = self._home_requests.submit(peer, submit, deadline_ms)
        if isinstance(answer, NoAnswer):
            answer = self._query_archive(ticket, peer, submit) or answer
        return self._reply(text, ticket, peer, answer)

    def _query_archive(self, ticket: Ticket, home: Peer, submit: Submit) -> Answer | None:
        """Query the process that holds the records of a home that left without answering.

        :returns: its answer, or None if there is no such process or it did not answer
        """
        route = self._homes.find_route(ticket)
        if not route.is_archive or route.peer in (None, home):
            return None
        resubmit = submit._replace(request=self._home_requests.next_number(), tasks=())
        answer = self._home_requests.submit(route.peer, resubmit, QUERY_TIMEOUT_MS)
        return None if isinstance(answer, NoAnswer) else answer

    def _find_refusal(self, submission: Submission) -> tuple[str, str, float] | None:
        if len(self._home_requests) >= self._max_running_jobs:
            return JOB_REFUSED_OVERLOAD, "too many jobs are in flight here", OVERLOAD_RETRY_MS
        refusal: QuotaRefusal | None = self._quotas.charge(submission.team, len(submission.tasks))
        if refusal is not None:
            return JOB_REFUSED_QUOTA, refusal.detail, refusal.retry_after_ms
        return None

    def _record_refusal(self, ticket: Ticket, code: str, detail: str, retry_ms: float) -> str:
        self._metrics.add("jobs_refused", code=code)
        subject = f"{ticket.job:x}"
        retry_after_ms = round(retry_ms)
        return self._decisions.record(code, subject, detail=detail, retry_after_ms=retry_after_ms)

    def _effective_deadline_ms(self, submission: Submission) -> float:
        if submission.deadline_ms > 0:
            return submission.deadline_ms
        if self._configuration.get(f"service/{submission.service}") is None:
            return self._default_deadline_ms
        return self._configuration.service(submission.service).deadline_ms

    def _read_submission(self, request: Request) -> Submission:
        submission = parse_submission(request.body)
        check_limits(submission, self._configuration.service(submission.service))
        return submission

    def _read_ticket(self, request: Request) -> tuple[str, Ticket]:
        text = request.parameters[0]
        return text, self._keyring.verify(text)

    def _query(self, text: str, ticket: Ticket, message: Inquire | Cancel) -> Reply:
        peer = self._homes.find_route(ticket).peer
        if peer is None:
            return self._reply_home_gone(text, ticket)
        return self._reply(
            text, ticket, peer, self._home_requests.query(peer, message, QUERY_TIMEOUT_MS)
        )

    def _reply(self, text: str, ticket: Ticket, peer: Peer, answer: Answer | NoAnswer) -> Reply:
        if isinstance(answer, NoAnswer):
            return self._reply_no_answer(text, ticket, answer)
        if answer.request:
            self._homes.record_load(peer, answer.load)
        if answer.state == STATE_COMPLETE:
            return self._reply_complete(text, ticket, answer)
        if answer.state == STATE_CONFLICT:
            detail = "another job was submitted under this ticket; it is untouched"
            return reply_problem(409, answer.code or JobConflict.code, detail)
        if answer.state not in HTTP_STATUS_BY_OUTCOME:
            return reply_json(200, {"job": text, "state": answer.state})
        return self._reply_failed(text, ticket, answer)

    def _reply_complete(self, text: str, ticket: Ticket, answer: Answer) -> Reply:
        results = [msgspec.Raw(body) for body in answer.results]
        value = {"job": text, "outcome": STATE_COMPLETE, "results": results}
        next_ticket = self._next_ticket(ticket.service)
        if next_ticket is not None:
            value["next_ticket"] = next_ticket
        return reply_json(200, value)

    def _reply_failed(self, text: str, ticket: Ticket, answer: Answer) -> Reply:
        status = HTTP_STATUS_BY_CODE.get(answer.code, HTTP_STATUS_BY_OUTCOME[answer.state])
        can_retry = answer.state == STATE_NOT_RUN
        decision = answer.decision or self._decisions.record(
            TICKET_HOME_GONE, f"{ticket.job:x}", home=ticket.home.address, reason=answer.code
        )
        return reply_problem(
            status,
            answer.code,
            answer.detail,
            outcome=answer.state,
            decision=decision,
            retry_after_ms=answer.retry_after_ms or None,
            next_ticket=self._next_ticket(ticket.service) if can_retry else None,
            job=text,
        )

    def _reply_no_answer(self, text: str, ticket: Ticket, answer: NoAnswer) -> Reply:
        decision = self._decisions.record(
            TICKET_HOME_GONE, f"{ticket.job:x}", home=ticket.home.address, reason=answer.code
        )
        return reply_problem(
            502,
            answer.code,
            answer.detail,
            outcome=STATE_MAY_HAVE_RUN,
            decision=decision,
            job=text,
        )

    def _reply_home_gone(self, text: str, ticket: Ticket) -> Reply:
        return self._reply_no_answer(
            text, ticket, NoAnswer(CODE_HOME_GONE, "the job's home is gone")
        )

    def _next_ticket(self, service: str) -> str | None:
        try:
            return self._homes.issue_ticket(service)
        except NoHome:
            return None

    def _get_health(self, _request: Request) -> Reply:
        return reply_json(200, {"state": "alive"})

    def _get_ready(self, _request: Request) -> Reply:
        if self.ready:
            return reply_json(200, {"state": "ready"})
        return reply_problem(503, "not_ready", "the entry takes no jobs now")

    def _get_metrics(self, _request: Request) -> Reply:
        return Reply(200, self._metrics.render(), PROMETHEUS_TEXT)


def _parse_idempotency_key(request: Request) -> IdempotencyKey | None:
    text = request.header(IDEMPOTENCY_KEY_HEADER)
    return parse_key(text) if text else None
