"""Tests of the placement policies."""

import itertools
import unittest

from geraniumspool.job import Width
from geraniumspool.messages import Load, Member, Peer
from geraniumspool.placement import LOOKAHEAD_BY_WIDTH, LateBinding, TasksToPlace
from geraniumspool.worker import SLOW_PACE_RATIO, SLOW_PROBE_MS, Worker

OWN = Peer("tcp://10.0.0.1:7000", 1)


def make_worker(number, domain="north", load=None):
    """Return a worker, by default with 8 free slots.

    :param number: last byte of its address, and its incarnation
    """
    address = f"tcp://10.0.0.{number}:7000"
    load = load or Load(8, 8)
    return Worker(Member(address, number, domain, "agent", "ready", "fitting", load=load), 0.0)


def allot(workers, count, width=Width.WIDE):
    """Return the number of tasks allotted to each worker, by the worker's number."""
    reach = LOOKAHEAD_BY_WIDTH[width]
    demand = TasksToPlace(count, 400.0, reach, width == Width.NARROW)
    rows = LateBinding(1).allot(demand, workers, OWN, "north")
    return {row.worker.peer.incarnation: row.count for row in rows}


class LateBindingTest(unittest.TestCase):
    """Late binding takes the cheapest places first."""

    def test_allotment(self):
        full = Load(8, 0)
        own, near, far = make_worker(1), make_worker(2), make_worker(3, "south")
        cases = [
            ("own first", [own, near, far], 1, Width.NARROW, {1: 1}),
            ("near before far", [make_worker(1, load=full), near, far], 2, Width.NARROW, {2: 2}),
            ("wide job leaves a reserved slot", [own, near], 14, Width.WIDE, {1: 7, 2: 7}),
            ("narrow job takes every slot", [own], 8, Width.NARROW, {1: 8}),
            (
                "short wait instead of other domain",
                [own, near, far],
                21,
                Width.WIDE,
                {1: 8, 2: 8, 3: 5},
            ),
            ("limited lookahead", [own], 100, Width.WIDE, {1: 15}),
            ("further lookahead for narrow job", [own], 100, Width.NARROW, {1: 32}),
        ]
        for name, workers, count, width, expected in cases:
            with self.subTest(name):
                self.assertEqual(allot(workers, count, width), expected)

    def test_stays_home_agrees_with_allotment(self):
        """Tasks kept by ``prefers_own_worker`` would also be allotted to the own worker."""
        stayed = set()
        for slots, free, count in itertools.product((8, 60), (0, 1, 7, 8, 60), (1, 7, 8, 45)):
            workers = [make_worker(1, load=Load(slots, min(slots, free))), make_worker(2)]
            for width in Width:
                demand = TasksToPlace(
                    count, 400.0, LOOKAHEAD_BY_WIDTH[width], width == Width.NARROW
                )
                if LateBinding(1).prefers_own_worker(demand, workers[0]):
                    stayed.add(count)
                    self.assertEqual(allot(workers, count, width), {1: count})
        self.assertEqual(stayed, {1, 7, 8})

    def test_wide_job_may_probe_slow_worker(self):
        """A wide job may probe a slow worker, which could otherwise never recover."""
        worker = make_worker(1)
        worker.pace = SLOW_PACE_RATIO * 2
        worker.refresh(SLOW_PROBE_MS + 1)
        self.assertEqual(allot([worker], 40), {1: 1})
