"""Stand-ins of the platform: its store and a minion, spoken to over loopback HTTP."""

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
STATUS = {
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


class HangUp(Exception):
    """The connection ends without an answer."""


class Standin:
    """A WSGI application that records sessions and can be told to misbehave.

    :ivar session: method, path, body and answer of each call
    :ivar forced: status to answer with instead of doing anything
    :ivar lose: answers to lose after the work was done
    :ivar hang: whether calls are never answered
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
                raise HangUp
        except HangUp:
            environ["eventlet.input"].get_socket().shutdown(2)
            return []
        sent = {"path": path, "query": query, "body": body, "status": status, "answer": answer}
        self.session.append({"method": environ["REQUEST_METHOD"], **sent})
        start_response(STATUS[status], [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]

    def answer(self, environ, path, query, body):
        """Return status and body of the answer to one call."""
        if self.forced:
            return self.forced, {}
        return self.work(environ, path, query, body)


class StoreStandin(Standin):
    """The platform's store over a store in memory."""

    def __init__(self, clock, history_limit):
        super().__init__()
        self.store = MemoryStore(clock, history_limit=history_limit)

    def work(self, environ, path, query, body):
        try:
            return self._work(path, query, body)
        except StoreUnavailable:
            return 503, {}
        except StoreUnknown as error:
            raise HangUp from error
        except LeaseExpired:
            return 404, {}
        except CompactedRevision:
            return 410, {}

    def _work(self, path, query, body):
        store = self.store
        if path == "/kv-key":
            pair = store.get(query["key"])
            return (200, show_item(pair) | {"as_of": store.revision}) if pair else (404, {})
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
        # Two items a page, so that every listing of some length takes several.
        pairs = [
            p for p in self.store.list(query["prefix"]).pairs if p.key > query.get("after", "")
        ]
        items = [show_item(pair) for pair in pairs[:2]]
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
        return 412, {"items": [show_item(outcome.current)] if outcome.current else []}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        watch = self.store.watch(prefix, after)
        first = next(watch)
        changes = [] if first is None else [first]
        while first is not None and watch.gi_frame:
            with eventlet.Timeout(0.02, False):
                changes.append(next(watch))
                continue
            break
        watch.close()
        events = [show_change(change) for change in changes if change is not None]
        return {"events": events, "as_of": max([after, *(e["revision"] for e in events)])}


def show_item(pair):
    """Return a key as the platform shows it."""
    value = base64.b64encode(pair.value).decode()
    return {"key": pair.key, "value": value, "revision": pair.revision, "created": 1, "lease": 0}


def show_change(change):
    """Return an event as the platform shows it."""
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "deleted": True}
    return show_item(change)


class MinionStandin(Standin):
    """A minion over one in memory."""

    def __init__(self, minion):
        super().__init__()
        self.minion = minion

    def work(self, environ, path, query, body):
        minion = self.minion
        if environ.get("HTTP_EXPECT_INSTANCE") != minion.life.instance:
            return 421, {}
        clock = {"clock_ms": int(minion.clock_ms)}
        try:
            if path == "/run-start":
                key = RunKey(body["task"], body["run"])
                lease, fence = body["deadline_ms"], body["fence"]
                outcome = minion.start(minion.life, key, body["spec"], lease, fence).outcome
                if outcome is StartOutcome.STARTED:
                    return 200, clock
                if outcome is StartOutcome.UNHEALTHY:
                    return 503, {}
                return 409, clock | {"reason": REASONS[outcome]}
            if path == "/run-stop":
                minion.stop(minion.life, RunKey(body["task"], body["run"]), body["fence"])
                return 200, clock
            # The other end finds out by itself which life answers.
            view = minion.look(
                minion.life,
                body["fence"],
                body["acked_upto"],
                body.get("deadline_ms"),
                body.get("wait_ms", 0.0),
            )
        except Fenced:
            return 409, clock | {"reason": "fence"}
        except MinionSilent as error:
            raise HangUp from error
        running = [[key.task, key.attempt, "", 40] for key in view.running]
        ended = [[end.number, *end.key, end.how, ""] for end in view.ended]
        return 200, clock | {"born": view.started_unix_ms, "running": running, "ended": ended}
