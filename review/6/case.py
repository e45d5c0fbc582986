"""A leaf of a reused connection repeats the answer with which it shed a request.

The second copy arrives where the answer to the next request is expected. It
belongs to no request; the next request runs all the same.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import world as w  # noqa: E402

SERVICE = "branch-close"
CLIENTS = 40
PAUSE_S = 0.01
BEFORE_S, TROUBLE_S, AFTER_S = 2.0, 5.0, 2.0
# Three of five leafs shed a share of their requests and send a share of their
# answers twice, the second time late.
FAULTY_LEAFS = 3
SHED_SHARE = 0.45
EXTRA_SHARE = 0.03
LATE_S = 0.01


class SheddingLeaf(w.Leaf):
    """Sheds a share of its requests and sends a share of its answers twice."""

    faulty = False
    extras = 0

    async def serve(self, method, target, headers, request, body, reader, writer):
        if self.faulty and self.world.rng.random() < SHED_SHARE:
            await self.shed(writer)
            self.maybe_repeat(request, writer, w.SHED)
            return True
        return await super().serve(method, target, headers, request, body, reader, writer)

    async def answer(self, request, writer):
        await super().answer(request, writer)
        self.maybe_repeat(request, writer, self.success(request))

    def maybe_repeat(self, request, writer, answer):
        if self.faulty and self.world.rng.random() < EXTRA_SHARE:
            asyncio.get_running_loop().call_later(LATE_S, self.send_again, request, writer,
                                                  answer)

    def send_again(self, request, writer, answer):
        if not writer.transport.is_closing():
            self.extras += 1
            self.world.record(f"leaf {self.id} sends its answer to {request} once more: "
                              f"{answer[9:12].decode()}")
            writer.write(answer)


async def client(world, number, until):
    """Sends requests that may run once, each attempt with an id of its own."""
    count = 0
    while time.monotonic() < until:
        count += 1
        request = f"{number:04x}{count:06x}"
        front = world.nodes[(number + count) % len(world.nodes)].front
        answer = await w.ask(front, "POST", "/ledger/2f",
                             {"Host": w.HOST, "X-Request-Id": request, "X-Deadline-Ms": "6000"},
                             f"entry {request}".encode())
        world.sent[request] = answer[0] if answer else None
        await asyncio.sleep(PAUSE_S)


async def run(world):
    leafs = [await world.add_leaf(SERVICE, zone, slots=3, work_s=0.02, kind=SheddingLeaf)
             for zone in (*world.zones, *world.zones, world.zones[0])]
    world.put_config(7, [w.route("ledger", "/ledger/", "non_idempotent", backend=SERVICE)],
                     {SERVICE: {}})
    await world.start_nodes(2)
    until = time.monotonic() + BEFORE_S + TROUBLE_S + AFTER_S
    clients = [asyncio.create_task(client(world, number, until)) for number in range(CLIENTS)]
    await asyncio.sleep(BEFORE_S)
    for leaf in leafs[:FAULTY_LEAFS]:
        leaf.faulty = w.trouble()
    world.record(f"{FAULTY_LEAFS} leafs shed and repeat: {w.trouble()}")
    await asyncio.sleep(TROUBLE_S)
    for leaf in leafs:
        leaf.faulty = False
    await asyncio.gather(*clients)
    await asyncio.sleep(0.5)
    twice = {request: runs for request, runs in world.runs.items() if len(runs) > 1}
    refused = [request for request, status in world.sent.items()
               if status in (408, 421, 429, 503) and request in world.runs]
    for request, runs in twice.items():
        places = ", ".join(f"{one[1].id} at {one[0] - world.started:.3f}" for one in runs)
        world.record(f"TWICE {request}, answered {world.sent.get(request)}: {places}")
    for request in refused:
        world.record(f"REFUSED {request}, answered {world.sent[request]}, has run")
    for request, status in world.sent.items():
        world.record(f"sent {request} answered {status} ran {len(world.runs.get(request, []))}")
    extras = sum(leaf.extras for leaf in leafs)
    return bool(twice), (
        f"{len(world.sent)} requests, {extras} answers repeated; "
        f"{len(twice)} ran twice, {len(refused)} answered as not run had run")


sys.exit(w.main(__file__, run))
