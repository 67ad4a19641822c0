"""The entry process: serves callers and operators over HTTP and tracks cluster membership."""

import logging

from geraniumspool.application import Application, ReadyLine
from geraniumspool.audit import AuditTrail
from geraniumspool.binding import Bindings
from geraniumspool.callers import Callers
from geraniumspool.calls import HomeRequests
from geraniumspool.change_desk import ConfigurationChanges
from geraniumspool.clock import SystemClock
from geraniumspool.configuration import Configuration
from geraniumspool.configuration_watcher import ConfigurationWatcher
from geraniumspool.contracts import Clock, Messenger, Store
from geraniumspool.decisions import (
    CONFIG_TAKEN,
    DRAIN_FINISHED,
    DRAIN_STARTED,
    DecisionLog,
    encode_decisions,
)
from geraniumspool.etcd_store import EtcdStore
from geraniumspool.homes import Homes
from geraniumspool.link import NngMessenger
from geraniumspool.members import ROLE_ENTRY, is_final, peer_of
from geraniumspool.messages import (
    MEMBER_LEAVING,
    MEMBER_LEFT,
    MEMBER_READY,
    Answer,
    Digest,
    Document,
    Drain,
    Heartbeat,
    Inquire,
    Member,
    Peer,
    ShortHeartbeat,
    WrongIncarnation,
)
from geraniumspool.metrics import Metrics
from geraniumspool.operators import Operators
from geraniumspool.quota import Quotas
from geraniumspool.registrar import Registrar
from geraniumspool.registry import Registry
from geraniumspool.roster import Roster
from geraniumspool.routes import Route
from geraniumspool.scope import make_scope_classifier
from geraniumspool.settings import EntrySettings
from geraniumspool.ticket import Keyring
from geraniumspool.web import WebApplication
from geraniumspool.webserver import WebServer
from geraniumspool.wire_versions import new_incarnation

_LOG = logging.getLogger(__name__)


class Entry(Application):
    """Wires the parts of an entry process together and runs them."""

    def __init__(
        self,
        settings: EntrySettings,
        messenger: Messenger,
        store: Store,
        clock: Clock,
        metrics: Metrics,
    ):
        """Create and connect the components; nothing runs before :meth:`start`.

        :param settings: validated settings
        :param messenger: sends and receives messages between processes
        :param store: the platform's store
        :param clock: source of time
        :param metrics: counters of this process
        """
        super().__init__(clock, metrics)
        self._settings = settings
        self._messenger = messenger
        self._state = MEMBER_READY
        self.decisions = DecisionLog(messenger.local_peer.incarnation, clock, _LOG)
        self.roster = Roster(clock, settings.domain)
        self.configuration = Configuration(clock, metrics)
        self.home_requests = HomeRequests(messenger, clock, metrics, self.roster.is_gone)
        self._create_membership(store, clock)
        self._create_configuration(store, clock)
        self._create_web_servers(store, clock)
        self._handlers = self._make_handlers()
        self.roster.subscribe(self._member_changed)

    def start(self) -> None:
        """Start the listeners, register this entry and start to watch the store."""
        self._messenger.start(self._receive)
        self._callers_server.start()
        self._operators_server.start()
        self.callers.ready = True
        self._spawn(self._registrar.run)
        self._spawn(self.registry.run)
        self._spawn(self.watcher.run)

    def ready_line(self) -> ReadyLine:
        """Return the addresses of the inbox and of both HTTP listeners."""
        return ReadyLine(
            ready=ROLE_ENTRY,
            inbox=self._messenger.local_peer.address,
            callers=self._callers_server.address,
            operators=self._operators_server.address,
        )

    def describe(self) -> Member:
        """Return the membership record that this entry announces to other processes."""
        return Member(*self._messenger.local_peer, self._settings.domain, ROLE_ENTRY, self._state)

    def drain(self) -> bool:
        """Stop accepting requests and wait for those in flight.

        :returns: whether all of them finished within ``drain_limit_ms``
        """
        self.decisions.record(DRAIN_STARTED, self._messenger.local_peer.address)
        self.callers.ready = False
        self._state = MEMBER_LEAVING
        self._registrar.withdraw()
        finished = self._callers_server.drain(self._settings.drain_limit_ms)
        self._state = MEMBER_LEFT
        self.registry.run_round()
        self.decisions.record(
            DRAIN_FINISHED, self._messenger.local_peer.address, finished=str(finished)
        )
        return finished

    def stop(self) -> None:
        """Stop background work, close the HTTP listeners and the links to other processes."""
        super().stop()
        self._callers_server.stop()
        self._operators_server.stop()
        self._messenger.stop()

    def _create_membership(self, store: Store, clock: Clock) -> None:
        self.registry = Registry(
            self._messenger,
            self.roster,
            clock,
            self.configuration,
            self.describe,
            self._settings.heartbeat_period_ms,
            self._settings.heartbeat_timeout_ms,
            lambda: self.quotas.demand(),
        )
        self.quotas = Quotas(
            clock,
            self.configuration,
            self.registry.get_peer_demand,
            lambda: len(self.roster.entries()),
        )
        self._registrar = Registrar(
            store, self.roster, clock, self.describe, self._settings.registration_ttl_ms
        )

    def _create_configuration(self, store: Store, clock: Clock) -> None:
        self.watcher = ConfigurationWatcher(
            store, self.configuration, clock, self._configuration_changed
        )
        self.configuration_changes = ConfigurationChanges(
            store,
            self.configuration,
            AuditTrail(store, clock),
            clock,
            self._configuration_changed,
        )

    def _create_web_servers(self, store: Store, clock: Clock) -> None:
        settings = self._settings
        keyring = Keyring(list(settings.ticket_keys))
        homes = Homes(self.roster, keyring, clock, settings.domain)
        self.callers = Callers(
            keyring,
            homes,
            self.home_requests,
            self.quotas,
            Bindings(store, clock),
            self.configuration,
            self.decisions,
            self.metrics,
            clock,
            settings.default_deadline_ms,
            settings.max_running_jobs,
        )
        operators = Operators(
            settings.operators_token,
            self._messenger,
            self.roster,
            self.registry,
            self.configuration,
            self.watcher,
            self.configuration_changes,
            self.home_requests,
            self.decisions,
            self.metrics,
            clock,
            self.describe,
            self.request_exit,
        )
        self._callers_server = self._serve(self.callers.routes(), settings.callers_listen)
        job_routes = [
            Route("GET", "/v1/jobs/{ticket}", self.callers.get_job),
            Route("DELETE", "/v1/jobs/{ticket}", self.callers.delete_job),
            Route("GET", "/v1/jobs/{ticket}/decisions", self.callers.get_decisions),
        ]
        self._operators_server = self._serve(
            operators.routes(job_routes), settings.operators_listen
        )

    def _serve(self, routes: list[Route], listen: str) -> WebServer:
        application = WebApplication(routes, self._settings.max_body_bytes, self.metrics, _LOG)
        max_connections = self._settings.max_running_jobs + 100
        max_header_bytes = self._settings.max_header_bytes
        return WebServer(application, listen, self._clock, max_connections, max_header_bytes)

    def _make_handlers(self) -> dict:
        return {
            Answer: self.home_requests.handle_answer,
            Heartbeat: self.registry.handle_heartbeat,
            ShortHeartbeat: self.registry.handle_short_heartbeat,
            Digest: self._handle_digest,
            Inquire: self._handle_inquire,
            WrongIncarnation: self._handle_wrong_incarnation,
            Drain: self._handle_drain,
        }

    def _handle_digest(self, sender: Peer, digest: Digest) -> None:
        old_revision = self.configuration.revision
        self.registry.handle_digest(sender, digest)
        if self.configuration.revision > old_revision:
            self.registry.push_configuration()

    def _handle_inquire(self, sender: Peer, inquire: Inquire) -> None:
        """Answer another entry's query for a decision that this entry recorded."""
        decision = self.decisions.get(inquire.ticket)
        rows = encode_decisions([decision] if decision else [])
        answer = Answer(inquire.request, inquire.ticket, "unknown", decisions=rows)
        self._messenger.send(sender, answer)

    def _handle_wrong_incarnation(self, sender: Peer, rejection: WrongIncarnation) -> None:
        self.home_requests.handle_wrong_incarnation(sender, rejection.meant)
        self.registry.handle_wrong_incarnation(sender, rejection.meant)

    def _member_changed(self, member: Member) -> None:
        if is_final(member):
            self.home_requests.recheck_peer(peer_of(member))

    def _configuration_changed(self, documents: list[Document]) -> None:
        for document in documents:
            self.decisions.record(CONFIG_TAKEN, document.key, revision=document.revision)
        self.registry.push_configuration()


def build_entry(settings: EntrySettings) -> Entry:
    """Return an entry that uses the system clock, NNG links and etcd.

    :param settings: validated settings
    """
    clock = SystemClock()
    metrics = Metrics(ROLE_ENTRY, settings.domain)
    messenger = NngMessenger(settings.inbox, new_incarnation(), clock, metrics)
    store = EtcdStore(list(settings.store_urls), clock, metrics, settings.store_timeout_ms)
    entry = Entry(settings, messenger, store, clock, metrics)
    messenger.scope = make_scope_classifier(entry.roster, settings.domain)
    return entry
