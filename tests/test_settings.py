"""Tests of the settings files."""

import tempfile
import unittest
from pathlib import Path

from geraniumspool.contracts import Announcement
from geraniumspool.errors import InvalidInput
from geraniumspool.settings import check_file, load_agent_settings, load_entry_settings

EXAMPLES = Path(__file__).parent.parent / "examples"
ENTRY = """role: entry
domain: khan-uul
operators_token: an-operators-token
ticket_keys: [a-first-ticket-key, a-second-ticket-key]
store_urls: ["http://127.0.0.1:2379"]
"""
AGENT = """role: agent
domain: khan-uul
store_urls: ["http://127.0.0.1:2379"]
"""
MINION = """minion:
  service: fitting
  url: http://127.0.0.1:9000
  slots: 8
  connections: 64
"""


class SettingsTest(unittest.TestCase):
    """Valid files are loaded; invalid ones yield findings with line and path."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = str(Path(directory.name) / "settings.yaml")

    def write(self, text: str | bytes) -> str:
        Path(self.path).write_bytes(text.encode() if isinstance(text, str) else text)
        return self.path

    def find_findings(self, text: str | bytes) -> list[tuple[int, str]]:
        findings = check_file(self.write(text))
        self.assertEqual({self.path} if findings else set(), {each.place for each in findings})
        return [(finding.line, finding.path) for finding in findings]

    def test_entry(self):
        settings = load_entry_settings(self.write(ENTRY + "heartbeat_timeout_ms: 5000\n"))
        self.assertEqual(("a-first-ticket-key", "a-second-ticket-key"), settings.ticket_keys)
        self.assertEqual(5000, settings.heartbeat_timeout_ms)
        self.assertEqual("tcp://127.0.0.1:0", settings.inbox)
        self.assertEqual(4 << 20, settings.max_body_bytes)

    def test_agent_with_minion(self):
        settings = load_agent_settings(self.write(AGENT + MINION + "  max_size: 2.5\n"))
        expected = Announcement("fitting", "http://127.0.0.1:9000", 8, 64, 2.5)
        self.assertEqual(expected, settings.minion)
        self.assertIsNone(load_agent_settings(self.write(AGENT)).minion)

    def test_other_role(self):
        with self.assertRaises(InvalidInput) as caught:
            load_agent_settings(self.write(ENTRY))
        self.assertIn((1, "role"), [(each.line, each.path) for each in caught.exception.findings])

    def test_invalid_files(self):
        cases = {
            "empty": ("", [(1, "")]),
            "comment alone": ("# nothing\n", [(1, "")]),
            "a list": ("- role: entry\n", [(1, "")]),
            "no role": ("domain: x\n", [(1, "role")]),
            "unknown role": ("domain: x\nrole: worker\n", [(2, "role")]),
            "broken YAML": (ENTRY + "log_level: [a\n", [(7, "")]),
            "not UTF-8": (b"role: entry\ndomain: \xff\n", [(2, "")]),
            "control character": (ENTRY + "log_level: '\x07'\n", [(6, "")]),
            "two documents": (ENTRY + "---\nrole: entry\n", [(6, "")]),
            "missing": ("role: agent\n", [(1, "domain"), (1, "store_urls")]),
            "unknown keys": (ENTRY + "inbx: 1\nsize: 2\n", [(6, "inbx"), (7, "size")]),
            "dropped key": (AGENT + "region: nordeste\n", [(4, "region")]),
            "duplicate": (ENTRY + "domain: other\n", [(6, "domain")]),
            "nested duplicate": (AGENT + MINION + "  slots: 9\n", [(9, "minion.slots")]),
            "nested unknown": (AGENT + MINION + "  size: 9\n", [(9, "minion.size")]),
            "nested missing": (
                AGENT + "minion: {service: a}\n",
                [(4, "minion.connections"), (4, "minion.slots"), (4, "minion.url")],
            ),
            "nested type": (AGENT + "minion: 3\n", [(4, "minion")]),
            "alias": (ENTRY.replace("khan-uul", "&a x") + "inbox: *a\n", [(6, "inbox")]),
            "key not text": (ENTRY + "1: 2\n", [(6, "")]),
            "type tag": (ENTRY.replace("khan", "!!python/name:os.system x"), [(2, "domain")]),
            "date": (
                ENTRY.replace("khan-uul", "2024-01-01x") + "drain_limit_ms: 2024-01-01\n",
                [(6, "drain_limit_ms")],
            ),
            "not a number": (ENTRY + "drain_limit_ms: .nan\n", [(6, "drain_limit_ms")] * 2),
            "boolean for a number": (ENTRY + "drain_limit_ms: yes\n", [(6, "drain_limit_ms")]),
            "zero": (ENTRY + "drain_limit_ms: 0\n", [(6, "drain_limit_ms")]),
            "too large": (
                ENTRY + "store_timeout_ms: 1\ndrain_limit_ms: 86400001\n",
                [(7, "drain_limit_ms")],
            ),
            "host name": (ENTRY + "callers_listen: localhost:80\n", [(6, "callers_listen")]),
            "no port": (ENTRY + "operators_listen: 127.0.0.1\n", [(6, "operators_listen")]),
            "port": (ENTRY + "callers_listen: 127.0.0.1:65536\n", [(6, "callers_listen")]),
            "bare IPv6": (ENTRY + "callers_listen: ::1:80\n", [(6, "callers_listen")]),
            "inbox scheme": (ENTRY + "inbox: ipc://127.0.0.1:0\n", [(6, "inbox")]),
            "inbox anywhere": (ENTRY + "inbox: tcp://0.0.0.0:1\n", [(6, "inbox")]),
            "entry port": (AGENT + "entries:\n- tcp://127.0.0.1:0\n", [(5, "entries[0]")]),
            "store scheme": (AGENT.replace("http:", "ftp:"), [(3, "store_urls[0]")]),
            "store port": (AGENT.replace(":2379", ":x"), [(3, "store_urls[0]")]),
            "no store": ("role: agent\ndomain: x\nstore_urls: []\n", [(3, "store_urls")]),
            "short key": (ENTRY.replace("a-second-ticket-key", "short"), [(4, "ticket_keys[1]")]),
            "same keys": (ENTRY.replace("second", "first"), [(4, "ticket_keys")]),
            "domain": (ENTRY.replace("khan-uul", "khan uul"), [(2, "domain")]),
            "timeout below period": (
                ENTRY + "heartbeat_timeout_ms: 1000\n",
                [(6, "heartbeat_timeout_ms")],
            ),
            "period above timeout": (
                AGENT + "heartbeat_period_ms: 5000\n",
                [(4, "heartbeat_period_ms")],
            ),
            "few connections": (AGENT + MINION.replace("64", "7"), [(8, "minion.connections")]),
            "several": (
                ENTRY + "log_level: loud\nwat: 1\ndrain_limit_ms: x\n",
                [(6, "log_level"), (7, "wat"), (8, "drain_limit_ms")],
            ),
        }
        for name, (text, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, self.find_findings(text))

    def test_valid_values(self):
        for line in (
            "callers_listen: '[::1]:80'",
            "inbox: tcp://[fd00::1]:7000",
            "drain_limit_ms: 1e4",
        ):
            with self.subTest(line):
                self.assertEqual([], self.find_findings(ENTRY + line + "\n"))

    def test_unreadable_files(self):
        for path in (self.path, str(Path(self.path).parent)):
            with self.subTest(path):
                self.assertEqual([(0, "")], [(each.line, each.path) for each in check_file(path)])
                with self.assertRaises(InvalidInput):
                    load_entry_settings(path)

    def test_findings_hide_secrets(self):
        text = ENTRY.replace("an-operators-token", "sesame").replace("second", "first")
        findings = check_file(self.write(text))
        self.assertEqual(2, len(findings))
        self.assertNotRegex(" ".join(map(str, findings)), "sesame|first-ticket")

    def test_examples(self):
        for deployment in ("batbayar", "morada"):
            files = list((EXAMPLES / deployment).glob("*.yaml"))
            agents = [load_agent_settings(str(f)) for f in files if f.name.startswith("agent-")]
            entries = [load_entry_settings(str(f)) for f in files if f.name.startswith("entry-")]
            with self.subTest(deployment):
                self.assertEqual((11, 3), (len(agents), len(entries)))
                self.assertEqual(3, len({each.domain for each in agents + entries}))
                listeners = [each.inbox for each in agents + entries]
                listeners += [each.minion_listen for each in agents]
                listeners += [each.callers_listen for each in entries]
                listeners += [each.operators_listen for each in entries]
                self.assertEqual(len(listeners), len(set(listeners)))
                inboxes = {each.inbox for each in entries}
                self.assertTrue(all(set(each.entries) == inboxes for each in agents))
