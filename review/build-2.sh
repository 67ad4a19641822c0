#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 6: loads them, as Python needs no more. Cases 5 and 6 need the
# standard library alone; case 4 uses the project's stand-ins and what the deploy file's build installs.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 EVENTLET_NO_GREENDNS=yes
PYTHONPATH="target/deps:$PWD:$PWD/review" python3 -W ignore -c "import standins"
PYTHONPATH="$PWD/review" python3 -c "import standins_2"
