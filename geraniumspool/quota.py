"""Quotas of teams, divided among the entries without coordination.

Each entry enforces a part of a team's quota in proportion to its share of the
team's demand. Entries exchange their demand in digests, so together they may
exceed a quota for about one digest period after demand shifts. Demand is
reported only for teams with a quota, and again only after it has changed by
more than a tenth or after ``MAX_REPORT_AGE_MS``.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Clock
from geraniumspool.reports import Demand, DemandRow, PeerDemand

# Time constant of the exponential decay in the demand rate.
DEMAND_WINDOW_MS = 5_000.0
# Depth of the token bucket, in time at the allowed rate.
BURST_MS = 1_000.0
# Least retry delay of a refusal by the rate limit.
MIN_RETRY_MS = 20.0
# Rate in tasks per second below which an idle team is forgotten.
MIN_TRACKED_RATE = 0.001
# Most teams tracked at one entry.
MAX_TEAMS = 5_000
# Relative change of the demand rate that is reported at once.
MIN_REPORTED_CHANGE = 0.1
# Age at which the reported demand is renewed in any case.
MAX_REPORT_AGE_MS = 10_000.0
# Part by which the rates of the other entries are taken as higher than reported.
OTHERS_MARGIN = 0.02
# Least rate, in tasks per second, that relative changes are computed from.
MIN_COMPARED_RATE = 0.1
# Rate in tasks per second from which reported rates are rounded to integers.
MIN_INTEGER_RATE = 10.0


class QuotaRefusal(NamedTuple):
    """Refusal of a job by a quota.

    :param detail: text that explains the refusal
    :param retry_after_ms: delay after which a retry may succeed, 0 if none can
    """

    detail: str
    retry_after_ms: float


class _Usage:
    """Usage of one team at this entry.

    :ivar rate: demand in tasks per second, decaying exponentially
    :ivar reported: demand as last reported to other entries, or None
    :ivar reported_ms: time of that report
    :ivar running: number of running tasks
    :ivar tokens: tokens in the bucket of the rate limit, negative after a wide job
    :ivar updated_ms: time up to which ``rate`` and ``tokens`` are computed
    """

    def __init__(self, now: float):
        self.rate = 0.0
        self.reported: DemandRow | None = None
        self.reported_ms = 0.0
        self.running = 0
        self.tokens = math.inf
        self.updated_ms = now


class Quotas:
    """Enforces the quotas of the teams whose jobs arrive at one entry."""

    def __init__(
        self,
        clock: Clock,
        configuration: Configuration,
        get_peer_demand: Callable[[], list[PeerDemand]],
        entries: Callable[[], int],
    ):
        """Start without usage.

        :param get_peer_demand: returns the demand reported by the other entries
        :param entries: returns the number of living entries, this one included
        """
        self._clock = clock
        self._configuration = configuration
        self._get_peer_demand = get_peer_demand
        self._entries = entries
        self._teams: dict[str, _Usage] = {}
        self._summed: list[Demand] = []
        self._rates: Counter[str] = Counter()

    def charge(self, team: str, tasks: int) -> QuotaRefusal | None:
        """Charge a job to its team's quota, or refuse it.

        :param tasks: number of the job's tasks
        :returns: the refusal, or None if the job was charged
        """
        usage = self._update(team)
        usage.rate += tasks * 1000.0 / DEMAND_WINDOW_MS
        limits = self._configuration.team(team)
        share = self._share(team, usage)
        refusal = self._check_running(limits.running_tasks, share, usage, tasks)
        if refusal is None:
            refusal = self._check_rate(limits.rate_tasks_per_s, share, usage, tasks)
        if refusal is None:
            usage.running += tasks
        return refusal

    def release(self, team: str, tasks: int) -> None:
        """Release the running tasks of a job that was charged.

        :param tasks: number of the job's tasks
        """
        usage = self._teams.get(team)
        if usage is not None:
            usage.running = max(0, usage.running - tasks)

    def demand(self) -> Demand:
        """Return the demand to report: one row for each team that has a quota.

        A row holds the rate in tasks per second and the running tasks. It is
        the row reported last, unless that is older than ``MAX_REPORT_AGE_MS`` or the
        rate has changed by more than a tenth of the reported rate or of an
        equal part of the quota, whichever is greater.
        """
        rows = []
        for team in list(self._teams):
            usage = self._update(team)
            if usage.rate < MIN_TRACKED_RATE and usage.running == 0:
                del self._teams[team]
                continue
            limits = self._configuration.team(team)
            if limits.rate_tasks_per_s is None and limits.running_tasks is None:
                continue
            rows.append(self._report(team, usage, limits.rate_tasks_per_s or 0.0))
        return tuple(rows)

    def _report(self, team: str, usage: _Usage, limit: float) -> DemandRow:
        reported, now = usage.reported, self._clock.now()
        if reported is not None and now - usage.reported_ms < MAX_REPORT_AGE_MS:
            scale = max(reported[1], limit / max(1, self._entries()), MIN_COMPARED_RATE)
            if abs(usage.rate - reported[1]) <= MIN_REPORTED_CHANGE * scale:
                return reported
        # Integers take fewer bytes in a message.
        rate = round(usage.rate) if usage.rate >= MIN_INTEGER_RATE else round(usage.rate, 3)
        usage.reported, usage.reported_ms = (team, rate, usage.running), now
        return usage.reported

    def _update(self, team: str) -> _Usage:
        now = self._clock.now()
        usage = self._teams.get(team)
        if usage is None:
            if len(self._teams) >= MAX_TEAMS:
                self._teams.pop(self._choose_evicted())
            usage = self._teams[team] = _Usage(now)
        elapsed_ms = now - usage.updated_ms
        usage.rate *= math.exp(-elapsed_ms / DEMAND_WINDOW_MS)
        usage.updated_ms = now
        limit = self._configuration.team(team).rate_tasks_per_s
        if limit is not None:
            allowed = limit * self._share(team, usage)
            max_tokens = max(1.0, allowed * BURST_MS / 1000.0)
            usage.tokens = min(max_tokens, usage.tokens + allowed * elapsed_ms / 1000.0)
        return usage

    def _choose_evicted(self) -> str:
        """Return the name of the oldest team without running tasks, else of the oldest team."""
        idle = (name for name, usage in self._teams.items() if usage.running == 0)
        return next(idle, next(iter(self._teams)))

    def _share(self, team: str, usage: _Usage) -> float:
        # Rising rates are reported late: without the margin the entries would
        # together exceed the quota.
        others = self._others_rates().get(team, 0.0) * (1 + OTHERS_MARGIN)
        equal_share = 1.0 / max(1, self._entries())
        if others <= 0:
            return 1.0
        return max(equal_share * 0.1, usage.rate / (usage.rate + others))

    def _others_rates(self) -> dict[str, float]:
        """Return the summed rates of all other entries by team.

        The sums are cached until a report changes.
        """
        demands = [report.demand for report in self._get_peer_demand()]
        previous = self._summed
        if len(demands) != len(previous) or any(
            a is not b for a, b in zip(demands, previous, strict=True)
        ):
            self._summed = demands
            self._rates = Counter()
            for name, rate, _running in itertools.chain.from_iterable(demands):
                self._rates[name] += rate
        return self._rates

    def _check_running(
        self, limit: int | None, share: float, usage: _Usage, tasks: int
    ) -> QuotaRefusal | None:
        if limit is None:
            return None
        allowed = max(1.0, limit * share)
        if usage.running + tasks <= allowed or usage.running == 0 and tasks <= limit:
            return None
        if tasks > limit:
            return QuotaRefusal(f"the team may run {limit} tasks at once, never {tasks}", 0.0)
        detail = f"{usage.running} tasks of the team run here, {allowed:.0f} may"
        return QuotaRefusal(detail, 200.0)

    def _check_rate(
        self, limit: float | None, share: float, usage: _Usage, tasks: int
    ) -> QuotaRefusal | None:
        if limit is None:
            return None
        allowed = limit * share
        needed = min(tasks, max(1.0, allowed * BURST_MS / 1000.0))
        if usage.tokens >= needed:
            usage.tokens -= tasks
            return None
        wait_ms = (needed - usage.tokens) * 1000.0 / max(allowed, MIN_TRACKED_RATE)
        detail = f"the team may start {allowed:.1f} tasks a second here"
        return QuotaRefusal(detail, max(MIN_RETRY_MS, wait_ms))
