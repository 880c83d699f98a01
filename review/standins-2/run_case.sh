#!/usr/bin/env bash
# Runs the case.py of the folder given. Exits as the case does: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$1" && pwd)
PYTHONPATH="$(cd "$(dirname "$0")" && pwd)" PYTHONDONTWRITEBYTECODE=1 \
  timeout --signal=TERM --kill-after=5 115 python3 "$here/case.py"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
