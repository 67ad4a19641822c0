"""State of one accepted job: its queued, running and finished tasks."""

import logging
import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from eventlet.event import Event

from geraniumspool.fleet import WorkerView
from geraniumspool.job_specs import JobResult, JobSpec, StepSpec
from geraniumspool.queued_work import level_of
from geraniumspool.queues import Queue
from geraniumspool.urgency import Timing

_LOG = logging.getLogger(__name__)

# The latency objective assumes that a step which needs more than this share of the total CPU
# capacity runs in several consecutive waves.
WAVE_SHARE = 0.25
# Expected run time of a task if its caller declares none: most tasks take 50 ms to 1 s.
DEFAULT_RUN_MS = 300.0
# No task is started if the lease on its job ends sooner: its run would be stopped again.
LEASE_MARGIN_MS = 100.0


class TaskId(NamedTuple):
    """Identifier of a task within its job.

    :param step: index of the step
    :param index: index of the task within the step
    """

    step: int
    index: int


class Step:
    """Progress of the tasks of one step.

    :ivar expected_ms: expected run time of one task
    :ivar chain_ms: expected time of the longest chain of dependent steps that starts with
        this step
    :ivar pending: indexes of the tasks that wait for a worker
    :ivar unfinished: number of tasks that have not succeeded yet
    :ivar runs_by_worker: number of open runs by worker, keyed by ``id`` of its :class:`WorkerView`
    """

    def __init__(self, spec: StepSpec, expected_ms: float):
        """Create a step whose tasks are all pending.

        :param expected_ms: expected run time of one task
        """
        self.spec = spec
        self.expected_ms = expected_ms
        self.chain_ms = expected_ms
        self.pending: deque[int] = deque(range(spec.count))
        self.unfinished = spec.count
        self.runs_by_worker: dict[int, int] = {}


class PlacedRun(NamedTuple):
    """A run of a task that was sent to a worker.

    :param run_ms: predicted run time on that worker
    """

    job: "DispatchJob"
    task: TaskId
    worker: WorkerView
    run_ms: float


class DispatchJob:
    """State of a job at the dispatcher that schedules it.

    :ivar runs: open runs by run number
    :ivar attempts: number of runs of each task so far
    :ivar failures: number of failed runs of each task
    :ivar failed_at: ``id`` of the :class:`WorkerView` at which each task last failed or was
        interrupted
    :ivar predicted_wait_ms: queueing time predicted on the job's arrival
    :ivar wait_factor: correction factor used in that prediction, see :class:`WaitLearner`
    :ivar accepted_capacity: usable CPU at the job's acceptance, in thousandths of a core
    :ivar wait_recorded: whether the actual queueing time was recorded
    :ivar may_have_started: whether a run was sent to a worker and so may have started
    :ivar finished: event that is sent when the job ends
    :ivar waiters: number of callers that wait for the result
    :ivar lease_expiries: one function for each caller that returns the clock time in ms at which
        the lease of the caller's dispatcher on the job expires
    :ivar ended_ms: clock time in ms at which the result was set
    :ivar is_claimed: whether this dispatcher holds the exclusive claim to run the job
    :ivar pace: ratio of actual to expected run times on the workers that the job needs; under 1 if
        it is on time on fast workers only
    :ivar fence_rank: rank of the fence that the job was claimed by, 0 if arbiters granted it
    :ivar may_return: whether it may be returned to the dispatcher of its caller
    :ivar claim_granted_ms: clock time in ms at which the claim was first granted
    """

    def __init__(self, spec: JobSpec, queue: Queue, steps: list[Step]):
        """Create a job whose tasks are all pending."""
        self.spec = spec
        self.queue = queue
        self.steps = steps
        self.timing = Timing(0.0, 0.0, 0.0)
        self.runs: dict[int, PlacedRun] = {}
        self.attempts: dict[TaskId, int] = {}
        self.failures: dict[TaskId, int] = {}
        self.failed_at: dict[TaskId, int] = {}
        self.predicted_wait_ms = 0.0
        self.wait_factor = 1.0
        self.accepted_capacity = 0.0
        self._work: float | None = None
        self.wait_recorded = False
        self.may_have_started = False
        self.finished = Event()
        self.result: JobResult | None = None
        self.waiters = 0
        self.lease_expiries: list[Callable[[], float]] = []
        self.ended_ms = 0.0
        self.is_claimed = False
        self.fence_rank = 0
        self.may_return = False
        self.claim_granted_ms = math.inf
        self.pace = 1.0

    @property
    def claim_id(self) -> str:
        """Return the id under which the job is claimed."""
        return self.spec.job_id

    def remaining_claim_ms(self, now: float) -> float:
        """Return the time in ms after which executors have ended all runs of the job.

        :param now: clock time in ms
        """
        return max(0.0, self.timing.arrived_ms + self.timing.timeout_ms - now)

    def has_valid_lease(self, now: float) -> bool:
        """Return whether a caller's dispatcher holds a lease on the job that does not end soon."""
        return any(hold() > now + LEASE_MARGIN_MS for hold in self.lease_expiries)

    @property
    def has_ended(self) -> bool:
        """Whether the job has a result; some runs may still be stopping."""
        return self.result is not None

    @property
    def has_ready_tasks(self) -> bool:
        """Whether any task is pending whose preceding steps are complete."""
        return any(step.pending for step in self.ready_steps())

    def ready_steps(self) -> list[Step]:
        """Return the steps with pending tasks whose preceding steps are complete."""
        return [step for step in self.steps if step.pending and self._is_ready(step)]

    def remaining_run_ms(self) -> float:
        """Return the expected time of the longest chain of steps from a ready step on, in ms."""
        return self.pace * max((step.chain_ms for step in self.ready_steps()), default=0.0)

    def ready_cpu(self) -> int:
        """Return the CPU that the tasks of all ready steps need, in thousandths of a core."""
        return sum(len(step.pending) * step.spec.need.cpu for step in self.ready_steps())

    @property
    def level(self) -> int:
        """Return the priority level of the job's queue; 0 is the most urgent."""
        return level_of(self.queue.priority)

    @property
    def completed_share(self) -> float:
        """Return the fraction of the job's tasks that have succeeded."""
        tasks = sum(step.spec.count for step in self.steps)
        return 1 - sum(step.unfinished for step in self.steps) / tasks if tasks else 0.0

    def pending_work(self) -> float:
        """Return the work of all pending tasks, including those of steps not yet ready.

        :return: thousandths of a core times ms
        """
        return sum(len(step.pending) * step.spec.need.cpu * step.expected_ms for step in self.steps)

    def work(self) -> float:
        """Return the work of all tasks, started or not.

        :return: thousandths of a core times ms
        """
        if self._work is None:
            self._work = sum(
                step.spec.count * step.spec.need.cpu * step.expected_ms for step in self.steps
            )
        return self._work

    def next_attempt(self, task: TaskId) -> int:
        """Return the attempt number for the next run of a task, counting from 1."""
        number = self.attempts.get(task, 0) + 1
        self.attempts[task] = number
        return number

    def task_name(self, task: TaskId) -> str:
        """Return the name of a task, which is the same for all its attempts."""
        return f"{self.spec.job_id}.0.{task.step}.{task.index}"

    def _is_ready(self, step: Step) -> bool:
        return all(self.steps[earlier].unfinished == 0 for earlier in step.spec.after)


def make_steps(spec: JobSpec, run_time_ratio: float) -> list[Step]:
    """Return a job's steps with their expected run times and chain lengths.

    :param run_time_ratio: learnt ratio of actual to declared run times of the queue
    """
    steps = [
        Step(step, (step.declared_ms or DEFAULT_RUN_MS) * run_time_ratio) for step in spec.steps
    ]
    for number in range(len(steps) - 1, -1, -1):
        step = steps[number]
        for earlier in step.spec.after:
            before = steps[earlier]
            before.chain_ms = max(before.chain_ms, before.expected_ms + step.chain_ms)
    return steps


def compute_objective_ms(steps: list[Step], queue: Queue, capacity_cpu: float) -> float:
    """Return a job's latency objective in ms, counted from its arrival.

    :param capacity_cpu: CPU capacity of all workers, in thousandths of a core
    """
    ends: list[float] = []
    for step in steps:
        waves = 1
        if capacity_cpu > 0:
            needed_waves = step.spec.count * step.spec.need.cpu / (WAVE_SHARE * capacity_cpu)
            waves = max(1, math.ceil(needed_waves))
        before = max((ends[earlier] for earlier in step.spec.after), default=0.0)
        ends.append(before + waves * step.expected_ms)
    return queue.objective_factor * max(ends, default=0.0) + queue.objective_ms


def log_job(message: str, job: DispatchJob, **fields: object) -> None:
    """Log a message about a job, with the job's id as the first field."""
    _LOG.info(message, extra={"fields": (("job", job.spec.job_id), *fields.items())})
