#!/usr/bin/env bash
# Builds what the scripts of review/11 to 15 start beside the program of the deploy file. The
# stand-ins are Python without dependencies, so this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-3/*.py 1[1-5]/*.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
