"""Decides in which order jobs are served, which are refused, and when callers return.

Plain functions on numbers. Answered load patterns: a burst over capacity, in
which what is admitted late would ruin what can still be in time; one kind of
job that crowds out others; the return of callers after an outage.
"""

import math
import random
from typing import NamedTuple

# A job that takes up to this many objectives still is of some use to its caller.
LATE_FACTOR = 3.0
# Estimates of run times are off by some tens of per cent: a job that has not begun counts as
# late once less than this share of its objective is to spare, so that those behind it can
# still be in time.
START_MARGIN = 0.1
# Of long jobs it would be so much that they never became the most urgent.
MAX_START_MARGIN_MS = 40.0
# What is left by more urgent arrivals is not taken to be less than this share of all room.
MIN_SPARE = 0.02
# Services are sized for their usual load: at least this share is left for what is late.
MIN_LATE_SPARE = 0.25
# Predicted waits are off by about a fifth of the objective, and are too short by somewhat
# less, since jobs that come later overtake: the logistic curve of the chance to be in time.
CHANCE_SPREAD = 0.12
CHANCE_SHIFT = 0.15
LARGEST_EXPONENT = 50.0
# A job of which this share is done is finished while its caller waits, however late: little
# more work makes an answer of it.
FINISH_SHARE = 0.5
# Learning of waits: about the last thirty jobs that had to wait; one tells no more than that
# it waited for four times as long. Shorter waits are those of messages.
WAIT_WEIGHT = 0.03
WAIT_PRIOR_MS = 100.0
MAX_WAIT_FACTOR = 4.0
SHORTEST_WAIT_MS = 10.0
MIN_RETRY_MS = 200.0
# Nothing is known of a load so far ahead: a caller who waits longer misses what gets free.
MAX_RETRY_MS = 10_000.0
# Callers that are refused together come back spread over as long again as they wait.
RETRY_SPREAD = 1.0


class Timing(NamedTuple):
    """Points in time of one job, in ms of the dispatcher's clock.

    :param arrived_ms: when its caller's request was read
    :param objective_ms: time after arrival within which it is in time
    :param limit_ms: time after arrival at which its caller goes away
    """

    arrived_ms: float
    objective_ms: float
    limit_ms: float

    def latest_start(self, left_ms: float) -> float:
        """Return when a chain of ``left_ms`` has to start to be in time."""
        return self.arrived_ms + self.objective_ms - left_ms

    def last_use(self, left_ms: float) -> float:
        """Return when a chain of ``left_ms`` has to start to be of any use."""
        useful = min(LATE_FACTOR * self.objective_ms, self.limit_ms)
        return self.arrived_ms + useful - left_ms


class Rank(NamedTuple):
    """Place of a job in the order of service; the least is served first.

    :param is_past_use: whether its caller has no use of it any more
    :param is_new: whether none of its tasks has started
    :param level: urgency of its queue's priority, 0 the most urgent
    :param lateness: one of the constants below
    """

    is_past_use: bool
    is_new: bool
    level: int
    lateness: int
    latest_start_ms: float


IN_TIME = 0
LATE = 1
# No use to its caller by the objective, but it has begun: what is ready is still delivered.
TOO_LATE = 2


def rank(
    timing: Timing,
    left_ms: float,
    now: float,
    has_started: bool,
    level: int = 0,
    done_share: float = 0.0,
) -> Rank:
    """Return a job's place: begun ones first, then by priority, late ones last in each.

    Among equals the one that has to start first goes first. The rest of a begun job counts
    as in time while it is of use: what it has had is lost if the rest does not follow. The
    least urgent queue bears what is too much, as far as its callers can wait.

    :param left_ms: expected time of what is left of its longest chain
    :param has_started: whether some of its tasks have started
    :param level: urgency of its queue's priority, 0 the most urgent
    :param done_share: share of its tasks that are done
    """
    latest = timing.latest_start(left_ms)
    lateness = _find_lateness(timing, left_ms, now, has_started)
    is_past_use = lateness == TOO_LATE and done_share < FINISH_SHARE
    return Rank(is_past_use, not has_started, level, lateness, latest)


def _find_lateness(timing: Timing, left_ms: float, now: float, has_started: bool) -> int:
    if now > timing.last_use(left_ms):
        return TOO_LATE
    if has_started:
        return IN_TIME
    margin = min(MAX_START_MARGIN_MS, START_MARGIN * timing.objective_ms)
    return IN_TIME if now <= timing.latest_start(left_ms) - margin else LATE


def allowed_end(timing: Timing, lateness: int, has_started: bool = False) -> float:
    """Return the time after arrival at which a run of a job has to end to be of use.

    A begun job is not held back for being late: its last tasks used to wait with room free.
    """
    if lateness == TOO_LATE:
        return timing.limit_ms
    factor = LATE_FACTOR if has_started or lateness == LATE else 1.0
    return min(factor * timing.objective_ms, timing.limit_ms)


class Outlook(NamedTuple):
    """What a waiting job has before it. Work is in thousandths of a core times ms.

    :param is_free: whether room for all of it is free now and nothing is served before it
    :param ahead: work that is served before it while it can be in time
    :param late_ahead: work that is served before it once it is late
    :param spare: room that more urgent arrivals leave, in thousandths of a core
    :param late_spare: room that all arrivals leave that are served before late jobs
    :param opening_ms: time until room for its own tasks has become free
    :param factor: actual by predicted waits, as learnt
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
        """Return the predicted time until all of it has started, as a job in time."""
        if self.is_free:
            return 0.0
        return self.factor * (_divide(self.ahead, self.spare) + self.opening_ms)

    @property
    def late_wait_ms(self) -> float:
        """Return the predicted time until all of it has started, as a late job."""
        if self.is_free:
            return 0.0
        return self.factor * (_divide(self.late_ahead, self.late_spare) + self.opening_ms)


class Chances(NamedTuple):
    """How likely a job is to be in time, and to be of use at all."""

    in_time: float
    of_use: float


class WaitLearner:
    """Learns how much longer jobs wait than was predicted, from those that have begun."""

    def __init__(self):
        """Trust predictions."""
        self._predicted_ms = WAIT_PRIOR_MS
        self._actual_ms = WAIT_PRIOR_MS

    @property
    def factor(self) -> float:
        """Return actual by predicted waits of the last jobs."""
        return self._actual_ms / self._predicted_ms

    def note(self, predicted_ms: float, actual_ms: float) -> None:
        """Take how long a job has waited until all of it had started, or was given up."""
        if max(predicted_ms, actual_ms) < SHORTEST_WAIT_MS:
            return
        predicted_ms = max(predicted_ms, actual_ms / MAX_WAIT_FACTOR)
        actual_ms = max(actual_ms, predicted_ms / MAX_WAIT_FACTOR)
        self._predicted_ms += WAIT_WEIGHT * (predicted_ms - self._predicted_ms)
        self._actual_ms += WAIT_WEIGHT * (actual_ms - self._actual_ms)


def predict_chances(timing: Timing, left_ms: float, outlook: Outlook, now: float) -> Chances:
    """Return the chances of a job that waits."""
    in_time = predict_chance(timing, timing.latest_start(left_ms) - now, outlook.wait_ms)
    late = predict_chance(timing, timing.last_use(left_ms) - now, outlook.late_wait_ms)
    return Chances(in_time, in_time + (1 - in_time) * late)


def predict_chance(timing: Timing, slack_ms: float, wait_ms: float) -> float:
    """Return the chance that a wait is over within some slack."""
    if math.isinf(wait_ms):
        return 0.0
    spare = (slack_ms - wait_ms) / timing.objective_ms - CHANCE_SHIFT
    exponent = max(-LARGEST_EXPONENT, min(LARGEST_EXPONENT, -spare / CHANCE_SPREAD))
    return 1 / (1 + math.exp(exponent))


def _divide(work: float, room: float) -> float:
    if work <= 0:
        return 0.0
    return work / room if room > 0 else math.inf


def choose_retry(wait_ms: float) -> float:
    """Return when a refused caller should come back, in ms, spread at random."""
    base = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
    return base * (1 + RETRY_SPREAD * random.random())
