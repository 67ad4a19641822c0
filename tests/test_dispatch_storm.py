"""Random faults on dispatchers, executors and minions in memory, by seed."""

import random
import unittest
from unittest import mock

import eventlet
from eventlet import event, hubs

from geraniumspool.clock import ManualClock
from geraniumspool.job_specs import JobOutcome
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.rooms import Room
from tests.dispatch_world import DispatchWorld, Home, Worker, make_spec
from tests.storm_callers import EarlyCallers

# The last four had tasks run twice: an owner that woke from a freeze started tasks of an entry
# that had given it up, or an entry forwarded anew what its owner was still stopping.
SEEDS = (*range(1, 25), 99, 121, 174, 190)
# Minions came back under their names: runs given to them were told as lost while at work, and
# ran twice at a time or took more room than there was.
RESTART_SEEDS = (33, 38, 63, 79, 93, 101, 108, 133, 141, 150, 153, 158, 161, 167, 172)
ROUGH_SEEDS = (*range(1, 11), 44)
# The last seven have tasks start where only executors can know that they must not.
EVACUATION_SEEDS = (*range(1, 5), 13, 14, 17, 21, 23, 29, 36)
LEAVING_SEEDS = (*range(1, 11),)
# The last ones had tasks run twice, or left jobs unserved, by claims that did not hold.
EARLY_SEEDS = (*range(1, 13), 56, 212, 218, 287, 335)
DOMAINS = ("north", "south")
# A minion that leaves runs on for a while after it has said so, and another takes its place.
RUN_ON_MS = (5, 60, 250, 800)
EMPTY_PLACE_MS = 300
# Short, so that a storm has evacuations that must be in force.
EVACUATION_MS = 1_500.0
STEPS = 500
# Share of the steps in which something is done: cuts last for two seconds in the mean.
ACT_SHARE = 0.12
STEP_MS = 10
# A caller that got no answer sends its job again after this, to any dispatcher.
RESEND_MS = 1_300
RUNS_MS = (60, 300, 1_200)
LOSSES = (0.0, 0.0, 0.1, 0.3)
REST_MS = 8_000
# A caller that waits at a frozen dispatcher has its answer after it thaws.
FROZEN_MS = (300, 900, 2_500)
# A task crashes three minions, and may be started three times more.
MOST_CRASHES = 6
ROOMS_CPU = (3_000, 5_000, 10_000)
# Minions report this often.
BEAT_MS = 500
# Storms of early callers: steps finer than a stop takes, and as long in all.
EARLY_STEP_MS = 5
EARLY_STEPS = 1_000
EARLY_REST_MS = 10_000
STOPS_MS = (5.0, 20.0, 50.0)
# What becomes of messages between dispatchers: share that is lost, share that comes twice, and
# how late they are at most, which has later ones overtake them.
MESSAGE_LOSSES = (0.0, 0.1, 0.3)
MESSAGE_DOUBLES = (0.0, 0.0, 0.2)
MESSAGE_DELAYS_MS = (0.0, 20.0, 150.0, 400.0)
# A process that thaws may run its timers before it reads what has arrived.
READS_LATE_MS = 60
# A dispatcher that was killed is replaced within this.
DOWN_MS = (0, 0, 100, 700)


class OrderedWaiters(dict):
    """Wakes those that wait for one event in the order in which they began to.

    The set that eventlet uses wakes them by their addresses in memory, so a storm in which two
    callers wait for one job would not repeat.
    """

    def add(self, waiter):
        self[waiter] = None

    def discard(self, waiter):
        self.pop(waiter, None)


class Storm:
    """Acts drawn from one seed, and what must hold after each step.

    :ivar keeps_names: whether every other minion that crashes comes back under its name
    :ivar is_rough: whether tasks crash their minions, and rooms shrink and grow
    :ivar leaves: whether minions leave, and run on for a while after they have said so
    :ivar evacuates: whether operators evacuate domains, and processes lose the store
    :ivar returns_early: whether callers hang up and are back at once, and messages between
        dispatchers go astray
    """

    def __init__(
        self,
        seed,
        keeps_names=False,
        is_rough=False,
        evacuates=False,
        returns_early=False,
        leaves=False,
    ):
        self.keeps_names = keeps_names
        self.is_rough = is_rough
        self.evacuates = evacuates
        self.returns_early = returns_early
        self.leaves = leaves
        self.step_ms = EARLY_STEP_MS if returns_early else STEP_MS
        self.draw = random.Random(seed)
        # Placement draws from these, so that a storm repeats.
        random.seed(seed)
        # Every other storm has one dispatcher place on all workers.
        self.world = DispatchWorld(
            workers=4,
            homes=3,
            group_workers=4 if seed % 2 else 2,
            domains=DOMAINS if evacuates else DOMAINS[:1],
            evacuation_ms=EVACUATION_MS,
        )
        self.evacuated_ms = {}
        self.cut_ms = {}
        self.starts = {}
        self.acts = []
        self.violations = []
        self.jobs = {}
        self.crashing = set()
        self.sent_again = set()
        self.returns = []
        self.thaws = []
        self.arrivals = []
        self.steps = 0
        self.callers = EarlyCallers(self)
        self.replacements = []
        # Apart from the acts, which then do not depend on how many messages there are.
        self.message_draw = random.Random(f"{seed} messages")
        self.message_faults = (0.0, 0.0, 0.0)
        if returns_early:
            self.world.network.draw_delays = self.draw_delays
            for worker in self.world.workers:
                worker.minion.stop_ms = self.draw.choice(STOPS_MS)

    def run(self):
        """Play the whole storm."""
        with mock.patch.object(event, "set", OrderedWaiters, create=True):
            self.play()

    def play(self):
        acts = (self.submit,) * 10 + (
            self.lose_calls,
            self.part,
            self.heal,
            self.crash_minion,
            self.replace_executor,
            self.kill_home,
            self.freeze_home,
            self.silence_minion,
            self.mute_minion,
        )
        if self.is_rough:
            acts += (self.submit_crashing, self.resize_minion)
        if self.leaves:
            acts += (self.leave_minion,) * 2
        if self.evacuates:
            acts += (self.evacuate, self.cut_off)
        if self.returns_early:
            acts += (self.callers.hang_up,) * 6 + (self.submit_twice,) * 3
            acts += (self.trouble_messages,) * 2 + (self.kill_all_homes, self.change_stops)
        for _ in range(EARLY_STEPS if self.returns_early else STEPS):
            if self.draw.random() < ACT_SHARE:
                self.draw.choice(acts)()
            self.step()
        self.calm()
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
        if self.steps % (BEAT_MS // self.step_ms) == 0:
            for worker in self.world.workers:
                if not worker.minion.is_down:
                    eventlet.spawn_n(worker.executor.take_life, worker.minion.life)
        now = self.world.clock.now()
        for due, spec in [entry for entry in self.returns if entry[0] <= now]:
            self.returns.remove((due, spec))
            self.sent_again.add(spec.job_id)
            self.hand_in(spec)
        for due, home in [entry for entry in self.thaws if entry[0] <= now]:
            self.thaws.remove((due, home))
            self.thaw_home(home)
        for due, minion in [entry for entry in self.arrivals if entry[0] <= now]:
            self.arrivals.remove((due, minion))
            minion.reborn(f"{minion.life.instance}+")
        if self.returns_early:
            self.replace_homes(now)
            self.callers.step()
        twice = self.world.running_twice()
        if twice:
            self.violations.append(f"{now}: twice {sorted(twice)}")
        for worker in self.world.workers:
            if worker.minion.crowded:
                self.violations.append(f"{now}: {worker.name} over its room")
        self.check_evacuations(now)

    def submit(self):
        name = f"j{len(self.jobs)}"
        count = self.draw.randint(1, 4)
        spec = make_spec(name, count, 3_000, self.draw.choice(RUNS_MS), declared_ms=300)
        self.hand_in(spec)

    def submit_twice(self):
        name = f"j{len(self.jobs)}"
        self.jobs[name] = None
        spec = make_spec(name, 2, 3_000, self.draw.choice(RUNS_MS), declared_ms=300)
        self.callers.hand_in_twice(spec)
        self.note(f"{name} sent to two dispatchers")

    def submit_crashing(self):
        spec = make_spec(f"j{len(self.jobs)}", 2, 3_000, 300, "crash")
        self.crashing.add(spec.job_id)
        self.hand_in(spec)

    def resize_minion(self):
        worker = self.pick()
        worker.minion.resize(Room(self.draw.choice(ROOMS_CPU), 10_000))
        eventlet.spawn_n(worker.executor.take_life, worker.minion.life)
        self.note(f"{worker.name} has room {worker.minion.life.room.cpu}")

    def evacuate(self):
        if self.evacuated_ms and self.draw.random() < 0.5:
            return
        domains = self.draw.sample(DOMAINS, self.draw.choice((0, 1, 1, 2)))
        now = self.world.clock.now()
        self.evacuated_ms = {name: self.evacuated_ms.get(name, now) for name in domains}
        self.world.evacuate(*domains)
        self.note(f"evacuated {domains}")

    def cut_off(self):
        parts = [*self.world.homes, *self.world.workers]
        # Executors alone keep the rule while no dispatcher knows, for as long as it lasts.
        if any(home.is_cut_off for home in self.world.homes) and self.draw.random() < 0.7:
            return
        homes = self.world.homes
        chosen = self.draw.choice((homes, homes, self.draw.sample(parts, 3), []))
        for part in parts:
            part.is_cut_off = part in chosen
        self.note(f"without the store {[part.address for part in parts if part.is_cut_off]}")

    def check_evacuations(self, now):
        """Nothing starts in a domain once its executors have had time to learn of it."""
        for worker in self.world.workers:
            if worker.is_cut_off:
                self.cut_ms[worker.name] = now
            before = self.starts.get(worker.name, 0)
            self.starts[worker.name] = started = len(worker.minion.started)
            since = max(
                self.evacuated_ms.get(worker.domain, now), self.cut_ms.get(worker.name, 0.0)
            )
            if started > before and now - since > EVACUATION_MS:
                self.violations.append(f"{now}: {worker.name} started in {worker.domain}")

    def hand_in(self, spec):
        if self.returns_early:
            self.jobs[spec.job_id] = None
            self.callers.hand_in(spec)
            return
        home = self.draw.choice([home for home in self.world.homes if not self.is_frozen(home)])
        caller = home.submit(spec, wait_ms=5_000.0)
        self.jobs[spec.job_id] = (spec, home, caller)

    def pick(self):
        return self.draw.choice(self.world.workers)

    def fail(self, _timer, exc_info):
        """Take the error that ended a green task."""
        self.violations.append(f"{self.world.clock.now()}: {exc_info[1]!r}")

    def note(self, text):
        self.acts.append((self.world.clock.now(), text))

    def lose_calls(self):
        worker = self.pick()
        worker.minion.loss = self.draw.choice(LOSSES)
        self.note(f"{worker.name} loses {worker.minion.loss}")

    def part(self):
        one = self.draw.choice(self.world.homes)
        others = [home for home in self.world.homes if home is not one]
        other = self.draw.choice([self.pick(), self.draw.choice(others)])
        pair = self.draw.sample([one.address, other.address], 2)
        self.world.network.cut.add(tuple(pair))
        if self.draw.random() < 0.5:
            self.world.network.cut.add(tuple(reversed(pair)))
        self.note(f"cut {pair}")

    def heal(self):
        self.world.network.heal()
        for worker in self.world.workers:
            worker.minion.silent = worker.minion.mute = False

    def silence_minion(self):
        worker = self.pick()
        worker.minion.silent = True
        self.note(f"{worker.name} silent")

    def mute_minion(self):
        worker = self.pick()
        worker.minion.mute = True
        self.note(f"{worker.name} mute")

    def crash_minion(self):
        worker = self.pick()
        if self.keeps_names and self.draw.random() < 0.5:
            worker.minion.restart()
        else:
            worker.minion.reborn(f"{worker.minion.life.instance}+")
        self.note(f"{worker.name} crashes, now {worker.minion.life.instance}")

    def leave_minion(self):
        worker = self.pick()
        minion = worker.minion
        if any(minion is other for _, other in self.arrivals):
            return
        run_on_ms = self.draw.choice(RUN_ON_MS)
        minion.leave(run_on_ms)
        life = minion.life
        if self.draw.random() < 0.5:
            # Its last report gets lost as often as not.
            eventlet.spawn_n(worker.executor.take_life, life)
        if self.draw.random() < 0.5:
            minion.refuses = True
        worker.executor.lose_life(life.instance, life.started_unix_ms)
        self.arrivals.append((self.world.clock.now() + run_on_ms + EMPTY_PLACE_MS, minion))
        self.note(f"{worker.name} leaves and runs on for {run_on_ms}")

    def replace_executor(self):
        worker = self.pick()
        worker.kill()
        place = self.world.workers.index(worker)
        number = worker.messenger.me.incarnation + 1
        self.world.workers[place] = Worker(
            self.world,
            worker.name,
            number,
            worker.minion,
            fence=number * 100_000,
            domain=worker.domain,
        )
        self.note(f"{worker.name} replaced")

    def is_frozen(self, home):
        return any(frozen is home for _, frozen in self.thaws)

    def freeze_home(self):
        home = self.draw.choice(self.world.homes)
        if self.thaws or not self.is_up(home) or home.address in self.world.network.frozen:
            return
        self.world.network.freeze(home.address)
        home.freeze()
        self.thaws.append((self.world.clock.now() + self.draw.choice(FROZEN_MS), home))
        self.note(f"{home.address} frozen")
        if self.returns_early:
            self.callers.desert(home)

    def thaw_home(self, home):
        home.thaw()
        network = self.world.network
        if not self.returns_early:
            network.thaw(home.address)
            return
        self.note(f"{home.address} thaws")
        delay_ms = self.draw.choice((0, READS_LATE_MS))
        self.world.clock.after(delay_ms, lambda: network.thaw(home.address))
        self.callers.thaw(home)

    def kill_home(self):
        place = self.draw.randrange(len(self.world.homes))
        old = self.world.homes[place]
        if self.is_frozen(old) or not self.is_up(old):
            return
        old.kill()
        if self.returns_early:
            self.replacements.append((self.world.clock.now() + self.draw.choice(DOWN_MS), place))
            self.note(f"{old.address} killed")
            self.callers.lose(old)
            return
        self.replace_home(place)
        due = self.world.clock.now() + RESEND_MS
        for spec, home, caller in self.jobs.values():
            if home is old and caller.result is None:
                self.returns.append((due, spec))
        self.note(f"{old.address} replaced")

    def kill_all_homes(self):
        """Have all dispatchers die at once, frozen ones as well."""
        due = self.world.clock.now() + self.draw.choice(DOWN_MS)
        self.thaws.clear()
        for place, home in enumerate(self.world.homes):
            self.world.network.frozen.pop(home.address, None)
            if self.is_up(home):
                home.kill()
                self.replacements.append((due, place))
        self.note("all dispatchers killed")
        for home in self.world.homes:
            self.callers.lose(home)

    def replace_homes(self, now):
        for due, place in [entry for entry in self.replacements if entry[0] <= now]:
            self.replacements.remove((due, place))
            self.replace_home(place)
            self.note(f"{self.world.homes[place].address} replaced")

    def replace_home(self, place):
        old = self.world.homes[place]
        name = old.messenger.me.address.removeprefix("tcp://")
        self.world.homes[place] = Home(
            self.world,
            name,
            len(self.acts) + 2,
            domain=old.record.domain,
            is_cut_off=old.is_cut_off,
        )

    def is_up(self, home):
        """Return whether a dispatcher lives, though it may be frozen."""
        down = {place for _, place in self.replacements}
        return any(
            other is home for place, other in enumerate(self.world.homes) if place not in down
        )

    def change_stops(self):
        worker = self.pick()
        worker.minion.stop_ms = self.draw.choice(STOPS_MS)
        self.note(f"{worker.name} stops runs in {worker.minion.stop_ms}")

    def trouble_messages(self):
        self.message_faults = tuple(
            self.draw.choice(each) for each in (MESSAGE_LOSSES, MESSAGE_DOUBLES, MESSAGE_DELAYS_MS)
        )
        self.note(f"messages lost, doubled, late {self.message_faults}")

    def draw_delays(self, sender, receiver):
        """Return when copies of a message arrive; those of workers are in order."""
        delay_ms = self.world.network.delay_ms
        homes = {home.address for home in self.world.homes}
        if not {sender, receiver} <= homes:
            return (delay_ms,)
        loss, doubles, late_ms = self.message_faults
        if self.message_draw.random() < loss:
            return ()
        copies = 2 if self.message_draw.random() < doubles else 1
        return [delay_ms + self.message_draw.uniform(0, late_ms) for _ in range(copies)]

    def calm(self):
        self.heal()
        if self.returns_early:
            self.calm_early()
        for part in (*self.world.homes, *self.world.workers):
            part.is_cut_off = False
        self.world.evacuate()
        self.evacuated_ms = {}
        for worker in self.world.workers:
            worker.minion.loss = 0.0

    def calm_early(self):
        self.message_faults = (0.0, 0.0, 0.0)
        now = self.world.clock.now()
        self.replace_homes(max((due for due, _ in self.replacements), default=now))
        for _, home in self.thaws:
            self.thaw_home(home)
        self.thaws.clear()
        self.note("calm")
        self.callers.calm()

    def check_answers(self):
        for name, (spec, _home, caller) in self.jobs.items():
            if caller.result is None:
                self.violations.append(f"{name} was never answered")
            elif caller.outcome is JobOutcome.SUCCEEDED:
                self.check_success(name, spec)
            elif caller.outcome is JobOutcome.REFUSED and name not in self.sent_again:
                self.check_refusal(name, spec)

    def check_refusal(self, name, spec):
        for index in range(spec.steps[0].count):
            if self.world.started(f"{name}.0.0.{index}"):
                self.violations.append(f"{name}: refused, and task {index} has started")

    def check_crashes(self):
        """No task may be started more than three times after three minions it has crashed.

        Each life of a dispatcher that places it counts anew.
        """
        for name in self.crashing:
            task = f"{name}.0.0.0"
            crashes = sum(worker.minion.crashed_by.count(task) for worker in self.world.workers)
            if crashes > MOST_CRASHES:
                self.violations.append(f"{task} crashed {crashes} minions")

    def check_success(self, name, spec):
        for index in range(spec.steps[0].count):
            if not self.world.started(f"{name}.0.0.{index}"):
                self.violations.append(f"{name}: task {index} never started")


class StormTest(unittest.TestCase):
    """What must hold whatever goes wrong."""

    def check(self, storm):
        with mock.patch.object(hubs.get_hub(), "squelch_timer_exception", storm.fail):
            storm.run()
        self.assertEqual([], storm.violations, storm.acts)

    def test_storms(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed))

    def test_storms_with_tasks_that_crash_minions_and_rooms_that_shrink(self):
        for seed in ROUGH_SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed, keeps_names=True, is_rough=True))

    def test_storms_with_evacuated_domains(self):
        for seed in EVACUATION_SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed, keeps_names=True, is_rough=True, evacuates=True))

    def test_storms_with_minions_that_run_on_after_they_have_left(self):
        for seed in LEAVING_SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed, keeps_names=True, is_rough=True, leaves=True))

    def test_storms_with_minions_that_keep_their_names(self):
        for seed in RESTART_SEEDS:
            with self.subTest(seed=seed):
                self.check(Storm(seed, keeps_names=True))


class EarlyStormTest(unittest.TestCase):
    """What must hold where callers are back at once."""

    def test_storms_with_callers_that_are_back_at_once(self):
        for seed in EARLY_SEEDS:
            with self.subTest(seed=seed):
                storm = Storm(seed, keeps_names=True, returns_early=True)
                with mock.patch.object(hubs.get_hub(), "squelch_timer_exception", storm.fail):
                    storm.run()
                self.assertEqual([], storm.violations, storm.acts)


class CallLossTest(unittest.TestCase):
    """The minion in memory loses calls in each way."""

    def test_lost_calls_repeat_by_seed(self):
        minions = [MemoryMinion(ManualClock(), seed=7) for _ in range(2)]
        for minion in minions:
            minion.loss = 0.5
        draws = [[minion._random.random() for _ in range(5)] for minion in minions]
        self.assertEqual(*draws)
