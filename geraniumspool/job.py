"""State of a job at its home while it runs."""

from enum import IntEnum
from typing import NamedTuple

from geraniumspool.clock import Timer
from geraniumspool.messages import Peer, Submit
from geraniumspool.ticket import Ticket


class Width(IntEnum):
    """Class of a job by its number of tasks.

    Tasks of narrow jobs are placed first and may use every slot, those kept
    for narrow jobs included.
    """

    NARROW = 0
    MEDIUM = 1
    WIDE = 2


# Most tasks of a medium job.
MAX_MEDIUM_TASKS = 40


def classify_width(tasks: int, narrow_tasks: int) -> Width:
    """Return the width of a job.

    :param tasks: number of tasks of the job
    :param narrow_tasks: most tasks that a narrow job of its service may have
    """
    if tasks <= narrow_tasks:
        return Width.NARROW
    return Width.MEDIUM if tasks <= MAX_MEDIUM_TASKS else Width.WIDE


class Waiter(NamedTuple):
    """A request that waits for the job's answer.

    :param entry: the entry that sent the request
    :param request: request number, repeated in the answer
    """

    entry: Peer
    request: int


class Job:
    """A job with its tasks, their results and the requests that wait for it.

    :ivar ticket_text: the ticket as it was sent
    :ivar ticket: the parsed ticket
    :ivar digest: digest of the submitted body
    :ivar deadline_ms: longest time from admission to the answer
    :ivar results: JSON texts by task index, None for unfinished tasks
    :ivar estimates: estimated run times by task index, in milliseconds
    :ivar unfinished_tasks: number of unfinished tasks
    :ivar open_offers: workers by the number of the open offer each one holds
    :ivar started: whether a task is known to have started
    :ivar abort_code: reason code of the abort, empty while the job may complete
    :ivar abort_detail: text that explains ``abort_code``
    :ivar is_final: whether the answer was given
    :ivar width: class of the job by its number of tasks
    :ivar due: time by which the job should finish; earlier ones are placed first
    :ivar work_ms: sum of the estimated run times
    :ivar timers: timers to cancel once the job is final
    """

    def __init__(self, ticket: Ticket, submit: Submit):
        """Create the state of a submitted job.

        :param ticket: the parsed ticket of ``submit``
        """
        self.ticket_text = submit.ticket
        self.ticket = ticket
        self.team = submit.team
        self.digest = submit.digest
        self.deadline_ms = submit.deadline_ms
        self.tasks = tasks = submit.tasks
        self.results: list[bytes | None] = [None] * len(tasks)
        self.estimates: list[float] = []
        self.unfinished_tasks = len(tasks)
        self.open_offers: dict[int, Peer] = {}
        self.waiters: set[Waiter] = set()
        self.started = False
        self.abort_code = ""
        self.abort_detail = ""
        self.is_final = False
        self.width = Width.NARROW
        self.due = 0.0
        self.work_ms = 0.0
        self.timers: list[Timer] = []

    @property
    def subject(self) -> str:
        """Return the subject under which decisions on this job are recorded."""
        return f"{self.ticket.job:x}"

    @property
    def size_bytes(self) -> int:
        """Return the total size of all payloads in bytes."""
        return sum(len(task.payload) for task in self.tasks)

    @property
    def longest_ms(self) -> float:
        """Return the longest estimated run time of its tasks, in milliseconds."""
        return max(self.estimates)

    def set_result(self, index: int, body: bytes) -> None:
        """Record the result of a task.

        :param body: JSON text
        """
        self.results[index] = body
        self.unfinished_tasks -= 1
        self.started = True

    def cancel_timers(self) -> None:
        """Cancel every timer of the job."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
