"""A soak: real programs as processes, with faults from outside, drawn from a seed.

Dispatchers and executors run as processes; the store, the minions and the callers
are here, and so are proxies on the way to the store and to the minions. Promises
are checked while it runs, from what minions and callers see:

* no task runs at two minions at a time, and no minion is given more than its room;
* a job whose every try was refused has no start;
* a job that succeeded had each of its tasks done;
* every caller is answered, and processes that are asked to leave do so in time;
* nothing starts in an evacuated failure domain once that must be in force.

``python -m benchmarks.soak FIRST COUNT`` plays seeds one by one. The last line is a
JSON object with ``seeds``, ``failed``, ``jobs`` and ``starts``.
"""

import contextlib
import json
import math
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import eventlet
import urllib3
import yaml
from eventlet import wsgi

from geraniumspool.clock import SystemClock
from geraniumspool.memory_minion import LOSSES, MemoryMinion, Scripted
from geraniumspool.rooms import Room
from geraniumspool.run_messages import RUN_DONE
from tests.platform_standin import MinionStandin, StoreStandin

ROOT = Path(__file__).parent.parent
DISPATCHERS = 2
EXECUTORS = 4
# Long enough for every kind of fault to come and go twice.
LOAD_S = 8.0
JOBS_PER_S = 25.0
RESEND_S = 1.3
TRIES = 3
# What is asked of a process that leaves.
GRACE_S = 6.0
HEARTBEAT_S = 0.3
WORKER_ROOM = Room(8_000, 8_000)
QUEUE = {
    "name": "scan",
    "host": "soak.example",
    "prefix": "/scan/",
    "service": "fitting",
    "attempts": 2,
    "stretch": 2.0,
    "target_duration_ms": 100,
}
FAULTS = ("stop", "kill", "term", "silence_minion", "cut_store", "reset_minion", "late_start")
MORE_FAULTS = (*FAULTS, "mute_minion", "mute_minion", "lose_calls")
CRASHES = (*MORE_FAULTS, "restart_minion", "restart_minion")
EVACUATIONS = (*CRASHES, "evacuate", "evacuate", "cut_store")
DOMAINS = ("north", "south")
EVACUATION_S = 1.5
# A start that is carried out late is refused once its lease is over.
LATE_START_S = 1.0
# Seeds from these on draw more kinds of faults; those below stay what they were.
FAULTS_FROM = ((3_000, EVACUATIONS), (2_000, CRASHES), (1_000, MORE_FAULTS), (0, FAULTS))


class Witness:
    """Sees every start at all minions, and what breaks a promise."""

    def __init__(self):
        self.minions: list[WatchedMinion] = []
        self.broken: list[str] = []
        self.starts: dict[str, int] = {}
        self.done: set[str] = set()
        self._evacuated_s: dict[str, float] = {}
        self._cut_s = 0.0

    def note_evacuated(self, domain: str, is_evacuated: bool) -> None:
        """Take that the store has acknowledged an evacuation, or its end."""
        self._evacuated_s.pop(domain, None)
        if is_evacuated:
            self._evacuated_s[domain] = time.monotonic()

    def note_cut(self, is_cut: bool) -> None:
        """Take that the store is out of reach for all, or reached again."""
        self._cut_s = math.inf if is_cut else time.monotonic()

    def _check_domain(self, minion: "WatchedMinion", task: str) -> None:
        since = self._evacuated_s.get(minion.domain)
        if since is None:
            return
        waited_s = time.monotonic() - max(since, self._cut_s)
        if waited_s > EVACUATION_S + LATE_START_S:
            self.broken.append(f"{task} started in {minion.domain}, evacuated {waited_s:.1f} s ago")

    def note_start(self, minion: "WatchedMinion", task: str) -> None:
        """Check a start against everything that runs now."""
        self._check_domain(minion, task)
        self.starts[task] = self.starts.get(task, 0) + 1
        for other in self.minions:
            if other is not minion and task in other.running:
                self.broken.append(f"{task} runs at two minions")
        if not WORKER_ROOM.fits(minion.most_used):
            self.broken.append(f"{minion.life.instance} was given {minion.most_used}")


class WatchedMinion(MemoryMinion):
    """A minion in memory that tells the witness."""

    def __init__(self, clock: SystemClock, name: str, witness: Witness, domain: str):
        super().__init__(clock, name, WORKER_ROOM)
        self.domain = domain
        self._witness = witness
        witness.minions.append(self)

    def _start(self, key, payload, lease_until_ms, fence):
        before = len(self.started)
        answer = super()._start(key, payload, lease_until_ms, fence)
        if len(self.started) > before:
            self._witness.note_start(self, key.task)
        return answer

    def _advance(self):
        super()._advance()
        self._witness.done.update(end.key.task for end in self._ended if end.how == RUN_DONE)


class Proxy:
    """A loopback proxy whose connections can be silenced, reset or refused."""

    def __init__(self, target: str):
        self._target = (target.rpartition(":")[0], int(target.rpartition(":")[2]))
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.silent = False
        self._open: set = set()
        self._task = eventlet.spawn(self._accept)

    def reset(self) -> None:
        """Reset all open connections."""
        for connection in list(self._open):
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            # It may have been closed meanwhile.
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()

    def close(self) -> None:
        """Stop serving."""
        self._task.kill()
        self._listener.close()
        self.reset()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = eventlet.connect(self._target)
            self._open.update((near, far))
            eventlet.spawn_n(self._carry, near, far)
            eventlet.spawn_n(self._carry, far, near)

    def _carry(self, source, sink) -> None:
        try:
            while data := source.recv(65_536):
                while self.silent:
                    eventlet.sleep(0.02)
                sink.sendall(data)
        except (OSError, EOFError):
            # One side has closed or was reset, or the proxy is closed.
            pass
        for connection in (source, sink):
            self._open.discard(connection)
            connection.close()


class Process:
    """One program, started anew when it has ended."""

    def __init__(self, role: str, settings: dict, folder: str):
        self._role = role
        self._path = os.path.join(folder, settings["name"] + ".yaml")
        self._log = open(os.path.join(folder, settings["name"] + ".log"), "ab")  # noqa: SIM115
        Path(self._path).write_text(yaml.safe_dump(settings))
        self.start()

    def start(self) -> None:
        """Start it."""
        variables = os.environ | {
            "GERANIUMSPOOL_SETTINGS": self._path,
            "EVENTLET_NO_GREENDNS": "yes",
            "PYTHONPATH": str(ROOT),
        }
        command = [sys.executable, "-m", "geraniumspool.platform", self._role]
        log = self._log.fileno()
        actions = [(os.POSIX_SPAWN_DUP2, log, 1), (os.POSIX_SPAWN_DUP2, log, 2)]
        # Unlike the patched subprocess this never yields, so no fault starts it twice.
        self._pid = os.posix_spawn(sys.executable, command, variables, file_actions=actions)
        self._has_ended = False

    @property
    def has_ended(self) -> bool:
        """Whether it is gone."""
        if not self._has_ended:
            self._has_ended = os.waitpid(self._pid, os.WNOHANG)[0] != 0
        return self._has_ended

    def signal(self, number: int) -> None:
        """Send a signal while it lives."""
        if not self.has_ended:
            os.kill(self._pid, number)

    def await_end(self, limit_s: float) -> bool:
        """Return whether it ended in time."""
        end = time.monotonic() + limit_s
        while not self.has_ended and time.monotonic() < end:
            eventlet.sleep(0.02)
        return self.has_ended

    def close(self) -> None:
        """Make sure that it is gone."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.await_end(GRACE_S)
        self._log.close()


class Outcome(NamedTuple):
    """What one caller was told; ``refused`` where every try was."""

    job: str
    tasks: int
    succeeded: bool
    refused: bool
    answered: bool


class Soak:
    """One seed: a system, its load, its faults."""

    def __init__(self, seed: int, folder: str, load_s: float = LOAD_S):
        """Draw everything from a seed.

        :param load_s: how long jobs arrive, in seconds
        """
        self._random = random.Random(seed)
        self._faults = next(faults for first, faults in FAULTS_FROM if seed >= first)
        self._domains = DOMAINS if self._faults is EVACUATIONS else DOMAINS[:1]
        self._load_s = load_s
        self._folder = folder
        self._clock = SystemClock()
        self.witness = Witness()
        self.outcomes: list[Outcome] = []
        # It goes on past a closing that fails, so that no process is left behind.
        self._closing = contextlib.ExitStack()
        self._processes: list[Process] = []
        self._minion_proxies: list[Proxy] = []

    def run(self) -> None:
        """Play the seed."""
        with self._closing:
            self._build()
            callers = eventlet.GreenPool(2_000)
            faults = eventlet.spawn(self._trouble)
            end = time.monotonic() + self._load_s
            number = 0
            while time.monotonic() < end:
                callers.spawn_n(self._call, f"{self._random.getrandbits(64):016x}", number)
                number += 1
                eventlet.sleep(self._random.expovariate(JOBS_PER_S))
            faults.wait()
            callers.waitall()
            self._leave()
            self._judge()

    def _serve(self, application) -> str:
        listener = eventlet.listen(("127.0.0.1", 0))
        task = eventlet.spawn(wsgi.server, listener, application, log_output=False, debug=False)
        self._closing.callback(listener.close)
        self._closing.callback(task.kill)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def _build(self) -> None:
        store = self._standin = StoreStandin(self._clock, 1_000)
        document = {"version": 1, "routes": [QUEUE], "limits": {}}
        store.store.swap("op/config", 0, json.dumps(document).encode())
        self._store = Proxy(self._serve(store))
        self._closing.callback(self._store.close)
        for number in range(EXECUTORS):
            self._build_worker(number)
        self._callers = [self._build_dispatcher(number) for number in range(DISPATCHERS)]
        self._http = urllib3.PoolManager(maxsize=200, retries=False)
        self._await_ready()

    def _build_worker(self, number: int) -> None:
        domain = self._domains[number % len(self._domains)]
        minion = WatchedMinion(self._clock, f"i-{number}", self.witness, domain)
        proxy = Proxy(self._serve(MinionStandin(minion)))
        self._minion_proxies.append(proxy)
        self._closing.callback(proxy.close)
        listen = _take_address()
        settings = self._common(f"executor-{number}", domain) | {"minion_listen": listen}
        settings["evacuation_ms"] = EVACUATION_S * 1_000
        self._start("executor", settings)
        task = eventlet.spawn(self._beat, minion, proxy.address, listen)
        self._closing.callback(task.kill)

    def _build_dispatcher(self, number: int) -> str:
        callers, ready = _take_address(), _take_address()
        settings = self._common(f"dispatcher-{number}", self._domains[number % len(self._domains)])
        settings |= {"callers_listen": callers, "ready_listen": ready}
        self._start("dispatcher", settings)
        return callers

    def _common(self, name: str, domain: str) -> dict:
        inbox = f"tcp://{_take_address()}"
        store = self._store.address
        return {"name": name, "domain": domain, "inbox": inbox, "store": store, "grace_s": GRACE_S}

    def _start(self, role: str, settings: dict) -> None:
        process = Process(role, settings, self._folder)
        self._processes.append(process)
        self._closing.callback(process.close)

    def _beat(self, minion: WatchedMinion, address: str, listen: str) -> None:
        http = urllib3.PoolManager(retries=False)
        while True:
            life = minion.life = minion.life._replace(sequence=minion.life.sequence + 1)
            body = {
                "service": "fitting",
                "addr": address,
                "state": "ready",
                "room": {"cpu": WORKER_ROOM.cpu, "mem_mb": WORKER_ROOM.memory_mb},
                "labels": ["a", "r1"],
                "seq": life.sequence,
                "born": life.started_unix_ms,
            }
            url = f"http://{listen}/instances/{minion.life.instance}/heartbeat"
            # Where the executor is away, the next report finds it.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                http.request("POST", url, body=json.dumps(body), timeout=1.0)
            eventlet.sleep(HEARTBEAT_S)

    def _await_ready(self) -> None:
        end = time.monotonic() + 20
        while time.monotonic() < end:
            answers = [self._post(address, "0" * 16, 0, 1)[0] for address in self._callers]
            if all(status == 200 for status in answers):
                return
            eventlet.sleep(0.1)
        raise RuntimeError("the system did not become ready")

    def _post(self, address: str, job: str, number: int, tasks: int) -> tuple[int, str]:
        run_ms = 20 + (number * 37) % 200
        step = {"count": tasks, "cpu": 1_000, "estimate_ms": run_ms}
        body = {"spec": f"1000:{run_ms}", "steps": [step], "best_effort": True}
        headers = {"Host": "soak.example", "Deadline-Ms": "3000"}
        url = f"http://{address}/scan/{job}"
        try:
            reply = self._http.request(
                "POST", url, body=json.dumps(body), headers=headers, timeout=3.5
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return 0, ""
        return reply.status, json.loads(reply.data).get("state", "")

    def _call(self, job: str, number: int) -> None:
        tasks = 1 + number % 5
        status, refused = 0, True
        for attempt in range(TRIES):
            address = self._callers[(number + attempt) % len(self._callers)]
            status, state = self._post(address, job, number, tasks)
            refused = refused and status == 503
            if status not in (0, 504):
                break
            eventlet.sleep(RESEND_S)
        succeeded = status == 200 and state == "succeeded"
        self.outcomes.append(Outcome(job, tasks, succeeded, refused, status != 0))

    def _trouble(self) -> None:
        """Let faults come in series that overlap."""
        pool = eventlet.GreenPool()
        end = time.monotonic() + self._load_s - 2.0
        while time.monotonic() < end:
            pool.spawn_n(getattr(self, "_do_" + self._random.choice(self._faults)))
            eventlet.sleep(self._random.uniform(0.2, 1.2))
        pool.waitall()

    def _do_stop(self) -> None:
        process = self._random.choice(self._processes)
        process.signal(signal.SIGSTOP)
        eventlet.sleep(self._random.uniform(0.1, 3.0))
        process.signal(signal.SIGCONT)

    def _do_kill(self) -> None:
        process = self._random.choice(self._processes)
        process.signal(signal.SIGKILL)
        process.await_end(2.0)
        eventlet.sleep(self._random.uniform(0.05, 0.5))
        if process.has_ended:
            process.start()

    def _do_term(self) -> None:
        process = self._random.choice(self._processes)
        process.signal(signal.SIGTERM)
        process.await_end(GRACE_S + 3.0)
        if process.has_ended:
            process.start()

    def _do_silence_minion(self) -> None:
        proxy = self._random.choice(self._minion_proxies)
        proxy.silent = True
        eventlet.sleep(self._random.uniform(0.1, 1.5))
        proxy.silent = False

    def _do_mute_minion(self) -> None:
        minion = self._random.choice(self.witness.minions)
        minion.mute = True
        eventlet.sleep(self._random.uniform(0.1, 1.5))
        minion.mute = False

    def _do_lose_calls(self) -> None:
        minion = self._random.choice(self.witness.minions)
        minion.loss = self._random.uniform(0.05, 0.4)
        eventlet.sleep(self._random.uniform(0.5, 3.0))
        minion.loss = 0.0

    def _do_reset_minion(self) -> None:
        self._random.choice(self._minion_proxies).reset()

    def _do_restart_minion(self) -> None:
        """Have a minion crash and come back under its name."""
        place = self._random.randrange(EXECUTORS)
        self._minion_proxies[place].reset()
        self._minion_proxies[place].silent = True
        self.witness.minions[place].restart()
        eventlet.sleep(self._random.choice((0.0, 0.3, 1.5)))
        self._minion_proxies[place].silent = False

    def _do_cut_store(self) -> None:
        self._store.silent = True
        self.witness.note_cut(True)
        eventlet.sleep(self._random.uniform(0.3, 2.0))
        self._store.silent = False
        self.witness.note_cut(False)

    def _do_evacuate(self) -> None:
        domain = self._random.choice(self._domains)
        key = f"op/evacuate/{domain}"
        store = self._standin.store
        written = store.swap(key, 0, b"{}")
        if not written.swapped:
            return
        self.witness.note_evacuated(domain, True)
        eventlet.sleep(self._random.uniform(0.5, 5.0))
        self.witness.note_evacuated(domain, False)
        store.delete(key, written.revision)

    def _do_late_start(self) -> None:
        minion = self._random.choice(self.witness.minions)
        late_ms = self._random.uniform(50, 3_000)
        minion.script(Scripted("start", self._random.choice(LOSSES), late_ms))

    def _leave(self) -> None:
        for process in self._processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in self._processes:
            if not process.await_end(GRACE_S + 3.0):
                self.witness.broken.append("a process did not leave in time")

    def _judge(self) -> None:
        witness = self.witness
        for minion in witness.minions:
            minion._advance()
        for outcome in self.outcomes:
            tasks = [f"{outcome.job}.0.0.{index}" for index in range(outcome.tasks)]
            if outcome.refused and any(task in witness.starts for task in tasks):
                witness.broken.append(f"{outcome.job} was refused and has run")
            if outcome.succeeded and not witness.done.issuperset(tasks):
                witness.broken.append(f"{outcome.job} succeeded with a task that was not done")


def _take_address() -> str:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound.getsockname()[1]}"


def main(first: int, count: int) -> int:
    """Play seeds; return 1 if one of them failed."""
    # An interrupted soak ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed, jobs, starts = [], 0, 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, folder)
            soak.run()
            jobs += len(soak.outcomes)
            starts += sum(soak.witness.starts.values())
            served = sum(outcome.succeeded for outcome in soak.outcomes)
            unanswered = sum(not outcome.answered for outcome in soak.outcomes)
            text = f"seed {seed}: {served} of {len(soak.outcomes)} served"
            print(f"{text}, {unanswered} without an answer", flush=True)
            if soak.witness.broken:
                failed.append(seed)
                for line in soak.witness.broken[:10]:
                    print(f"  broken: {line}", flush=True)
                kept = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
                for log in Path(folder).glob("*.log"):
                    (kept / log.name).write_bytes(log.read_bytes())
                print(f"  logs: {kept}", flush=True)
    summary = {"seeds": count, "failed": failed, "jobs": jobs, "starts": starts}
    print(json.dumps(summary))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(*map(int, sys.argv[1:3])))
