"""Tests that only the ``platform`` package uses the platform's names."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "geraniumspool"
FOLDER = PACKAGE / "platform"
# Patterns of the platform's call, header, key and field names.
WORDS = (
    r"kv-(?:key|range|watch|txn|lease|keep)",
    r"op/config",
    r"run-st(?:art|op)\b",
    r"/hold\b",
    r"acked_upto",
    r"checkpoint_data",
    r"best_effort",
    r"target_duration_ms",
    r"mem_mb",
    r"max_per_server",
    r"preferred_rack",
    r"required_label",
    r"admission_control",
    r"heartbeat_addr",
    r"cold_left_ms",
    r"remaining_ms",
    r"Expect-Instance",
    r"Deadline-Ms|DEADLINE_MS\"",
    r"GERANIUMSPOOL_SETTINGS",
    r"port_range",
    r"set_keys|delete_keys|as_of|has_more",
    r"deregister",
    r"\bstretch[:=]",
    r"\bborn\b",
)
# Largest size of the platform package, as a share of the lines of the other modules.
LARGEST_SHARE = 0.1


class WordsTest(unittest.TestCase):
    """Use of the platform's names outside and inside the package."""

    def test_other_modules_do_not_use_the_names(self):
        pattern = re.compile("|".join(WORDS))
        for path in sorted(PACKAGE.glob("*.py")):
            for number, line in enumerate(path.read_text().splitlines(), 1):
                with self.subTest(file=path.name, line=number):
                    self.assertIsNone(pattern.search(line), line)

    def test_every_name_occurs_in_the_package(self):
        text = "".join(path.read_text() for path in FOLDER.glob("*.py"))
        unused = {"checkpoint_data", "heartbeat_addr", "cold_left_ms", "port_range"}
        for word in WORDS:
            if word not in unused | {"admission_control"}:
                with self.subTest(word=word):
                    self.assertRegex(text, word)

    def test_the_package_is_small(self):
        def count(paths):
            return sum(len(path.read_text().splitlines()) for path in paths)

        folder = count(FOLDER.glob("*.py"))
        self.assertLess(folder, LARGEST_SHARE * count(PACKAGE.glob("*.py")))
