"""Report outcomes and capacity of a worker to dispatchers, outcomes first."""

from collections.abc import Callable

import eventlet

from geraniumspool import run_progress
from geraniumspool.contracts import Clock
from geraniumspool.messages import Message, Peer
from geraniumspool.run_messages import WorkerReport, WorkerState
from geraniumspool.run_table import KnownDispatcher, RunTable

# Delay of a report of outcomes, so that several outcomes share one report.
END_REPORT_DELAY_MS = 2.0
# With n dispatchers, changes of capacity are reported at most once per n * n times this interval.
# Capacity that has not been reported stays unused, so the interval is short; it grows with n so
# that the total load of reports on each dispatcher falls as their number rises.
CHANGE_REPORT_INTERVAL_MS = 1.0


class WorkerReporter:
    """Decide when to send a report to which dispatcher.

    Outcomes of runs are reported almost at once, changes of capacity with a delay that limits the
    load on dispatchers.
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        table: RunTable,
        get_state: Callable[[], WorkerState],
    ):
        """Store the collaborators.

        :param clock: source of time
        :param send: queues a message to a dispatcher
        :param table: the worker's runs and its dispatchers
        :param get_state: returns the current state and capacity of the worker
        """
        self._clock = clock
        self._send = send
        self._table = table
        self._get_state = get_state
        self._is_report_scheduled = False

    def schedule_change_reports(self) -> None:
        """Schedule reports to all dispatchers because the free capacity has changed."""
        for dispatcher in self._table.dispatchers.values():
            dispatcher.is_state_reported = False
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            eventlet.spawn_n(self._report_changes)

    def schedule_end_report(self, dispatcher: KnownDispatcher) -> None:
        """Schedule a report of outcomes that also includes those that follow shortly."""
        if len(dispatcher.unreported_ends) == 1:
            self._clock.after(
                END_REPORT_DELAY_MS,
                lambda: self.report_to(dispatcher) if dispatcher.unreported_ends else None,
            )

    def report_to_all(self) -> None:
        """Send a report to every dispatcher now."""
        for dispatcher in list(self._table.dispatchers.values()):
            self.report_to(dispatcher)

    def report_to(self, dispatcher: KnownDispatcher) -> None:
        """Send a report to one dispatcher now."""
        ends = tuple(dispatcher.unreported_ends)
        dispatcher.unreported_ends.clear()
        dispatcher.is_state_reported = True
        now = self._clock.now()
        stragglers = run_progress.find_stragglers(dispatcher.runs.values(), now)
        report = WorkerReport(now, dispatcher.highest_number, ends, self._get_state(), stragglers)
        self._send(dispatcher.peer, report)

    def _report_changes(self) -> None:
        pause = CHANGE_REPORT_INTERVAL_MS * max(1, len(self._table.dispatchers)) ** 2
        self._clock.sleep(pause)
        self._is_report_scheduled = False
        now = self._clock.now()
        for dispatcher in list(self._table.dispatchers.values()):
            if not dispatcher.is_state_reported and dispatcher.lease_until_ms > now:
                self.report_to(dispatcher)
