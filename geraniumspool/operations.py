"""What the commands do: operators' calls to an entry, and running the programs.

The functions mirror the commands. They return data or an exit code and raise
the errors of :mod:`geraniumspool.errors`; printing for people is left to
:mod:`geraniumspool.cli`. Modules of the programs are loaded only when needed.
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
    """Return the state of the entry and of the failure domains it knows."""
    return client.get("status")


def roster(client: EntryClient) -> Roster:
    """Return all processes that the entry knows."""
    return client.get("roster")


def config_list(client: EntryClient) -> ConfigDocuments:
    """Return all configuration documents in force."""
    return client.get("config")


def config_get(client: EntryClient, key: str) -> ConfigDocument:
    """Return one configuration document.

    :param key: such as ``service/fitting``
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
    """Change one configuration document.

    :param body: text of the new document
    :param expected_revision: revision the change is based on, 0 for a new document
    :param who: who makes the change, for the audit trail
    :param why: reason of the change, for the audit trail
    :param change_id: id of the change; repeat it to repeat a change safely
    :raises StaleRevision: if the document was changed meanwhile
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
    """Return the configuration revision in force per failure domain."""
    return client.get("config-status")


def drain(client: EntryClient, address: str, who: str, why: str) -> Any:
    """Ask a process to leave gracefully.

    :param address: inbox address of the process, as in the roster
    :param who: who asks, for the audit trail
    :param why: reason, for the audit trail
    """
    return client.call("POST", ("drain",), {"address": address, "who": who, "why": why})


def domain_evacuate(
    client: EntryClient, domain: str, who: str, why: str, change_id: str = ""
) -> ConfigOutcome:
    """Have no task started in a failure domain until it is restored.

    :param who: who asks, for the audit trail
    :param why: reason, for the audit trail
    :param change_id: id of an earlier try, to repeat it safely
    :raises InvalidInput: if the entry knows no such domain
    """
    return _change_domain(client, domain, True, who, why, change_id)


def domain_restore(
    client: EntryClient, domain: str, who: str, why: str, change_id: str = ""
) -> ConfigOutcome:
    """Use a failure domain again; takes what :func:`domain_evacuate` takes."""
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
    """Return the state or the kept answer of a job, a failure included."""
    return _report_job(lambda: client.get("jobs", ticket))


def cancel(client: EntryClient, ticket: str) -> Any:
    """Cancel a job and return its state, a failure included."""
    return _report_job(lambda: client.call("DELETE", ("jobs", ticket)))


def why(client: EntryClient, subject: str) -> Decisions:
    """Return the decisions on a job, or one decision.

    :param subject: a ticket or a decision's id
    """
    if parse_decision_id(subject) is None:
        return client.get("jobs", subject, "decisions")
    answer = client.get("decisions", subject)
    return answer if "decisions" in answer else Decisions(decisions=[answer])


def check(path: str) -> None:
    """Check a settings file of an entry or an agent.

    :raises InvalidInput: with all findings
    """
    from geraniumspool.settings import check_file

    findings = check_file(path)
    if findings:
        raise InvalidInput(findings)


def run_entry(path: str) -> int:
    """Run an entry with the settings in a file, and return the exit code."""
    from geraniumspool.entry import build_entry
    from geraniumspool.settings import load_entry_settings

    settings = load_entry_settings(path)
    _set_up_logs(settings)
    return run_application(build_entry(settings))


def run_agent(path: str) -> int:
    """Run an agent with the settings in a file, and return the exit code."""
    from geraniumspool.agent import build_agent
    from geraniumspool.settings import load_agent_settings

    settings = load_agent_settings(path)
    _set_up_logs(settings)
    return run_application(build_agent(settings))


def run_demo(seconds: float, progress: bool | None = None) -> int:
    """Run the whole system in this process for a while, and return the exit code."""
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
    """Put load on a running system, print the report and return the exit code.

    :param entries: callers' addresses of the entries
    :param team: team of the jobs, or several with commas between
    :param seconds: how long
    :param rate: jobs a second, or 0 where ``load_share`` says it
    :param mix: name of the mix of jobs
    :param seed: seed of the random numbers
    :param load_share: share of all slots' time that is offered
    :param slots: slots of the whole system, 0 for the load tool's default
    :param resubmit_share: share of jobs that are submitted through two entries at once
    :returns: ``FAILED`` if a job got no answer or a wrong one
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
    """Run the stand-in of the platform's store, and return the exit code."""
    from geraniumspool.standins import StandinStoreApplication

    return run_application(StandinStoreApplication(host, port))


def run_standin_minion(
    agent: str, service: str, slots: int, connections: int, host: str, port: int
) -> int:
    """Run the stand-in of a minion, and return the exit code."""
    from geraniumspool.standins import StandinMinionApplication

    app = StandinMinionApplication(agent, service, slots, connections, host, port)
    return run_application(app)


def _set_up_logs(settings: Any) -> None:
    from geraniumspool import logs

    logs.set_up(settings.log_level, sys.stderr)


def _report_job(call: Callable[[], Any]) -> Any:
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
