"""A request crashes each leaf that runs it, and its caller leaves before the crash.

The caller comes again with the same path and body, at any machine. The check is
BUDGET, on requests that crash leafs.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import harness  # noqa: E402

AIM_S = 0.4
# give_up: clients leave within half of the objective.
LEAVES_AFTER_S = AIM_S / 2
# How long a leaf works on the request before it crashes, and how long it is away.
CRASHES_AFTER_S = 0.3
BACK_AFTER_S = 2.0
RETRY_EACH_S = 2.5
RETRIES = 14
ALLOWED = 3
POISON = "/ledger/broken-record"
PER_S = 6


class CrashingLeaf(harness.Leaf):
    """Crashes when it has worked on the poisonous request for a while."""

    dead = False

    async def run(self, request, first, headers, body, writer):
        if first[1] != POISON:
            self.world.note_run(request, self, first, body)
            await asyncio.sleep(self.work_s)
            if not self.dead:
                writer.write(self.answer(request))
            return not self.dead
        self.world.note_run(request, self, first, body)
        ends = time.monotonic() + CRASHES_AFTER_S
        while time.monotonic() < ends:
            await asyncio.sleep(0.01)
            if writer.transport.is_closing() or writer not in self.writers:
                return False
            if self.gone_away(writer):
                # Its connection has been closed, so the leaf drops the request.
                self.world.record.line(f"{self.id} drops {request}")
                return False
        if not self.dead:
            self.dead = True
            self.world.crashes.append((time.monotonic(), self))
            self.world.record.line(f"{self.id} crashes on {request}")
            asyncio.create_task(self.crash())
        return False

    def gone_away(self, writer):
        return self.readers[writer].at_eof() if writer in self.readers else False

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.readers = {}

    async def _connected(self, reader, writer):
        self.readers[writer] = reader
        try:
            await super()._connected(reader, writer)
        finally:
            self.readers.pop(writer, None)

    async def crash(self):
        """The process ends; another one starts under the same id some seconds later."""
        self.beat.cancel()
        await harness.Server.stop(self)
        await asyncio.sleep(BACK_AFTER_S)
        self.born, self.seq = int(time.time() * 1000), 0
        self.dead = False
        await self.start()


async def leave_early(world, node):
    """Sends the poisonous request; the caller closes its connection before the answer."""
    world.next_request += 1
    request = f"{world.tag}{world.next_request:06x}"
    reader, writer = await asyncio.open_connection(node.ip, world.port)
    sent = time.monotonic()
    writer.write(f"GET {POISON} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request}\r\n"
                 f"X-Deadline-Ms: 2000\r\n\r\n".encode())
    world.record.line(f"sent {request} to node {node.number}: GET {POISON}")
    patience = LEAVES_AFTER_S if world.trouble else 3.0
    try:
        head = await asyncio.wait_for(harness.read_head(reader), patience)
        world.record.line(f"answered {request}: {head[0][1] if head else 'closed'}")
    except asyncio.TimeoutError:
        world.record.line(f"the caller of {request} leaves")
    writer.close()
    return request, sent


async def client(world, node, until):
    calls, at = [], 0
    while time.monotonic() < until:
        calls.append(asyncio.create_task(
            world.call(node, "POST", f"/order/{at}", b"order", deadline_s=2.0)))
        at += 1
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*calls)


async def scenario(world):
    record = world.record
    world.crashes = []
    await world.store.start()
    for zone in world.zones:
        for _ in range(2):
            await world.add_leaf("desk", zone, CrashingLeaf, work_s=0.05)
    common = {"host": "h.example", "timeoutMs": 2000, "targetLatencyMs": int(AIM_S * 1000),
              "attempts": 2, "priority": 1, "backend": "desk"}
    world.publish(world.configuration(11, [
        dict(common, name="ledger", prefix="/ledger/", type="idempotent"),
        dict(common, name="order", prefix="/order/", type="non_idempotent")], ["desk"]))
    await world.start_nodes("/ledger/0")
    await asyncio.sleep(5)

    until = time.monotonic() + RETRIES * RETRY_EACH_S
    clients = [asyncio.create_task(client(world, node, until)) for node in world.nodes]
    tries = []
    for at in range(RETRIES):
        tries.append(await leave_early(world, world.nodes[at % len(world.nodes)]))
        await asyncio.sleep(max(0.0, tries[-1][1] + RETRY_EACH_S - time.monotonic()))
    await asyncio.gather(*clients)

    third = world.crashes[2][0] if len(world.crashes) > 2 else None
    late = [request for request, sent in tries
            if third and sent > third + harness.CONTACT_S and world.runs[request]]
    lost = [one for one in world.answers if one.status in (502, 504, None)
            and world.runs[one.request]]
    record.say(f"{len(world.crashes)} crashes in {len(tries)} tries; {len(late)} retries sent "
               f"later than {harness.CONTACT_S:.0f} s after the third crash reached leafs, "
               f"{ALLOWED} are allowed")
    record.say(f"{len(lost)} of {len(world.answers)} orders were begun and got no answer")
    return len(late) > ALLOWED


if __name__ == "__main__":
    harness.play(lambda: harness.World(HERE), scenario)
