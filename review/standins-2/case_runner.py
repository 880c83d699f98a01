"""Runs a case: sets up its folder and record, and ends what it has started."""
import os
import pathlib
import signal
import sys
import tempfile
import traceback

import mesh as platform


def run(folder, scenario):
    """Calls scenario(temporary folder, record, has_trouble), which returns a
    mesh and a function that plays the case and tells whether the rule broke."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = platform.Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    with tempfile.TemporaryDirectory(prefix="clementine-case-") as temporary:
        mesh = None
        try:
            mesh, play = scenario(temporary, record, has_trouble)
            code = 1 if play() else 0
        except platform.CannotRun as fault:
            record.write(f"could not run: {fault}")
        except Exception:  # The case itself is faulty, not the rule.
            record.write(traceback.format_exc())
        finally:
            if mesh:
                mesh.end()
    record.write({0: "the rule held", 1: "the rule is broken",
                  2: "the case could not run"}[code])
    os._exit(code)
