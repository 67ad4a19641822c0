"""Messages between dispatchers and executors.

A run is one execution of one task. A dispatcher orders it; the executor beside the minion starts it
at most once and reports how it ended. A dispatcher must hold a lease at the executor for its runs
to continue. Each report carries the executor's clock, the dispatcher echoes the latest value that
it has received, and the lease is counted from the echoed value. A delayed message therefore does
not extend a lease. All times are in milliseconds.
"""

from typing import NamedTuple

from geraniumspool.rooms import NO_RESOURCES, Resources

RUN_DONE = "done"
RUN_FAILED = "failed"
RUN_STOPPED = "stopped"
RUN_LAPSED = "lapsed"
RUN_REFUSED = "refused"

# Values of ``RunEnd.reason``. A job fence reserves the job for another dispatcher.
FENCED = "fenced"
# Another run of the task was active on the executor, and has ended since.
TASK_ACTIVE = "task_active"

# Value of ``WorkerState.departure_ms``: it is not known when the minion shuts down.
UNKNOWN_DEPARTURE = -1.0


class EvacuationNews(NamedTuple):
    """What the sender knows about evacuated failure domains.

    :param revision: store revision at which they were listed, 0 if nothing is known
    :param domains: all evacuated domains, sorted
    :param age_ms: time since the store confirmed the list
    """

    revision: int = 0
    domains: tuple[str, ...] = ()
    age_ms: float = 0.0


class RunOrder(NamedTuple):
    """Order to run one task once.

    :param number: order number, increasing during the lifetime of the dispatcher process
    :param task: name of the task, the same for all its runs
    :param attempt: attempt number of the task, increasing from 1
    :param payload: passed to the minion unchanged
    :param need: capacity that the run occupies until it ends
    :param expected_ms: estimated duration on a worker of usual speed
    :param slack_ms: time left until a start would make the job miss its deadline
    :param patience_ms: longest time in the executor's queue; the run is refused after it
    :param limit_ms: time left until the caller stops waiting
    :param fence_rank: rank of the job fence that the executor must hold for this dispatcher, 0 if
        none is needed
    :param claim_age_ms: how long before the arrival of the echoed clock value the claim on the job
        was first granted; 0 if it was granted later, or if the dispatcher does not say
    """

    number: int
    task: str
    attempt: int
    payload: str
    need: Resources
    expected_ms: float
    slack_ms: float
    patience_ms: float
    limit_ms: float
    fence_rank: int = 0
    claim_age_ms: float = 0.0


class StartRuns(NamedTuple):
    """Sent by a dispatcher to order runs at an executor.

    :param echo_ms: latest clock value received from the executor
    :param orders: runs to start
    :param evacuations: what the dispatcher knows about evacuated domains
    """

    echo_ms: float
    orders: tuple[RunOrder, ...]
    evacuations: EvacuationNews = EvacuationNews()


class StopRuns(NamedTuple):
    """Sent by a dispatcher to stop runs, or to cancel them if they have not started.

    :param numbers: order numbers of the runs
    """

    numbers: tuple[int, ...]


class RenewRuns(NamedTuple):
    """Sent by a dispatcher as a heartbeat that renews its lease and lists the runs it wants.

    The executor answers with a report. In it, it repeats the outcomes of listed runs that have
    ended, and reports listed runs that it does not know as lapsed. It stops runs that are missing
    from the list.

    :param echo_ms: latest clock value received from the executor, 0 if none
    :param numbers: order numbers of the runs without a known outcome
    :param upto: highest order number that the list covers, also if it is empty; later runs are left
        alone
    :param is_listed: whether the executor is registered in the store as seen by the dispatcher
    :param evacuations: what the dispatcher knows about evacuated domains
    """

    echo_ms: float
    numbers: tuple[int, ...] = ()
    upto: int = 0
    is_listed: bool = True
    evacuations: EvacuationNews = EvacuationNews()


class RunEnd(NamedTuple):
    """Outcome of one run.

    :param number: order number of the run
    :param how: one of the RUN_ constants; a refused run was never started and never will be
    :param ran_ms: time from start to end, 0 if it was never started
    :param reason: why it was refused or stopped, for logs
    """

    number: int
    how: str
    ran_ms: float = 0.0
    reason: str = ""


class Straggler(NamedTuple):
    """Run whose predicted duration far exceeds the expected one.

    :param number: order number of the run
    :param left_ms: predicted time until it ends
    """

    number: int
    left_ms: float


class WorkerState(NamedTuple):
    """State and capacity of a worker.

    :param instance: name of the minion served, empty if there is none
    :param service: service whose tasks the minion runs
    :param domain: failure domain of the worker
    :param rack: rack of the minion, empty if it has none
    :param labels: labels of the minion
    :param accepts: whether new runs are accepted
    :param room: total capacity of the minion
    :param used: capacity held by runs that are starting, running or stopping
    :param reserved: capacity needed by runs queued at the executor
    :param pace: ratio of actual to expected run times, 1 at usual speed
    :param departure_ms: least time until the minion shuts down, counted from the report;
        :data:`UNKNOWN_DEPARTURE` if it does not shut down or does not say when
    """

    instance: str = ""
    service: str = ""
    domain: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    accepts: bool = False
    room: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    reserved: Resources = NO_RESOURCES
    pace: float = 1.0
    departure_ms: float = UNKNOWN_DEPARTURE

    @property
    def free(self) -> Resources:
        """Return the capacity that is neither used nor reserved; negative if overcommitted."""
        return self.room.subtract(self.used).subtract(self.reserved)


class WorkerReport(NamedTuple):
    """Sent by an executor to report the outcomes of runs and its own state.

    :param now_ms: the executor's clock, which the dispatcher echoes
    :param upto: highest order number handled; ``state`` includes the runs up to it
    :param ends: outcomes to report
    :param state: state and capacity of the worker
    :param stragglers: runs that take far longer than expected
    """

    now_ms: float
    upto: int
    ends: tuple[RunEnd, ...]
    state: WorkerState
    stragglers: tuple[Straggler, ...] = ()
