"""Configuration revisions in force, and detection of unreachable failure domains.

An entry knows the revisions of the agents that send heartbeats to it. Revisions
of other failure domains come in digests, directly or through entries of this
domain. A domain that digests no longer report counts as unreachable.
"""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from geraniumspool.contracts import Clock
from geraniumspool.messages import Digest
from geraniumspool.reports import EntryReports
from geraniumspool.roster import Roster

# Without changes, digests to other failure domains are sent every second round.
FOREIGN_DIGEST_ROUNDS = 2
FORWARDED_ROUNDS = FOREIGN_DIGEST_ROUNDS + 1
# One lost digest must not make a domain unreachable.
UNREACHABLE_ROUNDS = 2 * FOREIGN_DIGEST_ROUNDS + 1
# Entries of this domain repeat what they heard directly in every round, for FORWARDED_ROUNDS.
LOCAL_UNREACHABLE_ROUNDS = 3

_LOG = logging.getLogger(__name__)


# Last reported revision of another failure domain; direct if a digest from outside reported it.
class _ForeignRevision(NamedTuple):
    revision: int
    heard_ms: float
    direct: bool


class Revisions:
    """Tracks the lowest revision in force per failure domain and unreachable domains."""

    def __init__(
        self,
        roster: Roster,
        clock: Clock,
        configuration: Any,
        reports: EntryReports,
        served: Callable[[], dict[str, int]],
        period_ms: float,
    ):
        """Store the collaborators.

        :param configuration: has ``revision``
        :param reports: last reports of other entries
        :param served: returns the lowest revision of this entry's agents, per failure domain
        :param period_ms: interval of rounds, in which digests are sent
        """
        self._roster = roster
        self._clock = clock
        self._configuration = configuration
        self._reports = reports
        self._get_agent_revisions = served
        self._period_ms = period_ms
        self._started_ms = clock.now()
        self._foreign: dict[str, _ForeignRevision] = {}

    def update(self, digest: Digest) -> None:
        """Store the revisions of other failure domains that a digest reports."""
        direct = digest.sender.domain != self._roster.domain
        for domain, revision in digest.in_force:
            if domain != self._roster.domain and (direct or not self._is_forwarded(domain)):
                self._foreign[domain] = _ForeignRevision(revision, self._clock.now(), direct)
        self.update_unreachable()

    def update_unreachable(self) -> None:
        """Update the roster's set of unreachable failure domains and log changes."""
        before = self._roster.unreachable
        self._roster.set_unreachable(filter(self._is_silent, self._roster.domains()))
        for domain in sorted(self._roster.unreachable ^ before):
            state = "unreachable" if domain in self._roster.unreachable else "reachable"
            _LOG.warning("failure domain %s is %s", domain, state)

    def get_revisions_in_force(self) -> dict[str, int]:
        """Return the lowest revision in force per failure domain.

        For an unreachable domain this is the last reported one.
        """
        own_domain = self._roster.domain
        lowest = self._get_served_revisions()
        for _, report in self._reports.list_fresh():
            reported = [revision for domain, revision in report.in_force if domain == own_domain]
            if report.domain == own_domain:
                reported.append(report.config_revision)
            lowest[own_domain] = min([lowest[own_domain], *reported])
        foreign = {domain: known.revision for domain, known in self._foreign.items()}
        return foreign | lowest

    def local(self) -> dict[str, int]:
        """Return the revisions to report to other entries of this failure domain."""
        reported = {
            d: known.revision for d, known in self._foreign.items() if self._is_forwarded(d)
        }
        return reported | self._get_served_revisions()

    def foreign(self, is_representative: bool) -> dict[str, int]:
        """Return the revisions to report to entries of other failure domains.

        :param is_representative: whether this entry reports for its whole domain
        """
        served = self._get_served_revisions()
        own_domain = self._roster.domain
        if is_representative:
            served[own_domain] = self.get_revisions_in_force()[own_domain]
        else:
            del served[own_domain]
        return served

    def _get_served_revisions(self) -> dict[str, int]:
        own_domain, revision = self._roster.domain, self._configuration.revision
        served = self._get_agent_revisions()
        return served | {own_domain: min(revision, served.get(own_domain, revision))}

    def _is_forwarded(self, domain: str) -> bool:
        """Return whether this entry forwards a domain's revision to entries of its domain.

        It does so for ``FORWARDED_ROUNDS`` after it last heard of the domain directly.
        """
        known = self._foreign.get(domain)
        if known is None or not known.direct:
            return False
        return self._clock.now() - known.heard_ms <= FORWARDED_ROUNDS * self._period_ms

    def _is_silent(self, domain: str) -> bool:
        if domain == self._roster.domain:
            return False
        known = self._foreign.get(domain)
        heard_ms = known.heard_ms if known else self._started_ms
        rounds = LOCAL_UNREACHABLE_ROUNDS if known and not known.direct else UNREACHABLE_ROUNDS
        is_late = self._clock.now() - heard_ms > rounds * self._period_ms
        return is_late and domain not in self._get_agent_revisions()
