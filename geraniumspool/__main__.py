"""Entry point of the command line; monkey-patches the standard library for eventlet first."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet

eventlet.monkey_patch()

from geraniumspool.cli import main

if __name__ == "__main__":
    main()
