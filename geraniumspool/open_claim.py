"""State of this dispatcher's claim on a job, from the first request to the release."""

import itertools
import math
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple, Protocol

from geraniumspool.claim_table import quorum_of
from geraniumspool.messages import Peer

GRANTED_BY_ARBITERS = "arbiters"
GRANTED_BY_FENCE = "fence"
# Most arbiters or executors that a log line names.
MAX_LOGGED_GRANTERS = 16


class Claimant(Protocol):
    """A job that needs a granted claim before it may run.

    :ivar claim_id: the job's id, the same at every dispatcher that it is sent to
    """

    @property
    def claim_id(self) -> str:
        """Return the job's id."""

    def remaining_claim_ms(self, now: float) -> float:
        """Return the time within which every run of the job will have ended, in milliseconds."""


class Grant(NamedTuple):
    """How a claim was last granted, for logs.

    :param how: by ``arbiters`` or by a ``fence``
    :param by: addresses of the arbiters, or of the executors, each with its incarnation
    :param granted_ms: reading of this process's clock at that time, in milliseconds
    """

    how: str = ""
    by: tuple[str, ...] = ()
    granted_ms: float = 0.0


NO_GRANT = Grant()


class OpenClaim:
    """A claim that was not released yet.

    All times are readings of this process's clock in milliseconds.

    :ivar number: identifies the claim in messages; replaced by a higher one each time that all
        arbiters have to grant the claim again, so that answers to earlier requests do not count
    :ivar former_numbers: its earlier numbers, under which arbiters may have recorded it; only its
        release ends these grants
    :ivar job: the job that it is for
    :ivar resent_job: the same job, sent again while the runs of ``job`` are being stopped
    :ivar arbiter_sets: addresses of the dispatchers that decide on it, chosen from the members now
        and from former ones; a quorum of each must grant it
    :ivar began_ms: when the arbiters were first asked under the current number
    :ivar first_granted_ms: when it was first granted, None if it was not or was lost since; a claim
        that is granted again keeps it
    :ivar is_granted: whether the job may run, by a quorum of arbiters or by a fence
    :ivar grant: how it was last granted under the current number
    :ivar is_fenced: whether it was granted since all executors have set a fence
    :ivar is_contested: whether an executor has refused runs because of another dispatcher's fence
    :ivar granted_by: addresses of arbiters that have granted it and know every earlier claim
    :ivar unsure_grants_by: addresses of arbiters that have granted it and may not know an earlier
        claim
    :ivar informed_grants_by: addresses of arbiters that have granted it and knew then every claim
        made before their process started, whether or not their grants are sure
    :ivar contact_ms: latest time at which a quorum of arbiters is known to have recorded it
    :ivar asked_ms: when each arbiter was last asked
    :ivar first_asked_ms: when each arbiter was first asked
    :ivar told_arbiters: addresses of all arbiters that may have recorded it, under any number
    :ivar held_by: other dispatcher that holds the job, by the arbiter that has last said so
    :ivar held_since_ms: when an arbiter first named the current holder
    :ivar fenced_by: addresses of executors that have set the fence
    :ivar fence_incarnations: incarnations of these executors, by address
    :ivar has_replaced_fence: whether an executor ran the job for another dispatcher only, before it
        has set the fence
    :ivar fence_rank: rank of the fence that executors are or were asked for, 0 if they were not
        asked since the answers were discarded
    :ivar spent_rank: highest rank of the requests whose answers were discarded; late ones of them
        must not count for another request
    :ivar fence_asked_ms: when executors were last asked for the fence
    :ivar fence_checked_ms: when all of them were last asked, those that have set it included
    """

    def __init__(self, job: Claimant, arbiter_sets: list[list[str]], now: float):
        """Start without any grant.

        :param job: the job that it is for
        :param arbiter_sets: addresses of the dispatchers that decide on it, by the members now and
            by former ones
        :param now: current time in milliseconds
        """
        self.number = 0
        self.former_numbers: list[int] = []
        self.job = job
        self.arbiter_sets = arbiter_sets
        self.resent_job: Claimant | None = None
        self.began_ms = now
        self.first_granted_ms: float | None = None
        self.is_granted = False
        self.grant = NO_GRANT
        self.is_fenced = False
        self.is_contested = False
        self.granted_by: set[str] = set()
        self.unsure_grants_by: set[str] = set()
        self.informed_grants_by: set[str] = set()
        self.contact_ms = now
        self.asked_ms: dict[str, float] = {}
        self.first_asked_ms: dict[str, float] = {}
        self.told_arbiters: set[str] = set()
        self.held_by: dict[str, Peer] = {}
        self.held_since_ms = 0.0
        self.fenced_by: set[str] = set()
        self.fence_incarnations: dict[str, int] = {}
        self.has_replaced_fence = False
        self.fence_rank = 0
        self.spent_rank = 0
        self.fence_asked_ms = -math.inf
        self.fence_checked_ms = -math.inf

    @property
    def job_id(self) -> str:
        """Return the id of the claimed job."""
        return self.job.claim_id

    @property
    def numbers(self) -> list[int]:
        """Return all its numbers, the lowest one first."""
        return [*self.former_numbers, self.number]

    @property
    def holder(self) -> Peer | None:
        """Return another dispatcher that holds the job, None if no arbiter has named one."""
        return next(iter(self.held_by.values()), None)

    @property
    def needs_fence(self) -> bool:
        """Whether grants of arbiters do not suffice, as another dispatcher has fenced the job.

        Arbiters that are partitioned from that dispatcher do not know of it.
        """
        return self.is_contested or self.has_replaced_fence

    @property
    def rank(self) -> int:
        """Return the rank of the fence that it was granted by, 0 if it has no such fence."""
        return self.fence_rank if self.is_fenced else 0

    @property
    def arbiters(self) -> list[str]:
        """Return the addresses of all dispatchers that decide on it, those of now first."""
        return list(dict.fromkeys(itertools.chain.from_iterable(self.arbiter_sets)))

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum of each set of arbiters has granted it and knows every earlier claim."""
        return self.is_quorum(self.granted_by)

    def is_quorum(self, addresses: AbstractSet[str]) -> bool:
        """Return whether some dispatchers contain a majority of each set of arbiters."""
        return all(
            len(addresses.intersection(arbiters)) >= quorum_of(arbiters)
            for arbiters in self.arbiter_sets
        )

    def update_contact(self, confirmed_ms: Mapping[str, float]) -> None:
        """Update the time of the last contact with a quorum of each set of arbiters.

        :param confirmed_ms: by address, when the last report was sent that the current incarnation
            of the dispatcher there has received
        """
        recorded = self.granted_by | self.unsure_grants_by
        contacts = []
        for arbiters in self.arbiter_sets:
            times = [
                max(self.began_ms, confirmed_ms.get(address, 0.0))
                for address in arbiters
                if address in recorded
            ]
            if len(times) < quorum_of(arbiters):
                return
            contacts.append(sorted(times, reverse=True)[quorum_of(arbiters) - 1])
        self.contact_ms = max(self.contact_ms, min(contacts))

    def forget_answer(self, address: str) -> None:
        """Forget the grant of an arbiter that was restarted and has forgotten it as well."""
        self.granted_by.discard(address)
        self.unsure_grants_by.discard(address)
        self.informed_grants_by.discard(address)

    def record_grant(self, how: str, now: float) -> None:
        """Record how the claim was granted.

        :param how: by ``arbiters`` or by a ``fence``
        :param now: current time in milliseconds
        """
        if how == GRANTED_BY_FENCE:
            incarnations = self.fence_incarnations
            by = [f"{name}/{incarnations.get(name, 0):x}" for name in sorted(self.fenced_by)]
        else:
            by = sorted(self.granted_by)
        self.grant = Grant(how, tuple(by), now)

    def describe(self, now: float) -> tuple[tuple[str, object], ...]:
        """Return the claim and how it was granted, as fields of a log line.

        :param now: current time in milliseconds
        """
        grant = self.grant
        return (
            ("claim", self.number),
            ("granted_how", grant.how),
            ("granted_by", ",".join(grant.by[:MAX_LOGGED_GRANTERS])),
            ("claim_rank", self.rank),
            ("grant_age_ms", round(now - grant.granted_ms) if grant.how else -1),
        )

    def discard_answers(self, now: float) -> None:
        """Discard all answers of arbiters and executors, so that they must be asked again.

        :param now: current time in milliseconds
        """
        if self.is_fenced:
            # No contact was needed until now.
            self.contact_ms = now
        self.is_granted = False
        self.grant = NO_GRANT
        self.is_fenced = False
        self.began_ms = now
        self.granted_by.clear()
        self.unsure_grants_by.clear()
        self.informed_grants_by.clear()
        self.asked_ms.clear()
        self.first_asked_ms.clear()
        self.held_by.clear()
        self.fenced_by.clear()
        self.fence_incarnations.clear()
        self.spent_rank = max(self.spent_rank, self.fence_rank)
        self.fence_rank = 0
