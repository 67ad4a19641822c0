"""Slopes of the configuration and of quotas: generated teams and services."""

import random

import msgspec

from benchmarks.slope_fit import Point, Slope, fit, median_us, memory_bytes
from benchmarks.slope_membership import DOMAINS, PERIOD_MS, EntrySide
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
FULL_TEAMS = 670
ENTRIES = 30
JOB_TASKS = 8
JOBS_PER_S = 180_000 / ENTRIES / FULL_TEAMS / JOB_TASKS
DEMAND_ROUNDS = 32
WARM_ROUNDS = 10
DRAWS = 10


def make_documents(teams: int) -> list[Document]:
    """Return documents of teams, and of a tenth as many services."""
    documents = []
    for number in range(teams):
        body = {"weight": 1 + number % 5, "rate_tasks_per_s": 270, "running_tasks": 400}
        documents.append(_make(f"team/team-{number:03}", number + 1, body))
    for number in range(int(teams * SERVICES_PER_TEAM)):
        body = {"run_limit_ms": 10_000, "deadline_ms": 20_000, "narrow_tasks": 4}
        documents.append(_make(f"service/service-{number:03}", teams + number + 1, body))
    return documents


def _make(key: str, revision: int, body: dict) -> Document:
    return Document(key, revision, msgspec.json.encode(body))


def _fill(documents: list[Document]) -> Configuration:
    configuration = Configuration(ManualClock(), MemoryCounters())
    configuration.apply(documents)
    return configuration


def measure_configuration() -> list[Slope]:
    """Return the slopes of documents, changes and quotas."""
    return [
        *_measure_documents(),
        *_measure_push(),
        *_measure_quotas(),
        *_measure_reports(),
        *_measure_demand(),
    ]


def _measure_documents() -> list[Slope]:
    memory, loads, changes, sizes = [], [], [], []
    for teams in TEAM_COUNTS:
        documents = make_documents(teams)
        memory.append(Point(len(documents), memory_bytes(lambda d=documents: _fill(d))))
        loads.append(Point(len(documents), median_us(lambda d=documents: _fill(d), 1)))
        changes.append(Point(len(documents), _time_change(documents)))
        sizes.append(Point(len(documents), sum(len(encode_one(d)) for d in documents)))
    return [
        fit("configuration memory / documents", "bytes", memory),
        fit("configuration: all taken at a start / documents", "us of processor", loads),
        fit("configuration: one change taken / documents", "us of processor", changes),
        fit("configuration: all on the wire / documents", "bytes", sizes),
    ]


def encode_one(document: Document) -> bytes:
    """Return a document as it stands in a message."""
    return msgspec.msgpack.encode(document)


def _time_change(documents: list[Document]) -> float:
    configuration = _fill(documents)
    next_revision = len(documents) + 1

    def change() -> None:
        nonlocal next_revision
        for number in range(CHANGES):
            body = documents[number].body
            configuration.apply([Document(documents[number].key, next_revision, body)])
            next_revision += 1

    return median_us(change, CHANGES)


def _measure_push() -> list[Slope]:
    """Messages, bytes and time with which one change reaches a domain's agents."""
    taken, sizes, waits = [], [], []
    for members in (1000, 3500, 7300):
        side = EntrySide(members)
        side.registry.run_round()
        side.configuration.apply(make_documents(1))
        side.outbox.reset()
        before = side.clock.now()
        taken.append(Point(len(side.near), median_us(lambda s=side: _push(s), 1, 1)))
        sizes.append(Point(len(side.near), side.outbox.bytes))
        waits.append(Point(len(side.near), side.clock.now() - before))
    return [
        fit("entry: one change pushed / agents of its domain", "us of processor", taken),
        fit("entry: one change pushed / agents of its domain", "bytes", sizes),
        fit("entry: pauses of a push / agents of its domain", "ms", waits),
    ]


def _push(side: EntrySide) -> None:
    """Push the newest change until a pause passes without a message."""
    side.registry.push_configuration()
    sent = 0
    while sent != side.outbox.messages:
        sent = side.outbox.messages
        side.clock.advance(PUSH_PAUSE_MS)


def _make_quotas(teams: int, reports: int) -> Quotas:
    clock = ManualClock()
    configuration = _fill(make_documents(teams))
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
        takes.append(Point(teams, median_us(lambda q=quotas: _take(q), 40)))
        sizes.append(Point(teams, len(msgspec.msgpack.encode(quotas.demand()))))
    return [
        fit("quotas: demand told once, 14 reports / teams", "us of processor", demands),
        fit("quotas: one job counted in, 14 reports / teams", "us of processor", takes),
        fit("quotas: demand in one digest / teams", "bytes", sizes),
    ]


def _take(quotas: Quotas) -> None:
    for number in range(40):
        quotas.charge(f"team-{number:03}", 1)


def _measure_reports() -> list[Slope]:
    demands, takes = [], []
    for reports in REPORT_COUNTS:
        quotas = _make_quotas(FULL_TEAMS, reports)
        demands.append(Point(reports, median_us(quotas.demand, 1, 1)))
        takes.append(Point(reports, median_us(lambda q=quotas: _take(q), 40)))
    return [
        fit("quotas: demand told once, 670 teams / reports", "us of processor", demands),
        fit("quotas: one job counted in, 670 teams / reports", "us of processor", takes),
    ]


def _measure_demand() -> list[Slope]:
    """Bytes of the digests of a speaker whose teams submit at random at the peak's mean."""
    slopes = []
    for name, document in (("with a quota", {"rate_tasks_per_s": 270}), ("without", {})):
        points = [Point(teams, _count_demand(teams, document)) for teams in (0, *TEAM_COUNTS)]
        what = f"entry: digests a round, active teams {name} / teams"
        slopes.append(fit(what, "bytes", points))
    return slopes


def _count_demand(teams: int, document: dict) -> float:
    clock = ManualClock()
    names = [f"team-{number:03}" for number in range(teams)]
    documents = [_make(f"team/{name}", n + 1, document) for n, name in enumerate(names)]
    quotas = Quotas(clock, _fill(documents), list, lambda: ENTRIES)
    side = EntrySide(DOMAINS, True, quotas.demand, clock)
    draw = random.Random(1)
    for number in range(WARM_ROUNDS + DEMAND_ROUNDS):
        if number == WARM_ROUNDS:
            side.outbox.reset()
        for name in names * DRAWS:
            if draw.random() < JOBS_PER_S * PERIOD_MS / 1000.0 / DRAWS:
                quotas.charge(name, JOB_TASKS)
                quotas.release(name, JOB_TASKS)
        side.let_pass()
        side.registry.run_round()
    return side.outbox.bytes / DEMAND_ROUNDS
