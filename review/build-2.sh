#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the build of the
# deploy file. Their stand-ins are Python programs that need no other package:
# this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib
import sys
import tomllib  # Needs Python 3.11 or later.

sources = sorted(pathlib.Path("standins-2").glob("*.py"))
sources += [pathlib.Path(str(number), "case.py") for number in range(6, 11)]
for source in sources:
    if source.exists():
        compile(source.read_text(encoding="utf-8"), str(source), "exec")
print(f"{len(sources)} files can be read")
END
