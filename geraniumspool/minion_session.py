"""Session of an executor with its minion: the incarnation served and the fencing token."""

import logging

from geraniumspool.contracts import MinionControl, MinionView
from geraniumspool.minion_life import LifeView

_LOG = logging.getLogger(__name__)

FENCE_STEP = 60_000


class MinionSession:
    """State that all parts of an executor share about its minion.

    :ivar control: client for calls to the minion
    :ivar fence: fencing token sent with every call
    :ivar life: the incarnation on which runs are started, None if there is none
    """

    def __init__(self, control: MinionControl, first_fence: int):
        """Initialize without an incarnation."""
        self.control = control
        self.fence = first_fence
        self.life: LifeView | None = None

    def raise_fence(self, refused: int) -> None:
        """Raise the fencing token after the minion has rejected ``refused`` as too low."""
        if self.fence > refused:
            return
        self.fence = refused + FENCE_STEP
        _LOG.info("fencing token raised", extra={"fields": (("fence", self.fence),)})

    def close_orders(self) -> int:
        """Raise the fencing token, so that the next poll invalidates all earlier calls.

        Calls address a minion by name and not by incarnation. A restarted minion of the same name
        has not seen any token yet. Until it sees the new one, it executes delayed calls meant for
        its previous incarnation, which may arrive seconds late.

        :returns: the new token, the lowest that the minion accepts once it has been polled
        """
        self.fence += 1
        return self.fence

    def look_now(self, life: LifeView) -> MinionView:
        """Poll the minion at once, without renewing its lease.

        :returns: the runs that are active and those that have ended
        :raises MinionSilent: if the call is not answered
        :raises MinionReplaced: if another incarnation answers
        :raises Fenced: if the minion has seen a higher fencing token
        """
        return self.control.look(life.told, self.fence, life.acknowledged, None, 0.0)
