"""Runs offered tasks on the minion beside this process, each offer at most once."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from geraniumspool.contracts import Announcement, Clock, Counters, Messenger, MinionClient
from geraniumspool.errors import NotStarted, TaskFailed, TaskUnknown
from geraniumspool.health import Health
from geraniumspool.ledger import DONE, LOST, QUEUED, REFUSED, RUNNING, HomeOffers, OfferState
from geraniumspool.messages import (
    Load,
    Offer,
    OfferedTask,
    Peer,
    Refusal,
    Results,
    Revoke,
    Revoked,
    TaskResult,
)
from geraniumspool.placement import count_reserved_slots

REFUSED_STALE = "offer_stale"
REFUSED_NO_MINION = "minion_absent"
REFUSED_LEAVING = "worker_leaving"
REFUSED_EVACUATED = "domain_evacuated"
REFUSED_EJECTED = "worker_ejected"
REFUSED_BUSY = "worker_busy"

# Longest time that a result is held to be sent together with others.
RESULT_HOLD_MS = 1_000.0
# How long slots stay reserved after the last task of a narrow job arrived.
RESERVATION_MS = 2_000.0
# Time for which other tasks have been queued without a break after which no slot
# is reserved.
OVERLOAD_MS = 5_000.0
# Most tasks of narrow jobs that start in a row while others wait.
MAX_NARROW_STREAK = 4
# Share of the slots: if a home has more tasks and no more than this many are queued
# here, its results are sent at once, so that the next offer arrives in time.
LOW_QUEUE_SHARE = 0.25
DEFAULT_QUEUE_PER_SLOT = 16.0
# Most bytes of unsettled results; the oldest are dropped first.
MAX_KEPT_RESULT_BYTES = 16 * 1024 * 1024
# Most homes remembered as gone, so that their late offers are refused.
MAX_GONE_HOMES = 20_000
# Interval at which the running tasks are checked for lateness.
LATENESS_CHECK_MS = 50.0


class _Run(NamedTuple):
    """A running task.

    :param started_ms: time of its start
    :param estimate_ms: estimated run time
    :param hazard: cumulative hazard at the latest check, see :class:`SlownessDetector`
    """

    started_ms: float
    estimate_ms: float
    hazard: float = 0.0

    def left_ms(self, now: float) -> float:
        """Return the predicted remaining run time, in milliseconds.

        A task beyond its estimate is predicted to run as long again as it has
        run so far.
        """
        elapsed_ms = now - self.started_ms
        remainder_ms = self.estimate_ms - elapsed_ms
        return remainder_ms if remainder_ms > 0 else elapsed_ms


class Runner:
    """Queues and runs tasks of all homes on one minion, within its slots.

    :ivar minion: the minion's latest announcement, or None without a minion
    :ivar leaving: whether new offers are refused because the process is leaving
    :ivar is_evacuated: whether the failure domain of this process is evacuated
    :ivar on_change: called when the announcement or the acceptance of offers changes
    :ivar measure_backlog: returns the total estimated run time, in
        milliseconds, of the tasks in the backlog of this process's home
    """

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        client: MinionClient,
        counters: Counters,
        health: Health,
        queue_per_slot: float = DEFAULT_QUEUE_PER_SLOT,
        result_hold_ms: float = RESULT_HOLD_MS,
    ):
        """Start without a minion.

        :param client: calls the minion
        :param health: decides whether the minion is ejected
        :param queue_per_slot: most tasks that may wait here for each slot
        :param result_hold_ms: longest time that a result is held to be sent
            together with others
        """
        self._messenger = messenger
        self._clock = clock
        self._client = client
        self._counters = counters
        self._health = health
        self._queue_per_slot = queue_per_slot
        self._result_hold_ms = result_hold_ms
        self._home_offers: dict[Peer, HomeOffers] = {}
        self._gone_homes: OrderedDict[Peer, None] = OrderedDict()
        # Heaps of queued tasks by ``any_slot``: those of narrow jobs, and all others.
        self._queues: dict[bool, list[tuple[float, int, OfferState]]] = {True: [], False: []}
        self._order = itertools.count()
        self._queued = 0
        self._queued_ms = 0.0
        self._queued_urgent = 0
        # When the latest task of a narrow job arrived, and when no other task was queued.
        self._last_urgent_ms = -RESERVATION_MS
        self._other_queue_empty_ms = clock.now()
        self._urgent_streak = 0
        self._running: dict[str, _Run] = {}
        self._checked_ms: float | None = None
        self._kept_bytes = 0
        self._kept_results: OrderedDict[int, OfferState] = OrderedDict()
        self.minion: Announcement | None = None
        self.leaving = False
        self.is_evacuated = False
        self.on_change: Callable[[], None] = lambda: None
        self.measure_backlog: Callable[[], float] = lambda: 0.0

    @property
    def slots(self) -> int:
        """Return the number of tasks that the minion runs at once, 0 without a minion."""
        if self.minion is None:
            return 0
        return min(self.minion.slots, self.minion.connections)

    @property
    def is_idle(self) -> bool:
        """Return whether no task is running or waiting here."""
        return not self._running and self._queued == 0

    @property
    def accepts(self) -> bool:
        """Return whether offers are accepted at all."""
        return self.minion is not None and not (self.leaving or self.is_evacuated)

    def load(self) -> Load:
        """Return the present load and free capacity of this runner."""
        slots = self._count_usable_slots()
        free = max(0, slots - len(self._running) - self._queued)
        return Load(
            slots,
            free,
            self._queued,
            self.predict_wait(),
            self._queued_urgent,
            self._predict_next_slot(),
            self.measure_backlog(),
            self._health.slowness.lateness,
        )

    def _count_usable_slots(self) -> int:
        """Return the slots to report in the load: for an ejected minion one if a probe is due."""
        if not self.accepts:
            return 0
        if self._health.is_ejected:
            return 1 if self._health.is_probe_due and self.is_idle else 0
        return self.slots

    def predict_wait(self) -> float:
        """Return the predicted wait of a task that arrives now, in milliseconds."""
        slots = self.slots
        if slots == 0:
            return 0.0
        if len(self._running) + self._queued < slots:
            return 0.0
        now = self._clock.now()
        left_ms = sum(run.left_ms(now) for run in self._running.values())
        return (left_ms + self._queued_ms) / slots

    def _predict_next_slot(self) -> float:
        if len(self._running) < self.slots or not self._running:
            return 0.0
        now = self._clock.now()
        return min(run.left_ms(now) for run in self._running.values())

    def set_minion(self, minion: Announcement) -> None:
        """Handle an announcement of the minion; offers are accepted again if it had left."""
        changed = minion != self.minion or self.leaving
        self.minion = minion
        self.leaving = False
        if changed:
            self.on_change()
            self._fill_slots()

    def leave(self) -> None:
        """Refuse new offers from now on, and return the queued tasks to their homes."""
        if self.leaving:
            return
        self.leaving = True
        self._return_queued_tasks(REFUSED_LEAVING)
        for home_offers in self._home_offers.values():
            self._flush(home_offers)
        self.on_change()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Set whether the failure domain of this process is evacuated.

        While it is, no task starts and queued ones are returned to their homes;
        running ones continue.
        """
        self.is_evacuated = is_evacuated
        if is_evacuated:
            self._return_queued_tasks(REFUSED_EVACUATED)
        self.on_change()

    def _return_queued_tasks(self, code: str) -> None:
        for queue in self._queues.values():
            for _, _, offer_state in queue:
                if offer_state.state == QUEUED:
                    self._return_task(offer_state, code)
            queue.clear()
        for home_offers in self._home_offers.values():
            if home_offers.unsent_refusals:
                self._flush(home_offers)

    def resend_results(self) -> None:
        """Send every unsettled result again, as the process is about to leave."""
        for home_offers in self._home_offers.values():
            done = [
                offer_state.result
                for offer_state in home_offers.offer_states.values()
                if offer_state.state == DONE
            ]
            home_offers.unsent_results = [result for result in done if result is not None]
            self._flush(home_offers)

    def handle_offer(self, sender: Peer, offer: Offer) -> None:
        """Queue or refuse each task of an offer, and start those that get a slot."""
        home_offers = self._get_home_offers(sender)
        self._apply_floor(home_offers, offer.floor)
        home_offers.home_has_waiting = offer.more
        for task in offer.tasks:
            self._accept_task(home_offers, task)
        self._fill_slots()
        if home_offers.unsent_refusals:
            self._flush(home_offers)

    def handle_revoke(self, sender: Peer, revoke: Revoke) -> None:
        """Revoke offers that have not started, and reply with the state of each one.

        Running tasks are stopped if the message asks for it.
        """
        home_offers = self._get_home_offers(sender)
        self._apply_floor(home_offers, revoke.floor)
        not_started, started, lost = [], [], []
        for offer in revoke.offers:
            state = self._revoke_one(home_offers, offer, revoke.stop)
            if state == REFUSED:
                not_started.append(offer)
            elif state == RUNNING:
                started.append(offer)
            elif state == LOST:
                lost.append(offer)
        reply = Revoked(tuple(not_started), tuple(started), tuple(lost), self.load())
        self._messenger.send(sender, reply)
        self._fill_slots()
        if home_offers.unsent_results:
            self._flush(home_offers)

    def forget_home(self, home: Peer) -> None:
        """Drop the queued tasks and kept results of a home that is gone; running tasks continue."""
        self._gone_homes[home] = None
        while len(self._gone_homes) > MAX_GONE_HOMES:
            self._gone_homes.popitem(last=False)
        home_offers = self._home_offers.pop(home, None)
        if home_offers is None:
            return
        for offer_state in home_offers.offer_states.values():
            if offer_state.state == QUEUED:
                self._dequeue(offer_state, REFUSED)
        self._apply_floor(home_offers, home_offers.highest_offer() + 1)
        self._fill_slots()

    def _get_home_offers(self, home: Peer) -> HomeOffers:
        home_offers = self._home_offers.get(home)
        if home_offers is None:
            home_offers = HomeOffers(home)
            self._home_offers[home] = home_offers
        return home_offers

    def _predict_task_wait(self, task: OfferedTask) -> float:
        """Return the predicted wait of a task behind those due before it, in milliseconds."""
        usable = self.slots if task.any_slot else self.slots - self._count_reserved_slots()
        if len(self._running) + self._queued < usable:
            return 0.0
        due = self._clock.now() + task.rank
        queues = self._queues.values()
        ahead_ms = [
            offer_state.task.run_ms
            for queue in queues
            for entry_due, _, offer_state in queue
            if entry_due <= due and offer_state.state == QUEUED
        ]
        return self._predict_next_slot() + sum(ahead_ms) / self.slots

    def _apply_floor(self, home_offers: HomeOffers, floor: int) -> None:
        """Drop queued offers and finished ones below a floor, which the home has settled."""
        for offer_state in home_offers.queued_below(floor):
            self._dequeue(offer_state, REFUSED)
            home_offers.subtract_open_task(offer_state.task)
        for offer_state in home_offers.raise_floor(floor):
            self._kept_results.pop(id(offer_state), None)
            if offer_state.result is not None:
                self._kept_bytes -= len(offer_state.result.body)

    def _accept_task(self, home_offers: HomeOffers, task: OfferedTask) -> None:
        if task.offer in home_offers.offer_states:
            self._counters.add("offers_repeated")
            return
        code = self._reason_to_refuse(home_offers, task)
        if code:
            if code != REFUSED_STALE:
                home_offers.offer_states[task.offer] = OfferState(home_offers, None, REFUSED)
            home_offers.unsent_refusals.append(Refusal(task.offer, code))
            self._counters.add("offers_refused", code=code)
            return
        offer_state = OfferState(home_offers, task, QUEUED)
        home_offers.offer_states[task.offer] = offer_state
        home_offers.open_tasks[task.job] += 1
        home_offers.queued += 1
        self._queued += 1
        self._queued_ms += task.run_ms
        if task.any_slot:
            self._queued_urgent += 1
            self._last_urgent_ms = self._clock.now()
        due = self._clock.now() + task.rank
        heapq.heappush(self._queues[task.any_slot], (due, next(self._order), offer_state))

    def _reason_to_refuse(self, home_offers: HomeOffers, task: OfferedTask) -> str:
        """Return the reason code with which to refuse a task, empty to accept it."""
        if task.offer < home_offers.floor or home_offers.home in self._gone_homes:
            return REFUSED_STALE
        if self.minion is None:
            return REFUSED_NO_MINION
        if self.leaving:
            return REFUSED_LEAVING
        if self.is_evacuated:
            return REFUSED_EVACUATED
        if not self._health.admits(len(self._running) + self._queued):
            return REFUSED_EJECTED
        capacity = self.slots * (1 + self._queue_per_slot)
        if len(self._running) + self._queued >= capacity:
            return REFUSED_BUSY
        if 0 < task.patience_ms < self._predict_task_wait(task):
            return REFUSED_BUSY
        return ""

    def _fill_slots(self) -> None:
        while (offer_state := self._pop_next()) is not None:
            self._dequeue(offer_state, RUNNING)
            self._start(offer_state)

    def _pop_next(self) -> OfferState | None:
        """Remove and return the queued task to start now, or None."""
        running = len(self._running)
        if running >= (1 if self._health.is_ejected else self.slots):
            return None
        eligible = [self._queues[True]]
        if running < self.slots - self._count_reserved_slots():
            eligible.append(self._queues[False])
        for queue in self._queues.values():
            while queue and queue[0][2].state != QUEUED:
                heapq.heappop(queue)
        if not self._queues[False]:
            self._other_queue_empty_ms = self._clock.now()
        ready = [queue for queue in eligible if queue]
        if not ready:
            return None
        return heapq.heappop(self._choose_queue(ready))[2]

    def _choose_queue(self, ready: list[list]) -> list:
        """Return the queue to start the next task from.

        That is the first one, but the second one after ``MAX_NARROW_STREAK`` tasks of
        narrow jobs in a row, so that other jobs are not starved.

        :param ready: queues that are not empty, that of narrow jobs first
        """
        chosen = ready[0]
        if len(ready) > 1 and self._urgent_streak >= MAX_NARROW_STREAK:
            chosen = ready[1]
        is_urgent = chosen is self._queues[True]
        self._urgent_streak = self._urgent_streak + 1 if is_urgent else 0
        return chosen

    def _count_reserved_slots(self) -> int:
        """Return how many slots are reserved for narrow jobs now.

        None are reserved while no narrow jobs arrive, nor after other tasks
        have been queued without a break for ``OVERLOAD_MS``: that is overload
        rather than a burst, and every slot is needed.
        """
        now = self._clock.now()
        if (
            now - self._last_urgent_ms > RESERVATION_MS
            or now - self._other_queue_empty_ms > OVERLOAD_MS
        ):
            return 0
        return count_reserved_slots(self.slots)

    def _start(self, offer_state: OfferState) -> None:
        task_id = make_task_id(offer_state.task)
        self._running[task_id] = _Run(self._clock.now(), offer_state.task.run_ms)
        self._counters.add("tasks_started")
        if self._checked_ms is None:
            self._checked_ms = self._clock.now()
            self._clock.after(LATENESS_CHECK_MS, self._check_running)
        eventlet.spawn_n(self._run, offer_state, task_id)

    def _run(self, offer_state: OfferState, task_id: str) -> None:
        task = offer_state.task
        started = self._clock.now()
        ok, body, code = False, b"", ""
        try:
            body = self._client.run(self.minion, task_id, task.payload, task.limit_ms)
            ok = True
        except NotStarted as error:
            code = error.code
        except (TaskFailed, TaskUnknown) as error:
            code = error.code
            body = error.detail.encode()
        finally:
            run = self._running.pop(task_id, None)
        run_ms = self._clock.now() - started
        if ok and not offer_state.is_stopped:
            self._health.record_result(task.run_ms, run_ms)
        else:
            self._health.slowness.discard_hazard(run.hazard if run else 0.0)
        if not ok and not offer_state.is_stopped:
            self._health.record_outcome(ok, run_ms, code)
        self._return_tasks_if_ejected()
        if code == NotStarted.code:
            self._return_task(offer_state, code)
            self._flush(offer_state.home_offers)
        else:
            self._finish(offer_state, TaskResult(task.offer, ok, body, code, run_ms))
        self._fill_slots()

    def _check_running(self) -> None:
        """Check the running tasks for lateness, repeatedly while any task runs.

        After a pause of this process a check is skipped: results may have
        arrived meanwhile that are not processed yet.
        """
        now = self._clock.now()
        has_paused = now - self._checked_ms > 2 * LATENESS_CHECK_MS
        self._checked_ms = now if self._running else None
        if not self._running:
            return
        self._clock.after(LATENESS_CHECK_MS, self._check_running)
        if not has_paused:
            self._update_lateness(now)

    def _update_lateness(self, now: float) -> None:
        pace = self._health.slowness
        for task_id, run in self._running.items():
            hazard = pace.hazard(run.estimate_ms, now - run.started_ms)
            if hazard > run.hazard:
                pace.add_hazard(hazard - run.hazard)
                self._running[task_id] = run._replace(hazard=hazard)
        self._health.eject_if_slow()
        self._return_tasks_if_ejected()

    def _return_tasks_if_ejected(self) -> None:
        if self._health.is_ejected and self._queued:
            self._return_queued_tasks(REFUSED_EJECTED)

    def _finish(self, offer_state: OfferState, result: TaskResult) -> None:
        home_offers = offer_state.home_offers
        offer_state.state = DONE
        offer_state.result = result
        self._keep_result(offer_state)
        home_offers.subtract_open_task(offer_state.task)
        home_offers.unsent_results.append(result)
        if self._should_send_now(home_offers, offer_state.task, result):
            self._flush(home_offers)
        elif home_offers.hold_timer is None:
            hold_ms = self._result_hold_ms
            home_offers.hold_timer = self._clock.after(hold_ms, lambda: self._flush(home_offers))

    def _should_send_now(
        self, home_offers: HomeOffers, task: OfferedTask, result: TaskResult
    ) -> bool:
        """Return whether to send a result at once instead of holding it to join others."""
        if home_offers.home == self._messenger.local_peer or not result.ok:
            return True
        if home_offers.open_tasks[task.job] <= 0:
            return True
        return home_offers.home_has_waiting and home_offers.queued <= self.slots * LOW_QUEUE_SHARE

    def _keep_result(self, offer_state: OfferState) -> None:
        self._kept_results[id(offer_state)] = offer_state
        self._kept_bytes += len(offer_state.result.body)
        while self._kept_bytes > MAX_KEPT_RESULT_BYTES and self._kept_results:
            _, oldest = self._kept_results.popitem(last=False)
            self._drop_result(oldest)

    def _drop_result(self, offer_state: OfferState) -> None:
        """Drop an unsettled result to free memory; its offer counts as lost."""
        offer = offer_state.task.offer
        if (
            offer_state.home_offers.offer_states.get(offer) is offer_state
            and offer_state.result is not None
        ):
            self._kept_bytes -= len(offer_state.result.body)
            offer_state.state = LOST
            offer_state.result = None

    def _return_task(self, offer_state: OfferState, code: str) -> None:
        """Mark an accepted task that has not started as refused, for the next message."""
        if offer_state.state == QUEUED:
            self._dequeue(offer_state, REFUSED)
        offer_state.state = REFUSED
        offer_state.home_offers.subtract_open_task(offer_state.task)
        offer_state.home_offers.unsent_refusals.append(Refusal(offer_state.task.offer, code))
        self._counters.add("offers_refused", code=code)

    def _dequeue(self, offer_state: OfferState, state: str) -> None:
        offer_state.state = state
        offer_state.home_offers.queued -= 1
        self._queued -= 1
        self._queued_urgent -= offer_state.task.any_slot
        self._queued_ms = max(0.0, self._queued_ms - offer_state.task.run_ms)

    def _revoke_one(self, home_offers: HomeOffers, offer: int, stop: bool) -> str:
        """Revoke one offer and return its state, empty if the home has settled it.

        An unknown offer is recorded as refused, so that it is not accepted if it
        arrives later.

        :param stop: whether to stop the task if it runs
        """
        if offer < home_offers.floor:
            return ""
        offer_state = home_offers.offer_states.get(offer)
        if offer_state is None and home_offers.home in self._gone_homes:
            return LOST
        if offer_state is None:
            home_offers.offer_states[offer] = OfferState(home_offers, None, REFUSED)
            return REFUSED
        if offer_state.state == QUEUED:
            self._dequeue(offer_state, REFUSED)
            home_offers.subtract_open_task(offer_state.task)
        elif offer_state.state == RUNNING and stop:
            offer_state.is_stopped = True
            eventlet.spawn_n(self._client.stop, self.minion, make_task_id(offer_state.task))
        elif offer_state.state == DONE and offer_state.result not in home_offers.unsent_results:
            home_offers.unsent_results.append(offer_state.result)
        return offer_state.state

    def _flush(self, home_offers: HomeOffers) -> None:
        if home_offers.hold_timer is not None:
            home_offers.hold_timer.cancel()
            home_offers.hold_timer = None
        if not home_offers.unsent_results and not home_offers.unsent_refusals:
            return
        results = Results(
            tuple(home_offers.unsent_results), tuple(home_offers.unsent_refusals), self.load()
        )
        home_offers.unsent_results.clear()
        home_offers.unsent_refusals.clear()
        home_offers.home_has_waiting = False
        self._messenger.send(home_offers.home, results)


def make_task_id(task: OfferedTask) -> str:
    """Return the id of a task at the minion, the same for every offer of the task."""
    return f"{task.job:x}.{task.index}"
