"""The home: runs the jobs whose tickets name this process, each task once.

At most one offer is open for a task. The next one goes out only after a
worker's word that the task has not started and never will under the old one.
"""

import contextlib
from collections import Counter

from geraniumspool import decisions as codes
from geraniumspool.admission import Ahead, Verdict, judge
from geraniumspool.archive import NEW_TICKET_RETRY_MS, Archives
from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Clock, Counters, Messenger
from geraniumspool.decisions import DecisionLog, encode_decisions
from geraniumspool.errors import MalformedTicket, NotStarted
from geraniumspool.estimate import RunTimes
from geraniumspool.job import Job, Waiter, classify
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
from geraniumspool.pace import STANDS_OUT
from geraniumspool.placement import Placement
from geraniumspool.placer import Place, Placer
from geraniumspool.records import Records, Watermark
from geraniumspool.roster import Roster
from geraniumspool.runner import Runner
from geraniumspool.ticket import Ticket, read_ticket
from geraniumspool.worker import OpenOffer, Worker

DUE_SHARE = 0.3
REVOKE_WAIT_MS = 1_000.0
LEFT_GRACE_MS = 500.0
KEPT_DECISIONS = 20
NEGLIGIBLE_MS = 0.001

CODE_TASK_FAILED = "task_failed"
CODE_CANCELLED = "job_cancelled"
CODE_EXPIRED = "job_expired"
CODE_STOPPED = "home_stopped"
CODE_EVICTED = "record_evicted"


class Home:
    """Jobs of this process: admission, placement, answers, records."""

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
        """Start with no job.

        :param peer_timeout_ms: silence after which a worker with open offers
            counts as lost
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
        self._held_bytes = 0
        self._team_work: Counter[str] = Counter()
        self._offers = Offers(messenger, clock, counters, decisions, runner, self, peer_timeout_ms)
        self._placer = Placer(
            Place(messenger.me, domain),
            lambda: self.service,
            clock,
            roster,
            configuration,
            runner,
            self._offers,
            placement,
        )
        self._backlog = self._placer.backlog
        self._times = RunTimes()
        self.archives = Archives()
        self.service = ""
        self.leaving = False
        runner.measure_backlog = lambda: self._backlog.work_ms
        roster.subscribe(self._member_changed)

    @property
    def is_idle(self) -> bool:
        """Whether no job is running here."""
        return not self._jobs

    @property
    def me(self) -> Peer:
        """Return this process."""
        return self._messenger.me

    def load(self) -> Load:
        """Return what this process has to offer, and the work that waits here."""
        return self._runner.load()

    def take_submit(self, sender: Peer, submit: Submit) -> None:
        """Run a job, join it, or refuse it."""
        waiter = Waiter(sender, submit.request)
        ticket = self._find(waiter, submit.ticket, submit.digest)
        if ticket is None:
            return
        job = Job(ticket, submit)
        if self.leaving:
            detail = "the home is leaving; a new ticket names another"
            code = codes.JOB_REFUSED_LEAVING
            self._refuse(waiter, job, code, detail, NEW_TICKET_RETRY_MS)
            return
        self._estimate(job)
        verdict = self._judge(job)
        if verdict.code:
            self._refuse(waiter, job, verdict.code, verdict.detail, verdict.retry_after_ms)
            return
        self._accept(waiter, job, verdict.wait_ms)

    def take_decline(self, sender: Peer, decline: Decline) -> None:
        """Refuse a job for good on an entry's word, unless it is known."""
        waiter = Waiter(sender, decline.request)
        ticket = self._find(waiter, decline.ticket, decline.digest)
        if ticket is None:
            return
        job = Job(ticket, Submit(decline.request, decline.ticket, "", "", 0.0, decline.digest, ()))
        self._refuse(waiter, job, decline.code, decline.detail, decline.retry_after_ms)

    def take_inquire(self, sender: Peer, inquire: Inquire) -> None:
        """Tell a job's state, and its decisions where asked for."""
        answer = self._look_up(inquire.ticket)
        if inquire.explain:
            answer = answer._replace(decisions=self._explain(inquire.ticket))
        self._messenger.send(sender, answer._replace(request=inquire.request, load=self.load()))

    def take_cancel(self, sender: Peer, cancel: Cancel) -> None:
        """Cancel a job; one that is not known never runs any more."""
        waiter = Waiter(sender, cancel.request)
        ticket = self._find(waiter, cancel.ticket, None)
        if ticket is None:
            job = self._job_of(cancel.ticket)
            if job is not None:
                self._end(job, CODE_CANCELLED, "cancelled by its caller")
            return
        job = Job(ticket, Submit(cancel.request, cancel.ticket, "", "", 0.0, b"", ()))
        self._refuse(waiter, job, CODE_CANCELLED, "cancelled before it was submitted", 0.0)

    def take_results(self, sender: Peer, results: Results) -> None:
        """Take what became of offered tasks."""
        worker = self._offers.find(sender)
        if worker is None:
            self._counters.add("answers_dropped", len(results.done) + len(results.refused))
            return
        worker.hear(results.load, self._clock.now())
        for result in results.done:
            offer = self._offers.settle(worker, result.offer)
            if offer is not None:
                self._take_result(worker, offer, result)
        for refusal in results.refused:
            offer = self._offers.settle(worker, refusal.offer)
            if refusal.code == NotStarted.code:
                worker.note_refused_connection(self._clock.now())
            if offer is not None:
                self.take_back(offer, refusal.code)
        self._placer.schedule()

    def take_revoked(self, sender: Peer, revoked: Revoked) -> None:
        """Take a worker's word on revoked offers."""
        worker = self._offers.find(sender)
        if worker is not None:
            self._offers.take_revoked(worker, revoked)
            self._placer.schedule()

    def take_rejection(self, sender: Peer, rejection: WrongIncarnation) -> None:
        """Learn that another process has taken over a worker's address."""
        self._offers.drop(Peer(sender.address, rejection.meant))

    def take_back(self, offer: OpenOffer, code: str) -> None:
        """Take a task back that has not started; see :class:`~offers.OfferOwner`."""
        job = offer.job
        self._counters.add("tasks_taken_back", code=code)
        decision = codes.TASK_REVOKED if code == CODE_REVOKED else codes.TASK_REFUSED
        self._decisions.record(decision, job.subject, task=offer.index, reason=code)
        if job.is_final:
            return
        if job.ending:
            self._check_ending(job)
        else:
            self._backlog.push(job, offer.index)
            self._placer.schedule()

    def note_started(self, offer: OpenOffer) -> None:
        """Learn that a task has started; see :class:`~offers.OfferOwner`."""
        offer.job.started = True
        if offer.job.ending:
            self._check_ending(offer.job)

    def lose(self, offer: OpenOffer, code: str) -> None:
        """Fail a job whose task may have run; see :class:`~offers.OfferOwner`."""
        job = offer.job
        job.started = True
        if job.is_final:
            return
        self._decisions.record(
            codes.TASK_OUTCOME_UNKNOWN, job.subject, task=offer.index, reason=code
        )
        self._end(job, code, f"task {offer.index} may have run; its result is lost")
        self._check_ending(job)

    def expire_records(self) -> None:
        """Let go of records that are too old."""
        self._records.expire()

    def forget_workers(self) -> None:
        """Let go of workers that are no members any more, once nothing is open there."""
        self._offers.forget_strangers(
            lambda peer: peer == self.me or self._roster.get(peer) is not None
        )

    def leave(self) -> None:
        """Take no new jobs; those that run go on."""
        self.leaving = True

    def abandon(self) -> None:
        """End every job that still runs, since the process stops."""
        for job in list(self._jobs.values()):
            self._end(job, CODE_STOPPED, "the home stopped before the job was done")

    @property
    def watermark(self) -> Watermark:
        """Return the point up to which records may be missing."""
        return self._records.watermark

    def records(self) -> list[Record]:
        """Return the records of finished jobs, each with the latest decisions on it."""
        return [self._with_decisions(record) for record in self._records.all()]

    def hint(self, peer: Peer, load: Load) -> None:
        """Take a worker's load that the membership passed on."""
        self._offers.hint(peer, load)

    def peers_lateness(self) -> float:
        """Return the median lateness of the other workers, 0 where none is known."""
        return self._offers.peers_lateness()

    def schedule_place(self) -> None:
        """Place waiting tasks soon, since something may have changed."""
        self._placer.schedule()

    def _find(self, waiter: Waiter, text: str, digest: bytes | None) -> Ticket | None:
        """Answer from what is known; return the ticket where nothing is."""
        try:
            ticket = read_ticket(text)
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
            self._send(waiter, _conflict_or(record.answer, record.digest, digest))
            return None
        missing = self._judge_missing(ticket, text)
        if missing is not None:
            self._send(waiter, missing)
            return None
        return ticket

    def _find_record(self, ticket: Ticket) -> Record | None:
        if ticket.home == self.me:
            return self._records.find(ticket)
        return self.archives.find(ticket)

    def _judge_missing(self, ticket: Ticket, text: str) -> Answer | None:
        if ticket.home != self.me:
            return self.archives.judge_missing(ticket, text)
        if self._records.may_have_evicted(ticket):
            detail = "the ticket is older than what is still remembered"
            return Answer(0, text, STATE_MAY_HAVE_RUN, CODE_EVICTED, detail)
        return None

    def _look_up(self, text: str) -> Answer:
        try:
            ticket = read_ticket(text)
        except MalformedTicket:
            return Answer(0, text, STATE_UNKNOWN)
        if ticket.job in self._jobs:
            return Answer(0, text, STATE_RUNNING)
        record = self._find_record(ticket)
        if record is not None:
            return record.answer
        return self._judge_missing(ticket, text) or Answer(0, text, STATE_UNKNOWN)

    def _job_of(self, text: str) -> Job | None:
        try:
            return self._jobs.get(read_ticket(text).job)
        except MalformedTicket:
            return None

    def _explain(self, subject: str) -> bytes:
        decision = self._decisions.get(subject)
        if decision is not None:
            return encode_decisions([decision])
        with contextlib.suppress(MalformedTicket):
            ticket = read_ticket(subject)
            record = self.archives.find(ticket)
            if record is not None:
                return record.answer.decisions
            subject = f"{ticket.job:x}"
        return encode_decisions(self._decisions.about(subject))

    def _with_decisions(self, record: Record) -> Record:
        subject = f"{read_ticket(record.ticket).job:x}"
        rows = encode_decisions(self._decisions.about(subject)[-KEPT_DECISIONS:])
        return record._replace(answer=record.answer._replace(decisions=rows))

    def _join(self, waiter: Waiter, job: Job, digest: bytes | None) -> None:
        if digest is not None and digest != job.digest:
            self._send(waiter, Answer(0, job.text, STATE_CONFLICT))
            return
        self._counters.add("jobs_rejoined")
        self._decisions.record(codes.JOB_JOINED, job.subject, entry=waiter.entry.address)
        job.waiters.add(waiter)

    def _estimate(self, job: Job) -> None:
        job.estimates = [self._times.estimate(task.run_ms) for task in job.tasks]
        job.work_ms = sum(job.estimates)

    def _judge(self, job: Job) -> Verdict:
        narrow_tasks = self._configuration.service(self.service).narrow_tasks
        job.width = classify(len(job.tasks), narrow_tasks)
        ahead = Ahead(self._backlog.count, self._backlog.narrow_work_ms, self._held_bytes)
        return judge(job, self._placer.list_workers(), ahead)

    def _refuse(self, waiter: Waiter, job: Job, code: str, detail: str, retry_ms: float) -> None:
        self._counters.add("jobs_refused", code=code)
        decision = self._decisions.record(
            code, job.subject, detail=detail, retry_after_ms=round(retry_ms)
        )
        job.waiters.add(waiter)
        answer = Answer(0, job.text, STATE_NOT_RUN, code, detail, retry_ms, decision=decision)
        self._finish(job, answer)

    def _accept(self, waiter: Waiter, job: Job, wait_ms: float) -> None:
        self._counters.add("jobs_accepted")
        self._jobs[job.ticket.job] = job
        self._held_bytes += job.size_bytes
        self._team_work[job.team] += job.work_ms
        job.waiters.add(waiter)
        job.due = self._due(job)
        self._decisions.record(
            codes.JOB_ACCEPTED,
            job.subject,
            tasks=len(job.tasks),
            wait_ms=round(wait_ms, 1),
            work_ms=round(job.work_ms, 1),
            team=job.team,
        )
        detail = "the deadline passed"
        expire = self._clock.after(job.deadline_ms, lambda: self._end(job, CODE_EXPIRED, detail))
        job.timers.append(expire)
        for index in range(len(job.tasks)):
            self._backlog.push(job, index)
        self._placer.schedule()

    def _due(self, job: Job) -> float:
        """Return when a job is due: small ones soon, so that they overtake large ones.

        A large job gains on new small ones as time passes.
        """
        patience_ms = job.work_ms / max(1, self._runner.slots) * self._crowding(job.team)
        latest_ms = job.deadline_ms * DUE_SHARE
        return self._clock.now() + min(patience_ms, latest_ms) + job.longest_ms

    def _crowding(self, team: str) -> float:
        """Return how far a team's work exceeds its fair share, at least 1."""
        shares = {
            name: work / self._configuration.team(name).weight
            for name, work in self._team_work.items()
            if work > 0
        }
        if len(shares) < 2:
            return 1.0
        return max(1.0, shares[team] * len(shares) / sum(shares.values()))

    def _take_result(self, worker: Worker, offer: OpenOffer, result: TaskResult) -> None:
        job, index = offer.job, offer.index
        job.started = True
        declared = job.tasks[index].run_ms
        if result.ok:
            worker.note_pace(result.run_ms, offer.run_ms, self._clock.now())
            # What a slow minion took would make every other task's estimate too long.
            if not self._seems_slow(worker):
                self._times.learn(declared, result.run_ms)
        if job.is_final:
            return
        if not result.ok:
            self._decisions.record(
                codes.TASK_FAILED, job.subject, task=index, worker=worker.peer.address
            )
            detail = f"task {index}: {result.body[:200].decode(errors='replace')}"
            self._end(job, result.code or CODE_TASK_FAILED, detail)
            return
        job.take_result(index, result.body)
        if job.left == 0 and not job.ending:
            self._complete(job)
        elif job.ending:
            self._check_ending(job)

    def _seems_slow(self, worker: Worker) -> bool:
        lateness = worker.load.lateness
        return lateness > STANDS_OUT and lateness - self.peers_lateness() > STANDS_OUT

    def _complete(self, job: Job) -> None:
        self._counters.add("jobs_complete")
        self._decisions.record(codes.JOB_COMPLETE, job.subject)
        results = tuple(job.results)
        self._finish(job, Answer(0, job.text, STATE_COMPLETE, results=results))

    def _end(self, job: Job, code: str, detail: str) -> None:
        """Fail a job: at once where a task started, else when that is known."""
        if job.is_final or job.ending:
            return
        job.ending = code
        job.detail = detail
        self._counters.add("jobs_failed", code=code)
        self._backlog.drop(job)
        self._offers.revoke(job)
        job.timers.append(self._clock.after(REVOKE_WAIT_MS, lambda: self._give_up(job)))
        self._check_ending(job)

    def _check_ending(self, job: Job) -> None:
        if job.is_final:
            return
        if job.started:
            self._finish_failed(job, STATE_MAY_HAVE_RUN)
        elif not job.open_offers:
            self._finish_failed(job, STATE_NOT_RUN)

    def _give_up(self, job: Job) -> None:
        if not job.is_final:
            self._finish_failed(job, STATE_MAY_HAVE_RUN)

    def _finish_failed(self, job: Job, state: str) -> None:
        code = {
            CODE_CANCELLED: codes.JOB_CANCELLED,
            CODE_EXPIRED: codes.JOB_EXPIRED,
        }.get(job.ending, codes.JOB_FAILED)
        decision = self._decisions.record(code, job.subject, outcome=state, reason=job.ending)
        may_retry = state == STATE_NOT_RUN and job.ending != CODE_CANCELLED
        retry_ms = self._runner.load().wait_ms if may_retry else 0.0
        answer = Answer(0, job.text, state, job.ending, job.detail, retry_ms, decision=decision)
        self._finish(job, answer)

    def _finish(self, job: Job, answer: Answer) -> None:
        job.is_final = True
        job.cancel_timers()
        if self._jobs.pop(job.ticket.job, None) is not None:
            self._held_bytes -= job.size_bytes
            self._team_work[job.team] -= job.work_ms
            if self._team_work[job.team] <= NEGLIGIBLE_MS:
                del self._team_work[job.team]
        self._records.keep(job.ticket, Record(job.text, job.digest, answer))
        for waiter in job.waiters:
            self._send(waiter, answer)
        job.waiters.clear()

    def _send(self, waiter: Waiter, answer: Answer) -> None:
        message = answer._replace(request=waiter.request, load=self.load())
        self._messenger.send(waiter.entry, message)

    def _member_changed(self, member: Member) -> None:
        peer = Peer(member.address, member.incarnation)
        worker = self._offers.find(peer)
        if worker is not None:
            worker.member = member
        if member.state == MEMBER_DEAD:
            self._offers.suspect(peer)
        if member.state in (MEMBER_DEAD, MEMBER_LEFT):
            self._clock.after(LEFT_GRACE_MS, lambda: self._member_gone(peer))
        if member.state in (MEMBER_READY, MEMBER_EJECTED):
            self._placer.schedule()

    def _member_gone(self, peer: Peer) -> None:
        """Give up a member that left; one that only fell silent is probed."""
        member = self._roster.get(peer)
        if member is None or member.state == MEMBER_LEFT:
            self._offers.drop(peer)
            self._runner.forget_home(peer)
        elif member.state == MEMBER_DEAD:
            self._offers.forget_idle(peer)


def _conflict_or(answer: Answer, kept: bytes, digest: bytes | None) -> Answer:
    """Return the kept answer, or a conflict where another body was sent."""
    if digest is not None and kept and digest != kept:
        return Answer(0, answer.ticket, STATE_CONFLICT)
    return answer
