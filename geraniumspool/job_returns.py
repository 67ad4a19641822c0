"""Choose the waiting jobs that an owner returns because another dispatcher has free capacity.

Without I/O. The choice handles a load that fills one group of workers while another one empties,
and many owners that see the same free capacity in the same report: together they must not return
more jobs than fit there.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from geraniumspool import owner_choice
from geraniumspool.job_messages import ServiceLoad
from geraniumspool.owner_choice import AssignmentRequest, OwnerOption

# Result code: the owner has returned a job that it had not started, as another dispatcher has
# free capacity.
RETURNED = "returned"
# Capacity that was reported longer ago is likely to be taken: the least frequent reports come every
# 300 ms, and are checked every 50 ms.
MAX_REPORT_AGE_MS = 350.0
# A pass stops after this many late jobs found no dispatcher with enough free capacity.
MAX_MISSES = 6


class QueuedJob(NamedTuple):
    """A job that waits at this dispatcher.

    :param key: object by which the caller identifies the job
    :param describe: returns the properties that decide which dispatcher it may be assigned to;
        called for late jobs only
    :param cpu: CPU that its first tasks need, in thousandths of a core
    :param work: its pending work in thousandths of a core times ms
    :param spare_cpu: capacity here that more urgent arrivals leave, in thousandths of a core
    :param slack_ms: time until its latest start within its objective
    :param useful_slack_ms: time until its latest start at which its result is still useful
    :param is_returnable: whether it may be returned: none of its tasks has started, and it was not
        returned before
    """

    key: object
    describe: Callable[[], AssignmentRequest]
    cpu: float
    work: float
    spare_cpu: float
    slack_ms: float
    useful_slack_ms: float
    is_returnable: bool


class OwnerReport(NamedTuple):
    """The last report of another dispatcher.

    :param address: its address
    :param option: what it reported
    :param reported_ms: when the report arrived
    """

    address: str
    option: OwnerOption
    reported_ms: float


class JobReturn(NamedTuple):
    """A job to return, and what that was decided by.

    :param key: ``key`` of the :class:`QueuedJob`
    :param wait_ms: predicted wait here
    :param slack_ms: time until its latest start within its objective
    :param address: dispatcher that has reported free capacity for it
    :param cost_ms: predicted wait there with the costs of the distance, in ms
    :param free_cpu: free capacity that it reported, in thousandths of a core
    :param age_ms: age of that report
    """

    key: object
    wait_ms: float
    slack_ms: float
    address: str
    cost_ms: float
    free_cpu: float
    age_ms: float


class Allowance:
    """Part of the free capacity in one report for which this dispatcher may return jobs.

    :ivar reported_ms: when the report arrived
    :ivar left_cpu: what is left of it, in thousandths of a core
    """

    def __init__(self, reported_ms: float, cpu: float):
        """Start with all of it.

        :param cpu: in thousandths of a core
        """
        self.reported_ms = reported_ms
        self.left_cpu = cpu

    def take(self, cpu: float, draw: Callable[[], float]) -> bool:
        """Take the capacity of a job; return whether it may be returned.

        The last job, which exceeds what is left, is allowed with the probability of the part that
        is left: on average, all owners together fill the capacity also if each one's part is
        smaller than a job.

        :param draw: returns a random number from 0 to 1
        """
        left_cpu = self.left_cpu
        self.left_cpu = max(0.0, left_cpu - cpu)
        return cpu <= left_cpu or draw() < left_cpu / cpu


class ReturnChooser:
    """Chooses the jobs that are returned, and remembers for which reported capacity."""

    def __init__(self, draw: Callable[[], float] = random.random):
        """Start without any report.

        :param draw: returns a random number from 0 to 1
        """
        self._draw = draw
        # By service and address of the dispatcher that reported the capacity.
        self._allowances: dict[str, dict[str, Allowance]] = {}

    def choose(
        self,
        own: ServiceLoad,
        reports: Sequence[OwnerReport],
        queue: Iterable[QueuedJob],
        domain: str,
        now: float,
    ) -> list[JobReturn]:
        """Return the jobs to return, at most as many as this dispatcher's part of the capacity.

        :param own: load of the workers of this dispatcher
        :param reports: reports of all other owners of workers of the service
        :param queue: waiting jobs in the order of service; read only if there is free capacity
        :param domain: failure domain of this process
        :param now: clock time in ms
        """
        self._update_allowances(own, reports)
        free = [report for report in reports if self._has_free_capacity(report, own.service, now)]
        chosen: list[JobReturn] = []
        if not free:
            return chosen
        ahead = 0.0
        misses = 0
        for job in queue:
            wait_ms = _predict_wait_ms(job, own, ahead)
            if not job.is_returnable or wait_ms <= job.slack_ms:
                ahead += job.work
                continue
            found = self._find_owner(job, wait_ms, free, own.service, domain, now)
            if found is None:
                ahead += job.work
                misses += 1
                if misses >= MAX_MISSES:
                    break
                continue
            chosen.append(found)
            if not any(self._left_cpu(report, own.service) for report in free):
                break
        return chosen

    def _update_allowances(self, own: ServiceLoad, reports: Sequence[OwnerReport]) -> None:
        """Divide the capacity in each new report by the work that waits at the owners."""
        waiting = [_sum_waiting(report.option.load) for report in reports]
        own_waiting = _sum_waiting(own)
        share = own_waiting / (own_waiting + sum(waiting)) if own_waiting else 0.0
        known = self._allowances.get(own.service, {})
        # Only those of present reports are kept: dispatchers come and go.
        current = self._allowances[own.service] = {}
        for report in reports:
            allowance = known.get(report.address)
            if allowance is None or allowance.reported_ms != report.reported_ms:
                cpu = share * max(0.0, report.option.load.free_cpu)
                allowance = Allowance(report.reported_ms, cpu)
            current[report.address] = allowance

    def _has_free_capacity(self, report: OwnerReport, service: str, now: float) -> bool:
        is_recent = now - report.reported_ms <= MAX_REPORT_AGE_MS
        return is_recent and self._left_cpu(report, service) > 0

    def _left_cpu(self, report: OwnerReport, service: str) -> float:
        return self._allowances[service][report.address].left_cpu

    def _find_owner(
        self,
        job: QueuedJob,
        wait_ms: float,
        free: Sequence[OwnerReport],
        service: str,
        domain: str,
        now: float,
    ) -> JobReturn | None:
        """Return what speaks for returning a job; None if no dispatcher serves it better."""
        best: tuple[float, OwnerReport] | None = None
        request = job.describe()
        for report in free:
            if not self._left_cpu(report, service):
                continue
            if owner_choice.predict_wait_ms(report.option, request) > 0:
                continue
            cost_ms = owner_choice.estimate_cost(report.option, request, domain)
            if cost_ms < min(wait_ms, job.useful_slack_ms) and (best is None or cost_ms < best[0]):
                best = cost_ms, report
        if best is None:
            return None
        cost_ms, report = best
        if not self._allowances[service][report.address].take(job.cpu, self._draw):
            return None
        return JobReturn(
            job.key,
            wait_ms,
            job.slack_ms,
            report.address,
            cost_ms,
            report.option.load.free_cpu,
            now - report.reported_ms,
        )


def _predict_wait_ms(job: QueuedJob, own: ServiceLoad, ahead: float) -> float:
    """Return the predicted wait in ms until all first tasks of a job have started here.

    :param ahead: work that is served before it, in thousandths of a core times ms
    """
    missing_cpu = max(0.0, job.cpu - max(0.0, own.free_cpu))
    if not missing_cpu and not ahead:
        return 0.0
    if job.spare_cpu <= 0:
        return owner_choice.MAX_PREDICTED_WAIT_MS
    work = ahead + missing_cpu * own.run_ms
    return min(owner_choice.MAX_PREDICTED_WAIT_MS, work / job.spare_cpu)


def _sum_waiting(load: ServiceLoad) -> float:
    return sum(load.queued.in_time) + sum(load.queued.late)
