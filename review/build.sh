#!/bin/sh
# Prepares the cases. All stand-ins (clients, endpoints, discovery agent, rollout controller, relays) are in common/lab.py
# and use only Python's standard library, so there is nothing to compile: this checks that each file can be read by the
# Python that is installed, and that the deploy file's build has left the program that the cases start.
set -eu
cd "$(dirname "$0")/.."
for file in review/common/lab.py review/*/case.py; do
    python3 -B -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x bin/balancer || { echo "bin/balancer is missing: run the build of deploy/balancer.toml first" >&2; exit 1; }
