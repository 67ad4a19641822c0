"""Claims on jobs that one dispatcher has granted as an arbiter.

A job is granted to one dispatcher at a time, until that one releases it or all its runs must
have ended. The grants are kept in memory only. A restarted arbiter answers claims, but marks its
answers as not sure until it is settled: until all dispatchers have sent it their open claims, and
all runs of their former incarnations have ended, either since enough time has passed or since the
other dispatchers have seen them exit with no run left.
"""

import logging
import math
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from zlib import crc32

from geraniumspool.claim_messages import (
    Claim,
    ClaimJobs,
    ClaimVerdict,
    OpenClaims,
    RelayedClaims,
)
from geraniumspool.contracts import Clock
from geraniumspool.messages import Peer
from geraniumspool.released_claims import ReleasedClaims
from geraniumspool.run_leases import CLAIMS_LAPSED_MS, CLOCK_DRIFT, RUNS_OVER_MS
from geraniumspool.wire_versions import VERSION_LAPSING_CLAIMS, announced_version

_LOG = logging.getLogger(__name__)

# Two of three arbiters are a majority, so claims are granted without delay if one fails.
ARBITER_COUNT = 3
# Interval at which expired grants are removed.
SWEEP_MS = 1_000.0
# Callers that state no time limit wait for this long. A dispatcher that left the list of members
# without a clean exit may still run the jobs that it has claimed, and counts as an arbiter until
# they must have ended.
USUAL_CLAIM_MS = 15_000.0
# Most claims that a log line names.
MAX_LOGGED_CLAIMS = 10
# Incarnations of a dispatcher that are known besides the current one.
MAX_KNOWN_INCARNATIONS = 8


def choose_arbiters(job_id: str, members: Mapping[str, str]) -> list[str]:
    """Return the addresses of a job's arbiters, by rendezvous hashing.

    They are in different failure domains if there are enough, so that the loss of one domain
    leaves a quorum.

    :param members: failure domains of all dispatchers by address
    :returns: ``ARBITER_COUNT`` addresses, or all if there are fewer dispatchers
    """
    ranked = sorted(members, key=lambda address: crc32(f"{job_id}|{address}".encode()))
    chosen: list[str] = []
    same_domain: list[str] = []
    domains: set[str] = set()
    for address in ranked:
        if members[address] in domains:
            same_domain.append(address)
            continue
        domains.add(members[address])
        chosen.append(address)
        if len(chosen) == ARBITER_COUNT:
            return chosen
    return (chosen + same_domain)[:ARBITER_COUNT]


def quorum_of(arbiters: Sequence[str]) -> int:
    """Return how many of a job's arbiters must grant a claim: a majority."""
    return len(arbiters) // 2 + 1


class _Grant:
    """A granted claim.

    :ivar granted_ms: when its holder last asked for it
    :ivar until_ms: when all runs of the job must have ended
    """

    __slots__ = ("granted_ms", "holder", "number", "rank", "until_ms")

    def __init__(self, holder: Peer, claim: Claim, granted_ms: float, until_ms: float):
        self.granted_ms = granted_ms
        self.holder = holder
        self.number = claim.number
        self.rank = claim.rank
        self.until_ms = until_ms


class _DispatcherState:
    """What an arbiter knows of another dispatcher's current incarnation.

    :ivar peer: its address and incarnation
    :ivar is_synced: whether it has sent its open claims
    :ivar age_ms: age of its process when it sent the newest list that has arrived
    :ivar is_settled: whether it is settled as an arbiter itself
    :ivar started_ms: when its process started, by the clock of this process; infinite if unknown
    :ivar clean: addresses of dispatchers whose last incarnation it has seen exit with no run left
    :ivar has_lost_members: whether a dispatcher that it no longer finds in the store may run jobs
    :ivar heard_ms: when its last report arrived, before the first when it became the current one
    :ivar others_heard_ms: the same time of other incarnations at its address, the latest one last;
        one of them is running if this one became the current one by a late message
    """

    def __init__(self, peer: Peer, heard_ms: float, replaced: "_DispatcherState | None" = None):
        self.peer = peer
        self.is_synced = False
        self.age_ms = -math.inf
        self.is_settled = False
        self.started_ms = math.inf
        self.clean: frozenset[str] = frozenset()
        self.has_lost_members = False
        self.heard_ms = heard_ms
        self.others_heard_ms: dict[int, float] = {}
        if replaced is not None:
            others = replaced.others_heard_ms | {replaced.peer.incarnation: replaced.heard_ms}
            others.pop(peer.incarnation, None)
            kept = list(others)[-MAX_KNOWN_INCARNATIONS:]
            self.others_heard_ms = {incarnation: others[incarnation] for incarnation in kept}

    def find_heard_ms(self, incarnation: int) -> float:
        """Return when an incarnation was last heard, 0 if that is not known."""
        if incarnation == self.peer.incarnation:
            return self.heard_ms
        return self.others_heard_ms.get(incarnation, 0.0)


class _FormerMembers:
    """Members that were in force until ``ended_ms``.

    :ivar lost: addresses that left the list then, in order
    :ivar unannounced: those of them whose process has not announced its exit, each with its last
        known incarnation, None if it was never heard
    """

    __slots__ = ("ended_ms", "lost", "members", "unannounced")

    def __init__(
        self,
        members: Mapping[str, str],
        lost: Iterable[str],
        unannounced: dict[str, Peer | None],
        ended_ms: float,
    ):
        self.members = members
        self.lost = tuple(sorted(lost))
        self.unannounced = unannounced
        self.ended_ms = ended_ms


class ClaimTable:
    """Grants of one arbiter, by job.

    :ivar me: address of this dispatcher
    :ivar members_version: increases whenever the members or the former members kept change
    :ivar lapsing_members: addresses of the members that give up their jobs when they are out of
        contact with their arbiters
    """

    def __init__(self, clock: Clock, me: str, started_ms: float):
        """Start without any grant.

        :param started_ms: when this process started, in milliseconds
        """
        self._clock = clock
        self.me = me
        self._started_ms = started_ms
        # The last grant of a job is the one in force. It has a fence of higher rank than those
        # before it, which are in force again once it is released.
        self._grants: dict[str, list[_Grant]] = {}
        self._open_claims: dict[Peer, dict[int, str]] = {}
        self._released = ReleasedClaims()
        self._dispatchers: dict[str, _DispatcherState] = {}
        # The last incarnation of each address that has exited with no run left.
        self._clean_exits: dict[str, Peer] = {}
        self._is_settled = False
        self._last_removal_ms = clock.now()
        self._members: Mapping[str, str] = {}
        self.members_version = 0
        self.lapsing_members: AbstractSet[str] = frozenset()
        self._former_members: list[_FormerMembers] = []
        self._longest_claim_ms = USUAL_CLAIM_MS

    def __len__(self) -> int:
        """Return the number of granted jobs."""
        return len(self._grants)

    def set_members(self, members: Mapping[str, str]) -> None:
        """Set the dispatchers that jobs' arbiters are chosen from.

        :param members: failure domains of all dispatchers by address, this one included
        """
        # The first members are assumed to have also granted the claims of the former incarnation.
        if self._members and self._members != members:
            lost = self._members.keys() - members.keys()
            unannounced = self._find_unannounced(lost)
            former = _FormerMembers(self._members, lost, unannounced, self._clock.now())
            self._former_members.append(former)
        self._members = members
        self.members_version += 1

    def forget_former_members(self) -> int:
        """Forget former members whose grants have all expired; return how many have left since."""
        now = self._clock.now()
        kept, forgotten = [], set()
        for former in self._former_members:
            if now - former.ended_ms < self._find_retention_ms(former):
                kept.append(former)
            elif former.lost:
                forgotten.update(former.lost)
                fields = (
                    ("members", ",".join(former.lost)),
                    ("unannounced", len(former.unannounced)),
                    ("kept_ms", round(now - former.ended_ms)),
                )
                _LOG.info("former members forgotten", extra={"fields": fields})
        if len(kept) < len(self._former_members):
            self.members_version += 1
        self._former_members = kept
        return len(forgotten)

    def list_arbiter_sets(self, job_id: str) -> list[list[str]]:
        """Return a job's arbiters under the members now, and under each former ones kept.

        A claim needs a quorum of each set: on the other side of a partition, the members may be
        others than here, and former ones are all that both sides have in common.
        """
        sets = [choose_arbiters(job_id, self._members)]
        for former in self._former_members:
            arbiters = choose_arbiters(job_id, former.members)
            if arbiters not in sets:
                sets.append(arbiters)
        return sets

    @property
    def claims_over_ms(self) -> float:
        """Return the time from now after which the runs of all claims made until now are over."""
        return self._longest_claim_ms * (1 + CLOCK_DRIFT) + RUNS_OVER_MS

    @property
    def keeps_unannounced(self) -> bool:
        """Whether a former member that did not announce its exit may still run jobs."""
        return any(former.unannounced for former in self._former_members)

    def _find_retention_ms(self, former: _FormerMembers) -> float:
        """Return for how long former members are kept.

        Members that are still listed repeat their claims to new arbiters. One that has left without
        announcing its exit may only be partitioned: executors may still run its jobs.
        """
        if not former.unannounced:
            return RUNS_OVER_MS
        return self.claims_over_ms

    def _find_unannounced(self, addresses: Iterable[str]) -> dict[str, Peer | None]:
        """Return the last known incarnations of dispatchers that have not announced their exit."""
        unannounced = {}
        for address in addresses:
            member = self._dispatchers.get(address)
            peer = member.peer if member is not None else None
            if peer is None or self._clean_exits.get(address) != peer:
                unannounced[address] = peer
        return unannounced

    @property
    def is_settled(self) -> bool:
        """Whether every claim made before this process started is known or has expired."""
        if not self._is_settled:
            self._is_settled = self._check_settled(self._clock.now())
        return self._is_settled

    @property
    def clean_exits(self) -> tuple[str, ...]:
        """Return the addresses of dispatchers whose last incarnation exited with no run left."""
        return tuple(self._clean_exits)

    def note_clean_exit(self, peer: Peer) -> None:
        """Note that a dispatcher exits with no run left, and release its claims.

        A late message of a former incarnation does not say how those after it have ended.
        """
        member = self._dispatchers.get(peer.address)
        is_former = member is not None and peer.incarnation in member.others_heard_ms
        self.note_incarnation(peer)
        if not is_former:
            self._clean_exits[peer.address] = peer
        self._released.add_all(peer)
        for former in self._former_members:
            if former.unannounced.get(peer.address) == peer:
                del former.unannounced[peer.address]
        for number in list(self._open_claims.get(peer, ())):
            self.release(peer, number)

    def is_current(self, peer: Peer) -> bool:
        """Return whether no other incarnation of a dispatcher was heard last."""
        member = self._dispatchers.get(peer.address)
        return member is None or member.peer == peer

    def is_synced(self, peer: Peer) -> bool:
        """Return whether this incarnation of a dispatcher has sent all its open claims."""
        member = self._dispatchers.get(peer.address)
        return member is not None and member.peer == peer and member.is_synced

    def note_incarnation(self, peer: Peer) -> Peer | None:
        """Note a dispatcher's incarnation; any other one at its address counts as ended.

        A late message of a former incarnation may make that one current again for a short time.
        What the other one holds is not limited then, unless this one was unknown so far.

        :returns: the incarnation that counts as ended, None if there is no such change; if it is
            still running, it must send its open claims again
        """
        member = self._dispatchers.get(peer.address)
        if member is not None and member.peer == peer:
            return None
        self._dispatchers[peer.address] = _DispatcherState(peer, self._clock.now(), member)
        if member is None:
            return None
        if peer.incarnation not in member.others_heard_ms:
            self._limit_grants(member.peer)
        if self._clean_exits.get(peer.address) != member.peer:
            self._clean_exits.pop(peer.address, None)
        return member.peer

    def apply_claim_jobs(self, sender: Peer, message: ClaimJobs) -> list[ClaimVerdict]:
        """Apply a dispatcher's claims and releases; return the answers to the claims."""
        self.note_incarnation(sender)
        self._released.add(sender, message.released, message.oldest)
        for number in message.released:
            self.release(sender, number)
        self._release_below(sender, message)
        return self._decide_all(sender, message.claims)

    def _release_below(self, holder: Peer, message: ClaimJobs) -> None:
        """Release the claims below the lowest open one of a message.

        Unless they are claimed anew with it, their release was lost, or they were recorded after
        it.
        """
        claims = self._open_claims.get(holder, {})
        below = {number: claims[number] for number in claims if number < message.oldest}
        if not below:
            return
        for number in below:
            self.release(holder, number)
        claimed = {claim.job_id for claim in message.claims}
        unexpected = [(n, job_id) for n, job_id in below.items() if job_id not in claimed]
        if not unexpected:
            return
        logged = unexpected[:MAX_LOGGED_CLAIMS]
        fields = (
            ("holder", holder.address),
            ("lowest_open", message.oldest),
            ("claims", len(unexpected)),
            ("numbers", ",".join(str(number) for number, _ in logged)),
            ("jobs", ",".join(job_id for _, job_id in logged)),
        )
        _LOG.info("claims below lowest open one released", extra={"fields": fields})

    def apply_open_claims(self, sender: Peer, message: OpenClaims) -> list[ClaimVerdict]:
        """Apply the complete list of a dispatcher's claims; return the answers to them.

        Grants up to ``message.upto`` that are not listed are released. A list that a newer one has
        overtaken changes nothing.
        """
        self.note_incarnation(sender)
        member = self._dispatchers[sender.address]
        if message.age_ms < member.age_ms:
            return []
        member.age_ms = message.age_ms
        member.is_synced = True
        member.is_settled = message.is_settled
        member.started_ms = self._clock.now() - message.age_ms
        member.clean = frozenset(message.clean)
        member.has_lost_members = message.has_lost_members
        listed = {claim.number for claim in message.claims}
        for number in list(self._open_claims.get(sender, ())):
            if number <= message.upto and number not in listed:
                self.release(sender, number)
        return self._decide_all(sender, message.claims)

    def apply_relayed_claims(self, message: RelayedClaims) -> None:
        """Apply claims, granted by a fence, of a dispatcher that may not reach this one."""
        holder = Peer(message.holder, message.holder_life)
        self._released.add(holder, message.released)
        for number in message.released:
            self.release(holder, number)
        for claim in self._list_recordable(holder, message.claims):
            if claim.number not in self._open_claims.get(holder, ()):
                fields = (
                    ("job", claim.job_id),
                    ("holder", holder.address),
                    ("number", claim.number),
                    ("rank", claim.rank),
                )
                _LOG.info("relayed claim recorded", extra={"fields": fields})
            self.decide(holder, claim)

    def list_open(self, holder: Peer, claims: Iterable[Claim]) -> list[Claim]:
        """Return those of a dispatcher's claims that it is not known to have released."""
        return self._released.list_open(holder, claims)

    def _decide_all(self, claimant: Peer, claims: Iterable[Claim]) -> list[ClaimVerdict]:
        """Decide the claims that are open; late messages about others are not answered."""
        return [self.decide(claimant, claim) for claim in self._list_recordable(claimant, claims)]

    def _list_recordable(self, holder: Peer, claims: Iterable[Claim]) -> list[Claim]:
        """Return the claims that are open, and log the others: they are late messages."""
        claims = list(claims)
        recordable = self.list_open(holder, claims)
        if len(recordable) < len(claims):
            late = [claim for claim in claims if claim not in recordable][:MAX_LOGGED_CLAIMS]
            fields = (
                ("holder", holder.address),
                ("claims", len(claims) - len(recordable)),
                ("numbers", ",".join(str(claim.number) for claim in late)),
                ("jobs", ",".join(claim.job_id for claim in late)),
                ("ranks", ",".join(str(claim.rank) for claim in late)),
            )
            _LOG.info("released claims ignored", extra={"fields": fields})
        return recordable

    def decide(self, claimant: Peer, claim: Claim) -> ClaimVerdict:
        """Grant a claim, or answer with the dispatcher that holds the job."""
        now = self._clock.now()
        self.note_length(claim.left_ms)
        self._remove_expired(now)
        own = self._find_grant(claimant, claim.job_id)
        if own is not None and own.number == claim.number:
            # The message may be from before the claim was granted by a fence.
            claim = claim._replace(rank=max(own.rank, claim.rank))
        others = self._list_others(claimant, claim.job_id, now)
        if others and claim.rank <= others[-1].rank:
            holder = others[-1].holder
            return ClaimVerdict(claim.number, holder.address, holder.incarnation)
        if own is not None and own.number > claim.number:
            # A late message: the dispatcher has meanwhile repeated the claim with a new number.
            return ClaimVerdict(claim.number, is_sure=self._is_sure(claim.job_id))
        grants = self._list_grants(claim.job_id)
        if grants and grants[-1].holder != claimant:
            self._log_replaced(claimant, claim, grants[-1], bool(others))
        for grant in [grant for grant in grants if grant not in others]:
            self.release(grant.holder, grant.number)
        until_ms = now + claim.left_ms * (1 + CLOCK_DRIFT) + RUNS_OVER_MS
        # A claim by a fence may be a late message, whose release is late as well. The jobs of other
        # holders are theirs until they release them.
        self._grants[claim.job_id] = [*others, _Grant(claimant, claim, now, until_ms)]
        self._open_claims.setdefault(claimant, {})[claim.number] = claim.job_id
        return ClaimVerdict(claim.number, is_sure=self._is_sure(claim.job_id))

    def _log_replaced(self, claimant: Peer, claim: Claim, former: _Grant, is_held: bool) -> None:
        """Log that a grant comes in place of another dispatcher's.

        :param former: the grant until now
        :param is_held: whether it is in force
        """
        fields = (
            ("job", claim.job_id),
            ("holder", claimant.address),
            ("number", claim.number),
            ("rank", claim.rank),
            ("former_holder", former.holder.address),
            ("former_number", former.number),
            ("former_rank", former.rank),
            ("former_age_ms", round(self._clock.now() - former.granted_ms)),
            ("reason", "rank" if is_held else "not_in_force"),
        )
        _LOG.warning("grant replaced", extra={"fields": fields})

    def _list_grants(self, job_id: str) -> list[_Grant]:
        return self._grants.get(job_id, [])

    def _find_grant(self, holder: Peer, job_id: str) -> _Grant | None:
        return next((grant for grant in self._list_grants(job_id) if grant.holder == holder), None)

    def _list_others(self, claimant: Peer, job_id: str, now: float) -> list[_Grant]:
        """Return the grants of a job that other dispatchers may rely on, the last one in force."""
        return [
            grant
            for grant in self._list_grants(job_id)
            if grant.holder != claimant and self._is_in_force(grant, now)
        ]

    def note_report(self, sender: Peer) -> None:
        """Note that a report of a dispatcher has arrived."""
        self.note_incarnation(sender)
        self._dispatchers[sender.address].heard_ms = self._clock.now()

    def _is_in_force(self, grant: _Grant, now: float) -> bool:
        """Return whether runs of a granted claim may go on.

        A holder that is out of contact gives up its claims, unless executors have fenced the job
        for it or a quorum of other arbiters hears it: some arbiter of each quorum that would grant
        the job anew is one of these.
        """
        if now >= grant.until_ms:
            return False
        holder = grant.holder
        is_lapsing = announced_version(holder.incarnation) >= VERSION_LAPSING_CLAIMS
        if holder.address == self.me or grant.rank > 0 or not is_lapsing:
            return True
        member = self._dispatchers.get(holder.address)
        heard_ms = member.find_heard_ms(holder.incarnation) if member is not None else 0.0
        silent_ms = now - max(grant.granted_ms, heard_ms)
        if silent_ms < CLAIMS_LAPSED_MS:
            return True
        fields = (
            ("holder", holder.address),
            ("number", grant.number),
            ("silent_ms", round(silent_ms)),
        )
        _LOG.warning("claim of silent dispatcher lapsed", extra={"fields": fields})
        return False

    def note_length(self, left_ms: float) -> None:
        """Note how long a claim may last, in milliseconds."""
        self._longest_claim_ms = max(self._longest_claim_ms, left_ms)

    def release(self, holder: Peer, number: int) -> None:
        """Remove the grant of a released or expired claim; does nothing if there is none."""
        job_id = self._open_claims.get(holder, {}).pop(number, None)
        if job_id is None:
            return
        grants = [
            grant
            for grant in self._grants[job_id]
            if (grant.holder, grant.number) != (holder, number)
        ]
        if grants:
            self._grants[job_id] = grants
        else:
            del self._grants[job_id]

    def _is_sure(self, job_id: str) -> bool:
        """Return whether this arbiter's grant may count towards a quorum.

        Grants by the job's former arbiters may still hold after a change of the members. So this
        dispatcher must have been an arbiter under all members that are kept, and each quorum now
        must include an arbiter of each former quorum: one remaining dispatcher alone may not have
        been asked.
        """
        if not self.is_settled:
            return False
        if not self._former_members:
            return True
        quorum = quorum_of(choose_arbiters(job_id, self._members))
        for former in self._former_members:
            arbiters = choose_arbiters(job_id, former.members)
            if self.me not in arbiters or quorum + quorum_of(arbiters) <= len(arbiters):
                return False
        return True

    def _find_start_ms(self, address: str) -> float:
        """Return when a dispatcher's process started; infinite until it has sent its claims."""
        if address == self.me:
            return self._started_ms
        member = self._dispatchers.get(address)
        return member.started_ms if member is not None and member.is_synced else math.inf

    def _check_settled(self, now: float) -> bool:
        if not self._members:
            return False
        if not all(self._is_accounted_for(address, now) for address in self._members):
            return False
        if self._may_unlisted_hold_jobs(now):
            return False
        fields = (("members", len(self._members)), ("age_ms", round(now - self._started_ms)))
        _LOG.info("arbiter knows all earlier claims", extra={"fields": fields})
        return True

    def _may_unlisted_hold_jobs(self, now: float) -> bool:
        """Return whether a dispatcher that is not listed may hold a job by a forgotten grant.

        One that has left the list without announcing its exit may only be partitioned. Then it has
        given up its claims after some time, as this arbiter was restarted.
        """
        if now - self._started_ms >= CLAIMS_LAPSED_MS:
            return False
        members = self._dispatchers.values()
        return self.keeps_unannounced or any(member.has_lost_members for member in members)

    def _is_accounted_for(self, address: str, now: float) -> bool:
        """Return whether a dispatcher's claims are known, and its former incarnation's expired.

        One that is out of contact has given up the jobs that this process has granted it before it
        was restarted, after some time.
        """
        age_ms = now - self._started_ms
        if address in self.lapsing_members and age_ms >= CLAIMS_LAPSED_MS:
            return True
        started_ms = self._find_start_ms(address)
        if math.isinf(started_ms):
            return False
        return now - started_ms >= RUNS_OVER_MS or self._has_exited_cleanly(address)

    def _has_exited_cleanly(self, address: str) -> bool:
        """Return whether a dispatcher's former incarnation exited with no run left.

        All other dispatchers that are settled must say so.
        """
        witnesses = [
            member
            for member in self._dispatchers.values()
            if member.is_synced and member.is_settled and member.peer.address != address
        ]
        return bool(witnesses) and all(address in member.clean for member in witnesses)

    def _limit_grants(self, ended: Peer) -> None:
        """Limit the grants of an ended incarnation to the time until its runs have ended."""
        until_ms = self._clock.now() + RUNS_OVER_MS
        job_ids = self._open_claims.get(ended, {}).values()
        for job_id in job_ids:
            grant = self._find_grant(ended, job_id)
            grant.until_ms = min(grant.until_ms, until_ms)
        fields = (("peer", ended.address), ("jobs", len(job_ids)))
        _LOG.info("claims of ended dispatcher expire", extra={"fields": fields})

    def _remove_expired(self, now: float) -> None:
        """Remove expired grants, at most once per ``SWEEP_MS``."""
        if now - self._last_removal_ms < SWEEP_MS:
            return
        self._last_removal_ms = now
        all_grants = [grant for grants in self._grants.values() for grant in grants]
        for grant in all_grants:
            if grant.until_ms <= now:
                self.release(grant.holder, grant.number)
