"""Tests of evacuated failure domains: no task starts there, and jobs run elsewhere."""

import unittest

import eventlet

from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.evacuations import Evacuations
from geraniumspool.job_specs import JobOutcome
from geraniumspool.registrations import DISPATCHER_PREFIX
from geraniumspool.run_messages import EvacuationNews
from tests.dispatch_world import (
    EVACUATION_MS,
    DispatchWorld,
    SimulatedDispatcher,
    SimulatedWorker,
    make_spec,
)

DOMAINS = ("north", "south", "east")


class EvacuationsTest(unittest.TestCase):
    """One process's list of evacuated domains, received from the store and other processes."""

    def setUp(self):
        self.clock = ManualClock()
        self.clock.advance(10_000)
        self.changes = []
        self.evacuations = Evacuations(self.clock, MemoryCounters())
        self.evacuations.on_change = lambda: self.changes.append(self.evacuations.domains)

    def test_nothing_is_known_at_first(self):
        self.assertFalse(self.evacuations.is_known)
        self.assertEqual(EvacuationNews(), self.evacuations.to_message())

    def test_an_older_revision_never_replaces_a_newer_one(self):
        now = self.clock.now()
        self.evacuations.replace(["north"], 20, now)
        cases = (
            ("an older list", lambda: self.evacuations.replace([], 19, now)),
            ("the same revision", lambda: self.evacuations.replace([], 20, now)),
            ("an older change", lambda: self.evacuations.apply_change("north", False, 18)),
            ("an older word", lambda: self.evacuations.merge(EvacuationNews(12), now)),
            ("one who knows nothing", lambda: self.evacuations.merge(EvacuationNews(), now)),
        )
        for name, act in cases:
            with self.subTest(name):
                act()
                self.assertTrue(self.evacuations.is_evacuated("north"))
                self.assertEqual(20, self.evacuations.revision)

    def test_each_change_is_reported_once(self):
        self.evacuations.replace([], 5, 0)
        self.evacuations.apply_change("north", True, 6)
        self.evacuations.apply_change("south", True, 7)
        self.evacuations.replace(["north", "south"], 9, 0)
        self.evacuations.apply_change("north", False, 10)
        expected = [set(), {"north"}, {"north", "south"}, {"south"}]
        self.assertEqual(expected, self.changes)

    def test_age_counts_from_the_read_of_the_store(self):
        now = self.clock.now()
        self.evacuations.merge(EvacuationNews(3, ("north",), 700.0), now - 200)
        self.assertEqual(900, self.evacuations.age_ms)
        self.evacuations.merge(EvacuationNews(3, ("north",), 5_000.0), now)
        self.assertEqual(900, self.evacuations.age_ms)
        self.evacuations.confirm(now)
        self.assertEqual(0, self.evacuations.age_ms)


class EvacuationCase(unittest.TestCase):
    """Three domains with a dispatcher and two workers each."""

    dispatchers = 3
    workers = 6
    group_workers = 2

    def setUp(self):
        self.world = DispatchWorld(
            workers=self.workers,
            dispatchers=self.dispatchers,
            group_workers=self.group_workers,
            domains=DOMAINS,
        )
        self.addCleanup(self.world.close)
        self.clock = self.world.clock
        self.number = 0

    def advance(self, total_ms, step_ms=20):
        for _ in range(total_ms // step_ms):
            self.clock.advance(step_ms)

    def submit(self, dispatcher=0, count=1, **step):
        self.number += 1
        spec = make_spec(f"j{self.number}", count, **step)
        return self.world.dispatchers[dispatcher].submit(spec)

    def count_starts(self, domain):
        """Return the number of runs started so far at all minions of a domain."""
        workers = [worker for worker in self.world.workers if worker.domain == domain]
        return sum(len(worker.minion.started) for worker in workers)

    def count_refused(self):
        """Return the number of runs that executors refused because of an evacuation."""
        return sum(
            worker.counters.get("runs_refused", reason="domain_evacuated")
            for worker in self.world.workers
        )

    def load(self, total_ms, every_ms=40, **step):
        """Submit jobs to the dispatchers in turn; return their callers."""
        callers = []
        for turn in range(total_ms // every_ms):
            callers.append(self.submit(turn % len(self.world.dispatchers), **step))
            self.advance(every_ms)
        self.advance(600)
        return callers


class PlacingTest(EvacuationCase):
    """A domain is evacuated, and put back into use, under load."""

    def test_nothing_starts_there_and_all_jobs_succeed(self):
        self.load(400)
        self.assertGreater(self.count_starts("south"), 0)
        self.world.evacuate("south")
        self.advance(20)
        before = self.count_starts("south")
        callers = self.load(2_000)
        self.assertEqual(before, self.count_starts("south"))
        self.assertEqual({JobOutcome.SUCCEEDED}, {caller.outcome for caller in callers})
        self.assertEqual(0, self.count_refused())

    def test_started_runs_are_not_stopped(self):
        callers = [self.submit(dispatcher, 4, run_ms=700) for dispatcher in range(3)]
        self.advance(60)
        started = self.count_starts("south")
        self.assertGreater(started, 0)
        self.world.evacuate("south")
        self.advance(1_200)
        self.assertEqual({JobOutcome.SUCCEEDED}, {caller.outcome for caller in callers})
        self.assertEqual(started, self.count_starts("south"))

    def test_a_restored_domain_is_used_at_once(self):
        self.world.evacuate("south")
        self.advance(200)
        self.world.evacuate()
        self.advance(20)
        before = self.count_starts("south")
        self.load(400)
        self.assertGreater(self.count_starts("south"), before)

    def test_evacuations_of_one_and_two_domains_in_a_row(self):
        for domains in (("north",), (), ("north",), ("east",), ("east", "south"), ("south",)):
            with self.subTest(domains):
                self.world.evacuate(*domains)
                self.advance(20)
                before = [self.count_starts(domain) for domain in domains]
                callers = self.load(400)
                self.assertEqual(before, [self.count_starts(domain) for domain in domains])
                self.assertEqual({JobOutcome.SUCCEEDED}, {caller.outcome for caller in callers})

    def test_jobs_are_refused_while_all_domains_are_evacuated(self):
        self.world.evacuate(*DOMAINS)
        self.advance(100)
        caller = self.submit()
        self.advance(60)
        self.assertEqual(JobOutcome.REFUSED, caller.outcome)
        self.assertGreater(caller.result.retry_after_ms, 0)
        self.assertTrue(self.world.dispatcher.router.has_workers)
        self.world.evacuate()
        self.advance(60)
        caller = self.submit()
        self.advance(400)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)

    def test_a_domain_without_workers(self):
        self.world.evacuate("west")
        self.advance(20)
        self.assertEqual({JobOutcome.SUCCEEDED}, {one.outcome for one in self.load(200)})

    def test_waiting_jobs_run_elsewhere_or_are_refused(self):
        # All workers are busy, so that the jobs submitted in the domain wait at its dispatcher.
        self.load(400, every_ms=10, run_ms=400)
        callers = [self.submit(1, 1, run_ms=100) for _ in range(4)]
        self.world.evacuate("south")
        self.advance(20)
        before = self.count_starts("south")
        self.advance(3_000)
        self.assertEqual(before, self.count_starts("south"))
        outcomes = {caller.outcome for caller in callers}
        self.assertLessEqual(outcomes, {JobOutcome.SUCCEEDED, JobOutcome.REFUSED})
        self.assertNotIn(None, outcomes)


class StartedJobTest(EvacuationCase):
    """A job that has started in a domain when it is evacuated, with tasks still waiting."""

    group_workers = 6

    def test_the_waiting_tasks_run_elsewhere(self):
        # Each of six workers runs two tasks at once; six of the eighteen tasks have to wait.
        caller = self.submit(0, 18, run_ms=500)
        self.advance(60)
        self.world.evacuate("south")
        self.advance(20)
        before = self.count_starts("south")
        self.advance(2_500)
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
        self.assertEqual(before, self.count_starts("south"))


class AllOwnedWorkersTest(EvacuationCase):
    """A dispatcher with a half-finished job, all of whose own workers are evacuated."""

    def test_the_waiting_tasks_run_on_workers_of_other_dispatchers(self):
        caller = self.world.dispatchers[1].submit_locally(make_spec("half", 8, run_ms=400))
        self.advance(60)
        self.assertGreater(self.count_starts("south"), 0)
        owned = [v for v in self.world.dispatchers[1].dispatcher.fleet.views if v.is_owned]
        self.assertEqual({"south"}, {view.domain for view in owned})
        self.world.evacuate("south")
        self.advance(20)
        before = self.count_starts("south")
        self.advance(1_500)
        self.assertEqual(before, self.count_starts("south"))
        self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)


class OwnershipTest(EvacuationCase):
    """Ownership of the workers outside the evacuated domain."""

    workers = 12
    group_workers = 2.8

    def owned(self, dispatcher):
        views = [view for view in dispatcher.dispatcher.fleet.views if view.is_owned]
        return [view.domain for view in views if not view.is_evacuated]

    def test_a_dispatcher_in_the_domain_owns_its_share_of_the_other_workers(self):
        self.world.evacuate("south")
        self.advance(100)
        shares = [self.owned(dispatcher) for dispatcher in self.world.dispatchers]
        self.assertEqual([2, 3, 3], sorted(map(len, shares)))
        self.assertNotIn("south", sum(shares, []))
        self.world.evacuate()
        self.advance(100)
        self.assertEqual(["south"] * 4, self.owned(self.world.dispatchers[1]))


class RestartTest(EvacuationCase):
    """All processes restart after a power loss while a domain is evacuated."""

    def test_jobs_submitted_there_do_not_wait_for_evacuated_workers(self):
        self.world.evacuate("south")
        for dispatcher in self.world.dispatchers[:]:
            dispatcher.kill()
        old, self.world.dispatchers[:] = self.world.dispatchers[:], []
        for worker in self.world.workers:
            worker.kill()
        # Dispatchers restart before executors.
        for dispatcher in old:
            name = dispatcher.address.removeprefix("tcp://")
            self.world.dispatchers.append(
                SimulatedDispatcher(self.world, name, 2, domain=dispatcher.record.domain)
            )
        for dispatcher in self.world.dispatchers:
            for other in old:
                dispatcher.list_member(DISPATCHER_PREFIX + other.address, other.record)
            dispatcher.router.update_members()
        callers = [self.submit(1) for _ in range(3)]
        self.advance(40)
        for index, worker in enumerate(self.world.workers):
            self.world.workers[index] = SimulatedWorker(
                self.world, worker.name, 2, worker.minion, fence=100_000, domain=worker.domain
            )
            for dispatcher in self.world.dispatchers:
                # The store watch reports the executor's new key.
                dispatcher.dispatcher.fleet.handle_key_written(worker.address)
        before = self.count_starts("south")
        self.advance(600)
        self.assertEqual({JobOutcome.SUCCEEDED}, {caller.outcome for caller in callers})
        self.assertEqual(before, self.count_starts("south"))


class GuardTest(EvacuationCase):
    """Evacuations while some processes are cut off from the store."""

    def cut_off(self, *parts):
        for part in parts:
            part.is_cut_off = True

    def test_one_dispatcher_with_access_to_the_store_informs_the_others(self):
        self.cut_off(*self.world.dispatchers[1:], *self.world.workers)
        self.world.evacuate("south")
        self.advance(400)
        before = self.count_starts("south")
        callers = self.load(1_000)
        self.assertEqual(before, self.count_starts("south"))
        self.assertEqual({JobOutcome.SUCCEEDED}, {caller.outcome for caller in callers})

    def test_executors_read_the_store_when_all_dispatchers_are_cut_off(self):
        self.cut_off(*self.world.dispatchers)
        self.world.evacuate("south")
        self.advance(round(EVACUATION_MS))
        before = self.count_starts("south")
        self.load(1_000)
        self.assertEqual(before, self.count_starts("south"))

    def test_executors_use_the_last_known_list_when_all_processes_are_cut_off(self):
        self.cut_off(*self.world.dispatchers, *self.world.workers)
        callers = self.load(8_000, every_ms=200)
        self.assertEqual({JobOutcome.SUCCEEDED}, {caller.outcome for caller in callers})

    def test_a_new_executor_starts_nothing_in_the_evacuated_domain(self):
        self.cut_off(*self.world.dispatchers)
        self.world.evacuate("south")
        worker = next(each for each in self.world.workers if each.domain == "south")
        worker.kill()
        successor = SimulatedWorker(
            self.world, worker.name, 2, worker.minion, fence=100_000, domain=worker.domain
        )
        self.world.workers[self.world.workers.index(worker)] = successor
        before = len(worker.minion.started)
        self.load(1_000)
        self.assertEqual(before, len(worker.minion.started))

    def test_a_new_dispatcher_places_nothing_before_it_has_the_list(self):
        old = self.world.dispatchers[1]
        self.world.evacuate("south")
        self.advance(400)
        old.kill()
        self.world.dispatchers.remove(old)
        before = self.count_starts("south")
        SimulatedDispatcher.read_operators, original = (
            (lambda dispatcher: None),
            SimulatedDispatcher.read_operators,
        )
        self.addCleanup(setattr, SimulatedDispatcher, "read_operators", original)
        dispatcher = SimulatedDispatcher(self.world, "h1", 2, domain="south")
        self.world.dispatchers.append(dispatcher)
        self.assertFalse(dispatcher.evacuations.is_known)
        self.load(600)
        self.assertEqual(before, self.count_starts("south"))
        self.assertTrue(dispatcher.evacuations.is_evacuated("south"))

    def test_a_dispatcher_that_was_frozen_does_not_use_its_outdated_list(self):
        dispatcher = self.world.dispatchers[1]
        dispatcher.pause()
        self.world.network.pause(dispatcher.address)
        self.cut_off(dispatcher)
        self.world.evacuate("south")
        self.advance(round(EVACUATION_MS) + 1_000)
        dispatcher.resume()
        self.world.network.resume(dispatcher.address)
        before = self.count_starts("south")
        eventlet.sleep(0)
        self.load(800)
        self.assertEqual(before, self.count_starts("south"))


if __name__ == "__main__":
    unittest.main()
