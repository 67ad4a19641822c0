"""Random faults in an in-memory deployment, and checks of the guarantees after them.

A seed determines the acts of callers and operators, and the faults of processes, links, minions
and the store. Then all faults end, and the checks compare the answers with the minions' counts of
starts, the configuration with the accepted changes, and each entry's roster with the running
agents.
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

DEFAULT_STEPS = 60
DOMAINS = 3
AGENTS = 2
PAUSES_MS = (1.0, 40.0, 300.0, 900.0, 2_500.0)
RUNS_MS = (20.0, 150.0, 700.0)
DEADLINES_MS = (400.0, 2_000.0, 8_000.0)
MAX_TASKS = 8
RECENT_JOBS = 10
FAULT_SHARE = 0.25
SETTLE_MS = 5_000.0
END_MS = 10_000.0
PROBE_DEADLINE_MS = 15_000.0
CONFIGURATION_KEY = f"team/{TEAM}"
MINION_FAULTS = (
    Fault(FaultKind.REFUSE),
    Fault(FaultKind.FAIL),
    Fault(FaultKind.SILENT),
    Fault(slow_factor=10.0),
)
OUTCOME_COMPLETE = "complete"


class RandomFaultRun:
    """One run of random acts and faults in a deployment of its own.

    :ivar acts: descriptions of all acts in order, each after its time in milliseconds
    :ivar violations: descriptions of the violated guarantees
    """

    def __init__(self, seed: int, steps: int = DEFAULT_STEPS):
        """Start the deployment; acts begin with :meth:`run`.

        :param seed: determines every act and the fault of every message
        :param steps: number of acts of callers
        """
        self.world = World(domains=DOMAINS, agents=AGENTS, entries=1, seed=seed)
        self.acts: list[str] = []
        self.violations: list[str] = []
        self._random = random.Random(seed)
        self._steps = steps
        self._jobs: list[Job] = []
        self._revisions: dict[Process, int] = {}
        self._accepted: dict[int, float] = {}
        self._changes = 0
        self._drains: dict[Process, GreenThread] = {}
        self._faults: tuple[Callable[[], None], ...] = (
            self._toggle_message_faults,
            self._partition_domains,
            self._heal_links,
            self._freeze,
            self._thaw,
            self._replace,
            self._drain,
            self._inject_minion_fault,
            self._clear_minion_faults,
            self._inject_store_fault,
            self._clear_store_faults,
            self._change_configuration,
            self._change_configuration,
        )

    def run(self) -> list[str]:
        """Perform all acts, end all faults and return the violations."""
        for _ in range(self._steps):
            self._call()
            if self._random.random() < FAULT_SHARE:
                self._random.choice(self._faults)()
            self.world.run(self._random.choice(PAUSES_MS))
            self._replace_drained()
            self._check_revisions_never_decrease()
        self._end_faults()
        self.violations += self.world.find_violations(END_MS)
        self._check_configuration()
        self._check_rosters()
        self._check_jobs_complete()
        return self.violations

    def stop(self) -> None:
        """Stop every process of the deployment."""
        self.world.stop()

    def _record_act(self, act: str) -> None:
        self.acts.append(f"{self.world.clock.now():.0f} {act}")

    # Callers

    def _call(self) -> None:
        entry = self._random.choice([one for one in self.world.entries if not one.clock.frozen])
        chance = self._random.random()
        if chance < 0.45 or not self._jobs:
            self._submit_new(entry)
        elif chance < 0.85:
            self._submit(entry, self._random.choice(self._jobs[-RECENT_JOBS:]))
        elif self._jobs[-1].ticket:
            self._record_act(f"cancel {self._jobs[-1].name} at {entry.peer.address}")
            self.world.cancel(entry, self._jobs[-1])

    def _submit_new(self, entry: Process) -> None:
        tasks = self._random.randint(1, MAX_TASKS)
        runs = [self._random.choice(RUNS_MS) for _ in range(tasks)]
        home = self._random.choice([*self.world.agents, None])
        self._jobs.append(self.world.make_job(home, runs, self._random.choice(DEADLINES_MS)))
        self._submit(entry, self._jobs[-1])

    def _submit(self, entry: Process, job: Job) -> None:
        self._record_act(f"submit {job.name} at {entry.peer.address}")
        self.world.submit(entry, job, job.name)

    # Faults

    def _toggle_message_faults(self) -> None:
        network = self.world.network
        network.random_faults = (
            None if network.random_faults else random.Random(self._random.random())
        )
        self._record_act(
            "messages are lost, doubled and late" if network.random_faults else "messages arrive"
        )

    def _partition_domains(self) -> None:
        one, other = self._random.sample(range(DOMAINS), 2)
        self._record_act(f"domains {one} and {other} are parted")
        for here in self._processes_of_domain(one):
            for there in self._processes_of_domain(other):
                self.world.network.partition(here.peer.address, there.peer.address)

    def _processes_of_domain(self, number: int) -> list[Process]:
        return [one for one in self.world.processes if one.domain == f"d{number}"]

    def _heal_links(self) -> None:
        self._record_act("links are healed")
        self.world.network.heal()

    def _freeze(self) -> None:
        process = self._random.choice(self.world.processes)
        group = self.world.agents if process.minion else self.world.entries
        if sum(not one.clock.frozen for one in group) > 1 and not process.clock.frozen:
            self._record_act(f"freeze {process.peer.address}")
            self.world.freeze(process)

    def _thaw(self) -> None:
        for process in [one for one in self.world.processes if one.clock.frozen]:
            self._record_act(f"thaw {process.peer.address}")
            self.world.thaw(process)

    def _replace(self) -> None:
        process = self._random.choice(self.world.processes)
        self._record_act(f"replace {process.peer.address}")
        self.world.replace(process)

    def _drain(self) -> None:
        agent = self._random.choice(self.world.agents)
        if agent.clock.frozen or agent.application.exit_requested:
            return
        self._record_act(f"drain {agent.peer.address}")
        agent.application.request_exit()
        self._drains[agent] = eventlet.spawn(agent.application.drain)

    def _replace_drained(self) -> None:
        """Start a new agent in place of each one whose drain has ended."""
        for agent, drain in list(self._drains.items()):
            if drain.dead:
                del self._drains[agent]
                if agent in self.world.agents:
                    self._record_act(f"{agent.peer.address} left, another takes its place")
                    self.world.replace(agent)

    def _inject_minion_fault(self) -> None:
        agent = self._random.choice(self.world.agents)
        fault = self._random.choice(MINION_FAULTS)
        self._record_act(
            f"minion of {agent.peer.address}: {fault.kind.value} x{fault.slow_factor:.0f}"
        )
        agent.minion.inner.inject_fault(fault)

    def _clear_minion_faults(self) -> None:
        for agent in self.world.agents:
            agent.minion.inner.inject_fault(Fault())

    def _inject_store_fault(self) -> None:
        store = self.world.store
        fault = self._random.choice(("down", "slow", "answers lost", "leases lapse", "refused"))
        self._record_act(f"store: {fault}")
        if fault == "down":
            store.down = True
        elif fault == "slow":
            store.slow_ms = 300.0
        elif fault == "answers lost":
            store.lose_answers = 2
        elif fault == "leases lapse":
            # Bindings of idempotency keys depend on leases too, so a resubmission would bind its
            # key anew. Only jobs with a ticket are resubmitted from here on.
            self._jobs = [job for job in self._jobs if job.ticket]
            store.lapse_leases()
        else:
            store.refuse_leases = True

    def _clear_store_faults(self) -> None:
        store = self.world.store
        store.down = False
        store.slow_ms = 0.0
        store.lose_answers = 0
        store.refuse_leases = False

    def _end_faults(self) -> None:
        self._record_act("all faults end")
        self._clear_store_faults()
        self._clear_minion_faults()
        self.world.end_faults_and_settle()
        self._replace_drained()
        self.world.run(SETTLE_MS)

    # Configuration

    def _change_configuration(self) -> None:
        self._changes += 1
        for entry in self._random.sample(self.world.entries, self._random.choice((1, 1, 2))):
            if not entry.clock.frozen:
                name = f"change-{self._changes}-{entry.peer.address}"
                eventlet.spawn(self._propose, entry, float(self._changes), name)

    def _propose(self, entry: Process, weight: float, name: str) -> None:
        application = entry.application
        held = application.configuration.get(CONFIGURATION_KEY)
        body = json.dumps({"weight": weight}).encode()
        expected = held.revision if held else 0
        try:
            receipt = application.configuration_changes.apply_change(
                CONFIGURATION_KEY, body, expected, name, "nomin", "storm"
            )
        except DispatchError as error:
            self._record_act(f"{name}: {error.code}")
            return
        self._record_act(f"{name}: accepted at {receipt.revision}")
        self._accepted[receipt.revision] = weight

    def _check_revisions_never_decrease(self) -> None:
        for process in self.world.processes:
            held = process.application.configuration.get(CONFIGURATION_KEY)
            revision = held.revision if held else 0
            before = self._revisions.get(process, 0)
            if revision < before:
                address = process.peer.address
                self.violations.append(f"{address} went from revision {before} to {revision}")
            self._revisions[process] = revision

    def _check_configuration(self) -> None:
        self._check_revisions_never_decrease()
        newest = max(self._accepted, default=0)
        for process in self.world.processes:
            held = process.application.configuration.get(CONFIGURATION_KEY)
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

    def _check_jobs_complete(self) -> None:
        """Check that every home completes a job from every entry."""
        calls = []
        for entry in self.world.entries:
            jobs = [
                self.world.make_job(home, RUNS_MS, PROBE_DEADLINE_MS) for home in self.world.agents
            ]
            calls += [self.world.submit(entry, job) for job in jobs]
            self.world.run(SETTLE_MS)
        for call in calls:
            if call.outcome != OUTCOME_COMPLETE:
                text = f"after the faults {call.job.name} at {call.entry.peer.address}"
                self.violations.append(f"{text}: {call.outcome} {call.document.get('code')}")
