"""Finds the tasks that crash the minions which start them, among their neighbours.

Decides by counts, without input or output. Answered load pattern: a task in five hundred
crashes its minion, and with it the runs of other jobs; told apart from minions that
crash by themselves, under tasks that then run well elsewhere.
"""

import math
from collections import OrderedDict
from collections.abc import Collection

# A task that was alone under suspicion when a second minion crashed under it is to blame;
# one that shared its minions with other suspects has a third.
CRASHES_ALONE = 2
CRASHES_SHARED = 3
# Minions that crash within this of each other under tasks that nobody suspects have lost their
# rack or its power; each is noticed within some ms.
TOGETHER_MS = 30.0
# Suspects are remembered beyond their jobs, as callers send those again. So many tasks are
# at work on sixty crashed workers.
MOST_SUSPECTS = 1_024


class CrashBlame:
    """Minions that crashed under each task, until it has run well."""

    def __init__(self):
        """Suspect nobody."""
        self._crashes: OrderedDict[str, int] = OrderedDict()
        self._last_ms = -math.inf
        self._last_tasks: tuple[str, ...] = ()

    def is_suspect(self, task: str) -> bool:
        """Return whether a minion has crashed under a task that has not run well since."""
        return task in self._crashes

    def count(self, task: str) -> int:
        """Return how many minions have crashed under a task."""
        return self._crashes.get(task, 0)

    def note_crash(self, tasks: Collection[str], now: float) -> set[str]:
        """Take that a minion has crashed under some tasks; return those to be given up."""
        suspects = [task for task in tasks if self.is_suspect(task)]
        if not suspects and self._is_together(tasks, now):
            return set()
        limit = CRASHES_ALONE if len(suspects) == 1 else CRASHES_SHARED
        for task in tasks:
            self._crashes[task] = self.count(task) + 1
            self._crashes.move_to_end(task)
        while len(self._crashes) > MOST_SUSPECTS:
            self._crashes.popitem(last=False)
        return {task for task in suspects if self.count(task) >= limit}

    def _is_together(self, tasks: Collection[str], now: float) -> bool:
        """Return whether another minion has crashed just now, and then clear its tasks."""
        is_together = now - self._last_ms < TOGETHER_MS
        if is_together:
            for task in self._last_tasks:
                self.acquit(task)
        self._last_ms = now
        self._last_tasks = tuple(tasks)
        return is_together

    def acquit(self, task: str) -> None:
        """Take that a run of a task has ended by itself, and its minion goes on."""
        self._crashes.pop(task, None)
