"""The failure domains in which operators want no task started, as one process believes.

Dispatchers follow the store, and tell each other and their executors what they know. All
of them go by the newest word, whoever brought it; an older one never comes back.
"""

import logging
from collections.abc import Callable, Iterable

from geraniumspool.contracts import Clock, Counters
from geraniumspool.run_messages import EvacuationNews

_LOG = logging.getLogger(__name__)

# Stands for the age of what was never confirmed; as good as for ever.
UNKNOWN_AGE_MS = 1e9


class Evacuations:
    """The evacuated failure domains.

    :ivar domains: their names
    :ivar revision: of the store when it listed them, 0 while nothing is known
    :ivar heard_ms: when the store is known to have said so, by this process's clock
    :ivar on_change: called after the domains have changed, and once they are first known
    """

    def __init__(self, clock: Clock, counters: Counters):
        """Know nothing."""
        self._clock = clock
        self._counters = counters
        self.domains: frozenset[str] = frozenset()
        self.revision = 0
        self.heard_ms = clock.now() - UNKNOWN_AGE_MS
        self.on_change: Callable[[], None] = _ignore

    @property
    def is_known(self) -> bool:
        """Whether the store's list has reached this process, however old."""
        return self.revision > 0

    @property
    def age_ms(self) -> float:
        """Return for how long the store may have had another list."""
        return self._clock.now() - self.heard_ms

    def covers(self, domain: str) -> bool:
        """Return whether no task may be started in a domain."""
        return domain in self.domains

    def replace(self, domains: Iterable[str], revision: int, heard_ms: float) -> None:
        """Take the whole list, as the store had it at a revision.

        :param heard_ms: when the store must still have had it
        """
        self.confirm(heard_ms)
        if revision <= self.revision:
            return
        is_first = not self.is_known
        before, self.domains = self.domains, frozenset(domains)
        self.revision = revision
        if is_first or before != self.domains:
            self._note_change(before)
            self.on_change()

    def change(self, domain: str, is_evacuated: bool, revision: int) -> None:
        """Take that a domain is evacuated, or taken back, as of a revision."""
        change = self.domains.union if is_evacuated else self.domains.difference
        self.replace(change((domain,)), revision, self.heard_ms)

    def confirm(self, heard_ms: float) -> None:
        """Take that the store had nothing newer at some time."""
        self.heard_ms = max(self.heard_ms, heard_ms)

    def tell(self) -> EvacuationNews:
        """Return what to tell other processes."""
        if not self.is_known:
            return EvacuationNews()
        return EvacuationNews(self.revision, tuple(sorted(self.domains)), round(self.age_ms))

    def hear(self, news: EvacuationNews, sent_ms: float) -> None:
        """Take another process's word.

        :param sent_ms: the clock here as the sender had heard it, after which it was sent; 0,
            or a clock ahead of the own one, tells nothing of when that was
        """
        if not news.revision:
            return
        now = self._clock.now()
        is_dated = 0 < sent_ms <= now
        heard_ms = sent_ms - news.age_ms if is_dated else now - UNKNOWN_AGE_MS
        self.replace(news.domains, news.revision, heard_ms)

    def _note_change(self, before: frozenset[str]) -> None:
        fields = (
            ("domains", ",".join(sorted(self.domains))),
            ("before", ",".join(sorted(before))),
            ("revision", self.revision),
            ("age_ms", round(self.age_ms)),
        )
        _LOG.info("evacuated domains changed", extra={"fields": fields})
        self._counters.add("evacuation_changes")


def _ignore() -> None:
    pass
