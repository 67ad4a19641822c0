"""Golden file tests: sessions of callers and operators, request by request.

``GERANIUMSPOOL_WRITE_GOLDEN=1`` rewrites the files. Values that differ from run to run are
replaced by placeholders numbered in order of appearance; values that depend on placement or on
timing by one fixed placeholder per field.
"""

import json
import os
import re
import unittest
from pathlib import Path

import eventlet

from geraniumspool.clock import SystemClock
from geraniumspool.idempotency import make_key
from geraniumspool.ticket import Keyring, decode_unverified
from tests.small import (
    ALL_SLOTS,
    SERVICE,
    TEAM,
    TOKEN,
    SmallSystem,
    make_change,
    make_job,
    make_task,
    wait_until,
)

FOLDER = Path(__file__).parent / "golden"
WRITE_VARIABLE = "GERANIUMSPOOL_WRITE_GOLDEN"
HEADERS = ("Content-Type", "Allow", "Retry-After")
TICKET = re.compile(r"[A-Za-z0-9_-]{60,}")
FIXED_PLACEHOLDERS = {
    "minion": "<minion>",
    "task": "<task>",
    "decision": "<decision>",
    "id": "<decision>",
    "at_ms": "<time>",
    "retry_after_ms": "<ms>",
    "wait_ms": "<ms>",
    "free": "<count>",
    "last_contact_ms": "<ms>",
    "incarnation": "<incarnation>",
    "worker": "<address>",
    "home": "<address>",
    "Idempotency-Key": "<key>",
}
NUMBERED_PATTERNS = (
    (re.compile(r"tcp://[0-9.]+:[0-9]+"), "address"),
    (re.compile(r"(?<=revision )[0-9]+"), "revision"),
)
DURATION = re.compile(r"[0-9.]+(?= ms)")


class Placeholders:
    """Stable placeholders for values that differ from run to run."""

    def __init__(self):
        """Start without placeholders."""
        self._placeholders: dict[tuple[str, str], str] = {}

    def placeholder(self, kind: str, value: object) -> str:
        """Return the placeholder of a value, numbered by order of appearance within its kind."""
        key = (kind, str(value))
        if key not in self._placeholders:
            count = sum(known == kind for known, _ in self._placeholders) + 1
            self._placeholders[key] = f"<{kind}-{count}>"
        return self._placeholders[key]

    def replace_volatile(self, value, key: str = ""):
        """Return a copy of a document with placeholders in place of volatile values.

        :param value: decoded JSON
        :param key: name of the field that holds the value; empty for none
        """
        if isinstance(value, dict):
            return {name: self.replace_volatile(inner, name) for name, inner in value.items()}
        if isinstance(value, list):
            return [self.replace_volatile(inner, key) for inner in value]
        if key in FIXED_PLACEHOLDERS and value is not None and not isinstance(value, dict | list):
            return FIXED_PLACEHOLDERS[key]
        if key in ("revision", "expected_revision", "newest", "config_revision") and value:
            return self.placeholder("revision", value)
        if key == "subject":
            return self.placeholder("job", value)
        return self._replace_in_text(value) if isinstance(value, str) else value

    def _replace_in_text(self, text: str) -> str:
        text = TICKET.sub(lambda found: self.placeholder("ticket", found[0]), text)
        for pattern, kind in NUMBERED_PATTERNS:
            text = pattern.sub(lambda found, kind=kind: self.placeholder(kind, found[0]), text)
        return DURATION.sub("<ms>", text)


class Recorder:
    """Sends the requests of a session and records them with their responses.

    :ivar steps: requests and responses with placeholders, in the order of the responses
    """

    def __init__(self, system: SmallSystem):
        """Start with nothing recorded."""
        self.system = system
        self.steps: list[dict] = []
        self._placeholders = Placeholders()

    def call(self, method: str, path: str, body=None, entry: int = 0, **headers):
        """Send a request to the callers' API and record it."""
        return self.record("callers", method, path, body, entry, headers)

    def call_operators(self, method: str, path: str, body=None, entry: int = 0):
        """Send a request to the operators' API and record it."""
        return self.record("operators", method, path, body, entry, {})

    def record(self, listener, method, path, body, entry, headers):
        """Send a request; record it with its response once that has arrived."""
        if listener == "callers":
            answered = self.system.call(method, path, body, entry, **headers)
        else:
            answered = self.system.call_operators(method, path, body, entry)
        request = {"to": f"{listener} of entry {entry + 1}", "method": method, "path": path}
        if headers:
            request["headers"] = {name.replace("_", "-"): text for name, text in headers.items()}
        if body is not None:
            request["body"] = body
        sent = {name: answered.headers[name] for name in HEADERS if name in answered.headers}
        if "Retry-After" in sent:
            sent["Retry-After"] = "<s>"
        response = {"status": answered.status, "headers": sent, "body": answered.body}
        step = {"request": request, "response": response}
        self.steps.append(self._placeholders.replace_volatile(step))
        return answered

    def ticket(self) -> str:
        """Request one ticket."""
        order = {"service": SERVICE, "team": TEAM, "count": 1}
        return self.call("POST", "/v1/tickets", order).body["tickets"][0]

    def submit(self, ticket: str, values: list, entry: int = 0, run_ms: float = 0, **fields):
        """Submit a job with one short task for each value."""
        job = make_job([make_task(value, run_ms) for value in values], **fields)
        return self.call("PUT", f"/v1/jobs/{ticket}", job, entry)


class GoldenTest(unittest.TestCase):
    """Sessions give the responses that the golden files hold."""

    maxDiff = None

    def setUp(self):
        """Start a separate deployment for each session."""
        self.system = SmallSystem()
        self.addCleanup(self.system.stop)
        self.session = Recorder(self.system)

    def check(self, name: str) -> None:
        """Compare the session with its golden file, which is written first if so requested."""
        path = FOLDER / f"{name}.json"
        text = json.dumps(self.session.steps, indent=2, ensure_ascii=False) + "\n"
        if os.environ.get(WRITE_VARIABLE):
            path.write_text(text, encoding="utf-8")
        self.assertEqual(json.loads(path.read_text(encoding="utf-8")), self.session.steps)

    def test_submit(self):
        """Get tickets, submit a job, read its state and decisions, submit jobs by POST."""
        session = self.session
        ticket = session.ticket()
        url = f"/v1/jobs/{ticket}"
        session.call("GET", url)
        answered = session.submit(ticket, ["a", "b", "c"])
        session.call("GET", url)
        session.call("GET", f"{url}/decisions")
        session.submit(answered.body["next_ticket"], [{"nested": [1, None]}])
        session.call("POST", "/v1/jobs", make_job([make_task(1)]))
        key = {"Idempotency_Key": make_key(SystemClock().wall_ms())}
        session.call("POST", "/v1/jobs", make_job([make_task(2)]), **key)
        session.call("POST", "/v1/jobs", make_job([make_task(2)]), 1, **key)
        self.check("submit")

    def test_resubmit_elsewhere(self):
        """Submit the same job through another entry, while it runs and afterwards."""
        session = self.session
        ticket = session.ticket()
        job = make_job([make_task("once", 700)])
        first = eventlet.spawn(self.system.call, "PUT", f"/v1/jobs/{ticket}", job)
        wait_until(lambda: self.system.running() == 1)
        session.call("GET", f"/v1/jobs/{ticket}", entry=1)
        joined = session.call("PUT", f"/v1/jobs/{ticket}", job, 1)
        self.assertEqual(first.wait().body["results"], joined.body["results"])
        session.call("PUT", f"/v1/jobs/{ticket}", job | {"deadline_ms": 9_000})
        session.submit(ticket, ["other"], 1)
        session.call("GET", f"/v1/jobs/{ticket}")
        self.assertEqual(self.system.starts(), 1)
        self.check("resubmit_elsewhere")

    def test_cancel(self):
        """Cancel before submission, while queued, while running, and when done."""
        session = self.session
        unused = session.ticket()
        session.call("DELETE", f"/v1/jobs/{unused}")
        session.submit(unused, ["never"], 1)
        blocker = self.system.occupy_slots()
        queued = session.ticket()
        url = f"/v1/jobs/{queued}"
        job = make_job([make_task("never")], deadline_ms=500_000)
        waiting = eventlet.spawn(self.system.call, "PUT", url, job)
        wait_until(lambda: self.system.call("GET", url).body.get("state") == "running")
        session.call("DELETE", url, entry=1)
        self.assertEqual(waiting.wait().body["outcome"], "not_run")
        session.call("DELETE", f"/v1/jobs/{blocker}")
        session.call("GET", f"/v1/jobs/{blocker}", entry=1)
        wait_until(lambda: self.system.running() == 0)
        done = session.ticket()
        session.submit(done, ["done"])
        session.call("DELETE", f"/v1/jobs/{done}")
        self.check("cancel")

    def test_leave(self):
        """After an agent leaves, its answers are kept and its unused tickets refused."""
        session = self.session
        done, unused = session.ticket(), session.ticket()
        session.submit(done, ["kept"])
        address = self.system.agents[0].ready_line()["inbox"]
        self.assertEqual(decode_unverified(unused).home.address, address)
        order = {"address": address, "who": "tester", "why": "new kernel"}
        session.call_operators("POST", "/v1/drain", order)
        self.system.drain_agent(0)
        for entry in (0, 1):
            session.call("GET", f"/v1/jobs/{done}", entry=entry)
            session.submit(done, ["kept"], entry)
            session.submit(done, ["other"], entry)
            session.submit(unused, ["never"], entry)
        session.submit(session.ticket(), ["elsewhere"])
        self.check("leave")

    def test_refuse(self):
        """Get every kind of refusal, each with what the caller can do next."""
        session = self.session
        ticket = session.ticket()
        url = f"/v1/jobs/{ticket}"
        session.call("PUT", "/v1/jobs/none", make_job([make_task(1)]))
        forged = Keyring(["another-key-than-theirs-01"]).sign(decode_unverified(ticket))
        session.call("PUT", f"/v1/jobs/{forged}", make_job([make_task(1)]))
        session.call("PUT", url, make_job([make_task(1)], service="sawing"))
        session.call("PUT", url, {"team": 5, "tasks": [{}], "deadline_ms": -1, "odd": 1})
        session.call("PUT", url, make_job([]))
        session.call("PATCH", url)
        session.call("GET", "/v1/nothing")
        session.call("POST", "/v1/tickets", {"service": "sawing", "team": TEAM})
        session.call("POST", "/v1/jobs", make_job([make_task(1)], service="sawing"))
        change = make_change(0, "running_tasks: 1\n", "c1", why="a tight quota")
        session.call_operators("PUT", "/v1/config/team/tight", change)
        session.call_operators("PUT", "/v1/config/team/tight", change | {"change_id": "c2"}, 1)
        session.call_operators(
            "PUT", "/v1/config/team/odd", change | {"body": "weight: x\nodd: 1\n"}
        )
        session.submit(ticket, [1, 2], team="tight")
        session.submit(ticket, [1, 2], team="tight", deadline_ms=9_000)
        blocker = self.system.occupy_slots(10 * ALL_SLOTS)
        late = session.ticket()
        session.submit(late, ["late"], deadline_ms=5)
        self.system.free_slots(blocker)
        session.submit(late, ["late"])
        self.check("refuse")


class GoldenFilesTest(unittest.TestCase):
    """Contents of the golden files."""

    def test_no_secret_in_files(self):
        """The files hold no token and no ticket."""
        for path in FOLDER.glob("*.json"):
            text = path.read_text(encoding="utf-8")
            self.assertNotIn(TOKEN, text)
            self.assertIsNone(TICKET.search(text), path.name)
