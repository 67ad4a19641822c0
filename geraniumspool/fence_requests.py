"""Requests to executors for fences on jobs, repeated until all have answered.

A fence makes an executor run a job for one dispatcher only. Once every executor has set a fence
for this dispatcher, no other dispatcher can run the job.
"""

import logging
import math
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from geraniumspool.claim_messages import FenceJobs, JobsFenced
from geraniumspool.contracts import Clock
from geraniumspool.messages import ANY_INCARNATION, Message, Peer
from geraniumspool.open_claim import OpenClaim
from geraniumspool.run_leases import ORPHANS_OVER_MS, RUNS_OVER_MS

_LOG = logging.getLogger(__name__)

# Interval at which requests are repeated, as executors may be starting.
REQUEST_PERIOD_MS = 50.0
# Interval at which executors that have set a fence are asked again until it is complete: another
# process at their address, which this one may not hear otherwise, does not have it.
CHECK_PERIOD_MS = 500.0
# Rounds of requests begin at most once in this time for each executor. After a power loss every job
# needs a fence of every executor: a round for each job would keep a small host busy for seconds.
ROUND_INTERVAL_PER_EXECUTOR_MS = 2.0
# Longest interval between rounds, so that the silence of executors still counts.
MAX_ROUND_INTERVAL_MS = 200.0
# An executor's silence counts only while it is asked at least this often.
MAX_REQUEST_GAP_MS = 300.0


class _UnansweredRequest:
    """Requests to one executor since its last answer.

    :ivar first_ms: when the first one was sent
    :ivar last_ms: when the last one was sent
    """

    def __init__(self, now: float):
        self.first_ms = now
        self.last_ms = now


class _HeardExecutor(NamedTuple):
    """The process that was last heard at an executor's address.

    :param rank: rank of the requests at that time
    """

    incarnation: int
    rank: int


class FenceRequests:
    """Requests for fences, and which executors have not answered them.

    :ivar rank: rank of the fences that are requested now; starts with the wall clock's time, so
        that a restarted dispatcher requests higher ranks than before
    :ivar has_lost_members: returns whether a dispatcher that is no longer a member may still run
        jobs that arbiters do not know of
    :ivar find_claims_over_ms: returns the time in milliseconds after which the runs of all claims
        made until now are over
    :ivar find_ended_since: returns by when an executor's process has ended, by this process's clock
        in milliseconds, None if that is not known
    :ivar find_silent_since: returns since when an executor has been silent, by this process's clock
        in milliseconds, None if that is not known
    """

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        list_executors: Callable[[], Collection[str]],
    ):
        """Start without any request.

        :param send: queues a message to an executor; returns whether it was queued
        :param list_executors: returns the addresses of all executors
        """
        self._clock = clock
        self._send = send
        self._list_executors = list_executors
        self.rank = round(clock.wall_ms())
        self.has_lost_members: Callable[[], bool] = _assume_none_lost
        self.find_claims_over_ms: Callable[[], float] = _find_no_claims
        self.find_ended_since: Callable[[str], float | None] = _find_no_silence
        self.find_silent_since: Callable[[str], float | None] = _find_no_silence
        self._unanswered: dict[str, _UnansweredRequest] = {}
        self._heard: dict[str, _HeardExecutor] = {}
        # Answers to requests up to this rank do not count.
        self._last_void_rank = 0
        self._round_ms = -math.inf

    def request(self, claims: Collection[OpenClaim]) -> list[OpenClaim]:
        """Request fences for the claims that are due, in one message to each executor.

        Does nothing without claims, or if the last round of requests was too recent.

        :param claims: claims that arbiters cannot decide
        :returns: claims whose fence is complete, as ``is_complete`` says
        """
        if not claims:
            return []
        now = self._clock.now()
        executors = self._list_executors()
        interval_ms = ROUND_INTERVAL_PER_EXECUTOR_MS * len(executors)
        if now - self._round_ms < min(interval_ms, MAX_ROUND_INTERVAL_MS):
            return []
        spent_rank = max(claim.spent_rank for claim in claims)
        self.rank = max(self.rank, spent_rank + 1, self._last_void_rank + 1)
        job_ids_by_executor: dict[str, list[str]] = {}
        fenced = []
        for claim in claims:
            if now - claim.fence_asked_ms < REQUEST_PERIOD_MS:
                continue
            claim.fence_asked_ms = self._round_ms = now
            if claim.fence_rank != self.rank:
                claim.fence_rank = self.rank
                claim.fence_checked_ms = now
                claim.fenced_by.clear()
            is_check_due = now - claim.fence_checked_ms >= CHECK_PERIOD_MS
            if is_check_due:
                claim.fence_checked_ms = now
            for address in executors:
                if is_check_due or address not in claim.fenced_by:
                    job_ids_by_executor.setdefault(address, []).append(claim.job_id)
            if self.is_complete(claim):
                fenced.append(claim)
        for address, job_ids in job_ids_by_executor.items():
            self._record_request(address, now)
            self._send_request(address, tuple(job_ids))
        return fenced

    def request_from(self, address: str, claims: Iterable[OpenClaim]) -> None:
        """Request fences from an executor that has just started, and may be the last one missing.

        :param claims: claims that arbiters cannot decide
        """
        job_ids = tuple(claim.job_id for claim in claims if claim.fence_rank == self.rank)
        if job_ids:
            self._send_request(address, job_ids)

    def _send_request(self, address: str, job_ids: tuple[str, ...]) -> None:
        message = FenceJobs(job_ids, self.rank, self.find_claims_over_ms())
        self._send(Peer(address, ANY_INCARNATION), message)

    def note_incarnation(self, executor: Peer, answered_rank: int = 0) -> None:
        """Note an executor's process; if it is another one than before, no answer counts any more.

        The one before has lost the fences that it has set. Its answers may arrive after those of
        the next one, and do not tell which of the two is running, unless the other one was last
        heard before the requests that this one answers.

        :param answered_rank: rank of the requests that it answers
        """
        unheard = _HeardExecutor(executor.incarnation, 0)
        incarnation, heard_rank = self._heard.get(executor.address, unheard)
        self._heard[executor.address] = _HeardExecutor(executor.incarnation, self.rank)
        if incarnation != executor.incarnation and answered_rank <= heard_rank:
            self._last_void_rank = self.rank
            fields = (("executor", executor.address), ("rank", self.rank))
            _LOG.info("fences requested again", extra={"fields": fields})

    def is_current(self, claim: OpenClaim, message: JobsFenced) -> bool:
        """Return whether an answer counts for the fence that is now requested for a claim."""
        return claim.fence_rank == message.rank and message.rank > self._last_void_rank

    def handle_answer(self, sender: Peer, message: JobsFenced) -> None:
        """Note that an executor has answered, and raise the rank above that of fences it kept."""
        self.note_incarnation(sender, message.rank)
        if message.highest >= self.rank:
            self.rank = message.highest + 1
        self._unanswered.pop(sender.address, None)

    def is_complete(self, claim: OpenClaim) -> bool:
        """Return whether no executor can run the claimed job for another dispatcher.

        An executor that is silent for as long as leases last needs no fence in two cases: its host
        has said that the process has ended, and its runs are over as well; or nobody has renewed
        the leases of its runs, as ``_may_be_held`` says. A closed connection does not show the end:
        it may have been reset, and a partition keeps it down.
        """
        now = self._clock.now()
        executors = self._list_executors()
        missing = [address for address in executors if address not in claim.fenced_by]
        if not executors:
            return False
        if missing and self._may_be_held(claim):
            # All are asked, as each question makes the next probe begin.
            are_over = [self._are_orphans_over(address, now) for address in missing]
            if not all(are_over):
                return False
        silent_ms = [now - self._silent_since(address, now) for address in missing]
        if any(silent < RUNS_OVER_MS for silent in silent_ms):
            return False
        if missing:
            fields = (
                ("job", claim.job_id),
                ("executors", ",".join(sorted(missing))),
                ("silent_ms", round(min(silent_ms))),
            )
            _LOG.info("fence complete without silent executors", extra={"fields": fields})
        return True

    def _are_orphans_over(self, address: str, now: float) -> bool:
        """Return whether an executor's process has ended, and its runs at the minion as well."""
        ended_ms = self.find_ended_since(address)
        return ended_ms is not None and now - ended_ms >= ORPHANS_OVER_MS

    def _may_be_held(self, claim: OpenClaim) -> bool:
        """Return whether another dispatcher may hold a job and reach a silent executor.

        A quorum of arbiters has to answer that they know no holder. One that may have forgotten a
        claim when it was restarted does not count. Nor does their answer show a holder by a fence
        that is partitioned from the arbiters: executors report that they have replaced its fence.
        Arbiters that are not sure do not know what a lost member holds.
        """
        if claim.holder is not None or claim.has_replaced_fence:
            return True
        if claim.has_quorum:
            return False
        return not claim.is_quorum(claim.informed_grants_by) or self.has_lost_members()

    def _silent_since(self, address: str, now: float) -> float:
        request = self._unanswered.get(address)
        if request is None or now - request.last_ms > MAX_REQUEST_GAP_MS:
            return now
        silent_since_ms = self.find_silent_since(address)
        return (
            request.first_ms if silent_since_ms is None else min(request.first_ms, silent_since_ms)
        )

    def _record_request(self, address: str, now: float) -> None:
        request = self._unanswered.get(address)
        if request is None or now - request.last_ms > MAX_REQUEST_GAP_MS:
            request = self._unanswered[address] = _UnansweredRequest(now)
        request.last_ms = now


def _find_no_silence(_address: str) -> None:
    pass


def _find_no_claims() -> float:
    return 0.0


def _assume_none_lost() -> bool:
    return False
