"""Hands the records of finished jobs over to a peer when a home leaves."""

from eventlet.event import Event

from geraniumspool.contracts import Clock, Messenger
from geraniumspool.heartbeat import rendezvous_hash
from geraniumspool.home import Home
from geraniumspool.members import peer_of
from geraniumspool.messages import Handover, HandoverReceipt, Peer, Record
from geraniumspool.records import Watermark
from geraniumspool.roster import Roster

# Largest batch of records in one message, unless a single record is larger.
BATCH_BYTES = 512 * 1024
# How long to wait for the receipt of a batch before it is sent again.
RECEIPT_WAIT_MS = 500.0
# Times that a batch is sent to a peer at most.
ATTEMPTS = 3
# Peers that are tried one after the other.
MAX_PEERS_TRIED = 3


class RecordsHandover:
    """Hands over this home's records, and stores those of peers that leave.

    :ivar archive: the peer that stores this home's records, None before the handover
    """

    def __init__(self, messenger: Messenger, clock: Clock, roster: Roster, home: Home, domain: str):
        """Start without a handover.

        :param home: the home of this process, which has the records
        :param domain: failure domain of this process
        """
        self._messenger = messenger
        self._clock = clock
        self._roster = roster
        self._home = home
        self._domain = domain
        self._receipts: dict[tuple[Peer, int], Event] = {}
        self._current_peer: Peer | None = None
        self.archive: Peer | None = None

    def store_batch(self, sender: Peer, handover: Handover) -> None:
        """Store a batch of a leaving peer's records and send a receipt."""
        self._home.archives.add_batch(handover)
        self._messenger.send(sender, HandoverReceipt(handover.home, handover.batch))

    def handle_receipt(self, sender: Peer, receipt: HandoverReceipt) -> None:
        """Handle the receipt of a batch."""
        event = self._receipts.get((receipt.home, receipt.batch))
        if event is not None and sender == self._current_peer and not event.ready():
            event.send()

    def hand_over(self) -> int:
        """Send all records, own and archived ones, to one peer.

        :returns: number of records handed over, 0 if no peer confirmed all batches
        """
        batches = self._make_batches()
        for peer in self._choose_peers():
            if all(self._send_batch(peer, batch) for batch in batches):
                self.archive = peer
                return sum(len(batch.records) for batch in batches)
        return 0

    def _choose_peers(self) -> list[Peer]:
        me = self._messenger.local_peer
        near = self._roster.agents(self._home.service, self._domain)
        far = self._roster.agents(self._home.service)
        others = dict.fromkeys(
            peer_of(member)
            for group in (near, far)
            for member in sorted(
                group, key=lambda member: rendezvous_hash(me.address, member.address)
            )
        )
        others.pop(me, None)
        return list(others)[:MAX_PEERS_TRIED]

    def _make_batches(self) -> list[Handover]:
        batches = _split_batches(
            self._messenger.local_peer, self._home.records(), self._home.watermark
        )
        for archive in self._home.archives.all():
            if archive.is_complete:
                records = list(archive.records.values())
                batches.extend(_split_batches(archive.home, records, archive.watermark))
        return batches

    def _send_batch(self, peer: Peer, batch: Handover) -> bool:
        key = (batch.home, batch.batch)
        self._current_peer = peer
        self._receipts[key] = event = Event()
        for _ in range(ATTEMPTS):
            self._messenger.reopen_unconfirmed(peer, self._clock.now() - RECEIPT_WAIT_MS)
            self._messenger.send(peer, batch)
            if self._clock.wait(event, RECEIPT_WAIT_MS):
                break
        del self._receipts[key]
        return event.ready()


def _split_batches(home: Peer, records: list[Record], watermark: Watermark) -> list[Handover]:
    groups: list[list[Record]] = [[]]
    batch_bytes = 0
    for record in records:
        record_bytes = (
            len(record.ticket)
            + len(record.answer.decisions)
            + sum(len(body) for body in record.answer.results)
        )
        if batch_bytes + record_bytes > BATCH_BYTES and groups[-1]:
            groups.append([])
            batch_bytes = 0
        groups[-1].append(record)
        batch_bytes += record_bytes
    last = len(groups) - 1
    return [
        Handover(home, number, *watermark, tuple(group), number == last)
        for number, group in enumerate(groups)
    ]
