"""Plays an upgrade in turn: processes of two builds side by side, under load.

``python -m benchmarks.upgrades CHECKOUT`` starts every other process from another checkout of the
project, then kills each in turn and starts it from the other one. The last line is a JSON object
with the seconds until the deployment was ready, the jobs sent, those served while processes of
both builds ran and while they were being replaced, and the violations.
"""

import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import eventlet

from benchmarks.soak_callers import Outcome, PatientCallers
from benchmarks.soak_deployment import Layout, SoakDeployment
from benchmarks.soak_processes import CURRENT_BUILD, Build, Process
from benchmarks.soak_witness import EventLog, GuaranteeChecker

DISPATCHERS = 3
EXECUTORS = 6
JOBS_PER_S = 20.0
MIXED_S = 5.0
# Longer than a dispatcher takes to use a worker again after its executor was killed.
PAUSE_S = 1.0


class UpgradeRun:
    """Load on a deployment of two builds whose processes are exchanged.

    :ivar checker: checks the guarantees at all minions
    :ivar ready_s: time until the deployment was ready in seconds, None if it did not become so
    :ivar mixed: outcomes of the jobs submitted while no process was replaced
    :ivar replaced: outcomes of the jobs submitted while processes were replaced
    """

    def __init__(self, builds: tuple[Build, Build], seed: int, folder: str):
        """Prepare the run.

        :param builds: the two builds, assigned in turn to the processes of each role
        :param seed: determines the load
        :param folder: folder for the settings and logs of the processes
        """
        self._builds = builds
        self._random = random.Random(seed)
        self._log = EventLog(Path(folder, "soak.log"))
        self.checker = GuaranteeChecker(self._log)
        layout = Layout(DISPATCHERS, EXECUTORS, ("north",), builds=builds)
        self._deployment = SoakDeployment(layout, seed, folder, self.checker)
        self.ready_s: float | None = None
        self.mixed: list[Outcome] = []
        self.replaced: list[Outcome] = []

    def run(self, mixed_s: float = MIXED_S, replacements: int = DISPATCHERS + EXECUTORS) -> None:
        """Start the deployment, apply the load and replace processes.

        :param mixed_s: how long the load lasts before the first replacement, in seconds
        :param replacements: number of processes to replace
        """
        start_s = time.monotonic()
        try:
            self._deployment.start()
            if self._deployment.await_ready():
                self.ready_s = time.monotonic() - start_s
                self._apply_load(mixed_s, replacements)
        finally:
            self._deployment.close()
            self._log.close()

    def _apply_load(self, mixed_s: float, replacements: int) -> None:
        self._callers = PatientCallers(self._deployment.endpoints)
        self._submit_jobs(self.mixed, eventlet.spawn(eventlet.sleep, mixed_s))
        self._submit_jobs(self.replaced, eventlet.spawn(self._replace, replacements))

    def _submit_jobs(self, outcomes: list[Outcome], period) -> None:
        """Submit jobs until a green thread has ended, and wait for their outcomes."""
        callers = eventlet.GreenPool(1_000)
        number = 0
        while not period.dead:
            callers.spawn_n(self._call, outcomes, f"{self._random.getrandbits(64):016x}", number)
            number += 1
            eventlet.sleep(self._random.expovariate(JOBS_PER_S))
        callers.waitall()

    def _call(self, outcomes: list[Outcome], job: str, number: int) -> None:
        outcomes.append(self._callers.call(job, number))

    def _replace(self, count: int) -> None:
        for process in self._deployment.processes[:count]:
            self._exchange_build(process)
            eventlet.sleep(PAUSE_S)

    def _exchange_build(self, process: Process) -> None:
        process.build = self._builds[1 - self._builds.index(process.build)]
        process.signal(signal.SIGKILL)
        process.await_end(PAUSE_S)
        process.start()


def main() -> None:
    """Play one upgrade and print its result."""
    checkout = Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as folder:
        run = UpgradeRun((CURRENT_BUILD, Build(root=checkout)), 1, folder)
        run.run()
    result = {
        "ready_s": run.ready_s,
        "mixed": [sum(outcome.succeeded for outcome in run.mixed), len(run.mixed)],
        "replaced": [sum(outcome.succeeded for outcome in run.replaced), len(run.replaced)],
        "violations": run.checker.violations[:5],
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
