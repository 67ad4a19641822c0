"""Check that keeps an executor from starting tasks in an evacuated failure domain.

Dispatchers send the list of evacuated domains with each message. If the newest list is getting
old, as when all dispatchers are cut off from the store, the executor reads the store itself.
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

# Time within which no new task starts in an evacuated domain; operators wait about this long.
DEFAULT_EVACUATION_MS = 5_000.0
# Shares of that time. A list older than the first share means that dispatchers are cut off
# from the store, and the executor reads the store. By the second share the store has answered
# or the call has failed; a list that is older still is not relied on.
REFRESH_SHARE = 0.6
STALE_SHARE = 0.8


class EvacuationGuard:
    """Decides whether tasks may start at this executor.

    :ivar evacuations: the evacuated domains as far as this process knows
    :ivar on_change: called when :attr:`refusal_reason` has changed
    """

    def __init__(
        self,
        clock: Clock,
        domain: str,
        evacuations: Evacuations,
        list_keys: Callable[[], Snapshot],
        prefix: str,
        evacuation_ms: float = DEFAULT_EVACUATION_MS,
    ):
        """Create the guard and subscribe to changes of ``evacuations``.

        :param domain: failure domain of this process
        :param list_keys: reads the evacuation keys from the store, may raise ``StoreError``
        :param prefix: prefix of the evacuation keys
        :param evacuation_ms: time in milliseconds within which an evacuation must be in force
        """
        self._clock = clock
        self._domain = domain
        self.evacuations = evacuations
        self._list_keys = list_keys
        self._prefix = prefix
        self._evacuation_ms = evacuation_ms
        self._failed_ms = -math.inf
        self._is_reading = False
        # Set if the store cannot be read: the known list is then used however old it is.
        self._is_cut_off = False
        self._reported_refusal = self.refusal_reason
        self.on_change: Callable[[], None] = _ignore
        evacuations.on_change = self._report_change

    @property
    def refusal_reason(self) -> str:
        """Reason why no task may start here, or an empty string if tasks may start."""
        if not self.evacuations.is_known:
            return "evacuations_unknown"
        if self.evacuations.is_evacuated(self._domain):
            return "domain_evacuated"
        return "evacuations_stale" if self._is_stale else ""

    @property
    def _is_stale(self) -> bool:
        return not self._is_cut_off and self.evacuations.age_ms > STALE_SHARE * self._evacuation_ms

    def refresh(self) -> None:
        """Start reading the store if the known list is getting old; does not block.

        After a failed read the next one waits for ``evacuation_ms``.
        """
        if self.evacuations.age_ms < REFRESH_SHARE * self._evacuation_ms:
            self._is_cut_off = False
        elif not self._is_reading and self._clock.now() - self._failed_ms >= self._evacuation_ms:
            self._is_reading = True
            eventlet.spawn_n(self._read_store)
        self._report_change()

    def _read_store(self) -> None:
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
            _LOG.warning("cannot read evacuated domains", extra={"fields": fields})
        else:
            self._is_cut_off = False
            domains = list_evacuated(snapshot, self._prefix)
            self.evacuations.replace(domains, snapshot.revision, asked_ms)
        finally:
            self._is_reading = False
        self._report_change()

    def _report_change(self) -> None:
        if self.refusal_reason != self._reported_refusal:
            self._reported_refusal = self.refusal_reason
            self.on_change()


def _ignore() -> None:
    pass
