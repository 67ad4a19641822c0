"""Claims granted by a fence, repeated until all their arbiters know of them.

Only executors know of a fence, and only for as long as their processes live. Arbiters that its
holder does not reach would grant the job again, and an executor that has restarted would run it.
The holder therefore reaches them through the executors as well, which may be connected to both
sides of a partition.
"""

import logging
import math
from collections.abc import Callable, Collection, Iterable

from geraniumspool.claim_messages import Claim, RelayClaims
from geraniumspool.contracts import Clock
from geraniumspool.messages import ANY_INCARNATION, Message, Peer
from geraniumspool.open_claim import OpenClaim

_LOG = logging.getLogger(__name__)

# Arbiters that count as reachable have this time to answer before executors are asked to relay.
ANSWER_LIMIT_MS = 100.0
# Claims and releases that are due are relayed together, at most once in this time: as many messages
# are sent as there are executors.
RELAY_INTERVAL_MS = 500.0
# Interval until an unconfirmed claim is repeated, as messages may be lost; it doubles each time.
REPEAT_PERIOD_MS = 500.0


class _RelayedClaim:
    """A claim that some arbiter has not confirmed.

    :ivar number: number of the claim when it was granted; a new number needs a new grant
    :ivar due_ms: when it is repeated next
    :ivar period_ms: time from that repetition to the one after
    :ivar relayed_to: arbiters that it was relayed to
    """

    def __init__(self, claim: OpenClaim, due_ms: float):
        self.claim = claim
        self.number = claim.number
        self.due_ms = due_ms
        self.period_ms = REPEAT_PERIOD_MS
        self.relayed_to: set[str] = set()

    def list_missing(self) -> set[str]:
        """Return the arbiters that have not confirmed the claim, empty if it is not in force."""
        claim = self.claim
        if not claim.is_fenced or claim.number != self.number:
            return set()
        return set(claim.arbiters) - claim.granted_by - claim.unsure_grants_by


class ClaimRelays:
    """Claims of one dispatcher that were granted by a fence and are not known to all arbiters."""

    def __init__(
        self,
        clock: Clock,
        send: Callable[[Peer, Message], bool],
        list_executors: Callable[[], Collection[str]],
        ask_arbiters: Callable[[OpenClaim, float], None],
    ):
        """Start without any claim.

        :param send: queues a message to an executor; returns whether it was queued
        :param list_executors: returns the addresses of all executors
        :param ask_arbiters: sends a claim to its arbiters that have not granted it, given the
            current time in milliseconds
        """
        self._clock = clock
        self._send = send
        self._list_executors = list_executors
        self._ask_arbiters = ask_arbiters
        self._relayed: dict[str, _RelayedClaim] = {}
        self._relayed_ms = -math.inf
        self._released: list[int] = []
        self._release_receivers: set[str] = set()

    def add(self, claim: OpenClaim, unreachable: Collection[str]) -> None:
        """Add a claim that was just granted by a fence, and that all arbiters were asked for.

        :param unreachable: those of its arbiters that are not expected to answer
        """
        due_ms = self._clock.now()
        relayed = _RelayedClaim(claim, due_ms)
        former = self._relayed.get(claim.job_id)
        if former is not None:
            relayed.relayed_to |= former.relayed_to
        if not relayed.list_missing().intersection(unreachable):
            relayed.due_ms += ANSWER_LIMIT_MS
        self._relayed[claim.job_id] = relayed

    def remove(self, claim: OpenClaim) -> None:
        """Remove a claim that is released; arbiters that it was relayed to are told."""
        relayed = self._relayed.pop(claim.job_id, None)
        if relayed is not None and relayed.relayed_to:
            self._released.extend(claim.numbers)
            self._release_receivers |= relayed.relayed_to

    def run_checks(self) -> None:
        """Repeat the claims that are due and not confirmed. Called periodically."""
        now = self._clock.now()
        if now - self._relayed_ms < RELAY_INTERVAL_MS:
            return
        due = []
        missing: set[str] = set()
        for job_id, relayed in list(self._relayed.items()):
            if now < relayed.due_ms:
                continue
            unconfirmed = relayed.list_missing()
            if not unconfirmed and not relayed.relayed_to:
                del self._relayed[job_id]
            if unconfirmed:
                self._ask_arbiters(relayed.claim, now)
                due.append(relayed)
                missing |= unconfirmed
        if due or self._released:
            self._relay(due, missing, now)

    def _relay(self, due: Iterable[_RelayedClaim], arbiters: set[str], now: float) -> None:
        """Send claims and releases to arbiters through all executors.

        It is not known which of these reach them.
        """
        self._relayed_ms = now
        claims = []
        for relayed in due:
            claim = relayed.claim
            if not relayed.relayed_to:
                fields = (("job", claim.job_id), ("arbiters", ",".join(sorted(arbiters))))
                _LOG.info("claim relayed to arbiters", extra={"fields": fields})
            relayed.relayed_to |= arbiters
            relayed.due_ms = now + relayed.period_ms
            relayed.period_ms *= 2
            left_ms = claim.job.remaining_claim_ms(now)
            claims.append(Claim(claim.number, claim.job_id, left_ms, claim.rank))
        released, self._released = self._released, []
        told, self._release_receivers = arbiters | self._release_receivers, set()
        message = RelayClaims(tuple(claims), tuple(released), tuple(sorted(told)))
        for address in self._list_executors():
            self._send(Peer(address, ANY_INCARNATION), message)
