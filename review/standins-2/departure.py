"""Shared by the cases about a confirmed departure: an instance deregisters,
its node confirms, the node's process ends and starts again, and a status report
that the instance sent before it left arrives late.

The check is the rule DRAIN: no request that a client sent later than drain_ms
after the confirmation, through machines in touch, reaches the instance.
"""
import threading
import time

import mesh as platform

ROUTES = [
    {"host": "desk.example", "prefix": "/desk/", "kind": "idempotent",
     "timeout_ms": 5000, "target_latency_ms": 1500, "priority": 0,
     "service": "desk", "max_attempts": 2},
    {"host": "slow.example", "prefix": "/slow/", "kind": "idempotent",
     "timeout_ms": 6000, "target_latency_ms": 1500, "priority": 1,
     "service": "front", "max_attempts": 1},
]
# How long the instance serves after its deregistration was confirmed.
SERVES_ON_S = 12.0
MARGIN_S = 0.5


class Scene:
    """Two machines of the service desk, and one whose clients use it."""

    def __init__(self, folder, record, caller_zone="z1"):
        self.record = record
        self.mesh = platform.Mesh(folder, record)
        self.leaver = self.mesh.add("leaver", "z1", "desk")
        self.stayer = self.mesh.add("stayer", "z2", "desk")
        self.caller = self.mesh.add("caller", caller_zone, "front")
        # The machine whose clients send the requests to the service desk.
        self.clients_at = self.caller
        self.mesh.configure(1, ROUTES)
        self.requests = 0
        self.serves_on_s = SERVES_ON_S

    def start(self):
        for node in self.mesh.nodes.values():
            node.start()
        self.staying = platform.Instance(self.record, self.stayer, "i-stays")
        self.front = platform.Instance(self.record, self.caller, "i-front")
        self.front.work_s = lambda headers: 3.5
        self.leaving = None

    def begin_round(self, number):
        """Registers a new instance on the leaver's machine."""
        if self.leaving:
            self.leaving.end()
        self.leaving = platform.Instance(self.record, self.leaver,
                                         f"i-leaves-{number}")
        self.mesh.await_true("every node is ready", lambda: all(
            node.is_ready() for node in self.mesh.nodes.values()))
        self.mesh.await_true("the leaving instance is used", self.is_used)

    def is_used(self):
        before = len(self.leaving.runs)
        for _ in range(10):
            self.call()
        return len(self.leaving.runs) > before

    def call(self):
        self.requests += 1
        return self.mesh.send(self.clients_at, "GET", "/desk/x", "desk.example",
                              f"c-{self.requests}")

    def deregister(self):
        """Deregisters the leaving instance. A report that it sent just before
        is still on the way: returns a function that delivers it."""
        leaving = self.leaving
        leaving.stop_reports()
        late = leaving.next_sequence()
        self.record.write(f"report {late} of {leaving.identity}: ready, sent, "
                          "and held up on its way")
        status = leaving.deregister()
        self.confirmed = time.monotonic()
        if status != 200:
            raise platform.CannotRun(f"deregistration got {status}")

        def arrive():
            answer = leaving.report("ready", late)
            self.record.write(f"report {late} of {leaving.identity} arrives "
                              f"{time.monotonic() - self.confirmed:.1f} s late: "
                              f"{answer}")
            return answer == 200
        return arrive

    def requests_reach_it(self, started):
        """Sends requests once the machines are in touch again, until the
        instance exits. @returns how many of them the instance ran."""
        bounds = platform.BOUNDS
        begin = max(self.confirmed + bounds["drain_ms"] / 1000,
                    started + bounds["settle_window_ms"] / 1000) + MARGIN_S
        time.sleep(max(0.0, begin - time.monotonic()))
        self.record.write("all machines are in touch; the confirmation is "
                          f"{time.monotonic() - self.confirmed:.1f} s old")
        first = self.requests + 1
        while time.monotonic() < self.confirmed + self.serves_on_s - 1.0:
            threading.Thread(target=self.call).start()
            time.sleep(0.05)
        time.sleep(1.0)
        sent = {f"c-{number}" for number in range(first, self.requests + 1)}
        reached = [each for _, each in self.leaving.runs if each in sent]
        self.record.write(f"{len(reached)} of {len(sent)} requests reached "
                          f"{self.leaving.identity}")
        if len(sent) < 50:
            raise platform.CannotRun("too few requests were sent")
        return len(reached)
