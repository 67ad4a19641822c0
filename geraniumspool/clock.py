"""Clocks in milliseconds: the system clock and a manual one for tests."""

import heapq
import itertools
import time
from collections.abc import Callable

import eventlet
from eventlet import hubs
from eventlet.event import Event

from geraniumspool.process_start import STEADY_CLOCK
from geraniumspool.units import MS_PER_SECOND


class Timer:
    """Callback scheduled by a clock, which can be cancelled."""

    def __init__(self, callback: Callable[[], None]):
        """Create a timer that is not cancelled.

        :param callback: function to call when the timer fires; must not block
        """
        self._callback = callback
        self._cancelled = False

    def cancel(self) -> None:
        """Prevent the callback from being called."""
        self._cancelled = True

    def fire(self) -> None:
        """Call the callback unless the timer was cancelled or has fired already."""
        if not self._cancelled:
            self._cancelled = True
            self._callback()


class BaseClock:
    """Base of all clocks: implements waiting with ``now``, ``wall_ms`` and ``after``."""

    def now(self) -> float:
        """Return monotonic time in milliseconds."""
        raise NotImplementedError

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since the Unix epoch."""
        raise NotImplementedError

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a call of ``callback`` in ``delay_ms`` milliseconds.

        :param delay_ms: delay in milliseconds
        :param callback: function to call; must not block
        :returns: timer with which the call can be cancelled
        """
        raise NotImplementedError

    def sleep(self, delay_ms: float) -> None:
        """Suspend the calling green thread for ``delay_ms`` milliseconds."""
        event = Event()
        self.after(delay_ms, event.send)
        event.wait()

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Wait until ``event`` is sent, but at most ``timeout_ms`` milliseconds.

        :param event: event to wait for; it keeps its value
        :param timeout_ms: timeout in milliseconds
        :returns: whether the event was sent in time
        """
        if event.ready():
            return True
        woken = Event()

        def wake(*_args) -> None:
            if not woken.ready():
                woken.send()

        timer = self.after(timeout_ms, wake)
        waiter = eventlet.spawn(_wake_after, event, wake)
        woken.wait()
        timer.cancel()
        if not event.ready():
            waiter.kill()
            return False
        return True


def _wake_after(event: Event, wake: Callable[[], None]) -> None:
    try:
        event.wait()
    finally:
        wake()


class SystemClock(BaseClock):
    """Clock of the operating system.

    Where supported, its monotonic time also advances while the machine is suspended.
    """

    def now(self) -> float:
        """Return monotonic time in milliseconds."""
        return time.clock_gettime(STEADY_CLOCK) * MS_PER_SECOND

    def wall_ms(self) -> int:
        """Return wall-clock time in milliseconds since the Unix epoch."""
        return int(time.time() * MS_PER_SECOND)

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a call of ``callback`` by eventlet's hub in ``delay_ms`` milliseconds."""
        timer = Timer(callback)
        hubs.get_hub().schedule_call_global(max(0.0, delay_ms) / MS_PER_SECOND, timer.fire)
        return timer

    def sleep(self, delay_ms: float) -> None:
        """Suspend the calling green thread for ``delay_ms`` milliseconds."""
        eventlet.sleep(delay_ms / MS_PER_SECOND)

    def wait(self, event: Event, timeout_ms: float) -> bool:
        """Wait for ``event``; return whether it was sent within ``timeout_ms`` milliseconds."""
        event.wait(timeout=max(0.0, timeout_ms) / MS_PER_SECOND)
        return event.ready()


class ManualClock(BaseClock):
    """Clock for tests whose time changes only by :meth:`advance`.

    :cvar MAX_READY_ROUNDS: maximum number of hub rounds per call of :meth:`run_ready_threads`
    """

    MAX_READY_ROUNDS = 20

    def __init__(self, start_ms: float = 1_000_000.0):
        """Set both the monotonic and the wall-clock time to ``start_ms`` milliseconds."""
        self._now = start_ms
        self._scheduled: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def now(self) -> float:
        """Return the clock's current time in milliseconds."""
        return self._now

    def wall_ms(self) -> int:
        """Return the same time as :meth:`now`, in whole milliseconds."""
        return int(self._now)

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule ``callback`` for when the clock has advanced by ``delay_ms`` milliseconds."""
        timer = Timer(callback)
        due = self._now + max(0.0, delay_ms)
        heapq.heappush(self._scheduled, (due, next(self._sequence), timer))
        return timer

    def advance(self, delay_ms: float) -> None:
        """Advance the clock; fire due timers in order and let green threads run after each.

        :param delay_ms: time to advance by, in milliseconds
        """
        target = self._now + delay_ms
        self.run_ready_threads()
        while self._scheduled and self._scheduled[0][0] <= target:
            self._now, _, timer = heapq.heappop(self._scheduled)
            timer.fire()
            self.run_ready_threads()
        self._now = target
        self.run_ready_threads()

    def run_ready_threads(self) -> None:
        """Let all green threads that are ready run."""
        hub = hubs.get_hub()
        for _ in range(self.MAX_READY_ROUNDS):
            eventlet.sleep(0)
            # No green thread is ready; the early return halves the run time of tests.
            if not hub.next_timers and (not hub.timers or hub.timers[0][0] > hub.clock()):
                return
