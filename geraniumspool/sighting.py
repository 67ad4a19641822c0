"""How a process knows of a member."""

from typing import NamedTuple

from geraniumspool.messages import Peer


class Sighting(NamedTuple):
    """How this process knows of a member.

    :param source: process that handed the news on, None where it was heard directly
    :param heard_ms: when it was last heard directly or its source was lost, or None
    :param learnt_ms: when its source last mentioned it, or None
    :param claimant: another process that says it hears the member, or None
    :param claimed_ms: when it said so
    """

    source: Peer | None = None
    heard_ms: float | None = None
    learnt_ms: float | None = None
    claimant: Peer | None = None
    claimed_ms: float = 0.0

    @property
    def direct(self) -> bool:
        """Whether the member is, or was last, heard directly."""
        return self.source is None and self.heard_ms is not None

    @property
    def claimed(self) -> bool:
        """Whether somebody else has heard the member since it was heard here."""
        return self.claimant is not None and self.claimed_ms > (self.heard_ms or 0.0)
