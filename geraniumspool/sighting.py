"""Records from whom and when a process last learned about a member."""

from typing import NamedTuple

from geraniumspool.messages import Peer


class ReportOrigin(NamedTuple):
    """From whom and when this process last learned about a member.

    A member is heard directly if its own messages arrive at this process.

    :param source: process that relayed the news, None if the member is heard directly
    :param heard_ms: when the member was last heard directly, or when its source
        was lost; None if neither
    :param relayed_ms: when the source last mentioned the member, or None
    :param claimant: another process that claims to hear the member directly, or None
    :param claimed_ms: when it made that claim
    """

    source: Peer | None = None
    heard_ms: float | None = None
    relayed_ms: float | None = None
    claimant: Peer | None = None
    claimed_ms: float = 0.0

    @property
    def is_direct(self) -> bool:
        """Return whether the latest news came from the member itself."""
        return self.source is None and self.heard_ms is not None

    @property
    def is_claimed(self) -> bool:
        """Return whether another process claims to have heard the member since this one did."""
        return self.claimant is not None and self.claimed_ms > (self.heard_ms or 0.0)
