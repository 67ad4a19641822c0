#!/usr/bin/env bash
# The stand-ins are Python modules and need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1 EVENTLET_NO_GREENDNS=yes
python3 -W ignore -c "import standins"
