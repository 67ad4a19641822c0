"""A job at its home, while it runs."""

from enum import IntEnum
from typing import NamedTuple

from geraniumspool.clock import Timer
from geraniumspool.messages import Peer, Submit
from geraniumspool.ticket import Ticket


class Width(IntEnum):
    """How wide a job is; narrow ones go first and may use every slot."""

    NARROW = 0
    MEDIUM = 1
    WIDE = 2


MEDIUM_TASKS = 40


def classify(tasks: int, narrow_tasks: int) -> Width:
    """Return how wide a job is.

    :param tasks: number of its tasks
    :param narrow_tasks: most tasks of a narrow job of its service
    """
    if tasks <= narrow_tasks:
        return Width.NARROW
    return Width.MEDIUM if tasks <= MEDIUM_TASKS else Width.WIDE


class Waiter(NamedTuple):
    """Who waits for the job's answer.

    :param entry: the entry to answer
    :param request: the number it asked under
    """

    entry: Peer
    request: int


class Job:
    """One job: its tasks, what is known of each, and who waits for it.

    :ivar due: time by which it should be finished; earlier goes first
    :ivar results: JSON texts by task index, None where not done
    :ivar open_offers: offers by number with the worker that has each
    :ivar started: whether a task is known to have started
    :ivar ending: reason code once the job can no longer complete
    :ivar is_final: whether the answer was given
    :ivar width: how wide it is
    """

    def __init__(self, ticket: Ticket, submit: Submit):
        """Take a job as it was submitted."""
        self.text = submit.ticket
        self.ticket = ticket
        self.team = submit.team
        self.digest = submit.digest
        self.deadline_ms = submit.deadline_ms
        self.tasks = tasks = submit.tasks
        self.results: list[bytes | None] = [None] * len(tasks)
        self.estimates: list[float] = []
        self.left = len(tasks)
        self.open_offers: dict[int, Peer] = {}
        self.waiters: set[Waiter] = set()
        self.started = False
        self.ending = ""
        self.detail = ""
        self.is_final = False
        self.width = Width.NARROW
        self.due = 0.0
        self.work_ms = 0.0
        self.timers: list[Timer] = []

    @property
    def subject(self) -> str:
        """Return the name that decisions on this job are kept under."""
        return f"{self.ticket.job:x}"

    @property
    def size_bytes(self) -> int:
        """Return the bytes of all payloads."""
        return sum(len(task.payload) for task in self.tasks)

    @property
    def longest_ms(self) -> float:
        """Return the longest estimated run time of its tasks."""
        return max(self.estimates)

    def take_result(self, index: int, body: bytes) -> None:
        """Record one task's result."""
        self.results[index] = body
        self.left -= 1
        self.started = True

    def cancel_timers(self) -> None:
        """Cancel every timer of the job."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
