"""The operator raises a limit; kept connections go on with the old one.

Rule DENIED: more than 5 + one in 500 of all requests are ended with a 4xx of the
system's own though every desired state that may be in force allows them, by
machines in touch. The same requests break CONFIG: sent later than
config_apply_ms after the confirmation, they are handled as only an older version
allows.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "11"))
from stand_ins import BROKEN, COULD_NOT_RUN, HELD, Client, Mesh, main  # noqa: E402

HOST = "desk.example"
DEADLINE_MS = 5000
CLIENTS = 12
ROUNDS = 4
OLD_LIMIT = 16384
NEW_LIMIT = 131072
# Above the old limit, below the new one.
BODY = 24000
# config_apply_ms of the deployment, and a second more.
APPLIED_S = 2.0 + 1.0
ROUTES = [("book", HOST, "/book/", "non_idempotent", "desk", 5000, 0, 2),
          ("look", HOST, "/look/", "idempotent", "desk", 5000, 1, 2)]


class Caller:
    """A client that keeps one connection open as long as the node does."""

    def __init__(self, number, address, record):
        self.number, self.address, self.record = number, address, record
        self.client = Client(address)
        self.count = 0
        self.statuses = []

    def call(self, body):
        self.count += 1
        name = f"call-{self.number}-{self.count}"
        # Idle connections may be closed at any time: then on a new one.
        for _ in range(2):
            self.record.line("sent", name, "POST /book/1 body", len(body))
            try:
                self.client.send("POST", "/book/1", HOST, name, DEADLINE_MS, body)
                answer = self.client.receive()
            except OSError:
                self.record.line("closed", name)
                self.client.close()
                self.client = Client(self.address)
                continue
            status = int(answer.first.split(" ")[1])
            signed = answer.header("X-Response-Signature") is not None
            self.record.line("answered", name, status, "signed", signed)
            self.statuses.append((status, signed))
            if answer.header("Connection", "").lower() == "close":
                self.client.close()
                self.client = Client(self.address)
            return


def in_parallel(callers, body):
    threads = [threading.Thread(target=c.call, args=(body,)) for c in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def case(record, trouble):
    mesh = Mesh(record, [("front-1", "east", "front"), ("front-2", "west", "front"),
                         ("desk-1", "east", "desk"), ("desk-2", "west", "desk")])
    try:
        mesh.configure(3, ROUTES, {"max_body_bytes":
                                   OLD_LIMIT if trouble else NEW_LIMIT})
        mesh.start()
        if not mesh.await_ready():
            return COULD_NOT_RUN
        time.sleep(3.0)  # settle_window_ms
        address = mesh.machines["front-1"].outbound
        callers = [Caller(n, address, record) for n in range(CLIENTS)]
        for _ in range(ROUNDS):
            in_parallel(callers, b"s" * 2000)
        if any(status != 200 for c in callers for status, _ in c.statuses):
            return COULD_NOT_RUN
        mesh.configure(8, ROUTES, {"max_body_bytes": NEW_LIMIT})
        end = time.monotonic() + APPLIED_S
        while time.monotonic() < end:
            in_parallel(callers, b"s" * 2000)
            time.sleep(0.5)
        in_parallel(callers, b"l" * BODY)
        late = Caller(CLIENTS, address, record)
        late.call(b"l" * BODY)
        statuses = [each for c in callers for each in c.statuses]
        denied = [s for s, signed in statuses if 400 <= s < 500 and not signed
                  and s not in (408, 421, 429)]
        allowed = 5 + len(statuses) / 500
        summary = (f"denied though allowed: {len(denied)} of {len(statuses)} "
                   f"(allowed {allowed:.1f}), with {sorted(set(denied))}; the same "
                   f"request on a new connection: {late.statuses[0][0]}")
        record.line("summary", summary)
        print(summary)
        return BROKEN if len(denied) > allowed else HELD
    finally:
        mesh.stop()


main(case, os.path.dirname(os.path.abspath(__file__)))
