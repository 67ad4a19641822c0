"""Links that never fail, for components that were not given a messenger."""

import math

from geraniumspool.messages import Peer


class ReliableLinks:
    """Connections that are always open; see :class:`~contracts.Links`."""

    reopened_ms = -math.inf

    def reset(self, _peer: Peer) -> None:
        """Do nothing."""

    def is_connection_closed(self, _peer: Peer) -> bool:
        """Return that the connection is open."""
        return False

    def find_ended_since(self, _peer: Peer) -> float | None:
        """Return None: no process is known to have ended."""
        return None

    def is_unconfirmed(self, _peer: Peer, _sent_ms: float) -> bool:
        """Return that everything was confirmed."""
        return False

    def reopen_unconfirmed(self, _peer: Peer, _sent_ms: float) -> bool:
        """Return that no connection was replaced."""
        return False
