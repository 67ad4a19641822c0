"""One process's view of the evacuated failure domains, in which no task may be started.

Dispatchers watch the store and send the list, with its store revision, to each other and to
their executors. Every process uses the list with the highest revision that it has received
from any source; a lower revision never replaces a higher one.
"""

import logging
from collections.abc import Callable, Iterable

from geraniumspool.contracts import Clock, Counters
from geraniumspool.run_messages import EvacuationNews

_LOG = logging.getLogger(__name__)

# Age of a list whose time is unknown; longer than any limit on the age.
UNKNOWN_AGE_MS = 1e9


class Evacuations:
    """The evacuated failure domains as far as this process knows.

    :ivar domains: names of the evacuated domains
    :ivar revision: store revision of the list, 0 while no list has been received
    :ivar confirmed_ms: latest time on this process's clock at which the store is known to have had
        this list
    :ivar on_change: called when the first list is received, and after each change of the
        domains
    """

    def __init__(self, clock: Clock, counters: Counters):
        """Start without a list.

        :param counters: where ``evacuation_changes`` is counted
        """
        self._clock = clock
        self._counters = counters
        self.domains: frozenset[str] = frozenset()
        self.revision = 0
        self.confirmed_ms = clock.now() - UNKNOWN_AGE_MS
        self.on_change: Callable[[], None] = _ignore

    @property
    def is_known(self) -> bool:
        """Whether this process has received a list, however old."""
        return self.revision > 0

    @property
    def age_ms(self) -> float:
        """Time in milliseconds since the store is known to have had this list."""
        return self._clock.now() - self.confirmed_ms

    def is_evacuated(self, domain: str) -> bool:
        """Return whether a domain is evacuated, so that no task may be started there."""
        return domain in self.domains

    def replace(self, domains: Iterable[str], revision: int, confirmed_ms: float) -> None:
        """Replace the list if ``revision`` is newer than that of the known list.

        :param domains: all evacuated domains
        :param revision: store revision of the list
        :param confirmed_ms: time at which the store still had this list
        """
        self.confirm(confirmed_ms)
        if revision <= self.revision:
            return
        is_first = not self.is_known
        before, self.domains = self.domains, frozenset(domains)
        self.revision = revision
        if is_first or before != self.domains:
            self._log_change(before)
            self.on_change()

    def apply_change(self, domain: str, is_evacuated: bool, revision: int) -> None:
        """Apply a change of one domain.

        :param is_evacuated: whether the domain is evacuated, False if it is back in use
        :param revision: store revision of the change
        """
        combine = self.domains.union if is_evacuated else self.domains.difference
        self.replace(combine((domain,)), revision, self.confirmed_ms)

    def confirm(self, confirmed_ms: float) -> None:
        """Record a time at which the store still had the known list."""
        self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)

    def to_message(self) -> EvacuationNews:
        """Return the list as a message to other processes."""
        if not self.is_known:
            return EvacuationNews()
        return EvacuationNews(self.revision, tuple(sorted(self.domains)), round(self.age_ms))

    def merge(self, news: EvacuationNews, sent_ms: float) -> None:
        """Merge the list that another process sent.

        The sender echoes the last time that it received from this process's clock, so that
        the message was sent after that time.

        :param sent_ms: that echoed time in milliseconds; 0, or a time ahead of this process's
            clock, means that the time of sending is unknown
        """
        if not news.revision:
            return
        now = self._clock.now()
        is_time_known = 0 < sent_ms <= now
        heard_ms = sent_ms - news.age_ms if is_time_known else now - UNKNOWN_AGE_MS
        self.replace(news.domains, news.revision, heard_ms)

    def _log_change(self, before: frozenset[str]) -> None:
        """Log and count a change of the domains."""
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
