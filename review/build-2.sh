#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are scripts: nothing is built. Checks that what they need is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed"; exit 1; }
python3 -B -c 'import sys; sys.path.insert(0, "review"); import standins_2'
test -x target/bin/jujuberelayd || { echo "run the build of deploy/system.toml first"; exit 1; }
