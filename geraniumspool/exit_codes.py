"""Exit codes of the command line, by which scripts tell outcomes apart.

==== =========================================================
0    success
1    failure, or the job failed and none of its tasks ran
2    invalid command line; nothing was done
3    the requested object does not exist
4    conflict, such as a revision that is no longer current
5    outcome unknown: the request may have taken effect
6    the entry is unreachable; nothing was done
7    the operators' token is missing or wrong
8    invalid input; errors go to standard error, one per line
==== =========================================================
"""

from typing import Any

from geraniumspool import program
from geraniumspool.entry_client import ENTRY_UNREACHABLE, OUTCOME_UNKNOWN
from geraniumspool.errors import DispatchError
from geraniumspool.messages import STATE_CONFLICT, STATE_MAY_HAVE_RUN, STATE_NOT_RUN, STATE_UNKNOWN

EXIT_OK = program.OK
EXIT_FAILED = program.FAILED
EXIT_USAGE = 2
EXIT_NOT_FOUND = 3
EXIT_CONFLICT = 4
EXIT_UNKNOWN = 5
EXIT_UNREACHABLE = 6
EXIT_UNAUTHORIZED = 7
EXIT_INVALID = 8

EXIT_BY_CODE = {
    "not_found": EXIT_NOT_FOUND,
    "config_stale_revision": EXIT_CONFLICT,
    "job_conflict": EXIT_CONFLICT,
    "ticket_foreign_service": EXIT_CONFLICT,
    "config_change_unknown": EXIT_UNKNOWN,
    "store_unknown": EXIT_UNKNOWN,
    OUTCOME_UNKNOWN: EXIT_UNKNOWN,
    ENTRY_UNREACHABLE: EXIT_UNREACHABLE,
    "unauthorized": EXIT_UNAUTHORIZED,
    "invalid_input": EXIT_INVALID,
    "ticket_malformed": EXIT_INVALID,
    "ticket_forged": EXIT_INVALID,
    "payload_too_large": EXIT_INVALID,
}
EXIT_BY_STATUS = {
    400: EXIT_INVALID,
    401: EXIT_UNAUTHORIZED,
    404: EXIT_NOT_FOUND,
    409: EXIT_CONFLICT,
    413: EXIT_INVALID,
}
EXIT_BY_JOB_STATE = {
    STATE_NOT_RUN: EXIT_FAILED,
    STATE_MAY_HAVE_RUN: EXIT_UNKNOWN,
    STATE_UNKNOWN: EXIT_NOT_FOUND,
    STATE_CONFLICT: EXIT_CONFLICT,
}


def exit_code_for_error(error: DispatchError) -> int:
    """Return the exit code for an error, by its code or else by its HTTP status."""
    if error.code in EXIT_BY_CODE:
        return EXIT_BY_CODE[error.code]
    return EXIT_BY_STATUS.get(error.status, EXIT_FAILED)


def exit_code_for_job(answer: Any) -> int:
    """Return the exit code for a job's state or outcome."""
    state = answer.get("outcome") or answer.get("state") or ""
    return EXIT_BY_JOB_STATE.get(state, EXIT_OK)


def exit_code_for_cancel(answer: Any) -> int:
    """Return the exit code for the response to a cancellation.

    A job that was cancelled before any of its tasks ran is a success here.
    """
    code = exit_code_for_job(answer)
    cancelled = answer.get("code") in ("job_cancelled", "cancelled")
    return EXIT_OK if cancelled and code == EXIT_FAILED else code
