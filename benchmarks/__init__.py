"""Measurements of the dispatcher; green sockets and timers are switched on here."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()
