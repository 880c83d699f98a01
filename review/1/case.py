"""A machine is cut off for some seconds while its instance works on bookings
that came from another machine; the bookings must not run a second time."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", ".."))

from review.standins import deployment as stand_ins  # noqa: E402

HOST = "bookings.example"
SERVICES = ["front", "bookings"]
BOOKINGS = 4
WORK_S = 0.4
CUT_AFTER_S = 0.2
CUT_S = 4.0
ROUTES = [
    {"host": HOST, "prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 5000,
     "target_latency_ms": 1500, "priority": 0, "service": "bookings", "max_attempts": 2},
    {"host": HOST, "prefix": "/slots/", "kind": "idempotent", "timeout_ms": 1000,
     "target_latency_ms": 500, "priority": 1, "service": "bookings", "max_attempts": 2},
]


def work_s(request):
    return WORK_S if request.method == "POST" else 0.02


async def book(deployment, record, machine, number):
    identifier = f"booking-{number}"
    record.write(f"client at {machine.name}: sends POST /book/{number} as {identifier}")
    answer = await deployment.request(machine, "POST", HOST, f"/book/{number}", identifier,
                                      b"slot", 5000)
    status = answer.status if answer else None
    record.write(f"client at {machine.name}: {identifier} is answered {status}")
    return identifier, status


async def look_up_regularly(deployment, machine):
    """Clients of a machine whose own instance serves their lookups."""
    number = 0
    while True:
        number += 1
        asyncio.create_task(deployment.request(
            machine, "GET", HOST, f"/slots/{number}", f"{machine.name}-slots-{number}"))
        await asyncio.sleep(0.1)


async def play(deployment, record):
    entry = deployment.add("entry-east", "front", "east")
    first = deployment.add("bookings-east", "bookings", "east")
    second = deployment.add("bookings-west", "bookings", "west")
    for machine in (entry, first, second):
        deployment.add_instance(machine, 20, work_s)
    deployment.put_config(1, ROUTES, SERVICES)
    await deployment.start(has_peer_proxies=True)
    if not await deployment.await_ready(
            [(m, HOST, "/slots/1") for m in (entry, first, second)]):
        return stand_ins.NOT_RUN
    await asyncio.sleep(3)
    lookups = [asyncio.create_task(look_up_regularly(deployment, m)) for m in (first, second)]
    await asyncio.sleep(1)

    bookings = [asyncio.create_task(book(deployment, record, entry, number))
                for number in range(1, BOOKINGS + 1)]
    await asyncio.sleep(CUT_AFTER_S)
    if stand_ins.has_trouble():
        record.write(f"network: {first.name} is cut off from the other machines")
        deployment.peers.cut(first.name)
    await asyncio.sleep(CUT_S)
    deployment.peers.heal()
    record.write("network: healed")
    results = await asyncio.gather(*bookings)
    await asyncio.sleep(1)
    for lookup in lookups:
        lookup.cancel()
    return judge(record, results, first, second)


def judge(record, results, first, second):
    runs = first.instance.runs + second.instance.runs
    broken = False
    for identifier, status in results:
        count = runs.count(identifier)
        if count > 1:
            broken = True
            record.write(f"TWICE: {identifier} ran {count} times")
        if count > 0 and status in (408, 421, 429, 503):
            broken = True
            record.write(f"REFUSED: {identifier} ran and was answered {status}")
    return stand_ins.BROKEN if broken else stand_ins.HELD


stand_ins.main(play, FOLDER)
