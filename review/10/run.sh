#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
