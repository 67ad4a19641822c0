"""Slopes of real links: what one more peer and one more message cost."""

import time

import eventlet
import psutil

from benchmarks.slope_fit import US_PER_S, Point, Slope, fit
from benchmarks.slope_membership import make_member
from geraniumspool.application import draw_incarnation
from geraniumspool.clock import SystemClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.link import NngMessenger
from geraniumspool.members import ROLE_AGENT
from geraniumspool.messages import Heartbeat

PEERS = (25, 75, 150)
SETTLE_S = 0.5
RATES = (50, 200, 800)
RATE_SECONDS = 3.0
LISTEN = "tcp://127.0.0.1:0"


def measure_links() -> list[Slope]:
    """Return the slopes of links between messengers in one process."""
    return [*_measure_peers(), _measure_messages()]


def _start() -> NngMessenger:
    messenger = NngMessenger(LISTEN, draw_incarnation(), SystemClock(), MemoryCounters())
    messenger.start(lambda delivery: None)
    return messenger


def _measure_peers() -> list[Slope]:
    process = psutil.Process()
    sender = _start()
    peers: list[NngMessenger] = []
    memory, files = [], []
    resident = process.memory_info().rss
    linked_files = 0
    beat = Heartbeat(make_member(0, 1, ROLE_AGENT), 0, 0, 0)
    for count in PEERS:
        fresh = [_start() for _ in range(count - len(peers))]
        peers += fresh
        eventlet.sleep(SETTLE_S)
        before = process.num_fds()
        for peer in fresh:
            sender.send(peer.me, beat)
        eventlet.sleep(SETTLE_S)
        linked_files += process.num_fds() - before
        memory.append(Point(count, (process.memory_info().rss - resident) / 1024.0))
        files.append(Point(count, linked_files))
    for messenger in (sender, *peers):
        eventlet.spawn(messenger.stop)
    eventlet.sleep(2 * SETTLE_S)
    return [
        fit("link with both ends, and the peer's inbox / peers", "KiB resident", memory),
        fit("link with both ends / peers", "descriptors", files),
    ]


def _measure_messages() -> Slope:
    """Processor time of a steady rate of heartbeats, sent and received here."""
    sender, receiver = _start(), _start()
    beat = Heartbeat(make_member(0, 1, ROLE_AGENT), 0, 0, 0)
    points = []
    for rate in RATES:
        start = time.process_time()
        for _ in range(int(rate * RATE_SECONDS)):
            sender.send(receiver.me, beat)
            eventlet.sleep(1.0 / rate)
        taken = (time.process_time() - start) * US_PER_S / RATE_SECONDS
        points.append(Point(rate, taken))
    sender.stop()
    receiver.stop()
    return fit("heartbeat over a link, sent and received / a second", "us of processor/s", points)
