"""The home of a job: the process that its ticket names and that coordinates its tasks.

A home admits jobs, offers their tasks to workers, collects the results and
keeps the answers. Each task runs at most once: at most one offer is open for
it, and the next one is sent only after the worker has confirmed that the task
has not started under the previous offer and never will.
"""

import contextlib
from collections import Counter

from geraniumspool import decisions as codes
from geraniumspool.admission import AdmissionDecision, HomeBacklog, check_admission
from geraniumspool.archive import NEW_TICKET_RETRY_MS, Archives
from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Clock, Counters, Messenger
from geraniumspool.decisions import DecisionLog, encode_decisions
from geraniumspool.errors import MalformedTicket, NotStarted
from geraniumspool.estimate import RunTimeEstimator
from geraniumspool.job import Job, Waiter, classify_width
from geraniumspool.messages import (
    MEMBER_DEAD,
    MEMBER_EJECTED,
    MEMBER_LEFT,
    MEMBER_READY,
    STATE_COMPLETE,
    STATE_CONFLICT,
    STATE_MAY_HAVE_RUN,
    STATE_NOT_RUN,
    STATE_RUNNING,
    STATE_UNKNOWN,
    Answer,
    Cancel,
    Decline,
    Inquire,
    Load,
    Member,
    Peer,
    Record,
    Results,
    Revoked,
    Submit,
    TaskResult,
    WrongIncarnation,
)
from geraniumspool.offers import CODE_REVOKED, Offers
from geraniumspool.pace import OUTLIER_LATENESS
from geraniumspool.placement import Placement
from geraniumspool.placer import HomeLocation, Placer
from geraniumspool.records import Records, Watermark
from geraniumspool.roster import Roster
from geraniumspool.runner import Runner
from geraniumspool.ticket import Ticket, decode_unverified
from geraniumspool.worker import OpenOffer, Worker

# Largest part of its deadline that a large job is put off by in favour of smaller ones.
MAX_DELAY_SHARE = 0.3
# How long a failed job waits for workers to confirm its revoked offers.
REVOKE_WAIT_MS = 1_000.0
# How long a departed member's open offers are kept before they are given up.
DEPARTURE_GRACE_MS = 500.0
# Decisions stored with the record of a finished job.
MAX_RECORD_DECISIONS = 20
# Remaining work of a team that counts as none; absorbs rounding errors.
NEGLIGIBLE_WORK_MS = 0.001

CODE_TASK_FAILED = "task_failed"
CODE_CANCELLED = "job_cancelled"
CODE_EXPIRED = "job_expired"
CODE_STOPPED = "home_stopped"
CODE_EVICTED = "record_evicted"


class Home:
    """Coordinates the jobs of this process: admission, placement, answers, records.

    :ivar archives: records taken over from homes that left
    :ivar service: service of the minion beside this process
    :ivar leaving: whether new jobs are refused because the process is leaving
    """

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        counters: Counters,
        decisions: DecisionLog,
        roster: Roster,
        configuration: Configuration,
        runner: Runner,
        records: Records,
        placement: Placement,
        domain: str,
        peer_timeout_ms: float,
    ):
        """Start without any job.

        :param runner: runs tasks on the minion beside this process
        :param records: stores the answers of finished jobs
        :param placement: chooses the workers for waiting tasks
        :param domain: failure domain of this process
        :param peer_timeout_ms: silence after which a worker with open offers
            counts as lost, in milliseconds
        """
        self._messenger = messenger
        self._clock = clock
        self._counters = counters
        self._decisions = decisions
        self._roster = roster
        self._configuration = configuration
        self._runner = runner
        self._records = records
        self._jobs: dict[int, Job] = {}
        self._payload_bytes = 0
        self._team_work_ms: Counter[str] = Counter()
        self._offers = Offers(messenger, clock, counters, decisions, runner, self, peer_timeout_ms)
        self._placer = Placer(
            HomeLocation(messenger.local_peer, domain),
            lambda: self.service,
            clock,
            roster,
            configuration,
            runner,
            self._offers,
            placement,
        )
        self._backlog = self._placer.backlog
        self._run_times = RunTimeEstimator()
        self.archives = Archives()
        self.service = ""
        self.leaving = False
        runner.measure_backlog = lambda: self._backlog.work_ms
        roster.subscribe(self._handle_member_change)

    @property
    def is_idle(self) -> bool:
        """Return whether no job is running here."""
        return not self._jobs

    @property
    def me(self) -> Peer:
        """Return the address and incarnation of this process."""
        return self._messenger.local_peer

    def load(self) -> Load:
        """Return the free capacity of this process and the work queued in it."""
        return self._runner.load()

    def handle_submit(self, sender: Peer, submit: Submit) -> None:
        """Handle a submission: accept the job, join a known one, or refuse it."""
        waiter = Waiter(sender, submit.request)
        ticket = self._answer_if_known(waiter, submit.ticket, submit.digest)
        if ticket is None:
            return
        job = Job(ticket, submit)
        if self.leaving:
            detail = "the home is leaving; a new ticket names another"
            code = codes.JOB_REFUSED_LEAVING
            self._refuse(waiter, job, code, detail, NEW_TICKET_RETRY_MS)
            return
        self._estimate_run_times(job)
        decision = self._check_admission(job)
        if decision.code:
            self._refuse(waiter, job, decision.code, decision.detail, decision.retry_after_ms)
            return
        self._accept(waiter, job, decision.wait_ms)

    def handle_decline(self, sender: Peer, decline: Decline) -> None:
        """Record an entry's refusal of a job as final, unless the job is known here."""
        waiter = Waiter(sender, decline.request)
        ticket = self._answer_if_known(waiter, decline.ticket, decline.digest)
        if ticket is None:
            return
        job = Job(ticket, Submit(decline.request, decline.ticket, "", "", 0.0, decline.digest, ()))
        self._refuse(waiter, job, decline.code, decline.detail, decline.retry_after_ms)

    def handle_inquire(self, sender: Peer, inquire: Inquire) -> None:
        """Answer an inquiry with a job's state and, if requested, its decisions."""
        answer = self._look_up(inquire.ticket)
        if inquire.explain:
            answer = answer._replace(decisions=self._encode_decisions(inquire.ticket))
        self._messenger.send(sender, answer._replace(request=inquire.request, load=self.load()))

    def handle_cancel(self, sender: Peer, cancel: Cancel) -> None:
        """Cancel a job; an unknown one is recorded as cancelled, so that it never runs."""
        waiter = Waiter(sender, cancel.request)
        ticket = self._answer_if_known(waiter, cancel.ticket, None)
        if ticket is None:
            job = self._find_job(cancel.ticket)
            if job is not None:
                self._abort(job, CODE_CANCELLED, "cancelled by its caller")
            return
        job = Job(ticket, Submit(cancel.request, cancel.ticket, "", "", 0.0, b"", ()))
        self._refuse(waiter, job, CODE_CANCELLED, "cancelled before it was submitted", 0.0)

    def handle_results(self, sender: Peer, results: Results) -> None:
        """Handle a worker's results and refusals of offered tasks."""
        worker = self._offers.find(sender)
        if worker is None:
            self._counters.add("answers_dropped", len(results.done) + len(results.refused))
            return
        worker.update_from_message(results.load, self._clock.now())
        for result in results.done:
            offer = self._offers.settle(worker, result.offer)
            if offer is not None:
                self._handle_result(worker, offer, result)
        for refusal in results.refused:
            offer = self._offers.settle(worker, refusal.offer)
            if refusal.code == NotStarted.code:
                worker.note_refused_connection(self._clock.now())
            if offer is not None:
                self.requeue(offer, refusal.code)
        self._placer.schedule()

    def handle_revoked(self, sender: Peer, revoked: Revoked) -> None:
        """Handle a worker's reply to a revocation of offers."""
        worker = self._offers.find(sender)
        if worker is not None:
            self._offers.handle_revoked(worker, revoked)
            self._placer.schedule()

    def handle_wrong_incarnation(self, sender: Peer, rejection: WrongIncarnation) -> None:
        """Drop a worker whose address now belongs to another process."""
        self._offers.give_up_worker(Peer(sender.address, rejection.meant))

    def requeue(self, offer: OpenOffer, code: str) -> None:
        """Requeue a task that has not started; see :class:`~offers.OfferListener`."""
        job = offer.job
        self._counters.add("tasks_taken_back", code=code)
        decision = codes.TASK_REVOKED if code == CODE_REVOKED else codes.TASK_REFUSED
        self._decisions.record(decision, job.subject, task=offer.index, reason=code)
        if job.is_final:
            return
        if job.abort_code:
            self._finish_if_settled(job)
        else:
            self._backlog.push(job, offer.index)
            self._placer.schedule()

    def note_started(self, offer: OpenOffer) -> None:
        """Note that a task has started; see :class:`~offers.OfferListener`."""
        offer.job.started = True
        if offer.job.abort_code:
            self._finish_if_settled(offer.job)

    def fail_lost_task(self, offer: OpenOffer, code: str) -> None:
        """Fail a job whose task may have run; see :class:`~offers.OfferListener`."""
        job = offer.job
        job.started = True
        if job.is_final:
            return
        self._decisions.record(
            codes.TASK_OUTCOME_UNKNOWN, job.subject, task=offer.index, reason=code
        )
        self._abort(job, code, f"task {offer.index} may have run; its result is lost")
        self._finish_if_settled(job)

    def expire_records(self) -> None:
        """Evict records that exceed the maximum age."""
        self._records.expire()

    def forget_gone_workers(self) -> None:
        """Forget workers that are no longer members and have no open offers."""
        self._offers.forget_non_members(
            lambda peer: peer == self.me or self._roster.get(peer) is not None
        )

    def leave(self) -> None:
        """Refuse new jobs from now on; running jobs continue."""
        self.leaving = True

    def abort_jobs(self) -> None:
        """Fail every running job because the process is stopping."""
        for job in list(self._jobs.values()):
            self._abort(job, CODE_STOPPED, "the home stopped before the job was done")

    @property
    def watermark(self) -> Watermark:
        """Return the ticket position up to which records may have been evicted."""
        return self._records.watermark

    def records(self) -> list[Record]:
        """Return the records of finished jobs, each with its latest decisions."""
        return [self._with_decisions(record) for record in self._records.all()]

    def update_load(self, peer: Peer, load: Load) -> None:
        """Update a worker's load from an indirect report.

        :param peer: the worker
        :param load: its load as relayed by the membership or sent with an offer
        """
        self._offers.update_load(peer, load)

    def peers_lateness(self) -> float:
        """Return the median lateness of the other workers, or 0 if none is known."""
        return self._offers.peers_lateness()

    def schedule_placement(self) -> None:
        """Schedule a placement run for the waiting tasks."""
        self._placer.schedule()

    def _answer_if_known(self, waiter: Waiter, text: str, digest: bytes | None) -> Ticket | None:
        """Answer a request if its job is known or cannot run here.

        :param text: the ticket as it was sent
        :param digest: digest of the submitted body, or None if the request has none
        :returns: the parsed ticket if the job is new, None once an answer was
            sent or the request joined a running job
        """
        try:
            ticket = decode_unverified(text)
        except MalformedTicket as error:
            self._send(waiter, Answer(0, text, STATE_CONFLICT, error.code, error.detail))
            return None
        job = self._jobs.get(ticket.job)
        if job is not None:
            self._join(waiter, job, digest)
            return None
        record = self._find_record(ticket)
        if record is not None:
            self._counters.add("jobs_rejoined")
            self._send(waiter, _answer_or_conflict(record.answer, record.digest, digest))
            return None
        missing = self._answer_missing(ticket, text)
        if missing is not None:
            self._send(waiter, missing)
            return None
        return ticket

    def _find_record(self, ticket: Ticket) -> Record | None:
        if ticket.home == self.me:
            return self._records.find(ticket)
        return self.archives.find(ticket)

    def _answer_missing(self, ticket: Ticket, text: str) -> Answer | None:
        if ticket.home != self.me:
            return self.archives.answer_missing(ticket, text)
        if self._records.may_have_evicted(ticket):
            detail = "the ticket is older than what is still remembered"
            return Answer(0, text, STATE_MAY_HAVE_RUN, CODE_EVICTED, detail)
        return None

    def _look_up(self, text: str) -> Answer:
        try:
            ticket = decode_unverified(text)
        except MalformedTicket:
            return Answer(0, text, STATE_UNKNOWN)
        if ticket.job in self._jobs:
            return Answer(0, text, STATE_RUNNING)
        record = self._find_record(ticket)
        if record is not None:
            return record.answer
        return self._answer_missing(ticket, text) or Answer(0, text, STATE_UNKNOWN)

    def _find_job(self, text: str) -> Job | None:
        try:
            return self._jobs.get(decode_unverified(text).job)
        except MalformedTicket:
            return None

    def _encode_decisions(self, subject: str) -> bytes:
        decision = self._decisions.get(subject)
        if decision is not None:
            return encode_decisions([decision])
        with contextlib.suppress(MalformedTicket):
            ticket = decode_unverified(subject)
            record = self.archives.find(ticket)
            if record is not None:
                return record.answer.decisions
            subject = f"{ticket.job:x}"
        return encode_decisions(self._decisions.list_by_subject(subject))

    def _with_decisions(self, record: Record) -> Record:
        """Return a record with the latest decisions on its job added."""
        subject = f"{decode_unverified(record.ticket).job:x}"
        rows = encode_decisions(self._decisions.list_by_subject(subject)[-MAX_RECORD_DECISIONS:])
        return record._replace(answer=record.answer._replace(decisions=rows))

    def _join(self, waiter: Waiter, job: Job, digest: bytes | None) -> None:
        """Add a request to a running job, or answer a conflict if the submitted body differs."""
        if digest is not None and digest != job.digest:
            self._send(waiter, Answer(0, job.ticket_text, STATE_CONFLICT))
            return
        self._counters.add("jobs_rejoined")
        self._decisions.record(codes.JOB_JOINED, job.subject, entry=waiter.entry.address)
        job.waiters.add(waiter)

    def _estimate_run_times(self, job: Job) -> None:
        job.estimates = [self._run_times.estimate(task.run_ms) for task in job.tasks]
        job.work_ms = sum(job.estimates)

    def _check_admission(self, job: Job) -> AdmissionDecision:
        narrow_tasks = self._configuration.service(self.service).narrow_tasks
        job.width = classify_width(len(job.tasks), narrow_tasks)
        backlog = HomeBacklog(
            self._backlog.count, self._backlog.narrow_work_ms, self._payload_bytes
        )
        return check_admission(job, self._placer.list_workers(), backlog)

    def _refuse(self, waiter: Waiter, job: Job, code: str, detail: str, retry_ms: float) -> None:
        self._counters.add("jobs_refused", code=code)
        decision = self._decisions.record(
            code, job.subject, detail=detail, retry_after_ms=round(retry_ms)
        )
        job.waiters.add(waiter)
        answer = Answer(
            0, job.ticket_text, STATE_NOT_RUN, code, detail, retry_ms, decision=decision
        )
        self._finish(job, answer)

    def _accept(self, waiter: Waiter, job: Job, wait_ms: float) -> None:
        self._counters.add("jobs_accepted")
        self._jobs[job.ticket.job] = job
        self._payload_bytes += job.size_bytes
        self._team_work_ms[job.team] += job.work_ms
        job.waiters.add(waiter)
        job.due = self._compute_due(job)
        self._decisions.record(
            codes.JOB_ACCEPTED,
            job.subject,
            tasks=len(job.tasks),
            wait_ms=round(wait_ms, 1),
            work_ms=round(job.work_ms, 1),
            team=job.team,
        )
        detail = "the deadline passed"
        expire = self._clock.after(job.deadline_ms, lambda: self._abort(job, CODE_EXPIRED, detail))
        job.timers.append(expire)
        for index in range(len(job.tasks)):
            self._backlog.push(job, index)
        self._placer.schedule()

    def _compute_due(self, job: Job) -> float:
        """Return the time by which a job should finish, the key of its priority.

        The more work a job has, the later it is due, so small jobs overtake
        large ones. The time is fixed at admission, so a large job is not
        overtaken for ever.
        """
        delay_ms = job.work_ms / max(1, self._runner.slots) * self._excess_share(job.team)
        max_delay_ms = job.deadline_ms * MAX_DELAY_SHARE
        return self._clock.now() + min(delay_ms, max_delay_ms) + job.longest_ms

    def _excess_share(self, team: str) -> float:
        """Return the ratio of a team's work to its weighted fair share, at least 1."""
        shares = {
            name: work / self._configuration.team(name).weight
            for name, work in self._team_work_ms.items()
            if work > 0
        }
        if len(shares) < 2:
            return 1.0
        return max(1.0, shares[team] * len(shares) / sum(shares.values()))

    def _handle_result(self, worker: Worker, offer: OpenOffer, result: TaskResult) -> None:
        job, index = offer.job, offer.index
        job.started = True
        declared = job.tasks[index].run_ms
        if result.ok:
            worker.update_pace(result.run_ms, offer.run_ms, self._clock.now())
            # Run times of a slow minion would inflate the estimates for all others.
            if not self._seems_slow(worker):
                self._run_times.learn(declared, result.run_ms)
        if job.is_final:
            return
        if not result.ok:
            self._decisions.record(
                codes.TASK_FAILED, job.subject, task=index, worker=worker.peer.address
            )
            detail = f"task {index}: {result.body[:200].decode(errors='replace')}"
            self._abort(job, result.code or CODE_TASK_FAILED, detail)
            return
        job.set_result(index, result.body)
        if job.unfinished_tasks == 0 and not job.abort_code:
            self._complete(job)
        elif job.abort_code:
            self._finish_if_settled(job)

    def _seems_slow(self, worker: Worker) -> bool:
        """Return whether a worker is late, and clearly later than the others."""
        lateness = worker.load.lateness
        return lateness > OUTLIER_LATENESS and lateness - self.peers_lateness() > OUTLIER_LATENESS

    def _complete(self, job: Job) -> None:
        self._counters.add("jobs_complete")
        self._decisions.record(codes.JOB_COMPLETE, job.subject)
        results = tuple(job.results)
        self._finish(job, Answer(0, job.ticket_text, STATE_COMPLETE, results=results))

    def _abort(self, job: Job, code: str, detail: str) -> None:
        """Abort a job and revoke its open offers.

        Its answer is sent as soon as it is known whether any task has started.

        :param code: reason code of the abort
        """
        if job.is_final or job.abort_code:
            return
        job.abort_code = code
        job.abort_detail = detail
        self._counters.add("jobs_failed", code=code)
        self._backlog.remove_job(job)
        self._offers.revoke(job)
        job.timers.append(self._clock.after(REVOKE_WAIT_MS, lambda: self._finish_unsettled(job)))
        self._finish_if_settled(job)

    def _finish_if_settled(self, job: Job) -> None:
        """Finish an aborted job if it is known whether any of its tasks has started."""
        if job.is_final:
            return
        if job.started:
            self._finish_failed(job, STATE_MAY_HAVE_RUN)
        elif not job.open_offers:
            self._finish_failed(job, STATE_NOT_RUN)

    def _finish_unsettled(self, job: Job) -> None:
        """Finish an aborted job whose offers were not all confirmed in time."""
        if not job.is_final:
            self._finish_failed(job, STATE_MAY_HAVE_RUN)

    def _finish_failed(self, job: Job, state: str) -> None:
        code = {
            CODE_CANCELLED: codes.JOB_CANCELLED,
            CODE_EXPIRED: codes.JOB_EXPIRED,
        }.get(job.abort_code, codes.JOB_FAILED)
        decision = self._decisions.record(code, job.subject, outcome=state, reason=job.abort_code)
        may_retry = state == STATE_NOT_RUN and job.abort_code != CODE_CANCELLED
        retry_ms = self._runner.load().wait_ms if may_retry else 0.0
        answer = Answer(
            0, job.ticket_text, state, job.abort_code, job.abort_detail, retry_ms, decision=decision
        )
        self._finish(job, answer)

    def _finish(self, job: Job, answer: Answer) -> None:
        job.is_final = True
        job.cancel_timers()
        if self._jobs.pop(job.ticket.job, None) is not None:
            self._payload_bytes -= job.size_bytes
            self._team_work_ms[job.team] -= job.work_ms
            if self._team_work_ms[job.team] <= NEGLIGIBLE_WORK_MS:
                del self._team_work_ms[job.team]
        self._records.add(job.ticket, Record(job.ticket_text, job.digest, answer))
        for waiter in job.waiters:
            self._send(waiter, answer)
        job.waiters.clear()

    def _send(self, waiter: Waiter, answer: Answer) -> None:
        message = answer._replace(request=waiter.request, load=self.load())
        self._messenger.send(waiter.entry, message)

    def _handle_member_change(self, member: Member) -> None:
        peer = Peer(member.address, member.incarnation)
        worker = self._offers.find(peer)
        if worker is not None:
            worker.member = member
        if member.state == MEMBER_DEAD:
            self._offers.suspect(peer)
        if member.state in (MEMBER_DEAD, MEMBER_LEFT):
            self._clock.after(DEPARTURE_GRACE_MS, lambda: self._handle_member_gone(peer))
        if member.state in (MEMBER_READY, MEMBER_EJECTED):
            self._placer.schedule()

    def _handle_member_gone(self, peer: Peer) -> None:
        """Give up the offers at a member that left.

        A member that is only dead by silence keeps its open offers: they are
        probed instead, since it may still be running.
        """
        member = self._roster.get(peer)
        if member is None or member.state == MEMBER_LEFT:
            self._offers.give_up_worker(peer)
            self._runner.forget_home(peer)
        elif member.state == MEMBER_DEAD:
            self._offers.forget_idle(peer)


def _answer_or_conflict(answer: Answer, kept: bytes, digest: bytes | None) -> Answer:
    """Return the kept answer, or a conflict if the submitted body differs.

    :param answer: answer of the finished job
    :param kept: digest of the body that the job was submitted with, or empty
    :param digest: digest of the body submitted now, or None without one
    """
    if digest is not None and kept and digest != kept:
        return Answer(0, answer.ticket, STATE_CONFLICT)
    return answer
