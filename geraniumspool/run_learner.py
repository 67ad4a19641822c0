"""What a dispatcher learns from run times: ratios to declared ones, and the cost of remote data."""

import logging
import math

from geraniumspool import packing
from geraniumspool.contracts import Clock, Counters
from geraniumspool.data_locality import RemoteDataFactor
from geraniumspool.dispatch_job import PlacedRun
from geraniumspool.fleet import Fleet, WorkerView
from geraniumspool.run_messages import WorkerReport
from geraniumspool.run_times import RunTimes

_LOG = logging.getLogger(__name__)

# Weight of a new sample in the moving average of actual to declared run times: the average
# covers about the last thirty successful tasks of a queue.
RUN_TIME_WEIGHT = 0.03
MIN_RUN_TIME_RATIO = 0.2
MAX_RUN_TIME_RATIO = 5.0
# Age at which the mean pace of the workers is computed again: paces are averages over many runs.
MEAN_PACE_AGE_MS = 100.0


class RunLearner:
    """Learn from the runs of one dispatcher.

    :ivar remote_data: factor by which tasks take longer away from their data
    :ivar is_by_queue: whether run times are learnt apart from the speed of workers, with their tail
        and from runs in progress
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        fleet: Fleet,
        remote_data_factor: float | None,
        is_by_queue: bool,
    ):
        """Start with what callers declare and operators have set.

        :param fleet: workers whose paces are compared
        :param remote_data_factor: as in :class:`RemoteDataFactor`
        """
        self._clock = clock
        self._counters = counters
        self._fleet = fleet
        self.remote_data = RemoteDataFactor(remote_data_factor)
        self.is_by_queue = is_by_queue
        self._ratios: dict[str, float] = {}
        self._run_times: dict[str, RunTimes] = {}
        # Numbers of open runs whose predicted run time was recorded before their end.
        self._counted_runs: set[int] = set()
        self._mean_paces: dict[str, tuple[float, float]] = {}

    def run_time_ratio(self, queue: str) -> float:
        """Return the mean ratio of actual to declared run times of a queue."""
        if self.is_by_queue:
            times = self._run_times.get(queue)
            return times.mean if times else 1.0
        return self._ratios.get(queue, 1.0)

    def remove_run(self, number: int) -> bool:
        """Remove a run that has ended; return whether its run time was recorded before."""
        is_counted = number in self._counted_runs
        self._counted_runs.discard(number)
        return is_counted

    def record_end(self, placed: PlacedRun, ran_ms: float, is_counted: bool) -> None:
        """Record the run time of a task that has succeeded.

        :param is_counted: whether its predicted run time was recorded before
        """
        spec = placed.job.steps[placed.task.step].spec
        if spec.declared_ms <= 0 or ran_ms <= 0:
            return
        local_ms = ran_ms
        if spec.rack and self.remote_data.is_set:
            local_ms = self._record_remote_data(placed, ran_ms)
        if self.is_by_queue:
            if not is_counted:
                self._record_run_time(placed, ran_ms)
            return
        queue = placed.job.queue.name
        ratio = self._ratios.get(queue, 1.0)
        seen = min(MAX_RUN_TIME_RATIO, max(MIN_RUN_TIME_RATIO, local_ms / spec.declared_ms))
        self._ratios[queue] = ratio + RUN_TIME_WEIGHT * (seen - ratio)

    def record_stragglers(self, view: WorkerView, report: WorkerReport) -> None:
        """Record the runs that a worker reports to take far longer than expected."""
        if not self.is_by_queue:
            return
        for straggler in report.stragglers:
            run = view.runs.get(straggler.number)
            if run is not None and run.number not in self._counted_runs:
                self._counted_runs.add(run.number)
                age_ms = self._clock.now() - run.sent_ms
                self._record_run_time(run.owner, age_ms + straggler.left_ms)

    def predict_overdue(self, view: WorkerView, now: float) -> dict[int, float]:
        """Return the remaining times in ms of a worker's overdue runs, by run number.

        They follow from the tail of the queue's run times; without it, none is returned.
        """
        if not self.is_by_queue:
            return {}
        return {
            run.number: self._times_of(run.owner).predict_overdue_ms(age_ms, run.owner.run_ms)
            for run in view.runs.values()
            if (age_ms := now - run.sent_ms) >= run.owner.run_ms
        }

    def _times_of(self, placed: PlacedRun) -> RunTimes:
        return self._run_times.setdefault(placed.job.queue.name, RunTimes())

    def _record_run_time(self, placed: PlacedRun, ran_ms: float) -> None:
        step = placed.job.steps[placed.task.step]
        # Includes the factor of remote data, which is not to count as run time of the queue.
        pace = placed.run_ms / step.expected_ms
        relative_pace = pace / self._find_mean_pace(placed.job.queue.service)
        self._times_of(placed).record(ran_ms, step.spec.declared_ms, relative_pace)

    def _find_mean_pace(self, service: str) -> float:
        """Return the mean pace of a service's usable workers, weighted by CPU."""
        now = self._clock.now()
        found_ms, pace = self._mean_paces.get(service, (-math.inf, 1.0))
        if now - found_ms < MEAN_PACE_AGE_MS:
            return pace
        workers = self._fleet.usable_workers(service)
        cpu = sum(view.capacity.cpu for view in workers)
        if cpu:
            pace = sum(view.capacity.cpu * view.pace for view in workers) / cpu or 1.0
        self._mean_paces[service] = (now, pace)
        return pace

    def _record_remote_data(self, placed: PlacedRun, ran_ms: float) -> float:
        """Correct the factor of remote data; return the run time without it."""
        is_remote = packing.is_remote(placed.worker, placed.job.steps[placed.task.step].spec)
        data = self.remote_data
        if data.record(placed.job.queue.name, is_remote, placed.run_ms, ran_ms):
            self._counters.add("remote_factor_changes")
            fields = (("factor", round(data.value, 3)), ("samples", data.samples))
            _LOG.info("remote data factor corrected", extra={"fields": fields})
        return ran_ms / data.value if is_remote else ran_ms
