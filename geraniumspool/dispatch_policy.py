"""Policies for admission, ordering and placement that a dispatcher carries out.

A policy does no input or output, so that it can be simulated against load patterns.
:class:`UsefulnessPolicy` is the policy in use, :class:`ScarcityPolicy` the one where settings
ask for least shares or for decisions by value.
"""

import logging
import math
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol, TypeAlias

from geraniumspool import packing, room_shares, urgency
from geraniumspool.contracts import Counters
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.packing import Candidate, PlacementRequest, WorkerChoice
from geraniumspool.queued_work import LEVELS, QueuedWork
from geraniumspool.room_shares import Displacement, QueuedJob, QueueShare, ServedWork
from geraniumspool.urgency import Outlook, Rank

_LOG = logging.getLogger(__name__)

FindServed: TypeAlias = Callable[[str], Iterable[QueueShare]]

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

    def is_shed_checked(self, job: DispatchJob, lateness: int, now: float) -> bool:
        """Return whether :meth:`is_shed` is asked of an admitted job without a started task.

        :param lateness: lateness of the job's rank
        """

    def predict_retry_ms(self, outlook: Outlook) -> float:
        """Return the time in ms after which the caller of a job that is shed may come back."""

    def find_displacement(
        self,
        job: DispatchJob,
        ahead: float,
        after: Iterable[tuple[Rank, DispatchJob]],
        spare: Sequence[float],
        now: float,
    ) -> Displacement | None:
        """Return what an arriving job displaces, None if that is not to be considered.

        :param ahead: queued work that is served before the job, in thousandths of a core times ms
        :param after: queued jobs that are served after it, in any order, with their ranks
        :param spare: capacity that more urgent arrivals leave, by priority level
        """

    def reserved_share(self, job: DispatchJob) -> float:
        """Return the part of the capacity that is reserved for a job's queue."""

    def observe_load(
        self, service: str, capacity: float, queued: QueuedWork, find_served: FindServed, now: float
    ) -> None:
        """Take note of the load of a service before decisions on its jobs.

        :param capacity: CPU of its usable workers in thousandths of a core
        :param find_served: returns what other dispatchers report that the queues of a service got
        """

    def observe_arrival(self, job: DispatchJob, now: float) -> None:
        """Take note of an arriving job before the decision on it."""

    def observe_start(self, job: DispatchJob, work: float, now: float) -> None:
        """Take note that a run of a job was ordered.

        :param work: CPU need times expected run time, in thousandths of a core times ms
        """

    def list_served(self, service: str, now: float) -> tuple[QueueShare, ...]:
        """Return the capacity that the queues of a service got recently."""

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

    def is_shed_checked(self, job: DispatchJob, lateness: int, now: float) -> bool:
        """Return whether a job can no longer be in time."""
        return lateness != urgency.IN_TIME

    def predict_retry_ms(self, outlook: Outlook) -> float:
        """Return the shortest time: the job has waited for about as long as capacity was short."""
        return urgency.MIN_RETRY_MS

    def find_displacement(
        self,
        job: DispatchJob,
        ahead: float,
        after: Iterable[tuple[Rank, DispatchJob]],
        spare: Sequence[float],
        now: float,
    ) -> Displacement | None:
        """Return None: a job is refused by its own prospects alone."""
        return None

    def reserved_share(self, job: DispatchJob) -> float:
        """Return 0: nothing is reserved."""
        return 0.0

    def observe_load(
        self, service: str, capacity: float, queued: QueuedWork, find_served: FindServed, now: float
    ) -> None:
        """Do nothing: decisions depend on the job and its outlook alone."""

    def observe_arrival(self, job: DispatchJob, now: float) -> None:
        """Do nothing."""

    def observe_start(self, job: DispatchJob, work: float, now: float) -> None:
        """Do nothing."""

    def list_served(self, service: str, now: float) -> tuple[QueueShare, ...]:
        """Return no queue: what they got is not recorded."""
        return ()

    def choose_worker(
        self, workers: Iterable[Candidate], request: PlacementRequest
    ) -> WorkerChoice | None:
        """Return the worker on which the task is predicted to end first."""
        return packing.choose_worker(workers, request)


class SharingSettings(NamedTuple):
    """How scarce capacity is shared.

    :param least_share: part of the capacity that is reserved for the queues of a service by
        their weights, 0 for none
    :param value_order: whether jobs are refused by what they bring and displace
    """

    least_share: float = 0.0
    value_order: bool = False

    @property
    def is_enabled(self) -> bool:
        """Whether any decision differs from those of :class:`UsefulnessPolicy`."""
        return self.least_share > 0 or self.value_order


class _ServiceState:
    """What a policy knows of one service.

    :ivar is_scarce: whether its queued work exceeds the capacity for longer than a moment
    :ivar capacity: CPU of its usable workers in thousandths of a core
    :ivar in_time_work: queued work of jobs that can be in time
    :ivar demand_ms: clock time in ms at which a job of each queue last arrived
    :ivar weights: weights of the queues with demand
    :ivar below: queues that got less than their part
    """

    def __init__(self, served: ServedWork):
        self.served = served
        self.is_scarce = False
        self.capacity = 0.0
        self.in_time_work = 0.0
        self.demand_ms: dict[str, float] = {}
        self.weights: dict[str, float] = {}
        self.below: dict[str, float] = {}


class ScarcityPolicy(UsefulnessPolicy):
    """Share scarce capacity by value and by least shares; else decide as the base class.

    A job's value is its work while it can be in time, a fifth of it while late. Among the
    jobs of a priority the order of the base class already is that of value for capacity: a
    started job brings its whole value for what is left of its work, one in time its work, a
    late one a fifth.
    """

    def __init__(self, settings: SharingSettings, counters: Counters):
        """Create a policy that has seen no job."""
        self._settings = settings
        self._counters = counters
        self._services: dict[str, _ServiceState] = {}
        # Queues whose impossible weight was logged, each once.
        self._reported_weights: set[str] = set()

    def rank(self, job: DispatchJob, now: float) -> Rank:
        """Rank jobs in time of queues below their part before the others of any priority.

        Among those queues, the priority decides.
        """
        rank = super().rank(job, now)
        if rank.lateness == urgency.IN_TIME and rank.is_new and self._is_below(job):
            return rank._replace(level=rank.level - LEVELS)
        return rank

    def is_refused(
        self, job: DispatchJob, outlook: Outlook, others: Sequence[DispatchJob], now: float
    ) -> bool:
        """Return whether a job is likely to end late while jobs in time need the capacity."""
        state = self._services.get(job.queue.service)
        if state is None or not (self._settings.value_order and state.is_scarce):
            return super().is_refused(job, outlook, others, now)
        if super().is_refused(job, outlook, others, now):
            return True
        in_time = _on_time_probability(job, outlook, now)
        return state.in_time_work > 0 and in_time < room_shares.MIN_ON_TIME_PROBABILITY

    def is_shed_checked(self, job: DispatchJob, lateness: int, now: float) -> bool:
        """Return whether a job may still be refused, or has to be as workers were lost."""
        if not self._settings.value_order:
            return super().is_shed_checked(job, lateness, now)
        state = self._services.get(job.queue.service)
        if state is None or not state.is_scarce:
            return super().is_shed_checked(job, lateness, now) and self._is_open(job, state, now)
        return self._is_open(job, state, now)

    def is_shed(self, job: DispatchJob, outlook: Outlook, now: float) -> bool:
        """Return whether an accepted job is refused after all, early in its objective."""
        state = self._services.get(job.queue.service)
        if super().is_shed(job, outlook, now):
            return True
        if state is None or not (self._settings.value_order and state.is_scarce):
            return False
        in_time = _on_time_probability(job, outlook, now)
        return in_time < room_shares.MIN_KEPT_ON_TIME_PROBABILITY

    def predict_retry_ms(self, outlook: Outlook) -> float:
        """Return the predicted wait: jobs are shed early, while the shortage goes on."""
        if not self._settings.value_order:
            return super().predict_retry_ms(outlook)
        return max(urgency.MIN_RETRY_MS, outlook.wait_ms)

    def find_displacement(
        self,
        job: DispatchJob,
        ahead: float,
        after: Iterable[tuple[Rank, DispatchJob]],
        spare: Sequence[float],
        now: float,
    ) -> Displacement | None:
        """Return what a job displaces while capacity is scarce, unless its queue is below."""
        state = self._services.get(job.queue.service)
        if state is None or not (self._settings.value_order and state.is_scarce):
            return None
        if self._is_below(job):
            return None
        work = job.pending_work()
        ranked = sorted(after, key=lambda pair: pair[0])
        queued = [
            QueuedJob(other.level, other.pending_work(), _slack_ms(other, now), other.work())
            for _rank, other in ranked
        ]
        return room_shares.measure_displacement(work, job.work(), ahead, queued, spare)

    def reserved_share(self, job: DispatchJob) -> float:
        """Return the part of a job's queue while it is below it."""
        state = self._services.get(job.queue.service)
        if state is None or not self._is_below(job):
            return 0.0
        parts = room_shares.divide_share(self._settings.least_share, state.weights)
        return parts.get(job.queue.name, 0.0)

    def observe_load(
        self, service: str, capacity: float, queued: QueuedWork, find_served: FindServed, now: float
    ) -> None:
        """Update whether capacity is scarce and which queues are below their part."""
        state = self._services.get(service)
        if state is None or (capacity > 0 and state.capacity <= 0):
            # The first workers, or those taken over: start from what the others report.
            reported = find_served(service) if self._settings.least_share else ()
            state = self._services[service] = _ServiceState(ServedWork(now, reported))
        work = sum(queued.in_time) + sum(queued.late)
        was_scarce = state.is_scarce
        state.capacity = capacity
        state.in_time_work = sum(queued.in_time)
        state.is_scarce = room_shares.is_scarce(was_scarce, work, capacity)
        if state.is_scarce != was_scarce:
            self._log_scarcity(service, state, work)
        self._update_below(service, state, now)

    def observe_arrival(self, job: DispatchJob, now: float) -> None:
        """Record demand of a queue, also if the job is refused."""
        state = self._services.get(job.queue.service)
        if state is not None:
            name = job.queue.name
            state.demand_ms[name] = now
            state.weights[name] = self._check_weight(name, job.queue.weight)

    def observe_start(self, job: DispatchJob, work: float, now: float) -> None:
        """Record that a queue got capacity."""
        state = self._services.get(job.queue.service)
        if state is not None and self._settings.least_share:
            state.served.record(job.queue.name, work, now)

    def list_served(self, service: str, now: float) -> tuple[QueueShare, ...]:
        """Return the capacity that the queues of a service got recently."""
        state = self._services.get(service)
        return state.served.list_shares(now) if state and self._settings.least_share else ()

    def _check_weight(self, queue: str, weight: float) -> float:
        """Return a queue's weight, 1 if another process sent one that is impossible."""
        if math.isfinite(weight) and weight > 0:
            return weight
        if queue not in self._reported_weights:
            self._reported_weights.add(queue)
            fields = (("queue", queue), ("weight", str(weight)), ("used", 1.0))
            _LOG.warning("impossible weight of queue", extra={"fields": fields})
        return 1.0

    def _is_below(self, job: DispatchJob) -> bool:
        state = self._services.get(job.queue.service)
        return state is not None and job.queue.name in state.below

    def _is_open(self, job: DispatchJob, state: _ServiceState | None, now: float) -> bool:
        """Return whether an accepted job may be refused: early, or after a loss of workers."""
        timing = job.timing
        if now - timing.arrived_ms <= room_shares.FINAL_DECISION_SHARE * timing.objective_ms:
            return True
        kept = room_shares.LOST_CAPACITY_SHARE * job.accepted_capacity
        return state is not None and state.capacity < kept

    def _update_below(self, service: str, state: _ServiceState, now: float) -> None:
        """Find the queues below their part, and log those that are new or have their part."""
        below: dict[str, float] = {}
        if state.is_scarce and self._settings.least_share:
            for name, seen_ms in list(state.demand_ms.items()):
                if now - seen_ms > room_shares.SHARE_WINDOW_MS:
                    del state.demand_ms[name], state.weights[name]
            below = state.served.find_below(self._settings.least_share, state.weights, now)
        if below.keys() == state.below.keys():
            return
        previous, state.below = state.below, below
        for name in sorted(below.keys() ^ previous.keys()):
            is_below = name in below
            self._counters.add("queue_share_changes", queue=name, below=str(is_below).lower())
            fields = (
                ("service", service),
                ("queue", name),
                ("below", is_below),
                ("got", round(below.get(name, previous.get(name, 0.0)), 3)),
                ("least_share", self._settings.least_share),
                ("weight", state.weights.get(name, 1.0)),
                ("queues", len(state.weights)),
                ("window_ms", room_shares.SHARE_WINDOW_MS),
            )
            _LOG.info("least share of queue", extra={"fields": fields})

    def _log_scarcity(self, service: str, state: _ServiceState, work: float) -> None:
        self._counters.add("scarcity_changes", scarce=str(state.is_scarce).lower())
        fields = (
            ("service", service),
            ("scarce", state.is_scarce),
            ("queued", round(work)),
            ("in_time", round(state.in_time_work)),
            ("capacity", round(state.capacity)),
        )
        _LOG.info("capacity scarce", extra={"fields": fields})


def make_policy(settings: SharingSettings, counters: Counters) -> DispatchPolicy:
    """Return the policy for some settings."""
    if settings.is_enabled:
        return ScarcityPolicy(settings, counters)
    return UsefulnessPolicy()


def _slack_ms(job: DispatchJob, now: float) -> float:
    """Return the time in ms until a job has to start to be on time, and before its timeout."""
    remaining_run_ms = job.remaining_run_ms()
    timing = job.timing
    latest_ms = timing.latest_start(remaining_run_ms)
    return min(latest_ms, timing.latest_useful_start(remaining_run_ms)) - now


def _on_time_probability(job: DispatchJob, outlook: Outlook, now: float) -> float:
    """Return the probability that a job is in time and its caller has not timed out."""
    return urgency.predict_probability(job.timing, _slack_ms(job, now), outlook.wait_ms)


def _useful_probability(job: DispatchJob, outlook: Outlook, now: float) -> float:
    """Return the probability that a job's result is useful, in time or late."""
    return urgency.predict_probabilities(job.timing, job.remaining_run_ms(), outlook, now).useful
