"""Random faults on a whole system in memory, and what must hold after them.

A storm draws acts of callers, operators, processes, links, minions and the
store from one seed. Then all faults end, and the answers are held against the
minions' counts of starts, the configuration against what was accepted, and
each entry's roster against the processes that live.
"""

import json
import random
from collections.abc import Callable

import eventlet
from eventlet.greenthread import GreenThread

from geraniumspool.errors import DispatchError
from geraniumspool.members import ROLE_AGENT
from geraniumspool.messages import MEMBER_READY
from geraniumspool.minion import Fault, FaultKind
from tests.world import TEAM, Job, Process, World

STEPS = 60
DOMAINS = 3
AGENTS = 2
PAUSES_MS = (1.0, 40.0, 300.0, 900.0, 2_500.0)
RUNS_MS = (20.0, 150.0, 700.0)
DEADLINES_MS = (400.0, 2_000.0, 8_000.0)
MOST_TASKS = 8
RECENT_JOBS = 10
STRIKE_SHARE = 0.25
SETTLE_MS = 5_000.0
END_MS = 10_000.0
PROBE_MS = 15_000.0
KEY = f"team/{TEAM}"
MINION_FAULTS = (
    Fault(FaultKind.REFUSE),
    Fault(FaultKind.FAIL),
    Fault(FaultKind.SILENT),
    Fault(slow_factor=10.0),
)
COMPLETE = "complete"


class Storm:
    """One run of random acts.

    :ivar acts: what was done, with the time in milliseconds, in order
    :ivar violations: what did not hold, in words
    """

    def __init__(self, seed: int, steps: int = STEPS):
        """Make the world; nothing happens before :meth:`run`.

        :param seed: decides every act, the messages' fate included
        :param steps: acts of callers to draw
        """
        self.world = World(domains=DOMAINS, agents=AGENTS, entries=1, seed=seed)
        self.acts: list[str] = []
        self.violations: list[str] = []
        self._draw = random.Random(seed)
        self._steps = steps
        self._jobs: list[Job] = []
        self._revisions: dict[Process, int] = {}
        self._accepted: dict[int, float] = {}
        self._changes = 0
        self._leaving: dict[Process, GreenThread] = {}
        self._strikes: tuple[Callable[[], None], ...] = (
            self._toss_messages,
            self._part_domains,
            self._heal_links,
            self._freeze,
            self._thaw,
            self._replace,
            self._drain,
            self._break_minion,
            self._mend_minions,
            self._trouble_store,
            self._mend_store,
            self._change_configuration,
            self._change_configuration,
        )

    def run(self) -> list[str]:
        """Do all acts, end all faults, and return what did not hold."""
        for _ in range(self._steps):
            self._call()
            if self._draw.random() < STRIKE_SHARE:
                self._draw.choice(self._strikes)()
            self.world.run(self._draw.choice(PAUSES_MS))
            self._replace_left()
            self._watch_configuration()
        self._end_faults()
        self.violations += self.world.find_violations(END_MS)
        self._check_configuration()
        self._check_rosters()
        self._check_service()
        return self.violations

    def stop(self) -> None:
        """End every process of the world."""
        self.world.stop()

    def _note(self, act: str) -> None:
        self.acts.append(f"{self.world.clock.now():.0f} {act}")

    # Callers

    def _call(self) -> None:
        entry = self._draw.choice([one for one in self.world.entries if not one.clock.frozen])
        chance = self._draw.random()
        if chance < 0.45 or not self._jobs:
            self._submit_new(entry)
        elif chance < 0.85:
            self._submit(entry, self._draw.choice(self._jobs[-RECENT_JOBS:]))
        elif self._jobs[-1].ticket:
            self._note(f"cancel {self._jobs[-1].name} at {entry.peer.address}")
            self.world.cancel(entry, self._jobs[-1])

    def _submit_new(self, entry: Process) -> None:
        tasks = self._draw.randint(1, MOST_TASKS)
        runs = [self._draw.choice(RUNS_MS) for _ in range(tasks)]
        home = self._draw.choice([*self.world.agents, None])
        self._jobs.append(self.world.job(home, runs, self._draw.choice(DEADLINES_MS)))
        self._submit(entry, self._jobs[-1])

    def _submit(self, entry: Process, job: Job) -> None:
        self._note(f"submit {job.name} at {entry.peer.address}")
        self.world.submit(entry, job, job.name)

    # Faults

    def _toss_messages(self) -> None:
        network = self.world.network
        network.storm = None if network.storm else random.Random(self._draw.random())
        self._note("messages are lost, doubled and late" if network.storm else "messages arrive")

    def _part_domains(self) -> None:
        one, other = self._draw.sample(range(DOMAINS), 2)
        self._note(f"domains {one} and {other} are parted")
        for here in self._of_domain(one):
            for there in self._of_domain(other):
                self.world.network.part(here.peer.address, there.peer.address)

    def _of_domain(self, number: int) -> list[Process]:
        return [one for one in self.world.processes if one.domain == f"d{number}"]

    def _heal_links(self) -> None:
        self._note("links are healed")
        self.world.network.heal()

    def _freeze(self) -> None:
        process = self._draw.choice(self.world.processes)
        group = self.world.agents if process.minion else self.world.entries
        if sum(not one.clock.frozen for one in group) > 1 and not process.clock.frozen:
            self._note(f"freeze {process.peer.address}")
            self.world.freeze(process)

    def _thaw(self) -> None:
        for process in [one for one in self.world.processes if one.clock.frozen]:
            self._note(f"thaw {process.peer.address}")
            self.world.thaw(process)

    def _replace(self) -> None:
        process = self._draw.choice(self.world.processes)
        self._note(f"replace {process.peer.address}")
        self.world.replace(process)

    def _drain(self) -> None:
        agent = self._draw.choice(self.world.agents)
        if agent.clock.frozen or agent.application.exit_requested:
            return
        self._note(f"drain {agent.peer.address}")
        agent.application.request_exit()
        self._leaving[agent] = eventlet.spawn(agent.application.drain)

    def _replace_left(self) -> None:
        """Put a new process in the place of each one that has left."""
        for agent, leaving in list(self._leaving.items()):
            if leaving.dead:
                del self._leaving[agent]
                if agent in self.world.agents:
                    self._note(f"{agent.peer.address} left, another takes its place")
                    self.world.replace(agent)

    def _break_minion(self) -> None:
        agent = self._draw.choice(self.world.agents)
        fault = self._draw.choice(MINION_FAULTS)
        self._note(f"minion of {agent.peer.address}: {fault.kind.value} x{fault.slow_factor:.0f}")
        agent.minion.inner.script(fault)

    def _mend_minions(self) -> None:
        for agent in self.world.agents:
            agent.minion.inner.script(Fault())

    def _trouble_store(self) -> None:
        store = self.world.store
        trouble = self._draw.choice(("down", "slow", "answers lost", "leases lapse", "refused"))
        self._note(f"store: {trouble}")
        if trouble == "down":
            store.down = True
        elif trouble == "slow":
            store.slow_ms = 300.0
        elif trouble == "answers lost":
            store.lose_answers = 2
        elif trouble == "leases lapse":
            # Keys are bound under leases as well, and would be bound anew.
            self._jobs = [job for job in self._jobs if job.ticket]
            store.lapse_leases()
        else:
            store.refuse_leases = True

    def _mend_store(self) -> None:
        store = self.world.store
        store.down = False
        store.slow_ms = 0.0
        store.lose_answers = 0
        store.refuse_leases = False

    def _end_faults(self) -> None:
        self._note("all faults end")
        self._mend_store()
        self._mend_minions()
        self.world.quiet()
        self._replace_left()
        self.world.run(SETTLE_MS)

    # Configuration

    def _change_configuration(self) -> None:
        self._changes += 1
        for entry in self._draw.sample(self.world.entries, self._draw.choice((1, 1, 2))):
            if not entry.clock.frozen:
                name = f"change-{self._changes}-{entry.peer.address}"
                eventlet.spawn(self._propose, entry, float(self._changes), name)

    def _propose(self, entry: Process, weight: float, name: str) -> None:
        application = entry.application
        held = application.configuration.get(KEY)
        body = json.dumps({"weight": weight}).encode()
        expected = held.revision if held else 0
        try:
            receipt = application.desk.propose(KEY, body, expected, name, "nomin", "storm")
        except DispatchError as error:
            self._note(f"{name}: {error.code}")
            return
        self._note(f"{name}: accepted at {receipt.revision}")
        self._accepted[receipt.revision] = weight

    def _watch_configuration(self) -> None:
        for process in self.world.processes:
            held = process.application.configuration.get(KEY)
            revision = held.revision if held else 0
            before = self._revisions.get(process, 0)
            if revision < before:
                address = process.peer.address
                self.violations.append(f"{address} went from revision {before} to {revision}")
            self._revisions[process] = revision

    def _check_configuration(self) -> None:
        self._watch_configuration()
        newest = max(self._accepted, default=0)
        for process in self.world.processes:
            held = process.application.configuration.get(KEY)
            revision = held.revision if held else 0
            address = process.peer.address
            if revision < newest:
                self.violations.append(f"{address} has revision {revision}, {newest} was accepted")
            weight = process.application.configuration.team(TEAM).weight
            if revision in self._accepted and weight != self._accepted[revision]:
                self.violations.append(f"{address} has weight {weight} at revision {revision}")

    # Membership and service

    def _check_rosters(self) -> None:
        living = {agent.peer for agent in self.world.agents}
        for entry in self.world.entries:
            members = entry.application.roster.members()
            agents = [one for one in members if one.role == ROLE_AGENT]
            ready = {(one.address, one.incarnation) for one in agents if one.state == MEMBER_READY}
            if ready != living:
                missing = sorted(peer.address for peer in living - ready)
                extra = sorted(address for address, _ in ready - living)
                text = f"{entry.peer.address} misses {missing} and believes in {extra}"
                self.violations.append(text)

    def _check_service(self) -> None:
        """Check that every home completes a job through every entry."""
        calls = []
        for entry in self.world.entries:
            jobs = [self.world.job(home, RUNS_MS, PROBE_MS) for home in self.world.agents]
            calls += [self.world.submit(entry, job) for job in jobs]
            self.world.run(SETTLE_MS)
        for call in calls:
            if call.outcome != COMPLETE:
                text = f"after the faults {call.job.name} at {call.entry.peer.address}"
                self.violations.append(f"{text}: {call.outcome} {call.document.get('code')}")
