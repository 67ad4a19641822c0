"""Configuration revisions in force, and failure domains that fell silent.

An entry knows the revisions of the agents that beat at it. Of other failure
domains it knows what digests tell, directly or through its neighbours. Where
they tell of a domain no more, the domain is unreachable.
"""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from geraniumspool.contracts import Clock
from geraniumspool.messages import Digest
from geraniumspool.reports import Reports
from geraniumspool.roster import Roster

# Where nothing changed, digests to other failure domains go out every second round.
FAR_ROUNDS = 2
TOLD_ROUNDS = FAR_ROUNDS + 1
# One lost digest is not silence.
SILENT_ROUNDS = 2 * FAR_ROUNDS + 1
# Neighbours tell in every round what they heard, for TOLD_ROUNDS.
NEAR_SILENT_ROUNDS = 3

_LOG = logging.getLogger(__name__)


class _Afar(NamedTuple):
    revision: int
    heard_ms: float
    direct: bool


class Revisions:
    """The lowest revision in force per failure domain, as far as it is known here."""

    def __init__(
        self,
        roster: Roster,
        clock: Clock,
        configuration: Any,
        reports: Reports,
        served: Callable[[], dict[str, int]],
        period_ms: float,
    ):
        """Connect the parts.

        :param configuration: has ``revision``
        :param served: returns the lowest revision per domain of the agents that beat here
        :param period_ms: period of digests
        """
        self._roster = roster
        self._clock = clock
        self._configuration = configuration
        self._reports = reports
        self._serve = served
        self._period_ms = period_ms
        self._started_ms = clock.now()
        self._afar: dict[str, _Afar] = {}

    def take(self, digest: Digest) -> None:
        """Take what a digest tells of other failure domains."""
        direct = digest.sender.domain != self._roster.domain
        for domain, revision in digest.in_force:
            if domain != self._roster.domain and (direct or not self._is_told(domain)):
                self._afar[domain] = _Afar(revision, self._clock.now(), direct)
        self.watch()

    def watch(self) -> None:
        """Tell the roster of which failure domains nothing is heard any more."""
        before = self._roster.unreachable
        self._roster.set_unreachable(filter(self._is_silent, self._roster.domains()))
        for domain in sorted(self._roster.unreachable ^ before):
            state = "unreachable" if domain in self._roster.unreachable else "reachable"
            _LOG.warning("failure domain %s is %s", domain, state)

    def in_force(self) -> dict[str, int]:
        """Return the lowest revision per failure domain.

        Of a domain that is silent it is the last that was reported.
        """
        own = self._roster.domain
        lowest = self._served()
        for _, report in self._reports.fresh():
            told = [revision for domain, revision in report.in_force if domain == own]
            if report.domain == own:
                told.append(report.config_revision)
            lowest[own] = min([lowest[own], *told])
        afar = {domain: news.revision for domain, news in self._afar.items()}
        return afar | lowest

    def local(self) -> dict[str, int]:
        """Return what to tell other entries of the own failure domain."""
        told = {d: news.revision for d, news in self._afar.items() if self._is_told(d)}
        return told | self._served()

    def foreign(self, is_representative: bool) -> dict[str, int]:
        """Return what to tell entries of other failure domains.

        :param is_representative: whether this entry represents its domain
        """
        served = self._served()
        own = self._roster.domain
        if is_representative:
            served[own] = self.in_force()[own]
        else:
            del served[own]
        return served

    def _served(self) -> dict[str, int]:
        own, revision = self._roster.domain, self._configuration.revision
        served = self._serve()
        return served | {own: min(revision, served.get(own, revision))}

    def _is_told(self, domain: str) -> bool:
        """Return whether this entry tells its neighbours what it heard of a domain."""
        news = self._afar.get(domain)
        if news is None or not news.direct:
            return False
        return self._clock.now() - news.heard_ms <= TOLD_ROUNDS * self._period_ms

    def _is_silent(self, domain: str) -> bool:
        if domain == self._roster.domain:
            return False
        news = self._afar.get(domain)
        heard_ms = news.heard_ms if news else self._started_ms
        rounds = NEAR_SILENT_ROUNDS if news and not news.direct else SILENT_ROUNDS
        is_late = self._clock.now() - heard_ms > rounds * self._period_ms
        return is_late and domain not in self._serve()
