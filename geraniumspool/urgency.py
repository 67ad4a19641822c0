"""Rank jobs by urgency, predict whether they meet their deadline, and choose retry delays.

Pure functions on numbers. They handle bursts over capacity, in which late jobs would delay
jobs that can still be in time; one kind of job that crowds out others; and the return of
many callers after an outage.
"""

import math
import random
from typing import NamedTuple

# The result of a job is still useful to its caller up to this multiple of the latency
# objective.
LATE_FACTOR = 3.0
# Run time estimates are off by some tens of per cent. A job that hasn't started counts as late
# once its slack falls below this share of its objective, so that the jobs behind it can still
# be in time.
START_MARGIN = 0.1
# Cap of that margin: for long jobs the share alone would be so large that they never became the
# most urgent.
MAX_START_MARGIN_MS = 40.0
# Lower bound of the capacity that more urgent arrivals are assumed to leave, as a share of the
# total capacity.
MIN_SPARE = 0.02
# Lower bound for late jobs: services are sized for their usual load, which leaves at least this
# share of the total capacity.
MIN_LATE_SPARE = 0.25
# Width and offset, in latency objectives, of the logistic curve that gives the probability of
# being in time. Predicted waits are off by about a fifth of the objective, and are too short
# by somewhat less because jobs that arrive later overtake.
PROBABILITY_WIDTH = 0.12
PROBABILITY_OFFSET = 0.15
LARGEST_EXPONENT = 50.0
# A job with at least this share of its tasks done isn't moved to the end of the order, however
# late it is, while its caller waits: little more work completes it.
FINISH_COMPLETED_SHARE = 0.5
# The moving averages of predicted and actual waits cover about the last thirty jobs that had to
# wait. A single job counts for at most a fourfold deviation in either direction. Waits shorter
# than SHORTEST_WAIT_MS are network latency and are ignored.
WAIT_WEIGHT = 0.03
INITIAL_WAIT_MS = 100.0
MAX_WAIT_FACTOR = 4.0
SHORTEST_WAIT_MS = 10.0
MIN_RETRY_MS = 200.0
# The load can't be predicted further ahead: callers that wait longer would miss capacity that
# becomes free.
MAX_RETRY_MS = 10_000.0
# Random share added to retry delays: callers refused together come back spread over an interval
# as long as the delay.
RETRY_SPREAD = 1.0


class Timing(NamedTuple):
    """Arrival time, latency objective and timeout of a job.

    :param arrived_ms: clock time in ms at which the caller's request was read
    :param objective_ms: latency objective in ms, counted from the arrival
    :param timeout_ms: timeout in ms, counted from the arrival, after which the caller is gone
    """

    arrived_ms: float
    objective_ms: float
    timeout_ms: float

    def latest_start(self, remaining_run_ms: float) -> float:
        """Return the latest clock time at which a job can start and still be in time.

        :param remaining_run_ms: expected time of its longest remaining chain of steps
        """
        return self.arrived_ms + self.objective_ms - remaining_run_ms

    def latest_useful_start(self, remaining_run_ms: float) -> float:
        """Return the latest clock time at which a job can start and still be useful.

        :param remaining_run_ms: expected time of its longest remaining chain of steps
        """
        useful_ms = min(LATE_FACTOR * self.objective_ms, self.timeout_ms)
        return self.arrived_ms + useful_ms - remaining_run_ms


class Rank(NamedTuple):
    """Sort key for the order of service; the least is served first.

    :param is_useless: whether the job's result is no longer useful to the caller
    :param is_new: whether none of its tasks has started
    :param level: priority level of its queue; 0 is the most urgent
    :param lateness: :data:`IN_TIME`, :data:`LATE` or :data:`TOO_LATE`
    :param latest_start_ms: latest clock time at which it can start and still be in time
    """

    is_useless: bool
    is_new: bool
    level: int
    lateness: int
    latest_start_ms: float


# Lateness of a job: whether it can still meet its latency objective, and if not, whether its
# result will still be useful.
IN_TIME = 0
LATE = 1
# The result is no longer useful by the latency objective. A started job is still finished and
# its result delivered.
TOO_LATE = 2


def rank(
    timing: Timing,
    remaining_run_ms: float,
    now: float,
    has_started: bool,
    level: int = 0,
    completed_share: float = 0.0,
) -> Rank:
    """Rank started jobs first, then by priority, and late jobs last within a priority.

    Among equals, the job with the earliest latest start goes first. A started job counts as in
    time as long as its result is useful: the work done so far is lost unless the rest follows.
    Under overload the least urgent queue waits, as long as its callers' timeouts allow.

    :param remaining_run_ms: expected time of its longest remaining chain of steps
    :param now: clock time in ms
    :param has_started: whether some of its tasks have started
    :param level: priority level of its queue; 0 is the most urgent
    :param completed_share: fraction of its tasks that have succeeded
    """
    latest_start_ms = timing.latest_start(remaining_run_ms)
    lateness = _find_lateness(timing, remaining_run_ms, now, has_started)
    is_useless = lateness == TOO_LATE and completed_share < FINISH_COMPLETED_SHARE
    return Rank(is_useless, not has_started, level, lateness, latest_start_ms)


def _find_lateness(timing: Timing, left_ms: float, now: float, has_started: bool) -> int:
    if now > timing.latest_useful_start(left_ms):
        return TOO_LATE
    if has_started:
        return IN_TIME
    margin = min(MAX_START_MARGIN_MS, START_MARGIN * timing.objective_ms)
    return IN_TIME if now <= timing.latest_start(left_ms) - margin else LATE


def allowed_end_ms(timing: Timing, lateness: int, has_started: bool = False) -> float:
    """Return the time in ms after a job's arrival by which its runs have to end to be useful.

    A started job gets the longer limit of a late one: otherwise its last tasks would wait
    although workers have free capacity.
    """
    if lateness == TOO_LATE:
        return timing.timeout_ms
    factor = LATE_FACTOR if has_started or lateness == LATE else 1.0
    return min(factor * timing.objective_ms, timing.timeout_ms)


class Outlook(NamedTuple):
    """Predicted queueing conditions of a job.

    Work is in thousandths of a core times ms, capacity in thousandths of a core.

    :param is_free: whether all its tasks can start now and no queued job is served before it
    :param ahead: work that is served before the job while it can be in time
    :param late_ahead: work that is served before the job once it is late
    :param spare: capacity left by more urgent arrivals
    :param late_spare: capacity left by all arrivals that are served before late jobs
    :param opening_ms: time until enough capacity for the job's own tasks becomes free
    :param factor: learnt ratio of actual to predicted waits
    """

    is_free: bool
    ahead: float
    late_ahead: float
    spare: float
    late_spare: float
    opening_ms: float
    factor: float = 1.0

    @property
    def wait_ms(self) -> float:
        """Return the predicted time in ms until all its tasks have started, if in time."""
        if self.is_free:
            return 0.0
        return self.factor * (_divide(self.ahead, self.spare) + self.opening_ms)

    @property
    def late_wait_ms(self) -> float:
        """Return the predicted time in ms until all its tasks have started, if late."""
        if self.is_free:
            return 0.0
        return self.factor * (_divide(self.late_ahead, self.late_spare) + self.opening_ms)


class Probabilities(NamedTuple):
    """Probabilities that a job is in time, and that its result is useful, in time or late."""

    in_time: float
    useful: float


class WaitLearner:
    """Moving average of the ratio of actual to predicted waits of jobs."""

    def __init__(self):
        """Start with a ratio of 1."""
        self._predicted_ms = INITIAL_WAIT_MS
        self._actual_ms = INITIAL_WAIT_MS

    @property
    def factor(self) -> float:
        """Return the ratio of actual to predicted waits of the last jobs."""
        return self._actual_ms / self._predicted_ms

    def note(self, predicted_ms: float, actual_ms: float) -> None:
        """Record the wait of a job until all its tasks were started or it was shed."""
        if max(predicted_ms, actual_ms) < SHORTEST_WAIT_MS:
            return
        predicted_ms = max(predicted_ms, actual_ms / MAX_WAIT_FACTOR)
        actual_ms = max(actual_ms, predicted_ms / MAX_WAIT_FACTOR)
        self._predicted_ms += WAIT_WEIGHT * (predicted_ms - self._predicted_ms)
        self._actual_ms += WAIT_WEIGHT * (actual_ms - self._actual_ms)


def predict_probabilities(
    timing: Timing, remaining_run_ms: float, outlook: Outlook, now: float
) -> Probabilities:
    """Return the probabilities that a queued job is in time and that its result is useful."""
    in_time = predict_probability(
        timing, timing.latest_start(remaining_run_ms) - now, outlook.wait_ms
    )
    late = predict_probability(
        timing, timing.latest_useful_start(remaining_run_ms) - now, outlook.late_wait_ms
    )
    return Probabilities(in_time, in_time + (1 - in_time) * late)


def predict_probability(timing: Timing, slack_ms: float, wait_ms: float) -> float:
    """Return the probability that a wait ends within the available slack."""
    if math.isinf(wait_ms):
        return 0.0
    margin = (slack_ms - wait_ms) / timing.objective_ms - PROBABILITY_OFFSET
    exponent = max(-LARGEST_EXPONENT, min(LARGEST_EXPONENT, -margin / PROBABILITY_WIDTH))
    return 1 / (1 + math.exp(exponent))


def _divide(work: float, capacity: float) -> float:
    if work <= 0:
        return 0.0
    return work / capacity if capacity > 0 else math.inf


def choose_retry_delay(wait_ms: float) -> float:
    """Return the retry delay for a refused caller in ms, with random jitter.

    :param wait_ms: predicted wait
    """
    base_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
    return base_ms * (1 + RETRY_SPREAD * random.random())
