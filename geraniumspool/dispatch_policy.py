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
from geraniumspool.urgency import IN_TIME, Chances, Outlook, Rank

# A job is refused on its arrival if it is less likely than this to be of use.
MIN_USE = 0.4
# One that was taken is refused after all below this: estimates change, and callers are
# served better by a wait that ends well than by two decisions.
MIN_KEPT_USE = 0.15
# A late answer, against one in time: callers who are still there have some use of it.
LATE_WEIGHT = 0.4


class DispatchPolicy(Protocol):
    """In which order jobs are served, which are refused, and where their tasks go."""

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place in the order of service."""

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job that has just arrived is refused.

        :param others: the jobs of its service that wait here
        """

    def is_given_up(self, job: DispatchJob, outlook: Outlook, now: float) -> bool:
        """Return whether a job that was taken and has not begun is refused after all."""

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
    """A job is taken if it is likely to be of use, and brings more than others lose by it.

    Less urgent work waits, as far as its callers' time allows, and is not refused for the
    sake of what is about to come.
    """

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place: late ones last, begun ones first, then by priority."""
        return urgency.rank(job.timing, job.left_ms(), now, job.was_ordered, job.level)

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job would be of no use, or cost its equals more than it brings."""
        chances = urgency.predict_chances(job.timing, job.left_ms(), outlook, now)
        if chances.of_use < MIN_USE:
            return True
        gain = job.pending_work() * _weigh(chances)
        return self._predict_loss(job, outlook, others, now) > gain

    def is_given_up(self, job: DispatchJob, outlook: Outlook, now: float) -> bool:
        """Return whether a job that was taken and has not begun is refused after all."""
        chances = urgency.predict_chances(job.timing, job.left_ms(), outlook, now)
        return chances.of_use < MIN_KEPT_USE

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
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> float:
        """Return the work of equal urgency that a job is expected to make late, by its weight."""
        if outlook.is_free:
            return 0.0
        own = self.rank(job, now)
        ranked = sorted(
            (self.rank(other, now), number)
            for number, other in enumerate(others)
            if other.level == job.level
        )
        work = job.pending_work()
        ahead = outlook.ahead
        loss = 0.0
        for rank, number in ranked:
            if rank <= own or rank.lateness != IN_TIME:
                continue
            other = others[number]
            before_ms = ahead / outlook.spare
            after_ms = (ahead + work) / outlook.spare
            fall = _predict_fall(other, before_ms, after_ms, now)
            loss += other.pending_work() * fall * (1 - LATE_WEIGHT)
            ahead += other.pending_work()
        return loss


def _weigh(chances: Chances) -> float:
    """Return what an answer is worth that is in time, late or none by chance."""
    return chances.in_time + LATE_WEIGHT * (chances.of_use - chances.in_time)


def _predict_fall(job: DispatchJob, before_ms: float, after_ms: float, now: float) -> float:
    """Return by how much a longer wait lowers a job's chance to be in time."""
    slack_ms = job.timing.latest_start(job.left_ms()) - now
    before = urgency.predict_chance(job.timing, slack_ms, before_ms)
    after = urgency.predict_chance(job.timing, slack_ms, after_ms)
    return max(0.0, before - after)
