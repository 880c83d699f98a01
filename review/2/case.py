"""A client sends requests with many header fields, within max_header_bytes,
while other clients of the same machines book on kept connections."""

import asyncio
import itertools
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", ".."))

from review.standins import deployment as stand_ins  # noqa: E402
from review.standins.kept import KeptConnectionClient  # noqa: E402

HOST = "mesh.example"
ROUTES = [
    {"host": HOST, "prefix": "/specs/", "kind": "idempotent", "timeout_ms": 1000,
     "target_latency_ms": 500, "priority": 2, "service": "catalogue", "max_attempts": 2},
    {"host": HOST, "prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1200,
     "target_latency_ms": 500, "priority": 0, "service": "catalogue", "max_attempts": 2},
]
MANY_FIELDS = 1100
FEW_FIELDS = 500
BOOKING_CLIENTS = 6
BOOKING_WORK_S = 0.4
LOOKUPS = 12
ALLOWED_LOSSES = 3


def work_s(request):
    return BOOKING_WORK_S if request.method == "POST" else 0.02


def header_fields():
    count = MANY_FIELDS if stand_ins.has_trouble() else FEW_FIELDS
    return [(f"a{number}", "1") for number in range(count)]


async def look_up(deployment, record, machine):
    """Each request is tried once more on a new connection, as clients do."""
    fields = header_fields()
    size = sum(len(f"{key}: {value}\r\n") for key, value in fields)
    for number in range(LOOKUPS):
        for attempt in (1, 2):
            identifier = f"lookup-{machine.name}-{number}-{attempt}"
            record.write(f"client at {machine.name}: sends GET /specs/{number} as {identifier} "
                         f"with {len(fields)} more header fields, {size} bytes")
            answer = await deployment.request(machine, "GET", HOST, f"/specs/{number}",
                                              identifier, deadline_ms=2500, extra=fields)
            status = answer.status if answer else "no answer"
            record.write(f"client at {machine.name}: {identifier}: {status}")
            if status == 200:
                break
        await asyncio.sleep(0.3)


async def play(deployment, record):
    front = [deployment.add(f"front-{zone}", "front", zone) for zone in ("kolkata", "howrah")]
    catalogue = [deployment.add(f"catalogue-{zone}", "catalogue", zone)
                 for zone in ("kolkata", "howrah")]
    for machine in front + catalogue:
        deployment.add_instance(machine, 60, work_s)
    deployment.put_config(1, ROUTES, ["front", "catalogue"])
    await deployment.start()
    if not await deployment.await_ready([(m, HOST, "/specs/0") for m in front + catalogue]):
        return stand_ins.NOT_RUN
    await asyncio.sleep(4)
    numbers = itertools.count(1)

    def next_booking():
        number = next(numbers)
        return "POST", f"/book/{number}", f"booking-{number}", b"slot"

    clients = [KeptConnectionClient(record, machine, HOST, 2500, next_booking)
               for machine in front for _ in range(BOOKING_CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(2)
    await asyncio.gather(*(look_up(deployment, record, machine) for machine in front))
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    for machine in front:
        deployment.copy_log_lines(machine, ["aborting"])
    return judge(record, front, catalogue, clients)


def judge(record, front, catalogue, clients):
    """LOST: a machine passes a request from a kept connection on to a sound
    instance and closes that connection without an answer, more than three
    times. A process that ends by itself counts as running all the while."""
    ran = {identifier for machine in catalogue for identifier in machine.instance.runs}
    broken = False
    for machine in front:
        lost = [identifier for client in clients if client.machine is machine
                for identifier in client.unanswered if identifier in ran]
        record.write(f"node {machine.name}: its process ended by itself "
                     f"{len(machine.own_ends)} times; requests of kept connections that were "
                     f"passed on and lost: {len(lost)} {lost}")
        if len(lost) > ALLOWED_LOSSES:
            broken = True
            record.write(f"LOST: {machine.name} lost {len(lost)} requests")
    return stand_ins.BROKEN if broken else stand_ins.HELD


stand_ins.main(play, FOLDER)
