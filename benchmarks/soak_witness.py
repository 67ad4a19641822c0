"""Checks of the soak test: guarantees as seen by minions and callers."""

import json
import math
import random
import time
from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path

from geraniumspool.clock import SystemClock
from geraniumspool.contracts import RunKey
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.rooms import Resources
from geraniumspool.run_messages import RUN_DONE, RUN_STOPPED

WORKER_ROOM = Resources(8_000, 8_000)
EVACUATION_S = 1.5
# A delayed start can still take effect this long, until its lease ends and it is refused.
LATE_START_S = 1.0


class EventLog:
    """Log of events outside the processes, as JSON lines in the format of their logs."""

    def __init__(self, path: Path):
        """Open the log file."""
        self._file = path.open("w")

    def write(self, message: str, **fields: object) -> None:
        """Write one event with the current time."""
        moment = datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
        print(json.dumps({"time": moment, "message": message} | fields), file=self._file)

    def close(self) -> None:
        """Close the log file."""
        self._file.close()


class GuaranteeChecker:
    """Checks every start at all minions and every answer against the guarantees.

    :ivar violations: descriptions of the violations, each after its time in seconds
    :ivar starts: number of starts by task
    :ivar done: tasks that were done
    :ivar first_double_run_s: time in seconds from the start of the load until a task first had two
        runs at a time, None if none had
    """

    def __init__(self, log: EventLog):
        self.minions: list[CheckedMinion] = []
        self.violations: list[str] = []
        self.starts: dict[str, int] = {}
        self.done: set[str] = set()
        self.first_double_run_s: float | None = None
        self.log = log
        self._began_s = time.monotonic()
        self._evacuated_since_s: dict[str, float] = {}
        self._store_cut_until_s = 0.0

    def start_load(self) -> None:
        """Record that the load starts."""
        self._began_s = time.monotonic()

    def report_violation(self, text: str) -> None:
        """Record that a guarantee was violated."""
        since_s = time.monotonic() - self._began_s
        self.violations.append(f"{since_s:.3f} s: {text}")
        self.log.write("guarantee violated", text=text)

    def note_evacuated(self, domain: str, is_evacuated: bool) -> None:
        """Record that the store has acknowledged an evacuation, or that it ends."""
        self._evacuated_since_s.pop(domain, None)
        if is_evacuated:
            self._evacuated_since_s[domain] = time.monotonic()

    def note_store_unreachable(self, is_cut: bool) -> None:
        """Record that the store is unreachable for all processes, or reachable again."""
        self._store_cut_until_s = math.inf if is_cut else time.monotonic()

    def _check_not_evacuated(self, minion: "CheckedMinion", task: str) -> None:
        since = self._evacuated_since_s.get(minion.domain)
        if since is None:
            return
        waited_s = time.monotonic() - max(since, self._store_cut_until_s)
        if waited_s > EVACUATION_S + LATE_START_S:
            self.report_violation(
                f"{task} started in {minion.domain}, evacuated {waited_s:.1f} s ago"
            )

    def _check_single_run(self, minion: "CheckedMinion", started: RunKey) -> None:
        for other in self.minions:
            for key, state in other.list_runs():
                if key.task != started.task or (other is minion and key == started):
                    continue
                if self.first_double_run_s is None:
                    self.first_double_run_s = time.monotonic() - self._began_s
                new = f"run {started.attempt} began at {minion.name}"
                old = f"run {key.attempt} is {state} at {other.name}"
                self.report_violation(f"{started.task} runs twice: {new}, {old}")

    def note_start(self, minion: "CheckedMinion", key: RunKey) -> None:
        """Check a start against all other runs, those being stopped included."""
        self._check_not_evacuated(minion, key.task)
        self.starts[key.task] = self.starts.get(key.task, 0) + 1
        self._check_single_run(minion, key)
        if not WORKER_ROOM.fits(minion.peak_used):
            self.report_violation(f"{minion.name} was given {minion.peak_used} of {WORKER_ROOM}")

    def check_job(self, job: str, tasks: int, succeeded: bool, refused: bool) -> None:
        """Check the answers to a job against its starts and the tasks that were done.

        :param tasks: number of its tasks
        :param succeeded: whether a caller was told that the job succeeded
        :param refused: whether every try was refused
        """
        for minion in self.minions:
            minion.advance()
        names = [f"{job}.0.0.{index}" for index in range(tasks)]
        if refused and any(name in self.starts for name in names):
            self.report_violation(f"{job} was refused but has run")
        if succeeded and not self.done.issuperset(names):
            self.report_violation(f"{job} succeeded but a task of it was not done")


class CheckedMinion(MemoryMinion):
    """In-memory minion that reports its runs to the checker.

    :ivar departs_s: monotonic time at which it shuts down, None unless it drains
    :ivar stop_limit_ms: longest time that stopping a run takes, which is drawn for each; None
        for the default time
    """

    def __init__(
        self, clock: SystemClock, name: str, checker: GuaranteeChecker, domain: str, seed: int
    ):
        super().__init__(clock, name, WORKER_ROOM, seed)
        self.name = name
        self.domain = domain
        self.departs_s: float | None = None
        self.stop_limit_ms: float | None = None
        self._stop_random = random.Random(f"{seed}/{name}")
        self._checker = checker
        checker.minions.append(self)

    def list_runs(self) -> Iterable[tuple[RunKey, str]]:
        """Return the present runs, each with whether it is at work or being stopped."""
        self._advance()
        return [
            (run.key, "being stopped" if run.how == RUN_STOPPED else "at work")
            for run in self._running.values()
        ]

    def advance(self) -> None:
        """Process the runs that have ended by now."""
        self._advance()

    def restart(self):
        """Crash and restart under the same name."""
        self._checker.log.write("minion restarted", minion=self.name)
        super().restart()

    def _start(self, key, payload, lease_until_ms, fence):
        before = len(self.started)
        answer = super()._start(key, payload, lease_until_ms, fence)
        if len(self.started) > before:
            self._log_run("run started", key)
            self._checker.note_start(self, key)
        return answer

    def _stop(self, key, fence):
        run = self._running.get(key)
        is_unaffected = run is None or run.how == RUN_STOPPED
        super()._stop(key, fence)
        if is_unaffected:
            return
        if self.stop_limit_ms is not None:
            run.ends_ms = self._clock.now() + self._stop_random.uniform(0.0, self.stop_limit_ms)
        self._log_run("run stop requested", key, takes_ms=round(run.ends_ms - self._clock.now(), 1))

    def _advance(self):
        before = self._next_end
        super()._advance()
        for end in self._ended:
            if end.sequence >= before:
                self._log_run("run ended", end.key, how=end.how)
        self._checker.done.update(end.key.task for end in self._ended if end.how == RUN_DONE)

    def _log_run(self, message: str, key: RunKey, **fields: object) -> None:
        place = {"minion": self.name, "task": key.task, "attempt": key.attempt}
        self._checker.log.write(message, **place, **fields)
