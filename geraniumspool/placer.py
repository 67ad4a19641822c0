"""Places the tasks in a home's backlog: selects workers and sends them offers in batches."""

import bisect
import math
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from geraniumspool.backlog import Backlog, WaitingTask
from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Clock
from geraniumspool.job import Width
from geraniumspool.members import ROLE_AGENT
from geraniumspool.messages import MEMBER_READY, Member, Peer
from geraniumspool.offers import Offers, PlacedTask
from geraniumspool.placement import (
    LOOKAHEAD_BY_WIDTH,
    OVERDUE_LOOKAHEAD,
    Allotment,
    Placement,
    TasksToPlace,
)
from geraniumspool.roster import Roster
from geraniumspool.runner import Runner
from geraniumspool.worker import Worker

# Most workers of the own failure domain to compare; a sample of them if there are more.
MAX_LOCAL_WORKERS = 48
# Most workers of other failure domains to compare, unless the own domain has few.
MAX_FOREIGN_WORKERS = 16
# Most overdue tasks of one width that are placed further ahead than usual.
MAX_OVERDUE_TASKS = 64
# Least time that a task may wait at a worker beyond the predicted wait.
MIN_SLACK_MS = 50.0

# Time that a task may wait at a worker beyond the predicted wait, as a factor
# of its estimated run time.
SLACK_BY_WIDTH = {Width.NARROW: 0.2, Width.MEDIUM: 0.4, Width.WIDE: 2.0}

Batches = dict[Peer, list[PlacedTask]]


class HomeLocation(NamedTuple):
    """Location of a home.

    :param me: address and incarnation of its process
    :param domain: failure domain of its process
    """

    me: Peer
    domain: str


class Placer:
    """Offers a home's waiting tasks to workers.

    :ivar backlog: the tasks that are offered to no worker
    """

    def __init__(
        self,
        place: HomeLocation,
        service: Callable[[], str],
        clock: Clock,
        roster: Roster,
        configuration: Configuration,
        runner: Runner,
        offers: Offers,
        placement: Placement,
    ):
        """Start with an empty backlog.

        :param place: process and failure domain of the home
        :param service: returns the service of the home's own minion
        :param runner: runs tasks on the home's own minion
        :param offers: sends offers and tracks the open ones
        :param placement: chooses the workers
        """
        self._me, self._domain = place
        self._service = service
        self._clock = clock
        self._roster = roster
        self._configuration = configuration
        self._runner = runner
        self._offers = offers
        self._placement = placement
        self._is_scheduled = False
        self.backlog = Backlog()

    def schedule(self) -> None:
        """Schedule one placement run, unless one is scheduled already."""
        if not self._is_scheduled:
            self._is_scheduled = True
            eventlet.spawn_n(self._run_placement)

    def list_workers(self) -> list[Worker]:
        """Return the workers that may be offered tasks, a random sample if there are many."""
        service = self._service()
        near = _sample(self._list_usable(service, self._domain), MAX_LOCAL_WORKERS)
        far = [
            member
            for member in _sample(
                self._list_usable(service), MAX_LOCAL_WORKERS + MAX_FOREIGN_WORKERS
            )
            if member.domain != self._domain
        ]
        members = near + far[: max(MAX_FOREIGN_WORKERS, MAX_LOCAL_WORKERS - len(near))]
        workers = [
            self._offers.get_or_create_worker(member)
            for member in members
            if not self._is_own(member)
        ]
        if self._runner.load().slots:
            workers.append(self._own_worker())
        now = self._clock.now()
        return [worker for worker in workers if worker.refresh(now)]

    def _list_usable(self, service: str, domain: str | None = None) -> list[Member]:
        members = self._roster.agents(service, domain)
        return [one for one in members if not self._configuration.is_evacuated(one.domain)]

    def _is_own(self, member: Member) -> bool:
        return (member.address, member.incarnation) == self._me

    def _own_worker(self) -> Worker:
        max_size = self._runner.minion.max_size
        load = self._runner.load()
        description = (self._domain, ROLE_AGENT, MEMBER_READY, self._service(), max_size, load)
        member = Member(*self._me, *description)
        worker = self._offers.get_or_create_worker(member)
        worker.member = member
        worker.update_from_message(load, self._clock.now())
        return worker

    def _run_placement(self) -> None:
        self._is_scheduled = False
        if not self.backlog.count:
            return
        batches: Batches = {}
        for width in Width:
            overdue = self.backlog.count_overdue(width, self._clock.now(), MAX_OVERDUE_TASKS)
            if overdue:
                self._place_queue(width, overdue, OVERDUE_LOOKAHEAD, batches)
            if self.backlog.count_tasks(width):
                size = self.backlog.count_tasks(width)
                self._place_queue(width, size, LOOKAHEAD_BY_WIDTH[width], batches)
        service = self._service()
        limit_ms = self._configuration.service(service).run_limit_ms
        for peer, batch in batches.items():
            if not batch:
                continue
            worker = self._offers.find(peer)
            worker.planned = 0
            self._offers.send(worker, batch, service, limit_ms, self.backlog.count > 0)

    def _place_queue(
        self, width: Width, count: int, lookahead_factor: float, batches: Batches
    ) -> None:
        """Move tasks from one queue of the backlog into a batch for each worker.

        :param count: most tasks to move
        :param lookahead_factor: factor of the usual lookahead, see :class:`~placement.TasksToPlace`
        :param batches: the batches to fill
        """
        run_ms = self.backlog.work_ms / self.backlog.count
        any_slot = width == Width.NARROW
        demand = TasksToPlace(count, run_ms, lookahead_factor, any_slot)
        workers = self._use_own_worker_only(demand) or self.list_workers()
        if not workers:
            return
        unfit = []
        for allotment in self._placement.allot(demand, workers, self._me, self._domain):
            unfit.extend(self._fill_batch(allotment, width, any_slot, batches))
        if unfit:
            self._place_unfit(unfit, demand, batches)

    def _use_own_worker_only(self, demand: TasksToPlace) -> list[Worker]:
        """Return only the own worker if all tasks would go there anyway, else nothing.

        At light load this saves the comparison of all workers for each task.
        """
        if not self._runner.load().slots:
            return []
        own = self._own_worker()
        is_enough = own.refresh(self._clock.now()) and self._placement.prefers_own_worker(
            demand, own
        )
        return [own] if is_enough else []

    def _fill_batch(
        self, allotment: Allotment, width: Width, any_slot: bool, batches: Batches
    ) -> list[WaitingTask]:
        """Move the allotted tasks from the backlog into a worker's batch.

        :returns: tasks that were taken from the backlog but do not fit the worker
        """
        unfit = []
        left = allotment.count
        while left > 0 and (waiting := self.backlog.pop(width)) is not None:
            if allotment.worker.fits(waiting.size):
                self._add_to_batch(allotment.worker, waiting, any_slot, batches)
                left -= 1
            else:
                unfit.append(waiting)
        return unfit

    def _place_unfit(
        self, unfit: list[WaitingTask], demand: TasksToPlace, batches: Batches
    ) -> None:
        """Place tasks that did not fit the worker chosen first, on workers that they fit.

        Tasks without any such worker return to the backlog.
        """
        workers = self.list_workers()
        for tasks in _group_by_limit(unfit, workers):
            fitting = [worker for worker in workers if worker.fits(tasks[0].size)]
            left = deque(tasks)
            if fitting:
                group_demand = demand._replace(count=len(tasks))
                for allotment in self._placement.allot(
                    group_demand, fitting, self._me, self._domain
                ):
                    for _ in range(allotment.count):
                        self._add_to_batch(
                            allotment.worker, left.popleft(), demand.any_slot, batches
                        )
            for waiting in left:
                self.backlog.push(waiting.job, waiting.index)

    def _add_to_batch(
        self, worker: Worker, waiting: WaitingTask, any_slot: bool, batches: Batches
    ) -> None:
        patience_ms = self._compute_patience(worker, waiting)
        task = PlacedTask(waiting.job, waiting.index, waiting.due, any_slot, patience_ms)
        batches.setdefault(worker.peer, []).append(task)
        worker.planned += 1

    def _compute_patience(self, worker: Worker, waiting: WaitingTask) -> float:
        """Return the wait beyond which a worker should refuse a task, in milliseconds.

        It is 0, for no limit, at the own worker and for overdue tasks.
        """
        if worker.peer == self._me or waiting.due <= self._clock.now():
            return 0.0
        expected_ms = 0.0 if worker.free else worker.load.wait_ms
        slack_ms = waiting.job.estimates[waiting.index] * SLACK_BY_WIDTH[waiting.job.width]
        return expected_ms + max(MIN_SLACK_MS, slack_ms)


def _group_by_limit(tasks: list[WaitingTask], workers: list[Worker]) -> list[list[WaitingTask]]:
    """Return tasks grouped by the workers that they fit, each group in the given order."""
    limits = sorted({worker.member.max_size or math.inf for worker in workers})
    groups: dict[int, list[WaitingTask]] = {}
    for waiting in tasks:
        groups.setdefault(bisect.bisect_left(limits, waiting.size), []).append(waiting)
    return list(groups.values())


def _sample(members: list[Member], most: int) -> list[Member]:
    return members if len(members) <= most else random.sample(members, most)
