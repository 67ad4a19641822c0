"""Fences of an executor: jobs that it runs for one dispatcher only.

A dispatcher that cannot learn from the arbiters whether a job is running elsewhere requests a
fence on it from every executor. The executor then refuses to run the job for other dispatchers,
stops the runs that they have started, and answers once these have ended.
"""

import logging
import math
from collections.abc import Callable

import eventlet

from geraniumspool.claim_messages import FenceJobs, JobsFenced, RelayClaims, RelayedClaims
from geraniumspool.contracts import Clock
from geraniumspool.messages import ANY_INCARNATION, Message, Peer
from geraniumspool.run_messages import FENCED
from geraniumspool.run_stops import RunStops
from geraniumspool.run_table import RunTable, job_id_of

_LOG = logging.getLogger(__name__)

# Least lifetime of a fence. It lasts for longer if a caller may wait for longer: after it, no
# dispatcher still runs the job as it was when the fence was set.
FENCE_LIFETIME_MS = 60_000.0
# Beyond this the oldest fences are dropped early.
MAX_FENCES = 20_000
# Interval at which runs that are being stopped are checked.
POLL_PERIOD_MS = 5.0


class _Fence:
    """A fence on one job: until ``until_ms`` only its holder may run the job here.

    Fences of other dispatchers that it has replaced had ranks up to ``foreign_rank``, and would
    have lasted until ``foreign_until_ms``.
    """

    __slots__ = ("foreign_rank", "foreign_until_ms", "holder", "rank", "until_ms")

    def __init__(self, holder: Peer, rank: int, until_ms: float, replaced: "_Fence | None"):
        self.holder = holder
        self.rank = rank
        self.until_ms = until_ms
        self.foreign_rank = 0
        self.foreign_until_ms = 0.0
        if replaced is not None:
            self.foreign_rank = replaced.foreign_rank
            self.foreign_until_ms = replaced.foreign_until_ms
            if replaced.holder != holder:
                self.foreign_rank = max(replaced.rank, replaced.foreign_rank)
                self.foreign_until_ms = max(replaced.until_ms, replaced.foreign_until_ms)

    def admits(self, dispatcher: Peer, rank: int, now: float) -> bool:
        """Return whether a dispatcher may run the job under its fence of a rank, 0 for none.

        If this fence has replaced another dispatcher's, that one may go on at other executors until
        the fence of this dispatcher is complete. An order that relies on it states its rank.
        """
        if dispatcher != self.holder or rank > self.rank:
            return False
        return now >= self.foreign_until_ms or rank > self.foreign_rank


class JobFences:
    """All fences of one executor."""

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        table: RunTable,
        stops: RunStops,
        are_earlier_runs_over: Callable[[], bool],
    ):
        """Start without any fence.

        :param send: queues a message to a dispatcher; returns whether it was queued
        :param table: runs of this process
        :param stops: stops runs
        :param are_earlier_runs_over: returns whether all runs have ended that earlier processes of
            this executor started; these are not in the table
        """
        self._clock = clock
        self._send = send
        self._table = table
        self._stops = stops
        self._have_earlier_runs_ended = are_earlier_runs_over
        # Fences that were set before are not known to this process.
        self._started_ms = clock.now()
        self._fences: dict[str, _Fence] = {}
        self._unanswered: dict[Peer, FenceJobs] = {}

    def excludes(
        self, dispatcher: Peer, task: str, rank: int, claim_granted_ms: float = math.inf
    ) -> bool:
        """Return whether a dispatcher must not run a task here.

        A dispatcher that relies on a fence which this process does not have is refused as well:
        an earlier process of this executor may have set it, or it has expired. So is one whose
        claim was granted before this process started, and that relies on no fence: after the grant,
        an earlier process may have set a fence for another dispatcher.

        :param rank: rank of the fence that the dispatcher's claim relies on, 0 for none
        :param claim_granted_ms: earliest time at which its claim may have been granted, infinite if
            that is not known
        """
        now = self._clock.now()
        fence = self._fences.get(job_id_of(task))
        is_older = claim_granted_ms < self._started_ms
        if fence is None or now >= fence.until_ms:
            return rank > 0 or is_older
        return not fence.admits(dispatcher, rank, now) or (rank == 0 and is_older)

    def describe(self, task: str) -> tuple[tuple[str, object], ...]:
        """Return a job's fence and the age of this process, as fields of a log line."""
        fence = self._fences.get(job_id_of(task))
        return (
            ("fence_holder", fence.holder.address if fence else ""),
            ("fence_rank", fence.rank if fence else 0),
            ("executor_age_ms", round(self._clock.now() - self._started_ms)),
        )

    def handle_fence_jobs(self, dispatcher: Peer, message: FenceJobs) -> None:
        """Set the requested fences, stop other dispatchers' runs, and answer once these ended."""
        now = self._clock.now()
        highest_kept = 0
        fenced = []
        for job_id in message.job_ids:
            fence = self._fences.get(job_id)
            if fence is not None and fence.holder == dispatcher and fence.rank > message.rank:
                # A late message: orders and other dispatchers' requests go by the newer rank.
                continue
            if fence is not None and _outranks(fence, dispatcher, message.rank):
                highest_kept = max(highest_kept, fence.rank)
                continue
            replaced = self._fences.pop(job_id, None)
            until_ms = now + max(FENCE_LIFETIME_MS, message.claims_over_ms)
            self._fences[job_id] = _Fence(dispatcher, message.rank, until_ms, replaced)
            fenced.append(job_id)
        self._drop_expired(now)
        is_polling = bool(self._unanswered)
        message = message._replace(job_ids=tuple(fenced))
        ready = self._collect_ready(dispatcher, message)
        # Answers even if no job is ready, so that this executor does not count as silent.
        self._answer(dispatcher, ready, message.rank, highest_kept)
        if self._unanswered and not is_polling:
            eventlet.spawn_n(self._poll_unanswered)

    def handle_relay_claims(self, dispatcher: Peer, message: RelayClaims) -> None:
        """Pass claims of a dispatcher on to arbiters that it may not reach itself."""
        relayed = RelayedClaims(
            dispatcher.address, dispatcher.incarnation, message.claims, message.released
        )
        for address in message.arbiters:
            self._send(Peer(address, ANY_INCARNATION), relayed)

    def _poll_unanswered(self) -> None:
        """Answer each dispatcher as soon as other dispatchers' runs of its jobs have ended."""
        while self._unanswered:
            self._clock.sleep(POLL_PERIOD_MS)
            for dispatcher, message in list(self._unanswered.items()):
                ready = self._collect_ready(dispatcher, message)
                if ready:
                    self._answer(dispatcher, ready, message.rank)

    def _answer(
        self, dispatcher: Peer, ready: tuple[str, ...], rank: int, highest_kept: int = 0
    ) -> None:
        now = self._clock.now()
        replaced = tuple(
            job_id
            for job_id in ready
            if (fence := self._fences.get(job_id)) is not None and now < fence.foreign_until_ms
        )
        self._send(dispatcher, JobsFenced(ready, rank, highest_kept, replaced))

    def _collect_ready(self, dispatcher: Peer, message: FenceJobs) -> tuple[str, ...]:
        """Return the fenced jobs without other dispatchers' runs, and keep the rest for later."""
        self._unanswered.pop(dispatcher, None)
        held = {
            job_id
            for job_id in message.job_ids
            if (fence := self._fences.get(job_id)) is not None and fence.holder == dispatcher
        }
        running = (
            self._stop_foreign_runs(dispatcher, held) if self._have_earlier_runs_ended() else held
        )
        if running:
            self._unanswered[dispatcher] = message._replace(job_ids=tuple(running))
        return tuple(held - running)

    def _stop_foreign_runs(self, dispatcher: Peer, job_ids: set[str]) -> set[str]:
        """Stop other dispatchers' runs of some jobs; return the jobs with such runs left."""
        running = set()
        for run in self._table:
            job_id = job_id_of(run.key.task)
            if job_id in job_ids and run.dispatcher != dispatcher:
                self._stops.stop(run, FENCED, dispatcher)
                if self._table.find(run.key) is run:
                    running.add(job_id)
        return running

    def _drop_expired(self, now: float) -> None:
        """Drop expired fences, and the oldest ones beyond ``MAX_FENCES``."""
        for job_id, fence in list(self._fences.items()):
            if fence.until_ms > now and len(self._fences) <= MAX_FENCES:
                return
            if fence.until_ms > now:
                _LOG.warning("fence dropped early", extra={"fields": (("job", job_id),)})
            del self._fences[job_id]


def _outranks(fence: _Fence, dispatcher: Peer, rank: int) -> bool:
    if fence.holder == dispatcher:
        return False
    return (fence.rank, fence.holder.address) > (rank, dispatcher.address)
