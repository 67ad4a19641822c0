"""Costs of real connections between messengers, by number of peers and rate of messages."""

import time

import eventlet
import psutil

from benchmarks.slope_fit import US_PER_S, Point, Slope, fit
from benchmarks.slope_membership import make_member
from geraniumspool.clock import SystemClock
from geraniumspool.counters import MemoryCounters
from geraniumspool.link import NngMessenger
from geraniumspool.members import ROLE_AGENT
from geraniumspool.messages import Heartbeat
from geraniumspool.wire_versions import new_incarnation

PEER_COUNTS = (25, 75, 150)
SETTLE_S = 0.5
HEARTBEATS_PER_S = (50, 200, 800)
RATE_DURATION_S = 3.0
LISTEN = "tcp://127.0.0.1:0"


def measure_links() -> list[Slope]:
    """Measure links between messengers in this process, and return the slopes."""
    return [*_measure_peers(), _measure_messages()]


def _start_messenger() -> NngMessenger:
    messenger = NngMessenger(LISTEN, new_incarnation(), SystemClock(), MemoryCounters())
    messenger.start(lambda delivery: None)
    return messenger


def _measure_peers() -> list[Slope]:
    process = psutil.Process()
    sender = _start_messenger()
    peers: list[NngMessenger] = []
    memory, descriptor_points = [], []
    initial_rss = process.memory_info().rss
    descriptors = 0
    heartbeat = Heartbeat(make_member(0, 1, ROLE_AGENT), 0, 0, 0)
    for count in PEER_COUNTS:
        new_peers = [_start_messenger() for _ in range(count - len(peers))]
        peers += new_peers
        eventlet.sleep(SETTLE_S)
        before = process.num_fds()
        for peer in new_peers:
            sender.send(peer.local_peer, heartbeat)
        eventlet.sleep(SETTLE_S)
        descriptors += process.num_fds() - before
        memory.append(Point(count, (process.memory_info().rss - initial_rss) / 1024.0))
        descriptor_points.append(Point(count, descriptors))
    for messenger in (sender, *peers):
        eventlet.spawn(messenger.stop)
    eventlet.sleep(2 * SETTLE_S)
    return [
        fit("link with both ends, and the peer's inbox / peers", "KiB resident", memory),
        fit("link with both ends / peers", "descriptors", descriptor_points),
    ]


def _measure_messages() -> Slope:
    """Measure the processor time of sending and receiving heartbeats at a steady rate."""
    sender, receiver = _start_messenger(), _start_messenger()
    heartbeat = Heartbeat(make_member(0, 1, ROLE_AGENT), 0, 0, 0)
    points = []
    for rate in HEARTBEATS_PER_S:
        start = time.process_time()
        for _ in range(int(rate * RATE_DURATION_S)):
            sender.send(receiver.local_peer, heartbeat)
            eventlet.sleep(1.0 / rate)
        used_us_per_s = (time.process_time() - start) * US_PER_S / RATE_DURATION_S
        points.append(Point(rate, used_us_per_s))
    sender.stop()
    receiver.stop()
    return fit("heartbeat over a link, sent and received / a second", "us of processor/s", points)
