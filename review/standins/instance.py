"""A stand-in for an application instance (PROTOCOL.md, 'Instances' and
'Service discovery')."""

import asyncio
import hashlib
import json
import time

from . import http1

HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0


class Instance:
    """Runs requests for its service and reports to the node beside it.

    @param work_s a function of the request: how long it is worked on.
    @param body_of a function of the request: the body of its answer.
    """

    def __init__(self, record, identity, service, zone, address, control, slots,
                 work_s, body_of=None):
        self.record = record
        self.identity = identity
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.slots = slots
        self.work_s = work_s
        self.body_of = body_of or (lambda request: b"answer of " + identity.encode())
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []
        self.answered = []
        self.server = None
        self.reporter = None
        self.is_acknowledged = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.reporter = asyncio.create_task(self.report_regularly())

    async def stop(self):
        self.reporter.cancel()
        self.server.close()

    async def report_regularly(self):
        while True:
            await self.report()
            quick = HEARTBEAT_S if self.is_acknowledged.is_set() else 0.2
            await asyncio.sleep(quick)

    def report_body(self):
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def report(self):
        self.sequence += 1
        start = f"POST /clementinecove/Instances.Heartbeat/{self.identity} HTTP/1.1"
        try:
            answer = await http1.call(
                self.control, start,
                [("Host", "control"), ("Content-Type", "application/json")],
                json.dumps(self.report_body()).encode(), ACK_TIMEOUT_S)
        except TimeoutError:
            return False
        if answer is None or answer.status // 100 != 2:
            return False
        self.is_acknowledged.set()
        return True

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None or not request.is_complete:
                    break
                writer.write(await self.answer(request))
                await writer.drain()
                self.answered.append(request.header("X-Request-Id"))
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, request):
        identifier = request.header("X-Request-Id")
        headers = [("X-Request-Id", identifier), ("X-Instance-Id", self.identity)]
        expected = request.header("X-Expected-Instance")
        if expected and expected != self.identity:
            return http1.encode("HTTP/1.1 421 Misdirected Request",
                                headers + [("X-Not-Executed", "1")])
        if self.running >= self.slots:
            return http1.encode("HTTP/1.1 503 Service Unavailable",
                                headers + [("X-Not-Executed", "1")])
        self.runs.append(identifier)
        self.record.write(f"instance {self.identity}: runs {identifier} "
                          f"({request.method} {request.target})")
        self.running += 1
        await asyncio.sleep(self.work_s(request))
        self.running -= 1
        body = self.body_of(request)
        mac = hashlib.sha256(body + identifier.encode()).hexdigest()[:24]
        return http1.encode("HTTP/1.1 200 OK",
                            headers + [("X-Response-Signature", mac)], body)
