"""Stand-ins for the users' platform: the store, application instances, the
start and restart of node processes, and plain HTTP clients.

Everything runs on loopback addresses and the real clock. What was sent, run
and answered goes to a record file.
"""
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]

# The bounds of the site file that the claims name.
BOUNDS = {
    "drain_ms": 2000,
    "settle_window_ms": 3000,
    "config_apply_ms": 2000,
    "ack_ms": 4000,
    "grace_period_s": 6,
    "budget_window_s": 10,
    "budget_ratio": 0.2,
}
MEMORY_MB = 260
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
RESTART_DELAY_S = 0.5
PORTS = {"outbound": 8304, "control": 8306, "ready": 8302, "app": 8301,
         "peer": 7620, "metrics": 9464, "store": 8309}


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A connection that the other side has reset is no fault of a case."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *args):
        """The record takes the place of the log."""

    def read_body(self):
        length = self.headers.get("Content-Length")
        return self.rfile.read(int(length)) if length else b""

    def reply(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


def serve(address, handler):
    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05},
                     daemon=True).start()
    return server


class Store:
    """The platform's metadata store: keys, leases and watches."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 100
        self.next_lease = 77000
        # Called with the path of each call as it arrives.
        self.on_call = lambda path: None
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                self.answer("GET")

            def do_POST(self):
                self.answer("POST")

            def do_DELETE(self):
                self.answer("DELETE")

            def answer(self, method):
                body = self.read_body()
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                store.on_call(parts.path)
                status, result = store.call(method, parts.path, query, body)
                time.sleep(STORE_ANSWER_S)
                self.reply(status, json.dumps(result).encode(),
                           [("Content-Type", "application/json")])

        self.server = serve(address, StoreHandler)
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [k for k, v in self.leases.items() if v[1] < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, v in self.items.items() if v["lease_id"] == lease]:
            self.remove(key)
        self.changed.notify_all()

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision,
                                "deleted": True})

    def put(self, key, value, lease=0):
        """Writes as the operator does; value is bytes."""
        with self.changed:
            self.write_item(key, base64.b64encode(value).decode(), lease)
            self.changed.notify_all()

    def write_item(self, key, text, lease):
        self.revision += 1
        created = self.items.get(key, {"created_at": self.revision})["created_at"]
        self.items[key] = {"key": key, "value": text, "revision": self.revision,
                           "created_at": created, "lease_id": lease}
        self.events.append(dict(self.items[key]))

    def value_of(self, key):
        with self.changed:
            item = self.items.get(key)
            return base64.b64decode(item["value"]).decode() if item else ""

    def call(self, method, path, query, body):
        name = path.removeprefix("/clementinecove/")
        if name == "kv-watch":
            return self.watch(query)
        with self.changed:
            if name == "kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "at": self.revision}) if item else (404, {})
            if name == "kv-range":
                return self.range(query)
            if name == "kv-txn":
                return self.transaction(json.loads(body))
            if name == "kv-lease":
                ttl = json.loads(body)["ttl_ms"]
                self.next_lease += 1
                self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease_id": self.next_lease, "ttl_ms": ttl}
            if name.startswith(("kv-keep/", "kv-lease-end/")):
                lease = int(name.split("/")[1])
                if lease not in self.leases:
                    return 404, {}
                if method == "DELETE":
                    self.end_lease(lease)
                    return 200, {}
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"ttl_ms": ttl}
        return 404, {}

    def range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        page = [self.items[k] for k in keys[:500]]
        return 200, {"items": page, "has_more": len(keys) > 500,
                     "at": self.revision}

    def transaction(self, body):
        rows = body.get("precondition", [])
        found = [self.items.get(row["key"], {"key": row["key"], "revision": 0})
                 for row in rows]
        if any(item["revision"] != row["revision"]
               for item, row in zip(found, rows)):
            return 412, {"items": [item for item in found if item["revision"]]}
        for put in body.get("puts", []):
            if put.get("lease_id", 0) and put["lease_id"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            self.write_item(put["key"], put["value"], put.get("lease_id", 0))
        for key in body.get("remove", []):
            self.remove(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}

    def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                events = [e for e in self.events if e["revision"] > after
                          and e["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": max(after, self.revision)}
                self.changed.wait(left)


class Instance:
    """An application instance beside a node. It reports to its node, runs
    requests and signs its answers."""

    def __init__(self, record, node, identity, slots=20):
        self.record = record
        self.node = node
        self.identity = identity
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.reports = threading.Event()
        self.reports.set()
        self.ended = False
        self.runs = []
        self.lock = threading.Lock()
        self.work_s = lambda headers: 0.02
        self.answer_body = lambda headers: b"answer of " + identity.encode()
        instance = self

        class InstanceHandler(Handler):
            def do_GET(self):
                instance.run(self)

            do_POST = do_PUT = do_DELETE = do_GET

        self.server = serve((node.host, PORTS["app"]), InstanceHandler)
        threading.Thread(target=self.report_always, daemon=True).start()

    def run(self, handler):
        headers = handler.headers
        body = handler.read_body()
        if headers.get("X-Expected-Instance") not in (None, self.identity):
            return handler.reply(421, b"", [("X-Instance-Id", self.identity),
                                            ("X-Not-Executed", "1")])
        request = headers.get("X-Request-Id", "")
        with self.lock:
            self.runs.append((time.monotonic(), request))
        self.record.write(f"run {request} {handler.command} {handler.path} on "
                          f"{self.identity} body={len(body)}")
        time.sleep(self.work_s(headers))
        handler.reply(200, self.answer_body(headers), [
            ("X-Request-Id", request),
            ("X-Response-Signature", f"mac-of-{self.identity}-{request}")])

    def content(self, state, sequence):
        return {"service": self.node.service,
                "address": f"{self.node.host}:{PORTS['app']}",
                "zone": self.node.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_remaining_ms": 0, "sequence": sequence,
                "born": self.born}

    def next_sequence(self):
        with self.lock:
            self.sequence += 1
            return self.sequence

    def report(self, state, sequence=None):
        """Sends one status report; returns the status, 0 without an answer."""
        sequence = sequence or self.next_sequence()
        return self.say(f"Instances.Heartbeat/{self.identity}",
                        self.content(state, sequence))

    def deregister(self):
        return self.say(f"Instances.Deregister/{self.identity}",
                        {"sequence": self.next_sequence(), "born": self.born})

    def say(self, call, body):
        answer = exchange((self.node.host, PORTS["control"]), "POST",
                          f"/clementinecove/{call}", "node",
                          [("Content-Type", "application/json")],
                          json.dumps(body).encode(), 1.0)
        return answer.status

    def report_always(self):
        while not self.ended:
            if self.reports.is_set():
                self.report("ready")
            time.sleep(HEARTBEAT_S)

    def stop_reports(self):
        self.reports.clear()

    def end(self):
        self.ended = True
        self.server.shutdown()
        self.server.server_close()


class Answer:
    def __init__(self, status=0, headers=None, body=b"", fault=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.fault = fault


def read_answer(stream):
    line = stream.readline()
    if not line:
        return Answer(fault="closed")
    status = int(line.split()[1])
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b""):
            break
        name, value = line.decode().split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = stream.read(length)
    if len(body) < length:
        return Answer(fault="broken off")
    return Answer(status, headers, body)


def exchange(address, method, path, host, headers=(), body=b"", timeout=5.0,
             connect_timeout=1.0):
    """Sends one request on a new connection and reads its answer."""
    try:
        with socket.create_connection(address, connect_timeout) as connection:
            connection.settimeout(timeout)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            head = ("\r\n".join(lines) + "\r\n\r\n").encode()
            connection.sendall(head + body)
            with connection.makefile("rb") as stream:
                return read_answer(stream)
    except OSError as fault:
        return Answer(fault=type(fault).__name__)


class Node:
    """One machine: its addresses and the node process on it."""

    def __init__(self, mesh, name, host, zone, service):
        self.mesh = mesh
        self.name = name
        self.host = host
        self.zone = zone
        self.service = service
        self.process = None
        self.settings = mesh.folder / f"{name}.ini"
        self.log = mesh.folder / f"{name}.log"
        self.bounds = dict(BOUNDS)

    def fill_template(self):
        """Fills in deploy/proxy.ini as the platform does."""
        values = {
            "node_name": self.name, "zone": self.zone, "service": self.service,
            "application_address": f"{self.host}:{PORTS['app']}",
            "listen_addresses.outbound": f"{self.host}:{PORTS['outbound']}",
            "listen_addresses.control": f"{self.host}:{PORTS['control']}",
            "listen_addresses.ready": f"{self.host}:{PORTS['ready']}",
            "ip_address": self.host, "internal_port_range.0": str(PORTS["peer"]),
            "platform.address": self.mesh.store_address,
        }
        values |= {f"bounds.{name}": str(value)
                   for name, value in self.bounds.items()}
        text = (ROOT / self.mesh.role["template"]).read_text()
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        if "{{" in text:
            raise CannotRun("the template has a placeholder that is not known")
        self.settings.write_text(text)

    def start(self):
        self.fill_template()
        words = self.mesh.role["run"].split()
        words[0] = str(ROOT / words[0])
        words[words.index("--settings") + 1] = str(self.settings)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CLEMENTINECOVE_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.mesh.record.write(f"start {self.name}")

    def signal(self, number):
        self.mesh.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def is_ready(self):
        return exchange((self.host, PORTS["ready"]), "GET",
                        "/clementinecove/readiness", "ready",
                        timeout=1.0).status == 200

    def memory_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Mesh:
    """A small installation: the store and some machines."""

    def __init__(self, folder, record):
        self.folder = pathlib.Path(folder)
        self.record = record
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = next(iter(deploy["roles"].values()))
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CannotRun("the build of the deploy file is missing")
        self.network = self.free_network()
        self.store_address = f"{self.network}.250:{PORTS['store']}"
        self.store = Store((f"{self.network}.250", PORTS["store"]))
        self.nodes = {}

    @staticmethod
    def free_network():
        for _ in range(50):
            network = f"127.{random.randint(40, 200)}.{random.randint(1, 250)}"
            try:
                for port in PORTS.values():
                    with socket.socket() as probe:
                        probe.bind((f"{network}.250", port))
                return network
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def add(self, name, zone, service):
        host = f"{self.network}.{len(self.nodes) + 1}"
        self.nodes[name] = Node(self, name, host, zone, service)
        return self.nodes[name]

    def configure(self, version, routes):
        """Writes op/config; routes are dictionaries of their spec."""
        resources = [{"entry_kind": "routes", "metadata": {"name": f"r-{index}"},
                      "spec": spec} for index, spec in enumerate(routes)]
        services = sorted({spec["service"] for spec in routes})
        resources += [{"entry_kind": "services", "metadata": {"name": name},
                       "spec": {"health_path": "/health", "max_connections": 490,
                                "protocol": "h1", "tls": False}}
                      for name in services]
        resources.append({"entry_kind": "limits", "metadata": {}, "spec": {
            "max_header_bytes": 16384, "max_body_bytes": 67108864,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.store.put("op/config", json.dumps(
            {"version": f"r{version}", "resources": resources}).encode())
        self.record.write(f"configuration r{version} confirmed")

    def send(self, node, method, path, host, identity, body=b"",
             deadline_ms=5000):
        """One request of a client on the machine of a node."""
        self.record.write(f"send {identity} {method} {path} at {node.name} "
                          f"body={len(body)}")
        answer = exchange((node.host, PORTS["outbound"]), method, path, host, [
            ("X-Request-Id", identity), ("X-Deadline-Ms", str(deadline_ms))],
            body, deadline_ms / 1000 + 0.5)
        self.record.write(f"answer {identity} {answer.status} {answer.fault}")
        return answer

    def await_true(self, what, condition, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"not reached in {limit_s} s: {what}")

    def end(self):
        for node in self.nodes.values():
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
