#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 leaves the disruption out. The stand-ins lie in review/11.
cd "$(dirname "$0")" || exit 2
python3 -B -c 'import sys; sys.path.insert(0, "../11"); import stand_ins' || exit 2
exec python3 -B case.py
