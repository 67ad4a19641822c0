"""Claims that an arbiter knows to be released, so that it does not record them again.

A claim may arrive after its release: over another connection than the release, or through an
executor. Nobody would release it a second time.
"""

import math
from collections.abc import Iterable

from geraniumspool.claim_messages import Claim
from geraniumspool.messages import Peer

# Released numbers that are kept for each incarnation besides the limit below which all claims are
# released. Beyond this the oldest ones are forgotten.
MAX_NUMBERS = 4_096
# Incarnations that are kept for each address, as messages of former ones may be late.
MAX_INCARNATIONS = 4


class _ReleasedNumbers:
    """Released claims of one incarnation of a dispatcher.

    :ivar oldest: all claims with lower numbers are released
    """

    __slots__ = ("_numbers", "oldest")

    def __init__(self):
        self.oldest: float = 0
        self._numbers: dict[int, None] = {}

    def __contains__(self, number: int) -> bool:
        return number < self.oldest or number in self._numbers

    def add(self, number: int) -> None:
        """Note that a claim is released."""
        if number in self:
            return
        self._numbers[number] = None
        if len(self._numbers) > MAX_NUMBERS:
            del self._numbers[next(iter(self._numbers))]

    def raise_oldest(self, oldest: float) -> None:
        """Note that all claims with numbers lower than ``oldest`` are released."""
        if oldest <= self.oldest:
            return
        self.oldest = oldest
        if self._numbers:
            self._numbers = {number: None for number in self._numbers if number >= oldest}


class ReleasedClaims:
    """Released claims of all dispatchers, by incarnation."""

    def __init__(self):
        """Start without any."""
        self._by_address: dict[str, dict[int, _ReleasedNumbers]] = {}

    def add(self, holder: Peer, numbers: Iterable[int], oldest: float = 0) -> None:
        """Note that a dispatcher has released some claims, and all with lower numbers than one.

        :param oldest: number below which all claims are released
        """
        released = self._find_or_add(holder)
        for number in numbers:
            released.add(number)
        released.raise_oldest(oldest)

    def add_all(self, holder: Peer) -> None:
        """Note that a dispatcher has released all its claims and makes no more."""
        self._find_or_add(holder).raise_oldest(math.inf)

    def list_open(self, holder: Peer, claims: Iterable[Claim]) -> list[Claim]:
        """Return those of a dispatcher's claims that are not known to be released."""
        released = self._by_address.get(holder.address, {}).get(holder.incarnation)
        if released is None:
            return list(claims)
        return [claim for claim in claims if claim.number not in released]

    def _find_or_add(self, holder: Peer) -> _ReleasedNumbers:
        incarnations = self._by_address.setdefault(holder.address, {})
        if holder.incarnation not in incarnations:
            incarnations[holder.incarnation] = _ReleasedNumbers()
            if len(incarnations) > MAX_INCARNATIONS:
                del incarnations[next(iter(incarnations))]
        return incarnations[holder.incarnation]
