"""Archives: records of finished jobs of homes that left, stored by a peer.

Resubmitted jobs of such a home are answered from its archive and never run again.
"""

from geraniumspool.messages import STATE_MAY_HAVE_RUN, STATE_NOT_RUN, Answer, Handover, Peer, Record
from geraniumspool.records import Watermark
from geraniumspool.ticket import Ticket, decode_unverified

# Limits on the archives kept; the oldest are dropped first.
MAX_ARCHIVES = 200
MAX_ARCHIVE_BYTES = 32 * 1024 * 1024
# Retry delay where a new ticket, which names another home, helps at once.
NEW_TICKET_RETRY_MS = 1.0
CODE_GONE = "home_gone"
CODE_NEVER_SUBMITTED = "job_never_submitted"


class Archive:
    """Records of one home that left, received in batches.

    :ivar home: address and incarnation of the home
    :ivar records: records by the job number of their tickets
    :ivar watermark: ticket position up to which the home may have evicted records
    :ivar batches: numbers of the batches received
    :ivar last_batch: number of the last batch, None until it arrives
    :ivar size_bytes: size of all results
    """

    def __init__(self, home: Peer):
        """Create an empty archive."""
        self.home = home
        self.records: dict[int, Record] = {}
        self.watermark = Watermark()
        self.batches: set[int] = set()
        self.last_batch: int | None = None
        self.size_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Return whether every batch has arrived."""
        return self.last_batch is not None and len(self.batches) == self.last_batch + 1

    def add_batch(self, handover: Handover) -> None:
        """Add a batch of records; a repeated one is ignored."""
        if handover.batch in self.batches:
            return
        self.batches.add(handover.batch)
        self.watermark = Watermark(handover.watermark_ms, handover.watermark_job)
        if handover.last:
            self.last_batch = handover.batch
        for record in handover.records:
            self.records[decode_unverified(record.ticket).job] = record
            self.size_bytes += sum(len(body) for body in record.answer.results)

    def proves_not_run(self, ticket: Ticket) -> bool:
        """Return whether a missing record proves that the job never ran."""
        return self.is_complete and Watermark(ticket.issued_ms, ticket.job) > self.watermark


class Archives:
    """Archives by home, limited in number and bytes; the oldest are dropped first."""

    def __init__(self):
        """Start without archives."""
        self._archives: dict[Peer, Archive] = {}

    def add_batch(self, handover: Handover) -> None:
        """Add a batch of a leaving home's records."""
        archive = self._archives.get(handover.home)
        if archive is None:
            archive = self._archives[handover.home] = Archive(handover.home)
        archive.add_batch(handover)
        while self._is_full() and len(self._archives) > 1:
            del self._archives[next(iter(self._archives))]

    def find(self, ticket: Ticket) -> Record | None:
        """Return the record of a ticket's job, or None."""
        archive = self._archives.get(ticket.home)
        return archive.records.get(ticket.job) if archive is not None else None

    def answer_missing(self, ticket: Ticket, text: str) -> Answer:
        """Return the answer to a request whose ticket names another home and has no record.

        :param text: the ticket as it was sent
        """
        archive = self._archives.get(ticket.home)
        if archive is not None and archive.proves_not_run(ticket):
            detail = "the home left before this job was submitted"
            return Answer(0, text, STATE_NOT_RUN, CODE_NEVER_SUBMITTED, detail, NEW_TICKET_RETRY_MS)
        return Answer(0, text, STATE_MAY_HAVE_RUN, CODE_GONE, "the job's home is gone")

    def all(self) -> list[Archive]:
        """Return every archive, oldest first."""
        return list(self._archives.values())

    def _is_full(self) -> bool:
        size = sum(archive.size_bytes for archive in self._archives.values())
        return len(self._archives) > MAX_ARCHIVES or size > MAX_ARCHIVE_BYTES
