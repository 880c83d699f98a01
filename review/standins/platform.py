"""The part of the platform that decides whether clients of a machine get new
work (PROTOCOL.md, 'Ingress')."""

import asyncio

PROBE_INTERVAL_S = 1.0
MISSES = 2


class Readiness:
    """Asks each node each second; after two misses it is out until it is ready
    again, unless fewer than half of its zone's nodes are in."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {name: 0 for name in deployment.machines}
        self.tasks = [asyncio.create_task(self.probe(machine))
                      for machine in deployment.machines.values()]

    async def probe(self, machine):
        while True:
            is_ready = await self.deployment.is_ready(machine)
            self.misses[machine.name] = 0 if is_ready else self.misses[machine.name] + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    def is_in(self, machine):
        return self.misses[machine.name] < MISSES

    def gets_work(self, machine):
        zone = [m for m in self.deployment.machines.values() if m.zone == machine.zone]
        are_in = sum(self.is_in(m) for m in zone)
        return self.is_in(machine) or 2 * are_in < len(zone)

    def stop(self):
        for task in self.tasks:
            task.cancel()
