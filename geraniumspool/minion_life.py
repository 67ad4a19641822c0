"""State of one minion incarnation as tracked by its executor: its clock and its lease."""

from geraniumspool.contracts import MinionLife, RunKey
from geraniumspool.run_leases import CLOCK_DRIFT, LONGEST_LEASE_MS, MINION_LEASE_MS

# Longest delay between the end of a lease and the end of its runs: two check intervals of the
# minion.
LAPSE_MARGIN_MS = 80.0
# Answers on different connections can arrive out of order, by less than the 120 ms that a call may
# take. A clock that goes back further belongs to another incarnation.
OVERTAKEN_MS = 150.0


class LifeView:
    """What an executor tracks about one incarnation of its minion.

    Times are in milliseconds of the executor's clock unless stated otherwise.

    :ivar told: the latest report in which the minion described itself
    :ivar clock_ms: latest known value of the minion's own clock
    :ivar clock_at: when that value was received
    :ivar leased_ms: when the latest call that renews the lease was sent
    :ivar acknowledged: number of the last listed end that was handled
    :ivar is_clear: whether all runs on the minion are known to this executor
    :ivar is_described: whether this incarnation has sent a report; until then ``told`` is derived
        from the report of the previous one
    :ivar answered_ms: when the minion last answered a call
    :ivar has_left: whether the minion has announced its departure; its runs may continue until its
        process exits
    :ivar refused_looks: number of consecutive polls whose connection was refused
    :ivar strays: orphaned runs, which nobody here has ordered, that are being stopped
    """

    def __init__(self, life: MinionLife, now: float, is_described: bool = True):
        """Initialize from the first report of the minion."""
        self.told = life
        self.is_described = is_described
        self.clock_ms = 0.0
        self.clock_at = now
        self.leased_ms = now
        self.acknowledged = 0
        self.is_clear = False
        self.has_left = False
        self.answered_ms = now
        self.refused_looks = 0
        self.strays: set[RunKey] = set()
        self._inherited_ms = 0.0

    def clock(self, now: float) -> float:
        """Return a lower bound of the minion's clock at time ``now``."""
        return self.clock_ms + (now - self.clock_at) * (1 - CLOCK_DRIFT)

    def grant(self, now: float) -> float:
        """Record that a call which renews the lease is about to be sent.

        :returns: end of the new lease, by the minion's clock
        """
        self.leased_ms = now
        return self.clock(now) + MINION_LEASE_MS

    def inherit_lease(self, now: float) -> None:
        """Account for leases computed with the clock of an earlier incarnation.

        That clock may have been far ahead of the current one, so that the minion may have granted
        the longest lease there is.
        """
        self._inherited_ms = now + LONGEST_LEASE_MS * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_MS

    def lease_over_ms(self) -> float:
        """Return the time at which every lease sent so far must have expired.

        A call counts even if it was not answered, because the minion may have executed it.
        """
        own_ms = self.leased_ms + MINION_LEASE_MS * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_MS
        return max(own_ms, self._inherited_ms)

    def hear(self, clock_ms: float, sent_ms: float, now: float) -> None:
        """Record an answer of the minion.

        :param clock_ms: the minion's clock in the answer
        :param sent_ms: when the call was sent
        :param now: when the answer arrived
        """
        self.answered_ms = now
        if clock_ms < self.clock_ms - OVERTAKEN_MS:
            # Another incarnation has answered; the next poll identifies it.
            self.inherit_lease(now)
        if clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_at = now
