"""Callers for randomized fault tests: they hang up, send their jobs again, and check the answers.

Such a test, called a storm, draws faults and requests at random from a seed.
"""

import eventlet

from geraniumspool.job_specs import JobOutcome
from tests.dispatch_world import make_spec

# Callers that hung up, or lost their dispatcher, send the job again after a time between these.
MIN_RESEND_MS = 0
MAX_RESEND_MS = 200
WAIT_MS = 5_000.0
# A caller that finds no running dispatcher tries again after this.
NO_DISPATCHER_RETRY_MS = 50
# Maximum number of times that a caller sends one job.
MAX_ATTEMPTS = 6
# Once the faults have ended, callers send jobs again for this long only, so that all of them are
# answered at the end.
RESEND_PERIOD_MS = 2_000
# Once the faults have ended, a new job must succeed before a worker has had room for it for this
# long in total.
MAX_MS_WITH_ROOM = 3_000
# Jobs whose callers left are sent again this long after the faults ended, when the rest of the
# load is over.
RESEND_LEFT_MS = 5_500
# At most this many of them are sent again.
MAX_RESENT_LEFT = 2
TASK_CPU = 3_000


class Attempt:
    """One request with a job, sent to one dispatcher.

    :ivar spec: the job
    :ivar dispatcher: the dispatcher
    :ivar answer: the pending or received answer, None until the dispatcher has read the request
    :ivar has_left: whether the caller has hung up, or lost the dispatcher
    :ivar is_hang_up_known: whether the dispatcher was told that the caller has hung up
    :ivar is_answer_handled: whether the caller has acted on the answer
    """

    def __init__(self, spec, dispatcher):
        """Record a request that is being sent.

        :param dispatcher: the dispatcher
        """
        self.spec = spec
        self.dispatcher = dispatcher
        self.answer = None
        self.has_left = False
        self.is_hang_up_known = False
        self.is_answer_handled = False

    @property
    def outcome(self):
        """Return the outcome in the answer, None before the answer."""
        return self.answer.outcome if self.answer else None

    @property
    def is_open(self):
        """Whether the caller waits for the answer."""
        return not self.has_left and self.outcome is None


class Probe:
    """A job sent after the faults have ended, which must succeed soon.

    :ivar spec: the job
    :ivar with_room_ms: for how long in total a worker has had room for one of its tasks
    :ivar attempts: requests with it, in the order of sending
    """

    def __init__(self, spec):
        """Start without any request."""
        self.spec = spec
        self.with_room_ms = 0.0
        self.attempts = []

    @property
    def has_succeeded(self):
        """Whether a request was answered with success."""
        return any(attempt.outcome is JobOutcome.SUCCEEDED for attempt in self.attempts)


class ResendingCallers:
    """All callers of one storm.

    :ivar storm: the test, with its world of dispatchers and workers
    :ivar attempts: requests by job id, in the order of sending
    """

    def __init__(self, storm):
        """Start without any request."""
        self.storm = storm
        self.random = storm.draw
        self.attempts = {}
        self._scheduled = []
        self._probes = {}
        self._faults_ended_ms = None

    @property
    def _now(self):
        return self.storm.world.clock.now()

    def submit(self, spec):
        """Send a job to a random running dispatcher; a frozen one reads it after thawing."""
        dispatchers = [
            dispatcher
            for dispatcher in self.storm.world.dispatchers
            if self.storm.is_up(dispatcher)
        ]
        if not dispatchers:
            self._schedule(NO_DISPATCHER_RETRY_MS, lambda: self.submit(spec))
            return
        self._send(spec, self.random.choice(dispatchers))

    def submit_twice(self, spec):
        """Send one job to two dispatchers at the same time."""
        dispatchers = [
            dispatcher
            for dispatcher in self.storm.world.dispatchers
            if self.storm.is_up(dispatcher)
        ]
        for dispatcher in self.random.sample(dispatchers, min(2, len(dispatchers))):
            self._send(spec, dispatcher)

    def hang_up(self):
        """Let a random waiting caller hang up and send its job again."""
        waiting = [attempt for attempt in self._list_attempts() if attempt.is_open]
        if not waiting:
            return
        attempt = self.random.choice(waiting)
        self.storm.note(f"{attempt.spec.job_id} hung up at {attempt.dispatcher.address}")
        self._hang_up(attempt)
        self._send_again_later(attempt)

    def resend_after_crash(self, dispatcher):
        """Let all callers of a dispatcher that has died send their jobs again."""
        for attempt in self._list_attempts():
            if attempt.dispatcher is dispatcher and attempt.is_open:
                attempt.has_left = True
                self._send_again_later(attempt)

    def leave_frozen(self, dispatcher):
        """Let about half of the callers of a frozen dispatcher leave and send their jobs again."""
        for attempt in self._list_attempts():
            if attempt.dispatcher is dispatcher and attempt.is_open and self.random.random() < 0.5:
                attempt.has_left = True
                self._send_again_later(attempt)

    def resume(self, dispatcher):
        """Let a resumed dispatcher read the requests sent to it, and that callers have hung up."""
        for attempt in self._list_attempts():
            if attempt.dispatcher is not dispatcher:
                continue
            if attempt.answer is None:
                attempt.answer = dispatcher.submit(attempt.spec, timeout_ms=WAIT_MS)
            if attempt.has_left:
                self._schedule(0, lambda attempt=attempt: self._notify_hang_up(attempt))

    def end_faults(self):
        """Note that the faults have ended, and send a new job to each dispatcher."""
        self._faults_ended_ms = self._now
        for number, dispatcher in enumerate(self.storm.world.dispatchers):
            self._send_probe(make_spec(f"fresh{number}", 1, TASK_CPU, 60), dispatcher)
        self._schedule(RESEND_LEFT_MS, self._resend_left_jobs)

    def _resend_left_jobs(self):
        """Send jobs again whose callers had left: no claim on them may be held forever."""
        crashing = self.storm.crashing
        left_specs = [
            attempt.spec
            for attempt in self._list_attempts()
            if attempt.has_left and attempt.spec.job_id not in crashing
        ]
        for spec in list(dict.fromkeys(left_specs))[-MAX_RESENT_LEFT:]:
            self._send_probe(spec, self.random.choice(self.storm.world.dispatchers))

    def _send_probe(self, spec, dispatcher):
        self._probes[spec.job_id] = Probe(spec)
        self._send(spec, dispatcher)

    def step(self):
        """Send the jobs that are due, and let callers act on their answers."""
        now = self._now
        for scheduled in [scheduled for scheduled in self._scheduled if scheduled[0] <= now]:
            self._scheduled.remove(scheduled)
            scheduled[1]()
        for attempt in self._list_attempts():
            if attempt.outcome is not None and not attempt.is_answer_handled:
                attempt.is_answer_handled = True
                if not attempt.has_left:
                    self._handle_answer(attempt)
        if any(self._has_room(worker.minion) for worker in self.storm.world.workers):
            for probe in self._probes.values():
                if not probe.has_succeeded:
                    probe.with_room_ms += self.storm.step_ms

    @staticmethod
    def _has_room(minion):
        used = TASK_CPU * len(minion.running)
        return not minion.is_down and minion.incarnation.resources.cpu - used >= TASK_CPU

    def check(self):
        """Check all answers, and add violations to the storm's list."""
        for name, attempts in self.attempts.items():
            if name not in self._probes and any(attempt.is_open for attempt in attempts):
                self.storm.violations.append(f"{name} was never answered")
            outcomes = {attempt.outcome for attempt in attempts}
            if JobOutcome.SUCCEEDED in outcomes:
                self.storm.check_success(name, attempts[0].spec)
            if outcomes == {JobOutcome.REFUSED}:
                self.storm.check_refusal(name, attempts[0].spec)
        for name, probe in self._probes.items():
            if not probe.has_succeeded or probe.with_room_ms > MAX_MS_WITH_ROOM:
                answers = [attempt.answer and attempt.answer.result for attempt in probe.attempts]
                text = f"not served within {probe.with_room_ms} ms with room: {answers}"
                self.storm.violations.append(f"{name} {text}")

    def _list_attempts(self):
        return [attempt for attempts in self.attempts.values() for attempt in attempts]

    def _send(self, spec, dispatcher):
        attempt = Attempt(spec, dispatcher)
        self.attempts.setdefault(spec.job_id, []).append(attempt)
        if spec.job_id in self._probes:
            self._probes[spec.job_id].attempts.append(attempt)
        if not self.storm.is_paused(dispatcher):
            attempt.answer = dispatcher.submit(spec, timeout_ms=WAIT_MS)

    def _hang_up(self, attempt):
        attempt.has_left = True
        if not self.storm.is_paused(attempt.dispatcher):
            self._notify_hang_up(attempt)

    def _notify_hang_up(self, attempt):
        """Tell a dispatcher that a caller has hung up, unless it is stopped or frozen."""
        is_awake = self.storm.is_up(attempt.dispatcher) and not self.storm.is_paused(
            attempt.dispatcher
        )
        if not is_awake or attempt.is_hang_up_known:
            return
        attempt.is_hang_up_known = True
        if attempt.answer.job and attempt.outcome is None:
            eventlet.spawn_n(attempt.dispatcher.router.remove_waiter, attempt.answer.job)

    def _handle_answer(self, attempt):
        """Let a caller send its job again if it was refused or left unfinished."""
        if attempt.outcome is JobOutcome.UNFINISHED:
            self._send_again_later(attempt, 0)
        elif attempt.outcome is JobOutcome.REFUSED:
            self._send_again_later(attempt, attempt.answer.result.retry_after_ms)

    def _send_again_later(self, attempt, delay_ms=None):
        spec = attempt.spec
        if delay_ms is None:
            delay_ms = self.random.uniform(MIN_RESEND_MS, MAX_RESEND_MS)
        self._schedule(delay_ms, lambda: self._send_again_if_allowed(spec))

    def _send_again_if_allowed(self, spec):
        if spec.job_id not in self._probes:
            is_last = len(self.attempts[spec.job_id]) >= MAX_ATTEMPTS
            if (
                is_last
                or self._faults_ended_ms
                and self._now > self._faults_ended_ms + RESEND_PERIOD_MS
            ):
                return
        self.submit(spec)

    def _schedule(self, delay_ms, action):
        self._scheduled.append((self._now + delay_ms, action))
