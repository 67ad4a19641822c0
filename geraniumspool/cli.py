"""Command line interface.

Fire parses the arguments and calls the method of the command, which only records
an action in a :class:`Plan`. The action runs after Fire has accepted the whole
command line, so an unknown flag is reported before anything is done.

The exit codes are listed in :mod:`geraniumspool.exit_codes`.
"""

import contextlib
import io
import json
import sys
from collections.abc import Callable
from functools import partial
from typing import Any, NoReturn

import fire
from fire.core import FireExit
from fire.decorators import SetParseFn

from geraniumspool import __version__, operations, tables
from geraniumspool.arguments import (
    OperatorFlags,
    UsageError,
    parse_document_key,
    parse_listen_address,
    parse_operator_flags,
    parse_positive_number,
    parse_text,
    parse_whole_number,
    read_file,
    require_file,
    resolve_entry,
)
from geraniumspool.entry_client import EntryClient
from geraniumspool.errors import DispatchError, InvalidInput
from geraniumspool.exit_codes import (
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_OK,
    EXIT_USAGE,
    exit_code_for_cancel,
    exit_code_for_error,
    exit_code_for_job,
)

PROGRAM = "geraniumspool"
MIN_TICKET_CHARS = 40
# A ticket may begin with "-", which Fire would take for a flag. Such a ticket, recognised by its
# length, is therefore passed as the value of the flag given here for each command.
TICKET_FLAGS = {"job": "--ticket", "cancel": "--ticket", "why": "--subject"}
HELP_NOTICE = "INFO: Showing help"
STANDARD_INPUT = "/dev/stdin"
DEFAULT_RATE = "10"

# Attribute in which Fire stores its decorators' metadata; the leading underscore keeps it out of
# help texts.
fire.decorators.FIRE_METADATA = "_fire_metadata"
_as_text = SetParseFn(str)


class Plan:
    """Action of a command line, run once the whole command line has been parsed.

    :ivar run: performs the action and returns the exit code, None until a command sets it
    """

    def __init__(self):
        """Create a plan without an action."""
        self.run: Callable[[], int] | None = None

    def ask(
        self,
        target: OperatorFlags,
        call: Callable[..., Any],
        show: Callable[[Any], str],
        *arguments: Any,
        judge: Callable[[Any], int] = lambda _answer: EXIT_OK,
    ) -> None:
        """Set the action to one request to an entry, whose response is printed.

        :param target: address, token and output format from the command line
        :param call: function of :mod:`geraniumspool.operations` that sends the request
        :param show: formats the response as text, used without ``--json``
        :param arguments: passed to ``call`` after the client
        :param judge: returns the exit code for the response
        :raises UsageError: if neither flags nor environment name an entry
        """
        entry = resolve_entry(target)

        def run() -> int:
            answer = call(EntryClient(entry), *arguments)
            text = json.dumps(answer, indent=2) if target.as_json else show(answer)
            print(text, flush=True)
            return judge(answer)

        self.run = run


class ConfigCommands:
    """Configuration documents: one per service and one per team."""

    def __init__(self, plan: Plan):
        """Bind the commands to the plan that they fill in."""
        self._plan = plan

    @_as_text
    def list(self, *, entry="", token="", json="False"):
        """List all documents that are currently in effect."""
        target = parse_operator_flags(entry, token, json)
        self._plan.ask(target, operations.config_list, tables.format_documents)

    @_as_text
    def get(self, key, *, entry="", token="", json="False"):
        """Print the document with the key KEY, such as service/fitting."""
        target = parse_operator_flags(entry, token, json)
        self._plan.ask(
            target, operations.config_get, tables.format_document, parse_document_key(key)
        )

    @_as_text
    def apply(
        self,
        key,
        file,
        *,
        expected_revision,
        who,
        why,
        change_id="",
        entry="",
        token="",
        json="False",
    ):
        """Replace the document KEY by the contents of FILE ("-" is standard input).

        :param expected_revision: current revision of the document, 0 to create it
        :param who: author of the change, for the audit trail
        :param why: reason for the change, for the audit trail
        :param change_id: id of an earlier attempt, so that a retry is applied only once
        """
        target = parse_operator_flags(entry, token, json)
        revision = parse_whole_number(expected_revision, "--expected-revision")
        arguments = (
            parse_document_key(key),
            read_file(file),
            revision,
            parse_text(who, "--who"),
            parse_text(why, "--why"),
        )
        self._plan.ask(target, operations.config_apply, tables.format_pairs, *arguments, change_id)

    @_as_text
    def history(self, key, *, entry="", token="", json="False"):
        """Print the audit trail of the document KEY."""
        target = parse_operator_flags(entry, token, json)
        self._plan.ask(
            target, operations.config_history, tables.format_history, parse_document_key(key)
        )

    @_as_text
    def status(self, *, entry="", token="", json="False"):
        """Print the configuration revision in effect in each failure domain."""
        target = parse_operator_flags(entry, token, json)
        self._plan.ask(target, operations.config_status, tables.format_config_status)


class DomainCommands:
    """Failure domains: evacuate and restore them."""

    def __init__(self, plan: Plan):
        """Bind the commands to the plan that they fill in."""
        self._plan = plan

    @_as_text
    def evacuate(self, name, *, who, why, change_id="", entry="", token="", json="False"):
        """Start no more tasks in the failure domain NAME; running tasks continue.

        :param who: author of the change, for the audit trail
        :param why: reason for the change, for the audit trail
        :param change_id: id of an earlier attempt, so that a retry is applied only once
        """
        target = parse_operator_flags(entry, token, json)
        arguments = (name, parse_text(who, "--who"), parse_text(why, "--why"), change_id)
        self._plan.ask(target, operations.domain_evacuate, tables.format_pairs, *arguments)

    @_as_text
    def restore(self, name, *, who, why, change_id="", entry="", token="", json="False"):
        """Allow tasks to start in the failure domain NAME again.

        :param who: author of the change, for the audit trail
        :param why: reason for the change, for the audit trail
        :param change_id: id of an earlier attempt, so that a retry is applied only once
        """
        target = parse_operator_flags(entry, token, json)
        arguments = (name, parse_text(who, "--who"), parse_text(why, "--why"), change_id)
        self._plan.ask(target, operations.domain_restore, tables.format_pairs, *arguments)


class StandinCommands:
    """Stand-ins for the store and for minions, for tests and trials."""

    def __init__(self, plan: Plan):
        """Bind the commands to the plan that they fill in."""
        self._plan = plan

    @_as_text
    def store(self, *, listen="127.0.0.1:0"):
        """Run a stand-in for the store: in memory, with etcd's JSON API."""
        self._plan.run = partial(operations.run_standin_store, *parse_listen_address(listen))

    @_as_text
    def minion(self, *, agent, service, slots="8", connections="64", listen="127.0.0.1:0"):
        """Run a stand-in for a minion and register it with an agent.

        :param agent: base URL of the agent's listener for minions, such as http://127.0.0.1:7000
        """
        slots, connections = (
            parse_whole_number(slots, "--slots"),
            parse_whole_number(connections, "--connections"),
        )
        arguments = (agent, service, slots, connections, *parse_listen_address(listen))
        self._plan.run = partial(operations.run_standin_minion, *arguments)


class Commands:
    """Dispatcher for sub-second tasks.

    Commands for operators send a request to one entry, any of them. Give its address and token
    with --entry HOST:PORT and --token TOKEN, or in the environment variables
    GERANIUMSPOOL_ENTRY and GERANIUMSPOOL_TOKEN. --json prints the response as JSON.
    """

    def __init__(self, plan: Plan):
        """Bind the commands to the plan that they fill in."""
        self._plan = plan
        self.config = ConfigCommands(plan)
        self.domain = DomainCommands(plan)
        self.standin = StandinCommands(plan)

    @_as_text
    def entry(self, settings):
        """Run an entry with the settings file SETTINGS."""
        self._plan.run = partial(operations.run_entry, require_file(settings))

    @_as_text
    def agent(self, settings):
        """Run an agent with the settings file SETTINGS."""
        self._plan.run = partial(operations.run_agent, require_file(settings))

    @_as_text
    def demo(self, *, seconds="24", progress="False"):
        """Run the whole system in one process, under load and faults, and print a summary."""
        if progress not in ("True", "False"):
            raise UsageError("--progress takes no value")
        shown = True if progress == "True" else None
        self._plan.run = partial(
            operations.run_demo, parse_positive_number(seconds, "--seconds"), shown
        )

    @_as_text
    def load(
        self,
        entries,
        *,
        service,
        team,
        seconds="10",
        rate="",
        load_share="",
        slots="88",
        mix="brief",
        seed="1",
        resubmit_share="",
    ):
        """Submit jobs to a running system and print a report.

        :param entries: entries' addresses for callers, host:port, separated by commas
        :param rate: jobs per second, 10 by default; excludes --load-share
        :param load_share: offered load as a share of the capacity of all slots
        :param mix: distribution of jobs: light, brief, narrow or wide
        :param resubmit_share: share of jobs that are submitted through two entries at once
        """
        if rate and load_share:
            raise UsageError("give --rate or --load-share, not both")
        self._plan.run = partial(
            operations.run_load,
            entries.split(","),
            service,
            team,
            parse_positive_number(seconds, "--seconds"),
            0.0 if load_share else parse_positive_number(rate or DEFAULT_RATE, "--rate"),
            mix,
            parse_whole_number(seed, "--seed"),
            parse_positive_number(load_share, "--load-share") if load_share else 0.0,
            parse_whole_number(slots, "--slots"),
            parse_positive_number(resubmit_share, "--resubmit-share") if resubmit_share else 0.0,
        )

    @_as_text
    def status(self, *, entry="", token="", json="False"):
        """Print the state of an entry and of the failure domains."""
        self._plan.ask(
            parse_operator_flags(entry, token, json), operations.status, tables.format_status
        )

    @_as_text
    def roster(self, *, entry="", token="", json="False"):
        """Print all processes in the membership list of an entry."""
        self._plan.ask(
            parse_operator_flags(entry, token, json), operations.roster, tables.format_roster
        )

    @_as_text
    def drain(self, address, *, who, why, entry="", token="", json="False"):
        """Ask the process with the inbox address ADDRESS to drain and exit."""
        arguments = (address, parse_text(who, "--who"), parse_text(why, "--why"))
        self._plan.ask(
            parse_operator_flags(entry, token, json),
            operations.drain,
            tables.format_pairs,
            *arguments,
        )

    @_as_text
    def job(self, ticket, *, entry="", token="", json="False"):
        """Print the state of the job with the ticket TICKET."""
        target = parse_operator_flags(entry, token, json)
        self._plan.ask(target, operations.job, tables.format_pairs, ticket, judge=exit_code_for_job)

    @_as_text
    def cancel(self, ticket, *, entry="", token="", json="False"):
        """Cancel the job with the ticket TICKET."""
        target = parse_operator_flags(entry, token, json)
        self._plan.ask(
            target, operations.cancel, tables.format_pairs, ticket, judge=exit_code_for_cancel
        )

    @_as_text
    def why(self, subject, *, entry="", token="", json="False"):
        """Print the decisions on the job with the ticket SUBJECT, or the one with that id."""
        target = parse_operator_flags(entry, token, json)
        self._plan.ask(target, operations.why, tables.format_decisions, subject)

    @_as_text
    def check(self, settings):
        """Check the settings file of an entry or an agent and print the errors found."""

        def run() -> int:
            operations.check(path)
            return EXIT_OK

        path = require_file(settings)
        self._plan.run = run

    @_as_text
    def version(self):
        """Print the version."""

        def run() -> int:
            print(__version__)
            return EXIT_OK

        self._plan.run = run


def main(argv: list[str] | None = None) -> NoReturn:
    """Run a command line and exit with its exit code.

    :param argv: arguments without the program name, those of this process if None
    """
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: list[str]) -> int:
    """Run a command line and return its exit code.

    :param argv: arguments without the program name
    """
    try:
        plan = _understand(argv)
        return EXIT_OK if plan.run is None else plan.run()
    except UsageError as fault:
        print(f"{PROGRAM}: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except InvalidInput as error:
        print("\n".join(str(finding) for finding in error.findings), file=sys.stderr)
        return EXIT_INVALID
    except DispatchError as error:
        print(f"{PROGRAM}: {error.code}: {error.detail}", file=sys.stderr)
        return exit_code_for_error(error)
    except OSError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_FAILED


def _understand(argv: list[str]) -> Plan:
    plan = Plan()
    output, error_output = io.StringIO(), io.StringIO()
    # Fire takes arguments after "--" as flags of its own, such as --interactive. Capturing its
    # output also keeps it from starting a pager on a terminal.
    if "--" in argv:
        raise UsageError("-- is not understood")
    ticket_flag = TICKET_FLAGS.get(argv[0], "") if argv else ""
    arguments = [_normalise(argument, ticket_flag) for argument in argv]
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(error_output):
            result = fire.Fire(Commands(plan), arguments, PROGRAM)
    except FireExit as fire_exit:
        if fire_exit.code:
            raise UsageError(error_output.getvalue().strip()) from None
        lines = error_output.getvalue().strip().splitlines()
        print("\n".join(line for line in lines if not line.startswith(HELP_NOTICE)).strip())
        return Plan()
    if plan.run is None and argv:
        raise UsageError("no command was given\n" + output.getvalue().strip())
    if result is not None:
        print(output.getvalue().strip())
    return plan


def _normalise(argument: str, ticket_flag: str) -> str:
    if argument == "--json":
        return "--json=True"
    if argument == "-":
        return STANDARD_INPUT
    looks_like_ticket = len(argument) >= MIN_TICKET_CHARS and "=" not in argument
    if ticket_flag and argument.startswith("-") and looks_like_ticket:
        return f"{ticket_flag}={argument}"
    return argument
