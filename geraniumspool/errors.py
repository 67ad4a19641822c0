"""Errors of the dispatcher, each with a stable code."""

from typing import NamedTuple


class Finding(NamedTuple):
    """One fault found in a document, with its place.

    :param place: file name or document key the fault was found in
    :param line: line number from 1, or 0 where there is none
    :param path: path inside the document, such as ``entry.listen``
    :param text: what is wrong, in one sentence
    """

    place: str
    line: int
    path: str
    text: str

    def __str__(self) -> str:
        """Return the finding as ``place:line: path: text``."""
        return f"{self.place}:{self.line}: {self.path}: {self.text}"


class DispatchError(Exception):
    """Base of all errors of the dispatcher.

    :cvar code: stable code that scripts may rely on
    :cvar status: HTTP status that the error is reported with
    """

    code = "internal"
    status = 500

    def __init__(self, detail: str = "", retry_after_ms: float | None = None):
        """Record what happened.

        :param detail: what happened, for people
        :param retry_after_ms: when another try may help, or None
        """
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.retry_after_ms = retry_after_ms


class InvalidInput(DispatchError):
    """Input was rejected; carries every finding at once."""

    code = "invalid_input"
    status = 400

    def __init__(self, findings: list[Finding]):
        """Record the findings.

        :param findings: all faults found, never empty
        """
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class MalformedTicket(DispatchError):
    """A ticket could not be parsed."""

    code = "ticket_malformed"
    status = 400


class ForgedTicket(DispatchError):
    """A ticket's signature matches none of the configured keys."""

    code = "ticket_forged"
    status = 403


class ForeignService(DispatchError):
    """A job names another service than its ticket."""

    code = "ticket_foreign_service"
    status = 409


class JobConflict(DispatchError):
    """Another job body was already submitted under this ticket."""

    code = "job_conflict"
    status = 409


class MalformedMessage(DispatchError):
    """A message between processes could not be decoded."""

    code = "message_malformed"


class LinkDown(DispatchError):
    """A peer could not be reached in time."""

    code = "link_down"
    status = 503


class StoreError(DispatchError):
    """Base of the errors of the platform's store."""

    code = "store_error"
    status = 503


class StoreUnavailable(StoreError):
    """The store refused or could not be connected to; nothing was written."""

    code = "store_unavailable"


class StoreUnknown(StoreError):
    """The store did not answer; a write may or may not have taken effect."""

    code = "store_unknown"


class LeaseExpired(StoreError):
    """The lease no longer exists in the store."""

    code = "lease_expired"


class CompactedRevision(StoreError):
    """A watch asked for a revision that the store no longer has."""

    code = "store_compacted"


class StaleRevision(DispatchError):
    """A configuration change was based on a revision that is not current."""

    code = "config_stale_revision"
    status = 409


class ChangeUnknown(DispatchError):
    """It is not known yet whether a configuration change was accepted."""

    code = "config_change_unknown"
    status = 503


class NotFound(DispatchError):
    """The thing asked for does not exist."""

    code = "not_found"
    status = 404


class Unauthorized(DispatchError):
    """The operators' token is missing or wrong."""

    code = "unauthorized"
    status = 401


class PayloadTooLarge(DispatchError):
    """A request body is larger than the limit."""

    code = "payload_too_large"
    status = 413


class MethodNotAllowed(DispatchError):
    """The path exists but not with this method."""

    code = "method_not_allowed"
    status = 405


class NotStarted(DispatchError):
    """The minion refused the connection: the task never started."""

    code = "minion_refused_connection"


class TaskFailed(DispatchError):
    """The minion answered a task with an error."""

    code = "task_failed"


class TaskUnknown(DispatchError):
    """The minion's answer was lost or late: the task may have run."""

    code = "task_outcome_unknown"


class MinionReplaced(DispatchError):
    """Another life of the minion answers at its address.

    :ivar started_unix_ms: when the life of the same name that answers began, 0 if the name is
        another
    """

    code = "minion_replaced"

    def __init__(self, detail: str = "", started_unix_ms: int = 0):
        """Record which life answers, as far as known."""
        super().__init__(detail)
        self.started_unix_ms = started_unix_ms


class MinionSilent(DispatchError):
    """The minion did not answer: the call may have been carried out, or may be later."""

    code = "minion_silent"


class MinionDown(MinionSilent):
    """Nothing listens at the minion's address: its process has ended, and nothing was done."""

    code = "minion_down"


class Fenced(DispatchError):
    """The minion has seen a higher fencing token."""

    code = "minion_fenced"
