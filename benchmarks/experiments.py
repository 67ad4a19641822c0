"""Registry of the experiments by name."""

from collections.abc import Callable

from benchmarks.experiment_base import Row
from benchmarks.experiment_faults import (
    measure_faulty_minions,
    measure_process_faults,
    measure_restarts,
    measure_store,
)
from benchmarks.experiment_limits import (
    measure_cancellation,
    measure_fairness,
    measure_quotas,
)
from benchmarks.experiment_load import (
    measure_declared,
    measure_late_binding,
    measure_light,
    measure_overload,
    measure_placement,
)

EXPERIMENTS: dict[str, Callable[[], list[Row]]] = {
    "light": measure_light,
    "placement": measure_placement,
    "ahead": measure_late_binding,
    "declared": measure_declared,
    "overload": measure_overload,
    "quotas": measure_quotas,
    "fairness": measure_fairness,
    "minions": measure_faulty_minions,
    "unknown": measure_process_faults,
    "cancellation": measure_cancellation,
    "store": measure_store,
    "restarts": measure_restarts,
}
