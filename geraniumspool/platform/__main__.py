"""Command line that runs one role on the platform: ``python3 -m geraniumspool.platform ROLE``."""

import gc
import os
import signal
import sys
import warnings

from geraniumspool import process_start  # noqa: F401

# Objects created by imports stay alive, so that collecting garbage now would only delay the
# start. The collector is enabled again once the program runs.
gc.disable()
# Until the program handles it, this signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet

# Native locks stay unpatched: all green tasks share one thread, no lock is held across a task
# switch, and no task waits for one. Patching them searches the heap for existing locks, which
# delays the start. So does loading patched copies of modules that the programs do not use: they
# start no processes and use no PostgreSQL.
eventlet.monkey_patch(thread=False, subprocess=False, psycopg=False)

import importlib
import logging

from geraniumspool.application import Application
from geraniumspool.errors import InvalidInput
from geraniumspool.program import run_application

SETTINGS_VARIABLE = "GERANIUMSPOOL_SETTINGS"
EXIT_BAD_SETTINGS = 2
# Imported by role, so that a program loads only its own modules: after a power loss callers
# wait for its start.
PROGRAMS = {
    "dispatcher": "geraniumspool.platform.dispatcher_program",
    "executor": "geraniumspool.platform.executor_program",
}


def build(role: str) -> Application:
    """Return the application for a role, built from the file that ``SETTINGS_VARIABLE`` names.

    :param role: a key of ``PROGRAMS``
    :raises InvalidInput: with every fault found in the settings
    """
    program = importlib.import_module(PROGRAMS[role])
    return program.build(os.environ.get(SETTINGS_VARIABLE, ""))


def main(arguments: list[str]) -> int:
    """Run the application for a role until a signal ends it; return the exit code.

    :param arguments: command-line arguments after the program name; the role alone is expected
    """
    if len(arguments) != 1 or arguments[0] not in PROGRAMS:
        print(f"usage: python3 -m geraniumspool.platform {'|'.join(PROGRAMS)}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        app = build(arguments[0])
    except InvalidInput as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    code = run_application(app)
    logging.shutdown()
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
