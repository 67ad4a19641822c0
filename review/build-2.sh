#!/usr/bin/env bash
# Builds the stand-ins and scripts of cases 4 to 6. They need Python's standard library alone; the
# programs they start are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins_2.py 4/run.py 5/run.py 6/run.py
