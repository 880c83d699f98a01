"""A machine is cut off for some seconds while its instance works on bookings
that came from another machine; the bookings must not run a second time.

With VARIANT=silent, the open connection between the two machines goes silent
instead, routes have shorter timeouts, and the instance also serves lookups."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", ".."))

from review.standins import deployment as stand_ins  # noqa: E402

HOST = "bookings.example"
SERVICES = ["front", "bookings"]
BOOKINGS = 4
FAULT_AFTER_S = 0.2
REFUSALS = (408, 421, 429, 503)


class Cut:
    """A cut of 4 s; clients of the machine that is cut off look up slots."""

    timeout_ms = 5000
    booking_work_s = 0.4
    fault_s = 4.0
    lookup_pause_s = 0.1
    answer_bytes = 1000

    def begin(self, deployment, record, entry, first):
        record.write(f"network: {first.name} is cut off from the other machines")
        deployment.peers.cut(first.name)

    def lookup_machines(self, entry, other, first, second):
        return [first, second]


class Silence:
    """An open connection goes silent for good; new ones work. Another machine
    looks up slots with large answers."""

    timeout_ms = 2000
    booking_work_s = 0.4
    fault_s = 0.0
    lookup_pause_s = 1 / 60
    answer_bytes = 256 * 1024

    def begin(self, deployment, record, entry, first):
        record.write(f"network: the open connection between {entry.name} and "
                     f"{first.name} goes silent")
        deployment.peers.silence(entry.name, first.name)

    def lookup_machines(self, entry, other, first, second):
        return [other]


VARIANT = Silence() if os.environ.get("VARIANT") == "silent" else Cut()
ROUTES = [
    {"host": HOST, "prefix": "/book/", "kind": "non_idempotent",
     "timeout_ms": VARIANT.timeout_ms, "target_latency_ms": 1500, "priority": 0,
     "service": "bookings", "max_attempts": 2},
    {"host": HOST, "prefix": "/slots/", "kind": "idempotent", "timeout_ms": 1000,
     "target_latency_ms": 500, "priority": 1, "service": "bookings", "max_attempts": 2},
]


def work_s(request):
    return VARIANT.booking_work_s if request.method == "POST" else 0.02


def body_of(request):
    return b"x" * (100 if request.method == "POST" else VARIANT.answer_bytes)


async def book(deployment, record, machine, number):
    identifier = f"booking-{number}"
    record.write(f"client at {machine.name}: sends POST /book/{number} as {identifier}")
    answer = await deployment.request(machine, "POST", HOST, f"/book/{number}", identifier,
                                      b"slot", 5000)
    status = answer.status if answer else None
    record.write(f"client at {machine.name}: {identifier} is answered {status}")
    return identifier, status


async def look_up_regularly(deployment, machine):
    number = 0
    while True:
        number += 1
        asyncio.create_task(deployment.request(
            machine, "GET", HOST, f"/slots/{number}", f"{machine.name}-slots-{number}"))
        await asyncio.sleep(VARIANT.lookup_pause_s)


async def play(deployment, record):
    entry = deployment.add("entry-east", "front", "east")
    other = deployment.add("other-east", "front", "east")
    first = deployment.add("bookings-east", "bookings", "east")
    second = deployment.add("bookings-west", "bookings", "west")
    machines = (entry, other, first, second)
    for machine in machines:
        deployment.add_instance(machine, 40, work_s, body_of)
    deployment.put_config(1, ROUTES, SERVICES)
    await deployment.start(has_peer_proxies=True)
    if not await deployment.await_ready([(m, HOST, "/slots/1") for m in machines]):
        return stand_ins.NOT_RUN
    await asyncio.sleep(3)
    lookups = [asyncio.create_task(look_up_regularly(deployment, machine))
               for machine in VARIANT.lookup_machines(entry, other, first, second)]
    await asyncio.sleep(1.5)

    bookings = [asyncio.create_task(book(deployment, record, entry, number))
                for number in range(1, BOOKINGS + 1)]
    await asyncio.sleep(FAULT_AFTER_S)
    if stand_ins.has_trouble():
        VARIANT.begin(deployment, record, entry, first)
    if VARIANT.fault_s:
        await asyncio.sleep(VARIANT.fault_s)
        deployment.peers.heal()
        record.write("network: healed")
    results = await asyncio.gather(*bookings)
    await asyncio.sleep(1)
    for lookup in lookups:
        lookup.cancel()
    deployment.copy_log_lines(entry, ["attempt not completed id=booking"])
    deployment.copy_log_lines(first, ["query for an unknown attempt"])
    return judge(record, results, first, second)


def judge(record, results, first, second):
    """TWICE: a request that is not idempotent runs more than once. REFUSED: one
    that has run is answered with a status that promises that it has not."""
    runs = first.instance.runs + second.instance.runs
    broken = False
    for identifier, status in results:
        count = runs.count(identifier)
        if count > 1:
            broken = True
            record.write(f"TWICE: {identifier} ran {count} times")
        if count > 0 and status in REFUSALS:
            broken = True
            record.write(f"REFUSED: {identifier} ran and was answered {status}")
    return stand_ins.BROKEN if broken else stand_ins.HELD


stand_ins.main(play, FOLDER)
