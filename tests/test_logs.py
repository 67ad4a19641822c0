"""Tests of logging as JSON lines."""

import io
import json
import logging
import re
import unittest

from geraniumspool import logs


class Unprintable:
    """Raises an exception when converted to text."""

    def __str__(self):
        raise ValueError("no text")

    __repr__ = __str__


class LogsTest(unittest.TestCase):
    """Every record becomes one JSON object on one line."""

    def setUp(self):
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(setattr, root, "handlers", list(root.handlers))
        self.stream = io.StringIO()
        logs.configure_logging("info", self.stream)
        self.logger = logging.getLogger("geraniumspool.test")

    def read_lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_fields_become_keys(self):
        self.logger.debug("not written")
        self.logger.info("took %d\nlines", 2, extra={"fields": (("job", "ab"), ("wait_ms", 1.5))})
        (line,) = self.read_lines()
        self.assertRegex(line.pop("time"), re.compile(r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$"))
        self.assertEqual(
            line,
            {
                "level": "info",
                "logger": "geraniumspool.test",
                "message": "took 2\nlines",
                "job": "ab",
                "wait_ms": 1.5,
            },
        )

    def test_exception_is_text(self):
        try:
            raise KeyError("gone")
        except KeyError:
            self.logger.exception("failed")
        (line,) = self.read_lines()
        self.assertIn("KeyError: 'gone'", line["exception"])

    def test_values_without_json_form(self):
        for fields, expected in (
            ((("bytes", b"\xff"),), {"bytes": "b'\\xff'"}),
            ((("bad", Unprintable()),), {"bad": "<Unprintable>"}),
            ((("number", float("nan")),), {"number": "nan"}),
            ((("surrogate", "\ud800"),), {"surrogate": "\ud800"}),
            ((("time", 1),), {"field_time": 1}),
            ((("long", "x" * 9000),), {"long": "x" * logs.MAX_TEXT_CHARS + "..."}),
            (5, {"fields": "5"}),
            ((("a", 1, 2),), {"fields": "(('a', 1, 2),)"}),
        ):
            with self.subTest(fields=str(expected)[:40]):
                self.stream.seek(0)
                self.stream.truncate()
                self.logger.info("odd", extra={"fields": fields})
                (line,) = self.read_lines()
                self.assertEqual(line | expected, line)

    def test_messages_that_cannot_be_formatted(self):
        self.logger.info("%d", "no number")
        self.logger.info("%s", Unprintable())
        self.logger.info(Unprintable())
        self.assertEqual(len(self.read_lines()), 3)

    def test_unknown_level_is_rejected(self):
        with self.assertRaises(ValueError):
            logs.configure_logging("loud", self.stream)
