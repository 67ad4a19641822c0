"""Costs of real processes: an idle fleet by number of agents, and one entry under load."""

import os
import re
import time
from typing import NamedTuple

import eventlet
import psutil
import urllib3

from benchmarks.slope_fit import US_PER_S, Point, Slope, fit
from tests.processes import SERVICE, TEAM, ProcessSystem, Program

DOMAINS = ("north", "middle", "south")
FLEET_SIZES = (11, 44, 110)
SETTLE_S = 6.0
MEASUREMENT_S = 10.0
LOAD_S = 5.0
CONNECTIONS = 6
RUN_MS = 20
JOB_SIZES = (1, 8, 40)
UNREACHABLE_MINION = {
    "minion": {"service": SERVICE, "url": "http://127.0.0.1:9", "slots": 8, "connections": 64}
}
MIB = 1024 * 1024
_SERIES = re.compile(rb"^(\w+?)(?:_total)?(?:\{[^}]*\})? ([0-9.e+-]+)$", re.MULTILINE)


class Usage(NamedTuple):
    """Resources that one process has used since its start.

    :param cpu_s: processor time in seconds
    :param resident: current resident memory in bytes
    :param sent: number of messages sent
    :param sent_bytes: total size of these messages
    :param received: number of messages received
    """

    cpu_s: float
    resident: float
    sent: float
    sent_bytes: float
    received: float


def measure_fleet() -> list[Slope]:
    """Measure an idle fleet while agents are added, and return the slopes."""
    rows: dict[str, list[Point]] = {}
    system = ProcessSystem(
        list(DOMAINS),
        [0, 0, 0],
        1,
        agent_settings=UNREACHABLE_MINION,
        log_folder=os.environ.get("SLOPE_LOGS"),
    )
    try:
        for size in FLEET_SIZES:
            while len(system.agents) < size:
                system.add_agent(DOMAINS[len(system.agents) % len(DOMAINS)], with_minion=False)
            _wait_ready(system, size)
            _measure_window(system, size, rows)
    finally:
        system.stop()
    return [fit(name, name.rsplit(", ", 1)[1].split(" / ")[0], p) for name, p in rows.items()]


def _wait_ready(system: ProcessSystem, size: int) -> None:
    end = time.monotonic() + 60
    while any(system.ready_agents(entry) < size for entry in system.entries):
        if time.monotonic() > end:
            raise RuntimeError(f"{size} agents were not ready within 60 s")
        eventlet.sleep(0.2)
    eventlet.sleep(SETTLE_S)


def _measure_window(system: ProcessSystem, size: int, rows: dict[str, list[Point]]) -> None:
    sampled = system.agents[:: max(1, size // 11)]
    calls = _store_calls(system)
    agents = [_read_usage(system, agent) for agent in sampled]
    entries = [_read_usage(system, entry) for entry in system.entries]
    store = _cpu_seconds(system.store)
    start = time.monotonic()
    eventlet.sleep(MEASUREMENT_S)
    elapsed_s = time.monotonic() - start
    later_agents = [_read_usage(system, agent) for agent in sampled]
    later_entries = [_read_usage(system, entry) for entry in system.entries]
    later_calls = _store_calls(system)
    _add_usage(rows, "agent idle", size, elapsed_s, agents, later_agents)
    _add_usage(rows, "entry idle", size, elapsed_s, entries, later_entries)
    cpu = 100 * (_cpu_seconds(system.store) - store) / elapsed_s
    rows.setdefault("store stand-in, % of a core / agents", []).append(Point(size, cpu))
    for kind in sorted(later_calls):
        rate = (later_calls[kind] - calls.get(kind, 0)) / elapsed_s
        rows.setdefault(f"store calls {kind}, calls/s / agents", []).append(Point(size, rate))


def _add_usage(
    rows: dict[str, list[Point]],
    role: str,
    size: int,
    elapsed_s: float,
    before: list[Usage],
    after: list[Usage],
) -> None:
    pairs = list(zip(before, after, strict=True))
    values = {
        "% of a core": [100 * (b.cpu_s - a.cpu_s) / elapsed_s for a, b in pairs],
        "MiB resident": [b.resident / MIB for _, b in pairs],
        "messages sent/s": [(b.sent - a.sent) / elapsed_s for a, b in pairs],
        "messages received/s": [(b.received - a.received) / elapsed_s for a, b in pairs],
        "bytes sent/s": [(b.sent_bytes - a.sent_bytes) / elapsed_s for a, b in pairs],
    }
    for unit, numbers in values.items():
        mean = sum(numbers) / len(numbers)
        rows.setdefault(f"{role}, {unit} / agents", []).append(Point(size, mean))


def _read_usage(system: ProcessSystem, program: Program) -> Usage:
    address = program.ready.get("callers")
    base = f"http://{address}" if address else program.ready["minion"]
    text = system.http.request("GET", f"{base}/metrics", timeout=10).data
    totals: dict[str, float] = {}
    for name, value in _SERIES.findall(text):
        key = name.decode()
        totals[key] = totals.get(key, 0.0) + float(value)
    return Usage(
        _cpu_seconds(program),
        psutil.Process(program.process.pid).memory_info().rss,
        _sum_of_suffix(totals, "messages_sent"),
        _sum_of_suffix(totals, "message_bytes_sent"),
        _sum_of_suffix(totals, "messages_received"),
    )


def _sum_of_suffix(totals: dict[str, float], name: str) -> float:
    return sum(value for key, value in totals.items() if key.endswith(name))


def _cpu_seconds(program: Program) -> float:
    times = psutil.Process(program.process.pid).cpu_times()
    return times.user + times.system


def _store_calls(system: ProcessSystem) -> dict[str, float]:
    return system.http.request("GET", f"{system.store_url}/calls", timeout=10).json()


def measure_load() -> list[Slope]:
    """Measure one entry, one agent and its minion under load, and return the slopes.

    Processor times are per job, without what the processes use when idle.
    """
    points: dict[str, list[Point]] = {"entry": [], "agent: home and runner": [], "minion": []}
    rates: list[Point] = []
    system = ProcessSystem(["north"], [1], 1)
    try:
        _wait_ready(system, 1)
        programs = [system.entries[0], system.agents[0], system.minions[0]]
        idle = _idle_shares(programs)
        for tasks in JOB_SIZES:
            _send_load(system, tasks, 1.0)
            before = [_cpu_seconds(program) for program in programs]
            jobs = _send_load(system, tasks, LOAD_S)
            for name, program, start, share in zip(points, programs, before, idle, strict=True):
                used = _cpu_seconds(program) - start - share * LOAD_S
                points[name].append(Point(tasks, used * US_PER_S / jobs))
            rates.append(Point(tasks, jobs / LOAD_S))
        resident = [psutil.Process(p.process.pid).memory_info().rss / MIB for p in programs]
    finally:
        system.stop()
    slopes = [
        fit(f"{name}: one job over HTTP / tasks", "us of processor", row)
        for name, row in points.items()
    ]
    return [
        *slopes,
        fit("jobs a second in that run / tasks", "jobs/s", rates),
        *(
            fit(f"{name}: resident after that run", "MiB", [Point(0, value)])
            for name, value in zip(points, resident, strict=True)
        ),
    ]


def _idle_shares(programs: list[Program]) -> list[float]:
    """Return the share of a core that each program uses when idle."""
    before = [_cpu_seconds(program) for program in programs]
    eventlet.sleep(LOAD_S)
    return [(_cpu_seconds(p) - start) / LOAD_S for p, start in zip(programs, before, strict=True)]


def _send_load(system: ProcessSystem, tasks: int, seconds: float) -> int:
    end = time.monotonic() + seconds
    pool = urllib3.PoolManager(retries=False, maxsize=CONNECTIONS)
    url = f"http://{system.caller_addresses()[0]}/v1/jobs"
    rows = [{"payload": {"run_ms": RUN_MS, "value": number}} for number in range(tasks)]
    body = {"service": SERVICE, "team": TEAM, "deadline_ms": 20_000, "tasks": rows}

    def work() -> int:
        done = 0
        while time.monotonic() < end:
            reply = pool.request("POST", url, json=body, timeout=30)
            if reply.status != 200:
                raise RuntimeError(f"POST {url}: status {reply.status}: {reply.data[:300]!r}")
            done += 1
        return done

    return sum(eventlet.GreenPool(CONNECTIONS).starmap(work, [()] * CONNECTIONS))
