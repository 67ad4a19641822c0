"""Tables and a plot of the measured rows, written into docs/."""

import json
import re
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402
from tabulate import tabulate  # noqa: E402

DOCS = Path(__file__).parent.parent / "docs"
LINES = DOCS / "measurements.jsonl"
PLOT = DOCS / "measurements.png"
PAGE = DOCS / "MEASUREMENTS.md"
NOTES = DOCS / "decisions"
EXPERIMENT_TABLE = re.compile(
    r"(<!-- table of ([a-z, ]+) begins -->\n).*?(<!-- table ends -->)", re.DOTALL
)
BEGIN = "<!-- table begins -->"
END = "<!-- table ends -->"
NO_VALUE = "–"

COLUMNS = {
    "experiment": "experiment",
    "policy": "policy",
    "chosen": "in force",
    "jobs": "jobs",
    "response_over_ideal_p50": "p50 / ideal",
    "response_over_ideal_p99": "p99 / ideal",
    "response_over_ideal_narrow_p99": "narrow p99",
    "response_over_ideal_middle_p99": "middle p99",
    "response_over_ideal_wide_p99": "wide p99",
    "messages_per_task": "messages a task",
    "cross_domain_messages_per_task": "cross-domain",
    "wasted_messages_per_task": "wasted",
    "refused_not_run": "not run",
    "may_have_run": "may have run",
    "tasks_started_more_than_once": "started twice",
    "false_not_run": "false not run",
    "goodput_share": "goodput",
    "refused_ms_p99": "refused p99, ms",
    "deadline_missed": "late or lost",
    "load_average": "load average",
}

Lines = list[dict[str, Any]]


class Aim(NamedTuple):
    """Limit that one field of the rows of the policy in use should meet.

    :param experiment: experiment whose rows it applies to, empty for all
    :param field: name of the field in a row
    :param limit: largest acceptable value; the smallest one if ``is_floor``
    """

    text: str
    experiment: str
    field: str
    limit: float
    is_floor: bool = False


AIMS = (
    Aim("light load: p50 over ideal", "light", "response_over_ideal_p50", 1.08),
    Aim("light load: messages a task", "light", "messages_per_task", 2.0),
    Aim("light load: cross-domain messages a task", "light", "cross_domain_messages_per_task", 0.1),
    Aim("80 % load: p99 over ideal", "placement", "response_over_ideal_p99", 2.0),
    Aim("80 % load: messages a task", "placement", "messages_per_task", 0.6),
    Aim("150 % load: goodput", "overload", "goodput_share", 0.95, True),
    Aim("150 % load: refusals' p99, ms", "overload", "refused_ms_p99", 10.0),
    Aim("150 % load: admitted jobs that are late", "overload", "deadline_missed", 0),
    Aim("burst: refusals' p99, ms", "burst", "refused_ms_p99", 10.0),
    Aim("burst: admitted jobs that are late", "burst", "deadline_missed", 0),
    Aim("store faults: share of failed jobs", "store", "failed_share", 0),
    Aim("rolling restart: failed jobs of clients", "restarts", "client_failed_jobs", 0),
    Aim("anywhere: tasks started more than once", "", "tasks_started_more_than_once", 0),
    Aim("anywhere: false *not run*", "", "false_not_run", 0),
    Aim("anywhere: wrong answers", "", "wrong_answers", 0),
)


def load_rows(path: Path = LINES) -> Lines:
    """Return the rows in a file of JSON lines; none if it does not exist."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]


def merge_rows(old: Lines, new: Lines) -> Lines:
    """Return the old rows with those of re-run experiments replaced by the new ones."""
    replaced = {row["experiment"] for row in new}
    positions = [place for place, row in enumerate(old) if row["experiment"] in replaced]
    first = positions[0] if positions else len(old)
    after = [row for row in old[first:] if row["experiment"] not in replaced]
    return old[:first] + new + after


def make_table(rows: Lines, is_short: bool = False) -> str:
    """Return the rows as a Markdown table.

    :param is_short: whether to omit columns whose values are all 0 or missing
    """
    names = [name for name in COLUMNS if not is_short or any(row.get(name) for row in rows)]
    cells = [[_format_value(row.get(name)) for name in names] for row in rows]
    headers = [COLUMNS[name] for name in names]
    return tabulate(cells, headers=headers, tablefmt="github", disable_numparse=True)


def fill_experiment_tables(page: str, rows: Lines) -> str:
    """Return a page with the tables between its experiment markers replaced."""

    def fill(match: re.Match) -> str:
        names = match[2].split(", ")
        chosen = [row for row in rows if row["experiment"] in names]
        text = f"{make_table(chosen, True)}\n\n{make_notes(chosen)}" if chosen else "Not run yet."
        return f"{match[1]}\n{text}\n\n{match[3]}"

    return EXPERIMENT_TABLE.sub(fill, page)


def make_aims(rows: Lines) -> str:
    """Return a Markdown table of the aims with the worst measured values."""
    cells = []
    for aim in AIMS:
        found = _find_values(aim, rows)
        worst = (min if aim.is_floor else max)(found, default=None)
        sign = ">=" if aim.is_floor else "<="
        cells.append(
            [aim.text, f"{sign} {aim.limit:g}", _format_value(worst), _describe_result(aim, worst)]
        )
    headers = ["aim", "limit", "measured", "met"]
    return tabulate(cells, headers=headers, tablefmt="github", disable_numparse=True)


def _find_values(aim: Aim, rows: Lines) -> list[float]:
    chosen = [row for row in rows if row["chosen"] and aim.experiment in ("", row["experiment"])]
    return [row[aim.field] for row in chosen if row.get(aim.field) is not None]


def _describe_result(aim: Aim, worst: float | None) -> str:
    if worst is None:
        return "nothing measured"
    is_met = worst >= aim.limit if aim.is_floor else worst <= aim.limit
    return "yes" if is_met else "**no**"


def make_notes(rows: Lines) -> str:
    """Return the fields that are not in the table, as a Markdown list."""
    lines = []
    for row in rows:
        notes = {name: row[name] for name in row if name not in COLUMNS and name != "wrong_answers"}
        if notes:
            text = ", ".join(f"{name} {_format_value(value)}" for name, value in notes.items())
            lines.append(f"- {row['experiment']}, {row['policy']}: {text}")
    return "\n".join(lines)


def replace_table(page: str, text: str) -> str:
    """Return a page with the text between ``BEGIN`` and ``END`` replaced.

    :raises ValueError: if one of these markers is missing
    """
    head, begin, rest = page.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"the page lacks {BEGIN} or {END}")
    return f"{head}{BEGIN}\n{text}\n{END}{tail}"


def write_report(rows: Lines) -> None:
    """Write the rows, the plot and the tables of all pages into docs/."""
    LINES.write_text("".join(json.dumps(row) + "\n" for row in rows), encoding="utf-8")
    draw_plot(rows)
    if PAGE.exists():
        page = PAGE.read_text(encoding="utf-8")
        text = f"\n{make_aims(rows)}\n\n{make_table(rows)}\n\n{make_notes(rows)}\n"
        PAGE.write_text(replace_table(page, text), encoding="utf-8")
    for note in sorted(NOTES.glob("*.md")):
        old = note.read_text(encoding="utf-8")
        note.write_text(fill_experiment_tables(old, rows), encoding="utf-8")


def draw_plot(rows: Lines, path: Path = PLOT) -> None:
    """Draw response times and messages per task of every experiment and policy."""
    figure, axes = pyplot.subplots(1, 3, figsize=(15, 2 + 0.28 * len(rows)), sharey=True)
    names = [f"{row['experiment']}: {row['policy']}" for row in rows]
    positions = range(len(rows))
    colours = ["#b3402a" if row["chosen"] else "#8a94a0" for row in rows]
    _draw_bars(axes[0], positions, rows, "response_over_ideal_p99", colours)
    if any(row["response_over_ideal_p99"] for row in rows):
        axes[0].set_xscale("log")
    axes[0].set_xlabel("p99 of response time over ideal")
    _draw_bars(axes[1], positions, rows, "messages_per_task", colours)
    axes[1].set_xlabel("messages a task between processes")
    _draw_bars(axes[2], positions, rows, "wasted_messages_per_task", colours)
    axes[2].set_xlabel("wasted messages a task")
    axes[0].set_yticks(list(positions), names)
    axes[0].invert_yaxis()
    figure.suptitle("Red: the policy in force")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _draw_bars(axis, positions, rows: Lines, name: str, colours: list[str]) -> None:
    axis.barh(list(positions), [row[name] or 0.0 for row in rows], color=colours)
    axis.grid(axis="x", alpha=0.3)


def _format_value(value: Any) -> str:
    if value is None:
        return NO_VALUE
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 100 else f"{value:.0f}"
    return str(value)
