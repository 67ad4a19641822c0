"""Random faults in simulated dispatchers, executors and minions, reproducible by seed."""

import random
import unittest
from unittest import mock

import eventlet
from eventlet import event, hubs

from geraniumspool.clock import ManualClock
from geraniumspool.job_specs import JobOutcome
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.rooms import Resources
from tests.dispatch_world import DispatchWorld, SimulatedDispatcher, SimulatedWorker, make_spec
from tests.ordered_waiters import OrderedWaiters
from tests.storm_callers import ResendingCallers

# The last four guard against tasks that run twice: a dispatcher that resumed from a pause started
# tasks of a forwarded job although the caller's dispatcher had given it up, or the caller's
# dispatcher forwarded a job again whose runs were still being stopped.
SEEDS = (*range(1, 25), 99, 121, 174, 190)
# Guard against faults of minions that restart under the same instance name: their runs were
# reported as lost while still running, so that they ran twice at the same time or exceeded the
# minion's capacity.
RESTART_SEEDS = (33, 38, 63, 79, 93, 101, 108, 133, 141, 150, 153, 158, 161, 167, 172)
ROUGH_SEEDS = (*range(1, 11), 44)
# In the last seven, only executors can know that a task must not start in a domain.
EVACUATION_SEEDS = (*range(1, 5), 13, 14, 17, 21, 23, 29, 36)
LEAVING_SEEDS = (*range(1, 11),)
# The last ones guard against tasks that run twice, or jobs that are never served, because of
# claims that were not exclusive.
EARLY_SEEDS = (*range(1, 13), 56, 212, 218, 287, 335)
DOMAINS = ("north", "south")
# A stopping minion keeps running for one of these times after it has deregistered. A new one
# replaces it after a further gap.
RUN_ON_MS = (5, 60, 250, 800)
REPLACEMENT_GAP_MS = 300
# Time within which an evacuation must take effect: short, so that it passes during a storm.
EVACUATION_MS = 1_500.0
STEPS = 500
# Share of the steps with an action. It makes network partitions last two seconds on average.
ACTION_SHARE = 0.12
STEP_MS = 10
# Delay after which a caller without a result resubmits its job to any dispatcher.
RESEND_MS = 1_300
RUNS_MS = (60, 300, 1_200)
# Shares of lost calls to a minion.
LOSSES = (0.0, 0.0, 0.1, 0.3)
# Time without faults at the end of a storm, in which all jobs must end.
REST_MS = 8_000
# Durations of a dispatcher's pause, after which its waiting callers get their results.
FROZEN_MS = (300, 900, 2_500)
# A task may crash three minions before its job is failed, and three more after a restart.
MOST_CRASHES = 6
MINION_CPUS = (3_000, 5_000, 10_000)
# Interval of minion reports.
REPORT_MS = 500
# Storms with callers that resubmit at once: steps are shorter than stopping a run takes, and
# the total time is the same.
EARLY_STEP_MS = 5
EARLY_STEPS = 1_000
EARLY_REST_MS = 10_000
STOPS_MS = (5.0, 20.0, 50.0)
# Faults of messages between dispatchers: share of lost and of duplicated ones, and maximum extra
# delay, by which later messages overtake earlier ones.
MESSAGE_LOSSES = (0.0, 0.1, 0.3)
MESSAGE_DOUBLES = (0.0, 0.0, 0.2)
MESSAGE_DELAYS_MS = (0.0, 20.0, 150.0, 400.0)
# A resumed process may run its timers for this long before it reads the messages received during
# the pause.
READS_LATE_MS = 60
# Times after which a killed dispatcher is replaced.
DOWN_MS = (0, 0, 100, 700)


class Storm:
    """A sequence of faults and submissions drawn from a seed, with checks after each step.

    :ivar keeps_names: whether half of the crashed minions restart under their instance name
    :ivar is_rough: whether tasks crash their minions, and minions' capacity changes
    :ivar leaves: whether minions deregister and keep running for a while afterwards
    :ivar evacuates: whether operators evacuate failure domains, and processes lose the store
    :ivar returns_early: whether callers disconnect and resubmit at once, and messages between
        dispatchers are lost, duplicated and delayed
    :ivar actions: pairs of time and description of what was done, to show on a failure
    :ivar violations: descriptions of failed checks
    :ivar jobs: specification, dispatcher and caller of each job by id; None for jobs that
        :class:`ResendingCallers` handles
    :ivar resubmissions: pairs of due time and specification of jobs to resubmit
    :ivar resumptions: pairs of due time and dispatcher to resume
    :ivar minion_starts: pairs of due time and minion to start anew
    :ivar replacements: pairs of due time and index of the dispatcher to replace
    """

    def __init__(
        self,
        seed,
        keeps_names=False,
        is_rough=False,
        evacuates=False,
        returns_early=False,
        leaves=False,
        returns_jobs=False,
    ):
        self.keeps_names = keeps_names
        self.is_rough = is_rough
        self.evacuates = evacuates
        self.returns_early = returns_early
        self.leaves = leaves
        self.step_ms = EARLY_STEP_MS if returns_early else STEP_MS
        self.draw = random.Random(seed)
        # Placement uses the global generator, which is seeded to make a storm reproducible.
        random.seed(seed)
        # In storms with odd seeds one dispatcher owns all workers.
        self.world = DispatchWorld(
            workers=4,
            dispatchers=3,
            group_workers=4 if seed % 2 else 2,
            domains=DOMAINS if evacuates else DOMAINS[:1],
            evacuation_ms=EVACUATION_MS,
            returns_jobs=returns_jobs,
        )
        self.evacuated_ms = {}
        self.cut_ms = {}
        self.starts = {}
        self.actions = []
        self.violations = []
        self.jobs = {}
        self.crashing = set()
        self.resubmitted = set()
        self.resubmissions = []
        self.resumptions = []
        self.minion_starts = []
        self.steps = 0
        self.callers = ResendingCallers(self)
        self.replacements = []
        # A generator of its own, so that actions don't depend on the number of messages.
        self.message_draw = random.Random(f"{seed} messages")
        self.message_faults = (0.0, 0.0, 0.0)
        if returns_early:
            self.world.network.choose_delays = self.choose_delays
            for worker in self.world.workers:
                worker.minion.stop_ms = self.draw.choice(STOPS_MS)

    def run(self):
        """Run the whole storm."""
        with mock.patch.object(event, "set", OrderedWaiters, create=True):
            self.play()

    def play(self):
        actions = (self.submit,) * 10 + (
            self.lose_calls,
            self.part,
            self.heal,
            self.crash_minion,
            self.replace_executor,
            self.kill_dispatcher,
            self.pause_dispatcher,
            self.silence_minion,
            self.mute_minion,
        )
        if self.is_rough:
            actions += (self.submit_crashing, self.resize_minion)
        if self.leaves:
            actions += (self.leave_minion,) * 2
        if self.evacuates:
            actions += (self.evacuate, self.cut_off)
        if self.returns_early:
            actions += (self.callers.hang_up,) * 6 + (self.submit_twice,) * 3
            actions += (self.change_message_faults,) * 2 + (
                self.kill_all_dispatchers,
                self.change_stop_time,
            )
        for _ in range(EARLY_STEPS if self.returns_early else STEPS):
            if self.draw.random() < ACTION_SHARE:
                self.draw.choice(actions)()
            self.step()
        self.end_faults()
        for _ in range((EARLY_REST_MS if self.returns_early else REST_MS) // self.step_ms):
            self.step()
        if self.returns_early:
            self.callers.check()
        else:
            self.check_answers()
        self.check_crashes()
        self.world.close()

    def step(self):
        self.world.clock.advance(self.step_ms)
        self.steps += 1
        if self.steps % (REPORT_MS // self.step_ms) == 0:
            for worker in self.world.workers:
                if not worker.minion.is_down:
                    eventlet.spawn_n(
                        worker.executor.handle_minion_report, worker.minion.incarnation
                    )
        now = self.world.clock.now()
        for due_ms, spec in [entry for entry in self.resubmissions if entry[0] <= now]:
            self.resubmissions.remove((due_ms, spec))
            self.resubmitted.add(spec.job_id)
            self.submit_anywhere(spec)
        for due_ms, dispatcher in [entry for entry in self.resumptions if entry[0] <= now]:
            self.resumptions.remove((due_ms, dispatcher))
            self.resume_dispatcher(dispatcher)
        for due_ms, minion in [entry for entry in self.minion_starts if entry[0] <= now]:
            self.minion_starts.remove((due_ms, minion))
            minion.restart_renamed(f"{minion.incarnation.instance}+")
        if self.returns_early:
            self.replace_dispatchers(now)
            self.callers.step()
        duplicates = self.world.find_duplicate_runs()
        if duplicates:
            self.violations.append(f"{now}: tasks run twice: {sorted(duplicates)}")
        for worker in self.world.workers:
            if worker.minion.overcommitted_runs:
                self.violations.append(f"{now}: {worker.name} exceeds its capacity")
        self.check_evacuations(now)

    def submit(self):
        name = f"j{len(self.jobs)}"
        count = self.draw.randint(1, 4)
        spec = make_spec(name, count, 3_000, self.draw.choice(RUNS_MS), declared_ms=300)
        self.submit_anywhere(spec)

    def submit_twice(self):
        name = f"j{len(self.jobs)}"
        self.jobs[name] = None
        spec = make_spec(name, 2, 3_000, self.draw.choice(RUNS_MS), declared_ms=300)
        self.callers.submit_twice(spec)
        self.note(f"{name} submitted to two dispatchers")

    def submit_crashing(self):
        spec = make_spec(f"j{len(self.jobs)}", 2, 3_000, 300, "crash")
        self.crashing.add(spec.job_id)
        self.submit_anywhere(spec)

    def resize_minion(self):
        worker = self.pick_worker()
        worker.minion.resize(Resources(self.draw.choice(MINION_CPUS), 10_000))
        eventlet.spawn_n(worker.executor.handle_minion_report, worker.minion.incarnation)
        self.note(f"{worker.name} resized to CPU {worker.minion.incarnation.resources.cpu}")

    def evacuate(self):
        if self.evacuated_ms and self.draw.random() < 0.5:
            return
        domains = self.draw.sample(DOMAINS, self.draw.choice((0, 1, 1, 2)))
        now = self.world.clock.now()
        self.evacuated_ms = {name: self.evacuated_ms.get(name, now) for name in domains}
        self.world.evacuate(*domains)
        self.note(f"evacuated {domains}")

    def cut_off(self):
        members = [*self.world.dispatchers, *self.world.workers]
        # Mostly keep dispatchers cut off for longer: while none of them knows the evacuated
        # domains, only executors enforce the evacuation.
        if (
            any(dispatcher.is_cut_off for dispatcher in self.world.dispatchers)
            and self.draw.random() < 0.7
        ):
            return
        dispatchers = self.world.dispatchers
        chosen = self.draw.choice((dispatchers, dispatchers, self.draw.sample(members, 3), []))
        for member in members:
            member.is_cut_off = member in chosen
        self.note(
            f"store cut off from {[member.address for member in members if member.is_cut_off]}"
        )

    def check_evacuations(self, now):
        """Check that no task starts in a domain after its evacuation must be in effect.

        The time limit counts from the evacuation, or from the end of the last period in which
        the executor was cut off from the store, whichever is later.
        """
        for worker in self.world.workers:
            if worker.is_cut_off:
                self.cut_ms[worker.name] = now
            before = self.starts.get(worker.name, 0)
            self.starts[worker.name] = started = len(worker.minion.started)
            since = max(
                self.evacuated_ms.get(worker.domain, now), self.cut_ms.get(worker.name, 0.0)
            )
            if started > before and now - since > EVACUATION_MS:
                self.violations.append(
                    f"{now}: {worker.name} started a task in {worker.domain}, which is evacuated"
                )

    def submit_anywhere(self, spec):
        if self.returns_early:
            self.jobs[spec.job_id] = None
            self.callers.submit(spec)
            return
        dispatcher = self.draw.choice(
            [dispatcher for dispatcher in self.world.dispatchers if not self.is_paused(dispatcher)]
        )
        caller = dispatcher.submit(spec, timeout_ms=5_000.0)
        self.jobs[spec.job_id] = (spec, dispatcher, caller)

    def pick_worker(self):
        return self.draw.choice(self.world.workers)

    def fail(self, _timer, exc_info):
        """Record the error that ended a green thread."""
        self.violations.append(f"{self.world.clock.now()}: {exc_info[1]!r}")

    def note(self, text):
        self.actions.append((self.world.clock.now(), text))

    def lose_calls(self):
        worker = self.pick_worker()
        worker.minion.loss_probability = self.draw.choice(LOSSES)
        self.note(
            f"{worker.name} loses a share of {worker.minion.loss_probability} of the minion's calls"
        )

    def part(self):
        dispatcher = self.draw.choice(self.world.dispatchers)
        other_dispatchers = [other for other in self.world.dispatchers if other is not dispatcher]
        peer = self.draw.choice([self.pick_worker(), self.draw.choice(other_dispatchers)])
        pair = self.draw.sample([dispatcher.address, peer.address], 2)
        self.world.network.partitioned.add(tuple(pair))
        if self.draw.random() < 0.5:
            self.world.network.partitioned.add(tuple(reversed(pair)))
        self.note(f"network cut {pair}")

    def heal(self):
        self.world.network.heal()
        for worker in self.world.workers:
            worker.minion.is_silent = worker.minion.loses_answers = False

    def silence_minion(self):
        worker = self.pick_worker()
        worker.minion.is_silent = True
        self.note(f"{worker.name} silent")

    def mute_minion(self):
        worker = self.pick_worker()
        worker.minion.loses_answers = True
        self.note(f"{worker.name} mute")

    def crash_minion(self):
        worker = self.pick_worker()
        if self.keeps_names and self.draw.random() < 0.5:
            worker.minion.restart()
        else:
            worker.minion.restart_renamed(f"{worker.minion.incarnation.instance}+")
        self.note(f"{worker.name} crashes, now {worker.minion.incarnation.instance}")

    def leave_minion(self):
        worker = self.pick_worker()
        minion = worker.minion
        if any(minion is leaving for _, leaving in self.minion_starts):
            return
        run_on_ms = self.draw.choice(RUN_ON_MS)
        minion.leave(run_on_ms)
        incarnation = minion.incarnation
        if self.draw.random() < 0.5:
            # The last report is lost in half of the cases.
            eventlet.spawn_n(worker.executor.handle_minion_report, incarnation)
        if self.draw.random() < 0.5:
            minion.refuses_connections = True
        worker.executor.handle_minion_departure(incarnation.instance, incarnation.started_unix_ms)
        self.minion_starts.append((self.world.clock.now() + run_on_ms + REPLACEMENT_GAP_MS, minion))
        self.note(f"{worker.name} deregisters and keeps running for {run_on_ms} ms")

    def replace_executor(self):
        worker = self.pick_worker()
        worker.kill()
        index = self.world.workers.index(worker)
        number = worker.number + 1
        self.world.workers[index] = SimulatedWorker(
            self.world,
            worker.name,
            number,
            worker.minion,
            fence=number * 100_000,
            domain=worker.domain,
        )
        self.note(f"executor of {worker.name} replaced")

    def is_paused(self, dispatcher):
        return any(paused is dispatcher for _, paused in self.resumptions)

    def pause_dispatcher(self):
        dispatcher = self.draw.choice(self.world.dispatchers)
        if (
            self.resumptions
            or not self.is_up(dispatcher)
            or dispatcher.address in self.world.network.held_messages
        ):
            return
        self.world.network.pause(dispatcher.address)
        dispatcher.pause()
        self.resumptions.append((self.world.clock.now() + self.draw.choice(FROZEN_MS), dispatcher))
        self.note(f"{dispatcher.address} paused")
        if self.returns_early:
            self.callers.leave_frozen(dispatcher)

    def resume_dispatcher(self, dispatcher):
        dispatcher.resume()
        network = self.world.network
        if not self.returns_early:
            network.resume(dispatcher.address)
            return
        self.note(f"{dispatcher.address} resumes")
        delay_ms = self.draw.choice((0, READS_LATE_MS))
        self.world.clock.after(delay_ms, lambda: network.resume(dispatcher.address))
        self.callers.resume(dispatcher)

    def kill_dispatcher(self):
        index = self.draw.randrange(len(self.world.dispatchers))
        old = self.world.dispatchers[index]
        if self.is_paused(old) or not self.is_up(old):
            return
        old.kill()
        if self.returns_early:
            self.replacements.append((self.world.clock.now() + self.draw.choice(DOWN_MS), index))
            self.note(f"{old.address} killed")
            self.callers.resend_after_crash(old)
            return
        self.replace_dispatcher(index)
        due_ms = self.world.clock.now() + RESEND_MS
        for spec, dispatcher, caller in self.jobs.values():
            if dispatcher is old and caller.result is None:
                self.resubmissions.append((due_ms, spec))
        self.note(f"{old.address} replaced")

    def kill_all_dispatchers(self):
        """Kill all dispatchers at once, including paused ones."""
        due_ms = self.world.clock.now() + self.draw.choice(DOWN_MS)
        self.resumptions.clear()
        for index, dispatcher in enumerate(self.world.dispatchers):
            self.world.network.held_messages.pop(dispatcher.address, None)
            if self.is_up(dispatcher):
                dispatcher.kill()
                self.replacements.append((due_ms, index))
        self.note("all dispatchers killed")
        for dispatcher in self.world.dispatchers:
            self.callers.resend_after_crash(dispatcher)

    def replace_dispatchers(self, now):
        for due_ms, index in [entry for entry in self.replacements if entry[0] <= now]:
            self.replacements.remove((due_ms, index))
            self.replace_dispatcher(index)
            self.note(f"{self.world.dispatchers[index].address} replaced")

    def replace_dispatcher(self, index):
        old = self.world.dispatchers[index]
        name = old.messenger.local_peer.address.removeprefix("tcp://")
        self.world.dispatchers[index] = SimulatedDispatcher(
            self.world,
            name,
            len(self.actions) + 2,
            domain=old.record.domain,
            is_cut_off=old.is_cut_off,
        )

    def is_up(self, dispatcher):
        """Return whether a dispatcher process exists; it may be paused."""
        down = {index for _, index in self.replacements}
        return any(
            other is dispatcher
            for index, other in enumerate(self.world.dispatchers)
            if index not in down
        )

    def change_stop_time(self):
        worker = self.pick_worker()
        worker.minion.stop_ms = self.draw.choice(STOPS_MS)
        self.note(f"{worker.name} takes {worker.minion.stop_ms} ms to stop a run")

    def change_message_faults(self):
        self.message_faults = tuple(
            self.draw.choice(each) for each in (MESSAGE_LOSSES, MESSAGE_DOUBLES, MESSAGE_DELAYS_MS)
        )
        self.note(f"messages lost, duplicated, delayed: {self.message_faults}")

    def choose_delays(self, sender, receiver):
        """Return the delay of each copy of a message; only dispatchers' messages are disturbed."""
        delay_ms = self.world.network.delay_ms
        dispatchers = {dispatcher.address for dispatcher in self.world.dispatchers}
        if not {sender, receiver} <= dispatchers:
            return (delay_ms,)
        loss_share, duplicate_share, extra_ms = self.message_faults
        if self.message_draw.random() < loss_share:
            return ()
        copies = 2 if self.message_draw.random() < duplicate_share else 1
        return [delay_ms + self.message_draw.uniform(0, extra_ms) for _ in range(copies)]

    def end_faults(self):
        """End all faults."""
        self.heal()
        if self.returns_early:
            self.calm_early()
        for member in (*self.world.dispatchers, *self.world.workers):
            member.is_cut_off = False
        self.world.evacuate()
        self.evacuated_ms = {}
        for worker in self.world.workers:
            worker.minion.loss_probability = 0.0

    def calm_early(self):
        self.message_faults = (0.0, 0.0, 0.0)
        now = self.world.clock.now()
        self.replace_dispatchers(max((due for due, _ in self.replacements), default=now))
        for _, dispatcher in self.resumptions:
            self.resume_dispatcher(dispatcher)
        self.resumptions.clear()
        self.note("end of faults")
        self.callers.end_faults()

    def check_answers(self):
        for name, (spec, _dispatcher, caller) in self.jobs.items():
            if caller.result is None:
                self.violations.append(f"{name}: caller got no result")
            elif caller.outcome is JobOutcome.SUCCEEDED:
                self.check_success(name, spec)
            elif caller.outcome is JobOutcome.REFUSED and name not in self.resubmitted:
                self.check_refusal(name, spec)

    def check_refusal(self, name, spec):
        for index in range(spec.steps[0].count):
            if self.world.start_count(f"{name}.0.0.{index}"):
                self.violations.append(f"{name}: refused, but task {index} was started")

    def check_crashes(self):
        """Check that no task crashed more minions than allowed.

        A dispatcher fails the job after at most three crashes. A restarted dispatcher starts
        counting anew.
        """
        for name in self.crashing:
            task = f"{name}.0.0.0"
            crashes = sum(worker.minion.crashed_by.count(task) for worker in self.world.workers)
            if crashes > MOST_CRASHES:
                self.violations.append(f"{task} crashed {crashes} minions")

    def check_success(self, name, spec):
        for index in range(spec.steps[0].count):
            if not self.world.start_count(f"{name}.0.0.{index}"):
                self.violations.append(f"{name}: succeeded, but task {index} was never started")


class StormTest(unittest.TestCase):
    """Invariants under random faults, with callers that resubmit after a delay."""

    def check(self, storm):
        with mock.patch.object(hubs.get_hub(), "squelch_timer_exception", storm.fail):
            storm.run()
        self.assertEqual([], storm.violations, storm.actions)

    def test_storms(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed))

    def test_storms_with_tasks_that_crash_minions_and_changing_capacity(self):
        for seed in ROUGH_SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed, keeps_names=True, is_rough=True))

    def test_storms_with_evacuated_domains(self):
        for seed in EVACUATION_SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed, keeps_names=True, is_rough=True, evacuates=True))

    def test_storms_with_minions_that_keep_running_after_deregistration(self):
        for seed in LEAVING_SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed, keeps_names=True, is_rough=True, leaves=True))

    def test_storms_with_minions_that_keep_their_names(self):
        for seed in RESTART_SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed, keeps_names=True))


class EarlyStormTest(unittest.TestCase):
    """Invariants under random faults, with callers that resubmit at once."""

    def test_storms_with_callers_that_resubmit_at_once(self):
        for seed in EARLY_SEEDS:
            with self.subTest(seed=seed):
                storm = Storm(seed, keeps_names=True, returns_early=True)
                with mock.patch.object(hubs.get_hub(), "squelch_timer_exception", storm.fail):
                    storm.run()
                self.assertEqual([], storm.violations, storm.actions)


class CallLossTest(unittest.TestCase):
    """Lost calls of the simulated minion."""

    def test_lost_calls_are_reproducible_by_seed(self):
        minions = [MemoryMinion(ManualClock(), seed=7) for _ in range(2)]
        for minion in minions:
            minion.loss_probability = 0.5
        draws = [[minion._random.random() for _ in range(5)] for minion in minions]
        self.assertEqual(*draws)
