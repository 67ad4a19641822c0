"""Admission control: decide whether an arriving job is accepted or when to retry it.

Pure functions. They handle overload, in which a job that is accepted but not served costs
its caller time, and the first moments after a start, before all workers are known.
"""

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple, TypeAlias

from geraniumspool import packing, urgency
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.dispatch_policy import DispatchPolicy
from geraniumspool.fleet import WorkerView
from geraniumspool.job_specs import JobOutcome, JobResult
from geraniumspool.queued_work import LEVELS, NO_WORK, QueuedWork
from geraniumspool.urgency import Outlook, Rank

# Time within which about all workers are back after a power loss.
POWER_LOSS_RECOVERY_MS = 250.0
# Retry delay for callers whose job no known worker can serve.
NO_WORKER_RETRY_MS = 1_000.0
# Assumed run time if the dispatcher has no queued or running tasks to derive it from.
DEFAULT_MEAN_RUN_MS = 400.0
# Upper bound of predicted waits. Callers wait for 15 s at most, so that a longer prediction
# carries no more information.
MAX_PREDICTED_WAIT_MS = 60_000.0
# On average a full worker leaves capacity for half a task unused because the next task doesn't
# fit.
UNUSED_SHARE = 0.5


RankedJob: TypeAlias = tuple[Rank, DispatchJob]


class Backlog(NamedTuple):
    """Load of a dispatcher, as input for admission decisions.

    :param jobs: all running and queued jobs of this process
    :param waiting: jobs of the service with tasks that wait for a worker
    :param workers: usable workers of the service
    :param expects_reports: whether reports of further workers are expected shortly
    :param queued: queued work and arrival rates of this process, by priority level
    :param wait_factor: learnt ratio of actual to predicted waits
    :param new_worker_count: number of newly listed workers that may become usable soon
    :param ranked: ``waiting`` with their ranks, in any order; None if they were not ranked
    """

    jobs: Collection[DispatchJob]
    waiting: list[DispatchJob]
    workers: list[WorkerView]
    expects_reports: bool
    queued: QueuedWork = NO_WORK
    wait_factor: float = 1.0
    new_worker_count: int = 0
    ranked: list[RankedJob] | None = None


def check_admission(
    job: DispatchJob, backlog: Backlog, policy: DispatchPolicy, now: float
) -> JobResult | None:
    """Return a refusal, or None if the job is accepted.

    Set the job's predicted wait. The job's timing must have been set before.
    """
    refusal = _check_service(job, backlog)
    if refusal is not None:
        return refusal
    remaining_run_ms = job.remaining_run_ms()
    inputs = [("workers", len(backlog.workers)), ("left_ms", round(remaining_run_ms))]
    waiting = backlog.waiting
    after: list[RankedJob] = []
    ahead = 0.0
    if backlog.workers:
        ranked = backlog.ranked
        if ranked is None:
            ranked = rank_jobs(waiting, policy, now)
        ahead, after = _split_waiting(job, ranked, policy.rank(job, now))
        outlook = predict_outlook(job, ahead, backlog, policy.reserved_share(job))
    else:
        outlook = Outlook(False, 0.0, 0.0, 1.0, 1.0, POWER_LOSS_RECOVERY_MS)
    job.predicted_wait_ms = min(outlook.wait_ms, MAX_PREDICTED_WAIT_MS)
    job.wait_factor = outlook.factor
    is_refused = policy.is_refused(job, outlook, waiting, now)
    inputs += [(name, round(value, 1)) for name, value in outlook._asdict().items()]
    inputs.append(("delay_ms", round(job.predicted_wait_ms)))
    inputs.append(("objective_ms", round(job.timing.objective_ms)))
    displacement = None
    if not is_refused and after:
        spare = [_spare_capacity(backlog, level) for level in range(LEVELS)]
        displacement = policy.find_displacement(job, ahead, after, spare, now)
    wait_ms = job.predicted_wait_ms
    if displacement is not None and displacement.exceeds_value:
        is_refused = True
        inputs += [(name, round(value)) for name, value in displacement._asdict().items()]
        # Capacity suffices once the work that would be displaced is done as well.
        wait_ms = max(wait_ms, _predict_drain_ms(backlog))
    retry_ms = urgency.choose_retry_delay(wait_ms)
    if is_refused:
        chances = urgency.predict_probabilities(job.timing, remaining_run_ms, outlook, now)
        inputs += [(name, round(chance, 2)) for name, chance in chances._asdict().items()]
        return JobResult(JobOutcome.REFUSED, "overload", retry_ms, tuple(inputs))
    if remaining_run_ms > job.timing.timeout_ms:
        return JobResult(JobOutcome.REFUSED, "deadline", retry_ms, tuple(inputs))
    return None


def sum_work(
    jobs: Iterable[DispatchJob],
    policy: DispatchPolicy,
    now: float,
) -> QueuedWork:
    """Return the pending work of some jobs, by priority level."""
    return sum_ranked_work(rank_jobs(jobs, policy, now))


def rank_jobs(jobs: Iterable[DispatchJob], policy: DispatchPolicy, now: float) -> list[RankedJob]:
    """Return jobs with their ranks, in the given order."""
    return [(policy.rank(job, now), job) for job in jobs]


def sum_ranked_work(ranked: Iterable[RankedJob]) -> QueuedWork:
    """Return the pending work of some jobs, by priority level."""
    in_time = [0.0] * LEVELS
    late = [0.0] * LEVELS
    for rank, job in ranked:
        (in_time if rank.lateness == urgency.IN_TIME else late)[job.level] += job.pending_work()
    return QueuedWork(tuple(in_time), tuple(late))


def predict_outlook(
    job: DispatchJob, ahead: float, backlog: Backlog, reserved_share: float = 0.0
) -> Outlook:
    """Return the predicted queueing conditions of a job.

    :param ahead: queued work of this process that is served before the job, in thousandths
        of a core times ms
    :param reserved_share: part of the capacity that more urgent arrivals leave to the job's queue
    """
    workers = backlog.workers
    queued = backlog.queued
    level = job.level
    need = job.ready_cpu()
    task_cpu = max((step.spec.need.cpu for step in job.ready_steps()), default=0)
    capacity = _usable_capacity(backlog, task_cpu)
    free = sum(_round_to_tasks(view.free.cpu, task_cpu) for view in workers)
    min_spare = max(urgency.MIN_SPARE, reserved_share) * capacity
    return Outlook(
        ahead == 0 and need <= free,
        ahead,
        ahead,
        max(min_spare, capacity - sum(queued.arriving[:level])),
        max(urgency.MIN_LATE_SPARE * capacity, capacity - sum(queued.usual[: level + 1])),
        _predict_opening(job, backlog, need - free, capacity),
        backlog.wait_factor,
    )


def _split_waiting(
    job: DispatchJob, ranked: list[RankedJob], own: Rank
) -> tuple[float, list[RankedJob]]:
    """Return the queued work that is served before a job, and the jobs after it.

    :param own: the job's rank
    """
    ahead = 0.0
    after = []
    for pair in ranked:
        rank, other = pair
        if other is job:
            continue
        if rank <= own:
            ahead += other.pending_work()
        else:
            after.append(pair)
    return ahead, after


def _spare_capacity(backlog: Backlog, level: int) -> float:
    """Return the capacity that more urgent arrivals leave to a priority level."""
    capacity = _usable_capacity(backlog, 0)
    return max(urgency.MIN_SPARE * capacity, capacity - sum(backlog.queued.arriving[:level]))


def _predict_drain_ms(backlog: Backlog) -> float:
    """Return the predicted time in ms until the work that is queued now is done."""
    queued = backlog.queued
    work = sum(queued.in_time) + sum(queued.late)
    return work / max(1.0, _usable_capacity(backlog, 0))


def expected_capacity(workers: Collection[WorkerView], new_worker_count: float) -> float:
    """Return the CPU of some workers and those expected back soon, in thousandths of a core."""
    if not workers:
        return 0.0
    return sum(view.capacity.cpu for view in workers) * (1 + new_worker_count / len(workers))


def _usable_capacity(backlog: Backlog, task_cpu: int) -> float:
    """Return the CPU that tasks of a size can use, in thousandths of a core.

    Workers expected back soon count as well. Without them, jobs would be refused after a power
    loss for lack of workers that are available a moment later.
    """
    workers = backlog.workers
    capacity = sum(max(0.0, view.capacity.cpu - task_cpu * UNUSED_SHARE) for view in workers)
    return capacity * (1 + backlog.new_worker_count / len(workers))


def _round_to_tasks(free: int, need: int) -> int:
    """Round a worker's free CPU down to a multiple of the CPU need of one task."""
    return max(0, free) // need * need if need > 0 else max(0, free)


def _predict_opening(job: DispatchJob, backlog: Backlog, missing: float, capacity: float) -> float:
    """Return the predicted time in ms until the missing CPU capacity becomes free."""
    if missing <= 0:
        return 0.0
    freed_per_ms = capacity / mean_run_ms((job, *backlog.jobs))
    return missing / freed_per_ms if freed_per_ms else math.inf


def _check_service(job: DispatchJob, backlog: Backlog) -> JobResult | None:
    """Return a refusal if the known workers cannot serve a job at any load, else None."""
    retry_ms = urgency.choose_retry_delay(NO_WORKER_RETRY_MS)
    if not backlog.workers:
        if backlog.expects_reports:
            return None
        return JobResult(JobOutcome.REFUSED, "no_worker", retry_ms)
    if not fits_workers(job, backlog.workers):
        return JobResult(JobOutcome.REFUSED, "no_capacity", retry_ms)
    return None


def fits_workers(job: DispatchJob, workers: list[WorkerView]) -> bool:
    """Return whether each step of a job has a worker that can run its tasks when idle."""
    return all(any(packing.can_run(view, step.spec) for view in workers) for step in job.steps)


def mean_run_ms(jobs: Iterable[DispatchJob]) -> float:
    """Return the mean run time of the tasks of some jobs in ms, weighted by CPU.

    It is the harmonic mean, on the assumption that all workers run the same mix of tasks.
    """
    total_cpu = rate = 0.0
    for job in jobs:
        for step in job.ready_steps():
            cpu = len(step.pending) * step.spec.need.cpu
            total_cpu += cpu
            rate += cpu / step.expected_ms
        for placed in job.runs.values():
            cpu = job.steps[placed.task.step].spec.need.cpu
            total_cpu += cpu
            rate += cpu / placed.run_ms
    return total_cpu / rate if rate else DEFAULT_MEAN_RUN_MS
