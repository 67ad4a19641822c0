"""Storms of network cuts between dispatchers, drawn from a seed, with callers that return."""

import random
from typing import NamedTuple
from unittest import mock

import eventlet
from eventlet import event, hubs

from geraniumspool.job_specs import JobOutcome
from geraniumspool.registrations import DISPATCHER_PREFIX
from tests.dispatch_world import (
    QUEUE,
    DispatchWorld,
    SimulatedWorker,
    make_spec,
)
from tests.ordered_waiters import OrderedWaiters

STEP_MS = 5
DISPATCHERS = (3, 7)
WORKERS = (3, 8)
DOMAINS = (("north",), ("north", "south", "west"))
# Earliest and latest time of a cut, and how long it lasts if it is healed.
CUT_MS = (10, 2_500)
HEALED_AFTER_MS = (1_200, 9_000)
HEALED_SHARE = 0.5
# Share of the executors that hear one side only.
ONE_SIDE_SHARE = 0.4
# Longest time after a cut until keys of one side are gone from the store as the other sees it.
KEYS_LAPSE_MS = 3_000
TASK_CPUS = (3_000, 4_500, 6_000)
RUN_MS = (1_500, 9_000)
DECLARED_MS = 500
CALLER_LIMIT_MS = 8_000.0
PATIENT = QUEUE._replace(objective_ms=5_000.0)
# Callers send a job at first within this time, and are back until the last one.
FIRST_SUBMISSION_MS = 1_500
LAST_SUBMISSION_MS = 12_000
RETURNS = (2, 7)
TOTAL_MS = 16_000
EXECUTOR_DOWN_MS = (20, 300)


class StormKind(NamedTuple):
    """What happens in a storm besides a cut.

    :param replaces_executors: whether one or two executors end and are replaced
    :param loses_keys: whether both sides lose the keys of each other in the store
    """

    replaces_executors: bool = False
    loses_keys: bool = False


PLAIN = StormKind()
REPLACED = StormKind(replaces_executors=True)
KEYS_LOST = StormKind(loses_keys=True)
KINDS = {"plain": PLAIN, "replaced": REPLACED, "keys": KEYS_LOST}


class CutStorm:
    """Dispatchers of which some are cut from the others at a random time.

    :ivar actions: pairs of time and description of what was done, to show on a failure
    :ivar doubled: pairs of time and task that ran on two minions
    :ivar answers: results of the callers' requests by job id
    """

    def __init__(self, seed, kind=PLAIN):
        """Draw the deployment; :meth:`run` draws what happens to it.

        :param kind: a :class:`StormKind`
        """
        self.kind = kind
        self.draw = random.Random(f"cut {seed}")
        # Placement uses the global generator, which is seeded to make a storm reproducible.
        random.seed(seed)
        self.actions = []
        self.doubled = []
        self.errors = []
        self.answers = {}
        self.world = DispatchWorld(
            workers=self.draw.randint(*WORKERS),
            dispatchers=self.draw.randint(*DISPATCHERS),
            group_workers=1,
            domains=self.draw.choice(DOMAINS),
        )
        self.started_ms = self.world.clock.now()

    @property
    def now(self):
        """Return the time since the start of the storm, in milliseconds."""
        return self.world.clock.now() - self.started_ms

    def run(self):
        """Run the whole storm; return the tasks that ran on two minions at the same time."""
        with (
            mock.patch.object(event, "set", OrderedWaiters, create=True),
            mock.patch.object(hubs.get_hub(), "squelch_timer_exception", self._fail),
        ):
            self._schedule_cut()
            self._schedule_jobs()
            if self.kind.replaces_executors:
                self._schedule_replacements()
            while self.now < TOTAL_MS:
                self.world.clock.advance(STEP_MS)
                self.doubled += [(self.now, task) for task in self.world.find_duplicate_runs()]
            self.world.close()
        return {task for _, task in self.doubled}

    def describe(self):
        """Return what happened, for the message of a failed test."""
        first = {task: at_ms for at_ms, task in reversed(self.doubled)}
        return f"first doubled at {first}\n" + "\n".join(
            f"{at} {text}" for at, text in self.actions
        )

    def _schedule_cut(self):
        dispatchers = self.world.dispatchers
        cut_off = self.draw.sample(dispatchers, self.draw.randint(1, len(dispatchers) - 1))
        sides = (cut_off, [other for other in dispatchers if other not in cut_off])
        hearing = {
            worker.address: self.draw.randrange(2)
            for worker in self.world.workers
            if self.draw.random() < ONE_SIDE_SHARE
        }
        cut_ms = self.draw.uniform(*CUT_MS)
        self.world.clock.after(cut_ms, lambda: self._cut(sides, hearing))
        is_healed = self.draw.random() < HEALED_SHARE
        heal_ms = cut_ms + self.draw.uniform(*HEALED_AFTER_MS)
        loses_key = [self.kind.loses_keys or self.draw.random() < 0.3 for _ in sides]
        for side, other, is_lost in zip(sides, reversed(sides), loses_key, strict=True):
            if is_lost:
                lapse_ms = cut_ms + self.draw.uniform(0, KEYS_LAPSE_MS)
                self.world.clock.after(
                    lapse_ms, lambda side=side, other=other: self._set_keys(side, other, False)
                )
        if is_healed:
            self.world.clock.after(heal_ms, lambda: self._heal(sides))

    def _cut(self, sides, hearing):
        for one in sides[0]:
            for other in sides[1]:
                self.world.network.partition(one.address, other.address)
        for address, side in hearing.items():
            for dispatcher in sides[1 - side]:
                self.world.network.partition(address, dispatcher.address)
        names = [member.address for member in sides[0]]
        self._note(f"cut off: {names}; executors that hear one side: {hearing}")

    def _heal(self, sides):
        self.world.network.heal()
        self._set_keys(*sides, True)
        self._set_keys(*reversed(sides), True)
        self._note("healed")

    def _set_keys(self, side, others, is_listed):
        """Show or hide the keys of one side to the other."""
        if is_listed or self.world.network.partitioned:
            self._note(f"keys listed {is_listed}: {[member.address for member in side]}")
            for member in side:
                for other in others:
                    if is_listed:
                        other.list_member(DISPATCHER_PREFIX + member.address, member.record)
                    else:
                        other.unlist_member(DISPATCHER_PREFIX + member.address)

    def _schedule_jobs(self):
        for number in range(self.draw.randint(1, 4)):
            spec = make_spec(
                f"j{number}",
                self.draw.randint(1, 4),
                self.draw.choice(TASK_CPUS),
                self.draw.randint(*RUN_MS),
                declared_ms=DECLARED_MS,
            )
            times = [self.draw.uniform(0, FIRST_SUBMISSION_MS)]
            times += [
                self.draw.uniform(times[0], LAST_SUBMISSION_MS)
                for _ in range(self.draw.randint(*RETURNS))
            ]
            for at_ms in times:
                self.world.clock.after(at_ms, lambda spec=spec: eventlet.spawn_n(self._send, spec))

    def _send(self, spec):
        """Send a job to any dispatcher, mostly after the caller has hung up elsewhere."""
        attempts = self.answers.setdefault(spec.job_id, [])
        for dispatcher, caller in attempts:
            if caller.job is not None and caller.result is None and self.draw.random() < 0.3:
                self._note(f"{spec.job_id} hung up at {dispatcher.address}")
                eventlet.spawn_n(dispatcher.router.remove_waiter, caller.job)
        dispatcher = self.draw.choice(self.world.dispatchers)
        is_local = self.draw.random() < 0.5
        self._note(f"{spec.job_id} sent to {dispatcher.address}{' itself' if is_local else ''}")
        submit = dispatcher.submit_locally if is_local else dispatcher.submit
        attempts.append((dispatcher, submit(spec, PATIENT, CALLER_LIMIT_MS)))

    def _schedule_replacements(self):
        for index in self.draw.sample(range(len(self.world.workers)), self.draw.randint(1, 2)):
            at_ms = self.draw.uniform(0, LAST_SUBMISSION_MS)
            down_ms = self.draw.uniform(*EXECUTOR_DOWN_MS)
            self.world.clock.after(at_ms, lambda index=index: self._kill_executor(index))
            self.world.clock.after(
                at_ms + down_ms, lambda index=index: self._restart_executor(index)
            )

    def _kill_executor(self, index):
        self._note(f"{self.world.workers[index].name} ends")
        self.world.workers[index].kill()

    def _restart_executor(self, index):
        former = self.world.workers[index]
        self._note(f"{former.name} is back")
        number = former.number + 1
        self.world.workers[index] = SimulatedWorker(
            self.world,
            former.name,
            number,
            former.minion,
            fence=number * 100_000,
            domain=former.domain,
        )
        for dispatcher in self.world.dispatchers:
            dispatcher.handle_key_written(former.address)

    def _fail(self, _timer, exc_info):
        """Record the error that ended a green thread."""
        self.errors.append(f"{self.now}: {exc_info[1]!r}")

    def _note(self, text):
        self.actions.append((round(self.now), text))

    def count_outcomes(self):
        """Return the number of jobs, and of those that some caller saw succeed."""
        served = sum(
            any(caller.outcome is JobOutcome.SUCCEEDED for _, caller in attempts)
            for attempts in self.answers.values()
        )
        return len(self.answers), served
