"""Experiments without faults: light load, placement, declared run times, overload."""

import functools
import random
from typing import NamedTuple

from benchmarks.experiment_base import (
    PolicyMeasurement,
    Row,
    ScheduledSlice,
    measure_trip,
    open_systems,
    run_slices,
)
from geraniumspool.workload import (
    DECLARED_EXACT,
    DECLARED_NONE,
    DECLARED_WRONG,
    MIXES,
    Burst,
    JobPlan,
    Mix,
)

HIGH_LOAD_SHARE = 0.8
LIGHT_SHARE = 0.05
OVERLOAD_SHARE = 1.5
BURST_BASE_SHARE = 0.4
SLICES = 2
PLACEMENT_SLICES = 3
SLICE_S = 10.0
LIGHT_SLICE_S = 6.0
OVERLOAD_S = 20.0
BURST_S = 14.0


class Policy(NamedTuple):
    """A placement policy.

    :param settings: agent settings that select it
    :param chosen: whether it is the one in use
    """

    name: str
    settings: dict
    chosen: bool = False


# Without late binding tasks wait at the workers, so these need long queues.
CHOSEN = Policy("late", {}, True)
RANDOM = Policy("random", {"placement": "random", "queue_per_slot": 100})
LEAST = Policy("least", {"placement": "least", "queue_per_slot": 100})
TWO = Policy("two", {"placement": "two", "queue_per_slot": 100})
HALF_AHEAD = Policy("late, 0.5 ahead", {"ahead_per_slot": 0.5})
TWO_AHEAD = Policy("late, 2 ahead", {"ahead_per_slot": 2})
SHORT_HOLD = Policy("late, results held 100 ms", {"result_hold_ms": 100})


def _compare(
    experiment: str, policies: list[Policy], seconds: float, slices: int = SLICES, **options
) -> list[Row]:
    """Measure policies on parallel systems, each with the same slices of load in turn."""
    with open_systems(*(policy.settings for policy in policies)) as systems:
        one_way_delay_ms = measure_trip(systems[0])
        measurements = [
            PolicyMeasurement(system, experiment, policy.name, policy.chosen, one_way_delay_ms)
            for system, policy in zip(systems, policies, strict=True)
        ]
        run_slices(
            ScheduledSlice(
                measurement.system,
                seconds,
                functools.partial(measurement.run, seconds, seed=seed, **options),
            )
            for seed in range(1, slices + 1)
            for measurement in measurements
        )
        return [measurement.row(trip_ms=round(one_way_delay_ms, 3)) for measurement in measurements]


def measure_light() -> list[Row]:
    """Measure single short tasks at a light load."""
    policies = [CHOSEN, RANDOM, TWO]
    return _compare("light", policies, LIGHT_SLICE_S, mix="light", load_share=LIGHT_SHARE)


def measure_placement() -> list[Row]:
    """Compare placement policies at a high load."""
    policies = [CHOSEN, RANDOM, LEAST, TWO]
    options = {"slices": PLACEMENT_SLICES, "mix": "brief", "load_share": HIGH_LOAD_SHARE}
    return _compare("placement", policies, SLICE_S, **options)


def measure_late_binding() -> list[Row]:
    """Compare settings of late binding and of result batching at a high load."""
    policies = [CHOSEN, HALF_AHEAD, TWO_AHEAD, SHORT_HOLD]
    return _compare("ahead", policies, SLICE_S, mix="brief", load_share=HIGH_LOAD_SHARE)


def measure_declared() -> list[Row]:
    """Compare exact, wrong and no declared run times."""
    kinds = (DECLARED_EXACT, DECLARED_WRONG, DECLARED_NONE)
    with open_systems({}, {}, {}) as systems:
        one_way_delay_ms = measure_trip(systems[0])
        measurements = [
            PolicyMeasurement(system, "declared", f"declared {kind}", True, one_way_delay_ms)
            for system, kind in zip(systems, kinds, strict=True)
        ]
        run_slices(
            ScheduledSlice(
                measurement.system,
                SLICE_S,
                functools.partial(_run_declared, measurement, kind, seed),
            )
            for seed in range(1, SLICES + 1)
            for measurement, kind in zip(measurements, kinds, strict=True)
        )
        return [measurement.row() for measurement in measurements]


class _RedeclaredMix(NamedTuple):
    """Mix that draws the same jobs as another one, but replaces their declared run times.

    :param kind: one of the ``DECLARED_`` constants
    """

    mix: Mix
    kind: str

    @property
    def mean_work_ms(self) -> float:
        return self.mix.mean_work_ms

    def draw(self, rng: random.Random, team: str) -> JobPlan:
        plan = self.mix.draw(rng, team)
        if self.kind == DECLARED_WRONG:
            return plan
        is_exact = self.kind == DECLARED_EXACT
        tasks = [task._replace(declared_ms=task.run_ms * is_exact) for task in plan.tasks]
        return plan._replace(tasks=tuple(tasks))


def _run_declared(measurement: PolicyMeasurement, kind: str, seed: int) -> None:
    mix = _RedeclaredMix(MIXES["brief"], kind)
    measurement.run(SLICE_S, seed=seed, mix=mix, load_share=HIGH_LOAD_SHARE)


def measure_overload() -> list[Row]:
    """Measure lasting overload, and a burst that exceeds the capacity."""
    policies = [CHOSEN, RANDOM]
    burst = Burst(4_000, 2_000)
    lasting_load = {"watch": True, "mix": "brief", "load_share": OVERLOAD_SHARE}
    burst_load = {"mix": "brief", "load_share": BURST_BASE_SHARE, "bursts": (burst,)}
    slices = (("overload", OVERLOAD_S, lasting_load), ("burst", BURST_S, burst_load))
    with open_systems(*(policy.settings for policy in policies)) as systems:
        one_way_delay_ms = measure_trip(systems[0])
        measurements, turns = [], []
        for name, seconds, options in slices:
            for system, policy in zip(systems, policies, strict=True):
                measurement = PolicyMeasurement(
                    system, name, policy.name, policy.chosen, one_way_delay_ms
                )
                measurements.append(measurement)
                turns.append(
                    ScheduledSlice(
                        system, seconds, functools.partial(measurement.run, seconds, **options)
                    )
                )
        run_slices(turns)
        return [measurement.row() for measurement in measurements]
