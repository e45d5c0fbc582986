"""A request that crashes leafs comes again after the nodes were restarted: case 5."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Client, Deployment, Leaf, Record, trouble  # noqa: E402
from directory_caller import DirectoryCaller, Silent  # noqa: E402

SECONDS = 56
NODES = 8
LEAFS = 5
SLOTS = 3
WORK_S = 0.09
DEADLINE_S = 6.0
CLIENTS = 6
CONTACT_S = 4.0

FIRST_STOP_S = 14.0
STOPS = 4  # one at a time
STOP_INTERVAL_S = 9.0
RESTART_DELAY_S = 0.5

CRASH_PATH = "/search/c4"
CRASH_INTERVAL_S = 0.5
LEAF_BACK_S = 3.0
ENTRY_REMOVED_S = 3.6  # three intervals of the heartbeat
ALLOWED_RETRIES = 3


class CrashingLeaf(Leaf):
    """A leaf that crashes when it begins to run the request, and is back after some seconds."""

    world = None

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.work_tasks = set()
        self.crashed_at = None
        self.cut = []  # requests that were at work when it crashed

    async def run(self, request, first, *rest):
        if first[1] == CRASH_PATH:
            self.world.arrived(request)
        return await super().run(request, first, *rest)

    async def work_on(self, request, deadline, body):
        task = asyncio.current_task()
        task.request = request
        self.work_tasks.add(task)
        try:
            return await super().work_on(request, deadline, body)
        finally:
            self.work_tasks.discard(task)

    def seconds_of(self, request):
        if request.startswith("crash"):
            asyncio.get_running_loop().call_soon(self.crash, request)
        return super().seconds_of(request)

    def crash(self, request):
        if self.crashed_at is not None:
            return
        self.crashed_at = time.monotonic()
        self.server.close()
        self.server = None
        for task in list(self.work_tasks):
            if task.request in self.ran and not task.request.startswith("crash"):
                self.cut.append(task.request)
            task.cancel()
        for task in list(self.tasks):
            task.cancel()
        self.record.add(f"leaf {self.id} crashes by {request}; cut: {' '.join(self.cut) or '-'}")
        self.world.crashed(self)


class World:
    """The leafs, the request that crashes them, and what the rule counts."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.leafs = []
        self.tasks = []
        self.crashes = []
        self.sent = {}  # request: (node, when)
        self.in_touch_since = {node.ip: 0.0 for node in deployment.nodes}
        self.late = []
        CrashingLeaf.world = self

    async def add_leaf(self):
        leaf = CrashingLeaf(self.deployment, self.record, "branch-close", len(self.leafs),
                            slots=SLOTS, work=WORK_S)
        self.leafs.append(leaf)
        await leaf.start()
        self.record.add(f"leaf {leaf.id} starts")

    def crashed(self, leaf):
        self.crashes.append(time.monotonic())
        self.tasks.append(asyncio.ensure_future(self.replace(leaf)))

    async def replace(self, leaf):
        await asyncio.sleep(LEAF_BACK_S)
        await self.add_leaf()
        await asyncio.sleep(ENTRY_REMOVED_S - LEAF_BACK_S)
        self.deployment.store.delete(f"servers/{leaf.id}")

    def arrived(self, request):
        """Counts a retry that the rule forbids; each retry once."""
        node, when = self.sent[request]
        after = when - self.crashes[2] if len(self.crashes) > 2 else 0.0
        if after <= CONTACT_S or when < self.in_touch_since[node.ip] or request in self.late:
            return
        self.late.append(request)
        self.record.add(f"LATE: {request} reaches a leaf through {node.ip}, {after:.3f} s after "
                        f"the third crash, {when - self.in_touch_since[node.ip]:.3f} s after "
                        "that machine was in touch")

    async def send_crashing(self, until):
        """The same path, caller and body again and again, at any machine that is ready."""
        rng = random.Random(1)
        step = 0
        while time.monotonic() < until:
            await asyncio.sleep(CRASH_INTERVAL_S)
            ready = [node for node in self.deployment.nodes if node.serving]
            node = rng.choice(ready)
            step += 1
            request = f"crash{step:04d}"
            client = Client(self.record, node.front)
            self.sent[request] = node, time.monotonic()
            answer = await client.call(request, [
                f"GET {CRASH_PATH} HTTP/1.1", "Host: h", "X-Caller: counter-7",
                f"X-Request-Id: {request}", f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}"],
                timeout=DEADLINE_S)
            said = answer if isinstance(answer, str) else answer[0]
            self.record.add(f"client gets {said} for {request} from {node.ip}")
            client.close()

    async def roll(self, started):
        """roll_term: one machine at a time gets SIGTERM and starts again."""
        for number in range(STOPS):
            await asyncio.sleep(max(0, started + FIRST_STOP_S + number * STOP_INTERVAL_S -
                                    time.monotonic()))
            node = self.deployment.nodes[number]
            node.serving = False
            self.in_touch_since[node.ip] = float("inf")
            self.record.add(f"{node.ip} gets SIGTERM")
            node.process.send_signal(signal.SIGTERM)
            await node.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            self.in_touch_since[node.ip] = time.monotonic() + CONTACT_S
            await node.start(False)
            ready = await node.ready()
            self.record.add(f"{node.ip} is started again, ready: {ready}")
            # Its first such request comes once it is in touch.
            await asyncio.sleep(max(0, self.in_touch_since[node.ip] - time.monotonic()))
            node.serving = True


async def main():
    record = Record(pathlib.Path(__file__).parent)
    deployment = Deployment(NODES)
    for node in deployment.nodes:
        node.serving = True
    world = World(deployment, record)
    log = []
    try:
        await deployment.store.start()
        for _ in range(LEAFS):
            await world.add_leaf()
        common = {"host": "h", "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2,
                  "priority": 2, "backend": "branch-close"}
        deployment.put_configuration(
            [{"name": "ledger", "prefix": "/ledger/", "type": "non_idempotent", **common},
             {"name": "search", "prefix": "/search/", "type": "idempotent", **common}],
            {"branch-close": 110})
        if not await deployment.start():
            record.close("a node did not get ready")
            return 2
        started = time.monotonic()
        work = [DirectoryCaller(number, deployment, record, DEADLINE_S, "POST")
                .run(started + SECONDS, log) for number in range(CLIENTS)]
        work.append(world.send_crashing(started + SECONDS))
        if trouble():
            work.append(world.roll(started))
        await asyncio.gather(*work)
    finally:
        for task in world.tasks:
            task.cancel()
        await deployment.stop()
    if len(world.crashes) < 3:
        record.close(f"nothing to judge: {len(world.crashes)} crashes")
        return 2
    quiet_from = world.crashes[2] + CONTACT_S
    lost = {request for leaf in world.leafs if (leaf.crashed_at or 0) > quiet_from
            for request in leaf.cut}
    lost = [one[0] for one in log if one[0] in lost and one[4] != 200]
    for request in lost:
        record.add(f"{request} was at work at a leaf that crashed late; its client got no result")
    counts = {}
    for one in log:
        counts[one[4]] = counts.get(one[4], 0) + 1
    broken = len(world.late) > ALLOWED_RETRIES
    record.close(f"{'broken' if broken else 'held'}: {len(world.late)} retries reached leafs "
                 f"later than contactMs after the third crash ({len(world.crashes)} crashes in "
                 f"all); {len(lost)} other requests were cut at work; other answers {counts}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
