"""A leaf leaves while the store is down: its answers say Server-Leaving, the store cannot.

The leaf is one of those that never report draining. Its entry is removed, it
serves for drainMs and some time more, and exits. The check is DRAIN.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import harness  # noqa: E402

# The site's dose of platform_down.
DOWN_S = 4.5
# The leaf serves for drainMs and this much longer.
LONGER_S = 1.2
# Requests of each client a second.
PER_S = 32
SHOW = 5


class LeavingLeaf(harness.Leaf):
    """Says in all its answers that it leaves, once it does."""

    leaving_since = None

    def common_headers(self):
        said = [("Server-Leaving", "1")] if self.leaving_since else []
        return [*super().common_headers(), *said]


async def client(world, node, until, paths):
    """Sends requests to one node at a steady rate."""
    calls, at = [], 0
    while time.monotonic() < until:
        method, prefix = paths[at % len(paths)]
        body = b"deposit" if method == "POST" else b""
        calls.append(asyncio.create_task(
            world.call(node, method, f"{prefix}{at}", body, deadline_s=2.0)))
        at += 1
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*calls)


async def scenario(world):
    record, store = world.record, world.store
    await store.start()
    leafs = [await world.add_leaf("desk", zone, LeavingLeaf, work_s=0.08)
             for zone in world.zones]
    common = {"host": "h.example", "timeoutMs": 2000, "targetLatencyMs": 400, "attempts": 2,
              "priority": 1, "backend": "desk"}
    world.publish(world.configuration(11, [
        dict(common, name="ledger", prefix="/ledger/", type="idempotent"),
        dict(common, name="order", prefix="/order/", type="non_idempotent")], ["desk"]))
    await world.start_nodes("/ledger/0")
    await asyncio.sleep(5)

    began = time.monotonic()
    clients = [asyncio.create_task(client(world, node, began + 12,
                                          [("GET", "/ledger/"), ("POST", "/order/")]))
               for node in world.nodes]
    await asyncio.sleep(3)
    leaf = leafs[0]
    if world.trouble:
        store.go_away()
        record.say("the store is down")
    leaf.leaving_since = left = time.monotonic()
    record.say(f"leaf {leaf.id} leaves")
    # The entry is removed, also while the store is down.
    leaf.registered = False
    store.delete(leaf.key)
    await asyncio.sleep(harness.DRAIN_S + LONGER_S)
    await leaf.stop()
    record.say(f"leaf {leaf.id} has exited")
    await asyncio.sleep(max(0.0, left + DOWN_S - time.monotonic()))
    if world.trouble:
        store.come_back()
        record.say("the store is back")
    await asyncio.gather(*clients)

    # When each node first passed on an answer of the leaf with Server-Leaving.
    passed = {}
    for one in world.answers:
        signed = one.headers.get("x-response-signature") == leaf.signature(one.request)
        if signed and "server-leaving" in one.headers:
            passed[one.node] = min(passed.get(one.node, one.ended), one.ended)
    late = [one for one in world.answers
            if one.node in passed and one.sent > passed[one.node] + harness.DRAIN_S
            and any(ran is leaf for _, ran, *_ in world.runs[one.request])]
    lost = [one for one in world.answers
            if one.status is None or (one.status in (502, 504) and
                                      any(ran is leaf for _, ran, *_ in world.runs[one.request]))]
    for one in late[:SHOW]:
        record.say(f"{one.request} was sent to node {one.node.number} "
                   f"{one.sent - passed[one.node]:.2f} s after it passed on Server-Leaving, and "
                   f"ran at {leaf.id}: {one.status or one.why}")
    record.say(f"{len(passed)} nodes passed on Server-Leaving; {len(late)} requests sent later "
               f"than {harness.DRAIN_S:.0f} s after it reached the leaf")
    record.say(f"{len(lost)} of {len(world.answers)} requests ran at the leaf and got no answer "
               f"of it: {[one.status or one.why for one in lost[:SHOW]]}")
    return bool(late)


if __name__ == "__main__":
    harness.play(lambda: harness.World(HERE), scenario)
