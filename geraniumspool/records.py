"""Records of finished jobs, bounded in bytes and age, with a watermark."""

import heapq
from typing import NamedTuple

from geraniumspool.contracts import Clock
from geraniumspool.messages import Answer, Record
from geraniumspool.ticket import Ticket

RECORD_OVERHEAD_BYTES = 600


class Watermark(NamedTuple):
    """Point in the order of tickets up to which records may be missing.

    :param issued_ms: issue time, milliseconds since the epoch
    :param job: random number of the ticket, which breaks ties
    """

    issued_ms: int = 0
    job: int = 0


class _Kept(NamedTuple):
    record: Record
    finished_ms: float
    size: int


class Records:
    """Kept answers of finished jobs.

    Records go in the order of their tickets' issue times. The watermark is
    the last one gone, so a ticket at or below it, whose record is missing,
    may have had one. That is a comparison of data, right under clock skew.
    """

    def __init__(self, clock: Clock, max_bytes: int, max_age_ms: float):
        """Start empty.

        :param max_bytes: estimated memory that all records may take
        :param max_age_ms: time after which a finished job's record may go
        """
        self._clock = clock
        self._max_bytes = max_bytes
        self._max_age_ms = max_age_ms
        self._kept: dict[int, _Kept] = {}
        self._order: list[Watermark] = []
        self._bytes = 0
        self.watermark = Watermark()

    def __len__(self) -> int:
        """Return the number of records kept."""
        return len(self._kept)

    @property
    def size_bytes(self) -> int:
        """Return the estimated memory taken."""
        return self._bytes

    def keep(self, ticket: Ticket, record: Record) -> None:
        """Keep the record of a finished job."""
        size = _measure(record)
        self._kept[ticket.job] = _Kept(record, self._clock.now(), size)
        self._bytes += size
        heapq.heappush(self._order, Watermark(ticket.issued_ms, ticket.job))
        while self._bytes > self._max_bytes:
            self._evict()

    def find(self, ticket: Ticket) -> Record | None:
        """Return the record of a ticket's job, or None."""
        kept = self._kept.get(ticket.job)
        return kept.record if kept is not None else None

    def may_have_evicted(self, ticket: Ticket) -> bool:
        """Return whether a record of this ticket may have been evicted."""
        return Watermark(ticket.issued_ms, ticket.job) <= self.watermark

    def expire(self) -> None:
        """Evict what is older than the greatest age, in issue order."""
        oldest_kept = self._clock.now() - self._max_age_ms
        while self._order and self._kept[self._order[0].job].finished_ms < oldest_kept:
            self._evict()

    def all(self) -> list[Record]:
        """Return every record, in issue order."""
        return [self._kept[mark.job].record for mark in sorted(self._order)]

    def _evict(self) -> None:
        mark = heapq.heappop(self._order)
        kept = self._kept.pop(mark.job)
        self._bytes -= kept.size
        self.watermark = max(self.watermark, mark)


def _measure(record: Record) -> int:
    answer: Answer = record.answer
    bodies = sum(len(body) + 33 for body in answer.results)
    return RECORD_OVERHEAD_BYTES + bodies + len(answer.detail)
