"""Exceptions of the dispatcher, each with a stable error code."""

from typing import NamedTuple


class Finding(NamedTuple):
    """One error found in an input document, with its location.

    :param place: file name or key of the document
    :param line: line number from 1, or 0 if unknown
    :param path: path of the faulty field in the document, such as ``entry.listen``
    :param text: description of the error
    """

    place: str
    line: int
    path: str
    text: str

    def __str__(self) -> str:
        """Return the finding as ``place:line: path: text``."""
        return f"{self.place}:{self.line}: {self.path}: {self.text}"


class DispatchError(Exception):
    """Base of all exceptions of the dispatcher.

    :cvar code: stable error code that scripts may rely on
    :cvar status: HTTP status with which the error is reported
    """

    code = "internal"
    status = 500

    def __init__(self, detail: str = "", retry_after_ms: float | None = None):
        """Create the error.

        :param detail: human-readable description; the code if empty
        :param retry_after_ms: time after which a retry may succeed, in milliseconds, or None
        """
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after_ms = retry_after_ms


class InvalidInput(DispatchError):
    """The input is invalid; reports all errors found in it.

    :ivar findings: all errors found in the input
    """

    code = "invalid_input"
    status = 400

    def __init__(self, findings: list[Finding]):
        """Create the error with its findings.

        :param findings: all errors found, never empty
        """
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class MalformedTicket(DispatchError):
    """The text is not a syntactically valid ticket."""

    code = "ticket_malformed"
    status = 400


class ForgedTicket(DispatchError):
    """The signature of a ticket does not match any configured key."""

    code = "ticket_forged"
    status = 403


class ForeignService(DispatchError):
    """A job was submitted for another service than its ticket was issued for."""

    code = "ticket_foreign_service"
    status = 409


class JobConflict(DispatchError):
    """A job with a different body was already submitted under the same ticket."""

    code = "job_conflict"
    status = 409


class MalformedMessage(DispatchError):
    """A message between processes could not be decoded."""

    code = "message_malformed"


class UnknownKind(MalformedMessage):
    """A message between processes has a type that this build does not know."""


class LinkDown(DispatchError):
    """A peer process could not be reached in time."""

    code = "link_down"
    status = 503


class StoreError(DispatchError):
    """Base of the errors of the key-value store."""

    code = "store_error"
    status = 503


class StoreUnavailable(StoreError):
    """The store rejected the call or could not be reached; nothing was written."""

    code = "store_unavailable"


class StoreUnknown(StoreError):
    """The store did not reply; a write may or may not have taken effect."""

    code = "store_unknown"


class LeaseExpired(StoreError):
    """The lease no longer exists in the store."""

    code = "lease_expired"


class CompactedRevision(StoreError):
    """A watch started at a revision whose later changes the store no longer has."""

    code = "store_compacted"


class StaleRevision(DispatchError):
    """A configuration change is based on a revision that is no longer current."""

    code = "config_stale_revision"
    status = 409


class ChangeUnknown(DispatchError):
    """The outcome of a configuration change is unknown: it may have been accepted."""

    code = "config_change_unknown"
    status = 503


class NotFound(DispatchError):
    """The requested resource does not exist."""

    code = "not_found"
    status = 404


class Unauthorized(DispatchError):
    """The operators' access token is missing or wrong."""

    code = "unauthorized"
    status = 401


class PayloadTooLarge(DispatchError):
    """The body of a request exceeds its size limit."""

    code = "payload_too_large"
    status = 413


class MethodNotAllowed(DispatchError):
    """The path exists but does not support the request's method."""

    code = "method_not_allowed"
    status = 405


class NotStarted(DispatchError):
    """The minion refused the connection, so the task did not start."""

    code = "minion_refused_connection"


class TaskFailed(DispatchError):
    """The minion reported that a task failed."""

    code = "task_failed"


class TaskUnknown(DispatchError):
    """The minion's reply was lost or late, so the task may have run."""

    code = "task_outcome_unknown"


class MinionReplaced(DispatchError):
    """Another process than the expected minion process answers at the minion's address.

    :ivar started_unix_ms: start of the process that answers, in milliseconds since the Unix
        epoch, if it has the name of the expected minion, else 0
    """

    code = "minion_replaced"

    def __init__(self, detail: str = "", started_unix_ms: int = 0):
        """Create the error.

        :param detail: human-readable description
        :param started_unix_ms: see the class
        """
        super().__init__(detail)
        self.started_unix_ms = started_unix_ms


class MinionSilent(DispatchError):
    """The minion did not reply: the call may have taken effect, or may still do so later."""

    code = "minion_silent"


class MinionDown(MinionSilent):
    """The minion's address refuses connections: its process has ended, the call had no effect."""

    code = "minion_down"


class Fenced(DispatchError):
    """The minion rejected a call because it has seen a higher fencing token."""

    code = "minion_fenced"
