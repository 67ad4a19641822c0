"""Costs of jobs at one home and at one runner, each measured alone with simulated peers."""

import logging
import time

import eventlet

from benchmarks.slope_fit import (
    US_PER_S,
    Point,
    Slope,
    fit,
    median_us,
    memory_bytes,
    processor_us,
)
from benchmarks.slope_membership import SERVICE, CountingMessenger, make_member
from geraniumspool.agent import Agent
from geraniumspool.clock import SystemClock
from geraniumspool.contracts import Announcement
from geraniumspool.counters import MemoryCounters
from geraniumspool.decisions import DecisionLog
from geraniumspool.members import ROLE_AGENT, ROLE_ENTRY, peer_of
from geraniumspool.memory_store import MemoryStore
from geraniumspool.messages import (
    Answer,
    Load,
    Message,
    Offer,
    OfferedTask,
    Peer,
    Record,
    Results,
    Submit,
    Task,
    TaskResult,
    decode,
    encode,
)
from geraniumspool.records import Records
from geraniumspool.settings import AgentSettings
from geraniumspool.ticket import Keyring, decode_unverified

JOB_SIZES = (1, 8, 40, 340)
WORKER_COUNTS = (11, 100, 551)
TIMED_TASKS = 680
SLOTS = 8
DEADLINE_MS = 86_400_000.0
RUN_MS = 50.0
PAYLOAD = b'{"value":12345678,"run_ms":50}'
RESULT = b'{"value":12345678,"minion":"10.0.0.1:9000","task":"1f.1"}'
RECORD_COUNT = 1000
WIDE_JOB_TASKS = 340
DECISION_COUNT = 5000
TICKET_COUNT = 2000
KEY = "ticket-key-for-slopes-001"
LOG = logging.getLogger("benchmarks.quiet")


class InstantMinion:
    """Minion client whose tasks complete at once."""

    def run(self, minion: Announcement, task_id: str, payload: bytes, timeout_ms: float) -> bytes:
        """Return a result of typical length; see :data:`RESULT`."""
        eventlet.sleep(0)
        return RESULT

    def stop(self, minion: Announcement, task_id: str) -> bool:
        """Return True, as for a task that was stopped."""
        return True


class RecordingMessenger(CountingMessenger):
    """Outbox that also keeps the sent messages in order.

    :ivar sent: receivers and messages since the last :meth:`take_all`
    """

    def __init__(self, me: Peer):
        """Start empty.

        :param me: sender of all messages
        """
        super().__init__(me)
        self.sent: list[tuple[Peer, Message]] = []

    def send(self, peer: Peer, message: Message) -> bool:
        """Encode, count and keep a message."""
        self.sent.append((peer, message))
        return super().send(peer, message)

    def take_all(self) -> list[tuple[Peer, Message]]:
        """Return the messages sent since the last call, with their receivers."""
        sent, self.sent = self.sent, []
        return sent


def make_agent(wire: RecordingMessenger, domain: str) -> Agent:
    """Return an agent with an in-memory store and minion; it is not started."""
    clock = SystemClock()
    counters = MemoryCounters()
    settings = AgentSettings(domain, ("http://127.0.0.1:9",))
    store = MemoryStore(clock, counters)
    return Agent(settings, wire, store, InstantMinion(), clock, counters)


class HomeHarness:
    """A home without a minion, among generated workers that run no tasks.

    :ivar home_us: processor time spent in the home in microseconds, encoding included
    :ivar offers: number of offers answered so far
    """

    def __init__(self, workers: int):
        """Make the home; every other worker is in another failure domain.

        :param workers: number of workers in its roster
        """
        me = make_member(0, 9999, ROLE_AGENT)
        self.wire = RecordingMessenger(peer_of(me))
        self.entry = peer_of(make_member(0, 0, ROLE_ENTRY))
        agent = make_agent(self.wire, me.domain)
        for number in range(workers):
            member = make_member(number % 2, number // 2, ROLE_AGENT)
            agent.roster.apply_indirect(member._replace(load=Load(SLOTS, SLOTS)))
        self.home = agent.home
        self.home.service = SERVICE
        self.keyring = Keyring([KEY])
        self.home_us = 0.0
        self.offers = 0

    def submit(self, tasks: int) -> None:
        """Submit one job of so many tasks."""
        ticket = self.keyring.issue(self.wire.local_peer, SERVICE, 1_790_000_000_000)
        submit = Submit(
            1, ticket, SERVICE, "team", DEADLINE_MS, b"d" * 16, (Task(PAYLOAD),) * tasks
        )
        self._deliver(self.entry, submit)

    def run_job(self, tasks: int) -> None:
        """Submit one job and answer its offers at once until it is complete."""
        self.submit(tasks)
        while True:
            sent = self.wire.take_all()
            if any(isinstance(message, Answer) for _, message in sent):
                return
            for peer, message in sent:
                if isinstance(message, Offer):
                    self.offers += 1
                    self._deliver(peer, _make_results(message))

    def _deliver(self, sender: Peer, message: Message) -> None:
        data = encode(sender, self.wire.local_peer.incarnation, message)

        def take() -> None:
            delivery = decode(data)
            if isinstance(delivery.message, Submit):
                self.home.handle_submit(delivery.sender, delivery.message)
            else:
                self.home.handle_results(delivery.sender, delivery.message)
            eventlet.sleep(0)
            eventlet.sleep(0)

        self.home_us += _time_us(take)


def _time_us(action) -> float:
    start = time.process_time()
    action()
    return (time.process_time() - start) * US_PER_S


def _make_results(offer: Offer) -> Results:
    done = tuple(TaskResult(task.offer, True, RESULT, "", RUN_MS) for task in offer.tasks)
    return Results(done, (), Load(SLOTS, SLOTS, 0, 0.0))


def measure_jobs() -> list[Slope]:
    """Measure homes, runners, records, decisions and tickets, and return the slopes."""
    return [
        *_measure_home(),
        *_measure_candidates(),
        *_measure_runner(),
        *_measure_memory(),
        *_measure_tickets(),
    ]


def _measure_home() -> list[Slope]:
    job_us, messages, sizes = [], [], []
    for tasks in JOB_SIZES:
        harness = HomeHarness(11)
        harness.run_job(tasks)
        count = max(3, TIMED_TASKS // tasks)
        costs = []
        for _ in range(3):
            harness.home_us = 0.0
            harness.wire.reset()
            for _ in range(count):
                harness.run_job(tasks)
            costs.append(harness.home_us / count)
        job_us.append(Point(tasks, sorted(costs)[1]))
        messages.append(Point(tasks, harness.wire.messages / count))
        sizes.append(Point(tasks, harness.wire.bytes / count))
    return [
        fit("home: one job, 11 workers / tasks", "us of processor", job_us),
        fit("home: messages sent for one job, 11 workers / tasks", "messages", messages),
        fit("home: bytes sent for one job, 11 workers / tasks", "bytes", sizes),
    ]


def _measure_candidates() -> list[Slope]:
    usable, jobs, wide = [], [], []
    for workers in WORKER_COUNTS:
        harness = HomeHarness(workers)
        usable.append(Point(workers, median_us(lambda s=harness: _list_usable(s), 50)))
        for tasks, points in ((1, jobs), (40, wide)):
            costs = []
            for _ in range(15):
                harness.home_us = 0.0
                harness.run_job(tasks)
                costs.append(harness.home_us)
            points.append(Point(workers, sorted(costs)[len(costs) // 2]))
    return [
        fit("home: list of usable workers / workers known", "us of processor", usable),
        fit("home: one job of 1 task / workers known", "us of processor", jobs),
        fit("home: one job of 40 tasks / workers known", "us of processor", wide),
    ]


def _list_usable(harness: HomeHarness) -> None:
    for _ in range(50):
        harness.home._placer.list_workers()


def _measure_runner() -> list[Slope]:
    points, sizes = [], []
    for batch in (1, 4, 8):
        cost, sent = _run_batches(batch)
        points.append(Point(batch, cost))
        sizes.append(Point(batch, sent))
    return [
        fit("runner: one offer taken, run, answered / tasks of it", "us of processor", points),
        fit("runner: bytes of results for one offer / tasks of it", "bytes", sizes),
    ]


def _run_batches(batch: int, count: int = 200) -> tuple[float, float]:
    me = peer_of(make_member(0, 1, ROLE_AGENT))
    wire = RecordingMessenger(me)
    runner = make_agent(wire, "domain-00").runner
    runner.set_minion(Announcement(SERVICE, "http://127.0.0.1:9", SLOTS, 64))
    home = peer_of(make_member(0, 2, ROLE_AGENT))
    numbers = iter(range(1, 1 << 30))
    offers = [_make_offer(numbers, batch, job) for job in range(count)]
    data = [encode(home, me.incarnation, offer) for offer in offers]

    def run() -> None:
        for message in data:
            delivery = decode(message)
            runner.handle_offer(delivery.sender, delivery.message)
            while not runner.is_idle:
                eventlet.sleep(0)

    job_us = processor_us(run) / count
    return job_us, wire.bytes / count


def _make_offer(numbers, batch: int, job: int) -> Offer:
    tasks = [
        OfferedTask(next(numbers), job, index, SERVICE, PAYLOAD, RUN_MS, 1.0, 30_000.0)
        for index in range(batch)
    ]
    return Offer(tasks[0].offer, tuple(tasks))


def _measure_memory() -> list[Slope]:
    records = [
        Point(tasks, memory_bytes(lambda n=tasks: _keep_records(n)) / RECORD_COUNT)
        for tasks in JOB_SIZES
    ]
    decisions = [
        Point(count, memory_bytes(lambda n=count: _keep_decisions(n)))
        for count in (DECISION_COUNT, 2 * DECISION_COUNT, 4 * DECISION_COUNT)
    ]
    waiting = [
        Point(WIDE_JOB_TASKS * jobs, memory_bytes(lambda n=jobs: _hold_jobs(n)))
        for jobs in (2, 6, 10)
    ]
    log = DecisionLog(1, SystemClock(), LOG)
    cost = median_us(lambda: _record_decisions(log, DECISION_COUNT), DECISION_COUNT)
    return [
        fit("home: memory of one kept record / tasks", "bytes", records),
        fit("home: memory of jobs that run / tasks", "bytes", waiting),
        fit("decisions: memory / decisions", "bytes", decisions),
        fit("decisions: one recorded", "us of processor", [Point(1, cost)]),
    ]


def _hold_jobs(jobs: int) -> HomeHarness:
    """Return a home with running jobs of which no task has ended."""
    harness = HomeHarness(11)
    for _ in range(jobs):
        harness.submit(WIDE_JOB_TASKS)
    harness.wire.take_all()
    return harness


def _keep_records(tasks: int) -> Records:
    records = Records(SystemClock(), 1 << 40, 600_000.0)
    keyring = Keyring([KEY])
    home = peer_of(make_member(0, 1, ROLE_AGENT))
    for _ in range(RECORD_COUNT):
        text = keyring.issue(home, SERVICE, 1_790_000_000_000)
        results = tuple(bytes(bytearray(RESULT)) for _ in range(tasks))
        answer = Answer(1, text, "complete", results=results)
        records.add(decode_unverified(text), Record(text, bytes(bytearray(b"d" * 16)), answer))
    return records


def _record_decisions(log: DecisionLog, count: int) -> DecisionLog:
    for number in range(count):
        log.record(
            "task_placed",
            f"{number // 10:x}",
            task=number % 340,
            worker=f"tcp://10.0.{number % 250}.1:7400",
            free=number % 8,
            wait_ms=number / 7,
        )
    return log


def _keep_decisions(count: int) -> DecisionLog:
    return _record_decisions(DecisionLog(1, SystemClock(), LOG), count)


def _measure_tickets() -> list[Slope]:
    keyring = Keyring([KEY])
    home = peer_of(make_member(0, 1, ROLE_AGENT))
    text = keyring.issue(home, SERVICE, 1_790_000_000_000)

    def issue() -> None:
        for _ in range(TICKET_COUNT):
            keyring.issue(home, SERVICE, 1_790_000_000_000)

    def verify() -> None:
        for _ in range(TICKET_COUNT):
            keyring.verify(text)

    return [
        fit("ticket issued", "us of processor", [Point(1, median_us(issue, TICKET_COUNT))]),
        fit("ticket verified", "us of processor", [Point(1, median_us(verify, TICKET_COUNT))]),
    ]
