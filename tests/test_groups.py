"""Tests of the assignment of workers to dispatchers."""

import unittest
from collections import Counter

from geraniumspool.groups import Owner, WorkerLocation, assign_workers, choose_owners

DOMAINS = ("north", "east", "south")


def make_members(number, capacity=1.0):
    """Return dispatchers of equal capacity in three failure domains."""
    return [Owner(f"h{n}", DOMAINS[n % 3], capacity) for n in range(number)]


def make_workers(number, rack=4):
    """Return workers in three failure domains.

    :param rack: number of workers per rack
    """
    return {
        f"w{n}": WorkerLocation("fitting", DOMAINS[n % 3], f"r{n % 3}-{n // 3 // rack}")
        for n in range(number)
    }


class DivideTest(unittest.TestCase):
    """Assignment of each worker to its owner."""

    def test_each_worker_has_an_owner_and_no_owner_exceeds_its_share(self):
        for members, workers in ((1, 5), (3, 36), (10, 62), (35, 160)):
            with self.subTest(members=members, workers=workers):
                groups = assign_workers(make_members(members), make_workers(workers))
                self.assertEqual(workers, len(groups))
                sizes = Counter(groups.values())
                self.assertLessEqual(max(sizes.values()), -(-workers // len(sizes)))

    def test_the_order_of_members_and_workers_does_not_matter(self):
        members, workers = make_members(10), make_workers(62)
        reversed_workers = dict(reversed(workers.items()))
        self.assertEqual(
            assign_workers(members, workers), assign_workers(members[::-1], reversed_workers)
        )

    def test_without_dispatchers_no_worker_has_an_owner(self):
        self.assertEqual({}, assign_workers([], make_workers(5)))

    def test_most_owners_are_in_the_failure_domain_of_their_workers(self):
        members, workers = make_members(9), make_workers(108)
        domains = {member.address: member.domain for member in members}
        groups = assign_workers(members, workers)
        local = sum(domains[owner] == workers[address].domain for address, owner in groups.items())
        self.assertGreaterEqual(local, 100)

    def test_most_workers_keep_their_owner_when_another_owner_is_lost(self):
        members, workers = make_members(10), make_workers(120)
        before = assign_workers(members, workers)
        after = assign_workers(members[1:], workers)
        lost = sum(owner == "h0" for owner in before.values())
        moved = sum(before[address] != after[address] for address in workers)
        self.assertLessEqual(moved, 3 * lost)

    def test_a_faster_dispatcher_owns_more_workers(self):
        members = [Owner("slow", "north", 0.25), Owner("fast", "north", 2.0)]
        sizes = Counter(assign_workers(members, make_workers(24)).values())
        self.assertGreaterEqual(sizes["fast"], 2.5 * sizes["slow"])


class OwnersTest(unittest.TestCase):
    """Choice of the dispatchers that own workers."""

    def test_the_fastest_of_each_domain_come_first(self):
        members = make_members(9, 0.5) + [Owner(f"f{n}", DOMAINS[n], 2.0) for n in range(3)]
        owners = choose_owners(members, 36)
        self.assertEqual({"f0", "f1", "f2"}, {owner.address for owner in owners})

    def test_slow_dispatchers_own_few_workers_each(self):
        self.assertEqual(5, len(choose_owners(make_members(9, 0.12), 9)))

    def test_few_workers_have_one_owner_and_many_have_all_dispatchers(self):
        self.assertEqual(1, len(choose_owners(make_members(3), 5)))
        self.assertEqual(3, len(choose_owners(make_members(3), 500)))


if __name__ == "__main__":
    unittest.main()
