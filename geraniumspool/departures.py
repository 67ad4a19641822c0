"""Decide which runs have to leave a worker whose minion is about to shut down.

Pure functions. They handle a minion that drains with less notice than its runs need: its exit would
interrupt them, and their tasks would start again only after that.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

# Time by which a run has to end before its worker departs. Covers the transit of the report, the
# delay between order and start, and the poll by which the executor learns of the end.
DEPARTURE_MARGIN_MS = 30.0
# A run that has exceeded its predicted time, and that the executor does not list as a straggler, is
# predicted to need this share of that time in addition. Executors list a run from 1.8 times its
# expected time, so that on average about half of the difference is left.
OVERDUE_SHARE = 0.4


class ActiveRun(NamedTuple):
    """A run on a worker that departs.

    :param number: run number
    :param age_ms: time since it was sent
    :param run_ms: run time that was predicted when it was placed
    :param known_left_ms: remaining time that the executor predicts by the progress of a straggler,
        or that follows from the tail of its queue's run times; None if neither is known
    """

    number: int
    age_ms: float
    run_ms: float
    known_left_ms: float | None = None


class RunMove(NamedTuple):
    """A run that is to be stopped, with the predicted time that it would still take in ms."""

    run: ActiveRun
    left_ms: float


def find_departure(departure_ms: float, now: float) -> float:
    """Return the clock time in ms at which a worker departs, infinite if it is not known.

    :param departure_ms: reported time until the departure, negative or not a number if unknown
    :param now: clock time in ms from which ``departure_ms`` counts
    """
    return now + departure_ms if departure_ms >= 0 else math.inf


def predict_remaining(run: ActiveRun) -> float:
    """Return the predicted time in ms until a run ends."""
    if run.known_left_ms is not None:
        return run.known_left_ms
    if run.age_ms >= run.run_ms:
        return OVERDUE_SHARE * run.run_ms
    return run.run_ms - run.age_ms


def find_runs_to_move(runs: Iterable[ActiveRun], time_left_ms: float) -> list[RunMove]:
    """Return the runs that are not predicted to end before the departure.

    :param time_left_ms: least time until the worker departs
    """
    moves = (RunMove(run, predict_remaining(run)) for run in runs)
    limit_ms = time_left_ms - DEPARTURE_MARGIN_MS
    return [move for move in moves if move.left_ms > limit_ms]
