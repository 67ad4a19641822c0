"""Stand-ins for the cases of the third review: store, minion, platform and callers.

They use the standard library only, and do what the users' pages say. One event loop runs all of
them; dispatchers and executors are processes of their own.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, unquote

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the users' sheets for a small installation.
HEARTBEAT_S = 1.5
STABLE_WINDOW_S = 3.0
HOLD_MAX_MS = 1_000
STOP_MS = 20
GRACE_S = 6.0
RESTART_S = 0.5
STATUS_TEXT = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected"}


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115
        self._began = time.monotonic()

    def write(self, event, **fields):
        """Write one event with the time since the start of the case."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{time.monotonic() - self._began:8.3f} {event} {text}".rstrip(), file=self._file)
        self._file.flush()

    def say(self, event, **fields):
        """Write one event, and print it as well."""
        self.write(event, **fields)
        print(event, " ".join(f"{name}={value}" for name, value in fields.items()), flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


class HttpServer:
    """An HTTP/1.1 server with keep-alive; subclasses answer in :meth:`answer`."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()

    async def listen(self, address):
        """Listen on ``host:port``."""
        self.address = address
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), backlog=512)

    def close_listener(self):
        """Stop listening and cut all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        ends = (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                pairs = (line.split(":", 1) for line in head[1:] if ":" in line)
                headers = {name.strip().lower(): value.strip() for name, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                document = json.loads(body) if body else {}
                fields = dict(parse_qsl(query, True))
                status, answer = await self.answer(method, unquote(path), fields, headers, document)
                data = json.dumps(answer).encode()
                text = STATUS_TEXT.get(status, "Other")
                writer.write(
                    f"HTTP/1.1 {status} {text}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        self._writers.discard(writer)
        with contextlib.suppress(Exception):
            writer.close()

    async def answer(self, method, path, query, headers, body):
        """Return the status and the JSON answer of one request."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self._items = {}
        self._events = []
        self._leases = {}
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write a key, as the operator does."""
        self.revision += 1
        created = self._items[key]["created"] if key in self._items else self.revision
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": created}
        self._items[key] = item | {"lease": lease}
        self._note(self._items[key])

    def read(self, key):
        """Return the value of a key, None if there is none."""
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    async def run(self):
        """End the leases that have expired, forever."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [name for name, (_, until) in self._leases.items() if until <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)

    async def answer(self, method, path, query, headers, body):
        """Answer one call as the page on the store says."""
        if path == "/kv-key":
            item = self._items.get(query["key"])
            return (200, item | {"as_of": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = [key for key in sorted(self._items) if key.startswith(query["prefix"])]
            keys = [key for key in keys if key > query.get("after", "")]
            items = [self._items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            lease = 1_000 + self.revision + len(self._leases) + time.monotonic_ns() % 10**9
            self._leases[lease] = (body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1_000)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_ms = self._leases[lease][0]
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1_000
        while True:
            events = [e for e in self._events if e["revision"] > after]
            events = [e for e in events if e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, body):
        rows = body.get("expect", [])
        if any(self._revision_of(row["key"]) != row["revision"] for row in rows):
            kept = [self._items[row["key"]] for row in rows if row["key"] in self._items]
            return 412, {"items": kept}
        for item in body.get("set_keys", []):
            if item["key"].startswith(("op/", "servers/")):
                return 403, {}
            if item.get("lease") and item["lease"] not in self._leases:
                return 404, {}
        for item in body.get("set_keys", []):
            self.put(item["key"], base64.b64decode(item["value"]), item.get("lease", 0))
        for key in body.get("delete_keys", []):
            self._remove(key)
        return 200, {"revision": self.revision}

    def _revision_of(self, key):
        return self._items[key]["revision"] if key in self._items else 0


class Run:
    """A run of a task on a minion.

    The payload of a task says what it takes: ``cpu=2000 mem=64 ms=400``.
    """

    def __init__(self, task, number, payload, now):
        wants = dict(word.split("=") for word in payload.split() if "=" in word)
        self.task, self.number = task, number
        self.cpu, self.mem = int(wants.get("cpu", 0)), int(wants.get("mem", 0))
        self.work_ms = float(wants["ms"])
        self.began_ms = now
        self.ends_ms = now + self.work_ms
        self.how = "done"


class Minion(HttpServer):
    """One lifetime of a minion: runs tasks under a lease, and reports itself to its executor."""

    def __init__(self, name, service, room, labels, control, record, on_start):
        super().__init__()
        self.name, self.service, self.room, self.labels = name, service, dict(room), list(labels)
        self.state = "ready"
        self.beats = 0
        self.beat_answered = asyncio.Event()
        self.runs, self.ended, self.closed = {}, [], {}
        self._control, self._record, self._on_start = control, record, on_start
        self._ends, self._fence, self._lease_ms = 0, 0, 0.0
        self._born = time.monotonic()
        self._end_listed = asyncio.Event()

    def clock_ms(self):
        """Return the minion's own steady clock."""
        return (time.monotonic() - self._born) * 1_000

    def used(self):
        """Return the room that all runs take, those being stopped included."""
        runs = self.runs.values()
        return {"cpu": sum(run.cpu for run in runs), "mem_mb": sum(run.mem for run in runs)}

    async def run(self):
        """End runs when they are done or their lease is over, forever."""
        while True:
            await asyncio.sleep(0.004)
            now = self.clock_ms()
            for run in list(self.runs.values()):
                if min(run.ends_ms, self._lease_ms) <= now:
                    self._finish(run, run.how if run.ends_ms <= now else "lapsed")

    def _finish(self, run, how):
        del self.runs[run.task]
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self._ends += 1
        self.ended.append([self._ends, run.task, run.number, how, ""])
        self._record.write("end", minion=self.name, task=run.task, run=run.number, how=how)
        self._end_listed.set()
        self._end_listed = asyncio.Event()

    async def beat(self):
        """Report to the executor, forever."""
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self):
        """Report to the executor once; return the status, None without an answer."""
        self.beats += 1
        body = {
            "service": self.service,
            "addr": self.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "room": {**self.room, "gpu": 0},
            "labels": self.labels,
            "clock_ms": int(self.clock_ms()),
            "seq": self.beats,
        }
        path = f"/instances/{self.name}/heartbeat"
        reply = await call(self._control, "POST", path, body, 1.0)
        status = reply[0] if reply else None
        room = self.room["cpu"]
        self._record.write("report", minion=self.name, seq=self.beats, room=room, status=status)
        if status == 200:
            self.beat_answered.set()
        return status

    async def answer(self, method, path, query, headers, body):
        """Answer one order."""
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        clock = {"clock_ms": int(self.clock_ms())}
        if body["fence"] < self._fence:
            return 409, clock | {"reason": "fence"}
        self._fence = body["fence"]
        if path == "/run-start":
            return self._start(body, clock)
        if path == "/run-stop":
            return self._stop(body, clock)
        return await self._hold(body)

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _start(self, body, clock):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, clock
        if number <= self.closed.get(task, 0):
            self._extend(body["deadline_ms"])
            return 409, clock | {"reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, clock | {"reason": "late"}
        self._extend(body["deadline_ms"])
        self.runs[task] = Run(task, number, body["spec"], self.clock_ms())
        used = self.used()["cpu"]
        self._record.write("start", minion=self.name, task=task, run=number, used_cpu=used)
        self._on_start(self, self.runs[task])
        return 200, clock

    def _stop(self, body, clock):
        task, number = body["task"], body["run"]
        self.closed[task] = max(number, self.closed.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.how != "stopped":
            run.how, run.ends_ms = "stopped", self.clock_ms() + STOP_MS
            self._record.write("stop", minion=self.name, task=task, run=number)
        return 200, clock

    async def _hold(self, body):
        self.ended = [end for end in self.ended if end[0] > body["acked_upto"]]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        if not self.ended and body.get("wait_ms"):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._end_listed.wait(), body["wait_ms"] / 1_000)
        now = self.clock_ms()
        running = [
            [run.task, run.number, "", min(99, int(100 * (now - run.began_ms) / run.work_ms)), 0]
            for run in self.runs.values()
        ]
        return 200, {"clock_ms": int(now), "running": running, "ended": self.ended[:500]}


class Process:
    """A dispatcher or an executor, started with the commands of the deploy file."""

    def __init__(self, role, settings, folder, record):
        self.name = settings["name"]
        self.ended_by_itself = False
        self._role, self._record = role, record
        self._path = Path(folder) / f"{self.name}.json"
        self._path.write_text(json.dumps(settings))
        self._log = open(Path(folder) / f"{self.name}.log", "ab")  # noqa: SIM115
        self._process = None

    @property
    def pid(self):
        """Return the id of the process."""
        return self._process.pid

    async def start(self):
        """Start the process."""
        names = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in names if name in os.environ}
        variables |= {
            "GERANIUMSPOOL_SETTINGS": str(self._path),
            "EVENTLET_NO_GREENDNS": "yes",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        command = ["python3", "-m", "geraniumspool.platform", self._role]
        self._process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=variables, stdout=self._log, stderr=self._log
        )
        self._record.write("process started", name=self.name)

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def signal(self, number):
        """Send a signal, and wait for the end if it ends the process."""
        self._record.write("signal", name=self.name, number=signal.Signals(number).name)
        self._process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            await self._process.wait()

    async def close(self):
        """Kill the process if it still runs."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGCONT)
                self._process.kill()
            await self._process.wait()
        elif self._process is not None and self._process.returncode not in (0, -9, -15):
            self.ended_by_itself = True
        self._log.close()

    def memory_mb(self):
        """Return the resident memory of the process in MB."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1_024
        return 0.0


class Platform:
    """A small installation: store, minions, dispatchers and executors, all on loopback."""

    def __init__(self, record, dispatchers, room, labels=(), shares=()):
        """Prepare it.

        :param room: room of each minion; there is an executor beside each
        :param labels: labels of each minion, the same for all if not given
        :param shares: processor share of each dispatcher, the same for all if not given
        """
        self.record, self.store = record, Store()
        self.dispatchers, self.executors, self.minions = [], [], []
        self.fronts, self.ready = [], []
        self._labels = labels or [["a", "r1-1"]] * len(room)
        self._dispatcher_count, self._rooms = dispatchers, room
        self._shares = shares or [0.537] * dispatchers
        self.on_start = _ignore_start
        self._tasks = []
        self._folder = tempfile.TemporaryDirectory()
        self.log_folder = os.environ.get("LOGS") or self._folder.name
        pid = os.getpid()
        self._host = f"127.{1 + pid // 65_536 % 254}.{pid // 256 % 256}.{1 + pid % 254}"
        self._ports = set()

    def free(self):
        """Return a free ``host:port``."""
        while True:
            with socket.socket() as bound:
                bound.bind((self._host, 0))
                port = bound.getsockname()[1]
            if port not in self._ports:
                self._ports.add(port)
                return f"{self._host}:{port}"

    def spawn(self, coroutine):
        """Run a coroutine until the installation is closed."""
        self._tasks.append(asyncio.ensure_future(coroutine))
        return self._tasks[-1]

    def configure(self, version, routes, limits=None):
        """Write the configuration, as the operator does."""
        rows = [
            {
                "name": name,
                "host": "jobs.example",
                "prefix": f"/{name}/",
                "kind": "unsafe",
                "timeout_ms": 1_500,
                "target_duration_ms": 60,
                "priority": 0,
                "service": service,
                "attempts": 2,
                "stretch": 1.6,
            }
            for name, service in routes.items()
        ]
        document = {
            "version": version,
            "routes": rows,
            "services": [],
            "limits": limits
            or {
                "max_header_bytes": 16_384,
                "max_body_bytes": 262_144,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def start(self, service="work"):
        """Start everything."""
        await self.store.listen(self.free())
        self.spawn(self.store.run())
        self.configure(1, {"queue": service})
        for number, room in enumerate(self._rooms):
            control = self.free()
            name = f"executor-{number + 1}"
            settings = self._settings(name) | {
                "minion_listen": control,
                "evacuation_ms": None,
                "orders": "invoke",
            }
            self.executors.append(Process("executor", settings, self.log_folder, self.record))
            await self.executors[-1].start()
            await self.add_minion(number, f"i-{number + 1:08x}", service, room, control)
        for number in range(self._dispatcher_count):
            front, ready = self.free(), self.free()
            settings = self._settings(f"dispatcher-{number + 1}") | {
                "callers_listen": front,
                "ready_listen": ready,
                "processor_share": self._shares[number],
                "processors": 2,
                "run_times_by_queue": True,
                "remote_data_factor": 1.5,
            }
            self.fronts.append(front)
            self.ready.append(ready)
            self.dispatchers.append(Process("dispatcher", settings, self.log_folder, self.record))
            await self.dispatchers[-1].start()

    async def add_minion(self, number, name, service, room, control):
        """Start a minion beside an executor."""
        minion = Minion(
            name, service, room, self._labels[number], control, self.record, self._note_start
        )
        await minion.listen(self.free())
        self.minions.append(minion)
        self.spawn(minion.run())
        self.spawn(minion.beat())
        return minion

    def _note_start(self, minion, run):
        self.on_start(minion, run)

    def _settings(self, name):
        return {
            "name": name,
            "domain": "zone-1",
            "inbox": f"tcp://{self.free()}",
            "store": self.store.address,
            "grace_s": GRACE_S,
            "metrics_listen": self.free(),
        }

    async def await_ready(self, limit_s=20.0):
        """Return whether each dispatcher serves a job within a time limit."""
        until = time.monotonic() + limit_s
        number = 0
        while time.monotonic() < until:
            number += 1
            answers = [
                await submit(front, f"{number:08x}{index:08x}", job_body(1, 10, 20), 1_500)
                for index, front in enumerate(self.fronts)
            ]
            if all(answer and answer[0] == 200 for answer in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def close(self):
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for process in [*self.dispatchers, *self.executors]:
            await process.close()
        for server in [self.store, *self.minions]:
            server.close_listener()
        self._folder.cleanup()


def _ignore_start(_minion, _run):
    pass


def job_body(count, cpu, work_ms, **step):
    """Return the body of a job of one step."""
    spec = f"cpu={cpu} mem=64 ms={work_ms}"
    steps = [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": work_ms, **step}]
    return {"spec": spec, "steps": steps, "best_effort": True}


async def call(address, method, path, body, limit_s, headers=()):
    """Send one request on a connection of its own; return status and body, None if unanswered."""
    host, _, port = address.rpartition(":")
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", *headers, "Content-Type: application/json"]
    lines += [f"Content-Length: {len(data)}", "Connection: close"]
    if not any(line.lower().startswith("host:") for line in lines):
        lines.insert(1, f"Host: {address}")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head, _, rest = (await reader.read(-1)).partition(b"\r\n\r\n")
            if not head:
                return None
            return int(head.split(b" ", 2)[1]), rest.decode("utf-8", "replace")
    except (OSError, TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def submit(front, job_id, body, deadline_ms, queue="queue", limit_s=None):
    """Submit a job and wait for its result; return status and body, None without an answer."""
    headers = ("Host: jobs.example", f"Deadline-Ms: {deadline_ms}")
    limit_s = limit_s or deadline_ms / 1_000 + 0.5
    return await call(front, "POST", f"/{queue}/{job_id}", body, limit_s, headers)


def play(case, folder, limit_s=110.0):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    :param case: coroutine function that gets a record and returns one of these codes
    """

    async def run():
        async with asyncio.timeout(limit_s):
            return await case(record)

    record = Record(folder)
    try:
        code = asyncio.run(run())
    except Exception as error:
        record.say("the case could not run", error=repr(error))
        code = NOT_RUN
    record.say("result", trouble=int(TROUBLE), code=code)
    record.close()
    sys.exit(code)
