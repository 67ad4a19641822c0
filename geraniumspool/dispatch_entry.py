"""The dispatcher's program: callers' listener, dispatcher, and what it learns from the store."""

import logging
from collections.abc import Callable

from geraniumspool.application import Application, ReadyLine
from geraniumspool.contracts import Change, Clock, Messenger, Snapshot, Store
from geraniumspool.counters import MemoryCounters
from geraniumspool.daemon_settings import DispatcherSettings
from geraniumspool.dispatch_agent import WORKER_PREFIX
from geraniumspool.dispatcher import Dispatcher
from geraniumspool.messages import WrongIncarnation
from geraniumspool.queues import QueueConfiguration, QueueTable
from geraniumspool.run_messages import WorkerReport
from geraniumspool.store_watch import StoreWatch
from geraniumspool.units import MS_PER_SECOND
from geraniumspool.webserver import WebServer

_LOG = logging.getLogger(__name__)

# A balancer that asks once a second stops sending callers after two misses.
NOTICE_MS = 2_600.0
# Left of the grace period for the last answers to leave.
ANSWER_MS = 700.0
CLOSE_MS = 350.0


class DispatchEntry(Application):
    """Serves callers' jobs.

    :ivar configuration: the queues in force
    """

    def __init__(
        self,
        settings: DispatcherSettings,
        clock: Clock,
        metrics: MemoryCounters,
        messenger: Messenger,
        store: Store,
        configuration_key: str,
        decode: Callable[[bytes], QueueTable | None],
    ):
        """Connect the parts.

        :param configuration_key: where the store holds the operators' configuration
        :param decode: reads its value
        """
        super().__init__(clock, metrics)
        self._settings = settings
        self._messenger = messenger
        self._key = configuration_key
        self._decode = decode
        self.configuration = QueueConfiguration()
        self.dispatcher = Dispatcher(clock, messenger.send, metrics, settings.domain)
        self.dispatcher.fleet.reset_link = messenger.reset
        self._addresses: set[str] = set()
        self._queues_watch = StoreWatch(
            store, configuration_key, clock, self._take_keys, self._take_queues
        )
        self._workers_watch = StoreWatch(
            store, WORKER_PREFIX, clock, self._take_workers, self._take_worker
        )
        self._servers: list[WebServer] = []
        self._leaving = False
        self._handlers = {
            WorkerReport: self.dispatcher.take_report,
            WrongIncarnation: lambda sender, _message: self.dispatcher.fleet.take_rejection(sender),
        }

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        if self._leaving or self.configuration.table is None:
            return False
        return any(view.is_usable for view in self.dispatcher.fleet.views)

    def serve(self, callers: WebServer, others: list[WebServer]) -> None:
        """Take the listeners to start and stop with this process.

        :param callers: the callers' listener, which is drained first
        """
        self._servers = [callers, *others]

    def start(self) -> None:
        """Bind listeners and start the green tasks."""
        self._messenger.start(self._receive)
        self._run(self._queues_watch.run)
        self._run(self._workers_watch.run)
        self._run(self.dispatcher.run_ticks)
        for server in self._servers:
            server.start()
        _LOG.info("started", extra={"fields": (("name", self._settings.name),)})

    def ready_line(self) -> ReadyLine:
        """Return the addresses to print once ready."""
        return ReadyLine(ready=self._settings.name, inbox=self._messenger.me.address)

    def drain(self) -> bool:
        """Leave: send callers elsewhere, finish what is at work, then close."""
        started = self._clock.now()
        last = started + self._settings.grace_s * MS_PER_SECOND - ANSWER_MS
        self._leaving = True
        self.dispatcher.ends_ms = last
        callers = self._servers[0]
        callers.retire()
        _LOG.info("leaving", extra={"fields": (("name", self._settings.name),)})
        self._clock.sleep(min(NOTICE_MS, last - started))
        done = self._wait_until(lambda: self.dispatcher.is_idle, last - self._clock.now())
        # What arrives while the listener closes would be cut off before its end.
        self.dispatcher.ends_ms = self._clock.now()
        self.dispatcher.abandon()
        callers.drain(CLOSE_MS)
        return done

    def stop(self) -> None:
        """End everything."""
        super().stop()
        for server in self._servers:
            server.stop()
        self._messenger.stop()
        _LOG.info("stopped", extra={"fields": (("name", self._settings.name),)})

    def _take_keys(self, snapshot: Snapshot) -> None:
        for pair in snapshot.pairs:
            self._take_queues(Change(pair.key, pair.value, pair.revision))

    def _take_queues(self, change: Change) -> None:
        if change.key != self._key or change.value is None:
            return
        table = self._decode(change.value)
        if table is not None:
            self.configuration.take(table)

    def _take_workers(self, snapshot: Snapshot) -> None:
        self._addresses = {pair.key.removeprefix(WORKER_PREFIX) for pair in snapshot.pairs}
        self.dispatcher.fleet.list_addresses(self._addresses)

    def _take_worker(self, change: Change) -> None:
        address = change.key.removeprefix(WORKER_PREFIX)
        if change.value is None:
            self._addresses.discard(address)
        else:
            self._addresses.add(address)
        self.dispatcher.fleet.list_addresses(self._addresses)
        if change.value is not None:
            self.dispatcher.fleet.note_written(address)
