"""Benchmarks of the dispatcher. Importing the package monkey-patches the standard library."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()
