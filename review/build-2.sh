#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the program of
# deploy/system.toml. Their stand-ins are Python programs of this folder, so
# there is nothing to compile; this checks that they can be run.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
CHECK
echo "review/build-2.sh: stand-ins ready"
