"""Stand-ins for the scripts of the review: platform, minions, clients, and links that can be cut.

The project's own programs run as separate processes, with the commands of the deploy file. All
else runs in the process of the script: the store and the minions are the project's own stand-ins,
and every connection between two of the programs passes a proxy, which can hold back its data.
"""

# ruff: noqa: E402
# Everything below is imported with its blocking calls replaced.
import eventlet

eventlet.monkey_patch()

import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterable
from pathlib import Path

import greenlet
from eventlet import wsgi

from geraniumspool.clock import SystemClock
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.rooms import Resources
from tests.platform_standin import MinionStandin, StoreStandin

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
ROUTE = {
    "name": "r-3hwrr6x",
    "host": HOST,
    "prefix": PREFIX,
    "kind": "unsafe",
    "timeout_ms": 10_000,
    "target_duration_ms": 60,
    "priority": 0,
    "service": SERVICE,
    "attempts": 3,
    "stretch": 1.6,
}
ROOM = Resources(16_000, 32_768)
HEARTBEAT_S = 1.5
# Stands for the platform, which forwards the clients' connections, in cuts.
PLATFORM = "platform"
# The platform starts a process that has ended again after a short delay.
RESTART_S = 0.3
# Bound of the pages: a run that is told to stop may go on for this long (stop_ms).
STOP_S = 0.05
GRACE_S = 6
# Read by ``run.sh`` of each case. Python itself ends with 1 after an error.
EXIT_HELD, EXIT_NOT_RUN, EXIT_BROKEN = 0, 2, 10
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRun(Exception):
    """The case could not run, for a reason that has nothing to do with the rule."""


class Record:
    """What was sent, answered and run, as lines of ``record.txt`` beside a script."""

    def __init__(self, folder: Path):
        """Begin an empty record."""
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Return the time since the record began in seconds."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Add a line with the current time."""
        print(f"{self.now_s:8.3f} {text}", file=self._file, flush=True)


class RecordedMinion(MemoryMinion):
    """Minion that keeps the times of all its runs.

    :ivar spans: per run, the task, its number, when it began and when it ended, None while it runs
    """

    def __init__(self, record: Record, name: str):
        """Create an idle minion."""
        super().__init__(SystemClock(), f"i-{name}", ROOM)
        self.name = name
        self.spans: dict = {}
        self._record = record

    def _start(self, key, payload, lease_until_ms, fence):
        before = len(self.started)
        answer = super()._start(key, payload, lease_until_ms, fence)
        if len(self.started) > before:
            self._record.write(f"minion {self.name} starts {key.task} run {key.attempt}")
            self.spans[key] = [self._record.now_s, None]
        return answer

    def _advance(self):
        before = self._next_end
        super()._advance()
        for end in self._ended:
            if end.sequence >= before and end.key in self.spans:
                self.spans[end.key][1] = self._record.now_s
                self._record.write(
                    f"minion {self.name} lists {end.key.task} run {end.key.attempt} as {end.how}"
                )

    def list_progress(self) -> dict[tuple[str, int], int]:
        """Return the progress of what runs now in percent, by task and number of the run."""
        now = self._clock.now()
        return {
            tuple(key): min(99, int(100 * (now - run.started_ms) / run.run_ms))
            for key, run in self._running.items()
        }

    def run_clock(self) -> None:
        """Notice ends of runs also while nobody calls."""
        while True:
            self._advance()
            eventlet.sleep(0.005)


class MinionService(MinionStandin):
    """The project's stand-in of a minion's interface, with the progress that its runs have made."""

    def work(self, environ, path, query, body):
        """Answer one call; in lists of runs, show the real progress in whole percent."""
        status, answer = super().work(environ, path, query, body)
        runs = self.minion.list_progress()
        for row in answer.get("running", ()):
            row[3] = runs.get((row[0], row[1]), 99)
        return status, answer


class Program:
    """One of the project's programs, started with the command of the deploy file."""

    def __init__(self, role: str, name: str, settings: dict, folder: Path, record: Record):
        """Start the program."""
        self.name = name
        self._role = DEPLOY["roles"][role]
        self._settings = folder / f"{name}.json"
        self._settings.write_text(json.dumps(settings))
        self._log = (folder / f"{name}.log").open("ab")
        self._record = record
        self.start()

    def start(self) -> None:
        """Start the program, again if it has ended."""
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables = kept | self._role.get("env", {})
        variables["GERANIUMSPOOL_SETTINGS"] = str(self._settings)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            self._role["run"].split(),
            cwd=ROOT,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write(f"{self.name} is started")

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self.process.pid

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def kill_and_restart(self) -> None:
        """Kill the program; the platform starts it again after a short delay."""
        self.send(signal.SIGKILL)
        self.process.wait()
        eventlet.sleep(RESTART_S)
        self.start()

    def close(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._log.close()


class Link:
    """One connection through a proxy.

    :ivar source: name of the program that it comes from
    :ivar is_silent: whether its data is discarded for good
    """

    def __init__(self, near, far, source: str):
        """Store the sockets of both sides."""
        self.near = near
        self.far = far
        self.source = source
        self.is_silent = False
        self.threads: list = []


def reset_socket(end) -> None:
    """Close a socket so that its peer sees the connection reset."""
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    end.close()


class Proxy:
    """TCP proxy on loopback, whose connections can be cut, reset, or fall silent for good.

    Data of connections that are cut is held back. Neither side of a connection that is cut or
    silent learns that the other one has closed it.
    """

    def __init__(self, target: str, is_cut, find_source):
        """Listen for connections.

        :param is_cut: returns, for the name of the source of a connection, whether it is cut
        :param find_source: returns the name of the program that a port belongs to
        """
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._is_cut = is_cut
        self._find_source = find_source
        self.links: set[Link] = set()
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        eventlet.spawn_n(self._accept)

    def silence(self, source: str) -> int:
        """Discard all further data of open connections of a program; return how many."""
        found = [link for link in self.links if link.source == source]
        for link in found:
            link.is_silent = True
        return len(found)

    def break_near(self, source: str) -> int:
        """Reset a program's side of its open connections; return how many.

        The other side, which is cut off, does not learn of it.
        """
        found = [link for link in self.links if link.source == source]
        for link in found:
            link.threads[0].kill()
            reset_socket(link.near)
        return len(found)

    def _accept(self) -> None:
        while True:
            near, (_, port) = self._listener.accept()
            eventlet.spawn_n(self._connect, near, self._find_source(port))

    def _hold(self, source: str) -> None:
        while self._is_cut(source):
            eventlet.sleep(0.01)

    def _connect(self, near, source: str) -> None:
        self._hold(source)
        try:
            far = eventlet.connect(self._target)
        except OSError:
            near.close()
            return
        link = Link(near, far, source)
        self.links.add(link)
        link.threads = [
            eventlet.spawn(self._forward, link, near, far),
            eventlet.spawn(self._forward, link, far, near),
        ]
        for thread in link.threads:
            with contextlib.suppress(greenlet.GreenletExit):
                thread.wait()
        self.links.discard(link)
        near.close()
        far.close()

    def _forward(self, link: Link, source, sink) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self._hold(link.source)
                if not link.is_silent:
                    sink.sendall(data)
        self._hold(link.source)
        while link.is_silent:
            eventlet.sleep(0.1)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


class Cut:
    """Machines that cannot reach each other, as two groups of names of programs."""

    def __init__(self):
        """Start without a cut."""
        self.sides: tuple[frozenset, frozenset] = (frozenset(), frozenset())

    def separates(self, one: str, other: str) -> bool:
        """Return whether two programs cannot reach each other."""
        left, right = self.sides
        return (one in left and other in right) or (one in right and other in left)


def find_program(programs: Iterable["Program"], port: int) -> str:
    """Return the name of the program that has a connection from a local port, or nothing."""
    inodes = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port:
            inodes.add(f"socket:[{fields[9]}]")
    for program in programs:
        with contextlib.suppress(OSError):
            for descriptor in Path(f"/proc/{program.pid}/fd").iterdir():
                with contextlib.suppress(OSError):
                    if os.readlink(descriptor) in inodes:
                        return program.name
    return ""


def reserve_address() -> str:
    """Return a free address on a loopback address of this process's own.

    Outgoing connections start from 127.0.0.1 and so never take the port meanwhile.
    """
    pid = os.getpid()
    host = f"127.{1 + pid // 65_536 % 254}.{pid // 256 % 256}.{1 + pid % 254}"
    with socket.socket() as bound:
        bound.bind((host, 0))
        return f"{host}:{bound.getsockname()[1]}"


class Deployment:
    """Dispatchers, executors and their surroundings.

    :ivar dispatchers: programs by name
    :ivar executors: programs by name
    :ivar minions: minions by the name of their executor
    :ivar fronts: the platform's addresses for clients by the name of the dispatcher
    :ivar store: stand-in for the platform's store
    """

    def __init__(self, record: Record):
        """Prepare an empty deployment with its store."""
        self.record = record
        self.dispatchers: dict[str, Program] = {}
        self.executors: dict[str, Program] = {}
        self.minions: dict[str, RecordedMinion] = {}
        self.fronts: dict[str, str] = {}
        self._inboxes: dict[str, Proxy] = {}
        self._forwarders: dict[str, Proxy] = {}
        self._probes = 0
        self.ready: dict[str, str] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._cut = Cut()
        self.store = StoreStandin(SystemClock(), 10_000)
        self._store_address = _serve(self.store)
        self.configure(1, [ROUTE])

    def configure(self, version: int, routes: list[dict]) -> None:
        """Write a configuration, as operators do."""
        document = {"version": version, "routes": routes, "services": [], "limits": {}}
        current = self.store.store.get("op/config")
        revision = current.revision if current else 0
        self.store.store.swap("op/config", revision, json.dumps(document).encode())

    def silence_link(self, source: str, target: str) -> int:
        """Silence the open connections from one program to another; return how many."""
        return self._inboxes[target].silence(source)

    def cut(self, region: set[str]) -> None:
        """Cut the machines of a region from all others and from clients, in both directions."""
        others = {PLATFORM} | {program.name for program in self.programs} - region
        self._cut.sides = (frozenset(region), frozenset(others))
        self.record.write(f"cut off from all others: {sorted(region)}")

    def break_clients(self, name: str) -> None:
        """End the clients' connections to a dispatcher that is cut off and does not notice."""
        self._forwarders[name].break_near(PLATFORM)

    def reset_connections(self, source: str, targets: Iterable[str]) -> None:
        """Reset a program's connections to others that it is cut off from."""
        count = sum(self._inboxes[target].break_near(source) for target in targets)
        self.record.write(f"connections of {source} that are reset: {count}")

    def heal(self) -> None:
        """End the cut; data that was held back is delivered."""
        self._cut.sides = (frozenset(), frozenset())
        self.record.write("cut healed")

    @property
    def programs(self) -> list[Program]:
        """Return all programs."""
        return [*self.dispatchers.values(), *self.executors.values()]

    def _find_source(self, port: int) -> str:
        return find_program(self.programs, port)

    def add_dispatcher(self, name: str, zone: str, processor_share: float = 0.537) -> None:
        """Start a dispatcher on a front machine."""
        settings = self._common_settings(name, zone)
        settings["callers_listen"] = reserve_address()
        forwarder = self._forwarders[name] = Proxy(
            settings["callers_listen"],
            lambda source: self._cut.separates(source, name),
            lambda _port: PLATFORM,
        )
        self.fronts[name] = forwarder.address
        self.ready[name] = settings["ready_listen"] = reserve_address()
        settings |= {"processor_share": processor_share, "processors": 2, "remote_data_factor": 1.5}
        settings["run_times_by_queue"] = True
        self.dispatchers[name] = Program("dispatcher", name, settings, self.folder, self.record)

    def add_executor(self, name: str, zone: str) -> None:
        """Start an executor and its minion on a side machine."""
        minion = self.minions[name] = RecordedMinion(self.record, name)
        address = _serve(MinionService(minion))
        listen = reserve_address()
        settings = self._common_settings(name, zone) | {"minion_listen": listen}
        settings["orders"] = "invoke"
        self.executors[name] = Program("executor", name, settings, self.folder, self.record)
        eventlet.spawn_n(minion.run_clock)
        eventlet.spawn_n(self._send_reports, minion, address, listen, zone)

    def _common_settings(self, name: str, zone: str) -> dict:
        inbox = reserve_address()
        proxy = Proxy(inbox, lambda source: self._cut.separates(source, name), self._find_source)
        self._inboxes[name] = proxy
        return {
            "name": name,
            "domain": zone,
            "inbox": f"tcp://{inbox}",
            "advertised_inbox": f"tcp://{proxy.address}",
            "store": self._store_address,
            "grace_s": GRACE_S,
        }

    def _send_reports(self, minion: RecordedMinion, address: str, listen: str, zone: str) -> None:
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": SERVICE,
                "addr": address,
                "zone": zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "room": {"cpu": ROOM.cpu, "mem_mb": ROOM.memory_mb, "gpu": 0},
                "labels": ["a", "r1-1"],
                "clock_ms": int(minion.clock_ms),
                "born": minion.incarnation.started_unix_ms,
                "seq": sequence,
            }
            path = f"/instances/{minion.incarnation.instance}/heartbeat"
            status = call(listen, "POST", path, body, limit_s=1.0)[0]
            eventlet.sleep(HEARTBEAT_S if status == 200 else 0.2)

    def await_ready(self, limit_s: float = 30.0) -> None:
        """Wait until each dispatcher is ready and serves a job; raise NotRun if none does."""
        end = time.monotonic() + limit_s
        for name, front in self.fronts.items():
            while True:
                self._probes += 1
                job = {"spec": "100:20", "steps": [{"count": 1, "cpu": 100, "estimate_ms": 20}]}
                job_id = f"{self._probes:016x}"
                status = submit(front, job_id, job | {"best_effort": True}, 2_000)[0]
                if status == 200 and call(self.ready[name], "GET", "/ready", limit_s=1.0)[0] == 200:
                    break
                if time.monotonic() > end:
                    raise NotRun(f"{name} does not serve")
                eventlet.sleep(0.2)
        # Arbiters that have just started are settled after the time that leases last.
        eventlet.sleep(3.0)

    def close(self) -> None:
        """End all programs that were started."""
        for program in self.programs:
            program.close()
        kept = os.environ.get("REVIEW_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _serve(application) -> str:
    listener = eventlet.listen(("127.0.0.1", 0), backlog=256)
    eventlet.spawn_n(wsgi.server, listener, application, log_output=False, debug=False)
    return f"127.0.0.1:{listener.getsockname()[1]}"


def call(
    address: str, method: str, path: str, body=None, limit_s: float = 5.0, headers=None
) -> tuple[int, bytes]:
    """Make one HTTP request; the status is 0 if there is no response."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=limit_s)
    try:
        with eventlet.Timeout(limit_s):
            data = None if body is None else json.dumps(body)
            sent = {"Content-Type": "application/json"} | (headers or {})
            connection.request(method, path, data, sent)
            response = connection.getresponse()
            return response.status, response.read()
    except (OSError, http.client.HTTPException, eventlet.Timeout):
        return 0, b""
    finally:
        connection.close()


def submit(front: str, job_id: str, job: dict, deadline_ms: int) -> tuple[int, bytes]:
    """Submit a job and wait for the response for as long as the client waits."""
    headers = {"Host": HOST, "Deadline-Ms": str(deadline_ms)}
    return call(front, "POST", PREFIX + job_id, job, deadline_ms / 1000 + 0.5, headers)


def cancel(front: str, job_id: str) -> tuple[int, bytes]:
    """Cancel a job."""
    return call(front, "DELETE", PREFIX + job_id, None, 5.0, {"Host": HOST})


def find_double_runs(deployment: Deployment) -> list[str]:
    """Return the runs of one task that were at work at the same time, on minions that are up."""
    spans: dict[str, list] = {}
    for minion in deployment.minions.values():
        for key, (began, ended) in minion.spans.items():
            spans.setdefault(key.task, []).append((began, ended or float("inf"), minion.name))
    broken = []
    for task, runs in sorted(spans.items()):
        runs.sort()
        for (_, ended, minion), (began, other_ended, other) in zip(runs, runs[1:], strict=False):
            both_s = min(ended, other_ended) - began
            if both_s > STOP_S:
                broken.append(f"TWICE {task} on {minion} and {other} for {both_s:.3f} s")
    return broken


def _abort(deployment: Deployment) -> None:
    for program in deployment.programs:
        program.process.kill()
    os._exit(EXIT_NOT_RUN)


def run_case(folder: Path, play) -> None:
    """Run one case and exit with its result.

    :param play: called with a deployment and the record; returns what broke the rule
    """
    record = Record(folder)
    record.write(f"trouble: {HAS_TROUBLE}")
    deployment = Deployment(record)
    signal.signal(signal.SIGTERM, lambda *_: _abort(deployment))
    try:
        broken = play(deployment, record)
    except Exception as error:
        text = f"not run: {type(error).__name__}: {error}"
        record.write(text)
        print(text)
        code = EXIT_NOT_RUN
    else:
        for text in broken:
            record.write(f"broken: {text}")
            print(f"broken: {text}")
        code = EXIT_BROKEN if broken else EXIT_HELD
        record.write("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
    finally:
        deployment.close()
    sys.stdout.flush()
    os._exit(code)
