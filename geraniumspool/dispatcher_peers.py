"""The other dispatchers as this one sees them, and the division of the workers among all.

Every worker is owned by one dispatcher, the only one that places tasks on it. All dispatchers
work out the owners from the members that they see, without messages for it; those that see the
same members get the same owners.
"""

import logging
import math
from collections.abc import Callable, Iterable

from geraniumspool.contracts import Clock
from geraniumspool.evacuations import Evacuations
from geraniumspool.groups import GROUP_WORKERS, Owner, WorkerLocation, assign_workers
from geraniumspool.job_messages import DispatcherReport, ServiceLoad
from geraniumspool.messages import ANY_INCARNATION, Peer
from geraniumspool.owner_choice import BUSY_LIMIT
from geraniumspool.processor_usage import UNKNOWN_SHARE, is_valid_share
from geraniumspool.registrations import DispatcherRecord, MemberDirectory

_LOG = logging.getLogger(__name__)

# A dispatcher that is silent for this long counts as dead: it is sent no jobs, and its workers go
# to the others. At least three reports are due in this time.
PEER_SILENT_MS = 500.0
# Limit for a dispatcher that has closed the connection, as when its process has exited. If only
# the connection was reset, nng reconnects after 100 ms.
CLOSED_SILENT_MS = 200.0
# A busy dispatcher counts as no longer busy below BUSY_LIMIT less this, so that a share near the
# limit does not change what is believed with each report.
BUSY_MARGIN = 0.05
# Limit for dispatchers in another domain or without workers, which report less often.
IDLE_SILENT_MS = 1_000.0


class PeerView:
    """Another dispatcher.

    All times but ``clock_ms`` are readings of this process's clock in milliseconds.

    :ivar peer: its address and incarnation
    :ivar record: what it registered in the store
    :ivar clock_ms: highest reading of its own clock in its reports, sent back to it so that it can
        tell how old a message is; 0 before the first report of this incarnation
    :ivar confirmed_ms: when the last report was sent that this incarnation has received
    :ivar last_message_ms: when its last report arrived
    :ivar known_since_ms: when it was added, or replaced by another incarnation
    :ivar report_sent_ms: when a report was last sent to it
    :ivar is_leaving: whether it is about to exit
    :ivar is_connection_closed: whether it has closed the connection
    :ivar was_alive: what ``is_alive`` returned when it was last checked
    :ivar loads: load of its workers by service, from its last report
    :ivar unregistered: addresses of the workers that it uses and does not find in the store, from
        its last report
    :ivar busy_share: part of its processor share that it uses, from its last report; negative if
        unknown
    :ivar is_busy: whether it is believed to use more of its processor share than ``BUSY_LIMIT``
    :ivar sent_work: work forwarded to it since that report by service, in thousandths of a core
        times milliseconds
    """

    def __init__(self, address: str, record: DispatcherRecord, domain: str, now: float):
        """Start with what the store contains, as nothing was heard of it yet.

        :param domain: failure domain of this process
        :param now: current time in milliseconds
        """
        self._domain = domain
        self.peer = Peer(address, ANY_INCARNATION)
        self.record = record
        self.clock_ms = 0.0
        self.confirmed_ms = 0.0
        self.last_message_ms = 0.0
        self.known_since_ms = now
        self.report_sent_ms = -math.inf
        self.is_leaving = False
        self.is_connection_closed = False
        self.was_alive = True
        self.loads: dict[str, ServiceLoad] = {}
        self.unregistered: tuple[str, ...] = ()
        self.busy_share = UNKNOWN_SHARE
        self.is_busy = False
        self._has_invalid_share = False
        self.sent_work: dict[str, float] = {}

    @property
    def domain(self) -> str:
        """Return the failure domain that it registered."""
        return self.record.domain

    @property
    def gives_up_claims(self) -> bool:
        """Whether it registered as one that gives up its jobs when out of contact."""
        return self.record.gives_up_claims

    @property
    def is_in_same_domain(self) -> bool:
        """Whether it is in the same failure domain as this process."""
        return self.record.domain == self._domain

    @property
    def has_reported(self) -> bool:
        """Whether its current incarnation has sent a report."""
        return self.clock_ms > 0

    def silent_ms(self, now: float) -> float:
        """Return for how many milliseconds it has been silent."""
        return now - max(self.last_message_ms, self.known_since_ms)

    def accepts_jobs(self, now: float) -> bool:
        """Return whether new jobs may be forwarded to it."""
        return not self.is_leaving and self.is_reachable(now)

    def is_reachable(self, now: float) -> bool:
        """Return whether its current incarnation has reported, is connected and not silent."""
        return self.has_reported and not self.is_connection_closed and self.is_alive(now)

    def is_alive(self, now: float) -> bool:
        """Return whether it has not been silent for too long."""
        silent_ms = self.silent_ms(now)
        if self.is_connection_closed:
            return silent_ms <= CLOSED_SILENT_MS
        return silent_ms <= (
            PEER_SILENT_MS if self.loads and self.is_in_same_domain else IDLE_SILENT_MS
        )

    def apply_report(self, report: DispatcherReport, now: float) -> None:
        """Store the contents of its report, unless a newer one has arrived."""
        self.confirmed_ms = max(self.confirmed_ms, report.echo_ms)
        if report.now_ms < self.clock_ms:
            return
        self.clock_ms = report.now_ms
        self.last_message_ms = now
        self.is_leaving = report.is_leaving
        self.loads = {load.service: load for load in report.loads}
        self.unregistered = report.unlisted
        self.sent_work.clear()
        self.busy_share = self._read_busy_share(report.busy_share)

    def _read_busy_share(self, share: float) -> float:
        """Return a reported share, unknown if it is impossible."""
        if is_valid_share(share):
            return share
        if not self._has_invalid_share:
            self._has_invalid_share = True
            fields = (("peer", self.peer.address), ("busy_share", str(share)))
            _LOG.warning("invalid busy share ignored", extra={"fields": fields})
        return UNKNOWN_SHARE

    def update_busy(self) -> bool:
        """Update whether it is busy from its last report; return whether that has changed."""
        limit = BUSY_LIMIT - BUSY_MARGIN if self.is_busy else BUSY_LIMIT
        if self.is_busy == (self.busy_share > limit):
            return False
        self.is_busy = not self.is_busy
        message = "peer busy" if self.is_busy else "peer no longer busy"
        fields = (("peer", self.peer.address), ("busy_share", round(self.busy_share, 3)))
        _LOG.info(message, extra={"fields": fields})
        return True

    def set_incarnation(self, peer: Peer, now: float) -> None:
        """Replace it by another incarnation, of which nothing is known but its address."""
        self.peer = peer
        self.clock_ms = 0.0
        self.confirmed_ms = 0.0
        self.known_since_ms = now
        self.is_leaving = False
        self.loads = {}
        self.busy_share = UNKNOWN_SHARE
        self.sent_work.clear()


class DispatcherPeers:
    """All other dispatchers, and the workers that this one owns.

    :ivar views: the other dispatchers by address
    :ivar is_leaving: whether this process is about to exit, and owns no workers any more
    :ivar owned: addresses of the workers that this process owns
    :ivar directory: dispatchers and workers registered in the store
    :ivar executors: addresses of all executors that some dispatcher may use
    :ivar is_connection_closed: returns whether a dispatcher has closed the connection to this one
    :ivar has_lost_members: returns whether a dispatcher that is no longer listed may still run jobs
    """

    def __init__(
        self,
        clock: Clock,
        me: Peer,
        record: DispatcherRecord,
        evacuations: Evacuations,
        group_workers: float = GROUP_WORKERS,
    ):
        """Start without any other dispatcher.

        :param me: address and incarnation of this process
        :param record: what this process registered in the store
        :param evacuations: evacuated failure domains, whose workers must not be used for now
        :param group_workers: about how many workers one dispatcher owns
        """
        self._group_workers = group_workers
        self._clock = clock
        self._me = me
        self._record = record
        self._evacuations = evacuations
        self.directory = MemberDirectory()
        self.is_leaving = False
        self.views: dict[str, PeerView] = {}
        self.is_connection_closed: Callable[[Peer], bool] = _assume_connected
        self.has_lost_members: Callable[[], bool] = _assume_none_lost
        self._sites: dict[str, WorkerLocation] = {}
        self._sites_version = 0
        # Input of the last division of the workers.
        self._division_input: tuple = ()
        self.owned: set[str] = set()
        self.executors: set[str] = set()

    def find_or_add(self, sender: Peer) -> PeerView:
        """Return the view of a message's sender, and add or replace it where necessary."""
        view = self.views.get(sender.address)
        now = self._clock.now()
        if view is None:
            record = self.directory.dispatchers.get(sender.address, DispatcherRecord(""))
            view = self._add(sender.address, record, now)
        if view.peer.incarnation != sender.incarnation:
            if view.peer.incarnation != ANY_INCARNATION:
                _LOG.warning("peer replaced", extra={"fields": (("peer", sender.address),)})
            view.set_incarnation(sender, now)
        return view

    def list_owners(self) -> Iterable[PeerView]:
        """Return the dispatchers that jobs may be forwarded to."""
        now = self._clock.now()
        return (view for view in self.views.values() if view.loads and view.accepts_jobs(now))

    def refresh(self) -> bool:
        """Apply changes of the members; return whether the owned workers may have changed.

        Dispatchers that are neither registered nor alive are removed.
        """
        now = self._clock.now()
        self.directory.remove_expired(now)
        listed = self.directory.dispatchers
        for address, record in listed.items():
            if address != self._me.address and address not in self.views:
                self._add(address, record, now)
        may_drop_executors = not self.has_lost_members()
        for address, view in list(self.views.items()):
            view.record = listed.get(address, view.record)
            view.is_connection_closed = self.is_connection_closed(view.peer)
            if address not in listed and not view.is_alive(now):
                del self.views[address]
                may_drop_executors = False
            elif view.was_alive != view.is_alive(now):
                self._log_change(view, now)
        self._update_executors(now, may_drop_executors)
        return self._divide_workers(now)

    def _update_executors(self, now: float, may_drop: bool) -> None:
        """Update the executors; keep one that is not registered while a dispatcher may use it.

        :param may_drop: whether no dispatcher was lost that may use executors without registration
        """
        listed = self.directory.workers.keys()
        views = self.views.values()
        used = {address for view in views for address in view.unregistered}
        self.executors |= listed | used
        if may_drop and all(view.is_reachable(now) for view in views):
            self.executors &= listed | used

    def _add(self, address: str, record: DispatcherRecord, now: float) -> PeerView:
        view = self.views[address] = PeerView(address, record, self._record.domain, now)
        return view

    def _log_change(self, view: PeerView, now: float) -> None:
        view.was_alive = not view.was_alive
        message = "peer reachable again" if view.was_alive else "peer silent"
        fields = (("peer", view.peer.address), ("silent_ms", round(view.silent_ms(now))))
        _LOG.warning(message, extra={"fields": fields})

    def _find_sites(self) -> dict[str, WorkerLocation]:
        """Return the locations of the workers; the same object until the members change."""
        if self._sites_version != self.directory.version:
            self._sites_version = self.directory.version
            self._sites = {
                address: WorkerLocation(record.service, record.domain, record.rack)
                for address, record in self.directory.workers.items()
            }
        return self._sites

    def _divide_workers(self, now: float) -> bool:
        members = [
            Owner(address, view.record.domain, view.record.capacity)
            for address, view in self.views.items()
            if view.is_alive(now) and not view.is_leaving
        ]
        if not self.is_leaving:
            members.append(Owner(self._me.address, self._record.domain, self._record.capacity))
        workers = self._find_sites()
        division_input = (sorted(members), workers, self._evacuations.domains)
        if division_input == self._division_input:
            return False
        self._division_input = division_input
        owners_by_worker: dict[str, str] = {}
        for service in {site.service for site in workers.values()}:
            owners_by_worker |= self._divide_service(members, service)
        owned = {
            address for address, owner in owners_by_worker.items() if owner == self._me.address
        }
        fields = (("members", len(members)), ("workers", len(workers)), ("owned", len(owned)))
        _LOG.info("workers divided", extra={"fields": fields})
        self.owned = owned
        return True

    def _divide_service(self, members: list[Owner], service: str) -> dict[str, str]:
        """Return the owners of a service's workers by address.

        Evacuated workers are divided separately: every dispatcher so gets its share of the usable
        ones, and none owns evacuated workers alone.
        """
        usable: dict[str, WorkerLocation] = {}
        evacuated: dict[str, WorkerLocation] = {}
        for address, site in self._find_sites().items():
            if site.service == service:
                group = evacuated if self._evacuations.is_evacuated(site.domain) else usable
                group[address] = site
        owners = assign_workers(members, usable, self._group_workers)
        return owners | assign_workers(members, evacuated, self._group_workers)


def _assume_connected(_peer: Peer) -> bool:
    return False


def _assume_none_lost() -> bool:
    return False
