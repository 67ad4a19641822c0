"""Simulation of dispatchers, executors and minions in memory, on a manual clock."""

import eventlet

from geraniumspool.claim_messages import (
    ClaimJobs,
    ClaimVerdicts,
    EndClaims,
    FenceJobs,
    JobsFenced,
    OpenClaims,
    RelayClaims,
    RelayedClaims,
)
from geraniumspool.clock import ManualClock
from geraniumspool.contracts import KeyValue, Snapshot
from geraniumspool.counters import MemoryCounters
from geraniumspool.dispatcher import Dispatcher
from geraniumspool.dispatcher_peers import DispatcherPeers
from geraniumspool.errors import StoreUnavailable
from geraniumspool.evacuation_guard import EvacuationGuard
from geraniumspool.evacuations import Evacuations
from geraniumspool.executor import Executor
from geraniumspool.groups import GROUP_WORKERS
from geraniumspool.job_claims import JobClaims
from geraniumspool.job_messages import (
    CancelJob,
    DispatcherReport,
    DropJobs,
    ForwardedEnd,
    ForwardJob,
    JobCancelled,
)
from geraniumspool.job_router import JobRouter
from geraniumspool.job_specs import JobResult, JobSpec, StepSpec
from geraniumspool.memory_link import MemoryMessenger, MemoryNetwork
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.messages import Peer, WrongIncarnation
from geraniumspool.queues import Queue
from geraniumspool.registrations import (
    DISPATCHER_PREFIX,
    WORKER_PREFIX,
    DispatcherRecord,
    WorkerRecord,
    encode_record,
)
from geraniumspool.rooms import Resources
from geraniumspool.run_messages import RenewRuns, StartRuns, StopRuns, WorkerReport
from geraniumspool.wire_versions import make_incarnation

QUEUE = Queue("scan", "h.example", "/scan/", "fitting", 0, 2, 1.6, 60.0)
WORKER_RESOURCES = Resources(10_000, 10_000)
EVACUATIONS_PREFIX = "op/evacuate/"
EVACUATION_MS = 5_000.0
LONG_AGO_MS = 60_000.0
# Interval at which a dispatcher's watch of the store reads the evacuated domains.
WATCH_MS = 1_000


def make_spec(job_id, count=1, cpu=4_000, run_ms=100, how="", declared_ms=None, **step):
    """Return a job of one step, with a payload that :class:`MemoryMinion` understands.

    :param cpu: CPU need of a task in thousandths of a core
    :param run_ms: actual run time of a task
    :param how: how a task ends, for example ``fail`` or ``crash``, empty for success
    :param declared_ms: declared run time, ``run_ms`` if not given
    :param step: further fields of the :class:`StepSpec`
    """
    payload = f"{cpu}:{run_ms}" + (f":{how}" if how else "")
    declared = run_ms if declared_ms is None else declared_ms
    return JobSpec(job_id, payload, (StepSpec(count, Resources(cpu), declared, **step),))


class OperatorList:
    """Store content with the keys of the evacuated failure domains."""

    def __init__(self):
        self.domains = frozenset()
        self.revision = 1

    def change(self, *domains):
        """Replace the evacuated failure domains."""
        self.domains = frozenset(domains)
        self.revision += 1

    def list(self):
        """Return the keys as a snapshot of the store."""
        keys = [EVACUATIONS_PREFIX + domain for domain in sorted(self.domains)]
        return Snapshot(self.revision, tuple(KeyValue(key, b"{}", self.revision) for key in keys))


def make_guard(clock, counters, domain="north", operators=None):
    """Return a guard that has read the evacuated failure domains."""
    operators = operators or OperatorList()
    evacuations = Evacuations(clock, counters)
    evacuations.replace(operators.domains, operators.revision, clock.now())
    return EvacuationGuard(
        clock, domain, evacuations, operators.list, EVACUATIONS_PREFIX, EVACUATION_MS
    )


class SimulatedWorker:
    """An executor with its minion, messenger and green threads.

    :ivar number: number of its process, which distinguishes its incarnations
    :ivar is_cut_off: whether it can't reach the store
    """

    def __init__(
        self,
        world,
        name,
        incarnation=1,
        minion=None,
        fence=1,
        resources=WORKER_RESOURCES,
        domain="north",
    ):
        self.world = world
        self.name = name
        self.domain = domain
        self.number = incarnation
        self.is_cut_off = False
        self.minion = minion or MemoryMinion(world.clock, f"i-{name}", resources)
        self.counters = MemoryCounters()
        me = Peer(f"tcp://{name}", make_incarnation(incarnation))
        self.messenger = MemoryMessenger(world.network, me, self.counters)
        self.guard = EvacuationGuard(
            world.clock,
            domain,
            Evacuations(world.clock, self.counters),
            self._list_evacuated,
            EVACUATIONS_PREFIX,
            world.evacuation_ms,
        )
        self.executor = Executor(
            world.clock,
            self.minion,
            self.messenger.send,
            self.counters,
            domain,
            fence,
            self.guard,
        )
        handlers = {
            StartRuns: self.executor.handle_start,
            StopRuns: self.executor.handle_stop,
            RenewRuns: self.executor.handle_renewal,
            FenceJobs: self.executor.job_fences.handle_fence_jobs,
            RelayClaims: self.executor.job_fences.handle_relay_claims,
            WrongIncarnation: lambda sender, message: self.executor.expire_dispatcher(
                Peer(sender.address, message.meant)
            ),
        }
        self.messenger.start(lambda d: handlers[type(d.message)](d.sender, d.message))
        self.guard.refresh()
        self.tasks = [
            eventlet.spawn(self.executor.run_poll_loop),
            eventlet.spawn(self.executor.run_periodic_checks),
        ]
        eventlet.spawn_n(self.executor.handle_minion_report, self.minion.incarnation)

    @property
    def address(self):
        return f"tcp://{self.name}"

    def _list_evacuated(self):
        if self.is_cut_off:
            raise StoreUnavailable(f"store is unreachable from {self.address}")
        return self.world.operators.list()

    def kill(self):
        """End the executor process as a kill signal does; the minion keeps running."""
        for task in self.tasks:
            task.kill()
        self.messenger.stop()


class SimulatedDispatcher:
    """A dispatcher process with its messenger and green threads.

    :ivar is_cut_off: whether it can't reach the store
    """

    def __init__(self, world, name, incarnation=1, capacity=1.0, domain="north", is_cut_off=False):
        self.world = world
        self.is_cut_off = is_cut_off
        self.counters = MemoryCounters()
        # Without an announced version, the fields that messages have gained would be left out.
        me = Peer(f"tcp://{name}", make_incarnation(incarnation))
        self.messenger = MemoryMessenger(world.network, me, self.counters)
        policy = world.policy() if world.policy else None
        self.evacuations = Evacuations(world.clock, self.counters)
        self.record = DispatcherRecord(domain, capacity, gives_up_claims=True)
        self.peers = DispatcherPeers(
            world.clock, me, self.record, self.evacuations, world.group_workers
        )
        self.claims = JobClaims(
            world.clock,
            self.messenger.send,
            self.counters,
            me,
            domain,
            self.peers.views.values,
            lambda: self.peers.executors,
            # No process ran before the first ones, so that their claims need not wait.
            world.clock.now() - LONG_AGO_MS if incarnation == 1 else None,
        )
        self.claims.links = self.messenger
        self.peers.has_lost_members = lambda: self.claims.table.keeps_unannounced
        self.dispatcher = Dispatcher(
            world.clock,
            self.messenger.send,
            self.counters,
            domain,
            self.evacuations,
            self.claims,
            policy,
        )
        self.peers.is_connection_closed = self.messenger.is_connection_closed
        self.dispatcher.fleet.links = self.messenger
        self.router = JobRouter(
            world.clock,
            self.messenger.send,
            self.counters,
            domain,
            self.dispatcher,
            self.peers,
            self.evacuations,
            self.claims,
        )
        self.router.links = self.messenger
        self.router.returns_jobs = world.returns_jobs
        self.read_operators()
        handlers = {
            WorkerReport: self.dispatcher.handle_report,
            ForwardJob: self.router.handle_forward_job,
            ForwardedEnd: self.router.handle_forwarded_end,
            DropJobs: self.router.forwarded.handle_drop_jobs,
            CancelJob: self.router.cancels.handle_cancel_job,
            JobCancelled: self.router.cancels.handle_job_cancelled,
            DispatcherReport: self.router.handle_report,
            ClaimJobs: self.claims.handle_claim_jobs,
            OpenClaims: self.claims.handle_open_claims,
            ClaimVerdicts: self.claims.handle_claim_verdicts,
            EndClaims: self.claims.handle_end_claims,
            JobsFenced: self.claims.handle_jobs_fenced,
            RelayedClaims: self.claims.handle_relayed_claims,
            WrongIncarnation: self._handle_wrong_incarnation,
        }
        self.messenger.start(lambda d: handlers[type(d.message)](d.sender, d.message))
        self.tasks = self._spawn_ticks()
        for worker in world.workers:
            self.list_member(
                WORKER_PREFIX + worker.address,
                WorkerRecord(worker.domain, worker.minion.incarnation),
            )
        for other in (*world.dispatchers, self):
            self.list_member(DISPATCHER_PREFIX + other.address, other.record)
            other.list_member(DISPATCHER_PREFIX + self.address, self.record)
        self.router.update_members()

    @property
    def address(self):
        return self.messenger.local_peer.address

    def submit(self, spec, queue=QUEUE, timeout_ms=3_000.0):
        """Submit a job; return its caller, who gets the result once there is one."""
        answer = self.router.submit(spec, queue, timeout_ms)
        return self._make_caller(answer, self.router.wait)

    def submit_locally(self, spec, queue=QUEUE, timeout_ms=3_000.0):
        """Submit a job to this dispatcher itself, without forwarding to another one."""
        answer = self.dispatcher.submit(spec, queue, timeout_ms)
        return self._make_caller(answer, self.dispatcher.wait)

    def _make_caller(self, answer, wait):
        """Return the caller of an accepted or refused job."""
        caller = Caller()
        if isinstance(answer, JobResult):
            caller.set_result(answer, self.world.clock.now())
        else:
            caller.job = answer
            eventlet.spawn_n(lambda: caller.set_result(wait(answer), self.world.clock.now()))
        return caller

    def unlist_member(self, key):
        """Apply that a member's key was deleted from the store."""
        self.peers.directory.apply_change(key, None, self.world.clock.now())

    def list_member(self, key, record):
        """Apply that a member's key was written to the store."""
        self.peers.directory.apply_change(key, encode_record(record), self.world.clock.now())

    def handle_key_written(self, address):
        """Notify the dispatcher, as its watch does, that an executor has written its key."""
        self.dispatcher.fleet.handle_key_written(address)
        self.claims.handle_executor_start(address)

    def _spawn_ticks(self):
        tasks = (
            self.dispatcher.run_periodic_checks,
            self.router.run_periodic_checks,
            self._watch_operators,
        )
        return [eventlet.spawn(task) for task in tasks]

    def read_operators(self):
        """Read the evacuated domains from the store, as a watch does, unless cut off."""
        if not self.is_cut_off:
            now = self.world.clock.now()
            self.evacuations.replace(
                self.world.operators.domains, self.world.operators.revision, now
            )

    def _watch_operators(self):
        while True:
            self.world.clock.sleep(WATCH_MS)
            self.read_operators()

    def _handle_wrong_incarnation(self, sender, _message):
        self.dispatcher.fleet.handle_wrong_incarnation(sender)
        self.router.handle_wrong_incarnation(sender)

    def pause(self):
        """Stop the green threads until :meth:`resume`, as a paused process does."""
        for task in self.tasks:
            task.kill()

    def resume(self):
        """Restart the green threads."""
        self.tasks = self._spawn_ticks()

    def kill(self):
        """End the process and lose its state."""
        for task in self.tasks:
            task.kill()
        self.messenger.stop()


class Caller:
    """A caller of a job.

    :ivar job: the job while it is running, None if it was refused
    :ivar result: the job's result, None until it is known
    :ivar at_ms: clock time in ms at which the result arrived
    """

    def __init__(self):
        self.job = None
        self.result = None
        self.at_ms = None

    def set_result(self, result, now):
        self.result = result
        self.at_ms = now

    @property
    def outcome(self):
        return self.result.outcome if self.result else None


class DispatchWorld:
    """Dispatchers and workers on a simulated network.

    :ivar dispatchers: the dispatchers
    :ivar domains: failure domains, to which processes are assigned in turn
    """

    def __init__(
        self,
        workers=3,
        dispatchers=1,
        policy=None,
        worker_resources=None,
        group_workers=GROUP_WORKERS,
        capacities=(),
        domains=("north",),
        evacuation_ms=EVACUATION_MS,
        returns_jobs=False,
    ):
        self.operators = OperatorList()
        self.evacuation_ms = evacuation_ms
        self.returns_jobs = returns_jobs
        self.domains = domains
        self.policy = policy
        self.group_workers = group_workers
        self.dispatchers = []
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock, delay_ms=1.0)
        worker_resources = worker_resources or [WORKER_RESOURCES] * workers
        self.workers = [
            SimulatedWorker(
                self, f"w{number}", resources=resources, domain=domains[number % len(domains)]
            )
            for number, resources in enumerate(worker_resources)
        ]
        self.clock.advance(20)
        for number in range(dispatchers):
            capacity = capacities[number] if number < len(capacities) else 1.0
            domain = domains[number % len(domains)]
            self.dispatchers.append(
                SimulatedDispatcher(self, f"h{number}", capacity=capacity, domain=domain)
            )
        for dispatcher in self.dispatchers:
            dispatcher.router.update_members()
        self.clock.advance(200)

    @property
    def dispatcher(self):
        return self.dispatchers[0]

    def evacuate(self, *domains):
        """Set the evacuated failure domains, as operators do."""
        self.operators.change(*domains)
        for dispatcher in self.dispatchers:
            dispatcher.read_operators()

    def close(self):
        """Stop all green threads."""
        for part in (*self.workers, *self.dispatchers):
            part.kill()

    def start_count(self, task):
        """Return how many times a task was started on any minion."""
        return sum(key.task == task for worker in self.workers for key in worker.minion.started)

    def find_duplicate_runs(self):
        """Return the tasks that are running on two minions at the same time."""
        running = [task for worker in self.workers for task in worker.minion.running]
        return {task for task in running if running.count(task) > 1}
