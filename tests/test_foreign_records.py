"""Tests that records and reports of other writers disturb no member and replace no valid record.

Whoever reaches the store can write under the members' prefix, and whoever reaches an executor can
send it a report. A record nested too deeply to be decoded, or a value that was not Base64, ended
the watch of the members at every dispatcher. A report could move a minion that was being served to
another address, and a refused connection to an address from a report counted as the end of the
minion of an earlier executor process, so that its runs were reported as over too early.
"""

import json
import unittest
from typing import NamedTuple

import eventlet
import urllib3

from geraniumspool.clock import ManualClock, SystemClock
from geraniumspool.contracts import KeyValue, MinionIncarnation, RunKey
from geraniumspool.counters import MemoryCounters
from geraniumspool.errors import MinionSilent
from geraniumspool.executor import Executor
from geraniumspool.job_specs import JobOutcome
from geraniumspool.memory_minion import MemoryMinion
from geraniumspool.minion_lives import MAX_REPORT_TRIES
from geraniumspool.platform.minion import HttpMinionControl
from geraniumspool.platform.reports import MinionReportsApplication
from geraniumspool.platform.store import KeyValueStore
from geraniumspool.registrations import (
    DISPATCHER_PREFIX,
    MEMBER_PREFIX,
    WORKER_PREFIX,
    DispatcherRecord,
    MemberDirectory,
    WorkerRecord,
    decode_record,
    encode_record,
)
from geraniumspool.rooms import Resources
from geraniumspool.run_leases import LONGEST_LEASE_MS, MINION_LEASE_MS
from geraniumspool.run_messages import RUN_DONE, RUN_LAPSED
from geraniumspool.webserver import WebServer
from tests import test_dispatch_agent
from tests.dispatch_world import make_guard, make_spec
from tests.platform_standin import MinionStandin, Standin, StoreStandin
from tests.small import serve, wait_until
from tests.test_dispatcher import DispatchCase
from tests.test_executor import ExecutorCase, make_order

WORKER = "tcp://10.0.0.1:7000"
DISPATCHER = "tcp://10.0.0.2:7000"
STRANGER = "tcp://10.0.0.3:7000"
LIFE = MinionIncarnation("i-1", "fitting", "127.0.0.1:1", Resources(1), ("a", "r1"))
DEEP = b"[" * 100_000


class Foreign(NamedTuple):
    """One value that is not the record of a member.

    :ivar name: what is wrong with it
    """

    name: str
    value: bytes


def make_life(**changes):
    """Return a record in which the minion's report has some fields of other values."""
    life = dict(zip(MinionIncarnation._fields, json.loads(encode_record(LIFE)), strict=True))
    return json.dumps({"domain": "north", "life": list((life | changes).values())}).encode()


UNREADABLE = (
    Foreign("empty", b""),
    Foreign("no JSON", b"\x00\x01\xfe"),
    Foreign("text that is not UTF-8", b'{"domain":"\xff"}'),
    Foreign("text that no encoding has", b'{"domain":"\\ud800"}'),
    Foreign("nested too deeply", DEEP),
    Foreign("nested too deeply in a field of its own", b'{"domain":"north","x":' + DEEP),
    Foreign("more after the end", b'{"domain":"north"}{}'),
    Foreign("a list", b"[]"),
    Foreign("a number", b"7"),
    Foreign("null", b"null"),
    Foreign("no field", b"{}"),
    Foreign("other fields alone", b'{"life":null,"host":"a"}'),
    Foreign("domain of another type", b'{"domain":7}'),
)
FOREIGN_WORKERS = (
    *UNREADABLE,
    Foreign("minion of another type", b'{"domain":"north","life":"i-1"}'),
    Foreign("minion without most fields", b'{"domain":"north","life":["i-1","fitting"]}'),
    Foreign("minion with another field", b'{"domain":"north","life":[1,2,3,4,5,6,7,8,9]}'),
    Foreign("start that is not whole", make_life(started_unix_ms=1.5)),
    Foreign("start of another type", make_life(started_unix_ms="5")),
    Foreign("start that is null", make_life(started_unix_ms=None)),
    Foreign("start beyond any clock", make_life(started_unix_ms=10**30)),
    Foreign("negative start", make_life(started_unix_ms=-1)),
    Foreign("draining of another type", make_life(draining="no")),
    Foreign("less resources than none", make_life(resources=[-1, 0, 0])),
    Foreign("resources beyond any number", make_life(resources=[10**30, 0, 0])),
    Foreign("sequence beyond any number", make_life(sequence=10**30)),
    Foreign("labels of another type", make_life(labels=[1])),
    Foreign("no name", make_life(instance="")),
    Foreign("name that no header can hold", make_life(instance="i-1\r\nX: y")),
    Foreign("no service", make_life(service="")),
    Foreign("no address", make_life(address="")),
    Foreign("address without a port", make_life(address="10.0.0.1")),
    Foreign("address that is none", make_life(address="http://[")),
    Foreign("port that is none", make_life(address="10.0.0.1:70000")),
    Foreign("port of thousands of digits", make_life(address="10.0.0.1:" + "9" * 5_000)),
)
FOREIGN_DISPATCHERS = (
    *UNREADABLE,
    Foreign("no capacity", b'{"domain":"north","capacity":0}'),
    Foreign("capacity of another type", b'{"domain":"north","capacity":"2"}'),
    Foreign("capacity beyond any number", b'{"domain":"north","capacity":1e300}'),
    Foreign("record of a worker without a domain", b'{"life":null}'),
)
# Keys below the members' prefix that are none of a member.
FOREIGN_KEYS = ("", "workers", "workers/", "dispatchers/", "others/x", "WORKERS/x")


class DirectoryTest(unittest.TestCase):
    """Foreign records among those of a worker and a dispatcher."""

    def setUp(self):
        self.worker = WorkerRecord("north", LIFE)
        self.dispatcher = DispatcherRecord("north", 2.0)
        self.directory = MemberDirectory()
        self.pairs = [
            KeyValue(WORKER_PREFIX + WORKER, encode_record(self.worker), 1),
            KeyValue(DISPATCHER_PREFIX + DISPATCHER, encode_record(self.dispatcher), 1),
        ]
        self.directory.apply_listing(self.pairs, 0.0)

    def check(self):
        """Check that the valid records are the only ones that name a minion or a dispatcher."""
        named = {address: each for address, each in self.directory.workers.items() if each.life}
        self.assertEqual({WORKER: self.worker}, named)
        self.assertEqual({DISPATCHER: self.dispatcher}, self.directory.dispatchers)
        self.assertIn(WORKER, self.directory.listed)

    def test_record_under_the_key_of_a_worker(self):
        for name, value in FOREIGN_WORKERS:
            for address in (WORKER, STRANGER):
                with self.subTest(name, address=address):
                    self.directory.apply_change(WORKER_PREFIX + address, value, 0.0)
                    self.check()

    def test_record_under_the_key_of_a_dispatcher(self):
        for name, value in FOREIGN_DISPATCHERS:
            for address in (DISPATCHER, STRANGER):
                with self.subTest(name, address=address):
                    self.directory.apply_change(DISPATCHER_PREFIX + address, value, 0.0)
                    self.check()

    def test_listing_with_foreign_records(self):
        foreign = [
            KeyValue(f"{prefix}tcp://10.0.1.{number}:1", value, 2)
            for prefix, rows in (
                (WORKER_PREFIX, FOREIGN_WORKERS),
                (DISPATCHER_PREFIX, FOREIGN_DISPATCHERS),
            )
            for number, (_, value) in enumerate(rows)
        ]
        self.directory.apply_listing([*foreign, *self.pairs, *foreign], 0.0)
        self.check()

    def test_keys_that_are_none_of_a_member(self):
        known = set(self.directory.workers)
        for key in FOREIGN_KEYS:
            for value in (b"", b"{}", encode_record(DispatcherRecord("")), b"\xff"):
                with self.subTest(key=key, value=value):
                    self.directory.apply_change(MEMBER_PREFIX + key, value, 0.0)
                    self.check()
                    self.assertEqual(known, set(self.directory.workers))
                    self.assertEqual({WORKER}, self.directory.listed)

    def test_keys_with_an_address_that_no_process_has(self):
        """A false dispatcher counted as a member, and took part in each majority."""
        directory = MemberDirectory()
        for address in ("tcp://10.0.0.3:99999", "tcp://10.0.0.3:" + "9" * 5_000, "tcp://a b:1"):
            for prefix in (WORKER_PREFIX, DISPATCHER_PREFIX):
                with self.subTest(address=address[:30], prefix=prefix):
                    directory.apply_change(
                        prefix + address, encode_record(DispatcherRecord("north")), 0.0
                    )
                    self.assertEqual((0, 0), (len(directory.dispatchers), len(directory.workers)))

    def test_unreadable_record_under_a_key_without_an_address(self):
        for name, value in UNREADABLE:
            with self.subTest(name):
                self.directory.apply_change(WORKER_PREFIX + "x", value, 0.0)
                self.assertEqual({WORKER}, self.directory.listed)
                self.assertNotIn("x", self.directory.workers)

    def test_foreign_key_that_disappears(self):
        for key in (*FOREIGN_KEYS, "workers/" + STRANGER, "dispatchers/" + STRANGER):
            self.directory.apply_change(MEMBER_PREFIX + key, b"?", 0.0)
            self.directory.apply_change(MEMBER_PREFIX + key, None, 0.0)
        self.directory.remove_expired(1e9)
        self.check()


class DispatcherTest(DispatchCase):
    """A dispatcher that places jobs while foreign records arrive."""

    dispatchers = 2

    def test_jobs_are_placed_as_before(self):
        rows = [(WORKER_PREFIX, *row) for row in FOREIGN_WORKERS]
        rows += [(DISPATCHER_PREFIX, *row) for row in FOREIGN_DISPATCHERS]
        for number, (prefix, name, value) in enumerate(rows):
            with self.subTest(name, prefix=prefix):
                for member in (STRANGER, "tcp://w0"):
                    for dispatcher in self.world.dispatchers:
                        now = self.clock.now()
                        dispatcher.peers.directory.apply_change(prefix + member, value, now)
                        dispatcher.router.update_members()
                        dispatcher.handle_key_written(member)
                job_id = f"j{number}"
                caller = self.dispatcher.submit(make_spec(job_id, 3, 8_000, 50))
                self.advance(200)
                self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
                starts = [self.world.start_count(f"{job_id}.0.0.{task}") for task in range(3)]
                self.assertEqual([1, 1, 1], starts)

    def test_workers_of_unknown_services_or_with_the_minion_of_another(self):
        own = self.world.workers[0].minion.incarnation
        rows = (
            ("unknown service", own._replace(instance="i-x", service="nobody-knows")),
            ("minion of another worker", own),
        )
        for number, (name, life) in enumerate(rows):
            with self.subTest(name):
                value = encode_record(WorkerRecord("north", life))
                for dispatcher in self.world.dispatchers:
                    now = self.clock.now()
                    dispatcher.peers.directory.apply_change(WORKER_PREFIX + STRANGER, value, now)
                    dispatcher.router.update_members()
                    dispatcher.handle_key_written(STRANGER)
                caller = self.dispatcher.submit(make_spec(f"k{number}", 3, 8_000, 50))
                self.advance(300)
                self.assertEqual(JobOutcome.SUCCEEDED, caller.outcome)
                starts = [self.world.start_count(f"k{number}.0.0.{task}") for task in range(3)]
                self.assertEqual([1, 1, 1], starts)


class DamagedStoreStandin(StoreStandin):
    """A store with one value that is not Base64."""

    def work(self, environ, path, query, body):
        status, answer = super().work(environ, path, query, body)
        for item in [answer, *answer.get("items", ()), *answer.get("events", ())]:
            if item.get("key") == "p/damaged":
                item["value"] = "A"
        return status, answer


class StoreTest(unittest.TestCase):
    """A value in the store that cannot be decoded, beside others."""

    def test_other_keys_are_still_read(self):
        standin = DamagedStoreStandin(ManualClock(), 100)
        store = KeyValueStore(serve(self, standin), SystemClock(), MemoryCounters())
        for key in ("p/a", "p/damaged", "p/z"):
            standin.store.swap(key, 0, b"1")
        pairs = {pair.key: pair.value for pair in store.list("p/").pairs}
        self.assertEqual({"p/a": b"1", "p/damaged": b"", "p/z": b"1"}, pairs)
        self.assertEqual(b"", store.get("p/damaged").value)
        changes = store.watch("p/", 0)
        self.assertEqual([b"1", b"", b"1"], [next(changes).value for _ in range(3)])


class StoredMinionTest(test_dispatch_agent.ReplacedProcessTest):
    """An executor that finds a foreign record under its own key."""

    def test_it_serves_the_next_minion_that_reports(self):
        for name, value in FOREIGN_WORKERS:
            with self.subTest(name):
                self.agent.stop()
                key = WORKER_PREFIX + test_dispatch_agent.ADDRESS
                self.store.swap(key, self.store.get(key).revision, value)
                self.agent = self.start(self.agent._messenger.local_peer.incarnation + 1)
                self.report()
                self.assertTrue(self.agent.executor.state().accepts)
                self.clock.advance(5_000)
                stored = decode_record(self.store.get(key).value, WorkerRecord)
                self.assertEqual(self.minion.incarnation, stored.life)


# The inherited tests run where they are defined.
for _name in [name for name in dir(StoredMinionTest) if name.startswith("test_")]:
    if _name not in vars(StoredMinionTest):
        setattr(StoredMinionTest, _name, None)


class ReportsCase(unittest.TestCase):
    """Base class: an executor over loopback, with a minion that it serves."""

    def setUp(self):
        clock = SystemClock()
        self.minion = MemoryMinion(clock, "i-1")
        self.standin = MinionStandin(self.minion)
        address = serve(self, self.standin)
        counters = MemoryCounters()
        self.executor = Executor(
            clock,
            HttpMinionControl(clock, counters),
            lambda *_: True,
            counters,
            "north",
            1,
            make_guard(clock, counters),
        )
        tasks = [eventlet.spawn(self.executor.run_poll_loop)]
        self.addCleanup(lambda: [task.kill() for task in tasks])
        self.server = WebServer(
            MinionReportsApplication(self.executor, counters), "127.0.0.1:0", clock
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.http = urllib3.PoolManager(retries=False)
        self.body = {
            "service": "fitting",
            "addr": address,
            "state": "ready",
            "room": {"cpu": 16_000, "mem_mb": 32_768},
            "labels": ["a", "r1"],
            "seq": 4,
            "born": self.minion.incarnation.started_unix_ms,
        }
        self.assertEqual(200, self.post("i-1", self.body))
        wait_until(lambda: self.executor.state().accepts)
        self.state = self.executor.state()
        self.life = self.executor._session.incarnation

    def post(self, instance, body, kind="heartbeat"):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        url = f"http://{self.server.address}/instances/{instance}/{kind}"
        return self.http.request("POST", url, body=data).status

    def check_unchanged(self):
        """Check that the executor serves the same minion as before."""
        eventlet.sleep(0.02)
        self.assertEqual(self.state, self.executor.state())
        self.assertIs(self.life, self.executor._session.incarnation)
        self.assertEqual(self.body["addr"], self.life.report.address)


class ForeignReportsTest(ReportsCase):
    """Reports and departures that come from no minion, or from none that is served here."""

    def rows(self):
        body = self.body | {"seq": 5}
        yield from (
            (f"no {name}", {key: body[key] for key in body if key != name})
            for name in ("service", "addr", "state", "room")
        )
        for key, values in {
            "service": (None, 3, "", ["fitting"]),
            "addr": (None, 3, "", "10.0.0.1", ":80", "10.0.0.1:", "a b:80", "10.0.0.1:70000"),
            "state": (None, 1, "", "odd", "READY", ["ready"]),
            "room": (None, "much", [], {"cpu": -1}, {"cpu": 1.5}, {"cpu": 10**30}),
            "labels": (None, "a", {"a": 1}, [1], [None]),
            "seq": (None, "5", 1.5, True, 10**30),
            "born": (None, "5", 1.5, True, -1, 10**30, [5], {}),
        }.items():
            yield from ((f"{key} {value!r}", body | {key: value}) for value in values)
        yield from (
            (row.name, row.value)
            for row in UNREADABLE
            if row.name not in ("no field", "other fields alone")
        )
        yield "deeply nested field", json.dumps(body).encode()[:-1] + b', "x": ' + DEEP

    def test_invalid_reports_are_rejected(self):
        for name, body in self.rows():
            for instance in ("i-1", "i-other"):
                with self.subTest(name, instance=instance):
                    self.assertEqual(400, self.post(instance, body))
                    self.check_unchanged()

    def test_names_that_no_header_can_hold_are_rejected(self):
        for instance in ("%0d%0aX:%20y", "%00", "%c3%a9", "%ff", "i%20-1", "%7f"):
            with self.subTest(instance=instance):
                self.assertEqual(400, self.post(instance, self.body))
                self.check_unchanged()

    def test_report_without_a_start_time_is_not_that_of_the_served_minion(self):
        body = {key: value for key, value in self.body.items() if key != "born"}
        for changes in ({}, {"seq": 9}, {"state": "draining"}, {"service": "other"}):
            for instance in ("i-1", "i-other"):
                with self.subTest(instance=instance, **changes):
                    self.assertEqual(200, self.post(instance, body | changes))
                    self.check_unchanged()

    def test_report_with_another_start_time_is_not_that_of_the_served_minion(self):
        for change in (-1, 1, 10**6):
            with self.subTest(change=change):
                born = self.body["born"] + change
                self.assertEqual(200, self.post("i-1", self.body | {"born": born, "seq": 99}))
                self.check_unchanged()

    def test_one_incarnation_keeps_its_service_and_address(self):
        # A minion changes neither while it runs. Accepted, the report would have had the runs of
        # this worker started by another program, or none sent here any more.
        foreign = serve(self, Standin())
        for changes in ({"addr": foreign}, {"addr": "127.0.0.1:9"}, {"service": "other"}):
            with self.subTest(**changes):
                self.assertEqual(200, self.post("i-1", self.body | {"seq": 9} | changes))
                self.check_unchanged()

    def test_reports_of_minions_at_addresses_that_serve_none(self):
        class Answers(Standin):
            answers = (
                {},
                [],
                {"clock_ms": "1"},
                {"clock_ms": 1, "born": "5"},
                {"clock_ms": 1, "born": 5, "running": [[]]},
                {"clock_ms": 1, "born": 5, "running": [[["j"], 1, "", 4]]},
                {"clock_ms": 1, "born": 5, "running": [["j", 1, "", "much"]]},
                {"clock_ms": 1, "born": 5, "ended": [["1", "j", 1, "done"]]},
                {"clock_ms": 1, "born": 5, "ended": [[1, "j"]]},
            )

            def work(self, environ, path, query, body):
                self.current = next(self.remaining)
                return 200, self.current

        standin = Answers()
        address = serve(self, standin)
        for answer in Answers.answers:
            with self.subTest(answer=answer):
                standin.remaining = iter([answer] * 3)
                body = self.body | {"addr": address, "born": 5}
                self.assertEqual(200, self.post("i-other", body))
                self.check_unchanged()

    def test_report_of_a_program_that_refuses_every_fencing_token(self):
        # Each refusal raised the token and repeated the call, without an end.
        class Refuses(Standin):
            def work(self, environ, path, query, body):
                return 409, {"clock_ms": 1, "reason": "fence"}

        standin = Refuses()
        body = self.body | {"addr": serve(self, standin), "born": 5}
        self.assertEqual(200, self.post("i-other", body))
        wait_until(lambda: len(standin.session) >= MAX_REPORT_TRIES)
        self.check_unchanged()
        eventlet.sleep(0.05)
        self.assertEqual(MAX_REPORT_TRIES, len(standin.session))

    def test_invalid_departures_are_rejected(self):
        for body in (
            b"\xff",
            b"[]",
            b"7",
            DEEP,
            b'{"born":1.5}',
            b'{"born":"5"}',
            b'{"born":null}',
        ):
            with self.subTest(body=body[:20]):
                self.assertEqual(400, self.post("i-1", body, "deregister"))
                self.check_unchanged()

    def test_departures_of_others(self):
        for instance, body in (
            ("i-other", {}),
            ("i-other", {"born": self.body["born"]}),
            ("i-1", {"born": self.body["born"] - 1}),
            ("i-1", {}),
        ):
            with self.subTest(instance=instance, body=body):
                self.assertEqual(200, self.post(instance, body, "deregister"))
                self.check_unchanged()


class UnusableMinionTest(unittest.TestCase):
    """Calls to a minion whose report, from the store or the network, names no usable address."""

    def test_calls_fail_as_without_an_answer(self):
        control = HttpMinionControl(SystemClock(), MemoryCounters())
        for changes in (
            {"address": "http://["},
            {"address": ""},
            {"address": "127.0.0.1:70000"},
            {"address": "\u00e9\u0000:1"},
            {"instance": "i-1\r\nX: y"},
            {"instance": "\u2713"},
        ):
            life = LIFE._replace(**changes)
            for name, call in (
                ("start", lambda life=life: control.start(life, RunKey("j", 1), "", 1.0, 1)),
                ("stop", lambda life=life: control.stop(life, RunKey("j", 1), 1)),
                ("poll", lambda life=life: control.poll(life, 1, 0, None, 0.0)),
            ):
                with self.subTest(call=name, **changes), self.assertRaises(MinionSilent):
                    call()


class EarlierMinionTest(ExecutorCase):
    """Reports that arrive at an executor that does not know its predecessor's minion yet."""

    def test_foreign_report_does_not_prove_the_end_of_the_earlier_minion(self):
        # The connection to the address in the report is refused. That tells nothing about the
        # minion that the earlier process has served, whose runs may go on for the longest lease.
        for task in self.tasks:
            task.kill()
        self.executor = Executor(
            self.clock,
            self.minion,
            self.take_report,
            self.counters,
            "north",
            9,
            make_guard(self.clock, self.counters),
        )
        self.minion.refuses_connections = True
        foreign = LIFE._replace(instance="i-other", started_unix_ms=5)
        eventlet.spawn_n(self.executor.handle_minion_report, foreign, is_stored=False)
        self.clock.advance(MINION_LEASE_MS + 200)
        self.renew(1)
        self.assertIsNone(self.outcome(1))
        self.clock.advance(LONGEST_LEASE_MS)
        self.renew(1)
        self.assertEqual(RUN_LAPSED, self.outcome(1))


class NewStartTimeTest(ExecutorCase):
    """A minion id that restarts with a new start time: a new incarnation with new counts."""

    def test_all_counts_begin_anew(self):
        for number in (1, 2, 3):
            self.start(make_order(number, f"j{number}.0.0.0", behavior="fail", run_ms=10))
            self.clock.advance(50)
        self.minion.slow_factor = 5.0
        for sequence in range(2, 30):
            self.minion.incarnation = self.minion.incarnation._replace(sequence=sequence)
            self.executor.handle_minion_report(self.minion.incarnation)
        self.assertFalse(self.executor.state().accepts)
        earlier = self.executor._session.incarnation
        self.assertGreater(earlier.acknowledged_end, 0)

        self.minion.slow_factor = 1.0
        self.minion.restart()
        self.assertEqual(1, self.minion.incarnation.sequence)
        self.executor.handle_minion_report(self.minion.incarnation)
        self.clock.advance(50)
        state, incarnation = self.executor.state(), self.executor._session.incarnation
        self.assertIsNot(earlier, incarnation)
        self.assertEqual((earlier.report.instance, 1.0), (state.instance, state.pace))
        self.assertTrue(state.accepts)
        self.assertEqual((0, 1), (incarnation.acknowledged_end, incarnation.report.sequence))
        # Two more failures would eject the minion if the earlier ones still counted.
        for number in (4, 5):
            self.start(make_order(number, f"j{number}.0.0.0", behavior="fail", run_ms=10))
            self.clock.advance(50)
        self.assertTrue(self.executor.state().accepts)
        self.start(make_order(6, "j6.0.0.0"))
        self.clock.advance(200)
        self.assertEqual(RUN_DONE, self.outcome(6))

    def test_report_of_the_earlier_incarnation_changes_nothing(self):
        earlier = self.minion.incarnation
        self.minion.restart()
        self.executor.handle_minion_report(self.minion.incarnation)
        self.clock.advance(50)
        for changes in ({}, {"sequence": 99}, {"draining": True, "sequence": 100}):
            with self.subTest(**changes):
                self.executor.handle_minion_report(earlier._replace(**changes))
                self.clock.advance(50)
                self.assertEqual(self.minion.incarnation, self.executor._session.incarnation.report)
                self.assertTrue(self.executor.state().accepts)


if __name__ == "__main__":
    unittest.main()
