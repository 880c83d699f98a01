"""A proper request with a large body, while other clients use the same node.

Rule LOST: at any time, a machine in touch passes a request from a kept connection
on to a sound instance and closes that connection without an answer, more than
three times. A process that ends by itself counts as running all the while; the
platform ends one that exceeds `memory_mb`.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "stand-ins-3"))
from stand_ins import (  # noqa: E402
    BROKEN, COULD_NOT_RUN, HELD, Client, KeptCaller, Mesh, main)

HOST = "desk.example"
DEADLINE_MS = 5000
CALLERS = 12
# Below the operator's max_body_bytes of 67,108,864.
LARGE_BODY = 62 << 20
USUAL_BODY = 24000
ALLOWED_LOSSES = 3
# How long the uninvolved clients go on after the body was sent.
REST_S = 6.0


def send_large(mesh, address, size, record):
    client = Client(address, timeout=10.0)
    record.line("sent", "large", "POST /book/2 body", size)
    try:
        client.send("POST", "/book/2", HOST, "large", DEADLINE_MS, b"d" * size)
        record.line("answered", "large", client.receive().first)
    except OSError as error:
        record.line("closed-without-answer", "large", "passed-on",
                    bool(mesh.runs.of("large")), type(error).__name__)
    client.close()


def case(record, trouble):
    mesh = Mesh(record, [("front-1", "east", "front"), ("front-2", "west", "front"),
                         ("desk-1", "east", "desk"), ("desk-2", "west", "desk")],
                work_s=0.25)
    try:
        mesh.configure(1, [
            ("book", HOST, "/book/", "non_idempotent", "desk", 5000, 0, 2),
            ("look", HOST, "/look/", "idempotent", "desk", 5000, 1, 2)])
        mesh.start()
        if not mesh.await_ready():
            return COULD_NOT_RUN
        time.sleep(3.0)  # settle_window_ms
        mesh.guard_memory()
        entry = mesh.machines["front-1"]
        callers = [KeptCaller(f"kept-{number}", mesh, entry.outbound, record, HOST,
                              [("POST", "/book/1"), ("GET", "/look/1")])
                   for number in range(CALLERS)]
        time.sleep(2.0)
        if any(caller.answered == 0 for caller in callers):
            return COULD_NOT_RUN
        send_large(mesh, entry.outbound, LARGE_BODY if trouble else USUAL_BODY,
                   record)
        time.sleep(REST_S)
        for caller in callers:
            caller.stop()
        lost = [name for caller in callers for name in caller.lost]
        ends = {m.name: len(m.killed_for_memory) for m in mesh.machines.values()}
        peaks = {m.name: round(m.peak_mb) for m in mesh.machines.values()}
        summary = (f"requests passed on and then closed without an answer: "
                   f"{len(lost)} (allowed {ALLOWED_LOSSES}); processes ended for "
                   f"memory: {ends}; peak MB: {peaks}")
        record.line("summary", summary)
        print(summary)
        return BROKEN if len(lost) > ALLOWED_LOSSES else HELD
    finally:
        mesh.stop()


main(case, os.path.dirname(os.path.abspath(__file__)))
