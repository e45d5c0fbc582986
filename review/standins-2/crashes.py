"""Leafs that a certain request crashes, and clients."""

import asyncio
import time

import world as w

HEARTBEAT_S = 1.2
# A leaf that crashed is back after some seconds, with a new id.
BACK_S = 2.0
POISON = "/ledger/poison"
ORDER_WORK_S = 1.2


class CrashingLeaf(w.Leaf):
    """Crashes when it begins to run the request that crashes leafs."""

    async def serve(self, method, target, headers, request, body, reader, writer):
        if target != POISON:
            self.work_s = ORDER_WORK_S if method == "POST" else 0.09
            return await super().serve(method, target, headers, request, body, reader, writer)
        self.world.note_run(self, request, method, target, body)
        self.world.crashes.append((time.monotonic(), request, self))
        self.world.record(f"leaf {self.id} begins {request} and crashes, "
                          f"{self.running} requests in work, {len(self.writers)} connections")
        asyncio.create_task(self.crash_and_return())
        await asyncio.sleep(60)
        return False

    async def crash_and_return(self):
        await self.stop()
        await asyncio.sleep(BACK_S)
        old_key, self.id = self.key, f"i-{self.world.rng.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        await self.start()
        self.register()
        await asyncio.sleep(max(0, 3 * HEARTBEAT_S - BACK_S))
        self.world.store.delete(old_key)


async def send(world, method, target, request, front):
    world.sent_at[request] = time.monotonic()
    answer = await w.ask(front, method, target,
                         {"Host": w.HOST, "X-Request-Id": request, "X-Deadline-Ms": "6000"})
    world.sent[request] = answer[0] if answer else None
