"""Records of finished jobs, limited in bytes and age, with a watermark."""

import heapq
from typing import NamedTuple

from geraniumspool.contracts import Clock
from geraniumspool.messages import Answer, Record
from geraniumspool.ticket import Ticket

# Estimated memory of a record without its results and detail.
RECORD_OVERHEAD_BYTES = 600


class Watermark(NamedTuple):
    """Position in the order of tickets up to which records may have been evicted.

    :param issued_ms: issue time of the ticket, in milliseconds since the epoch
    :param job: random job number of the ticket, which breaks ties
    """

    issued_ms: int = 0
    job: int = 0


class _Kept(NamedTuple):
    record: Record
    finished_ms: float
    size: int


class Records:
    """Stores the answers of finished jobs.

    Records are evicted in the order of their tickets' issue times. The
    watermark is the highest ticket position evicted: a ticket at or below it
    without a record may have had one. This compares only times in tickets and
    no clocks, so it holds under clock skew.

    :ivar watermark: highest ticket position evicted
    """

    def __init__(self, clock: Clock, max_bytes: int, max_age_ms: float):
        """Start without records.

        :param max_bytes: limit on the estimated memory of all records
        :param max_age_ms: age after which a record may be evicted, in milliseconds
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
        """Return the estimated memory of all records in bytes."""
        return self._bytes

    def add(self, ticket: Ticket, record: Record) -> None:
        """Store the record of a finished job; evict the oldest ones beyond the limit."""
        size = _estimate_size(record)
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
        """Evict records beyond the maximum age, in the order of issue.

        A record that is not yet too old delays the eviction of those issued later.
        """
        min_finished_ms = self._clock.now() - self._max_age_ms
        while self._order and self._kept[self._order[0].job].finished_ms < min_finished_ms:
            self._evict()

    def all(self) -> list[Record]:
        """Return all records in the order of issue."""
        return [self._kept[position.job].record for position in sorted(self._order)]

    def _evict(self) -> None:
        position = heapq.heappop(self._order)
        kept = self._kept.pop(position.job)
        self._bytes -= kept.size
        self.watermark = max(self.watermark, position)


def _estimate_size(record: Record) -> int:
    answer: Answer = record.answer
    result_bytes = sum(len(body) + 33 for body in answer.results)
    return RECORD_OVERHEAD_BYTES + result_bytes + len(answer.detail)
