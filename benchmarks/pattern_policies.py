"""Policies of a dispatcher to hold against the one in use."""

import random
from collections.abc import Iterable, Sequence

from geraniumspool import packing, urgency
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.dispatch_policy import DispatchPolicy, UsefulnessPolicy
from geraniumspool.job_specs import StepSpec
from geraniumspool.packing import Candidate, PlacementRequest, WorkerChoice
from geraniumspool.urgency import Outlook, Rank

# Jobs that one dispatcher lets wait where queue length decides.
LONGEST_QUEUE = 10
# Share of a worker's room that may wait for it, about one task.
AHEAD_SHARE = 0.1
# Jobs that are late more likely than not are refused where only those in time are taken.
EVEN_CHANCE = 0.5
# Share of its objective that a job has to have to spare where refusals are strict.
STRICT_SHARE = 0.25


class NewByLatestStart(UsefulnessPolicy):
    """As in use, but begun jobs are not served before others."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place by priority and latest start alone."""
        return super().rank(job, now)._replace(is_new=True)


class OwnEnd(NewByLatestStart):
    """Jobs are refused only where they would be late themselves."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job would be late for certain."""
        return _predict_spare(job, outlook, now) < 0


class OwnEndStrict(NewByLatestStart):
    """Jobs are refused unless a quarter of their objective is to spare."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job has less than that to spare."""
        return _predict_spare(job, outlook, now) < STRICT_SHARE * job.timing.objective_ms


class ArrivalOrder(UsefulnessPolicy):
    """Jobs in the order in which they came."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place by its arrival."""
        return _by(super().rank(job, now), job.timing.arrived_ms)


class ShortestFirst(OwnEnd):
    """Jobs in the order of what is left of them; late ones are refused."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place by the time it still takes."""
        return _by(super().rank(job, now), job.remaining_run_ms())


class NoRefusals(NewByLatestStart):
    """Every job is taken."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return False."""
        return False


class QueueLength(NewByLatestStart):
    """Jobs are refused where about ten wait."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether the queue is long."""
        return len(others) > LONGEST_QUEUE


class LatestStartFirst(UsefulnessPolicy):
    """As in use, but without the operators' priorities."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place by latest start, late ones last."""
        return super().rank(job, now)._replace(level=0)


class OnlyInTime(UsefulnessPolicy):
    """As in use, but what is not going to be in time is refused."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job is late more likely than not."""
        probabilities = urgency.predict_probabilities(
            job.timing, job.remaining_run_ms(), outlook, now
        )
        return probabilities.in_time < EVEN_CHANCE or super().is_refused(job, outlook, others, now)

    def is_shed(self, job: DispatchJob, outlook: Outlook, now: float) -> bool:
        """Return True: it is late already."""
        return True


class LeastLoaded(UsefulnessPolicy):
    """Tasks go where most room is free."""

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return the emptiest worker with room."""
        fit = _find_fit(workers, request.step)
        if not fit:
            return None
        best = max(fit, key=lambda worker: worker.free.cpu / worker.capacity.cpu)
        return WorkerChoice(best, packing.predict_run_ms(best, request.step, request.expected_ms))


class AnyWorker(UsefulnessPolicy):
    """Tasks go to any worker with room."""

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return a worker with room by chance."""
        fit = _find_fit(workers, request.step)
        if not fit:
            return None
        chosen = random.choice(fit)
        return WorkerChoice(
            chosen, packing.predict_run_ms(chosen, request.step, request.expected_ms)
        )


class Ahead(UsefulnessPolicy):
    """As in use, but where all are full one task a worker is sent to wait there."""

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return a worker with room, or the one with the least room short."""
        workers = list(workers)
        place = super().choose_worker(workers, request)
        if place is not None:
            return place
        near = [
            worker
            for worker in workers
            if worker.is_usable and _is_nearly_free(worker, request.step)
        ]
        if not near:
            return None
        best = max(near, key=lambda worker: worker.free.cpu / worker.capacity.cpu)
        return WorkerChoice(best, packing.predict_run_ms(best, request.step, request.expected_ms))


def _by(rank: Rank, figure: float) -> Rank:
    """Return a place by one figure, among all that are as late."""
    return Rank(rank.is_useless, True, 0, rank.lateness, figure)


def _predict_spare(job: DispatchJob, outlook: Outlook, now: float) -> float:
    """Return what a job has to spare of its objective, in ms."""
    return job.timing.latest_start(job.remaining_run_ms()) - now - outlook.wait_ms


def _is_nearly_free(worker: Candidate, step: StepSpec) -> bool:
    return worker.free.cpu - step.need.cpu > -AHEAD_SHARE * worker.capacity.cpu


def _find_fit(workers: Iterable[Candidate], step: StepSpec) -> list[Candidate]:
    usable = (worker for worker in workers if worker.is_usable)
    return [worker for worker in usable if worker.free.fits(step.need)]


IN_USE = "expected use"
POLICIES: dict[str, type[DispatchPolicy]] = {
    IN_USE: UsefulnessPolicy,
    "new and begun alike": NewByLatestStart,
    "without priorities": LatestStartFirst,
    "only in time": OnlyInTime,
    "by arrival": ArrivalOrder,
    "own end": OwnEnd,
    "own end with a quarter to spare": OwnEndStrict,
    "own end and shortest first": ShortestFirst,
    "queue length": QueueLength,
    "no refusals": NoRefusals,
    "orders ahead of room": Ahead,
    "least loaded": LeastLoaded,
    "any worker": AnyWorker,
}
