"""Admission at a home: whether a job can be finished in time."""

from typing import NamedTuple

from geraniumspool.decisions import (
    JOB_REFUSED_DEADLINE,
    JOB_REFUSED_NO_CAPACITY,
    JOB_REFUSED_OVERLOAD,
)
from geraniumspool.job import Job, Width
from geraniumspool.worker import Worker

MAX_PENDING_TASKS = 20_000
MAX_PENDING_BYTES = 64 * 1024 * 1024
MIN_RETRY_MS = 50.0
NO_CAPACITY_RETRY_MS = 1_000.0

# How much of the deadline the predicted finish may take: the wider a job, the
# more later ones overtake it.
DEADLINE_SHARE = {Width.NARROW: 0.9, Width.MEDIUM: 0.5, Width.WIDE: 0.4}


class Verdict(NamedTuple):
    """What admission decided.

    :param code: decision code of a refusal, empty where the job is taken
    :param retry_after_ms: when another try may help, or 0
    :param wait_ms: predicted wait before the job's tasks get slots
    """

    code: str
    detail: str
    retry_after_ms: float
    wait_ms: float


class Ahead(NamedTuple):
    """What waits at the home ahead of a new job.

    :param tasks: tasks without a slot
    :param narrow_ms: estimated run time of those of narrow jobs
    :param size_bytes: payload bytes held
    """

    tasks: int
    narrow_ms: float
    size_bytes: int


def judge(job: Job, workers: list[Worker], ahead: Ahead) -> Verdict:
    """Decide whether a home takes a job.

    A narrow job waits for those of its kind only. Another one waits for all
    work that waits at any known home or worker, over all their slots.

    :param workers: workers that take offers, the own one among them
    """
    if not workers or not _fits_all(job, workers):
        retry = 0.0 if workers else NO_CAPACITY_RETRY_MS
        return Verdict(JOB_REFUSED_NO_CAPACITY, "no known minion fits every task", retry, 0.0)
    slots = max(1, sum(worker.load.slots for worker in workers))
    if job.width == Width.NARROW:
        wait_ms = ahead.narrow_ms / slots + _next_slot_ms(workers)
    else:
        wait_ms = _measure_queues(workers) / slots
    tasks = ahead.tasks + len(job.tasks)
    size_bytes = ahead.size_bytes + job.size_bytes
    if tasks > MAX_PENDING_TASKS or size_bytes > MAX_PENDING_BYTES:
        retry = max(MIN_RETRY_MS, wait_ms)
        return Verdict(JOB_REFUSED_OVERLOAD, "too many tasks wait here", retry, wait_ms)
    return _judge_deadline(job, slots, wait_ms)


def _next_slot_ms(workers: list[Worker]) -> float:
    if any(worker.free for worker in workers):
        return 0.0
    known = [worker.load.next_ms for worker in workers if not worker.load.free]
    return max(MIN_RETRY_MS, min(known, default=0.0))


def _measure_queues(workers: list[Worker]) -> float:
    return sum(
        worker.load.backlog_ms + worker.load.wait_ms * worker.load.slots for worker in workers
    )


def _judge_deadline(job: Job, slots: int, wait_ms: float) -> Verdict:
    finish_ms = wait_ms + max(job.longest_ms, job.work_ms / slots)
    allowed_ms = job.deadline_ms * DEADLINE_SHARE[job.width]
    if finish_ms <= allowed_ms or wait_ms <= 0:
        return Verdict("", "", 0.0, wait_ms)
    retry = max(MIN_RETRY_MS, min(finish_ms - allowed_ms, wait_ms))
    detail = f"predicted finish in {finish_ms:.0f} ms, deadline in {job.deadline_ms:.0f} ms"
    return Verdict(JOB_REFUSED_DEADLINE, detail, retry, wait_ms)


def _fits_all(job: Job, workers: list[Worker]) -> bool:
    largest = max(task.size for task in job.tasks)
    return any(worker.fits(largest) for worker in workers)
