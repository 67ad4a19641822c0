"""Tests of counters and gauges, and of their Prometheus rendering."""

import unittest

from geraniumspool.counters import MAX_SERIES, MemoryCounters
from geraniumspool.metrics import Metrics


class MetricsTest(unittest.TestCase):
    """Counting, label sets and rendering."""

    def test_get_sums_matching_series(self):
        counters = MemoryCounters()
        counters.add("jobs", code="a", team="x")
        counters.add("jobs", 2, team="x", code="a")
        counters.add("jobs", code="b", team="x")
        for labels, expected in (
            ({}, 4),
            ({"code": "a"}, 3),
            ({"team": "x", "code": "b"}, 1),
            ({"code": "c"}, 0),
            ({"other": "a"}, 0),
        ):
            with self.subTest(labels=labels):
                self.assertEqual(counters.get("jobs", **labels), expected)
        self.assertEqual(counters.get("nothing"), 0)

    def test_snapshot_merges_label_order(self):
        metrics = Metrics("entry", "Sukhbaatar")
        metrics.add("jobs", code="a", team="x")
        metrics.add("jobs", team="x", code="a")
        metrics.set_gauge("queued", lambda: 7)
        self.assertEqual(metrics.snapshot(), {"jobs{code=a,team=x}": 2, "queued": 7.0})

    def test_series_are_bounded(self):
        counters = MemoryCounters()
        for number in range(MAX_SERIES + 50):
            counters.add("jobs", team=str(number))
        self.assertEqual(len(counters.snapshot()), MAX_SERIES + 1)
        self.assertEqual(counters.get("jobs"), MAX_SERIES + 50)
        self.assertEqual(counters.get("jobs", overflow="true"), 50)

    def test_render_shows_current_counts(self):
        metrics = Metrics("entry", "Sukhbaatar")
        metrics.add("jobs", code="a")
        metrics.set_gauge("queued", lambda: 7)
        series = 'geraniumspool_jobs_total{code="a",domain="Sukhbaatar",role="entry"}'
        self.assertIn(f"{series} 1.0", metrics.render().decode())
        metrics.add("jobs", 2, code="a")
        metrics.add("tasks")
        text = metrics.render().decode()
        self.assertIn(f"{series} 3.0", text)
        self.assertIn('geraniumspool_tasks_total{domain="Sukhbaatar",role="entry"} 1.0', text)
        self.assertIn('geraniumspool_queued{domain="Sukhbaatar",role="entry"} 7.0', text)
        self.assertIn("# TYPE geraniumspool_jobs_total counter", text)

    def test_instances_do_not_share_counts(self):
        one, other = Metrics("entry", "a"), Metrics("agent", "b")
        one.add("jobs")
        self.assertIn(b"geraniumspool_jobs_total", one.render())
        self.assertNotIn(b"geraniumspool_jobs_total", other.render())
