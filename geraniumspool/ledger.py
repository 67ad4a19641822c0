"""State that a runner keeps of each home's offers until the home has settled them."""

from collections import Counter

from geraniumspool.messages import OfferedTask, Peer, Refusal, TaskResult

QUEUED = "queued"
RUNNING = "running"
DONE = "done"
REFUSED = "refused"
LOST = "lost"


class Entry:
    """State of one offer.

    :ivar ledger: the ledger that the entry belongs to
    :ivar task: the offered task, or None for a tombstone, which records that
        the offer was refused
    :ivar state: one of the constants of this module
    :ivar result: the task's result while it is kept, else None
    :ivar is_stopped: whether the minion was asked to stop the task
    """

    __slots__ = ("task", "state", "result", "ledger", "is_stopped")

    def __init__(self, ledger: "Ledger", task: OfferedTask | None, state: str):
        """Create the state of an offer.

        :param state: one of the constants of this module
        """
        self.ledger = ledger
        self.task = task
        self.state = state
        self.result: TaskResult | None = None
        self.is_stopped = False


class Ledger:
    """Unsettled offers of one home, and the outcomes to be sent to it.

    :ivar home: address and incarnation of the home
    :ivar floor: lowest offer number that the home may still need; lower ones are settled
    :ivar entries: states of offers by number
    :ivar open_tasks: number of tasks that wait or run here, by job
    :ivar queued: number of tasks that wait here
    :ivar more: whether the home reported further tasks waiting there
    :ivar done: results that are not sent yet
    :ivar refused: refusals that are not sent yet
    :ivar hold: timer that sends held results at the latest, or None
    """

    def __init__(self, home: Peer):
        """Create an empty ledger for a home."""
        self.home = home
        self.floor = 0
        self.entries: dict[int, Entry] = {}
        self.open_tasks: Counter[int] = Counter()
        self.queued = 0
        self.more = False
        self.done: list[TaskResult] = []
        self.refused: list[Refusal] = []
        self.hold = None

    def queued_below(self, floor: int) -> list[Entry]:
        """Return the queued offers below a new floor, which the home has given up."""
        if floor <= self.floor or not self.queued:
            return []
        entries = self.entries.items()
        return [entry for offer, entry in entries if offer < floor and entry.state == QUEUED]

    def raise_floor(self, floor: int) -> list[Entry]:
        """Raise the floor; drop and return finished offers below it."""
        if floor <= self.floor:
            return []
        self.floor = floor
        settled = [
            offer
            for offer, entry in self.entries.items()
            if offer < floor and entry.state not in (QUEUED, RUNNING)
        ]
        return [self.entries.pop(offer) for offer in settled]

    def highest(self) -> int:
        """Return the highest offer number, or 0 if there is no entry."""
        return max(self.entries, default=0)

    def close_task(self, task: OfferedTask) -> None:
        """Subtract a task that no longer waits or runs here from its job's count."""
        self.open_tasks[task.job] -= 1
        if self.open_tasks[task.job] <= 0:
            del self.open_tasks[task.job]
