"""A client that sends idempotent requests on one kept connection without
waiting for the answers to earlier ones (PROTOCOL.md, 'Requests')."""

import asyncio
import socket
import time

from . import http1

RECEIVE_BUFFER_BYTES = 4096


class Sent:
    def __init__(self, identifier):
        self.identifier = identifier
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.is_signed = False
        self.end = "unanswered"


class PipeliningClient:
    """@param read_pause_s pause after each kilobyte; 0 reads at full speed."""

    def __init__(self, record, machine, host, path, deadline_ms, read_pause_s=0):
        self.record = record
        self.machine = machine
        self.host = host
        self.path = path
        self.deadline_ms = deadline_ms
        self.read_pause_s = read_pause_s
        self.requests = []
        self.pending = []
        self.is_open = False
        self.tasks = []

    async def connect(self):
        raw = socket.socket()
        if self.read_pause_s:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        raw.setblocking(False)
        await asyncio.get_running_loop().sock_connect(raw, self.machine.outbound)
        # A small limit makes the client read no further ahead than it says.
        self.network, self.writer = await asyncio.open_connection(sock=raw, limit=1024)
        self.input = asyncio.StreamReader(limit=1 << 20)
        self.is_open = True
        self.tasks = [asyncio.create_task(self.read_bytes()),
                      asyncio.create_task(self.read_answers())]

    async def read_bytes(self):
        try:
            while True:
                piece = await self.network.read(1024)
                if not piece:
                    break
                self.input.feed_data(piece)
                if self.read_pause_s:
                    await asyncio.sleep(self.read_pause_s)
            self.end = "closed"
        except ConnectionError as error:
            self.end = f"broken off ({type(error).__name__})"
        self.input.feed_eof()

    async def read_answers(self):
        while True:
            answer = await http1.read_message(self.input)
            if answer is None:
                break
            request = self.pending.pop(0)
            request.ended_at = time.monotonic()
            request.end = "answered" if answer.is_complete else "cut off within the answer"
            request.status = answer.status
            request.is_signed = bool(answer.header("X-Response-Signature"))
            self.record.write(f"client at {self.machine.name}: {request.identifier} is {request.end}: "
                              f"{answer.status}, {len(answer.body)} bytes, "
                              f"{'signed' if request.is_signed else 'not signed'}")
            if not answer.is_complete:
                break
            if answer.header("Connection").lower() == "close":
                for later in self.pending:
                    later.end = "behind a closing answer"
                self.pending = []
                break
        self.is_open = False
        await self.tasks[0]
        for request in self.pending:
            request.ended_at = time.monotonic()
            request.end = "without an answer: connection " + self.end
            self.record.write(f"client at {self.machine.name}: {request.identifier} ends {request.end}")
        self.pending = []

    def send(self, identifier):
        request = Sent(identifier)
        self.requests.append(request)
        self.pending.append(request)
        self.record.write(f"client at {self.machine.name}: sends {identifier}")
        self.writer.write((f"GET {self.path} HTTP/1.1\r\nHost: {self.host}\r\n"
                           f"X-Request-Id: {identifier}\r\n"
                           f"X-Deadline-Ms: {self.deadline_ms}\r\n\r\n").encode())

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.writer.close()
