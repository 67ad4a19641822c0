"""Faults of the soak test: random, overlapping faults of processes, connections and the store."""

import itertools
import random
import signal
import time

import eventlet

from benchmarks.soak_deployment import SoakDeployment
from benchmarks.soak_processes import GRACE_S, Process
from geraniumspool.memory_minion import RANDOM_FAULTS, ScriptedFault

FAULTS = ("stop", "kill", "term", "silence_minion", "cut_store", "reset_minion", "late_start")
MORE_FAULTS = (*FAULTS, "mute_minion", "mute_minion", "lose_calls")
CRASHES = (*MORE_FAULTS, "restart_minion", "restart_minion")
EVACUATIONS = (*CRASHES, "evacuate", "evacuate", "cut_store")
EARLY_CALLERS = (
    *EVACUATIONS,
    "kill_dispatcher",
    "kill_dispatcher",
    "kill_all_dispatchers",
    "kill_executor",
    "kill_executor",
    "pause_often",
    "pause_often",
    "pause_often",
    "late_call",
    "late_call",
)
SILENCES = (
    *EARLY_CALLERS,
    "silence_links",
    "silence_links",
    "silence_links_in_series",
    "silence_inbox",
    "silence_inbox",
    "silence_store",
    "silence_minion_connections",
    "silence_all",
)
DEPARTURES = (*SILENCES, "depart", "depart", "depart")
CUTS = (
    *("cut_dispatchers",) * 4,
    "kill",
    "kill_dispatcher",
    "kill_executor",
    "kill_executor",
    "stop",
    "term",
    "cut_store",
    "silence_links",
    "reset_minion",
)
LATE_DELIVERIES = (
    *CUTS,
    *("stall_links",) * 5,
    *("stall_sender",) * 3,
    *("cut_one_way",) * 3,
    *("reset_during_cut",) * 3,
    "pause_often",
)
# Least and greatest length of a stall of open connections, and most pairs of processes whose
# connections stall at a time.
STALL_S = (0.15, 3.5)
MAX_STALLED_PAIRS = 4
# Number of stalls in a series, and the longest time between two of them.
STALL_COUNTS = (1, 3)
MAX_STALL_PAUSE_S = 0.5
# Least and greatest length of a cut of one pair, one way.
ONE_WAY_CUT_S = (0.2, 2.5)
# Least and greatest length of a cut of one process during which its connections are reset, and
# number of resets.
RESET_CUT_S = (0.4, 2.0)
RESET_COUNTS = (1, 3)
# Least and greatest length of a cut between dispatchers, and share of the executors that hear one
# side only.
CUT_S = (0.5, 4.0)
ONE_SIDE_SHARE = 0.4
MIN_PAUSE_S = 0.2
# Longest time between two kills if several processes are killed, in the order of their list.
MAX_KILL_INTERVAL_S = 0.02
# Number and interval of silences in a series.
SILENCES_IN_SERIES = 3
SILENCE_INTERVAL_S = (0.2, 2.5)
# Least and greatest time that a draining minion has left.
DEPARTURE_S = (0.1, 1.5)
# Least and greatest number of pauses of a process that is paused repeatedly.
PAUSE_COUNTS = (3, 12)


class Faults:
    """Draws faults and injects them."""

    def __init__(self, drawn: random.Random, kinds: tuple[str, ...], around: SoakDeployment):
        """Prepare; faults start with :meth:`run`.

        :param drawn: random source of all draws
        :param kinds: names of faults, each the suffix of a ``_do_`` method; repeated names are
            more likely
        :param around: what the faults affect
        """
        self._random = drawn
        self._kinds = kinds
        self._deployment = around
        self._processes = around.processes

    def run(self, total_s: float, longest_pause_s: float) -> None:
        """Start faults at random intervals, and wait until all have ended.

        :param total_s: time during which faults start
        :param longest_pause_s: longest time between the starts of two faults
        """
        pool = eventlet.GreenPool()
        end = time.monotonic() + total_s
        while time.monotonic() < end:
            kind = self._random.choice(self._kinds)
            self._deployment.checker.log.write("fault begins", kind=kind)
            pool.spawn_n(getattr(self, "_do_" + kind))
            eventlet.sleep(self._random.uniform(MIN_PAUSE_S, longest_pause_s))
        pool.waitall()

    def _signal(self, process: Process, number: int) -> None:
        name = signal.Signals(number).name
        self._deployment.checker.log.write("signal sent", process=process.name, signal=name)
        process.signal(number)

    def _replace(self, processes: list[Process], longest_s: float) -> None:
        """Kill processes, and start them again after a random time."""
        for process in processes:
            self._signal(process, signal.SIGKILL)
            if len(processes) > 1:
                eventlet.sleep(self._random.uniform(0.0, MAX_KILL_INTERVAL_S))
        for process in processes:
            process.await_end(2.0)
        eventlet.sleep(self._random.uniform(0.0, longest_s))
        for process in processes:
            self._start_if_ended(process)

    def _start_if_ended(self, process: Process) -> None:
        if process.has_ended:
            self._deployment.checker.log.write("process started", process=process.name)
            process.start()

    def _do_stop(self) -> None:
        process = self._random.choice(self._processes)
        self._signal(process, signal.SIGSTOP)
        eventlet.sleep(self._random.uniform(0.1, 3.0))
        self._signal(process, signal.SIGCONT)

    def _do_pause_often(self) -> None:
        """Suspend a process repeatedly, mostly for less than the duration of any lease."""
        process = self._random.choice(self._processes)
        for _ in range(self._random.randint(*PAUSE_COUNTS)):
            self._signal(process, signal.SIGSTOP)
            eventlet.sleep(min(1.5, self._random.expovariate(1 / 0.15)))
            self._signal(process, signal.SIGCONT)
            eventlet.sleep(self._random.choice((0.001, 0.005, 0.02, 0.1, 0.3)))

    def _do_kill(self) -> None:
        process = self._random.choice(self._processes)
        self._signal(process, signal.SIGKILL)
        process.await_end(2.0)
        eventlet.sleep(self._random.uniform(0.05, 0.5))
        self._start_if_ended(process)

    def _do_kill_dispatcher(self) -> None:
        self._replace([self._random.choice(self._deployment.dispatchers)], 1.0)

    def _do_kill_all_dispatchers(self) -> None:
        self._replace(self._deployment.dispatchers, 0.5)

    def _do_kill_executor(self) -> None:
        """Kill an executor while its minion keeps running."""
        self._replace([self._random.choice(self._deployment.executors)], 2.0)

    def _do_term(self) -> None:
        process = self._random.choice(self._processes)
        self._signal(process, signal.SIGTERM)
        process.await_end(GRACE_S + 3.0)
        self._start_if_ended(process)

    def _do_silence_minion(self) -> None:
        proxy = self._random.choice(self._deployment.minion_proxies)
        proxy.is_stalled = True
        eventlet.sleep(self._random.uniform(0.1, 1.5))
        proxy.is_stalled = False

    def _do_mute_minion(self) -> None:
        minion = self._random.choice(self._deployment.checker.minions)
        minion.loses_answers = True
        eventlet.sleep(self._random.uniform(0.1, 1.5))
        minion.loses_answers = False

    def _do_lose_calls(self) -> None:
        minion = self._random.choice(self._deployment.checker.minions)
        minion.loss_probability = self._random.uniform(0.05, 0.4)
        eventlet.sleep(self._random.uniform(0.5, 3.0))
        minion.loss_probability = 0.0

    def _do_reset_minion(self) -> None:
        self._random.choice(self._deployment.minion_proxies).reset()

    def _do_restart_minion(self) -> None:
        """Crash a minion and start it again under the same name."""
        self._restart_minion(self._random.randrange(len(self._deployment.minion_proxies)))

    def _do_depart(self) -> None:
        """Drain a minion for less time than some runs need, and start it again afterwards."""
        index = self._random.randrange(len(self._deployment.minion_proxies))
        minion = self._deployment.checker.minions[index]
        left_s = self._random.uniform(*DEPARTURE_S)
        minion.departs_s = time.monotonic() + left_s
        eventlet.sleep(left_s)
        minion.departs_s = None
        self._restart_minion(index)

    def _restart_minion(self, index: int) -> None:
        proxies = self._deployment.minion_proxies
        proxies[index].reset()
        proxies[index].is_stalled = True
        self._deployment.checker.minions[index].restart()
        eventlet.sleep(self._random.choice((0.0, 0.3, 1.5)))
        proxies[index].is_stalled = False

    def _do_cut_store(self) -> None:
        self._deployment.store_proxy.is_stalled = True
        self._deployment.checker.note_store_unreachable(True)
        eventlet.sleep(self._random.uniform(0.3, 2.0))
        self._deployment.store_proxy.is_stalled = False
        self._deployment.checker.note_store_unreachable(False)

    def _do_evacuate(self) -> None:
        domain = self._random.choice(self._deployment.domains)
        key = f"op/evacuate/{domain}"
        store = self._deployment.store.store
        written = store.swap(key, 0, b"{}")
        if not written.swapped:
            return
        self._deployment.checker.note_evacuated(domain, True)
        eventlet.sleep(self._random.uniform(0.5, 5.0))
        self._deployment.checker.note_evacuated(domain, False)
        store.delete(key, written.revision)

    def _do_late_start(self) -> None:
        minion = self._random.choice(self._deployment.checker.minions)
        late_ms = self._random.uniform(50, 3_000)
        minion.inject_fault(ScriptedFault("start", self._random.choice(RANDOM_FAULTS), late_ms))

    def _do_late_call(self) -> None:
        """Lose a few calls of one kind, or execute them late."""
        minion = self._random.choice(self._deployment.checker.minions)
        call = self._random.choice(("start", "stop", "stop", "look"))
        for _ in range(self._random.randint(1, 3)):
            late_ms = self._random.uniform(5, 3_000)
            minion.inject_fault(ScriptedFault(call, self._random.choice(RANDOM_FAULTS), late_ms))

    def _do_silence_links(self) -> None:
        """Silence all open connections between the processes."""
        self._deployment.silence_links()

    def _do_silence_links_in_series(self) -> None:
        for _ in range(SILENCES_IN_SERIES):
            self._deployment.silence_links()
            eventlet.sleep(self._random.uniform(*SILENCE_INTERVAL_S))

    def _do_cut_dispatchers(self) -> None:
        """Cut some dispatchers, and executors that hear one side only, from the others."""
        if self._deployment.cuts.is_active:
            return
        names = [process.name for process in self._deployment.dispatchers]
        side = self._random.sample(names, self._random.randint(1, len(names) - 1))
        other_side = [name for name in names if name not in side]
        pairs = list(itertools.product(side, other_side))
        for executor in self._deployment.executors:
            if self._random.random() < ONE_SIDE_SHARE:
                unheard = self._random.choice((side, other_side))
                pairs += [(executor.name, name) for name in unheard]
        self._deployment.checker.log.write("cut begins", pairs=pairs)
        cut = self._deployment.cuts.cut(pairs)
        eventlet.sleep(self._random.uniform(*CUT_S))
        self._deployment.cuts.heal(cut)
        self._deployment.checker.log.write("cut ends")

    def _do_stall_links(self) -> None:
        """Have open connections of some pairs deliver late, after newer ones, in series."""
        names = [process.name for process in self._processes]
        for _ in range(self._random.randint(*STALL_COUNTS)):
            count = self._random.randint(1, MAX_STALLED_PAIRS)
            self._stall([tuple(self._random.sample(names, 2)) for _ in range(count)])
            eventlet.sleep(self._random.uniform(0.0, MAX_STALL_PAUSE_S))

    def _do_stall_sender(self) -> None:
        """Have all open connections over which one process sends deliver late."""
        sender = self._random.choice(self._processes).name
        others = [process.name for process in self._processes if process.name != sender]
        self._stall([(sender, other) for other in others])

    def _stall(self, pairs: list[tuple[str, str]]) -> None:
        self._deployment.checker.log.write("stall begins", pairs=pairs)
        stall = self._deployment.cuts.stall(pairs)
        eventlet.sleep(self._random.uniform(*STALL_S))
        self._deployment.cuts.release(stall)
        self._deployment.checker.log.write("stall ends", pairs=pairs)

    def _do_cut_one_way(self) -> None:
        """Cut what one process sends to another one, over new connections as well."""
        pair = tuple(self._random.sample([process.name for process in self._processes], 2))
        self._deployment.checker.log.write("cut one way begins", pair=pair)
        cut = self._deployment.cuts.cut([pair], one_way=True)
        eventlet.sleep(self._random.uniform(*ONE_WAY_CUT_S))
        self._deployment.cuts.heal(cut)
        self._deployment.checker.log.write("cut one way ends", pair=pair)

    def _do_reset_during_cut(self) -> None:
        """Cut one process from some others, and reset the connections to it meanwhile."""
        names = [process.name for process in self._processes]
        receiver = self._random.choice(names)
        others = [name for name in names if name != receiver and self._random.random() < 0.5]
        total_s = self._random.uniform(*RESET_CUT_S)
        self._deployment.checker.log.write(
            "cut begins", pairs=[(receiver, name) for name in others]
        )
        cut = self._deployment.cuts.cut((receiver, name) for name in others)
        count = self._random.randint(*RESET_COUNTS)
        for _ in range(count):
            eventlet.sleep(total_s / (count + 1))
            self._deployment.link_proxies[receiver].reset()
        eventlet.sleep(total_s / (count + 1))
        self._deployment.cuts.heal(cut)
        self._deployment.checker.log.write("cut ends")

    def _do_silence_inbox(self) -> None:
        """Silence the open connections to one process."""
        self._deployment.silence_links({self._random.choice(self._processes).name})

    def _do_silence_store(self) -> None:
        self._deployment.store_proxy.silence()

    def _do_silence_minion_connections(self) -> None:
        for proxy in self._deployment.minion_proxies:
            proxy.silence()

    def _do_silence_all(self) -> None:
        self._do_silence_links()
        self._do_silence_store()
        self._do_silence_minion_connections()
