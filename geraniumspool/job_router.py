"""Routes the jobs of a dispatcher's callers to this dispatcher or to the owner of other workers.

The dispatcher that received a caller's request is the job's entry dispatcher, and answers the
caller whichever dispatcher places the tasks. The owner of a worker is the only dispatcher that
places tasks on it. If an owner is lost, its jobs are forwarded again only after every run that
it may have started has ended, so that no task runs twice at the same time.
"""

import functools
import logging
import math
from collections.abc import Callable, Iterator

import eventlet

from geraniumspool import owner_choice, urgency
from geraniumspool.contracts import Clock, Counters, Links
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.dispatcher import (
    CANCELLED,
    DEFAULT_TIMEOUT_MS,
    HELD_ELSEWHERE,
    RESULT_MARGIN_MS,
    Dispatcher,
)
from geraniumspool.dispatcher_peers import DispatcherPeers, PeerView
from geraniumspool.evacuations import Evacuations
from geraniumspool.fleet import RUNS_LOST_AFTER_MS, STARTUP_REPORT_MS
from geraniumspool.forwarded_jobs import LEASE_OVER, NOT_RECEIVED, ForwardedJobs
from geraniumspool.job_admission import NO_WORKER_RETRY_MS, POWER_LOSS_RECOVERY_MS
from geraniumspool.job_cancels import JobCancels
from geraniumspool.job_claims import JobClaims
from geraniumspool.job_messages import (
    DispatcherReport,
    DropJobs,
    ForwardedEnd,
    ForwardJob,
    ServiceLoad,
)
from geraniumspool.job_returns import RETURNED, JobReturn, OwnerReport, QueuedJob, ReturnChooser
from geraniumspool.job_specs import JobOutcome, JobResult, JobSpec
from geraniumspool.messages import Message, Peer
from geraniumspool.owner_choice import OwnerOption
from geraniumspool.processor_usage import UNKNOWN_SHARE
from geraniumspool.queued_work import LEVELS
from geraniumspool.queues import Queue
from geraniumspool.reliable_links import ReliableLinks
from geraniumspool.room_shares import QueueShare
from geraniumspool.routed_jobs import ForwardedJob, RoutedJob
from geraniumspool.run_leases import DISPATCHER_LEASE_MS

_LOG = logging.getLogger(__name__)

# Period of reports to dispatchers of the same domain, and to those with jobs at either side.
# Owners are chosen by these reports; with older ones, jobs go to groups of workers that have
# filled up since.
REPORT_MS = 100.0
# Period of all other reports: to dispatchers of other domains, and from one without workers.
# With many dispatchers, reports would otherwise be most of the messages.
IDLE_REPORT_MS = 300.0
# A lease counts from the owner's clock as echoed by the entry dispatcher. If the echo in a
# forwarded job is older than this, little of the lease is left, and the owner reports its clock
# at once.
STALE_ECHO_MS = 200.0
# A report after a longer silence, as when a connection was reopened, is answered at once: the
# lease of forwarded jobs is about to expire.
LEASE_URGENT_MS = 400.0
TICK_MS = 50.0
# Reports list a forwarded job only after this time, when its message must have arrived: an owner
# answers that it never received a listed job which it does not know.
LISTED_AFTER_MS = 120.0
# A job is offered to this many dispatchers: after a refusal, another one with other workers may
# take it.
MAX_TRIES = 2
# Another dispatcher confirms a forwarded job with its next report, a tick after it has received the
# job. The connection to one that has not confirmed a job after this time is reopened.
JOB_CONFIRMATION_LIMIT_MS = 250.0
# Without forwarded jobs, the connection is reopened if nothing was confirmed for the period of the
# other dispatcher's reports and this time.
REPORT_DELAY_LIMIT_MS = 200.0

# Codes of refusals after which another dispatcher may still take the job.
_RETRIABLE_CODES = frozenset(
    {
        "overload",
        "no_worker",
        "no_capacity",
        "leaving",
        "moved",
        LEASE_OVER,
        NOT_RECEIVED,
        HELD_ELSEWHERE,
        RETURNED,
    }
)
# Codes with which a dispatcher gives back a job that it has not started. Such a job may be tried
# beyond MAX_TRIES.
_GIVEN_BACK_CODES = frozenset({"leaving", "moved", NOT_RECEIVED, LEASE_OVER})
# Codes after which a job that was forwarded before and then placed here is routed again.
_REROUTED_CODES = _GIVEN_BACK_CODES | {HELD_ELSEWHERE, RETURNED}
# A job is sent to the dispatcher that holds its claim at most this many times; after that it ends
# as unfinished, and its caller has to send it again.
MAX_HOLDER_REDIRECTS = 4
# Pause before a job is sent to a holder for the second time or later: the previous one was
# releasing its claim.
HOLDER_REDIRECT_DELAY_MS = 60.0
# Stands for this process in ForwardedJob.tried, which otherwise contains addresses.
THIS_PROCESS = ""


class JobRouter:
    """Routes callers' jobs to the dispatcher of this process or to the owner of other workers.

    :ivar peers: the other dispatchers, and which workers this one owns
    :ivar forwarded: jobs that other dispatchers have forwarded to this one
    :ivar cancels: callers' cancels, which are passed on between the dispatchers
    :ivar links: connections to the other dispatchers
    :ivar returns_jobs: whether waiting jobs are returned to the dispatchers of their callers while
        another dispatcher has free capacity, and other owners may do so with jobs of this one
    :ivar measure_busy_share: returns the part of its processor share that this process uses; None
        if it is not reported, and the shares of others are ignored
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        counters: Counters,
        domain: str,
        dispatcher: Dispatcher,
        peers: DispatcherPeers,
        evacuations: Evacuations,
        claims: JobClaims,
    ):
        """Connect the components.

        :param send: queues a message to a dispatcher; returns whether it was queued
        :param domain: failure domain of this process
        :param dispatcher: dispatcher of this process
        :param peers: the other dispatchers
        :param evacuations: evacuated domains, as the dispatchers report them to each other
        :param claims: claims of this process, which need the current list of dispatchers
        """
        self._clock = clock
        self._send = send
        self._evacuations = evacuations
        evacuations.on_change = self._apply_evacuations
        self._counters = counters
        self._domain = domain
        self._dispatcher = dispatcher
        self.peers = peers
        self._claims = claims
        self.forwarded = ForwardedJobs(clock, send, counters, dispatcher)
        self.cancels = JobCancels(clock, send, counters, self.cancel, peers.views.values)
        dispatcher.is_cancelled = self.cancels.is_cancelled
        self.links: Links = ReliableLinks()
        self._jobs: dict[str, ForwardedJob] = {}
        # Jobs that were sent to an owner and not answered yet, by number.
        self._unanswered: dict[int, ForwardedJob] = {}
        self._next_number = 1
        self._held: list[ForwardedJob] = []
        # When an owner was last known. Starts with the current time: owners are heard soon after
        # a process has started.
        self._owner_seen_ms = clock.now()
        self._own_loads: tuple[ServiceLoad, ...] = ()
        self.returns_jobs = False
        self._return_chooser = ReturnChooser()
        self.measure_busy_share: Callable[[], float] | None = None
        self._own_busy_share = UNKNOWN_SHARE
        dispatcher.get_remote_capacity = self._find_capacity
        dispatcher.find_served = self._find_served

    @property
    def has_workers(self) -> bool:
        """Whether a worker is usable here or at another dispatcher, or one here is evacuated."""
        fleet = self._dispatcher.fleet
        own = any(view.is_usable for view in fleet.views)
        # With evacuated workers only, this process still has to be ready, to tell callers that
        # their jobs cannot run now.
        return own or fleet.has_evacuated or any(self.peers.list_owners())

    @property
    def is_idle(self) -> bool:
        """Whether no job is queued, held, forwarded or running."""
        return not self._jobs and self._dispatcher.is_idle

    def submit(
        self, spec: JobSpec, queue: Queue, timeout_ms: float, version: int = 0
    ) -> JobResult | RoutedJob:
        """Accept a job, join it to the one with the same id, or refuse it.

        :param timeout_ms: how long the caller waits, in milliseconds; 0 if it does not say
        :param version: version of the configuration that the queue is from
        :returns: the job to wait for, or the refusal
        """
        existing = self._jobs.get(spec.job_id)
        if existing is not None:
            existing.waiters += 1
            return existing
        is_cancelled = self.cancels.is_cancelled(spec.job_id)
        if self._dispatcher.has_job(spec.job_id) or spec.unsupported or is_cancelled:
            return self._dispatcher.submit(spec, queue, timeout_ms, version)
        option = self._choose_owner(spec, queue, set())
        now = self._clock.now()
        if option is not None:
            self._owner_seen_ms = now
        if self._is_placed_locally(option, now):
            return self._dispatcher.submit(
                spec, queue, timeout_ms, version, may_return=self.returns_jobs
            )
        refusal = self._dispatcher.refuse_if_exiting(spec, queue)
        if refusal is not None:
            return refusal
        job = ForwardedJob(spec, queue, timeout_ms or DEFAULT_TIMEOUT_MS, version, now)
        if option is None:
            return self._hold(job)
        self._jobs[spec.job_id] = job
        self._forward(job, option)
        return job

    def _is_placed_locally(self, option: OwnerOption | None, now: float) -> bool:
        """Return whether the dispatcher of this process gets a new job, if only to refuse it.

        :param option: the chosen owner, None if none can take the job
        :param now: current time in milliseconds
        """
        if option is not None:
            return option.owner is None
        fleet = self._dispatcher.fleet
        is_gathering = now - self._owner_seen_ms < STARTUP_REPORT_MS and not self.peers.is_leaving
        return fleet.has_owned or fleet.has_evacuated or not is_gathering

    def _hold(self, job: ForwardedJob) -> ForwardedJob:
        """Keep a job until an owner is known; owners report within a short time."""
        job.held_ms = self._clock.now()
        self._jobs[job.spec.job_id] = job
        self._held.append(job)
        self._log("job held until an owner is known", job, known=len(self.peers.views))
        return job

    def _can_hold(self) -> bool:
        """Return whether this process keeps running for as long as a job may be held."""
        return self._clock.now() + POWER_LOSS_RECOVERY_MS < self._dispatcher.exit_ms

    def _place_held(self, now: float) -> None:
        held, self._held = self._held, []
        for job in held:
            if job.result is not None:
                continue
            option = self._choose_owner(job.spec, job.queue, set())
            if option is not None and option.owner is None:
                self._place_locally(job)
            elif option is not None:
                self._forward(job, option)
            elif now - job.held_ms < POWER_LOSS_RECOVERY_MS:
                self._held.append(job)
            else:
                retry_ms = urgency.choose_retry_delay(NO_WORKER_RETRY_MS)
                self._finish(job, JobResult(JobOutcome.REFUSED, "no_worker", retry_ms))

    def wait(self, job: RoutedJob) -> JobResult:
        """Wait for a job's result; a job that this dispatcher gives back is routed again."""
        if isinstance(job, ForwardedJob):
            job.finished.wait()
            return job.result
        result = self._dispatcher.wait(job)
        if result.outcome is not JobOutcome.REFUSED or result.code not in _RETRIABLE_CODES:
            return result
        spec, queue = job.spec, job.queue
        if spec.job_id in self._jobs:
            return self.wait(self._jobs[spec.job_id])
        timeout_ms = job.timing.timeout_ms + RESULT_MARGIN_MS
        rerouted = ForwardedJob(spec, queue, timeout_ms, 0, job.timing.arrived_ms)
        rerouted.waiters = job.waiters
        if result.holder:
            self._jobs[spec.job_id] = rerouted
            self._follow_claim(rerouted, result)
            return self.wait(rerouted)
        if result.code == RETURNED:
            self._jobs[spec.job_id] = rerouted
            self._route_returned(rerouted, result)
            return self.wait(rerouted)
        option = self._choose_owner(
            spec, queue, set() if result.code in _GIVEN_BACK_CODES else {THIS_PROCESS}
        )
        if result.code not in _GIVEN_BACK_CODES and not (option and _has_room(option, rerouted)):
            return result
        if option is None and self._can_hold():
            # The new owner of the workers reports within a short time.
            return self.wait(self._hold(rerouted))
        if option is None or option.owner is None:
            return result
        self._jobs[spec.job_id] = rerouted
        self._forward(rerouted, option)
        return self.wait(rerouted)

    def remove_waiter(self, job: RoutedJob) -> None:
        """Remove one caller from a job, and end the job if that was the last one."""
        age_ms = self._clock.now() - _arrived_ms(job)
        self._log("caller left", job, waiters=job.waiters - 1, age_ms=round(age_ms, 1))
        found = job
        if isinstance(job, DispatchJob):
            found = self._jobs.get(job.spec.job_id)
        if found is None:
            self._dispatcher.remove_waiter(job)
            return
        found.waiters -= 1
        if found.waiters <= 0 and found.result is None:
            self._drop(found, JobResult(JobOutcome.GONE, "caller_gone"))

    def cancel(self, job_id: str) -> bool:
        """End a job of this process at its caller's request; return whether it was known."""
        job = self._jobs.get(job_id)
        if job is None:
            return self._dispatcher.cancel(job_id)
        self._drop(job, JobResult(JobOutcome.FAILED, CANCELLED))
        return True

    def count_waiting(self, queue: Queue) -> int:
        """Return how many jobs of a queue wait at this dispatcher without any task started."""
        return self._dispatcher.count_waiting(queue)

    def give_up_workers(self) -> None:
        """Give up all workers, and give back the jobs that have not started."""
        self.peers.is_leaving = True
        self._update_groups()
        self._report_to_all()

    def abort_jobs(self) -> None:
        """End every job as unfinished, as the process is about to exit."""
        for job in list(self._jobs.values()):
            self._drop(job, JobResult(JobOutcome.UNFINISHED, "process_stops"))
        self._dispatcher.abort_jobs()

    def update_members(self) -> None:
        """Update the groups of workers after a change of the registered members."""
        self._update_groups()

    def handle_forward_job(self, sender: Peer, message: ForwardJob) -> None:
        """Accept a job that another dispatcher forwards."""
        self.forwarded.handle_forward_job(sender, message)
        if self._clock.now() - message.echo_ms > STALE_ECHO_MS:
            self._report_soon(sender)

    def handle_forwarded_end(self, sender: Peer, message: ForwardedEnd) -> None:
        """Handle an owner's answer to a forwarded job.

        :param sender: the owner; answers of earlier owners and incarnations are ignored
        """
        job = self._unanswered.get(message.number)
        if job is None or job.owner_peer != sender:
            return
        del self._unanswered[message.number]
        result = message.result
        if result.outcome is JobOutcome.GONE:
            # The lease at the owner expired; the owner may still be stopping the runs.
            self._finish(job, JobResult(JobOutcome.UNFINISHED, LEASE_OVER))
        elif result.outcome is JobOutcome.REFUSED and result.code in _RETRIABLE_CODES:
            self._retry(job, result)
        else:
            self._finish(job, result)

    def handle_report(self, sender: Peer, report: DispatcherReport) -> None:
        """Handle another dispatcher's report of its load and of the jobs that it waits for."""
        now = self._clock.now()
        self._evacuations.merge(report.evacuations, report.echo_ms)
        view = self.peers.find_or_add(sender)
        self._claims.note_report(sender)
        was_leaving, was_alive = view.is_leaving, view.was_alive
        is_lease_urgent = max(view.silent_ms(now), now - report.echo_ms) > LEASE_URGENT_MS
        view.apply_report(report, now)
        if self.measure_busy_share and view.update_busy():
            self._counters.add("busy_peers", busy=str(view.is_busy).lower())
        self.forwarded.reconcile(sender, report)
        if is_lease_urgent and self._shares_jobs(sender):
            self._report_soon(sender)
        if view.is_leaving != was_leaving or not was_alive:
            self._update_groups()
        if self._held and report.loads:
            self._place_held(now)

    def handle_wrong_incarnation(self, sender: Peer) -> None:
        """Note that another incarnation answers at a dispatcher's address."""
        if sender.address in self.peers.views:
            self.peers.find_or_add(sender)

    def run_periodic_checks(self) -> None:
        """Send reports and enforce leases and deadlines, forever."""
        while True:
            self._clock.sleep(TICK_MS)
            now = self._clock.now()
            self._update_groups()
            if self.measure_busy_share:
                self._own_busy_share = self.measure_busy_share()
            self._send_reports(now)
            self._return_jobs(now)
            self._place_held(now)
            self.forwarded.expire_leases(now)
            for job in list(self._jobs.values()):
                self._check_deadline_and_owner(job, now)

    def _choose_owner(self, spec: JobSpec, queue: Queue, tried: set[str]) -> OwnerOption | None:
        options = self._list_options(queue.service, tried)
        request = owner_choice.describe_job(spec, queue, self._dispatcher.remote_data)
        return owner_choice.choose_owner(options, request, self._domain)

    def _list_options(self, service: str, tried: set[str]) -> list[OwnerOption]:
        """Return the dispatchers that a job may be assigned to.

        :param tried: addresses of dispatchers that are left out, and ``THIS_PROCESS``
        """
        options = [
            self._describe_owner(view, load)
            for view in self.peers.list_owners()
            if (load := view.loads.get(service)) and view.peer.address not in tried
        ]
        if not self.peers.is_leaving and THIS_PROCESS not in tried:
            own = self._dispatcher.describe_load(service)
            options.append(OwnerOption(None, self._domain, own, busy_share=self._own_busy_share))
        return options

    def _describe_owner(self, view: PeerView, load: ServiceLoad) -> OwnerOption:
        """Return another dispatcher as an option, with its load of a service."""
        busy_share = view.busy_share if self.measure_busy_share else UNKNOWN_SHARE
        sent_work = view.sent_work.get(load.service, 0.0)
        return OwnerOption(view, view.record.domain, load, sent_work, busy_share)

    def _follow_claim(self, job: ForwardedJob, result: JobResult) -> None:
        """Send a job to the dispatcher that holds its claim, to join the job there."""
        job.holder_redirects += 1
        if job.holder_redirects > MAX_HOLDER_REDIRECTS:
            self._finish(job, JobResult(JobOutcome.UNFINISHED, HELD_ELSEWHERE))
            return
        self._log("job sent to its holder", job, holder=result.holder, follows=job.holder_redirects)
        if job.holder_redirects == 1:
            self._send_to_holder(job, result.holder)
        else:
            # The previous holder was releasing its claim.
            self._clock.after(
                HOLDER_REDIRECT_DELAY_MS, lambda: self._send_to_holder(job, result.holder)
            )

    def _send_to_holder(self, job: ForwardedJob, holder: str) -> None:
        if job.result is not None:
            return
        view = self.peers.views.get(holder)
        if view is not None and view.is_reachable(self._clock.now()):
            load = view.loads.get(job.queue.service, ServiceLoad(job.queue.service, 0.0, 0.0, 0.0))
            self._forward(job, OwnerOption(view, view.record.domain, load))
        else:
            self._place_locally(job)

    def _forward(self, job: ForwardedJob, option: OwnerOption) -> None:
        view = option.owner
        now = self._clock.now()
        job.number = self._next_number
        self._next_number += 1
        job.owner, job.owner_peer = view, view.peer
        job.sent_ms = job.last_message_ms = now
        job.tried.add(view.peer.address)
        self._unanswered[job.number] = job
        service = job.queue.service
        work = sum(step.count * step.need.cpu * option.load.run_ms for step in job.spec.steps)
        view.sent_work[service] = view.sent_work.get(service, 0.0) + work
        message = ForwardJob(
            job.number,
            job.spec,
            job.queue,
            job.version,
            now - job.arrived_ms,
            job.timeout_ms,
            view.clock_ms,
            self.returns_jobs and not job.was_returned,
        )
        self._send(view.peer, message)
        self._counters.add("jobs_forwarded")
        self._log(
            "job forwarded",
            job,
            owner=view.peer.address,
            number=job.number,
            told_ms=round(now - view.last_message_ms),
            free_cpu=round(option.load.free_cpu),
        )

    def _retry(self, job: ForwardedJob, result: JobResult) -> None:
        """Try another owner, or return the result to the callers."""
        now = self._clock.now()
        if result.holder:
            self._follow_claim(job, result)
            return
        if result.code == RETURNED:
            self._route_returned(job, result)
            return
        if result.code == NOT_RECEIVED:
            job.tried.discard(job.owner_peer.address)
        is_too_late = now - job.arrived_ms >= job.timeout_ms - RESULT_MARGIN_MS
        if len(job.tried) >= MAX_TRIES and result.code not in _GIVEN_BACK_CODES or is_too_late:
            self._finish(job, result)
            return
        option = self._choose_owner(job.spec, job.queue, job.tried)
        if option is None and result.code in _GIVEN_BACK_CODES and self._can_hold():
            self._hold(job)
        elif option is None or (result.code == "overload" and not _has_room(option, job)):
            self._finish(job, result)
        elif option.owner is None:
            self._place_locally(job)
        else:
            self._forward(job, option)

    def _route_returned(self, job: ForwardedJob, result: JobResult) -> None:
        """Route a job that its owner returned to a dispatcher with free capacity, or refuse it."""
        job.was_returned = True
        returned_by = job.owner_peer.address if job.owner_peer else THIS_PROCESS
        job.owner = job.owner_peer = None
        now = self._clock.now()
        request = owner_choice.describe_job(job.spec, job.queue, self._dispatcher.remote_data)
        options = [
            option
            for option in self._list_options(job.queue.service, {returned_by})
            if owner_choice.predict_wait_ms(option, request) <= 0
        ]
        option = owner_choice.choose_owner(options, request, self._domain)
        self._log(
            "returned job routed" if option else "returned job found no capacity",
            job,
            returned_by=returned_by or "this_process",
            age_ms=round(now - job.arrived_ms, 1),
            free=len(options),
            retry_after_ms=round(result.retry_after_ms),
        )
        if option is None or now - job.arrived_ms >= job.timeout_ms - RESULT_MARGIN_MS:
            self._counters.add("returned_jobs_routed", to="nobody")
            self._finish(job, result)
        elif option.owner is None:
            self._counters.add("returned_jobs_routed", to="this_process")
            self._place_locally(job)
        else:
            self._counters.add("returned_jobs_routed", to="owner")
            self._forward(job, option)

    def _return_jobs(self, now: float) -> None:
        """Return waiting jobs that another dispatcher can serve earlier to their callers' ones."""
        if not self.returns_jobs or self.peers.is_leaving:
            return
        for load in self._own_loads:
            reports = [
                OwnerReport(
                    view.peer.address,
                    self._describe_owner(view, other),
                    view.last_message_ms,
                )
                for view in self.peers.list_owners()
                if (other := view.loads.get(load.service))
            ]
            queue = self._describe_waiting(load, now)
            for found in self._return_chooser.choose(load, reports, queue, self._domain, now):
                self._return_job(found)

    def _describe_waiting(self, load: ServiceLoad, now: float) -> Iterator[QueuedJob]:
        """Yield the waiting jobs of a service in the order of service.

        :param load: load of the workers of this process
        """
        arriving = self._dispatcher.list_arriving(load.service)
        least_cpu = urgency.MIN_SPARE * load.room_cpu
        spare_cpu = [
            max(least_cpu, load.room_cpu - sum(arriving[:level])) for level in range(LEVELS)
        ]
        for job in self._dispatcher.list_waiting(load.service):
            run_ms = job.remaining_run_ms()
            yield QueuedJob(
                job,
                functools.partial(
                    owner_choice.describe_job, job.spec, job.queue, self._dispatcher.remote_data
                ),
                job.ready_cpu(),
                job.pending_work(),
                spare_cpu[job.level],
                job.timing.latest_start(run_ms) - now,
                job.timing.latest_useful_start(run_ms) - now,
                # Reports do not say which labels the workers have. Of several callers' dispatchers,
                # each would forward the job to another owner.
                job.may_return
                and not job.may_have_started
                and job.waiters == 1
                and not any(step.label for step in job.spec.steps),
            )

    def _return_job(self, found: JobReturn) -> None:
        job = found.key
        self._counters.add("jobs_returned")
        self._log(
            "job returned",
            job,
            delay_ms=round(found.wait_ms),
            slack_ms=round(found.slack_ms),
            free_at=found.address,
            cost_ms=round(found.cost_ms, 1),
            free_cpu=round(found.free_cpu),
            told_ms=round(found.age_ms),
        )
        self._dispatcher.return_job(job, found.wait_ms)

    def _place_locally(self, job: ForwardedJob) -> None:
        job.tried.add(THIS_PROCESS)
        job.owner = job.owner_peer = None
        age_ms = self._clock.now() - job.arrived_ms
        submitted = self._dispatcher.submit(
            job.spec,
            job.queue,
            job.timeout_ms,
            job.version,
            age_ms,
            may_return=self.returns_jobs and not job.was_returned,
        )
        if isinstance(submitted, JobResult):
            self._retry(job, submitted)
            return
        job.local = submitted
        eventlet.spawn_n(self._await_local, job, submitted)

    def _await_local(self, job: ForwardedJob, submitted: DispatchJob) -> None:
        result = self._dispatcher.wait(submitted)
        job.local = None
        if job.result is not None:
            return
        if result.outcome is JobOutcome.REFUSED and result.code in _REROUTED_CODES:
            self._retry(job, result)
        else:
            self._finish(job, result)

    def _finish(self, job: ForwardedJob, result: JobResult) -> None:
        if job.result is not None:
            return
        if result.outcome is JobOutcome.REFUSED and job.may_have_run:
            result = JobResult(JobOutcome.UNFINISHED, result.code)
        job.result = result
        self._jobs.pop(job.spec.job_id, None)
        self._unanswered.pop(job.number, None)
        took_ms = self._clock.now() - job.arrived_ms
        self._counters.observe("forwarded_ms", took_ms, queue=job.queue.name)
        self._log(
            "forwarded job ended",
            job,
            owner=job.owner_peer.address if job.owner_peer else "",
            outcome=result.outcome.value,
            reason=result.code,
            took_ms=round(took_ms, 1),
            is_unconfirmed=bool(
                job.owner_peer and self.links.is_unconfirmed(job.owner_peer, job.sent_ms)
            ),
        )
        job.finished.send()

    def _drop(self, job: ForwardedJob, result: JobResult) -> None:
        """End a job here and wherever it is placed."""
        if job.owner_peer is not None and job.number in self._unanswered:
            self._send(job.owner_peer, DropJobs((job.number,)))
        local = job.local
        self._finish(job, result)
        if local is not None:
            self._dispatcher.remove_waiter(local)

    def _check_deadline_and_owner(self, job: ForwardedJob, now: float) -> None:
        """Answer a job whose deadline has passed, and retry one whose owner is lost."""
        if now - job.arrived_ms >= job.timeout_ms - RESULT_MARGIN_MS / 2:
            self._drop(job, JobResult(JobOutcome.UNFINISHED, "deadline"))
            return
        view = job.owner
        if view is None or job.number not in self._unanswered:
            return
        is_replaced = view.peer != job.owner_peer
        if not is_replaced:
            job.last_message_ms = max(job.last_message_ms, view.last_message_ms)
            if view.is_alive(now):
                return
        lost_after_ms = (
            RUNS_LOST_AFTER_MS if is_replaced else DISPATCHER_LEASE_MS + RUNS_LOST_AFTER_MS
        )
        if now - job.last_message_ms <= lost_after_ms:
            return
        del self._unanswered[job.number]
        job.may_have_run = True
        # The owner may take the job again, restarted or once it is reachable.
        job.tried.discard(job.owner_peer.address)
        self._log("owner lost", job, owner=job.owner_peer.address, replaced=is_replaced)
        self._counters.add("owners_lost")
        self._retry(job, JobResult(JobOutcome.UNFINISHED, "owner_lost"))

    def _send_reports(self, now: float) -> None:
        """Send a report to each dispatcher whose report is due.

        A dispatcher that gains its first workers or loses its last one reports to all at once.
        """
        loads = self._dispatcher.describe_loads()
        evacuation_news = self._evacuations.to_message()
        unlisted = self._dispatcher.fleet.list_unregistered()
        has_changed_loads = bool(loads) != bool(self._own_loads)
        self._own_loads = loads
        numbers_by_peer: dict[Peer, list[int]] = {}
        # Jobs that were sent just now are not listed, as their messages may arrive later. Up to the
        # first of them, a job that is not listed was dropped, even if the owner was told in vain.
        upto = self._next_number - 1
        awaited_peers = {job.owner_peer for job in self._unanswered.values()}
        served_peers = self.forwarded.list_entry_dispatchers()
        # When the latest job was sent that each owner should have confirmed by now.
        due_ms_by_peer: dict[Peer, float] = {}
        for number, job in self._unanswered.items():
            if now - job.sent_ms > LISTED_AFTER_MS:
                numbers_by_peer.setdefault(job.owner_peer, []).append(number)
            else:
                upto = min(upto, number - 1)
            if now - job.sent_ms > JOB_CONFIRMATION_LIMIT_MS:
                due_ms_by_peer[job.owner_peer] = job.sent_ms
        for view in self.peers.views.values():
            if self._reopen_if_dead(view, due_ms_by_peer.get(view.peer, -math.inf), now):
                view.report_sent_ms = -math.inf
            is_in_domain = bool(loads) and view.is_in_same_domain
            is_frequent = is_in_domain or view.peer in awaited_peers or view.peer in served_peers
            period_ms = REPORT_MS if is_frequent else IDLE_REPORT_MS
            if now - view.report_sent_ms < period_ms and not has_changed_loads:
                continue
            view.report_sent_ms = now
            numbers = tuple(numbers_by_peer.get(view.peer, ()))
            leaving = self.peers.is_leaving
            report = DispatcherReport(
                now,
                view.clock_ms,
                leaving,
                numbers,
                upto,
                loads,
                evacuation_news,
                unlisted,
                self._own_busy_share,
            )
            self._send(view.peer, report)

    def _reopen_if_dead(self, view: PeerView, job_sent_ms: float, now: float) -> bool:
        """Reopen the connection to a dispatcher that confirms nothing; return whether it was.

        Its own reports do not show that it receives ours, unless they confirm them.

        :param job_sent_ms: when the latest job was sent that it should have confirmed
        """
        is_frequent = bool(view.loads) and view.is_in_same_domain
        period_ms = REPORT_MS if is_frequent else IDLE_REPORT_MS
        report_sent_ms = now - period_ms - REPORT_DELAY_LIMIT_MS
        return self.links.reopen_unconfirmed(view.peer, max(job_sent_ms, report_sent_ms))

    def _report_to_all(self) -> None:
        """Send a report to every dispatcher now."""
        for view in self.peers.views.values():
            view.report_sent_ms = -math.inf
        self._send_reports(self._clock.now())

    def _report_soon(self, peer: Peer) -> None:
        """Send a report to a dispatcher once the pending events are handled."""
        view = self.peers.views.get(peer.address)
        if view is not None and view.report_sent_ms > -math.inf:
            view.report_sent_ms = -math.inf
            eventlet.spawn_n(self._send_reports, self._clock.now())

    def _shares_jobs(self, peer: Peer) -> bool:
        """Return whether jobs are forwarded between a dispatcher and this one."""
        is_awaited = any(job.owner_peer == peer for job in self._unanswered.values())
        return is_awaited or peer in self.forwarded.list_entry_dispatchers()

    def _apply_evacuations(self) -> None:
        """Apply a change of the evacuated domains, and report it to all dispatchers at once."""
        self._update_groups()
        self._dispatcher.apply_evacuations(self._list_usable)
        self._report_to_all()

    def _list_usable(self) -> list[str]:
        """Return the addresses of registered workers outside of evacuated domains."""
        workers = self.peers.directory.workers
        return [
            address
            for address, record in workers.items()
            if not self._evacuations.is_evacuated(record.domain)
        ]

    def _update_groups(self) -> None:
        """Update which workers this process owns and which other dispatchers there are."""
        directory = self.peers.directory
        has_changed = self.peers.refresh()
        if directory.version:
            # Before the store was read, this process would be the only arbiter of its claims.
            self._claims.update_members()
        if has_changed:
            domains = {address: record.domain for address, record in directory.workers.items()}
            self._dispatcher.fleet.set_owned(self.peers.owned, directory.listed, domains)
            self._dispatcher.refuse_without_workers()

    def _find_capacity(self, service: str) -> float:
        """Return the processor room of a service at other owners, in thousandths of a core."""
        loads = (view.loads.get(service) for view in self.peers.list_owners())
        return sum(load.room_cpu for load in loads if load)

    def _find_served(self, service: str) -> list[QueueShare]:
        """Return what the queues of a service got at other owners recently."""
        loads = (view.loads.get(service) for view in self.peers.list_owners())
        return [share for load in loads if load for share in load.served]

    def _log(self, message: str, job: RoutedJob, **fields: object) -> None:
        _LOG.info(message, extra={"fields": (("job", job.spec.job_id), *fields.items())})


def _arrived_ms(job: RoutedJob) -> float:
    return job.arrived_ms if isinstance(job, ForwardedJob) else job.timing.arrived_ms


def _has_room(option: OwnerOption, job: ForwardedJob) -> bool:
    request = owner_choice.describe_job(job.spec, job.queue)
    return owner_choice.predict_wait_ms(option, request) <= 0
