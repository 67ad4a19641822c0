"""Entry point of the command line; green sockets and timers are switched on here."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet

eventlet.monkey_patch()

from geraniumspool.cli import main

if __name__ == "__main__":
    main()
