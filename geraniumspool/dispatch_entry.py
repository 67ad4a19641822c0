"""The dispatcher process: job listener, dispatcher, and watches on the store."""

import logging
from collections.abc import Callable

from geraniumspool.application import Application, ReadyLine
from geraniumspool.claim_messages import (
    ClaimJobs,
    ClaimVerdicts,
    EndClaims,
    JobsFenced,
    OpenClaims,
    RelayedClaims,
)
from geraniumspool.contracts import Change, Clock, Messenger, Snapshot, Store
from geraniumspool.counters import MemoryCounters
from geraniumspool.daemon_settings import DispatcherSettings
from geraniumspool.dispatch_policy import SharingSettings, make_policy
from geraniumspool.dispatcher import Dispatcher
from geraniumspool.dispatcher_peers import DispatcherPeers
from geraniumspool.evacuations import Evacuations
from geraniumspool.job_claims import JobClaims
from geraniumspool.job_messages import (
    CancelJob,
    DispatcherReport,
    DropJobs,
    ForwardedEnd,
    ForwardJob,
    JobCancelled,
)
from geraniumspool.job_router import JobRouter
from geraniumspool.leased_key import LeasedKey
from geraniumspool.messages import Message, Peer, WrongIncarnation
from geraniumspool.operator_keys import OperatorKeys, list_evacuated
from geraniumspool.processor_usage import ProcessorMeter
from geraniumspool.queues import QueueConfiguration, QueueTable
from geraniumspool.registrations import (
    DISPATCHER_PREFIX,
    KEY_TTL_MS,
    MEMBER_PREFIX,
    WORKER_PREFIX,
    DispatcherRecord,
    encode_record,
)
from geraniumspool.run_messages import WorkerReport
from geraniumspool.store_watch import StoreWatch
from geraniumspool.units import MS_PER_SECOND
from geraniumspool.webserver import WebServer

_LOG = logging.getLogger(__name__)

# Minimum time on shutdown between reporting not ready and closing the listener. A load balancer
# that checks readiness once a second stops sending callers after two failed checks.
READINESS_NOTICE_MS = 2_600.0
# Part of the grace period that is reserved for sending the last results.
RESULT_GRACE_MS = 700.0
# Time limits for the last runs to end and for the listener to close.
CLOSE_MS = 350.0


class DispatcherProcess(Application):
    """Run a dispatcher process.

    :ivar configuration: queue configuration in use
    """

    def __init__(
        self,
        settings: DispatcherSettings,
        clock: Clock,
        metrics: MemoryCounters,
        messenger: Messenger,
        store: Store,
        keys: OperatorKeys,
        decode: Callable[[bytes], QueueTable | None],
        started_ms: float | None = None,
    ):
        """Create the components of the process and connect them.

        :param keys: names of the store's keys that operators write
        :param decode: decodes the value of the configuration's key, returns None if it can't
        :param started_ms: clock time in ms at which the process started, now if not given
        """
        super().__init__(clock, metrics)
        self._settings = settings
        self._messenger = messenger
        self._keys = keys
        self._decode = decode
        self.configuration = QueueConfiguration()
        self.evacuations = Evacuations(clock, metrics)
        record = DispatcherRecord(settings.domain, settings.capacity, gives_up_claims=True)
        self._peers = DispatcherPeers(clock, messenger.local_peer, record, self.evacuations)
        self._peers.is_connection_closed = messenger.is_connection_closed
        self.claims = JobClaims(
            clock,
            messenger.send,
            metrics,
            messenger.local_peer,
            settings.domain,
            self._peers.views.values,
            lambda: self._peers.executors,
            started_ms,
        )
        self.claims.links = messenger
        self._peers.has_lost_members = lambda: self.claims.table.keeps_unannounced
        self.dispatcher = Dispatcher(
            clock,
            messenger.send,
            metrics,
            settings.domain,
            self.evacuations,
            self.claims,
            make_policy(SharingSettings(settings.least_share, settings.value_order), metrics),
            remote_data_factor=settings.remote_data_factor,
            run_times_by_queue=settings.run_times_by_queue,
            keeps_fast_workers=settings.keep_fast_workers,
        )
        self.dispatcher.fleet.links = messenger
        self.router = JobRouter(
            clock,
            messenger.send,
            metrics,
            settings.domain,
            self.dispatcher,
            self._peers,
            self.evacuations,
            self.claims,
        )
        self.router.links = messenger
        self.router.returns_jobs = settings.returns_jobs
        if settings.uses_busy_share:
            meter = ProcessorMeter(clock, settings.capacity)
            self.router.measure_busy_share = meter.measure
        self._member_key = LeasedKey(
            store,
            clock,
            DISPATCHER_PREFIX + messenger.local_peer.address,
            encode_record(record),
            KEY_TTL_MS,
        )
        self._operators_watch = StoreWatch(
            store,
            keys.prefix,
            clock,
            self._load_operator_keys,
            self._apply_operator_change,
            self.evacuations.confirm,
        )
        self._members_watch = StoreWatch(
            store, MEMBER_PREFIX, clock, self._load_members, self._apply_member_change
        )
        self._servers: list[WebServer] = []
        self._leaving = False
        self._handlers = {
            WorkerReport: self.dispatcher.handle_report,
            ForwardJob: self.router.handle_forward_job,
            ForwardedEnd: self.router.handle_forwarded_end,
            DropJobs: self.router.forwarded.handle_drop_jobs,
            CancelJob: self.router.cancels.handle_cancel_job,
            JobCancelled: self.router.cancels.handle_job_cancelled,
            DispatcherReport: self.router.handle_report,
            ClaimJobs: self.claims.handle_claim_jobs,
            OpenClaims: self.claims.handle_open_claims,
            ClaimVerdicts: self.claims.handle_claim_verdicts,
            EndClaims: self.claims.handle_end_claims,
            JobsFenced: self.claims.handle_jobs_fenced,
            RelayedClaims: self.claims.handle_relayed_claims,
            WrongIncarnation: self._handle_wrong_incarnation,
        }

    @property
    def is_ready(self) -> bool:
        """Whether a load balancer should send callers to this process."""
        if self._leaving or self.configuration.table is None:
            return False
        return self.router.has_workers

    def set_servers(self, callers: WebServer, others: list[WebServer]) -> None:
        """Set the listeners that start and stop with this process.

        :param callers: listener for job submissions, which is drained on shutdown
        :param others: all other listeners
        """
        self._servers = [callers, *others]

    def start(self) -> None:
        """Bind the listeners and start the green threads."""
        self._messenger.start(self._receive)
        self._spawn(self._operators_watch.run)
        self._spawn(self._members_watch.run)
        self._spawn(self._member_key.run)
        self._spawn(self.dispatcher.run_periodic_checks)
        self._spawn(self.router.run_periodic_checks)
        for server in self._servers:
            server.start()
        _LOG.info("started", extra={"fields": (("name", self._settings.name),)})

    def ready_line(self) -> ReadyLine:
        """Return the line to print when ready, with the process's name and message address."""
        return ReadyLine(ready=self._settings.name, inbox=self._messenger.local_peer.address)

    def drain(self) -> bool:
        """Shut down gracefully: report not ready, finish accepted jobs, then close.

        :return: whether all jobs ended within the grace period
        """
        started = self._clock.now()
        deadline = started + self._settings.grace_s * MS_PER_SECOND - RESULT_GRACE_MS
        self._leaving = True
        self.dispatcher.exit_ms = deadline
        callers = self._servers[0]
        callers.disable_keep_alive()
        _LOG.info("draining", extra={"fields": (("name", self._settings.name),)})
        self.router.give_up_workers()
        self._clock.sleep(min(READINESS_NOTICE_MS, deadline - started))
        done = self._wait_until(lambda: self.router.is_idle, deadline - self._clock.now())
        # Refuse further jobs: those that arrive while the listener closes would be cut off.
        self.dispatcher.exit_ms = self._clock.now()
        self.router.abort_jobs()
        # Callers resubmit their jobs as soon as they get this result, perhaps before the
        # runs here have ended.
        self._wait_until(lambda: not self.dispatcher.has_open_runs, CLOSE_MS)
        self.claims.announce_exit()
        callers.drain(CLOSE_MS)
        return done

    def stop(self) -> None:
        """Stop the green threads, the listeners and the messenger."""
        super().stop()
        for server in self._servers:
            server.stop()
        self._messenger.stop()
        _LOG.info("stopped", extra={"fields": (("name", self._settings.name),)})

    def _load_operator_keys(self, snapshot: Snapshot) -> None:
        """Apply all operators' keys after the watch has read them anew."""
        prefix = self._keys.evacuations
        domains = list_evacuated(snapshot, prefix)
        self.evacuations.replace(domains, snapshot.revision, self.evacuations.confirmed_ms)
        for pair in snapshot.pairs:
            self._apply_configuration(pair.key, pair.value)

    def _apply_operator_change(self, change: Change) -> None:
        prefix = self._keys.evacuations
        if change.key.startswith(prefix):
            domain = change.key.removeprefix(prefix)
            self.evacuations.apply_change(domain, change.value is not None, change.revision)
        self._apply_configuration(change.key, change.value)

    def _apply_configuration(self, key: str, value: bytes | None) -> None:
        """Apply a key's value if it is a valid configuration; ignore it otherwise."""
        if key != self._keys.configuration or value is None:
            return
        table = self._decode(value)
        if table is not None:
            self.configuration.apply(table)

    def _load_members(self, snapshot: Snapshot) -> None:
        """Replace the known members after the watch has read them anew."""
        self._peers.directory.apply_listing(snapshot.pairs, self._clock.now())
        self.router.update_members()

    def _apply_member_change(self, change: Change) -> None:
        self._peers.directory.apply_change(change.key, change.value, self._clock.now())
        self.router.update_members()
        if change.value is not None and change.key.startswith(WORKER_PREFIX):
            address = change.key.removeprefix(WORKER_PREFIX)
            self.dispatcher.fleet.handle_key_written(address)
            self.claims.handle_executor_start(address)

    def _handle_wrong_incarnation(self, sender: Peer, _message: Message) -> None:
        self.dispatcher.fleet.handle_wrong_incarnation(sender)
        self.router.handle_wrong_incarnation(sender)
