"""Messages between dispatchers: forwarded jobs, and reports of the load that each can take.

The dispatcher that received a caller's request, the job's entry dispatcher, forwards the job to
a dispatcher that owns workers with room for it, the owner. An owner runs forwarded jobs only
under a lease of the entry dispatcher. The lease counts from a reading of the owner's clock that
the entry dispatcher echoes, so a delayed message doesn't extend it. Times are in milliseconds.
"""

from typing import NamedTuple

from geraniumspool.job_specs import JobResult, JobSpec
from geraniumspool.queued_work import NO_WORK, QueuedWork
from geraniumspool.queues import Queue
from geraniumspool.room_shares import QueueShare
from geraniumspool.run_messages import EvacuationNews


class ServiceLoad(NamedTuple):
    """Total capacity and load of an owner's workers of one service.

    :param service: name of the service
    :param room_cpu: processor room of all usable workers, in thousandths of a core
    :param free_cpu: part of it that is free and that no queued task will take, in thousandths of a
        core
    :param run_ms: mean duration of a run
    :param queued: work that is queued for these workers
    :param racks: racks that these workers are in
    :param served: capacity that each queue got recently
    """

    service: str
    room_cpu: float
    free_cpu: float
    run_ms: float
    queued: QueuedWork = NO_WORK
    racks: tuple[str, ...] = ()
    served: tuple[QueueShare, ...] = ()


class ForwardJob(NamedTuple):
    """Entry dispatcher to owner: run this job.

    :param number: identifies the forwarding; increases within the entry dispatcher's incarnation
    :param queue: settings of the queue, from the configuration of the entry dispatcher
    :param version: version of that configuration
    :param age_ms: time since the job arrived at the entry dispatcher
    :param wait_ms: how long the caller waits for the answer, counted from the job's arrival
    :param echo_ms: the owner's clock as it last reported it
    :param may_return: whether the owner may give the job back with the code ``returned``; false for
        a job that was returned once, and from builds that do not know the code
    """

    number: int
    spec: JobSpec
    queue: Queue
    version: int
    age_ms: float
    wait_ms: float
    echo_ms: float
    may_return: bool = False


class ForwardedEnd(NamedTuple):
    """Owner to entry dispatcher: the result of a forwarded job.

    :param number: number from the ``ForwardJob`` message
    :param result: how the job ended; outcome ``GONE`` if the entry dispatcher dropped it or its
        lease expired
    """

    number: int
    result: JobResult


class DropJobs(NamedTuple):
    """Entry dispatcher to owner: no caller waits for these jobs any more.

    :param numbers: numbers from the ``ForwardJob`` messages
    """

    numbers: tuple[int, ...]


class CancelJob(NamedTuple):
    """Dispatcher to dispatcher: a caller has cancelled this job, which must not run any more."""

    job_id: str


class JobCancelled(NamedTuple):
    """Answer to ``CancelJob``: the job has ended at this dispatcher, and is not accepted again.

    :param was_known: whether it was running or queued there
    """

    job_id: str
    was_known: bool


class DispatcherReport(NamedTuple):
    """Periodic report of a dispatcher to another; also renews the sender's lease there.

    :param now_ms: the sender's clock, which the receiver echoes
    :param echo_ms: the receiver's clock as it last reported it, 0 if it has not
    :param is_leaving: whether the sender is about to exit
    :param numbers: numbers of the jobs forwarded to the receiver and not answered
    :param upto: ``numbers`` is complete up to this number; later jobs may be missing
    :param loads: capacity and load of the sender's workers, one entry for each service
    :param evacuations: evacuated domains as the sender knows them
    :param unlisted: addresses of workers that the sender uses and does not find in the store
    :param busy_share: part of its processor share that the sender uses, -1 if unknown
    """

    now_ms: float
    echo_ms: float
    is_leaving: bool
    numbers: tuple[int, ...]
    upto: int
    loads: tuple[ServiceLoad, ...]
    evacuations: EvacuationNews = EvacuationNews()
    unlisted: tuple[str, ...] = ()
    busy_share: float = -1.0
