"""Soak test: real processes under load, with external faults drawn from a seed.

Dispatchers and executors run as processes. The store, the minions, the callers, and proxies in
front of the store and the minions run in this process. Guarantees are checked from what minions
and callers see:

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

import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import eventlet
import urllib3
from eventlet import wsgi

from benchmarks.soak_callers import (
    HOST,
    PREFIX,
    Callers,
    DispatcherEndpoint,
    EagerCallers,
    Outcome,
    PatientCallers,
    make_job,
)
from benchmarks.soak_faults import (
    CRASHES,
    EARLY_CALLERS,
    EVACUATIONS,
    FAULTS,
    MORE_FAULTS,
    Deployment,
    Faults,
)
from benchmarks.soak_processes import GRACE_S, Addresses, Process, Proxy
from benchmarks.soak_witness import (
    EVACUATION_S,
    WORKER_ROOM,
    CheckedMinion,
    EventLog,
    GuaranteeChecker,
)
from geraniumspool.clock import SystemClock
from tests.platform_standin import MinionStandin, StoreStandin

EXECUTORS = 4
# Long enough for every kind of fault to start and end twice.
LOAD_S = 8.0
JOBS_PER_S = 25.0
# Number of callers that use one connection for one job after another.
CONNECTION_REUSERS = 4
HEARTBEAT_S = 0.3
# Limit for the start of all processes.
READY_S = 20.0
# Longest times between the starts of two faults; ``MAX_PAUSES_S`` with early callers.
MAX_PAUSE_S = 1.2
MAX_PAUSES_S = (0.4, 0.8, 1.2)
# Longest time that a minion takes to stop a run.
STOP_LIMIT_MS = 50.0
QUEUE = {
    "name": "scan",
    "host": HOST,
    "prefix": PREFIX,
    "service": "fitting",
    "attempts": 2,
    "stretch": 2.0,
    "target_duration_ms": 100,
}
DOMAINS = ("north", "south")
# Later seeds draw more kinds of faults; earlier ones draw the same as before, so that they repeat.
EARLY_CALLERS_FIRST_SEED = 4_000
FAULTS_BY_FIRST_SEED = (
    (EARLY_CALLERS_FIRST_SEED, EARLY_CALLERS),
    (3_000, EVACUATIONS),
    (2_000, CRASHES),
    (1_000, MORE_FAULTS),
    (0, FAULTS),
)


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
        self._domains = DOMAINS if "evacuate" in self._kinds else DOMAINS[:1]
        self._load_s = load_s
        self._folder = folder
        self._clock = SystemClock()
        self._addresses = Addresses()
        self._log = EventLog(Path(folder, "soak.log"))
        self.checker = GuaranteeChecker(self._log)
        self.outcomes: list[Outcome] = []
        # An exit stack runs all callbacks even if one raises, so that no process is left behind.
        self._exit_stack = contextlib.ExitStack()
        self._exit_stack.callback(self._log.close)
        self._executors: list[Process] = []
        self._dispatchers: list[Process] = []
        self._minion_proxies: list[Proxy] = []

    def run(self) -> None:
        """Start the deployment, apply load and faults, shut down, and check the guarantees."""
        with self._exit_stack:
            self._start_deployment()
            if not self._await_ready():
                self.checker.report_violation("the system did not become ready")
                self._shut_down()
                return
            self.checker.start_load()
            callers = eventlet.GreenPool(2_000)
            pause_s = self._random.choice(MAX_PAUSES_S) if self._has_early_callers else MAX_PAUSE_S
            faults = eventlet.spawn(self._make_faults().run, self._load_s - 2.0, pause_s)
            end = time.monotonic() + self._load_s
            self._start_connection_reusers(callers, end)
            number = 0
            while time.monotonic() < end:
                callers.spawn_n(self._call, f"{self._random.getrandbits(64):016x}", number)
                number += 1
                eventlet.sleep(self._random.expovariate(JOBS_PER_S))
            faults.wait()
            callers.waitall()
            self._shut_down()
            self._check_outcomes()

    def _serve(self, application) -> str:
        listener = eventlet.listen(("127.0.0.1", 0))
        task = eventlet.spawn(wsgi.server, listener, application, log_output=False, debug=False)
        self._exit_stack.callback(listener.close)
        self._exit_stack.callback(task.kill)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def _start_deployment(self) -> None:
        store = self._store_standin = StoreStandin(self._clock, 1_000)
        document = {"version": 1, "routes": [QUEUE], "limits": {}}
        store.store.swap("op/config", 0, json.dumps(document).encode())
        self._store_proxy = Proxy(self._serve(store))
        self._exit_stack.callback(self._store_proxy.close)
        for number in range(EXECUTORS):
            self._start_worker(number)
        dispatchers = 3 if self._has_early_callers else 2
        endpoints = [self._start_dispatcher(number) for number in range(dispatchers)]
        self._endpoints = endpoints
        self._patient = PatientCallers(endpoints)
        self._eager = EagerCallers(endpoints, self.checker, self._seed)
        self._callers: Callers = self._eager if self._has_early_callers else self._patient

    def _make_faults(self) -> Faults:
        deployment = Deployment(
            self._dispatchers,
            self._executors,
            self._minion_proxies,
            self._store_standin,
            self._store_proxy,
            self.checker,
            self._domains,
        )
        return Faults(self._random, self._kinds, deployment)

    def _start_worker(self, number: int) -> None:
        domain = self._domains[number % len(self._domains)]
        # Seeds without early callers lose the same calls at all minions.
        seed = self._seed + number if self._has_early_callers else 1
        minion = CheckedMinion(self._clock, f"i-{number}", self.checker, domain, seed)
        if self._has_early_callers:
            minion.stop_limit_ms = STOP_LIMIT_MS
        proxy = Proxy(self._serve(MinionStandin(minion)))
        self._minion_proxies.append(proxy)
        self._exit_stack.callback(proxy.close)
        listen = self._addresses.reserve()
        settings = self._common_settings(f"executor-{number}", domain) | {"minion_listen": listen}
        settings["evacuation_ms"] = EVACUATION_S * 1_000
        self._executors.append(self._start_process("executor", settings))
        task = eventlet.spawn(self._send_heartbeats, minion, proxy.address, listen)
        self._exit_stack.callback(task.kill)

    def _start_dispatcher(self, number: int) -> DispatcherEndpoint:
        callers, ready = self._addresses.reserve(), self._addresses.reserve()
        settings = self._common_settings(
            f"dispatcher-{number}", self._domains[number % len(self._domains)]
        )
        settings |= {"callers_listen": callers, "ready_listen": ready}
        process = self._start_process("dispatcher", settings)
        self._dispatchers.append(process)
        return DispatcherEndpoint(callers, process)

    def _common_settings(self, name: str, domain: str) -> dict:
        inbox = f"tcp://{self._addresses.reserve()}"
        store = self._store_proxy.address
        return {"name": name, "domain": domain, "inbox": inbox, "store": store, "grace_s": GRACE_S}

    def _start_process(self, role: str, settings: dict) -> Process:
        process = Process(role, settings, self._folder)
        self._exit_stack.callback(process.close)
        return process

    def _send_heartbeats(self, minion: CheckedMinion, address: str, listen: str) -> None:
        http = urllib3.PoolManager(retries=False)
        while True:
            life = minion.incarnation = minion.incarnation._replace(
                sequence=minion.incarnation.sequence + 1
            )
            body = {
                "service": "fitting",
                "addr": address,
                "state": "ready",
                "room": {"cpu": WORKER_ROOM.cpu, "mem_mb": WORKER_ROOM.memory_mb},
                "labels": ["a", "r1"],
                "seq": life.sequence,
                "born": life.started_unix_ms,
            }
            url = f"http://{listen}/instances/{minion.incarnation.instance}/heartbeat"
            # If the executor is down, a later heartbeat reaches it.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                http.request("POST", url, body=json.dumps(body), timeout=1.0)
            eventlet.sleep(HEARTBEAT_S)

    def _await_ready(self) -> bool:
        """Return whether all dispatchers complete a job within ``READY_S``."""
        end = time.monotonic() + READY_S
        job = make_job("0" * 16, 0)
        while time.monotonic() < end:
            answers = [
                self._patient.post(dispatcher.address, job)[0] for dispatcher in self._endpoints
            ]
            self._log.write("readiness", statuses=answers)
            if all(status == 200 for status in answers):
                return True
            eventlet.sleep(0.1)
        return False

    def _call(self, job: str, number: int) -> None:
        self.outcomes.append(self._callers.call(job, number))

    def _start_connection_reusers(self, pool: eventlet.GreenPool, until_s: float) -> None:
        if not self._has_early_callers:
            return
        for number in range(CONNECTION_REUSERS):
            pool.spawn_n(
                lambda n: self.outcomes.extend(self._eager.keep_calling(n, until_s)), number
            )

    def _shut_down(self) -> None:
        processes = [*self._executors, *self._dispatchers]
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
