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
    Target,
    UsageFault,
    find_entry,
    find_file,
    read_address,
    read_file,
    read_key,
    read_number,
    read_target,
    read_text,
    read_whole,
)
from geraniumspool.entry_client import EntryClient
from geraniumspool.errors import DispatchError, InvalidInput
from geraniumspool.exit_codes import (
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_OK,
    EXIT_USAGE,
    choose_exit_code,
    judge_cancel,
    judge_job,
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
        target: Target,
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
        :raises UsageFault: if neither flags nor environment name an entry
        """
        entry = find_entry(target)

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
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.config_list, tables.show_documents)

    @_as_text
    def get(self, key, *, entry="", token="", json="False"):
        """Print the document with the key KEY, such as service/fitting."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.config_get, tables.show_document, read_key(key))

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
        target = read_target(entry, token, json)
        revision = read_whole(expected_revision, "--expected-revision")
        arguments = (
            read_key(key),
            read_file(file),
            revision,
            read_text(who, "--who"),
            read_text(why, "--why"),
        )
        self._plan.ask(target, operations.config_apply, tables.show_pairs, *arguments, change_id)

    @_as_text
    def history(self, key, *, entry="", token="", json="False"):
        """Print the audit trail of the document KEY."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.config_history, tables.show_history, read_key(key))

    @_as_text
    def status(self, *, entry="", token="", json="False"):
        """Print the configuration revision in effect in each failure domain."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.config_status, tables.show_config_status)


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
        target = read_target(entry, token, json)
        arguments = (name, read_text(who, "--who"), read_text(why, "--why"), change_id)
        self._plan.ask(target, operations.domain_evacuate, tables.show_pairs, *arguments)

    @_as_text
    def restore(self, name, *, who, why, change_id="", entry="", token="", json="False"):
        """Allow tasks to start in the failure domain NAME again.

        :param who: author of the change, for the audit trail
        :param why: reason for the change, for the audit trail
        :param change_id: id of an earlier attempt, so that a retry is applied only once
        """
        target = read_target(entry, token, json)
        arguments = (name, read_text(who, "--who"), read_text(why, "--why"), change_id)
        self._plan.ask(target, operations.domain_restore, tables.show_pairs, *arguments)


class StandinCommands:
    """Stand-ins for the store and for minions, for tests and trials."""

    def __init__(self, plan: Plan):
        """Bind the commands to the plan that they fill in."""
        self._plan = plan

    @_as_text
    def store(self, *, listen="127.0.0.1:0"):
        """Run a stand-in for the store: in memory, with etcd's JSON API."""
        self._plan.run = partial(operations.run_standin_store, *read_address(listen))

    @_as_text
    def minion(self, *, agent, service, slots="8", connections="64", listen="127.0.0.1:0"):
        """Run a stand-in for a minion and register it with an agent.

        :param agent: base URL of the agent's listener for minions, such as http://127.0.0.1:7000
        """
        slots, connections = read_whole(slots, "--slots"), read_whole(connections, "--connections")
        arguments = (agent, service, slots, connections, *read_address(listen))
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
        self._plan.run = partial(operations.run_entry, find_file(settings))

    @_as_text
    def agent(self, settings):
        """Run an agent with the settings file SETTINGS."""
        self._plan.run = partial(operations.run_agent, find_file(settings))

    @_as_text
    def demo(self, *, seconds="24", progress="False"):
        """Run the whole system in one process, under load and faults, and print a summary."""
        if progress not in ("True", "False"):
            raise UsageFault("--progress takes no value")
        shown = True if progress == "True" else None
        self._plan.run = partial(operations.run_demo, read_number(seconds, "--seconds"), shown)

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
            raise UsageFault("give --rate or --load-share, not both")
        self._plan.run = partial(
            operations.run_load,
            entries.split(","),
            service,
            team,
            read_number(seconds, "--seconds"),
            0.0 if load_share else read_number(rate or DEFAULT_RATE, "--rate"),
            mix,
            read_whole(seed, "--seed"),
            read_number(load_share, "--load-share") if load_share else 0.0,
            read_whole(slots, "--slots"),
            read_number(resubmit_share, "--resubmit-share") if resubmit_share else 0.0,
        )

    @_as_text
    def status(self, *, entry="", token="", json="False"):
        """Print the state of an entry and of the failure domains."""
        self._plan.ask(read_target(entry, token, json), operations.status, tables.show_status)

    @_as_text
    def roster(self, *, entry="", token="", json="False"):
        """Print all processes in the membership list of an entry."""
        self._plan.ask(read_target(entry, token, json), operations.roster, tables.show_roster)

    @_as_text
    def drain(self, address, *, who, why, entry="", token="", json="False"):
        """Ask the process with the inbox address ADDRESS to drain and exit."""
        arguments = (address, read_text(who, "--who"), read_text(why, "--why"))
        self._plan.ask(
            read_target(entry, token, json), operations.drain, tables.show_pairs, *arguments
        )

    @_as_text
    def job(self, ticket, *, entry="", token="", json="False"):
        """Print the state of the job with the ticket TICKET."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.job, tables.show_pairs, ticket, judge=judge_job)

    @_as_text
    def cancel(self, ticket, *, entry="", token="", json="False"):
        """Cancel the job with the ticket TICKET."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.cancel, tables.show_pairs, ticket, judge=judge_cancel)

    @_as_text
    def why(self, subject, *, entry="", token="", json="False"):
        """Print the decisions on the job with the ticket SUBJECT, or the one with that id."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.why, tables.show_decisions, subject)

    @_as_text
    def check(self, settings):
        """Check the settings file of an entry or an agent and print the errors found."""

        def run() -> int:
            operations.check(path)
            return EXIT_OK

        path = find_file(settings)
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
    except UsageFault as fault:
        print(f"{PROGRAM}: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except InvalidInput as error:
        print("\n".join(str(finding) for finding in error.findings), file=sys.stderr)
        return EXIT_INVALID
    except DispatchError as error:
        print(f"{PROGRAM}: {error.code}: {error.detail}", file=sys.stderr)
        return choose_exit_code(error)
    except OSError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return EXIT_FAILED


def _understand(argv: list[str]) -> Plan:
    plan = Plan()
    output, error_output = io.StringIO(), io.StringIO()
    # Fire takes arguments after "--" as flags of its own, such as --interactive. Capturing its
    # output also keeps it from starting a pager on a terminal.
    if "--" in argv:
        raise UsageFault("-- is not understood")
    ticket_flag = TICKET_FLAGS.get(argv[0], "") if argv else ""
    arguments = [_normalise(argument, ticket_flag) for argument in argv]
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(error_output):
            result = fire.Fire(Commands(plan), arguments, PROGRAM)
    except FireExit as fire_exit:
        if fire_exit.code:
            raise UsageFault(error_output.getvalue().strip()) from None
        lines = error_output.getvalue().strip().splitlines()
        print("\n".join(line for line in lines if not line.startswith(HELP_NOTICE)).strip())
        return Plan()
    if plan.run is None and argv:
        raise UsageFault("no command was given\n" + output.getvalue().strip())
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
