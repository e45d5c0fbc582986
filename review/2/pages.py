"""A key that must be escaped ends a page of the store when its history is gone: case 2."""

import asyncio
import base64
import json
import pathlib
import sys
import time
from urllib.parse import parse_qs

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from deployment import Deployment, Leaf, Record, trouble  # noqa: E402
from directory_caller import DirectoryCaller  # noqa: E402
from platform_standin import Store, reply  # noqa: E402

SECONDS = 30
ENTRY_S = 5.0
COMPACTION_S = 8.0
CHANGE_S = 16.0  # later than contactMs after the compaction
NODES = 3
LEAFS = 3  # of each service
SLOTS = 3
WORK_S = 0.09
DEADLINE_S = 6.0
CLIENTS = 6
CONFIG_APPLY_S = 3.0

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
KEY = "servers/batch&sync"
ENTRY_BYTES = 1_000_000  # valueBytes is 1,048,576


class PagedStore(Store):
    """Ends a page at about 500 items or 1 MB; can forget its history."""

    def compact_and_cut(self):
        """Changes are made that no watch hears of, then the history is dropped."""
        self.revision += 1
        self.oldest = self.revision
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, first, headers, body, writer):
        path, _, query = first[1].partition("?")
        if path != "/kv-range":
            return await super().handle(first, headers, body, writer)
        self.calls += 1
        asked = {name: values[0] for name, values in
                 parse_qs(query, keep_blank_values=True).items()}
        keys = sorted(key for key in self.items if key.startswith(asked.get("prefix", "")) and
                      key > asked.get("after", ""))
        page, size = [], 0
        for key in keys:
            item = self._item(key)
            length = len(item["value"])
            if page and (len(page) == PAGE_ITEMS or size + length > PAGE_BYTES):
                break
            page.append(item)
            size += length
        answer = {"items": page, "hasMore": len(page) < len(keys), "currentRev": self.revision}
        writer.write(reply(200, json.dumps(answer).encode()))
        return True


def put_bytes(store, key, value):
    """Writes bytes that the store does not look into, as any writer may."""
    store.revision += 1
    store.items[key] = value, store.revision
    store._record({"key": key, "value": base64.b64encode(value).decode(),
                   "revision": store.revision, "createRevision": store.revision, "lease": 0})


def put_version(deployment, service):
    deployment.put_configuration([
        {"name": "ledger", "host": "h", "prefix": "/ledger/", "type": "non_idempotent",
         "timeoutMs": 6000, "targetLatencyMs": 400, "attempts": 2, "priority": 2,
         "backend": service}], {"branch-close": 110, "audit-trail": 110})


async def operate(deployment, record, started):
    """The disruptions, and the change of the configuration that follows in any case."""

    async def at(seconds):
        await asyncio.sleep(max(0, started + seconds - time.monotonic()))

    if trouble():
        await at(ENTRY_S)
        put_bytes(deployment.store, KEY, b"\xff" * ENTRY_BYTES)
        record.add(f"another writer writes {KEY}: {ENTRY_BYTES} bytes that can't be read")
        await at(COMPACTION_S)
        deployment.store.compact_and_cut()
        record.add("the store drops its history and cuts the watches")
    await at(CHANGE_S)
    calls = deployment.store.calls
    put_version(deployment, "audit-trail")
    acknowledged = time.monotonic()
    record.add(f"version {deployment.version}: the route moves to audit-trail, acknowledged by "
               "the store")
    await at(SECONDS)
    return acknowledged, deployment.store.calls - calls


async def main():
    record = Record(pathlib.Path(__file__).parent)
    deployment = Deployment(NODES)
    deployment.store = PagedStore(deployment.store.host)
    leafs = [Leaf(deployment, record, service, LEAFS * place + number, slots=SLOTS, work=WORK_S)
             for place, service in enumerate(("branch-close", "audit-trail"))
             for number in range(LEAFS)]
    log = []
    try:
        await deployment.store.start()
        for leaf in leafs:
            await leaf.start()
        put_version(deployment, "branch-close")
        if not await deployment.start():
            record.close("a node did not get ready")
            return 2
        started = time.monotonic()
        work = [DirectoryCaller(number, deployment, record, DEADLINE_S, "POST")
                .run(started + SECONDS, log) for number in range(CLIENTS)]
        (acknowledged, calls), *_ = await asyncio.gather(
            operate(deployment, record, started), *work)
    finally:
        await deployment.stop()
    services = {request: leaf.service for leaf in leafs for request in leaf.ran}
    due = [one for one in log if one[2] > acknowledged + CONFIG_APPLY_S and one[0] in services]
    stale = [one for one in due if services[one[0]] == "branch-close"]
    for request, front, sent, _, _ in stale:
        record.add(f"STALE: {request}, sent to {front[0]} {sent - acknowledged:.3f} s after the "
                   "acknowledgement, was run by branch-close")
    machines = {one[1][0] for one in stale}
    if not due:
        record.close("nothing to judge")
        return 2
    record.close(f"{'broken' if stale else 'held'}: {len(stale)} of {len(due)} requests sent later "
                 f"than configApplyMs after the acknowledgement were run by the old service, "
                 f"through {len(machines)} of {NODES} machines; {calls} calls to the store after "
                 "the change")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
