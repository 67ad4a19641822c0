"""Accept jobs from waiting callers and schedule their tasks on workers.

Tasks are queued in the dispatcher until a worker has free capacity, so that the most
urgent task is chosen as late as possible. A dispatcher keeps no state across restarts:
callers resubmit a job, to any dispatcher, which claims the job before it starts a task.
"""

import logging
import math
from collections.abc import Callable

import eventlet

from geraniumspool import job_admission, packing, urgency
from geraniumspool.contracts import Clock, Counters
from geraniumspool.crash_blame import CrashBlame
from geraniumspool.departures import ActiveRun, find_runs_to_move
from geraniumspool.dispatch_job import DispatchJob, PlacedRun, log_job, make_steps
from geraniumspool.dispatch_job import compute_objective_ms as measure
from geraniumspool.dispatch_policy import DispatchPolicy, FindServed, UsefulnessPolicy
from geraniumspool.evacuations import Evacuations
from geraniumspool.fleet import Fleet, OpenRun, WorkerView
from geraniumspool.job_admission import NO_WORKER_RETRY_MS, Backlog, mean_run_ms
from geraniumspool.job_claims import JobClaims
from geraniumspool.job_messages import ServiceLoad
from geraniumspool.job_placer import JobPlacer
from geraniumspool.job_returns import RETURNED
from geraniumspool.job_specs import JobOutcome, JobResult, JobSpec
from geraniumspool.messages import Message, Peer
from geraniumspool.queued_work import NO_WORK, Arrivals
from geraniumspool.queues import Queue
from geraniumspool.room_shares import QueueShare
from geraniumspool.run_learner import RunLearner
from geraniumspool.run_messages import (
    FENCED,
    RUN_DONE,
    RUN_FAILED,
    RUN_LAPSED,
    RUN_REFUSED,
    RUN_STOPPED,
    RunEnd,
    WorkerReport,
)
from geraniumspool.urgency import Outlook, Rank, Timing

_LOG = logging.getLogger(__name__)

# Interval at which time limits and leases are checked. Job submissions and worker reports
# trigger scheduling on their own, so a task waits for a tick only if neither happens.
TICK_MS = 30.0
# A job's result must reach the caller before its timeout: two network hops and one tick.
RESULT_MARGIN_MS = 40.0
# Timeout of callers that specify none.
DEFAULT_TIMEOUT_MS = 15_000.0
# Callers keep using their connections while a process shuts down. It accepts only jobs that
# end in time even if they take this many times as long as expected, plus the time of one
# message to a full worker.
SHUTDOWN_FACTOR = 2.0
SHUTDOWN_MARGIN_MS = 100.0
# A scheduling pass stops after this many jobs could not be placed completely.
MAX_PLACEMENT_FAILURES = 6
# Most runs that a log line names.
MAX_LOGGED_RUNS = 10

# Reasons that mean that the minion crashed. A silent minion doesn't count: it may just be
# unreachable.
CRASH_REASONS = frozenset({"minion_down", "minion_replaced"})

# Result code: another dispatcher runs the job.
HELD_ELSEWHERE = "held_elsewhere"
# Result code: the caller has cancelled the job.
CANCELLED = "cancelled"

_RETRIED = frozenset({RUN_STOPPED, RUN_LAPSED})


def _never_expires() -> float:
    return math.inf


class Dispatcher:
    """Queue, schedule and track the jobs accepted by this process.

    :ivar exit_ms: clock time in ms at which the process will exit, infinite if unknown
    :ivar learner: what is learnt from the run times of tasks
    :ivar remote_data: factor by which tasks take longer away from their data
    :ivar get_remote_capacity: returns the CPU capacity, in thousandths of a core, of the workers
        that other dispatchers own for a service
    :ivar is_cancelled: returns whether a job was cancelled before it arrived
    :ivar find_served: returns what other dispatchers report that the queues of a service got
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        counters: Counters,
        domain: str,
        evacuations: Evacuations,
        claims: JobClaims,
        policy: DispatchPolicy | None = None,
        remote_data_factor: float | None = None,
        run_times_by_queue: bool = False,
        keeps_fast_workers: bool = False,
    ):
        """Create a dispatcher without jobs or workers.

        :param send: queues a message to a worker's executor process
        :param domain: failure domain of this process
        :param evacuations: failure domains in which no task is placed
        :param claims: exclusive claims that keep other dispatchers from running the same jobs
        :param policy: admission, ordering and placement policy, by default
            :class:`UsefulnessPolicy`
        :param remote_data_factor: how many times as long a task takes away from the rack of its
            data; None for the default
        :param run_times_by_queue: whether run times are learnt apart from the speed of workers,
            with their tail and from runs in progress
        :param keeps_fast_workers: whether tasks that are on time on slow workers avoid fast ones
        """
        self._policy = policy or UsefulnessPolicy()
        self._clock = clock
        self._counters = counters
        self.fleet = Fleet(clock, send, self._lose_runs, evacuations)
        self.fleet.on_new_incarnation = claims.handle_new_executor
        self._jobs: dict[str, DispatchJob] = {}
        # Jobs with tasks that are ready to be placed, so that a scheduling pass doesn't
        # iterate over all jobs.
        self._pending: dict[str, DispatchJob] = {}
        self._arrivals: dict[str, Arrivals] = {}
        self._wait_learner = urgency.WaitLearner()
        self._blame = CrashBlame()
        self.learner = RunLearner(
            clock, counters, self.fleet, remote_data_factor, run_times_by_queue
        )
        self.remote_data = self.learner.remote_data
        self._placer = JobPlacer(
            clock,
            self.fleet,
            self._policy,
            self._blame,
            domain,
            self.remote_data,
            keeps_fast_workers,
        )
        self._is_placing = False
        self._claims = claims
        claims.on_granted = self._on_claim_granted
        claims.on_held_elsewhere = self._on_held_elsewhere
        claims.on_suspended = self._on_claim_uncertain
        claims.fences.find_silent_since = self.fleet.find_silent_since
        claims.fences.find_ended_since = self.fleet.find_ended_since
        self.get_remote_capacity: Callable[[str], float] = _no_remote_capacity
        self.find_served: FindServed = _no_served
        self.is_cancelled: Callable[[str], bool] = _is_never_cancelled
        self.exit_ms = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether no job is running or queued in this process."""
        return not self._jobs

    @property
    def has_open_runs(self) -> bool:
        """Whether any run may still be running or stopping at a worker."""
        return any(view.runs for view in self.fleet.views)

    def count_waiting(self, queue: Queue) -> int:
        """Return the number of jobs of a queue of which no task has been sent to a worker."""
        return sum(
            job.queue.name == queue.name and not job.may_have_started for job in self._jobs.values()
        )

    def has_job(self, job_id: str) -> bool:
        """Return whether a job is running or queued in this process."""
        return job_id in self._jobs

    def submit(
        self,
        spec: JobSpec,
        queue: Queue,
        timeout_ms: float,
        version: int = 0,
        age_ms: float = 0.0,
        lease_expiry: Callable[[], float] = _never_expires,
        may_return: bool = False,
    ) -> JobResult | DispatchJob:
        """Admit a job, join it to the job already known by the same id, or refuse it.

        :param timeout_ms: the caller's timeout in ms, 0 if it specified none
        :param version: version of the configuration that defines the queue
        :param age_ms: time in ms since the job arrived at the dispatcher that the caller is
            connected to
        :param lease_expiry: returns the clock time in ms at which the lease on the job expires that
            the caller's dispatcher holds
        :param may_return: whether the job may be returned to the caller's dispatcher
        :return: the admitted or joined job, or the result of a refused one
        """
        job = self._jobs.get(spec.job_id)
        if job is not None:
            log_job("job joined", job)
            job.waiters += 1
            job.lease_expiries.append(lease_expiry)
            job.may_return = job.may_return and may_return
            return job
        if self.is_cancelled(spec.job_id):
            # The request was overtaken by the cancel.
            return JobResult(JobOutcome.FAILED, CANCELLED)
        job = DispatchJob(spec, queue, make_steps(spec, self.learner.run_time_ratio(queue.name)))
        refusal = self._check_admission(job, timeout_ms or DEFAULT_TIMEOUT_MS, age_ms)
        if refusal is not None:
            self._counters.add("dispatch_jobs", queue=queue.name, outcome=refusal.code)
            log_job(
                "job refused",
                job,
                reason=refusal.code,
                retry_after_ms=round(refusal.retry_after_ms),
                version=version,
                **dict(refusal.inputs),
            )
            return refusal
        self._jobs[spec.job_id] = job
        self._pending[spec.job_id] = job
        arrivals = self._arrivals.setdefault(queue.service, Arrivals(self._clock.now()))
        arrivals.note(job.level, job.pending_work(), self._clock.now())
        if job.pace < 1:
            self._counters.add("jobs_need_fast_workers", queue=queue.name)
        job.waiters = 1
        job.may_return = may_return
        job.lease_expiries.append(lease_expiry)
        log_job(
            "job accepted",
            job,
            queue=queue.name,
            tasks=sum(step.count for step in spec.steps),
            objective_ms=round(job.timing.objective_ms),
            wait_ms=round(job.timing.timeout_ms),
            delay_ms=round(job.predicted_wait_ms),
            pace=round(job.pace, 3),
            version=version,
        )
        self._claims.claim(job)
        return job

    def _on_claim_granted(self, job: DispatchJob, fence_rank: int) -> None:
        """Schedule a job after its claim was granted.

        :param fence_rank: rank of the fence that the job was claimed by, 0 if arbiters granted it
        """
        job.is_claimed = True
        job.fence_rank = fence_rank
        job.claim_granted_ms = self._claims.find_first_grant_ms(job)
        self.schedule()

    def _on_claim_uncertain(self, job: DispatchJob) -> None:
        """Start no further tasks of a job that another dispatcher may be running."""
        job.is_claimed = False

    def _on_held_elsewhere(self, job: DispatchJob, holder: str) -> None:
        """End a job that another dispatcher runs.

        :param holder: address of that dispatcher
        """
        if job.has_ended:
            return
        code, outcome = HELD_ELSEWHERE, JobOutcome.REFUSED
        if job.may_have_started:
            outcome = JobOutcome.UNFINISHED
        self._end(job, JobResult(outcome, code, urgency.MIN_RETRY_MS, holder=holder))

    def wait(self, job: DispatchJob) -> JobResult:
        """Block until a job has ended and return its result."""
        job.finished.wait()
        return job.result

    def remove_waiter(self, job: DispatchJob) -> None:
        """Record that one caller has disconnected; end the job if it was the last one."""
        job.waiters -= 1
        if job.waiters <= 0 and not job.has_ended:
            self._end(job, JobResult(JobOutcome.GONE, "caller_gone"))

    def cancel(self, job_id: str) -> bool:
        """Cancel a job at its caller's request; return whether the job was known."""
        job = self._jobs.get(job_id)
        if job is None:
            return False
        self._end(job, JobResult(JobOutcome.FAILED, CANCELLED))
        return True

    def abort_jobs(self) -> None:
        """End every job because the process is about to exit."""
        for job in list(self._jobs.values()):
            self._give_up(job, "process_stops")

    def apply_evacuations(self, find_others: Callable[[], list[str]]) -> None:
        """Apply a change of the evacuated failure domains and reschedule.

        :param find_others: returns the addresses of usable workers of other dispatchers
        """
        self.fleet.apply_evacuations()
        self.refuse_without_workers()
        if not self.fleet.has_owned and self._pending:
            self._finish_elsewhere(find_others())
        self.schedule()

    def _finish_elsewhere(self, others: list[str]) -> None:
        """Finish started jobs on workers of other dispatchers.

        Without any worker their callers would wait until they time out.
        """
        self.fleet.use_temporarily(others)
        fields = (("jobs", len(self._pending)), ("workers", len(others)))
        _LOG.info("using workers of other dispatchers", extra={"fields": fields})
        if not others:
            for job in list(self._pending.values()):
                self._give_up(job, "no_worker")

    def refuse_without_workers(self) -> None:
        """Refuse jobs without a started task if this dispatcher owns no usable worker.

        All its workers may have been reassigned to other dispatchers, or be evacuated.
        """
        if self.fleet.has_owned:
            return
        for job in list(self._jobs.values()):
            if not job.may_have_started:
                self._give_up(job, "moved")

    def describe_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of the workers that this dispatcher owns, for each service."""
        services = {
            view.state.service for view in self.fleet.views if view.is_owned and view.is_usable
        }
        return tuple(self.describe_load(service) for service in sorted(services))

    def describe_load(self, service: str) -> ServiceLoad:
        """Return the load of the workers that this dispatcher owns for a service."""
        usable = self.fleet.usable_workers(service)
        jobs = [job for job in self._jobs.values() if job.queue.service == service]
        waiting = [job for job in jobs if job.spec.job_id in self._pending]
        return ServiceLoad(
            service,
            sum(view.capacity.cpu for view in usable),
            sum(max(0, view.free.cpu) for view in usable),
            round(mean_run_ms(jobs), 1),
            job_admission.sum_work(waiting, self._policy, self._clock.now()),
            tuple({view.rack for view in usable if view.rack}),
            self._policy.list_served(service, self._clock.now()),
        )

    def list_waiting(self, service: str) -> list[DispatchJob]:
        """Return the jobs of a service with tasks that wait for a worker, in order of service."""
        now = self._clock.now()
        jobs = [job for job in self._pending.values() if job.queue.service == service]
        return sorted(jobs, key=lambda job: self._policy.rank(job, now))

    def list_arriving(self, service: str) -> tuple[float, ...]:
        """Return the recent arrival rates of a service's work by priority level."""
        arrivals = self._arrivals.get(service)
        return (arrivals.add_to(NO_WORK, self._clock.now()) if arrivals else NO_WORK).arriving

    def return_job(self, job: DispatchJob, wait_ms: float) -> None:
        """End a job without any started task, so that its caller's dispatcher forwards it.

        The release of its claim is sent first.

        :param wait_ms: predicted wait here
        """
        retry_ms = urgency.choose_retry_delay(wait_ms)
        self._end(job, JobResult(JobOutcome.REFUSED, RETURNED, retry_ms))

    def handle_report(self, sender: Peer, report: WorkerReport) -> None:
        """Process a worker's report of ended runs and free capacity."""
        view = self.fleet.handle_report(sender, report)
        ended = [
            (run.owner, end) for end in report.ends if (run := view.runs.pop(end.number, None))
        ]
        self._handle_crash([placed for placed, end in ended if _is_crash(end)])
        for placed, end in ended:
            self._handle_run_end(placed, end)
        self.learner.record_stragglers(view, report)
        self._move_departing_runs(view, report)
        self.schedule()

    def _move_departing_runs(self, view: WorkerView, report: WorkerReport) -> None:
        """Stop the runs that do not end before their worker shuts down.

        Their tasks are requeued once the worker has reported the ends of these runs.
        """
        if not view.runs or math.isinf(view.departs_ms):
            return
        now = self._clock.now()
        known_left_ms = self.learner.predict_overdue(view, now)
        known_left_ms.update((run.number, run.left_ms) for run in report.stragglers)
        runs = [
            ActiveRun(
                run.number, now - run.sent_ms, run.owner.run_ms, known_left_ms.get(run.number)
            )
            for run in view.runs.values()
            if run.number <= view.highest_number
            and run.number not in view.stopping
            and self._is_movable(run.owner, now)
        ]
        moves = find_runs_to_move(runs, view.departs_ms - now)
        for move in moves:
            placed = view.runs[move.run.number].owner
            self._counters.add("runs_moved", queue=placed.job.queue.name)
            log_job(
                "run moved off leaving worker",
                placed.job,
                task=f"{placed.task.step}.{placed.task.index}",
                worker=view.peer.address,
                age_ms=round(move.run.age_ms),
                expected_ms=round(move.run.run_ms),
                predicted_ms=round(move.left_ms),
                time_left_ms=round(view.departs_ms - now),
            )
        self.fleet.stop([(view, move.run.number) for move in moves])

    def _is_movable(self, placed: PlacedRun, now: float) -> bool:
        """Return whether a run can be placed anew and then end before its caller times out."""
        job, step = placed.job, placed.job.steps[placed.task.step]
        if job.has_ended or not job.is_claimed:
            return False
        if job.failures.get(placed.task, 0) >= job.queue.attempts:
            return False
        if now + step.expected_ms > job.timing.arrived_ms + job.timing.timeout_ms:
            return False
        return any(
            other is not placed.worker and packing.can_run(other, step.spec)
            for other in self.fleet.usable_workers(job.queue.service)
        )

    def _handle_crash(self, crashed: list[PlacedRun]) -> None:
        """Fail the jobs whose tasks are to blame for a minion crash.

        :param crashed: runs that were active on the minion when it crashed
        """
        if not crashed:
            return
        names = {placed.job.task_name(placed.task): placed for placed in crashed}
        blamed = self._blame.record_crash(names, self._clock.now())
        fields = (
            ("worker", crashed[0].worker.peer.address),
            ("tasks", ",".join(f"{name}={self._blame.count(name)}" for name in names)),
            ("blamed", ",".join(blamed)),
        )
        _LOG.warning("minion crashed while running tasks", extra={"fields": fields})
        self._counters.add("minion_crashes", blamed=str(bool(blamed)).lower())
        for name in blamed:
            job = names[name].job
            if not job.has_ended:
                self._end(job, JobResult(JobOutcome.FAILED, "crashes_minions"))

    def run_periodic_checks(self) -> None:
        """Renew leases, enforce time limits and reschedule, in an endless loop."""
        while True:
            self._clock.sleep(TICK_MS)
            self.fleet.renew()
            self._claims.run_checks()
            self._expire()
            if self._jobs:
                self._shed_load()
                self._place()

    def schedule(self) -> None:
        """Request a scheduling pass, which runs after the events that are pending now."""
        if not self._is_placing:
            self._is_placing = True
            eventlet.spawn_n(self._place_scheduled)

    def _place_scheduled(self) -> None:
        self._is_placing = False
        self._place()

    def _check_admission(
        self, job: DispatchJob, timeout_ms: float, age_ms: float
    ) -> JobResult | None:
        """Set a job's timing; return a refusal, or None if the job is admitted."""
        if job.spec.unsupported:
            return JobResult(JobOutcome.REFUSED, job.spec.unsupported, NO_WORKER_RETRY_MS)
        workers = self.fleet.usable_workers(job.queue.service)
        now = self._clock.now()
        capacity = sum(view.capacity.cpu for view in workers) + self.get_remote_capacity(
            job.queue.service
        )
        objective_ms = measure(job.steps, job.queue, capacity)
        job.timing = Timing(now - age_ms, objective_ms, timeout_ms - RESULT_MARGIN_MS)
        if self._placer.keeps_fast_workers:
            on_time_ms = min(objective_ms, job.timing.timeout_ms) - age_ms
            job.pace = packing.find_needed_pace(job.remaining_run_ms(), on_time_ms, workers)
        backlog = self._describe_backlog(job.queue.service, workers, now)
        self._policy.observe_arrival(job, now)
        job.accepted_capacity = job_admission.expected_capacity(
            workers, self.fleet.new_worker_count
        )
        refusal = job_admission.check_admission(job, backlog, self._policy, now)
        return refusal or self._check_shutdown(job, now)

    def refuse_if_exiting(self, spec: JobSpec, queue: Queue) -> JobResult | None:
        """Return a refusal if the process may exit before a job ends, else None."""
        steps = make_steps(spec, self.learner.run_time_ratio(queue.name))
        return self._check_shutdown(DispatchJob(spec, queue, steps), self._clock.now())

    def _check_shutdown(self, job: DispatchJob, now: float) -> JobResult | None:
        takes_ms = (
            job.predicted_wait_ms + SHUTDOWN_FACTOR * job.remaining_run_ms() + SHUTDOWN_MARGIN_MS
        )
        if now + takes_ms <= self.exit_ms:
            return None
        return JobResult(JobOutcome.REFUSED, "leaving", urgency.MIN_RETRY_MS)

    def _describe_backlog(self, service: str, workers: list[WorkerView], now: float) -> Backlog:
        """Return the backlog of a service, as input for admission decisions."""
        jobs = [job for job in self._pending.values() if job.queue.service == service]
        ranked = job_admission.rank_jobs(jobs, self._policy, now)
        queued = job_admission.sum_ranked_work(ranked)
        arrivals = self._arrivals.get(service)
        if arrivals:
            queued = arrivals.add_to(queued, now)
        capacity = job_admission.expected_capacity(workers, self.fleet.new_worker_count)
        self._policy.observe_load(service, capacity, queued, self.find_served, now)
        return Backlog(
            self._jobs.values(),
            jobs,
            workers,
            self.fleet.expects_reports,
            queued,
            self._wait_learner.factor,
            self.fleet.new_worker_count,
            ranked,
        )

    def _place(self) -> None:
        """Assign waiting tasks to workers, the most urgent job first."""
        self._claims.check_pause()
        now = self._clock.now()
        # After a process pause, leases may have expired: start nothing for a caller's dispatcher
        # that has already given this one up.
        waiting = [
            job for job in self._pending.values() if job.is_claimed and job.has_valid_lease(now)
        ]
        waiting.sort(key=lambda job: self._policy.rank(job, now))
        misses = 0
        for job in waiting:
            if misses >= MAX_PLACEMENT_FAILURES:
                break
            if self._placer.place(job, now):
                del self._pending[job.spec.job_id]
                self._learn_wait(job, now)
                continue
            misses += 1
        self.fleet.flush()

    def _learn_wait(self, job: DispatchJob, now: float) -> None:
        """Record a job's actual wait against the wait predicted on its arrival."""
        if not job.wait_recorded:
            job.wait_recorded = True
            predicted_ms = job.predicted_wait_ms / job.wait_factor
            self._wait_learner.note(predicted_ms, now - job.timing.arrived_ms)

    def _shed_load(self) -> None:
        """Refuse queued jobs that are unlikely to be served in time instead of keeping them."""
        now = self._clock.now()
        waiting: dict[str, list[DispatchJob]] = {}
        for job in self._pending.values():
            waiting.setdefault(job.queue.service, []).append(job)
        for service, jobs in waiting.items():
            self._shed_too_large(service, jobs)
            workers = self.fleet.usable_workers(service)
            if workers:
                self._shed_service_load(jobs, self._describe_backlog(service, workers, now), now)

    def _shed_too_large(self, service: str, jobs: list[DispatchJob]) -> None:
        """End jobs that no longer fit on any worker because worker capacity has shrunk.

        Workers that accept no tasks at the moment count as well: they may recover soon.
        """
        workers = self.fleet.owned_workers(service)
        if not workers:
            return
        for job in [job for job in jobs if not job_admission.fits_workers(job, workers)]:
            self._give_up(job, "no_capacity")
            jobs.remove(job)

    def _shed_service_load(self, jobs: list[DispatchJob], backlog: Backlog, now: float) -> None:
        ranked = sorted((self._policy.rank(job, now), number) for number, job in enumerate(jobs))
        ahead = 0.0
        for rank, number in ranked:
            job = jobs[number]
            if not job.may_have_started and self._policy.is_shed_checked(job, rank.lateness, now):
                reserved_share = self._policy.reserved_share(job)
                outlook = job_admission.predict_outlook(job, ahead, backlog, reserved_share)
                if self._policy.is_shed(job, outlook, now):
                    self._log_shed(job, rank, outlook, now)
                    self._give_up(job, "overload", self._policy.predict_retry_ms(outlook))
                    continue
            ahead += job.pending_work()

    def _log_shed(self, job: DispatchJob, rank: Rank, outlook: Outlook, now: float) -> None:
        """Log why an accepted job is refused after all."""
        workers = self.fleet.usable_workers(job.queue.service)
        capacity = job_admission.expected_capacity(workers, self.fleet.new_worker_count)
        self._counters.add("jobs_shed", queue=job.queue.name)
        log_job(
            "job shed",
            job,
            age_ms=round(now - job.timing.arrived_ms),
            objective_ms=round(job.timing.objective_ms),
            lateness=rank.lateness,
            capacity=round(capacity),
            accepted_capacity=round(job.accepted_capacity),
            **{name: round(value, 1) for name, value in outlook._asdict().items()},
        )

    def _handle_run_end(self, placed: PlacedRun, end: RunEnd) -> None:
        job, task = placed.job, placed.task
        step = job.steps[task.step]
        job.runs.pop(end.number, None)
        is_counted = self.learner.remove_run(end.number)
        step.runs_by_worker[id(placed.worker)] = step.runs_by_worker.get(id(placed.worker), 1) - 1
        if job.has_ended:
            self._handle_late_run_end(job)
            return
        if end.how in (RUN_DONE, RUN_FAILED):
            self._blame.acquit(job.task_name(task))
        if end.how == RUN_DONE:
            self.learner.record_end(placed, end.ran_ms, is_counted)
            step.unfinished -= 1
            if all(other.unfinished == 0 for other in job.steps):
                self._end(job, JobResult(JobOutcome.SUCCEEDED))
            elif step.unfinished == 0 and job.has_ready_tasks:
                self._pending[job.spec.job_id] = job
            return
        if end.how == RUN_FAILED:
            failures = job.failures[task] = job.failures.get(task, 0) + 1
            job.failed_at[task] = id(placed.worker)
            if failures >= job.queue.attempts:
                self._end(job, JobResult(JobOutcome.FAILED, "attempts_used"))
                return
        elif end.how == RUN_REFUSED:
            self._counters.add("orders_refused", reason=end.reason)
        elif end.how in _RETRIED:
            job.failed_at[task] = id(placed.worker)
        if end.reason == FENCED:
            job.is_claimed = False
            self._claims.handle_foreign_fence(job)
        log_job(
            "task requeued",
            job,
            task=f"{task.step}.{task.index}",
            how=end.how,
            reason=end.reason,
            worker=placed.worker.peer.address,
        )
        if self._blame.is_suspect(job.task_name(task)):
            # Queue it last: a suspect needs a worker without other suspects, and the other
            # tasks of the step shouldn't wait for that.
            step.pending.append(task.index)
        else:
            step.pending.appendleft(task.index)
        self._pending[job.spec.job_id] = job

    def _handle_late_run_end(self, job: DispatchJob) -> None:
        """Release the claim of an ended job once its last run has ended."""
        if not job.runs:
            claim = dict(self._claims.describe(job))
            self._claims.release(job)
            took_ms = self._clock.now() - job.ended_ms
            self._counters.observe("job_stop_ms", took_ms, queue=job.queue.name)
            log_job("all runs of ended job stopped", job, after_ms=round(took_ms, 1), **claim)

    def _lose_runs(self, runs: list[OpenRun], reason: str) -> None:
        """Take the runs of a silent worker for over."""
        worker = runs[0].owner.worker
        logged = runs[:MAX_LOGGED_RUNS]
        fields = (
            ("worker", worker.peer.address),
            ("reason", reason),
            ("silent_ms", round(self._clock.now() - worker.last_message_ms)),
            ("runs", len(runs)),
            ("ended_jobs", sum(run.owner.job.has_ended for run in runs)),
            ("numbers", ",".join(str(run.number) for run in logged)),
            ("tasks", ",".join(run.owner.job.task_name(run.owner.task) for run in logged)),
        )
        _LOG.warning("runs of silent worker given up", extra={"fields": fields})
        for run in runs:
            self._handle_run_end(run.owner, RunEnd(run.number, RUN_LAPSED, reason=reason))

    def _expire(self) -> None:
        """End jobs whose caller times out, or that can no longer start early enough."""
        now = self._clock.now()
        for job in list(self._jobs.values()):
            if now >= job.timing.arrived_ms + job.timing.timeout_ms:
                self._give_up(job, "deadline")
            elif not job.may_have_started and now > job.timing.latest_useful_start(
                job.remaining_run_ms()
            ):
                self._give_up(job, "too_late")

    def _give_up(self, job: DispatchJob, code: str, retry_ms: float = urgency.MIN_RETRY_MS) -> None:
        """End an unfinished job; refuse it with a retry delay if none of its tasks ran.

        :param retry_ms: time after which capacity may suffice
        """
        self._learn_wait(job, self._clock.now())
        if job.may_have_started:
            self._end(job, JobResult(JobOutcome.UNFINISHED, code))
            return
        retry = urgency.choose_retry_delay(retry_ms)
        self._end(job, JobResult(JobOutcome.REFUSED, code, retry))

    def _end(self, job: DispatchJob, result: JobResult) -> None:
        """End a job with a result, stop its runs and wake its callers."""
        job.result = result
        job.ended_ms = self._clock.now()
        del self._jobs[job.spec.job_id]
        self._pending.pop(job.spec.job_id, None)
        claim = dict(self._claims.describe(job))
        if not job.runs:
            self._claims.release(job, result.outcome is not JobOutcome.SUCCEEDED)
        else:
            self.fleet.stop([(placed.worker, number) for number, placed in job.runs.items()])
        took_ms = job.ended_ms - job.timing.arrived_ms
        self._counters.add(
            "dispatch_jobs", queue=job.queue.name, outcome=result.code or result.outcome.value
        )
        self._counters.observe("job_ms", took_ms, queue=job.queue.name)
        log_job(
            "job ended",
            job,
            outcome=result.outcome.value,
            reason=result.code,
            took_ms=round(took_ms, 1),
            objective_ms=round(job.timing.objective_ms),
            stopped=len(job.runs),
            **claim,
        )
        job.finished.send()


def _is_crash(end: RunEnd) -> bool:
    return end.how == RUN_LAPSED and end.reason in CRASH_REASONS


def _is_never_cancelled(_job_id: str) -> bool:
    return False


def _no_served(_service: str) -> tuple[QueueShare, ...]:
    return ()


def _no_remote_capacity(_service: str) -> float:
    return 0.0
