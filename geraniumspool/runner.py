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
from geraniumspool.ledger import DONE, LOST, QUEUED, REFUSED, RUNNING, Entry, Ledger
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
from geraniumspool.placement import count_reserved

REFUSED_STALE = "offer_stale"
REFUSED_NO_MINION = "minion_absent"
REFUSED_LEAVING = "worker_leaving"
REFUSED_EVACUATED = "domain_evacuated"
REFUSED_EJECTED = "worker_ejected"
REFUSED_BUSY = "worker_busy"

# Longest time that a result is held to be sent together with others.
RESULT_HOLD_MS = 1_000.0
# How long slots stay reserved after the last task of a narrow job arrived.
RESERVE_MS = 2_000.0
# Time for which other tasks have been queued without a break after which no slot
# is reserved.
OVERLOAD_MS = 5_000.0
# Most tasks of narrow jobs that start in a row while others wait.
MAX_STREAK = 4
# Share of the slots: if a home has more tasks and no more than this many are queued
# here, its results are sent at once, so that the next offer arrives in time.
LOW_WATER_SHARE = 0.25
DEFAULT_QUEUE_PER_SLOT = 16.0
# Most bytes of unsettled results; the oldest are dropped first.
KEPT_RESULT_BYTES = 16 * 1024 * 1024
# Most homes remembered as gone, so that their late offers are refused.
CLOSED_HOMES = 20_000
# Interval at which the running tasks are checked for lateness.
LOOK_MS = 50.0


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
        self._ledgers: dict[Peer, Ledger] = {}
        self._gone_homes: OrderedDict[Peer, None] = OrderedDict()
        # Heaps of queued tasks by ``any_slot``: those of narrow jobs, and all others.
        self._queues: dict[bool, list[tuple[float, int, Entry]]] = {True: [], False: []}
        self._order = itertools.count()
        self._queued = 0
        self._queued_ms = 0.0
        self._queued_urgent = 0
        # When the latest task of a narrow job arrived, and when no other task was queued.
        self._last_urgent_ms = -RESERVE_MS
        self._other_queue_empty_ms = clock.now()
        self._urgent_streak = 0
        self._running: dict[str, _Run] = {}
        self._checked_ms: float | None = None
        self._kept_bytes = 0
        self._kept_results: OrderedDict[int, Entry] = OrderedDict()
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

    def announce(self, minion: Announcement) -> None:
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
        for ledger in self._ledgers.values():
            self._flush(ledger)
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
            for _, _, entry in queue:
                if entry.state == QUEUED:
                    self._return_task(entry, code)
            queue.clear()
        for ledger in self._ledgers.values():
            if ledger.refused:
                self._flush(ledger)

    def repeat_results(self) -> None:
        """Send every unsettled result again, as the process is about to leave."""
        for ledger in self._ledgers.values():
            done = [entry.result for entry in ledger.entries.values() if entry.state == DONE]
            ledger.done = [result for result in done if result is not None]
            self._flush(ledger)

    def take_offer(self, sender: Peer, offer: Offer) -> None:
        """Queue or refuse each task of an offer, and start those that get a slot."""
        ledger = self._ledger(sender)
        self._apply_floor(ledger, offer.floor)
        ledger.more = offer.more
        for task in offer.tasks:
            self._take_task(ledger, task)
        self._fill_slots()
        if ledger.refused:
            self._flush(ledger)

    def take_revoke(self, sender: Peer, revoke: Revoke) -> None:
        """Revoke offers that have not started, and reply with the state of each one.

        Running tasks are stopped if the message asks for it.
        """
        ledger = self._ledger(sender)
        self._apply_floor(ledger, revoke.floor)
        not_started, started, lost = [], [], []
        for offer in revoke.offers:
            state = self._revoke_one(ledger, offer, revoke.stop)
            if state == REFUSED:
                not_started.append(offer)
            elif state == RUNNING:
                started.append(offer)
            elif state == LOST:
                lost.append(offer)
        reply = Revoked(tuple(not_started), tuple(started), tuple(lost), self.load())
        self._messenger.send(sender, reply)
        self._fill_slots()
        if ledger.done:
            self._flush(ledger)

    def forget_home(self, home: Peer) -> None:
        """Drop the queued tasks and kept results of a home that is gone; running tasks continue."""
        self._gone_homes[home] = None
        while len(self._gone_homes) > CLOSED_HOMES:
            self._gone_homes.popitem(last=False)
        ledger = self._ledgers.pop(home, None)
        if ledger is None:
            return
        for entry in ledger.entries.values():
            if entry.state == QUEUED:
                self._dequeue(entry, REFUSED)
        self._apply_floor(ledger, ledger.highest() + 1)
        self._fill_slots()

    def _ledger(self, home: Peer) -> Ledger:
        ledger = self._ledgers.get(home)
        if ledger is None:
            ledger = Ledger(home)
            self._ledgers[home] = ledger
        return ledger

    def _predict_task_wait(self, task: OfferedTask) -> float:
        """Return the predicted wait of a task behind those due before it, in milliseconds."""
        usable = self.slots if task.any_slot else self.slots - self._count_reserved_slots()
        if len(self._running) + self._queued < usable:
            return 0.0
        due = self._clock.now() + task.rank
        queues = self._queues.values()
        ahead_ms = [
            entry.task.run_ms
            for queue in queues
            for entry_due, _, entry in queue
            if entry_due <= due and entry.state == QUEUED
        ]
        return self._predict_next_slot() + sum(ahead_ms) / self.slots

    def _apply_floor(self, ledger: Ledger, floor: int) -> None:
        """Drop queued offers and finished ones below a floor, which the home has settled."""
        for entry in ledger.queued_below(floor):
            self._dequeue(entry, REFUSED)
            ledger.close_task(entry.task)
        for entry in ledger.raise_floor(floor):
            self._kept_results.pop(id(entry), None)
            if entry.result is not None:
                self._kept_bytes -= len(entry.result.body)

    def _take_task(self, ledger: Ledger, task: OfferedTask) -> None:
        if task.offer in ledger.entries:
            self._counters.add("offers_repeated")
            return
        code = self._reason_to_refuse(ledger, task)
        if code:
            if code != REFUSED_STALE:
                ledger.entries[task.offer] = Entry(ledger, None, REFUSED)
            ledger.refused.append(Refusal(task.offer, code))
            self._counters.add("offers_refused", code=code)
            return
        entry = Entry(ledger, task, QUEUED)
        ledger.entries[task.offer] = entry
        ledger.open_tasks[task.job] += 1
        ledger.queued += 1
        self._queued += 1
        self._queued_ms += task.run_ms
        if task.any_slot:
            self._queued_urgent += 1
            self._last_urgent_ms = self._clock.now()
        due = self._clock.now() + task.rank
        heapq.heappush(self._queues[task.any_slot], (due, next(self._order), entry))

    def _reason_to_refuse(self, ledger: Ledger, task: OfferedTask) -> str:
        """Return the reason code with which to refuse a task, empty to accept it."""
        if task.offer < ledger.floor or ledger.home in self._gone_homes:
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
        while (entry := self._pop_next()) is not None:
            self._dequeue(entry, RUNNING)
            self._start(entry)

    def _pop_next(self) -> Entry | None:
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

        That is the first one, but the second one after ``MAX_STREAK`` tasks of
        narrow jobs in a row, so that other jobs are not starved.

        :param ready: queues that are not empty, that of narrow jobs first
        """
        chosen = ready[0]
        if len(ready) > 1 and self._urgent_streak >= MAX_STREAK:
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
            now - self._last_urgent_ms > RESERVE_MS
            or now - self._other_queue_empty_ms > OVERLOAD_MS
        ):
            return 0
        return count_reserved(self.slots)

    def _start(self, entry: Entry) -> None:
        task_id = name_task(entry.task)
        self._running[task_id] = _Run(self._clock.now(), entry.task.run_ms)
        self._counters.add("tasks_started")
        if self._checked_ms is None:
            self._checked_ms = self._clock.now()
            self._clock.after(LOOK_MS, self._check_running)
        eventlet.spawn_n(self._run, entry, task_id)

    def _run(self, entry: Entry, task_id: str) -> None:
        task = entry.task
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
        if ok and not entry.is_stopped:
            self._health.note_end(task.run_ms, run_ms)
        else:
            self._health.slowness.discard_hazard(run.hazard if run else 0.0)
        if not ok and not entry.is_stopped:
            self._health.note(ok, run_ms, code)
        self._return_tasks_if_ejected()
        if code == NotStarted.code:
            self._return_task(entry, code)
            self._flush(entry.ledger)
        else:
            self._finish(entry, TaskResult(task.offer, ok, body, code, run_ms))
        self._fill_slots()

    def _check_running(self) -> None:
        """Check the running tasks for lateness, repeatedly while any task runs.

        After a pause of this process a check is skipped: results may have
        arrived meanwhile that are not processed yet.
        """
        now = self._clock.now()
        has_paused = now - self._checked_ms > 2 * LOOK_MS
        self._checked_ms = now if self._running else None
        if not self._running:
            return
        self._clock.after(LOOK_MS, self._check_running)
        if not has_paused:
            self._update_lateness(now)

    def _update_lateness(self, now: float) -> None:
        pace = self._health.slowness
        for task_id, run in self._running.items():
            hazard = pace.hazard(run.estimate_ms, now - run.started_ms)
            if hazard > run.hazard:
                pace.add_hazard(hazard - run.hazard)
                self._running[task_id] = run._replace(hazard=hazard)
        self._health.note_late()
        self._return_tasks_if_ejected()

    def _return_tasks_if_ejected(self) -> None:
        if self._health.is_ejected and self._queued:
            self._return_queued_tasks(REFUSED_EJECTED)

    def _finish(self, entry: Entry, result: TaskResult) -> None:
        ledger = entry.ledger
        entry.state = DONE
        entry.result = result
        self._keep_result(entry)
        ledger.close_task(entry.task)
        ledger.done.append(result)
        if self._should_send_now(ledger, entry.task, result):
            self._flush(ledger)
        elif ledger.hold is None:
            hold_ms = self._result_hold_ms
            ledger.hold = self._clock.after(hold_ms, lambda: self._flush(ledger))

    def _should_send_now(self, ledger: Ledger, task: OfferedTask, result: TaskResult) -> bool:
        """Return whether to send a result at once instead of holding it to join others."""
        if ledger.home == self._messenger.me or not result.ok:
            return True
        if ledger.open_tasks[task.job] <= 0:
            return True
        return ledger.more and ledger.queued <= self.slots * LOW_WATER_SHARE

    def _keep_result(self, entry: Entry) -> None:
        self._kept_results[id(entry)] = entry
        self._kept_bytes += len(entry.result.body)
        while self._kept_bytes > KEPT_RESULT_BYTES and self._kept_results:
            _, oldest = self._kept_results.popitem(last=False)
            self._drop_result(oldest)

    def _drop_result(self, entry: Entry) -> None:
        """Drop an unsettled result to free memory; its offer counts as lost."""
        offer = entry.task.offer
        if entry.ledger.entries.get(offer) is entry and entry.result is not None:
            self._kept_bytes -= len(entry.result.body)
            entry.state = LOST
            entry.result = None

    def _return_task(self, entry: Entry, code: str) -> None:
        """Mark an accepted task that has not started as refused, for the next message."""
        if entry.state == QUEUED:
            self._dequeue(entry, REFUSED)
        entry.state = REFUSED
        entry.ledger.close_task(entry.task)
        entry.ledger.refused.append(Refusal(entry.task.offer, code))
        self._counters.add("offers_refused", code=code)

    def _dequeue(self, entry: Entry, state: str) -> None:
        entry.state = state
        entry.ledger.queued -= 1
        self._queued -= 1
        self._queued_urgent -= entry.task.any_slot
        self._queued_ms = max(0.0, self._queued_ms - entry.task.run_ms)

    def _revoke_one(self, ledger: Ledger, offer: int, stop: bool) -> str:
        """Revoke one offer and return its state, empty if the home has settled it.

        An unknown offer is recorded as refused, so that it is not accepted if it
        arrives later.

        :param stop: whether to stop the task if it runs
        """
        if offer < ledger.floor:
            return ""
        entry = ledger.entries.get(offer)
        if entry is None and ledger.home in self._gone_homes:
            return LOST
        if entry is None:
            ledger.entries[offer] = Entry(ledger, None, REFUSED)
            return REFUSED
        if entry.state == QUEUED:
            self._dequeue(entry, REFUSED)
            ledger.close_task(entry.task)
        elif entry.state == RUNNING and stop:
            entry.is_stopped = True
            eventlet.spawn_n(self._client.stop, self.minion, name_task(entry.task))
        elif entry.state == DONE and entry.result not in ledger.done:
            ledger.done.append(entry.result)
        return entry.state

    def _flush(self, ledger: Ledger) -> None:
        if ledger.hold is not None:
            ledger.hold.cancel()
            ledger.hold = None
        if not ledger.done and not ledger.refused:
            return
        results = Results(tuple(ledger.done), tuple(ledger.refused), self.load())
        ledger.done.clear()
        ledger.refused.clear()
        ledger.more = False
        self._messenger.send(ledger.home, results)


def name_task(task: OfferedTask) -> str:
    """Return the id of a task at the minion, the same for every offer of the task."""
    return f"{task.job:x}.{task.index}"
