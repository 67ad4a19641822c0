"""Place the pending tasks of a job on workers with free capacity.

Handles started jobs whose workers were evacuated or reassigned to another dispatcher, and
keeps tasks suspected of crashing minions apart from each other.
"""

from geraniumspool import packing, urgency
from geraniumspool.contracts import Clock
from geraniumspool.crash_blame import CrashBlame
from geraniumspool.data_locality import RemoteDataFactor
from geraniumspool.dispatch_job import DispatchJob, PlacedRun, Step, TaskId, log_job
from geraniumspool.dispatch_policy import DispatchPolicy
from geraniumspool.fleet import Fleet, WorkerView
from geraniumspool.packing import PlacementRequest
from geraniumspool.run_messages import RunOrder

# Time for which a full worker queues a run before it refuses it. Zero, so that the task is
# placed at once on a worker with free capacity.
WORKER_QUEUE_MS = 0.0


class JobPlacer:
    """Send runs of a job's tasks to workers, with ascending run numbers.

    :ivar keeps_fast_workers: whether tasks that are on time on slow workers avoid fast ones
    """

    def __init__(
        self,
        clock: Clock,
        fleet: Fleet,
        policy: DispatchPolicy,
        blame: CrashBlame,
        domain: str,
        remote_data: RemoteDataFactor,
        keeps_fast_workers: bool = False,
    ):
        """Create a placer that has sent no run.

        :param blame: tasks suspected of crashing minions
        :param domain: failure domain of this process
        :param remote_data: factor by which tasks take longer away from their data
        :param keeps_fast_workers: whether tasks that are on time on slow workers avoid fast ones
        """
        self._remote_data = remote_data
        self.keeps_fast_workers = keeps_fast_workers
        self._clock = clock
        self._fleet = fleet
        self._policy = policy
        self._blame = blame
        self._domain = domain
        self._next_number = 1

    def place(self, job: DispatchJob, now: float) -> bool:
        """Place as many pending tasks of a job as fit; return whether all were placed."""
        workers = self._fleet.owned_workers(job.queue.service)
        if not workers and job.may_have_started:
            # The workers were reassigned to another dispatcher; a started job is still
            # finished on them.
            workers = self._fleet.disowned_workers(job.queue.service)
        lateness = self._policy.rank(job, now).lateness
        allowed_ms = urgency.allowed_end_ms(job.timing, lateness, job.may_have_started)
        max_run_ms = job.timing.arrived_ms + allowed_ms - now
        placed: dict[str, int] = {}
        for number, step in enumerate(job.steps):
            if step not in job.ready_steps():
                continue
            self._place_step(job, number, step, workers, max_run_ms, placed)
        if placed:
            job.may_have_started = True
            log_job(
                "runs ordered",
                job,
                workers=",".join(f"{address}={count}" for address, count in placed.items()),
                waited_ms=round(now - job.timing.arrived_ms),
                lateness=lateness,
            )
        return not job.has_ready_tasks

    def _place_step(
        self,
        job: DispatchJob,
        number: int,
        step: Step,
        workers: list[WorkerView],
        max_run_ms: float,
        placed: dict[str, int],
    ) -> None:
        request = PlacementRequest(
            step.spec,
            step.expected_ms,
            max_run_ms,
            self._domain,
            step.runs_by_worker,
            self._clock.now(),
            self._remote_data.value,
            self._find_on_time(job, step),
        )
        for _ in range(len(step.pending)):
            task = TaskId(number, step.pending[0])
            excluded = job.failed_at.get(task)
            allowed = [view for view in workers if id(view) != excluded] if excluded else workers
            if self._blame.is_suspect(job.task_name(task)):
                place = self._policy.choose_worker(self._without_suspects(allowed), request)
            else:
                place = self._policy.choose_worker(allowed or workers, request)
            if place is None:
                return
            step.pending.popleft()
            self._start_run(job, task, step, place)
            address = place.worker.peer.address
            placed[address] = placed.get(address, 0) + 1

    def _without_suspects(self, workers: list[WorkerView]) -> list[WorkerView]:
        """Return the workers that run no suspect task.

        A crash of such a worker's minion under one more suspect is then clearly its fault.
        """
        return [
            view
            for view in workers
            if not any(
                self._blame.is_suspect(run.owner.job.task_name(run.owner.task))
                for run in view.runs.values()
            )
        ]

    def _start_run(
        self, job: DispatchJob, task: TaskId, step: Step, place: packing.WorkerChoice
    ) -> None:
        now = self._clock.now()
        view = place.worker
        order = RunOrder(
            self._next_number,
            job.task_name(task),
            job.next_attempt(task),
            job.spec.payload,
            step.spec.need,
            self._expected_at(view, step),
            job.timing.latest_start(step.chain_ms) - now,
            WORKER_QUEUE_MS,
            job.timing.arrived_ms + job.timing.timeout_ms - now,
            job.fence_rank,
            # Orders are sent in the same pass, with the clock value of the latest report.
            max(0.0, view.last_message_ms - job.claim_granted_ms),
        )
        self._next_number += 1
        self._policy.observe_start(job, step.spec.need.cpu * step.expected_ms, now)
        placed = PlacedRun(job, task, view, place.run_ms)
        job.runs[order.number] = placed
        step.runs_by_worker[id(view)] = step.runs_by_worker.get(id(view), 0) + 1
        self._fleet.queue_run(view, order, placed)

    def _expected_at(self, view: WorkerView, step: Step) -> float:
        """Return the run time that an executor is to expect on a worker of usual speed.

        If it did not include the distance from the data, the executor would take that for slowness
        of its minion and report it as pace.
        """
        if self._remote_data.is_set and packing.is_remote(view, step.spec):
            return step.expected_ms * self._remote_data.value
        return step.expected_ms

    def _find_on_time(self, job: DispatchJob, step: Step) -> float:
        """Return the time in ms within which a task must end for its job to be on time.

        Later steps have to follow within the objective.
        """
        if not self.keeps_fast_workers:
            return 0.0
        timing = job.timing
        on_time_ms = timing.arrived_ms + min(timing.objective_ms, timing.timeout_ms)
        return on_time_ms - self._clock.now() - (step.chain_ms - step.expected_ms)
