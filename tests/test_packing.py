"""Tests of the choice of a worker."""

import math
import unittest
from collections import Counter
from typing import NamedTuple

from geraniumspool import packing
from geraniumspool.job_specs import StepSpec
from geraniumspool.packing import PlacementRequest
from geraniumspool.rooms import Resources


class FakeWorker(NamedTuple):
    """A candidate worker with fixed properties."""

    name: str = "w"
    free: Resources = Resources(10_000, 1_000)
    capacity: Resources = Resources(10_000, 1_000)
    pace: float = 1.0
    domain: str = "north"
    rack: str = "r1"
    labels: tuple[str, ...] = ("a", "r1")
    is_usable: bool = True
    departs_ms: float = math.inf


def choose(workers, step=None, expected_ms=100.0, within_ms=1_000.0, taken=None):
    """Return the place chosen for a task, which needs 4 cores unless ``step`` is given."""
    step = step or StepSpec(1, Resources(4_000, 10))
    request = PlacementRequest(step, expected_ms, within_ms, "north", taken or {})
    return packing.choose_worker(workers, request)


class ChoiceTest(unittest.TestCase):
    """Choice of the worker for a task."""

    def test_workers_that_cannot_run_the_task_are_skipped(self):
        step = StepSpec(1, Resources(4_000, 10), label="a", per_worker=2)
        full = FakeWorker()
        rows = [
            ("not usable", FakeWorker(is_usable=False), {}),
            ("too small", FakeWorker(capacity=Resources(3_000, 1_000)), {}),
            ("too little memory", FakeWorker(capacity=Resources(10_000, 5)), {}),
            ("without the label", FakeWorker(labels=("b",)), {}),
            ("too slow", FakeWorker(pace=11.0), {}),
            ("at the limit of tasks of the step", full, {id(full): 2}),
        ]
        for name, worker, taken in rows:
            with self.subTest(name):
                self.assertIsNone(choose([worker], step, taken=taken))

    def test_a_slow_worker_gets_no_task_while_another_has_free_capacity(self):
        chosen = Counter(
            choose([FakeWorker("slow", pace=6.0), FakeWorker("usual")]).worker.name
            for _ in range(50)
        )
        self.assertEqual({"usual": 50}, chosen)

    def test_equal_workers_share_tasks(self):
        chosen = Counter(choose([FakeWorker("a"), FakeWorker("b")]).worker.name for _ in range(400))
        self.assertGreater(min(chosen.values()), 120)

    def test_an_emptier_worker_goes_before_a_slightly_faster_one(self):
        fast = FakeWorker("fast", pace=0.8, free=Resources(4_500, 1_000))
        empty = FakeWorker("empty", pace=1.0)
        self.assertEqual("empty", choose([fast, empty]).worker.name)

    def test_a_task_goes_to_the_rack_of_its_data(self):
        step = StepSpec(1, Resources(4_000, 10), rack="r2")
        near = FakeWorker("near", rack="r2")
        self.assertEqual("near", choose([FakeWorker("far"), near], step).worker.name)

    def test_no_task_is_sent_to_a_worker_before_capacity_is_free(self):
        busy = FakeWorker("busy", free=Resources(3_500, 1_000))
        self.assertIsNone(choose([busy]))
        self.assertEqual("free", choose([busy, FakeWorker("free")]).worker.name)
        queued = FakeWorker("queued", free=Resources(2_500, 1_000))
        self.assertIsNone(choose([queued]))
        self.assertIsNone(choose([queued, busy]))


class FastWorkersTest(unittest.TestCase):
    """Fast workers, which are left for tasks that are on time only there.

    Urgent short tasks otherwise fill them first, and long tasks, which take too long on the other
    workers, find no capacity.
    """

    def choose(self, expected_ms, on_time_ms, workers=None, within_ms=2_000.0):
        workers = workers or [FakeWorker("fast", pace=0.6), FakeWorker("slow", pace=1.4)]
        step = StepSpec(1, Resources(1_000, 10))
        request = PlacementRequest(
            step, expected_ms, within_ms, "north", {}, 0.0, on_time_ms=on_time_ms
        )
        return {packing.choose_worker(workers, request).worker.name for _ in range(50)}

    def test_a_task_that_is_on_time_anywhere_takes_a_slow_worker(self):
        self.assertEqual({"slow"}, self.choose(100.0, 200.0))

    def test_a_task_that_is_on_time_only_there_takes_a_fast_worker(self):
        self.assertEqual({"fast"}, self.choose(100.0, 130.0))

    def test_a_late_task_takes_the_fastest_worker(self):
        for on_time_ms in (50.0, 0.0, -20.0):
            with self.subTest(on_time_ms=on_time_ms):
                self.assertEqual({"fast"}, self.choose(100.0, on_time_ms))

    def test_a_fast_worker_is_used_once_the_slow_ones_are_full(self):
        full = FakeWorker("slow", pace=1.4, free=Resources(500, 1_000))
        self.assertEqual({"fast"}, self.choose(100.0, 200.0, [FakeWorker("fast", pace=0.6), full]))

    def test_a_job_needs_fast_workers_if_it_is_late_on_usual_ones(self):
        workers = [FakeWorker(pace=pace) for pace in (1.4, 0.6, 0.0)]
        rows = [
            (100.0, 200.0, workers, 1.0),
            (100.0, 90.0, workers, 0.6),
            (100.0, -10.0, workers, 0.6),
            (100.0, 90.0, [FakeWorker(pace=1.4)], 1.0),
            (100.0, 90.0, [], 1.0),
        ]
        for run_ms, on_time_ms, candidates, expected in rows:
            with self.subTest(run_ms=run_ms, on_time_ms=on_time_ms):
                pace = packing.find_needed_pace(run_ms, on_time_ms, candidates)
                self.assertEqual(expected, pace)

    def test_workers_of_equal_speed_share_tasks(self):
        workers = [FakeWorker("a"), FakeWorker("b")]
        self.assertEqual({"a", "b"}, self.choose(100.0, 200.0, workers))


if __name__ == "__main__":
    unittest.main()
