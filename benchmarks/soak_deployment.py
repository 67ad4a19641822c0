"""The deployment of the soak test: real processes, and proxies for their connections.

Dispatchers and executors run as processes. The store, the minions and the proxies run in this
process.
"""

import contextlib
import json
import time
from typing import NamedTuple

import eventlet
import urllib3
from eventlet import wsgi

from benchmarks.soak_callers import HOST, PREFIX, DispatcherEndpoint, PatientCallers, make_job
from benchmarks.soak_cuts import LinkCuts
from benchmarks.soak_processes import CURRENT_BUILD, GRACE_S, Addresses, Build, Process, Proxy
from benchmarks.soak_witness import EVACUATION_S, WORKER_ROOM, CheckedMinion, GuaranteeChecker
from geraniumspool.clock import MS_PER_SECOND, SystemClock
from tests.platform_standin import MinionStandin, StoreStandin

HEARTBEAT_S = 0.3
# Limit for the start of all processes.
READY_S = 20.0
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


class Layout(NamedTuple):
    """Size and properties of a deployment.

    :param domains: failure domains, to which the processes are assigned in turn
    :param has_link_proxies: whether the processes reach each other through proxies
    :param has_early_callers: whether callers repeat requests early, and minions take time to stop
    :param evacuation_s: setting ``evacuation_ms`` of the executors in seconds, None for its default
    :param dispatcher_settings: further settings of the dispatchers
    :param builds: builds of the programs, assigned in turn to the processes of each role
    """

    dispatchers: int
    executors: int
    domains: tuple[str, ...]
    has_link_proxies: bool = False
    has_early_callers: bool = True
    evacuation_s: float | None = EVACUATION_S
    builds: tuple[Build, ...] = (CURRENT_BUILD,)
    dispatcher_settings: tuple[tuple[str, object], ...] = ()


class SoakDeployment:
    """A deployment whose processes and connections can be disturbed.

    :ivar checker: checks the guarantees at all minions
    :ivar dispatchers: dispatcher processes
    :ivar executors: executor processes
    :ivar endpoints: addresses at which callers reach the dispatchers
    :ivar minion_proxies: proxies in front of the minions
    :ivar link_proxies: proxies in front of the processes' inboxes, by name of the process
    :ivar cuts: cuts between the processes, which these proxies apply
    :ivar store_proxy: proxy in front of the store
    :ivar store: stand-in for the store
    """

    def __init__(self, layout: Layout, seed: int, folder: str, checker: GuaranteeChecker):
        """Prepare the deployment; processes start with :meth:`start`.

        :param seed: determines which calls the minions lose
        :param folder: folder for the settings and logs of the processes
        """
        self.domains = layout.domains
        self.checker = checker
        self.dispatchers: list[Process] = []
        self.executors: list[Process] = []
        self.endpoints: list[DispatcherEndpoint] = []
        self.minion_proxies: list[Proxy] = []
        self.link_proxies: dict[str, Proxy] = {}
        self.cuts = LinkCuts(lambda: self.processes)
        self._layout = layout
        self._seed = seed
        self._folder = folder
        self._clock = SystemClock()
        self._addresses = Addresses()
        # An exit stack runs all callbacks even if one raises, so that no process is left behind.
        self._exit_stack = contextlib.ExitStack()

    @property
    def processes(self) -> list[Process]:
        """Return all processes."""
        return [*self.executors, *self.dispatchers]

    def start(self) -> None:
        """Start the stand-ins, the proxies and the processes."""
        self.store = StoreStandin(self._clock, 1_000)
        document = {"version": 1, "routes": [QUEUE], "limits": {}}
        self.store.store.swap("op/config", 0, json.dumps(document).encode())
        self.store_proxy = self._start_proxy(self._serve(self.store))
        for number in range(self._layout.executors):
            self._start_worker(number)
        for number in range(self._layout.dispatchers):
            self._start_dispatcher(number)

    def close(self) -> None:
        """Kill the processes that still run, and stop everything else."""
        self._exit_stack.close()

    def await_ready(self) -> bool:
        """Return whether all dispatchers complete a job within ``READY_S``."""
        end = time.monotonic() + READY_S
        callers = PatientCallers(self.endpoints)
        job = make_job("0" * 16, 0)
        while time.monotonic() < end:
            answers = [callers.post(endpoint.address, job)[0] for endpoint in self.endpoints]
            self.checker.log.write("readiness", statuses=answers)
            if all(status == 200 for status in answers):
                return True
            eventlet.sleep(0.1)
        return False

    def silence_links(self, names: set[str] | None = None, **directions: bool) -> None:
        """Silence the open connections to the inboxes of processes.

        :param names: names of the processes, None for all
        :param directions: see :meth:`Proxy.silence`
        """
        for name, proxy in self.link_proxies.items():
            if names is None or name in names:
                proxy.silence(**directions)

    def _start_proxy(self, target: str) -> Proxy:
        proxy = Proxy(target)
        self._exit_stack.callback(proxy.close)
        return proxy

    def _serve(self, application) -> str:
        listener = eventlet.listen(("127.0.0.1", 0))
        task = eventlet.spawn(wsgi.server, listener, application, log_output=False, debug=False)
        self._exit_stack.callback(listener.close)
        self._exit_stack.callback(task.kill)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def _start_worker(self, number: int) -> None:
        domain = self._choose_domain(number)
        # Seeds without early callers lose the same calls at all minions.
        seed = self._seed + number if self._layout.has_early_callers else 1
        minion = CheckedMinion(self._clock, f"i-{number}", self.checker, domain, seed)
        if self._layout.has_early_callers:
            minion.stop_limit_ms = STOP_LIMIT_MS
        proxy = self._start_proxy(self._serve(MinionStandin(minion)))
        self.minion_proxies.append(proxy)
        listen = self._addresses.reserve()
        settings = self._common_settings(f"executor-{number}", domain) | {"minion_listen": listen}
        if self._layout.evacuation_s is not None:
            settings["evacuation_ms"] = self._layout.evacuation_s * MS_PER_SECOND
        self.executors.append(self._start_process("executor", settings, number))
        task = eventlet.spawn(self._send_heartbeats, minion, proxy.address, listen)
        self._exit_stack.callback(task.kill)

    def _start_dispatcher(self, number: int) -> None:
        callers, ready = self._addresses.reserve(), self._addresses.reserve()
        settings = self._common_settings(f"dispatcher-{number}", self._choose_domain(number))
        settings |= {"callers_listen": callers, "ready_listen": ready}
        settings |= dict(self._layout.dispatcher_settings)
        process = self._start_process("dispatcher", settings, number)
        self.dispatchers.append(process)
        self.endpoints.append(DispatcherEndpoint(callers, process))

    def _choose_domain(self, number: int) -> str:
        return self.domains[number % len(self.domains)]

    def _common_settings(self, name: str, domain: str) -> dict:
        inbox = self._addresses.reserve()
        settings = {
            "name": name,
            "domain": domain,
            "inbox": f"tcp://{inbox}",
            "store": self.store_proxy.address,
            "grace_s": GRACE_S,
        }
        if self._layout.has_link_proxies:
            proxy = self.link_proxies[name] = self._start_proxy(inbox)
            proxy.is_cut = lambda port: self.cuts.is_cut(port, name)
            settings["advertised_inbox"] = f"tcp://{proxy.address}"
        return settings

    def _start_process(self, role: str, settings: dict, number: int) -> Process:
        builds = self._layout.builds
        process = Process(role, settings, self._folder, builds[number % len(builds)])
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
                "state": "ready" if minion.departs_s is None else "draining",
                "room": {"cpu": WORKER_ROOM.cpu, "mem_mb": WORKER_ROOM.memory_mb},
                "labels": ["a", "r1"],
                "seq": life.sequence,
                "born": life.started_unix_ms,
            }
            if minion.departs_s is not None:
                left_s = max(0.0, minion.departs_s - time.monotonic())
                body["remaining_ms"] = round(left_s * MS_PER_SECOND)
            url = f"http://{listen}/instances/{minion.incarnation.instance}/heartbeat"
            # If the executor is down, a later heartbeat reaches it.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                http.request("POST", url, body=json.dumps(body), timeout=1.0)
            eventlet.sleep(HEARTBEAT_S)
