#!/bin/sh
# Builds the stand-ins of the third review's cases: checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1 EVENTLET_NO_GREENDNS=yes
python3 -W ignore -c "import standins, standins_3"
