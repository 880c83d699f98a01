"""The settings give grace_period_s as a fraction.

Rule Fault: the day counts 0 if a program doesn't start, or if on a tenth of the
machines in use (two at least) processes end by themselves three times in the day
with no disruption there, or if no request is served.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "11"))
from stand_ins import (  # noqa: E402
    BROKEN, COULD_NOT_RUN, HELD, Client, Mesh, main)

HOST = "mesh.example"
WHOLE_GRACE_S = 6
FRACTION_GRACE_S = 6.5
RESTART_DELAY_S = 1.5
WATCHED_S = 12.0
# The rule: three ends of a process on each of two machines.
ALLOWED_ENDS = 2
ALLOWED_MACHINES = 1


def watch(mesh, record):
    """Starts each process that has ended again; returns the ends by machine."""
    ends = {name: 0 for name in mesh.machines}
    due = {}
    end = time.monotonic() + WATCHED_S
    while time.monotonic() < end:
        for name, machine in mesh.machines.items():
            code = machine.process.poll()
            if code is None:
                continue
            if name not in due:
                ends[name] += 1
                due[name] = time.monotonic() + RESTART_DELAY_S
                record.line("process-ended", name, "code", code,
                            mesh.last_words(name))
            elif time.monotonic() > due[name]:
                del due[name]
                machine.start()
        time.sleep(0.05)
    return ends


def serves(mesh, name, record):
    """Whether a request to the node of a machine is served."""
    request_id = "to-" + name
    record.line("sent", request_id, "GET /look/1")
    try:
        client = Client(mesh.machines[name].outbound, timeout=3.0)
        client.send("GET", "/look/1", HOST, request_id, 1500)
        answer = client.receive()
        client.close()
    except OSError as error:
        record.line("not-answered", request_id, type(error).__name__)
        return False
    record.line("answered", request_id, answer.first)
    return answer.first.split(" ")[1] == "200"


def case(record, trouble):
    mesh = Mesh(record, [("front-1", "east", "front"), ("front-2", "west", "front"),
                         ("desk-1", "east", "desk"), ("desk-2", "west", "desk")])
    try:
        mesh.grace_period_s = FRACTION_GRACE_S if trouble else WHOLE_GRACE_S
        mesh.configure(1, [("look", HOST, "/look/", "idempotent", "desk", 1000, 1, 2)])
        mesh.start()
        ends = watch(mesh, record)
        served = sum(serves(mesh, name, record) for name in mesh.machines)
        often = [name for name, count in ends.items() if count > ALLOWED_ENDS]
        summary = (f"ends of processes by themselves: {ends}; machines with three or "
                   f"more: {len(often)} (allowed {ALLOWED_MACHINES}); requests "
                   f"served: {served} of {len(mesh.machines)}")
        record.line("summary", summary)
        print(summary)
        if not trouble and not served:
            return COULD_NOT_RUN
        return BROKEN if len(often) > ALLOWED_MACHINES or not served else HELD
    finally:
        mesh.stop()


main(case, os.path.dirname(os.path.abspath(__file__)))
