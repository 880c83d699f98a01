"""Status reports whose id holds bytes that cannot be read arrive at two of four
machines; the nodes must go on without them."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", ".."))

from review.standins import deployment as stand_ins  # noqa: E402

HOST = "specs.example"
ROUTES = [{"host": HOST, "prefix": "/specs/", "kind": "idempotent", "timeout_ms": 1000,
           "target_latency_ms": 500, "priority": 0, "service": "catalogue",
           "max_attempts": 2}]
REPORTS = 12
REPORT_INTERVAL_S = 1.5
ENDS_OF_A_FAULTY_PROCESS = 3
FAULTY_MACHINES = 2


def damaged(identity):
    """The id with the highest bit of its last byte set: no longer UTF-8."""
    raw = bytearray(identity.encode())
    raw[-1] |= 0x80
    return bytes(raw)


async def send_report(record, machine):
    """Sends a copy of the instance's last report, in a disrupted play with a
    damaged id."""
    identity = machine.instance.identity.encode()
    if stand_ins.has_trouble():
        identity = damaged(machine.instance.identity)
    body = json.dumps(machine.instance.report_body()).encode()
    record.write(f"writer: report to {machine.name} with id {identity!r}: {body.decode()}")
    head = (b"POST /clementinecove/Instances.Heartbeat/" + identity + b" HTTP/1.1\r\n"
            b"Host: control\r\nContent-Type: application/json\r\n"
            b"Content-Length: " + str(len(body)).encode() + b"\r\n\r\n")
    try:
        reader, writer = await asyncio.open_connection(*machine.control)
        writer.write(head + body)
        await writer.drain()
        answer = await asyncio.wait_for(reader.readline(), 1)
        record.write(f"node {machine.name}: answers the report with {answer!r}")
        writer.close()
    except (OSError, TimeoutError) as error:
        record.write(f"node {machine.name}: no answer to the report ({error!r})")


async def look_up(deployment, record, machines, results):
    number = 0
    while True:
        for machine in machines:
            number += 1
            answer = await deployment.request(machine, "GET", HOST, f"/specs/{number}",
                                              f"lookup-{number}", deadline_ms=2000)
            status = answer.status if answer else "no answer"
            results[status] = results.get(status, 0) + 1
            record.write(f"client at {machine.name}: lookup-{number}: {status}")
        await asyncio.sleep(0.2)


async def play(deployment, record):
    machines = [deployment.add(f"catalogue-{zone}", "catalogue", zone)
                for zone in ("kolkata", "howrah", "durgapur", "siliguri")]
    for machine in machines:
        deployment.add_instance(machine, 20, lambda request: 0.02)
    deployment.put_config(1, ROUTES, ["catalogue"])
    await deployment.start()
    if not await deployment.await_ready([(m, HOST, "/specs/0") for m in machines]):
        return stand_ins.NOT_RUN
    results = {}
    clients = asyncio.create_task(look_up(deployment, record, machines, results))
    await asyncio.sleep(3)
    for _ in range(REPORTS):
        for machine in machines[:2]:
            await send_report(record, machine)
        await asyncio.sleep(REPORT_INTERVAL_S)
    clients.cancel()
    for machine in machines:
        deployment.copy_log_lines(machine, ["aborting", "json.exception"], 3)
    record.write(f"answers to clients: {results}")
    return judge(record, machines)


def judge(record, machines):
    """Fault: on a tenth of the machines (two at least) processes end by
    themselves three times with no disruption there."""
    for machine in machines:
        record.write(f"node {machine.name}: its process ended by itself "
                     f"{len(machine.own_ends)} times")
    faulty = [m for m in machines if len(m.own_ends) >= ENDS_OF_A_FAULTY_PROCESS]
    return stand_ins.BROKEN if len(faulty) >= FAULTY_MACHINES else stand_ins.HELD


stand_ins.main(play, FOLDER)
