"""Tests of the dispatcher's and executor's settings, imports, logs and metrics page."""

import importlib.util
import json
import logging
import math
import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
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

    def test_sharing_of_scarce_capacity_is_off_by_default_and_checked(self):
        settings = self.load(yaml.safe_dump(DISPATCHER))
        self.assertEqual((0.0, False), (settings.least_share, settings.value_order))
        given = {"least_share": 0.25, "value_order": True}
        settings = self.load(yaml.safe_dump(DISPATCHER | given))
        self.assertEqual((0.25, True), (settings.least_share, settings.value_order))
        for name, values in (
            ("least_share", (-0.1, 1.1, math.nan, math.inf, "half", None, True)),
            ("value_order", ("on", 1, None)),
        ):
            for value in values:
                with self.subTest(name=name, value=value):
                    with self.assertRaises(InvalidInput) as raised:
                        self.load(yaml.safe_dump(DISPATCHER | {name: value}))
                    self.assertEqual([name], [each.path for each in raised.exception.findings])

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

    def test_only_orders_by_calls_to_the_minion_are_accepted(self):
        # An executor that ignored another value would call a minion that takes no calls, and every
        # run there would fail.
        executor = {key: DISPATCHER[key] for key in ("name", "domain", "inbox", "store")}
        executor["minion_listen"] = "127.0.0.1:0"
        # The platform renders a field that it does not have as null.
        for given in ({}, {"orders": None}, {"orders": "invoke"}):
            with self.subTest(given=given):
                settings = self.load(json.dumps(executor | given), ExecutorSettings)
                self.assertIn(settings.orders, (None, "invoke"))
        for value in ("heartbeat", "Invoke", "", 7, False, ["invoke"], {}):
            with self.subTest(value=value), self.assertRaises(InvalidInput) as raised:
                self.load(json.dumps(executor | {"orders": value}), ExecutorSettings)
            (finding,) = raised.exception.findings
            self.assertEqual("orders", finding.path)
            self.assertIn(repr(value), str(finding))

    def test_the_factor_of_remote_data_is_optional_and_at_least_one(self):
        """A platform that names no factor renders it as null, which means the default."""
        for given, expected in (({}, None), ({"remote_data_factor": None}, None)):
            settings = self.load(json.dumps(DISPATCHER | given))
            self.assertEqual(expected, settings.remote_data_factor)
        for value in (1, 1.5, 3):
            document = json.dumps(DISPATCHER | {"remote_data_factor": value})
            self.assertEqual(value, self.load(document).remote_data_factor)
        for value in (0.9, 0, -1, 101, "3", True, float("nan"), float("inf")):
            with self.subTest(value=value), self.assertRaises(InvalidInput) as raised:
                self.load(yaml.safe_dump(DISPATCHER | {"remote_data_factor": value}))
            findings = raised.exception.findings
            self.assertEqual(["remote_data_factor"], [finding.path for finding in findings])

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
    NEVER = (
        *("yaml", "fire", "opentelemetry", "prometheus_client", "tabulate", "jsonschema"),
        *("eventlet.green.subprocess", "eventlet.support.psycopg2_patcher"),
    )

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


class BuildTest(unittest.TestCase):
    """The build step leaves bytecode, so that no start has to compile the package."""

    def test_bytecode_stays_valid_where_the_files_are_copied_to(self):
        build = tomllib.loads((DEPLOY / "system.toml").read_text())["build"]
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            for name in ("deploy", "geraniumspool"):
                ignored = shutil.ignore_patterns("__pycache__")
                shutil.copytree(DEPLOY.parent / name, root / name, ignore=ignored)
            # Newer than the requirements, so that no package is installed.
            (root / "target" / "deps").mkdir(parents=True)
            (root / "python3").symlink_to(sys.executable)
            path = f"{folder}:{os.environ['PATH']}"
            command = ["sh", "-c", build]
            subprocess.run(command, check=True, cwd=root, env={**os.environ, "PATH": path})
            sources = sorted((root / "geraniumspool").rglob("*.py"))
            self.assertGreater(len(sources), 100)
            for source in sources:
                with self.subTest(source=source.name):
                    bytecode = Path(importlib.util.cache_from_source(str(source))).read_bytes()
                    # Bits 0 and 1 of the flags after the magic number: by hash, and checked.
                    self.assertEqual(0b11, int.from_bytes(bytecode[4:8], "little"))


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
