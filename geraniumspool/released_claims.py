"""Numbers of the claims that one dispatcher is known to have released."""

# Released numbers that are kept one by one. A claim that is still open keeps newer released ones
# from being covered by the lowest open number.
MAX_NUMBERS = 1_000


class ReleasedClaims:
    """Released claims of one dispatcher's incarnation, as it has told an arbiter.

    :ivar lowest_open: all claims with lower numbers are released
    """

    def __init__(self):
        """Start without any released claim."""
        self.lowest_open = 0
        self._numbers: dict[int, None] = {}

    def __contains__(self, number: int) -> bool:
        """Return whether a claim is known to have been released."""
        return number < self.lowest_open or number in self._numbers

    def add(self, number: int) -> None:
        """Record that a claim was released; the oldest ones are forgotten beyond the limit."""
        if number < self.lowest_open:
            return
        self._numbers[number] = None
        if len(self._numbers) > MAX_NUMBERS:
            del self._numbers[next(iter(self._numbers))]

    def add_below(self, lowest_open: int) -> None:
        """Record that all claims below a number were released."""
        if lowest_open <= self.lowest_open:
            return
        self.lowest_open = lowest_open
        self._numbers = {n: None for n in self._numbers if n >= lowest_open}
