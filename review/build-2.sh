#!/bin/bash
# Builds what the cases review/6 to review/10 start beside the programs of the deploy file. Their stand-ins are the
# Python of review/rig-2 alone, which needs no build: this checks that it can be run, and writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - rig-2/rig.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PY'
import asyncio, json, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
PY
