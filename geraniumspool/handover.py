"""Handing the records of finished jobs to a peer when a home leaves."""

from eventlet.event import Event

from geraniumspool.contracts import Clock, Messenger
from geraniumspool.heartbeat import weigh
from geraniumspool.home import Home
from geraniumspool.members import peer_of
from geraniumspool.messages import Handover, HandoverReceipt, Peer, Record
from geraniumspool.records import Watermark
from geraniumspool.roster import Roster

BATCH_BYTES = 512 * 1024
RECEIPT_WAIT_MS = 500.0
ATTEMPTS = 3
MAX_PEERS = 3


class Handing:
    """Gives own records to a peer, and keeps those of peers that leave.

    :ivar archive: the peer that has this home's records, once handed over
    """

    def __init__(self, messenger: Messenger, clock: Clock, roster: Roster, home: Home, domain: str):
        """Connect the parts."""
        self._messenger = messenger
        self._clock = clock
        self._roster = roster
        self._home = home
        self._domain = domain
        self._receipts: dict[tuple[Peer, int], Event] = {}
        self._expected: Peer | None = None
        self.archive: Peer | None = None

    def take(self, sender: Peer, handover: Handover) -> None:
        """Keep a batch of a leaving peer's records and say so."""
        self._home.archives.take(handover)
        self._messenger.send(sender, HandoverReceipt(handover.home, handover.batch))

    def take_receipt(self, sender: Peer, receipt: HandoverReceipt) -> None:
        """Learn that a batch is kept."""
        event = self._receipts.get((receipt.home, receipt.batch))
        if event is not None and sender == self._expected and not event.ready():
            event.send()

    def hand_over(self) -> int:
        """Give all records, own and archived, to one peer.

        :returns: number of records handed over, 0 where no peer took them
        """
        batches = self._make_batches()
        for peer in self._choose_peers():
            if all(self._hand(peer, batch) for batch in batches):
                self.archive = peer
                return sum(len(batch.records) for batch in batches)
        return 0

    def _choose_peers(self) -> list[Peer]:
        me = self._messenger.me
        near = self._roster.agents(self._home.service, self._domain)
        far = self._roster.agents(self._home.service)
        others = dict.fromkeys(
            peer_of(member)
            for group in (near, far)
            for member in sorted(group, key=lambda member: weigh(me.address, member.address))
        )
        others.pop(me, None)
        return list(others)[:MAX_PEERS]

    def _make_batches(self) -> list[Handover]:
        batches = _split(self._messenger.me, self._home.records(), self._home.watermark)
        for archive in self._home.archives.all():
            if archive.is_whole:
                kept = list(archive.records.values())
                batches.extend(_split(archive.home, kept, archive.watermark))
        return batches

    def _hand(self, peer: Peer, batch: Handover) -> bool:
        key = (batch.home, batch.batch)
        self._expected = peer
        self._receipts[key] = event = Event()
        for _ in range(ATTEMPTS):
            self._messenger.send(peer, batch)
            if self._clock.wait(event, RECEIPT_WAIT_MS):
                break
        del self._receipts[key]
        return event.ready()


def _split(home: Peer, records: list[Record], watermark: Watermark) -> list[Handover]:
    groups: list[list[Record]] = [[]]
    size = 0
    for record in records:
        weight = (
            len(record.ticket)
            + len(record.answer.decisions)
            + sum(len(body) for body in record.answer.results)
        )
        if size + weight > BATCH_BYTES and groups[-1]:
            groups.append([])
            size = 0
        groups[-1].append(record)
        size += weight
    last = len(groups) - 1
    return [
        Handover(home, number, *watermark, tuple(group), number == last)
        for number, group in enumerate(groups)
    ]
