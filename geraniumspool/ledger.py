"""State that a runner keeps of each home's offers until the home has settled them."""

from collections import Counter

from geraniumspool.messages import OfferedTask, Peer, Refusal, TaskResult

QUEUED = "queued"
RUNNING = "running"
DONE = "done"
REFUSED = "refused"
LOST = "lost"


class OfferState:
    """State of one offer.

    :ivar home_offers: the offers of the home that made the offer
    :ivar task: the offered task, or None for a tombstone, which records that
        the offer was refused
    :ivar state: one of the constants of this module
    :ivar result: the task's result while it is kept, else None
    :ivar is_stopped: whether the minion was asked to stop the task
    """

    __slots__ = ("task", "state", "result", "home_offers", "is_stopped")

    def __init__(self, home_offers: "HomeOffers", task: OfferedTask | None, state: str):
        """Create the state of an offer.

        :param state: one of the constants of this module
        """
        self.home_offers = home_offers
        self.task = task
        self.state = state
        self.result: TaskResult | None = None
        self.is_stopped = False


class HomeOffers:
    """Unsettled offers of one home, and the outcomes to be sent to it.

    :ivar home: address and incarnation of the home
    :ivar floor: lowest offer number that the home may still need; lower ones are settled
    :ivar offer_states: states of offers by number
    :ivar open_tasks: number of tasks that wait or run here, by job
    :ivar queued: number of tasks that wait here
    :ivar home_has_waiting: whether the home reported further tasks waiting there
    :ivar unsent_results: results that are not sent yet
    :ivar unsent_refusals: refusals that are not sent yet
    :ivar hold_timer: timer that sends held results at the latest, or None
    """

    def __init__(self, home: Peer):
        """Create the offers of a home, without any."""
        self.home = home
        self.floor = 0
        self.offer_states: dict[int, OfferState] = {}
        self.open_tasks: Counter[int] = Counter()
        self.queued = 0
        self.home_has_waiting = False
        self.unsent_results: list[TaskResult] = []
        self.unsent_refusals: list[Refusal] = []
        self.hold_timer = None

    def queued_below(self, floor: int) -> list[OfferState]:
        """Return the queued offers below a new floor, which the home has given up."""
        if floor <= self.floor or not self.queued:
            return []
        offer_states = self.offer_states.items()
        return [
            offer_state
            for offer, offer_state in offer_states
            if offer < floor and offer_state.state == QUEUED
        ]

    def raise_floor(self, floor: int) -> list[OfferState]:
        """Raise the floor; drop and return finished offers below it."""
        if floor <= self.floor:
            return []
        self.floor = floor
        settled = [
            offer
            for offer, offer_state in self.offer_states.items()
            if offer < floor and offer_state.state not in (QUEUED, RUNNING)
        ]
        return [self.offer_states.pop(offer) for offer in settled]

    def highest_offer(self) -> int:
        """Return the highest offer number, or 0 if there is no entry."""
        return max(self.offer_states, default=0)

    def subtract_open_task(self, task: OfferedTask) -> None:
        """Subtract a task that no longer waits or runs here from its job's count."""
        self.open_tasks[task.job] -= 1
        if self.open_tasks[task.job] <= 0:
            del self.open_tasks[task.job]
