"""A leaf fails part of the orders that it has run, with a 503 that is no rejection.

The answer has no X-Not-Executed, so it does not state that the order has not
run. The check is REFUSED.
"""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import harness  # noqa: E402

# The site's dose of srv_grey: a share of 0.14 of the leafs, so one of eight here, fails 0.45 of
# its requests for 6.5 s. The health check stays good.
LEAFS = 8
FAILED_SHARE = 0.45
GREY_S = 6.5
# Orders that each node gets a second.
ORDERS_PER_S = 25
PROMISES = (408, 421, 429, 503)
SHOW = 4


class GreyLeaf(harness.Leaf):
    """Runs each request; while it is grey, part of the answers are failures."""

    grey = False

    async def run(self, request, first, headers, body, writer):
        self.world.note_run(request, self, first, body)
        self.running += 1
        try:
            async with self.free:
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        failed = self.grey and random.random() < FAILED_SHARE
        writer.write(self.answer(request, 503, b"cannot confirm the order\n") if failed
                     else self.answer(request))
        return True


async def order(world, node, number):
    """Places an order as a client does: again only after a promise that it has not run."""
    for _ in range(2):
        answer = await world.call(node, "POST", "/order/", f"order {number}".encode(),
                                  deadline_s=2.0)
        if answer.status not in PROMISES:
            return
        wait = float(answer.headers.get("retry-after", "0"))
        await asyncio.sleep(min(wait, 0.6))


async def scenario(world):
    record = world.record
    await world.store.start()
    leafs = [await world.add_leaf("order-desk", world.zones[at % len(world.zones)], GreyLeaf)
             for at in range(LEAFS)]
    common = {"host": "h.example", "timeoutMs": 2000, "targetLatencyMs": 400, "attempts": 2,
              "priority": 1, "backend": "order-desk"}
    world.publish(world.configuration(11, [
        dict(common, name="ledger", prefix="/ledger/", type="idempotent"),
        dict(common, name="order", prefix="/order/", type="non_idempotent")], ["order-desk"]))
    await world.start_nodes("/ledger/0")
    await asyncio.sleep(5)

    # One of two leafs of its zone.
    began, number, orders = time.monotonic(), 0, []
    while time.monotonic() < began + 12:
        leafs[2].grey = world.trouble and 2 < time.monotonic() - began < 2 + GREY_S
        for node in world.nodes:
            number += 1
            orders.append(asyncio.create_task(order(world, node, number)))
        await asyncio.sleep(1 / ORDERS_PER_S)
    await asyncio.gather(*orders)
    await asyncio.sleep(0.5)

    refused = [one for one in world.answers
               if one.status in PROMISES and world.runs[one.request]]
    for one in refused[:SHOW]:
        at, leaf, *_ = world.runs[one.request][0]
        record.say(f"{one.request} ran at {leaf.id} and was answered {one.status} by node "
                   f"{one.node.number}")
    times = {}
    for runs in world.runs.values():
        for _, _, method, _, body in runs:
            if method == "POST":
                times[body] = times.get(body, 0) + 1
    again = sum(count > 1 for count in times.values())
    record.say(f"{number} orders: {len(refused)} requests ran and were answered with a promise "
               f"that they had not; {again} orders ran more than once")
    return bool(refused)


if __name__ == "__main__":
    harness.play(lambda: harness.World(HERE), scenario)
