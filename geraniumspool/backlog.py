"""Tasks that wait at their home for a place, ordered by when they are due."""

import heapq
import itertools
from typing import NamedTuple

from geraniumspool.job import Job


class Waiting(NamedTuple):
    """One task without a place.

    :param due: latest start for its job to be in time; earlier goes first
    """

    due: float
    order: int
    job: Job
    index: int


class Backlog:
    """Waiting tasks, those of narrow jobs apart from the others.

    :ivar count: number of waiting tasks
    :ivar work_ms: their estimated run times, added up
    """

    def __init__(self):
        """Start empty."""
        self._queues: dict[bool, list[Waiting]] = {True: [], False: []}
        self._order = itertools.count()
        self.count = 0
        self.work_ms = 0.0

    def push(self, job: Job, index: int) -> None:
        """Add a task."""
        estimate = job.estimates[index]
        self.count += 1
        self.work_ms += estimate
        waiting = Waiting(job.due - estimate, next(self._order), job, index)
        heapq.heappush(self._queues[job.is_narrow], waiting)

    def pop(self, narrow: bool) -> Waiting | None:
        """Remove and return the task that is due first, or None.

        :param narrow: whether to look among narrow jobs or the others
        """
        queue = self._queues[narrow]
        if not queue:
            return None
        waiting = heapq.heappop(queue)
        self._uncount(waiting)
        return waiting

    def size(self, narrow: bool) -> int:
        """Return how many tasks wait among narrow jobs or the others."""
        return len(self._queues[narrow])

    def drop(self, job: Job) -> None:
        """Remove all tasks of a job."""
        queue = self._queues[job.is_narrow]
        dropped = [waiting for waiting in queue if waiting.job is job]
        if not dropped:
            return
        for waiting in dropped:
            self._uncount(waiting)
        kept = [waiting for waiting in queue if waiting.job is not job]
        heapq.heapify(kept)
        self._queues[job.is_narrow] = kept

    def _uncount(self, waiting: Waiting) -> None:
        self.count -= 1
        self.work_ms = max(0.0, self.work_ms - waiting.job.estimates[waiting.index])
