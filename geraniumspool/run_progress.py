"""Detect stalled runs and stragglers from the progress of runs.

All functions are pure. They cover two faults of a minion: runs that hang, and runs that have become
far slower than expected.
"""

from collections.abc import Iterable

from geraniumspool.run_messages import Straggler
from geraniumspool.run_table import Run, RunState

# A run is a straggler if its predicted duration exceeds this multiple of its expected duration plus
# the margin.
STRAGGLER_FACTOR = 1.8
STRAGGLER_MARGIN_MS = 100.0
# A run is stalled if its progress has not increased for this time, or for this fraction of its
# expected duration, scaled by the minion's pace, if that is longer. Progress is reported in whole
# per cent.
STALLED_MS = 600.0
STALLED_FACTOR = 0.3
MIN_SHARE = 0.02


def predict_total(run: Run, now: float) -> float:
    """Return the predicted total duration of a run in milliseconds."""
    return run.age_ms(now) / max(MIN_SHARE, run.progress)


def is_stalled(run: Run, pace: float, now: float) -> bool:
    """Return whether a run has made no progress for too long.

    The limit allows for the poll interval and for the resolution of the reported progress.

    :param pace: ratio of actual to expected run times on its minion
    :param now: current time in milliseconds
    """
    if run.state is not RunState.RUNNING or run.progress >= 1.0:
        return False
    return now - run.progressed_ms > max(STALLED_MS, STALLED_FACTOR * run.order.expected_ms * pace)


def find_stragglers(runs: Iterable[Run], now: float) -> tuple[Straggler, ...]:
    """Return the runs whose predicted duration far exceeds the expected one."""
    stragglers = []
    for run in runs:
        if run.state is not RunState.RUNNING or run.age_ms(now) < run.order.expected_ms / 2:
            continue
        total = predict_total(run, now)
        if total > STRAGGLER_FACTOR * run.order.expected_ms + STRAGGLER_MARGIN_MS:
            stragglers.append(Straggler(run.order.number, round(total - run.age_ms(now), 1)))
    return tuple(stragglers)
