"""Failure domains that operators evacuate: nothing is started there, and callers are served."""

import unittest

import eventlet

from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.evacuations import Evacuations
from geraniumspool.job_specs import JobOutcome
from geraniumspool.registrations import DISPATCHER_PREFIX
from geraniumspool.run_messages import EvacuationNews
from tests.dispatch_world import EVACUATION_MS, DispatchWorld, Home, Worker, make_spec

DOMAINS = ("north", "south", "east")


class BeliefTest(unittest.TestCase):
    """What one process believes, from whoever it hears it."""

    def setUp(self):
        self.clock = ManualClock()
        self.clock.advance(10_000)
        self.changes = []
        self.evacuations = Evacuations(self.clock, MemoryCounters())
        self.evacuations.on_change = lambda: self.changes.append(self.evacuations.domains)

    def test_nothing_is_known_at_first(self):
        self.assertFalse(self.evacuations.is_known)
        self.assertEqual(EvacuationNews(), self.evacuations.tell())

    def test_an_older_word_never_comes_back(self):
        now = self.clock.now()
        self.evacuations.replace(["north"], 20, now)
        cases = (
            ("an older list", lambda: self.evacuations.replace([], 19, now)),
            ("the same revision", lambda: self.evacuations.replace([], 20, now)),
            ("an older change", lambda: self.evacuations.change("north", False, 18)),
            ("an older word", lambda: self.evacuations.hear(EvacuationNews(12), now)),
            ("one who knows nothing", lambda: self.evacuations.hear(EvacuationNews(), now)),
        )
        for name, act in cases:
            with self.subTest(name):
                act()
                self.assertTrue(self.evacuations.covers("north"))
                self.assertEqual(20, self.evacuations.revision)

    def test_changes_are_told_once(self):
        self.evacuations.replace([], 5, 0)
        self.evacuations.change("north", True, 6)
        self.evacuations.change("south", True, 7)
        self.evacuations.replace(["north", "south"], 9, 0)
        self.evacuations.change("north", False, 10)
        expected = [set(), {"north"}, {"north", "south"}, {"south"}]
        self.assertEqual(expected, self.changes)

    def test_age_counts_from_the_store_and_not_from_the_message(self):
        now = self.clock.now()
        self.evacuations.hear(EvacuationNews(3, ("north",), 700.0), now - 200)
        self.assertEqual(900, self.evacuations.age_ms)
        self.evacuations.hear(EvacuationNews(3, ("north",), 5_000.0), now)
        self.assertEqual(900, self.evacuations.age_ms)
        self.evacuations.confirm(now)
        self.assertEqual(0, self.evacuations.age_ms)


class EvacuationCase(unittest.TestCase):
    """Three domains with a dispatcher and two workers each."""

    homes = 3
    workers = 6
    group_workers = 2

    def setUp(self):
        self.world = DispatchWorld(
            workers=self.workers,
            homes=self.homes,
            group_workers=self.group_workers,
            domains=DOMAINS,
        )
        self.addCleanup(self.world.close)
        self.clock = self.world.clock
        self.number = 0

    def advance(self, total_ms, step_ms=20):
        for _ in range(total_ms // step_ms):
            self.clock.advance(step_ms)

    def submit(self, home=0, count=1, **step):
        self.number += 1
        spec = make_spec(f"j{self.number}", count, **step)
        return self.world.homes[home].submit(spec)

    def count_starts(self, domain):
        """Return the starts so far at all minions of a domain."""
        workers = [worker for worker in self.world.workers if worker.domain == domain]
        return sum(len(worker.minion.started) for worker in workers)

    def count_refused(self):
        """Return the orders that executors have refused for their domain's sake."""
        return sum(
            worker.counters.get("runs_refused", reason="domain_evacuated")
            for worker in self.world.workers
        )

    def load(self, total_ms, every_ms=40, **step):
        """Hand a job in at each dispatcher by turns; return what the callers were told."""
        told = []
        for turn in range(total_ms // every_ms):
            told.append(self.submit(turn % len(self.world.homes), **step))
            self.advance(every_ms)
        self.advance(600)
        return told


class PlacingTest(EvacuationCase):
    """A domain is evacuated and taken back under load."""

    def test_nothing_starts_there_and_all_are_served(self):
        self.load(400)
        self.assertGreater(self.count_starts("south"), 0)
        self.world.evacuate("south")
        self.advance(20)
        before = self.count_starts("south")
        told = self.load(2_000)
        self.assertEqual(before, self.count_starts("south"))
        self.assertEqual({JobOutcome.SUCCEEDED}, {one.outcome for one in told})
        self.assertEqual(0, self.count_refused())

    def test_runs_at_work_go_on_to_their_end(self):
        told = [self.submit(home, 4, run_ms=700) for home in range(3)]
        self.advance(60)
        started = self.count_starts("south")
        self.assertGreater(started, 0)
        self.world.evacuate("south")
        self.advance(1_200)
        self.assertEqual({JobOutcome.SUCCEEDED}, {one.outcome for one in told})
        self.assertEqual(started, self.count_starts("south"))

    def test_taken_back_it_is_used_at_once(self):
        self.world.evacuate("south")
        self.advance(200)
        self.world.evacuate()
        self.advance(20)
        before = self.count_starts("south")
        self.load(400)
        self.assertGreater(self.count_starts("south"), before)

    def test_in_series_and_both_at_a_time(self):
        for domains in (("north",), (), ("north",), ("east",), ("east", "south"), ("south",)):
            with self.subTest(domains):
                self.world.evacuate(*domains)
                self.advance(20)
                before = [self.count_starts(domain) for domain in domains]
                told = self.load(400)
                self.assertEqual(before, [self.count_starts(domain) for domain in domains])
                self.assertEqual({JobOutcome.SUCCEEDED}, {one.outcome for one in told})

    def test_all_are_evacuated(self):
        self.world.evacuate(*DOMAINS)
        self.advance(100)
        told = self.submit()
        self.advance(60)
        self.assertEqual(JobOutcome.REFUSED, told.outcome)
        self.assertGreater(told.result.retry_after_ms, 0)
        self.assertTrue(self.world.home.router.has_workers)
        self.world.evacuate()
        self.advance(60)
        told = self.submit()
        self.advance(400)
        self.assertEqual(JobOutcome.SUCCEEDED, told.outcome)

    def test_a_domain_that_no_worker_names(self):
        self.world.evacuate("west")
        self.advance(20)
        self.assertEqual({JobOutcome.SUCCEEDED}, {one.outcome for one in self.load(200)})

    def test_jobs_that_wait_there_go_elsewhere(self):
        # Full workers everywhere; what waits at the owner in the domain has not begun.
        self.load(400, every_ms=10, run_ms=400)
        told = [self.submit(1, 1, run_ms=100) for _ in range(4)]
        self.world.evacuate("south")
        self.advance(20)
        before = self.count_starts("south")
        self.advance(3_000)
        self.assertEqual(before, self.count_starts("south"))
        outcomes = {one.outcome for one in told}
        self.assertLessEqual(outcomes, {JobOutcome.SUCCEEDED, JobOutcome.REFUSED})
        self.assertNotIn(None, outcomes)


class RestTest(EvacuationCase):
    """What has begun in the domain when it is evacuated, with tasks that still wait."""

    group_workers = 6

    def test_the_rest_of_a_job_that_has_begun_runs_elsewhere(self):
        # Each worker runs two at a time; a third of the eighteen has to wait.
        told = self.submit(0, 18, run_ms=500)
        self.advance(60)
        self.world.evacuate("south")
        self.advance(20)
        before = self.count_starts("south")
        self.advance(2_500)
        self.assertEqual(JobOutcome.SUCCEEDED, told.outcome)
        self.assertEqual(before, self.count_starts("south"))


class OnlyOwnTest(EvacuationCase):
    """A dispatcher all of whose workers are evacuated, with a job half done."""

    def test_the_rest_of_its_job_runs_at_workers_of_others(self):
        told = self.world.homes[1].place(make_spec("half", 8, run_ms=400))
        self.advance(60)
        self.assertGreater(self.count_starts("south"), 0)
        owned = [v for v in self.world.homes[1].dispatcher.fleet.views if v.is_owned]
        self.assertEqual({"south"}, {view.domain for view in owned})
        self.world.evacuate("south")
        self.advance(20)
        before = self.count_starts("south")
        self.advance(1_500)
        self.assertEqual(before, self.count_starts("south"))
        self.assertEqual(JobOutcome.SUCCEEDED, told.outcome)


class DivisionTest(EvacuationCase):
    """Who owns the workers that are left."""

    workers = 12
    group_workers = 2.8

    def owned(self, home):
        views = [view for view in home.dispatcher.fleet.views if view.is_owned]
        return [view.domain for view in views if not view.is_evacuated]

    def test_a_dispatcher_of_the_domain_has_its_part_of_the_rest(self):
        self.world.evacuate("south")
        self.advance(100)
        parts = [self.owned(home) for home in self.world.homes]
        self.assertEqual([2, 3, 3], sorted(map(len, parts)))
        self.assertNotIn("south", sum(parts, []))
        self.world.evacuate()
        self.advance(100)
        self.assertEqual(["south"] * 4, self.owned(self.world.homes[1]))


class RestartTest(EvacuationCase):
    """All processes are back after a loss of power, with a domain evacuated."""

    def test_jobs_that_come_to_a_dispatcher_there_do_not_wait_for_its_workers(self):
        self.world.evacuate("south")
        for home in self.world.homes[:]:
            home.kill()
        old, self.world.homes[:] = self.world.homes[:], []
        for worker in self.world.workers:
            worker.kill()
        # Dispatchers are up before executors are.
        for home in old:
            name = home.address.removeprefix("tcp://")
            self.world.homes.append(Home(self.world, name, 2, domain=home.record.domain))
        for home in self.world.homes:
            for other in old:
                home.list_member(DISPATCHER_PREFIX + other.address, other.record)
            home.router.take_members()
        told = [self.submit(1) for _ in range(3)]
        self.advance(40)
        for place, worker in enumerate(self.world.workers):
            self.world.workers[place] = Worker(
                self.world, worker.name, 2, worker.minion, fence=100_000, domain=worker.domain
            )
            for home in self.world.homes:
                # The store's watch tells of its key.
                home.dispatcher.fleet.note_written(worker.address)
        before = self.count_starts("south")
        self.advance(600)
        self.assertEqual({JobOutcome.SUCCEEDED}, {one.outcome for one in told})
        self.assertEqual(before, self.count_starts("south"))


class GuardTest(EvacuationCase):
    """Executors keep the rule where dispatchers do not know it."""

    def cut_off(self, *parts):
        for part in parts:
            part.is_cut_off = True

    def test_dispatchers_tell_each_other(self):
        self.cut_off(*self.world.homes[1:], *self.world.workers)
        self.world.evacuate("south")
        self.advance(400)
        before = self.count_starts("south")
        told = self.load(1_000)
        self.assertEqual(before, self.count_starts("south"))
        self.assertEqual({JobOutcome.SUCCEEDED}, {one.outcome for one in told})

    def test_executors_ask_where_no_dispatcher_is_heard_that_knows(self):
        self.cut_off(*self.world.homes)
        self.world.evacuate("south")
        self.advance(round(EVACUATION_MS))
        before = self.count_starts("south")
        self.load(1_000)
        self.assertEqual(before, self.count_starts("south"))

    def test_executors_go_by_what_they_know_while_nobody_is_told_anything(self):
        self.cut_off(*self.world.homes, *self.world.workers)
        told = self.load(8_000, every_ms=200)
        self.assertEqual({JobOutcome.SUCCEEDED}, {one.outcome for one in told})

    def test_an_executor_that_has_just_started_reads_first(self):
        self.cut_off(*self.world.homes)
        self.world.evacuate("south")
        worker = next(one for one in self.world.workers if one.domain == "south")
        worker.kill()
        again = Worker(
            self.world, worker.name, 2, worker.minion, fence=100_000, domain=worker.domain
        )
        self.world.workers[self.world.workers.index(worker)] = again
        before = len(worker.minion.started)
        self.load(1_000)
        self.assertEqual(before, len(worker.minion.started))

    def test_a_dispatcher_that_has_just_started_places_nothing_before_it_knows(self):
        old = self.world.homes[1]
        self.world.evacuate("south")
        self.advance(400)
        old.kill()
        self.world.homes.remove(old)
        before = self.count_starts("south")
        Home.read_operators, read = (lambda home: None), Home.read_operators
        self.addCleanup(setattr, Home, "read_operators", read)
        home = Home(self.world, "h1", 2, domain="south")
        self.world.homes.append(home)
        self.assertFalse(home.evacuations.is_known)
        self.load(600)
        self.assertEqual(before, self.count_starts("south"))
        self.assertTrue(home.evacuations.covers("south"))

    def test_a_dispatcher_that_wakes_does_not_start_there_by_what_it_knew(self):
        home = self.world.homes[1]
        home.freeze()
        self.world.network.freeze(home.address)
        self.cut_off(home)
        self.world.evacuate("south")
        self.advance(round(EVACUATION_MS) + 1_000)
        home.thaw()
        self.world.network.thaw(home.address)
        before = self.count_starts("south")
        eventlet.sleep(0)
        self.load(800)
        self.assertEqual(before, self.count_starts("south"))


if __name__ == "__main__":
    unittest.main()
