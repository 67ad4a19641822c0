"""Tests of the factor by which tasks take longer away from their data.

With a factor that is too low, tasks go to free workers far from their data, where they then take
too long; with one that is too high, they wait for workers near it that are busy.
"""

import random
import unittest

from geraniumspool import packing
from geraniumspool.data_locality import (
    DEFAULT_REMOTE_DATA_FACTOR,
    REMOTE_DATA_PENALTY_MS,
    RemoteDataFactor,
)
from geraniumspool.job_specs import JobOutcome, StepSpec
from geraniumspool.owner_choice import choose_owner, describe_job
from geraniumspool.packing import PlacementRequest
from geraniumspool.rooms import Resources
from tests.dispatch_world import QUEUE, DispatchWorld, SimulatedDispatcher, make_spec
from tests.test_owner_choice import make_option
from tests.test_packing import FakeWorker

NEAR, FAR = "r1", "r2"


def observe(factor, actual, runs=400, local_error=1.0, seed=1):
    """Record runs near the data and away from it, 3% of which take seven times as long.

    :param actual: factor by which runs away from the data really take longer
    :param local_error: actual by predicted run times near the data
    """
    draw = random.Random(seed)
    for number in range(runs):
        is_remote = number % 2 == 0
        predicted_ms = 100.0 * (factor.value if is_remote else 1.0)
        ran_ms = 100.0 * (actual if is_remote else 1.0) * local_error * draw.uniform(0.7, 1.3)
        if draw.random() < 0.03:
            ran_ms *= 7
        factor.record("scan", is_remote, predicted_ms, ran_ms)
    return factor.value


def use_settings(dispatcher, remote_data_factor=None, run_times_by_queue=False):
    """Give a simulated dispatcher settings before it has run anything."""
    dispatcher.remote_data.__init__(remote_data_factor)
    dispatcher.learner.is_by_queue = run_times_by_queue


class FactorTest(unittest.TestCase):
    """Correction of the factor by observed run times."""

    def test_without_a_setting_it_is_not_corrected(self):
        factor = RemoteDataFactor()
        self.assertEqual(DEFAULT_REMOTE_DATA_FACTOR, observe(factor, 3.0))
        self.assertEqual(REMOTE_DATA_PENALTY_MS, factor.remote_penalty_ms(1_800.0))

    def test_it_follows_the_observed_run_times_within_its_limits(self):
        rows = [
            # Setting, actual factor, expected factor.
            (1.5, 1.5, 1.5),
            (3.0, 3.0, 3.0),
            (1.5, 2.4, 2.4),
            (3.0, 2.0, 2.0),
            (3.0, 1.0, 1.5),
            (1.5, 6.0, 3.0),
            (1.5, 0.5, 1.0),
            (1.0, 1.6, 1.6),
        ]
        for setting, actual, expected in rows:
            for seed in range(4):
                with self.subTest(setting=setting, actual=actual, seed=seed):
                    value = observe(RemoteDataFactor(setting), actual, seed=seed)
                    self.assertAlmostEqual(expected, value, delta=0.2 * expected)

    def test_errors_that_local_runs_share_do_not_change_it(self):
        """Callers who declare half of their run times do not make remote data look expensive."""
        for error in (0.5, 2.0):
            with self.subTest(error=error):
                value = observe(RemoteDataFactor(2.0), 2.0, runs=1_000, local_error=error)
                self.assertAlmostEqual(2.0, value, delta=0.4)

    def test_a_single_run_changes_little(self):
        factor = RemoteDataFactor(2.0)
        self.assertFalse(factor.record("scan", True, 100.0, 1e9))
        self.assertLess(factor.value, 2.2)
        for predicted_ms, ran_ms in ((0.0, 100.0), (100.0, 0.0), (100.0, -1.0)):
            factor.record("scan", True, predicted_ms, ran_ms)
        self.assertEqual(1, factor.samples)

    def test_a_change_by_a_tenth_is_reported_once(self):
        factor = RemoteDataFactor(2.0)
        reported = [factor.record("scan", True, 100.0, 200.0) for _ in range(8)]
        self.assertEqual(1, reported.count(True))

    def test_what_a_job_loses_away_from_its_data(self):
        """With a factor of 1.5 it is at most as much as before there was a setting."""
        rows = [
            (1.5, 120.0, 60.0),
            (1.5, 1_800.0, REMOTE_DATA_PENALTY_MS),
            (3.0, 120.0, 240.0),
            (3.0, 1_800.0, 3_600.0),
            (1.0, 1_800.0, 0.0),
        ]
        for setting, run_ms, expected in rows:
            with self.subTest(setting=setting, run_ms=run_ms):
                lost_ms = RemoteDataFactor(setting).remote_penalty_ms(run_ms)
                self.assertAlmostEqual(expected, lost_ms)


class ChoiceTest(unittest.TestCase):
    """Choices of workers and owners by the factor."""

    def choose(self, factor):
        """Return the rack of the worker chosen: a slow one near the data or a usual one far."""
        step = StepSpec(1, Resources(4_000, 10), rack=NEAR)
        workers = [FakeWorker("slow", pace=2.0, rack=NEAR), FakeWorker("usual", rack=FAR)]
        request = PlacementRequest(step, 100.0, 1_000.0, "north", {}, 0.0, factor)
        return packing.choose_worker(workers, request).worker.rack

    def test_the_factor_decides_between_a_slow_worker_and_remote_data(self):
        self.assertEqual([FAR, NEAR], [self.choose(1.5), self.choose(3.0)])

    def test_a_job_away_from_its_data_may_be_too_late(self):
        step = StepSpec(1, Resources(4_000, 10), rack=NEAR)
        request = PlacementRequest(step, 100.0, 250.0, "north", {}, 0.0, 3.0)
        self.assertIsNone(packing.choose_worker([FakeWorker(rack=FAR)], request))

    def test_a_job_waits_near_its_data_for_up_to_what_it_loses_elsewhere(self):
        near = make_option("near", 20_000.0, in_time=(2.5e7, 0.0, 0.0, 0.0))
        far = make_option("far", 20_000.0)
        far = far._replace(load=far.load._replace(racks=(FAR,)))
        spec = make_spec("j", run_ms=300, rack=NEAR)
        for setting, expected in ((None, "far"), (1.5, "far"), (3.0, "near")):
            with self.subTest(setting=setting):
                request = describe_job(spec, QUEUE, RemoteDataFactor(setting))
                self.assertEqual(expected, choose_owner([near, far], request, "north").owner)


class LearningTest(unittest.TestCase):
    """A dispatcher with a setting, and workers in two racks."""

    def run_jobs(self, setting):
        """Run jobs whose data is near half of the workers; return the dispatcher and workers."""
        world = DispatchWorld(4, 0)
        self.addCleanup(world.close)
        for number, worker in enumerate(world.workers):
            minion = worker.minion
            rack = (NEAR, FAR)[number % 2]
            minion.incarnation = minion.incarnation._replace(labels=("a", rack), sequence=2)
            minion.slow_factor = 1.0 if rack == NEAR else 2.6
            worker.executor.handle_minion_report(minion.incarnation)
        simulated = SimulatedDispatcher(world, "h0")
        dispatcher = simulated.dispatcher
        use_settings(dispatcher, setting)
        simulated.router.update_members()
        world.clock.advance(200)
        callers = []
        for number in range(100):
            callers.append(simulated.submit(make_spec(f"j{number}", 6, rack=NEAR)))
            world.clock.advance(400)
            # Data near the other workers, so that their own speed shows as well.
            local = make_spec(f"k{number}", 2, run_ms=100 / 2.6, declared_ms=100, rack=FAR)
            callers.append(simulated.submit(local))
            world.clock.advance(300)
        world.clock.advance(2_000)
        self.assertEqual({JobOutcome.SUCCEEDED}, {caller.outcome for caller in callers})
        return dispatcher, world.workers

    def test_the_factor_is_corrected_and_not_taken_for_slowness(self):
        """Executors of remote workers would otherwise report a pace that includes the distance."""
        dispatcher, workers = self.run_jobs(1.5)
        data = dispatcher.remote_data
        self.assertGreater(data.samples, 20)
        self.assertAlmostEqual(2.6, data.value, delta=0.4)
        self.assertLess(max(worker.executor.state().pace for worker in workers), 1.25)
        self.assertGreater(dispatcher._counters.get("remote_factor_changes"), 0)

    def test_without_a_setting_nothing_is_learnt(self):
        dispatcher, _workers = self.run_jobs(None)
        self.assertEqual((1.5, 0), (dispatcher.remote_data.value, dispatcher.remote_data.samples))


if __name__ == "__main__":
    unittest.main()
