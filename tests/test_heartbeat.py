"""Tests of the agent's heartbeats."""

import unittest

import eventlet

from geraniumspool.clock import ManualClock
from geraniumspool.heartbeat import AVOID_PERIODS, SHORT_HEARTBEATS, Heartbeater
from geraniumspool.members import peer_of
from geraniumspool.messages import Document, HeartbeatReply, Load, Member, Peer, ShortHeartbeat
from geraniumspool.roster import Roster

PERIOD_MS = 2_000.0
ENTRIES = [Member(f"tcp://127.0.0.1:{n}", n, "north", "entry", "ready") for n in (1, 2, 3)]
FAR_ENTRY = Member("tcp://127.0.0.1:4", 4, "south", "entry", "ready")
ME = Member("tcp://127.0.0.1:9", 9, "north", "agent", "ready", "fitting")


class RecordingMessenger:
    """Messenger that keeps what is sent."""

    def __init__(self, me):
        self.me = me
        self.sent = []

    def send(self, peer, message):
        self.sent.append((peer, message))
        return True


class FakeConfiguration:
    """Configuration that keeps documents by revision."""

    def __init__(self, revision=0):
        self.documents = {}
        self.revision = revision

    def apply(self, documents):
        self.documents.update({d.revision: d for d in documents})
        self.revision = max([self.revision, *self.documents])
        return list(documents)

    def since(self, revision, limit_bytes):
        return tuple(self.documents[r] for r in sorted(self.documents) if r > revision)


def make_reply(version=7, members=(), loads=(), documents=(), period_ms=PERIOD_MS):
    return HeartbeatReply(version, False, members, loads, 0, documents, period_ms)


class HeartbeaterTest(unittest.TestCase):
    """Choice of entries, and what replies do."""

    def setUp(self):
        self.clock = ManualClock()
        self.messenger = RecordingMessenger(peer_of(ME))
        self.roster = Roster(self.clock, "north")
        self.configuration = FakeConfiguration()
        self.me = ME
        self.heartbeater = Heartbeater(
            self.messenger,
            self.roster,
            self.clock,
            lambda: self.me,
            self.configuration,
            PERIOD_MS,
        )

    def know(self, *entries):
        for entry in entries:
            self.roster.observe(entry)

    def beat(self):
        self.messenger.sent.clear()
        self.heartbeater.beat()
        self.clock.advance(PERIOD_MS)
        return [peer for peer, _ in self.messenger.sent]

    def test_choice_of_entry(self):
        first = ENTRIES[0]
        cases = (
            ("none known", (), (), []),
            ("seed", (), ("tcp://127.0.0.1:7",), [Peer("tcp://127.0.0.1:7", 0)]),
            ("own domain first", (FAR_ENTRY, first), (), [peer_of(first)]),
            ("other domain", (FAR_ENTRY,), ("tcp://127.0.0.1:7",), [peer_of(FAR_ENTRY)]),
            ("leaving", (first._replace(state="leaving"), FAR_ENTRY), (), [peer_of(FAR_ENTRY)]),
        )
        for name, entries, seeds, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.know(*entries)
                self.heartbeater.add_entries(seeds)
                self.assertEqual(self.beat(), expected)

    def test_silent_entry_is_left_for_the_spare_and_returned_to(self):
        self.know(*ENTRIES)
        [primary] = self.beat()
        self.heartbeater.take_reply(primary, make_reply())
        targets = [self.beat()[0] for _ in range(3)]
        self.assertEqual(targets[:2], [primary, primary])
        spare = targets[2]
        self.assertNotEqual(spare, primary)
        for _ in range(AVOID_PERIODS - 1):
            self.heartbeater.take_reply(spare, make_reply())
            self.assertEqual(self.beat(), [spare])
        self.heartbeater.take_reply(spare, make_reply())
        self.assertEqual(self.beat(), [primary])

    def test_all_entries_silent_are_tried_again_and_again(self):
        self.know(*ENTRIES, FAR_ENTRY)
        self.heartbeater.add_entries(["tcp://127.0.0.1:7"])
        tried = {self.beat()[0].address for _ in range(12)}
        self.assertEqual(len(tried), 5)
        self.assertEqual(len(self.beat()), 1)

    def test_death_of_an_entry_moves_only_its_agents(self):
        def choose(address, entries):
            self.setUp()
            self.me = ME._replace(address=address)
            self.know(*entries)
            return self.beat()[0]

        addresses = [f"tcp://127.0.0.1:{port}" for port in range(100, 160)]
        before = [choose(address, ENTRIES) for address in addresses]
        after = [choose(address, ENTRIES[1:]) for address in addresses]
        for old, new in zip(before, after, strict=True):
            self.assertTrue(old == new or old == peer_of(ENTRIES[0]))
        self.assertEqual(set(before), {peer_of(entry) for entry in ENTRIES})

    def test_reply_is_taken(self):
        self.know(ENTRIES[0])
        entry = peer_of(ENTRIES[0])
        other = Member("tcp://127.0.0.1:8", 8, "north", "agent", "dead", "fitting")
        self.know(other)
        reply = make_reply(
            7,
            (other._replace(state="ready"), ME._replace(state="dead")),
            ((other.address, 8, Load(8, 5)),),
            (Document("team/opticians", 12, b"{}"),),
            3_000.0,
        )
        self.heartbeater.take_reply(entry, reply)
        self.assertEqual(self.roster.get(peer_of(other)).load, Load(8, 5))
        self.assertEqual(self.roster.get(peer_of(other)).state, "ready")
        self.assertIsNone(self.roster.get(peer_of(ME)))
        self.assertEqual(self.heartbeater.period_ms, 3_000.0)
        self.assertEqual(self.heartbeater.last_contact_ms, self.clock.now())
        self.heartbeater.take_reply(entry, make_reply(version=0))
        self.beat()
        heartbeat = self.messenger.sent[0][1]
        self.assertEqual(heartbeat[1:], (1, 7, 12))

    def test_next_documents_are_asked_for_at_once(self):
        """Each case: the revision of the document and of the entry, and whether the agent beats."""
        cases = ((0, 12, False), (12, 12, False), (12, 30, True), (5, 30, False))
        for revision, newest, expected in cases:
            with self.subTest(revision=revision, newest=newest):
                self.setUp()
                self.know(ENTRIES[0])
                self.configuration.apply([Document("team/opticians", 5, b"{}")])
                documents = (Document("team/opticians", revision, b"{}"),) if revision else ()
                reply = make_reply(documents=documents)._replace(config_revision=newest)
                self.heartbeater.take_reply(peer_of(ENTRIES[0]), reply)
                self.assertEqual(len(self.messenger.sent), expected)

    def test_members_are_taken_in_the_order_of_the_entry_followed(self):
        """Each case: who answers with which version after 7, and which life is believed in."""
        old, new = (Member("tcp://127.0.0.1:8", life, "north", "agent", "ready") for life in (8, 9))
        entry, other = peer_of(ENTRIES[0]), peer_of(FAR_ENTRY)
        cases = (
            ("a newer answer", entry, 8, old),
            ("a late answer", entry, 6, new),
            ("a late answer of another entry", other, 12, new),
        )
        for name, sender, version, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.know(ENTRIES[0])
                self.beat()
                for life in (old, new):
                    self.heartbeater.take_reply(entry, make_reply(7, (life,)))
                self.heartbeater.take_reply(sender, make_reply(version, (old,)))
                states = {life: self.roster.get(peer_of(life)).state for life in (old, new)}
                living = [life for life, state in states.items() if state != "dead"]
                self.assertEqual(living, [expected])

    def test_version_of_one_entry_is_not_told_to_another(self):
        self.know(*ENTRIES)
        self.heartbeater.take_reply(Peer("tcp://127.0.0.1:99", 99), make_reply())
        self.beat()
        self.assertEqual(self.messenger.sent[0][1][1:3], (0, 0))

    def test_short_heartbeats_to_an_entry_that_knows_the_rest(self):
        """Each case: what happens after an answer, and whether the next heartbeat is short."""
        entry, other = peer_of(ENTRIES[0]), Peer("tcp://127.0.0.1:77", 77)
        load = Load(8, 3, 0, 12.5)

        def change(**fields):
            self.me = self.me._replace(**fields)

        def beat_often():
            for _ in range(SHORT_HEARTBEATS):
                self.beat()

        def lose_a_change():
            change(state="ejected")
            self.beat()

        def answer(**fields):
            self.heartbeater.take_reply(entry, make_reply()._replace(**fields))

        cases = (
            ("nothing", lambda: None, True),
            ("another load", lambda: change(load=load), True),
            ("another state", lambda: change(state="ejected"), False),
            ("another version", lambda: change(version=1), False),
            ("a change without an answer", lose_a_change, False),
            ("a change with an answer", lambda: (lose_a_change(), answer()), True),
            ("many short ones", beat_often, False),
            ("the entry asks", lambda: answer(again=True, roster_version=0), False),
            ("another answers", lambda: self.heartbeater.take_reply(other, make_reply()), True),
        )
        for name, happen, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.know(ENTRIES[0])
                self.beat()
                answer()
                happen()
                self.beat()
                message = self.messenger.sent[-1][1]
                self.assertEqual(isinstance(message, ShortHeartbeat), expected)
                if isinstance(message, ShortHeartbeat):
                    self.assertEqual(message, (0, 7, 0, self.me.load.round_up()))

    def test_leaving_is_told_to_all_entries_with_one_in_charge(self):
        self.know(*ENTRIES, FAR_ENTRY)
        [primary] = self.beat()
        self.heartbeater.take_reply(primary, make_reply())
        self.me = ME._replace(state="leaving")
        self.messenger.sent.clear()
        self.heartbeater.beat_now()
        self.assertEqual(len({peer for peer, _ in self.messenger.sent}), 4)
        for _, heartbeat in self.messenger.sent:
            self.assertEqual(heartbeat.member.state, "leaving")
            self.assertEqual(heartbeat.roster_entry, primary.incarnation)

    def test_new_incarnation_of_an_entry(self):
        self.know(ENTRIES[0])
        self.beat()
        self.heartbeater.take_rejection(Peer("tcp://127.0.0.1:8", 8))
        self.heartbeater.take_rejection(Peer(ENTRIES[0].address, 77))
        self.assertEqual(self.beat(), [Peer(ENTRIES[0].address, 0)])
        self.heartbeater.take_reply(
            Peer(ENTRIES[0].address, 77), make_reply(1, (ENTRIES[0]._replace(incarnation=77),))
        )
        self.assertEqual(self.beat(), [Peer(ENTRIES[0].address, 77)])

    def test_run_starts_at_a_random_time_and_goes_on(self):
        self.know(ENTRIES[0])
        task = eventlet.spawn(self.heartbeater.run)
        self.addCleanup(task.kill)
        self.clock.advance(0)
        self.assertEqual(self.messenger.sent, [])
        self.clock.advance(10 * PERIOD_MS)
        self.assertIn(len(self.messenger.sent), (9, 10, 11))


if __name__ == "__main__":
    unittest.main()
