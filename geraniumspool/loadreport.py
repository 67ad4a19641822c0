"""Statistics of a load: counts of outcomes, histograms of response times, the report."""

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
SIGNIFICANT_DIGITS = 3


class JobOutcome(NamedTuple):
    """Outcome of one job, as passed to observers.

    :param plan: the job as it was generated
    :param ticket: ticket of the job, or empty if no ticket was issued
    :param outcome: one of ``RANKED_OUTCOMES``
    :param code: error code of a job that failed or was refused, or empty
    :param response_ms: time from the arrival of the job to its answer, in milliseconds
    """

    plan: JobPlan
    ticket: str
    outcome: str
    code: str
    response_ms: float


class LoadReport(NamedTuple):
    """Results of a load; ratios and times without any sample are None.

    The fields ``response_over_ideal_*`` are percentiles of the ratio of the response time
    of a complete job to :func:`geraniumspool.workload.ideal_ms`, for all, narrow and wide jobs.

    :param jobs: number of jobs submitted
    :param complete: number of jobs answered with results
    :param failed: number of jobs answered "not run" or "may have run"
    :param failed_not_run: number of jobs answered "not run"
    :param failed_may_have_run: number of jobs answered "may have run"
    :param unanswered: number of jobs without an answer by their deadline plus a grace period
    :param rejected: number of jobs whose request was answered as invalid
    :param wrong_answers: number of complete answers with missing results or results of other
        tasks, and of jobs with contradictory answers, "complete" and "not run"
    :param tasks: number of tasks in all jobs
    :param work_ms_complete: sum of the run times of the tasks of complete jobs, in milliseconds
    :param refused_ms_p50: median time to the answer "not run", in milliseconds, without
        cancelled jobs
    :param refused_ms_p99: 99th percentile of the same
    :param refusals: number of jobs answered with an error, by error code
    :param elapsed_ms: time from the start of the load to the last answer, in milliseconds
    :param goodput_share: ``work_ms_complete`` as a share of the capacity of all slots during
        ``elapsed_ms``
    :param deadline_missed: number of jobs that were completed late, may have run or got no
        answer; jobs that did not run or were rejected are not counted
    :param resubmitted: number of jobs submitted through two entries at once
    :param cancelled: number of jobs for which a cancellation was sent
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
        """Return the report as a dictionary that can be encoded as JSON."""
        return self._asdict()


class Tally:
    """Counters and histograms of a load.

    :ivar jobs: number of jobs submitted so far
    :ivar tasks: number of tasks in these jobs
    :ivar outcomes: number of jobs whose outcome is known, by outcome
    :ivar wrong_answers: number of wrong answers so far; see :class:`LoadReport`
    :ivar resubmitted: number of jobs submitted through two entries at once
    """

    def __init__(self, slots: int, one_way_delay_ms: float):
        """Create a tally without any jobs.

        :param slots: number of slots in the whole system
        :param one_way_delay_ms: one-way network delay between client and entries in milliseconds
        """
        self._slots = slots
        self._one_way_delay_ms = one_way_delay_ms
        self.jobs = 0
        self.tasks = 0
        self.outcomes: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self.wrong_answers = 0
        self._work_ms = 0.0
        self._deadline_missed = 0
        self.resubmitted = 0
        self._cancelled = 0
        self._ratios = _make_ratio_histogram()
        self._narrow = _make_ratio_histogram()
        self._wide = _make_ratio_histogram()
        self._refused = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)

    def record(self, job: JobOutcome, is_cancelled: bool) -> None:
        """Record the outcome of one job.

        :param job: outcome of the job
        :param is_cancelled: whether a cancellation was sent for the job
        """
        self.outcomes[job.outcome] += 1
        self._cancelled += is_cancelled
        if job.code:
            self._refusals[job.code] += 1
        if job.outcome == OUTCOME_COMPLETE:
            self._record_complete(job.plan, job.response_ms)
        elif job.outcome in (OUTCOME_MAY_HAVE_RUN, OUTCOME_UNANSWERED):
            self._deadline_missed += 1
        elif job.outcome == OUTCOME_NOT_RUN and not is_cancelled:
            self._refused.record_value(max(1, min(MAX_LATENCY_MS, round(job.response_ms))))

    def report(self, elapsed_ms: float) -> LoadReport:
        """Return the report on the outcomes recorded so far.

        :param elapsed_ms: time from the start of the load to the last answer, in milliseconds
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
            response_over_ideal_p50=_get_percentile(self._ratios, 50, RATIO_SCALE),
            response_over_ideal_p90=_get_percentile(self._ratios, 90, RATIO_SCALE),
            response_over_ideal_p99=_get_percentile(self._ratios, 99, RATIO_SCALE),
            response_over_ideal_narrow_p50=_get_percentile(self._narrow, 50, RATIO_SCALE),
            response_over_ideal_narrow_p99=_get_percentile(self._narrow, 99, RATIO_SCALE),
            response_over_ideal_wide_p50=_get_percentile(self._wide, 50, RATIO_SCALE),
            response_over_ideal_wide_p99=_get_percentile(self._wide, 99, RATIO_SCALE),
            refused_ms_p50=_get_percentile(self._refused, 50),
            refused_ms_p99=_get_percentile(self._refused, 99),
            refusals=dict(sorted(self._refusals.items())),
            elapsed_ms=round(elapsed_ms, 1),
            goodput_share=round(self._work_ms / max(1.0, self._slots * elapsed_ms), 4),
            deadline_missed=self._deadline_missed,
            resubmitted=self.resubmitted,
            cancelled=self._cancelled,
        )

    def _record_complete(self, plan: JobPlan, response_ms: float) -> None:
        self._work_ms += plan.work_ms
        self._deadline_missed += response_ms > plan.deadline_ms
        ideal = ideal_ms(plan, self._slots, self._one_way_delay_ms)
        ratio = max(1, min(MAX_RATIO, round(response_ms / ideal * RATIO_SCALE)))
        self._ratios.record_value(ratio)
        if plan.is_narrow:
            self._narrow.record_value(ratio)
        if plan.is_wide:
            self._wide.record_value(ratio)


def _make_ratio_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RATIO, SIGNIFICANT_DIGITS)


def _get_percentile(histogram: HdrHistogram, percentile: float, scale: int = 1) -> float | None:
    if not histogram.get_total_count():
        return None
    return histogram.get_value_at_percentile(percentile) / scale
