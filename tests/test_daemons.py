"""Tests of the dispatcher's and executor's settings, imports, logs and metrics page."""

import json
import logging
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import eventlet
import yaml
from eventlet.patcher import original

from geraniumspool.bounded_log import (
    BURST_LINES,
    DROPPED_MESSAGE,
    LogDestination,
    RateLimitedHandler,
)
from geraniumspool.clock import ManualClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.daemon_settings import DispatcherSettings, ExecutorSettings, load_settings
from geraniumspool.errors import InvalidInput
from geraniumspool.metrics_page import MetricsPage
from geraniumspool.routes import Request

# Eventlet's patched version would wait for input.
_READ = original("os").read
DEPLOY = Path(__file__).parent.parent / "deploy"
DISPATCHER = {
    "name": "front-1",
    "domain": "north",
    "inbox": "tcp://127.0.0.1:0",
    "store": "127.0.0.1:1",
    "callers_listen": "127.0.0.1:0",
    "ready_listen": "127.0.0.1:0",
}


class SettingsTest(unittest.TestCase):
    """Reading of settings files."""

    def load(self, text, kind=DispatcherSettings):
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write(text)
            file.flush()
            return load_settings(file.name, kind)

    def test_a_valid_file(self):
        settings = self.load(yaml.safe_dump(DISPATCHER | {"grace_s": 4}))
        self.assertEqual(
            ("front-1", 4.0, "info"), (settings.name, settings.grace_s, settings.log_level)
        )

    def test_all_faults_are_reported_at_once(self):
        broken = {key: value for key, value in DISPATCHER.items() if key != "store"}
        broken |= {"grace_s": "soon", "colour": "red", "name": 7}
        with self.assertRaises(InvalidInput) as raised:
            self.load(yaml.safe_dump(broken))
        paths = [finding.path for finding in raised.exception.findings]
        self.assertEqual(["name", "store", "grace_s", "colour"], paths)

    def test_the_capacity_of_a_dispatcher_must_be_positive(self):
        settings = self.load(yaml.safe_dump(DISPATCHER | {"processor_share": 0.5, "processors": 3}))
        self.assertEqual(1.5, settings.capacity)
        for invalid in ({"processor_share": 0}, {"processors": -1}, {"processors": None}):
            with self.subTest(invalid=invalid), self.assertRaises(InvalidInput):
                self.load(yaml.safe_dump(DISPATCHER | invalid))

    def test_decisions_that_are_off_by_default(self):
        """A setting that is misread as true would change the decisions of a deployment."""
        for name in ("returns_jobs", "uses_busy_share"):
            with self.subTest(name=name):
                self.assertIs(False, getattr(self.load(json.dumps(DISPATCHER)), name))
                settings = self.load(json.dumps(DISPATCHER | {name: True}))
                self.assertIs(True, getattr(settings, name))
                for invalid in ("yes", 1, None):
                    with self.assertRaisesRegex(InvalidInput, name):
                        self.load(json.dumps(DISPATCHER | {name: invalid}))

    def test_the_same_file_written_as_json(self):
        document = DISPATCHER | {"grace_s": 4}
        self.assertEqual(self.load(yaml.safe_dump(document)), self.load(json.dumps(document)))

    def test_the_bound_of_an_evacuation_is_optional(self):
        executor = {key: DISPATCHER[key] for key in ("name", "domain", "inbox", "store")}
        executor["minion_listen"] = "127.0.0.1:0"
        for given, expected in (({}, None), ({"evacuation_ms": None}, None)):
            settings = self.load(json.dumps(executor | given), ExecutorSettings)
            self.assertEqual(expected, settings.evacuation_ms)
        # A platform that sets no bound leaves the value in the settings template empty.
        empty = json.dumps(executor | {"evacuation_ms": 7}).replace("7", "")
        self.assertIsNone(self.load(empty, ExecutorSettings).evacuation_ms)
        with self.assertRaises(InvalidInput):
            self.load(json.dumps(executor | {"evacuation_ms": 0}), ExecutorSettings)

    def test_invalid_and_missing_files(self):
        for text in ("- a\n", "a: [\n", ""):
            with self.subTest(text=text), self.assertRaises(InvalidInput):
                self.load(text)
        with self.assertRaises(InvalidInput):
            load_settings("/nowhere/settings.yaml", ExecutorSettings)

    def test_templates_contain_only_known_settings(self):
        for name, kind in (("dispatcher", DispatcherSettings), ("executor", ExecutorSettings)):
            text = (DEPLOY / f"{name}.yaml").read_text()
            used = set(re.findall(r'^"(\w+)": ', text, re.MULTILINE))
            # Each line between the braces names one setting.
            self.assertEqual(len(text.splitlines()) - 2, len(used))
            with self.subTest(name):
                self.assertLessEqual(used, set(kind.__struct_fields__))

    def test_deployed_requirements_are_in_the_lock_file(self):
        required = (DEPLOY / "requirements.txt").read_text().split()
        locked = (DEPLOY.parent / "requirements.lock").read_text().split()
        self.assertLessEqual(set(required), set(locked))


class ImportsTest(unittest.TestCase):
    """Modules that a program imports at its start, for which callers wait after a power loss."""

    # Modules that only the other program needs.
    UNUSED = {
        "dispatcher": ("geraniumspool.executor", "geraniumspool.platform.minion"),
        "executor": ("geraniumspool.dispatcher", "geraniumspool.job_router"),
    }
    # Libraries that neither program needs before its first job.
    NEVER = ("yaml", "fire", "opentelemetry", "prometheus_client", "tabulate", "jsonschema")

    def test_a_program_imports_no_unused_modules(self):
        for role, unused in self.UNUSED.items():
            code = (
                "import sys, json, geraniumspool.platform.__main__;"
                f"import geraniumspool.platform.{role}_program;"
                "print(json.dumps(sorted(sys.modules)))"
            )
            command = [sys.executable, "-W", "ignore", "-c", code]
            process = subprocess.run(command, capture_output=True, check=True, cwd=DEPLOY.parent)
            loaded = set(json.loads(process.stdout))
            with self.subTest(role):
                self.assertEqual(set(), loaded & {*unused, *self.NEVER})


class BoundedLogTest(unittest.TestCase):
    """The rate of log lines is limited, and writing them never blocks."""

    def setUp(self):
        self.clock = ManualClock()
        self.reading, writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(self.reading, False)
        self.handler = RateLimitedHandler(LogDestination(writing), self.clock)
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)

    def read(self):
        try:
            return [json.loads(line) for line in _READ(self.reading, 1 << 20).splitlines()]
        except BlockingIOError:
            return []

    def test_a_line_contains_its_fields(self):
        self.logger.info("job ended", extra={"fields": (("job", "a1"), ("took_ms", 3.5))})
        (line,) = self.read()
        self.assertEqual(("job ended", "a1", 3.5), (line["message"], line["job"], line["took_ms"]))

    def test_the_rate_is_limited_and_warnings_have_a_reserve(self):
        lines = []
        for number in range(3 * BURST_LINES):
            self.logger.info("line %s", number)
            if number % 50 == 0:
                lines += self.read()
        lines += self.read()
        self.assertLessEqual(len(lines), BURST_LINES)
        self.logger.warning("this matters")
        self.assertIn("this matters", [line["message"] for line in self.read()])
        self.clock.advance(1_000)
        self.logger.info("later")
        messages = self.read()
        self.assertEqual("later", messages[-1]["message"])
        self.assertEqual(0, self.handler.dropped)

    def test_the_number_of_dropped_lines_is_logged(self):
        for number in range(2 * BURST_LINES):
            self.logger.info("line %s", number)
            if number % 50 == 0:
                self.read()
        dropped = self.handler.dropped
        self.assertGreater(dropped, 0)
        self.clock.advance(1_000)
        self.read()
        self.logger.info("later")
        note = self.read()[0]
        self.assertEqual((DROPPED_MESSAGE, dropped), (note["message"], note["count"]))

    def test_logging_does_not_block_when_nobody_reads(self):
        with eventlet.Timeout(5):
            for _ in range(40):
                self.clock.advance(1_000)
                for _ in range(100):
                    self.logger.info("x" * 200)
        self.assertGreater(self.handler.dropped, 0)


class MetricsPageTest(unittest.TestCase):
    """Counters and histograms in the Prometheus text format."""

    def test_rendered_metrics(self):
        counters = MemoryCounters()
        counters.add("runs_started")
        for value in (3.0, 70.0, 20_000.0):
            counters.observe("job_ms", value, queue="scan")
        page = MetricsPage(counters, "dispatcher", "north")
        text = page._render(Request("GET", "/metrics", (), {}, {}, b"")).body.decode()
        self.assertIn("geraniumspool_runs_started_total{", text)
        buckets = [line for line in text.splitlines() if line.startswith("geraniumspool_job_ms_b")]
        self.assertIn('le="5.0"', buckets[0])
        self.assertTrue(buckets[-1].endswith(" 3.0"))
        self.assertIn('geraniumspool_job_ms_sum{domain="north",queue="scan"', text)
