"""In-memory table of the runs that an executor has accepted and whose end it has not seen."""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from geraniumspool.contracts import FinishedRun, RunKey
from geraniumspool.messages import Peer
from geraniumspool.rooms import NO_RESOURCES, Resources
from geraniumspool.run_messages import RunEnd, RunOrder

# Outcomes are kept per dispatcher so that they can be reported again if a report was lost.
MAX_KEPT_ENDS = 512


def job_id_of(task: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task.partition(".")[0]


class RunState(enum.Enum):
    """State of a run at the executor.

    QUEUED runs wait for capacity. STARTING runs have been reserved capacity, and their start has
    not been answered yet. DOUBTFUL runs had a start call that got no answer, so they may or may not
    be active. RUNNING runs were confirmed by the minion. STOPPING runs may still be active but have
    been told to stop.
    """

    QUEUED = "queued"
    STARTING = "starting"
    DOUBTFUL = "doubtful"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One run accepted from a dispatcher.

    :ivar dispatcher: the dispatcher that ordered the run
    :ivar key: task and attempt number under which the minion knows the run
    :ivar arrived_ms: when the order arrived
    :ivar echo_age_ms: age of the clock value that the order's message echoed when it arrived
    :ivar sent_ms: when the latest start call was sent to the minion, 0 if none was
    :ivar fencing_token: fencing token of that call
    :ivar early_end: end that the minion listed before it answered that call; it belongs to this run
        or to an earlier run of the task with the same attempt number
    :ivar confirmed_ms: when the minion confirmed the start, 0 if it has not
    :ivar progress: progress, from 0 to 1, as last listed by the minion
    :ivar progressed_ms: when the progress last increased
    :ivar stop_requested_ms: when the stop was requested
    :ivar is_stopping: whether a stop has been requested
    :ivar is_stop_answered: whether the minion has answered a stop call for the run
    :ivar stop_reason: why the stop was requested
    :ivar counted_stop_ms: when a stop was first requested on which dispatchers rely, 0 if none was
    """

    def __init__(self, dispatcher: Peer, order: RunOrder, now: float, echo_ms: float):
        """Create a queued run from an order that has just arrived.

        :param echo_ms: clock value that the order's message echoes
        """
        self.dispatcher = dispatcher
        self.order = order
        self.key = RunKey(order.task, order.attempt)
        self.state = RunState.QUEUED
        self.arrived_ms = now
        self.echo_age_ms = now - echo_ms
        self.sent_ms = 0.0
        self.fencing_token = 0
        self.early_end: FinishedRun | None = None
        self.confirmed_ms = 0.0
        self.progress = 0.0
        self.progressed_ms = now
        self.stop_requested_ms = 0.0
        self.is_stopping = False
        self.is_stop_answered = False
        self.stop_reason = ""
        self.counted_stop_ms = 0.0

    @property
    def latest_start_ms(self) -> float:
        """Return the time after which a start would make the job miss its deadline."""
        return self.arrived_ms + self.order.slack_ms

    @property
    def expires_ms(self) -> float:
        """Return the time at which the caller stops waiting for the result."""
        return self.arrived_ms + self.order.limit_ms

    def age_ms(self, now: float) -> float:
        """Return the time in milliseconds since the minion confirmed the start."""
        return now - self.confirmed_ms


def describe_order(order: RunOrder, echo_age_ms: float) -> tuple[tuple[str, object], ...]:
    """Return an order's number, age and claim, as fields of a log line.

    :param echo_age_ms: age of the clock value that its message echoed when it arrived
    """
    return (
        ("number", order.number),
        ("echo_age_ms", round(echo_age_ms)),
        ("order_rank", order.fence_rank),
        ("claim_age_ms", round(order.claim_age_ms)),
    )


class KnownDispatcher:
    """What an executor tracks per dispatcher: its lease, its runs and their outcomes.

    :ivar lease_until_ms: time at which its lease expires, after which its runs are stopped
    :ivar last_message_ms: when its last message arrived, 0 if none has
    :ivar highest_number: highest order number handled
    :ivar runs: its active and queued runs, by order number
    :ivar ends: outcomes of its latest ended runs, by order number
    :ivar unreported_ends: outcomes to put into the next report
    :ivar is_state_reported: whether the last report holds the current state of the worker
    """

    def __init__(self, peer: Peer):
        """Create the entry of a dispatcher that holds no lease yet."""
        self.peer = peer
        self.lease_until_ms = 0.0
        self.last_message_ms = 0.0
        self.highest_number = 0
        self.runs: dict[int, Run] = {}
        self.ends: dict[int, RunEnd] = {}
        self.unreported_ends: list[RunEnd] = []
        self.told_ms = 0.0
        self.is_state_reported = True

    def record_end(self, end: RunEnd) -> None:
        """Store the outcome of a run and add it to the next report."""
        self.ends[end.number] = end
        self.unreported_ends.append(end)
        while len(self.ends) > MAX_KEPT_ENDS:
            del self.ends[next(iter(self.ends))]


class BlockedOrder(NamedTuple):
    """Order for a task that still has a run, to be refused once that run has ended.

    :param dispatcher: who has sent the order
    :param number: number of the order
    """

    dispatcher: KnownDispatcher
    number: int


class RunTable:
    """All runs at one executor, indexed by dispatcher, by run key and by task.

    :ivar used_capacity: capacity taken by all runs that are not queued
    :ivar queued_capacity: capacity needed by all queued runs
    """

    def __init__(self):
        """Create an empty table."""
        self.dispatchers: dict[Peer, KnownDispatcher] = {}
        self._by_key: dict[RunKey, Run] = {}
        self._by_task: dict[str, Run] = {}
        self._blocked: dict[str, list[BlockedOrder]] = {}
        self.used_capacity: Resources = NO_RESOURCES
        self.queued_capacity: Resources = NO_RESOURCES

    def __iter__(self) -> Iterator[Run]:
        """Iterate over a snapshot of all runs."""
        return iter(list(self._by_key.values()))

    def __len__(self) -> int:
        """Return the number of runs, queued ones included."""
        return len(self._by_key)

    def get_dispatcher(self, peer: Peer) -> KnownDispatcher:
        """Return the entry of a dispatcher, and create it if there is none."""
        dispatcher = self.dispatchers.get(peer)
        if dispatcher is None:
            dispatcher = self.dispatchers[peer] = KnownDispatcher(peer)
        return dispatcher

    def find(self, key: RunKey) -> Run | None:
        """Return the run with a key, or None if there is none."""
        return self._by_key.get(key)

    def find_task(self, task: str) -> Run | None:
        """Return the run of a task regardless of its dispatcher, or None if there is none."""
        return self._by_task.get(task)

    def add(self, run: Run) -> None:
        """Add a queued run."""
        self.get_dispatcher(run.dispatcher).runs[run.order.number] = run
        self._by_key[run.key] = run
        self._by_task[run.order.task] = run
        self.queued_capacity = self.queued_capacity.add(run.order.need)

    def reserve(self, run: Run) -> None:
        """Reserve capacity for a queued run, which is about to start."""
        self.queued_capacity = self.queued_capacity.subtract(run.order.need)
        self.used_capacity = self.used_capacity.add(run.order.need)
        run.state = RunState.STARTING

    def rekey(self, run: Run, key: RunKey) -> None:
        """Change the key under which the minion knows a run."""
        self._by_key.pop(run.key, None)
        run.key = key
        self._by_key[key] = run

    def remove(self, run: Run) -> None:
        """Remove a run that has ended, and release its capacity."""
        if self._by_key.get(run.key) is not run:
            return
        del self._by_key[run.key]
        self._by_task.pop(run.order.task, None)
        dispatcher = self.dispatchers.get(run.dispatcher)
        if dispatcher is not None:
            dispatcher.runs.pop(run.order.number, None)
        if run.state is RunState.QUEUED:
            self.queued_capacity = self.queued_capacity.subtract(run.order.need)
        else:
            self.used_capacity = self.used_capacity.subtract(run.order.need)

    def block(self, task: str, order: BlockedOrder) -> None:
        """Add an order for a task that has a run."""
        self._blocked.setdefault(task, []).append(order)

    def is_blocked(self, dispatcher: KnownDispatcher, number: int) -> bool:
        """Return whether an order waits for the end of another run of its task."""
        order = BlockedOrder(dispatcher, number)
        return any(order in orders for orders in self._blocked.values())

    def pop_blocked(self, task: str) -> list[BlockedOrder]:
        """Remove and return the orders that wait for the end of a task's run."""
        return self._blocked.pop(task, [])

    def queued_runs(self) -> list[Run]:
        """Return the queued runs, those with the earliest latest start time first."""
        queued = [run for run in self._by_key.values() if run.state is RunState.QUEUED]
        return sorted(queued, key=lambda run: run.latest_start_ms)
