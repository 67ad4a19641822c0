"""Tasks that wait at their home for a place, ordered by when they are due."""

import heapq
import itertools
from typing import NamedTuple

from geraniumspool.job import Job, Width


class Waiting(NamedTuple):
    """One task without a place.

    :param due: latest start for its job to be in time; earlier goes first
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
    """Waiting tasks, in one queue for each width of job.

    :ivar count: number of waiting tasks
    """

    def __init__(self):
        """Start empty."""
        self._queues: dict[Width, list[Waiting]] = {width: [] for width in Width}
        self._order = itertools.count()
        self.count = 0
        self._work_ms = dict.fromkeys(Width, 0.0)

    @property
    def work_ms(self) -> float:
        """Return the estimated run times of all waiting tasks, added up."""
        return sum(self._work_ms.values())

    def push(self, job: Job, index: int) -> None:
        """Add a task."""
        estimate = job.estimates[index]
        self.count += 1
        self._work_ms[job.width] += estimate
        waiting = Waiting(job.due - estimate, next(self._order), job, index)
        heapq.heappush(self._queues[job.width], waiting)

    def pop(self, width: Width) -> Waiting | None:
        """Remove and return the task of jobs of a width that is due first, or None."""
        queue = self._queues[width]
        if not queue:
            return None
        waiting = heapq.heappop(queue)
        self._uncount(waiting)
        return waiting

    def size(self, width: Width) -> int:
        """Return how many tasks of jobs of a width wait."""
        return len(self._queues[width])

    @property
    def narrow_work_ms(self) -> float:
        """Return the estimated run times of narrow jobs' waiting tasks, added up."""
        return self._work_ms[Width.NARROW]

    def count_late(self, width: Width, now: float, most: int) -> int:
        """Return how many tasks of jobs of a width should have started, at most ``most``."""
        queue = self._queues[width]
        if not queue or queue[0].due > now:
            return 0
        return min(most, sum(waiting.due <= now for waiting in queue))

    def drop(self, job: Job) -> None:
        """Remove all tasks of a job."""
        queue = self._queues[job.width]
        dropped = [waiting for waiting in queue if waiting.job is job]
        if not dropped:
            return
        for waiting in dropped:
            self._uncount(waiting)
        kept = [waiting for waiting in queue if waiting.job is not job]
        heapq.heapify(kept)
        self._queues[job.width] = kept

    def _uncount(self, waiting: Waiting) -> None:
        self.count -= 1
        job = waiting.job
        left = self._work_ms[job.width] - job.estimates[waiting.index]
        self._work_ms[job.width] = max(0.0, left)
