"""Requests that wait on a host for a leaf still go to it long after it began to drain."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import world as w  # noqa: E402

SERVICE = "branch-close"
DRAIN_S = w.BOUNDS["drainMs"] / 1000
# For the time between the stand-ins' clocks and sockets.
MARGIN_S = 0.1
LEAFS, SLOTS, WORK_S = 5, 3, 0.5
# Four fifths of what the leafs can do.
PER_S = 24.0
BURST_X, BURST_S = 2.5, 6.0
DRAIN_AFTER_S = 4.5
# The leaf serves for drainMs and a little longer, then exits.
STAY_S = DRAIN_S + 0.9


async def send(world, request, front):
    answer = await w.ask(front, "POST", "/ledger/2f",
                         {"Host": w.HOST, "X-Request-Id": request, "X-Deadline-Ms": "6000"},
                         f"entry {request}".encode(), timeout=6.2)
    world.sent[request] = answer[0] if answer else None


async def traffic(world, until):
    """Requests that may run once, at the rate of the moment."""
    pending, count, due = [], 0, time.monotonic()
    while time.monotonic() < until:
        count += 1
        front = world.nodes[count % len(world.nodes)].front
        pending.append(asyncio.create_task(send(world, f"{count:08x}", front)))
        due += 1 / world.per_s
        await asyncio.sleep(max(0, due - time.monotonic()))
    await asyncio.gather(*pending)


async def run(world):
    leafs = [await world.add_leaf(SERVICE, world.zones[number % 2], SLOTS, WORK_S)
             for number in range(LEAFS)]
    world.put_config(7, [w.route("ledger", "/ledger/", "non_idempotent", backend=SERVICE,
                                 targetLatencyMs=1500)], {SERVICE: {}})
    await world.start_nodes(3)
    world.per_s = PER_S
    load = asyncio.create_task(traffic(world, time.monotonic() + 2 + BURST_S + 4))
    await asyncio.sleep(2)
    if w.trouble():
        world.per_s = PER_S * BURST_X
    world.record(f"{world.per_s:.0f} requests a second")
    await asyncio.sleep(DRAIN_AFTER_S)
    leaving = leafs[0]
    # A release: the new leaf starts first, the old one drains.
    await world.add_leaf(SERVICE, leaving.zone, SLOTS, WORK_S)
    leaving.drain()
    await asyncio.sleep(BURST_S - DRAIN_AFTER_S)
    world.per_s = PER_S
    world.record(f"{world.per_s:.0f} requests a second")
    await asyncio.sleep(STAY_S - (BURST_S - DRAIN_AFTER_S))
    world.store.delete(leaving.key)
    await leaving.stop()
    world.record(f"leaf {leaving.id} has left")
    await load
    late = [(at - leaving.drained_at, request) for at, request in leaving.arrivals
            if at > leaving.drained_at + DRAIN_S + MARGIN_S]
    lost = 0
    for after, request in late:
        status = world.sent.get(request)
        lost += status != 200
        world.record(f"DRAIN {request} reached {leaving.id} {after:.3f} s after it drained, "
                     f"answered {status}")
    for request, status in world.sent.items():
        world.record(f"sent {request} answered {status} ran {len(world.runs.get(request, []))}")
    last = max((at - leaving.drained_at for at, _ in leaving.arrivals), default=0)
    return bool(late), (
        f"{len(world.sent)} requests; {len(late)} reached the leaf later than drainMs after it "
        f"was acknowledged as draining, the last one {last:.2f} s after; {lost} of them got no "
        "whole answer")


sys.exit(w.main(__file__, run))
