"""The runner: runs offered tasks on the minion beside it, each at most once."""

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

RESULT_HOLD_MS = 1_000.0
RESERVE_MS = 2_000.0
OVERLOAD_MS = 5_000.0
MAX_STREAK = 4
LOW_WATER_SHARE = 0.25
DEFAULT_QUEUE_PER_SLOT = 16.0
KEPT_RESULT_BYTES = 16 * 1024 * 1024
CLOSED_HOMES = 20_000
LOOK_MS = 50.0


class _Run(NamedTuple):
    """A running task.

    :param estimate_ms: its estimated run time
    :param hazard: its cumulative hazard when last looked at
    """

    started_ms: float
    estimate_ms: float
    hazard: float = 0.0

    def left_ms(self, now: float) -> float:
        """Return the predicted rest; one that is late may go on as long again."""
        elapsed = now - self.started_ms
        rest = self.estimate_ms - elapsed
        return rest if rest > 0 else elapsed


class Runner:
    """Runs tasks of any home on one minion, within its slots."""

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

        :param queue_per_slot: tasks that may wait here for each slot
        :param result_hold_ms: longest time a result waits for company
        """
        self._messenger = messenger
        self._clock = clock
        self._client = client
        self._counters = counters
        self._health = health
        self._queue_per_slot = queue_per_slot
        self._result_hold_ms = result_hold_ms
        self._ledgers: dict[Peer, Ledger] = {}
        self._closed: OrderedDict[Peer, None] = OrderedDict()
        self._queues: dict[bool, list[tuple[float, int, Entry]]] = {True: [], False: []}
        self._order = itertools.count()
        self._queued = 0
        self._queued_ms = 0.0
        self._urgent = 0
        self._urgent_ms = -RESERVE_MS
        self._crowded_ms = clock.now()
        self._streak = 0
        self._running: dict[str, _Run] = {}
        self._looked_ms: float | None = None
        self._kept_bytes = 0
        self._kept: OrderedDict[int, Entry] = OrderedDict()
        self.minion: Announcement | None = None
        self.leaving = False
        self.is_evacuated = False
        self.on_change: Callable[[], None] = lambda: None
        self.measure_backlog: Callable[[], float] = lambda: 0.0

    @property
    def slots(self) -> int:
        """Number of tasks the minion runs at once, 0 without a minion."""
        if self.minion is None:
            return 0
        return min(self.minion.slots, self.minion.connections)

    @property
    def is_idle(self) -> bool:
        """Whether no task is running or waiting here."""
        return not self._running and self._queued == 0

    @property
    def accepts(self) -> bool:
        """Whether offers are taken at all."""
        return self.minion is not None and not (self.leaving or self.is_evacuated)

    def load(self) -> Load:
        """Return what this runner has to offer now."""
        slots = self._open_slots()
        free = max(0, slots - len(self._running) - self._queued)
        return Load(
            slots,
            free,
            self._queued,
            self.predict_wait(),
            self._urgent,
            self._predict_next_slot(),
            self.measure_backlog(),
            self._health.pace.lateness,
        )

    def _open_slots(self) -> int:
        if not self.accepts:
            return 0
        if self._health.is_ejected:
            return 1 if self._health.is_probe_due and self.is_idle else 0
        return self.slots

    def predict_wait(self) -> float:
        """Return the predicted wait of a task that arrives now, in ms."""
        slots = self.slots
        if slots == 0:
            return 0.0
        if len(self._running) + self._queued < slots:
            return 0.0
        now = self._clock.now()
        left = sum(run.left_ms(now) for run in self._running.values())
        return (left + self._queued_ms) / slots

    def _predict_next_slot(self) -> float:
        if len(self._running) < self.slots or not self._running:
            return 0.0
        now = self._clock.now()
        return min(run.left_ms(now) for run in self._running.values())

    def announce(self, minion: Announcement) -> None:
        """Take the minion's word on what it is."""
        changed = minion != self.minion or self.leaving
        self.minion = minion
        self.leaving = False
        if changed:
            self.on_change()
            self._fill_slots()

    def leave(self) -> None:
        """Take no new work; give back what has not started."""
        if self.leaving:
            return
        self.leaving = True
        self._give_back_queues(REFUSED_LEAVING)
        for ledger in self._ledgers.values():
            self._flush(ledger)
        self.on_change()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Start nothing while the failure domain here is evacuated; what runs goes on."""
        self.is_evacuated = is_evacuated
        if is_evacuated:
            self._give_back_queues(REFUSED_EVACUATED)
        self.on_change()

    def _give_back_queues(self, code: str) -> None:
        for queue in self._queues.values():
            for _, _, entry in queue:
                if entry.state == QUEUED:
                    self._give_back(entry, code)
            queue.clear()
        for ledger in self._ledgers.values():
            if ledger.refused:
                self._flush(ledger)

    def repeat_results(self) -> None:
        """Send every result again that its home has not settled, before leaving."""
        for ledger in self._ledgers.values():
            done = [entry.result for entry in ledger.entries.values() if entry.state == DONE]
            ledger.done = [result for result in done if result is not None]
            self._flush(ledger)

    def take_offer(self, sender: Peer, offer: Offer) -> None:
        """Take, queue or refuse each task of an offer."""
        ledger = self._ledger(sender)
        self._settle(ledger, offer.floor)
        ledger.more = offer.more
        for task in offer.tasks:
            self._take_task(ledger, task)
        self._fill_slots()
        if ledger.refused:
            self._flush(ledger)

    def take_revoke(self, sender: Peer, revoke: Revoke) -> None:
        """Start none of these offers any more, and tell their states."""
        ledger = self._ledger(sender)
        self._settle(ledger, revoke.floor)
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
        """Drop what waits for a home that is gone; running tasks go on."""
        self._closed[home] = None
        while len(self._closed) > CLOSED_HOMES:
            self._closed.popitem(last=False)
        ledger = self._ledgers.pop(home, None)
        if ledger is None:
            return
        for entry in ledger.entries.values():
            if entry.state == QUEUED:
                self._dequeue(entry, REFUSED)
        self._settle(ledger, ledger.highest() + 1)
        self._fill_slots()

    def _ledger(self, home: Peer) -> Ledger:
        ledger = self._ledgers.get(home)
        if ledger is None:
            ledger = Ledger(home)
            self._ledgers[home] = ledger
        return ledger

    def _predict_start(self, task: OfferedTask) -> float:
        """Return the predicted wait of one task, behind those due before it."""
        usable = self.slots if task.any_slot else self.slots - self._kept_free()
        if len(self._running) + self._queued < usable:
            return 0.0
        due = self._clock.now() + task.rank
        queues = self._queues.values()
        ahead = [
            entry.task.run_ms
            for queue in queues
            for entry_due, _, entry in queue
            if entry_due <= due and entry.state == QUEUED
        ]
        return self._predict_next_slot() + sum(ahead) / self.slots

    def _settle(self, ledger: Ledger, floor: int) -> None:
        for entry in ledger.queued_below(floor):
            self._dequeue(entry, REFUSED)
            ledger.close_task(entry.task)
        for entry in ledger.raise_floor(floor):
            self._kept.pop(id(entry), None)
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
            self._urgent += 1
            self._urgent_ms = self._clock.now()
        due = self._clock.now() + task.rank
        heapq.heappush(self._queues[task.any_slot], (due, next(self._order), entry))

    def _reason_to_refuse(self, ledger: Ledger, task: OfferedTask) -> str:
        if task.offer < ledger.floor or ledger.home in self._closed:
            return REFUSED_STALE
        if self.minion is None:
            return REFUSED_NO_MINION
        if self.leaving:
            return REFUSED_LEAVING
        if self.is_evacuated:
            return REFUSED_EVACUATED
        if not self._health.admits(len(self._running) + self._queued):
            return REFUSED_EJECTED
        room = self.slots * (1 + self._queue_per_slot)
        if len(self._running) + self._queued >= room:
            return REFUSED_BUSY
        if 0 < task.patience_ms < self._predict_start(task):
            return REFUSED_BUSY
        return ""

    def _fill_slots(self) -> None:
        while (entry := self._next_to_start()) is not None:
            self._dequeue(entry, RUNNING)
            self._start(entry)

    def _next_to_start(self) -> Entry | None:
        """Remove and return the queued task that may start now and is due first."""
        running = len(self._running)
        if running >= (1 if self._health.is_ejected else self.slots):
            return None
        heads = [self._queues[True]]
        if running < self.slots - self._kept_free():
            heads.append(self._queues[False])
        for queue in self._queues.values():
            while queue and queue[0][2].state != QUEUED:
                heapq.heappop(queue)
        if not self._queues[False]:
            self._crowded_ms = self._clock.now()
        ready = [queue for queue in heads if queue]
        if not ready:
            return None
        return heapq.heappop(self._choose_queue(ready))[2]

    def _choose_queue(self, ready: list[list]) -> list:
        """Return the narrow jobs' queue, now and then the other one."""
        chosen = ready[0]
        if len(ready) > 1 and self._streak >= MAX_STREAK:
            chosen = ready[1]
        is_urgent = chosen is self._queues[True]
        self._streak = self._streak + 1 if is_urgent else 0
        return chosen

    def _kept_free(self) -> int:
        """Return the slots kept for narrow jobs, while such come at all.

        None are kept where others have waited for long without a break: that
        is no burst but overload, and every slot is needed.
        """
        now = self._clock.now()
        if now - self._urgent_ms > RESERVE_MS or now - self._crowded_ms > OVERLOAD_MS:
            return 0
        return count_reserved(self.slots)

    def _start(self, entry: Entry) -> None:
        task_id = name_task(entry.task)
        self._running[task_id] = _Run(self._clock.now(), entry.task.run_ms)
        self._counters.add("tasks_started")
        if self._looked_ms is None:
            self._looked_ms = self._clock.now()
            self._clock.after(LOOK_MS, self._look)
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
            self._health.pace.withdraw(run.hazard if run else 0.0)
        if not ok and not entry.is_stopped:
            self._health.note(ok, run_ms, code)
        self._clear_if_ejected()
        if code == NotStarted.code:
            self._give_back(entry, code)
            self._flush(entry.ledger)
        else:
            self._finish(entry, TaskResult(task.offer, ok, body, code, run_ms))
        self._fill_slots()

    def _look(self) -> None:
        """Judge the running tasks by how long they take, now and again while any runs.

        After a pause of this process its results are waited for first.
        """
        now = self._clock.now()
        has_paused = now - self._looked_ms > 2 * LOOK_MS
        self._looked_ms = now if self._running else None
        if not self._running:
            return
        self._clock.after(LOOK_MS, self._look)
        if not has_paused:
            self._judge_running(now)

    def _judge_running(self, now: float) -> None:
        pace = self._health.pace
        for task_id, run in self._running.items():
            hazard = pace.hazard(run.estimate_ms, now - run.started_ms)
            if hazard > run.hazard:
                pace.add(hazard - run.hazard)
                self._running[task_id] = run._replace(hazard=hazard)
        self._health.note_late()
        self._clear_if_ejected()

    def _clear_if_ejected(self) -> None:
        if self._health.is_ejected and self._queued:
            self._give_back_queues(REFUSED_EJECTED)

    def _finish(self, entry: Entry, result: TaskResult) -> None:
        ledger = entry.ledger
        entry.state = DONE
        entry.result = result
        self._keep(entry)
        ledger.close_task(entry.task)
        ledger.done.append(result)
        if self._is_wanted_now(ledger, entry.task, result):
            self._flush(ledger)
        elif ledger.hold is None:
            release = self._result_hold_ms
            ledger.hold = self._clock.after(release, lambda: self._flush(ledger))

    def _is_wanted_now(self, ledger: Ledger, task: OfferedTask, result: TaskResult) -> bool:
        if ledger.home == self._messenger.me or not result.ok:
            return True
        if ledger.open_tasks[task.job] <= 0:
            return True
        return ledger.more and ledger.queued <= self.slots * LOW_WATER_SHARE

    def _keep(self, entry: Entry) -> None:
        self._kept[id(entry)] = entry
        self._kept_bytes += len(entry.result.body)
        while self._kept_bytes > KEPT_RESULT_BYTES and self._kept:
            _, oldest = self._kept.popitem(last=False)
            self._lose(oldest)

    def _lose(self, entry: Entry) -> None:
        offer = entry.task.offer
        if entry.ledger.entries.get(offer) is entry and entry.result is not None:
            self._kept_bytes -= len(entry.result.body)
            entry.state = LOST
            entry.result = None

    def _give_back(self, entry: Entry, code: str) -> None:
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
        self._urgent -= entry.task.any_slot
        self._queued_ms = max(0.0, self._queued_ms - entry.task.run_ms)

    def _revoke_one(self, ledger: Ledger, offer: int, stop: bool) -> str:
        if offer < ledger.floor:
            return ""
        entry = ledger.entries.get(offer)
        if entry is None and ledger.home in self._closed:
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
    """Return the task's id, the same however often it is offered."""
    return f"{task.job:x}.{task.index}"
