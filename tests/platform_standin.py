"""Fake platform services for tests: the store and a minion, as WSGI applications."""

import base64
import json
from urllib.parse import parse_qs

import eventlet

from geraniumspool.contracts import RunKey, StartOutcome
from geraniumspool.errors import (
    CompactedRevision,
    Fenced,
    LeaseExpired,
    MinionSilent,
    StoreUnavailable,
    StoreUnknown,
)
from geraniumspool.memory_store import MemoryStore

REASONS = {
    StartOutcome.FENCED: "fence",
    StartOutcome.OLD: "old",
    StartOutcome.LATE: "late",
    StartOutcome.FULL: "room",
    StartOutcome.REJECTED: "ticket",
}
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


class ConnectionDropped(Exception):
    """Signals that the connection is to be closed without an answer."""


class Standin:
    """A WSGI application that records its calls and injects faults.

    :ivar session: method, path, query, body, status and answer of each answered call
    :ivar forced: status to answer every call with, without carrying it out
    :ivar lose: number of calls to carry out and leave unanswered
    :ivar hang: whether each call is delayed beyond every client's timeout
    """

    def __init__(self):
        self.session = []
        self.forced = None
        self.lose = 0
        self.hang = False

    def __call__(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length) or b"{}")
        path = environ["PATH_INFO"]
        query = {
            key: value[0] for key, value in parse_qs(environ.get("QUERY_STRING", ""), True).items()
        }
        if self.hang:
            eventlet.sleep(10)
        try:
            status, answer = self.answer(environ, path, query, body)
            if self.lose:
                self.lose -= 1
                raise ConnectionDropped
        except ConnectionDropped:
            environ["eventlet.input"].get_socket().shutdown(2)
            return []
        record = {"path": path, "query": query, "body": body, "status": status, "answer": answer}
        self.session.append({"method": environ["REQUEST_METHOD"], **record})
        start_response(STATUS_LINES[status], [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]

    def answer(self, environ, path, query, body):
        """Return the status and the JSON body of the answer to one call."""
        if self.forced:
            return self.forced, {}
        return self.work(environ, path, query, body)


class StoreStandin(Standin):
    """The platform's store, backed by a memory store."""

    def __init__(self, clock, history_limit):
        super().__init__()
        self.store = MemoryStore(clock, history_limit=history_limit)

    def work(self, environ, path, query, body):
        try:
            return self._work(path, query, body)
        except StoreUnavailable:
            return 503, {}
        except StoreUnknown as error:
            raise ConnectionDropped from error
        except LeaseExpired:
            return 404, {}
        except CompactedRevision:
            return 410, {}

    def _work(self, path, query, body):
        store = self.store
        if path == "/kv-key":
            pair = store.get(query["key"])
            return (200, encode_item(pair) | {"as_of": store.revision}) if pair else (404, {})
        if path == "/kv-range":
            return 200, self._page(query)
        if path == "/kv-txn":
            return self._change(body)
        if path == "/kv-lease":
            return 200, {"lease": store.grant_lease(body["ttl_ms"]), "ttl_ms": body["ttl_ms"]}
        if path.startswith("/kv-keep/"):
            return 200, {"ttl_ms": store.keep_alive(int(path.rpartition("/")[2]))}
        if path == "/kv-watch":
            return 200, self._watch(query)
        return 404, {}

    def _page(self, query):
        # Two items a page, so that a listing of three keys or more takes several calls.
        pairs = [
            p for p in self.store.list(query["prefix"]).pairs if p.key > query.get("after", "")
        ]
        items = [encode_item(pair) for pair in pairs[:2]]
        return {"items": items, "has_more": len(pairs) > 2, "as_of": self.store.revision}

    def _change(self, body):
        (condition,) = body["expect"]
        key, revision = condition["key"], condition["revision"]
        if body["set_keys"]:
            (item,) = body["set_keys"]
            value = base64.b64decode(item["value"])
            outcome = self.store.swap(key, revision, value, item["lease"])
        else:
            outcome = self.store.delete(key, revision)
        if outcome.swapped:
            return 200, {"revision": outcome.revision}
        return 412, {"items": [encode_item(outcome.current)] if outcome.current else []}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        watch = self.store.watch(prefix, after)
        first_change = next(watch)
        changes = [] if first_change is None else [first_change]
        while first_change is not None and watch.gi_frame:
            with eventlet.Timeout(0.02, False):
                changes.append(next(watch))
                continue
            break
        watch.close()
        events = [encode_change(change) for change in changes if change is not None]
        return {"events": events, "as_of": max([after, *(e["revision"] for e in events)])}


def encode_item(pair):
    """Return a key in the platform's JSON form."""
    value = base64.b64encode(pair.value).decode()
    return {"key": pair.key, "value": value, "revision": pair.revision, "created": 1, "lease": 0}


def encode_change(change):
    """Return an event of a watch in the platform's JSON form."""
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "deleted": True}
    return encode_item(change)


class MinionStandin(Standin):
    """The platform's HTTP interface of a minion, backed by a memory minion."""

    def __init__(self, minion):
        super().__init__()
        self.minion = minion

    def work(self, environ, path, query, body):
        minion = self.minion
        if environ.get("HTTP_EXPECT_INSTANCE") != minion.incarnation.instance:
            return 421, {}
        clock = {"clock_ms": int(minion.clock_ms)}
        try:
            if path == "/run-start":
                key = RunKey(body["task"], body["run"])
                lease, fence = body["deadline_ms"], body["fence"]
                outcome = minion.start(minion.incarnation, key, body["spec"], lease, fence).outcome
                if outcome is StartOutcome.STARTED:
                    return 200, clock
                if outcome is StartOutcome.UNHEALTHY:
                    return 503, {}
                return 409, clock | {"reason": REASONS[outcome]}
            if path == "/run-stop":
                minion.stop(minion.incarnation, RunKey(body["task"], body["run"]), body["fence"])
                return 200, clock
            # Polls are answered by whichever incarnation runs; the client checks "born".
            view = minion.poll(
                minion.incarnation,
                body["fence"],
                body["acked_upto"],
                body.get("deadline_ms"),
                body.get("wait_ms", 0.0),
            )
        except Fenced:
            return 409, clock | {"reason": "fence"}
        except MinionSilent as error:
            raise ConnectionDropped from error
        running = [[key.task, key.attempt, "", 40] for key in view.running]
        ended = [[end.sequence, *end.key, end.how, ""] for end in view.finished]
        return 200, clock | {"born": view.started_unix_ms, "running": running, "ended": ended}
