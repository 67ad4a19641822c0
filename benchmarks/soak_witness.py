"""What the soak sees at its minions and callers, and the promises that it checks there."""

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
# A start that is carried out late is refused once its lease is over.
LATE_START_S = 1.0


class EventLog:
    """Writes what happens outside of the processes, as JSON lines like their own logs."""

    def __init__(self, path: Path):
        """Open the file."""
        self._file = path.open("w")

    def write(self, message: str, **fields: object) -> None:
        """Write one line."""
        moment = datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
        print(json.dumps({"time": moment, "message": message} | fields), file=self._file)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Witness:
    """Sees every start at all minions and every answer, and what breaks a promise.

    :ivar broken: a line for each promise that was broken
    :ivar first_twice_s: time from the first job to the first task that ran twice at a time
    """

    def __init__(self, log: EventLog):
        self.minions: list[WatchedMinion] = []
        self.broken: list[str] = []
        self.starts: dict[str, int] = {}
        self.done: set[str] = set()
        self.first_twice_s: float | None = None
        self.log = log
        self._began_s = time.monotonic()
        self._evacuated_s: dict[str, float] = {}
        self._cut_s = 0.0

    def begin(self) -> None:
        """Take that jobs begin to arrive."""
        self._began_s = time.monotonic()

    def note_broken(self, text: str) -> None:
        """Take that a promise was broken."""
        since_s = time.monotonic() - self._began_s
        self.broken.append(f"{since_s:.3f} s: {text}")
        self.log.write("promise broken", text=text)

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
            self.note_broken(f"{task} started in {minion.domain}, evacuated {waited_s:.1f} s ago")

    def _check_once(self, minion: "WatchedMinion", started: RunKey) -> None:
        for other in self.minions:
            for key, state in other.list_runs():
                if key.task != started.task or (other is minion and key == started):
                    continue
                if self.first_twice_s is None:
                    self.first_twice_s = time.monotonic() - self._began_s
                new = f"run {started.attempt} began at {minion.name}"
                old = f"run {key.attempt} is {state} at {other.name}"
                self.note_broken(f"{started.task} runs twice: {new}, {old}")

    def note_start(self, minion: "WatchedMinion", key: RunKey) -> None:
        """Check a start against everything that runs now, or is being stopped."""
        self._check_domain(minion, key.task)
        self.starts[key.task] = self.starts.get(key.task, 0) + 1
        self._check_once(minion, key)
        if not WORKER_ROOM.fits(minion.peak_used):
            self.note_broken(f"{minion.name} was given {minion.peak_used}")

    def judge_job(self, job: str, tasks: int, succeeded: bool, refused: bool) -> None:
        """Check what the callers of a job were told.

        :param refused: whether every try was refused
        """
        for minion in self.minions:
            minion.advance()
        names = [f"{job}.0.0.{index}" for index in range(tasks)]
        if refused and any(name in self.starts for name in names):
            self.note_broken(f"{job} was refused and has run")
        if succeeded and not self.done.issuperset(names):
            self.note_broken(f"{job} succeeded with a task that was not done")


class WatchedMinion(MemoryMinion):
    """A minion in memory that tells the witness.

    :ivar stop_limit_ms: stops take up to this, drawn; without it they take the usual time
    """

    def __init__(self, clock: SystemClock, name: str, witness: Witness, domain: str, seed: int):
        super().__init__(clock, name, WORKER_ROOM, seed)
        self.name = name
        self.domain = domain
        self.stop_limit_ms: float | None = None
        self._drawn = random.Random(f"{seed}/{name}")
        self._witness = witness
        witness.minions.append(self)

    def list_runs(self) -> Iterable[tuple[RunKey, str]]:
        """Return what runs now, each with whether it is at work or being stopped."""
        self._advance()
        return [
            (run.key, "being stopped" if run.how == RUN_STOPPED else "at work")
            for run in self._running.values()
        ]

    def advance(self) -> None:
        """Note what has ended."""
        self._advance()

    def restart(self):
        """Crash and begin another life under the same name."""
        self._witness.log.write("minion restarted", minion=self.name)
        super().restart()

    def _start(self, key, payload, lease_until_ms, fence):
        before = len(self.started)
        answer = super()._start(key, payload, lease_until_ms, fence)
        if len(self.started) > before:
            self._tell("run started", key)
            self._witness.note_start(self, key)
        return answer

    def _stop(self, key, fence):
        run = self._running.get(key)
        was_asked = run is None or run.how == RUN_STOPPED
        super()._stop(key, fence)
        if was_asked:
            return
        if self.stop_limit_ms is not None:
            run.ends_ms = self._clock.now() + self._drawn.uniform(0.0, self.stop_limit_ms)
        self._tell("run told to stop", key, takes_ms=round(run.ends_ms - self._clock.now(), 1))

    def _advance(self):
        before = self._next_end
        super()._advance()
        for end in self._ended:
            if end.sequence >= before:
                self._tell("run ended", end.key, how=end.how)
        self._witness.done.update(end.key.task for end in self._ended if end.how == RUN_DONE)

    def _tell(self, message: str, key: RunKey, **fields: object) -> None:
        place = {"minion": self.name, "task": key.task, "attempt": key.attempt}
        self._witness.log.write(message, **place, **fields)
