"""Tests of evacuating and restoring a failure domain of entries and agents."""

import json
import unittest

import eventlet

from geraniumspool import operations
from geraniumspool.decisions import DOMAIN_EVACUATED, DOMAIN_RESTORED
from geraniumspool.errors import InvalidInput
from geraniumspool.runner import REFUSED_EVACUATED
from tests.world import World

# Every agent has a new configuration after two heartbeats.
CONFIGURATION_DELAY_MS = 3_000.0


class DomainCase(unittest.TestCase):
    """Base class: two domains with an entry and two agents each, each agent with two slots."""

    def setUp(self):
        self.world = World(domains=2, agents=2, slots=2)
        self.addCleanup(self.world.stop)
        self.revision = 0

    def change(self, domain, evacuated):
        configuration_changes = self.world.entries[0].application.configuration_changes
        body = json.dumps({"evacuated": evacuated}).encode()
        name = f"c{self.revision}"

        def propose():
            receipt = configuration_changes.apply_change(
                f"domain/{domain}", body, self.revision, name, "bat", "power"
            )
            self.revision = receipt.revision

        eventlet.spawn(propose)
        self.world.run(CONFIGURATION_DELAY_MS)

    def agents_of(self, domain):
        return [agent for agent in self.world.agents if agent.domain == domain]

    def count_started(self, domain):
        return sum(
            agent.application.metrics.get("tasks_started") for agent in self.agents_of(domain)
        )

    def submit_all(self, runs=(80.0,) * 6):
        """Submit a job to each agent as its home; return the calls."""
        entry = self.world.entries[1]
        return [
            self.world.submit(entry, self.world.make_job(home, runs)) for home in self.world.agents
        ]

    def outcomes(self, calls):
        return {call.outcome for call in calls}


class EvacuationTest(DomainCase):
    """No task starts in an evacuated domain, and no job fails because of it."""

    def test_no_task_starts_there_but_homes_there_continue(self):
        self.change("d0", True)
        before = self.count_started("d0")
        calls = self.submit_all()
        self.world.run(4_000)
        self.assertEqual({"complete"}, self.outcomes(calls))
        self.assertEqual(before, self.count_started("d0"))
        self.assertEqual([], self.world.find_violations())

    def test_restored_domain_is_used_again(self):
        self.change("d0", True)
        self.change("d0", False)
        before = self.count_started("d0")
        calls = self.submit_all()
        self.world.run(4_000)
        self.assertEqual({"complete"}, self.outcomes(calls))
        self.assertGreater(self.count_started("d0"), before)

    def test_running_tasks_finish_and_queued_tasks_move_to_another_domain(self):
        calls = self.submit_all((2_000.0,) * 2 + (200.0,) * 2)
        self.world.run(100)
        running = self.count_started("d0")
        self.assertGreater(running, 0)
        self.change("d0", True)
        self.world.run(8_000)
        started = self.count_started("d0")
        self.world.run(8_000)
        self.assertEqual({"complete"}, self.outcomes(calls))
        self.assertEqual(started, self.count_started("d0"))
        self.assertEqual([], self.world.find_violations())

    def test_runner_refuses_offers_of_a_home_without_the_new_configuration(self):
        self.change("d0", True)
        home = self.agents_of("d1")[0]
        home.application.configuration.is_evacuated = lambda _domain: False
        before = self.count_started("d0")
        for agent in self.agents_of("d0"):
            # Simulate a load that was reported before the evacuation.
            slots = agent.application.runner.slots
            described = agent.application.describe()
            stale_member = described._replace(load=described.load._replace(slots=slots, free=slots))
            home.application.roster.apply_indirect(
                stale_member._replace(version=stale_member.version + 1)
            )
        calls = [
            self.world.submit(self.world.entries[1], self.world.make_job(home, (150.0,) * 8))
            for _ in range(2)
        ]
        self.world.run(5_000)
        self.assertEqual({"complete"}, self.outcomes(calls))
        self.assertEqual(before, self.count_started("d0"))
        refused = sum(
            agent.application.metrics.get("offers_refused", code=REFUSED_EVACUATED)
            for agent in self.agents_of("d0")
        )
        self.assertGreater(refused, 0)

    def test_jobs_are_refused_at_once_if_all_domains_are_evacuated(self):
        self.change("d0", True)
        self.revision = 0
        self.change("d1", True)
        calls = self.submit_all()
        self.world.run(100)
        self.assertEqual({"not_run"}, self.outcomes(calls))

    def test_evacuation_is_in_the_audit_trail_and_the_decisions(self):
        self.change("d0", True)
        self.change("d0", False)
        configuration_changes = self.world.entries[1].application.configuration_changes
        trail = []
        eventlet.spawn(lambda: trail.append(configuration_changes.history("domain/d0")))
        self.world.run(100)
        self.assertEqual(["bat", "bat"], [record.who for record in trail[0].records])
        agent = self.agents_of("d0")[0].application
        codes = [decision.code for decision in agent.decisions.list_by_subject("d0")]
        self.assertEqual([DOMAIN_EVACUATED, DOMAIN_RESTORED], codes)


class RecordingClient:
    """A client for an entry with two domains; records the changes it is asked to make."""

    def __init__(self):
        self.changes = []

    def get(self, *path):
        if path == ("config",):
            return {"documents": [{"key": "domain/north", "revision": 7, "body": {}}]}
        return {"domains": [{"domain": "north"}, {"domain": "south"}]}

    def call(self, method, path, body):
        self.changes.append((method, path, body["expected_revision"], json.loads(body["body"])))
        return {"status": "accepted", "revision": 8}


class CommandTest(unittest.TestCase):
    """The commands ``domain evacuate`` and ``domain restore``."""

    def test_changes_are_based_on_the_current_revision(self):
        client = RecordingClient()
        operations.domain_evacuate(client, "south", "bat", "power")
        operations.domain_restore(client, "north", "bat", "power is back")
        expected = [
            ("PUT", ("config", "domain", "south"), 0, {"evacuated": True}),
            ("PUT", ("config", "domain", "north"), 7, {"evacuated": False}),
        ]
        self.assertEqual(expected, client.changes)

    def test_unknown_domain_is_refused_with_a_list_of_known_ones(self):
        client = RecordingClient()
        with self.assertRaises(InvalidInput) as caught:
            operations.domain_evacuate(client, "west", "bat", "power")
        self.assertIn("north, south", str(caught.exception.findings[0]))
        self.assertEqual([], client.changes)


if __name__ == "__main__":
    unittest.main()
