"""A network whose connections keep what they can't deliver, and processes that stand still."""

import eventlet
from greenlet import GreenletExit

from geraniumspool.clock import BaseClock, Timer
from geraniumspool.link import RETIRED_LINK_MS
from geraniumspool.memory_link import MemoryNetwork
from geraniumspool.memory_minion import MemoryMinion

# TCP sends again at growing intervals: after a cut it waits for up to as long as that has lasted.
MAX_BACKOFF_MS = 4_000.0
# A connection that is being opened during a cut is open within this time after it.
MAX_OPENING_MS = 1_000.0
# Messages that arrive over a connection without an acknowledgement.
WINDOW_MESSAGES = (10, 100)
# After a stop, a process may run its timers for this long before it reads what has arrived.
READS_LATE_MS = 30.0


class Connection:
    """One connection from a process to another.

    :ivar pair: addresses of sender and receiver
    :ivar target: the messenger that it leads to, None until it is open
    :ivar kept: messages that were sent and not delivered, in order
    :ivar is_waiting: whether kept messages are sent again only after a while
    :ivar unacknowledged: number of messages delivered while no acknowledgement can arrive
    """

    def __init__(self, pair, window):
        self.pair = pair
        self.window = window
        self.target = None
        self.kept = []
        self.is_waiting = False
        self.is_dropped = False
        self.unacknowledged = 0


class Process:
    """A process that may stand still: it then handles no message and no timer.

    :ivar held: messages that arrive meanwhile, by connection
    """

    def __init__(self, clock, draw):
        self.world_clock = clock
        self.clock = ProcessClock(self)
        self.draw = draw
        self.is_frozen = False
        self.is_dead = False
        self.held = {}
        self.deferred = []

    def fire(self, callback):
        """Call a function, once the process goes on."""
        if self.is_dead:
            return
        if self.is_frozen:
            self.deferred.append(callback)
        else:
            callback()

    def run(self, callback):
        """Run a function in a green thread of the process, once that goes on."""
        self.fire(lambda: eventlet.spawn_n(callback))

    def receive(self, connection, data):
        """Handle a message that has arrived over a connection."""
        if self.is_frozen:
            self.held.setdefault(connection, []).append(data)
        elif not self.is_dead:
            connection.target.handle_data(data)

    def await_running(self):
        """Wait in a green thread of the process until it goes on."""
        if self.is_dead:
            raise GreenletExit
        if self.is_frozen:
            self.clock.sleep(0)

    def thaw(self):
        """Handle what has arrived, in any order between connections, and due timers."""
        self.is_frozen = False
        messages = []
        queues = [(connection, list(kept)) for connection, kept in self.held.items()]
        while queues:
            entry = self.draw.choice(queues)
            messages.append((entry[0], entry[1].pop(0)))
            queues = [other for other in queues if other[1]]
        timers, self.deferred, self.held = self.deferred, [], {}
        reads = [lambda c=c, data=data: self.receive(c, data) for c, data in messages]
        how = self.draw.choice(("timers first", "messages first", "mixed", "messages late"))
        if how == "timers first":
            steps = timers + reads
        elif how == "messages first":
            steps = reads + timers
        elif how == "mixed":
            ranks = [(self.draw.random(), one) for one in (0, 1) for _ in (timers, reads)[one]]
            sources = (iter(timers), iter(reads))
            steps = [next(sources[one]) for _, one in sorted(ranks)]
        else:
            steps = timers
            delays = {}
            for (connection, _), step in zip(messages, reads, strict=True):
                if connection not in delays:
                    delays[connection] = self.draw.uniform(0, READS_LATE_MS)
                self.world_clock.after(delays[connection], step)
        for step in steps:
            self.world_clock.after(0, lambda step=step: self.fire(step))


class ProcessClock(BaseClock):
    """Clock of a process whose timers don't fire while the process stands still."""

    def __init__(self, process):
        self._process = process

    def now(self):
        return self._process.world_clock.now()

    def wall_ms(self):
        return self._process.world_clock.wall_ms()

    def after(self, delay_ms, callback):
        timer = Timer(callback)
        self._process.world_clock.after(delay_ms, lambda: self._process.fire(timer.fire))
        return timer


class LateMinion(MemoryMinion):
    """A minion that notes each start at once."""

    def __init__(self, *arguments, on_start, **options):
        super().__init__(*arguments, **options)
        self._on_start = on_start

    def _start(self, key, *arguments):
        count = len(self.started)
        answer = super()._start(key, *arguments)
        if len(self.started) > count:
            self._on_start(self, key)
        return answer


class SlowCalls:
    """Calls of an executor to its minion, which take time, also while the executor stands still.

    :ivar minion: the minion
    """

    def __init__(self, minion, process, draw, longest_ms):
        self.minion = minion
        self._process = process
        self._draw = draw
        self._longest_ms = longest_ms

    def __getattr__(self, name):
        return getattr(self.minion, name)

    def start(self, *arguments):
        return self._call(self.minion.start, *arguments)

    def stop(self, *arguments):
        return self._call(self.minion.stop, *arguments)

    def poll(self, *arguments):
        return self._call(self.minion.poll, *arguments)

    def _call(self, call, *arguments):
        self._process.await_running()
        clock = self._process.world_clock
        try:
            clock.sleep(self._draw.uniform(0, self._longest_ms))
            answer = call(*arguments)
            clock.sleep(self._draw.uniform(0, self._longest_ms))
        finally:
            self._process.await_running()
        return answer


class LateNetwork(MemoryNetwork):
    """A network in memory whose connections keep messages during a cut and deliver them later.

    :ivar accepts: whether connections are accepted during a cut, as by a proxy on the way
    :ivar cuts: by sender's and receiver's address, when each cut of the path between them began
    :ivar connections: current connection by sender's and receiver's address
    :ivar retired: connections that were replaced and still have something to deliver
    :ivar processes: process by address
    :ivar trace: called with a text about each message handed over or kept, if given
    """

    def __init__(self, clock, delay_ms, draw, accepts=False):
        super().__init__(clock, delay_ms)
        self.draw = draw
        self.accepts = accepts
        self.cuts = {}
        self.connections = {}
        self.retired = []
        self.processes = {}
        self.trace = None

    def cut(self, pairs):
        """Cut the paths between pairs of addresses, each in this direction only."""
        for pair in pairs:
            self.cuts.setdefault(pair, []).append(self.clock.now())

    def uncut(self, pairs):
        """End one cut of each path; connections send again what they kept."""
        restored = {}
        for pair in pairs:
            begun = self.cuts.get(pair)
            if begun:
                begun_ms = begun.pop(0)
                if not begun:
                    del self.cuts[pair]
                    restored[pair] = self.clock.now() - begun_ms
        for connection in [*self.connections.values(), *self.retired]:
            lengths = [restored.get(pair) for pair in _both(connection.pair)]
            if any(length is not None for length in lengths):
                self._resume_later(connection, max(length or 0.0 for length in lengths))

    def drop_connection(self, pair):
        """Lose a connection with all that it keeps, as a reset does."""
        connection = self.connections.pop(pair, None)
        if connection is not None:
            connection.is_dropped = True

    def is_lost(self, sender, receiver):
        return (sender, receiver) in self.cuts

    def reopen(self, sender, receiver):
        connection = self.connections.pop((sender, receiver), None)
        if connection is not None:
            self._retire(connection)

    def detach(self, messenger):
        address = messenger.local_peer.address
        is_current = self._inboxes.get(address) is messenger
        super().detach(messenger)
        if is_current:
            for pair, connection in list(self.connections.items()):
                if pair[0] == address:
                    del self.connections[pair]
                    if connection.target is not None:
                        self.retired.append(connection)

    def transmit(self, sender, receiver, message, data):
        inbox = self._inboxes.get(sender.address)
        if inbox is None or inbox.local_peer != sender:
            return
        self.sent.append((sender, receiver, message))
        pair = (sender.address, receiver.address)
        connection = self._find_or_open(pair)
        if connection is None:
            return
        if self._is_blocked(connection) or connection.kept or connection.is_waiting:
            connection.kept.append(data)
            self._note("kept", connection, message)
        else:
            self._send_on(connection, data)

    def _note(self, what, connection, message):
        if self.trace:
            self.trace(f"{what} {connection.pair} {id(connection) % 9973} {message}")

    def _is_blocked(self, connection):
        there, back = _both(connection.pair)
        if there in self.cuts:
            return True
        if back not in self.cuts:
            connection.unacknowledged = 0
            return False
        connection.unacknowledged += 1
        return connection.target is None or connection.unacknowledged > connection.window

    def _find_or_open(self, pair):
        connection = self.connections.get(pair)
        is_cut = any(each in self.cuts for each in _both(pair))
        inbox = self._inboxes.get(pair[1])
        is_idle = connection is not None and not is_cut and not connection.is_waiting
        if is_idle and connection.target is not inbox:
            # The former process at the address has ended, which closed the connection.
            connection.is_dropped = True
            connection = None
        if connection is None:
            if inbox is None and not is_cut:
                self.connections.pop(pair, None)
                return None
            connection = Connection(pair, self.draw.randint(*WINDOW_MESSAGES))
            connection.target = None if is_cut and not self.accepts else inbox
            self.connections[pair] = connection
        return connection

    def _retire(self, connection):
        self.retired.append(connection)
        self.clock.after(RETIRED_LINK_MS, lambda: self._close(connection))

    def _close(self, connection):
        """Close a replaced connection; the host sends on what it has taken over, if it is open."""
        if connection.target is None:
            connection.is_dropped = True
        if connection.is_dropped or not connection.kept:
            self.retired.remove(connection)

    def _resume_later(self, connection, cut_ms):
        if any(each in self.cuts for each in _both(connection.pair)):
            return
        if connection.target is None:
            delay_ms = self.draw.choice((0.0, self.draw.uniform(0, MAX_OPENING_MS)))
        elif connection.kept:
            longest_ms = min(cut_ms, MAX_BACKOFF_MS)
            delay_ms = self.draw.choice((0.0, self.draw.uniform(0, longest_ms), longest_ms))
        else:
            return
        connection.is_waiting = True
        self.clock.after(delay_ms, lambda: self._resume(connection))

    def _resume(self, connection):
        if connection.is_dropped or any(each in self.cuts for each in _both(connection.pair)):
            return
        connection.is_waiting = False
        if connection.target is None:
            connection.target = self._inboxes.get(connection.pair[1])
        kept, connection.kept = connection.kept, []
        if connection.target is None or connection.target is not self._inboxes.get(
            connection.pair[1]
        ):
            connection.is_dropped = True
            return
        for data in kept:
            self._send_on(connection, data)

    def _send_on(self, connection, data):
        self.clock.after(self.delay_ms, lambda: self._arrive(connection, data))

    def _arrive(self, connection, data):
        address = connection.pair[1]
        if self._inboxes.get(address) is connection.target and connection.target is not None:
            if self.trace:
                from geraniumspool.messages import decode

                self._note("arrived", connection, decode(data).message)
            self.processes[address].receive(connection, data)


def _both(pair):
    return (pair, (pair[1], pair[0]))
