"""HTTP API of an entry for operators; every request needs the operators' bearer token."""

import hmac
import logging
from collections.abc import Callable

import msgspec

from geraniumspool.calls import HomeRequests
from geraniumspool.change_desk import ConfigurationChanges
from geraniumspool.configuration import Configuration
from geraniumspool.configuration_watcher import ConfigurationWatcher
from geraniumspool.contracts import Clock, Messenger
from geraniumspool.decisions import DecisionLog, parse_decision_id, to_document
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.documents import check_key
from geraniumspool.errors import InvalidInput, NotFound, Unauthorized
from geraniumspool.members import ROLE_AGENT, is_final, peer_of
from geraniumspool.messages import Answer, Drain, Inquire, Member, Peer
from geraniumspool.metrics import Metrics
from geraniumspool.registry import Registry
from geraniumspool.reply import Reply, reply_json
from geraniumspool.roster import Roster
from geraniumspool.routes import Request, Route
from geraniumspool.status import REACHABLE, UNREACHABLE, DomainStatus
from geraniumspool.submission import FindingCollector
from geraniumspool.wire_versions import announced_version

_LOG = logging.getLogger(__name__)

# Longest wait for another process's answer to a query.
QUERY_TIMEOUT_MS = 2_000.0
BEARER = "Bearer "
HTTP_ACCEPTED = 202


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to change a configuration document.

    :ivar change_id: id chosen by the operator; a retry with it has no further effect
    :ivar expected_revision: revision that the change is based on, 0 for a new document
    :ivar body: the new document as YAML or JSON, or None to delete it
    :ivar who: operator who makes the change
    :ivar why: reason for the change
    """

    change_id: str
    expected_revision: int
    body: str | None
    who: str
    why: str


class DrainRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request to drain a process.

    :ivar address: inbox address of the process
    :ivar who: operator who asks for it
    :ivar why: reason for the drain
    """

    address: str
    who: str
    why: str


class Operators:
    """Handles operators' requests on status, members, configuration, drains and decisions."""

    def __init__(
        self,
        token: str,
        messenger: Messenger,
        roster: Roster,
        registry: Registry,
        configuration: Configuration,
        watcher: ConfigurationWatcher,
        configuration_changes: ConfigurationChanges,
        home_requests: HomeRequests,
        decisions: DecisionLog,
        metrics: Metrics,
        clock: Clock,
        me: Callable[[], Member],
        request_exit: Callable[[], None],
    ):
        """Store the collaborators.

        :param token: bearer token that operators must send
        :param me: returns the current membership record of this entry
        :param request_exit: makes this process drain and exit
        """
        self._token = token
        self._messenger = messenger
        self._roster = roster
        self._registry = registry
        self._configuration = configuration
        self._watcher = watcher
        self._configuration_changes = configuration_changes
        self._calls = home_requests
        self._decisions = decisions
        self._metrics = metrics
        self._clock = clock
        self._me = me
        self._request_exit = request_exit

    def routes(self, job_routes: list[Route]) -> list[Route]:
        """Return the routes of the operators' API, each of which checks the token.

        :param job_routes: routes for jobs that the callers' API has as well
        """
        own = [
            Route("GET", "/v1/status", self._get_status),
            Route("GET", "/v1/roster", self._get_roster),
            Route("GET", "/v1/config", self._get_documents),
            Route("GET", "/v1/config/{kind}/{name}", self._get_document),
            Route("PUT", "/v1/config/{kind}/{name}", self._put_document),
            Route("GET", "/v1/config/{kind}/{name}/history", self._get_history),
            Route("GET", "/v1/config-status", self._get_config_status),
            Route("POST", "/v1/drain", self._post_drain),
            Route("GET", "/v1/decisions/{id}", self._get_decision),
        ]
        return [
            Route(route.method, route.pattern, self._require_token(route.handler))
            for route in own + job_routes
        ]

    def _require_token(self, handler: Callable[[Request], Reply]) -> Callable[[Request], Reply]:
        expected = (BEARER + self._token).encode()

        def check_token(request: Request) -> Reply:
            presented = request.header("Authorization").encode("latin-1", "replace")
            if not hmac.compare_digest(presented, expected):
                raise Unauthorized("the operators' token is missing or wrong")
            return handler(request)

        return check_token

    def _get_status(self, _request: Request) -> Reply:
        me = self._me()
        last_contact_ms = self._watcher.last_contact_ms
        age_ms = None if last_contact_ms is None else round(self._clock.now() - last_contact_ms)
        return reply_json(
            200,
            {
                "entry": {
                    "address": me.address,
                    "domain": me.domain,
                    "incarnation": f"{me.incarnation:x}",
                    "state": me.state,
                    "jobs": len(self._calls),
                },
                "domains": self._describe_domains(),
                "store": {"state": self._watcher.state, "last_contact_ms": age_ms},
                "config_revision": self._configuration.revision,
                "counters": self._metrics.snapshot(),
            },
        )

    def _describe_domains(self) -> list[DomainStatus]:
        revisions = self._registry.get_revisions_in_force()
        return [
            self._describe_domain(domain, revisions.get(domain, 0))
            for domain in self._roster.domains()
        ]

    def _describe_domain(self, domain: str, revision: int) -> DomainStatus:
        agents = [
            member
            for member in self._roster.members()
            if member.role == ROLE_AGENT and member.domain == domain and not is_final(member)
        ]
        states = [member.state for member in agents]
        is_unreachable = domain in self._roster.unreachable
        return DomainStatus(
            domain=domain,
            state=UNREACHABLE if is_unreachable else REACHABLE,
            agents=len(agents),
            ready=states.count("ready"),
            leaving=states.count("leaving"),
            ejected=states.count("ejected"),
            slots=sum(member.load.slots for member in agents),
            free=sum(member.load.free for member in agents),
            queued=sum(member.load.queued for member in agents),
            config_revision=revision,
            evacuated=self._configuration.is_evacuated(domain),
        )

    def _get_roster(self, _request: Request) -> Reply:
        rows = [
            {
                "address": member.address,
                "incarnation": f"{member.incarnation:x}",
                "domain": member.domain,
                "role": member.role,
                "state": member.state,
                "service": member.service,
                "slots": member.load.slots,
                "free": member.load.free,
                "queued": member.load.queued,
                "message_version": announced_version(member.incarnation),
            }
            for member in self._roster.members()
        ]
        rows.sort(key=lambda row: (row["domain"], row["role"], row["address"]))
        return reply_json(200, {"members": rows})

    def _get_documents(self, _request: Request) -> Reply:
        rows = [
            {"key": document.key, "revision": document.revision, "body": document.body.decode()}
            for document in self._configuration.documents()
            if document.body
        ]
        return reply_json(200, {"documents": rows})

    def _get_document(self, request: Request) -> Reply:
        key = "/".join(request.parameters)
        document = self._configuration_changes.get_document(key)
        if not document.body and not document.revision:
            raise NotFound(f"there is no document {key!r}")
        return reply_json(
            200,
            {
                "key": key,
                "revision": document.revision,
                "body": document.body.decode(),
                "fresh": document.fresh,
            },
        )

    def _put_document(self, request: Request) -> Reply:
        key = "/".join(request.parameters)
        change = _parse_body(request.body, ChangeRequest, "change")
        body = None if change.body is None else change.body.encode()
        receipt = self._configuration_changes.apply_change(
            key, body, change.expected_revision, change.change_id, change.who, change.why
        )
        return reply_json(200, {"status": receipt.status, "revision": receipt.revision})

    def _get_history(self, request: Request) -> Reply:
        key = "/".join(request.parameters)
        findings = check_key(key)
        if findings:
            raise InvalidInput(findings)
        history = self._configuration_changes.history(key)
        rows = [
            {
                "revision": record.revision,
                "who": record.who,
                "why": record.why,
                "at_ms": record.at_ms,
                "change_id": record.change_id,
                "before": record.before,
                "after": record.after,
            }
            for record in history.records
        ]
        return reply_json(200, {"changes": rows, "fresh": history.fresh})

    def _get_config_status(self, _request: Request) -> Reply:
        revisions = self._registry.get_revisions_in_force()
        rows = [{"domain": domain, "revision": revisions[domain]} for domain in sorted(revisions)]
        return reply_json(200, {"newest": self._configuration.revision, "domains": rows})

    def _post_drain(self, request: Request) -> Reply:
        drain_request = _parse_body(request.body, DrainRequest, "drain")
        members = [member for member in self._roster.members() if not is_final(member)]
        found = [member for member in members if member.address == drain_request.address]
        if not found:
            raise NotFound(f"no living process has the address {drain_request.address!r}")
        peer = peer_of(found[0])
        if peer == self._messenger.local_peer:
            self._request_exit()
        else:
            self._messenger.send(peer, Drain(drain_request.who, drain_request.why))
        _LOG.info(
            "drain requested",
            extra={
                "fields": (
                    ("address", drain_request.address),
                    ("who", drain_request.who),
                    ("why", drain_request.why),
                )
            },
        )
        return reply_json(HTTP_ACCEPTED, {"address": drain_request.address, "state": "asked"})

    def _get_decision(self, request: Request) -> Reply:
        name = request.parameters[0]
        incarnation = parse_decision_id(name)
        if incarnation is None:
            raise NotFound(f"{name!r} is no decision's id")
        if incarnation == self._messenger.local_peer.incarnation:
            decision = self._decisions.get(name)
            rows = [] if decision is None else [to_document(decision)]
        else:
            rows = self._fetch_decision(incarnation, name)
        if not rows:
            raise NotFound(f"decision {name!r} is not kept any more")
        return reply_json(200, {"decisions": rows})

    def _fetch_decision(self, incarnation: int, name: str) -> list:
        member = self._roster.find_incarnation(incarnation)
        if member is None:
            return []
        inquire = Inquire(self._calls.next_number(), name, True)
        peer = Peer(member.address, member.incarnation)
        answer = self._calls.query(peer, inquire, QUERY_TIMEOUT_MS)
        if not isinstance(answer, Answer):
            return []
        return msgspec.json.decode(answer.decisions or b"[]")


def _parse_body(body: bytes, kind: type, place: str):
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        findings = FindingCollector(place)
        findings.add("", str(error))
        raise InvalidInput(findings.findings) from error
