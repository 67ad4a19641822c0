"""Quotas of teams, shared among the entries without agreement.

Each entry takes the part of a quota that its share of the team's demand
gives it. Demand travels in the entries' digests, so the sum over entries
may overshoot for about one digest period after demand moves. It is told of
teams that have a quota, and anew when it has moved by more than a tenth.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Clock
from geraniumspool.reports import Demand, DemandRow, PeerDemand

DEMAND_WINDOW_MS = 5_000.0
BURST_MS = 1_000.0
MIN_RETRY_MS = 20.0
FORGET_BELOW = 0.001
MAX_TEAMS = 5_000
TOLD_CHANGE = 0.1
TOLD_AGE_MS = 10_000.0
OTHERS_MARGIN = 0.02
MIN_TOLD_RATE = 0.1
WHOLE_FROM = 10.0


class Shortage(NamedTuple):
    """Why a quota refuses a job.

    :param retry_after_ms: when another try may help, 0 where none can
    """

    detail: str
    retry_after_ms: float


class _Usage:
    """What one team used at this entry."""

    def __init__(self, now: float):
        self.rate = 0.0
        self.told: DemandRow | None = None
        self.told_ms = 0.0
        self.running = 0
        self.tokens = math.inf
        self.updated_ms = now


class Quotas:
    """Use and limits of the teams that come through one entry."""

    def __init__(
        self,
        clock: Clock,
        configuration: Configuration,
        peers_demand: Callable[[], list[PeerDemand]],
        entries: Callable[[], int],
    ):
        """Connect the parts.

        :param peers_demand: demand that other entries reported
        :param entries: number of entries alive, this one included
        """
        self._clock = clock
        self._configuration = configuration
        self._peers_demand = peers_demand
        self._entries = entries
        self._teams: dict[str, _Usage] = {}
        self._summed: list[Demand] = []
        self._rates: Counter[str] = Counter()

    def take(self, team: str, tasks: int) -> Shortage | None:
        """Count a job in, or tell why it may not run now.

        :param tasks: number of its tasks
        """
        usage = self._update(team)
        usage.rate += tasks * 1000.0 / DEMAND_WINDOW_MS
        limits = self._configuration.team(team)
        share = self._share(team, usage)
        shortage = self._check_running(limits.running_tasks, share, usage, tasks)
        if shortage is None:
            shortage = self._check_rate(limits.rate_tasks_per_s, share, usage, tasks)
        if shortage is None:
            usage.running += tasks
        return shortage

    def give_back(self, team: str, tasks: int) -> None:
        """Count a job out that was counted in."""
        usage = self._teams.get(team)
        if usage is not None:
            usage.running = max(0, usage.running - tasks)

    def demand(self) -> Demand:
        """Return tasks a second and running tasks, of each team that has a quota.

        The rate is the one told last while it has not moved by a tenth, of it
        or of an equal part of the quota, and that was lately. Running tasks are
        those of that time.
        """
        rows = []
        for team in list(self._teams):
            usage = self._update(team)
            if usage.rate < FORGET_BELOW and usage.running == 0:
                del self._teams[team]
                continue
            limits = self._configuration.team(team)
            if limits.rate_tasks_per_s is None and limits.running_tasks is None:
                continue
            rows.append(self._tell(team, usage, limits.rate_tasks_per_s or 0.0))
        return tuple(rows)

    def _tell(self, team: str, usage: _Usage, limit: float) -> DemandRow:
        told, now = usage.told, self._clock.now()
        if told is not None and now - usage.told_ms < TOLD_AGE_MS:
            scale = max(told[1], limit / max(1, self._entries()), MIN_TOLD_RATE)
            if abs(usage.rate - told[1]) <= TOLD_CHANGE * scale:
                return told
        # Whole numbers take fewer bytes in a message.
        rate = round(usage.rate) if usage.rate >= WHOLE_FROM else round(usage.rate, 3)
        usage.told, usage.told_ms = (team, rate, usage.running), now
        return usage.told

    def _update(self, team: str) -> _Usage:
        now = self._clock.now()
        usage = self._teams.get(team)
        if usage is None:
            if len(self._teams) >= MAX_TEAMS:
                self._teams.pop(self._find_idle())
            usage = self._teams[team] = _Usage(now)
        passed = now - usage.updated_ms
        usage.rate *= math.exp(-passed / DEMAND_WINDOW_MS)
        usage.updated_ms = now
        limit = self._configuration.team(team).rate_tasks_per_s
        if limit is not None:
            allowed = limit * self._share(team, usage)
            full = max(1.0, allowed * BURST_MS / 1000.0)
            usage.tokens = min(full, usage.tokens + allowed * passed / 1000.0)
        return usage

    def _find_idle(self) -> str:
        """Return the oldest team without running tasks, else the oldest."""
        idle = (name for name, usage in self._teams.items() if usage.running == 0)
        return next(idle, next(iter(self._teams)))

    def _share(self, team: str, usage: _Usage) -> float:
        # Rates that rise are told late; without a margin the sum ends above the quota.
        others = self._others_rates().get(team, 0.0) * (1 + OTHERS_MARGIN)
        equal = 1.0 / max(1, self._entries())
        if others <= 0:
            return 1.0
        return max(equal * 0.1, usage.rate / (usage.rate + others))

    def _others_rates(self) -> dict[str, float]:
        """Return the rates of all other entries per team, added up once a report."""
        demands = [report.demand for report in self._peers_demand()]
        known = self._summed
        if len(demands) != len(known) or any(
            a is not b for a, b in zip(demands, known, strict=True)
        ):
            self._summed = demands
            self._rates = Counter()
            for name, rate, _running in itertools.chain.from_iterable(demands):
                self._rates[name] += rate
        return self._rates

    def _check_running(
        self, limit: int | None, share: float, usage: _Usage, tasks: int
    ) -> Shortage | None:
        if limit is None:
            return None
        allowed = max(1.0, limit * share)
        if usage.running + tasks <= allowed or usage.running == 0 and tasks <= limit:
            return None
        if tasks > limit:
            return Shortage(f"the team may run {limit} tasks at once, never {tasks}", 0.0)
        detail = f"{usage.running} tasks of the team run here, {allowed:.0f} may"
        return Shortage(detail, 200.0)

    def _check_rate(
        self, limit: float | None, share: float, usage: _Usage, tasks: int
    ) -> Shortage | None:
        if limit is None:
            return None
        allowed = limit * share
        needed = min(tasks, max(1.0, allowed * BURST_MS / 1000.0))
        if usage.tokens >= needed:
            usage.tokens -= tasks
            return None
        wait_ms = (needed - usage.tokens) * 1000.0 / max(allowed, FORGET_BELOW)
        detail = f"the team may start {allowed:.1f} tasks a second here"
        return Shortage(detail, max(MIN_RETRY_MS, wait_ms))
