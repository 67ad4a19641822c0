"""Alternative dispatch policies, to compare with the one in use."""

import random
from collections.abc import Callable, Iterable, Sequence

from geraniumspool import packing, urgency
from geraniumspool.counters import MemoryCounters
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.dispatch_policy import (
    DispatchPolicy,
    ScarcityPolicy,
    SharingSettings,
    UsefulnessPolicy,
)
from geraniumspool.job_specs import StepSpec
from geraniumspool.packing import Candidate, PlacementRequest, WorkerChoice
from geraniumspool.urgency import Outlook, Rank

# Number of waiting jobs at one dispatcher above which :class:`RefuseByQueueLength` refuses jobs.
MAX_WAITING_JOBS = 10
# Share of a worker's room by which it may be overbooked with waiting tasks, about one task.
OVERBOOKED_SHARE = 0.1
# Chance to be in time below which :class:`RefuseIfLikelyLate` refuses a job.
MIN_CHANCE_IN_TIME = 0.5
# Share of its objective that a job must have as slack under :class:`RefuseWithoutSlack`.
MIN_SLACK_SHARE = 0.25


class NoPreferenceForBegun(UsefulnessPolicy):
    """Policy in use, but without preference for jobs that have already begun."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's rank by priority and latest start alone."""
        return super().rank(job, now)._replace(is_new=True)


class RefuseIfLate(NoPreferenceForBegun):
    """Refuses a job only if it would be late itself, whatever it costs other jobs."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job is predicted to be late."""
        return _predict_slack(job, outlook, now) < 0


class RefuseWithoutSlack(NoPreferenceForBegun):
    """Refuses a job unless its slack is at least a quarter of its objective."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job has less slack than that."""
        return _predict_slack(job, outlook, now) < MIN_SLACK_SHARE * job.timing.objective_ms


class ArrivalOrder(UsefulnessPolicy):
    """Serves jobs in the order of arrival."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's rank by its arrival time."""
        return _rank_by(super().rank(job, now), job.timing.arrived_ms)


class ShortestFirst(RefuseIfLate):
    """Serves the jobs with the least remaining time first, and refuses those that would be late."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's rank by its remaining time."""
        return _rank_by(super().rank(job, now), job.remaining_run_ms())


class NoRefusals(NoPreferenceForBegun):
    """Accepts every job."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return False."""
        return False


class RefuseByQueueLength(NoPreferenceForBegun):
    """Refuses jobs while more than ``MAX_WAITING_JOBS`` others wait."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether the queue is too long."""
        return len(others) > MAX_WAITING_JOBS


class LatestStartFirst(UsefulnessPolicy):
    """Policy in use, but without the operators' priorities."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's rank by latest start, with late jobs last."""
        return super().rank(job, now)._replace(level=0)


class RefuseIfLikelyLate(UsefulnessPolicy):
    """Policy in use, but refuses jobs that are more likely late than in time."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job is unlikely to be in time, or is refused by the policy in use."""
        probabilities = urgency.predict_probabilities(
            job.timing, job.remaining_run_ms(), outlook, now
        )
        return probabilities.in_time < MIN_CHANCE_IN_TIME or super().is_refused(
            job, outlook, others, now
        )

    def is_shed(self, job: DispatchJob, outlook: Outlook, now: float) -> bool:
        """Return True, so that late jobs are given up."""
        return True


class LeastLoaded(UsefulnessPolicy):
    """Places tasks on the worker with the largest free share of its room."""

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return the least loaded worker that has room for the task, None without one."""
        with_room = _find_workers_with_room(workers, request.step)
        if not with_room:
            return None
        best = max(with_room, key=lambda worker: worker.free.cpu / worker.capacity.cpu)
        return WorkerChoice(best, packing.predict_run_ms(best, request.step, request.expected_ms))


class RandomWorker(UsefulnessPolicy):
    """Places tasks on a random worker with room."""

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return a random worker that has room for the task, None without one."""
        with_room = _find_workers_with_room(workers, request.step)
        if not with_room:
            return None
        chosen = random.choice(with_room)
        return WorkerChoice(
            chosen, packing.predict_run_ms(chosen, request.step, request.expected_ms)
        )


class OverbookedWorkers(UsefulnessPolicy):
    """Policy in use, but if all workers are full, about one task may wait at each of them."""

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return a worker with room, otherwise the least loaded one that may be overbooked."""
        workers = list(workers)
        place = super().choose_worker(workers, request)
        if place is not None:
            return place
        overbookable = [
            worker
            for worker in workers
            if worker.is_usable and _may_be_overbooked(worker, request.step)
        ]
        if not overbookable:
            return None
        best = max(overbookable, key=lambda worker: worker.free.cpu / worker.capacity.cpu)
        return WorkerChoice(best, packing.predict_run_ms(best, request.step, request.expected_ms))


def _rank_by(rank: Rank, value: float) -> Rank:
    """Return a rank that orders jobs of equal lateness by one value, smallest first."""
    return Rank(rank.is_useless, True, 0, rank.lateness, value)


def _predict_slack(job: DispatchJob, outlook: Outlook, now: float) -> float:
    """Return the predicted slack of a job within its objective, in milliseconds."""
    return job.timing.latest_start(job.remaining_run_ms()) - now - outlook.wait_ms


def _may_be_overbooked(worker: Candidate, step: StepSpec) -> bool:
    return worker.free.cpu - step.need.cpu > -OVERBOOKED_SHARE * worker.capacity.cpu


def _find_workers_with_room(workers: Iterable[Candidate], step: StepSpec) -> list[Candidate]:
    usable = (worker for worker in workers if worker.is_usable)
    return [worker for worker in usable if worker.free.fits(step.need)]


def _share(least_share: float, value_order: bool) -> Callable[[], DispatchPolicy]:
    """Return a function that makes the policy for scarce capacity with some settings."""
    settings = SharingSettings(least_share, value_order)
    return lambda: ScarcityPolicy(settings, MemoryCounters())


POLICY_IN_USE = "expected use"
POLICY_BY_VALUE = "by value"
POLICY_WITH_SHARES = "by value with least shares"
POLICIES: dict[str, Callable[[], DispatchPolicy]] = {
    POLICY_IN_USE: UsefulnessPolicy,
    POLICY_BY_VALUE: _share(0.0, True),
    "least shares": _share(0.3, False),
    POLICY_WITH_SHARES: _share(0.3, True),
    "new and begun alike": NoPreferenceForBegun,
    "without priorities": LatestStartFirst,
    "only in time": RefuseIfLikelyLate,
    "by arrival": ArrivalOrder,
    "own end": RefuseIfLate,
    "own end with a quarter to spare": RefuseWithoutSlack,
    "own end and shortest first": ShortestFirst,
    "queue length": RefuseByQueueLength,
    "no refusals": NoRefusals,
    "orders ahead of room": OverbookedWorkers,
    "least loaded": LeastLoaded,
    "any worker": RandomWorker,
}
