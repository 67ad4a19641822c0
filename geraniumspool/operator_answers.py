"""Answers of an entry to operators' calls."""

from typing import Any, TypedDict

from geraniumspool.decisions import DecisionDocument
from geraniumspool.status import DomainStatus


class ProcessStatus(TypedDict):
    """The entry that answered."""

    address: str
    domain: str
    incarnation: str
    state: str


class StoreStatus(TypedDict):
    """How the entry gets on with the platform's store."""

    state: str
    last_contact_ms: float


class Status(TypedDict):
    """Answer of ``status``."""

    entry: ProcessStatus
    domains: list[DomainStatus]
    store: StoreStatus
    config_revision: int
    counters: dict[str, float]


class MemberStatus(TypedDict):
    """One process in the roster."""

    address: str
    incarnation: str
    domain: str
    role: str
    state: str
    service: str
    slots: int
    free: int
    queued: int


class Roster(TypedDict):
    """Answer of ``roster``."""

    members: list[MemberStatus]


class ConfigDocument(TypedDict):
    """One configuration document."""

    key: str
    revision: int
    body: Any


class ConfigDocuments(TypedDict):
    """Answer of ``config list``."""

    documents: list[ConfigDocument]


class ConfigOutcome(TypedDict):
    """Answer of ``config apply``."""

    status: str
    revision: int


class ConfigChange(TypedDict):
    """One entry of the audit trail."""

    revision: int
    who: str
    why: str
    at_ms: int
    change_id: str
    before: Any
    after: Any


class ConfigHistory(TypedDict):
    """Answer of ``config history``."""

    changes: list[ConfigChange]


class DomainRevision(TypedDict):
    """Revision of the configuration that is in force in a failure domain."""

    domain: str
    revision: int


class ConfigStatus(TypedDict):
    """Answer of ``config status``."""

    newest: int
    domains: list[DomainRevision]


class Decisions(TypedDict):
    """Answer of ``why``."""

    decisions: list[DecisionDocument]
