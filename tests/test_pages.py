"""Tests that the documentation pages match the code."""

import ast
import json
import os
import re
import shlex
import tempfile
import unittest
from collections import Counter
from pathlib import Path

import yaml

from geraniumspool import cli
from geraniumspool.agent import parse_announcement
from geraniumspool.decisions import EXPLANATIONS
from geraniumspool.documents import DEFAULT_SERVICE, DEFAULT_TEAM, parse_document
from geraniumspool.idempotency import parse_key
from geraniumspool.settings import AgentSettings, EntrySettings, check_file
from geraniumspool.submission import parse_submission, parse_ticket_request
from tests.small import direct_commands_to

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "examples"
PACKAGE = ROOT / "geraniumspool"
OPERATIONS = ROOT / "docs" / "OPERATIONS.md"
TRIAL_MODULES = frozenset({"standin_store", "standin_minion", "demo", "load", "workload"})
CODE = re.compile(r"[a-z]+(?:_[a-z]+)+|internal")
CODE_CALLS = frozenset(
    {"reply_problem", "_refuse", "_reject", "NoAnswer", "AdmissionDecision", "Answer"}
)
PROGRAM = "geraniumspool"
OUTCOMES = frozenset({"not_run", "may_have_run"})


def find_pages():
    """Return the paths of all documentation pages, without those in generated folders."""
    folders = (ROOT, ROOT / "docs", ROOT / "docs" / "decisions", EXAMPLES)
    return sorted(page for folder in folders for page in folder.glob("*.md"))


def read_blocks(page, language):
    """Yield the line number and text of each code block in a language."""
    text = page.read_text(encoding="utf-8")
    pattern = rf"^```{language}\n(.*?)^```$"
    for match in re.finditer(pattern, text, re.MULTILINE | re.DOTALL):
        yield text.count("\n", 0, match.start()) + 1, match[1]


def find_anchors(page):
    """Return the link anchors of a page's headings."""
    headings = re.findall(r"^#+ (.+)$", page.read_text(encoding="utf-8"), re.MULTILINE)
    return {re.sub(r"[^a-z0-9 _-]", "", heading.lower()).replace(" ", "-") for heading in headings}


def read_trees():
    """Yield the syntax tree of each module that serves callers or operators.

    Modules that are only used in trials are left out.
    """
    for path in sorted(PACKAGE.glob("*.py")):
        if path.stem not in TRIAL_MODULES:
            yield ast.parse(path.read_text(encoding="utf-8"))


def find_code_expressions(node):
    """Return the syntax nodes of expressions that may be codes.

    These are the attribute ``code`` of a class, module constants, and arguments of the calls in
    ``CODE_CALLS``.
    """
    if isinstance(node, ast.ClassDef):
        return [item.value for item in node.body if isinstance(item, ast.Assign) and _is_code(item)]
    if isinstance(node, ast.Module):
        return [item.value for item in node.body if isinstance(item, ast.Assign)]
    if isinstance(node, ast.Call):
        name = getattr(node.func, "id", getattr(node.func, "attr", ""))
        return node.args if name in CODE_CALLS else []
    return []


def _is_code(assignment):
    return any(getattr(target, "id", "") == "code" for target in assignment.targets)


def find_codes():
    """Return all codes of errors and decisions that the package uses."""
    codes = set(EXPLANATIONS)
    for tree in read_trees():
        for node in ast.walk(tree):
            values = [getattr(text, "value", None) for text in find_code_expressions(node)]
            codes.update(v for v in values if isinstance(v, str) and CODE.fullmatch(v))
    return codes


def find_first_cells(text):
    """Return the names in code style in the first column of all tables in a text."""
    cells = re.findall(r"^\| ([^|]*) \|", text, re.MULTILINE)
    return {name for cell in cells for name in re.findall(r"`(\w+)`", cell)}


def find_counters():
    """Return the names of all counters that the package increments."""
    pattern = re.compile(r"(?:counters|metrics)\.add\(\s*\"([a-z_]+)\"")
    return {name for path in PACKAGE.glob("*.py") for name in pattern.findall(path.read_text())}


class PagesTest(unittest.TestCase):
    """Commands, codes, settings, examples and links in the documentation."""

    def setUp(self):
        before = os.getcwd()
        os.chdir(EXAMPLES / "batbayar")
        self.addCleanup(os.chdir, before)
        direct_commands_to(self, "h:1", "t")

    def test_commands_in_code_blocks_parse(self):
        checked = 0
        for page in find_pages():
            for line, block in read_blocks(page, "sh"):
                lines = block.splitlines()
                for command in [text for text in lines if text.startswith(f"{PROGRAM} ")]:
                    words = shlex.split(command.split(" & ")[0], comments=True)
                    checked += 1
                    with self.subTest(page=page.name, line=line, command=command):
                        self.assertIsNotNone(cli._understand(words[1:]).run)
        self.assertGreater(checked, 20)

    def test_idempotency_keys_are_valid(self):
        checked = 0
        for page in find_pages():
            text = page.read_text(encoding="utf-8")
            for key in re.findall(r"Idempotency-Key: ([^\s`'\"]+)", text):
                checked += 1
                with self.subTest(page=page.name, key=key):
                    self.assertTrue(key.startswith("$") or parse_key(key))
        self.assertGreater(checked, 2)

    def test_commands_in_text_exist(self):
        commands = cli.Commands(cli.Plan())
        for page in find_pages():
            text = page.read_text(encoding="utf-8")
            for group, name in re.findall(r"`geraniumspool ([a-z]+)(?: ([a-z]+))?", text):
                with self.subTest(page=page.name, command=group):
                    found = getattr(commands, group)
                    if not callable(found):
                        self.assertTrue(callable(getattr(found, name)))

    def test_every_command_is_in_the_readme(self):
        text = (ROOT / "README.md").read_text(encoding="utf-8")
        names = [name for name in dir(cli.Commands(cli.Plan())) if not name.startswith("_")]
        for name in names:
            self.assertIn(f"`{PROGRAM} {name}", text)

    def test_every_code_is_documented(self):
        text = OPERATIONS.read_text(encoding="utf-8")
        codes = find_codes()
        self.assertLessEqual({"job_conflict", "body_incomplete", "home_silent"}, codes)
        self.assertEqual(sorted(codes - OUTCOMES - find_first_cells(text)), [])
        reading = text.split("## Reading why")[1].split("## Drain")[0]
        self.assertEqual(sorted(EXPLANATIONS.keys() - find_first_cells(reading)), [])

    def test_every_counter_is_documented(self):
        text = OPERATIONS.read_text(encoding="utf-8")
        self.assertEqual(sorted(find_counters() - find_first_cells(text)), [])

    def test_settings_and_documents_are_listed_with_their_defaults(self):
        text = OPERATIONS.read_text(encoding="utf-8")
        entry, agent = text.split("### Entry")[1].split("## Configuration")[0].split("### Agent")
        documents = text.split("## Configuration")[1].split("## Commands")[0]
        service = (type(DEFAULT_SERVICE), documents)
        team = (type(DEFAULT_TEAM), documents)
        for kind, part in ((EntrySettings, entry), (AgentSettings, agent), service, team):
            rows = dict(re.findall(r"^\| `(\w+)` \| ([^|]*) \|", part, re.MULTILINE))
            for field in kind._fields:
                with self.subTest(kind=kind.__name__, field=field):
                    self.assertIn(field, rows)
                    self.assertEqual(rows[field], format_default(kind, field, part is documents))

    def test_examples_parse(self):
        for page in find_pages():
            for line, block in read_blocks(page, "json"):
                with self.subTest(page=page.name, line=line):
                    check_json(block)
            for line, block in read_blocks(page, "yaml"):
                with self.subTest(page=page.name, line=line):
                    self.assertEqual(check_yaml(block), [])
            for line, block in read_blocks(page, "python"):
                with self.subTest(page=page.name, line=line):
                    compile(block, page.name, "exec")

    def test_example_files_are_valid(self):
        files = sorted(EXAMPLES.glob("*/*.yaml"))
        kinds = Counter(path.stem.partition("-")[0] for path in files)
        self.assertEqual((kinds["entry"], kinds["agent"]), (2 * 3, 2 * 11))
        self.assertEqual(kinds["service"] + kinds["team"], 6)
        for path in files:
            with self.subTest(file=path.name):
                data = path.read_bytes()
                if "role" in yaml.safe_load(data):
                    self.assertEqual(check_file(str(path)), [])
                else:
                    kind, _, name = path.stem.partition("-")
                    parse_document(f"{kind}/{name}", data)

    def test_links_resolve(self):
        for page in find_pages():
            text = re.sub(r"^```.*?^```$", "", page.read_text(), flags=re.MULTILINE | re.DOTALL)
            for link in re.findall(r"\]\(([^)\s]+)\)", text):
                if re.match(r"[a-z]+:", link):
                    continue
                with self.subTest(page=page.name, link=link):
                    path, _, anchor = link.partition("#")
                    target = page.parent / path if path else page
                    self.assertTrue(target.exists())
                    if anchor:
                        self.assertIn(anchor, find_anchors(target))


def format_default(kind, field, in_document):
    """Return a field's default as the tables in the documentation write it."""
    if field not in kind._field_defaults:
        return "required"
    default = kind._field_defaults[field]
    if default is None and in_document:
        return "null"
    return str(default) if default not in ("", (), None) else "none"


def check_json(text):
    """Check a JSON example with the parser that its keys point to."""
    value = json.loads(text)
    if "count" in value:
        parse_ticket_request(text.encode())
    elif "tasks" in value:
        parse_submission(text.encode())
    elif "url" in value:
        parse_announcement(text.encode())
    elif "code" in value:
        assert value["code"] in find_codes(), value["code"]
    else:
        assert value["outcome"] == "complete", value


def check_yaml(text):
    """Return the errors found in an example of a settings file."""
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(text)
        file.flush()
        return check_file(file.name)
