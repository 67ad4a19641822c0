"""Measures the share of jobs served after open connections fall silent, with real processes.

At one moment all open connections of some kinds discard what they are given and stay open, while
new connections work. ``python -m benchmarks.silences [MODE ...] [--seed N] [--logs FOLDER]`` plays
each mode once and prints a JSON object for each: the shares of the jobs served that were sent
before the silence, in its first two seconds and afterwards, and the other answers by status.
"""

import argparse
import json
import random
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import eventlet
import urllib3

from benchmarks.soak_callers import HOST, PREFIX, DispatcherEndpoint
from benchmarks.soak_deployment import Layout, SoakDeployment
from benchmarks.soak_witness import EventLog, GuaranteeChecker

LAYOUT = Layout(3, 6, ("north",), has_link_proxies=True, evacuation_s=None)
JOBS_PER_S = 20.0
TASKS = 3
RUN_MS = 110
DEADLINE_MS = 1_500
# A caller hangs up this long after its deadline.
CALLER_GRACE_S = 0.5
BEFORE_S = 3.0
FIRST_S = 2.0
AFTERWARDS_S = 6.0
SERIES_INTERVAL_S = 2.5


class Sent(NamedTuple):
    """One job of a caller.

    :param sent_s: monotonic time at which it was sent
    :param dispatcher: name of the dispatcher
    :param status: HTTP status, 0 if there was no answer
    :param is_served: whether it succeeded
    """

    sent_s: float
    dispatcher: str
    status: int
    is_served: bool


class Silence(NamedTuple):
    """A way in which connections fall silent.

    :param inject: silences connections of a deployment
    :param interval_s: time between repetitions, 0 for none
    :param domains: failure domains of the deployment
    """

    inject: Callable[[SoakDeployment], None]
    interval_s: float = 0.0
    domains: tuple[str, ...] = ("north",)


def _silence_links(deployment: SoakDeployment) -> None:
    deployment.silence_links()


def _silence_sent_data(deployment: SoakDeployment) -> None:
    deployment.silence_links(to_client=False)


def _silence_store(deployment: SoakDeployment) -> None:
    deployment.store_proxy.silence()


def _silence_minions(deployment: SoakDeployment) -> None:
    for proxy in deployment.minion_proxies:
        proxy.silence()


def _silence_all(deployment: SoakDeployment) -> None:
    _silence_links(deployment)
    _silence_store(deployment)
    _silence_minions(deployment)


def _silence_some(deployment: SoakDeployment) -> None:
    """Silence all kinds of connections to four listeners in ten."""
    proxies = [
        *deployment.link_proxies.values(),
        deployment.store_proxy,
        *deployment.minion_proxies,
    ]
    for proxy in random.sample(proxies, round(0.4 * len(proxies))):
        proxy.silence()


def _silence_one_dispatcher(deployment: SoakDeployment) -> None:
    deployment.silence_links({deployment.dispatchers[0].name})


def _silence_links_and_cut_store(deployment: SoakDeployment) -> None:
    _silence_links(deployment)
    deployment.store_proxy.is_stalled = True


def _silence_links_and_replace(deployment: SoakDeployment) -> None:
    """Silence all links while an executor and a dispatcher are replaced."""
    for process in (deployment.executors[0], deployment.dispatchers[0]):
        eventlet.spawn_n(process.replace)
    eventlet.sleep(0.2)
    _silence_links(deployment)


def _reset_links(deployment: SoakDeployment) -> None:
    for proxy in deployment.link_proxies.values():
        proxy.reset()


MODES = {
    "links": Silence(_silence_links),
    "links-three-domains": Silence(_silence_links, domains=("north", "south", "west")),
    "links-sent": Silence(_silence_sent_data),
    "links-repeated": Silence(_silence_links, SERIES_INTERVAL_S),
    "one-dispatcher": Silence(_silence_one_dispatcher),
    "links-replacement": Silence(_silence_links_and_replace),
    "links-store-cut": Silence(_silence_links_and_cut_store),
    "all": Silence(_silence_all),
    "all-repeated": Silence(_silence_all, SERIES_INTERVAL_S),
    "some": Silence(_silence_some),
    "store": Silence(_silence_store),
    "store-repeated": Silence(_silence_store, SERIES_INTERVAL_S),
    "minions": Silence(_silence_minions),
    "links-reset": Silence(_reset_links),
}


class SilenceRun:
    """One play of a mode.

    :ivar sent: all jobs, in the order of their ends
    :ivar silent_s: monotonic time of the first silence
    """

    def __init__(self, mode: str, seed: int, folder: str):
        """Prepare the run.

        :param mode: key of ``MODES``
        :param seed: determines load, and which listeners are silenced
        :param folder: folder for the settings and logs of the processes
        """
        random.seed(seed)
        self._random = random.Random(seed)
        self._silence = MODES[mode]
        self._log = EventLog(Path(folder, "soak.log"))
        self.checker = GuaranteeChecker(self._log)
        layout = LAYOUT._replace(domains=self._silence.domains)
        self._deployment = SoakDeployment(layout, seed, folder, self.checker)
        self._http = urllib3.PoolManager(maxsize=1, retries=False)
        self.sent: list[Sent] = []
        self.silent_s = 0.0

    def run(self) -> None:
        """Start the deployment, apply the load and the silence, and stop."""
        try:
            self._deployment.start()
            if not self._deployment.await_ready():
                raise RuntimeError("the deployment did not become ready")
            faults = eventlet.spawn(self._inject)
            self._apply_load()
            faults.kill()
        finally:
            self._deployment.close()
            self._log.close()

    def _inject(self) -> None:
        eventlet.sleep(BEFORE_S)
        self.silent_s = time.monotonic()
        while True:
            self._log.write("connections silenced")
            self._silence.inject(self._deployment)
            if not self._silence.interval_s:
                return
            eventlet.sleep(self._silence.interval_s)

    def _apply_load(self) -> None:
        callers = eventlet.GreenPool(1_000)
        end = time.monotonic() + BEFORE_S + FIRST_S + AFTERWARDS_S
        while time.monotonic() < end:
            callers.spawn_n(self._call)
            eventlet.sleep(self._random.expovariate(JOBS_PER_S))
        callers.waitall()

    def _call(self) -> None:
        """Submit one job to the first dispatcher of a random order that accepts the connection."""
        job = f"{self._random.getrandbits(64):016x}"
        endpoints = self._random.sample(self._deployment.endpoints, LAYOUT.dispatchers)
        sent_s = time.monotonic()
        for endpoint in endpoints:
            try:
                status, state = self._post(endpoint, job)
            except urllib3.exceptions.NewConnectionError:
                # The process is being replaced.
                continue
            name = endpoint.process.name
            self._log.write("job answered", job=job, dispatcher=name, status=status, state=state)
            self.sent.append(Sent(sent_s, name, status, state == "succeeded"))
            return

    def _post(self, endpoint: DispatcherEndpoint, job: str) -> tuple[int, str]:
        """Return the HTTP status, 0 if there was no answer, and the job's state in the answer."""
        step = {"count": TASKS, "cpu": 1_000, "estimate_ms": RUN_MS}
        body = {"spec": f"1000:{RUN_MS}", "steps": [step], "best_effort": True}
        headers = {"Host": HOST, "Deadline-Ms": str(DEADLINE_MS), "Connection": "close"}
        try:
            reply = self._http.request(
                "POST",
                f"http://{endpoint.address}{PREFIX}{job}",
                body=json.dumps(body).encode(),
                headers=headers,
                timeout=DEADLINE_MS / 1_000 + CALLER_GRACE_S,
            )
        except urllib3.exceptions.NewConnectionError:
            raise
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, ""
        return reply.status, json.loads(reply.data).get("state", "")

    def summarize(self) -> dict[str, object]:
        """Return the shares of the jobs served, and the other answers by dispatcher and status."""
        ends_s = (self.silent_s, self.silent_s + FIRST_S, float("inf"))
        windows: list[list[Sent]] = [[], [], []]
        for job in self.sent:
            number = next(index for index, end_s in enumerate(ends_s) if job.sent_s < end_s)
            windows[number].append(job)
        others = Counter(
            f"{job.dispatcher[-1]}:{job.status}"
            for window in windows[1:]
            for job in window
            if not job.is_served
        )
        names = ("before", "first", "afterwards")
        shares = {
            name: round(sum(job.is_served for job in window) / max(1, len(window)), 3)
            for name, window in zip(names, windows, strict=True)
        }
        counts = [len(window) for window in windows]
        return {**shares, "jobs": counts, "others": dict(sorted(others.items()))}


def main() -> None:
    """Play modes and print a line for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("modes", nargs="*")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", default="")
    arguments = parser.parse_args()
    for mode in arguments.modes or MODES:
        with tempfile.TemporaryDirectory() as temporary:
            folder = temporary
            if arguments.logs:
                folder = str(Path(arguments.logs, f"{mode}-{arguments.seed}"))
                Path(folder).mkdir(parents=True, exist_ok=True)
            run = SilenceRun(mode, arguments.seed, folder)
            run.run()
            result = {"mode": mode, "seed": arguments.seed, **run.summarize()}
            print(json.dumps(result | {"violations": run.checker.violations[:5]}), flush=True)


if __name__ == "__main__":
    main()
