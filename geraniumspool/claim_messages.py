"""Messages to claim jobs, so that no two dispatchers run the same job at the same time.

Before a dispatcher starts a job's first task, a quorum of the job's arbiters, a few dispatchers
chosen by its id, must grant its claim. If the arbiters cannot decide, it asks every executor for
a fence instead: the executor then runs the job for this dispatcher only. Times are in
milliseconds.
"""

from typing import NamedTuple


class Claim(NamedTuple):
    """A dispatcher's claim on a job.

    :param number: identifies the claim; increases within the dispatcher's incarnation
    :param left_ms: time from now within which every run of the job will have ended in any case
    :param rank: rank of the fence that all executors have set for this claim, 0 without a fence
    """

    number: int
    job_id: str
    left_ms: float
    rank: int = 0


class ClaimJobs(NamedTuple):
    """Dispatcher to arbiter: new or repeated claims, and releases of earlier ones.

    :param released: numbers of released claims
    :param oldest: all claims with lower numbers are released, even if a release got lost
    """

    claims: tuple[Claim, ...]
    released: tuple[int, ...]
    oldest: int


class OpenClaims(NamedTuple):
    """Dispatcher to a new arbiter: the complete list of the claims it has made there.

    :param upto: the list is complete up to this number; later claims may be missing
    :param age_ms: time since the dispatcher's process started
    :param is_settled: whether the dispatcher, as an arbiter, knows all earlier claims itself
    :param clean: addresses of dispatchers whose last incarnation exited with no run left
    :param has_lost_members: whether a dispatcher that is no longer listed may still run jobs that
        it has claimed
    """

    claims: tuple[Claim, ...]
    upto: int
    age_ms: float
    is_settled: bool
    clean: tuple[str, ...]
    has_lost_members: bool = False


class ClaimVerdict(NamedTuple):
    """An arbiter's answer to one claim.

    :param number: number of the claim
    :param holder: address of the other dispatcher that holds the job, empty if the claim is granted
    :param holder_life: incarnation of that dispatcher, 0 if the claim is granted
    :param is_sure: whether the arbiter knows every earlier claim on the job; a grant by one that
        may not doesn't count towards the quorum
    """

    number: int
    holder: str = ""
    holder_life: int = 0
    is_sure: bool = True


class ClaimVerdicts(NamedTuple):
    """Arbiter to dispatcher: answers to claims.

    :param is_settled: whether the arbiter knows all earlier claims, and needs no ``OpenClaims``
    """

    verdicts: tuple[ClaimVerdict, ...]
    is_settled: bool


class EndClaims(NamedTuple):
    """Dispatcher to arbiter: the process is about to exit, and no run is left."""


class FenceJobs(NamedTuple):
    """Dispatcher to executor: set fences, and answer once no other dispatcher's runs are left.

    A fence on a job makes the executor run the job for one dispatcher only.

    :param rank: a fence replaces another dispatcher's fence on the same job only if its rank is
        higher, or equal and its dispatcher's address is not lower
    :param claims_over_ms: time from now after which every run must have ended that any dispatcher
        has claimed until now
    """

    job_ids: tuple[str, ...]
    rank: int
    claims_over_ms: float = 0.0


class JobsFenced(NamedTuple):
    """Executor to dispatcher: these jobs run here for this dispatcher only.

    :param job_ids: fenced jobs; empty if the runs of other dispatchers are still being stopped
    :param rank: rank of the requested fences
    :param highest: highest rank of the existing fences that were kept, 0 if all were replaced
    :param replaced: those of ``job_ids`` that this executor ran for another dispatcher only, until
        its fence was replaced; that one may go on with them at executors that have not answered
    """

    job_ids: tuple[str, ...]
    rank: int
    highest: int = 0
    replaced: tuple[str, ...] = ()


class RelayClaims(NamedTuple):
    """Dispatcher to executor: pass claims that were granted by a fence on to their arbiters.

    :param released: numbers of released claims that were relayed before
    :param arbiters: addresses of the dispatchers that are told
    """

    claims: tuple[Claim, ...]
    released: tuple[int, ...]
    arbiters: tuple[str, ...]


class RelayedClaims(NamedTuple):
    """Executor to dispatcher: claims and releases of another dispatcher, which are not answered.

    :param holder: address of that dispatcher
    :param holder_life: its incarnation
    """

    holder: str
    holder_life: int
    claims: tuple[Claim, ...]
    released: tuple[int, ...]
