"""Tests of the dispatcher; green sockets and timers are switched on here."""

import warnings

warnings.filterwarnings("ignore", category=DeprecationWarning, module="eventlet")

import eventlet  # noqa: E402

eventlet.monkey_patch()
