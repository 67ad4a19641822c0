"""The agent: a process beside each minion that coordinates jobs and runs tasks."""

import logging
import random

import msgspec

from geraniumspool.application import Application, ReadyLine
from geraniumspool.clock import SystemClock
from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Announcement, Clock, Messenger, MinionClient, Store
from geraniumspool.decisions import (
    DOMAIN_EVACUATED,
    DOMAIN_RESTORED,
    DRAIN_FINISHED,
    DRAIN_STARTED,
    RECORDS_HANDED_OVER,
    DecisionLog,
)
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import InvalidInput, StoreError
from geraniumspool.etcd_store import EtcdStore
from geraniumspool.handover import RecordsHandover
from geraniumspool.health import Health
from geraniumspool.heartbeat import Heartbeater
from geraniumspool.home import REVOKE_WAIT_MS, Home
from geraniumspool.link import NngMessenger
from geraniumspool.members import ROLE_AGENT
from geraniumspool.messages import (
    MEMBER_EJECTED,
    MEMBER_LEAVING,
    MEMBER_LEFT,
    MEMBER_READY,
    MEMBER_STARTING,
    Cancel,
    Decline,
    Drain,
    Handover,
    HandoverReceipt,
    HeartbeatReply,
    Inquire,
    Load,
    Member,
    Offer,
    Peer,
    Results,
    Revoke,
    Revoked,
    Submit,
    WrongIncarnation,
)
from geraniumspool.metrics import Metrics
from geraniumspool.minion import HttpMinionClient
from geraniumspool.pace import SlownessDetector
from geraniumspool.placement import choose_placement
from geraniumspool.records import Records
from geraniumspool.registrar import discover_entries
from geraniumspool.reply import Reply, reply_json
from geraniumspool.roster import Roster
from geraniumspool.routes import Request, Route
from geraniumspool.runner import Runner
from geraniumspool.scope import make_scope_classifier
from geraniumspool.settings import AgentSettings
from geraniumspool.submission import collect_findings
from geraniumspool.web import WebApplication
from geraniumspool.webserver import WebServer
from geraniumspool.wire_versions import new_incarnation

_LOG = logging.getLogger(__name__)

MAX_ANNOUNCEMENT_BYTES = 64 * 1024
# Period of the housekeeping: expiry of records and members, check of the minion.
HOUSEKEEPING_MS = 500.0
# Initial and longest interval between attempts to read the entries from the store.
DISCOVERY_MS = 500.0
MAX_DISCOVERY_MS = 10_000.0
# Time between the last state change of a drain and its repetition to all entries.
STOP_GRACE_MS = 300.0
# Longest wait for aborted jobs to end; each waits for revokes up to REVOKE_WAIT_MS.
ABANDON_LIMIT_MS = 2 * REVOKE_WAIT_MS
PROMETHEUS_TEXT = "text/plain; version=0.0.4"


class Agent(Application):
    """One agent process.

    It is the home of the jobs whose tickets name it, and runs offered tasks of
    all homes on its minion.

    :ivar configuration: configuration received from the entries
    :ivar decisions: log of the decisions made here
    :ivar roster: members known to this agent
    :ivar health: ejects the minion if it fails or is slow
    :ivar runner: runs tasks on the minion
    :ivar home: coordinates the jobs of this agent
    :ivar heartbeater: sends heartbeats to an entry
    """

    def __init__(
        self,
        settings: AgentSettings,
        messenger: Messenger,
        store: Store,
        client: MinionClient,
        clock: Clock,
        metrics: Metrics,
    ):
        """Create the parts of the agent; nothing runs before :meth:`start`.

        :param settings: checked settings
        :param messenger: sends and receives messages under this agent's address
        :param store: holds the entries
        :param client: calls the minion
        """
        super().__init__(clock, metrics)
        self._settings = settings
        self._messenger = messenger
        self._store = store
        self._random = random.Random(messenger.local_peer.incarnation)
        self._version = 0
        self._has_left = False
        self._reported_state = MEMBER_STARTING
        self._is_draining = False
        self._announced_ms = clock.now()
        self.configuration = Configuration(clock, metrics)
        self.decisions = DecisionLog(messenger.local_peer.incarnation, clock, _LOG)
        self.roster = Roster(clock, settings.domain)
        self.health = Health(
            clock,
            self.decisions,
            messenger.local_peer.address,
            self._may_eject,
            lambda: self.configuration.service(self.home.service).ejection_failure_share,
            SlownessDetector(lambda: self.home.peers_lateness()),
        )
        self.runner = Runner(
            messenger,
            clock,
            client,
            metrics,
            self.health,
            settings.queue_per_slot,
            settings.result_hold_ms,
        )
        self.home = Home(
            messenger,
            clock,
            metrics,
            self.decisions,
            self.roster,
            self.configuration,
            self.runner,
            Records(clock, settings.max_record_bytes, settings.max_record_age_ms),
            choose_placement(settings.placement, settings.ahead_per_slot),
            settings.domain,
            settings.peer_timeout_ms,
        )
        self.heartbeater = Heartbeater(
            messenger,
            self.roster,
            clock,
            self.describe,
            self.configuration,
            settings.heartbeat_period_ms,
        )
        self._handover = RecordsHandover(messenger, clock, self.roster, self.home, settings.domain)
        self._web = WebServer(self._make_web_application(), settings.minion_listen, clock)
        self._handlers = self._make_handlers()
        self.runner.on_change = self._report_change
        self.health.on_change = self._report_change

    def start(self) -> None:
        """Bind the listeners, discover the entries and start to send heartbeats."""
        self._web.start()
        self._messenger.start(self._receive)
        if self._settings.minion is not None:
            self._take_announcement(self._settings.minion)
        self.heartbeater.add_entries(self._settings.entries)
        self._spawn(self._discover_entries)
        self._spawn(self.heartbeater.run)
        self._spawn(self._run_housekeeping)

    def ready_line(self) -> ReadyLine:
        """Return the ready line with the inbox and the address for the minion's announcements."""
        return ReadyLine(
            ready=ROLE_AGENT, inbox=self._messenger.local_peer.address, minion=self.minion_url
        )

    @property
    def minion_url(self) -> str:
        """Return the base URL at which the minion announces itself."""
        return f"http://{self._web.address}"

    def describe(self) -> Member:
        """Return the present state of this agent as a member."""
        minion = self.runner.minion
        archive = self._handover.archive
        return Member(
            *self._messenger.local_peer,
            self._settings.domain,
            ROLE_AGENT,
            self._state(),
            self.home.service,
            minion.max_size if minion else 0.0,
            self.home.load() if minion else Load(),
            archive.address if archive else "",
            archive.incarnation if archive else 0,
            self._version,
        )

    def drain(self) -> bool:
        """Finish the running jobs and tasks, hand the records over, and leave.

        :returns: whether all jobs and tasks finished within the drain limit
        """
        self._is_draining = True
        self.decisions.record(DRAIN_STARTED, self._messenger.local_peer.address)
        self.home.leave()
        self.runner.leave()
        self._report_change()
        finished = self._wait_until(self._is_idle, self._settings.drain_limit_ms)
        if not finished:
            self.home.abort_jobs()
            self._wait_until(lambda: self.home.is_idle, ABANDON_LIMIT_MS)
        self.runner.resend_results()
        handed_over = self._handover.hand_over()
        if self._handover.archive:
            archive_address = self._handover.archive.address
            self.decisions.record(RECORDS_HANDED_OVER, archive_address, records=handed_over)
        self._has_left = True
        self._report_change()
        self.decisions.record(
            DRAIN_FINISHED,
            self._messenger.local_peer.address,
            finished=str(finished),
            records=handed_over,
        )
        self._clock.sleep(STOP_GRACE_MS)
        self.heartbeater.send_to_all_entries()
        return finished

    def stop(self) -> None:
        """Close links and listeners."""
        super().stop()
        self._web.stop()
        self._messenger.stop()

    def _state(self) -> str:
        if self._has_left:
            return MEMBER_LEFT
        if self._is_draining or self.runner.leaving:
            return MEMBER_LEAVING
        if self.runner.minion is None:
            return MEMBER_STARTING
        if self.health.is_ejected and not self.health.is_probe_due:
            return MEMBER_EJECTED
        return MEMBER_READY

    def _is_idle(self) -> bool:
        return self.home.is_idle and self.runner.is_idle

    def _report_change(self) -> None:
        self._reported_state = self._state()
        self._version += 1
        self.heartbeater.send_to_all_entries()

    def _may_eject(self) -> bool:
        service = self.home.service
        domain = self._settings.domain
        share = self.configuration.service(service).ejection_domain_share
        ready = self.roster.count(ROLE_AGENT, MEMBER_READY, domain)
        ejected = self.roster.count(ROLE_AGENT, MEMBER_EJECTED, domain)
        # The roster does not contain this agent, so it is added here.
        return ejected + 1 <= share * (ready + ejected + 1)

    def _make_handlers(self) -> dict:
        return {
            Submit: self.home.handle_submit,
            Decline: self.home.handle_decline,
            Inquire: self.home.handle_inquire,
            Cancel: self.home.handle_cancel,
            Offer: self._take_offer,
            Results: self.home.handle_results,
            Revoke: self.runner.handle_revoke,
            Revoked: self.home.handle_revoked,
            HeartbeatReply: self._take_reply,
            WrongIncarnation: self._handle_wrong_incarnation,
            Handover: self._handover.store_batch,
            HandoverReceipt: self._handover.handle_receipt,
            Drain: self._handle_drain,
        }

    def _take_offer(self, sender: Peer, offer: Offer) -> None:
        self.home.update_load(sender, offer.load)
        self.runner.handle_offer(sender, offer)

    def _take_reply(self, sender: Peer, reply: HeartbeatReply) -> None:
        self.heartbeater.handle_reply(sender, reply)
        self._apply_evacuation()
        for address, incarnation, load in reply.loads:
            self.home.update_load(Peer(address, incarnation), load)
        self.home.schedule_placement()

    def _apply_evacuation(self) -> None:
        domain = self._settings.domain
        is_evacuated = self.configuration.is_evacuated(domain)
        if is_evacuated != self.runner.is_evacuated:
            code = DOMAIN_EVACUATED if is_evacuated else DOMAIN_RESTORED
            self.decisions.record(code, domain, revision=self.configuration.revision)
            self.runner.set_evacuated(is_evacuated)

    def _handle_wrong_incarnation(self, sender: Peer, rejection: WrongIncarnation) -> None:
        self.heartbeater.handle_wrong_incarnation(sender)
        self.home.handle_wrong_incarnation(sender, rejection)
        self.runner.forget_home(Peer(sender.address, rejection.meant))

    def _discover_entries(self) -> None:
        """Read the entries from the store until one is known, at growing intervals."""
        pause_ms = DISCOVERY_MS
        while True:
            try:
                for member in discover_entries(self._store):
                    self.roster.apply_indirect(member)
                if self.roster.entries():
                    return
            except StoreError as error:
                _LOG.warning("could not read entries from the store: %s", error)
            self._clock.sleep(self._random.uniform(0.5, 1.5) * pause_ms)
            pause_ms = min(MAX_DISCOVERY_MS, pause_ms * 2)

    def _run_housekeeping(self) -> None:
        while True:
            self._clock.sleep(HOUSEKEEPING_MS)
            self.home.expire_records()
            self.home.schedule_placement()
            self.roster.forget_final()
            self.home.forget_gone_workers()
            self._check_minion()
            if self._state() != self._reported_state:
                self._report_change()

    def _check_minion(self) -> None:
        silent_ms = self._clock.now() - self._announced_ms
        is_fixed = self._settings.minion is not None
        if is_fixed or not self.runner.accepts:
            return
        if silent_ms > self._settings.announcement_timeout_ms:
            _LOG.warning("no announcement from the minion for %d ms", silent_ms)
            self.runner.leave()

    def _take_announcement(self, announcement: Announcement) -> None:
        self._announced_ms = self._clock.now()
        known = self.runner.minion
        if known is not None and known.url != announcement.url:
            self.health.reset()
        self.home.service = announcement.service
        if not self._is_draining:
            self.runner.set_minion(announcement)

    def _make_web_application(self) -> WebApplication:
        routes = [
            Route("PUT", "/v1/minion", self._put_minion),
            Route("DELETE", "/v1/minion", self._delete_minion),
            Route("GET", "/healthz", self._get_health),
            Route("GET", "/metrics", self._get_metrics),
        ]
        return WebApplication(routes, MAX_ANNOUNCEMENT_BYTES, self.metrics, _LOG)

    def _put_minion(self, request: Request) -> Reply:
        announcement = parse_announcement(request.body)
        self._take_announcement(announcement)
        return reply_json(200, {"state": self._state()})

    def _delete_minion(self, _request: Request) -> Reply:
        self.runner.leave()
        return reply_json(200, {"state": self._state(), "idle": self.runner.is_idle})

    def _get_health(self, _request: Request) -> Reply:
        return reply_json(200, {"state": self._state()})

    def _get_metrics(self, _request: Request) -> Reply:
        return Reply(200, self.metrics.render(), PROMETHEUS_TEXT)


def parse_announcement(body: bytes) -> Announcement:
    """Parse the announcement of a minion.

    :param body: JSON object with the fields of ``Announcement``
    :raises InvalidInput: if the body is anything else or a value is out of range
    """
    with collect_findings("announcement") as findings:
        try:
            sent_fields = msgspec.json.decode(body, type=dict[str, str | int | float])
            fields = Announcement._field_defaults | sent_fields
            announcement = msgspec.convert(
                [fields.get(name) for name in Announcement._fields], Announcement, strict=False
            )
        except DECODE_ERRORS as error:
            findings.add("", str(error))
            raise InvalidInput(findings.findings) from error
        if announcement.slots < 1:
            findings.add("slots", "must be at least 1")
        if announcement.connections < 1:
            findings.add("connections", "must be at least 1")
        if not announcement.url.startswith("http://"):
            findings.add("url", "must be an http address")
    return announcement


def build_agent(settings: AgentSettings) -> Agent:
    """Return an agent with a network messenger, an etcd store and an HTTP client.

    :param settings: checked settings
    """
    clock = SystemClock()
    metrics = Metrics(ROLE_AGENT, settings.domain)
    messenger = NngMessenger(settings.inbox, new_incarnation(), clock, metrics)
    store = EtcdStore(list(settings.store_urls), clock, metrics, settings.store_timeout_ms)
    client = HttpMinionClient(metrics)
    agent = Agent(settings, messenger, store, client, clock, metrics)
    messenger.scope = make_scope_classifier(agent.roster, settings.domain)
    return agent
