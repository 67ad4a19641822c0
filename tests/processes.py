"""Starts the dispatcher's programs as processes on loopback, for tests and benchmarks."""

import json
import os
import signal
import subprocess
import sys
import tempfile

import urllib3
import yaml

TOKEN = "operators-token-for-tests"
TICKET_KEY = "ticket-key-for-tests-0001"
SERVICE = "fitting"
TEAM = "opticians"
READY_LIMIT_S = 20
STOP_LIMIT_S = 20


class Program:
    """A process that runs ``geraniumspool``.

    :ivar process: the process
    :ivar ready: decoded line that the program printed when it was ready
    :ivar domain: failure domain of the program, or empty
    """

    def __init__(self, *arguments: str, log: str = os.devnull, domain: str = ""):
        """Start ``geraniumspool`` with arguments and wait until it is ready.

        :param log: file to which standard error is appended
        :param domain: failure domain of the program, or empty
        :raises RuntimeError: if the program ends before it is ready
        """
        self.domain = domain
        self._log = open(log, "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, "-m", "geraniumspool", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
        )
        line = self.process.stdout.readline()
        if not line:
            self.process.wait(READY_LIMIT_S)
            raise RuntimeError(
                f"{arguments} exited with code {self.process.returncode} before it was ready"
            )
        self.ready = json.loads(line)

    def send(self, number: int) -> None:
        """Send a signal to the process.

        :param number: signal number
        """
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.kill()
        self._wait_for_exit()

    def terminate(self) -> int:
        """Request a graceful shutdown (SIGTERM) and return the exit code."""
        self.send(signal.SIGTERM)
        return self._wait_for_exit()

    def _wait_for_exit(self) -> int:
        code = self.process.wait(STOP_LIMIT_S)
        self.process.stdout.close()
        self._log.close()
        return code


class ProcessSystem:
    """A complete system, each part a process of its own.

    :ivar slots: slots of each minion
    :ivar store: stand-in for the key-value store
    :ivar entries: entries in the order of their start
    :ivar agents: agents in the order of their start
    :ivar minions: minions in the order of their start, one per agent
    """

    def __init__(
        self,
        domains: list[str],
        agents_per_domain: list[int],
        entries_per_domain: int = 1,
        slots: int = 8,
        agent_settings: dict | None = None,
        log_folder: str | None = None,
    ):
        """Start all processes.

        :param domains: names of the failure domains
        :param agents_per_domain: number of agents in each failure domain
        :param entries_per_domain: number of entries in each failure domain
        :param slots: slots of each minion
        :param agent_settings: further settings of every agent
        :param log_folder: folder for the logs of the processes; without it they are discarded
        """
        self._folder = tempfile.TemporaryDirectory()
        self._log_folder = log_folder
        self._started = 0
        self._agent_settings = agent_settings or {}
        self.slots = slots
        self.http = urllib3.PoolManager(retries=False, maxsize=64)
        self.store = self._start("standin", "store")
        self.store_url = self.store.ready["store"]
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self.minions: list[Program] = []
        try:
            self._start_members(domains, agents_per_domain, entries_per_domain)
        except BaseException:
            self.stop()
            raise

    def _start_members(self, domains: list[str], agents: list[int], entries: int) -> None:
        for domain in domains:
            for _ in range(entries):
                self.add_entry(domain)
        for domain, count in zip(domains, agents, strict=True):
            for _ in range(count):
                self.add_agent(domain)

    def add_entry(self, domain: str) -> Program:
        """Start another entry in a failure domain."""
        settings = {
            "role": "entry",
            "domain": domain,
            "operators_token": TOKEN,
            "ticket_keys": [TICKET_KEY],
            "store_urls": [self.store_url],
            "heartbeat_period_ms": 500,
            "heartbeat_timeout_ms": 2000,
            "registration_ttl_ms": 3000,
        }
        entry = self._start("entry", self._write_settings(settings), domain=domain)
        self.entries.append(entry)
        return entry

    def add_agent(self, domain: str, with_minion: bool = True) -> Program:
        """Start another agent in a failure domain, with or without a minion."""
        settings = {
            "role": "agent",
            "domain": domain,
            "store_urls": [self.store_url],
            "heartbeat_period_ms": 500,
            **self._agent_settings,
        }
        agent = self._start("agent", self._write_settings(settings), domain=domain)
        self.agents.append(agent)
        if with_minion:
            self.minions.append(self.add_minion(agent))
        return agent

    def add_minion(self, agent: Program) -> Program:
        """Start a minion that registers with an agent."""
        return self._start(
            "standin",
            "minion",
            f"--agent={agent.ready['minion']}",
            f"--service={SERVICE}",
            f"--slots={self.slots}",
            "--connections=64",
        )

    def caller_addresses(self) -> list[str]:
        """Return the addresses of all entries' interfaces for callers."""
        return [entry.ready["callers"] for entry in self.entries]

    def call_operators(self, entry: Program, path: str, method: str = "GET", body=None):
        """Send a request to the operators' interface of an entry; return status and document."""
        reply = self.http.request(
            method,
            f"http://{entry.ready['operators']}{path}",
            headers={"Authorization": f"Bearer {TOKEN}"},
            json=body,
            timeout=10,
        )
        return reply.status, reply.json()

    def ready_agents(self, entry: Program) -> int:
        """Return the number of agents that are ready according to an entry."""
        _, status = self.call_operators(entry, "/v1/status")
        return sum(domain["ready"] for domain in status["domains"])

    def sum_starts(self) -> dict[str, int]:
        """Return the counts of task starts, summed over the running minions."""
        total: dict[str, int] = {}
        for minion in self.minions:
            if minion.process.poll() is not None:
                continue
            for name, value in self.count_starts(minion).items():
                total[name] = total.get(name, 0) + value
        return total

    def count_starts(self, minion: Program) -> dict[str, int]:
        """Return the counts of task starts at one minion."""
        return self.http.request("GET", f"{minion.ready['minion']}/starts", timeout=10).json()

    def stop(self) -> None:
        """Kill all processes that still run."""
        for program in [*self.entries, *self.minions, *self.agents, self.store]:
            program.kill()
        self._folder.cleanup()

    def _start(self, *arguments: str, domain: str = "") -> Program:
        self._started += 1
        log = os.devnull
        if self._log_folder:
            log = os.path.join(self._log_folder, f"{self._started}-{arguments[0]}.log")
        return Program(*arguments, log=log, domain=domain)

    def _write_settings(self, settings: dict) -> str:
        path = os.path.join(self._folder.name, f"{self._started}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            yaml.safe_dump(settings, file)
        return path
