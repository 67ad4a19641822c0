"""What a runner remembers of each home's offers until they are settled."""

from collections import Counter

from geraniumspool.messages import OfferedTask, Peer, Refusal, TaskResult

QUEUED = "queued"
RUNNING = "running"
DONE = "done"
REFUSED = "refused"
LOST = "lost"


class Entry:
    """What the runner knows of one offer.

    :ivar task: the offered task, or None for a tombstone
    :ivar state: one of the constants of this module
    :ivar result: the task's result, while it is kept
    :ivar is_stopped: whether the minion was asked to stop it
    """

    __slots__ = ("task", "state", "result", "ledger", "is_stopped")

    def __init__(self, ledger: "Ledger", task: OfferedTask | None, state: str):
        """Record the offer."""
        self.ledger = ledger
        self.task = task
        self.state = state
        self.result: TaskResult | None = None
        self.is_stopped = False


class Ledger:
    """Offers of one home that are not settled yet, and what it must be told.

    :ivar floor: offers below this number are settled
    :ivar open_tasks: tasks per job that wait or run here
    :ivar more: whether the home said that more tasks wait there
    :ivar done: results not sent yet
    :ivar refused: refusals not sent yet
    :ivar hold: timer that sends them at the latest, or None
    """

    def __init__(self, home: Peer):
        """Start with nothing known of ``home``."""
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
        """Return the offers below ``floor`` that wait for a slot; the home gave them up."""
        if floor <= self.floor or not self.queued:
            return []
        rows = self.entries.items()
        return [entry for offer, entry in rows if offer < floor and entry.state == QUEUED]

    def raise_floor(self, floor: int) -> list[Entry]:
        """Forget settled offers below ``floor`` and return them."""
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
        """Return the highest offer known, or 0."""
        return max(self.entries, default=0)

    def close_task(self, task: OfferedTask) -> None:
        """Count one task of a job as no longer open here."""
        self.open_tasks[task.job] -= 1
        if self.open_tasks[task.job] <= 0:
            del self.open_tasks[task.job]
