"""HTTP client for one address, with persistent connections and without retries."""

import eventlet
import urllib3
from eventlet.semaphore import Semaphore
from urllib3.connection import HTTPConnection
from urllib3.exceptions import LocationValueError

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import Clock

CONNECT_LIMIT_MS = 1000.0
# A connection that was idle for longer is not reused.
IDLE_LIMIT_MS = 2000.0


class EndpointConnection(HTTPConnection):
    """HTTP connection that is not reused after it was idle for too long.

    The head and the body of a request are sent in a single write, so that the
    minion is woken only once.
    """

    def __init__(self, *args, clock: Clock, **options):
        """Create the connection without opening it.

        :param clock: source of time for the idle limit
        """
        super().__init__(*args, **options)
        self._clock = clock
        self._last_used_ms = clock.now()
        self._request_parts: list[bytes] | None = None

    def request(self, *args, **options):
        """Send a request in a single write."""
        self._request_parts = []
        try:
            super().request(*args, **options)
            data = b"".join(self._request_parts)
        finally:
            self._request_parts = None
        self.send(data)

    def send(self, data):
        """Send bytes, or buffer them while a request is being composed."""
        if self._request_parts is None:
            super().send(data)
        else:
            self._request_parts.append(data)

    def getresponse(self):
        """Return the response and record the time of use."""
        response = super().getresponse()
        self._last_used_ms = self._clock.now()
        return response

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open and may be reused."""
        if self._clock.now() - self._last_used_ms > IDLE_LIMIT_MS:
            return False
        try:
            return super().is_connected
        except BaseException:
            # A green thread killed during the check has already taken the connection out of the
            # pool and will not return it.
            self.close()
            raise


class EndpointPool(urllib3.HTTPConnectionPool):
    """Connection pool of one endpoint."""

    ConnectionCls = EndpointConnection


class Endpoint:
    """Client for one address with a bounded number of connections.

    The bound is a semaphore, not urllib3's blocking pool: a green thread killed
    while it waits inside that pool would leave one connection too many there.

    :ivar limit: maximum number of concurrent requests
    :ivar in_flight: requests in progress, including those that wait for a connection
    """

    def __init__(self, url: str, limit: int, clock: Clock):
        """Create the client without connecting.

        :param url: base URL; its scheme must be ``http``
        :param limit: maximum number of concurrent connections
        :param clock: source of time for idle connections
        :raises LocationValueError: if ``url`` is not an HTTP URL
        """
        parsed = urllib3.util.parse_url(url)
        if parsed.scheme != "http" or not parsed.host:
            raise LocationValueError(f"not an HTTP URL: {url}")
        self.limit = limit
        self.in_flight = 0
        self._path = (parsed.path or "").rstrip("/")
        self._connection_slots = Semaphore(limit)
        # Requests wait at the semaphore; the pool's lock would block the whole process.
        self._pool = EndpointPool(parsed.host, parsed.port, maxsize=limit, block=False, clock=clock)

    def request(
        self, method: str, path: str, limit_ms: float, **options
    ) -> urllib3.BaseHTTPResponse:
        """Send a request without retries and return the whole response.

        :param method: HTTP method
        :param path: path below the base URL
        :param limit_ms: time limit in milliseconds, including the wait for a connection
        :param options: further arguments of urllib3's ``urlopen``
        :raises TimeoutError: if there is no response within ``limit_ms``
        """
        self.in_flight += 1
        try:
            with eventlet.Timeout(limit_ms / MS_PER_SECOND) as own_timeout, self._connection_slots:
                return self._pool.urlopen(
                    method,
                    self._path + path,
                    retries=False,
                    redirect=False,
                    timeout=urllib3.Timeout(connect=CONNECT_LIMIT_MS / MS_PER_SECOND),
                    **options,
                )
        except eventlet.Timeout as timeout:
            if timeout is not own_timeout:
                raise
            raise TimeoutError(f"no response within {limit_ms:.0f} ms") from timeout
        finally:
            self.in_flight -= 1

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
