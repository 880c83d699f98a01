"""A small HTTP/1.1 codec over asyncio streams, for the stand-ins."""

import asyncio


class Message:
    """A request or a response as it was read from a connection."""

    def __init__(self, start, headers, body, is_complete=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def header(self, name, default=""):
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return default

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Returns the start line and the headers, or None at the end of input."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return lines[0], headers


async def read_body(reader, message):
    """Reads a body that has a length or is sent in chunks."""
    try:
        if message.header("Transfer-Encoding").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return
                message.body += chunk[:-2]
        length = int(message.header("Content-Length", "0"))
        message.body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        message.body = error.partial
        message.is_complete = False
    except (ConnectionError, ValueError):
        message.is_complete = False


async def read_message(reader):
    """Returns the next message, or None if the connection has ended."""
    head = await read_head(reader)
    if head is None:
        return None
    message = Message(head[0], head[1], b"")
    await read_body(reader, message)
    return message


def encode(start, headers, body=b""):
    lines = [start] + [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, start, headers, body=b"", timeout_s=5.0):
    """Sends one request on a connection of its own.

    Returns the response; None if the connection ended without a complete one;
    raises TimeoutError.
    """

    async def exchange():
        host, port = address
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encode(start, headers, body))
            await writer.drain()
            message = await read_message(reader)
            return message if message and message.is_complete else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (ConnectionError, OSError) as error:
        if isinstance(error, TimeoutError):
            raise
        return None
