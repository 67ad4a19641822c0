"""Implementation of the commands: operators' requests to an entry, and running the programs.

There is one function per command. It returns the response or an exit code and
raises errors of :mod:`geraniumspool.errors`; :mod:`geraniumspool.cli` formats and
prints them. The functions import the modules of the programs when called, so that
operators' commands start without loading them.
"""

import json
import sys
import uuid
from collections.abc import Callable
from typing import Any

from geraniumspool.decisions import parse_decision_id
from geraniumspool.documents import DOMAIN_KIND
from geraniumspool.entry_client import OUTCOME_UNKNOWN, EntryClient
from geraniumspool.errors import ChangeUnknown, DispatchError, Finding, InvalidInput
from geraniumspool.messages import STATE_MAY_HAVE_RUN, STATE_NOT_RUN
from geraniumspool.operator_answers import (
    ConfigDocument,
    ConfigDocuments,
    ConfigHistory,
    ConfigOutcome,
    ConfigStatus,
    Decisions,
    Roster,
    Status,
)
from geraniumspool.program import FAILED, OK, run_application

REJECTED_STATUSES = frozenset({400, 401, 403, 404, 405, 413})


def status(client: EntryClient) -> Status:
    """Return the state of the entry, of its store connection and of the failure domains."""
    return client.get("status")


def roster(client: EntryClient) -> Roster:
    """Return all processes in the entry's membership list."""
    return client.get("roster")


def config_list(client: EntryClient) -> ConfigDocuments:
    """Return all configuration documents that are currently in effect."""
    return client.get("config")


def config_get(client: EntryClient, key: str) -> ConfigDocument:
    """Return one configuration document.

    :param key: key of the document, such as ``service/fitting``
    :raises NotFound: if there is no such document
    """
    return client.get("config", *key.split("/"))


def config_apply(
    client: EntryClient,
    key: str,
    body: str,
    expected_revision: int,
    who: str,
    why: str,
    change_id: str = "",
) -> ConfigOutcome:
    """Replace one configuration document.

    :param body: new contents of the document
    :param expected_revision: current revision of the document, 0 to create it
    :param who: author of the change, for the audit trail
    :param why: reason for the change, for the audit trail
    :param change_id: idempotency key of the change, a new one if empty; a retry with the
        same id is applied only once
    :raises StaleRevision: if the document's revision is not the expected one
    :raises DispatchError: if the outcome is unknown; the detail then has the change id to
        retry with
    """
    change_id = change_id or uuid.uuid4().hex
    request = {
        "change_id": change_id,
        "expected_revision": expected_revision,
        "body": body,
        "who": who,
        "why": why,
    }
    try:
        return client.call("PUT", ("config", *key.split("/")), request)
    except DispatchError as error:
        if error.code in (OUTCOME_UNKNOWN, ChangeUnknown.code):
            error.detail += f"; to repeat it safely, add --change-id {change_id}"
        raise


def config_history(client: EntryClient, key: str) -> ConfigHistory:
    """Return the audit trail of one configuration document."""
    return client.get("config", *key.split("/"), "history")


def config_status(client: EntryClient) -> ConfigStatus:
    """Return the configuration revision in effect in each failure domain."""
    return client.get("config-status")


def drain(client: EntryClient, address: str, who: str, why: str) -> Any:
    """Ask a process to drain and exit.

    :param address: inbox address of the process, as listed by :func:`roster`
    :param who: who requests it, for the audit trail
    :param why: reason, for the audit trail
    """
    return client.call("POST", ("drain",), {"address": address, "who": who, "why": why})


def domain_evacuate(
    client: EntryClient, domain: str, who: str, why: str, change_id: str = ""
) -> ConfigOutcome:
    """Start no more tasks in a failure domain until :func:`domain_restore` is called.

    :param domain: name of the failure domain
    :param who: author of the change, for the audit trail
    :param why: reason for the change, for the audit trail
    :param change_id: idempotency key of the change, a new one if empty
    :raises InvalidInput: if neither a process nor a document of that failure domain is known
    :raises StaleRevision: if someone else changed the domain's document at the same time
    """
    return _change_domain(client, domain, True, who, why, change_id)


def domain_restore(
    client: EntryClient, domain: str, who: str, why: str, change_id: str = ""
) -> ConfigOutcome:
    """Allow tasks in a failure domain again; parameters as for :func:`domain_evacuate`."""
    return _change_domain(client, domain, False, who, why, change_id)


def _change_domain(
    client: EntryClient, domain: str, evacuated: bool, who: str, why: str, change_id: str
) -> ConfigOutcome:
    key = f"{DOMAIN_KIND}/{domain}"
    documents = {one["key"]: one["revision"] for one in config_list(client)["documents"]}
    known = {row["domain"] for row in status(client)["domains"]}
    if key not in documents and domain not in known:
        text = f"is no known failure domain; known are {', '.join(sorted(known))}"
        raise InvalidInput([Finding(domain, 0, "", text)])
    body = json.dumps({"evacuated": evacuated})
    return config_apply(client, key, body, documents.get(key, 0), who, why, change_id)


def job(client: EntryClient, ticket: str) -> Any:
    """Return the state or the stored result of a job; a failed job's problem is returned as well.

    :raises DispatchError: if the request itself failed, so that nothing is known of the job
    """
    return _return_job_failure(lambda: client.get("jobs", ticket))


def cancel(client: EntryClient, ticket: str) -> Any:
    """Cancel a job and return its state; returns and raises as :func:`job` does."""
    return _return_job_failure(lambda: client.call("DELETE", ("jobs", ticket)))


def why(client: EntryClient, subject: str) -> Decisions:
    """Return the dispatcher's decisions on a job, or a single decision.

    :param subject: ticket of the job, or id of the decision
    """
    if parse_decision_id(subject) is None:
        return client.get("jobs", subject, "decisions")
    answer = client.get("decisions", subject)
    return answer if "decisions" in answer else Decisions(decisions=[answer])


def check(path: str) -> None:
    """Check a settings file of an entry or an agent.

    :raises InvalidInput: if the file has errors; lists all of them
    """
    from geraniumspool.settings import check_file

    findings = check_file(path)
    if findings:
        raise InvalidInput(findings)


def run_entry(path: str) -> int:
    """Run an entry with a settings file until it is stopped, and return the exit code."""
    from geraniumspool.entry import build_entry
    from geraniumspool.settings import load_entry_settings

    settings = load_entry_settings(path)
    _configure_logging(settings)
    return run_application(build_entry(settings))


def run_agent(path: str) -> int:
    """Run an agent with a settings file until it is stopped, and return the exit code."""
    from geraniumspool.agent import build_agent
    from geraniumspool.settings import load_agent_settings

    settings = load_agent_settings(path)
    _configure_logging(settings)
    return run_application(build_agent(settings))


def run_demo(seconds: float, progress: bool | None = None) -> int:
    """Run the whole system in this process and return the exit code.

    :param seconds: duration of the run
    :param progress: whether to print progress, None for only on a terminal
    """
    from geraniumspool.demo import run_demo as run

    return run(seconds, progress)


def run_load(
    entries: list[str],
    service: str,
    team: str,
    seconds: float,
    rate: float,
    mix: str,
    seed: int,
    load_share: float = 0.0,
    slots: int = 0,
    resubmit_share: float = 0.0,
) -> int:
    """Submit jobs to a running system, print the report and return the exit code.

    :param entries: entries' addresses for callers, as ``host:port`` or URL
    :param service: service of the jobs
    :param team: team of the jobs, or several separated by commas
    :param seconds: how long jobs are submitted, in seconds
    :param rate: jobs per second, or 0 where ``load_share`` is given instead
    :param mix: name of the distribution of jobs, a key of :data:`geraniumspool.workload.MIXES`
    :param seed: seed of the random numbers
    :param load_share: offered load as a share of the capacity of all slots
    :param slots: number of slots in the whole system, 0 for the load tool's default
    :param resubmit_share: share of jobs that are submitted through two entries at once
    :returns: ``FAILED`` if a job got no answer or a wrong one
    :raises InvalidInput: if the options contradict each other
    """
    from geraniumspool.load import DEFAULT_SLOTS
    from geraniumspool.load import run_load as run

    report = run(
        entries=entries,
        service=service,
        team=team,
        seconds=seconds,
        rate=rate,
        mix=mix,
        seed=seed,
        load_share=load_share,
        slots=slots or DEFAULT_SLOTS,
        resubmit_share=resubmit_share,
    )
    print(json.dumps(report.as_json()), flush=True)
    return FAILED if report.unanswered or report.wrong_answers else OK


def run_standin_store(host: str, port: int) -> int:
    """Run the stand-in for the store until it is stopped, and return the exit code."""
    from geraniumspool.standins import StandinStoreApplication

    return run_application(StandinStoreApplication(host, port))


def run_standin_minion(
    agent: str, service: str, slots: int, connections: int, host: str, port: int
) -> int:
    """Run a stand-in for a minion until it is stopped, and return the exit code.

    :param agent: base URL of the agent's listener for minions
    """
    from geraniumspool.standins import StandinMinionApplication

    app = StandinMinionApplication(agent, service, slots, connections, host, port)
    return run_application(app)


def _configure_logging(settings: Any) -> None:
    from geraniumspool import logs

    logs.configure_logging(settings.log_level, sys.stderr)


def _return_job_failure(call: Callable[[], Any]) -> Any:
    try:
        return call()
    except DispatchError as error:
        problem = getattr(error, "problem", {})
        if _is_job_failure(error, problem):
            return problem
        raise


def _is_job_failure(error: DispatchError, problem: dict[str, Any]) -> bool:
    outcome = problem.get("outcome")
    if outcome == STATE_MAY_HAVE_RUN:
        return True
    return outcome == STATE_NOT_RUN and error.status not in REJECTED_STATUSES
