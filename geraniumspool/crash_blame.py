"""Identify the tasks that crash the minions that run them.

Counts crashes per task, without input or output. Handles the case that one task in five
hundred crashes its minion, which also ends the runs of other jobs there. Tells such tasks
from minions that crash for another reason, whose tasks then complete on other workers.
"""

import math
from collections import OrderedDict
from collections.abc import Collection

# Number of crashes after which a task is blamed: two if it was the only suspect on the minion
# that crashed, three if other suspects ran there too.
MAX_CRASHES_AS_ONLY_SUSPECT = 2
MAX_CRASHES_AMONG_SUSPECTS = 3
# If minions without suspect tasks crash within this time of each other, the likely cause is a
# failed rack or its power supply. Each crash is noticed within some ms.
SIMULTANEOUS_MS = 30.0
# Suspects are remembered after their jobs end because callers resubmit these. About this many
# tasks run on sixty workers.
MAX_SUSPECTS = 1_024


class CrashBlame:
    """Count the minion crashes that each task was involved in since it last completed."""

    def __init__(self):
        """Start without suspects."""
        self._crashes: OrderedDict[str, int] = OrderedDict()
        self._last_ms = -math.inf
        self._last_tasks: tuple[str, ...] = ()

    def is_suspect(self, task: str) -> bool:
        """Return whether a minion crashed while running a task that hasn't completed since."""
        return task in self._crashes

    def count(self, task: str) -> int:
        """Return the number of minion crashes counted against a task."""
        return self._crashes.get(task, 0)

    def record_crash(self, tasks: Collection[str], now: float) -> set[str]:
        """Record the crash of a minion; return the tasks that are to blame.

        :param tasks: names of the tasks that were running on the minion
        :param now: clock time in ms
        """
        suspects = [task for task in tasks if self.is_suspect(task)]
        if not suspects and self._is_simultaneous(tasks, now):
            return set()
        limit = MAX_CRASHES_AS_ONLY_SUSPECT if len(suspects) == 1 else MAX_CRASHES_AMONG_SUSPECTS
        for task in tasks:
            self._crashes[task] = self.count(task) + 1
            self._crashes.move_to_end(task)
        while len(self._crashes) > MAX_SUSPECTS:
            self._crashes.popitem(last=False)
        return {task for task in suspects if self.count(task) >= limit}

    def _is_simultaneous(self, tasks: Collection[str], now: float) -> bool:
        """Return whether another minion crashed just before; if so, acquit its tasks too."""
        is_simultaneous = now - self._last_ms < SIMULTANEOUS_MS
        if is_simultaneous:
            for task in self._last_tasks:
                self.acquit(task)
        self._last_ms = now
        self._last_tasks = tuple(tasks)
        return is_simultaneous

    def acquit(self, task: str) -> None:
        """Clear a task of suspicion after one of its runs ended without a minion crash."""
        self._crashes.pop(task, None)
