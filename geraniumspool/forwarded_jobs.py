"""Jobs that other dispatchers forward to this one, each dispatcher's under a lease.

The dispatcher that received a caller's request is the job's entry dispatcher. It numbers the
jobs that it forwards, and renews its lease here by echoing this process's clock in its messages.
When the lease expires, its jobs are ended here, as it may have given them to another dispatcher.
"""

import logging
from collections.abc import Callable

import eventlet

from geraniumspool.contracts import Clock, Counters
from geraniumspool.dispatch_job import DispatchJob
from geraniumspool.dispatcher import Dispatcher
from geraniumspool.job_messages import DispatcherReport, DropJobs, ForwardedEnd, ForwardJob
from geraniumspool.job_specs import JobOutcome, JobResult
from geraniumspool.messages import Message, Peer
from geraniumspool.run_leases import DISPATCHER_LEASE_MS

_LOG = logging.getLogger(__name__)

# Results, and numbers of lost jobs, kept for each entry dispatcher: a result is sent again for as
# long as the entry dispatcher still lists the job, as the answer may have been lost.
MAX_KEPT_RESULTS = 512
# An entry dispatcher without jobs here that is silent for this long is forgotten.
FORGET_ENTRY_MS = 30_000.0
# The entry dispatcher's lease had expired, and its jobs were ended.
LEASE_OVER = "lease_over"
# The message with the job never arrived.
NOT_RECEIVED = "not_received"


class EntryDispatcher:
    """An entry dispatcher that has forwarded jobs here.

    All times are readings of this process's clock in milliseconds.

    :ivar peer: its address and incarnation
    :ivar lease_until_ms: time up to which its jobs may run
    :ivar heard_ms: when it was last heard
    :ivar jobs: its unfinished jobs by their numbers
    :ivar results: results of its last jobs by their numbers
    :ivar rejected_numbers: numbers of jobs that are not accepted any more: it was told that their
        messages had not arrived, or has dropped them before they arrived
    :ivar listed_upto: number up to which one of its lists was complete: an unknown job up to it
        was dropped, or counts as lost
    """

    def __init__(self, peer: Peer):
        """Start with no lease and no jobs."""
        self.peer = peer
        self.lease_until_ms = 0.0
        self.heard_ms = 0.0
        self.jobs: dict[int, DispatchJob] = {}
        self.results: dict[int, JobResult] = {}
        self.rejected_numbers: dict[int, None] = {}
        self.listed_upto = 0
        self._highest_forgotten = 0

    def knows(self, number: int) -> bool:
        """Return whether a job is unfinished, has ended, counts as lost, or may be forgotten."""
        if number <= max(self._highest_forgotten, self.listed_upto):
            return True
        return number in self.jobs or number in self.results or number in self.rejected_numbers

    def store_result(self, number: int, result: JobResult) -> None:
        """Store a job's result, and forget the oldest beyond ``MAX_KEPT_RESULTS``."""
        self.results[number] = result
        self._forget_oldest(self.results)

    def reject_number(self, number: int) -> None:
        """Store that a job must not be accepted any more, unless it has ended already."""
        if number not in self.results:
            self.rejected_numbers[number] = None
            self._forget_oldest(self.rejected_numbers)

    def find_result(self, number: int) -> JobResult:
        """Return the result of a job that is not among the unfinished ones."""
        result = self.results.get(number)
        if result is not None:
            return result
        if number <= self._highest_forgotten:
            # Its result is no longer stored, so it may have run.
            return JobResult(JobOutcome.UNFINISHED, LEASE_OVER)
        # Its message was lost. Should it arrive later, it is ignored.
        self.reject_number(number)
        return JobResult(JobOutcome.REFUSED, NOT_RECEIVED)

    def _forget_oldest(self, kept: dict) -> None:
        while len(kept) > MAX_KEPT_RESULTS:
            oldest = next(iter(kept))
            del kept[oldest]
            self._highest_forgotten = max(self._highest_forgotten, oldest)


class ForwardedJobs:
    """The jobs of all entry dispatchers that forward to this one."""

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        counters: Counters,
        dispatcher: Dispatcher,
    ):
        """Connect the components.

        :param send: queues a message to a dispatcher; returns whether it was queued
        :param dispatcher: dispatcher of this process, which places the jobs
        """
        self._clock = clock
        self._send = send
        self._counters = counters
        self._dispatcher = dispatcher
        self._entries: dict[Peer, EntryDispatcher] = {}

    def list_entry_dispatchers(self) -> set[Peer]:
        """Return the entry dispatchers with unfinished jobs here."""
        return {entry.peer for entry in self._entries.values() if entry.jobs}

    def handle_forward_job(self, sender: Peer, message: ForwardJob) -> None:
        """Accept a forwarded job, or refuse it if its entry dispatcher holds no lease.

        A message whose number is known is a repetition, and ignored.
        """
        entry = self._renew_lease(sender, message.echo_ms)
        number = message.number
        if entry.knows(number):
            return
        now = self._clock.now()
        # Counts by the message's own echo too: the job may have been given to another dispatcher
        # before the newer messages that have renewed the lease.
        is_current = message.echo_ms <= now < message.echo_ms + DISPATCHER_LEASE_MS
        if not is_current or entry.lease_until_ms <= now:
            self._answer(entry, number, JobResult(JobOutcome.REFUSED, LEASE_OVER))
            return
        submitted = self._dispatcher.submit(
            message.spec,
            message.queue,
            message.wait_ms,
            message.version,
            message.age_ms,
            lambda: entry.lease_until_ms,
            message.may_return,
        )
        if isinstance(submitted, JobResult):
            self._answer(entry, number, submitted._replace(inputs=()))
            return
        entry.jobs[number] = submitted
        eventlet.spawn_n(self._await_result, entry, number, submitted)

    def handle_drop_jobs(self, sender: Peer, message: DropJobs) -> None:
        """Drop jobs for which no caller waits at their entry dispatcher any more."""
        entry = self._entries.get(sender)
        if entry is None:
            return
        for number in message.numbers:
            self._drop_job(entry, number)

    def reconcile(self, sender: Peer, report: DispatcherReport) -> None:
        """Renew an entry dispatcher's lease, and reconcile its list of forwarded jobs with ours.

        A job that it does not list any more is dropped; the result of a listed job that is not
        among the unfinished ones is sent again.
        """
        entry = self._renew_lease(sender, report.echo_ms)
        wanted = set(report.numbers)
        for number in list(entry.jobs):
            if number <= report.upto and number not in wanted:
                self._drop_job(entry, number)
        for number in wanted - entry.jobs.keys():
            self._send(entry.peer, ForwardedEnd(number, entry.find_result(number)))
        entry.listed_upto = max(entry.listed_upto, report.upto)

    def expire_leases(self, now: float) -> None:
        """End the jobs of entry dispatchers whose leases have expired.

        Their callers send the jobs again to other dispatchers.

        :param now: current time in milliseconds
        """
        for entry in list(self._entries.values()):
            if entry.lease_until_ms <= now and entry.jobs:
                self._end_jobs(entry)
            if now - entry.heard_ms > FORGET_ENTRY_MS and not entry.jobs:
                del self._entries[entry.peer]

    def _end_jobs(self, entry: EntryDispatcher) -> None:
        fields = (("entry", entry.peer.address), ("jobs", len(entry.jobs)))
        _LOG.warning("lease of entry dispatcher expired", extra={"fields": fields})
        self._counters.add("entry_leases_ended")
        for number, job in list(entry.jobs.items()):
            if job.may_have_started or job.waiters > 1:
                self._drop_job(entry, number)
            else:
                self._give_back(entry, number, job)

    def _give_back(self, entry: EntryDispatcher, number: int, job: DispatchJob) -> None:
        """Refuse a job of which nothing has started, so that its entry dispatcher tries again."""
        del entry.jobs[number]
        self._answer(entry, number, JobResult(JobOutcome.REFUSED, LEASE_OVER))
        self._dispatcher.remove_waiter(job)

    def _drop_job(self, entry: EntryDispatcher, number: int) -> None:
        """Remove the entry dispatcher's waiter from a job; others may wait for the same job."""
        job = entry.jobs.pop(number, None)
        if job is None:
            entry.reject_number(number)
            return
        self._answer(entry, number, JobResult(JobOutcome.GONE, "caller_gone"))
        self._dispatcher.remove_waiter(job)

    def _renew_lease(self, sender: Peer, echo_ms: float) -> EntryDispatcher:
        entry = self._entries.get(sender)
        if entry is None:
            entry = self._entries[sender] = EntryDispatcher(sender)
        now = self._clock.now()
        entry.heard_ms = now
        if echo_ms <= now:
            # An echo ahead of this process's clock was read by an earlier incarnation.
            until_ms = echo_ms + DISPATCHER_LEASE_MS
            entry.lease_until_ms = max(entry.lease_until_ms, until_ms)
        return entry

    def _await_result(self, entry: EntryDispatcher, number: int, job: DispatchJob) -> None:
        result = self._dispatcher.wait(job)
        if entry.jobs.pop(number, None) is not None:
            self._answer(entry, number, result._replace(inputs=()))

    def _answer(self, entry: EntryDispatcher, number: int, result: JobResult) -> None:
        entry.store_result(number, result)
        self._send(entry.peer, ForwardedEnd(number, result))
