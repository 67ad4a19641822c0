"""Tests of the home: admission, offers, revocation, answers and records."""

import json
import logging
import unittest

from geraniumspool.clock import ManualClock
from geraniumspool.configuration import Configuration
from geraniumspool.contracts import Announcement
from geraniumspool.counters import MemoryCounters
from geraniumspool.decisions import DecisionLog
from geraniumspool.health import Health
from geraniumspool.home import REVOKE_WAIT_MS, Home
from geraniumspool.messages import (
    MEMBER_LEFT,
    MEMBER_READY,
    Answer,
    Cancel,
    Decline,
    Inquire,
    Load,
    Member,
    Offer,
    Peer,
    Refusal,
    Results,
    Revoke,
    Revoked,
    Submit,
    Task,
    TaskResult,
    WrongIncarnation,
)
from geraniumspool.minion import MemoryMinionClient
from geraniumspool.placement import LateBinding
from geraniumspool.records import Records
from geraniumspool.roster import Roster
from geraniumspool.runner import Runner
from geraniumspool.ticket import Keyring
from tests.test_runner import Outbox

ME = Peer("tcp://127.0.0.1:7001", 1)
FAR = Peer("tcp://127.0.0.1:7002", 2)
FARTHER = Peer("tcp://127.0.0.1:7003", 3)
ENTRY = Peer("tcp://127.0.0.1:7004", 4)
PEER_TIMEOUT_MS = 4_000.0


class HomeTest(unittest.TestCase):
    """A home without slots of its own; the test sends the messages of its workers."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.make()

    def make(self, workers=(FAR,), slots=4, own_slots=0, own_size=0.0, max_record_bytes=1 << 20):
        self.clock = ManualClock()
        self.outbox = Outbox(ME)
        self.keyring = Keyring(["ticket-key-for-tests-0001"])
        counters = MemoryCounters()
        decisions = DecisionLog(ME.incarnation, self.clock, logging.getLogger(__name__))
        self.roster = Roster(self.clock, "north")
        self.client = client = MemoryMinionClient(self.clock)
        health = Health(self.clock, decisions, ME.address)
        runner = Runner(self.outbox, self.clock, client, counters, health)
        self.home = Home(
            self.outbox,
            self.clock,
            counters,
            decisions,
            self.roster,
            Configuration(self.clock, counters),
            runner,
            Records(self.clock, max_record_bytes, 600_000.0),
            LateBinding(),
            "north",
            PEER_TIMEOUT_MS,
        )
        self.home.service = "fitting"
        if own_slots:
            own = Announcement("fitting", "http://127.0.0.1:1", own_slots, 64, own_size)
            runner.set_minion(own)
        for peer in workers:
            self.join(peer, slots)

    def join(self, peer, slots=4, state=MEMBER_READY, domain="north"):
        load = Load(slots, slots, 0, 0.0)
        member = Member(*peer, domain, "agent", state, "fitting", 10.0, load)
        self.roster.apply_direct(member)
        self.clock.run_ready_threads()

    def issue(self) -> str:
        return self.keyring.issue(ME, "fitting", self.clock.wall_ms())

    def submit(self, tasks=2, run_ms=100.0, ticket="", deadline_ms=8_000.0, size=0.0, digest=b"a"):
        ticket = ticket or self.issue()
        rows = tuple(Task(json.dumps(n).encode(), size, run_ms) for n in range(tasks))
        submit = Submit(7, ticket, "fitting", "team", deadline_ms, digest, rows)
        self.home.handle_submit(ENTRY, submit)
        self.clock.run_ready_threads()
        return ticket

    def cancel(self, ticket):
        self.home.handle_cancel(ENTRY, Cancel(9, ticket))
        self.clock.run_ready_threads()

    def offers(self) -> list[Offer]:
        return self.outbox.take(Offer)

    def results(self, *offers, refused=(), peer=FAR, slots=4, ok=True):
        done = tuple(
            TaskResult(n, ok, b"%d" % n, "" if ok else "task_failed", 90.0) for n in offers
        )
        gone = tuple(Refusal(number, "worker_busy") for number in refused)
        self.home.handle_results(peer, Results(done, gone, Load(slots, slots, 0, 0.0)))
        self.clock.run_ready_threads()

    def revoked(self, not_started=(), started=(), lost=(), peer=FAR):
        answer = Revoked(tuple(not_started), tuple(started), tuple(lost), Load(4, 4, 0, 0.0))
        self.home.handle_revoked(peer, answer)
        self.clock.run_ready_threads()

    def answers(self) -> list[tuple[str, str]]:
        return [(answer.state, answer.code) for answer in self.outbox.take(Answer)]

    def test_one_offer_at_a_time(self):
        """Tasks are offered in one batch per worker, and again only after a refusal."""
        self.submit(3)
        (offer,) = self.offers()
        self.assertEqual([task.offer for task in offer.tasks], [1, 2, 3])
        self.clock.advance(2_500.0)
        self.assertEqual(self.offers(), [])
        self.assertTrue(self.outbox.take(Revoke))
        self.results(1, refused=(2,))
        (again,) = self.offers()
        self.assertEqual([(task.offer, task.index) for task in again.tasks], [(4, 1)])
        self.assertEqual(again.floor, 3)
        self.results(3, 4)
        (answer,) = self.outbox.take(Answer)
        self.assertEqual((answer.state, answer.results), ("complete", (b"1", b"4", b"3")))

    def test_results_of_wrong_worker_or_offer(self):
        """A result is accepted once, and only from the worker that was offered the task."""
        self.make(workers=(FAR, FARTHER), slots=1)
        self.submit(2)
        sent = {peer: message.tasks[0] for peer, message in self.outbox.sent}
        self.offers()
        first, second = sent[FAR].offer, sent[FARTHER].offer
        self.results(second, peer=FAR, slots=1)
        self.results(first, peer=Peer(FAR.address, 99), slots=1)
        self.results(first, 77, peer=FAR, slots=1)
        self.results(first, peer=FAR, slots=1)
        self.assertEqual(self.answers(), [])
        self.results(second, peer=FARTHER, slots=1)
        self.assertEqual(self.answers(), [("complete", "")])

    def test_cancellation(self):
        """The answer after a cancellation depends only on what the workers confirm."""
        cases = (
            ("not started", {"not_started": (1, 2)}, "not_run"),
            ("one started", {"not_started": (1,), "started": (2,)}, "may_have_run"),
            ("one lost", {"not_started": (1,), "lost": (2,)}, "may_have_run"),
            ("one confirmed", {"not_started": (1,)}, "may_have_run"),
            ("no answer", {}, "may_have_run"),
        )
        for name, reply, expected in cases:
            with self.subTest(case=name):
                self.make()
                ticket = self.submit(2)
                self.cancel(ticket)
                self.assertEqual(self.answers(), [])
                if reply:
                    self.revoked(**reply)
                self.clock.advance(REVOKE_WAIT_MS)
                self.assertEqual({state for state, _ in self.answers()}, {expected})
                self.submit(2, ticket=ticket)
                self.assertEqual(self.answers(), [(expected, "job_cancelled")])
                self.assertEqual(len(self.offers()), 1)

    def test_cancellations_are_batched(self):
        """Cancellations at the same time are sent in one message per worker."""
        tickets = [self.submit(1) for _ in range(4)]
        for ticket in tickets:
            self.home.handle_cancel(ENTRY, Cancel(9, ticket))
        self.clock.run_ready_threads()
        revokes = self.outbox.take(Revoke)
        self.assertEqual([message.offers for message in revokes], [(1, 2, 3, 4)])

    def test_cancelled_or_declined_before_submission(self):
        """A job that is cancelled or declined before its submission never runs."""
        for message in (Cancel(9, self.issue()), Decline(9, self.issue(), b"a", "quota", "", 50.0)):
            with self.subTest(kind=type(message).__name__):
                kind = type(message).__name__.lower()
                getattr(self.home, f"handle_{kind}")(ENTRY, message)
                self.submit(ticket=message.ticket)
                self.assertEqual({state for state, _ in self.answers()}, {"not_run"})
                self.assertEqual(self.offers(), [])

    def test_decline_of_running_job(self):
        """An entry that declines a running job gets the answer of that job."""
        ticket = self.submit(1)
        self.home.handle_decline(ENTRY, Decline(8, ticket, b"a", "quota", "", 50.0))
        self.results(1)
        self.assertEqual({(a.request, a.state) for a in self.outbox.take(Answer)}, {
            (7, "complete"),
            (8, "complete"),
        })  # fmt: skip

    def test_predicted_wait(self):
        """A job that cannot meet its deadline is refused at once, with a retry delay."""
        for _ in range(8):
            self.submit(4, 1_000.0, deadline_ms=60_000.0)
        late = self.submit(2, 100.0, deadline_ms=500.0)
        (answer,) = self.outbox.take(Answer)
        self.assertEqual((answer.state, answer.code), ("not_run", "job_refused_deadline"))
        self.assertGreater(answer.retry_after_ms, 0.0)
        self.submit(2, 100.0, ticket=late, deadline_ms=500.0)
        self.assertEqual(self.answers(), [("not_run", "job_refused_deadline")])

    def test_task_that_fits_no_minion(self):
        """A job with a task that fits no minion is refused without a retry delay."""
        self.submit(2, size=11.0)
        (answer,) = self.outbox.take(Answer)
        self.assertEqual(
            (answer.state, answer.code, answer.retry_after_ms),
            ("not_run", "job_refused_no_capacity", 0.0),
        )

    def test_task_too_large_for_own_minion(self):
        """Tasks too large for the own minion go to others, even if the own slots are free."""
        for tasks, fewest in ((1, 1), (3, 3), (12, 6)):
            with self.subTest(tasks=tasks):
                self.make(workers=(FAR, FARTHER), own_slots=4, own_size=1.0)
                self.submit(tasks, size=5.0)
                self.submit(1, size=0.5)
                offered = [task for offer in self.offers() for task in offer.tasks]
                self.assertGreaterEqual(len(offered), fewest)
                self.assertEqual(self.client.running, 1)
                self.assertEqual({task.job for task in offered}, {offered[0].job})

    def test_narrow_before_wide(self):
        """Tasks of a later narrow job are offered before the waiting tasks of a wide one."""
        self.submit(14, 100.0)
        first = self.offers()
        self.submit(1, 200.0)
        narrow = [task for offer in self.offers() for task in offer.tasks]
        self.assertEqual([task.any_slot for task in narrow], [True])
        waiting = {task.any_slot for offer in first for task in offer.tasks}
        self.assertEqual(waiting, {False})

    def test_deadline(self):
        """A job ends at its deadline; it did not run if no task was offered."""
        self.make(workers=())
        self.join(FAR, 1)
        for _ in range(8):
            self.submit(1, 1.0, deadline_ms=9_000.0)
        self.submit(1, 1.0, deadline_ms=2_000.0)
        waiting = sum(len(offer.tasks) for offer in self.offers())
        self.assertLess(waiting, 9)
        self.clock.advance(2_001.0)
        self.assertEqual(self.answers(), [("not_run", "job_expired")])

    def test_worker_gone(self):
        """A worker that left, was replaced or is silent fails the jobs offered there at once."""

        def leave():
            self.join(FAR, state=MEMBER_LEFT)

        def be_replaced():
            self.home.handle_wrong_incarnation(
                Peer(FAR.address, 99), WrongIncarnation(1, 0, FAR.incarnation)
            )

        cases = (("left", leave, 600.0), ("replaced", be_replaced, 0.0), ("silent", None, 8_000.0))
        for name, trigger, wait_ms in cases:
            with self.subTest(case=name):
                self.make()
                ticket = self.submit(2, deadline_ms=60_000.0)
                if trigger:
                    trigger()
                self.clock.advance(wait_ms)
                self.assertEqual(self.answers(), [("may_have_run", "worker_lost")])
                self.results(1, 2)
                self.submit(2, ticket=ticket)
                self.assertEqual(self.answers(), [("may_have_run", "worker_lost")])

    def test_released_worker(self):
        """A released worker gets no new offers and is forgotten once its open ones are settled."""
        self.make(workers=())
        self.join(FAR, domain="south")
        self.submit(tasks=1)
        [offer] = self.offers()
        self.roster.drop_foreign([FAR.address])
        self.home.forget_gone_workers()
        self.submit(tasks=1)
        self.assertEqual(self.offers(), [])
        self.results(offer.tasks[0].offer)
        self.assertIn(("complete", ""), self.answers())
        self.home.forget_gone_workers()
        self.assertIsNone(self.home._offers.find(FAR))

    def test_worker_given_up(self):
        """A worker given up as silent gets no offers until it sends a message again."""
        self.submit(1, deadline_ms=60_000.0)
        self.clock.advance(9_000.0)
        self.offers()
        self.submit(1, deadline_ms=60_000.0)
        self.clock.advance(3_000.0)
        self.assertEqual(self.offers(), [])
        self.assertTrue(self.outbox.take(Revoke))
        self.revoked()
        self.submit(1, deadline_ms=60_000.0)
        self.assertEqual(len(self.offers()), 1)

    def test_evicted_record(self):
        """A job with a ticket as old as an evicted record may have run; a newer one runs."""
        self.make(max_record_bytes=1_500)
        tickets = []
        for number in range(1, 5):
            tickets.append(self.submit(1))
            self.results(number)
            self.clock.advance(5.0)
        self.answers()
        self.submit(1, ticket=tickets[0])
        self.submit(1, ticket=tickets[-1])
        self.assertEqual(self.answers(), [("may_have_run", "record_evicted"), ("complete", "")])
        self.offers()
        self.submit(1)
        self.assertEqual(len(self.offers()), 1)

    def test_run_times_of_slow_worker_are_ignored(self):
        """Estimates follow the results, except those of a minion slower than the others."""
        cases = (
            ("usual pace", 0.0, 0.0, True),
            ("slow", 20.0, 0.0, False),
            ("all slow", 20.0, 20.0, True),
        )
        for name, far, farther, is_learnt in cases:
            with self.subTest(case=name):
                self.make(workers=(FAR, FARTHER), slots=1)
                runs = {FAR: (3_000.0, far), FARTHER: (300.0, farther)}
                for _ in range(10):
                    self.submit(2)
                    sent = [row for row in self.outbox.sent if isinstance(row[1], Offer)]
                    self.outbox.sent.clear()
                    for peer, offer in sent:
                        run_ms, lateness = runs[peer]
                        rows = [TaskResult(t.offer, True, b"1", "", run_ms) for t in offer.tasks]
                        load = Load(1, 1, lateness=lateness)
                        self.home.handle_results(peer, Results(tuple(rows), (), load))
                self.submit(1)
                learnt_ms = self.offers()[0].tasks[0].run_ms
                self.assertEqual(learnt_ms > 600.0, is_learnt)

    def test_states(self):
        """An inquiry returns the state of a job and starts nothing."""
        running, unknown = self.submit(1), self.issue()
        foreign = self.keyring.issue(FAR, "fitting", self.clock.wall_ms())
        for ticket in (running, unknown, foreign):
            self.home.handle_inquire(ENTRY, Inquire(3, ticket))
        states = [state for state, _ in self.answers()]
        self.assertEqual(states, ["running", "unknown", "may_have_run"])
        self.submit(1, ticket=foreign)
        self.assertEqual(self.answers(), [("may_have_run", "home_gone")])
        self.assertEqual(len(self.offers()), 1)

    def test_leaving(self):
        """A leaving home refuses new jobs and finishes those that it accepted."""
        self.submit(1)
        self.home.leave()
        self.submit(1)
        self.assertEqual(self.answers(), [("not_run", "job_refused_leaving")])
        self.results(1)
        self.assertEqual(self.answers(), [("complete", "")])
        self.assertTrue(self.home.is_idle)
