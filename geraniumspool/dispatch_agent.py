"""The executor process: minion listener, executor, and the worker's key in the store."""

import logging

import eventlet

from geraniumspool.application import Application, ReadyLine
from geraniumspool.claim_messages import FenceJobs, RelayClaims
from geraniumspool.contracts import Clock, Messenger, MinionControl, MinionIncarnation, Store
from geraniumspool.counters import MemoryCounters
from geraniumspool.daemon_settings import ExecutorSettings
from geraniumspool.evacuation_guard import DEFAULT_EVACUATION_MS, EvacuationGuard
from geraniumspool.evacuations import Evacuations
from geraniumspool.executor import Executor
from geraniumspool.leased_key import LeasedKey
from geraniumspool.messages import Message, Peer, WrongIncarnation
from geraniumspool.registrations import (
    KEY_TTL_MS,
    WORKER_PREFIX,
    WorkerRecord,
    decode_record,
    encode_record,
)
from geraniumspool.run_messages import RenewRuns, StartRuns, StopRuns
from geraniumspool.units import MS_PER_SECOND
from geraniumspool.webserver import WebServer

_LOG = logging.getLogger(__name__)

# Part of the grace period that is reserved for stopping runs that haven't ended by then.
STOP_GRACE_MS = 900.0
# Time limit for these runs to end after they were told to stop.
STOP_WAIT_MS = 500.0


class ExecutorProcess(Application):
    """Run an executor process, which runs tasks on one minion."""

    def __init__(
        self,
        settings: ExecutorSettings,
        clock: Clock,
        metrics: MemoryCounters,
        messenger: Messenger,
        store: Store,
        control: MinionControl,
        evacuations_prefix: str,
        started_ms: float | None = None,
    ):
        """Create the components of the process and connect them.

        :param evacuations_prefix: prefix of the store's keys for evacuated failure domains
        :param started_ms: clock time in ms at which the process started, now if not given
        """
        super().__init__(clock, metrics)
        self._settings = settings
        self._messenger = messenger
        self.guard = EvacuationGuard(
            clock,
            settings.domain,
            Evacuations(clock, metrics),
            lambda: store.list(evacuations_prefix),
            evacuations_prefix,
            settings.evacuation_ms or DEFAULT_EVACUATION_MS,
        )
        self.executor = Executor(
            clock,
            control,
            messenger.send,
            metrics,
            settings.domain,
            clock.wall_ms(),
            self.guard,
            started_ms,
        )
        address = messenger.local_peer.address
        record = encode_record(WorkerRecord(settings.domain))
        self._key = LeasedKey(store, clock, WORKER_PREFIX + address, record, KEY_TTL_MS)
        self.executor.incarnations.on_incarnation = self._store_incarnation
        self._servers: list[WebServer] = []
        self._handlers = {
            StartRuns: self.executor.handle_start,
            StopRuns: self.executor.handle_stop,
            RenewRuns: self._take_renewal,
            FenceJobs: self.executor.job_fences.handle_fence_jobs,
            RelayClaims: self.executor.job_fences.handle_relay_claims,
            WrongIncarnation: self._handle_wrong_incarnation,
        }

    def serve(self, servers: list[WebServer]) -> None:
        """Set the listeners that start and stop with this process."""
        self._servers = servers

    def start(self) -> None:
        """Bind the listeners and start the green threads."""
        self._messenger.start(self._receive)
        # No task may start before the evacuated failure domains are known.
        self.guard.refresh()
        self._spawn(self.executor.run_poll_loop)
        self._spawn(self.executor.run_periodic_checks)
        self._spawn(self._maintain_key)
        for server in self._servers:
            server.start()
        _LOG.info("started", extra={"fields": (("name", self._settings.name),)})

    def ready_line(self) -> ReadyLine:
        """Return the line to print when ready, with the process's name and message address."""
        return ReadyLine(ready=self._settings.name, inbox=self._messenger.local_peer.address)

    def drain(self) -> bool:
        """Shut down gracefully: refuse new runs, finish open ones, then stop the rest.

        :return: whether all runs ended within the grace period
        """
        _LOG.info("draining", extra={"fields": (("name", self._settings.name),)})
        self.executor.leave()
        limit_ms = self._settings.grace_s * MS_PER_SECOND - STOP_GRACE_MS
        done = self._wait_until(lambda: self.executor.is_idle, limit_ms)
        self.executor.stop_all("process_stops")
        self._wait_until(lambda: self.executor.is_idle, STOP_WAIT_MS)
        if not self.executor.has_minion:
            # Without its minion the worker doesn't come back, so that no dispatcher needs to
            # wait for it.
            self._key.withdraw()
        return done

    def stop(self) -> None:
        """Stop the green threads, the listeners and the messenger."""
        super().stop()
        for server in self._servers:
            server.stop()
        self._messenger.stop()
        _LOG.info("stopped", extra={"fields": (("name", self._settings.name),)})

    def _maintain_key(self) -> None:
        """Adopt the minion in the key of an earlier process at this address, then keep the key.

        Without this a restarted process would have to wait for the minion's next report. The
        key keeps its value until another minion incarnation reports. A minion that went down
        with this host comes back to the same service and rack. If the key had no service
        meanwhile, all dispatchers would redistribute the workers twice.
        """
        stored = self._key.read()
        record = decode_record(stored, WorkerRecord) if stored else None
        if self._key.was_absent:
            # The previous process withdrew its key, or ended so long ago that the key expired.
            self.executor.incarnations.is_earlier_minion_over = True
        if record is not None and record.life is not None:
            self._key.set_initial_value(
                encode_record(WorkerRecord(self._settings.domain, record.life))
            )
            self.executor.handle_minion_report(record.life)
        self._key.run()

    def _store_incarnation(self, incarnation: MinionIncarnation) -> None:
        self._key.update(encode_record(WorkerRecord(self._settings.domain, incarnation)))

    def _take_renewal(self, dispatcher: Peer, message: RenewRuns) -> None:
        """Renew a dispatcher's lease; check the key if the dispatcher doesn't see it."""
        self.executor.handle_renewal(dispatcher, message)
        if not message.is_listed:
            eventlet.spawn_n(self._key.check_exists)

    def _handle_wrong_incarnation(self, sender: Peer, message: Message) -> None:
        self.executor.expire_dispatcher(Peer(sender.address, message.meant))
