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
# Estimates of run times are off by some tens of per cent: a job that has started is
# kept among those in time until it is this share of its objective late. With half of the
# objective 0.66 of all room goes to jobs in time at 1.8 times the load that fills it, with
# this share 0.71.
STARTED_TOLERANCE = 0.15
# Predicted waits are rough: a job is refused only if it would be late by this share of
# its objective.
ADMIT_TOLERANCE = 0.1
# Of tasks that wait elsewhere, half are taken to be more urgent where nothing tells.
UNKNOWN_AHEAD = 0.5
# Predicted waits are off by about a fifth of the objective, and are too short by somewhat
# less, since jobs that come later overtake: the logistic curve of the chance to be in time.
CHANCE_SPREAD = 0.12
CHANCE_SHIFT = 0.15
LARGEST_EXPONENT = 50.0
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

    :param lateness: one of the constants below
    :param is_new: whether none of its tasks has started
    """

    lateness: int
    is_new: bool
    latest_start_ms: float


IN_TIME = 0
LATE = 1
# No use to its caller by the objective, but it has begun: what is ready is still delivered.
TOO_LATE = 2


def rank(timing: Timing, left_ms: float, now: float, has_started: bool) -> Rank:
    """Return a job's place: late ones last, then begun ones first, then by the latest start.

    The rest of a begun job goes first: with all admissions the same, at 1.8 times the load
    that fills all workers, 0.80 of their time goes to jobs in time, and 0.75 without it.

    :param left_ms: expected time of what is left of its longest chain
    :param has_started: whether some of its tasks have started, so that work is lost
        where the rest does not follow
    """
    latest = timing.latest_start(left_ms)
    tolerance = STARTED_TOLERANCE * timing.objective_ms if has_started else 0.0
    if now <= latest + tolerance:
        return Rank(IN_TIME, not has_started, latest)
    lateness = LATE if now <= timing.last_use(left_ms) else TOO_LATE
    return Rank(lateness, not has_started, latest)


def allowed_end(timing: Timing, lateness: int, has_started: bool = False) -> float:
    """Return the time after arrival at which a run of a job has to end to be of use.

    A begun job is not held back for being somewhat late: its last tasks used to wait for
    up to half of the objective with room free.
    """
    if lateness == TOO_LATE:
        return timing.limit_ms
    factor = 1.0 + (STARTED_TOLERANCE if has_started else 0.0)
    if lateness == LATE:
        factor = LATE_FACTOR
    return min(factor * timing.objective_ms, timing.limit_ms)


class Demand(NamedTuple):
    """Room in thousandths of a core, as a dispatcher sees it.

    :param ahead: room that tasks served before the job wait for here
    :param waiting_here: room that all tasks waiting here need
    :param waiting_all: the same at all dispatchers, as workers tell
    :param free: room that is free now at all usable workers
    :param freeing: room that becomes free in a ms, by how long running tasks take
    """

    ahead: float
    waiting_here: float
    waiting_all: float
    free: float
    freeing: float


def predict_wait(demand: Demand, need: float) -> float:
    """Return the time in ms until a job of room ``need`` can have started.

    The other dispatchers' queues are taken to be like this one's.
    """
    share = demand.ahead / demand.waiting_here if demand.waiting_here else UNKNOWN_AHEAD
    others = max(0.0, demand.waiting_all - demand.waiting_here) * share
    short = demand.ahead + others + need - demand.free
    if short <= 0:
        return 0.0
    return short / demand.freeing if demand.freeing > 0 else math.inf


def is_hopeless(timing: Timing, left_ms: float, wait_ms: float, now: float) -> bool:
    """Return whether a job that waits ``wait_ms`` more would be late for certain."""
    tolerance = ADMIT_TOLERANCE * timing.objective_ms
    return now + wait_ms > timing.latest_start(left_ms) + tolerance


def predict_chance(timing: Timing, left_ms: float, wait_ms: float, now: float) -> float:
    """Return the chance that a job is in time if the rest of it starts after ``wait_ms``."""
    spare_ms = timing.latest_start(left_ms) - now - wait_ms
    spare = spare_ms / timing.objective_ms - CHANCE_SHIFT
    exponent = max(-LARGEST_EXPONENT, min(LARGEST_EXPONENT, -spare / CHANCE_SPREAD))
    return 1 / (1 + math.exp(exponent))


def choose_retry(wait_ms: float) -> float:
    """Return when a refused caller should come back, in ms, spread at random."""
    base = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
    return base * (1 + RETRY_SPREAD * random.random())
