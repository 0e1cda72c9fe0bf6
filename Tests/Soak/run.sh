#!/usr/bin/env bash
# Runs the soak test. Usage: Tests/Soak/run.sh <daemon> ci | <daemon> <first seed> <count> [seconds]
# `ci` runs the tests of a stop, of endpoints' notices, of evacuations, of cold endpoints, of brittle endpoints, of the memory for responses and for callers, of streams of several software versions, of the order of streams, and each seed of regressions.txt for 6 s with --untimed: an overloaded machine can violate rules with a time bound
# without a fault in the daemons.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
daemon=$1
# The system interpreter, which finds the Python libraries installed from Debian packages.
python=/usr/bin/python3
if [ "$2" = ci ]; then
    for test in test_stop test_notices test_evacuations test_cold test_brittle test_memory test_uncontrolled_callers test_stream_order test_software_versions; do
        JUJUBERELAYD=$(realpath "$daemon") "$python" -W ignore::ResourceWarning "$here/$test.py"
    done
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
