"""All processes are killed while the store is away, after a confirmed departure.

Rule DRAIN: a request reaches an instance later than drain_ms after a machine
acknowledged that the instance is draining or gone, taken from the client and sent
on by machines in touch.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "11"))
from stand_ins import (  # noqa: E402
    BROKEN, COULD_NOT_RUN, HELD, KeptCaller, Mesh, main)

HOST = "mesh.example"
CALLERS = 4
# Bounds of the site.
DRAIN_S = 2.0
SETTLE_S = 3.0
# Seconds after the store went away; it is back after 4.5 s.
DEREGISTERS_AT_S = 0.5
KILLED_AT_S = 1.0
STARTED_AT_S = 1.5
LATE_REPORT_AT_S = 3.2
BACK_AT_S = 4.5
# How long the instance serves on after it has deregistered.
SERVES_ON_S = 14.0


def wait_until(begun, seconds):
    time.sleep(max(0.0, begun + seconds - time.monotonic()))


def disrupt(mesh, begun, record):
    wait_until(begun, KILLED_AT_S)
    for machine in mesh.machines.values():
        machine.process.kill()
    for machine in mesh.machines.values():
        machine.process.wait()
        record.line("node-killed", machine.name)
    wait_until(begun, STARTED_AT_S)
    for machine in mesh.machines.values():
        machine.start()


def case(record, trouble):
    mesh = Mesh(record, [("front-1", "east", "front"), ("front-2", "west", "front"),
                         ("desk-1", "east", "desk"), ("desk-2", "west", "desk")],
                work_s=0.02)
    try:
        mesh.configure(1, [
            ("book", HOST, "/book/", "non_idempotent", "desk", 1200, 0, 2),
            ("look", HOST, "/look/", "idempotent", "desk", 1000, 1, 2)])
        mesh.start()
        if not mesh.await_ready():
            return COULD_NOT_RUN
        time.sleep(SETTLE_S)
        callers = [KeptCaller(f"kept-{number}", mesh,
                              mesh.machines[f"front-{1 + number % 2}"].outbound,
                              record, HOST, [("POST", "/book/1"), ("GET", "/look/1")],
                              deadline_ms=1500, pause_s=0.02)
                   for number in range(CALLERS)]
        time.sleep(2.0)
        leaver = mesh.instances["desk-1"]
        if any(caller.answered == 0 for caller in callers):
            return COULD_NOT_RUN
        begun = time.monotonic()
        if trouble:
            record.line("store-away")
            mesh.store.set_away(True)
        wait_until(begun, DEREGISTERS_AT_S)
        # This report is sent now and arrives late.
        late_report = leaver.next_report()
        if not leaver.deregister():
            return COULD_NOT_RUN
        confirmed = time.monotonic()
        record.line("departure-confirmed", leaver.ident)
        if trouble:
            disrupt(mesh, begun, record)
        wait_until(begun, LATE_REPORT_AT_S)
        record.line("late-report", leaver.ident, "confirmed",
                    leaver.send(late_report))
        wait_until(begun, BACK_AT_S)
        if trouble:
            mesh.store.set_away(False)
            record.line("store-back")
        calm = max(confirmed + DRAIN_S, begun + BACK_AT_S + SETTLE_S)
        wait_until(confirmed, SERVES_ON_S)
        leaver.stop()
        for caller in callers:
            caller.stop()
        reached, others = [], 0
        for name, runs in mesh.runs.begun.items():
            for at, instance in runs:
                if at <= calm:
                    continue
                if instance == leaver.ident:
                    reached.append(name)
                else:
                    others += 1
        summary = (f"requests that reached the instance over {DRAIN_S:.0f} s after "
                   f"the confirmation, sent on by machines in touch: {len(reached)} "
                   f"(allowed 0); the other instance ran {others}")
        record.line("summary", summary)
        print(summary)
        if not others and not reached:
            return COULD_NOT_RUN
        return BROKEN if reached else HELD
    finally:
        mesh.stop()


main(case, os.path.dirname(os.path.abspath(__file__)))
