"""A request that crashed three leafs crashes more through each host that was restarted."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import world as w  # noqa: E402
from crashes import POISON, CrashingLeaf, send  # noqa: E402

SERVICE = "branch-close"
CONTACT_S = w.BOUNDS["contactMs"] / 1000
HOSTS, LEAFS = 4, 5
# Orders in work at the other hosts when the request comes again.
ORDERS = 6
RETRIES = 3
RETRY_PAUSE_S = 3.0


async def restart(world, node):
    """Stops and starts a host as planned, and waits until it is in touch."""
    world.record(f"{node.ip} gets SIGTERM")
    node.signal(signal.SIGTERM)
    await asyncio.wait_for(node.process.wait(), w.BOUNDS["graceS"])
    await node.start()
    while not await node.ready():
        await asyncio.sleep(0.05)
    await asyncio.sleep(CONTACT_S + 0.5)
    world.record(f"{node.ip} is back and in touch")


async def run(world):
    world.crashes, world.sent_at = [], {}
    for number in range(LEAFS):
        await world.add_leaf(SERVICE, world.zones[number % 2], kind=CrashingLeaf)
    world.put_config(7, [w.route("ledger", "/ledger/", "idempotent", backend=SERVICE),
                         w.route("order", "/order/", "non_idempotent", backend=SERVICE)],
                     {SERVICE: {}})
    await world.start_nodes(HOSTS)
    poisons = []

    async def poison(node):
        poisons.append(f"dead{len(poisons):04x}")
        await send(world, "GET", POISON, poisons[-1], node.front)
        world.record(f"{poisons[-1]} sent to {node.ip}, answered {world.sent[poisons[-1]]}")

    # Three crashes stop the request at all hosts.
    while len(world.crashes) < 3 and len(poisons) < 6:
        await poison(world.nodes[len(poisons) % HOSTS])
        await asyncio.sleep(RETRY_PAUSE_S)
    if len(world.crashes) < 3:
        raise RuntimeError("the request did not crash three leafs")
    known = world.crashes[2][0] + CONTACT_S
    await asyncio.sleep(max(0, known - time.monotonic()))
    for node in world.nodes:
        await poison(node)
    pending = []
    for number, node in enumerate(world.nodes):
        if w.trouble():
            await restart(world, node)
        for again in range(RETRIES):
            for one in range(ORDERS):
                front = world.nodes[(number + 1 + one % (HOSTS - 1)) % HOSTS].front
                pending.append(asyncio.create_task(send(
                    world, "POST", f"/order/{number}-{again}-{one}",
                    f"{number:02x}{again:02x}{one:04x}", front)))
            await asyncio.sleep(0.3)
            await poison(node)
            await asyncio.sleep(RETRY_PAUSE_S - 0.3)
    await asyncio.gather(*pending)
    for request, status in world.sent.items():
        world.record(f"sent {request} answered {status} ran {len(world.runs.get(request, []))}")
    late = [one for one in poisons if world.sent_at[one] > known and one in world.runs]
    lost = sum(status != 200 for request, status in world.sent.items()
               if request not in poisons and request in world.runs)
    return len(late) > 3, (
        f"{len(world.crashes)} crashes; {len(late)} retries that were sent later than contactMs "
        f"after the third reached leafs; {lost} other requests that had begun were lost")


sys.exit(w.main(__file__, run))
