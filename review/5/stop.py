"""Nodes are stopped in turn while requests wait for a slot: case 5."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import GRACE_S, Deployment, Leaf, Record, trouble  # noqa: E402
from directory_caller import DirectoryCaller  # noqa: E402

SECONDS = 40
FIRST_STOP_S = 10
STOP_INTERVAL_S = 14
CLIENTS = 60
NODES = 2
LEAFS = 3
SLOTS = 3
WORK_S = 0.54
DEADLINE_S = 6.0
LOSS_SLACK_S = 0.2


class TimedLeaf(Leaf):
    """Keeps when it worked on each request."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.work_times = []

    async def work_on(self, request, deadline, body):
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        span = [request, time.monotonic(), None]
        self.work_times.append(span)
        self.free.release()
        try:
            return await super().work_on(request, deadline, body)
        finally:
            span[2] = time.monotonic()


async def stop_in_turn(deployment, record, started, stops):
    """roll_term: SIGTERM, one machine at a time, and a new start after the end."""
    for number, node in enumerate(deployment.nodes):
        await asyncio.sleep(max(0, started + FIRST_STOP_S + number * STOP_INTERVAL_S -
                                time.monotonic()))
        at = time.monotonic()
        stops.append((node.front, at))
        record.add(f"node {node.ip} gets SIGTERM")
        node.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            node.process.kill()
            await node.process.wait()
        record.add(f"node {node.ip} has ended, {time.monotonic() - at:.3f} s after SIGTERM")
        await asyncio.sleep(0.5)
        await node.start(first=False)
        record.add(f"node {node.ip} starts again")


def lost(log, stops, leafs, record):
    """The requests that were lost around a SIGTERM, as the rule LOST has it."""
    found = []
    for request, front, sent, ended, said in log:
        if said != "closed" or ended - sent <= LOSS_SLACK_S or ended - sent >= DEADLINE_S:
            continue
        for stopped, at in stops:
            if stopped != front or ended < at or sent > at + GRACE_S + 1:
                continue
            spans = [(start, end or ended) for leaf in leafs
                     for name, start, end in leaf.work_times if name == request]
            at_work = any(start < at + GRACE_S and end > at + GRACE_S * 5 / 6
                          for start, end in spans)
            if at_work and sent <= at + 3:
                record.add(f"excused: {request}, a leaf was at work on it")
                continue
            found.append(request)
            record.add(f"BROKEN LOST: {request} was sent {sent - at:+.3f} s after SIGTERM, its "
                       f"connection ended {ended - sent:.3f} s later without an answer; leafs "
                       f"worked on it {len(spans)} times")
    return found


async def main():
    record = Record(pathlib.Path(__file__).parent)
    deployment = Deployment(NODES)
    leafs = [TimedLeaf(deployment, record, "audit-trail", number, slots=SLOTS, work=WORK_S)
             for number in range(LEAFS)]
    log, stops = [], []
    try:
        await deployment.store.start()
        for leaf in leafs:
            await leaf.start()
        deployment.put_configuration([
            {"name": "ledger", "host": "h", "prefix": "/ledger/", "type": "idempotent",
             "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2, "priority": 2,
             "backend": "audit-trail"}], {"audit-trail": 110})
        if not await deployment.start():
            record.close("a node did not get ready")
            return 2
        started = time.monotonic()
        callers = [DirectoryCaller(number, deployment, record, DEADLINE_S)
                   for number in range(CLIENTS)]
        work = [one.run(started + SECONDS, log) for one in callers]
        if trouble():
            work.append(stop_in_turn(deployment, record, started, stops))
        await asyncio.gather(*work)
        found = lost(log, stops, leafs, record)
        others = [one for one in log if one[4] == "closed" and one[0] not in found]
    finally:
        await deployment.stop()
    counts = {}
    for one in log:
        counts[one[4]] = counts.get(one[4], 0) + 1
    if not counts.get(200) or (trouble() and len(stops) != NODES):
        record.close(f"nothing to judge: {counts}")
        return 2
    broken = bool(found) or (not trouble() and bool(others))
    record.close(f"{'broken' if broken else 'held'}: {len(found)} requests lost, "
                 f"{len(others)} closed and excused; answers {counts}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
