"""Job specifications submitted by callers, and job results."""

import enum
from typing import NamedTuple

from geraniumspool.rooms import Resources


class StepSpec(NamedTuple):
    """A group of identical tasks of a job.

    :param count: number of tasks
    :param need: resources that each task takes
    :param declared_ms: approximate run time of a task in ms, 0 if not declared
    :param after: indexes of the steps that must be complete before this one starts
    :param label: label that a worker must have, empty for none
    :param rack: rack near the data, empty for none
    :param per_worker: maximum number of concurrent tasks of the step on one worker, 0 for no
        limit
    """

    count: int
    need: Resources
    declared_ms: float = 0.0
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    per_worker: int = 0


class JobSpec(NamedTuple):
    """Specification of a job.

    :param payload: data passed to every task
    :param unsupported: code of a requested feature that dispatchers don't support, else empty
    """

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]
    unsupported: str = ""


class JobOutcome(enum.Enum):
    """Outcome of a job for its caller.

    ``UNFINISHED`` and ``REFUSED`` are described at :class:`JobResult`; ``GONE`` means that all
    callers disconnected before the job ended.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    REFUSED = "refused"
    UNFINISHED = "unfinished"
    GONE = "gone"


class JobResult(NamedTuple):
    """Result of a job.

    :param outcome: no task of a refused job has run or will run; some tasks of an unfinished
        job may have run, and none runs any more
    :param code: reason code of a failure or refusal, empty on success
    :param retry_after_ms: delay in ms after which a refused job may be resubmitted
    :param inputs: names and values that a refusal was decided by, for logging
    :param holder: address of the dispatcher that runs the job instead, else empty
    """

    outcome: JobOutcome
    code: str = ""
    retry_after_ms: float = 0.0
    inputs: tuple[tuple[str, float], ...] = ()
    holder: str = ""
