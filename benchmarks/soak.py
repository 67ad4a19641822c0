"""Soak test: real processes under load, with external faults drawn from a seed.

Dispatchers and executors run as processes. The store, the minions, the callers, and proxies in
front of the store, the minions and the processes' inboxes run in this process. Guarantees are
checked from what minions and callers see:

* no task has two runs at a time, and no minion gets more work than its room; a run that is being
  stopped still counts;
* a job whose every try was refused has no start;
* every task of a job that succeeded was done;
* a caller that keeps waiting gets an answer from a dispatcher that no fault affects;
* processes end only when asked to, and then in time;
* nothing starts in an evacuated failure domain once the evacuation must be in force.

``python -m benchmarks.soak FIRST COUNT [FOLDER]`` runs seeds one after the other and keeps the
logs of failed seeds in FOLDER. The last line is a JSON object with ``seeds``, ``failed``,
``twice`` (seeds in which a task had two runs at a time, each with the seconds until the first
one), ``jobs``, ``served`` and ``starts``.
"""

import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import eventlet

from benchmarks.soak_callers import (
    LONGEST_RUN_MS,
    Callers,
    EagerCallers,
    Outcome,
    PatientCallers,
)
from benchmarks.soak_deployment import Layout, SoakDeployment
from benchmarks.soak_faults import (
    CRASHES,
    CUTS,
    DEPARTURES,
    EARLY_CALLERS,
    EVACUATIONS,
    FAULTS,
    LATE_DELIVERIES,
    MORE_FAULTS,
    SILENCES,
    Faults,
)
from benchmarks.soak_processes import GRACE_S
from benchmarks.soak_witness import EventLog, GuaranteeChecker

EXECUTORS = 4
# Long enough for every kind of fault to start and end twice.
LOAD_S = 8.0
JOBS_PER_S = 25.0
# Number of callers that use one connection for one job after another.
CONNECTION_REUSERS = 4
# Longest times between the starts of two faults; ``MAX_PAUSES_S`` with early callers.
MAX_PAUSE_S = 1.2
MAX_PAUSES_S = (0.4, 0.8, 1.2)
DOMAINS = ("north", "south")
# Later seeds draw more kinds of faults; earlier ones draw the same as before, so that they repeat.
LATE_DELIVERIES_FIRST_SEED = 8_000
CUTS_FIRST_SEED = 7_000
SHARING_FIRST_SEED = 6_000
SILENCES_FIRST_SEED = 5_000
EARLY_CALLERS_FIRST_SEED = 4_000
FAULTS_BY_FIRST_SEED = (
    (LATE_DELIVERIES_FIRST_SEED, LATE_DELIVERIES),
    (CUTS_FIRST_SEED, CUTS),
    (SHARING_FIRST_SEED, DEPARTURES),
    (SILENCES_FIRST_SEED, SILENCES),
    (EARLY_CALLERS_FIRST_SEED, EARLY_CALLERS),
    (3_000, EVACUATIONS),
    (2_000, CRASHES),
    (1_000, MORE_FAULTS),
    (0, FAULTS),
)
# Settings with which capacity and demand are shared, and so many times the load that makes them
# take effect.
SHARING_SETTINGS = (
    ("least_share", 0.2),
    ("value_order", True),
    ("returns_jobs", True),
    ("uses_busy_share", True),
    ("run_times_by_queue", True),
    ("remote_data_factor", 2.0),
)
SHARING_LOAD = 3.0
# With cuts between dispatchers, jobs run for longer than it takes to notice a cut.
CUTS_DISPATCHERS = 4
CUTS_LOAD = 0.12
CUTS_RUN_MS = 1_500


class Soak:
    """One run of the soak test: a deployment, its load and its faults.

    :ivar outcomes: what the callers of each job were told
    """

    def __init__(self, seed: int, folder: str, load_s: float = LOAD_S):
        """Prepare the run; processes start with :meth:`run`.

        :param seed: determines load, callers and faults
        :param folder: folder for the settings and logs of the processes
        :param load_s: how long jobs arrive, in seconds
        """
        self._seed = seed
        self._random = random.Random(seed)
        self._has_early_callers = seed >= EARLY_CALLERS_FIRST_SEED
        self._kinds = next(kinds for first, kinds in FAULTS_BY_FIRST_SEED if seed >= first)
        self._load_s = load_s
        self._log = EventLog(Path(folder, "soak.log"))
        self.checker = GuaranteeChecker(self._log)
        self.outcomes: list[Outcome] = []
        self._has_cuts = seed >= CUTS_FIRST_SEED
        dispatchers = 3 if self._has_early_callers else 2
        is_sharing = SHARING_FIRST_SEED <= seed < CUTS_FIRST_SEED
        layout = Layout(
            CUTS_DISPATCHERS if self._has_cuts else dispatchers,
            EXECUTORS,
            DOMAINS if "evacuate" in self._kinds else DOMAINS[:1],
            seed >= SILENCES_FIRST_SEED,
            self._has_early_callers,
            dispatcher_settings=SHARING_SETTINGS if is_sharing else (),
        )
        self._jobs_per_s = JOBS_PER_S * (SHARING_LOAD if is_sharing else 1.0)
        if self._has_cuts:
            self._jobs_per_s = JOBS_PER_S * CUTS_LOAD
        self._deployment = SoakDeployment(layout, seed, folder, self.checker)

    def run(self) -> None:
        """Start the deployment, apply load and faults, shut down, and check the guarantees."""
        try:
            self._deployment.start()
            if self._deployment.await_ready():
                self._apply_load()
            else:
                self.checker.report_violation("the system did not become ready")
            self._shut_down()
            self._check_outcomes()
        finally:
            self._deployment.close()
            self._log.close()

    def _apply_load(self) -> None:
        self.checker.start_load()
        self._callers = self._make_callers()
        callers = eventlet.GreenPool(2_000)
        pause_s = self._random.choice(MAX_PAUSES_S) if self._has_early_callers else MAX_PAUSE_S
        faults = Faults(self._random, self._kinds, self._deployment)
        running_faults = eventlet.spawn(faults.run, self._load_s - 2.0, pause_s)
        end = time.monotonic() + self._load_s
        self._start_connection_reusers(callers, end)
        number = 0
        while time.monotonic() < end:
            callers.spawn_n(self._call, f"{self._random.getrandbits(64):016x}", number)
            number += 1
            eventlet.sleep(self._random.expovariate(self._jobs_per_s))
        running_faults.wait()
        callers.waitall()

    def _make_callers(self) -> Callers:
        endpoints = self._deployment.endpoints
        if self._has_early_callers:
            run_ms = CUTS_RUN_MS if self._has_cuts else LONGEST_RUN_MS
            is_restless = self._seed >= LATE_DELIVERIES_FIRST_SEED
            return EagerCallers(endpoints, self.checker, self._seed, run_ms, is_restless)
        return PatientCallers(endpoints)

    def _call(self, job: str, number: int) -> None:
        self.outcomes.append(self._callers.call(job, number))

    def _start_connection_reusers(self, pool: eventlet.GreenPool, until_s: float) -> None:
        callers = self._callers
        if not isinstance(callers, EagerCallers):
            return
        for number in range(CONNECTION_REUSERS):
            pool.spawn_n(lambda n: self.outcomes.extend(callers.keep_calling(n, until_s)), number)

    def _shut_down(self) -> None:
        processes = self._deployment.processes
        for process in processes:
            if process.has_ended_unexpectedly:
                self.checker.report_violation(f"{process.name} ended unexpectedly")
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in processes:
            if not process.await_end(GRACE_S + 3.0):
                self.checker.report_violation(f"{process.name} did not exit in time")

    def _check_outcomes(self) -> None:
        for outcome in self.outcomes:
            answers = (outcome.succeeded, outcome.refused)
            self.checker.check_job(outcome.job, outcome.tasks, *answers)


def _keep_logs(folder: str, kept: Path) -> None:
    kept.mkdir(parents=True, exist_ok=True)
    for log in Path(folder).glob("*.log"):
        (kept / log.name).write_bytes(log.read_bytes())


def _print_result(seed: int, soak: Soak) -> None:
    """Print the results of one seed."""
    outcomes, violations = soak.outcomes, soak.checker.violations
    served = sum(outcome.succeeded for outcome in outcomes)
    refused = sum(outcome.refused for outcome in outcomes)
    unanswered = sum(not outcome.answered for outcome in outcomes)
    text = f"seed {seed}: {served} of {len(outcomes)} served, {refused} refused"
    print(f"{text}, {unanswered} without an answer", flush=True)
    for line in violations[:10]:
        print(f"  broken: {line}", flush=True)
    if violations:
        print(f"  broken in all: {len(violations)}", flush=True)


def main(first: int, count: int, kept: str = "") -> int:
    """Run seeds and print their results.

    :param first: first seed
    :param count: number of consecutive seeds
    :param kept: folder for the logs of failed seeds; empty for a temporary one each
    :returns: exit code, 1 if a seed violated a guarantee
    """
    # Exit through an exception, so that the processes are ended as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed, twice, jobs, served, starts = [], [], 0, 0, 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, folder)
            soak.run()
            _print_result(seed, soak)
            jobs += len(soak.outcomes)
            served += sum(outcome.succeeded for outcome in soak.outcomes)
            starts += sum(soak.checker.starts.values())
            if soak.checker.first_double_run_s is not None:
                twice.append((seed, round(soak.checker.first_double_run_s, 2)))
            if soak.checker.violations:
                failed.append(seed)
                place = kept and str(Path(kept, str(seed)))
                place = place or tempfile.mkdtemp(prefix=f"soak-{seed}-")
                _keep_logs(folder, Path(place))
                print(f"  logs: {place}", flush=True)
    summary = {
        "seeds": count,
        "failed": failed,
        "twice": twice,
        "jobs": jobs,
        "served": served,
        "starts": starts,
    }
    print(json.dumps(summary))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:4]))
