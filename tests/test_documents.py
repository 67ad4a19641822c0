"""Tests of parsing the configuration documents."""

import unittest

from geraniumspool.documents import (
    DEFAULT_SERVICE,
    DEFAULT_TEAM,
    MAX_DOCUMENT_BYTES,
    ServiceDocument,
    TeamDocument,
    parse_document,
)
from geraniumspool.errors import InvalidInput

SERVICE = "service/fitting"
TEAM = "team/opticians"


class DocumentsTest(unittest.TestCase):
    """Valid documents are parsed; invalid ones yield findings with line and path."""

    def test_valid_documents(self):
        cases = [
            (SERVICE, b"{}", DEFAULT_SERVICE),
            (TEAM, b"{}", DEFAULT_TEAM),
            (SERVICE, b'{\n\t"deadline_ms": 1e3\n}', ServiceDocument(deadline_ms=1000)),
            (
                SERVICE,
                b"max_tasks: 1\nejection_failure_share: 0",
                DEFAULT_SERVICE._replace(max_tasks=1, ejection_failure_share=0),
            ),
            (TEAM, b"weight: 0.5\nrate_tasks_per_s: null", TeamDocument(0.5, None, None)),
            (TEAM, b"\xef\xbb\xbfrunning_tasks: 3.0", TeamDocument(running_tasks=3)),
        ]
        for key, body, expected in cases:
            with self.subTest(body):
                self.assertEqual(expected, parse_document(key, body))

    def test_invalid_documents(self):
        cases = [
            ("service", b"{}", [(0, "")]),
            ("service/", b"{}", [(0, "")]),
            ("service/a/b", b"{}", [(0, "")]),
            ("service/a\n", b"{}", [(0, "")]),
            ("minion/a", b"{}", [(0, "")]),
            (TEAM, b"", [(1, "")]),
            (TEAM, b"null", [(1, "")]),
            (TEAM, b"[]", [(1, "")]),
            (TEAM, b"{\n'weight': 1", [(2, "")]),
            (TEAM, b"weight: 1\n\xff", [(2, "")]),
            (TEAM, b"[" * 5000, [(1, "")]),
            (TEAM, b"#" * (MAX_DOCUMENT_BYTES + 1), [(1, "")]),
            (TEAM, b"weight: !!int abc", [(1, "")]),
            (TEAM, b"weight: 0\nrate_tasks_per_s: 0", [(1, "weight"), (2, "rate_tasks_per_s")]),
            (TEAM, b"weight: null", [(1, "weight")]),
            (TEAM, b"weight: -.inf", [(1, "weight"), (1, "weight")]),
            (TEAM, b"running_tasks: 1.5", [(1, "running_tasks")]),
            (TEAM, b"{\n'weight': 1,\n'weight': 2}", [(3, "weight")]),
            (SERVICE, b"max_tasks: 341\n\nweight: 1", [(1, "max_tasks"), (3, "weight")]),
            (
                SERVICE,
                b"run_limit_ms: '5'\ndeadline_ms: true",
                [(1, "run_limit_ms"), (2, "deadline_ms")],
            ),
            (
                SERVICE,
                b"{\n'ejection_failure_share': 1.01,\n'ejection_domain_share': -1}",
                [(2, "ejection_failure_share"), (3, "ejection_domain_share")],
            ),
        ]
        for key, body, expected in cases:
            with self.subTest(key=key, body=body[:40]):
                with self.assertRaises(InvalidInput) as caught:
                    parse_document(key, body)
                findings = caught.exception.findings
                self.assertEqual(expected, [(each.line, each.path) for each in findings])
                self.assertEqual({key}, {finding.place for finding in findings})
