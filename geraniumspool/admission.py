"""Admission control at a home: predicts whether a job can finish by its deadline."""

from typing import NamedTuple

from geraniumspool.decisions import (
    JOB_REFUSED_DEADLINE,
    JOB_REFUSED_NO_CAPACITY,
    JOB_REFUSED_OVERLOAD,
)
from geraniumspool.job import Job, Width
from geraniumspool.worker import Worker

# Limits on the tasks and payload bytes that may wait at one home.
MAX_PENDING_TASKS = 20_000
MAX_PENDING_BYTES = 64 * 1024 * 1024
# Least retry delay, and least predicted wait when no slot is free.
MIN_RETRY_MS = 50.0
# Retry delay when no worker is known.
NO_CAPACITY_RETRY_MS = 1_000.0

# Largest part of the deadline that the predicted finish may take. It is smaller
# for wider jobs, because later jobs overtake them and delay their finish.
DEADLINE_SHARE = {Width.NARROW: 0.9, Width.MEDIUM: 0.5, Width.WIDE: 0.4}


class AdmissionDecision(NamedTuple):
    """Outcome of admission control.

    :param code: decision code of the refusal, empty if the job is accepted
    :param detail: text that explains the refusal
    :param retry_after_ms: delay after which a retry may succeed, or 0
    :param wait_ms: predicted wait before the job's tasks get slots
    """

    code: str
    detail: str
    retry_after_ms: float
    wait_ms: float


class HomeBacklog(NamedTuple):
    """Work that waits at the home when a new job arrives.

    :param tasks: number of waiting tasks
    :param narrow_ms: total estimated run time of narrow jobs' waiting tasks
    :param size_bytes: payload bytes of all unfinished jobs
    """

    tasks: int
    narrow_ms: float
    size_bytes: int


def check_admission(job: Job, workers: list[Worker], backlog: HomeBacklog) -> AdmissionDecision:
    """Decide whether a home accepts a job.

    A narrow job is predicted to wait only for the narrow jobs' tasks in the
    backlog of this home. Any other job waits for all work queued at the known
    homes and workers. Either amount is divided by the workers' slots.

    :param workers: workers that accept offers, the home's own one included
    :param backlog: work that waits at the home
    """
    if not workers or not _fits_all(job, workers):
        retry_ms = 0.0 if workers else NO_CAPACITY_RETRY_MS
        return AdmissionDecision(
            JOB_REFUSED_NO_CAPACITY,
            "no known minion fits every task",
            retry_ms,
            0.0,
        )
    slots = max(1, sum(worker.load.slots for worker in workers))
    if job.width == Width.NARROW:
        wait_ms = backlog.narrow_ms / slots + _next_slot_ms(workers)
    else:
        wait_ms = _sum_queued_work(workers) / slots
    tasks = backlog.tasks + len(job.tasks)
    size_bytes = backlog.size_bytes + job.size_bytes
    if tasks > MAX_PENDING_TASKS or size_bytes > MAX_PENDING_BYTES:
        retry_ms = max(MIN_RETRY_MS, wait_ms)
        return AdmissionDecision(
            JOB_REFUSED_OVERLOAD,
            "too many tasks wait here",
            retry_ms,
            wait_ms,
        )
    return _check_deadline(job, slots, wait_ms)


def _next_slot_ms(workers: list[Worker]) -> float:
    if any(worker.free for worker in workers):
        return 0.0
    next_slots_ms = [worker.load.next_ms for worker in workers if not worker.load.free]
    return max(MIN_RETRY_MS, min(next_slots_ms, default=0.0))


def _sum_queued_work(workers: list[Worker]) -> float:
    return sum(
        worker.load.backlog_ms + worker.load.wait_ms * worker.load.slots for worker in workers
    )


def _check_deadline(job: Job, slots: int, wait_ms: float) -> AdmissionDecision:
    finish_ms = wait_ms + max(job.longest_ms, job.work_ms / slots)
    allowed_ms = job.deadline_ms * DEADLINE_SHARE[job.width]
    if finish_ms <= allowed_ms or wait_ms <= 0:
        return AdmissionDecision("", "", 0.0, wait_ms)
    retry_ms = max(MIN_RETRY_MS, min(finish_ms - allowed_ms, wait_ms))
    detail = f"predicted finish in {finish_ms:.0f} ms, deadline in {job.deadline_ms:.0f} ms"
    return AdmissionDecision(JOB_REFUSED_DEADLINE, detail, retry_ms, wait_ms)


def _fits_all(job: Job, workers: list[Worker]) -> bool:
    largest = max(task.size for task in job.tasks)
    return any(worker.fits(largest) for worker in workers)
