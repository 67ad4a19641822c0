"""Tests that no task runs twice if a job's holder reaches executors but no other dispatcher."""

import unittest

from geraniumspool.job_specs import JobOutcome
from geraniumspool.registrations import DISPATCHER_PREFIX, WORKER_PREFIX
from tests.dispatch_world import QUEUE, DispatchWorld, SimulatedDispatcher, make_spec

STEP_MS = 5
# Much longer than the jobs take, so that none is refused because it would be late.
PATIENT = QUEUE._replace(objective_ms=3_000.0)
RUN_MS = 4_000
WAIT_MS = 8_000.0
# The partition begins while the first runs are in progress.
CUT_MS = 40
# Longer than a dead dispatcher counts as the holder of its jobs, shorter than the runs.
RESEND_MS = 2_800
# Time from a cut to the restart of a dispatcher, and from there until the job is sent again.
RESTART_MS = 200
SOON_MS = 1_300
# By then all dispatchers have removed a worker whose key in the store has expired.
UNLISTED_MS = 4_000


class UnheardHolderCase(unittest.TestCase):
    """Three dispatchers that own a worker each; the first one, with a running job, is cut off.

    :cvar tasks: number of the job's tasks, of which three fit on a worker
    :cvar run_ms: run time of these
    :cvar declared_ms: declared run time of the tasks, None for the real one
    :cvar wait_ms: how long callers wait for it
    """

    tasks = 4
    run_ms = RUN_MS
    declared_ms = None
    wait_ms = WAIT_MS

    def setUp(self):
        self.world = DispatchWorld(3, 3, group_workers=1)
        self.addCleanup(self.world.close)
        self.holder, *self.others = self.world.dispatchers
        declared_ms = self.declared_ms or self.run_ms
        self.spec = make_spec(
            "j", count=self.tasks, cpu=3_000, run_ms=self.run_ms, declared_ms=declared_ms
        )
        self.ran_twice = set()

    def advance(self, total_ms):
        """Let time pass, and collect the tasks that run twice at the same time."""
        for _ in range(int(total_ms // STEP_MS)):
            self.world.clock.advance(STEP_MS)
            self.ran_twice |= self.world.find_duplicate_runs()

    def start_job(self):
        self.holder.submit_locally(self.spec, PATIENT, self.wait_ms)
        self.advance(CUT_MS)
        self.assertEqual(1, self.world.start_count("j.0.0.0"))

    def partition(self):
        """Lose all messages between the holder and the other dispatchers."""
        for other in self.others:
            self.world.network.partition(self.holder.address, other.address)

    def cut_workers(self):
        """Cut the holder's workers off from the other dispatchers, but not from the holder."""
        self.start_job()
        self.partition()
        for worker in self.holder.peers.owned:
            for other in self.others:
                self.world.network.partition(worker, other.address)


class UnheardHolderTest(UnheardHolderCase):
    """The job is sent to another dispatcher while its holder goes on."""

    def lose_messages(self):
        self.start_job()
        self.partition()

    def close_connections(self):
        self.start_job()
        self.partition()
        for other in self.others:
            other.peers.is_connection_closed = lambda peer: peer.address == self.holder.address

    def restart_others(self):
        self.start_job()
        self.partition()
        for index in (1, 2):
            self.world.dispatchers[index].kill()
            self.world.dispatchers[index] = SimulatedDispatcher(
                self.world, f"h{index}", incarnation=2
            )

    def unlist_worker(self):
        """Let a worker's key in the store expire, while the holder still reaches the worker."""
        worker = next(iter(sorted(self.holder.peers.owned)))
        for dispatcher in self.world.dispatchers:
            dispatcher.unlist_member(WORKER_PREFIX + worker)
        self.advance(UNLISTED_MS)
        self.start_job()
        self.partition()

    def test_a_job_sent_to_another_dispatcher_has_no_task_run_twice(self):
        faults = (
            self.lose_messages,
            self.close_connections,
            self.restart_others,
            self.cut_workers,
            self.unlist_worker,
        )
        for fault in faults:
            for index in (1, 2):
                with self.subTest(fault.__name__, index=index):
                    self.doCleanups()
                    self.setUp()
                    fault()
                    self.advance(RESEND_MS)
                    self.world.dispatchers[index].submit(self.spec, PATIENT, WAIT_MS)
                    self.advance(WAIT_MS)
                    self.assertEqual(set(), self.ran_twice)


class RegionCase(UnheardHolderCase):
    """The holder is cut off together with its worker, which runs the job."""

    tasks = 3
    run_ms = 6_000
    declared_ms = 500
    wait_ms = 14_000.0

    def setUp(self):
        super().setUp()
        self.region = {self.holder.address, *self.holder.peers.owned}
        # From then on the holder asks no more arbiters than it needs.
        self.holder.submit_locally(make_spec("earlier", run_ms=10))
        self.advance(SOON_MS)

    def cut_region(self):
        """Cut the holder and its worker off from all others."""
        self.start_job()
        addresses = {part.address for part in (*self.world.workers, *self.world.dispatchers)}
        for inside in self.region:
            for outside in addresses - self.region:
                self.world.network.partition(inside, outside)

    def check(self, index):
        """Send the job again; return the outcome that its caller gets."""
        self.advance(SOON_MS)
        caller = self.world.dispatchers[index].submit(self.spec, PATIENT, self.wait_ms)
        self.advance(self.wait_ms)
        self.assertEqual(set(), self.ran_twice)
        return caller.outcome


class ResetConnectionTest(RegionCase):
    """Connections into the cut-off region are reset at one end, and cannot be opened again."""

    def test_a_reset_connection_does_not_show_the_end_of_a_process(self):
        for index in (1, 2):
            with self.subTest(index=index):
                self.doCleanups()
                self.setUp()
                self.cut_region()
                self.advance(RESTART_MS)
                for other in self.others:
                    other.messenger.is_connection_closed = lambda peer: peer.address in self.region
                self.assertEqual(JobOutcome.SUCCEEDED, self.check(index))


class UnlistedRegionTest(RegionCase):
    """The keys of the cut-off holder and of its worker are gone from the store."""

    run_ms = 9_000

    def test_executors_that_left_the_list_are_asked_while_a_lost_dispatcher_may_use_them(self):
        for fault in (self.unlist_before_cut, self.unlist_after_cut):
            for index in (1, 2):
                with self.subTest(fault.__name__, index=index):
                    self.doCleanups()
                    self.setUp()
                    fault()
                    self.assertEqual(JobOutcome.SUCCEEDED, self.check(index))

    def unlist_before_cut(self):
        self.unlist_region()
        self.advance(UNLISTED_MS)
        self.cut_region()

    def unlist_after_cut(self):
        self.cut_region()
        self.unlist_region()
        self.advance(UNLISTED_MS - SOON_MS)

    def unlist_region(self):
        for dispatcher in self.world.dispatchers:
            dispatcher.unlist_member(DISPATCHER_PREFIX + self.holder.address)
            for worker in self.region - {self.holder.address}:
                dispatcher.unlist_member(WORKER_PREFIX + worker)


class RestartedArbiterTest(RegionCase):
    """An arbiter whose grant counted for the holder's quorum restarts and forgets the grant.

    Neither the silence of the region nor the answers of an arbiter without memory show that nobody
    runs the job.
    """

    def restart_arbiter(self, number):
        self.cut_region()
        self.advance(RESTART_MS)
        self.world.dispatchers[number].kill()
        self.world.dispatchers[number] = SimulatedDispatcher(
            self.world, f"h{number}", incarnation=2
        )

    def unlist_holder(self):
        for other in self.world.dispatchers[1:]:
            other.unlist_member(DISPATCHER_PREFIX + self.holder.address)

    def check_each(self, *faults):
        """Check each arbiter that restarts, with the job sent to each dispatcher afterwards.

        :param faults: called after the restart
        """
        for restarted in (1, 2):
            for index in (1, 2):
                with self.subTest(restarted=restarted, index=index):
                    self.doCleanups()
                    self.setUp()
                    self.restart_arbiter(restarted)
                    for fault in faults:
                        fault()
                    self.check(index)

    def test_a_restarted_arbiter_does_not_prove_that_nobody_runs_the_job(self):
        self.check_each()

    def test_a_holder_that_is_no_longer_listed_may_still_run_the_job(self):
        """All dispatchers that the restarted arbiter finds have told it their claims."""
        self.check_each(self.unlist_holder)

    def test_the_job_is_served_once_the_holder_must_have_given_it_up(self):
        """Long before its caller's limit, and without hearing from the holder."""
        self.restart_arbiter(1)
        self.unlist_holder()
        self.assertEqual(JobOutcome.SUCCEEDED, self.check(2))


class UnheardExecutorTest(unittest.TestCase):
    """All dispatchers die, and their next incarnations cannot reach an executor with runs."""

    def test_new_runs_wait_for_runs_that_cannot_be_stopped(self):
        for fault in ("none", "stops not heard", "calls not answered", "silent"):
            with self.subTest(fault=fault):
                world = DispatchWorld(3, 3, group_workers=1)
                self.addCleanup(world.close)
                spec = make_spec("j", count=3, cpu=3_000, run_ms=RUN_MS)
                world.dispatchers[0].submit_locally(spec, PATIENT, WAIT_MS)
                world.clock.advance(CUT_MS)
                worker = next(candidate for candidate in world.workers if candidate.minion.running)
                worker.minion.ignored_calls = {"stop"} if fault == "stops not heard" else set()
                worker.minion.loses_answers = fault == "calls not answered"
                worker.minion.is_silent = fault == "silent"
                for dispatcher in world.dispatchers:
                    dispatcher.kill()
                    world.network.partition(worker.address, dispatcher.address)
                world.dispatchers[:] = [
                    SimulatedDispatcher(world, f"h{index}", incarnation=2) for index in range(3)
                ]
                world.clock.advance(CUT_MS)
                world.dispatchers[1].submit(spec, PATIENT, WAIT_MS)
                for _ in range(int(WAIT_MS // STEP_MS)):
                    world.clock.advance(STEP_MS)
                    self.assertEqual(set(), world.find_duplicate_runs())
