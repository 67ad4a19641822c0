"""State that a home keeps of a worker: its load, its pace and the offers open there."""

from typing import NamedTuple

from geraniumspool.job import Job
from geraniumspool.messages import Load, Member, Peer

# A result is overdue after this factor of the predicted wait and run time,
# plus a margin.
OVERDUE_FACTOR = 3.0
OVERDUE_MARGIN_MS = 1_500.0
# Weight of a new sample in the moving average of the pace.
PACE_WEIGHT = 0.1
# Added to the estimated run time, so that small delays of short tasks count little.
PACE_MARGIN_MS = 50.0
# Pace above which a worker counts as slow.
SLOW_PACE_RATIO = 4.0
# How long a worker is offered nothing after its minion refused a connection.
REFUSED_PAUSE_MS = 500.0
# Time since the last result after which a slow worker may be probed with a task.
SLOW_PROBE_MS = 2_000.0


class OpenOffer(NamedTuple):
    """An offer without an outcome so far.

    :param number: number of the offer
    :param index: position of the task in its job
    :param sent_ms: when it was sent, by the home's clock
    :param run_ms: estimated run time of the task
    :param overdue_after_ms: time after which its result is overdue
    """

    number: int
    job: Job
    index: int
    sent_ms: float
    run_ms: float
    overdue_after_ms: float


class Worker:
    """A worker that tasks may be offered to.

    :ivar member: the worker as a member of the roster
    :ivar peer: its address and incarnation
    :ivar load: its latest known load
    :ivar offered_since_load: number of tasks offered after that load was reported
    :ivar planned: number of tasks in the batch that is about to be sent
    :ivar open: open offers by number
    :ivar last_message_ms: when its latest message arrived
    :ivar probes: number of probes sent since then
    :ivar probed_ms: when the latest probe was sent
    :ivar revoking: open offers with a revocation that is not answered yet
    :ivar has_watcher: whether a green thread watches its open offers
    :ivar suspect_until: time until which it is offered nothing
    :ivar pace: moving average of the ratio of actual to estimated run times
    :ivar is_probe_due: whether a slow worker may be offered one task as a probe
    """

    def __init__(self, member: Member, now: float):
        """Create the state of a worker without open offers."""
        self.member = member
        self.peer = Peer(member.address, member.incarnation)
        self.load = member.load
        self.offered_since_load = 0
        self.planned = 0
        self.open: dict[int, OpenOffer] = {}
        self.last_message_ms = now
        self.probes = 0
        self.probed_ms = now
        self.revoking: set[int] = set()
        self.has_watcher = False
        self.suspect_until = 0.0
        self._refused_until = 0.0
        self.pace = 1.0
        self._pace_updated_ms = now
        self.is_probe_due = False

    @property
    def is_slow(self) -> bool:
        """Return whether its tasks take far longer than estimated."""
        return self.pace > SLOW_PACE_RATIO

    @property
    def busy(self) -> int:
        """Return the estimated number of tasks that run or wait there."""
        known = self.load.slots - self.load.free + self.load.queued
        return known + self.offered_since_load + self.planned

    @property
    def free(self) -> int:
        """Return the slots that seem idle; for a slow worker one if a probe is due, else 0."""
        free = max(0, self.load.slots - self.busy)
        if self.is_slow:
            return min(1, free) if self.is_probe_due else 0
        return free

    @property
    def waiting(self) -> int:
        """Return the estimated number of tasks that wait there."""
        return max(0, self.busy - self.load.slots)

    @property
    def urgent(self) -> int:
        """Return how many of the waiting tasks may use every slot."""
        return min(self.waiting, self.load.urgent + self.offered_since_load + self.planned)

    def queue_capacity(self, per_slot: float) -> int:
        """Return how many more tasks may be queued there.

        :param per_slot: most tasks that may wait there for each slot
        """
        if self.load.slots == 0:
            return 0
        return max(0, int(self.load.slots * per_slot) - self.waiting)

    def fits(self, size: float) -> bool:
        """Return whether a task of a declared size fits the worker's minion."""
        return self.member.max_size <= 0 or size <= self.member.max_size

    def update_from_message(self, load: Load, now: float) -> None:
        """Take over a load that the worker itself sent, and end any suspicion."""
        self.load = load
        self.offered_since_load = 0
        self.last_message_ms = now
        self.probes = 0
        self.suspect_until = 0.0

    def update_from_report(self, load: Load) -> None:
        """Take over a load that another process relayed, which may predate open offers."""
        self.load = load
        self.offered_since_load = max(0, len(self.open) - (load.slots - load.free + load.queued))

    def add(self, offer: OpenOffer) -> None:
        """Add an open offer."""
        self.open[offer.number] = offer
        self.offered_since_load += 1

    def refresh(self, now: float) -> bool:
        """Update the state that depends on time.

        :returns: whether the worker may be offered tasks
        """
        is_probe_time = now - self._pace_updated_ms > SLOW_PROBE_MS
        self.is_probe_due = is_probe_time and not self.open
        return max(self.suspect_until, self._refused_until) <= now

    def note_refused_connection(self, now: float) -> None:
        """Pause offers to the worker because its minion refused a connection."""
        self._refused_until = now + REFUSED_PAUSE_MS

    def update_pace(self, actual_ms: float, estimated_ms: float, now: float) -> None:
        """Update the pace with the run time of a finished task.

        :param actual_ms: run time at the worker
        :param estimated_ms: run time estimated when the task was offered
        """
        ratio = actual_ms / (estimated_ms + PACE_MARGIN_MS)
        self.pace += PACE_WEIGHT * (ratio - self.pace)
        self._pace_updated_ms = now

    def floor(self, next_offer: int) -> int:
        """Return the lowest open offer number: all lower offers are settled.

        :param next_offer: number of the home's next offer, returned if none is open
        """
        return min(self.open, default=next_offer)

    def overdue(self, now: float) -> list[int]:
        """Return the numbers of the open offers whose results are overdue."""
        return [offer.number for offer in self.open.values() if now > offer.overdue_after_ms]


def overdue_time(sent_ms: float, wait_ms: float, run_ms: float) -> float:
    """Return the time after which a result counts as overdue.

    :param sent_ms: time at which the task was offered
    :param wait_ms: predicted wait at the worker
    :param run_ms: estimated run time
    """
    return sent_ms + OVERDUE_FACTOR * (wait_ms + run_ms) + OVERDUE_MARGIN_MS
