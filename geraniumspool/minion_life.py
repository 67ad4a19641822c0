"""State of one minion incarnation as tracked by its executor: its clock and its lease."""

import math

from geraniumspool.contracts import MinionIncarnation, RunKey
from geraniumspool.run_leases import CLOCK_DRIFT, LONGEST_LEASE_MS, MINION_LEASE_MS

# Longest delay between the end of a lease and the end of its runs: two check intervals of the
# minion.
LEASE_EXPIRY_MARGIN_MS = 80.0
# Answers on different connections can arrive out of order, by less than the 120 ms that a call may
# take. A clock that goes back further belongs to another incarnation.
MAX_REORDERING_MS = 150.0


class IncarnationState:
    """What an executor tracks about one incarnation of its minion.

    Times are in milliseconds of the executor's clock unless stated otherwise.

    :ivar report: the latest report in which the minion described itself
    :ivar clock_ms: latest known value of the minion's own clock
    :ivar clock_received_ms: when that value was received
    :ivar lease_sent_ms: when the latest call that renews the lease was sent
    :ivar acknowledged_end: number of the last listed end that was handled
    :ivar is_free_of_orphans: whether all runs on the minion are known to this executor
    :ivar has_reported: whether this incarnation has sent a report; until then ``report`` is derived
        from the report of the previous one
    :ivar answered_ms: when the minion last answered a call
    :ivar has_left: whether the minion has announced its departure; its runs may continue until its
        process exits
    :ivar refused_polls: number of consecutive polls whose connection was refused
    :ivar departs_ms: earliest time at which the minion shuts down, infinite if not known
    :ivar orphans: orphaned runs, which nobody here has ordered, that are being stopped
    """

    def __init__(self, report: MinionIncarnation, now: float, has_reported: bool = True):
        """Initialize from the first report of the minion."""
        self.report = report
        self.has_reported = has_reported
        self.clock_ms = 0.0
        self.clock_received_ms = now
        self.lease_sent_ms = now
        self.acknowledged_end = 0
        self.is_free_of_orphans = False
        self.has_left = False
        self.answered_ms = now
        self.refused_polls = 0
        self.departs_ms = math.inf
        self.orphans: set[RunKey] = set()
        self._inherited_ms = 0.0

    def clock_lower_bound(self, now: float) -> float:
        """Return a lower bound of the minion's clock at time ``now``."""
        return self.clock_ms + (now - self.clock_received_ms) * (1 - CLOCK_DRIFT)

    def grant_lease(self, now: float, until_ms: float) -> float:
        """Record that a call which renews the lease is about to be sent.

        :param until_ms: end of the new lease, by the clock of this process
        :returns: end of the new lease, by the minion's clock
        """
        self.lease_sent_ms = now
        return self.clock_lower_bound(now) + until_ms - now

    def assume_longest_lease(self, now: float) -> None:
        """Account for leases computed with the clock of an earlier incarnation.

        That clock may have been far ahead of the current one, so that the minion may have granted
        the longest lease there is.
        """
        self._inherited_ms = now + LONGEST_LEASE_MS * (1 + CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS

    def lease_expires_ms(self) -> float:
        """Return the time at which every lease sent so far must have expired.

        A call counts even if it was not answered, because the minion may have executed it.
        """
        own_ms = self.lease_sent_ms + MINION_LEASE_MS * (1 + CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_MS
        return max(own_ms, self._inherited_ms)

    def record_answer(self, clock_ms: float, sent_ms: float, now: float) -> None:
        """Record an answer of the minion.

        :param clock_ms: the minion's clock in the answer
        :param sent_ms: when the call was sent
        :param now: when the answer arrived
        """
        self.answered_ms = now
        if clock_ms < self.clock_ms - MAX_REORDERING_MS:
            # Another incarnation has answered; the next poll identifies it.
            self.assume_longest_lease(now)
        if clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_received_ms = now
