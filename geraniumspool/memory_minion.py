"""In-memory minion for tests and benchmarks that can simulate the faults of real minions."""

import enum
import math
import random
from typing import NamedTuple

from geraniumspool.contracts import (
    Clock,
    FinishedRun,
    MinionIncarnation,
    MinionStatus,
    RunKey,
    StartAnswer,
    StartOutcome,
)
from geraniumspool.errors import Fenced, MinionDown, MinionReplaced, MinionSilent
from geraniumspool.rooms import NO_RESOURCES, Resources
from geraniumspool.run_leases import LONGEST_LEASE_MS
from geraniumspool.run_messages import RUN_DONE, RUN_FAILED, RUN_LAPSED, RUN_STOPPED

DEFAULT_CAPACITY = Resources(10_000, 10_000)
# Interval at which a waiting poll checks for ended runs.
POLL_STEP_MS = 5.0
STOP_MS = 20.0
# Largest number of ended runs that one poll lists, oldest first.
MAX_LISTED_ENDS = 500
# Time after which an executor must know a changed capacity: one report interval and a margin.
CAPACITY_KNOWN_MS = 600.0
# Time until a call without an answer fails.
UNANSWERED_MS = 120.0
# Time from the start of a crashing task to the crash, and time until the restart.
CRASH_AFTER_MS = 30.0
DOWN_MS = 2_000.0
# Time until a refused connection is reported; both ends are on one host.
REFUSED_MS = 1.0
# Share of its run time after which a run fails if ``fails_all`` is set.
EARLY_FAILURE_SHARE = 0.1


class CallFault(enum.Enum):
    """Fault injected into a call."""

    LOST_BEFORE = "lost before execution"
    LOST_AFTER = "executed, answer lost"
    LATE = "no answer, executed later"
    REFUSED = "connection refused"


# Faults that may occur at random.
RANDOM_FAULTS = (CallFault.LOST_BEFORE, CallFault.LOST_AFTER, CallFault.LATE)


class ScriptedFault(NamedTuple):
    """Fault of the next call of a given kind.

    :param call: kind of call: ``start``, ``stop`` or ``look``
    :param fault: what goes wrong
    :param late_ms: delay after which a ``LATE`` call is executed
    """

    call: str
    fault: CallFault
    late_ms: float = 3_000.0


class _Running:
    def __init__(self, key: RunKey, need: Resources, run_ms: float, now: float):
        self.key = key
        self.need = need
        self.run_ms = run_ms
        self.started_ms = now
        self.ends_ms = now + run_ms
        self.how = RUN_DONE


class MemoryMinion:
    """Implementation of :class:`~geraniumspool.contracts.MinionControl` that simulates tasks.

    A payload has the form ``CPU:MS``: the capacity needed in thousandths of a core and the run
    time. It may end in ``:fail``, ``:hang`` or ``:crash``. In a step of ``:crash`` tasks only the
    first task, whose name ends in ``.0``, crashes each minion that starts it.

    :ivar incarnation: how the minion currently describes itself
    :ivar is_silent: whether calls are neither executed nor answered
    :ivar slow_factor: factor by which run times are longer than in the payload
    :ivar peak_used: largest capacity in use at any time
    :ivar started: keys of all runs started so far, in order
    :ivar stop_calls_ms: per run, when each stop call was executed, also before the run's start
    :ivar cpu_time_used: per task, capacity times run time used so far, in thousandths of a core
        times ms
    :ivar loss_probability: probability that a call gets no answer; the fault is drawn from
        ``RANDOM_FAULTS``
    :ivar stop_ms: how long a stopped run continues
    :ivar loses_answers: whether calls are executed but not answered
    :ivar refuses_connections: whether connections are refused while runs continue
    :ivar ignored_calls: kinds of calls that are neither executed nor answered
    :ivar fails_all: whether every run fails after a tenth of its run time
    :ivar hangs_all: whether no run makes progress
    :ivar refuse_with: outcome with which every start is refused, None to start runs
    :ivar crashed_by: names of the tasks that crashed the minion, in order
    :ivar overcommitted_runs: runs started beyond the capacity although the executor knew the
        capacity
    """

    def __init__(
        self,
        clock: Clock,
        instance: str = "i-1",
        resources: Resources = DEFAULT_CAPACITY,
        seed: int = 1,
        longest_stop_ms: float | None = None,
    ):
        """Create a minion that is running and idle.

        :param clock: source of time
        :param instance: name of the minion
        :param resources: total capacity
        :param seed: seed for lost calls and, with ``longest_stop_ms``, for the duration of stops
        :param longest_stop_ms: if given, each stop takes a random time up to this
        """
        self._longest_stop_ms = longest_stop_ms
        self._clock = clock
        self._random = random.Random(seed)
        labels, started_unix_ms = ("a", "r1"), round(clock.now())
        self.incarnation = MinionIncarnation(
            instance, "fitting", "127.0.0.1:1", resources, labels, False, 1, started_unix_ms
        )
        self._running: dict[RunKey, _Running] = {}
        self._ended: list[FinishedRun] = []
        self._closed_attempts: dict[str, int] = {}
        self._next_end = 1
        self._fence = 0
        self._lease_until = 0.0
        self._booted_ms = 0.0
        self._scripted: list[ScriptedFault] = []
        self.is_silent = False
        self.slow_factor = 1.0
        self.peak_used = NO_RESOURCES
        self.started: list[RunKey] = []
        self.stop_calls_ms: dict[RunKey, list[float]] = {}
        self.cpu_time_used: dict[str, float] = {}
        self.loss_probability = 0.0
        self.stop_ms = STOP_MS
        self.loses_answers = False
        self.refuses_connections = False
        self.ignored_calls: set[str] = set()
        self.fails_all = False
        self.hangs_all = False
        self.refuse_with: StartOutcome | None = None
        self.crashed_by: list[str] = []
        self.overcommitted_runs: list[RunKey] = []
        self._restart_ms = 0.0
        self._resized_ms = 0.0

    @property
    def running(self) -> set[str]:
        """Return the names of the tasks that are running now."""
        self._advance()
        return {key.task for key in self._running}

    @property
    def is_down(self) -> bool:
        """Whether the minion has crashed and has not restarted yet."""
        return self._clock.now() < self._restart_ms

    def resize(self, resources: Resources) -> None:
        """Change the total capacity at once, even below what is in use."""
        self._resized_ms = self._clock.now()
        self.incarnation = self.incarnation._replace(
            resources=resources, sequence=self.incarnation.sequence + 1
        )

    @property
    def clock_ms(self) -> float:
        """Return the minion's own clock, which starts at 0 with each incarnation."""
        return self._clock.now() - self._booted_ms

    def inject_fault(self, fault: ScriptedFault) -> None:
        """Inject a fault into the next call of its kind."""
        self._scripted.append(fault)

    def restart_renamed(self, instance: str) -> None:
        """Crash and start at once as a new incarnation at the same address under another name."""
        self.restart()
        self.refuses_connections = False
        self._restart_ms = self._clock.now()
        self.incarnation = self.incarnation._replace(instance=instance)

    def crash(self, down_ms: float) -> None:
        """Crash, and restart later under the same name.

        :param down_ms: time until the restart, infinite for never
        """
        self.restart()
        self._restart_ms = self._clock.now() + down_ms
        if math.isfinite(down_ms):
            self._booted_ms = self._restart_ms
            self.incarnation = self.incarnation._replace(started_unix_ms=round(self._restart_ms))

    def leave(self, run_on_ms: float) -> None:
        """Start draining, and exit later; runs continue until then.

        A real minion notifies its executor before it exits. Callers of this method do that.

        :param run_on_ms: time until the exit
        """
        incarnation = self.incarnation = self.incarnation._replace(
            draining=True, sequence=self.incarnation.sequence + 1
        )

        def end() -> None:
            if self.incarnation.is_same_incarnation(incarnation):
                self._advance()
                self.crash(math.inf)

        self._clock.after(run_on_ms, end)

    def restart(self) -> None:
        """Crash and restart at once under the same name, without any state of before."""
        for run in self._running.values():
            self._add_spent(run, self._clock.now())
        self._running.clear()
        self._ended.clear()
        self._closed_attempts.clear()
        self._next_end = 1
        self._fence = 0
        self._lease_until = 0.0
        self._booted_ms = self._clock.now()
        # Two incarnations never begin in the same millisecond.
        started_unix_ms = max(self.incarnation.started_unix_ms + 1, round(self._clock.now()))
        self.incarnation = self.incarnation._replace(
            draining=False, sequence=1, started_unix_ms=started_unix_ms
        )

    def start(
        self,
        incarnation: MinionIncarnation,
        key: RunKey,
        payload: str,
        lease_until_ms: float,
        fencing_token: int,
    ) -> StartAnswer:
        """Start a run; see :class:`~geraniumspool.contracts.MinionControl`."""
        return self._call(
            "start", incarnation, lambda: self._start(key, payload, lease_until_ms, fencing_token)
        )

    def stop(self, incarnation: MinionIncarnation, key: RunKey, fencing_token: int) -> None:
        """Stop a run; see :class:`~geraniumspool.contracts.MinionControl`."""
        self._call("stop", incarnation, lambda: self._stop(key, fencing_token))

    def poll(
        self,
        incarnation: MinionIncarnation,
        fencing_token: int,
        acknowledged_number: int,
        lease_until_ms: float | None,
        wait_ms: float,
    ) -> MinionStatus:
        """Renew the lease and list runs; see :class:`~geraniumspool.contracts.MinionControl`."""
        self._call(
            "look",
            incarnation,
            lambda: self._renew(fencing_token, acknowledged_number, lease_until_ms),
        )
        until = self._clock.now() + wait_ms
        while not self._ended and self._clock.now() < until:
            self._clock.sleep(POLL_STEP_MS)
            self._advance()
        self._check(incarnation)
        if incarnation.started_unix_ms != self.incarnation.started_unix_ms:
            raise MinionReplaced("minion has restarted", self.incarnation.started_unix_ms)
        now = self._clock.now()
        running = {
            run.key: min(0.99, (now - run.started_ms) / run.run_ms) if run.run_ms else 0.0
            for run in self._running.values()
        }
        ended = tuple(self._ended[:MAX_LISTED_ENDS])
        is_partial = len(self._ended) > MAX_LISTED_ENDS
        return MinionStatus(
            self.clock_ms, running, ended, self.incarnation.started_unix_ms, is_partial
        )

    def _check(self, incarnation: MinionIncarnation) -> None:
        if self.is_down or self.refuses_connections:
            self._clock.sleep(REFUSED_MS)
            raise MinionDown("connection refused")
        if self.is_silent:
            self._clock.sleep(STOP_MS)
            raise MinionSilent("minion did not answer")
        if incarnation.instance != self.incarnation.instance:
            raise MinionReplaced(
                f"called {incarnation.instance}, but {self.incarnation.instance} answered"
            )

    def _call(self, kind: str, incarnation: MinionIncarnation, execute):
        self._check(incarnation)
        self._advance()
        if kind in self.ignored_calls:
            self._clock.sleep(UNANSWERED_MS)
            raise MinionSilent(f"{kind} call: not received by the minion")
        if self.loses_answers:
            execute()
            self._clock.sleep(UNANSWERED_MS)
            raise MinionSilent(f"{kind} call: executed, answer lost")
        if self.loss_probability and self._random.random() < self.loss_probability:
            fault = self._random.choice(RANDOM_FAULTS)
            self._apply_fault(ScriptedFault(kind, fault), execute)
            self._clock.sleep(UNANSWERED_MS)
            raise MinionSilent(f"{kind} call: {fault.value}")
        scripted = next((fault for fault in self._scripted if fault.call == kind), None)
        if scripted is None:
            return execute()
        self._scripted.remove(scripted)
        if scripted.fault is CallFault.REFUSED:
            raise MinionDown("connection refused")
        self._apply_fault(scripted, execute)
        raise MinionSilent(f"{kind} call: injected fault")

    def _apply_fault(self, scripted: ScriptedFault, execute) -> None:
        if scripted.fault is CallFault.LOST_AFTER:
            execute()
        elif scripted.fault is CallFault.LATE:
            name = self.incarnation.instance
            self._clock.after(scripted.late_ms, lambda: self._execute_late(name, execute))

    def _execute_late(self, name: str, execute) -> None:
        """Execute a delayed call without answering it, if the minion still has the same name."""
        self._advance()
        if name != self.incarnation.instance or self.is_down:
            return
        try:
            execute()
        except Fenced:
            return

    def _start(self, key: RunKey, payload: str, lease_until_ms: float, fence: int) -> StartAnswer:
        now = self._clock.now()
        if fence < self._fence:
            return StartAnswer(StartOutcome.FENCED, self.clock_ms)
        self._fence = fence
        if self.refuse_with is not None:
            return StartAnswer(self.refuse_with, self.clock_ms)
        if key in self._running:
            return StartAnswer(StartOutcome.STARTED, self.clock_ms)
        if key.attempt <= self._closed_attempts.get(key.task, 0):
            return StartAnswer(StartOutcome.OLD, self.clock_ms)
        if lease_until_ms <= self.clock_ms:
            return StartAnswer(StartOutcome.LATE, self.clock_ms)
        self._extend(lease_until_ms)
        cpu, run_ms, *behavior = payload.split(":")
        run = _Running(key, Resources(int(cpu)), float(run_ms) * self.slow_factor, now)
        if behavior == ["fail"]:
            run.how = RUN_FAILED
        elif self.fails_all:
            run.how = RUN_FAILED
            run.ends_ms = now + run.run_ms * EARLY_FAILURE_SHARE
        elif behavior == ["hang"] or self.hangs_all:
            run.run_ms, run.ends_ms = 0.0, float("inf")
        elif behavior == ["crash"] and key.task.endswith(".0"):
            run.ends_ms = float("inf")
            self._clock.after(CRASH_AFTER_MS, lambda: self._crash(key))
        self._running[key] = run
        self.started.append(key)
        used = Resources(sum(other.need.cpu for other in self._running.values()))
        self.peak_used = max(self.peak_used, used)
        if not self.incarnation.resources.fits(used) and now - self._resized_ms > CAPACITY_KNOWN_MS:
            self.overcommitted_runs.append(key)
        return StartAnswer(StartOutcome.STARTED, self.clock_ms)

    def _crash(self, key: RunKey) -> None:
        self._advance()
        if key in self._running:
            self.crashed_by.append(key.task)
            self.crash(DOWN_MS)

    def _stop(self, key: RunKey, fence: int) -> None:
        self._raise_fence(fence)
        self.stop_calls_ms.setdefault(key, []).append(self._clock.now())
        self._closed_attempts[key.task] = max(key.attempt, self._closed_attempts.get(key.task, 0))
        run = self._running.get(key)
        if run is not None and run.how is not RUN_STOPPED:
            run.how = RUN_STOPPED
            run.ends_ms = self._clock.now() + self._choose_stop_ms()

    def _choose_stop_ms(self) -> float:
        if self._longest_stop_ms is None:
            return self.stop_ms
        return self._random.uniform(0.0, self._longest_stop_ms)

    def _renew(self, fence: int, acknowledged: int, lease_until_ms: float | None) -> None:
        self._raise_fence(fence)
        self._ended = [end for end in self._ended if end.sequence > acknowledged]
        if lease_until_ms is not None:
            self._extend(lease_until_ms)

    def _raise_fence(self, fence: int) -> None:
        if fence < self._fence:
            raise Fenced(f"fencing token {fence} is lower than {self._fence}")
        self._fence = fence

    def _extend(self, until_ms: float) -> None:
        until_ms = min(until_ms, self.clock_ms + LONGEST_LEASE_MS)
        self._lease_until = max(self._lease_until, until_ms + self._booted_ms)

    def _add_spent(self, run: _Running, end_ms: float) -> None:
        task = run.key.task
        spent = run.need.cpu * (end_ms - run.started_ms)
        self.cpu_time_used[task] = self.cpu_time_used.get(task, 0.0) + spent

    def _advance(self) -> None:
        now = self._clock.now()
        for run in sorted(self._running.values(), key=lambda run: run.ends_ms):
            if min(run.ends_ms, self._lease_until) > now:
                continue
            has_lapsed = self._lease_until < run.ends_ms
            self._add_spent(run, min(run.ends_ms, self._lease_until))
            del self._running[run.key]
            self._closed_attempts[run.key.task] = max(
                run.key.attempt, self._closed_attempts.get(run.key.task, 0)
            )
            how = RUN_LAPSED if has_lapsed else run.how
            self._ended.append(FinishedRun(self._next_end, run.key, how))
            self._next_end += 1
