"""Experiments with faults of minions, processes and the store, and with rolling restarts."""

import functools
import signal
import time
import uuid
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from benchmarks.experiment_base import (
    Job,
    PolicyMeasurement,
    Row,
    ScheduledSlice,
    is_alive,
    measure_trip,
    open_systems,
    restart_agent,
    restart_entry,
    run_slices,
    set_faults,
    shut_down,
    wait_ready,
    wait_until,
)
from benchmarks.experiment_limits import (
    change_configuration,
    configure,
    is_in_force,
    newest_revision,
)
from geraniumspool.client import (
    OUTCOME_COMPLETE,
    OUTCOME_MAY_HAVE_RUN,
    OUTCOME_NOT_RUN,
    Client,
    JobError,
    JobNotRun,
    TaskRequest,
)
from geraniumspool.workload import MIXES, RunTimes
from tests.processes import SERVICE, TEAM, ProcessSystem

MINION_SHARE = 0.6
MINION_S = 8.0
MINION_MIX = MIXES["narrow"]._replace(run_times=RunTimes(50, 1_000), deadline_ms=6_000.0)
FLAP_S = 1.0
FAULT_SHARE = 0.6
FAULT_S = 12.0
FAULT_DELAY_S = 4.0
FAULT_MIX = MIXES["brief"]._replace(run_times=RunTimes(50, 1_000), deadline_ms=10_000.0)
FREEZE_S = 6.0
ENTRY_DOWN_S = 1.0
RESUBMIT_SHARE = 0.3
STORE_SHARE = 0.5
STORE_DOWN_S = 10.0
STORE_SLOW_MS = 300.0
STORE_LIMIT_S = 30.0
RESTART_SHARE = 0.5
RESTART_SECONDS = 150.0
CALLERS = 8
CALLER_TASKS = 4
CALLER_RUN_MS = 100.0
CALLER_PAUSE_S = 0.3
CALLER_DEADLINE_MS = 10_000.0


class BadMinion(NamedTuple):
    """A kind of faulty minion.

    :param faults: faults to set at the minion stand-in
    :param flaps: whether the faults alternate with healthy periods of ``FLAP_S``
    """

    name: str
    faults: dict
    flaps: bool = False


BAD_MINIONS = (
    BadMinion("healthy", {}),
    BadMinion("fails everything", {"fail_all": True}),
    BadMinion("fails at once", {"fail_all": True, "fail_fast": True}),
    BadMinion("ten times slower", {"slow_factor": 10}),
    BadMinion("frozen", {"freeze": True}),
    BadMinion("flaps", {"fail_all": True, "fail_fast": True}, True),
)
# Indices of the minions. Each fault affects a different one, so that no minion has to recover
# between two cases.
BAD_MINION_INDICES = (0, 0, 4, 8, 1, 5)


def measure_faulty_minions() -> list[Row]:
    """Measure one faulty minion out of eleven, with and without ejection."""
    measurements, slices = [], []
    with open_systems({}, {}) as systems:
        one_way_delay_ms = measure_trip(systems[0])
        configure(systems[1], f"service/{SERVICE}", "ejection_failure_share: 1\n")
        for bad, minion_index in zip(BAD_MINIONS, BAD_MINION_INDICES, strict=True):
            for system, name in zip(systems, ("ejection", "no ejection"), strict=True):
                chosen = system is systems[0]
                measurement = PolicyMeasurement(
                    system, "minions", f"{bad.name}, {name}", chosen, one_way_delay_ms
                )
                run = functools.partial(_run_with_bad_minion, measurement, minion_index, bad)
                measurements.append(measurement)
                slices.append(ScheduledSlice(system, MINION_S, run))
        run_slices(slices)
        return [_describe_failures(measurement) for measurement in measurements]


def _run_with_bad_minion(measurement: PolicyMeasurement, minion_index: int, bad: BadMinion) -> None:
    system = measurement.system
    url = system.minions[minion_index].ready["minion"]
    set_faults(system, url, **bad.faults)
    flapping = eventlet.spawn(_flap, system, url, bad) if bad.flaps else None

    def end_faults() -> None:
        if flapping:
            flapping.kill()
        set_faults(system, url)

    measurement.run(MINION_S, mix=MINION_MIX, load_share=MINION_SHARE, on_end=end_faults)


def _describe_failures(measurement: PolicyMeasurement) -> Row:
    jobs = len(measurement.tally.jobs)
    failed = sum(job.outcome != OUTCOME_COMPLETE for job in measurement.tally.jobs)
    return measurement.row(failed_share=round(failed / max(1, jobs), 4))


def _flap(system: ProcessSystem, url: str, bad: BadMinion) -> None:
    while True:
        eventlet.sleep(FLAP_S)
        set_faults(system, url)
        eventlet.sleep(FLAP_S)
        set_faults(system, url, **bad.faults)


def measure_process_faults() -> list[Row]:
    """Measure jobs in flight when processes fail, while some jobs are submitted twice."""
    cases: tuple[tuple[str, Callable[[PolicyMeasurement], None]], ...] = (
        ("no fault", lambda measurement: None),
        ("agent frozen 6 s", _freeze_agent),
        ("entry killed, back at its address", _kill_entry),
        ("agent killed", _kill_agent),
        ("agent killed, back at its address", _kill_agent_and_restart),
    )
    rows = []
    with open_systems({}) as (system,):
        one_way_delay_ms = measure_trip(system)
        for name, fault in cases:
            measurement = PolicyMeasurement(system, "unknown", name, True, one_way_delay_ms)
            task = eventlet.spawn(_inject_after_delay, fault, measurement)
            options = {"mix": FAULT_MIX, "load_share": FAULT_SHARE}
            measurement.run(FAULT_S, resubmit_share=RESUBMIT_SHARE, **options)
            task.wait()
            row = _describe_failures(measurement)
            extra_notes = {"wasted_messages": measurement.counts.wasted_messages}
            rows.append(row._replace(notes=row.notes | extra_notes))
    return rows


def _inject_after_delay(
    fault: Callable[[PolicyMeasurement], None], measurement: PolicyMeasurement
) -> None:
    eventlet.sleep(FAULT_DELAY_S)
    measurement.meter.sample()
    fault(measurement)


def _freeze_agent(measurement: PolicyMeasurement) -> None:
    agent = measurement.system.agents[0]
    agent.send(signal.SIGSTOP)
    eventlet.sleep(FREEZE_S)
    agent.send(signal.SIGCONT)


def _kill_entry(measurement: PolicyMeasurement) -> None:
    measurement.system.entries[1].kill()
    eventlet.sleep(ENTRY_DOWN_S)
    restart_entry(measurement.system, 1)


def _kill_agent(measurement: PolicyMeasurement) -> None:
    measurement.system.agents[10].kill()


def _kill_agent_and_restart(measurement: PolicyMeasurement) -> None:
    measurement.system.agents[5].kill()
    restart_agent(measurement.system, 5)


def measure_store() -> list[Row]:
    """Measure configuration changes under load while the store is faulty."""
    cases = (
        ("healthy", {}, 0.0, 6.0),
        ("300 ms slow", {"slow_ms": STORE_SLOW_MS}, 0.0, 8.0),
        ("two answers lost", {"lose_answers": 2}, 0.0, 8.0),
        ("down 10 s", {"down": True}, STORE_DOWN_S, 18.0),
    )
    rows = []
    with open_systems({}) as (system,):
        one_way_delay_ms = measure_trip(system)
        for number, (name, faults, down_s, seconds) in enumerate(cases):
            measurement = PolicyMeasurement(system, "store", name, True, one_way_delay_ms)
            notes: dict[str, float] = {}
            task = eventlet.spawn(_change_later, system, number, faults, down_s, notes)
            measurement.run(seconds, mix=FAULT_MIX, load_share=STORE_SHARE)
            task.wait()
            set_faults(system, system.store_url, down=False, slow_ms=0, lose_answers=0)
            row = _describe_failures(measurement)
            rows.append(row._replace(notes=row.notes | notes))
    return rows


def _change_later(
    system: ProcessSystem, number: int, faults: dict, down_s: float, notes: dict[str, float]
) -> None:
    """Change a document, retrying until it is accepted, and wait until it is in force.

    Times are measured from the first try, or from the store's recovery if it was down.

    :param number: index of the case, which determines the document
    :param faults: faults to set at the store before the change
    :param down_s: time after which the store recovers, 0 if it is not down
    :param notes: receives the number of retries and the times in milliseconds
    """
    eventlet.sleep(1.0)
    before = newest_revision(system)
    if faults:
        set_faults(system, system.store_url, **faults)
    begin = time.monotonic()
    if down_s:
        eventlet.spawn_after(down_s, set_faults, system, system.store_url, down=False)
    change_id = uuid.uuid4().hex
    body = f"weight: {number + 2}\n"
    retries = 0
    while change_configuration(system, "team/opticians", body, change_id) != 200:
        retries += 1
        if time.monotonic() - begin > STORE_LIMIT_S:
            break
        eventlet.sleep(0.1)
    accepted = time.monotonic()
    wait_until(lambda: is_in_force(system, before + 1), STORE_LIMIT_S)
    notes["repeated_changes"] = retries
    notes["accepted_ms"] = round((accepted - begin - down_s) * 1_000, 1)
    notes["in_force_ms"] = round((time.monotonic() - begin - down_s) * 1_000, 1)


def measure_restarts() -> list[Row]:
    """Measure a rolling restart of all agents and entries under load."""
    with open_systems({}) as (system,):
        measurement = PolicyMeasurement(
            system, "restarts", "every agent and entry", True, measure_trip(system)
        )
        notes: dict[str, float] = {}
        callers = [_Caller(system, number) for number in range(CALLERS)]
        tasks = []

        def start(stop_load: Callable[[], None]) -> None:
            stops = [stop_load, *(caller.stop for caller in callers)]
            tasks.extend(eventlet.spawn(caller.run) for caller in callers)
            tasks.append(eventlet.spawn(_restart_all, measurement, notes, stops))

        options = {"mix": FAULT_MIX, "load_share": RESTART_SHARE}
        measurement.run(RESTART_SECONDS, resubmit_share=RESUBMIT_SHARE, on_start=start, **options)
        for task in tasks:
            task.wait()
        notes["client_jobs"] = sum(caller.jobs for caller in callers)
        notes["client_failed_jobs"] = sum(len(caller.failures) for caller in callers)
        for reason in sorted({reason for caller in callers for reason in caller.failures}):
            notes[f"client_{reason}"] = sum(caller.failures.count(reason) for caller in callers)
        notes["client_resubmissions"] = sum(caller.resubmissions for caller in callers)
        # The minions counted the clients' starts in this slice too, so their jobs are checked
        # with it.
        jobs = len(measurement.tally.jobs)
        measurement.tally.jobs += [job for caller in callers for job in caller.done]
        row = _describe_failures(measurement)
        return [row._replace(jobs=jobs, notes=row.notes | notes)]


class _Caller:
    """Caller that runs one job after the other with the project's client library.

    :ivar jobs: number of jobs so far
    :ivar failures: reasons of the jobs that failed
    :ivar done: jobs that ended, also failed ones
    """

    def __init__(self, system: ProcessSystem, number: int):
        self.jobs = 0
        self.resubmissions = 0
        self.failures: list[str] = []
        self.done: list[Job] = []
        self._client = Client(system.caller_addresses(), SERVICE, TEAM)
        self._number = number
        self._is_stopped = False

    def stop(self) -> None:
        self._is_stopped = True

    def run(self) -> None:
        while not self._is_stopped:
            eventlet.sleep(CALLER_PAUSE_S)
            values = [f"{self._number}.{self.jobs}.{task}" for task in range(CALLER_TASKS)]
            tasks = [TaskRequest({"run_ms": CALLER_RUN_MS, "value": value}) for value in values]
            self.jobs += 1
            try:
                result = self._client.run(tasks, deadline_ms=CALLER_DEADLINE_MS)
            except JobError as error:
                self.failures.append(error.reason)
                outcome = {JobNotRun: OUTCOME_NOT_RUN}.get(type(error), OUTCOME_MAY_HAVE_RUN)
                self.done.append(Job(error.ticket, outcome, CALLER_TASKS))
                continue
            self.resubmissions += result.attempts - 1
            self.done.append(Job(result.ticket, OUTCOME_COMPLETE, CALLER_TASKS))
            if [row["value"] for row in result.results] != values:
                self.failures.append("wrong answer")


def _restart_all(
    measurement: PolicyMeasurement, notes: dict[str, float], stop: list[Callable[[], None]]
) -> None:
    system = measurement.system
    eventlet.sleep(2.0)
    begin = time.monotonic()
    codes = []
    longest_leave_s = 0.0
    for index in range(len(system.agents)):
        measurement.meter.sample()
        leave_began = time.monotonic()
        codes.append(shut_down(system.agents[index]))
        longest_leave_s = max(longest_leave_s, time.monotonic() - leave_began)
        restart_agent(system, index)
        wait_ready(system)
    for index in range(len(system.entries)):
        measurement.meter.sample()
        codes.append(shut_down(system.entries[index]))
        restart_entry(system, index)
        wait_ready(system)
    notes["restarted"] = sum(is_alive(program) for program in system.agents + system.entries)
    notes["bad_exit_codes"] = sum(code != 0 for code in codes)
    notes["took_s"] = round(time.monotonic() - begin, 1)
    notes["longest_leave_s"] = round(longest_leave_s, 1)
    for end in stop:
        end()
