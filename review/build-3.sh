#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python programs, so that
# there is nothing to compile; their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - 1[1-5]/*.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
    print("checked", path)
CHECK
