#!/usr/bin/env bash
# Runs the soak. Usage: Tests/Soak/run.sh <daemon> ci | <daemon> <first seed> <count> [seconds]
# `ci` runs the seeds of regressions.txt for a few seconds each, without the rules that have a time bound: a busy machine
# breaks those by itself.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
daemon=$1
# The system's interpreter, which sees Debian's libraries.
python=/usr/bin/python3
if [ "$2" = ci ]; then
    grep -v '^#' "$here/regressions.txt" | while read -r seed _; do
        "$python" "$here/soak.py" "$daemon" --seed "$seed" --seconds 6 --untimed | grep -E '^seed|^BROKEN'
    done
    exit
fi
failed=0
for seed in $(seq "$2" $(($2 + $3 - 1))); do
    "$python" "$here/soak.py" "$daemon" --seed "$seed" --seconds "${4:-20}" | grep -E '^seed .*requests|^BROKEN' || failed=1
done
exit $failed
