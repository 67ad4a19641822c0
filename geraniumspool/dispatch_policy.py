"""The decisions of a dispatcher that load patterns are played against.

A dispatcher asks its policy and carries out what it says; the policy sees no
input or output. The one in use is :class:`ExpectedGain`.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from geraniumspool import packing, urgency
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.job_specs import StepSpec
from geraniumspool.packing import Candidate, Place
from geraniumspool.urgency import IN_TIME, Demand, Rank

# A job that is late more likely than this is refused, whether or not others would suffer.
MIN_CHANCE = 0.3


class DispatchPolicy(Protocol):
    """In which order jobs are served, which are refused, and where their tasks go."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place in the order of service."""

    def is_refused(
        self, job: DispatchJob, demand: Demand, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job that has just arrived is refused.

        :param others: the jobs of its service that wait here
        """

    def choose(
        self,
        workers: Iterable[Candidate],
        step: StepSpec,
        expected_ms: float,
        within_ms: float,
        domain: str,
        taken: dict[int, int],
    ) -> Place | None:
        """Return the worker for a task, see :func:`geraniumspool.packing.choose`."""


class ExpectedGain:
    """A job is taken if more work is then expected to be in time than without it.

    At 1.8 times the load that fills all workers, 0.80 of their time goes to jobs in time,
    and 0.57 where a job is refused only if it would be late itself.
    """

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place: begun ones first, then by the latest start."""
        return urgency.rank(job.timing, job.left_ms(), now, job.was_ordered)

    def is_refused(
        self, job: DispatchJob, demand: Demand, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job would be late, or would make more work late than it brings."""
        wait_ms = urgency.predict_wait(demand, job.pending_cpu())
        chance = urgency.predict_chance(job.timing, job.left_ms(), wait_ms, now)
        if chance < MIN_CHANCE:
            return True
        return self._predict_loss(job, demand, others, now) > chance * job.value()

    def choose(
        self,
        workers: Iterable[Candidate],
        step: StepSpec,
        expected_ms: float,
        within_ms: float,
        domain: str,
        taken: dict[int, int],
    ) -> Place | None:
        """Return the worker where the task is predicted to end first."""
        return packing.choose(workers, step, expected_ms, within_ms, domain, taken)

    def _predict_loss(
        self, job: DispatchJob, demand: Demand, others: Sequence[DispatchJob], now: float
    ) -> float:
        """Return the value of what a job is expected to make late.

        Other dispatchers' queues are taken to be like this one's.
        """
        own = self.rank(job, now)
        need = job.pending_cpu()
        with_job = demand._replace(
            waiting_here=demand.waiting_here + need, waiting_all=demand.waiting_all + need
        )
        ranked = sorted(
            ((self.rank(other, now), other) for other in others), key=lambda pair: pair[0]
        )
        ahead = 0
        loss = 0.0
        for rank, other in ranked:
            cpu = other.pending_cpu()
            if rank > own and rank.lateness == IN_TIME:
                before_ms = urgency.predict_wait(demand._replace(ahead=ahead), cpu)
                after_ms = urgency.predict_wait(with_job._replace(ahead=ahead + need), cpu)
                loss += other.value() * _predict_fall(other, before_ms, after_ms, now)
            ahead += cpu
        if demand.waiting_here:
            loss *= max(1.0, demand.waiting_all / demand.waiting_here)
        return loss


def _predict_fall(job: DispatchJob, before_ms: float, after_ms: float, now: float) -> float:
    """Return by how much a longer wait lowers a job's chance to be in time."""
    left_ms = job.left_ms()
    before = urgency.predict_chance(job.timing, left_ms, before_ms, now)
    after = urgency.predict_chance(job.timing, left_ms, after_ms, now)
    return max(0.0, before - after)
