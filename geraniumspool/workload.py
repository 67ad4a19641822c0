"""Model of the jobs that a load is made of: widths, run times, arrivals.

All draws come from a seeded generator, so a load can be repeated exactly.
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
    """One task to send.

    :param run_ms: how long the minion is to run it
    :param declared_ms: run time that its caller declares, or 0 for none
    :param size: declared size, in the service's own unit
    """

    run_ms: float
    declared_ms: float = 0.0
    size: float = 1.0


class JobPlan(NamedTuple):
    """One job to send.

    :param deadline_ms: time in which its answer is of use
    """

    tasks: tuple[TaskPlan, ...]
    team: str
    deadline_ms: float = DEFAULT_DEADLINE_MS

    @property
    def work_ms(self) -> float:
        """Slot time that the job takes."""
        return sum(task.run_ms for task in self.tasks)

    @property
    def is_narrow(self) -> bool:
        """Whether it has few tasks, at most ``NARROW_TASKS``."""
        return len(self.tasks) <= NARROW_TASKS

    @property
    def is_wide(self) -> bool:
        """Whether it has many tasks, at least ``WIDE_TASKS``."""
        return len(self.tasks) >= WIDE_TASKS


class Mix(Protocol):
    """What jobs a load is made of."""

    @property
    def mean_work_ms(self) -> float:
        """Mean slot time of a job."""

    def draw(self, source: random.Random, team: str) -> JobPlan:
        """Return the next job."""


class Widths(NamedTuple):
    """Distribution of the number of tasks of a job.

    A job of ``w`` tasks has a chance in proportion to ``w ** -exponent``:
    0 is uniform, 1 is log-uniform.

    :param least: fewest tasks
    :param most: most tasks
    """

    least: int
    most: int
    exponent: float = 0.0

    @property
    def mean(self) -> float:
        """Mean number of tasks."""
        weights = [width**-self.exponent for width in self._range()]
        total = sum(width * weight for width, weight in zip(self._range(), weights, strict=True))
        return total / sum(weights)

    def draw(self, source: random.Random) -> int:
        """Return a number of tasks."""
        return source.choices(self._range(), cum_weights=_accumulate(self))[0]

    def _range(self) -> range:
        return range(self.least, self.most + 1)


class RunTimes(NamedTuple):
    """Distribution of run times: log-uniform, with a uniform tail.

    :param least_ms: shortest run time outside the tail
    :param most_ms: longest run time outside the tail
    :param tail_share: share of tasks in the tail
    :param tail_least_ms: shortest run time in the tail
    :param tail_most_ms: longest run time in the tail
    """

    least_ms: float
    most_ms: float
    tail_share: float = 0.0
    tail_least_ms: float = 0.0
    tail_most_ms: float = 0.0

    @property
    def mean_ms(self) -> float:
        """Mean run time."""
        body = self.least_ms
        if self.most_ms > self.least_ms:
            body = (self.most_ms - self.least_ms) / math.log(self.most_ms / self.least_ms)
        tail = (self.tail_least_ms + self.tail_most_ms) / 2
        return (1 - self.tail_share) * body + self.tail_share * tail

    def draw(self, source: random.Random) -> float:
        """Return a run time in milliseconds."""
        if source.random() < self.tail_share:
            return source.uniform(self.tail_least_ms, self.tail_most_ms)
        return _draw_log_uniform(source, self.least_ms, self.most_ms)


class Spread(NamedTuple):
    """A log-normal distribution that is cut off.

    :param mean: mean before the cut
    :param sigma: standard deviation of the logarithm
    :param most: largest value
    """

    mean: float
    sigma: float
    most: float

    def draw(self, source: random.Random) -> float:
        """Return a value."""
        centre = math.log(self.mean) - self.sigma**2 / 2
        return min(self.most, source.lognormvariate(centre, self.sigma))


class SizedJob(NamedTuple):
    """One job of equal tasks that each take room.

    :param count: number of tasks
    :param cpu: room of a task in thousandths of a core
    :param declared_ms: run time that its caller declares
    """

    queue: str
    count: int
    cpu: int
    run_ms: float
    declared_ms: float

    @property
    def work(self) -> float:
        """Room times run time of all tasks, in core-seconds."""
        return self.count * self.cpu * self.run_ms / MS_PER_SECOND**2


class QueueMix(NamedTuple):
    """The jobs of one queue.

    :param priority: urgency of the queue, 0 is the most urgent
    :param share: share of all jobs
    :param widths: number of tasks
    :param cpu: room of a task in thousandths of a core
    :param declared_off: sigma of the error of declared run times
    """

    queue: str
    priority: int
    share: float
    widths: Spread
    run_ms: Spread
    cpu: Spread
    declared_off: float

    def draw(self, source: random.Random) -> SizedJob:
        """Return the next job."""
        run_ms = round(self.run_ms.draw(source), 1)
        off = Spread(1.0, self.declared_off, MAX_DECLARED_FACTOR).draw(source)
        return SizedJob(
            self.queue,
            max(1, round(self.widths.draw(source))),
            round(self.cpu.draw(source)),
            run_ms,
            round(run_ms * off, 1),
        )


class RandomMix(NamedTuple):
    """Jobs whose width and run times are drawn independently.

    :param declared: how true the declared run times are: ``DECLARED_EXACT``,
        ``DECLARED_WRONG`` (off by up to ten times either way) or ``DECLARED_NONE``
    :param deadline_ms: deadline of every job
    """

    widths: Widths
    run_times: RunTimes
    declared: str = DECLARED_WRONG
    deadline_ms: float = DEFAULT_DEADLINE_MS

    @property
    def mean_work_ms(self) -> float:
        """Mean slot time of a job."""
        return self.widths.mean * self.run_times.mean_ms

    def draw(self, source: random.Random, team: str) -> JobPlan:
        """Return the next job."""
        width = self.widths.draw(source)
        tasks = tuple(self._draw_task(source) for _ in range(width))
        return JobPlan(tasks, team, self.deadline_ms)

    def _draw_task(self, source: random.Random) -> TaskPlan:
        run_ms = round(self.run_times.draw(source), 1)
        if self.declared == DECLARED_NONE:
            return TaskPlan(run_ms)
        if self.declared == DECLARED_EXACT:
            return TaskPlan(run_ms, run_ms)
        factor = _draw_log_uniform(source, 1 / MAX_DECLARED_FACTOR, MAX_DECLARED_FACTOR)
        return TaskPlan(run_ms, round(run_ms * factor, 1))


BRIEF_TIMES = RunTimes(50, 1_000, 0.03, 2_000, 5_000)

# Log-uniform widths alone would put 70 % of the work into jobs of 100 tasks or more.
# The exponent of 1.5 weights them by the inverse square root of the width besides:
# about half of the work is then in such jobs, and about half of all jobs are narrow.
BRIEF_WIDTHS = Widths(1, MAX_TASKS, 1.5)

MIXES: dict[str, RandomMix] = {
    "light": RandomMix(Widths(1, 1), RunTimes(50, 50), DECLARED_EXACT),
    "brief": RandomMix(BRIEF_WIDTHS, BRIEF_TIMES),
    "narrow": RandomMix(Widths(1, NARROW_TASKS), BRIEF_TIMES),
    "wide": RandomMix(Widths(WIDE_TASKS, MAX_TASKS), BRIEF_TIMES),
}


class Burst(NamedTuple):
    """A while in which jobs arrive faster.

    :param start_ms: begin, counted from the load's begin
    :param length_ms: how long
    :param factor: factor on the rate
    """

    start_ms: float
    length_ms: float
    factor: float = BURST_FACTOR


def ideal_ms(plan: JobPlan, slots: int, trip_ms: float = 0.0) -> float:
    """Return the response time of a job that has all slots to itself.

    :param slots: slots of the whole system
    :param trip_ms: one way between client and system
    """
    longest = max(task.run_ms for task in plan.tasks)
    return max(longest, plan.work_ms / slots) + 2 * trip_ms


def rate_for_share(mix: Mix, share: float, slots: int) -> float:
    """Return the jobs a second that offer a share of the slots' time.

    :param share: 1.0 offers just as much work as all slots can do
    """
    return share * slots * MS_PER_SECOND / mix.mean_work_ms


def draw_arrivals(
    rate: float, length_ms: float, source: random.Random, bursts: tuple[Burst, ...] = ()
) -> Iterator[float]:
    """Yield the times of Poisson arrivals in milliseconds, in order.

    :param rate: arrivals a second outside bursts
    :param length_ms: when to end
    :param bursts: when to be faster; the factors of overlapping ones multiply
    """
    edges = {0.0, length_ms}
    for burst in bursts:
        edges.add(min(length_ms, burst.start_ms))
        edges.add(min(length_ms, burst.start_ms + burst.length_ms))
    # The exponential distribution has no memory, so each span may start afresh.
    for begin, end in itertools.pairwise(sorted(edges)):
        span_rate = rate * _factor_at(begin, bursts)
        at_ms = begin + source.expovariate(span_rate) * MS_PER_SECOND
        while at_ms < end:
            yield at_ms
            at_ms += source.expovariate(span_rate) * MS_PER_SECOND


def _factor_at(at_ms: float, bursts: tuple[Burst, ...]) -> float:
    factors = [burst.factor for burst in bursts if 0 <= at_ms - burst.start_ms < burst.length_ms]
    return math.prod(factors)


@functools.cache
def _accumulate(widths: Widths) -> list[float]:
    weights = (width**-widths.exponent for width in range(widths.least, widths.most + 1))
    return list(itertools.accumulate(weights))


def _draw_log_uniform(source: random.Random, least: float, most: float) -> float:
    return least * (most / least) ** source.random()
