"""Random model of a load: number of tasks per job, run times, arrival times.

All random numbers come from seeded generators, so that a load is reproducible.
"""

import functools
import itertools
import math
import random
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from geraniumspool.clock import MS_PER_SECOND

DECLARED_EXACT = "exact"
DECLARED_WRONG = "wrong"
DECLARED_NONE = "none"
MAX_DECLARED_FACTOR = 10.0
BURST_FACTOR = 10.0
DEFAULT_DEADLINE_MS = 15_000.0
MAX_TASKS = 340
NARROW_TASKS = 4
WIDE_TASKS = 100


class TaskPlan(NamedTuple):
    """A task to submit.

    :param run_ms: actual run time at the minion in milliseconds
    :param declared_ms: expected run time that the caller declares, in milliseconds, or 0 for
        none
    :param size: declared size of the task, in a unit that the service defines
    """

    run_ms: float
    declared_ms: float = 0.0
    size: float = 1.0


class JobPlan(NamedTuple):
    """A job to submit.

    :param tasks: tasks of the job
    :param team: team whose quota the job counts against
    :param deadline_ms: deadline in milliseconds from the arrival of the job
    """

    tasks: tuple[TaskPlan, ...]
    team: str
    deadline_ms: float = DEFAULT_DEADLINE_MS

    @property
    def work_ms(self) -> float:
        """Sum of the run times of all tasks, in milliseconds."""
        return sum(task.run_ms for task in self.tasks)

    @property
    def is_narrow(self) -> bool:
        """Whether the job has at most ``NARROW_TASKS`` tasks."""
        return len(self.tasks) <= NARROW_TASKS

    @property
    def is_wide(self) -> bool:
        """Whether the job has at least ``WIDE_TASKS`` tasks."""
        return len(self.tasks) >= WIDE_TASKS


class Mix(Protocol):
    """Distribution of the jobs of a load."""

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a job, the sum of its tasks' run times, in milliseconds."""

    def draw(self, rng: random.Random, team: str) -> JobPlan:
        """Return a random job.

        :param rng: random number generator
        """


class Widths(NamedTuple):
    """Distribution of the width of a job, which is its number of tasks.

    The probability of the width ``w`` is proportional to ``w ** -exponent``: exponent 0
    gives a uniform distribution, 1 a log-uniform one.

    :param min_width: smallest width
    :param max_width: largest width
    :param exponent: exponent of the power law
    """

    min_width: int
    max_width: int
    exponent: float = 0.0

    @property
    def mean(self) -> float:
        """Mean width."""
        weights = [width**-self.exponent for width in self._range()]
        total = sum(width * weight for width, weight in zip(self._range(), weights, strict=True))
        return total / sum(weights)

    def draw(self, rng: random.Random) -> int:
        """Return a random width.

        :param rng: random number generator
        """
        return rng.choices(self._range(), cum_weights=_cumulative_weights(self))[0]

    def _range(self) -> range:
        return range(self.min_width, self.max_width + 1)


class RunTimes(NamedTuple):
    """Distribution of run times: log-uniform, with a uniform tail; all times in milliseconds.

    :param min_ms: shortest run time outside the tail
    :param max_ms: longest run time outside the tail
    :param tail_share: share of tasks in the tail
    :param tail_min_ms: shortest run time in the tail
    :param tail_max_ms: longest run time in the tail
    """

    min_ms: float
    max_ms: float
    tail_share: float = 0.0
    tail_min_ms: float = 0.0
    tail_max_ms: float = 0.0

    @property
    def mean_ms(self) -> float:
        """Mean run time in milliseconds."""
        log_uniform_mean = self.min_ms
        if self.max_ms > self.min_ms:
            log_uniform_mean = (self.max_ms - self.min_ms) / math.log(self.max_ms / self.min_ms)
        tail_mean = (self.tail_min_ms + self.tail_max_ms) / 2
        return (1 - self.tail_share) * log_uniform_mean + self.tail_share * tail_mean

    def draw(self, rng: random.Random) -> float:
        """Return a random run time in milliseconds.

        :param rng: random number generator
        """
        if rng.random() < self.tail_share:
            return rng.uniform(self.tail_min_ms, self.tail_max_ms)
        return _draw_log_uniform(rng, self.min_ms, self.max_ms)


class CappedLogNormal(NamedTuple):
    """Log-normal distribution whose values are capped.

    :param mean: mean of the distribution without the cap
    :param sigma: standard deviation of the logarithm
    :param cap: largest value; larger ones are replaced by it
    """

    mean: float
    sigma: float
    cap: float

    def draw(self, rng: random.Random) -> float:
        """Return a random value.

        :param rng: random number generator
        """
        mu = math.log(self.mean) - self.sigma**2 / 2
        return min(self.cap, rng.lognormvariate(mu, self.sigma))


class QueueJob(NamedTuple):
    """A job of equal tasks that each reserve a share of a CPU core.

    :param queue: queue to which the job belongs
    :param count: number of tasks
    :param cpu: CPU that a task reserves, in thousandths of a core
    :param run_ms: actual run time of a task in milliseconds
    :param declared_ms: expected run time that the caller declares, in milliseconds
    """

    queue: str
    count: int
    cpu: int
    run_ms: float
    declared_ms: float

    @property
    def work(self) -> float:
        """CPU time reserved by all tasks, in core-seconds."""
        return self.count * self.cpu * self.run_ms / MS_PER_SECOND**2


class QueueMix(NamedTuple):
    """Distribution of the jobs of one queue.

    :param queue: name of the queue
    :param priority: priority of the queue, 0 is the most urgent
    :param share: share of all jobs that belong to the queue
    :param widths: distribution of the number of tasks of a job
    :param run_ms: distribution of the run time in milliseconds, equal for all tasks of a job
    :param cpu: distribution of the CPU that a task reserves, in thousandths of a core
    :param declared_error_sigma: sigma of the log-normal factor between the actual and the declared
        run time
    """

    queue: str
    priority: int
    share: float
    widths: CappedLogNormal
    run_ms: CappedLogNormal
    cpu: CappedLogNormal
    declared_error_sigma: float

    def draw(self, rng: random.Random) -> QueueJob:
        """Return a random job.

        :param rng: random number generator
        """
        run_ms = round(self.run_ms.draw(rng), 1)
        declared_factor = CappedLogNormal(1.0, self.declared_error_sigma, MAX_DECLARED_FACTOR).draw(
            rng
        )
        return QueueJob(
            self.queue,
            max(1, round(self.widths.draw(rng))),
            round(self.cpu.draw(rng)),
            run_ms,
            round(run_ms * declared_factor, 1),
        )


class RandomMix(NamedTuple):
    """Distribution of jobs whose width and run times are independent.

    :param widths: distribution of the number of tasks of a job
    :param run_times: distribution of the run times of tasks
    :param declared: accuracy of declared run times: ``DECLARED_EXACT``, ``DECLARED_WRONG``
        (too long or too short by a factor of up to ``MAX_DECLARED_FACTOR``) or
        ``DECLARED_NONE`` (none declared)
    :param deadline_ms: deadline of every job in milliseconds from its arrival
    """

    widths: Widths
    run_times: RunTimes
    declared: str = DECLARED_WRONG
    deadline_ms: float = DEFAULT_DEADLINE_MS

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a job, the sum of its tasks' run times, in milliseconds."""
        return self.widths.mean * self.run_times.mean_ms

    def draw(self, rng: random.Random, team: str) -> JobPlan:
        """Return a random job.

        :param rng: random number generator
        """
        width = self.widths.draw(rng)
        tasks = tuple(self._draw_task(rng) for _ in range(width))
        return JobPlan(tasks, team, self.deadline_ms)

    def _draw_task(self, rng: random.Random) -> TaskPlan:
        run_ms = round(self.run_times.draw(rng), 1)
        if self.declared == DECLARED_NONE:
            return TaskPlan(run_ms)
        if self.declared == DECLARED_EXACT:
            return TaskPlan(run_ms, run_ms)
        factor = _draw_log_uniform(rng, 1 / MAX_DECLARED_FACTOR, MAX_DECLARED_FACTOR)
        return TaskPlan(run_ms, round(run_ms * factor, 1))


BRIEF_TIMES = RunTimes(50, 1_000, 0.03, 2_000, 5_000)

# With log-uniform widths (exponent 1), jobs of 100 tasks or more would make up 70 % of the
# work. The exponent 1.5 adds a weight of 1 / sqrt(width): about half of the work is then in
# such jobs, and about half of all jobs are narrow.
BRIEF_WIDTHS = Widths(1, MAX_TASKS, 1.5)

MIXES: dict[str, RandomMix] = {
    "light": RandomMix(Widths(1, 1), RunTimes(50, 50), DECLARED_EXACT),
    "brief": RandomMix(BRIEF_WIDTHS, BRIEF_TIMES),
    "narrow": RandomMix(Widths(1, NARROW_TASKS), BRIEF_TIMES),
    "wide": RandomMix(Widths(WIDE_TASKS, MAX_TASKS), BRIEF_TIMES),
}


class Burst(NamedTuple):
    """Period in which jobs arrive faster.

    :param start_ms: time from the start of the load to the start of the burst, in milliseconds
    :param length_ms: duration in milliseconds
    :param factor: factor by which the arrival rate is multiplied
    """

    start_ms: float
    length_ms: float
    factor: float = BURST_FACTOR


def ideal_ms(plan: JobPlan, slots: int, one_way_delay_ms: float = 0.0) -> float:
    """Return the ideal response time of a job, in milliseconds.

    It is a lower bound, as if the job had all slots to itself: the longest run time or the
    work divided by the slots, whichever is longer, plus the network delay both ways.

    :param slots: number of slots in the whole system
    :param one_way_delay_ms: one-way network delay between client and system, in milliseconds
    """
    longest = max(task.run_ms for task in plan.tasks)
    return max(longest, plan.work_ms / slots) + 2 * one_way_delay_ms


def rate_for_share(mix: Mix, share: float, slots: int) -> float:
    """Return the arrival rate, in jobs per second, for an offered load.

    :param mix: distribution of jobs
    :param share: offered load as a share of the capacity of all slots, 1.0 for all of it
    :param slots: number of slots in the whole system
    """
    return share * slots * MS_PER_SECOND / mix.mean_work_ms


def draw_arrivals(
    rate: float, length_ms: float, rng: random.Random, bursts: tuple[Burst, ...] = ()
) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, in milliseconds and in ascending order.

    :param rate: arrivals per second outside bursts
    :param length_ms: end of the arrivals, in milliseconds
    :param rng: random number generator
    :param bursts: periods with a higher rate; the factors of overlapping ones are multiplied
    """
    edges = {0.0, length_ms}
    for burst in bursts:
        edges.add(min(length_ms, burst.start_ms))
        edges.add(min(length_ms, burst.start_ms + burst.length_ms))
    # Intervals between arrivals are memoryless, so each span between two changes of the rate
    # can be generated on its own.
    for begin, end in itertools.pairwise(sorted(edges)):
        span_rate = rate * _rate_factor_at(begin, bursts)
        at_ms = begin + rng.expovariate(span_rate) * MS_PER_SECOND
        while at_ms < end:
            yield at_ms
            at_ms += rng.expovariate(span_rate) * MS_PER_SECOND


def _rate_factor_at(at_ms: float, bursts: tuple[Burst, ...]) -> float:
    factors = [burst.factor for burst in bursts if 0 <= at_ms - burst.start_ms < burst.length_ms]
    return math.prod(factors)


@functools.cache
def _cumulative_weights(widths: Widths) -> list[float]:
    weights = (width**-widths.exponent for width in range(widths.min_width, widths.max_width + 1))
    return list(itertools.accumulate(weights))


def _draw_log_uniform(rng: random.Random, least: float, most: float) -> float:
    return least * (most / least) ** rng.random()
