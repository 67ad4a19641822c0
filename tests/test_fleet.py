"""Tests of the whole system, with entries, agents and minions in separate processes."""

import json
import unittest

import eventlet
import urllib3

from geraniumspool.client import Client, JobError, TaskRequest
from tests.processes import SERVICE, TEAM, ProcessSystem
from tests.small import wait_until


class FleetTest(unittest.TestCase):
    """Jobs in a system whose processes are killed or replaced meanwhile."""

    def setUp(self):
        self.system = ProcessSystem(["north", "south"], [1, 1])
        self.addCleanup(self.system.stop)
        for entry in self.system.entries:
            wait_until(lambda entry=entry: self.system.ready_agents(entry) == 2)

    def put(self, entry, ticket, tasks, deadline_ms=15000):
        body = {"service": SERVICE, "team": TEAM, "deadline_ms": deadline_ms, "tasks": tasks}
        url = f"http://{entry.ready['callers']}/v1/jobs/{ticket}"
        reply = self.system.http.request("PUT", url, json=body, timeout=20)
        return reply.status, reply.json()

    def put_and_lose(self, entry, ticket, tasks):
        """Submit a job and return whether the connection broke before its answer."""
        try:
            self.put(entry, ticket, tasks)
        except urllib3.exceptions.HTTPError:
            return True
        return False

    def issue(self, entry):
        url = f"http://{entry.ready['callers']}/v1/tickets"
        body = {"service": SERVICE, "team": TEAM, "count": 1}
        return self.system.http.request("POST", url, json=body).json()["tickets"][0]

    def test_job_returns_all_results_in_order(self):
        """A job of many tasks returns all results in task order, with one start per task."""
        client = Client(self.system.caller_addresses(), SERVICE, TEAM)
        tasks = [TaskRequest({"run_ms": 30, "value": number}) for number in range(40)]
        result = client.run(tasks, deadline_ms=15000)
        self.assertEqual([row["value"] for row in result.results], list(range(40)))
        starts = self.system.sum_starts()
        self.assertEqual((starts["starts"], starts["started_more_than_once"]), (40, 0))

    def test_entry_killed_while_job_runs(self):
        """After the entry of a job is killed, another entry answers the resubmitted job.

        No task may start a second time.
        """
        first, second = self.system.entries
        ticket = self.issue(first)
        tasks = [{"payload": {"run_ms": 600, "value": number}} for number in range(24)]
        lost = eventlet.spawn(self.put_and_lose, first, ticket, tasks)
        wait_until(lambda: self.system.sum_starts().get("starts", 0) > 0)
        first.kill()
        self.assertTrue(lost.wait())
        status, answer = self.put(second, ticket, tasks)
        self.assertEqual(status, 200, json.dumps(answer))
        self.assertEqual([row["value"] for row in answer["results"]], list(range(24)))
        starts = self.system.sum_starts()
        self.assertEqual((starts["starts"], starts["started_more_than_once"]), (24, 0))

    def test_rolling_restart(self):
        """All agents and one entry are drained and replaced under load; no job fails."""
        outcomes = []
        stopping = []
        callers = [eventlet.spawn(self.keep_calling, outcomes, stopping) for _ in range(3)]
        starts = []
        for old, minion in zip(list(self.system.agents), list(self.system.minions), strict=True):
            self.system.add_agent(old.domain)
            self.assertEqual(old.terminate(), 0)
            starts.append(self.system.count_starts(minion))
            minion.kill()
        old_entry = self.system.entries[0]
        self.system.add_entry(old_entry.domain)
        self.assertEqual(old_entry.terminate(), 0)
        stopping.append(True)
        for caller in callers:
            caller.wait()
        self.assertGreater(len(outcomes), 0)
        self.assertEqual([outcome for outcome in outcomes if outcome != "complete"], [])
        starts.append(self.system.sum_starts())
        self.assertEqual(sum(row["started_more_than_once"] for row in starts), 0)

    def keep_calling(self, outcomes, stopping):
        """Run jobs one after the other, with failover, until ``stopping`` is not empty."""
        client = Client(self.system.caller_addresses(), SERVICE, TEAM)
        while not stopping:
            try:
                client.run([TaskRequest({"run_ms": 60, "value": 1})] * 6, deadline_ms=15000)
                outcomes.append("complete")
            except JobError as error:
                outcomes.append(f"{error.code} {error.detail}")
