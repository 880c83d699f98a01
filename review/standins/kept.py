"""A client that sends one request after the other on a kept connection and
opens a new one when that has ended."""

import asyncio

from . import http1

CLIENT_SLACK_S = 0.5


class KeptConnectionClient:
    """@param next_request returns (method, path, identifier, body) of each request."""

    def __init__(self, record, machine, host, deadline_ms, next_request):
        self.record = record
        self.machine = machine
        self.host = host
        self.deadline_ms = deadline_ms
        self.next_request = next_request
        self.writer = None
        self.sent_on_connection = 0
        # Requests of a kept connection that ended without an answer.
        self.unanswered = []
        self.statuses = {}

    async def run(self):
        while True:
            try:
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        *self.machine.outbound)
                    self.sent_on_connection = 0
                await self.exchange()
            except OSError:
                self.close()
                await asyncio.sleep(0.1)

    async def exchange(self):
        method, path, identifier, body = self.next_request()
        self.sent_on_connection += 1
        self.record.write(f"client at {self.machine.name}: sends {method} {path} as {identifier}")
        self.writer.write(http1.encode(
            f"{method} {path} HTTP/1.1",
            [("Host", self.host), ("X-Request-Id", identifier),
             ("X-Deadline-Ms", str(self.deadline_ms))], body))
        try:
            answer = await asyncio.wait_for(http1.read_message(self.reader),
                                            self.deadline_ms / 1000 + CLIENT_SLACK_S)
        except TimeoutError:
            self.note(identifier, "no answer in time")
            return self.close()
        if answer is None or not answer.is_complete:
            self.note(identifier, "connection closed without an answer")
            if self.sent_on_connection > 1:
                self.unanswered.append(identifier)
            return self.close()
        self.note(identifier, answer.status)
        if answer.header("Connection").lower() == "close":
            self.close()

    def note(self, identifier, result):
        self.statuses[result] = self.statuses.get(result, 0) + 1
        self.record.write(f"client at {self.machine.name}: {identifier}: {result}")

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None
