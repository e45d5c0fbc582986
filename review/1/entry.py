"""One malformed entry of the store ends all nodes, again and again: case 1."""

import asyncio
import base64
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Deployment, Leaf, Record, trouble  # noqa: E402
from directory_caller import DirectoryCaller  # noqa: E402

SECONDS = 30
ENTRY_S = 8.0
NODES = 3
LEAFS = 3
SLOTS = 3
WORK_S = 0.09
DEADLINE_S = 6.0
CLIENTS = 6
RESTART_DELAY_S = 1.0

NESTED_LISTS = 250_000
VALUE_BYTES = 1_048_576  # valueBytes of the settings

# The rule: processes end by themselves three times on a tenth of the machines, two at least.
ENDS = 3
MACHINES = 2


def entry_of_another_writer():
    """An entry whose field `slots` is of another type: lists in lists."""
    value = ('{"backend":"branch-close","address":"127.0.0.1:9","zone":"west-lk-a",'
             '"version":"v1","state":"ready","coldLeftMs":0,"seq":1,"born":1,"slots":' +
             "[" * NESTED_LISTS + "]" * NESTED_LISTS + "}").encode()
    assert len(value) < VALUE_BYTES
    return value


def put_bytes(store, key, value):
    """Writes bytes that the store does not look into, as any writer may."""
    store.revision += 1
    store.items[key] = value, store.revision
    store._record({"key": key, "value": base64.b64encode(value).decode(),
                   "revision": store.revision, "createRevision": store.revision, "lease": 0})


class Keeper:
    """The platform: starts a process again after it has ended, and counts its ends."""

    def __init__(self, node, record):
        self.node, self.record = node, record
        self.codes = []

    async def run(self, until):
        while True:
            left = until - time.monotonic()
            if left <= 0:
                return
            try:
                code = await asyncio.wait_for(self.node.process.wait(), left)
            except asyncio.TimeoutError:
                return
            self.codes.append(code)
            self.record.add(f"{self.node.ip} ended by itself, code {code}, for the "
                            f"{len(self.codes)}. time")
            await asyncio.sleep(RESTART_DELAY_S)
            await self.node.start(False)
            self.record.add(f"{self.node.ip} is started again")


async def write_entry(deployment, record, started):
    await asyncio.sleep(max(0, started + ENTRY_S - time.monotonic()))
    value = entry_of_another_writer()
    put_bytes(deployment.store, "servers/other", value)
    record.add(f"another writer writes servers/other: {len(value)} bytes, {NESTED_LISTS} lists "
               "in lists in the field slots")


async def main():
    record = Record(pathlib.Path(__file__).parent)
    deployment = Deployment(NODES)
    leafs = [Leaf(deployment, record, "branch-close", number, slots=SLOTS, work=WORK_S)
             for number in range(LEAFS)]
    log = []
    try:
        await deployment.store.start()
        for leaf in leafs:
            await leaf.start()
        deployment.put_configuration([
            {"name": "ledger", "host": "h", "prefix": "/ledger/", "type": "non_idempotent",
             "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2, "priority": 2,
             "backend": "branch-close"}], {"branch-close": 110})
        if not await deployment.start():
            record.close("a node did not get ready")
            return 2
        started = time.monotonic()
        keepers = [Keeper(node, record) for node in deployment.nodes]
        work = [keeper.run(started + SECONDS) for keeper in keepers]
        work += [DirectoryCaller(number, deployment, record, DEADLINE_S, "POST")
                 .run(started + SECONDS, log) for number in range(CLIENTS)]
        if trouble():
            work.append(write_entry(deployment, record, started))
        await asyncio.gather(*work)
    finally:
        await deployment.stop()
    ran = {request for leaf in leafs for request in leaf.ran}
    lost = [one[0] for one in log if isinstance(one[4], str) and one[0] in ran]
    for request in lost:
        record.add(f"{request} had run; its connection ended without an answer")
    counts = {}
    for one in log:
        counts[one[4]] = counts.get(one[4], 0) + 1
    served = [sum(1 for one in log if one[4] == 200 and (one[3] < started + ENTRY_S) == early)
              for early in (True, False)]
    if not served[0]:
        record.close(f"nothing to judge: {counts}")
        return 2
    ends = [len(keeper.codes) for keeper in keepers]
    broken = sum(1 for one in ends if one >= ENDS) >= MACHINES
    record.close(f"{'broken' if broken else 'held'}: the processes ended by themselves {ends} "
                 f"times; {len(lost)} requests that had run got no answer; served before and "
                 f"after {ENTRY_S:.0f} s: {served}; answers {counts}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
