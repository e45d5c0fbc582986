"""A request that crashes each leaf comes again and again, and is never held back."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import world as w  # noqa: E402
from crashes import POISON, CrashingLeaf, send  # noqa: E402

SERVICE = "branch-close"
CONTACT_S = w.BOUNDS["contactMs"] / 1000
# All counters ask at the same moments; the request that crashes comes between.
EVERY_S, GROUP, ROUNDS = 5.0, 80, 9
POISON_AT_S = 2.5
# Orders that are in work then, in the last rounds; each may run once.
ORDER_ROUNDS = (7, 8)
ORDERS, ORDER_AT_S = 4, 2.0


async def run(world):
    world.crashes, world.sent_at = [], {}
    for number in range(5):
        await world.add_leaf(SERVICE, world.zones[number % 2], slots=3, kind=CrashingLeaf)
    world.put_config(7, [w.route("ledger", "/ledger/", "idempotent", backend=SERVICE),
                         w.route("order", "/order/", "non_idempotent", backend=SERVICE)],
                     {SERVICE: {}})
    await world.start_nodes(2)
    pending, poisons = [], []
    for number in range(ROUNDS):
        for one in range(GROUP):
            pending.append(asyncio.create_task(send(
                world, "GET", f"/ledger/{one}", f"{number:04x}{one:04x}",
                world.nodes[one % 2].front)))
        await asyncio.sleep(ORDER_AT_S)
        for one in range(ORDERS if number in ORDER_ROUNDS else 0):
            pending.append(asyncio.create_task(send(
                world, "POST", f"/order/{one}", f"{number:04x}{one + 4096:04x}",
                world.nodes[one % 2].front)))
        await asyncio.sleep(POISON_AT_S - ORDER_AT_S)
        if w.trouble():
            poisons.append(f"dead{number:04x}")
            pending.append(asyncio.create_task(send(
                world, "GET", POISON, poisons[-1], world.nodes[number % 2].front)))
        await asyncio.sleep(EVERY_S - POISON_AT_S)
    await asyncio.gather(*pending)
    for request, status in world.sent.items():
        world.record(f"sent {request} answered {status} ran {len(world.runs.get(request, []))}")
    lost = sum(status != 200 for request, status in world.sent.items()
               if request not in poisons and request in world.runs)
    if len(world.crashes) < 3:
        return False, f"{len(world.crashes)} crashes"
    known = world.crashes[2][0] + CONTACT_S
    late = [one for one in poisons if world.sent_at[one] > known and one in world.runs]
    return len(late) > 3, (
        f"{len(world.crashes)} crashes; {len(late)} retries that were sent later than contactMs "
        f"after the third reached leafs; {lost} other requests that had begun were lost")


sys.exit(w.main(__file__, run))
