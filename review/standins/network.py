"""A proxy in front of each machine's peer port, to cut machines off from each
other or to silence connections. Bytes of a cut pair are held back, new
connections as well; they are delivered in order once the cut is over. A silenced
connection stays open and passes nothing on any more; new ones work."""

import asyncio

HOLD_POLL_S = 0.01
CHUNK_BYTES = 65536


class PeerNetwork:
    """Knows which machine opened a connection by the node name in its first
    message."""

    def __init__(self, names):
        self.names = [name.encode() for name in names]
        self.cut_machines = set()
        self.links = []
        self.servers = []

    async def add(self, name, listen, target):
        async def accept(reader, writer):
            await self.forward(name, target, reader, writer)

        self.servers.append(await asyncio.start_server(accept, *listen))

    async def stop(self):
        for server in self.servers:
            server.close()

    def cut(self, name):
        """Cuts a machine off from all others."""
        self.cut_machines.add(name)

    def heal(self):
        self.cut_machines.clear()

    def silence(self, one, other):
        """Silences the open connections between two machines for good."""
        for link in self.links:
            if link.ends == {one, other}:
                link.is_silent = True

    def source_of(self, first):
        found = [(first.find(n), n) for n in self.names if n in first]
        return min(found)[1].decode() if found else ""

    async def forward(self, name, target, reader, writer):
        first = await reader.read(CHUNK_BYTES)
        link = Link(self, {name, self.source_of(first)})
        self.links.append(link)
        await link.hold()
        try:
            onward_reader, onward_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.close()
            return
        onward_writer.write(first)
        await asyncio.gather(link.pump(reader, onward_writer),
                             link.pump(onward_reader, writer))
        self.links.remove(link)


class Link:
    """A connection between two machines."""

    def __init__(self, network, ends):
        self.network = network
        self.ends = ends
        self.is_silent = False

    async def hold(self):
        while self.is_silent or self.ends & self.network.cut_machines:
            await asyncio.sleep(HOLD_POLL_S)

    async def pump(self, reader, writer):
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                await self.hold()
                if not chunk:
                    break
                writer.write(chunk)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
