"""What the progress of runs says: which stand still, and which take far too long.

Plain functions. Answered load patterns: minions that hang, minions that turn slow.
"""

from collections.abc import Iterable

from geraniumspool.run_messages import Straggler
from geraniumspool.run_table import Run, RunState

# A run counts as a straggler at twice its expected time and this much more.
STRAGGLER_FACTOR = 1.8
STRAGGLER_MARGIN_MS = 100.0
# Work of a run whose share does not grow for this long, or a third of its expected time,
# stands still; shares are told in whole per cent.
STALLED_MS = 600.0
STALLED_FACTOR = 0.3
MIN_SHARE = 0.02


def predict_total(run: Run, now: float) -> float:
    """Return how long a run is going to take in all, in ms."""
    return run.age_ms(now) / max(MIN_SHARE, run.share)


def is_stalled(run: Run, pace: float, now: float) -> bool:
    """Return whether a run has not gone on for longer than looks and shares explain.

    :param pace: actual by expected run times of its minion
    """
    if run.state is not RunState.RUNNING or run.share >= 1.0:
        return False
    return now - run.moved_ms > max(STALLED_MS, STALLED_FACTOR * run.order.expected_ms * pace)


def find_stragglers(runs: Iterable[Run], now: float) -> tuple[Straggler, ...]:
    """Return the runs that are going to take far longer than expected."""
    late = []
    for run in runs:
        if run.state is not RunState.RUNNING or run.age_ms(now) < run.order.expected_ms / 2:
            continue
        total = predict_total(run, now)
        if total > STRAGGLER_FACTOR * run.order.expected_ms + STRAGGLER_MARGIN_MS:
            late.append(Straggler(run.order.number, round(total - run.age_ms(now), 1)))
    return tuple(late)
