"""HTTP to one address: connections kept alive, and nothing ever sent twice."""

import eventlet
import urllib3
from eventlet.semaphore import Semaphore
from urllib3.connection import HTTPConnection
from urllib3.exceptions import LocationValueError

from geraniumspool.clock import MS_PER_SECOND
from geraniumspool.contracts import Clock

CONNECT_LIMIT_MS = 1000.0
IDLE_LIMIT_MS = 2000.0


class EndpointConnection(HTTPConnection):
    """A connection that counts as dropped once it was idle for too long.

    Head and body of a request leave in one piece, so that the minion wakes once.
    """

    def __init__(self, *args, clock: Clock, **options):
        """Start unused."""
        super().__init__(*args, **options)
        self._clock = clock
        self._used_at = clock.now()
        self._held: list[bytes] | None = None

    def request(self, *args, **options):
        """Send a request in one piece."""
        self._held = []
        try:
            super().request(*args, **options)
            data = b"".join(self._held)
        finally:
            self._held = None
        self.send(data)

    def send(self, data):
        """Send bytes, or hold them until the request is whole."""
        if self._held is None:
            super().send(data)
        else:
            self._held.append(data)

    def getresponse(self):
        """Return the answer, and note that the connection was used."""
        response = super().getresponse()
        self._used_at = self._clock.now()
        return response

    @property
    def is_connected(self) -> bool:
        """Whether the connection may be used again."""
        if self._clock.now() - self._used_at > IDLE_LIMIT_MS:
            return False
        try:
            return super().is_connected
        except BaseException:
            # A task killed during the check has taken the connection out of its pool.
            self.close()
            raise


class EndpointPool(urllib3.HTTPConnectionPool):
    """Connections of one endpoint."""

    ConnectionCls = EndpointConnection


class Endpoint:
    """The connections to one address.

    A semaphore of its own bounds them: a task killed while it waits inside
    urllib3's pool would leave one connection too many there.
    """

    def __init__(self, url: str, limit: int, clock: Clock):
        """Prepare without connecting.

        :param url: base address
        :param limit: most connections at once
        """
        parsed = urllib3.util.parse_url(url)
        if parsed.scheme != "http" or not parsed.host:
            raise LocationValueError(f"not an HTTP address: {url}")
        self.limit = limit
        self.in_flight = 0
        self._path = (parsed.path or "").rstrip("/")
        self._slots = Semaphore(limit)
        # The semaphore is what waits: the pool's own lock would hold up the whole process.
        self._pool = EndpointPool(parsed.host, parsed.port, maxsize=limit, block=False, clock=clock)

    def request(
        self, method: str, path: str, limit_ms: float, **options
    ) -> urllib3.BaseHTTPResponse:
        """Send one request once and return the whole response.

        :raises TimeoutError: if it took longer than ``limit_ms``
        """
        self.in_flight += 1
        try:
            with eventlet.Timeout(limit_ms / MS_PER_SECOND) as limit, self._slots:
                return self._pool.urlopen(
                    method,
                    self._path + path,
                    retries=False,
                    redirect=False,
                    timeout=urllib3.Timeout(connect=CONNECT_LIMIT_MS / MS_PER_SECOND),
                    **options,
                )
        except eventlet.Timeout as timeout:
            if timeout is not limit:
                raise
            raise TimeoutError(f"no answer within {limit_ms:.0f} ms") from timeout
        finally:
            self.in_flight -= 1

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
