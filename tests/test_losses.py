"""Tests of the table of jobs that were not served in time."""

import json
import unittest

from benchmarks.losses import Loss, count_losses, read_losses


def line(second, message, job="j1", prefix="", **fields):
    """Return a line of a dispatcher's log.

    :param second: time of the line in seconds after a fixed minute
    :param prefix: text before the JSON
    """
    record = {"time": f"2026-03-04T16:41:{second:06.3f}Z", "message": message, "job": job, **fields}
    return prefix + json.dumps(record)


class LossesTest(unittest.TestCase):
    """Reading of log lines, and counts of what they report."""

    def test_each_way_to_lose_a_job(self):
        lines = [
            line(10, "job accepted", queue="scan"),
            line(10.5, "job refused", "j2", "  0.5 front-1 ", reason="overload"),
            line(11, "job ended", outcome="refused", reason="too_late", took_ms=900.0),
            line(12, "job ended", outcome="succeeded", reason="", took_ms=301, objective_ms=300),
            line(12, "job ended", outcome="succeeded", reason="", took_ms=300, objective_ms=300),
            "no JSON",
            '{"time": broken "job"',
            json.dumps({"time": "2026-03-04T16:41:13Z", "message": "worker heard"}),
        ]
        self.assertEqual(
            [
                Loss(0.5, "", "refused: overload", 0.0),
                Loss(1.0, "scan", "refused after acceptance: too_late", 900.0),
                Loss(2.0, "scan", "late", 301),
            ],
            read_losses(lines),
        )

    def test_counts_by_interval(self):
        losses = [Loss(at, "scan", "late", held) for at, held in ((0.5, 10), (1.9, 30), (2.0, 7))]
        rows = count_losses(losses, 2.0)
        self.assertEqual([[0.0, "scan", "late", 2, 20.0], [2.0, "scan", "late", 1, 7.0]], rows)


if __name__ == "__main__":
    unittest.main()
