"""A small deployment on loopback: the store, nodes started by the command of
deploy/system.toml with settings from deploy/proxy.ini, and instances."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from . import http1
from .instance import Instance
from .network import PeerNetwork
from .store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "clementined")
TEMPLATE = os.path.join(ROOT, "deploy", "proxy.ini")
BOUNDS = {"grace_period_s": 6, "budget_window_s": 10, "budget_ratio": 0.2}
RESTART_DELAY_S = 0.3
PLAY_LIMIT_S = 110
# Exit codes of a case; run.sh translates them, since Python itself ends with 1
# after an unexpected error.
HELD, BROKEN, NOT_RUN = 0, 10, 2


class Record:
    """record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begun = time.monotonic()

    def write(self, text):
        print(f"{time.monotonic() - self.begun:8.3f} {text}", file=self.file, flush=True)


def free_network():
    """Returns a loopback network (three numbers) whose ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        try:
            for port in (7620, 7630, 8301, 8302, 8304, 8306, 8309, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise RuntimeError("no free loopback network")


def fill(template, values):
    """Fills the placeholders {{a.b}} and {{a.0}} of a settings template."""

    def value_of(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, template)


class Machine:
    """A machine with a node and an application instance."""

    def __init__(self, deployment, number, name, service, zone):
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.host = f"{deployment.network}.{number}"
        self.instance_address = (self.host, 8301)
        self.ready = (self.host, 8302)
        self.outbound = (self.host, 8304)
        self.control = (self.host, 8306)
        self.peer = (self.host, 7620)
        self.advertised_peer = (self.host, 7630)
        self.process = None
        self.instance = None
        self.own_ends = []
        self.is_stopping = False

    def settings(self):
        with open(TEMPLATE, encoding="utf-8") as file:
            text = fill(file.read(), {
                "node_name": self.name, "zone": self.zone, "service": self.service,
                "application_address": f"{self.host}:8301", "ip_address": self.host,
                "bounds": BOUNDS, "internal_port_range": [7620, 7635],
                "listen_addresses": {"outbound": f"{self.host}:8304",
                                     "control": f"{self.host}:8306",
                                     "ready": f"{self.host}:8302"},
                "platform": {"address": "{}:{}".format(*self.deployment.store.address)}})
        if self.deployment.peers is None:
            return text
        advertised = f"peer_advertised = {self.host}:7630\n"
        return text.replace("[listen]\n", "[listen]\n" + advertised)

    def start_node(self):
        path = os.path.join(self.deployment.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([PROGRAM, "--proxy", "--settings", path],
                                        cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()

    async def supervise(self):
        """Restarts the node after a short delay when its process has ended."""
        while True:
            await asyncio.sleep(0.05)
            if self.process is None or self.process.poll() is None:
                continue
            status = self.process.returncode
            manner = "stopped" if self.is_stopping else "process ended by itself"
            self.deployment.record.write(f"node {self.name}: {manner}, status {status}")
            if not self.is_stopping:
                self.own_ends.append(status)
            self.process = None
            await asyncio.sleep(RESTART_DELAY_S)
            self.is_stopping = False
            self.start_node()

    def terminate(self):
        self.is_stopping = True
        self.deployment.record.write(f"platform: SIGTERM to the node {self.name}")
        self.process.send_signal(signal.SIGTERM)


class Deployment:
    def __init__(self, record, network=None):
        self.record = record
        self.network = network or free_network()
        self.folder = tempfile.mkdtemp(prefix="clementine-review-")
        self.store = Store((f"{self.network}.250", 8309))
        self.peers = None
        self.machines = {}
        self.tasks = []

    def add(self, name, service, zone):
        machine = Machine(self, len(self.machines) + 1, name, service, zone)
        self.machines[name] = machine
        return machine

    def add_instance(self, machine, slots, work_s, body_of=None):
        identity = f"i-{random.getrandbits(32):08x}"
        machine.instance = Instance(self.record, identity, machine.service, machine.zone,
                                    machine.instance_address, machine.control, slots,
                                    work_s, body_of)
        return machine.instance

    def put_config(self, version, routes, services):
        resources = [{"entry_kind": "routes", "metadata": {"name": f"r-{number}"},
                      "spec": route} for number, route in enumerate(routes)]
        resources += [{"entry_kind": "services", "metadata": {"name": name},
                       "spec": {"health_path": "/health", "max_connections": 886,
                                "protocol": "h1", "tls": False}} for name in services]
        resources.append({"entry_kind": "limits", "metadata": {},
                          "spec": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.store.put("op/config", json.dumps(
            {"version": f"r{version}", "base_version": f"r{version - 1}",
             "resources": resources}).encode())

    async def start(self, has_peer_proxies=False):
        await self.store.start()
        if has_peer_proxies:
            self.peers = PeerNetwork(self.machines)
            for machine in self.machines.values():
                await self.peers.add(machine.name, machine.advertised_peer, machine.peer)
        for machine in self.machines.values():
            machine.start_node()
            self.tasks.append(asyncio.create_task(machine.supervise()))
            if machine.instance:
                await machine.instance.start()

    async def await_ready(self, probes, timeout_s=25):
        """Waits until each node is ready and each of the requests succeeds.

        @param probes pairs of a machine and a route's (host, path)."""
        end = time.monotonic() + timeout_s
        waiting = list(probes)
        while waiting and time.monotonic() < end:
            machine, host, path = waiting[0]
            if await self.is_ready(machine):
                answer = await self.request(machine, "GET", host, path, f"ready-{time.monotonic_ns()}")
                if answer and answer.status == 200:
                    waiting.pop(0)
                    continue
            await asyncio.sleep(0.1)
        return not waiting

    async def is_ready(self, machine):
        try:
            answer = await http1.call(machine.ready, "GET /clementinecove/readiness HTTP/1.1",
                                      [("Host", "ready")], b"", 1.0)
        except TimeoutError:
            return False
        return answer is not None and answer.status == 200

    async def request(self, machine, method, host, path, identifier, body=b"",
                      deadline_ms=5000, extra=()):
        """Sends a client's request on a new connection; returns the response,
        or None if the connection ended without one."""
        headers = [("Host", host), ("X-Request-Id", identifier),
                   ("X-Deadline-Ms", str(deadline_ms)), *extra]
        try:
            return await http1.call(machine.outbound, f"{method} {path} HTTP/1.1", headers,
                                    body, deadline_ms / 1000 + 0.5)
        except TimeoutError:
            return None

    def copy_log_lines(self, machine, words, most=20):
        """Copies the node's log lines that hold one of the words to the record."""
        path = os.path.join(self.folder, machine.name + ".log")
        with open(path, encoding="utf-8", errors="backslashreplace") as file:
            found = [line.rstrip() for line in file if any(word in line for word in words)]
        for line in found[:most]:
            self.record.write(f"log of {machine.name}: {line}")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()
        for machine in self.machines.values():
            if machine.instance:
                await machine.instance.stop()
        if self.peers:
            await self.peers.stop()
        await self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, folder):
    """Plays a case and exits with its result; ends all processes that it started."""
    record = Record(folder)
    if not os.access(PROGRAM, os.X_OK):
        record.write("the program is not built")
        sys.exit(NOT_RUN)

    async def run():
        deployment = Deployment(record)
        player = asyncio.create_task(play(deployment, record))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, player.cancel)
        try:
            return await asyncio.wait_for(player, PLAY_LIMIT_S)
        except (TimeoutError, asyncio.CancelledError):
            record.write("the case took too long or was interrupted")
            return NOT_RUN
        except Exception as error:  # A fault of the case, not of the program.
            record.write(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            await deployment.stop()

    result = asyncio.run(run())
    text = {HELD: "the rule held", BROKEN: "the rule was broken",
            NOT_RUN: "the case could not run"}[result]
    record.write(f"result: {text}")
    print(text, flush=True)
    os._exit(result)  # Connections that are still open are not waited for.
