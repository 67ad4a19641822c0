"""Keeps an executor from starting tasks in an evacuated failure domain.

Dispatchers tell it what is evacuated with each message. Where all of them may be out of
date, as when they are cut off from the store and the executor is not, it asks the store.
"""

import logging
import math
from collections.abc import Callable

import eventlet

from geraniumspool.contracts import Clock, Snapshot
from geraniumspool.errors import StoreError
from geraniumspool.evacuations import Evacuations
from geraniumspool.operator_keys import list_evacuated

_LOG = logging.getLogger(__name__)

# Operators wait about this long for a domain to be free of new tasks.
DEFAULT_BOUND_MS = 5_000.0
# Shares of the time that an evacuation may take: what is known is older than the first only
# where dispatchers are cut off, and the store has answered, or failed to, by the second.
ASK_SHARE = 0.6
STALE_SHARE = 0.8


class EvacuationGuard:
    """Tells whether tasks may start here.

    :ivar evacuations: what is known of evacuated domains
    :ivar on_change: called when the answer has changed
    """

    def __init__(
        self,
        clock: Clock,
        domain: str,
        evacuations: Evacuations,
        list_keys: Callable[[], Snapshot],
        prefix: str,
        bound_ms: float = DEFAULT_BOUND_MS,
    ):
        """Connect the parts.

        :param domain: failure domain of this process
        :param list_keys: reads the keys of evacuated domains, may raise ``StoreError``
        :param prefix: that of their names
        :param bound_ms: time within which an evacuation must be in force
        """
        self._clock = clock
        self._domain = domain
        self.evacuations = evacuations
        self._list_keys = list_keys
        self._prefix = prefix
        self._bound_ms = bound_ms
        self._failed_ms = -math.inf
        self._is_asking = False
        # The store failed to answer: what is known is the best there is, however old.
        self._is_cut_off = False
        self._refusal = self.refusal
        self.on_change: Callable[[], None] = _ignore
        evacuations.on_change = self._note_change

    @property
    def refusal(self) -> str:
        """Return why no task may start here, empty where one may."""
        if not self.evacuations.is_known:
            return "evacuations_unknown"
        if self.evacuations.covers(self._domain):
            return "domain_evacuated"
        return "evacuations_stale" if self._is_stale else ""

    @property
    def _is_stale(self) -> bool:
        return not self._is_cut_off and self.evacuations.age_ms > STALE_SHARE * self._bound_ms

    def check(self) -> None:
        """Ask the store if what is known is getting old; does not block."""
        if self.evacuations.age_ms < ASK_SHARE * self._bound_ms:
            self._is_cut_off = False
        elif not self._is_asking and self._clock.now() - self._failed_ms >= self._bound_ms:
            self._is_asking = True
            eventlet.spawn_n(self._ask)
        self._note_change()

    def _ask(self) -> None:
        asked_ms = self._clock.now()
        try:
            snapshot = self._list_keys()
        except StoreError as error:
            self._is_cut_off = True
            self._failed_ms = self._clock.now()
            fields = (
                ("revision", self.evacuations.revision),
                ("domains", ",".join(sorted(self.evacuations.domains))),
                ("age_ms", round(self.evacuations.age_ms)),
                ("reason", error.code),
            )
            _LOG.warning("evacuated domains not read", extra={"fields": fields})
        else:
            self._is_cut_off = False
            domains = list_evacuated(snapshot, self._prefix)
            self.evacuations.replace(domains, snapshot.revision, asked_ms)
        finally:
            self._is_asking = False
        self._note_change()

    def _note_change(self) -> None:
        if self.refusal != self._refusal:
            self._refusal = self.refusal
            self.on_change()


def _ignore() -> None:
    pass
