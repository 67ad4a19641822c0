"""Tests of parsing and validating callers' request bodies."""

import json
import unittest

from geraniumspool.documents import ServiceDocument
from geraniumspool.errors import InvalidInput
from geraniumspool.messages import Task
from geraniumspool.submission import (
    MAX_FINDINGS,
    MAX_TASKS,
    check_limits,
    parse_submission,
    parse_ticket_request,
)

JOB = {"service": "fitting", "team": "opticians", "tasks": [{"payload": {"value": 1}}]}
TICKET_REQUEST = {"service": "fitting", "team": "opticians"}


def encode(value):
    """Return a request body; bytes are returned unchanged."""
    return value if isinstance(value, bytes) else json.dumps(value).encode()


class SubmissionTest(unittest.TestCase):
    """Valid bodies are parsed; invalid ones yield all findings with their paths."""

    def assert_paths(self, read, value, *paths):
        """Check the paths of all findings."""
        with self.assertRaises(InvalidInput) as caught:
            read(encode(value))
        self.assertEqual([finding.path for finding in caught.exception.findings], list(paths))
        self.assertTrue(all(finding.text for finding in caught.exception.findings))

    def test_job(self):
        """A payload is kept byte for byte; omitted fields get defaults."""
        body = (
            b'{"service":"fitting","team":"opticians","deadline_ms":1.5,'
            b'"tasks":[{"payload":{"b" : 1e2},"size":3,"run_ms":4},{"payload":null}]}'
        )
        job = parse_submission(body)
        self.assertEqual(job[:3], ("fitting", "opticians", 1.5))
        self.assertEqual(job.tasks, (Task(b'{"b" : 1e2}', 3.0, 4.0), Task(b"null")))
        self.assertEqual(parse_submission(encode(JOB)).deadline_ms, 0.0)

    def test_bounds(self):
        """Jobs exactly at the limits are accepted."""
        job = JOB | {"tasks": [{"payload": 1}] * MAX_TASKS, "deadline_ms": 600_000}
        self.assertEqual(len(parse_submission(encode(job)).tasks), MAX_TASKS)
        job = JOB | {"service": "s" * 100}
        self.assertEqual(parse_submission(encode(job)).service, "s" * 100)

    def test_digest(self):
        """The digest covers all fields except the deadline."""
        digest = parse_submission(encode(JOB)).digest
        self.assertEqual(parse_submission(encode(JOB | {"deadline_ms": 5})).digest, digest)
        for change in (
            {"service": "sawing"},
            {"team": "archers"},
            {"tasks": [{"payload": {"value": 2}}]},
            {"tasks": [{"payload": {"value": 1}, "size": 1}]},
            {"tasks": JOB["tasks"] * 2},
        ):
            with self.subTest(change=change):
                self.assertNotEqual(parse_submission(encode(JOB | change)).digest, digest)

    def test_findings(self):
        """Each invalid field is reported with its path."""
        task = {"payload": 1}
        for value, paths in (
            (b"", [""]),
            (b"[]", [""]),
            (b"nul", [""]),
            (b'{"service":"a"} x', [""]),
            (b'{"\xff":1}', [""]),
            (b'{"service":"s","team":"t","tasks":[{"payload":"\xff"}]}', [""]),
            ({}, ["service", "team", "tasks"]),
            (JOB | {"x": 1}, ["x"]),
            (JOB | {"service": ""}, ["service"]),
            (JOB | {"service": None}, ["service"]),
            (JOB | {"team": "t" * 101}, ["team"]),
            (JOB | {"deadline_ms": -0.5}, ["deadline_ms"]),
            (JOB | {"deadline_ms": 600_000.5}, ["deadline_ms"]),
            (JOB | {"deadline_ms": "1"}, ["deadline_ms"]),
            (JOB | {"deadline_ms": True}, ["deadline_ms"]),
            (JOB | {"deadline_ms": None}, ["deadline_ms"]),
            (encode(JOB)[:-1] + b', "deadline_ms": 1e999}', ["deadline_ms"]),
            (encode(JOB)[:-1] + b', "deadline_ms": NaN}', [""]),
            (JOB | {"tasks": []}, ["tasks"]),
            (JOB | {"tasks": {}}, ["tasks"]),
            (JOB | {"tasks": [task] * (MAX_TASKS + 1)}, ["tasks"]),
            (JOB | {"tasks": [task, 1, {}]}, ["tasks[1]", "tasks[2].payload"]),
            (JOB | {"tasks": [task | {"size": -1, "y": 1}]}, ["tasks[0].y", "tasks[0].size"]),
            (JOB | {"tasks": [task | {"run_ms": "1"}]}, ["tasks[0].run_ms"]),
        ):
            with self.subTest(value=value):
                self.assert_paths(parse_submission, value, *paths)

    def test_findings_are_bounded(self):
        """The number of findings is limited, however many fields are invalid."""
        with self.assertRaises(InvalidInput) as caught:
            parse_submission(encode(JOB | {"tasks": [{}] * MAX_TASKS}))
        self.assertEqual(len(caught.exception.findings), MAX_FINDINGS)

    def test_ticket_order(self):
        """The count is an integer from 1 to 100 and defaults to 1."""
        self.assertEqual(parse_ticket_request(encode(TICKET_REQUEST)).count, 1)
        self.assertEqual(parse_ticket_request(encode(TICKET_REQUEST | {"count": 100})).count, 100)
        for value, paths in (
            ({}, ["service", "team"]),
            (TICKET_REQUEST | {"count": 0}, ["count"]),
            (TICKET_REQUEST | {"count": 101}, ["count"]),
            (TICKET_REQUEST | {"count": 1.5}, ["count"]),
            (TICKET_REQUEST | {"count": "1"}, ["count"]),
            (TICKET_REQUEST | {"tasks": []}, ["tasks"]),
        ):
            with self.subTest(value=value):
                self.assert_paths(parse_ticket_request, value, *paths)

    def test_limits_of_the_service(self):
        """Violations of a service's limits are reported with their paths."""
        job = parse_submission(encode(JOB | {"tasks": [{"payload": "ab"}, {"payload": "abc"}]}))
        check_limits(job, ServiceDocument(max_tasks=2, max_task_bytes=5))
        with self.assertRaises(InvalidInput) as caught:
            check_limits(job, ServiceDocument(max_tasks=1, max_task_bytes=4))
        paths = [finding.path for finding in caught.exception.findings]
        self.assertEqual(paths, ["tasks", "tasks[1].payload"])
