"""Worst-case load patterns: the jobs that arrive and the faults that occur meanwhile.

Three queues have the proportions of a virtual try-on service: short jobs with many tasks, long
jobs, and many small ones of medium length. A seed determines everything that is drawn.
"""

import enum
import random
from typing import NamedTuple

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.workload import Burst, CappedLogNormal, QueueJob, QueueMix, draw_arrivals

SHORT_QUEUE, LONG_QUEUE, SMALL_QUEUE = "short", "long", "small"
CPU = CappedLogNormal(5_800, 0.2, 9_000)
# Declared run times differ from the real ones by tens of per cent.
DECLARED_ERROR = 0.4
MIXES = (
    QueueMix(
        SHORT_QUEUE,
        0,
        0.25,
        CappedLogNormal(8, 0.4, 32),
        CappedLogNormal(60, 0.4, 240),
        CPU,
        DECLARED_ERROR,
    ),
    QueueMix(
        LONG_QUEUE,
        2,
        0.05,
        CappedLogNormal(4, 0.4, 16),
        CappedLogNormal(900, 0.4, 3_600),
        CPU,
        DECLARED_ERROR,
    ),
    QueueMix(
        SMALL_QUEUE,
        1,
        0.70,
        CappedLogNormal(2, 0.4, 8),
        CappedLogNormal(200, 0.4, 800),
        CPU,
        DECLARED_ERROR,
    ),
)
# A licence register: its jobs run twice as long as above, and the long ones are the least urgent.
REGISTER_CPU = CappedLogNormal(6_400, 0.2, 9_200)
REGISTER = (
    QueueMix(
        SHORT_QUEUE,
        0,
        0.245,
        CappedLogNormal(8, 0.4, 32),
        CappedLogNormal(120, 0.4, 480),
        REGISTER_CPU,
        0.4,
    ),
    QueueMix(
        LONG_QUEUE,
        2,
        0.045,
        CappedLogNormal(4, 0.4, 16),
        CappedLogNormal(1_800, 0.4, 7_200),
        REGISTER_CPU,
        0.4,
    ),
    QueueMix(
        SMALL_QUEUE,
        1,
        0.71,
        CappedLogNormal(2, 0.4, 8),
        CappedLogNormal(400, 0.4, 1_600),
        REGISTER_CPU,
        0.4,
    ),
)
# The try-on service some months later, with fewer short jobs and more long ones.
SHIFTED = tuple(
    mix._replace(share=share) for mix, share in zip(MIXES, (0.23, 0.09, 0.68), strict=True)
)
LENGTH_MS = 6_000.0
# Faults start once the load is steady, and last about as long as a burst.
FAULT_AT_MS = 1_500.0
FAULT_MS = 2_000.0
BURST = Burst(FAULT_AT_MS, FAULT_MS, 2.5)


class FaultKind(enum.Enum):
    """Kind of fault of a worker's minion, of a dispatcher, or of a failure domain."""

    SLOW = "its runs take four times as long"
    HANG = "its runs make no progress"
    FAIL = "its runs fail"
    CRASH = "it crashes and restarts after a while"
    SHRINK = "it has half of its room for a while"
    LEAVE = "it drains: it takes no new runs"
    FREEZE = "a dispatcher is suspended for a while"
    EVACUATE = "operators evacuate its failure domain for a while"


class Fault(NamedTuple):
    """A fault that starts and ends.

    :param share: share of the workers that are affected; of the dispatchers for ``FREEZE``
    :param start_ms: time from the start of the pattern
    """

    kind: FaultKind
    share: float
    start_ms: float = FAULT_AT_MS
    length_ms: float = FAULT_MS


class Pattern(NamedTuple):
    """One load pattern.

    :param load: offered work divided by the room of all workers, bursts not included
    :param burst_queue: queue whose jobs make up the bursts, empty for all queues
    :param refused_callers_retry: whether refused callers retry after the time that they are told
    :param wait_in_objectives: how long callers wait, as a multiple of the objective of their job
    :param disconnecting_share: share of the callers that disconnect before the objective
    :param mixes: kinds of jobs that arrive
    :param length_ms: how long jobs arrive
    :param crashing_share: share of the jobs whose first task crashes the minion that runs it
    :param focus_share: share of the callers that reach one dispatcher in place of a random one
    :param focus_ms: time after which it is the next dispatcher, 0 if it stays the first
    :param has_groups: whether each dispatcher owns workers, in its own failure domain; otherwise
        one owns them all
    """

    name: str
    load: float
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    burst_queue: str = ""
    refused_callers_retry: bool = False
    wait_in_objectives: float = 5.0
    disconnecting_share: float = 0.0
    mixes: tuple[QueueMix, ...] = MIXES
    length_ms: float = LENGTH_MS
    crashing_share: float = 0.0
    focus_share: float = 0.0
    focus_ms: float = 0.0
    has_groups: bool = False


PATTERNS = (
    Pattern("just full", 0.9),
    Pattern("1.8 times full", 1.62),
    Pattern("burst over capacity", 0.7, (BURST,)),
    Pattern("slow minions", 0.7, faults=(Fault(FaultKind.SLOW, 0.25),)),
    Pattern("hanging minions", 0.7, faults=(Fault(FaultKind.HANG, 0.25),)),
    Pattern("minions that fail all", 0.7, faults=(Fault(FaultKind.FAIL, 0.25),)),
    Pattern("crash of a rack in a burst", 0.7, (BURST,), (Fault(FaultKind.CRASH, 0.25, 2_000.0),)),
    Pattern("minions leave in a burst", 0.7, (BURST,), (Fault(FaultKind.LEAVE, 0.25, 2_000.0),)),
    Pattern(
        "one queue crowds in", 0.6, (Burst(FAULT_AT_MS, FAULT_MS, 6.0),), burst_queue=LONG_QUEUE
    ),
    Pattern(
        "all come back", 0.6, (BURST,), (Fault(FaultKind.CRASH, 1.0),), refused_callers_retry=True
    ),
    Pattern("hopeless jobs", 0.9, wait_in_objectives=1.1),
    Pattern("callers leave", 1.2, disconnecting_share=0.25),
    Pattern(
        "register: bursts and a crash",
        0.68,
        (Burst(500.0, 4_000.0, 1.35), Burst(4_500.0, 3_100.0, 1.3)),
        (Fault(FaultKind.CRASH, 0.17, 3_500.0, 3_700.0),),
        mixes=REGISTER,
        length_ms=12_000.0,
    ),
    Pattern(
        "register: slow minions in a burst",
        0.65,
        (Burst(2_000.0, 4_000.0, 1.4),),
        (Fault(FaultKind.SLOW, 0.17, 2_500.0, 6_000.0),),
        mixes=REGISTER,
        length_ms=12_000.0,
    ),
    Pattern("register: 1.5 times full", 1.35, mixes=REGISTER, length_ms=12_000.0),
    Pattern("a dispatcher frozen in a burst", 0.7, (BURST,), (Fault(FaultKind.FREEZE, 0.33),)),
    Pattern("rooms shrink in a burst", 0.6, (BURST,), (Fault(FaultKind.SHRINK, 0.5),)),
    # The remaining two thirds of the workers then have the load of the first pattern.
    Pattern(
        "a domain evacuated",
        0.6,
        faults=(Fault(FaultKind.EVACUATE, 1 / 3),),
        mixes=SHIFTED,
    ),
    Pattern(
        "a domain evacuated in a burst",
        0.6,
        (Burst(FAULT_AT_MS, FAULT_MS, 1.27),),
        (Fault(FaultKind.EVACUATE, 1 / 3, 2_000.0),),
        mixes=SHIFTED,
    ),
    # That is one task in five hundred, as jobs have four tasks on average.
    Pattern("tasks that crash minions", 0.6, crashing_share=0.008),
    # Callers of one domain after the other bring most of the load: more than the group of workers
    # of its dispatcher holds, less than all groups together.
    Pattern("a crest wanders", 0.8, focus_share=0.7, focus_ms=1_500.0, has_groups=True),
    Pattern(
        "a crest wanders, long jobs in bursts",
        0.6,
        (Burst(FAULT_AT_MS, FAULT_MS, 6.0),),
        burst_queue=LONG_QUEUE,
        focus_share=0.7,
        focus_ms=1_500.0,
        has_groups=True,
    ),
    Pattern("a burst at one dispatcher", 0.7, (BURST,), focus_share=0.9, has_groups=True),
    # A quarter of the workers is three quarters of one group: jobs that wait there have been
    # forwarded by reports of full capacity.
    Pattern(
        "most of a group slow",
        0.6,
        faults=(Fault(FaultKind.SLOW, 0.25),),
        focus_share=0.7,
        has_groups=True,
    ),
    Pattern(
        "most of a group crashes",
        0.6,
        faults=(Fault(FaultKind.CRASH, 0.25),),
        focus_share=0.7,
        has_groups=True,
    ),
)


class Arrival(NamedTuple):
    """Arrival of one job.

    :param at_ms: time from the start of the pattern
    :param disconnects: whether the caller disconnects before the objective
    :param crashes_minions: whether the first task crashes every minion that starts it
    """

    at_ms: float
    job: QueueJob
    disconnects: bool
    crashes_minions: bool = False


def draw_load(pattern: Pattern, room_cpu: float, seed: int) -> list[Arrival]:
    """Return the arrivals of a pattern, ordered by time.

    :param room_cpu: total room of all workers in thousandths of a core
    :param seed: determines all arrivals
    """
    rng = random.Random(seed)
    work = _measure_mean_work(pattern.mixes)
    rate = pattern.load * room_cpu / MS_PER_SECOND / work
    bursts = () if pattern.burst_queue else pattern.bursts
    arrivals = _draw_jobs(rng, rate, bursts, pattern.mixes, pattern)
    if pattern.burst_queue:
        mixes = tuple(mix for mix in pattern.mixes if mix.queue == pattern.burst_queue)
        more = rate * mixes[0].share
        extra = _draw_jobs(rng, more, pattern.bursts, mixes, pattern)
        arrivals += [arrival for arrival in extra if _is_within(arrival, pattern.bursts)]
    if pattern.crashing_share:
        arrivals = [
            arrival._replace(crashes_minions=rng.random() < pattern.crashing_share)
            for arrival in arrivals
        ]
    return sorted(arrivals)


def _draw_jobs(
    rng: random.Random,
    rate: float,
    bursts: tuple[Burst, ...],
    mixes: tuple[QueueMix, ...],
    pattern: Pattern,
) -> list[Arrival]:
    weights = [mix.share for mix in mixes]
    return [
        Arrival(
            at_ms,
            rng.choices(mixes, weights)[0].draw(rng),
            rng.random() < pattern.disconnecting_share,
        )
        for at_ms in draw_arrivals(rate, pattern.length_ms, rng, bursts)
    ]


def _is_within(arrival: Arrival, bursts: tuple[Burst, ...]) -> bool:
    return any(0 <= arrival.at_ms - burst.start_ms < burst.length_ms for burst in bursts)


def _measure_mean_work(mixes: tuple[QueueMix, ...], draws: int = 2_000) -> float:
    """Return the mean work of a job in core-seconds."""
    rng = random.Random(1)
    weights = [mix.share for mix in mixes]
    chosen = rng.choices(mixes, weights, k=draws)
    return sum(mix.draw(rng).work for mix in chosen) / draws
