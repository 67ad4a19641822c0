"""Types of an entry's JSON responses to operators."""

from typing import Any, TypedDict

from geraniumspool.decisions import DecisionDocument
from geraniumspool.status import DomainStatus


class ProcessStatus(TypedDict):
    """The entry that answered the request."""

    address: str
    domain: str
    incarnation: str
    state: str


class StoreStatus(TypedDict):
    """State of the entry's watch on the configuration in the store.

    Keys: ``last_contact_ms`` is the time since the watch last reported, in milliseconds.
    """

    state: str
    last_contact_ms: float


class Status(TypedDict):
    """Response to the command ``status``."""

    entry: ProcessStatus
    domains: list[DomainStatus]
    store: StoreStatus
    config_revision: int
    counters: dict[str, float]


class MemberStatus(TypedDict):
    """One process in the membership list.

    Keys: ``message_version`` is the version of its messages, 0 if its build announces none.
    """

    address: str
    incarnation: str
    domain: str
    role: str
    state: str
    service: str
    slots: int
    free: int
    queued: int
    message_version: int


class Roster(TypedDict):
    """Response to the command ``roster``: the membership list."""

    members: list[MemberStatus]


class ConfigDocument(TypedDict):
    """One configuration document."""

    key: str
    revision: int
    body: Any


class ConfigDocuments(TypedDict):
    """Response to the command ``config list``."""

    documents: list[ConfigDocument]


class ConfigOutcome(TypedDict):
    """Response to ``config apply``, ``domain evacuate`` and ``domain restore``."""

    status: str
    revision: int


class ConfigChange(TypedDict):
    """One change in the audit trail of a configuration document.

    Keys: ``at_ms`` is Unix time in milliseconds; ``before`` and ``after`` are the bodies.
    """

    revision: int
    who: str
    why: str
    at_ms: int
    change_id: str
    before: Any
    after: Any


class ConfigHistory(TypedDict):
    """Response to the command ``config history``."""

    changes: list[ConfigChange]


class DomainRevision(TypedDict):
    """Configuration revision in effect in a failure domain."""

    domain: str
    revision: int


class ConfigStatus(TypedDict):
    """Response to the command ``config status``."""

    newest: int
    domains: list[DomainRevision]


class Decisions(TypedDict):
    """Response to the command ``why``."""

    decisions: list[DecisionDocument]
