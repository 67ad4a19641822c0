"""In-memory simulation of a whole deployment on one manual clock, with fault injection."""

import io
import itertools
import json
import logging
import random
from collections import Counter
from typing import NamedTuple

import eventlet
from eventlet import hubs
from eventlet.event import Event
from greenlet import GreenletExit

from geraniumspool.agent import Agent
from geraniumspool.clock import BaseClock, ManualClock, Timer
from geraniumspool.contracts import Announcement
from geraniumspool.entry import Entry
from geraniumspool.errors import NotStarted
from geraniumspool.idempotency import make_key
from geraniumspool.memory_link import MemoryMessenger, MemoryNetwork
from geraniumspool.memory_store import MemoryStore
from geraniumspool.messages import Peer
from geraniumspool.metrics import Metrics
from geraniumspool.minion import MemoryMinionClient
from geraniumspool.settings import AgentSettings, EntrySettings
from geraniumspool.ticket import Keyring
from geraniumspool.web import WebApplication
from tests.processes import SERVICE, TEAM, TICKET_KEY, TOKEN

STARTUP_MS = 3_500.0
RECOVERY_MS = 60_000.0
END_MS = 5_000.0


class WorldClock(ManualClock):
    """Manual clock that lets green threads run until none of them is ready."""

    MAX_ROUNDS = 2_000

    def run_ready_threads(self) -> None:
        hub = hubs.get_hub()
        for _ in range(self.MAX_ROUNDS):
            eventlet.sleep(0)
            is_due = hub.timers and hub.timers[0][0] <= hub.clock()
            if not hub.next_timers and not is_due:
                return
        raise AssertionError(f"green threads still ready after {self.MAX_ROUNDS} rounds")


class ProcessClock(BaseClock):
    """Clock of one process, driven by the clock of the world.

    Timers that come due while the process is frozen fire when it thaws. Those of a dead process
    never fire.

    :ivar paused_ms: total time in milliseconds that the process has been frozen
    """

    def __init__(self, world: ManualClock):
        self._world = world
        self._held_timers: list[Timer] = []
        self._thaw_event = Event()
        self._thaw_event.send()
        self.frozen = False
        self.dead = False
        self.paused_ms = 0.0
        self._frozen_at_ms = 0.0

    def now(self) -> float:
        return self._world.now()

    def wall_ms(self) -> int:
        return self._world.wall_ms()

    def after(self, delay_ms, callback) -> Timer:
        timer = Timer(callback)
        self._world.after(delay_ms, lambda: self._fire(timer))
        return timer

    def freeze(self) -> None:
        self.frozen = True
        self._frozen_at_ms = self.now()
        self._thaw_event = Event()

    def thaw(self) -> None:
        self.frozen = False
        self.paused_ms += self.now() - self._frozen_at_ms
        held, self._held_timers = self._held_timers, []
        for timer in held:
            timer.fire()
        self._thaw_event.send()

    def die(self) -> None:
        """Drop all timers for good; if the process is frozen, count that time as paused."""
        if self.frozen:
            self.paused_ms += self.now() - self._frozen_at_ms
        self.dead = True

    def block_while_frozen(self) -> None:
        """Block the calling green thread while the process is frozen.

        :raises GreenletExit: if the process is dead
        """
        self._thaw_event.wait()
        if self.dead:
            raise GreenletExit

    def _fire(self, timer: Timer) -> None:
        if self.frozen:
            self._held_timers.append(timer)
        elif not self.dead:
            timer.fire()


class ProcessMessenger(MemoryMessenger):
    """Messenger that sends nothing once its process is dead."""

    def __init__(self, network, local_peer, counters, clock: ProcessClock):
        super().__init__(network, local_peer, counters)
        self._clock = clock

    def send(self, peer, message) -> bool:
        return not self._clock.dead and super().send(peer, message)


class CountingMinionClient:
    """Minion of one agent, which counts the starts of tasks and outlives the agent.

    :ivar starts: starts of tasks by the value in the payload
    """

    def __init__(self, clock: ProcessClock, world: "World"):
        self.inner = MemoryMinionClient(world.clock)
        self.starts: Counter = Counter()
        self._clock = clock
        self._world = world

    def run(self, minion, task_id, payload, timeout_ms) -> bytes:
        self._clock.block_while_frozen()
        value = json.loads(payload)["value"]
        self._count(value, 1)
        try:
            return self.inner.run(minion, task_id, payload, timeout_ms)
        except NotStarted:
            self._count(value, -1)
            raise
        finally:
            self._clock.block_while_frozen()

    def stop(self, minion, task_id) -> bool:
        return self.inner.stop(minion, task_id)

    def _count(self, value: str, amount: int) -> None:
        self.starts[value] += amount
        self._world.starts[value] += amount


class FaultyNetwork(MemoryNetwork):
    """Network that can also lose the next messages of a type, delay a type, or fault at random.

    :ivar lose_next: how many of the next messages to lose, by type name
    :ivar delay_ms_by_kind: extra delay in milliseconds, by type name
    :ivar random_faults: random source that loses, duplicates or delays any message; None for no
        random faults
    """

    STORM_LOSS_SHARE = 0.15
    STORM_DUPLICATE_SHARE = 0.15
    STORM_DELAY_SHARE = 0.15

    def __init__(self, clock):
        super().__init__(clock, delay_ms=1.0)
        self.lose_next: Counter = Counter()
        self.delay_ms_by_kind: dict[str, float] = {}
        self.random_faults: random.Random | None = None

    def transmit(self, sender, receiver, message, data) -> None:
        kind = type(message).__name__
        if self.random_faults is not None:
            self._carry_in_storm(sender, receiver, message, data)
            return
        if self.lose_next[kind] > 0:
            self.lose_next[kind] -= 1
            self.sent.append((sender, receiver, message))
            return
        if kind in self.delay_ms_by_kind and not self.is_lost(sender.address, receiver.address):
            self.sent.append((sender, receiver, message))
            self._carry_late(sender, receiver, message, data, self.delay_ms_by_kind[kind])
            return
        super().transmit(sender, receiver, message, data)

    def _carry_in_storm(self, sender, receiver, message, data) -> None:
        self.sent.append((sender, receiver, message))
        draw = self.random_faults.random()
        if draw < self.STORM_LOSS_SHARE or self.is_lost(sender.address, receiver.address):
            return
        copies = 2 if draw < self.STORM_LOSS_SHARE + self.STORM_DUPLICATE_SHARE else 1
        for _ in range(copies):
            is_late = self.random_faults.random() < self.STORM_DELAY_SHARE
            late_ms = (
                self.random_faults.expovariate(1 / 1_500.0)
                if is_late
                else self.random_faults.random()
            )
            self._carry_late(sender, receiver, message, data, late_ms)

    def _carry_late(self, sender, receiver, message, data, late_ms: float) -> None:
        self.clock.after(self.delay_ms + late_ms, lambda: self._deliver(receiver.address, data))

    def clear(self) -> None:
        """End every fault and thaw every frozen address."""
        self.random_faults = None
        self.heal()
        self.dropped_kinds.clear()
        self.duplicated_kinds.clear()
        self.lose_next.clear()
        self.delay_ms_by_kind.clear()
        for address in list(self.held_messages):
            self.resume(address)

    def count(self, kind: type, receiver: Peer | None = None) -> int:
        """Return how many messages of a type were sent, lost ones included.

        :param receiver: count only messages to this process; None counts all
        """
        rows = (row for row in self.sent if isinstance(row[2], kind))
        return sum(receiver is None or row[1] == receiver for row in rows)


class Process(NamedTuple):
    """One process of the simulated deployment.

    :param minion: None for an entry
    """

    application: Agent | Entry
    clock: ProcessClock
    peer: Peer
    domain: str
    minion: CountingMinionClient | None


class Job(NamedTuple):
    """Job that a caller submits.

    :param name: unique name, from which the values in the tasks' payloads are made
    :param ticket: empty for a job that is submitted by POST
    :param run_times_ms: run time of each task in milliseconds
    """

    name: str
    ticket: str
    run_times_ms: tuple[float, ...]
    deadline_ms: float

    @property
    def values(self) -> list[str]:
        return [f"{self.name}.{index}" for index in range(len(self.run_times_ms))]


class Call:
    """One HTTP request and its response.

    :ivar ended_ms: time of the response in milliseconds; None while the request is in flight
    :ivar status: HTTP status; 0 while in flight or if the connection broke
    :ivar document: decoded body of the response
    """

    def __init__(self, job: Job, entry: Process, sent_ms: float):
        self.job = job
        self.entry = entry
        self.sent_ms = sent_ms
        self.paused_ms = entry.clock.paused_ms
        self.ended_ms: float | None = None
        self.status = 0
        self.document: dict = {}
        self.task = None

    @property
    def outcome(self) -> str:
        return self.document.get("outcome", self.document.get("state", ""))


class World:
    """Deployment of entries, agents, minions, store and network inside the test process.

    :ivar starts: starts of tasks at all minions, by the value in the payload
    :ivar calls: every request so far, in the order of submission
    """

    def __init__(self, domains=2, agents=1, entries=1, slots=2, seed=1, **agent_settings):
        self.clock = WorldClock()
        self.network = FaultyNetwork(self.clock)
        self.store = MemoryStore(self.clock)
        self.keyring = Keyring([TICKET_KEY])
        self.starts: Counter = Counter()
        self.calls: list[Call] = []
        self.processes: list[Process] = []
        self.entries: list[Process] = []
        self.agents: list[Process] = []
        self._slots = slots
        self._settings = agent_settings
        self._random = random.Random(seed)
        self._ports = itertools.count(7001)
        self._names = itertools.count(1)
        self._keys: dict[str, str] = {}
        for number in range(domains):
            for _ in range(entries):
                self.add_entry(f"d{number}")
        self.run(200.0)
        for number in range(domains):
            for _ in range(agents):
                self.add_agent(f"d{number}")
        self.run(STARTUP_MS)

    def add_entry(self, domain: str, address: str = "") -> Process:
        clock, messenger, metrics = self._make_infrastructure("entry", domain, address)
        settings = EntrySettings(domain, TOKEN, (TICKET_KEY,), ("http://127.0.0.1:1",))
        entry = Entry(settings, messenger, self.store, clock, metrics)
        entry.callers._homes._random = random.Random(self._random.randrange(1 << 30))
        process = Process(entry, clock, messenger.local_peer, domain, None)
        self.entries.append(process)
        return self._start(process)

    def add_agent(self, domain: str, address: str = "") -> Process:
        clock, messenger, metrics = self._make_infrastructure("agent", domain, address)
        minion = CountingMinionClient(clock, self)
        announced = Announcement(SERVICE, "http://127.0.0.1:1", self._slots, 64)
        settings = AgentSettings(
            domain,
            ("http://127.0.0.1:1",),
            minion=announced,
            entries=tuple(entry.peer.address for entry in self.entries),
            **self._settings,
        )
        agent = Agent(settings, messenger, self.store, minion, clock, metrics)
        agent.home._placer._placement._random = random.Random(self._random.randrange(1 << 30))
        process = Process(agent, clock, messenger.local_peer, domain, minion)
        self.agents.append(process)
        return self._start(process)

    def _make_infrastructure(self, role: str, domain: str, address: str):
        clock = ProcessClock(self.clock)
        metrics = Metrics(role, domain)
        peer = Peer(address or f"tcp://127.0.0.1:{next(self._ports)}", self._random.getrandbits(62))
        return clock, ProcessMessenger(self.network, peer, metrics, clock), metrics

    def _start(self, process: Process) -> Process:
        self.processes.append(process)
        process.application.start()
        self.clock.run_ready_threads()
        return process

    def run(self, delay_ms: float) -> None:
        self.clock.advance(delay_ms)

    def kill(self, process: Process) -> None:
        """Kill a process as SIGKILL does: at once, and breaking its connections."""
        process.clock.die()
        for call in self.calls:
            if call.entry is process and call.ended_ms is None:
                call.task.kill()
        process.application.stop()
        for group in (self.entries, self.agents, self.processes):
            if process in group:
                group.remove(process)
        self.clock.run_ready_threads()

    def replace(self, process: Process) -> Process:
        """Kill a process, start another one at the same address and return it."""
        self.kill(process)
        add = self.add_agent if process.minion else self.add_entry
        return add(process.domain, process.peer.address)

    def freeze(self, process: Process) -> None:
        """Suspend a process as SIGSTOP does."""
        process.clock.freeze()
        self.network.pause(process.peer.address)

    def thaw(self, process: Process) -> None:
        """Resume a frozen process: overdue timers fire first, then its messages arrive."""
        if process.clock.frozen:
            process.clock.thaw()
            self.network.resume(process.peer.address)
            self.clock.run_ready_threads()

    def make_job(
        self, home: Process | None, run_times_ms=(100.0, 100.0, 100.0), deadline_ms=8_000.0
    ) -> Job:
        """Return a job with one task for each run time.

        :param home: agent that the job's ticket names; None for a job without a ticket
        :param run_times_ms: run time of each task in milliseconds
        """
        ticket = ""
        if home is not None:
            ticket = self.keyring.issue(home.peer, SERVICE, self.clock.wall_ms())
        return Job(f"job{next(self._names)}", ticket, tuple(run_times_ms), deadline_ms)

    def submit(self, entry: Process, job: Job, key: str = "") -> Call:
        """Submit a job by PUT under its ticket, or by POST if it has none.

        :param key: name under which an idempotency key is kept, created on first use;
            empty for no key
        """
        tasks = [
            {"payload": {"run_ms": run, "value": value}, "run_ms": run}
            for run, value in zip(job.run_times_ms, job.values, strict=True)
        ]
        body = {"service": SERVICE, "team": TEAM, "deadline_ms": job.deadline_ms, "tasks": tasks}
        method, path = ("PUT", f"/v1/jobs/{job.ticket}") if job.ticket else ("POST", "/v1/jobs")
        if key:
            key = self._keys.setdefault(key, make_key(self.clock.wall_ms()))
        return self.request(entry, job, method, path, json.dumps(body).encode(), key)

    def cancel(self, entry: Process, job: Job) -> Call:
        return self.request(entry, job, "DELETE", f"/v1/jobs/{job.ticket}")

    def request(self, entry, job, method, path, body=b"", key="") -> Call:
        call = Call(job, entry, self.clock.now())
        self.calls.append(call)
        call.task = eventlet.spawn(self._exchange, call, method, path, body, key)
        self.clock.run_ready_threads()
        return call

    def _exchange(self, call: Call, method: str, path: str, body: bytes, key: str) -> None:
        application = call.entry.application
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)) if body else "",
            "headers_raw": (),
            "wsgi.input": io.BytesIO(body),
        }
        if key:
            environ["HTTP_IDEMPOTENCY_KEY"] = key
        statuses = []
        routes = application.callers.routes()
        web = WebApplication(routes, 1 << 22, application.metrics, logging.getLogger(__name__))
        try:
            chunks = web(environ, lambda status, _headers: statuses.append(int(status[:3])))
            call.document = json.loads(b"".join(chunks))
            call.status = statuses[0]
        finally:
            call.ended_ms = self.clock.now()

    def end_faults_and_settle(self) -> None:
        """End every fault, deliver delayed messages, and run until the system is idle."""
        self.store.down = False
        self.network.clear()
        for process in list(self.processes):
            self.thaw(process)
        self.run(RECOVERY_MS)

    def count_starts(self, job: Job) -> int:
        """Return how often tasks of the job were started in total."""
        return sum(self.starts[value] for value in job.values)

    def find_violations(self, answer_margin_ms: float = END_MS) -> list[str]:
        """Return descriptions of violated guarantees; call after :meth:`end_faults_and_settle`.

        Checked are: no task was started twice, every request was answered in time, no job
        reported as not run was started, and complete jobs have the results of their own tasks.

        :param answer_margin_ms: time in milliseconds after its deadline by which a job must be
            answered
        """
        violations = [f"{value} started {n} times" for value, n in self.starts.items() if n > 1]
        for call in self.calls:
            violations += self._check_call(call, answer_margin_ms)
        return violations

    def _check_call(self, call: Call, end_ms: float) -> list[str]:
        job = call.job
        if call.ended_ms is None:
            return [f"{job.name} was never answered"]
        violations = []
        paused_ms = call.entry.clock.paused_ms - call.paused_ms
        took_ms = call.ended_ms - call.sent_ms - paused_ms
        if took_ms > job.deadline_ms + end_ms:
            violations.append(f"{job.name} was answered after {took_ms:.0f} ms")
        if call.outcome == "not_run" and self.count_starts(job):
            violations.append(
                f"{job.name} was answered not_run, with {self.count_starts(job)} starts"
            )
        if call.outcome == "complete":
            values = [row["value"] for row in call.document["results"]]
            if values != job.values:
                violations.append(f"{job.name} got the results of {values}")
        if call.status == 500 or (call.status == 0 and not call.entry.clock.dead):
            violations.append(f"{job.name} got status {call.status}: {call.document}")
        return violations

    def stop(self) -> None:
        for process in self.processes:
            process.clock.dead = True
        for process in list(self.processes):
            self.kill(process)
            process.application.metrics.close()
