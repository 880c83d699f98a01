"""A stand-in for the platform's metadata store (PROTOCOL.md, 'The platform's
metadata store'): one process, in memory, linearizable."""

import asyncio
import base64
import json
import time
import urllib.parse

from . import http1

PAGE_ITEMS = 500
LEASE_CHECK_S = 0.1


class Store:
    def __init__(self, address):
        self.address = address
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.server = None
        self.expiry = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.expiry = asyncio.create_task(self.expire_leases())

    async def stop(self):
        self.expiry.cancel()
        self.server.close()

    def put(self, key, value, lease=0):
        """Writes a value; the operator calls this directly."""
        self.revision += 1
        before = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_at": before["created_at"] if before else self.revision,
            "lease_id": lease,
        }
        self.record(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.record({"key": key, "revision": self.revision, "deleted": True})

    def record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease in [x for x, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i["lease_id"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None or not request.is_complete:
                    break
                status, body = await self.answer(request)
                writer.write(
                    http1.encode(
                        f"HTTP/1.1 {status} -",
                        [("Content-Type", "application/json")],
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix("/clementinecove/")
        if name == "kv-key":
            return self.get(query["key"])
        if name == "kv-range":
            return self.list(query["prefix"], query.get("after", ""))
        if name == "kv-watch":
            return await self.watch(query)
        body = json.loads(request.body or b"{}")
        if name == "kv-txn":
            return self.commit(body)
        if name == "kv-lease":
            return self.grant(body["ttl_ms"])
        verb, _, number = name.partition("/")
        return self.lease_call(verb, int(number))

    def get(self, key):
        item = self.items.get(key)
        return (200, {**item, "at": self.revision}) if item else (404, {})

    def list(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[k] for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "has_more": more, "at": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": max(after, self.revision)}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def commit(self, body):
        rows = body.get("precondition", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items.get(r["key"]) for r in rows]
                return 412, {"items": [item for item in found if item]}
        for put in body.get("puts", []):
            lease = put.get("lease_id", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease_id", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def grant(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"lease_id": self.next_lease, "ttl_ms": ttl_ms}

    def lease_call(self, verb, lease):
        if lease not in self.leases:
            return 404, {}
        if verb == "kv-lease-end":
            self.end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"ttl_ms": ttl_ms}
