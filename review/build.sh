#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no compiler: this checks that
# the interpreter is there and that it can read them.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import ast, asyncio, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("read", path)
PYTHON
