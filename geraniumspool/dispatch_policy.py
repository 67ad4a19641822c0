"""Policies for admission, ordering and placement that a dispatcher carries out.

A policy does no input or output, so that it can be simulated against load patterns.
:class:`UsefulnessPolicy` is the policy in use.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from geraniumspool import packing, urgency
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.packing import Candidate, PlacementRequest, WorkerChoice
from geraniumspool.urgency import Outlook, Rank

# An arriving job is refused if the probability that its result is still useful to the caller
# is below this.
MIN_USEFUL_PROBABILITY = 0.3
# An admitted job is refused later only below this lower probability: estimates fluctuate, and
# waiting for a result serves callers better than a reversed admission decision.
MIN_KEPT_PROBABILITY = 0.15


class DispatchPolicy(Protocol):
    """Decide the order of service, which jobs are refused, and where tasks are placed."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's rank in the order of service; the least is served first."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether an arriving job is refused.

        :param outlook: predicted queueing conditions of the job
        :param others: jobs of the same service that are queued in this process
        :param now: clock time in ms
        """

    def is_shed(self, job: DispatchJob, outlook: Outlook, now: float) -> bool:
        """Return whether an admitted job without a started task is refused after all."""

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return the worker for a task; see :func:`geraniumspool.packing.choose_worker`."""


class UsefulnessPolicy:
    """Admit a job if its result is likely to be useful to the caller, in time or late.

    Less urgent jobs queue as long as their callers' timeouts allow. They are not refused to
    reserve capacity for future arrivals.
    """

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Rank started jobs first, then by priority, and late jobs last within a priority."""
        remaining_run_ms = job.remaining_run_ms()
        return urgency.rank(
            job.timing, remaining_run_ms, now, job.may_have_started, job.level, job.completed_share
        )

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job's result is unlikely to be useful, in time or late."""
        return _useful_probability(job, outlook, now) < MIN_USEFUL_PROBABILITY

    def is_shed(self, job: DispatchJob, outlook: Outlook, now: float) -> bool:
        """Return whether an admitted job without a started task is refused after all."""
        return _useful_probability(job, outlook, now) < MIN_KEPT_PROBABILITY

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return the worker on which the task is predicted to end first."""
        return packing.choose_worker(workers, request)


def _useful_probability(job: DispatchJob, outlook: Outlook, now: float) -> float:
    """Return the probability that a job's result is useful, in time or late."""
    return urgency.predict_probabilities(job.timing, job.remaining_run_ms(), outlook, now).useful
