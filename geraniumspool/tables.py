"""Formats entries' responses to operators as plain text and tables."""

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


def _format_table(rows: Iterable[Any], columns: list[str]) -> str:
    cells = [[_format_cell(row.get(column, "")) for column in columns] for row in rows]
    return tabulate(cells, headers=columns, tablefmt="simple", disable_numparse=True)


def _format_cell(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    text = " ".join(text.split())
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 3] + "..."


def _format_time(at_ms: float) -> str:
    moment = datetime.fromtimestamp(at_ms / MS_PER_SECOND, UTC)
    return moment.isoformat(sep=" ", timespec="milliseconds").replace("+00:00", "Z")


def format_pairs(answer: Any) -> str:
    """Return the members of an object as ``name value`` lines, or "done" if there are none."""
    rows = [(name, _format_cell(value)) for name, value in answer.items()]
    return tabulate(rows, tablefmt="plain", disable_numparse=True) or "done"


def format_status(answer: Status) -> str:
    """Return the state of an entry, a table of the failure domains, and the counters if any."""
    entry, store = answer["entry"], answer["store"]
    head = {
        "entry": f"{entry['address']} {entry['state']}",
        "failure domain": entry["domain"],
        "incarnation": entry["incarnation"],
        "store": f"{store['state']}, last contact {store['last_contact_ms']} ms",
        "config revision": answer["config_revision"],
    }
    columns = list(DomainStatus.__annotations__)
    parts = [format_pairs(head), _format_table(answer["domains"], columns)]
    if answer.get("counters"):
        parts.append(format_pairs(answer["counters"]))
    return "\n\n".join(parts)


def format_roster(answer: Roster) -> str:
    """Return a table of the processes in the membership list."""
    return _format_table(answer["members"], list(MemberStatus.__annotations__))


def format_documents(answer: ConfigDocuments) -> str:
    """Return a table of configuration documents."""
    return _format_table(answer["documents"], list(ConfigDocument.__annotations__))


def format_document(answer: ConfigDocument) -> str:
    """Return a heading with the key and revision of a document, then its body."""
    body = answer["body"]
    text = body if isinstance(body, str) else json.dumps(body, indent=2)
    return f"# {answer['key']} revision {answer['revision']}\n{text}"


def format_history(answer: ConfigHistory) -> str:
    """Return a table of the changes to a document."""
    rows = [{**change, "at": _format_time(change["at_ms"])} for change in answer["changes"]]
    return _format_table(rows, ["revision", "at", "who", "why", "change_id", "before", "after"])


def format_config_status(answer: ConfigStatus) -> str:
    """Return the newest configuration revision and a table of those in effect per domain."""
    columns = list(DomainRevision.__annotations__)
    return f"newest {answer['newest']}\n\n{_format_table(answer['domains'], columns)}"


def format_decisions(answer: Decisions) -> str:
    """Return each decision as a line, followed by the explanation of its code."""
    lines = []
    for decision in answer["decisions"]:
        figures = " ".join(f"{name}={value}" for name, value in decision["figures"].items())
        lines.append(
            f"{_format_time(decision['at_ms'])}  {decision['id']}  {decision['code']}  {figures}"
        )
        lines.append(f"    {EXPLANATIONS.get(decision['code'], '')}")
    return "\n".join(line.rstrip() for line in lines) or "no decisions are kept on it"
