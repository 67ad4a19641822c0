"""Job specifications submitted by callers, and job results."""

import enum
from typing import NamedTuple

from geraniumspool.rooms import Resources

# Most tasks and steps of a job, three times those of the largest jobs expected.
MAX_TASKS = 1_024
MAX_STEPS = 1_024
# Most references of all steps of a job to earlier steps.
MAX_DEPENDENCIES = 16_384
# Longest data passed to each task, which is in every order to start one.
MAX_PAYLOAD_BYTES = 16 << 10
# Largest amount of a resource that a task may need. Sums over all tasks of a job fit into the 64
# bits of a number in a message.
MAX_AMOUNT = (1 << 31) - 1
# Longest declared run time, in milliseconds.
MAX_DECLARED_MS = 86_400_000.0


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


def find_size_fault(spec: JobSpec) -> str:
    """Return which limit a job exceeds, or an empty string if it exceeds none.

    Nothing may be made for each task of a job before this: a caller can ask for any number of them
    in a few bytes.
    """
    steps = spec.steps
    if len(steps) > MAX_STEPS:
        return f"a job may have {MAX_STEPS} steps"
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return f"the data of a task may have {MAX_PAYLOAD_BYTES} bytes"
    if not all(0 <= amount <= MAX_AMOUNT for step in steps for amount in step.need):
        return f"the resources of a task must be from 0 to {MAX_AMOUNT}"
    if not all(0 <= step.declared_ms <= MAX_DECLARED_MS for step in steps):
        return f"estimated run times must be from 0 to {MAX_DECLARED_MS:.0f} ms"
    if any(step.count < 0 or step.per_worker < 0 for step in steps):
        return "numbers of tasks must not be negative"
    if sum(step.count for step in steps) > MAX_TASKS:
        return f"a job may have {MAX_TASKS} tasks"
    if sum(len(step.after) for step in steps) > MAX_DEPENDENCIES:
        return f"the steps of a job may refer to {MAX_DEPENDENCIES} earlier ones"
    return ""


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
