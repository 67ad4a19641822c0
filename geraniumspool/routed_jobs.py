"""Jobs of a dispatcher's callers, as their entry dispatcher keeps them."""

from typing import TypeAlias

from eventlet.event import Event

from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.dispatcher_peers import PeerView
from geraniumspool.job_specs import JobResult, JobSpec
from geraniumspool.messages import Peer
from geraniumspool.queues import Queue


class ForwardedJob:
    """A caller's job that is forwarded, or held until there is an owner to forward it to.

    All times are readings of this process's clock in milliseconds.

    :ivar timeout_ms: how long its caller waits for an answer, in milliseconds
    :ivar version: version of the configuration that ``queue`` is from
    :ivar number: number of the last message that forwarded it, 0 before the first
    :ivar owner: dispatcher that it was forwarded to, None while this one places or holds it
    :ivar owner_peer: address and incarnation of that dispatcher when the job was sent
    :ivar sent_ms: when it was last forwarded
    :ivar last_message_ms: when ``owner_peer`` was last heard, or was sent the job if that is later
    :ivar tried: addresses of the dispatchers that it was forwarded to, and ``THIS_PROCESS``
    :ivar local: the job at the dispatcher of this process, if that places it after all
    :ivar may_have_run: whether a lost owner may have started some of its tasks
    :ivar held_ms: since when it is held until an owner is known
    :ivar holder_redirects: how often it was sent to the dispatcher that holds its claim
    :ivar was_returned: whether an owner has returned it because another one had free capacity
    :ivar waiters: number of callers that wait for the result
    :ivar result: how it ended, None before
    """

    def __init__(self, spec: JobSpec, queue: Queue, timeout_ms: float, version: int, now: float):
        """Initialize a job that has just arrived.

        :param now: current time in milliseconds
        """
        self.spec = spec
        self.queue = queue
        self.timeout_ms = timeout_ms
        self.version = version
        self.arrived_ms = now
        self.number = 0
        self.owner: PeerView | None = None
        self.owner_peer: Peer | None = None
        self.sent_ms = 0.0
        self.last_message_ms = 0.0
        self.tried: set[str] = set()
        self.may_have_run = False
        self.holder_redirects = 0
        self.was_returned = False
        self.local: DispatchJob | None = None
        self.finished = Event()
        self.result: JobResult | None = None
        self.waiters = 1
        self.held_ms = now


RoutedJob: TypeAlias = ForwardedJob | DispatchJob
