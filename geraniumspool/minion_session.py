"""Session of an executor with its minion: the incarnation served and the fencing token."""

import logging

from geraniumspool.contracts import MinionControl, MinionStatus
from geraniumspool.minion_life import IncarnationState

_LOG = logging.getLogger(__name__)

FENCING_TOKEN_STEP = 60_000


class MinionSession:
    """State that all parts of an executor share about its minion.

    :ivar control: client for calls to the minion
    :ivar fencing_token: fencing token sent with every call
    :ivar incarnation: the incarnation on which runs are started, None if there is none
    """

    def __init__(self, control: MinionControl, initial_fencing_token: int):
        """Initialize without an incarnation."""
        self.control = control
        self.fencing_token = initial_fencing_token
        self.incarnation: IncarnationState | None = None

    def raise_fencing_token(self, refused: int) -> None:
        """Raise the fencing token after the minion has rejected ``refused`` as too low."""
        if self.fencing_token > refused:
            return
        self.fencing_token = refused + FENCING_TOKEN_STEP
        _LOG.info("fencing token raised", extra={"fields": (("fence", self.fencing_token),)})

    def invalidate_earlier_calls(self) -> int:
        """Raise the fencing token, so that the next poll invalidates all earlier calls.

        Calls address a minion by name and not by incarnation. A restarted minion of the same name
        has not seen any token yet. Until it sees the new one, it executes delayed calls meant for
        its previous incarnation, which may arrive seconds late.

        :returns: the new token, the lowest that the minion accepts once it has been polled
        """
        self.fencing_token += 1
        return self.fencing_token

    def poll_now(self, incarnation: IncarnationState) -> MinionStatus:
        """Poll the minion at once, without renewing its lease.

        :returns: the runs that are active and those that have ended
        :raises MinionSilent: if the call is not answered
        :raises MinionReplaced: if another incarnation answers
        :raises Fenced: if the minion has seen a higher fencing token
        """
        return self.control.poll(
            incarnation.report, self.fencing_token, incarnation.acknowledged_end, None, 0.0
        )
