"""The store turns three of nine machines away, among them those that read it for all.

The operator changes the configuration meanwhile. The check is CONFIG, at the
machines that the store serves.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import harness  # noqa: E402

NODES = 9
# The largest dose of platform_down on nodes in the site file: a share of 0.35, for 9 s.
TURNED_AWAY = 3
AWAY_S = 9.0
ROUNDS = 4
CHANGES = 2
SERVICES = [f"desk-{letter}" for letter in "abcdef"]
PER_S = 20
SHOW = 5


class Operator:
    """Publishes versions, each with another service, and remembers when."""

    def __init__(self, world):
        self.world, self.acknowledged = world, []

    def change(self):
        at = len(self.acknowledged)
        service = SERVICES[at % len(SERVICES)]
        route = {"name": "ledger", "host": "h.example", "prefix": "/ledger/",
                 "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 400, "attempts": 2,
                 "priority": 1, "backend": service}
        acknowledged = self.world.publish(
            self.world.configuration(10 + 3 * at, [route], SERVICES))
        self.acknowledged.append((acknowledged, service))

    def allowed(self, sent):
        """The services of the versions that may be in force for a request sent then."""
        due = [at for at, (acknowledged, _) in enumerate(self.acknowledged)
               if acknowledged + harness.CONFIG_APPLY_S < sent]
        return {service for _, service in self.acknowledged[due[-1] if due else 0:]}


async def readers(world, wanted):
    """Finds the nodes that read the store, and who takes over when they are turned away."""
    found = []
    while len(found) < wanted:
        before = {node: node.door.calls.total() for node in world.nodes}
        await asyncio.sleep(14 if found else 4)
        calls = {node: node.door.calls.total() - before[node] for node in world.nodes
                 if node not in found}
        new = sorted((node for node in calls if calls[node] > 1), key=lambda one: -calls[one])
        world.record.line(f"calls of the store: { {one.number: calls[one] for one in calls} }")
        for node in new[:2 if not found else 1]:
            found.append(node)
            node.door.turn_away()
    for node in world.nodes:
        node.door.turned_away = False
    return found


async def after_a_read(nodes):
    """Returns just after one of the nodes has read the store, or after five seconds."""
    before = [node.door.calls.total() for node in nodes]
    for _ in range(1000):
        await asyncio.sleep(0.005)
        if [node.door.calls.total() for node in nodes] != before:
            break
    await asyncio.sleep(0.05)


async def client(world, node, until):
    calls, at = [], 0
    while time.monotonic() < until:
        calls.append(asyncio.create_task(world.call(node, "GET", f"/ledger/{at}")))
        at += 1
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*calls)


async def scenario(world):
    record = world.record
    await world.store.start()
    await world.open_doors()
    for service in SERVICES:
        for zone in world.zones[:2]:
            await world.add_leaf(service, zone)
    operator = Operator(world)
    operator.change()
    await world.start_nodes("/ledger/0")
    await asyncio.sleep(4)
    chosen = await readers(world, TURNED_AWAY)
    record.say(f"nodes {[node.number for node in chosen]} read the store")
    await asyncio.sleep(harness.CONTACT_S + 4)

    calm = [node for node in world.nodes if node not in chosen]
    length = ROUNDS * (AWAY_S + harness.CONTACT_S)
    clients = [asyncio.create_task(client(world, node, time.monotonic() + length))
               for node in calm]
    for _ in range(ROUNDS):
        if world.trouble:
            record.say(f"the store turns nodes {[node.number for node in chosen]} away")
            for node in chosen:
                node.door.turn_away()
        ends = time.monotonic() + AWAY_S
        for _ in range(CHANGES):
            operator.change()
            await asyncio.sleep(1.0)
            if time.monotonic() < ends - 5:
                await after_a_read(calm)
        await asyncio.sleep(max(0.0, ends - time.monotonic()))
        for node in chosen:
            node.door.turned_away = False
        await asyncio.sleep(harness.CONTACT_S)
    await asyncio.gather(*clients)

    stale, latest = [], {}
    for one in world.answers:
        ran = {leaf.service for _, leaf, *_ in world.runs[one.request]}
        if ran and not ran & operator.allowed(one.sent):
            stale.append(one)
            due = [at for at, _ in operator.acknowledged if at + harness.CONFIG_APPLY_S < one.sent]
            latest[due[-1]] = max(latest.get(due[-1], 0), one.sent - due[-1])
    for one in stale[:SHOW]:
        record.say(f"{one.request} at node {one.node.number} ran at "
                   f"{[leaf.service for _, leaf, *_ in world.runs[one.request]]}, allowed are "
                   f"{sorted(operator.allowed(one.sent))}")
    record.say(f"{len(stale)} of {len(world.answers)} requests at nodes in touch were handled as "
               f"only an older version allows, up to "
               f"{max(latest.values(), default=0):.2f} s after the acknowledgement; "
               f"{len(latest)} of {len(operator.acknowledged) - 1} versions were late")
    return bool(stale)


if __name__ == "__main__":
    harness.play(lambda: harness.World(HERE, nodes=NODES), scenario, limit_s=118)
