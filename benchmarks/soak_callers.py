"""Callers in the soak test: patient ones, and ones that disconnect, repeat and retry early."""

import http.client
import json
import random
import socket
import struct
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

import eventlet
import urllib3

from benchmarks.soak_processes import Process
from benchmarks.soak_witness import GuaranteeChecker

HOST = "soak.example"
PREFIX = "/scan/"
# Deadline that callers request, and how long patient callers wait for a response.
DEADLINE_MS = 3_000
PATIENT_TIMEOUT_S = 3.5
RESEND_S = 1.3
TRIES = 3
# Eager callers wait longer: a response delayed by a busy machine is late, not missing.
EAGER_TIMEOUT_S = 8.0
# An eager caller starts no try later than this after its first one.
RETRY_LIMIT_S = 6.0
MAX_RETRY_PAUSE_S = 0.05
MAX_WAIT_BEFORE_DISCONNECT_S = 0.25
RECONNECT_S = 0.3
MAX_DUPLICATE_DELAY_S = 4.0
# Restless callers hang up while runs are at work, and are back elsewhere within a second.
HANG_UP_S = (0.05, 1.0)
MAX_AWAY_S = 0.9
HANG_UPS = (1, 4)
RESTLESS_WEIGHT = 80
# Pause after a refusal of a caller that keeps its connection.
REFUSAL_PAUSE_S = 0.3
# Statuses of tries without an HTTP status: no response, and closed by the caller.
UNANSWERED = 0
DISCONNECTED = -1
REFUSED = (429, 503)
# Tasks run for up to about this time.
LONGEST_RUN_MS = 200
RETRIED = (UNANSWERED, 502, 504)
# Value of SO_LINGER with which closing a socket resets the connection.
RESET = struct.pack("ii", 1, 0)


class Job(NamedTuple):
    """A job that a caller submits.

    :param tasks: number of its tasks
    :param body: body of the request
    """

    job_id: str
    tasks: int
    body: bytes


class Outcome(NamedTuple):
    """Result of all tries for one job.

    :param succeeded: whether a response reported success
    :param refused: whether every try was refused
    :param answered: whether a try got a response
    """

    job: str
    tasks: int
    succeeded: bool
    refused: bool
    answered: bool


class DispatcherEndpoint(NamedTuple):
    """A dispatcher.

    :param address: host and port of its callers' listener
    """

    address: str
    process: Process


class Callers(Protocol):
    """A way of submitting jobs."""

    def call(self, job_id: str, number: int) -> Outcome:
        """Submit one job, retry as needed and return the result.

        :param number: number of the job, which determines its size
        """


def make_job(job_id: str, number: int, longest_ms: int = LONGEST_RUN_MS) -> Job:
    """Return a job whose size is determined by its number.

    :param longest_ms: about how long its tasks run at most, in milliseconds
    """
    tasks = 1 + number % 5
    return Job(job_id, tasks, _make_body(number, tasks, longest_ms))


def _make_body(number: int, tasks: int, longest_ms: int) -> bytes:
    run_ms = 20 + (number * 37) % longest_ms
    step = {"count": tasks, "cpu": 1_000, "estimate_ms": run_ms}
    body = {"spec": f"1000:{run_ms}", "steps": [step], "best_effort": True}
    return json.dumps(body).encode()


class PatientCallers:
    """Callers that wait for the response, and retry after ``RESEND_S`` if there was none."""

    def __init__(self, dispatchers: list[DispatcherEndpoint]):
        """Take the dispatchers to call."""
        self._addresses = [dispatcher.address for dispatcher in dispatchers]
        self._http = urllib3.PoolManager(maxsize=200, retries=False)

    def call(self, job_id: str, number: int) -> Outcome:
        """Hand one job in; see :class:`Callers`."""
        job = make_job(job_id, number)
        status, state, refused = UNANSWERED, "", True
        for attempt in range(TRIES):
            address = self._addresses[(number + attempt) % len(self._addresses)]
            status, state = self.post(address, job)
            refused = refused and status == 503
            if status not in (UNANSWERED, 504):
                break
            eventlet.sleep(RESEND_S)
        succeeded = status == 200 and state == "succeeded"
        return Outcome(job_id, job.tasks, succeeded, refused, status != UNANSWERED)

    def post(self, address: str, job: Job) -> tuple[int, str]:
        """Send one try and return its status and the job's state in the response."""
        headers = {"Host": HOST, "Deadline-Ms": str(DEADLINE_MS)}
        url = f"http://{address}{PREFIX}{job.job_id}"
        try:
            reply = self._http.request(
                "POST", url, body=job.body, headers=headers, timeout=PATIENT_TIMEOUT_S
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return UNANSWERED, ""
        return reply.status, json.loads(reply.data).get("state", "")


class _Connection:
    """A caller's connection to one dispatcher."""

    def __init__(self, dispatcher: DispatcherEndpoint):
        self.dispatcher = dispatcher
        self._http = http.client.HTTPConnection(dispatcher.address, timeout=EAGER_TIMEOUT_S)
        self._opened_s = 0.0

    def connect(self) -> None:
        if self._http.sock is None:
            self._http.connect()
            self._opened_s = time.monotonic()

    def owes_answer(self, sent_s: float) -> bool:
        """Return whether no fault affected the process since, and it was not replaced.

        :param sent_s: time at which the request was sent
        """
        process = self.dispatcher.process
        return process.unaffected_since_s < sent_s and process.started_s < self._opened_s

    def send(self, job: Job, share: float = 1.0) -> None:
        """Send a request.

        :param share: share of the body to send
        """
        self._http.putrequest("POST", PREFIX + job.job_id, skip_host=True)
        self._http.putheader("Host", HOST)
        self._http.putheader("Deadline-Ms", str(DEADLINE_MS))
        self._http.putheader("Content-Length", str(len(job.body)))
        self._http.endheaders(job.body[: round(len(job.body) * share)])

    def read(self) -> tuple[int, str]:
        reply = self._http.getresponse()
        return reply.status, json.loads(reply.read()).get("state", "")

    def close(self, resets: bool = False) -> None:
        if resets and self._http.sock is not None:
            self._http.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._http.close()


class EagerCallers:
    """Callers that do everything the platform permits, each with a behavior drawn for its job.

    A missing response is reported as a violation if no fault affected the dispatcher.
    """

    def __init__(
        self,
        dispatchers: list[DispatcherEndpoint],
        checker: GuaranteeChecker,
        seed: int,
        longest_ms: int = LONGEST_RUN_MS,
        is_restless: bool = False,
    ):
        """Take the dispatchers to call.

        :param seed: determines the behavior of the callers
        :param longest_ms: about how long tasks run at most, in milliseconds
        :param is_restless: whether many callers hang up and are back at another dispatcher
        """
        self._longest_ms = longest_ms
        self._dispatchers = dispatchers
        self._checker = checker
        self._seed = seed
        self._answers: dict[str, list[tuple[int, str]]] = {}
        self._behaviors: tuple[tuple[Callable[[Job, random.Random], None], int], ...] = (
            (self._wait_for_answer, 25),
            (self._retry_later, 15),
            (self._disconnect_repeatedly, 30),
            (self._call_two_dispatchers, 15),
            (self._send_duplicates, 15),
        )
        if is_restless:
            self._behaviors += ((self._return_elsewhere, RESTLESS_WEIGHT),)

    def call(self, job_id: str, number: int) -> Outcome:
        """Hand one job in; see :class:`Callers`."""
        rng = random.Random(f"{self._seed}/{number}")
        behaviors, weights = zip(*self._behaviors, strict=True)
        job = make_job(job_id, number, self._longest_ms)
        rng.choices(behaviors, weights)[0](job, rng)
        return self._make_outcome(job)

    def keep_calling(self, number: int, until_s: float) -> list[Outcome]:
        """Submit one job after the other over one connection, replacing it when it fails.

        :param number: number of the caller, which determines its jobs
        :param until_s: monotonic time after which no new job is submitted
        """
        rng = random.Random(f"{self._seed}/kept {number}")
        connection = _Connection(rng.choice(self._dispatchers))
        outcomes = []
        while time.monotonic() < until_s:
            job = make_job(f"{rng.getrandbits(64):016x}", rng.randrange(1_000), self._longest_ms)
            retry_until_s = time.monotonic() + RETRY_LIMIT_S
            while self._try(connection, job) in RETRIED and time.monotonic() < retry_until_s:
                if self._answers[job.job_id][-1][0] == UNANSWERED:
                    connection = _Connection(rng.choice(self._dispatchers))
                eventlet.sleep(rng.uniform(0.0, MAX_RETRY_PAUSE_S))
            outcome = self._make_outcome(job)
            outcomes.append(outcome)
            if outcome.refused:
                eventlet.sleep(REFUSAL_PAUSE_S)
        connection.close()
        return outcomes

    def _make_outcome(self, job: Job) -> Outcome:
        answers = self._answers.pop(job.job_id)
        awaited = [answer for answer in answers if answer[0] != DISCONNECTED]
        return Outcome(
            job.job_id,
            job.tasks,
            (200, "succeeded") in answers,
            all(status in REFUSED for status, _ in answers),
            any(status != UNANSWERED for status, _ in awaited),
        )

    def _draw_dispatcher(self, rng: random.Random) -> DispatcherEndpoint:
        return rng.choice(self._dispatchers)

    def _wait_for_answer(
        self, job: Job, rng: random.Random, dispatcher: DispatcherEndpoint | None = None
    ) -> None:
        """Wait for the response, and retry at once if there is none or it is not final."""
        dispatcher = dispatcher or self._draw_dispatcher(rng)
        retry_until_s = time.monotonic() + RETRY_LIMIT_S
        while self._try_once(dispatcher, job) in RETRIED and time.monotonic() < retry_until_s:
            dispatcher = self._draw_dispatcher(rng)
            eventlet.sleep(rng.uniform(0.0, MAX_RETRY_PAUSE_S))

    def _retry_later(self, job: Job, rng: random.Random) -> None:
        for _ in range(TRIES):
            if self._try_once(self._draw_dispatcher(rng), job) not in RETRIED:
                return
            eventlet.sleep(RESEND_S)

    def _disconnect_repeatedly(self, job: Job, rng: random.Random) -> None:
        """Disconnect a few times in the middle of a request, then wait for the response."""
        dispatcher = self._draw_dispatcher(rng)
        for _ in range(rng.randint(1, 3)):
            disconnect_after_s = rng.choice(
                (0.0, rng.uniform(0.0, MAX_WAIT_BEFORE_DISCONNECT_S), MAX_WAIT_BEFORE_DISCONNECT_S)
            )
            share = rng.choice((1.0, 1.0, 1.0, 1.0, 1.0, 0.5))
            connection = _Connection(dispatcher)
            status = self._try(connection, job, disconnect_after_s, share)
            connection.close(resets=rng.random() < 0.5)
            if status not in (DISCONNECTED, *RETRIED):
                return
            eventlet.sleep(rng.choice((0.0, rng.uniform(0.0, RECONNECT_S))))
            dispatcher = rng.choice((dispatcher, self._draw_dispatcher(rng)))
        self._wait_for_answer(job, rng, dispatcher)

    def _return_elsewhere(self, job: Job, rng: random.Random) -> None:
        """Hang up a few times, each time to be back at another dispatcher, then wait."""
        dispatcher = self._draw_dispatcher(rng)
        for _ in range(rng.randint(*HANG_UPS)):
            connection = _Connection(dispatcher)
            status = self._try(connection, job, rng.uniform(*HANG_UP_S))
            connection.close(resets=rng.random() < 0.5)
            if status not in (DISCONNECTED, *RETRIED):
                return
            eventlet.sleep(rng.uniform(0.0, MAX_AWAY_S))
            others = [other for other in self._dispatchers if other is not dispatcher]
            dispatcher = rng.choice(others)
        self._wait_for_answer(job, rng, dispatcher)

    def _call_two_dispatchers(self, job: Job, rng: random.Random) -> None:
        """Submit the job to two dispatchers at the same time and wait for both."""
        pool = eventlet.GreenPool()
        for place, dispatcher in enumerate(rng.sample(self._dispatchers, 2)):
            own_random = random.Random(f"{self._seed}/{job.job_id}/{place}")
            pool.spawn_n(self._wait_for_answer, job, own_random, dispatcher)
        pool.waitall()

    def _send_duplicates(self, job: Job, rng: random.Random) -> None:
        """Send duplicates of the request at random times, before and after the response."""
        pool = eventlet.GreenPool()
        for _ in range(rng.randint(1, 3)):
            after_s, dispatcher = (
                rng.uniform(0.0, MAX_DUPLICATE_DELAY_S),
                self._draw_dispatcher(rng),
            )
            pool.spawn_n(self._try_after, after_s, dispatcher, job)
        self._wait_for_answer(job, rng)
        pool.waitall()

    def _try_after(self, after_s: float, dispatcher: DispatcherEndpoint, job: Job) -> None:
        eventlet.sleep(after_s)
        self._try_once(dispatcher, job)

    def _try_once(self, dispatcher: DispatcherEndpoint, job: Job) -> int:
        connection = _Connection(dispatcher)
        status = self._try(connection, job)
        connection.close()
        return status

    def _try(
        self,
        connection: _Connection,
        job: Job,
        disconnect_after_s: float | None = None,
        share: float = 1.0,
    ) -> int:
        """Send one try, record its result and return its status.

        :param disconnect_after_s: time until the caller disconnects; None to wait for the response
        :param share: share of the body to send
        """
        log, name = self._checker.log, connection.dispatcher.process.name
        log.write("job sent", job=job.job_id, dispatcher=name, share=share)
        answer = self._exchange(connection, job, disconnect_after_s, share)
        status, state = answer
        self._answers.setdefault(job.job_id, []).append(answer)
        log.write("try ended", job=job.job_id, dispatcher=name, status=status, state=state)
        return status

    def _exchange(
        self, connection: _Connection, job: Job, disconnect_after_s: float | None, share: float
    ) -> tuple[int, str]:
        try:
            connection.connect()
        except OSError:
            return UNANSWERED, ""
        began_s = time.monotonic()
        try:
            connection.send(job, share)
            if disconnect_after_s is None:
                return connection.read()
            with eventlet.Timeout(disconnect_after_s, False):
                return connection.read()
            return DISCONNECTED, ""
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            if connection.owes_answer(began_s):
                name, waited_s = connection.dispatcher.process.name, time.monotonic() - began_s
                text = f"{job.job_id} was not answered by {name} after {waited_s:.2f} s: {error!r}"
                self._checker.report_violation(text)
            return UNANSWERED, ""
