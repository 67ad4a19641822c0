"""How the jobs of a load fared: outcomes counted, response times, the report."""

from collections import Counter
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from geraniumspool.client import OUTCOME_COMPLETE, OUTCOME_MAY_HAVE_RUN, OUTCOME_NOT_RUN
from geraniumspool.workload import JobPlan, ideal_ms

OUTCOME_REJECTED = "rejected"
OUTCOME_UNANSWERED = "unanswered"
RANKED_OUTCOMES = (
    OUTCOME_COMPLETE,
    OUTCOME_NOT_RUN,
    OUTCOME_MAY_HAVE_RUN,
    OUTCOME_REJECTED,
    OUTCOME_UNANSWERED,
)

RATIO_SCALE = 1_000
MAX_RATIO = 1_000_000
MAX_LATENCY_MS = 600_000
DIGITS = 3


class JobOutcome(NamedTuple):
    """What became of one job, for observers.

    :param ticket: its ticket, or empty where it got none
    :param outcome: one of ``RANKED_OUTCOMES``
    :param code: code of the refusal or failure, or empty
    :param response_ms: time from its arrival to the answer
    """

    plan: JobPlan
    ticket: str
    outcome: str
    code: str
    response_ms: float


class LoadReport(NamedTuple):
    """How the jobs fared; ratios and times are None where nothing was measured.

    :param failed: jobs answered "not run" or "may have run"
    :param unanswered: jobs without any answer by their deadline and a grace
    :param rejected: jobs whose request was called wrong
    :param wrong_answers: complete answers with a result that is missing or not
        the task's own, and pairs of answers that contradict each other
    :param tasks: tasks of all jobs
    :param work_ms_complete: slot time of complete jobs
    :param refused_ms_p50: time to the answer of jobs answered "not run",
        without those that were cancelled
    :param refusals: jobs answered with a failure, by code
    :param elapsed_ms: time from the begin to the last answer
    :param goodput_share: work of complete jobs by all slots' time in ``elapsed_ms``
    :param deadline_missed: jobs not complete within their deadline, refused ones left out
    :param resubmitted: jobs submitted through two entries at once
    :param cancelled: jobs that were asked to be cancelled
    """

    jobs: int
    complete: int
    failed: int
    failed_not_run: int
    failed_may_have_run: int
    unanswered: int
    rejected: int
    wrong_answers: int
    tasks: int
    work_ms_complete: float
    response_over_ideal_p50: float | None
    response_over_ideal_p90: float | None
    response_over_ideal_p99: float | None
    response_over_ideal_narrow_p50: float | None
    response_over_ideal_narrow_p99: float | None
    response_over_ideal_wide_p50: float | None
    response_over_ideal_wide_p99: float | None
    refused_ms_p50: float | None
    refused_ms_p99: float | None
    refusals: dict[str, int]
    elapsed_ms: float
    goodput_share: float
    deadline_missed: int
    resubmitted: int
    cancelled: int

    def as_json(self) -> dict[str, Any]:
        """Return the report as JSON can say it."""
        return self._asdict()


class Tally:
    """Counts and histograms of one load.

    :ivar jobs: jobs that have arrived so far
    :ivar tasks: tasks of these
    :ivar outcomes: jobs whose outcome is known, by outcome
    :ivar wrong_answers: answers found wrong so far
    :ivar resubmitted: jobs submitted through two entries at once
    """

    def __init__(self, slots: int, trip_ms: float):
        """Start empty.

        :param slots: slots of the whole system
        :param trip_ms: one way between client and entries
        """
        self._slots = slots
        self._trip_ms = trip_ms
        self.jobs = 0
        self.tasks = 0
        self.outcomes: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self.wrong_answers = 0
        self._work_ms = 0.0
        self._deadline_missed = 0
        self.resubmitted = 0
        self._cancelled = 0
        self._ratios = _ratio_histogram()
        self._narrow = _ratio_histogram()
        self._wide = _ratio_histogram()
        self._refused = HdrHistogram(1, MAX_LATENCY_MS, DIGITS)

    def note(self, job: JobOutcome, is_cancelled: bool) -> None:
        """Take the outcome of one job.

        :param is_cancelled: whether it was asked to be cancelled
        """
        self.outcomes[job.outcome] += 1
        self._cancelled += is_cancelled
        if job.code:
            self._refusals[job.code] += 1
        if job.outcome == OUTCOME_COMPLETE:
            self._note_complete(job.plan, job.response_ms)
        elif job.outcome in (OUTCOME_MAY_HAVE_RUN, OUTCOME_UNANSWERED):
            self._deadline_missed += 1
        elif job.outcome == OUTCOME_NOT_RUN and not is_cancelled:
            self._refused.record_value(max(1, min(MAX_LATENCY_MS, round(job.response_ms))))

    def report(self, elapsed_ms: float) -> LoadReport:
        """Return how the jobs fared.

        :param elapsed_ms: time from the begin to the last answer
        """
        not_run = self.outcomes[OUTCOME_NOT_RUN]
        may_have_run = self.outcomes[OUTCOME_MAY_HAVE_RUN]
        return LoadReport(
            jobs=self.jobs,
            complete=self.outcomes[OUTCOME_COMPLETE],
            failed=not_run + may_have_run,
            failed_not_run=not_run,
            failed_may_have_run=may_have_run,
            unanswered=self.outcomes[OUTCOME_UNANSWERED],
            rejected=self.outcomes[OUTCOME_REJECTED],
            wrong_answers=self.wrong_answers,
            tasks=self.tasks,
            work_ms_complete=round(self._work_ms, 1),
            response_over_ideal_p50=_read(self._ratios, 50, RATIO_SCALE),
            response_over_ideal_p90=_read(self._ratios, 90, RATIO_SCALE),
            response_over_ideal_p99=_read(self._ratios, 99, RATIO_SCALE),
            response_over_ideal_narrow_p50=_read(self._narrow, 50, RATIO_SCALE),
            response_over_ideal_narrow_p99=_read(self._narrow, 99, RATIO_SCALE),
            response_over_ideal_wide_p50=_read(self._wide, 50, RATIO_SCALE),
            response_over_ideal_wide_p99=_read(self._wide, 99, RATIO_SCALE),
            refused_ms_p50=_read(self._refused, 50),
            refused_ms_p99=_read(self._refused, 99),
            refusals=dict(sorted(self._refusals.items())),
            elapsed_ms=round(elapsed_ms, 1),
            goodput_share=round(self._work_ms / max(1.0, self._slots * elapsed_ms), 4),
            deadline_missed=self._deadline_missed,
            resubmitted=self.resubmitted,
            cancelled=self._cancelled,
        )

    def _note_complete(self, plan: JobPlan, response_ms: float) -> None:
        self._work_ms += plan.work_ms
        self._deadline_missed += response_ms > plan.deadline_ms
        ideal = ideal_ms(plan, self._slots, self._trip_ms)
        ratio = max(1, min(MAX_RATIO, round(response_ms / ideal * RATIO_SCALE)))
        self._ratios.record_value(ratio)
        if plan.is_narrow:
            self._narrow.record_value(ratio)
        if plan.is_wide:
            self._wide.record_value(ratio)


def _ratio_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RATIO, DIGITS)


def _read(histogram: HdrHistogram, percentile: float, scale: int = 1) -> float | None:
    if not histogram.get_total_count():
        return None
    return histogram.get_value_at_percentile(percentile) / scale
