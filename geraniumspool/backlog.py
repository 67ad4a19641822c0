"""Backlog of a home: tasks that are offered to no worker yet, ordered by due time."""

import heapq
import itertools
from typing import NamedTuple

from geraniumspool.job import Job, Width


class WaitingTask(NamedTuple):
    """A task that is offered to no worker.

    :param due: latest start time for its job to finish when due; earlier tasks go first
    :param order: sequence number that breaks ties, so that older tasks go first
    :param job: the task's job
    :param index: position of the task in its job
    """

    due: float
    order: int
    job: Job
    index: int

    @property
    def size(self) -> float:
        """Return the declared size of the task."""
        return self.job.tasks[self.index].size


class Backlog:
    """Priority queues of waiting tasks, one for each width of job.

    :ivar count: number of waiting tasks
    """

    def __init__(self):
        """Create an empty backlog."""
        self._queues: dict[Width, list[WaitingTask]] = {width: [] for width in Width}
        self._order = itertools.count()
        self.count = 0
        self._work_ms = dict.fromkeys(Width, 0.0)

    @property
    def work_ms(self) -> float:
        """Return the sum of the estimated run times of all waiting tasks, in milliseconds."""
        return sum(self._work_ms.values())

    def push(self, job: Job, index: int) -> None:
        """Add a task.

        :param index: position of the task in its job
        """
        estimate = job.estimates[index]
        self.count += 1
        self._work_ms[job.width] += estimate
        waiting = WaitingTask(job.due - estimate, next(self._order), job, index)
        heapq.heappush(self._queues[job.width], waiting)

    def pop(self, width: Width) -> WaitingTask | None:
        """Remove and return the first task due among jobs with a given width, or None."""
        queue = self._queues[width]
        if not queue:
            return None
        waiting = heapq.heappop(queue)
        self._subtract(waiting)
        return waiting

    def count_tasks(self, width: Width) -> int:
        """Return the number of waiting tasks of jobs with a given width."""
        return len(self._queues[width])

    @property
    def narrow_work_ms(self) -> float:
        """Return the sum of the estimated run times of narrow jobs' waiting tasks."""
        return self._work_ms[Width.NARROW]

    def count_overdue(self, width: Width, now: float, limit: int) -> int:
        """Return how many tasks of jobs with a given width are past their latest start time.

        :param limit: largest number to return
        """
        queue = self._queues[width]
        if not queue or queue[0].due > now:
            return 0
        return min(limit, sum(waiting.due <= now for waiting in queue))

    def remove_job(self, job: Job) -> None:
        """Remove all tasks of a job."""
        queue = self._queues[job.width]
        dropped = [waiting for waiting in queue if waiting.job is job]
        if not dropped:
            return
        for waiting in dropped:
            self._subtract(waiting)
        kept = [waiting for waiting in queue if waiting.job is not job]
        heapq.heapify(kept)
        self._queues[job.width] = kept

    def _subtract(self, waiting: WaitingTask) -> None:
        self.count -= 1
        job = waiting.job
        left_ms = self._work_ms[job.width] - job.estimates[waiting.index]
        self._work_ms[job.width] = max(0.0, left_ms)
