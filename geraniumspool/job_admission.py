"""Decides whether a job is taken on its arrival, and when its caller may come back.

Plain functions. Answered load patterns: loads over capacity, in which what is
taken and not served costs its caller time; the first moments after a start,
before all workers are known.
"""

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from geraniumspool import packing, urgency
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.dispatch_policy import DispatchPolicy
from geraniumspool.fleet import WorkerView
from geraniumspool.job_specs import JobOutcome, JobResult
from geraniumspool.queued_work import LEVELS, NO_WORK, QueuedWork
from geraniumspool.urgency import Outlook

# All workers are back within about this time after a loss of power.
GATHERING_MS = 250.0
# Until workers are known a caller comes back after this.
NO_WORKER_RETRY_MS = 1_000.0
# Runs are taken to last this long where none of one's own tells.
UNKNOWN_RUN_MS = 400.0
# Callers wait for a quarter of a minute at most; longer predictions say no more.
LONGEST_WAIT_MS = 60_000.0
# Of a full worker's room half a task stays unused in the mean, as the next does not fit.
UNUSED_SHARE = 0.5


class Backlog(NamedTuple):
    """What a dispatcher knows when a job arrives.

    :param jobs: all jobs at work or waiting here
    :param waiting: those of the service that wait for workers
    :param workers: usable workers of the job's service
    :param is_gathering: whether more workers are about to be heard of
    :param queued: work that waits and arrives here, by level
    :param wait_factor: actual by predicted waits, as learnt
    :param unseen: workers that have been listed just now and may be usable soon
    """

    jobs: Collection[DispatchJob]
    waiting: list[DispatchJob]
    workers: list[WorkerView]
    is_gathering: bool
    queued: QueuedWork = NO_WORK
    wait_factor: float = 1.0
    unseen: int = 0


def judge(
    job: DispatchJob, backlog: Backlog, policy: DispatchPolicy, now: float
) -> JobResult | None:
    """Return why a job is refused, None where it is taken.

    The job's times have to be fixed.
    """
    refusal = _judge_service(job, backlog)
    if refusal is not None:
        return refusal
    left_ms = job.left_ms()
    inputs = [("workers", len(backlog.workers)), ("left_ms", round(left_ms))]
    waiting = backlog.waiting
    if backlog.workers:
        outlook = find_outlook(job, _sum_ahead(job, waiting, policy, now), backlog)
    else:
        outlook = Outlook(False, 0.0, 0.0, 1.0, 1.0, GATHERING_MS)
    job.predicted_wait_ms = min(outlook.wait_ms, LONGEST_WAIT_MS)
    job.wait_factor = outlook.factor
    is_refused = policy.is_refused(job, outlook, waiting, now)
    inputs += [(name, round(value, 1)) for name, value in outlook._asdict().items()]
    inputs.append(("delay_ms", round(job.predicted_wait_ms)))
    inputs.append(("objective_ms", round(job.timing.objective_ms)))
    retry_ms = urgency.choose_retry(job.predicted_wait_ms)
    if is_refused:
        return JobResult(JobOutcome.REFUSED, "overload", retry_ms, tuple(inputs))
    if left_ms > job.timing.limit_ms:
        return JobResult(JobOutcome.REFUSED, "deadline", retry_ms, tuple(inputs))
    return None


def sum_work(
    jobs: Iterable[DispatchJob],
    policy: DispatchPolicy,
    now: float,
) -> QueuedWork:
    """Return the work of some jobs that waits, by level."""
    in_time = [0.0] * LEVELS
    late = [0.0] * LEVELS
    for job in jobs:
        on_time = policy.rank(job, now).lateness == urgency.IN_TIME
        (in_time if on_time else late)[job.level] += job.pending_work()
    return QueuedWork(tuple(in_time), tuple(late))


def find_outlook(job: DispatchJob, ahead: float, backlog: Backlog) -> Outlook:
    """Return what a waiting job has before it.

    :param ahead: work that waits here and is served before it
    """
    workers = backlog.workers
    queued = backlog.queued
    level = job.level
    need = job.pending_cpu()
    task = max((step.spec.need.cpu for step in job.ready_steps()), default=0)
    room = _measure_room(backlog, task)
    free = sum(_count_usable(view.free.cpu, task) for view in workers)
    least = urgency.MIN_SPARE * room
    return Outlook(
        ahead == 0 and need <= free,
        ahead,
        ahead,
        max(least, room - sum(queued.arriving[:level])),
        max(urgency.MIN_LATE_SPARE * room, room - sum(queued.usual[: level + 1])),
        _predict_opening(job, backlog, need - free, room),
        backlog.wait_factor,
    )


def _sum_ahead(
    job: DispatchJob, waiting: list[DispatchJob], policy: DispatchPolicy, now: float
) -> float:
    """Return the work here that is served before a job."""
    own = policy.rank(job, now)
    others = (other for other in waiting if other is not job)
    return sum(other.pending_work() for other in others if policy.rank(other, now) <= own)


def _measure_room(backlog: Backlog, task: int) -> float:
    """Return the room that tasks of a size can use, of workers about to be back as well.

    Without those, jobs are refused after a loss of power for want of workers that are there
    a moment later.
    """
    workers = backlog.workers
    room = sum(max(0.0, view.room.cpu - task * UNUSED_SHARE) for view in workers)
    return room * (1 + backlog.unseen / len(workers))


def _count_usable(free: int, need: int) -> int:
    """Return the part of a worker's free room that tasks of a need can take."""
    return max(0, free) // need * need if need > 0 else max(0, free)


def _predict_opening(job: DispatchJob, backlog: Backlog, missing: float, room: float) -> float:
    """Return the time until as much room as is missing has become free."""
    if missing <= 0:
        return 0.0
    freeing = room / measure_run((job, *backlog.jobs))
    return missing / freeing if freeing else math.inf


def _judge_service(job: DispatchJob, backlog: Backlog) -> JobResult | None:
    """Return why a job cannot be served whatever the load, None where it can."""
    retry_ms = urgency.choose_retry(NO_WORKER_RETRY_MS)
    if not backlog.workers:
        if backlog.is_gathering:
            return None
        return JobResult(JobOutcome.REFUSED, "no_worker", retry_ms)
    if not has_room(job, backlog.workers):
        return JobResult(JobOutcome.REFUSED, "no_capacity", retry_ms)
    return None


def has_room(job: DispatchJob, workers: list[WorkerView]) -> bool:
    """Return whether each step of a job can run at some worker, once that is empty."""
    return all(any(packing.may_run(view, step.spec) for view in workers) for step in job.steps)


def measure_run(jobs: Iterable[DispatchJob]) -> float:
    """Return how long room is taken for, in ms, by all tasks of some jobs.

    All workers are taken to run such a mix.
    """
    room = rate = 0.0
    for job in jobs:
        for step in job.ready_steps():
            cpu = len(step.pending) * step.spec.need.cpu
            room += cpu
            rate += cpu / step.expected_ms
        for placed in job.runs.values():
            cpu = job.steps[placed.task.step].spec.need.cpu
            room += cpu
            rate += cpu / placed.run_ms
    return room / rate if rate else UNKNOWN_RUN_MS
