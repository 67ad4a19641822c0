"""Answers as text for people."""

import json
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

from tabulate import tabulate

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.decisions import EXPLANATIONS
from geraniumspool.operator_answers import (
    ConfigDocument,
    ConfigDocuments,
    ConfigHistory,
    ConfigStatus,
    Decisions,
    DomainRevision,
    DomainStatus,
    MemberStatus,
    Roster,
    Status,
)

MAX_CELL_CHARS = 60


def _table(rows: Iterable[Any], columns: list[str]) -> str:
    cells = [[_cell(row.get(column, "")) for column in columns] for row in rows]
    return tabulate(cells, headers=columns, tablefmt="simple", disable_numparse=True)


def _cell(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    text = " ".join(text.split())
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 3] + "..."


def _time(at_ms: float) -> str:
    moment = datetime.fromtimestamp(at_ms / MS_PER_SECOND, UTC)
    return moment.isoformat(sep=" ", timespec="milliseconds").replace("+00:00", "Z")


def show_pairs(answer: Any) -> str:
    """Return names and values, one pair a line."""
    rows = [(name, _cell(value)) for name, value in answer.items()]
    return tabulate(rows, tablefmt="plain", disable_numparse=True) or "done"


def show_status(answer: Status) -> str:
    """Return the state of an entry and of the failure domains."""
    entry, store = answer["entry"], answer["store"]
    head = {
        "entry": f"{entry['address']} {entry['state']}",
        "failure domain": entry["domain"],
        "incarnation": entry["incarnation"],
        "store": f"{store['state']}, last contact {store['last_contact_ms']} ms",
        "config revision": answer["config_revision"],
    }
    columns = list(DomainStatus.__annotations__)
    parts = [show_pairs(head), _table(answer["domains"], columns)]
    if answer.get("counters"):
        parts.append(show_pairs(answer["counters"]))
    return "\n\n".join(parts)


def show_roster(answer: Roster) -> str:
    """Return a table of processes."""
    return _table(answer["members"], list(MemberStatus.__annotations__))


def show_documents(answer: ConfigDocuments) -> str:
    """Return a table of configuration documents."""
    return _table(answer["documents"], list(ConfigDocument.__annotations__))


def show_document(answer: ConfigDocument) -> str:
    """Return one document below its key and revision."""
    body = answer["body"]
    text = body if isinstance(body, str) else json.dumps(body, indent=2)
    return f"# {answer['key']} revision {answer['revision']}\n{text}"


def show_history(answer: ConfigHistory) -> str:
    """Return a table of changes."""
    rows = [{**change, "at": _time(change["at_ms"])} for change in answer["changes"]]
    return _table(rows, ["revision", "at", "who", "why", "change_id", "before", "after"])


def show_config_status(answer: ConfigStatus) -> str:
    """Return a table of the revisions in force."""
    columns = list(DomainRevision.__annotations__)
    return f"newest {answer['newest']}\n\n{_table(answer['domains'], columns)}"


def show_decisions(answer: Decisions) -> str:
    """Return decisions with their explanations."""
    lines = []
    for decision in answer["decisions"]:
        figures = " ".join(f"{name}={value}" for name, value in decision["figures"].items())
        lines.append(f"{_time(decision['at_ms'])}  {decision['id']}  {decision['code']}  {figures}")
        lines.append(f"    {EXPLANATIONS.get(decision['code'], '')}")
    return "\n".join(line.rstrip() for line in lines) or "no decisions are kept on it"
