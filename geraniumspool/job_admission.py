"""Decides on a job's arrival whether it is taken, and when its caller may come back.

Plain functions on the jobs and workers that a dispatcher knows. Answered load
patterns: a burst over capacity, work that no worker can run, a loss of all workers.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from geraniumspool import packing, urgency
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.dispatch_policy import DispatchPolicy
from geraniumspool.fleet import WorkerView
from geraniumspool.job_specs import JobOutcome, JobResult
from geraniumspool.urgency import Demand

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
    :param workers: usable workers of the job's service
    :param is_gathering: whether more workers are about to be heard of
    """

    jobs: Collection[DispatchJob]
    workers: list[WorkerView]
    is_gathering: bool


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
    if backlog.workers:
        demand = measure_demand(job, backlog, policy, now)
        wait_ms = urgency.predict_wait(demand, job.pending_cpu())
        job.predicted_wait_ms = min(wait_ms, LONGEST_WAIT_MS)
        is_refused = policy.is_refused(job, demand, _list_waiting(job, backlog), now)
        inputs += [(name, round(value, 1)) for name, value in demand._asdict().items()]
    else:
        job.predicted_wait_ms = GATHERING_MS
        is_refused = urgency.is_hopeless(job.timing, left_ms, GATHERING_MS, now)
    inputs.append(("delay_ms", round(job.predicted_wait_ms)))
    inputs.append(("objective_ms", round(job.timing.objective_ms)))
    retry_ms = urgency.choose_retry(job.predicted_wait_ms)
    if is_refused:
        return JobResult(JobOutcome.REFUSED, "overload", retry_ms, tuple(inputs))
    if left_ms > job.timing.limit_ms:
        return JobResult(JobOutcome.REFUSED, "deadline", retry_ms, tuple(inputs))
    return None


def measure_demand(
    job: DispatchJob, backlog: Backlog, policy: DispatchPolicy, now: float
) -> Demand:
    """Return the room that is wanted and free when a job arrives."""
    own = policy.rank(job, now)
    ahead = here = 0
    for other in _list_waiting(job, backlog):
        waiting = other.pending_cpu()
        here += waiting
        if policy.rank(other, now) <= own:
            ahead += waiting
    workers = backlog.workers
    need = max((step.spec.need.cpu for step in job.ready_steps()), default=0)
    return Demand(
        ahead,
        here,
        max((view.state.waiting_cpu for view in workers), default=0.0),
        sum(_count_usable(view.free.cpu, need) for view in workers),
        sum(max(0.0, view.room.cpu - need * UNUSED_SHARE) for view in workers)
        / _measure_run((job, *backlog.jobs)),
    )


def _count_usable(free: int, need: int) -> int:
    """Return the part of a worker's free room that tasks of a need can take."""
    return max(0, free) // need * need if need > 0 else max(0, free)


def _list_waiting(job: DispatchJob, backlog: Backlog) -> list[DispatchJob]:
    """Return the jobs that wait for the same workers as a job."""
    service = job.queue.service
    return [other for other in backlog.jobs if other.has_pending and other.queue.service == service]


def _judge_service(job: DispatchJob, backlog: Backlog) -> JobResult | None:
    """Return why a job cannot be served whatever the load, None where it can."""
    retry_ms = urgency.choose_retry(NO_WORKER_RETRY_MS)
    if not backlog.workers:
        if backlog.is_gathering:
            return None
        return JobResult(JobOutcome.REFUSED, "no_worker", retry_ms)
    if not _fits(job, backlog.workers):
        return JobResult(JobOutcome.REFUSED, "no_capacity", retry_ms)
    return None


def _fits(job: DispatchJob, workers: list[WorkerView]) -> bool:
    """Return whether each step of a job can run at some worker."""
    return all(any(packing.may_run(view, step.spec) for view in workers) for step in job.steps)


def _measure_run(jobs: Iterable[DispatchJob]) -> float:
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
