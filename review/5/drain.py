"""A leaf leaves while calls wait for it at the nodes: case 5."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import DRAIN_MS, Deployment, Leaf, Record, trouble  # noqa: E402
from directory_caller import DirectoryCaller  # noqa: E402

SECONDS = 36
FIRST_RELEASE_S = 10
RELEASE_INTERVAL_S = 12
RELEASES = 2
CLIENTS = 78
NODES = 2
LEAFS = 3
SLOTS = 3
WORK_S = 0.54
DEADLINE_S = 6.0
STAYS_S = 4.0  # from the acknowledgement of `draining` to the exit


class LeavingLeaf(Leaf):
    """Keeps what it gets later than drainMs after its drain was acknowledged."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.late = []

    def note_arrival(self, request):
        super().note_arrival(request)
        after = time.monotonic() - self.drained_at if self.drained_at else 0.0
        if after > DRAIN_MS / 1000:
            self.late.append(request)
            self.record.add(f"BROKEN DRAIN: {request} reaches leaf {self.id} {after:.3f} s after "
                            "its drain was acknowledged")


async def release(deployment, record, started, leafs):
    """release: the new leaf starts first, then the old one drains and leaves."""
    for number in range(RELEASES):
        await asyncio.sleep(max(0, started + FIRST_RELEASE_S + number * RELEASE_INTERVAL_S -
                                time.monotonic()))
        new = LeavingLeaf(deployment, record, "audit-trail", LEAFS + number, slots=SLOTS,
                          work=WORK_S)
        await new.start()
        leafs.append(new)
        record.add(f"leaf {new.id} starts")
        await asyncio.sleep(0.2)
        old = leafs[number]
        old.drain()
        await asyncio.sleep(STAYS_S)
        record.add(f"leaf {old.id} leaves with {old.running} requests at work")
        await old.stop()
        deployment.store.delete(f"servers/{old.id}")


async def main():
    record = Record(pathlib.Path(__file__).parent)
    deployment = Deployment(NODES)
    leafs = [LeavingLeaf(deployment, record, "audit-trail", number, slots=SLOTS, work=WORK_S)
             for number in range(LEAFS)]
    log = []
    try:
        await deployment.store.start()
        for leaf in leafs:
            await leaf.start()
        deployment.put_configuration([
            {"name": "ledger", "host": "h", "prefix": "/ledger/", "type": "non_idempotent",
             "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2, "priority": 2,
             "backend": "audit-trail"}], {"audit-trail": 110})
        if not await deployment.start():
            record.close("a node did not get ready")
            return 2
        started = time.monotonic()
        work = [DirectoryCaller(number, deployment, record, DEADLINE_S, "POST")
                .run(started + SECONDS, log) for number in range(CLIENTS)]
        if trouble():
            work.append(release(deployment, record, started, leafs))
        await asyncio.gather(*work)
    finally:
        await deployment.stop()
    late = [request for leaf in leafs for request in leaf.late]
    ran = {request for leaf in leafs for request in leaf.ran}
    unanswered = [one[0] for one in log if one[4] != 200 and one[0] in late and one[0] in ran]
    for request in unanswered:
        record.add(f"{request} was begun by a leaf that had to be left alone; its client got "
                   "no result")
    counts = {}
    for one in log:
        counts[one[4]] = counts.get(one[4], 0) + 1
    if not counts.get(200) or (trouble() and not any(leaf.drained_at for leaf in leafs)):
        record.close(f"nothing to judge: {counts}")
        return 2
    record.close(f"{'broken' if late else 'held'}: {len(late)} requests reached a leaf too late, "
                 f"{len(unanswered)} of them were begun and lost; answers {counts}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
