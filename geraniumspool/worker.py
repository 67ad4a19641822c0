"""A worker as a home sees it: its load and the offers open there."""

from typing import NamedTuple

from geraniumspool.job import Job
from geraniumspool.messages import Load, Member, Peer

EXPECTED_FACTOR = 3.0
EXPECTED_MARGIN_MS = 1_500.0
PACE_WEIGHT = 0.1
PACE_MARGIN_MS = 50.0
SLOW_PACE = 4.0
REFUSED_PAUSE_MS = 500.0
SLOW_PROBE_MS = 2_000.0


class OpenOffer(NamedTuple):
    """One offer that is not settled.

    :param sent_ms: when it was sent, by the home's clock
    :param run_ms: estimated run time
    :param expected_ms: time after which its result is overdue
    """

    offer: int
    job: Job
    index: int
    sent_ms: float
    run_ms: float
    expected_ms: float


class Worker:
    """One worker that tasks may be offered to.

    :ivar load: its load as last heard of
    :ivar since: tasks offered since that load was heard of
    :ivar planned: tasks about to be offered
    :ivar open: open offers by number
    :ivar heard_ms: when it last sent something
    :ivar probes: probes sent since then
    :ivar revoking: open offers that were asked back
    :ivar suspect_until: time until which it is offered nothing
    :ivar pace: mean of actual by estimated run times there
    :ivar is_probe_due: whether a slow worker may have one task to be judged by
    """

    def __init__(self, member: Member, now: float):
        """Take a member of the roster."""
        self.member = member
        self.peer = Peer(member.address, member.incarnation)
        self.load = member.load
        self.since = 0
        self.planned = 0
        self.open: dict[int, OpenOffer] = {}
        self.heard_ms = now
        self.probes = 0
        self.probed_ms = now
        self.revoking: set[int] = set()
        self.is_watched = False
        self.suspect_until = 0.0
        self._refused_until = 0.0
        self.pace = 1.0
        self._paced_ms = now
        self.is_probe_due = False

    @property
    def is_slow(self) -> bool:
        """Return whether its tasks take far longer than they should."""
        return self.pace > SLOW_PACE

    @property
    def busy(self) -> int:
        """Return the tasks that run or wait there, as far as known."""
        known = self.load.slots - self.load.free + self.load.queued
        return known + self.since + self.planned

    @property
    def free(self) -> int:
        """Return the slots that seem idle; none of a slow worker but to probe it."""
        free = max(0, self.load.slots - self.busy)
        if self.is_slow:
            return min(1, free) if self.is_probe_due else 0
        return free

    @property
    def waiting(self) -> int:
        """Return the tasks that wait there, as far as known."""
        return max(0, self.busy - self.load.slots)

    @property
    def urgent(self) -> int:
        """Return those of them that may use every slot."""
        return min(self.waiting, self.load.urgent + self.since + self.planned)

    def room(self, per_slot: float) -> int:
        """Return how many tasks may be offered beyond the free slots.

        :param per_slot: tasks that may wait there for each slot
        """
        if self.load.slots == 0:
            return 0
        return max(0, int(self.load.slots * per_slot) - self.waiting)

    def fits(self, size: float) -> bool:
        """Return whether a task of that declared size fits its minion."""
        return self.member.max_size <= 0 or size <= self.member.max_size

    def hear(self, load: Load, now: float) -> None:
        """Take a load that the worker itself sent."""
        self.load = load
        self.since = 0
        self.heard_ms = now
        self.probes = 0
        self.suspect_until = 0.0

    def hint(self, load: Load) -> None:
        """Take a load that somebody else passed on, which may be older than our offers."""
        self.load = load
        self.since = max(0, len(self.open) - (load.slots - load.free + load.queued))

    def add(self, offer: OpenOffer) -> None:
        """Count one more open offer."""
        self.open[offer.offer] = offer
        self.since += 1

    def look(self, now: float) -> bool:
        """Bring what depends on time up to date; return whether to offer it tasks."""
        waited = now - self._paced_ms > SLOW_PROBE_MS
        self.is_probe_due = waited and not self.open
        return max(self.suspect_until, self._refused_until) <= now

    def note_refused_connection(self, now: float) -> None:
        """Take that its minion refused a connection: offer it nothing for a moment."""
        self._refused_until = now + REFUSED_PAUSE_MS

    def note_pace(self, actual_ms: float, estimated_ms: float, now: float) -> None:
        """Take how long a task took there against what was expected."""
        ratio = actual_ms / (estimated_ms + PACE_MARGIN_MS)
        self.pace += PACE_WEIGHT * (ratio - self.pace)
        self._paced_ms = now

    def floor(self, next_offer: int) -> int:
        """Return the number below which no offer is open there.

        :param next_offer: number that the home's next offer will have
        """
        return min(self.open, default=next_offer)

    def overdue(self, now: float) -> list[int]:
        """Return the open offers whose results are overdue."""
        return [offer.offer for offer in self.open.values() if now > offer.expected_ms]


def expect(sent_ms: float, wait_ms: float, run_ms: float) -> float:
    """Return the time after which a result counts as overdue.

    :param sent_ms: when the task was offered
    :param wait_ms: predicted wait at the worker
    :param run_ms: estimated run time
    """
    return sent_ms + EXPECTED_FACTOR * (wait_ms + run_ms) + EXPECTED_MARGIN_MS
