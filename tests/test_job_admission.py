"""Tests of admission control and of the averages of queued work."""

import unittest

from geraniumspool import job_admission
from geraniumspool.dispatch_job import DispatchJob, compute_objective_ms, make_steps
from geraniumspool.dispatch_policy import UsefulnessPolicy
from geraniumspool.fleet import WorkerView
from geraniumspool.job_admission import Backlog
from geraniumspool.queued_work import LEVELS, USUAL_AVERAGE_MS, ArrivalMeter, level_of
from geraniumspool.rooms import Resources
from geraniumspool.run_messages import WorkerState
from geraniumspool.urgency import MAX_RETRY_MS, Timing
from tests.dispatch_world import QUEUE, make_spec

NOW = 1_000.0


def make_worker(name, cpu, used=0):
    """Return a usable worker.

    :param cpu: total CPU in thousandths of a core
    :param used: CPU in use
    """
    view = WorkerView(f"tcp://{name}", NOW)
    resources = Resources(cpu, 10_000)
    view.state = WorkerState(
        name, QUEUE.service, accepts=True, room=resources, used=Resources(used)
    )
    view.free = view.state.free
    view.is_usable = True
    return view


def make_job(name, queue=QUEUE, wait_ms=5_000.0, **fields):
    """Return a job that arrives at :data:`NOW`."""
    spec = make_spec(name, **fields)
    job = DispatchJob(spec, queue, make_steps(spec, 1.0))
    objective = compute_objective_ms(job.steps, queue, 1_000_000)
    job.timing = Timing(NOW, objective, wait_ms)
    return job


def judge(job, workers, others=(), arriving=(0.0,) * LEVELS, **backlog_fields):
    """Return a refusal, or None if the job is accepted.

    :param others: jobs that are queued already
    :param arriving: arrival rates of work, by priority level
    :param backlog_fields: further fields of the :class:`Backlog`
    """
    policy = UsefulnessPolicy()
    queued = job_admission.sum_work(others, policy, NOW)
    queued = queued._replace(arriving=arriving, usual=arriving)
    backlog = Backlog(list(others), list(others), workers, False, queued, **backlog_fields)
    return job_admission.check_admission(job, backlog, policy, NOW)


def make_waiting(work, run_ms=400):
    """Return queued jobs of the most urgent level.

    :param work: total work of the jobs in thousandths of a core times ms
    """
    tasks = round(work / (5_000 * run_ms))
    return [make_job(f"w{number}", cpu=5_000, run_ms=run_ms) for number in range(tasks)]


class AdmissionTest(unittest.TestCase):
    """Acceptance and refusal of arriving jobs."""

    def test_a_job_is_accepted_if_a_worker_has_free_capacity(self):
        self.assertIsNone(judge(make_job("j"), [make_worker("w", 10_000)]))

    def test_workers_too_small_for_a_task_do_not_reduce_the_usable_capacity(self):
        small = [make_worker(f"s{number}", 500) for number in range(20)]
        self.assertIsNone(judge(make_job("j"), [make_worker("w", 10_000, 7_000), *small]))

    def test_a_job_without_tasks_is_accepted(self):
        self.assertIsNone(judge(make_job("j", count=0), [make_worker("w", 10_000)]))

    def test_free_capacity_counts_in_whole_tasks(self):
        # Each worker has 3,000 free, and a task needs 4,000.
        workers = [make_worker(f"w{number}", 10_000, 7_000) for number in range(4)]
        job = make_job("j", count=3)
        judge(job, workers)
        self.assertGreater(job.predicted_wait_ms, 30.0)

    def test_queued_less_urgent_work_causes_no_refusal(self):
        worker = make_worker("w", 100_000, 100_000)
        low = QUEUE._replace(priority=2)
        large = [make_job(f"l{n}", low, count=20, cpu=5_000, run_ms=1_000) for n in range(20)]
        small = make_job("s", count=2, cpu=5_000, run_ms=400)
        self.assertIsNone(judge(small, [worker], large))
        self.assertLess(small.predicted_wait_ms, 200.0)
        same = [make_job(f"e{n}", count=20, cpu=5_000, run_ms=1_000) for n in range(20)]
        again = make_job("t", QUEUE._replace(priority=1), count=2, cpu=5_000, run_ms=400)
        self.assertEqual("overload", judge(again, [worker], same).code)

    def test_a_job_is_accepted_late_within_its_callers_timeout_and_refused_beyond_it(self):
        worker = make_worker("w", 10_000, 10_000)
        rows = [(0.0, True), (3_000_000.0, True), (12_000_000.0, False)]
        for work, is_accepted in rows:
            with self.subTest(work=work):
                job = make_job("j", cpu=5_000, run_ms=400)
                refusal = judge(job, [worker], make_waiting(work))
                self.assertEqual(is_accepted, refusal is None)

    def test_more_urgent_arrivals_lengthen_the_wait(self):
        worker = make_worker("w", 10_000, 10_000)
        waits = []
        for arriving in (0.0, 4_000.0):
            job = make_job("j", QUEUE._replace(priority=1), cpu=5_000, run_ms=400)
            judge(job, [worker], make_waiting(6_000_000.0), (arriving, 0.0, 0.0, 0.0))
            waits.append(job.predicted_wait_ms)
        self.assertGreater(waits[1], 1.5 * waits[0])

    def test_workers_expected_back_soon_count(self):
        worker = make_worker("w", 10_000, 10_000)
        waits = []
        for new_worker_count in (0, 9):
            others = [make_job(f"o{n}", cpu=5_000, run_ms=400) for n in range(3)]
            job = make_job("j", cpu=5_000, run_ms=400)
            judge(job, [worker], others, new_worker_count=new_worker_count)
            waits.append(job.predicted_wait_ms)
        self.assertLess(waits[1], waits[0] / 5)

    def test_the_retry_delay_is_always_finite(self):
        for tasks in (0, 10**6):
            job = make_job("j", count=4_000)
            worker = make_worker("w", 4_000, 4_000)
            others = [make_job("o", count=tasks, cpu=4_000, run_ms=1_000)] if tasks else []
            refusal = judge(job, [worker], others)
            self.assertLessEqual(refusal.retry_after_ms, 2 * MAX_RETRY_MS)


class QueuedWorkTest(unittest.TestCase):
    """Priority levels and averages of arrival rates."""

    def test_priority_levels(self):
        rows = {-1: 0, 0: 0, 1: 1, 3: 3, 4: 3, 99: 3}
        for priority, level in rows.items():
            self.assertEqual(level, level_of(priority), priority)

    def test_the_average_follows_a_steady_rate_and_decays_without_arrivals(self):
        meter = ArrivalMeter(0.0, USUAL_AVERAGE_MS)
        for now in range(0, 6_000, 20):
            meter.record_arrival(1, 400.0, float(now))
        self.assertAlmostEqual(20.0, meter.rates(6_000.0)[1], delta=1.0)
        self.assertEqual(0.0, meter.rates(6_000.0)[0])
        self.assertLess(meter.rates(6_000.0 + 10 * USUAL_AVERAGE_MS)[1], 0.01)


if __name__ == "__main__":
    unittest.main()
