"""Stand-ins for the users' platform, for the cases review/11 to review/15.

They speak what the users' protocol page says: a key-value store with leases and
watches, application instances with their reports, clients, and a platform that
starts and probes the nodes. All of it listens on loopback addresses.
"""

import base64
import hashlib
import json
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "bin", "clementined")
TEMPLATE = os.path.join(ROOT, "deploy", "proxy.ini")

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """The record of a run: one line for each event, with the time in seconds."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def line(self, *words):
        with self.lock:
            if self.file.closed:
                return
            self.file.write(f"{time.monotonic() - self.start:9.4f} ")
            self.file.write(" ".join(str(word) for word in words) + "\n")
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class Message:
    """The head and body of an HTTP message."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = bytearray()

    def _fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def head(self):
        """Returns the first line and the headers."""
        while b"\r\n\r\n" not in self.buffer:
            self._fill()
        head, _, rest = bytes(self.buffer).partition(b"\r\n\r\n")
        self.buffer = bytearray(rest)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def body(self, headers, has_body=True):
        length = int(headers.get("content-length", "0")) if has_body else 0
        while len(self.buffer) < length:
            self._fill()
        body = bytes(self.buffer[:length])
        del self.buffer[:length]
        return body

    def message(self, has_body=True):
        first, headers = self.head()
        return Message(first, headers, self.body(headers, has_body))


def answer_bytes(status, headers=(), body=b"", reason="-"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Accepts connections; a thread each calls serve(sock)."""

    def __init__(self, address):
        self.address = address
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(1024)
        self.stopping = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.stopping:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            self.serve(sock)
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    def serve(self, sock):
        reader = Reader(sock)
        while not self.stopping:
            request = reader.message()
            sock.sendall(self.answer(request))

    def answer(self, request):
        raise NotImplementedError

    def stop(self):
        self.stopping = True
        self.listener.close()


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self, address):
        self.condition = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.away = False
        super().__init__(address)
        threading.Thread(target=self._expire, daemon=True).start()

    def _expire(self):
        while not self.stopping:
            time.sleep(0.1)
            with self.condition:
                if self.away:  # Leases pause.
                    self.leases = {lease: (ttl, end + 0.1)
                                   for lease, (ttl, end) in self.leases.items()}
                    continue
                now = time.monotonic()
                for lease in [l for l, (_, end) in self.leases.items() if end < now]:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease_id"] == lease]:
            self._apply([], [key])

    def _apply(self, puts, removes):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items.get(key, {}).get("created_at", self.revision)
            item = {"key": key, "value": value, "revision": self.revision,
                    "created_at": created, "lease_id": lease}
            self.items[key] = item
            self.events.append(item)
        for key in removes:
            if self.items.pop(key, None):
                self.events.append(
                    {"key": key, "revision": self.revision, "deleted": True})
        self.condition.notify_all()

    def put(self, key, value):
        """Writes as the operator does; the return is the confirmation."""
        text = base64.b64encode(value.encode()).decode()
        with self.condition:
            self._apply([(key, text, 0)], [])

    def set_away(self, is_away):
        """Turns all calls away with 503, which means that nothing was done."""
        with self.condition:
            self.away = is_away
            self.condition.notify_all()

    def answer(self, request):
        method, target, _ = request.first.split(" ", 2)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path.removeprefix("/clementinecove/")
        content = json.loads(request.body) if request.body else {}
        status, reply = self._call(method, path, query, content)
        return answer_bytes(status, [("Content-Type", "application/json")],
                            json.dumps(reply).encode())

    def _call(self, method, path, query, content):
        with self.condition:
            if self.away:
                return 503, {}
            if path == "kv-key":
                item = self.items.get(query.get("key", ""))
                return (200, dict(item, at=self.revision)) if item else (404, {})
            if path == "kv-range":
                return 200, self._range(query)
            if path == "kv-watch":
                return 200, self._watch(query)
            if path == "kv-txn":
                return self._transaction(content)
            if path == "kv-lease":
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                ttl = content["ttl_ms"]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"lease_id": lease, "ttl_ms": ttl}
            if path.startswith("kv-keep/"):
                lease = int(path.split("/")[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
                return 200, {"ttl_ms": ttl}
            if path.startswith("kv-lease-end/") and method == "DELETE":
                lease = int(path.split("/")[1])
                if lease not in self.leases:
                    return 404, {}
                self._end_lease(lease)
                return 200, {}
            return 404, {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {"items": [self.items[k] for k in keys[:500]],
                "has_more": len(keys) > 500, "at": self.revision}

    def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
        while True:
            found = [e for e in self.events
                     if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if self.away:
                raise ConnectionError("a waiting watch is cut")
            if found or left <= 0 or self.stopping:
                return {"events": found, "at": self.revision}
            self.condition.wait(left)

    def _transaction(self, content):
        rows = content.get("precondition", [])
        for row in rows:
            present = self.items.get(row["key"], {}).get("revision", 0)
            if present != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in rows
                                       if r["key"] in self.items]}
        puts = [(p["key"], p["value"], p.get("lease_id", 0))
                for p in content.get("puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return 403, {}
        self._apply(puts, content.get("remove", []))
        return 200, {"revision": self.revision}


class Runs:
    """What the instances have run."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.begun = {}
        self.ended = {}

    def begin(self, request_id, instance, detail):
        with self.lock:
            self.begun.setdefault(request_id, []).append((time.monotonic(), instance))
        self.record.line("run-begin", request_id, instance, detail)

    def end(self, request_id, instance):
        with self.lock:
            self.ended.setdefault(request_id, []).append((time.monotonic(), instance))
        self.record.line("run-end", request_id, instance)

    def of(self, request_id):
        with self.lock:
            return list(self.begun.get(request_id, []))


class Instance(HttpServer):
    """An application instance beside a node."""

    def __init__(self, machine, runs, ident, work_s=0.05, slots=64, body=b"x" * 500):
        self.machine = machine
        self.runs = runs
        self.ident = ident
        self.work_s = work_s
        self.slots = slots
        self.body_bytes = body
        self.busy = 0
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.reports = True
        super().__init__(machine.application)
        threading.Thread(target=self._report_forever, daemon=True).start()

    def _report_forever(self):
        while not self.stopping and self.reports:
            confirmed = self.send(self.next_report())
            time.sleep(1.5 if confirmed else 0.2)

    def next_report(self):
        """The call and body of the next status report."""
        self.sequence += 1
        return "Heartbeat", {
            "service": self.machine.service, "address": "%s:%d" % self.address,
            "zone": self.machine.zone, "version": "v1", "slots": self.slots,
            "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born}

    def deregister(self):
        """Reports no more and deregisters; tells whether that was confirmed."""
        self.reports = False
        return self.send(("Deregister", {"born": self.born}))

    def send(self, call):
        """Sends a call to the node; tells whether it was confirmed."""
        name, body = call
        reply = call_once(self.machine.control, "POST",
                          f"/clementinecove/Instances.{name}/{self.ident}",
                          [("Content-Type", "application/json")],
                          json.dumps(body).encode(), timeout=1.0)
        return reply is not None and reply.first.split(" ")[1] == "200"

    def answer(self, request):
        method, target, _ = request.first.split(" ", 2)
        if target == "/health":
            return answer_bytes(200, [("X-Instance-Id", self.ident)])
        request_id = request.header("X-Request-Id", "")
        refusal = [("X-Request-Id", request_id), ("X-Not-Executed", "1"),
                   ("X-Instance-Id", self.ident)]
        expected = request.header("X-Expected-Instance")
        if expected is not None and expected != self.ident:
            return answer_bytes(421, refusal)
        if not request_id:
            return answer_bytes(400, refusal)
        with self.lock:
            if self.busy >= self.slots:
                return answer_bytes(503, refusal)
            self.busy += 1
        digest = hashlib.sha256(request.body).hexdigest()[:12]
        self.runs.begin(request_id, self.ident,
                        f"{method} {target} {len(request.body)} {digest}")
        time.sleep(self.work_s)
        with self.lock:
            self.busy -= 1
        self.runs.end(request_id, self.ident)
        return self.success(request_id)

    def success(self, request_id):
        """The answer to a request that has run."""
        body = self.body_bytes
        signature = hashlib.sha256(request_id.encode() + body).hexdigest()[:16]
        return answer_bytes(200, [("X-Request-Id", request_id),
                                  ("X-Response-Signature", signature),
                                  ("Keep-Alive", "timeout=10")], body)


def request_bytes(method, path, host, request_id, deadline_ms, body=b"", extra=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
             f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in extra]
    if body or method not in ("GET", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def call_once(address, method, path, headers=(), body=b"", timeout=5.0):
    """One call on a new connection; None if it brought no whole answer."""
    lines = [f"{method} {path} HTTP/1.1", "Host: %s:%d" % address]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    try:
        with socket.create_connection(address, timeout=timeout) as sock:
            sock.sendall(data)
            return Reader(sock).message()
    except (OSError, ValueError):
        return None


class Client:
    """A client with one kept connection."""

    def __init__(self, address, timeout=10.0):
        self.sock = socket.create_connection(address, timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def send(self, *arguments, **named):
        self.sock.sendall(request_bytes(*arguments, **named))

    def receive(self):
        return self.reader.message()

    def close(self):
        self.sock.close()


class KeptCaller:
    """Sends one request after the other on a connection that it keeps.

    Counts what rule LOST forbids: requests from a kept connection that were
    passed on to an instance, and whose connection was closed without an answer.
    """

    def __init__(self, name, mesh, address, record, host, paths, deadline_ms=5000,
                 pause_s=0.0):
        self.name, self.mesh, self.address = name, mesh, address
        self.record, self.host, self.paths = record, host, paths
        self.deadline_ms, self.pause_s = deadline_ms, pause_s
        self.stopping = False
        self.answered = 0
        self.lost = []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        client, uses, count = None, 0, 0
        while not self.stopping:
            try:
                client = client or Client(self.address)
            except OSError:
                time.sleep(0.1)
                continue
            count += 1
            name = f"{self.name}-{count}"
            method, path = self.paths[count % len(self.paths)]
            self.record.line("sent", name, method, path)
            try:
                client.send(method, path, self.host, name, self.deadline_ms,
                            b"slot" if method == "POST" else b"")
                answer = client.receive()
            except OSError as error:
                client.close()
                passed_on = bool(self.mesh.runs.of(name))
                self.record.line("closed-without-answer", name, "passed-on",
                                 passed_on, "kept", uses > 0, type(error).__name__)
                if passed_on and uses > 0:
                    self.lost.append(name)
                client, uses = None, 0
                continue
            uses += 1
            self.answered += 1
            time.sleep(self.pause_s)
            self.record.line("answered", name, answer.first)
            if answer.header("Connection", "").lower() == "close":
                client.close()
                client, uses = None, 0

    def stop(self):
        self.stopping = True
        self.thread.join(self.deadline_ms / 1000 + 1)


class Machine:
    """Addresses of a machine, and its node's process."""

    def __init__(self, mesh, name, zone, service, host):
        self.mesh, self.name, self.zone, self.service = mesh, name, zone, service
        self.host = host
        port = mesh.port
        self.application = (host, port)
        self.outbound = (host, port + 1)
        self.control = (host, port + 2)
        self.ready = (host, port + 3)
        self.process = None
        self.starts = 0
        self.log = None

    def _settings(self):
        fields = {
            "node_name": self.name, "zone": self.zone, "service": self.service,
            "bounds.grace_period_s": self.mesh.grace_period_s,
            "bounds.budget_window_s": 10, "bounds.budget_ratio": 0.2,
            "application_address": "%s:%d" % self.application,
            "listen_addresses.outbound": "%s:%d" % self.outbound,
            "listen_addresses.control": "%s:%d" % self.control,
            "listen_addresses.ready": "%s:%d" % self.ready,
            "ip_address": self.host, "internal_port_range.0": self.mesh.port + 4,
            "platform.address": "%s:%d" % self.mesh.store.address,
        }
        text = open(TEMPLATE, encoding="utf-8").read()
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}",
                      lambda found: str(fields[found.group(1)]), text)
        # The metrics port of the template is fixed; take a free one.
        return text.replace(":9464", ":%d" % (self.mesh.port + 5))

    def start(self):
        self.starts += 1
        path = os.path.join(self.mesh.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(self._settings())
        self.log = os.path.join(self.mesh.folder, f"{self.name}.{self.starts}.log")
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [DAEMON, "--proxy", "--settings", path], stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, cwd=ROOT)
        self.mesh.record.line("node-start", self.name, "pid", self.process.pid)

    def is_ready(self):
        reply = call_once(self.ready, "GET", "/clementinecove/readiness", timeout=1.0)
        return reply is not None and reply.first.split(" ")[1] == "200"


class Mesh:
    """Machines, their nodes and instances, and the store."""

    def __init__(self, record, services, port=None, work_s=0.05, body=b"x" * 500,
                 slots=64):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = "127.%d.%d." % (20 + os.getpid() % 200, 1 + (os.getpid() // 200) % 250)
        self.port = port or free_port(self.network)
        self.runs = Runs(record)
        self.store = Store((self.network + "250", self.port))
        self.machines = {}
        self.instances = {}
        for index, (name, zone, service) in enumerate(services):
            host = self.network + str(index + 1)
            self.machines[name] = Machine(self, name, zone, service, host)
        self.work_s, self.body, self.slots = work_s, body, slots
        self.grace_period_s = 6

    def configure(self, number, routes, limits=None):
        """Writes a desired state; routes: (name, host, prefix, kind, service,
        timeout_ms, priority, max_attempts)."""
        resources = []
        for name, host, prefix, kind, service, timeout, priority, attempts in routes:
            resources.append({"entry_kind": "routes", "metadata": {"name": name},
                              "spec": {"host": host, "prefix": prefix, "kind": kind,
                                       "timeout_ms": timeout,
                                       "target_latency_ms": timeout,
                                       "priority": priority, "service": service,
                                       "max_attempts": attempts}})
        for service in sorted({m.service for m in self.machines.values()}):
            resources.append({"entry_kind": "services", "metadata": {"name": service},
                              "spec": {"health_path": "/health",
                                       "max_connections": 490, "protocol": "h1",
                                       "tls": False}})
        spec = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        spec.update(limits or {})
        resources.append({"entry_kind": "limits", "metadata": {}, "spec": spec})
        self.store.put("op/config", json.dumps(
            {"version": f"r{number}", "resources": resources}))
        self.record.line("operator-confirmed", f"r{number}", json.dumps(spec))

    def start(self, kinds=None):
        """Starts nodes and instances; kinds: other classes than Instance."""
        for machine in self.machines.values():
            machine.start()
        for name, machine in self.machines.items():
            kind = (kinds or {}).get(name, Instance)
            self.instances[name] = kind(machine, self.runs, "i-" + name,
                                        self.work_s, self.slots, self.body)

    def await_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(m.is_ready() for m in self.machines.values()):
                return True
            time.sleep(0.2)
        return False

    def ended_by_themselves(self):
        """The machines whose process has ended without a signal of the test."""
        return {name: machine.process.poll()
                for name, machine in self.machines.items()
                if machine.process.poll() is not None}

    def last_words(self, name):
        """The last line that a node's process has written."""
        with open(self.machines[name].log, encoding="utf-8", errors="replace") as log:
            lines = [line.strip() for line in log if line.strip()]
        # Without the folders of the machine that it ran on.
        return re.sub(r"/[\w./-]*/", "", lines[-1]) if lines else ""

    def stop(self):
        for machine in self.machines.values():
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        for instance in self.instances.values():
            instance.stop()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port(network):
    """A port that, with the five after it, is free on the network's addresses."""
    for port in range(21000 + os.getpid() % 5000, 60000, 16):
        try:
            for host in (1, 250):
                for each in range(port, port + 6):
                    with socket.socket() as sock:
                        sock.bind((network + str(host), each))
            return port
        except OSError:
            continue
    raise OSError("no free ports")


def main(case, folder):
    """Runs case(record, trouble); ends with the exit code that it returns."""
    if not os.access(DAEMON, os.X_OK):
        print("target/bin/clementined isn't built")
        sys.exit(COULD_NOT_RUN)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("trouble", int(trouble))
    code = COULD_NOT_RUN
    try:
        code = case(record, trouble)
    except Exception as error:  # The case could not run.
        record.line("error", repr(error))
        print("the case could not run:", repr(error))
    record.line("exit", code)
    record.close()
    sys.stdout.flush()
    os._exit(code)
