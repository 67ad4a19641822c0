"""The decisions of a dispatcher that load patterns are played against.

A dispatcher asks its policy and carries out what it says; the policy sees no
input or output. The one in use is :class:`ExpectedUse`.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from geraniumspool import packing, urgency
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.packing import Candidate, Place, PlaceRequest
from geraniumspool.queued_work import QueuedWork
from geraniumspool.urgency import Outlook, Rank

# A job is refused on its arrival if it is less likely than this to be of use.
MIN_USE = 0.3
# One that was taken is refused after all below this: estimates change, and callers are
# served better by a wait that ends well than by two decisions.
MIN_KEPT_USE = 0.15
# Jobs leave room to more urgent ones of other dispatchers if these would fill all workers for
# this long. At 1.5 times the load that fills them 0.70 of the jobs are then in time, 0.65
# with 4 ms, as what is known of others is some tens of ms old, and 0.67 with 25 ms.
YIELD_MS = 10.0


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

    def yields(self, job: DispatchJob, elsewhere: QueuedWork, room_cpu: float) -> bool:
        """Return whether a job that has not begun leaves room to other dispatchers' work.

        :param room_cpu: room of all workers of its service
        """

    def choose(self, workers: Iterable[Candidate], request: PlaceRequest) -> Place | None:
        """Return the worker for a task, see :func:`geraniumspool.packing.choose`."""


class ExpectedUse:
    """A job is taken if it is likely to be of use to its caller, late or in time.

    Less urgent work waits, as far as its callers' time allows, and is not refused for the
    sake of what is about to come.
    """

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Return a job's place: begun ones first, then by priority, late ones last in each."""
        return urgency.rank(job.timing, job.left_ms(), now, job.was_ordered, job.level)

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job is unlikely to be of use, late or in time."""
        return _predict_use(job, outlook, now) < MIN_USE

    def is_given_up(self, job: DispatchJob, outlook: Outlook, now: float) -> bool:
        """Return whether a job that was taken and has not begun is refused after all."""
        return _predict_use(job, outlook, now) < MIN_KEPT_USE

    def yields(self, job: DispatchJob, elsewhere: QueuedWork, room_cpu: float) -> bool:
        """Return whether more urgent work waits elsewhere that would keep all workers busy."""
        level = job.level
        more_urgent = sum(elsewhere.in_time[:level]) + sum(elsewhere.late[:level])
        return more_urgent > YIELD_MS * room_cpu

    def choose(self, workers: Iterable[Candidate], request: PlaceRequest) -> Place | None:
        """Return the worker where the task is predicted to end first."""
        return packing.choose(workers, request)


def _predict_use(job: DispatchJob, outlook: Outlook, now: float) -> float:
    """Return the chance that a job is of use, late or in time."""
    return urgency.predict_chances(job.timing, job.left_ms(), outlook, now).of_use
