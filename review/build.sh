#!/usr/bin/env bash
# Checks that the stand-ins can be used. They are Python scripts and use its standard library alone, so that nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for script in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$script"
done
