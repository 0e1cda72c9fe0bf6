#!/usr/bin/env bash
# Checks the documentation and runs the end-to-end tests. Usage: Tests/Sessions/run.sh <folder with the binaries>
set -euo pipefail
JUJUBERELAY_BIN=$(cd "$1" && pwd)
export JUJUBERELAY_BIN
cd "$(dirname "$0")"
python3 ../../Meta/check_docs.py
python3 -W ignore::ResourceWarning -m unittest -v $(ls test_*.py | sed 's/\.py$//')
