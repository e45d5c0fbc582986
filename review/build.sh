#!/usr/bin/env bash
# Checks the stand-ins of the scripts and the project's own; they are Python and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - soak/platform_standin.py soak/limits.py review/standins/*.py review/[0-9]*/*.py <<'P'
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
P
echo "stand-ins: ready"
