"""Costs of configuration and quotas by number of teams, measured with generated documents."""

import random

import msgspec

from benchmarks.slope_fit import Point, Slope, fit, median_us, memory_bytes
from benchmarks.slope_membership import DOMAINS, PERIOD_MS, EntryHarness
from geraniumspool.clock import ManualClock
from geraniumspool.configuration import Configuration
from geraniumspool.counters import MemoryCounters
from geraniumspool.messages import Document, Peer
from geraniumspool.quota import Quotas
from geraniumspool.replies import PUSH_PAUSE_MS
from geraniumspool.reports import PeerDemand

TEAM_COUNTS = (67, 335, 670)
REPORT_COUNTS = (1, 7, 15, 29)
SERVICES_PER_TEAM = 0.1
CHANGES = 20
MAX_TEAMS = 670
ENTRIES = 30
JOB_TASKS = 8
JOBS_PER_S = 180_000 / ENTRIES / MAX_TEAMS / JOB_TASKS
DEMAND_ROUNDS = 32
WARMUP_ROUNDS = 10
DRAWS = 10


def make_documents(teams: int) -> list[Document]:
    """Return documents of some teams and of a tenth as many services."""
    documents = []
    for number in range(teams):
        body = {"weight": 1 + number % 5, "rate_tasks_per_s": 270, "running_tasks": 400}
        documents.append(_make_document(f"team/team-{number:03}", number + 1, body))
    for number in range(int(teams * SERVICES_PER_TEAM)):
        body = {"run_limit_ms": 10_000, "deadline_ms": 20_000, "narrow_tasks": 4}
        documents.append(_make_document(f"service/service-{number:03}", teams + number + 1, body))
    return documents


def _make_document(key: str, revision: int, body: dict) -> Document:
    return Document(key, revision, msgspec.json.encode(body))


def _make_configuration(documents: list[Document]) -> Configuration:
    configuration = Configuration(ManualClock(), MemoryCounters())
    configuration.apply(documents)
    return configuration


def measure_configuration() -> list[Slope]:
    """Measure documents, changes and quotas, and return the slopes."""
    return [
        *_measure_documents(),
        *_measure_push(),
        *_measure_quotas(),
        *_measure_reports(),
        *_measure_demand(),
    ]


def _measure_documents() -> list[Slope]:
    memory, apply_us, changes, sizes = [], [], [], []
    for teams in TEAM_COUNTS:
        documents = make_documents(teams)
        memory.append(
            Point(len(documents), memory_bytes(lambda d=documents: _make_configuration(d)))
        )
        apply_us.append(
            Point(len(documents), median_us(lambda d=documents: _make_configuration(d), 1))
        )
        changes.append(Point(len(documents), _time_change(documents)))
        sizes.append(Point(len(documents), sum(len(encode_one(d)) for d in documents)))
    return [
        fit("configuration memory / documents", "bytes", memory),
        fit("configuration: all taken at a start / documents", "us of processor", apply_us),
        fit("configuration: one change taken / documents", "us of processor", changes),
        fit("configuration: all on the wire / documents", "bytes", sizes),
    ]


def encode_one(document: Document) -> bytes:
    """Return a document encoded as in a message."""
    return msgspec.msgpack.encode(document)


def _time_change(documents: list[Document]) -> float:
    configuration = _make_configuration(documents)
    next_revision = len(documents) + 1

    def change() -> None:
        nonlocal next_revision
        for number in range(CHANGES):
            body = documents[number].body
            configuration.apply([Document(documents[number].key, next_revision, body)])
            next_revision += 1

    return median_us(change, CHANGES)


def _measure_push() -> list[Slope]:
    """Measure the processor time, bytes and pauses of pushing one change to a domain's agents."""
    push_us, sizes, pauses = [], [], []
    for members in (1000, 3500, 7300):
        harness = EntryHarness(members)
        harness.registry.run_round()
        harness.configuration.apply(make_documents(1))
        harness.outbox.reset()
        before = harness.clock.now()
        push_us.append(Point(len(harness.near), median_us(lambda s=harness: _push(s), 1, 1)))
        sizes.append(Point(len(harness.near), harness.outbox.bytes))
        pauses.append(Point(len(harness.near), harness.clock.now() - before))
    return [
        fit("entry: one change pushed / agents of its domain", "us of processor", push_us),
        fit("entry: one change pushed / agents of its domain", "bytes", sizes),
        fit("entry: pauses of a push / agents of its domain", "ms", pauses),
    ]


def _push(harness: EntryHarness) -> None:
    """Push the newest change and wait until no more messages are sent."""
    harness.registry.push_configuration()
    sent = 0
    while sent != harness.outbox.messages:
        sent = harness.outbox.messages
        harness.clock.advance(PUSH_PAUSE_MS)


def _make_quotas(teams: int, reports: int) -> Quotas:
    clock = ManualClock()
    configuration = _make_configuration(make_documents(teams))
    rows = tuple((f"team-{number:03}", 20.0, 3.0) for number in range(teams))
    demand = [PeerDemand(Peer(f"tcp://10.0.0.{n}:7400", n), rows) for n in range(reports)]
    quotas = Quotas(clock, configuration, lambda: demand, lambda: reports + 1)
    for number in range(teams):
        quotas.charge(f"team-{number:03}", 8)
    return quotas


def _measure_quotas() -> list[Slope]:
    demands, takes, sizes = [], [], []
    for teams in TEAM_COUNTS:
        quotas = _make_quotas(teams, 14)
        demands.append(Point(teams, median_us(quotas.demand, 1)))
        takes.append(Point(teams, median_us(lambda q=quotas: _take_quotas(q), 40)))
        sizes.append(Point(teams, len(msgspec.msgpack.encode(quotas.demand()))))
    return [
        fit("quotas: demand told once, 14 reports / teams", "us of processor", demands),
        fit("quotas: one job counted in, 14 reports / teams", "us of processor", takes),
        fit("quotas: demand in one digest / teams", "bytes", sizes),
    ]


def _take_quotas(quotas: Quotas) -> None:
    for number in range(40):
        quotas.charge(f"team-{number:03}", 1)


def _measure_reports() -> list[Slope]:
    demands, takes = [], []
    for reports in REPORT_COUNTS:
        quotas = _make_quotas(MAX_TEAMS, reports)
        demands.append(Point(reports, median_us(quotas.demand, 1, 1)))
        takes.append(Point(reports, median_us(lambda q=quotas: _take_quotas(q), 40)))
    return [
        fit("quotas: demand told once, 670 teams / reports", "us of processor", demands),
        fit("quotas: one job counted in, 670 teams / reports", "us of processor", takes),
    ]


def _measure_demand() -> list[Slope]:
    """Measure the bytes of digests while teams submit at random at the mean rate of the peak."""
    slopes = []
    for name, document in (("with a quota", {"rate_tasks_per_s": 270}), ("without", {})):
        points = [Point(teams, _count_demand(teams, document)) for teams in (0, *TEAM_COUNTS)]
        what = f"entry: digests a round, active teams {name} / teams"
        slopes.append(fit(what, "bytes", points))
    return slopes


def _count_demand(teams: int, document: dict) -> float:
    clock = ManualClock()
    names = [f"team-{number:03}" for number in range(teams)]
    documents = [_make_document(f"team/{name}", n + 1, document) for n, name in enumerate(names)]
    quotas = Quotas(clock, _make_configuration(documents), list, lambda: ENTRIES)
    harness = EntryHarness(DOMAINS, True, quotas.demand, clock)
    draw = random.Random(1)
    for number in range(WARMUP_ROUNDS + DEMAND_ROUNDS):
        if number == WARMUP_ROUNDS:
            harness.outbox.reset()
        for name in names * DRAWS:
            if draw.random() < JOBS_PER_S * PERIOD_MS / 1000.0 / DRAWS:
                quotas.charge(name, JOB_TASKS)
                quotas.release(name, JOB_TASKS)
        harness.advance_period()
        harness.registry.run_round()
    return harness.outbox.bytes / DEMAND_ROUNDS
