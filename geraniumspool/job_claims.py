"""Claims of one dispatcher on the jobs that it runs.

Before a job's first task starts, a majority of its arbiters must have granted the claim to this
dispatcher. The claim is released once all runs of the job are known to have ended. A caller may
therefore send a job again at any time and to any dispatcher, and no task runs twice at the same
time. If too few arbiters can answer, or the holder of a job is unreachable, every executor is
asked for a fence instead: it then runs the job for this dispatcher only.
"""

import logging
import math
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

import eventlet

from geraniumspool.claim_messages import (
    Claim,
    ClaimJobs,
    ClaimVerdict,
    ClaimVerdicts,
    EndClaims,
    JobsFenced,
    OpenClaims,
    RelayedClaims,
)
from geraniumspool.claim_relays import ClaimRelays
from geraniumspool.claim_table import ClaimTable, quorum_of
from geraniumspool.contracts import Clock, Counters, Links
from geraniumspool.fence_requests import FenceRequests
from geraniumspool.messages import ANY_INCARNATION, Message, Peer
from geraniumspool.open_claim import (
    GRANTED_BY_ARBITERS,
    GRANTED_BY_FENCE,
    Claimant,
    OpenClaim,
)
from geraniumspool.reliable_links import ReliableLinks
from geraniumspool.run_leases import CLAIM_CONTACT_MS, RUNS_OVER_MS

_LOG = logging.getLogger(__name__)

# If the arbiters that were asked first have not granted a claim after this, the others are asked
# as well.
HEDGE_MS = 50.0
# An arbiter that has not granted a claim is asked again after this: one that did not know every
# earlier claim may know them by then.
REPEAT_MS = 100.0
# Arbiters answer at once. The connection to one that has not confirmed a request after this time is
# reopened.
CONFIRMATION_LIMIT_MS = 150.0
# If another connection was found dead within this time, those to arbiters may be dead as well, and
# all arbiters are asked at once.
SUSPECT_LINKS_MS = 500.0
# A reachable arbiter that has not answered after this is no longer waited for.
ARBITER_TIMEOUT_MS = 500.0
# A granted claim is requested again if no quorum of its arbiters was in contact for this long.
CONTACT_LIMIT_MS = 1_000.0
# Interval at which the contact with arbiters is checked.
CONTACT_CHECK_MS = 200.0
# Releases are batched for up to this time. A dispatcher that claims the job in between is
# referred to its holder.
RELEASE_BATCH_MS = 100.0
# If this process was stopped for this long, its leases have expired and executors have stopped
# its runs.
MAX_PAUSE_MS = 600.0
# If two dispatchers claim a job at the same time and each has some grants, the one with the higher
# address gives up at once; the other one waits this long for it.
YIELD_WAIT_MS = 90.0
# Most jobs that a log line names.
MAX_LOGGED_JOBS = 10


class ClaimPeer(Protocol):
    """What claims need to know of another dispatcher.

    :ivar peer: its address and incarnation
    :ivar is_in_same_domain: whether it is in the failure domain of this process
    :ivar domain: its failure domain
    :ivar confirmed_ms: when the last report was sent that this incarnation has received
    :ivar gives_up_claims: whether it gives up its jobs when out of contact with their arbiters
    """

    peer: Peer
    is_in_same_domain: bool
    domain: str
    confirmed_ms: float
    gives_up_claims: bool

    def is_reachable(self, now: float) -> bool:
        """Return whether its current incarnation has reported, is connected and not silent."""


class _QueuedParts:
    """Claims and released numbers for the next message to one arbiter."""

    def __init__(self):
        self.claims: list[Claim] = []
        self.released: list[int] = []


class JobClaims:
    """All claims of one dispatcher, and the claims that it grants as an arbiter.

    :ivar table: claims that this dispatcher has granted as an arbiter
    :ivar fences: requests to executors for fences
    :ivar links: connections to the other dispatchers
    :ivar on_granted: called with a job that may run now, and the rank of its fence, 0 for none
    :ivar on_suspended: called with a job of which nothing may start until it is granted again
    :ivar on_held_elsewhere: called with a job that another dispatcher holds, and that dispatcher's
        address, empty if it is not known
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        counters: Counters,
        me: Peer,
        domain: str,
        find_peers: Callable[[], Iterable[ClaimPeer]],
        list_executors: Callable[[], Collection[str]],
        started_ms: float | None = None,
    ):
        """Start without any claim.

        :param send: queues a message to a dispatcher or an executor; returns whether it was queued
        :param me: address and incarnation of this process
        :param domain: failure domain of this process
        :param find_peers: returns the other dispatchers
        :param list_executors: returns the addresses of all executors
        :param started_ms: when this process started, in milliseconds; None for now
        """
        self._clock = clock
        self._send = send
        self._counters = counters
        self._me = me
        self._domain = domain
        self._find_peers = find_peers
        self._started_ms = clock.now() if started_ms is None else started_ms
        self.table = ClaimTable(clock, me.address, self._started_ms)
        self.fences = FenceRequests(clock, send, list_executors)
        self.fences.has_lost_members = lambda: self.table.keeps_unannounced
        self.fences.find_claims_over_ms = lambda: self.table.claims_over_ms
        self._relays = ClaimRelays(clock, send, list_executors, self._ask_all_due)
        self.links: Links = ReliableLinks()
        self.on_granted: Callable[[Claimant, int], None] = _ignore_grant
        self.on_held_elsewhere: Callable[[Claimant, str], None] = _ignore_held
        self.on_suspended: Callable[[Claimant], None] = _ignore_doubt
        self._peers: dict[str, ClaimPeer] = {}
        self._domains: dict[str, str] = {}
        self._members_version = 0
        self._open: dict[str, OpenClaim] = {}
        self._by_number: dict[int, OpenClaim] = {}
        self._undecided: dict[int, OpenClaim] = {}
        self._next_number = 1
        self._settled_arbiters: set[Peer] = set()
        self._outbox: dict[Peer, _QueuedParts] = {}
        self._is_flush_due = False
        self._is_fence_due = False
        self._flushed_ms = clock.now()
        self._checked_ms = clock.now()
        self._contacts_checked_ms = clock.now()

    def update_members(self) -> None:
        """Update the list of dispatchers, and send all open claims to those that need them."""
        self._peers = {view.peer.address: view for view in self._find_peers()}
        previous = self._domains
        self._domains = {address: view.domain for address, view in self._peers.items()}
        self._domains[self._me.address] = self._domain
        if self._domains != previous:
            self.table.set_members(self._domains)
        self.table.lapsing_members = {
            address for address, view in self._peers.items() if view.gives_up_claims
        }
        forgotten = self.table.forget_former_members()
        if forgotten:
            self._counters.add("former_members_forgotten", forgotten)
        if self._members_version != self.table.members_version:
            self._members_version = self.table.members_version
            self._reassign_arbiters()
        for view in self._peers.values():
            if view.peer.incarnation != ANY_INCARNATION:
                self._note_incarnation(view.peer)
                if view.peer not in self._settled_arbiters:
                    self._send_open_claims(view.peer)

    def _reassign_arbiters(self) -> None:
        """Choose the arbiters of open claims again after a change of the members.

        New arbiters of a granted claim are asked as well, so that they know of it. Grants under
        the former members count only together with the quorum of these.
        """
        now = self._clock.now()
        for claim in self._open.values():
            claim.arbiter_sets = self.table.list_arbiter_sets(claim.job_id)
            if claim.is_granted:
                self._ask_all_due(claim, now)

    def claim(self, job: Claimant) -> None:
        """Claim a job; ``on_granted`` or ``on_held_elsewhere`` is called with the outcome.

        If the same job is claimed already, this one becomes the claim's successor.
        """
        existing = self._open.get(job.claim_id)
        if existing is not None:
            existing.resent_job = job
            return
        arbiter_sets = self.table.list_arbiter_sets(job.claim_id)
        claim = self._open[job.claim_id] = OpenClaim(job, arbiter_sets, self._clock.now())
        self._assign_number(claim)
        self._ask_quorum(claim)
        self._grant_on_quorum(claim)
        if not claim.is_granted and self._is_undecidable(claim, claim.began_ms):
            self._request_fences_soon()

    def release(self, job: Claimant, send_now: bool = True) -> None:
        """Release a job's claim, as none of its runs is left or it does not need to run.

        A successor takes over the claim, and has it granted again.

        :param send_now: whether other dispatchers may claim the job soon, so that the release is
            sent at once
        """
        claim = self._open.get(job.claim_id)
        if claim is None:
            return
        if claim.resent_job is job:
            claim.resent_job = None
        if claim.job is not job:
            return
        if claim.resent_job is not None:
            claim.job, claim.resent_job = claim.resent_job, None
            # The successor may run for longer than the arbiters were told.
            self._request_again(claim)
            return
        self._release_claim(claim)
        if send_now:
            self._flush_soon()

    def handle_foreign_fence(self, job: Claimant) -> None:
        """Handle that an executor refuses a granted job because of another dispatcher's fence.

        Either another dispatcher holds the job by now, and the claim is given up; or the fence is
        an old one, and the arbiters grant the claim again.
        """
        claim = self._open.get(job.claim_id)
        if claim is None or claim.job is not job or not claim.is_granted:
            return
        claim.is_contested = True
        self.fences.rank += 1
        self._request_again(claim)

    def find_first_grant_ms(self, job: Claimant) -> float:
        """Return when a job's claim was first granted; infinite if it is not granted."""
        claim = self._open.get(job.claim_id)
        if claim is None or claim.first_granted_ms is None:
            return math.inf
        return claim.first_granted_ms

    def describe(self, job: Claimant) -> tuple[tuple[str, object], ...]:
        """Return the claim that a job has and how it was granted, as fields of a log line."""
        claim = self._open.get(job.claim_id)
        if claim is None or claim.job is not job:
            return ()
        return claim.describe(self._clock.now())

    def handle_claim_jobs(self, sender: Peer, message: ClaimJobs) -> None:
        """Answer another dispatcher's claims as an arbiter."""
        self._note_incarnation(sender)
        self._yield_to_fences(sender, message.claims)
        verdicts = self.table.apply_claim_jobs(sender, message)
        if verdicts or not self._is_settled_for(sender):
            self._send_verdicts(sender, verdicts)

    def handle_open_claims(self, sender: Peer, message: OpenClaims) -> None:
        """Handle the complete list of another dispatcher's claims."""
        self._note_incarnation(sender)
        self._yield_to_fences(sender, message.claims)
        # Answered also without verdicts: the list is repeated until this arbiter is known to be
        # settled.
        self._send_verdicts(sender, self.table.apply_open_claims(sender, message))

    def handle_relayed_claims(self, _sender: Peer, message: RelayedClaims) -> None:
        """Handle claims of a dispatcher that may not reach this arbiter, sent by an executor."""
        self._yield_to_fences(Peer(message.holder, message.holder_life), message.claims)
        self.table.apply_relayed_claims(message)

    def _note_incarnation(self, peer: Peer) -> None:
        former = self.table.note_incarnation(peer)
        if former is not None:
            for claim in self._by_number.values():
                claim.forget_answer(peer.address)
            # If this was a late message, the former incarnation is the current one. This answer
            # makes it send its open claims again.
            self._send(former, ClaimVerdicts((), False))

    def _yield_to_fences(self, sender: Peer, claims: Iterable[Claim]) -> None:
        """Give up granted claims on jobs that executors have fenced for another dispatcher."""
        for foreign in self.table.list_open(sender, claims):
            claim = self._open.get(foreign.job_id)
            if claim is not None and claim.is_granted and foreign.rank > claim.rank:
                self._give_up(claim, sender.address, "fenced")

    def _is_settled_for(self, sender: Peer) -> bool:
        return self.table.is_settled and self.table.is_synced(sender)

    def _send_verdicts(self, sender: Peer, verdicts: list[ClaimVerdict]) -> None:
        self._send(sender, ClaimVerdicts(tuple(verdicts), self._is_settled_for(sender)))

    def note_report(self, sender: Peer) -> None:
        """Note that a report of another dispatcher has arrived."""
        self._note_incarnation(sender)
        self.table.note_report(sender)

    def handle_end_claims(self, sender: Peer, _message: EndClaims) -> None:
        """Handle that another dispatcher exits with no run left."""
        self._note_incarnation(sender)
        self.table.note_clean_exit(sender)

    def announce_exit(self) -> None:
        """Tell the other dispatchers that this process exits, if none of its runs can be left.

        No job may be claimed after this call.
        """
        age_ms = self._clock.now() - self._started_ms
        if self._open or not (self.table.is_settled or age_ms >= RUNS_OVER_MS):
            _LOG.info("claims open at exit", extra={"fields": (("jobs", len(self._open)),)})
            return
        for view in self._peers.values():
            self._send(view.peer, EndClaims())

    def handle_claim_verdicts(self, sender: Peer, message: ClaimVerdicts) -> None:
        """Handle an arbiter's answers to claims.

        Those of a former incarnation do not count: the current one does not know what it granted.
        """
        if not self._is_current(sender):
            return
        self._note_incarnation(sender)
        if message.is_settled:
            self._settled_arbiters.add(sender)
        else:
            self._settled_arbiters.discard(sender)
        now = self._clock.now()
        for verdict in message.verdicts:
            claim = self._by_number.get(verdict.number)
            if claim is not None:
                self._apply_verdict(claim, sender.address, verdict, message.is_settled)
                self._grant_on_quorum(claim)
                if claim.number in self._undecided and self._is_undecidable(claim, now):
                    self._request_fences_soon()

    def _is_current(self, peer: Peer) -> bool:
        """Return whether no other incarnation of a dispatcher is known to have followed."""
        view = self._peers.get(peer.address)
        if view is None or view.peer.incarnation == ANY_INCARNATION:
            return self.table.is_current(peer)
        return view.peer == peer

    def handle_jobs_fenced(self, sender: Peer, message: JobsFenced) -> None:
        """Handle an executor's answer to a request for fences."""
        self.fences.handle_answer(sender, message)
        for job_id in message.job_ids:
            claim = self._open.get(job_id)
            if claim is None or claim.number not in self._undecided:
                continue
            if not self.fences.is_current(claim, message):
                continue
            claim.fenced_by.add(sender.address)
            claim.fence_incarnations[sender.address] = sender.incarnation
            claim.has_replaced_fence |= job_id in message.replaced
            if self.fences.is_complete(claim):
                self._grant_by_fence(claim)

    def handle_executor_start(self, address: str) -> None:
        """Request fences from an executor that has just started.

        It may be the last one whose fence is missing.
        """
        self.fences.request_from(address, self._list_undecidable())

    def handle_new_executor(self, executor: Peer) -> None:
        """Handle that another process of an executor reports, which has no fence yet."""
        self.fences.note_incarnation(executor)
        self.renew_grants("executor_new")

    def check_pause(self) -> None:
        """Renew the grants of all claims after a pause of ``MAX_PAUSE_MS`` or more."""
        now = self._clock.now()
        pause_ms, self._checked_ms = now - self._checked_ms, now
        if pause_ms >= MAX_PAUSE_MS:
            self.renew_grants("paused")

    def renew_grants(self, reason: str) -> None:
        """Have all granted claims granted again before further tasks of their jobs start.

        Other dispatchers may have taken this process for dead, or an executor has restarted and
        lost its fences.

        :param reason: for the log
        """
        granted = [claim for claim in self._by_number.values() if claim.is_granted]
        if not granted:
            return
        fields = (
            ("reason", reason),
            ("jobs", len(granted)),
            ("first_jobs", ",".join(claim.job_id for claim in granted[:MAX_LOGGED_JOBS])),
        )
        _LOG.info("claims requested again", extra={"fields": fields})
        for claim in granted:
            self.on_suspended(claim.job)
            self._request_again(claim)

    def _assign_number(self, claim: OpenClaim) -> None:
        """Give a claim a new number, so that answers to earlier requests do not count."""
        claim.number = self._next_number
        self._next_number += 1
        self._by_number[claim.number] = claim
        self._undecided[claim.number] = claim

    def _request_again(self, claim: OpenClaim) -> None:
        now = self._clock.now()
        del self._by_number[claim.number]
        self._undecided.pop(claim.number, None)
        claim.former_numbers.append(claim.number)
        claim.discard_answers(now)
        self._assign_number(claim)
        self._ask_all_due(claim, now)
        self._grant_on_quorum(claim)

    def run_checks(self) -> None:
        """Repeat unanswered requests, and request fences where arbiters cannot decide.

        Called periodically.
        """
        self.check_pause()
        now = self._clock.now()
        if now - self._flushed_ms >= RELEASE_BATCH_MS:
            self._flushed_ms = now
            self._flush()
        if now - self._contacts_checked_ms >= CONTACT_CHECK_MS:
            self._contacts_checked_ms = now
            self._check_contacts(now)
        for claim in list(self._undecided.values()):
            if self._undecided.get(claim.number) is claim:
                self._check_claim(claim, now)
        self._request_fences()
        self._relays.run_checks()

    def _check_contacts(self, now: float) -> None:
        """Give up jobs whose arbiters may have lapsed the claim, as they do not hear this process.

        Before that, the claim is requested again: from other arbiters, or as a fence.
        """
        confirmed_ms = {address: view.confirmed_ms for address, view in self._peers.items()}
        confirmed_ms[self._me.address] = now
        for claim in list(self._by_number.values()):
            if claim.is_fenced or claim.first_granted_ms is None:
                continue
            claim.update_contact(confirmed_ms)
            lost_ms = now - claim.contact_ms
            if lost_ms >= CLAIM_CONTACT_MS - CONTACT_CHECK_MS:
                self._give_up(claim, "", "no_contact")
            elif claim.is_granted and lost_ms >= CONTACT_LIMIT_MS:
                self._counters.add("job_claims", outcome="contact_lost")
                fields = (("job", claim.job_id), ("lost_ms", round(lost_ms)))
                fields += claim.describe(now)
                _LOG.warning("contact with arbiters lost", extra={"fields": fields})
                self.on_suspended(claim.job)
                self._request_again(claim)

    def _check_claim(self, claim: OpenClaim, now: float) -> None:
        is_unanswered = now - claim.began_ms > ARBITER_TIMEOUT_MS and not claim.has_quorum
        if claim.is_contested and (claim.holder is not None or is_unanswered):
            self._give_up(claim, claim.holder.address if claim.holder else "", "contested")
            return
        if claim.holder is not None:
            self._check_holder(claim, now)
        if claim.number in self._undecided and now - claim.began_ms >= HEDGE_MS:
            self._ask_all_due(claim, now)
            self._grant_on_quorum(claim)

    def _check_holder(self, claim: OpenClaim, now: float) -> None:
        """Hand a job over to its reachable holder, unless that one may be about to give it up."""
        holder = claim.holder
        if not self._is_reachable(holder, now):
            return
        if holder.address < self._me.address or now - claim.held_since_ms > YIELD_WAIT_MS:
            if claim.first_granted_ms is not None:
                # Requested again: runs may be active, and the claim lasts until they are over.
                self._give_up(claim, holder.address, "held_elsewhere")
                return
            job = claim.job
            self._release_claim(claim)
            self._flush_soon()
            self._counters.add("job_claims", outcome="held")
            self.on_held_elsewhere(job, holder.address)

    def _is_reachable(self, holder: Peer, now: float) -> bool:
        view = self._peers.get(holder.address)
        return view is not None and view.peer == holder and view.is_reachable(now)

    def _ask_quorum(self, claim: OpenClaim) -> None:
        """Ask just enough arbiters for a quorum: reachable ones first, then those in this domain.

        Arbiters that did not know every earlier claim at their last answer are asked on top, and
        all arbiters shortly after a connection was found dead or after a change of the members.
        """
        now = self._clock.now()
        has_suspect_links = now - self.links.reopened_ms < SUSPECT_LINKS_MS
        arbiters = claim.arbiters
        asks_all = has_suspect_links or len(claim.arbiter_sets) > 1
        missing = len(arbiters) if asks_all else quorum_of(arbiters)
        if self._me.address in arbiters:
            self._ask_arbiter(claim, self._me.address, now)
            missing -= self._me.address in claim.granted_by
        others = [self._peers[name] for name in arbiters if name in self._peers]
        others.sort(key=lambda view: (not view.is_reachable(now), not view.is_in_same_domain))
        for view in others:
            if missing > 0:
                self._ask_arbiter(claim, view.peer.address, now)
                missing -= view.peer in self._settled_arbiters

    def _ask_all_due(self, claim: OpenClaim, now: float) -> None:
        for address in claim.arbiters:
            is_due = now - claim.asked_ms.get(address, -math.inf) >= REPEAT_MS
            if address not in claim.granted_by and is_due:
                self._reopen_if_dead(claim, address, now)
                self._ask_arbiter(claim, address, now)

    def _reopen_if_dead(self, claim: OpenClaim, address: str, now: float) -> None:
        """Reopen the connection to an arbiter that was asked before and has confirmed nothing."""
        first_asked_ms = claim.first_asked_ms.get(address, now)
        if now - first_asked_ms >= CONFIRMATION_LIMIT_MS and address in self._peers:
            self.links.reopen_unconfirmed(self._peers[address].peer, first_asked_ms)

    def _ask_arbiter(self, claim: OpenClaim, address: str, now: float) -> None:
        claim.asked_ms[address] = now
        claim.first_asked_ms.setdefault(address, now)
        claim.told_arbiters.add(address)
        left_ms = claim.job.remaining_claim_ms(now)
        self.table.note_length(left_ms)
        message = Claim(claim.number, claim.job_id, left_ms, claim.rank)
        if address == self._me.address:
            verdict = self.table.decide(self._me, message)
            self._apply_verdict(claim, address, verdict, self.table.is_settled)
        elif address in self._peers:
            self._queue_for(self._peers[address].peer).claims.append(message)
            self._flush_soon()

    def _apply_verdict(
        self, claim: OpenClaim, address: str, verdict: ClaimVerdict, is_settled: bool
    ) -> None:
        """Apply an arbiter's answer.

        :param is_settled: whether the arbiter knows every claim made before its process started
        """
        if claim.is_fenced and verdict.holder:
            # An answer to a request from before executors fenced the holder off.
            return
        if claim.is_granted and verdict.holder:
            self._give_up(claim, verdict.holder, "held_elsewhere", address)
            return
        if not verdict.holder:
            claim.held_by.pop(address, None)
            claim.forget_answer(address)
            if is_settled:
                claim.informed_grants_by.add(address)
            (claim.granted_by if verdict.is_sure else claim.unsure_grants_by).add(address)
            return
        holder = Peer(verdict.holder, verdict.holder_life)
        if holder != claim.holder:
            claim.held_since_ms = self._clock.now()
            fields = (("job", claim.job_id), ("holder", holder.address), ("arbiter", address))
            _LOG.info("job held elsewhere", extra={"fields": fields})
        claim.held_by[address] = holder

    def _give_up(self, claim: OpenClaim, holder: str, reason: str, arbiter: str = "") -> None:
        """Give up a claim, as the job was or may be granted to another dispatcher.

        :param holder: address of that dispatcher, empty if it is not known
        :param reason: for the log
        :param arbiter: address of the arbiter that has named the holder, for the log
        """
        now = self._clock.now()
        fields = (
            ("job", claim.job_id),
            ("reason", reason),
            ("holder", holder),
            ("arbiter", arbiter),
            ("contact_age_ms", round(now - claim.contact_ms)),
            *claim.describe(now),
        )
        _LOG.warning("claim lost", extra={"fields": fields})
        self._counters.add("job_claims", outcome="lost")
        claim.discard_answers(now)
        claim.is_contested = False
        claim.first_granted_ms = None
        self._undecided.pop(claim.number, None)
        self.on_held_elsewhere(claim.job, holder)

    def _grant_on_quorum(self, claim: OpenClaim) -> None:
        is_open = claim.number in self._undecided and not claim.needs_fence
        if is_open and claim.has_quorum:
            self._grant(claim, GRANTED_BY_ARBITERS)

    def _grant(self, claim: OpenClaim, how: str) -> None:
        now = self._clock.now()
        claim.is_granted = True
        claim.record_grant(how, now)
        if claim.first_granted_ms is None:
            claim.first_granted_ms = now
        self._undecided.pop(claim.number, None)
        took_ms = now - claim.began_ms
        self._counters.add("job_claims", outcome=how)
        self._counters.observe("claim_ms", took_ms, how=how)
        is_late = took_ms > HEDGE_MS
        if is_late or how == GRANTED_BY_FENCE:
            fields = (("job", claim.job_id), ("how", how), ("took_ms", round(took_ms, 1)))
            fields += claim.describe(now)
            message = "claim granted late" if is_late else "claim granted by fence"
            _LOG.info(message, extra={"fields": fields})
        self.on_granted(claim.job, claim.rank)

    def _release_claim(self, claim: OpenClaim) -> None:
        del self._open[claim.job_id]
        del self._by_number[claim.number]
        self._relays.remove(claim)
        self._undecided.pop(claim.number, None)
        for address in sorted(claim.told_arbiters):
            if address == self._me.address:
                for number in claim.numbers:
                    self.table.release(self._me, number)
            elif address in self._peers:
                self._queue_for(self._peers[address].peer).released.extend(claim.numbers)

    def _queue_for(self, peer: Peer) -> _QueuedParts:
        return self._outbox.setdefault(peer, _QueuedParts())

    def _flush_soon(self) -> None:
        if not self._is_flush_due:
            self._is_flush_due = True
            eventlet.spawn_n(self._flush)

    def _flush(self) -> None:
        """Send the queued claims and releases, in one message to each arbiter."""
        self._is_flush_due = False
        outbox, self._outbox = self._outbox, {}
        for peer, parts in outbox.items():
            message = ClaimJobs(tuple(parts.claims), tuple(parts.released), self._find_oldest())
            self._send(peer, message)

    def _find_oldest(self) -> int:
        """Return the lowest number that an open claim has, or has had.

        A request under a new number may be lost. Until the claim is released, its runs go on under
        the grants that arbiters have recorded before.
        """
        oldest = next(iter(self._open.values()), None)
        return self._next_number if oldest is None else oldest.numbers[0]

    def _send_open_claims(self, peer: Peer) -> None:
        """Send a new arbiter the complete list of the claims that it decides on."""
        now = self._clock.now()
        claims = tuple(
            Claim(claim.number, claim.job_id, claim.job.remaining_claim_ms(now), claim.rank)
            for claim in self._by_number.values()
            if peer.address in claim.arbiters
        )
        age_ms = now - self._started_ms
        upto = self._next_number - 1
        message = OpenClaims(
            claims,
            upto,
            age_ms,
            self.table.is_settled,
            self.table.clean_exits,
            self.table.keeps_unannounced,
        )
        self._send(peer, message)

    def _request_fences_soon(self) -> None:
        if not self._is_fence_due:
            self._is_fence_due = True
            eventlet.spawn_n(self._request_fences)

    def _request_fences(self) -> None:
        """Request fences on the jobs whose arbiters cannot decide."""
        self._is_fence_due = False
        for claim in self.fences.request(self._list_undecidable()):
            self._grant_by_fence(claim)

    def _list_undecidable(self) -> list[OpenClaim]:
        now = self._clock.now()
        return [claim for claim in self._undecided.values() if self._is_undecidable(claim, now)]

    def _is_undecidable(self, claim: OpenClaim, now: float) -> bool:
        """Return whether the arbiters cannot decide a claim, so that it needs a fence.

        They cannot if too few of them may still grant it, or if its holder is unreachable. A
        contested claim needs a fence once a quorum has granted it again.
        """
        if claim.needs_fence and claim.has_quorum:
            return True
        if claim.is_contested:
            return False
        if claim.holder is not None:
            return not self._is_reachable(claim.holder, now)
        is_early = now - claim.began_ms < ARBITER_TIMEOUT_MS
        may_still_grant = [
            address
            for address in set(claim.arbiters) - claim.granted_by - claim.unsure_grants_by
            if is_early and address in self._peers and self._peers[address].is_reachable(now)
        ]
        return not claim.is_quorum(claim.granted_by.union(may_still_grant))

    def _grant_by_fence(self, claim: OpenClaim) -> None:
        """Grant a claim, as every executor has fenced the job for this dispatcher."""
        claim.is_fenced = True
        claim.is_contested = False
        claim.asked_ms.clear()
        now = self._clock.now()
        for address in claim.arbiters:
            self._ask_arbiter(claim, address, now)
        self._relays.add(claim, self._list_unreachable(claim, now))
        self._grant(claim, GRANTED_BY_FENCE)

    def _list_unreachable(self, claim: OpenClaim, now: float) -> list[str]:
        """Return the arbiters of a claim that are not expected to answer."""
        others = [address for address in claim.arbiters if address != self._me.address]
        peers = self._peers
        return [
            address
            for address in others
            if address not in peers or not peers[address].is_reachable(now)
        ]


def _ignore_doubt(_owner: Claimant) -> None:
    pass


def _ignore_grant(_owner: Claimant, _rank: int) -> None:
    pass


def _ignore_held(_owner: Claimant, _holder: str) -> None:
    pass
