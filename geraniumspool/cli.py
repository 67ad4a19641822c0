"""The command line.

Fire reads the arguments of a command and only records what is to be done; it
is done once all arguments were understood, so a misspelt flag never leaves a
command half done.

The exit codes are in :mod:`geraniumspool.exit_codes`.
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
TICKET_FLAGS = {"job": "--ticket", "cancel": "--ticket", "why": "--subject"}
HELP_NOTICE = "INFO: Showing help"
STANDARD_INPUT = "/dev/stdin"
DEFAULT_RATE = "10"

# Fire keeps what a decorator says in an attribute; a leading underscore hides it in help texts.
fire.decorators.FIRE_METADATA = "_fire_metadata"
_as_text = SetParseFn(str)


class Plan:
    """What a command line asks for, done once it was understood whole."""

    def __init__(self):
        """Start with nothing to do."""
        self.run: Callable[[], int] | None = None

    def ask(
        self,
        target: Target,
        call: Callable[..., Any],
        show: Callable[[Any], str],
        *arguments: Any,
        judge: Callable[[Any], int] = lambda _answer: EXIT_OK,
    ) -> None:
        """Plan one call to an entry.

        :param call: function of :mod:`geraniumspool.operations`
        :param show: makes the text for people out of the answer
        :param judge: makes the exit code out of the answer
        """
        entry = find_entry(target)

        def run() -> int:
            answer = call(EntryClient(entry), *arguments)
            text = json.dumps(answer, indent=2) if target.as_json else show(answer)
            print(text, flush=True)
            return judge(answer)

        self.run = run


class ConfigCommands:
    """Configuration documents: one for each service and each team."""

    def __init__(self, plan: Plan):
        """Record where to plan."""
        self._plan = plan

    @_as_text
    def list(self, *, entry="", token="", json="False"):
        """List all documents in force."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.config_list, tables.show_documents)

    @_as_text
    def get(self, key, *, entry="", token="", json="False"):
        """Print the document KEY, such as service/fitting."""
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
        """Change the document KEY to the text in FILE ("-" is standard input).

        :param expected_revision: revision the change is based on, 0 for a new document
        :param who: who makes the change
        :param why: reason of the change
        :param change_id: id of an earlier try, to repeat it safely
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
        """Print the revision in force per failure domain."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.config_status, tables.show_config_status)


class DomainCommands:
    """Failure domains: evacuated, and taken back."""

    def __init__(self, plan: Plan):
        """Record where to plan."""
        self._plan = plan

    @_as_text
    def evacuate(self, name, *, who, why, change_id="", entry="", token="", json="False"):
        """Have no task started in the failure domain NAME; what runs there goes on.

        :param who: who asks
        :param why: reason
        :param change_id: id of an earlier try, to repeat it safely
        """
        target = read_target(entry, token, json)
        arguments = (name, read_text(who, "--who"), read_text(why, "--why"), change_id)
        self._plan.ask(target, operations.domain_evacuate, tables.show_pairs, *arguments)

    @_as_text
    def restore(self, name, *, who, why, change_id="", entry="", token="", json="False"):
        """Use the failure domain NAME again.

        :param who: who asks
        :param why: reason
        :param change_id: id of an earlier try, to repeat it safely
        """
        target = read_target(entry, token, json)
        arguments = (name, read_text(who, "--who"), read_text(why, "--why"), change_id)
        self._plan.ask(target, operations.domain_restore, tables.show_pairs, *arguments)


class StandinCommands:
    """Small stand-ins of what the platform gives, for tests and trials."""

    def __init__(self, plan: Plan):
        """Record where to plan."""
        self._plan = plan

    @_as_text
    def store(self, *, listen="127.0.0.1:0"):
        """Run a stand-in of the platform's store."""
        self._plan.run = partial(operations.run_standin_store, *read_address(listen))

    @_as_text
    def minion(self, *, agent, service, slots="8", connections="64", listen="127.0.0.1:0"):
        """Run a stand-in of a minion and announce it to an agent.

        :param agent: address of the agent's minion listener, such as http://127.0.0.1:7000
        """
        slots, connections = read_whole(slots, "--slots"), read_whole(connections, "--connections")
        arguments = (agent, service, slots, connections, *read_address(listen))
        self._plan.run = partial(operations.run_standin_minion, *arguments)


class Commands:
    """A dispatcher for services made of many sub-second tasks.

    Operators' commands ask any entry: name it with --entry HOST:PORT and --token TOKEN,
    or in GERANIUMSPOOL_ENTRY and GERANIUMSPOOL_TOKEN. --json prints JSON.
    """

    def __init__(self, plan: Plan):
        """Record where to plan."""
        self._plan = plan
        self.config = ConfigCommands(plan)
        self.domain = DomainCommands(plan)
        self.standin = StandinCommands(plan)

    @_as_text
    def entry(self, settings):
        """Run an entry with the settings in the file SETTINGS."""
        self._plan.run = partial(operations.run_entry, find_file(settings))

    @_as_text
    def agent(self, settings):
        """Run an agent with the settings in the file SETTINGS."""
        self._plan.run = partial(operations.run_agent, find_file(settings))

    @_as_text
    def demo(self, *, seconds="24", progress="False"):
        """Run the whole system in one process and print a summary."""
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
        """Put load on a running system and print a report.

        :param entries: callers' addresses, host:port, with commas in between
        :param rate: jobs a second, 10 by default; or give --load-share
        :param load_share: share of the time of all slots that is offered
        :param mix: light, brief, narrow or wide
        :param resubmit_share: share of jobs submitted through two entries at once
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
        """Print all processes that an entry knows."""
        self._plan.ask(read_target(entry, token, json), operations.roster, tables.show_roster)

    @_as_text
    def drain(self, address, *, who, why, entry="", token="", json="False"):
        """Ask the process with the inbox ADDRESS to leave gracefully."""
        arguments = (address, read_text(who, "--who"), read_text(why, "--why"))
        self._plan.ask(
            read_target(entry, token, json), operations.drain, tables.show_pairs, *arguments
        )

    @_as_text
    def job(self, ticket, *, entry="", token="", json="False"):
        """Print the state of the job of TICKET."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.job, tables.show_pairs, ticket, judge=judge_job)

    @_as_text
    def cancel(self, ticket, *, entry="", token="", json="False"):
        """Cancel the job of TICKET."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.cancel, tables.show_pairs, ticket, judge=judge_cancel)

    @_as_text
    def why(self, subject, *, entry="", token="", json="False"):
        """Print the decisions on a job, by ticket, or one decision, by id."""
        target = read_target(entry, token, json)
        self._plan.ask(target, operations.why, tables.show_decisions, subject)

    @_as_text
    def check(self, settings):
        """Check the settings file of an entry or an agent."""

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

    :param argv: arguments without the program's name, the process's own by default
    """
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: list[str]) -> int:
    """Run a command line and return its exit code.

    :param argv: arguments without the program's name
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
    output, complaints = io.StringIO(), io.StringIO()
    # Fire would start a pager on a terminal, and act on arguments after "--".
    if "--" in argv:
        raise UsageFault("-- is not understood")
    ticket_flag = TICKET_FLAGS.get(argv[0], "") if argv else ""
    arguments = [_normalise(argument, ticket_flag) for argument in argv]
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(complaints):
            result = fire.Fire(Commands(plan), arguments, PROGRAM)
    except FireExit as stop:
        if stop.code:
            raise UsageFault(complaints.getvalue().strip()) from None
        lines = complaints.getvalue().strip().splitlines()
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
