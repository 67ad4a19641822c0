"""Experiments on quotas, fairness between teams and mass cancellation."""

import statistics
import time
import uuid

import eventlet

from benchmarks.experiment_base import (
    SLOTS,
    PolicyMeasurement,
    Row,
    Tally,
    describe_messages_spent,
    measure_trip,
    open_systems,
    wait_until,
)
from geraniumspool.client import OUTCOME_COMPLETE, OUTCOME_NOT_RUN
from geraniumspool.load import CancelWave, run_load
from geraniumspool.workload import MIXES, RunTimes
from tests.processes import SERVICE, ProcessSystem

RATE_TEAM = "phones"
RATE_TASKS_PER_S = 60.0
RUNNING_TEAM = "lenses"
RUNNING_TASKS = 24
QUOTA_S = 10.0
OFFERED_TO_QUOTA = 2.5
FAIR_S = 12.0
FLOOD_TEAM = "flood"
LIGHT_TEAM = "light"
FLOOD_SHARE = 1.4
LIGHT_SHARE = 0.05
SAMPLE_S = 0.1
STORE_LIMIT_S = 30.0
SHORT_TIMES = RunTimes(50, 400)
SHORT_NARROW = MIXES["narrow"]._replace(run_times=SHORT_TIMES)
WAVE_MIX = MIXES["brief"]._replace(run_times=SHORT_TIMES, deadline_ms=30_000.0)
WAVE_SHARE = 3.0
WAVE_DELAY_S = 4.0
SLOTS_FREE_LIMIT_S = 20.0


def change_configuration(
    system: ProcessSystem, key: str, body: str, change_id: str = "", entry: int = 0
) -> int:
    """Replace a configuration document.

    :param key: ``service/NAME`` or ``team/NAME``
    :param body: new document as YAML
    :param change_id: id under which retries count as the same change; empty for a new one
    :param entry: index of the entry that gets the request
    :returns: HTTP status, 200 if the change was accepted
    """
    program = system.entries[entry]
    status, document = system.call_operators(program, f"/v1/config/{key}")
    request = {
        "change_id": change_id or uuid.uuid4().hex,
        "expected_revision": document["revision"] if status == 200 else 0,
        "body": body,
        "who": "measure",
        "why": "an experiment",
    }
    return system.call_operators(program, f"/v1/config/{key}", "PUT", request)[0]


def is_in_force(system: ProcessSystem, revision: int) -> bool:
    """Return whether every entry reports a revision as in force in every domain."""
    for entry in system.entries:
        _, status = system.call_operators(entry, "/v1/config-status")
        rows = [row["revision"] for row in status["domains"]]
        if status["newest"] < revision or min(rows, default=0) < revision:
            return False
    return True


def newest_revision(system: ProcessSystem) -> int:
    """Return the newest revision that the first entry knows."""
    return system.call_operators(system.entries[0], "/v1/config-status")[1]["newest"]


def configure(system: ProcessSystem, key: str, body: str) -> None:
    """Replace a configuration document and wait until it is in force everywhere.

    :raises RuntimeError: if it is not accepted, or not in force within ``STORE_LIMIT_S``
    """
    if change_configuration(system, key, body) != 200:
        raise RuntimeError(f"configuration change of {key} was not accepted")
    program = system.entries[0]
    revision = system.call_operators(program, f"/v1/config/{key}")[1]["revision"]
    if wait_until(lambda: is_in_force(system, revision), STORE_LIMIT_S) is None:
        raise RuntimeError(f"{key} was not in force within {STORE_LIMIT_S:g} s")


def measure_quotas() -> list[Row]:
    """Exceed a team's quota through one entry, then through all entries."""
    with open_systems({}) as (system,):
        one_way_delay_ms = measure_trip(system)
        configure(system, f"team/{RATE_TEAM}", f"rate_tasks_per_s: {RATE_TASKS_PER_S}\n")
        configure(system, f"team/{RUNNING_TEAM}", f"running_tasks: {RUNNING_TASKS}\n")
        return [_measure_rate(system, one_way_delay_ms), _measure_running(system, one_way_delay_ms)]


def _job_rate(tasks_per_s: float) -> float:
    return OFFERED_TO_QUOTA * tasks_per_s / SHORT_NARROW.widths.mean


def _measure_rate(system: ProcessSystem, one_way_delay_ms: float) -> Row:
    measurement = PolicyMeasurement(system, "quotas", "60 tasks a second", True, one_way_delay_ms)
    options = {"team": RATE_TEAM, "mix": SHORT_NARROW, "rate": _job_rate(RATE_TASKS_PER_S)}
    seconds = []
    for entries in (system.caller_addresses()[:1], system.caller_addresses()):
        counts: list[int] = []
        sampler = eventlet.spawn(_sample_starts, system, counts, QUOTA_S)
        measurement.run(QUOTA_S, entries=entries, **options)
        sampler.wait()
        seconds.append([b - a for a, b in zip(counts, counts[1:], strict=False)])
    one, every = seconds
    return measurement.row(
        one_entry_over_quota=_relative_to_quota(statistics.mean(one), RATE_TASKS_PER_S),
        all_entries_over_quota=_relative_to_quota(statistics.mean(every), RATE_TASKS_PER_S),
        all_entries_worst_second=_relative_to_quota(max(every), RATE_TASKS_PER_S),
        all_entries_after_2_s=_relative_to_quota(statistics.mean(every[2:]), RATE_TASKS_PER_S),
    )


def _sample_starts(system: ProcessSystem, counts: list[int], seconds: float) -> None:
    begin = time.monotonic()
    for second in range(int(seconds) + 1):
        eventlet.sleep(max(0.0, begin + second - time.monotonic()))
        counts.append(system.sum_starts()["starts"])


def _relative_to_quota(value: float, quota: float) -> float:
    return round(value / quota, 3)


def _measure_running(system: ProcessSystem, one_way_delay_ms: float) -> Row:
    measurement = PolicyMeasurement(system, "quotas", "24 running tasks", True, one_way_delay_ms)
    tasks_per_s = RUNNING_TASKS * 1_000 / SHORT_TIMES.mean_ms
    options = {"team": RUNNING_TEAM, "mix": SHORT_NARROW, "rate": _job_rate(tasks_per_s)}
    peaks, means = [], []
    for entries in (system.caller_addresses()[:1], system.caller_addresses()):
        samples: list[int] = []
        sampler = eventlet.spawn(_sample_running, system, samples)
        measurement.run(QUOTA_S, entries=entries, **options)
        sampler.kill()
        peaks.append(_relative_to_quota(max(samples), RUNNING_TASKS))
        means.append(_relative_to_quota(statistics.mean(samples), RUNNING_TASKS))
    return measurement.row(
        one_entry_peak_over_quota=peaks[0],
        all_entries_peak_over_quota=peaks[1],
        one_entry_mean_over_quota=means[0],
        all_entries_mean_over_quota=means[1],
    )


def _sample_running(system: ProcessSystem, samples: list[int]) -> None:
    while True:
        samples.append(system.sum_starts()["running"])
        eventlet.sleep(SAMPLE_S)


def measure_fairness() -> list[Row]:
    """Measure a team with light load while another team overloads the system."""
    with open_systems({}) as (system,):
        one_way_delay_ms = measure_trip(system)
        alone = PolicyMeasurement(system, "fairness", "light team alone", True, one_way_delay_ms)
        options = {"mix": "narrow", "load_share": LIGHT_SHARE, "team": LIGHT_TEAM}
        alone.run(FAIR_S, seed=2, **options)
        flood = PolicyMeasurement(
            system, "fairness", "flood beside a light team", True, one_way_delay_ms
        )
        light = Tally(one_way_delay_ms)
        light_load = eventlet.spawn(
            run_load,
            system.caller_addresses(),
            SERVICE,
            seconds=FAIR_S,
            seed=2,
            observer=light.record,
            slots=SLOTS,
            one_way_delay_ms=one_way_delay_ms,
            **options,
        )
        flood.run(FAIR_S, mix="brief", load_share=FLOOD_SHARE, team=FLOOD_TEAM)
        light_load.wait()
        # The minions counted the light team's starts in this slice too, so its jobs are checked
        # with it.
        flood.tally.jobs += light.jobs
        row = flood.row(
            light_jobs=len(light.jobs),
            light_complete=light.outcomes[OUTCOME_COMPLETE],
            light_refused=light.outcomes[OUTCOME_NOT_RUN],
            light_p50=light.ratio(50) or 0.0,
            light_p99=light.ratio(99) or 0.0,
        )
        return [alone.row(), row._replace(jobs=row.jobs - len(light.jobs))]


def measure_cancellation() -> list[Row]:
    """Cancel all jobs in flight at once at three times the capacity."""
    with open_systems({}) as (system,):
        one_way_delay_ms = measure_trip(system)
        measurement = PolicyMeasurement(
            system, "cancellation", "all jobs in flight", True, one_way_delay_ms
        )
        notes: dict[str, float | None] = {}
        watcher = eventlet.spawn(_watch_wave, measurement, notes)
        wave = CancelWave(WAVE_DELAY_S * 1_000, 1.0)
        seconds = WAVE_DELAY_S - 0.1
        report = measurement.run(
            seconds, mix=WAVE_MIX, load_share=WAVE_SHARE, cancel_waves=(wave,), team="opticians"
        )
        watcher.wait()
        messages = notes["messages_spent"]
        notes["messages_per_cancelled_job"] = round(messages / max(1, report.cancelled), 2)
        return [measurement.row(cancelled=report.cancelled, **notes)]


def _watch_wave(measurement: PolicyMeasurement, notes: dict[str, float | None]) -> None:
    eventlet.sleep(WAVE_DELAY_S - 0.4)
    before = measurement.meter.total()
    running = measurement.system.sum_starts()["running"]
    eventlet.sleep(0.4)
    system = measurement.system
    taken = wait_until(lambda: system.sum_starts()["running"] == 0, SLOTS_FREE_LIMIT_S, 0.01)
    notes["running_before"] = running
    notes["slots"] = SLOTS
    notes["all_slots_free_ms"] = None if taken is None else round(taken, 1)
    eventlet.sleep(1.0)
    notes |= describe_messages_spent(measurement.meter.total(), before)
