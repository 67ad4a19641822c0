"""HTTP client of an entry's API for operators; it never retries a request."""

from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec
import urllib3

from geraniumspool import errors
from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.decoding import DECODE_ERRORS
from geraniumspool.errors import DispatchError, Finding, InvalidInput, LinkDown

CONNECT_TIMEOUT_MS = 3000.0
READ_TIMEOUT_MS = 20000.0
SAFE_METHODS = frozenset({"GET"})
MAX_DETAIL_CHARS = 300
MIN_ERROR_STATUS = 300

ENTRY_UNREACHABLE = "entry_unreachable"
OUTCOME_UNKNOWN = "outcome_unknown"
ANSWER_MALFORMED = "answer_malformed"


class EntryAddress(NamedTuple):
    """Address and credentials of an entry's API for operators.

    :param address: ``host:port`` or base URL of the entry's listener for operators
    :param token: bearer token for operators, or empty to send none
    """

    address: str
    token: str


class EntryClient:
    """Sends operators' requests to one entry, without retries or redirects."""

    def __init__(self, entry: EntryAddress):
        """Prepare the connection pool; nothing is sent yet.

        :param entry: address and token of the entry
        """
        address = entry.address
        self._base = (address if "://" in address else f"http://{address}").rstrip("/")
        self._headers = {"Authorization": f"Bearer {entry.token}"} if entry.token else {}
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_MS / MS_PER_SECOND, read=READ_TIMEOUT_MS / MS_PER_SECOND
        )
        self._pool = urllib3.PoolManager(retries=False, timeout=timeout)

    def get(self, *path: str) -> Any:
        """Send a GET request and return its response; see :meth:`call`.

        :param path: segments of the path after ``/v1``
        """
        return self.call("GET", path)

    def call(self, method: str, path: tuple[str, ...], body: Any = None) -> Any:
        """Send one request and return its response.

        :param method: HTTP method
        :param path: segments of the path after ``/v1``, which are percent-encoded here
        :param body: object to send as JSON, or None for no body
        :returns: the decoded JSON object, empty if the response has no body
        :raises LinkDown: if the entry is unreachable, or did not answer a GET
        :raises DispatchError: the problem that the entry answered with; code
            ``outcome_unknown`` if no readable answer came to a request that may have
            changed something, ``answer_malformed`` if a GET got an unreadable one
        """
        url = "/".join([self._base, "v1", *(quote(part, safe="") for part in path)])
        response = self._send(method, url, body)
        answer = _decode_answer(method, response)
        if response.status >= MIN_ERROR_STATUS:
            raise _to_error(response.status, answer)
        return answer

    def _send(self, method: str, url: str, body: Any) -> urllib3.BaseHTTPResponse:
        headers = dict(self._headers)
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers["Content-Type"] = "application/json"
        try:
            return self._pool.request(method, url, body=data, headers=headers, redirect=False)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise _unreachable(self._base, "it could not be connected to") from None
        except urllib3.exceptions.LocationValueError as error:
            raise _unreachable(self._base, str(error)) from None
        except urllib3.exceptions.HTTPError as error:
            if method in SAFE_METHODS:
                raise _unreachable(self._base, f"it did not answer ({error})") from None
            raise _outcome_unknown(f"{self._base} did not answer; it may have acted") from None


def _decode_answer(method: str, response: urllib3.BaseHTTPResponse) -> Any:
    if not response.data and response.status < MIN_ERROR_STATUS:
        return {}
    try:
        answer = msgspec.json.decode(response.data)
    except DECODE_ERRORS:
        answer = None
    if isinstance(answer, dict):
        return answer
    text = response.data[:MAX_DETAIL_CHARS].decode(errors="replace")
    if response.status < MIN_ERROR_STATUS:
        if method not in SAFE_METHODS:
            raise _outcome_unknown(f"the answer could not be read: {text}")
        raise _make_error(ANSWER_MALFORMED, f"the answer could not be read: {text}")
    return {"detail": f"HTTP status {response.status}: {text}"}


def _to_error(http_status: int, problem: dict[str, Any]) -> DispatchError:
    code = str(problem.get("code", ""))
    detail = str(problem.get("detail", ""))
    if code == InvalidInput.code and problem.get("findings"):
        error = InvalidInput([_to_finding(finding) for finding in problem["findings"]])
    else:
        error = _make_error(code or DispatchError.code, detail)
    error.status = http_status
    error.retry_after_ms = problem.get("retry_after_ms")
    error.problem = problem
    return error


def _to_finding(finding: Any) -> Finding:
    if isinstance(finding, dict):
        return Finding(
            str(finding.get("place", "")),
            int(finding.get("line") or 0),
            str(finding.get("path", "")),
            str(finding.get("text", "")),
        )
    if isinstance(finding, list) and len(finding) == len(Finding._fields):
        return Finding(*finding)
    return Finding("", 0, "", str(finding))


def _make_error(code: str, detail: str) -> DispatchError:
    for kind in vars(errors).values():
        if _is_plain_error(kind) and kind.code == code:
            return kind(detail)
    error = DispatchError(detail or code)
    error.code = code
    return error


def _is_plain_error(kind: Any) -> bool:
    is_error = isinstance(kind, type) and issubclass(kind, DispatchError)
    return is_error and kind is not InvalidInput


def _unreachable(base: str, detail: str) -> LinkDown:
    error = LinkDown(f"entry {base}: {detail}")
    error.code = ENTRY_UNREACHABLE
    return error


def _outcome_unknown(detail: str) -> DispatchError:
    return _make_error(OUTCOME_UNKNOWN, detail)
